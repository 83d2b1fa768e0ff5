// State of a proxy and the functions that its sources share.
#pragma once

#include <array>
#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <span>
#include <string>
#include <unordered_map>
#include <unordered_set>
#include <utility>
#include <vector>

#include "call_p.h"
#include "egretladder/kernel/hash.h"
#include "egretladder/kernel/log_event.h"
#include "egretladder/net/event_splitter.h"
#include "egretladder/net/http_client.h"
#include "egretladder/net/http_server.h"
#include "egretladder/policy/descriptors.h"
#include "egretladder/proxy/dialect.h"
#include "egretladder/proxy/limits.h"
#include "egretladder/proxy/proxy.h"
#include "egretladder/routing/admission.h"
#include "egretladder/routing/catalog.h"
#include "egretladder/routing/engine_split.h"
#include "egretladder/routing/handover.h"
#include "egretladder/routing/member_gossip.h"
#include "egretladder/routing/member_suspicion.h"
#include "egretladder/routing/members.h"
#include "egretladder/routing/next_step.h"
#include "egretladder/routing/placement.h"
#include "egretladder/routing/retry_budget.h"
#include "egretladder/routing/rules_history.h"
#include "egretladder/routing/service_reach.h"
#include "egretladder/routing/stop_admission.h"
#include "egretladder/routing/store_readers.h"
#include "egretladder/routing/stream_begins.h"
#include "egretladder/routing/stream_records.h"
#include "egretladder/routing/suspects.h"
#include "endpoint_questions_p.h"
#include "page_read_p.h"

