// What the parts of one proxy share.
#pragma once

#include <array>
#include <cstdint>
#include <map>
#include <memory>
#include <string>
#include <unordered_map>
#include <utility>
#include <vector>

#include "egretladder/kernel/hash.h"
#include "egretladder/kernel/log_event.h"
#include "egretladder/net/event_splitter.h"
#include "egretladder/net/http_client.h"
#include "egretladder/net/http_server.h"
#include "egretladder/proxy/dialect.h"
#include "egretladder/proxy/limits.h"
#include "egretladder/proxy/proxy.h"
#include "egretladder/routing/admission.h"
#include "egretladder/routing/catalog.h"
#include "egretladder/routing/engine_split.h"
#include "egretladder/routing/members.h"
#include "egretladder/routing/next_step.h"
#include "egretladder/routing/placement.h"
#include "egretladder/routing/retry_budget.h"
#include "egretladder/routing/stop_admission.h"
#include "egretladder/routing/store_readers.h"
#include "egretladder/routing/suspects.h"

namespace egretladder::proxy {

using kernel::Time;

/// Times of one class of calls.
struct ClassMetrics {
  kernel::HistogramHandle first_event;
  kernel::HistogramHandle whole_answer;
  kernel::HistogramHandle waited;
  kernel::HistogramHandle longest_pause;
};

/// One attempt of a call at an endpoint.
struct Attempt {
  std::uint64_t number = 0;
  routing::EndpointPtr endpoint;
  routing::Placement placement;
  net::HttpExchangePtr exchange;
  Time sent_at{};
  bool request_sent = false;  ///< The first byte was sent.
  bool started = false;       ///< The endpoint answered or sent an event.
  bool is_event_stream =
      false;                 ///< The answer is a stream, passed on as it comes.
  Time pace_sample_start{};  ///< Begin of the present sample of its pace.
  std::uint64_t pace_sample_events = 0;  ///< Events in that sample so far.
  net::HttpAnswerHead head;
  AnswerMetadata metadata;
  std::string body;  ///< Of an answer that is held whole.
  net::EventSplitter splitter;
};

/// One request of a caller.
struct Call {
  std::uint64_t number = 0;
  net::HttpCallPtr caller;
  RequestMetadata metadata;
  routing::RouteTablePtr table;  ///< In force when it arrived.
  const routing::Route* route = nullptr;
  const routing::ClientAccount* account = nullptr;  ///< Null: none.
  const routing::Service* service = nullptr;
  const ClassMetrics* class_metrics = nullptr;
  routing::Demand demand;
  Time arrived_at{};
  Time deadline{};
  std::vector<routing::EndpointPtr> tried_endpoints;
  std::uint32_t may_have_run = 0;
  std::uint32_t not_run = 0;   ///< Attempts that endpoints turned away.
  std::uint32_t not_sent = 0;  ///< Attempts without a connection.
  std::uint32_t delivered_attempts = 0;  ///< Sends that reached an endpoint.
  std::unique_ptr<Attempt> attempt;
  std::string last_event_id;  ///< That the caller got from this node.
  std::uint64_t events = 0;
  Time first_event_at{};
  Time last_event_at{};
  milliseconds longest_pause{};  ///< Between two events that callers got.
  bool waiting = false;
  Time waiting_since{};  ///< Since it has needed an endpoint.
  kernel::EventWatcher deadline_timer;
  kernel::EventWatcher silence_timer;
  std::size_t body_bytes = 0;
  std::uint64_t fingerprint = 0;  ///< Of what it asks; 0: not needed so far.
  int refusal_status = 0;  ///< Status of this node's own refusal; 0: none.
  bool succeeded = false;  ///< The caller got the endpoint's success.
};
using CallPtr = std::shared_ptr<Call>;

/// The reading of one feed.
struct StoreReader {
  routing::Feed feed = routing::Feed::kRules;
  bool has_full_list =
      false;  ///< A whole list came since the start or the last gap.
  bool reading = false;
  bool watching = false;  ///< What is being read is a watch.
  Time
      missed_change_since{};  ///< A peer told of changes that the watch didn't.
  routing::Changes partial_list;  ///< Of the pages so far.
  std::string last_key;           ///< Last key of the pages so far.
  net::HttpExchangePtr exchange;
  std::string body;
  int status = 0;
  milliseconds backoff{};
  bool waiting_for_rules = false;  ///< Tried again once the rules were read.
  kernel::EventWatcher timer;
  std::uint64_t calls = 0;
};

/// What one peer said of its load.
struct PeerLoads {
  struct Load {
    std::string endpoint;
    std::uint32_t in_flight = 0;
    std::uint32_t waiting_tokens = 0;
  };
  Time received_at{};
  std::vector<Load> loads;
};

struct PeerNetwork;
struct PeerNetworkDelete {
  void operator()(PeerNetwork* network) const;
};
using PeerNetworkPtr = std::unique_ptr<PeerNetwork, PeerNetworkDelete>;

/// Series made on first use.
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

