// Carries out the scheduler's decisions and checks them.
#pragma once

#include "load_run.h"

namespace egretladder::policy::load {

inline void Simulation::Apply(const Dispatch& dispatch) {
  SimRequest& sim_request = sim_requests_[dispatch.request];
  Engine& engine = engines_[dispatch.endpoint.idx];
  const Request& request = sim_request.planned.request;
  Check(sim_request.waiting && !sim_request.running,
        "dispatched a request that was not waiting");
  Check(engine.takes_work, "dispatched to an endpoint that takes no work");
  Check(engine.in_flight < engine.leased_slots,
        "more requests in flight than slots");
  LeaveQueue(sim_request);
  const bool by_aging_quota = dispatch.reason == PickReason::kAgedWork;
  if (!by_aging_quota && IsHigherTierWaiting(wait_counts_, GetTier(request))) {
    ++result_.tier_inversions;
  }
  sim_request.running = true;
  sim_request.by_aging_quota = by_aging_quota;
  sim_request.engine = dispatch.endpoint.idx;
  sim_request.started = now_;
  RecordStart(sim_request);
  ++engine.in_flight;
  ScheduleAttempt(dispatch.request, sim_request);
}

inline void Simulation::RecordStart(const SimRequest& sim_request) {
  const Request& request = sim_request.planned.request;
  if (engines_[sim_request.engine].slowdown > 1)
    ++result_.starts_at_slow_engines;
  const auto second =
      static_cast<std::size_t>(DoubleSeconds(now_ - kStart).count());
  if (sim_request.engine % workload_.fleet.zones == recorded_zone_ &&
      second < result_.zone_starts_by_second.size()) {
    ++result_.zone_starts_by_second[second];
  }
  ClassResult& cls = result_.classes[request.cls.idx];
  cls.worst_wait =
      std::max<DoubleSeconds>(cls.worst_wait, now_ - request.arrived);
  EndUnservedSpan(wait_counts_, request.cls.idx, now_, cls.longest_unserved);
}

inline void Simulation::Apply(const Refuse& refuse) {
  SimRequest& sim_request = sim_requests_[refuse.request];
  const Request& request = sim_request.planned.request;
  Check(sim_request.waiting, "refused a request that was not waiting");
  Check(refuse.retry_after > 0ms, "refused without a retry delay");
  LeaveQueue(sim_request);
  const bool to_make_room = refuse.reason == RefuseReason::kQueueFull ||
                            refuse.reason == RefuseReason::kShedForHigherTier;
  if (to_make_room && IsLowerTierWaiting(wait_counts_, GetTier(request))) {
    ++result_.tier_inversions;
  }
  ClassResult& cls = result_.classes[request.cls.idx];
  ++cls.refused;
  cls.refusal_waits += now_ - request.arrived;
  cls.worst_refusal =
      std::max<DoubleSeconds>(cls.worst_refusal, now_ - request.arrived);
  FinishRequest(sim_request);
}

inline void Simulation::Apply(const Preempt& preempt) {
  SimRequest& sim_request = sim_requests_[preempt.request];
  Check(sim_request.running && !sim_request.has_first_token,
        "preempted a request after its first token");
  Check(IsHigherTierWaiting(wait_counts_, GetTier(sim_request.planned.request)),
        "preempted a request while no higher tier waited");
  ++result_.preempted;
  AbortAttempt(preempt.request, EndKind::kCancelled);
}

inline void Simulation::ScheduleAttempt(std::uint64_t id,
                                        const SimRequest& sim_request) {
  const AttemptTiming timing = PlanAttempt(
      engines_[sim_request.engine], workload_.fleet,
      GetClass(sim_request).work_model, sim_request.planned.request.prefix);
  if (timing.fails) {
    return AddEvent(now_ + ToNanoseconds(kFailureDelay), EventKind::kEnd, id,
                    sim_request.attempt);
  }
  AddEvent(now_ + ToNanoseconds(timing.time_to_first_token),
           EventKind::kFirstToken, id, sim_request.attempt);
  const std::uint32_t tokens = sim_request.planned.tokens;
  for (std::uint32_t reported = 0; reported < tokens;
       reported += kTokensPerEvent) {
    const std::uint32_t up_to = std::min(tokens, reported + kTokensPerEvent);
    AddEvent(now_ + ToNanoseconds(timing.time_to_first_token +
                                  timing.time_per_token * up_to),
             EventKind::kTokens, id, sim_request.attempt);
  }
  AddEvent(now_ + ToNanoseconds(timing.time_to_first_token +
                                timing.time_per_token * tokens),
           EventKind::kEnd, id, sim_request.attempt);
}

inline void Simulation::LeaveQueue(SimRequest& sim_request) {
  sim_request.waiting = false;
  const Request& request = sim_request.planned.request;
  RemoveWaiting(wait_counts_, request.cls.idx, GetTier(request), now_,
                result_.classes[request.cls.idx].longest_unserved);
}

}  // namespace egretladder::policy::load