namespace egretladder::proxy {

using kernel::Time;

/// Work on streams that waits for the next iteration of the loop, because it
/// may close the connection whose message caused it.
struct StreamWork {
  bool hand_on = false;  ///< Write all streams to their homes.
  /// Calls whose endpoint's process was replaced.
  std::vector<CallPtr> replaced;
  kernel::EventWatcher timer;
};

/// A request of a caller that can't be routed before the rules are known.
struct RequestWithoutRules {
  net::HttpCallPtr caller;
  Time arrived_at{};
  kernel::EventWatcher timer;  ///< Rejects it when it has waited long enough.
};

/// Reads one feed of the store.
struct StoreReader {
  routing::Feed feed = routing::Feed::kRules;
  /// A full list was received since the start, or since the store last dropped
  /// the history that a watch needs.
  bool has_full_list = false;
  bool reading = false;   ///< A request to the store is in progress.
  bool watching = false;  ///< That request is a watch.
  /// Era of the revision after which the watch asks for changes.
  routing::StoreEra watch_era = 0;
  /// Era that the answer states; see `ReadEra`.
  routing::StoreEra answer_era = 0;
  /// When a peer first sent changes that the watch in progress has not
  /// returned; default: never.
  Time missed_change_since{};
  routing::Changes partial_list;  ///< The pages read so far.
  std::string last_key;           ///< Last key of those pages.
  Time listed_at{};  ///< When a list was last received; default: never.
  net::HttpExchangePtr exchange;
  std::string body;
  int status = 0;
  milliseconds backoff{};          ///< After a failure; 0: none.
  bool waiting_for_rules = false;  ///< Retried once the rules were read.
  kernel::EventWatcher timer;
  std::uint64_t calls = 0;
  Time odd_items_logged_at{};  ///< Default: never.
};

/// What a peer states about a request that it hands over.
struct HandoverHeader {
  std::string peer;  ///< Name of the node that hands the request over.
  std::uint64_t rules_version = 0;  ///< Rules by which it routed the request.
  std::string service;              ///< The service that it chose.
  std::vector<std::string> tried;   ///< Endpoints that were tried before.
  /// Version that began the stream with which the request goes on.
  routing::SoftwareVersion version = routing::kUnknownVersion;
  routing::Weights weights;  ///< Of the stream's last event.
};

/// How the ids of a service's streams rise at one version, by own evidence.
struct VersionIds {
  routing::IdRise rise = routing::IdRise::kUnknown;  ///< When last asked for.
  routing::IdMemory memory;
  Time used_at{};
};

/// Versions of a service whose ids are remembered, by when they were last used.
inline constexpr std::size_t kMaxVersionsOfIds = 8;

/// How the ids of a service's streams rise.
struct ServiceIds {
  std::map<routing::SoftwareVersion, VersionIds> versions;
  /// When a peer last said that they firmly rise by one; default: never.
  Time peer_said_at{};
};

/// The load that one peer reported.
struct PeerLoads {
  struct Load {
    std::string endpoint;
    std::uint32_t in_flight = 0;       ///< Requests of the peer.
    std::uint32_t waiting_tokens = 0;  ///< Prompt tokens that wait there.
  };
  Time received_at{};
  std::vector<Load> loads;
};

/// An answer that ended before the endpoint had shown that it lives on.
struct PendingProof {
  routing::EndpointPtr endpoint;
  Time began_at{};                  ///< When the answer began.
  std::vector<std::uint64_t> keys;  ///< Of the parts of the prompt.
};

/// A stream that began at a process that nothing had proven.
struct DoubtedBegin {
  routing::StreamKey stream = 0;
  routing::StreamBegin begin;
  std::weak_ptr<Call> call;  ///< The request that began it.
};

/// A question to an endpoint whose process has begun such streams.
struct BeginQuestion {
  PageReadPtr read;  ///< Set while it is under way.
  Time asked_at{};
};

/// Streams that began at processes that nothing had proven.
struct DoubtedBegins {
  std::vector<DoubtedBegin> streams;               ///< In the order of begins.
  std::map<std::string, BeginQuestion> questions;  ///< By endpoint.
};

/// Reading the store's news of endpoints for decisions that need the latest.
struct StoreCatchUp {
  using Waiter = std::function<void()>;
  std::vector<Waiter> waiting;  ///< For the read in progress.
  std::vector<Waiter> queued;   ///< For the next one.
  Time began_at{};              ///< Of the last read; default: none yet.
  std::uint64_t revision = 0;   ///< After which that read asked for changes.
  Time unanswered_at{};         ///< Last read without answer; default: none.
  PageReadPtr read;             ///< Null: none is in progress.
  kernel::EventWatcher timer;   ///< Begins the next one.
  bool is_scheduled = false;
};

struct PeerNetwork;
struct PeerNetworkDelete {
  void operator()(PeerNetwork* network) const;
};
using PeerNetworkPtr = std::unique_ptr<PeerNetwork, PeerNetworkDelete>;

/// Metric series that are created on first use.
struct MetricSeries {
  std::map<std::string, ClassMetrics> classes;
  std::unordered_map<std::string, kernel::CounterHandle> calls;  ///< By labels.
  std::map<std::string, std::uint32_t> endpoint_states;          ///< By labels.
};

struct Proxy {
  kernel::Loop* loop = nullptr;
  ProxyOptions options;
  const Dialect* dialect = nullptr;
  kernel::Metrics metrics;
  MetricSeries series;
  kernel::Random random;

  // Data from the store and from peers.
  routing::Catalog catalog;
  routing::RouteTablePtr rules;
  Time rules_since{};
  routing::RulesHistory past_rules;
  routing::EndpointSet endpoints;
  /// Ids of the entries that can't be read as they stand now.
  std::unordered_set<std::string> unreadable_entries;
  routing::Members members;
  std::map<std::string, PeerLoads> peer_loads;
  routing::SplitDemandMeter split_demand_meter;
  routing::FleetDemand fleet_demand;
  std::unordered_map<std::string, routing::NodeRetryBudget> retry_budgets;
  std::map<std::string, routing::ServiceReach> reaches;  ///< By service.
  routing::Handovers handovers;
  std::size_t handovers_served = 0;  ///< Handed over calls in progress.
  routing::StreamRecords streams;
  std::map<std::string, ServiceIds> ids;                   ///< By service.
  std::map<std::string, routing::StreamEnds> stream_ends;  ///< By service.
  StreamWork stream_work;
  KeptPartsReader kept_parts;
  StoreCatchUp store_catch_up;
  DoubtedBegins doubted_begins;
  std::map<std::string, NoticeCheck> notice_checks;      ///< By endpoint.
  std::map<std::string, BreakQuestion> break_questions;  ///< By endpoint.
  std::map<std::string, Spare> spares;                   ///< By endpoint.
  routing::Suspects suspects;
  std::deque<PendingProof> pending_proofs;  ///< Oldest first.
  /// Until then peers are asked for all suspects.
  Time suspects_wanted_until{};
  Time last_store_failure{};  ///< Last failed call to the store; default: none.
  /// The latest era of the store that any of its answers or a peer stated.
  routing::StoreEra store_era = 0;
  routing::StoreEra last_lower_era = 0;  ///< Last lower era that was logged.
  bool is_era_unclear = false;  ///< The last answer stated no valid era.
  /// When a peer last told its progress without an era, though the era has
  /// risen here: its news can't be used. Default: never.
  Time peer_without_era_at{};

