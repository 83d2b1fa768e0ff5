#include "egretladder/routing/placement.h"

#include <algorithm>
#include <cmath>
#include <limits>

#include "egretladder/routing/engine_split.h"
#include "egretladder/routing/placement_cost.h"
#include "egretladder/routing/shared_rate.h"

namespace egretladder::routing {
namespace {

std::uint64_t SessionOf(const Demand& demand) {
  const auto& parts = demand.parts;
  if (parts.empty() || SharedTokens(demand) < kSessionTokens) return 0;
  // The last part is the request's own where there are several.
  return parts[parts.size() > 1 ? parts.size() - 2 : 0].id;
}

std::uint32_t SlotsOfNode(const Endpoint& endpoint,
                          const FleetSnapshot& fleet) {
  const double even =
      static_cast<double>(endpoint.entry.slots) /
      static_cast<double>(std::max<std::size_t>(fleet.nodes, 1));
  return std::max(kSlotsLeast,
                  static_cast<std::uint32_t>(std::ceil(kSlotsOver * even)));
}

bool IsCold(const Endpoint& endpoint, Time now) {
  return now < endpoint.cold_until;
}

Uncached UncachedAt(const Endpoint& endpoint, const Demand& demand, bool first,
                    Time now) {
  Uncached uncached;
  uncached.own = demand.prompt_tokens;
  bool held = true;
  for (std::size_t i = 0; i < demand.parts.size(); ++i) {
    const PromptPart& part = demand.parts[i];
    // The last part is the request's own, unless it was read here before.
    const bool last = i + 1 == demand.parts.size();
    held = held && (HoldsPart(endpoint, part.id, now) ||
                    (first && !last && !IsCold(endpoint, now)));
    if (!held && last) break;
    uncached.own -= part.tokens;
    if (!held) uncached.shared += part.tokens;
  }
  uncached.own = std::max(0.0, uncached.own);
  return uncached;
}

struct Usable {
  std::vector<EndpointPtr> endpoints;
  PlaceReason why_none = PlaceReason::kNoneKnown;
  bool may_come_free = false;  // One that isn't used now, at any moment.
  std::optional<Time> turn;    // The next one of this node under a limit.
};

// Remembers when room is expected at an endpoint that can't be used now.
void NoteRoom(Usable& usable, PlaceReason use, const Endpoint& endpoint,
              const Demand& demand, const FleetSnapshot& fleet, Time now) {
  if (use == PlaceReason::kAllLeaving) return;
  const auto rate = SharedRateOf(endpoint, *demand.service, now);
  if (use != PlaceReason::kAllLimited || !rate) {
    usable.may_come_free = true;
    return;
  }
  const Time turn = NextTurn(endpoint, *rate, fleet);
  // One that had its turn and may not send isn't this node's to use.
  if (turn <= now) return;
  usable.turn = usable.turn ? std::min(*usable.turn, turn) : turn;
}

std::optional<milliseconds> RoomIn(const Usable& usable, Time now) {
  if (usable.may_come_free || !usable.turn) return {};
  return std::chrono::ceil<milliseconds>(*usable.turn - now);
}

// Why it can't be used now; `kCheapest` when it can.
PlaceReason UseOf(const EndpointSet& set, const Endpoint& endpoint,
                  const Demand& demand, const FleetSnapshot& fleet, Time now) {
  if (endpoint.phase == EndpointPhase::kLeaving ||
      endpoint.phase == EndpointPhase::kGone ||
      IsZoneOut(set, endpoint.entry.zone)) {
    return PlaceReason::kAllLeaving;
  }
  if (now < endpoint.health.avoid_until) return PlaceReason::kAllDown;
  if (now < endpoint.health.full_until ||
      endpoint.in_flight >= SlotsOfNode(endpoint, fleet)) {
    return PlaceReason::kAllFull;
  }
  if (const auto rate = SharedRateOf(endpoint, *demand.service, now)) {
    if (now < NextTurn(endpoint, *rate, fleet) ||
        !IsSender(endpoint, *rate, fleet)) {
      return rate->reason == RateReason::kCold ? PlaceReason::kAllCold
                                               : PlaceReason::kAllLimited;
    }
  }
  return PlaceReason::kCheapest;
}

Usable FindUsable(const EndpointSet& set, const Demand& demand,
                  const std::vector<EndpointPtr>& tried,
                  const FleetSnapshot& fleet, Time now) {
  Usable usable;
  const auto at = set.by_service.find(demand.service->name);
  if (at == set.by_service.end()) return usable;
  for (const EndpointPtr& endpoint : at->second) {
    if (std::find(tried.begin(), tried.end(), endpoint) != tried.end()) {
      usable.why_none = PlaceReason::kAllTried;
      continue;
    }
    const PlaceReason use = UseOf(set, *endpoint, demand, fleet, now);
    if (use == PlaceReason::kCheapest) {
      usable.endpoints.push_back(endpoint);
      continue;
    }
    NoteRoom(usable, use, *endpoint, demand, fleet, now);
    if (usable.why_none != PlaceReason::kAllTried) usable.why_none = use;
  }
  return usable;
}

std::uint64_t Weight(std::uint64_t session, const Endpoint& endpoint) {
  return kernel::HashBytes(endpoint.entry.id, session);
}

// Moves the endpoints that the session prefers to the front, in order.
void PreferFirst(std::vector<EndpointPtr>& endpoints, std::uint64_t session) {
  const std::size_t count = std::min(kPreferred, endpoints.size());
  std::partial_sort(
      endpoints.begin(), endpoints.begin() + static_cast<std::ptrdiff_t>(count),
      endpoints.end(), [&](const EndpointPtr& left, const EndpointPtr& right) {
        return Weight(session, *left) > Weight(session, *right);
      });
}

// Leaves those on the demand's side, if there are any.
void KeepItsSide(std::vector<EndpointPtr>& endpoints, const Demand& demand,
                 double tight_fraction) {
  const auto end = std::stable_partition(
      endpoints.begin(), endpoints.end(), [&](const EndpointPtr& endpoint) {
        return IsOnItsSide(*endpoint, demand, tight_fraction);
      });
  if (end != endpoints.begin()) endpoints.erase(end, endpoints.end());
}

// Moves random ones to places `from` and on.
void DrawSome(std::vector<EndpointPtr>& endpoints, std::size_t from,
              kernel::Random& random) {
  const std::size_t until = std::min(endpoints.size(), from + kDrawn);
  for (std::size_t i = from; i < until; ++i) {
    const std::size_t other =
        i + kernel::RandomBelow(random, endpoints.size() - i);
    std::swap(endpoints[i], endpoints[other]);
  }
  endpoints.resize(until);
}

}  // namespace

std::uint32_t SharedTokens(const Demand& demand) {
  std::uint32_t tokens = 0;
  for (std::size_t i = 0; i + 1 < demand.parts.size(); ++i) {
    tokens += demand.parts[i].tokens;
  }
  return tokens;
}

const char* NameOf(PlaceReason reason) {
  switch (reason) {
    case PlaceReason::kSession:
      return "session";
    case PlaceReason::kCached:
      return "cached";
    case PlaceReason::kCheapest:
      return "cheapest";
    case PlaceReason::kNoneKnown:
      return "none-known";
    case PlaceReason::kAllLeaving:
      return "all-leaving";
    case PlaceReason::kAllFull:
      return "all-full";
    case PlaceReason::kAllCold:
      return "all-cold";
    case PlaceReason::kAllLimited:
      return "all-limited";
    case PlaceReason::kAllDown:
      return "all-down";
    case PlaceReason::kAllTried:
      return "all-tried";
  }
  return "unknown";
}

Placement ChoosePlacement(const EndpointSet& set, const Demand& demand,
                          const std::vector<EndpointPtr>& tried,
                          const FleetSnapshot& fleet, kernel::Random& random,
                          Time now) {
  Placement best;
  Usable usable = FindUsable(set, demand, tried, fleet, now);
  if (usable.endpoints.empty() && usable.why_none == PlaceReason::kAllTried) {
    // The only one that there is may do better the second time.
    usable = FindUsable(set, demand, {}, fleet, now);
  }
  if (usable.endpoints.empty()) {
    best.reason = usable.why_none;
    best.room_in = RoomIn(usable, now);
    return best;
  }
  const auto is_off = [&set](Mechanism mechanism) {
    return set.disabled_mechanisms.test(static_cast<std::size_t>(mechanism));
  };
  const std::uint64_t session =
      is_off(Mechanism::kSessions) ? 0 : SessionOf(demand);
  if (usable.endpoints.size() >= kSplitLeast && !is_off(Mechanism::kSides)) {
    KeepItsSide(usable.endpoints, demand, set.tight_fraction);
  }
  std::size_t preferred = 0;
  if (session != 0) {
    PreferFirst(usable.endpoints, session);
    preferred = std::min(kPreferred, usable.endpoints.size());
  }
  DrawSome(usable.endpoints, preferred, random);
  const ServicePace& pace = FindServicePace(set, demand.service->name);
  double least = std::numeric_limits<double>::max();
  for (std::size_t i = 0; i < usable.endpoints.size(); ++i) {
    const EndpointPtr& endpoint = usable.endpoints[i];
    const bool first = session != 0 && i == 0;
    const Uncached uncached = UncachedAt(*endpoint, demand, first, now);
    const Costs costs =
        CostsOf({*endpoint, demand, uncached, pace, fleet, i < preferred, now},
                set.disabled_mechanisms);
    if (costs.Total() >= least) continue;
    least = costs.Total();
    best = {endpoint, PlaceReason::kCheapest, costs.UntilFirst(),
            uncached.Sum(), costs};
    if (first) {
      best.reason = PlaceReason::kSession;
    } else if (demand.prompt_tokens > 0 && uncached.shared == 0) {
      best.reason = PlaceReason::kCached;
    }
  }
  return best;
}

void OnAttemptSent(Endpoint& endpoint, const Demand& demand,
                   std::uint64_t attempt, const Placement& placement,
                   Time now) {
  ++endpoint.in_flight;
  endpoint.waiting_tokens[std::min<std::size_t>(demand.tier, kTiers - 1)] +=
      placement.uncached_tokens;
  const auto expected = std::chrono::duration_cast<Time::duration>(
      std::chrono::duration<double, std::milli>(placement.expected_ms));
  endpoint.unanswered[attempt] = {now, now + expected};
  std::vector<std::uint64_t> parts;
  parts.reserve(demand.parts.size());
  for (const PromptPart& part : demand.parts) parts.push_back(part.id);
  NoteParts(endpoint, parts, now);
  if (SharedRateOf(endpoint, *demand.service, now))
    endpoint.last_limited_send = now;
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
