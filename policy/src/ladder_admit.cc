// Who may wait: the ladder's questions to admit.h and the refusals.
#include <algorithm>
#include <cmath>

#include "ladder_p.h"

namespace egretladder::policy {
namespace {

// Smoothing of what tiers bring: seconds for what must start within seconds; a
// minute for what can wait, or a burst of seconds would refuse it.
constexpr double kSmoothed = 5;
constexpr double kSmoothedLong = 60;
constexpr Seconds kLongWait{20};
constexpr Seconds kCapRetry{
    1};  // Caps free up as work ends; nobody knows when.

void AppendRefusal(LadderState& state, RequestId request, RefuseReason reason,
                   Seconds wait, Seconds may_wait, Actions& out) {
  const double jitter = kernel::RandomFraction(state.random);
  out.emplace_back(Refuse{request, reason,
                          RetryAfter(wait, may_wait, jitter, LimitsOf(state))});
}

double MeanSlotSeconds(const LadderState& state, TargetHandle target,
                       std::size_t cls, Time now) {
  return MeanSlotTime(state.seen[target.idx][cls], now).count();
}

// Of all classes of a target.
double EndsSeen(const LadderState& state, TargetHandle target) {
  double ends = 0;
  for (const WorkSeen& seen : state.seen[target.idx]) ends += seen.ends;
  return ends;
}

void AddAhead(const LadderState& state, TargetHandle target, std::size_t cls,
              double requests, Time now, WorkAhead& ahead) {
  if (requests <= 0) return;
  ahead.requests += requests;
  ahead.slot_seconds += requests * MeanSlotSeconds(state, target, cls, now);
}

// Higher tiers whole, own class by fair turns, others of the tier when their
// deadlines are as short. What is late goes after what is in time.
WorkAhead AheadOf(const LadderState& state, const Request& request,
                  bool in_time_only, Time now) {
  const rules::Class& own = ClassOf(state.table, request.cls);
  const std::uint32_t target = request.target.idx;
  WorkAhead ahead;
  ahead.ends = state.seen[target][request.cls.idx].ends;
  const auto& waiting = state.queue.waiting[target];
  for (std::uint32_t i = 0; i < waiting.size(); ++i) {
    if (waiting[i] == 0) continue;
    const rules::Class& cls = ClassOf(state.table, ClassHandle{i});
    if (cls.tier > own.tier) continue;
    auto requests = static_cast<double>(waiting[i]);
    if (in_time_only && cls.tier == own.tier) {
      requests =
          static_cast<double>(state.queue.queues[target][i].by_deadline.size());
    }
    if (i == request.cls.idx) {
      requests = FairAhead(static_cast<std::uint32_t>(requests),
                           state.queue.accounts_waiting[i],
                           state.queue.served[i][request.account.idx].waiting);
    } else if (cls.tier == own.tier && cls.first_token > own.first_token) {
      continue;
    }
    AddAhead(state, request.target, i, requests, now, ahead);
  }
  return ahead;
}

double Faded(double value, Time since, double smoothed, Time now) {
  const double passed = Seconds(now - since).count();
  return value * std::exp(-std::max(0.0, passed) / smoothed);
}

void NoteDemand(LadderState& state, const Request& request, std::uint8_t tier,
                bool admitted, Time now) {
  Pool& pool = state.pools[request.target.idx];
  TierLoad& load = pool.tiers[std::min<std::size_t>(tier, kTiers - 1)];
  const double work =
      MeanSlotSeconds(state, request.target, request.cls.idx, now);
  load.offered = Faded(load.offered, load.until, kSmoothed, now);
  load.admitted = Faded(load.admitted, load.until, kSmoothed, now);
  load.admitted_long =
      Faded(load.admitted_long, load.until, kSmoothedLong, now);
  load.until = now;
  load.offered += work / kSmoothed;
  if (!admitted) return;
  load.admitted += work / kSmoothed;
  load.admitted_long += work / kSmoothedLong;
}

bool IsOverloaded(const Pool& pool, std::uint8_t tier, Time now) {
  double offered = 0;
  for (std::uint8_t i = 0; i <= tier && i < kTiers; ++i) {
    const TierLoad& load = pool.tiers[i];
    offered += Faded(load.offered, load.until, kSmoothed, now);
  }
  return offered > pool.slots;
}

// Classes that share the trickle, one that arrives included.
std::uint32_t LowerClassesWaiting(const LadderState& state,
                                  TargetHandle target) {
  std::uint32_t classes = 1;
  const auto& waiting = state.queue.waiting[target.idx];
  for (std::uint32_t i = 0; i < waiting.size(); ++i) {
    const std::uint8_t tier = ClassOf(state.table, ClassHandle{i}).tier;
    if (waiting[i] > 0 && tier > rules::kTopTier) ++classes;
  }
  return classes;
}

// What higher tiers leave over as they go on arriving; the trickle at least.
double PartLeft(const LadderState& state, TargetHandle target,
                std::uint8_t tier, Seconds may_wait, Time now) {
  const Pool& pool = state.pools[target.idx];
  if (pool.slots == 0) return 1;
  double demand = 0;
  double demand_long = 0;
  for (std::uint8_t higher = 0; higher < tier; ++higher) {
    const TierLoad& load = pool.tiers[higher];
    demand += Faded(load.admitted, load.until, kSmoothed, now);
    demand_long += Faded(load.admitted_long, load.until, kSmoothedLong, now);
  }
  if (may_wait > kLongWait) demand = std::min(demand, demand_long);
  const double least = std::max(0.001, LimitsOf(state).aging_share) /
                       LowerClassesWaiting(state, target);
  return std::clamp(1.0 - demand / pool.slots, least, 1.0);
}

// What the slots give a request that may wait until `limit`.
SlotsInUse UseOf(const LadderState& state, const Request& request,
                 std::uint8_t tier, Time limit, Time now) {
  const Pool& pool = state.pools[request.target.idx];
  const std::uint32_t reserved = ReservedFrom(state, pool, tier);
  return {pool.slots, pool.free - std::min(pool.free, reserved),
          ReleasesASecond(state, request.target, now),
          PartLeft(state, request.target, tier, limit - now, now)};
}

double TrustIn(const LadderState& state, const WorkAhead& ahead) {
  if (!LimitsOf(state).refuse_early || ahead.ends <= 0) return 0;
  return ahead.ends /
         (ahead.ends + LimitsOf(state).half_confidence_completions);
}

AdmitQuestion QuestionOf(const LadderState& state, const Request& request,
                         Time now) {
  const rules::Class& cls = ClassOf(state.table, request.cls);
  const rules::Account& account = AccountOf(state.table, request.account);
  const WorkAhead ahead = AheadOf(state, request, true, now);
  const Time bound = BoundOf(request, cls);
  const SlotsInUse use = UseOf(state, request, cls.tier, request.deadline, now);
  const SlotsInUse use_late = UseOf(state, request, cls.tier, bound, now);
  AdmitQuestion question;
  question.class_waiting = state.waiting_by_class[request.cls.idx];
  question.class_cap = cls.waiting;
  question.account_waiting = state.waiting_by_account[request.account.idx];
  question.account_cap = account.waiting;
  question.can_start_now = ahead.requests < 1 && use.free > 0;
  question.wait = EstimateWait(ahead, use);
  question.wait_late =
      EstimateWait(AheadOf(state, request, false, now), use_late);
  question.overloaded =
      IsOverloaded(state.pools[request.target.idx], cls.tier, now);
  question.deadline = request.deadline;
  question.first_token =
      LongFirstToken(state.seen[request.target.idx][request.cls.idx]);
  // One of each lower class may always wait: the trickle serves what waits,
  // and a class that is refused on every arrival would never be served.
  const bool only_one =
      cls.tier > rules::kTopTier &&
      state.queue.waiting[request.target.idx][request.cls.idx] == 0;
  question.trust = only_one ? 0 : TrustIn(state, ahead);
  question.bound = bound;
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
  if (state.queue.requests.size() < LimitsOf(state).max_queue_length)
    return true;
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
  ahead.ends = EndsSeen(state, target);
  const auto& waiting = state.queue.waiting[target.idx];
  for (std::uint32_t i = 0; i < waiting.size(); ++i) {
    if (ClassOf(state.table, ClassHandle{i}).tier >= tier) continue;
    AddAhead(state, target, i, waiting[i], now, ahead);
  }
  if (ahead.requests < 1) return Seconds(0);
  const Pool& pool = state.pools[target.idx];
  const SlotsInUse use{pool.slots, pool.free,
                       ReleasesASecond(state, target, now), 1};
  return EstimateWait(ahead, use) * TrustIn(state, ahead);
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
  NoteDemand(state, request, cls.tier, !refusal, now);
  if (refusal) {
    const bool by_time = *refusal == RefuseReason::kDeadlineUnreachable;
    AppendRefusal(state, request.id, *refusal,
                  by_time ? question.wait : kCapRetry,
                  by_time ? Seconds(question.deadline - now) : Seconds(0), out);
    return false;
  }
  if (!MakeRoom(state, request, cls.tier, now, out)) {
    AppendRefusal(state, request.id, RefuseReason::kQueueFull, question.wait,
                  Seconds(0), out);
    return false;
  }
  Enqueue(state, request, cls);
  return true;
}

// Late work of a tier that has been overloaded for longer than the class's
// patience: what is in time will go on passing it until its bound.
void ListStarved(const LadderState& state, TargetHandle target,
                 std::uint32_t cls, Time now, std::vector<RequestId>& out) {
  const rules::Class& rule = ClassOf(state.table, ClassHandle{cls});
  const Time since = state.pools[target.idx]
                         .tiers[std::min<std::size_t>(rule.tier, kTiers - 1)]
                         .overloaded_since;
  const auto patience = rule.max_wait - rule.first_token;
  if (since == Time{} || now - since < patience) return;
  if (!LimitsOf(state).refuse_early) return;
  for (const auto& [account, flow] :
       state.queue.queues[target.idx][cls].late.flows) {
    for (const Place& place : flow) out.push_back(place.request);
  }
  std::sort(out.begin(), out.end());
}

void NoteOverload(LadderState& state, Time now) {
  for (Pool& pool : state.pools) {
    for (std::uint8_t tier = 0; tier < kTiers; ++tier) {
      Time& since = pool.tiers[tier].overloaded_since;
      if (!IsOverloaded(pool, tier, now)) {
        since = Time{};
      } else if (since == Time{}) {
        since = now;
      }
    }
  }
}

void RefuseHopeless(LadderState& state, Time now, Actions& out) {
  NoteOverload(state, now);
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
      if (state.ids.empty()) ListStarved(state, target, c, now, state.ids);
      const std::vector<RequestId> hopeless = state.ids;
      for (const RequestId request : hopeless) {
        const Waiting& waiting = state.queue.requests.at(request);
        const bool waited = waiting.late || waiting.bound < now;
        RefuseWaiting(state, request,
                      waited ? RefuseReason::kWaitedTooLong
                             : RefuseReason::kDeadlineUnreachable,
                      now, out);
      }
    }
  }
}

}  // namespace egretladder::policy