  // Servers, calls in progress and timers.
  std::unique_ptr<net::HttpClient> client;
  std::unique_ptr<net::HttpClient> spare_client;  ///< Of `spares`.
  net::ServerGroupPtr server_group;               ///< Of all servers.
  std::unique_ptr<net::HttpServer> caller_server;
  std::unique_ptr<net::HttpServer> ready_server;
  std::unique_ptr<net::HttpServer> directory_server;
  std::unique_ptr<net::HttpServer> handover_server;  ///< Null: none accepted.
  std::unique_ptr<net::HttpServer> metrics_server;
  std::array<StoreReader, routing::kFeedCount> readers;
  bool reads_store = false;  ///< Otherwise peers read the store for this node.
  /// From this time on a node without data reads the store itself.
  Time initial_read_at{};
  std::unordered_map<std::uint64_t, CallPtr> calls;
  /// Calls that wait for an endpoint, by tier and number.
  std::map<std::pair<routing::Tier, std::uint64_t>, CallPtr> waiting_calls;
  /// Requests that arrived before the rules, by number.
  std::map<std::uint64_t, RequestWithoutRules> requests_without_rules;
  kernel::EventWatcher waiting_timer;
  bool waiting_timer_armed = false;
  /// Memory of the requests of all calls and of those without rules.
  std::size_t request_bytes = 0;
  /// Size of the answers of all attempts that are kept until they can be sent.
  std::size_t buffered_bytes = 0;
  std::uint64_t last_number = 0;  ///< Last number of a call or an attempt.
  Time last_tick_at{};
  Time last_exchange_at{};  ///< When the last exchange began.
  kernel::EventWatcher tick_timer;
  kernel::EventWatcher exchange_timer;
  kernel::EventWatcher standby_timer;  ///< Set while the node reads the store.
  kernel::EventWatcher standby_start_timer;
  bool leaving = false;
  Time leaving_since{};
  Time stopped_listening_at{};  ///< Default: the node still listens.
  Time cut_at{};                ///< When the stop ended the calls in progress;
                                ///< default: not yet.
  std::size_t cut = 0;   ///< Calls ended by the stop before their answers.
  PeerNetworkPtr peers;  ///< The last member, so that it is destroyed first.
};

inline Time NowOf(const Proxy& proxy) { return kernel::Now(proxy.loop->clock); }

/// Returns the time between two moments, truncated to milliseconds.
inline milliseconds Elapsed(Time from, Time to) {
  return std::chrono::duration_cast<milliseconds>(to - from);
}

/// Returns the wall clock time.
inline routing::UnixTime UnixNow(const Proxy& proxy) {
  return kernel::UnixNow(proxy.loop->clock);
}

/// Returns the fleet among whose nodes the retry budget is shared. A node that
/// has met none of its peers doesn't know how many they are.
inline routing::RetryBudgetFleet MakeRetryBudgetFleet(Proxy& proxy) {
  const Time now = NowOf(proxy);
  const bool knows_fleet =
      proxy.members.seeds.empty() || proxy.members.last_exchange_at != Time{};
  return {routing::CountRetrySharers(proxy.members, now),
          knows_fleet ? Elapsed(proxy.members.started, now) : milliseconds{}};
}

// metrics.cc
/// Increments the counter `name` with `labels`; creates it on first use.
void IncrementCounter(Proxy& proxy, const char* name, const char* help,
                      const std::string& labels);
/// Returns the histograms of a class; classes have the names of routes. Classes
/// beyond `kMaxMeasuredClasses` share one set.
const ClassMetrics* GetClassMetrics(Proxy& proxy, const std::string& cls);
/// Counts a call that has ended.
void CountCall(Proxy& proxy, const Call& call, const char* reason);
/// Sets all gauges to their current values.
void UpdateGauges(Proxy& proxy);

// call_routing.cc
/// Makes a call of a request that arrived at `arrived_at`, by the rules in
/// force. A request of a peer, for which `handover` is set, is judged by the
/// rules by which the peer accepted it, if they are remembered. Returns null if
/// the request was rejected instead.
CallPtr MakeRoutedCall(Proxy& proxy, const net::HttpCallPtr& caller,
                       Time arrived_at, const HandoverHeader* handover);

// calls.cc
/// Routes a caller's request that was received completely, or rejects it.
void OnRequest(Proxy& proxy, const net::HttpCallPtr& caller);
/// Routes a request that arrived at `arrived_at`; see `MakeRoutedCall`.
void RouteAndDispatch(Proxy& proxy, const net::HttpCallPtr& caller,
                      Time arrived_at, const HandoverHeader* handover);
/// Returns the memory of requests in progress and of those that are still
/// received.
std::size_t BytesOfRequests(const Proxy& proxy);
/// Returns how much memory all of them may take when one of `bytes` needs room.
/// A small one still finds room where large ones take all of theirs.
std::size_t MaxBytesOfRequests(const Proxy& proxy, std::size_t bytes);
/// Returns true if there is memory for a request of that size, beside those in
/// progress and those that are still received.
bool HasRoomForRequest(const Proxy& proxy, std::size_t bytes);
/// Answers a request with an error before a call is created for it.
void RejectRequest(Proxy& proxy, const net::HttpCallPtr& caller, int status,
                   const char* code, const std::string& reason,
                   milliseconds retry_after);
/// Returns the retry delay for a call whose attempts were all refused by their
/// endpoints.
milliseconds RetryDelayAfterAttempts(Proxy& proxy, const Call& call);
/// Returns what this node knows about the fleet, without nodes that don't reach
/// the call's service.
/// The result holds until the members change.
const routing::FleetSnapshot& GetFleetSnapshot(Proxy& proxy, const Call& call,
                                               Time now);
/// Sends the call to an endpoint, queues it, or refuses it.
void Dispatch(Proxy& proxy, const CallPtr& call);
/// Tries to dispatch all waiting calls, in the order of the queue.
void DispatchWaiting(Proxy& proxy);
/// Answers the call with an error of this node and ends it. The answer has
/// `retry_after` only if the request has not run.
void RefuseCall(Proxy& proxy, const CallPtr& call, int status, const char* code,
                milliseconds retry_after);
/// The same, or breaks the answer off if it has begun. An attempt that may have
/// run makes it 502.
void RefuseOrAbort(Proxy& proxy, const CallPtr& call, const char* code,
                   milliseconds retry_after);
/// Returns the key of a hash of the account, target and body. A caller that
/// sends the same request again under another id gets the same fingerprint.
std::uint64_t GetFingerprint(Call& call);
/// Records the end of a call and removes it. `outcome` is the reason in logs
/// and metrics.
void EndCall(Proxy& proxy, const CallPtr& call, const char* outcome);

/// Returns true if an endpoint may be running the request or may have run it.
inline bool WasSent(const Call& call) {
  return call.may_have_run > 0 ||
         (call.attempt != nullptr && call.attempt->request_sent);
}
/// Ends the call without a complete answer. If the answer has begun, its
/// connection is closed. Otherwise a call that was sent gets `status_if_sent`,
/// which says that it may have run, and any other call gets 503, which says
/// that it has not.
void AbortCall(Proxy& proxy, const CallPtr& call, int status_if_sent,
               const char* code, milliseconds retry_after);

// requests_without_rules.cc
/// Keeps the request until the rules are known, or rejects it if it can't wait
/// any longer.
void AwaitRules(Proxy& proxy, const net::HttpCallPtr& caller);
/// Routes the requests that waited for the rules.
void RouteRequestsWithoutRules(Proxy& proxy);
/// Rejects the requests that wait for the rules at a node that leaves.
void RejectRequestsWithoutRules(Proxy& proxy);

// stop.cc
/// Returns the number of answers that callers have not yet received.
std::size_t CountUndeliveredAnswers(const Proxy& proxy);
/// Returns the time since the graceful stop began.
milliseconds TimeSinceStop(const Proxy& proxy);
/// Returns false once a graceful stop accepts no more requests.
bool CanAcceptRequests(const Proxy& proxy);
/// Returns true unless the node is stopping and the call can't be expected to
/// finish within the rest of the grace period. For calls that no endpoint has
/// run so far.
bool CanStillFinish(Proxy& proxy, const Call& call,
                    const routing::Placement& placement);
/// Advances a graceful stop: stops listening, and later ends the calls in
/// progress. Called at each tick.
void OnStopTick(Proxy& proxy);

// attempts.cc and attempt_end.cc
/// Sends the call to the endpoint that was chosen.
void StartAttempt(Proxy& proxy, const CallPtr& call,
                  const routing::Placement& placement, ProcessProof proof);
/// Cancels the current attempt, if any, without deciding about the call. The
/// connection to the endpoint is closed.
void CancelAttempt(Proxy& proxy, const CallPtr& call);
/// Records how the current attempt ended, and continues or ends the call.
/// `detail` is for the log.
void EndAttempt(Proxy& proxy, const CallPtr& call, routing::AttemptOutcome end,
                const std::string& detail);

// suspects.cc
/// Returns the hash of the process that wrote the entry. An endpoint that
/// starts again may keep its id.
std::uint64_t HashOfProcess(const routing::EndpointEntry& entry);
/// Returns the name of a suspect's key in logs.
std::string NameOfSuspect(std::uint64_t key);
/// Returns the keys under which the call's request may be suspected: its own
/// and those of the parts of its prompt that others may share.
const std::vector<std::uint64_t>& GetSuspectKeys(Call& call);
/// Records what the outcome of the call's attempt says about the request. A
/// request that crashes endpoints shows as connections that break at one
/// endpoint after the other.
void RecordSuspect(Proxy& proxy, Call& call, routing::AttemptOutcome outcome);
/// Records that the endpoint goes on with an answer on the call's prompt.
void RecordPromptProven(Proxy& proxy, Call& call);
/// Excuses the parts of prompts on which endpoints began answers that ended
/// early, if these endpoints lived on. Called at each tick.
void SettleProofs(Proxy& proxy);
/// Records that the call's request is sent now.
void RecordSuspectSent(Proxy& proxy, Call& call);
/// Records that an attempt of the call was cancelled.
void RecordCancelled(Proxy& proxy, Call& call, const Attempt& attempt);
/// Returns how long the call must not be sent since its request seems to crash
/// endpoints; 0: it may be sent now.
milliseconds GetSuspectHoldTime(Proxy& proxy, Call& call);
/// Asks peers for all suspects for a while, as news may have been missed.
void AskForSuspects(Proxy& proxy);

// streams.cc
/// Binds the call to the version that makes its first event, and writes that to
/// the stream's homes.
void OnStreamBegan(Proxy& proxy, Call& call);
/// Records that other weights have made the stream's last event than the ones
/// before.
void OnWeightsChanged(Proxy& proxy, const Call& call);
/// Writes the step in doubt at which the call's stream breaks off, if there is
/// one, to the stream's homes: its client asks when it takes the stream up.
void KeepStepInDoubt(Proxy& proxy, const Call& call);
/// Dispatches a call that has just arrived. If it takes up a stream of which
/// this node doesn't know at which version it began, peers are asked first.
void DispatchAtItsVersion(Proxy& proxy, const CallPtr& call);
/// Calls `DispatchAtItsVersion` a moment later: more may be known of the call's
/// stream by then.
void DispatchLater(Proxy& proxy, const CallPtr& call);
/// Records what a peer answered to the question for the call's stream.
void OnVersionAnswer(Proxy& proxy, const CallPtr& call,
                     const std::weak_ptr<VersionLookup>& asked,
                     const VersionAnswer& answer);
/// Makes placement look within the version that began the call's stream, while
/// it is one of several. Returns false if that version isn't known, so that the
/// stream can't go on.
bool RequireVersion(const Proxy& proxy, Call& call);
/// Returns true if the version at which the call's next attempt is made must be
/// known for sure: others take the stream up later, or it goes on with one.
bool NeedsKnownProcess(const Proxy& proxy, const Call& call,
                       const routing::Endpoint& endpoint);
/// Returns true if the version of the call's attempt may send what follows the
/// events that the call's stream has.
bool FitsStream(const Proxy& proxy, const Call& call);
/// Called when another process replaced the endpoint's: attempts there may have
/// been answered by either.
void OnProcessReplaced(Proxy& proxy, const routing::EndpointPtr& replaced);
/// Records which versions serve now.
void UpdateVersions(Proxy& proxy);
/// Returns true if this node knows all versions that serve now, `tick_gap`
/// after the tick before. One that has stood still, or neither heard from a
/// peer nor read the store, may not.
bool KnowsVersions(const Proxy& proxy, milliseconds tick_gap);
/// Called when new rules are in force: streams that a route moves away from
/// their service must be known to others before they are taken up.
void OnRulesReplaced(Proxy& proxy, const routing::RouteTable& before);
/// Returns true if endpoints of one version keep the part of the service, and
/// this node knows for sure that those of other versions don't.
bool IsPartOfOneVersion(const Proxy& proxy, const std::string& service,
                        routing::PartKey part);

// stream_homes.cc
/// Remembers the record, and writes it to the stream's homes.
void RecordStream(Proxy& proxy, const routing::StreamRecord& record);
/// Writes all streams that this node remembers to their homes.
void HandOnStreams(Proxy& proxy);
/// Writes which parts of prompts the endpoint keeps to the parts' homes, and to
/// all nodes that its list has come, if it is one of several versions.
void WritePartsToHomes(Proxy& proxy, const routing::EndpointEntry& entry,
                       const std::vector<std::uint64_t>& parts);

// stream_begins.cc
/// Records that the call's stream has begun at a process that nothing has
/// proven, and finds out whether it is the one of the entry.
void DoubtBegin(Proxy& proxy, Call& call, routing::StreamKey stream);
/// Returns true if the call's stream may go on only once that is known. The
/// question for an open end doesn't wait: the stream would be told as whole
/// before.
bool IsBeginAwaited(const Call& call);
/// Makes the call wait for that before its next attempt. Returns false if it
/// doesn't wait, or has waited for long enough.
bool AwaitBegin(Proxy& proxy, const CallPtr& call);
/// Writes the versions of streams whose processes are known by now, and asks
/// for the others. Called at each tick.
void SettleBegins(Proxy& proxy);

// stream_records_capnp.cc
/// What records tell the version of.
enum class RecordKind : std::uint8_t { kStreams, kKeptParts };
/// Writes the versions of streams, or of parts of prompts, to a peer that keeps
/// them.
void WriteRecords(Proxy& proxy, const std::string& peer_address,
                  RecordKind kind,
                  std::span<const routing::StreamRecord> records);
/// Writes the step in doubt at which a stream broke off to a peer.
void WriteDoubt(Proxy& proxy, const std::string& peer_address,
                routing::StreamKey stream, const routing::StepInDoubt& doubt);
/// Asks a peer at which version the stream began that the call takes up.
void AskForVersion(Proxy& proxy, const CallPtr& call,
                   const StreamQuestion& question,
                   const std::string& peer_address);

// retries.cc
/// Returns true if the retry budget of the call's service has a retry for the
/// call, and reserves it.
bool TryReserveRetry(Proxy& proxy, Call& call);
/// Counts the call's reserved retry, if any, as sent now.
void OnRetrySent(Proxy& proxy, Call& call);
/// Returns true if the budget allows a retry that only serves as a sample.
bool HasRetryForSample(Proxy& proxy, const Call& call);
/// Gives the call's reserved retry, if any, back to the budget.
void ReleaseRetry(Proxy& proxy, Call& call);
/// Returns the name of the outcome that the call's retry follows; "-" for a
/// first attempt.
const char* NameOfRetryCause(const Call& call);

// handovers.cc
/// Hands the call over to a peer.
void StartHandover(Proxy& proxy, const CallPtr& call,
                   const routing::HandoverPeer& peer,
                   routing::HandoverReason reason);
/// Classifies the complete answer of a peer.
routing::AttemptOutcome ClassifyPeerAnswer(const Attempt& attempt);

// handovers_served.cc
/// Serves a request that a peer hands over, or declines it.
void OnHandedOver(Proxy& proxy, const net::HttpCallPtr& peer);
/// Declines a handed over call of which no byte was sent, so that the peer can
/// choose another node.
void DeclineCall(Proxy& proxy, const CallPtr& call,
                 routing::HandoverReason reason);

// advertised_limits.cc
/// Applies the limit that an answer states for its endpoint. A sealed answer
/// without a limit ends an earlier limit.
void UpdateEndpointLimit(Proxy& proxy, const Call& call,
                         routing::Endpoint& endpoint,
                         const AnswerMetadata& metadata);

// endpoint_notices.cc
/// Applies the notices that an answer with `status` to a request at the
/// endpoint `addressed` gives. The answer may belong to an earlier request.
void ApplyEndpointNotice(Proxy& proxy, const Call& call,
                         const routing::EndpointPtr& addressed, int status,
                         const AnswerMetadata& metadata);

// open_ends.cc
/// Ends the stream, if what its caller has counts as whole; returns false if it
/// doesn't, or if there is none.
bool EndTrustedStream(Proxy& proxy, const CallPtr& call);

// id_rises.cc
/// Returns the version of the software that answers the call's attempt. A peer
/// tells that of its endpoint.
routing::SoftwareVersion VersionOfRun(const Call& call);
/// Returns how the ids of the service's streams rise at the version of the
/// call's attempt, as this node has seen it; if it hasn't seen enough, as peers
/// have.
routing::IdRise RiseOfIds(Proxy& proxy, const Call& call);
/// Returns that of a service at one version, by this node's own evidence.
routing::IdRise JudgeIds(Proxy& proxy, const std::string& service,
                         routing::SoftwareVersion version);
/// Records a step of ids within the answer of the call's attempt.
void RecordIdStep(Proxy& proxy, const Call& call, routing::IdStep step);
/// Returns the services whose ids firmly rise by one at all versions that
/// serve, by this node's own evidence: what peers say is no evidence for
/// others.
routing::ServiceBits ServicesThatFirmlyRiseByOne(Proxy& proxy);
/// Records those that a peer names.
void OnPeerSaysFirmlyByOne(Proxy& proxy, routing::ServiceBits services);

// service_reach.cc
/// Records that the call's attempt began.
void RecordAttemptBegan(Proxy& proxy, const Call& call);
/// Records that an attempt of the call ended or was cancelled.
void RecordAttemptEnded(Proxy& proxy, const Call& call, const Attempt& attempt);
/// Records that the endpoint answers the call's attempt.
void RecordAnswered(Proxy& proxy, const Call& call);
/// Notices services of which no endpoint answers attempts that still wait.
void CheckOverdueAttempts(Proxy& proxy);
/// Gives up the loss of services for which no request has come for a while, so
/// that a node without callers gets some again.
void ForgetUnwantedLosses(Proxy& proxy);
/// Updates the services that this node doesn't reach, which gossip tells peers.
/// Returns true if they changed.
bool UpdateUnreached(Proxy& proxy);
/// Records that the call's attempt ended without any answer, if it did.
void RecordUnanswered(Proxy& proxy, Call& call,
                      routing::AttemptOutcome outcome);

/// Logs that a service is brittle.
void LogBrittle(const Proxy& proxy, const std::string& service,
                const char* source);

// answers.cc
// Pages of the node itself.
void AnswerDirectory(Proxy& proxy, const net::HttpCallPtr& caller);
void AnswerReady(Proxy& proxy, const net::HttpCallPtr& caller);
void AnswerMetrics(Proxy& proxy, const net::HttpCallPtr& caller);
/// Returns the JSON body of an error. `ran` states whether the request ran:
/// `no` or `unknown`.
std::string ErrorBody(const char* code, std::string_view message,
                      const char* ran);
/// Answers with an error; `retry_after` of 0 omits the Retry-After field.
void AnswerError(const net::HttpCallPtr& caller, int status, const char* code,
                 std::string_view message, const char* ran,
                 milliseconds retry_after);

// store.cc
/// Starts to read the store, now or after a delay in which peers may provide
/// its data.
void StartStoreReaders(Proxy& proxy);
/// Restarts the reads in progress, whose answers may be lost.
void RestartStoreReaders(Proxy& proxy);
/// Starts or stops reading the store, depending on whether this node is one of
/// the readers of the fleet.
void UpdateStoreReaders(Proxy& proxy);
/// Called when a peer has no data either: the whole fleet may have just
/// started, so that this node reads the store without further delay.
void OnPeerWithoutData(Proxy& proxy);
/// Returns true if the last read of the endpoints failed at this node, or the
/// last reads of the store at all that read it for this one.
bool IsStoreFailing(const Proxy& proxy);
/// Returns true if a read of the store failed at this node recently.
bool IsStoreTroubled(const Proxy& proxy);
/// Records an era of the store that an answer or a peer stated. If it is a new
/// one, what is known is read anew.
void OnStoreEra(Proxy& proxy, routing::StoreEra era, const char* source);

// store_catch_up.cc
/// Reads what the store knows more of endpoints than this node, and then calls
/// `on_end`. If the store has answered, `KnowledgeOf` is confirmed up to now.
/// Requests made meanwhile share the next read.
void CatchUpWithStore(Proxy& proxy, StoreCatchUp::Waiter on_end);
/// Returns true if such a read would begin at once, or after the one in
/// progress, so that a peer which waits for it gets its answer in time.
bool CanCatchUpSoon(Proxy& proxy);

// store_changes.cc
/// The source of changes of the store; for the log.
enum class ChangeSource : std::uint8_t { kList, kWatch, kPeer };
/// Applies changes of the store. `troubled` states that the node that read them
/// recently failed to read the store. Returns false if rules among them can't
/// be read.
bool ApplyChanges(Proxy& proxy, routing::Changes changes, ChangeSource source,
                  bool troubled);
/// Applies changes of zones that were deferred after a restore of the store.
void ApplyDueZones(Proxy& proxy);

// peers_capnp.cc
/// Starts to listen for peers and stores the bound address in `address`. Fails
/// if the address can't be bound.
kernel::Result<PeerNetworkPtr> OpenPeers(Proxy& proxy, std::string* address);
/// Starts an exchange with a peer, or with several while earlier exchanges are
/// unanswered.
void Exchange(Proxy& proxy);
/// Starts exchanges with up to `kReaderFanout` random peers at once.
void ExchangeWithManyPeers(Proxy& proxy);
/// Sends an announcement to the nodes that take over when this reader of the
/// store falls silent.
void AnnounceToStandbys(Proxy& proxy);
/// At the next iteration of the loop, fetches what peers announced and sends
/// announcements to `announce_count` random peers. It is deferred because the
/// handler of a peer's reply must not close the connection that it runs on.
void ScheduleFetchAndAnnounce(Proxy& proxy, std::size_t announce_count);

// proxy.cc
/// Returns true if the node knows the rules and the endpoints and is not
/// leaving.
bool IsReady(const Proxy& proxy);

}  // namespace egretladder::proxy
