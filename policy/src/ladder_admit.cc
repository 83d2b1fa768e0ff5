// Admission in the scheduler "ladder": collects the inputs of the decisions in
// admit.h and refuses requests.
#include <algorithm>
#include <cmath>

#include "ladder_p.h"

namespace egretladder::policy {
namespace {

// Time constants of the moving averages of each tier's load. Requests that must
// start within seconds are judged by the short one, and requests that can wait
// by the long one: a burst of a few seconds would otherwise refuse them.
constexpr double kDemandWindowSeconds = 5;
constexpr double kLongDemandWindowSeconds = 60;
constexpr Seconds kLongWaitThreshold{20};
// A cap allows the next request when one ends, at an unknown time.
constexpr Seconds kCapRetryAfter{1};

void AppendRefusal(LadderState& state, RequestId request, RefuseReason reason,
                   Seconds expected_wait, Seconds allowed_wait, Actions& out) {
  const double jitter = kernel::RandomFraction(state.random);
  out.emplace_back(Refuse{
      request, reason,
      RetryAfter(expected_wait, allowed_wait, jitter, GetLimits(state))});
}

double MeanSlotSeconds(const LadderState& state, TargetHandle target,
                       std::size_t cls, Time now) {
  return MeanSlotTime(state.stats[target.idx][cls], now).count();
}

// Returns the decayed number of completions of all classes at a target.
double CompletionsAtTarget(const LadderState& state, TargetHandle target) {
  double completions = 0;
  for (const ServiceTimeStats& stats : state.stats[target.idx])
    completions += stats.completions;
  return completions;
}

void AddWorkAhead(const LadderState& state, TargetHandle target,
                  std::size_t cls, double requests, Time now,
                  WorkAhead& ahead) {
  if (requests <= 0) return;
  ahead.requests += requests;
  ahead.slot_seconds += requests * MeanSlotSeconds(state, target, cls, now);
}

// Returns the waiting work that is served before `request`: all requests of
// higher tiers, those of its own class that come before it in fair turns, and
// those of other classes of its tier whose first-token target is not longer.
// With `in_time_only`, late requests of its own tier are not counted, since
// they are served after those in time.
WorkAhead EstimateWorkAhead(const LadderState& state, const Request& request,
                            bool in_time_only, Time now) {
  const rules::Class& own_class = GetClass(state.table, request.cls);
  const std::uint32_t target = request.target.idx;
  WorkAhead ahead;
  ahead.completions = state.stats[target][request.cls.idx].completions;
  const auto& waiting = state.queue.num_waiting[target];
  for (std::uint32_t i = 0; i < waiting.size(); ++i) {
    if (waiting[i] == 0) continue;
    const rules::Class& cls = GetClass(state.table, ClassHandle{i});
    if (cls.tier > own_class.tier) continue;
    auto requests = static_cast<double>(waiting[i]);
    if (in_time_only && cls.tier == own_class.tier) {
      requests =
          static_cast<double>(state.queue.queues[target][i].by_deadline.size());
    }
    if (i == request.cls.idx) {
      requests = FairRequestsAhead(
          static_cast<std::uint32_t>(requests), state.queue.waiting_accounts[i],
          state.queue.usage[i][request.account.idx].waiting);
    } else if (cls.tier == own_class.tier &&
               cls.first_token > own_class.first_token) {
      continue;
    }
    AddWorkAhead(state, request.target, i, requests, now, ahead);
  }
  return ahead;
}

double Decayed(double value, Time since, double window_seconds, Time now) {
  const double elapsed = Seconds(now - since).count();
  return value * std::exp(-std::max(0.0, elapsed) / window_seconds);
}

void RecordDemand(LadderState& state, const Request& request, std::uint8_t tier,
                  bool admitted, Time now) {
  Pool& pool = state.pools[request.target.idx];
  TierLoad& load = pool.tiers[std::min<std::size_t>(tier, kTiers - 1)];
  const double mean_slot_seconds =
      MeanSlotSeconds(state, request.target, request.cls.idx, now);
  load.offered_load =
      Decayed(load.offered_load, load.updated_at, kDemandWindowSeconds, now);
  load.admitted_load =
      Decayed(load.admitted_load, load.updated_at, kDemandWindowSeconds, now);
  load.admitted_load_long = Decayed(load.admitted_load_long, load.updated_at,
                                    kLongDemandWindowSeconds, now);
  load.updated_at = now;
  load.offered_load += mean_slot_seconds / kDemandWindowSeconds;
  if (!admitted) return;
  load.admitted_load += mean_slot_seconds / kDemandWindowSeconds;
  load.admitted_load_long += mean_slot_seconds / kLongDemandWindowSeconds;
}

bool IsOverloaded(const Pool& pool, std::uint8_t tier, Time now) {
  double offered_load = 0;
  for (std::uint8_t i = 0; i <= tier && i < kTiers; ++i) {
    const TierLoad& load = pool.tiers[i];
    offered_load +=
        Decayed(load.offered_load, load.updated_at, kDemandWindowSeconds, now);
  }
  return offered_load > pool.slots;
}

// Returns the number of lower-tier classes that share the aging quota: those
// with waiting requests, and one for the arriving request.
std::uint32_t CountLowerClassesWaiting(const LadderState& state,
                                       TargetHandle target) {
  std::uint32_t classes = 1;
  const auto& waiting = state.queue.num_waiting[target.idx];
  for (std::uint32_t i = 0; i < waiting.size(); ++i) {
    const std::uint8_t tier = GetClass(state.table, ClassHandle{i}).tier;
    if (waiting[i] > 0 && tier > rules::kTopTier) ++classes;
  }
  return classes;
}

// Returns the ratio of slots that is left for `tier` while higher tiers go on
// arriving at their present rate, but at least its share of the aging quota.
double AvailableRatio(const LadderState& state, TargetHandle target,
                      std::uint8_t tier, Seconds allowed_wait, Time now) {
  const Pool& pool = state.pools[target.idx];
  if (pool.slots == 0) return 1;
  double demand = 0;
  double demand_long = 0;
  for (std::uint8_t higher = 0; higher < tier; ++higher) {
    const TierLoad& load = pool.tiers[higher];
    demand +=
        Decayed(load.admitted_load, load.updated_at, kDemandWindowSeconds, now);
    demand_long += Decayed(load.admitted_load_long, load.updated_at,
                           kLongDemandWindowSeconds, now);
  }
  if (allowed_wait > kLongWaitThreshold) demand = std::min(demand, demand_long);
  const double min_ratio = std::max(0.001, GetLimits(state).aging_share) /
                           CountLowerClassesWaiting(state, target);
  return std::clamp(1.0 - demand / pool.slots, min_ratio, 1.0);
}

// Returns the capacity for a request that may wait until `wait_until`.
SlotCapacity EstimateCapacity(const LadderState& state, const Request& request,
                              std::uint8_t tier, Time wait_until, Time now) {
  const Pool& pool = state.pools[request.target.idx];
  const std::uint32_t reserved = SlotsReservedFrom(state, pool, tier);
  return {pool.slots, pool.free - std::min(pool.free, reserved),
          ReleasesPerSecond(state, request.target, now),
          AvailableRatio(state, request.target, tier, wait_until - now, now)};
}

double EstimateConfidence(const LadderState& state, const WorkAhead& ahead) {
  if (!GetLimits(state).refuse_early || ahead.completions <= 0) return 0;
  return ahead.completions /
         (ahead.completions + GetLimits(state).half_confidence_completions);
}

AdmissionContext MakeAdmissionContext(const LadderState& state,
                                      const Request& request, Time now) {
  const rules::Class& cls = GetClass(state.table, request.cls);
  const rules::Account& account = GetAccount(state.table, request.account);
  const WorkAhead ahead = EstimateWorkAhead(state, request, true, now);
  const Time queue_deadline = GetQueueDeadline(request, cls);
  const SlotCapacity capacity =
      EstimateCapacity(state, request, cls.tier, request.deadline, now);
  const SlotCapacity capacity_if_late =
      EstimateCapacity(state, request, cls.tier, queue_deadline, now);
  AdmissionContext context;
  context.class_waiting = state.waiting_by_class[request.cls.idx];
  context.class_cap = cls.waiting;
  context.account_waiting = state.waiting_by_account[request.account.idx];
  context.account_cap = account.waiting;
  context.can_start_now = ahead.requests < 1 && capacity.free > 0;
  context.expected_wait = EstimateWait(ahead, capacity);
  context.expected_wait_if_late = EstimateWait(
      EstimateWorkAhead(state, request, false, now), capacity_if_late);
  context.overloaded =
      IsOverloaded(state.pools[request.target.idx], cls.tier, now);
  context.deadline = request.deadline;
  context.time_to_first_token = ConservativeTimeToFirstToken(
      state.stats[request.target.idx][request.cls.idx]);
  // One request of each lower-tier class may always wait. The aging quota only
  // serves waiting requests, so that a class that is refused on every arrival
  // would never be served.
  const bool is_only_waiting =
      cls.tier > rules::kTopTier &&
      state.queue.num_waiting[request.target.idx][request.cls.idx] == 0;
  context.confidence = is_only_waiting ? 0 : EstimateConfidence(state, ahead);
  context.queue_deadline = queue_deadline;
  return context;
}

bool HasAvailableEndpoint(const LadderState& state, TargetHandle target) {
  if (target.idx < state.pools.size() && state.pools[target.idx].slots > 0) {
    return true;
  }
  const auto& servers = GetServers(state.table, target);
  return std::any_of(servers.begin(), servers.end(),
                     [&](EndpointHandle endpoint) {
                       return CanTakeWork(state.table.endpoints[endpoint.idx]);
                     });
}

bool IsKnown(const LadderState& state, const Request& request) {
  return request.cls.idx < state.running_by_class.size() &&
         request.account.idx < state.running_by_account.size();
}

// Makes room in a full queue by refusing a request of a lower tier, or else of
// an account in the same class that is far over its fair share.
bool MakeRoom(LadderState& state, const Request& request, std::uint8_t tier,
              Time now, Actions& out) {
  if (state.queue.requests.size() < GetLimits(state).max_queue_length)
    return true;
  RefuseReason reason = RefuseReason::kShedForHigherTier;
  const WaitingRequest* victim = FindShedCandidate(state.queue, tier);
  if (victim == nullptr) {
    reason = RefuseReason::kAccountCap;
    victim = FindOverShareCandidate(state.queue, request.cls, request.account);
  }
  if (victim == nullptr) return false;
  RefuseWaiting(state, victim->request.id, reason, now, out);
  return true;
}

void Enqueue(LadderState& state, const Request& request,
             const rules::Class& cls) {
  WaitingRequest waiting;
  waiting.request = request;
  waiting.tier = cls.tier;
  waiting.queue_deadline = GetQueueDeadline(request, cls);
  Push(state.queue, waiting);
  ++state.waiting_by_class[request.cls.idx];
  ++state.waiting_by_account[request.account.idx];
}

// Returns the expected wait behind all waiting requests of higher tiers, which
// are served first in any case.
Seconds EstimateWaitForHigherTiers(const LadderState& state,
                                   TargetHandle target, std::uint8_t tier,
                                   Time now) {
  WorkAhead ahead;
  ahead.completions = CompletionsAtTarget(state, target);
  const auto& waiting = state.queue.num_waiting[target.idx];
  for (std::uint32_t i = 0; i < waiting.size(); ++i) {
    if (GetClass(state.table, ClassHandle{i}).tier >= tier) continue;
    AddWorkAhead(state, target, i, waiting[i], now, ahead);
  }
  if (ahead.requests < 1) return Seconds(0);
  const Pool& pool = state.pools[target.idx];
  const SlotCapacity capacity{pool.slots, pool.free,
                              ReleasesPerSecond(state, target, now), 1};
  return EstimateWait(ahead, capacity) * EstimateConfidence(state, ahead);
}

}  // namespace

std::uint32_t SlotsReservedFrom(const LadderState& state, const Pool& pool,
                                std::uint8_t tier) {
  double higher = 0;
  for (std::uint8_t i = 0; i < tier; ++i) {
    higher += pool.tiers[i].mean_running;
  }
  return ReservedSlots(higher, pool.slots, GetLimits(state));
}

double ReleasesPerSecond(const LadderState& state, TargetHandle target,
                         Time now) {
  double rate = 0;
  for (const ServiceTimeStats& stats : state.stats[target.idx]) {
    if (stats.running == 0) continue;
    const double mean = MeanSlotTime(stats, now).count();
    if (mean > 0) rate += stats.running / mean;
  }
  return rate;
}

std::optional<WaitingRequest> RemoveWaiting(LadderState& state,
                                            RequestId request) {
  std::optional<WaitingRequest> removed = Remove(state.queue, request);
  if (removed) {
    --state.waiting_by_class[removed->request.cls.idx];
    --state.waiting_by_account[removed->request.account.idx];
  }
  return removed;
}

void RefuseWaiting(LadderState& state, RequestId request, RefuseReason reason,
                   Time now, Actions& out) {
  const std::optional<WaitingRequest> removed = RemoveWaiting(state, request);
  if (!removed) return;
  const AdmissionContext context =
      MakeAdmissionContext(state, removed->request, now);
  AppendRefusal(state, request, reason, context.expected_wait, Seconds(0), out);
}

bool Admit(LadderState& state, const Request& request, Time now, Actions& out) {
  const auto quarantine = state.quarantined.find(request.fingerprint);
  if (quarantine != state.quarantined.end() && quarantine->second > now) {
    const Seconds time_left = quarantine->second - now;
    AppendRefusal(state, request.id, RefuseReason::kQuarantined, time_left,
                  Seconds(0), out);
    return false;
  }
  if (!IsKnown(state, request) ||
      !HasAvailableEndpoint(state, request.target)) {
    AppendRefusal(state, request.id, RefuseReason::kNoEndpoint, kCapRetryAfter,
                  Seconds(0), out);
    return false;
  }
  const rules::Class& cls = GetClass(state.table, request.cls);
  const AdmissionContext context = MakeAdmissionContext(state, request, now);
  const std::optional<RefuseReason> refusal = DecideAdmission(context, now);
  RecordDemand(state, request, cls.tier, !refusal, now);
  if (refusal) {
    const bool is_deadline_refusal =
        *refusal == RefuseReason::kDeadlineUnreachable;
    AppendRefusal(
        state, request.id, *refusal,
        is_deadline_refusal ? context.expected_wait : kCapRetryAfter,
        is_deadline_refusal ? Seconds(context.deadline - now) : Seconds(0),
        out);
    return false;
  }
  if (!MakeRoom(state, request, cls.tier, now, out)) {
    AppendRefusal(state, request.id, RefuseReason::kQueueFull,
                  context.expected_wait, Seconds(0), out);
    return false;
  }
  Enqueue(state, request, cls);
  return true;
}

// Lists late requests of a tier that has been overloaded for longer than the
// class allows a request to be late. Requests in time would be served before
// them until their queue deadline.
void ListStarvedRequests(const LadderState& state, TargetHandle target,
                         std::uint32_t cls, Time now,
                         std::vector<RequestId>& out) {
  const rules::Class& rules_class = GetClass(state.table, ClassHandle{cls});
  const Time overloaded_since =
      state.pools[target.idx]
          .tiers[std::min<std::size_t>(rules_class.tier, kTiers - 1)]
          .overloaded_since;
  const auto allowed_lateness = rules_class.max_wait - rules_class.first_token;
  if (overloaded_since == Time{} || now - overloaded_since < allowed_lateness)
    return;
  if (!GetLimits(state).refuse_early) return;
  for (const auto& [account, flow] :
       state.queue.queues[target.idx][cls].late.flows) {
    for (const QueueEntry& entry : flow) out.push_back(entry.request);
  }
  std::sort(out.begin(), out.end());
}

void RecordOverload(LadderState& state, Time now) {
  for (Pool& pool : state.pools) {
    for (std::uint8_t tier = 0; tier < kTiers; ++tier) {
      Time& overloaded_since = pool.tiers[tier].overloaded_since;
      if (!IsOverloaded(pool, tier, now)) {
        overloaded_since = Time{};
      } else if (overloaded_since == Time{}) {
        overloaded_since = now;
      }
    }
  }
}

void RefuseUnreachable(LadderState& state, Time now, Actions& out) {
  RecordOverload(state, now);
  for (std::uint32_t target_idx = 0; target_idx < state.queue.queues.size();
       ++target_idx) {
    const TargetHandle target{target_idx};
    for (std::uint32_t class_idx = 0;
         class_idx < state.queue.queues[target_idx].size(); ++class_idx) {
      if (state.queue.num_waiting[target_idx][class_idx] == 0) continue;
      const std::uint8_t tier =
          GetClass(state.table, ClassHandle{class_idx}).tier;
      const auto wait_for_higher_tiers =
          std::chrono::duration_cast<std::chrono::nanoseconds>(
              EstimateWaitForHigherTiers(state, target, tier, now));
      state.scratch_ids.clear();
      ListExpiringBefore(state.queue, target, ClassHandle{class_idx},
                         now + wait_for_higher_tiers, state.scratch_ids);
      if (state.scratch_ids.empty())
        ListStarvedRequests(state, target, class_idx, now, state.scratch_ids);
      const std::vector<RequestId> unreachable = state.scratch_ids;
      for (const RequestId request : unreachable) {
        const WaitingRequest& waiting = state.queue.requests.at(request);
        const bool has_waited = waiting.late || waiting.queue_deadline < now;
        RefuseWaiting(state, request,
                      has_waited ? RefuseReason::kWaitedTooLong
                                 : RefuseReason::kDeadlineUnreachable,
                      now, out);
      }
    }
  }
}

}  // namespace egretladder::policy
