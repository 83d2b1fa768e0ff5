// Where a request goes: the endpoint at which its first event is expected
// soonest, and a stream that must not pause also ends soonest.
//
// Load: long prompts of which most is shared. An engine that still holds the
// shared part starts within tens of milliseconds, one that doesn't reads it
// anew, and every request beside it waits. All nodes agree without messages on
// the endpoints that a session prefers (rendezvous hash: Thaler and
// Ravishankar, "Using Name-Based Mappings to Increase Hit Rates"), and leave
// them as soon as the wait there costs more than reading anew. One figure,
// milliseconds until the first event, weighs cache, queue, slowness and
// failures against each other.
#pragma once

#include <array>
#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "egretladder/kernel/hash.h"
#include "egretladder/routing/endpoints.h"

namespace egretladder::routing {

/// One part of a prompt, in order.
struct PromptPart {
  std::uint64_t id = 0;
  std::uint32_t tokens = 0;
};

/// What a request asks of an endpoint.
struct Demand {
  const Service* service = nullptr;
  Tier tier = 0;
  std::vector<PromptPart> parts;
  std::uint32_t prompt_tokens = 0;  ///< 0: not a generation.
  bool tight = false;  ///< A stream with short pauses; see `kMaxTightGap`.
  double events = 0;   ///< That its answer is expected to have.
  double longest = 0;  ///< The same if it is a long one.
  double expected_stream_ms = 0;  ///< Of its stream, from the first event on.
};

/// Tokens of all parts but the last, which is the request's own.
std::uint32_t SharedTokens(const Demand& demand);

/// What a node knows of its fleet, for its part of what is shared.
struct FleetSnapshot {
  std::size_t nodes = 1;
  std::string self;                ///< This node's name.
  std::vector<std::string> names;  ///< All nodes, this one included.
  std::string zone;                ///< Of this node.
};

/// Why a request goes where it goes, or nowhere.
enum class PlaceReason : std::uint8_t {
  kSession,   ///< Preferred by its session's hash.
  kCached,    ///< Read its shared parts before.
  kCheapest,  ///< The smallest expected wait.
  kNoneKnown,
  kAllLeaving,  ///< Or in a zone that is out.
  kAllFull,
  kAllCold,
  kAllLimited,  ///< They name limits, and it isn't this node's turn.
  kAllDown,
  kAllTried,
};
/// As logs show it.
const char* NameOf(PlaceReason reason);

/// What takes part in the decision: the terms of a placement's cost in the
/// order of the table in place_cost.cc, and two that choose among whom it is
/// made. Each can be switched off by a setting, so that its worth can be
/// measured.
enum class Mechanism : std::uint8_t {
  kQueue,    ///< What is read or run before it.
  kReading,  ///< Its own prompt.
  kAgain,    ///< Shared parts that another endpoint holds.
  kPace,     ///< The length of its own stream at the pace there.
  kDrift,    ///< First events that came later than expected.
  kFailing,
  kSilence,
  kZone,
  kCold,
  kSides,     ///< Tight streams and long prompts at engines of their own.
  kSessions,  ///< Endpoints preferred by the hash of the shared part.
};

/// The figure of each term, in ms; 0 for a mechanism that is no term.
struct Costs {
  std::array<double, kMechanisms> ms{};
  double Total() const;
  /// Of the terms that delay the request's first event.
  double UntilFirst() const;
};

/// The choice.
struct Placement {
  EndpointPtr endpoint;  ///< Null: none.
  PlaceReason reason = PlaceReason::kNoneKnown;
  double expected_ms = 0;      ///< Until the first event.
  double uncached_tokens = 0;  ///< That it will read.
  Costs costs;
  /// Until this node's next turn, where all endpoints name limits; nothing: not
  /// known.
  std::optional<milliseconds> room_in;
};

/// Chooses among the endpoints of the demand's service, leaving out those in
/// `tried`. Takes nothing: call `OnAttemptSent` for what is then sent.
Placement ChoosePlacement(const EndpointSet& set, const Demand& demand,
                          const std::vector<EndpointPtr>& tried,
                          const FleetSnapshot& fleet, kernel::Random& random,
                          Time now);

/// Counts a request that is about to be sent, and takes this node's turn where
/// nodes share a rate.
void OnAttemptSent(Endpoint& endpoint, const Demand& demand,
                   std::uint64_t attempt, const Placement& placement, Time now);
/// Its first byte came, or it ended without.
void OnAttemptStarted(Endpoint& endpoint, const Demand& demand,
                      std::uint64_t attempt, const Placement& placement);
/// It ended.
void OnAttemptEnded(Endpoint& endpoint);

}  // namespace egretladder::routing