  // What it knows.
  routing::Catalog catalog;
  routing::RouteTablePtr rules;
  Time rules_since{};
  routing::EndpointSet endpoints;
  routing::Members members;
  std::map<std::string, PeerLoads> peer_loads;
  routing::SplitDemandMeter split_demand_meter;
  routing::FleetDemand fleet_demand;
  std::unordered_map<std::string, routing::NodeRetryBudget> retry_budgets;
  routing::Suspects suspects;
  Time last_store_failure{};  ///< Last failed call; default: none.

  // What it does.
  std::unique_ptr<net::HttpClient> client;
  std::unique_ptr<net::HttpServer> caller_server;
  std::unique_ptr<net::HttpServer> ready_server;
  std::unique_ptr<net::HttpServer> directory_server;
  std::unique_ptr<net::HttpServer> metrics_server;
  std::array<StoreReader, routing::kFeedCount> readers;
  bool reads_store = false;  ///< Else other nodes read it for this one.
  /// A node that knows nothing reads the store from then on.
  Time initial_read_at{};
  std::unordered_map<std::uint64_t, CallPtr> calls;
  std::map<std::pair<routing::Tier, std::uint64_t>, CallPtr> waiting_calls;
  kernel::EventWatcher waiting_timer;
  bool waiting_timer_armed = false;
  std::size_t body_bytes = 0;
  std::uint64_t last_number = 0;
  Time last_tick_at{};
  Time last_exchange_at{};  ///< When the last exchange began.
  kernel::EventWatcher tick_timer;
  kernel::EventWatcher exchange_timer;
  kernel::EventWatcher standby_timer;  ///< While it reads the store.
  kernel::EventWatcher standby_start_timer;
  bool leaving = false;
  Time leaving_since{};
  Time stopped_listening_at{};  ///< Default: it listens.
  Time cut_at{};         ///< When the stop ended what was left; default: not.
  std::size_t cut = 0;   ///< Calls ended by the stop before their answers.
  PeerNetworkPtr peers;  ///< Last, so that it goes first.
};

inline Time NowOf(const Proxy& proxy) { return kernel::Now(proxy.loop->clock); }

/// Whole milliseconds from one moment to another.
inline milliseconds Elapsed(Time from, Time to) {
  return std::chrono::duration_cast<milliseconds>(to - from);
}

/// Those among whom the allowance of repeats is shared.
inline routing::RetryBudgetFleet MakeRetryBudgetFleet(Proxy& proxy) {
  const Time now = NowOf(proxy);
  return {routing::EstimateFleetSize(proxy.members, now),
          Elapsed(proxy.members.started, now)};
}

// metrics.cc
/// Counts one event under a label.
void IncrementCounter(Proxy& proxy, const char* name, const char* help,
                      const std::string& labels);
/// Times of a class, which is named as the route.
const ClassMetrics* GetClassMetrics(Proxy& proxy, const std::string& cls);
/// Counts a call that has ended.
void CountCall(Proxy& proxy, const Call& call, const char* reason);
/// Sets what is shown of the moment.
void UpdateGauges(Proxy& proxy);

// calls.cc
/// A caller's request was read.
void OnRequest(Proxy& proxy, const net::HttpCallPtr& caller);
/// Sends the call now, lets it wait, or refuses it.
void Dispatch(Proxy& proxy, const CallPtr& call);
/// Tries those that wait, in their order.
void DispatchWaiting(Proxy& proxy);
/// Ends the call without an endpoint's answer.
void RefuseCall(Proxy& proxy, const CallPtr& call, int status, const char* code,
                milliseconds retry_after);
