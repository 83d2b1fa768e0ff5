// Dispatch in the scheduler "ladder": selects the next waiting request by
// queue.h and aging_quota.h, and its endpoint by pick.h.
#include <algorithm>
#include <cmath>

#include "ladder_p.h"

namespace egretladder::policy {
namespace {

struct Choice {
  EndpointHandle endpoint;
  PickReason reason = PickReason::kLeastLoaded;
};

bool IsAccountAtCap(const void* context, AccountHandle account) {
  const auto& state = *static_cast<const LadderState*>(context);
  const std::uint32_t cap = GetAccount(state.table, account).running;
  return cap > 0 && state.running_by_account[account.idx] >= cap;
}

bool IsClassAtCap(const LadderState& state, std::uint32_t cls) {
  const std::uint32_t cap = GetClass(state.table, ClassHandle{cls}).running;
  return cap > 0 && state.running_by_class[cls] >= cap;
}

Time EarliestFeasibleDeadline(const LadderState& state, TargetHandle target,
                              std::uint32_t cls, Time now) {
  return now + std::chrono::duration_cast<std::chrono::nanoseconds>(
                   ConservativeTimeToFirstToken(state.stats[target.idx][cls]));
}

const WaitingRequest* FindClassHead(LadderState& state, TargetHandle target,
                                    std::uint32_t cls, Time now) {
  if (state.queue.num_waiting[target.idx][cls] == 0) return nullptr;
  if (IsClassAtCap(state, cls)) return nullptr;
  return FindHead(state.queue, target, ClassHandle{cls},
                  EarliestFeasibleDeadline(state, target, cls, now),
                  IsAccountAtCap, &state);
}

const WaitingRequest* FindBestHead(LadderState& state, TargetHandle target,
                                   Time now) {
  const WaitingRequest* best = nullptr;
  const auto classes =
      static_cast<std::uint32_t>(state.queue.num_waiting[target.idx].size());
  for (std::uint32_t cls = 0; cls < classes; ++cls) {
    const WaitingRequest* head = FindClassHead(state, target, cls, now);
    if (head == nullptr) continue;
    if (best == nullptr || GoesBefore(*head, *best)) best = head;
  }
  return best;
}

// Returns the head of the class below `tier` that has gone longest without a
// start, among classes with an aged request. Returns null when there is none or
// the aging quota is exhausted.
const WaitingRequest* FindAgedHead(LadderState& state, TargetHandle target,
                                   std::uint8_t tier, Time now) {
  Pool& pool = state.pools[target.idx];
  AccrueAgingQuota(pool.quota, pool.slots, GetLimits(state), now);
  if (!CanStartAged(pool.quota, pool.slots, GetLimits(state))) return nullptr;
  const WaitingRequest* longest_waiting = nullptr;
  for (std::uint32_t cls = 0; cls < pool.last_dispatch.size(); ++cls) {
    if (GetClass(state.table, ClassHandle{cls}).tier <= tier) continue;
    const WaitingRequest* head = FindClassHead(state, target, cls, now);
    if (head == nullptr) continue;
    // The class counts as aged when its oldest request does, even if it is
    // another account's turn.
    const QueueEntries& by_queue_deadline =
        state.queue.queues[target.idx][cls].by_queue_deadline;
    const WaitingRequest& oldest =
        state.queue.requests.at(by_queue_deadline.begin()->request);
    if (!IsAged(oldest.request.arrived, oldest.queue_deadline, GetLimits(state),
                now))
      continue;
    if (longest_waiting == nullptr ||
        pool.last_dispatch[cls] <
            pool.last_dispatch[longest_waiting->request.cls.idx]) {
      longest_waiting = head;
    }
  }
  return longest_waiting;
}

bool CanProbeWith(const LadderState& state, const WaitingRequest& waiting,
                  Time now) {
  const ServiceTimeStats& stats =
      state.stats[waiting.request.target.idx][waiting.request.cls.idx];
  const Seconds time_needed =
      MeanTimeToFirstToken(stats) * 2 * GetLimits(state).slow_ratio;
  return waiting.tier > rules::kTopTier ||
         Seconds(waiting.request.deadline - now) > time_needed;
}

EndpointHandle FindDueProbe(LadderState& state, const WaitingRequest& waiting,
                            Time now) {
  const Pool& pool = state.pools[waiting.request.target.idx];
  for (const EndpointHandle endpoint : pool.ejected) {
    LadderEndpoint& endpoint_info = state.endpoints[endpoint.idx];
    if (!IsProbeDue(endpoint_info.health, now)) continue;
    if (endpoint_info.load.in_flight >= endpoint_info.load.slots) continue;
    if (!CanProbeWith(state, waiting, now)) continue;
    OnProbeSent(endpoint_info.health, GetLimits(state), now);
    return endpoint;
  }
  return {};
}

EndpointHandle FindFreePrefixOwner(LadderState& state, const Request& request) {
  const Limits& limits = GetLimits(state);
  if (request.prefix == 0 || limits.affinity_load <= 0) return {};
  const Pool& pool = state.pools[request.target.idx];
  const double mean_load =
      1.0 - static_cast<double>(pool.free) / std::max(1U, pool.slots);
  FindPrefixOwners(pool.ring, request.prefix, limits.affinity_replicas,
                   state.scratch_owners);
  for (const EndpointHandle owner : state.scratch_owners) {
    const LadderEndpoint& endpoint_info = state.endpoints[owner.idx];
    if (endpoint_info.health.ejected || owner == request.avoid) continue;
    const bool has_free_slot = std::any_of(
        endpoint_info.memberships.begin(), endpoint_info.memberships.end(),
        [&](const Membership& membership) {
          return membership.target == request.target &&
                 membership.position != kNoPosition;
        });
    if (has_free_slot &&
        HasPrefixCapacity(endpoint_info.load, mean_load, limits))
      return owner;
  }
  return {};
}

Choice PickFromSample(LadderState& state, const Request& request, Time now) {
  const Limits& limits = GetLimits(state);
  const Pool& pool = state.pools[request.target.idx];
  const std::size_t num_free = pool.free_endpoints.size();
  const std::size_t sample_size =
      std::min<std::size_t>(limits.choices, num_free);
  const std::size_t first = kernel::RandomBelow(state.random, num_free);
  EndpointHandle best;
  double best_score = 0;
  for (std::size_t i = 0; i < sample_size; ++i) {
    // If there are few endpoints, all are compared; otherwise a random sample.
    const std::size_t index = sample_size == num_free
                                  ? (first + i) % num_free
                                  : kernel::RandomBelow(state.random, num_free);
    const EndpointHandle endpoint = pool.free_endpoints[index];
    EndpointLoad load = state.endpoints[endpoint.idx].load;
    load.runs_suspect = load.runs_suspect && request.suspect;
    double score = LoadScore(load, limits, now);
    if (endpoint == request.avoid) score += 100;  // Last resort.
    if (rules::IsValid(best) && score >= best_score) continue;
    best = endpoint;
    best_score = score;
  }
  const bool same_zone = state.endpoints[best.idx].load.same_zone;
  return {best, same_zone ? PickReason::kNearZone : PickReason::kLeastLoaded};
}

Choice ChooseEndpoint(LadderState& state, const WaitingRequest& waiting,
                      Time now) {
  const Request& request = waiting.request;
  const Pool& pool = state.pools[request.target.idx];
  const EndpointHandle probe = FindDueProbe(state, waiting, now);
  if (rules::IsValid(probe)) return {probe, PickReason::kProbe};
  if (pool.free_endpoints.empty()) return {};
  const EndpointHandle owner = FindFreePrefixOwner(state, request);
  if (rules::IsValid(owner)) return {owner, PickReason::kPrefixCached};
  if (pool.free_endpoints.size() == 1) {
    return {pool.free_endpoints.front(), PickReason::kOnlyChoice};
  }
  return PickFromSample(state, request, now);
}

double ExpectedTokens(const LadderState& state, const Request& request) {
  if (!GetLimits(state).charge_expected) return 1;
  const ServiceTimeStats& stats =
      state.stats[request.target.idx][request.cls.idx];
  double expected = std::max(1.0, MeanOutputTokens(stats));
  if (request.max_tokens > 0) {
    expected = std::min<double>(expected, request.max_tokens);
  }
  return expected;
}

void StartRequest(LadderState& state, RequestId id, Choice choice,
                  bool by_aging_quota, Time now, Actions& out) {
  const std::optional<WaitingRequest> waiting = RemoveWaiting(state, id);
  if (!waiting) return;
  const Request& request = waiting->request;
  Pool& pool = state.pools[request.target.idx];
  RunningAttempt running{request, choice.endpoint, now, waiting->tier};
  running.by_aging_quota = by_aging_quota;
  running.charged_tokens = ExpectedTokens(state, request);
  Charge(state.queue, request.cls, request.account, running.charged_tokens,
         GetAccount(state.table, request.account).share);
  if (by_aging_quota) ++pool.quota.running;
  if (request.suspect) ++state.endpoints[choice.endpoint.idx].running_suspects;
  ++state.table.endpoints[choice.endpoint.idx].in_flight;
  ++state.running_by_class[request.cls.idx];
  ++state.running_by_account[request.account.idx];
  ++pool.tiers[std::min<std::size_t>(waiting->tier, kTiers - 1)].running;
  pool.last_dispatch[request.cls.idx] = now;
  RecordDispatch(state.stats[request.target.idx][request.cls.idx], now);
  RefreshEndpoint(state, choice.endpoint, now);
  const auto priority = static_cast<std::uint8_t>(
      waiting->tier - std::min(waiting->tier, rules::kTopTier));
  state.running[id] = running;
  out.emplace_back(Dispatch{
      id, choice.endpoint,
      by_aging_quota ? PickReason::kAgedWork : choice.reason, priority});
}

bool DispatchOne(LadderState& state, TargetHandle target, Time now,
                 Actions& out) {
  Pool& pool = state.pools[target.idx];
  if (pool.free == 0) return false;
  const WaitingRequest* best = FindBestHead(state, target, now);
  if (best == nullptr) return false;
  const bool is_reserved =
      pool.free <= SlotsReservedFrom(state, pool, best->tier);
  const std::uint8_t tier_limit = is_reserved ? rules::kTopTier : best->tier;
  const WaitingRequest* aged = FindAgedHead(state, target, tier_limit, now);
  if (aged == nullptr && is_reserved) return false;
  const WaitingRequest& next = aged != nullptr ? *aged : *best;
  const Choice choice = ChooseEndpoint(state, next, now);
  if (!rules::IsValid(choice.endpoint)) return false;
  StartRequest(state, next.request.id, choice, aged != nullptr, now, out);
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
  std::vector<TargetHandle> pending_targets;
  for (const Membership& membership : memberships) {
    pending_targets.push_back(membership.target);
  }
  while (!pending_targets.empty()) {
    std::size_t first = 0;
    const WaitingRequest* best = nullptr;
    for (std::size_t i = 0; i < pending_targets.size(); ++i) {
      const WaitingRequest* head = FindBestHead(state, pending_targets[i], now);
      if (head == nullptr) continue;
      if (best != nullptr && !GoesBefore(*head, *best)) continue;
      best = head;
      first = i;
    }
    if (best == nullptr) return;
    if (DispatchOne(state, pending_targets[first], now, out)) continue;
    pending_targets.erase(pending_targets.begin() +
                          static_cast<std::ptrdiff_t>(first));
  }
}

void DispatchAll(LadderState& state, Time now, Actions& out) {
  for (std::uint32_t i = 0; i < state.pools.size(); ++i) {
    DispatchTarget(state, TargetHandle{i}, now, out);
  }
}

}  // namespace egretladder::policy
