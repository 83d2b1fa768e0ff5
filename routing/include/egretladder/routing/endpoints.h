// What one node knows of the endpoints: the entries that they publish, this
// node's requests in flight, the load that peers report, and their health as
// this node's own requests show it.
#pragma once

#include <array>
#include <bitset>
#include <chrono>
#include <cstdint>
#include <deque>
#include <list>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

#include "egretladder/kernel/time.h"
#include "egretladder/routing/id_steps.h"
#include "egretladder/routing/limits.h"
#include "egretladder/routing/odd_events.h"
#include "egretladder/routing/pace.h"
#include "egretladder/routing/prompt_pauses.h"
#include "egretladder/routing/route_table.h"
#include "egretladder/routing/stream_ends.h"
#include "egretladder/routing/weights.h"

namespace egretladder::routing {

using kernel::Time;

/// A version of the software of a service's endpoints, as a hash.
using SoftwareVersion = std::uint64_t;
inline constexpr SoftwareVersion kUnknownVersion = 0;

/// What an endpoint publishes about itself.
struct EndpointEntry {
  /// Instance id. If it is published with another start time, address or
  /// service, the process has restarted.
  std::string id;
  std::string service;
  std::string address;  ///< `IP:port`.
  std::string zone;
  std::uint32_t slots = 1;   ///< Requests that it runs concurrently.
  bool leaving = false;      ///< Takes no new work.
  milliseconds cold_left{};  ///< Time until it is warm after a cold start.
  std::uint64_t started_unix_ms = 0;  ///< Process start; 0: not published.
  /// Rises with each entry that the process writes.
  std::uint64_t sequence = 0;
  /// Version of the endpoint's software; empty: not published.
  std::string software_version;
  bool is_version_invalid = false;  ///< It is published in another form.
  /// Of its model; unset: not published, or models have different ones.
  Weights weights;
};

/// A rate limit that an endpoint advertises for all nodes together.
struct AdvertisedLimit {
  double per_second = 0;  ///< Requests a second; 0: no limit.
  Time advertised_at{};   ///< When the endpoint last stated the limit.
  Time began_at{};        ///< When this node first learned of the limit.
  Time ended_at{};        ///< When the last limit ended.
};

/// What an endpoint's process has stated about itself in answers to this node.
/// It holds whatever the store says; see endpoint_notices.h.
struct StandingNotices {
  bool leaving = false;  ///< It takes no new work and is about to end.
  Time backoff_until{};  ///< It wants no request from this node until then.
};

/// What another process than the one of an endpoint's entry has stated at its
/// address. It is that process's own once its entry arrives.
struct SuccessorNotices {
  std::uint64_t started_unix_ms = 0;  ///< When it started; 0: there is none.
  StandingNotices notices;
};

/// That the endpoints of a service are brittle; see brittle.h.
struct BrittleStatement {
  /// Requests that an endpoint can turn away in a second without falling over.
  std::uint32_t tolerance = 0;
  Time stated_at{};  ///< When an endpoint last stated it.
  /// When an endpoint last answered without stating it; default: never.
  Time not_stated_at{};
};

/// What this node learned of the room of a brittle endpoint.
struct BrittleRoom {
  double max_in_flight = 0;  ///< At `refused_at`; it rises from then on.
  Time refused_at{};         ///< Last refusal at any node; default: none.
  /// Refusals at this node within `kBrittleRefusalWindow`, oldest first.
  std::deque<Time> own_refusals;
  milliseconds refusal_time{};  ///< How long the last one of them took.
  /// Requests within `kBrittleRefusalWindow` that this node gave up on while
  /// they could still be turned away, oldest first.
  std::deque<Time> given_up;
};

/// Whether this node was found to be one of those that may send to an endpoint;
/// see `IsAmongSenders`.
struct SenderCheck {
  std::uint64_t snapshot = 0;  ///< `FleetSnapshot::number`; 0: none so far.
  std::size_t senders = 0;
  std::size_t others = 0;
  bool is_sender = false;
  /// When the last node before this one in the order of senders was taken for
  /// gone; default: none was.
  Time predecessor_lost_at{};
};

/// An attempt of this node that got no byte so far.
struct UnansweredAttempt {
  Time placed_at{};
  Time expected_at{};  ///< When its first byte was expected.
  Time sent_at{};      ///< Default: its first byte was not sent so far.
  /// How long its body is under way on a narrow link.
  milliseconds transfer_time{};
};

/// Round trips to the endpoints of a zone; see round_trip.h.
struct RoundTrip {
  double mean_ms = 0;       ///< Moving average; 0: not known.
  double deviation_ms = 0;  ///< Moving average.
};

/// An endpoint's phase, as its entry in the store determines it.
enum class EndpointPhase : std::uint8_t {
  kServing,
  kLeaving,
  /// Its entry disappeared around an outage of the store. The endpoint stays
  /// usable for `kLapseGrace`.
  kLapsed,
  kGone,
};
/// Returns the phase's name in logs.
const char* NameOf(EndpointPhase phase);

/// An endpoint's health, judged by this node's own requests only: reports and
/// health checks can be wrong in either direction.
struct EndpointHealth {
  /// Moving average of the share of failed answers at `failure_rate_at`; see
  /// `FailureRate`.
  double failure_rate = 0;
  Time failure_rate_at{};
  std::uint32_t refused_connections = 0;  ///< Consecutive refusals.
  Time avoid_until{};  ///< End of the backoff after refused connections.
  Time full_until{};   ///< End of the pause after the endpoint said it is full.
  /// Moving average of how much later than expected the first byte came, at
  /// `drift_at`; see `DriftAt`.
  double drift_ms = 0;
  Time drift_at{};
  /// Moving average of the time to a complete answer; 0: unknown.
  double mean_answer_ms = 0;
};

/// Ranks that are counted separately. Less urgent ranks share the last one.
inline constexpr std::size_t kTiers = 10;

/// Prompt tokens of requests that wait for their first event, by rank.
using TokensByTier = std::array<double, kTiers>;

/// What this node knows of one endpoint.
struct Endpoint {
  EndpointEntry entry;
  /// Position among the endpoints of its service, ordered by the hash of their
  /// names, in [0, 1). It is the same at all nodes.
  double hash_position = 0;
  std::uint64_t name_hash = 0;
  SoftwareVersion version = kUnknownVersion;  ///< As its entry says.
  Time version_since{};  ///< When this node learned of that version.
  Weights weights;       ///< As its last answer stated.
  /// Since when this node knows the process of the entry.
  Time known_since{};
  /// When a connection to it last broke or was refused; default: not since its
  /// entry was last confirmed.
  Time broke_at{};
  /// Since when another process may answer at its address; default: it is the
  /// one of its entry. See `IsVersionSure`.
  Time doubted_since{};
  /// When the last question was asked by whose answer its process is the one of
  /// its entry; default: none was.
  Time proven_at{};
  /// Its streams say themselves where they end; unset: none has come so far.
  std::optional<bool> frames_streams;
  /// Another process answers at its address, of which its entry doesn't tell
  /// yet.
  bool is_replaced = false;
  EndpointPhase phase = EndpointPhase::kServing;
  Time lapsed_until{};  ///< While lapsed: when it is removed.
  Time cold_until{};
  AdvertisedLimit limit;
  StandingNotices notices;
  SuccessorNotices successor;
  BrittleRoom brittle_room;
  mutable SenderCheck sender_check;  ///< The last one.
  Time last_limited_send{};  ///< Last request of this node under a shared rate.
  std::uint32_t in_flight = 0;  ///< Requests in flight from this node.
  Time last_heard_at{};         ///< When this node last received bytes from it.
  TokensByTier waiting_tokens{};    ///< Of this node's requests.
  double peers_in_flight = 0;       ///< Requests in flight from other nodes.
  double peers_waiting_tokens = 0;  ///< Prompt tokens of other nodes' requests.
  EndpointHealth health;
  EnginePace pace;
  IdSteps id_steps;        ///< Of its streams.
  OddShares odd_events{};  ///< Of its streams.
  StreamEnds stream_ends;  ///< Of its process, as this node's attempts show it.
  /// This node's attempts without a first byte so far, by number.
  std::map<std::uint64_t, UnansweredAttempt> unanswered;
  /// Prompt parts that it has processed for this node, with their last use.
  std::unordered_map<std::uint64_t, Time> parts;
};
/// Shared, so that attempts in progress keep an endpoint that is no longer
/// published.
using EndpointPtr = std::shared_ptr<Endpoint>;

/// What is remembered of a removed endpoint: its last entry, and what it had
/// stated about itself.
struct RemovedEndpoint {
  EndpointEntry entry;
  StandingNotices notices;
  SuccessorNotices successor;
  AdvertisedLimit limit;
  std::uint64_t number = 0;  ///< Rises with each removal.
};

/// A change of a zone that is applied later; see restored_entries.h.
struct DeferredZoneChange {
  bool is_out = false;
  Time due_at{};
};

/// Number of placement mechanisms; see `Mechanism` in placement.h.
inline constexpr std::size_t kMechanismCount = 11;
/// The mechanisms that settings switch off.
using DisabledMechanisms = std::bitset<kMechanismCount>;

/// All published endpoints, lapsed and leaving ones included.
struct EndpointSet {
  std::map<std::string, EndpointPtr> by_id;
  /// Each service's endpoints, sorted by the hash of their names.
  std::unordered_map<std::string, std::vector<EndpointPtr>> by_service;
  /// How many endpoints each service has at each version.
  std::unordered_map<std::string, std::map<SoftwareVersion, std::size_t>>
      versions_by_service;
  /// How many endpoints of each service have which weights, as far as known.
  std::unordered_map<std::string, std::map<std::uint64_t, std::size_t>>
      weights_by_service;
  std::set<std::string> lapsed;  ///< Ids of the lapsed endpoints.
  std::map<std::string, bool, std::less<>> zones_out;
  /// Ids of the endpoints whose limit, or its recent end, is gossiped to peers.
  std::set<std::string> limited;
  std::map<std::string, RoundTrip, std::less<>> round_trips;  ///< By zone.
  /// Last statements that services are brittle, by service.
  std::map<std::string, BrittleStatement> brittle_services;
  /// Removed endpoints by id, in case that their entries return.
  std::unordered_map<std::string, RemovedEndpoint> removed_endpoints;
  std::uint64_t last_removal_number = 0;  ///< Of `removed_endpoints`.
  std::map<std::string, DeferredZoneChange>
      deferred_zone_changes;                                   ///< By zone.
  std::unordered_map<std::string, ServicePace> service_paces;  ///< By service.
  /// Fraction of the engines that serves tight streams; 0: the engines aren't
  /// split. See engine_split.h.
  double tight_fraction = 0;
  PauseEstimate pauses;  ///< Of streams beside long prompts.
  /// When this node last placed a stream that long prompts would delay beyond
  /// its promise; default: never.
  Time last_delayed_stream_at{};
  DisabledMechanisms disabled_mechanisms;
};

/// The effect that a change of its entry had on an endpoint, for the log.
enum class EntryChange : std::uint8_t {
  kNone,
  kNew,
  kRestarted,  ///< Another process published the same id.
  kChanged,
  kLeaving,
  kCold,
  kLapsed,
  kGone,
};
/// Returns the change's name in logs.
const char* NameOf(EntryChange change);

/// Whether the process that answers at an endpoint wrote its entry.
enum class ProcessCheckResult : std::uint8_t {
  kSame,
  kReplaced,
  kUnclear,   ///< The process or the entry doesn't say when it started.
  kNoAnswer,  ///< No process accepts connections there.
  kLost,      ///< The connection ended without an answer.
  kSilent,    ///< Nothing came in time.
};
/// Returns the result's name in metrics.
const char* NameOf(ProcessCheckResult result);

/// Returns true if two entries with the same id come from the same process.
bool IsSameProcess(const EndpointEntry& left, const EndpointEntry& right);

/// Changes the phase of an endpoint of the set.
void SetPhase(EndpointSet& set, Endpoint& endpoint, EndpointPhase phase);

/// Returns true if the endpoint takes no new work, by its entry or by its own
/// answers.
bool IsLeaving(const Endpoint& endpoint);

/// Returns the weights of its last answer, or those of its entry, which may be
/// behind, as long as there is none.
Weights StatedWeights(const Endpoint& endpoint);
/// Records which weights the endpoint has. It may have been removed.
void SetWeights(EndpointSet& set, Endpoint& endpoint, Weights weights);

/// Applies a published entry. An endpoint whose process restarted starts
/// without history.
EntryChange OnEntryPublished(EndpointSet& set, const EndpointEntry& entry,
                             Time now);

/// Applies the removal of an entry. If `store_was_unreachable` recently, the
/// endpoint may have been unable to renew its entry, and a serving endpoint
/// stays usable for another `kLapseGrace`.
EntryChange OnEntryRemoved(EndpointSet& set, const std::string& id,
                           bool store_was_unreachable, Time now);

/// Removes an endpoint because another process answers at its address.
void OnWrongInstance(EndpointSet& set, const std::string& id);

/// Removes lapsed endpoints whose grace period is over. Returns their ids.
std::vector<std::string> RemoveLapsedEndpoints(EndpointSet& set, Time now);

/// Marks a zone that operators took out of service, or puts it back. Endpoints
/// in a zone that is out get no new requests. Ends a deferred change.
void SetZoneOut(EndpointSet& set, const std::string& zone, bool is_out);
/// Returns true while the zone is out.
bool IsZoneOut(const EndpointSet& set, std::string_view zone);

/// Returns the learned pace of a service's engines; an empty one if none was
/// learned yet.
const ServicePace& FindServicePace(const EndpointSet& set,
                                   const std::string& service);

/// Records that bytes arrived from the endpoint.
void OnSignOfLife(Endpoint& endpoint, Time now);
/// Returns true if bytes arrived from the endpoint within
/// `kRecentlyHeardWindow`.
bool IsRecentlyHeard(const Endpoint& endpoint, Time now);
/// Records that a connection to the endpoint broke or was refused, as when its
/// process ends.
void OnConnectionLost(Endpoint& endpoint, Time now);
/// Returns false if another process may answer at the endpoint's address: a
/// connection was lost, and since then neither its entry was written again nor
/// its process said that it is the one of its entry, or it said that it is
/// another one.
bool IsVersionSure(const Endpoint& endpoint);
/// Records when the process that answers at the endpoint says that it started,
/// in Unix milliseconds; 0: it doesn't say. It was asked at `asked_at`.
ProcessCheckResult OnProcessStated(Endpoint& endpoint,
                                   std::uint64_t started_unix_ms,
                                   Time asked_at);
/// Returns from when on a process that states no start is the one of the entry,
/// if it has answered at the endpoint since `answers_since`: it would have
/// written another entry by then.
Time WitnessedFrom(const Endpoint& endpoint, Time answers_since);
/// Records that the process of the entry has answered a question of `asked_at`.
void OnProcessWitnessed(Endpoint& endpoint, Time asked_at);
/// Records a refused connection and starts or doubles the connect backoff.
void OnConnectFailed(Endpoint& endpoint, Time now);
/// Records that the endpoint was asked for its process, and that no connection
/// opened or no answer came in time: others would wait as long. It backs off
/// like after a refused connection, once for questions side by side.
void OnQuestionUnanswered(Endpoint& endpoint, Time now);
/// Records an attempt that ended without a valid answer.
void OnAttemptFailed(Endpoint& endpoint, Time now);
/// Records that the endpoint reported to be full. It gets no requests for
/// `pause`.
void OnEndpointFull(Endpoint& endpoint, milliseconds pause, Time now);
/// Records that a first byte came after `elapsed`, where `expected` was the
/// estimate.
void OnFirstByte(Endpoint& endpoint, milliseconds elapsed,
                 milliseconds expected, Time now);
/// Returns how much later than expected first bytes come, as of `now`. It
/// halves every `kDriftHalfLife` without one, and is 0 below `kMinDrift`.
std::chrono::duration<double, std::milli> DriftAt(const EndpointHealth& health,
                                                  Time now);
/// Records a complete answer after `elapsed`.
void OnAnswered(Endpoint& endpoint, milliseconds elapsed, Time now);
/// Returns the failure rate at `now`; it halves every `kFailureHalfLife`.
double FailureRate(const EndpointHealth& health, Time now);
/// Returns by how much the oldest unanswered request exceeds the wait for a
/// first byte that is still considered normal; 0 if it doesn't.
milliseconds OverdueTime(const Endpoint& endpoint, Time now);

/// Records that the endpoint processes these prompt parts.
void RecordPromptParts(Endpoint& endpoint,
                       const std::vector<std::uint64_t>& parts, Time now);
/// Returns true if the endpoint is expected to have the part in its prefix
/// cache.
bool HasCachedPart(const Endpoint& endpoint, std::uint64_t part, Time now);

}  // namespace egretladder::routing
