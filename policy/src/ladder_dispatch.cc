// Which waiting request goes next and where to: the ladder's use of queue.h,
// trickle.h and pick.h.
#include <algorithm>
#include <cmath>

#include "ladder_p.h"

namespace egretladder::policy {
namespace {

struct Choice {
  EndpointHandle endpoint;
  PickReason reason = PickReason::kLeastLoaded;
};

bool IsAccountHeld(const void* context, AccountHandle account) {
  const auto& state = *static_cast<const LadderState*>(context);
  const std::uint32_t cap = AccountOf(state.table, account).running;
  return cap > 0 && state.running_by_account[account.idx] >= cap;
}

bool IsClassHeld(const LadderState& state, std::uint32_t cls) {
  const std::uint32_t cap = ClassOf(state.table, ClassHandle{cls}).running;
  return cap > 0 && state.running_by_class[cls] >= cap;
}

Time InTimeBy(const LadderState& state, TargetHandle target, std::uint32_t cls,
              Time now) {
  return now + std::chrono::duration_cast<std::chrono::nanoseconds>(
                   LongFirstToken(state.seen[target.idx][cls]));
}

const Waiting* HeadOfClass(LadderState& state, TargetHandle target,
                           std::uint32_t cls, Time now) {
  if (state.queue.waiting[target.idx][cls] == 0) return nullptr;
  if (IsClassHeld(state, cls)) return nullptr;
  return HeadOf(state.queue, target, ClassHandle{cls},
                InTimeBy(state, target, cls, now), IsAccountHeld, &state);
}

const Waiting* BestHead(LadderState& state, TargetHandle target, Time now) {
  const Waiting* best = nullptr;
  const auto classes =
      static_cast<std::uint32_t>(state.queue.waiting[target.idx].size());
  for (std::uint32_t cls = 0; cls < classes; ++cls) {
    const Waiting* head = HeadOfClass(state, target, cls, now);
    if (head == nullptr) continue;
    if (best == nullptr || GoesBefore(*head, *best)) best = head;
  }
  return best;
}

// The aged head below `tier` whose class has gone longest without a start.
const Waiting* AgedHead(LadderState& state, TargetHandle target,
                        std::uint8_t tier, Time now) {
  Pool& pool = state.pools[target.idx];
  AdvanceTrickle(pool.trickle, pool.slots, LimitsOf(state), now);
  if (!MayTrickle(pool.trickle, pool.slots, LimitsOf(state))) return nullptr;
  const Waiting* longest = nullptr;
  for (std::uint32_t cls = 0; cls < pool.last_start.size(); ++cls) {
    if (ClassOf(state.table, ClassHandle{cls}).tier <= tier) continue;
    const Waiting* head = HeadOfClass(state, target, cls, now);
    if (head == nullptr) continue;
    // Any of the class that is aged counts, whoever's turn it is.
    const Places& by_bound = state.queue.queues[target.idx][cls].by_bound;
    const Waiting& oldest = state.queue.requests.at(by_bound.begin()->request);
    if (!IsAged(oldest.request.arrived, oldest.bound, LimitsOf(state), now))
      continue;
    if (longest == nullptr ||
        pool.last_start[cls] < pool.last_start[longest->request.cls.idx]) {
      longest = head;
    }
  }
  return longest;
}

bool MayProbeWith(const LadderState& state, const Waiting& waiting, Time now) {
  const WorkSeen& seen =
      state.seen[waiting.request.target.idx][waiting.request.cls.idx];
  const Seconds needed =
      MeanTimeToFirstToken(seen) * 2 * LimitsOf(state).slow_ratio;
  return waiting.tier > rules::kTopTier ||
         Seconds(waiting.request.deadline - now) > needed;
}

EndpointHandle DueProbe(LadderState& state, const Waiting& waiting, Time now) {
  const Pool& pool = state.pools[waiting.request.target.idx];
  for (const EndpointHandle endpoint : pool.left_alone) {
    LadderEndpoint& known = state.endpoints[endpoint.idx];
    if (!IsProbeDue(known.health, now)) continue;
    if (known.load.in_flight >= known.load.slots) continue;
    if (!MayProbeWith(state, waiting, now)) continue;
    OnProbeSent(known.health, LimitsOf(state), now);
    return endpoint;
  }
  return {};
}

EndpointHandle PrefixHome(LadderState& state, const Request& request) {
  const Limits& limits = LimitsOf(state);
  if (request.prefix == 0 || limits.affinity_load <= 0) return {};
  const Pool& pool = state.pools[request.target.idx];
  const double mean =
      1.0 - static_cast<double>(pool.free) / std::max(1U, pool.slots);
  HomesOf(pool.ring, request.prefix, limits.affinity_replicas, state.homes);
  for (const EndpointHandle home : state.homes) {
    const LadderEndpoint& known = state.endpoints[home.idx];
    if (known.health.left_alone || home == request.avoid) continue;
    const bool open =
        std::any_of(known.memberships.begin(), known.memberships.end(),
                    [&](const Membership& membership) {
                      return membership.target == request.target &&
                             membership.position != kNowhere;
                    });
    if (open && TakesPrefix(known.load, mean, limits)) return home;
  }
  return {};
}

Choice BestOfDrawn(LadderState& state, const Request& request, Time now) {
  const Limits& limits = LimitsOf(state);
  const Pool& pool = state.pools[request.target.idx];
  const std::size_t open = pool.open.size();
  const std::size_t drawn = std::min<std::size_t>(limits.choices, open);
  const std::size_t first = kernel::RandomBelow(state.random, open);
  EndpointHandle best;
  double best_score = 0;
  for (std::size_t i = 0; i < drawn; ++i) {
    // All of a few; otherwise at random.
    const std::size_t at = drawn == open
                               ? (first + i) % open
                               : kernel::RandomBelow(state.random, open);
    const EndpointHandle endpoint = pool.open[at];
    EndpointLoad load = state.endpoints[endpoint.idx].load;
    load.beside_suspect = load.beside_suspect && request.suspect;
    double score = ScoreOf(load, limits, now);
    if (endpoint == request.avoid) score += 100;  // When nothing else is free.
    if (rules::IsValid(best) && score >= best_score) continue;
    best = endpoint;
    best_score = score;
  }
  const bool near = state.endpoints[best.idx].load.near;
  return {best, near ? PickReason::kNearZone : PickReason::kLeastLoaded};
}

Choice ChooseEndpoint(LadderState& state, const Waiting& waiting, Time now) {
  const Request& request = waiting.request;
  const Pool& pool = state.pools[request.target.idx];
  const EndpointHandle probe = DueProbe(state, waiting, now);
  if (rules::IsValid(probe)) return {probe, PickReason::kProbe};
  if (pool.open.empty()) return {};
  const EndpointHandle home = PrefixHome(state, request);
  if (rules::IsValid(home)) return {home, PickReason::kPrefixCached};
  if (pool.open.size() == 1) {
    return {pool.open.front(), PickReason::kOnlyChoice};
  }
  return BestOfDrawn(state, request, now);
}

double ExpectedTokens(const LadderState& state, const Request& request) {
  if (!LimitsOf(state).charge_expected) return 1;
  const WorkSeen& seen = state.seen[request.target.idx][request.cls.idx];
  double expected = std::max(1.0, MeanTokens(seen));
  if (request.max_tokens > 0) {
    expected = std::min<double>(expected, request.max_tokens);
  }
  return expected;
}

void Start(LadderState& state, RequestId id, Choice choice, bool by_trickle,
           Time now, Actions& out) {
  const std::optional<Waiting> waiting = TakeWaiting(state, id);
  if (!waiting) return;
  const Request& request = waiting->request;
  Pool& pool = state.pools[request.target.idx];
  Running running{request, choice.endpoint, now, waiting->tier};
  running.by_trickle = by_trickle;
  running.charged = ExpectedTokens(state, request);
  Charge(state.queue, request.cls, request.account, running.charged,
         AccountOf(state.table, request.account).share);
  if (by_trickle) ++pool.trickle.running;
  if (request.suspect) ++state.endpoints[choice.endpoint.idx].suspects;
  ++state.table.endpoints[choice.endpoint.idx].in_flight;
  ++state.running_by_class[request.cls.idx];
  ++state.running_by_account[request.account.idx];
  ++pool.tiers[std::min<std::size_t>(waiting->tier, kTiers - 1)].running;
  pool.last_start[request.cls.idx] = now;
  OnWorkStarted(state.seen[request.target.idx][request.cls.idx], now);
  RefreshEndpoint(state, choice.endpoint, now);
  const auto priority = static_cast<std::uint8_t>(
      waiting->tier - std::min(waiting->tier, rules::kTopTier));
  state.running[id] = running;
  out.emplace_back(Dispatch{id, choice.endpoint,
                            by_trickle ? PickReason::kTrickle : choice.reason,
                            priority});
}

bool DispatchOne(LadderState& state, TargetHandle target, Time now,
                 Actions& out) {
  Pool& pool = state.pools[target.idx];
  if (pool.free == 0) return false;
  const Waiting* best = BestHead(state, target, now);
  if (best == nullptr) return false;
  const bool kept = pool.free <= ReservedFrom(state, pool, best->tier);
  const std::uint8_t above = kept ? rules::kTopTier : best->tier;
  const Waiting* aged = AgedHead(state, target, above, now);
  if (aged == nullptr && kept) return false;
  const Waiting& next = aged != nullptr ? *aged : *best;
  const Choice choice = ChooseEndpoint(state, next, now);
  if (!rules::IsValid(choice.endpoint)) return false;
  Start(state, next.request.id, choice, aged != nullptr, now, out);
  return true;
}

}  // namespace

void DispatchTarget(LadderState& state, TargetHandle target, Time now,
                    Actions& out) {
  if (target.idx >= state.pools.size()) return;
  while (DispatchOne(state, target, now, out)) {
  }
}

void DispatchEndpoint(LadderState& state, EndpointHandle endpoint, Time now,
                      Actions& out) {
  const std::vector<Membership>& memberships =
      state.endpoints[endpoint.idx].memberships;
  if (memberships.size() == 1) {
    return DispatchTarget(state, memberships.front().target, now, out);
  }
  std::vector<TargetHandle> open;
  for (const Membership& membership : memberships) {
    open.push_back(membership.target);
  }
  while (!open.empty()) {
    std::size_t first = 0;
    const Waiting* best = nullptr;
    for (std::size_t i = 0; i < open.size(); ++i) {
      const Waiting* head = BestHead(state, open[i], now);
      if (head == nullptr) continue;
      if (best != nullptr && !GoesBefore(*head, *best)) continue;
      best = head;
      first = i;
    }
    if (best == nullptr) return;
    if (DispatchOne(state, open[first], now, out)) continue;
    open.erase(open.begin() + static_cast<std::ptrdiff_t>(first));
  }
}

void DispatchAll(LadderState& state, Time now, Actions& out) {
  for (std::uint32_t i = 0; i < state.pools.size(); ++i) {
    DispatchTarget(state, TargetHandle{i}, now, out);
  }
}

}  // namespace egretladder::policy