/// Hash of what the call asks for and who asks: it stays when the call comes
/// again under another id.
std::uint64_t GetFingerprint(Call& call);
/// The caller has its end; forgets the call.
void EndCall(Proxy& proxy, const CallPtr& call, const char* outcome);

/// True when an endpoint may run the request, or may have.
inline bool WasSent(const Call& call) {
  return call.may_have_run > 0 ||
         (call.attempt != nullptr && call.attempt->request_sent);
}
/// Ends the call without a whole answer, as truthfully as its state allows: a
/// begun answer is broken off, a request that left this node may have run, any
/// other has not.
void AbortCall(Proxy& proxy, const CallPtr& call, int status_if_sent,
               const char* code, milliseconds retry_after);

// stop.cc
/// Answers that callers have not taken yet.
std::size_t CountUndeliveredAnswers(const Proxy& proxy);
/// Time since the stop began.
milliseconds TimeSinceStop(const Proxy& proxy);
/// False once a stop is too far for any request that arrives.
bool CanAcceptRequests(const Proxy& proxy);
/// True unless the node stops and the rest of its grace time can't be expected
/// to hold the call, which no endpoint has run so far.
bool CanStillFinish(Proxy& proxy, const Call& call,
                    const routing::Placement& placement);
/// What a stop needs done as time passes.
void OnStopTick(Proxy& proxy);

// attempts.cc
void StartAttempt(Proxy& proxy, const CallPtr& call,
                  const routing::Placement& placement);
/// Stops the attempt without a decision; the endpoint sees a closed connection.
void CancelAttempt(Proxy& proxy, const CallPtr& call);
void EndAttempt(Proxy& proxy, const CallPtr& call, routing::AttemptOutcome end,
                const std::string& detail);

// advertised_limits.cc
/// Takes what an answer says of its endpoint's limit. A success without one, or
/// a failure of the endpoint's own, says that there is none any more.
void UpdateEndpointLimit(Proxy& proxy, const Call& call,
                         const AnswerMetadata& metadata);

// answers.cc
/// A page of the node itself: addresses, readiness, metrics.
void AnswerDirectory(Proxy& proxy, const net::HttpCallPtr& caller);
void AnswerReady(Proxy& proxy, const net::HttpCallPtr& caller);
void AnswerMetrics(Proxy& proxy, const net::HttpCallPtr& caller);
/// An error in the product's own form.
std::string ErrorBody(const char* code, std::string_view message,
                      const char* ran);
void AnswerError(const net::HttpCallPtr& caller, int status, const char* code,
                 std::string_view message, const char* ran,
                 milliseconds retry_after);

// store.cc
void StartStoreReaders(Proxy& proxy);
/// Opens the watches anew: what they would bring may be lost.
void RestartStoreReaders(Proxy& proxy);
/// Reads the store or leaves it to other nodes, as the fleet is now.
void UpdateStoreReaders(Proxy& proxy);
/// A peer knows as little as this node: the whole fleet may have just started.
void OnPeerWithoutData(Proxy& proxy);
/// True when this node failed to read the store lately.
bool IsStoreTroubled(const Proxy& proxy);

// store_changes.cc
/// Where news of the store come from; for the log.
enum class ChangeSource : std::uint8_t { kList, kWatch, kPeer };
/// Takes news of the store. `troubled`: whoever read them failed to read the
/// store lately.
void ApplyChanges(Proxy& proxy, const routing::Changes& changes,
                  ChangeSource source, bool troubled);

// peers_capnp.cc
kernel::Result<PeerNetworkPtr> OpenPeers(Proxy& proxy, std::string* address);
/// One exchange with one peer.
void Exchange(Proxy& proxy);
/// Tells `kReaderFanout` peers drawn at random at once.
void ExchangeWithManyPeers(Proxy& proxy);
/// A reader shows the nodes that would take its place that it is there.
void AnnounceToStandbys(Proxy& proxy);
/// At the loop's next turn asks peers for what they announced, and announces
/// what this node has to `announce_count` of them. Not at once: an answer that
/// is being taken must not end its own connection.
void ScheduleFetchAndAnnounce(Proxy& proxy, std::size_t announce_count);

// proxy.cc
bool IsReady(const Proxy& proxy);

}  // namespace egretladder::proxy
