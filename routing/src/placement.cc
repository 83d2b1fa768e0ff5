#include "egretladder/routing/placement.h"

#include <algorithm>
#include <cmath>
#include <limits>
#include <utility>

#include "egretladder/routing/brittle.h"
#include "egretladder/routing/endpoint_notices.h"
#include "egretladder/routing/engine_split.h"
#include "egretladder/routing/placement_cost.h"
#include "egretladder/routing/round_trip.h"
#include "egretladder/routing/shared_rate.h"

namespace egretladder::routing {
namespace {

// Returns the id of the shared part by which the session's requests are kept
// together; 0 if the session prefers no endpoints.
std::uint64_t SessionHash(const Demand& demand) {
  const auto& parts = demand.parts;
  if (parts.empty() || SharedTokens(demand) < kMinSessionTokens) return 0;
  // With several parts, the last one belongs to this request alone.
  return parts[parts.size() > 1 ? parts.size() - 2 : 0].id;
}

std::uint32_t MaxInFlightPerNode(const Endpoint& endpoint,
                                 const FleetSnapshot& fleet) {
  const double even_share =
      static_cast<double>(endpoint.entry.slots) /
      static_cast<double>(std::max<std::size_t>(fleet.nodes, 1));
  return std::max(kMinSlotsPerNode, static_cast<std::uint32_t>(std::ceil(
                                        kSlotOvercommitFactor * even_share)));
}

bool IsCold(const Endpoint& endpoint, Time now) {
  return now < endpoint.cold_until;
}

// Estimates the prompt tokens that the endpoint has to prefill. The session's
// first choice is assumed to have the shared parts cached unless it is cold.
UncachedTokens EstimateUncachedTokens(const Endpoint& endpoint,
                                      const Demand& demand,
                                      bool is_first_choice, Time now) {
  UncachedTokens uncached;
  uncached.own = demand.prompt_tokens;
  bool is_cached = true;
  for (std::size_t i = 0; i < demand.parts.size(); ++i) {
    const PromptPart& part = demand.parts[i];
    // The last part belongs to this request alone, unless it was processed at
    // this endpoint before.
    const bool is_last = i + 1 == demand.parts.size();
    is_cached =
        is_cached && (HasCachedPart(endpoint, part.id, now) ||
                      (is_first_choice && !is_last && !IsCold(endpoint, now)));
    if (!is_cached && is_last) break;
    uncached.own -= part.tokens;
    if (!is_cached) uncached.shared += part.tokens;
  }
  uncached.own = std::max(0.0, uncached.own);
  return uncached;
}

// The endpoints that can take a request now.
struct UsableEndpoints {
  std::vector<EndpointPtr> endpoints;
  PlacementReason reason_if_none = PlacementReason::kNoneKnown;
  // An endpoint that can't be used now may become usable at any moment.
  bool may_free_up = false;
  // When this node may first send to an endpoint that advertises a limit or
  // asked for a backoff.
  std::optional<Time> next_turn;
  std::vector<EndpointPtr> elsewhere;  // Only other nodes may send there.
};

void KeepEarlier(std::optional<Time>& earliest, Time time) {
  earliest = earliest ? std::min(*earliest, time) : time;
}

// Records when an endpoint that can't be used now is expected to have room.
void RecordNextTurn(UsableEndpoints& usable, PlacementReason reason,
                    const Endpoint& endpoint, const Demand& demand,
                    const FleetSnapshot& fleet, Time now) {
  if (reason == PlacementReason::kAllLeaving ||
      reason == PlacementReason::kOtherSenders)
    return;
  if (reason == PlacementReason::kAllBackingOff) {
    KeepEarlier(usable.next_turn, endpoint.notices.backoff_until);
    return;
  }
  const auto rate = FindSharedRate(endpoint, *demand.service, now);
  if (reason != PlacementReason::kAllLimited || !rate) {
    usable.may_free_up = true;
    return;
  }
  const Time next_turn = NextTurnTime(endpoint, *rate, fleet);
  // A turn in the past means that this node is not among the senders.
  if (next_turn <= now) return;
  KeepEarlier(usable.next_turn, next_turn);
}

std::optional<milliseconds> TimeToNextTurn(const UsableEndpoints& usable,
                                           Time now) {
  if (usable.may_free_up || !usable.next_turn) return {};
  return std::chrono::ceil<milliseconds>(*usable.next_turn - now);
}

// Returns why the endpoint can't be used now; `kCheapest` if it can.
PlacementReason WhyUnusable(const EndpointSet& set, const Endpoint& endpoint,
                            const Demand& demand, const FleetSnapshot& fleet,
                            Time now) {
  if (IsLeaving(endpoint) || IsZoneOut(set, endpoint.entry.zone)) {
    return PlacementReason::kAllLeaving;
  }
  if (RemainingBackoff(endpoint, now).count() > 0) {
    return PlacementReason::kAllBackingOff;
  }
  if (now < endpoint.health.avoid_until) return PlacementReason::kAllDown;
  if (now < endpoint.health.full_until) return PlacementReason::kAllFull;
  const BrittleStatement* brittle = FindBrittle(set, demand.service->name, now);
  const BrittleVerdict verdict =
      brittle != nullptr ? CheckBrittleRoom(set, endpoint, *brittle, fleet, now)
                         : BrittleVerdict::kRoom;
  if (verdict == BrittleVerdict::kOtherSenders)
    return PlacementReason::kOtherSenders;
  // A brittle endpoint has few senders, each with a larger part of its slots.
  const bool is_full =
      verdict == BrittleVerdict::kFull ||
      (brittle == nullptr &&
       endpoint.in_flight >= MaxInFlightPerNode(endpoint, fleet));
  if (is_full) return PlacementReason::kAllFull;
  if (const auto rate = FindSharedRate(endpoint, *demand.service, now)) {
    if (now < NextTurnTime(endpoint, *rate, fleet) ||
        !IsSender(endpoint, *rate, fleet)) {
      return rate->reason == RateReason::kCold ? PlacementReason::kAllCold
                                               : PlacementReason::kAllLimited;
    }
  }
  return PlacementReason::kCheapest;
}

bool HasVersion(const Endpoint& endpoint, const Demand& demand) {
  return (demand.version == kUnknownVersion ||
          endpoint.version == demand.version) &&
         MayFollow(demand.weights, endpoint.weights);
}

// An endpoint whose process is known to be another one than that of its entry
// gets no request that needs a version or goes on with a stream until its entry
// is written again. One that is merely in doubt is asked before each of them.
bool MustWaitForEntry(const Endpoint& endpoint, const Demand& demand) {
  const bool needs_version =
      demand.goes_on || demand.version != kUnknownVersion;
  return needs_version && endpoint.is_replaced;
}

UsableEndpoints FindUsable(const EndpointSet& set, const Demand& demand,
                           const std::vector<EndpointPtr>& tried,
                           const FleetSnapshot& fleet, Time now) {
  UsableEndpoints usable;
  const auto at = set.by_service.find(demand.service->name);
  if (at == set.by_service.end()) return usable;
  for (const EndpointPtr& endpoint : at->second) {
    if (!HasVersion(*endpoint, demand)) {
      usable.reason_if_none =
          std::max(usable.reason_if_none, PlacementReason::kNoneOfVersion);
      continue;
    }
    if (MustWaitForEntry(*endpoint, demand)) {
      usable.may_free_up = true;
      usable.reason_if_none =
          std::max(usable.reason_if_none, PlacementReason::kAllFull);
      continue;
    }
    if (std::find(tried.begin(), tried.end(), endpoint) != tried.end()) {
      usable.reason_if_none = PlacementReason::kAllTried;
      continue;
    }
    const PlacementReason reason =
        WhyUnusable(set, *endpoint, demand, fleet, now);
    if (reason == PlacementReason::kCheapest) {
      usable.endpoints.push_back(endpoint);
      continue;
    }
    if (reason == PlacementReason::kOtherSenders)
      usable.elsewhere.push_back(endpoint);
    RecordNextTurn(usable, reason, *endpoint, demand, fleet, now);
    usable.reason_if_none = std::max(usable.reason_if_none, reason);
  }
  return usable;
}

std::uint64_t PreferenceHash(std::uint64_t session, const Endpoint& endpoint) {
  return kernel::HashBytes(endpoint.entry.id, session);
}

// Moves the endpoints that the session prefers to the front, in the order of
// preference.
void MovePreferredFirst(std::vector<EndpointPtr>& endpoints,
                        std::uint64_t session) {
  const std::size_t count = std::min(kPreferredEndpoints, endpoints.size());
  std::partial_sort(
      endpoints.begin(), endpoints.begin() + static_cast<std::ptrdiff_t>(count),
      endpoints.end(), [&](const EndpointPtr& left, const EndpointPtr& right) {
        return PreferenceHash(session, *left) > PreferenceHash(session, *right);
      });
}

// Moves random endpoints to the positions from `first_drawn` on and drops those
// after them.
void DrawRandomCandidates(std::vector<EndpointPtr>& endpoints,
                          std::size_t first_drawn, kernel::Random& random) {
  const std::size_t end =
      std::min(endpoints.size(), first_drawn + kRandomCandidates);
  for (std::size_t i = first_drawn; i < end; ++i) {
    const std::size_t other =
        i + kernel::RandomBelow(random, endpoints.size() - i);
    std::swap(endpoints[i], endpoints[other]);
  }
  endpoints.resize(end);
}

}  // namespace

std::uint32_t SharedTokens(const Demand& demand) {
  std::uint32_t tokens = 0;
  for (std::size_t i = 0; i + 1 < demand.parts.size(); ++i) {
    tokens += demand.parts[i].tokens;
  }
  return tokens;
}

const char* NameOf(PlacementReason reason) {
  switch (reason) {
    case PlacementReason::kSession:
      return "session";
    case PlacementReason::kCached:
      return "cached";
    case PlacementReason::kCheapest:
      return "cheapest";
    case PlacementReason::kNoneKnown:
      return "none-known";
    case PlacementReason::kNoneOfVersion:
      return "none-of-version";
    case PlacementReason::kOtherSenders:
      return "other-senders";
    case PlacementReason::kAllLeaving:
      return "all-leaving";
    case PlacementReason::kAllBackingOff:
      return "all-backing-off";
    case PlacementReason::kAllFull:
      return "all-full";
    case PlacementReason::kAllCold:
      return "all-cold";
    case PlacementReason::kAllLimited:
      return "all-limited";
    case PlacementReason::kAllDown:
      return "all-down";
    case PlacementReason::kAllTried:
      return "all-tried";
  }
  return "unknown";
}

Placement ChoosePlacement(const EndpointSet& set, const Demand& demand,
                          const std::vector<EndpointPtr>& tried,
                          const FleetSnapshot& fleet, kernel::Random& random,
                          Time now) {
  Placement placement;
  UsableEndpoints usable = FindUsable(set, demand, tried, fleet, now);
  if (usable.endpoints.empty() &&
      usable.reason_if_none == PlacementReason::kAllTried) {
    // The only usable endpoint was tried before. A second attempt there may
    // succeed.
    usable = FindUsable(set, demand, {}, fleet, now);
  }
  if (usable.endpoints.empty()) {
    placement.reason = usable.reason_if_none;
    placement.next_turn_in = TimeToNextTurn(usable, now);
    placement.elsewhere = std::move(usable.elsewhere);
    DrawRandomCandidates(placement.elsewhere, 0, random);
    return placement;
  }
  const auto is_off = [&set](Mechanism mechanism) {
    return set.disabled_mechanisms.test(static_cast<std::size_t>(mechanism));
  };
  const std::uint64_t session =
      is_off(Mechanism::kSessionAffinity) ? 0 : SessionHash(demand);
  if (usable.endpoints.size() >= kMinEnginesToSplit &&
      !is_off(Mechanism::kEngineSplit)) {
    KeepDemandSide(set, demand, usable.endpoints);
  }
  std::size_t preferred = 0;
  if (session != 0) {
    MovePreferredFirst(usable.endpoints, session);
    preferred = std::min(kPreferredEndpoints, usable.endpoints.size());
  }
  DrawRandomCandidates(usable.endpoints, preferred, random);
  const ServicePace& pace = FindServicePace(set, demand.service->name);
  double lowest_cost = std::numeric_limits<double>::max();
  for (std::size_t i = 0; i < usable.endpoints.size(); ++i) {
    const EndpointPtr& endpoint = usable.endpoints[i];
    const bool is_first_choice = session != 0 && i == 0;
    const UncachedTokens uncached =
        EstimateUncachedTokens(*endpoint, demand, is_first_choice, now);
    const PlacementCosts costs = ComputeCosts(
        {*endpoint, demand, uncached, pace, fleet, i < preferred, now},
        set.disabled_mechanisms);
    if (costs.Total() >= lowest_cost) continue;
    lowest_cost = costs.Total();
    placement.endpoint = endpoint;
    placement.reason = PlacementReason::kCheapest;
    placement.expected_ms = costs.UntilFirstEvent();
    placement.uncached_tokens = uncached.Total();
    placement.costs = costs;
    if (is_first_choice) {
      placement.reason = PlacementReason::kSession;
    } else if (demand.prompt_tokens > 0 && uncached.shared == 0) {
      placement.reason = PlacementReason::kCached;
    }
  }
  return placement;
}

bool MaySend(const EndpointSet& set, const Endpoint& endpoint, Time now) {
  const BrittleStatement* brittle =
      FindBrittle(set, endpoint.entry.service, now);
  if (brittle != nullptr && !MaySendToBrittle(set, endpoint, *brittle, now))
    return false;
  return !IsLeaving(endpoint) && !IsZoneOut(set, endpoint.entry.zone) &&
         RemainingBackoff(endpoint, now).count() == 0;
}

void OnAttemptSent(Endpoint& endpoint, const Demand& demand,
                   std::uint64_t attempt, const Placement& placement,
                   Time now) {
  ++endpoint.in_flight;
  endpoint.waiting_tokens[std::min<std::size_t>(demand.tier, kTiers - 1)] +=
      placement.uncached_tokens;
  const auto expected_wait = std::chrono::duration_cast<Time::duration>(
      std::chrono::duration<double, std::milli>(placement.expected_ms));
  endpoint.unanswered[attempt] = {now, now + expected_wait, {}, {}};
  std::vector<std::uint64_t> parts;
  parts.reserve(demand.parts.size());
  for (const PromptPart& part : demand.parts) parts.push_back(part.id);
  RecordPromptParts(endpoint, parts, now);
  if (FindSharedRate(endpoint, *demand.service, now))
    endpoint.last_limited_send = now;
}

void OnAttemptBegan(Endpoint& endpoint, std::uint64_t attempt,
                    std::size_t body_bytes, Time now) {
  const auto at = endpoint.unanswered.find(attempt);
  if (at == endpoint.unanswered.end()) return;
  at->second.sent_at = now;
  at->second.transfer_time = TransferTime(body_bytes);
}

void OnAttemptStarted(Endpoint& endpoint, const Demand& demand,
                      std::uint64_t attempt, const Placement& placement) {
  if (endpoint.unanswered.erase(attempt) == 0) return;
  double& waiting =
      endpoint.waiting_tokens[std::min<std::size_t>(demand.tier, kTiers - 1)];
  waiting = std::max(0.0, waiting - placement.uncached_tokens);
}

void OnAttemptEnded(Endpoint& endpoint) {
  if (endpoint.in_flight > 0) --endpoint.in_flight;
}

}  // namespace egretladder::routing
