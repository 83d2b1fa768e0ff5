// Who may wait: the ladder's questions to admit.h and the refusals.
#include <algorithm>
#include <cmath>

#include "ladder_p.h"

namespace egretladder::policy {
namespace {

constexpr double kDemandSeconds = 10;  // Smoothing of what tiers bring.
constexpr Seconds kCapRetry{
    1};  // Caps free up as work ends; nobody knows when.

void AppendRefusal(LadderState& state, RequestId request, RefuseReason reason,
                   Seconds wait, Seconds may_wait, Actions& out) {
  const double jitter = kernel::Fraction(state.random);
  out.emplace_back(Refuse{request, reason,
                          RetryAfter(wait, may_wait, jitter, LimitsOf(state))});
}

double MeanSlotSeconds(const LadderState& state, TargetHandle target,
                       std::size_t cls, Time now) {
  return MeanSlotTime(state.seen[target.idx][cls], now).count();
}

void AddAhead(const LadderState& state, TargetHandle target, std::size_t cls,
              double requests, Time now, WorkAhead& ahead) {
  if (requests <= 0) return;
  ahead.requests += requests;
  ahead.slot_seconds += requests * MeanSlotSeconds(state, target, cls, now);
  ahead.ends = std::min(ahead.ends, state.seen[target.idx][cls].ends);
}

// Higher tiers whole, own class by fair turns, others of the tier when their
// deadlines are as short.
WorkAhead AheadOf(const LadderState& state, const Request& request, Time now) {
  const rules::Class& own = ClassOf(state.table, request.cls);
  WorkAhead ahead;
  ahead.ends = state.seen[request.target.idx][request.cls.idx].ends;
  const auto& waiting = state.queue.waiting[request.target.idx];
  for (std::uint32_t i = 0; i < waiting.size(); ++i) {
    if (waiting[i] == 0) continue;
    const rules::Class& cls = ClassOf(state.table, ClassHandle{i});
    double requests = waiting[i];
    if (i == request.cls.idx) {
      requests = FairAhead(waiting[i], state.queue.accounts_waiting[i],
                           state.queue.served[i][request.account.idx].waiting);
    } else if (cls.tier > own.tier ||
               (cls.tier == own.tier && cls.first_token > own.first_token)) {
      continue;
    }
    AddAhead(state, request.target, i, requests, now, ahead);
  }
  return ahead;
}

double DemandAt(const TierLoad& load, Time now) {
  const double passed = Seconds(now - load.until).count();
  return load.demand * std::exp(-std::max(0.0, passed) / kDemandSeconds);
}

// What higher tiers leave over as they go on arriving; the trickle at least.
double PartLeft(const LadderState& state, const Pool& pool, std::uint8_t tier,
                Time now) {
  if (pool.slots == 0) return 1;
  double demand = 0;
  for (std::uint8_t higher = 0; higher < tier; ++higher) {
    demand += DemandAt(pool.tiers[higher], now);
  }
  const double least = std::max(0.01, LimitsOf(state).trickle_share);
  return std::clamp(1.0 - demand / pool.slots, least, 1.0);
}

SlotsInUse UseOf(const LadderState& state, const Request& request,
                 std::uint8_t tier, Time now) {
  const Pool& pool = state.pools[request.target.idx];
  const std::uint32_t reserved = ReservedFrom(state, pool, tier);
  return {pool.slots, pool.free - std::min(pool.free, reserved),
          ReleasesASecond(state, request.target, now),
          PartLeft(state, pool, tier, now)};
}

AdmitQuestion QuestionOf(const LadderState& state, const Request& request,
                         Time now) {
  const rules::Class& cls = ClassOf(state.table, request.cls);
  const rules::Account& account = AccountOf(state.table, request.account);
  const WorkAhead ahead = AheadOf(state, request, now);
  const SlotsInUse use = UseOf(state, request, cls.tier, now);
  AdmitQuestion question;
  question.class_waiting = state.waiting_by_class[request.cls.idx];
  question.class_cap = cls.waiting;
  question.account_waiting = state.waiting_by_account[request.account.idx];
  question.account_cap = account.waiting;
  question.can_start_now = ahead.requests < 1 && use.free > 0;
  question.wait = EstimateWait(ahead, use);
  question.first_token =
      MeanFirstToken(state.seen[request.target.idx][request.cls.idx]);
  question.estimate_holds = LimitsOf(state).refuse_early &&
                            ahead.ends >= LimitsOf(state).ends_before_refusing;
  question.bound = BoundOf(request, cls);
  return question;
}

bool TakesWorkAnywhere(const LadderState& state, TargetHandle target) {
  if (target.idx < state.pools.size() && state.pools[target.idx].slots > 0) {
    return true;
  }
  const auto& servers = ServersOf(state.table, target);
  return std::any_of(servers.begin(), servers.end(), [&](EndpointHandle e) {
    return TakesWork(state.table.endpoints[e.idx]);
  });
}

bool IsKnown(const LadderState& state, const Request& request) {
  return request.cls.idx < state.running_by_class.size() &&
         request.account.idx < state.running_by_account.size();
}

// Room is made by the lowest tier, then by an account far over its part.
bool MakeRoom(LadderState& state, const Request& request, std::uint8_t tier,
              Time now, Actions& out) {
  if (state.queue.requests.size() < LimitsOf(state).waiting_most) return true;
  RefuseReason reason = RefuseReason::kShedForHigherTier;
  const Waiting* victim = FindToShed(state.queue, tier);
  if (victim == nullptr) {
    reason = RefuseReason::kAccountCap;
    victim = FindOverShare(state.queue, request.cls, request.account);
  }
  if (victim == nullptr) return false;
  RefuseWaiting(state, victim->request.id, reason, now, out);
  return true;
}

void Enqueue(LadderState& state, const Request& request,
             const rules::Class& cls) {
  Waiting waiting;
  waiting.request = request;
  waiting.tier = cls.tier;
  waiting.bound = BoundOf(request, cls);
  Push(state.queue, waiting);
  ++state.waiting_by_class[request.cls.idx];
  ++state.waiting_by_account[request.account.idx];
}

// Wait for what is ahead by tier alone: it will pass first whatever happens.
Seconds WaitForHigher(const LadderState& state, TargetHandle target,
                      std::uint8_t tier, Time now) {
  WorkAhead ahead;
  ahead.ends = LimitsOf(state).ends_remembered;
  const auto& waiting = state.queue.waiting[target.idx];
  for (std::uint32_t i = 0; i < waiting.size(); ++i) {
    if (ClassOf(state.table, ClassHandle{i}).tier >= tier) continue;
    AddAhead(state, target, i, waiting[i], now, ahead);
  }
  if (ahead.requests < 1 || !LimitsOf(state).refuse_early ||
      ahead.ends < LimitsOf(state).ends_before_refusing) {
    return Seconds(0);
  }
  const Pool& pool = state.pools[target.idx];
  return EstimateWait(
      ahead, {pool.slots, pool.free, ReleasesASecond(state, target, now), 1});
}

}  // namespace

std::uint32_t ReservedFrom(const LadderState& state, const Pool& pool,
                           std::uint8_t tier) {
  double higher = 0;
  for (std::uint8_t i = 0; i < tier; ++i) {
    higher += pool.tiers[i].running_smoothed;
  }
  return SlotsReserved(higher, pool.slots, LimitsOf(state));
}

double ReleasesASecond(const LadderState& state, TargetHandle target,
                       Time now) {
  double rate = 0;
  for (const WorkSeen& seen : state.seen[target.idx]) {
    if (seen.running == 0) continue;
    const double mean = MeanSlotTime(seen, now).count();
    if (mean > 0) rate += seen.running / mean;
  }
  return rate;
}

void NoteDemand(LadderState& state, const Request& request, std::uint8_t tier,
                Time now) {
  TierLoad& load = state.pools[request.target.idx]
                       .tiers[std::min<std::size_t>(tier, kTiers - 1)];
  load.demand = DemandAt(load, now) +
                MeanSlotSeconds(state, request.target, request.cls.idx, now) /
                    kDemandSeconds;
  load.until = now;
}

std::optional<Waiting> TakeWaiting(LadderState& state, RequestId request) {
  std::optional<Waiting> taken = Take(state.queue, request);
  if (taken) {
    --state.waiting_by_class[taken->request.cls.idx];
    --state.waiting_by_account[taken->request.account.idx];
  }
  return taken;
}

void RefuseWaiting(LadderState& state, RequestId request, RefuseReason reason,
                   Time now, Actions& out) {
  const std::optional<Waiting> taken = TakeWaiting(state, request);
  if (!taken) return;
  state.preempted.erase(request);
  const AdmitQuestion question = QuestionOf(state, taken->request, now);
  AppendRefusal(state, request, reason, question.wait, Seconds(0), out);
}

bool Admit(LadderState& state, const Request& request, Time now, Actions& out) {
  const auto held = state.quarantined.find(request.fingerprint);
  if (held != state.quarantined.end() && held->second > now) {
    const Seconds left = held->second - now;
    AppendRefusal(state, request.id, RefuseReason::kQuarantined, left,
                  Seconds(0), out);
    return false;
  }
  if (!IsKnown(state, request) || !TakesWorkAnywhere(state, request.target)) {
    AppendRefusal(state, request.id, RefuseReason::kNoEndpoint, kCapRetry,
                  Seconds(0), out);
    return false;
  }
  const rules::Class& cls = ClassOf(state.table, request.cls);
  const AdmitQuestion question = QuestionOf(state, request, now);
  const std::optional<RefuseReason> refusal = DecideAdmit(question, now);
  if (refusal) {
    const bool by_time = *refusal == RefuseReason::kDeadlineUnreachable;
    AppendRefusal(
        state, request.id, *refusal, by_time ? question.wait : kCapRetry,
        by_time ? Seconds(question.bound - request.arrived) : Seconds(0), out);
    return false;
  }
  if (!MakeRoom(state, request, cls.tier, now, out)) {
    AppendRefusal(state, request.id, RefuseReason::kQueueFull, question.wait,
                  Seconds(0), out);
    return false;
  }
  NoteDemand(state, request, cls.tier, now);
  Enqueue(state, request, cls);
  return true;
}

void RefuseHopeless(LadderState& state, Time now, Actions& out) {
  for (std::uint32_t t = 0; t < state.queue.queues.size(); ++t) {
    const TargetHandle target{t};
    for (std::uint32_t c = 0; c < state.queue.queues[t].size(); ++c) {
      if (state.queue.waiting[t][c] == 0) continue;
      const std::uint8_t tier = ClassOf(state.table, ClassHandle{c}).tier;
      const auto pushed_back =
          std::chrono::duration_cast<std::chrono::nanoseconds>(
              WaitForHigher(state, target, tier, now));
      state.ids.clear();
      ListBoundBefore(state.queue, target, ClassHandle{c}, now + pushed_back,
                      state.ids);
      const std::vector<RequestId> hopeless = state.ids;
      for (const RequestId request : hopeless) {
        const bool waited = state.queue.requests.at(request).bound < now;
        RefuseWaiting(state, request,
                      waited ? RefuseReason::kWaitedTooLong
                             : RefuseReason::kDeadlineUnreachable,
                      now, out);
      }
    }
  }
}

}  // namespace egretladder::policy
