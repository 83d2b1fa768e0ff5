// What one node knows of the endpoints: what they published, what this node
// has in flight there, what peers said they have, and how far it trusts them.
#pragma once

#include <array>
#include <bitset>
#include <chrono>
#include <cstdint>
#include <list>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

#include "egretladder/kernel/time.h"
#include "egretladder/routing/limits.h"
#include "egretladder/routing/pace.h"
#include "egretladder/routing/route_table.h"

namespace egretladder::routing {

using kernel::Time;

/// What an endpoint publishes of itself.
struct EndpointEntry {
  std::string id;  ///< Of this start of its process.
  std::string service;
  std::string address;  ///< `IP:port`.
  std::string zone;
  std::uint32_t slots = 1;
  bool leaving = false;  ///< Takes no new work.
  milliseconds cold_left{};
  std::uint64_t started_unix_ms = 0;  ///< Unix ms of its start; 0: not said.
};

/// A limit that an endpoint names for all nodes together.
struct NamedLimit {
  double per_second = 0;  ///< 0: none.
  Time named{};           ///< When it last said so.
  Time began{};           ///< When this node first heard of it.
  Time ended{};           ///< When it last ceased to name one.
};

/// What an entry makes of an endpoint.
enum class EndpointPhase : std::uint8_t {
  kServing,
  kLeaving,
  /// Its entry went during an outage of the store; believed for a while.
  kLapsed,
  kGone,
};
/// As logs show it.
const char* NameOf(EndpointPhase phase);

/// How far this node trusts an endpoint, from its own requests only: reports
/// and health checks may be wrong either way.
struct Trust {
  double failing = 0;  ///< Share of failures, smoothed.
  Time failing_at{};
  std::uint32_t refused = 0;  ///< Connections, in a row.
  Time avoid_until{};
  Time full_until{};
  double drift_ms = 0;  ///< First events later than expected, smoothed.
  double mean_ms = 0;   ///< Time of a whole answer, smoothed; 0: unknown.
};

/// Ranks are few; what is less urgent shares the last place.
inline constexpr std::size_t kTiers = 10;

/// Work that waits for its first event, in prompt tokens, by rank.
using TokensByTier = std::array<double, kTiers>;

/// One endpoint.
struct Endpoint {
  EndpointEntry entry;
  /// Its place among the endpoints of its service by a hash of their names,
  /// from 0 up to 1: the same at all nodes.
  double order = 0;
  std::uint64_t name_hash = 0;
  EndpointPhase phase = EndpointPhase::kServing;
  Time lapsed_until{};
  Time cold_until{};
  NamedLimit limit;
  Time last_limited_send{};  ///< Last request of this node under a shared rate.
  std::uint32_t in_flight = 0;  ///< Of this node.
  Time heard_at{};              ///< Last sign of life to this node.
  TokensByTier waiting_tokens{};
  double peers_in_flight = 0;
  double peers_waiting_tokens = 0;
  Trust health;
  EnginePace pace;
  /// Requests of this node without an answer so far: when sent, and until when
  /// an answer was expected.
  std::map<std::uint64_t, std::pair<Time, Time>> unanswered;
  /// Prompt parts that it read for this node, by their last use.
  std::unordered_map<std::uint64_t, Time> parts;
};
/// Attempts in progress keep an endpoint that is no longer published.
using EndpointPtr = std::shared_ptr<Endpoint>;

/// Parts of the decision where a request goes; see `Mechanism` in place.h.
inline constexpr std::size_t kMechanisms = 11;
/// Mechanisms that settings switch off.
using DisabledMechanisms = std::bitset<kMechanisms>;

/// All endpoints that may get work, and those that just went.
struct EndpointSet {
  std::map<std::string, EndpointPtr> by_id;
  /// By the hash of their names.
  std::unordered_map<std::string, std::vector<EndpointPtr>> by_service;
  std::map<std::string, bool, std::less<>> zones_out;
  std::set<std::string> limited;  ///< By id; those of which peers are told.
  std::unordered_map<std::string, ServicePace> service_paces;  ///< By service.
  double tight_fraction = kTightPartUnknown;                   ///< See sides.h.
  DisabledMechanisms disabled_mechanisms;
};

/// What became of an endpoint by a change of its entry; for the log.
enum class EntryChange : std::uint8_t {
  kNone,
  kNew,
  kRestarted,  ///< Same name, another process.
  kChanged,
  kLeaving,
  kCold,
  kLapsed,
  kGone,
};
/// As logs show it.
const char* NameOf(EntryChange change);

/// Takes an entry. A process that started anew begins without history.
EntryChange OnEntryPublished(EndpointSet& set, const EndpointEntry& entry,
                             Time now);

/// The entry is gone. `trouble`: the store was out of reach lately, so that the
/// endpoint may have been unable to renew it; it is believed for `kLapseGrace`
/// more.
EntryChange OnEntryRemoved(EndpointSet& set, const std::string& id,
                           bool trouble, Time now);

/// Another process answers at its address: it gets no more work.
void OnWrongInstance(EndpointSet& set, const std::string& id);

/// Ends the grace of lapsed entries. Returns the ids that went.
std::vector<std::string> RemoveLapsedEndpoints(EndpointSet& set, Time now);

/// Zones that operators took out get nothing new.
void SetZoneOut(EndpointSet& set, const std::string& zone, bool out);
/// True while nothing may be sent to the zone.
bool IsZoneOut(const EndpointSet& set, std::string_view zone);

/// What the engines of the service have in common.
const ServicePace& FindServicePace(const EndpointSet& set,
                                   const std::string& service);

/// Evidence of this node's own requests.
void OnSignOfLife(Endpoint& endpoint, Time now);
/// True when it gave a sign of life within `kHeardLately`.
bool IsRecentlyHeard(const Endpoint& endpoint, Time now);
void OnConnectFailed(Endpoint& endpoint, Time now);
/// It broke off, or gave what is no answer.
void OnAttemptFailed(Endpoint& endpoint, Time now);
/// It said that it is full.
void OnEndpointFull(Endpoint& endpoint, milliseconds pause, Time now);
/// Its first byte came after `took`; `expected` was the estimate.
void OnFirstByte(Endpoint& endpoint, milliseconds took, milliseconds expected);
/// It answered whole, after `took`.
void OnAnswered(Endpoint& endpoint, milliseconds took, Time now);
/// Share of failures as of now.
double FailingOf(const Trust& health, Time now);
/// How much longer than expected its oldest request waits for a first byte.
milliseconds SilenceOf(const Endpoint& endpoint, Time now);

/// Remembers that it read these prompt parts.
void NoteParts(Endpoint& endpoint, const std::vector<std::uint64_t>& parts,
               Time now);
/// True when it is expected to hold the part.
bool HoldsPart(const Endpoint& endpoint, std::uint64_t part, Time now);

}  // namespace egretladder::routing
