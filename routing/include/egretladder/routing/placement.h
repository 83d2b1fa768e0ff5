// Chooses the endpoint for a request: the one at which its first event is
// expected soonest, and for a tight stream also the soonest end.
//
// Most of a long prompt is often shared with other requests. An engine that has
// the shared part in its prefix cache starts within tens of milliseconds; one
// that hasn't must prefill it again, and all requests beside it wait. All nodes
// agree without messages on the endpoints that a session prefers (rendezvous
// hashing: Thaler and Ravishankar, "Using Name-Based Mappings to Increase Hit
// Rates"). They use another endpoint as soon as the wait at the preferred ones
// costs more than the prefill. A single figure, the milliseconds until the
// first event, weighs cache, queue, slowness and failures against each other.
#pragma once

#include <array>
#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "egretladder/kernel/hash.h"
#include "egretladder/routing/endpoints.h"

namespace egretladder::routing {

/// One part of a prompt. Requests that share the part have the same id for it.
struct PromptPart {
  std::uint64_t id = 0;
  std::uint32_t tokens = 0;
};

/// What placement needs to know about a request.
struct Demand {
  const Service* service = nullptr;
  Tier tier = 0;
  std::vector<PromptPart> parts;    ///< In the order of the prompt.
  std::uint32_t prompt_tokens = 0;  ///< 0: not a generation.
  /// A stream that is placed by the pace of engines; see `kMaxTightGap`.
  bool tight = false;
  milliseconds gap_target{};  ///< Promised longest pause; 0: none.
  double events = 0;          ///< Expected number of events in the answer.
  double longest = 0;         ///< Number of events if the stream is a long one.
  double expected_stream_ms = 0;  ///< From the first event to the end.
  /// Time to a long complete answer of the route, in ms; nothing: unknown.
  std::optional<double> long_answer_ms;
  /// The request goes on with a stream that this version began; unknown: any
  /// version will do.
  SoftwareVersion version = kUnknownVersion;
  /// The same for the weights that made its last event.
  Weights weights;
  /// The request goes on with a stream, whatever version began it.
  bool goes_on = false;
};

/// Returns the tokens of all parts but the last. The last part belongs to this
/// request alone.
std::uint32_t SharedTokens(const Demand& demand);

/// A node that was taken for gone.
struct LostNode {
  std::string name;
  Time lost_at{};
};

/// What a node knows about its fleet, from which it derives its part of limits
/// that all nodes share.
struct FleetSnapshot {
  std::size_t nodes = 1;           ///< Size that the fleet is assumed to have.
  std::string self;                ///< This node's name.
  std::vector<std::string> names;  ///< Available nodes, this one included.
  std::string zone;                ///< This node's availability zone.
  bool is_standalone = false;      ///< No peer is known, nor named by settings.
  /// Nodes that were taken for gone while they may still run, until they are
  /// forgotten.
  std::vector<LostNode> lost;
  /// Since when peers have answered this node without a gap while it knew most
  /// of the fleet; the maximum: they don't, or it doesn't.
  Time in_touch_since{};
  bool is_leaving = false;  ///< This node leaves, and the others know.
  /// Another one for each change of the names; 0: not known.
  std::uint64_t number = 0;
};

/// Why an endpoint was chosen, or why none was. If several reasons keep
/// endpoints from being used, the last one in this order is reported.
enum class PlacementReason : std::uint8_t {
  kSession,        ///< It is the session's first choice by hash.
  kCached,         ///< It has all shared parts in its prefix cache.
  kCheapest,       ///< It has the lowest cost.
  kNoneKnown,      ///< The service has no endpoints.
  kNoneOfVersion,  ///< None has the version that the request needs.
  kOtherSenders,   ///< They are brittle, and only other nodes send there.
  kAllLeaving,     ///< All are leaving or in a zone that is out.
  kAllBackingOff,  ///< They asked for no requests for some time.
  kAllFull,
  kAllCold,
  kAllLimited,  ///< They advertise limits, and it isn't this node's turn.
  kAllDown,
  kAllTried,
};
/// Returns the reason's name in logs.
const char* NameOf(PlacementReason reason);

/// The mechanisms of placement: the terms of its cost, in the order of the
/// table in placement_cost.cc, and two that select the candidates. A setting
/// switches each of them off, so that its benefit can be measured.
enum class Mechanism : std::uint8_t {
  kQueue,        ///< Work that is processed before the request.
  kReading,      ///< Prefill of the request's own part of the prompt.
  kReread,       ///< Prefill of shared parts that aren't in the prefix cache.
  kPace,         ///< Duration of a tight stream at the endpoint's pace.
  kDrift,        ///< First events that came later than expected.
  kFailing,      ///< The endpoint's failure rate.
  kSilence,      ///< Requests that wait too long for a first byte.
  kZone,         ///< The endpoint is in another availability zone.
  kCold,         ///< The endpoint is cold or its entry has lapsed.
  kEngineSplit,  ///< Separate engines for tight streams and long prompts.
  kSessionAffinity,  ///< Endpoints preferred by the hash of the shared part.
};

/// The cost of each mechanism, in ms; 0 for one that isn't a cost term.
struct PlacementCosts {
  std::array<double, kMechanismCount> ms{};
  /// Returns the sum of all terms, in ms.
  double Total() const;
  /// Returns the sum of the terms that delay the request's first event, in ms.
  double UntilFirstEvent() const;
};

/// The result of a placement.
struct Placement {
  EndpointPtr endpoint;  ///< Null: none can be used now.
  PlacementReason reason = PlacementReason::kNoneKnown;
  double expected_ms = 0;      ///< Expected time to the first event.
  double uncached_tokens = 0;  ///< Prompt tokens that the endpoint prefills.
  PlacementCosts costs;
  /// Time until this node may next send, if advertised limits and backoffs that
  /// endpoints asked for are the only obstacles; nullopt: unknown.
  std::optional<milliseconds> next_turn_in;
  /// If there is no endpoint: some to which only other nodes may send now.
  std::vector<EndpointPtr> elsewhere;
};

/// Chooses an endpoint of the demand's service, leaving out those in `tried`
/// unless no other one can be used. It reserves nothing: call `OnAttemptSent`
/// for each request that is then sent.
Placement ChoosePlacement(const EndpointSet& set, const Demand& demand,
                          const std::vector<EndpointPtr>& tried,
                          const FleetSnapshot& fleet, kernel::Random& random,
                          Time now);

/// Returns true if a request may be sent to an endpoint at which it was placed
/// before: the endpoint takes new work, asked for no backoff and turned no
/// others away meanwhile, if it is brittle. A request may wait some hundred
/// milliseconds for its connection.
bool MaySend(const EndpointSet& set, const Endpoint& endpoint, Time now);

/// Counts a request that is about to be sent. If the endpoint has a rate that
/// nodes share, it also uses this node's turn.
void OnAttemptSent(Endpoint& endpoint, const Demand& demand,
                   std::uint64_t attempt, const Placement& placement, Time now);
/// Records that the first byte of the attempt, whose body has so many bytes, is
/// sent now.
void OnAttemptBegan(Endpoint& endpoint, std::uint64_t attempt,
                    std::size_t body_bytes, Time now);
/// Records that the attempt's first byte came, or that it ended without one.
void OnAttemptStarted(Endpoint& endpoint, const Demand& demand,
                      std::uint64_t attempt, const Placement& placement);
/// Records that an attempt at the endpoint ended.
void OnAttemptEnded(Endpoint& endpoint);

}  // namespace egretladder::routing
