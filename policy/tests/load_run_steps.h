// The event loop of the simulation.
#pragma once

#include "load_run.h"

namespace egretladder::policy::load {

inline void Simulation::Start() {
  now_ = kStart;
  for (PlannedRequest& planned : PlanArrivals(workload_)) {
    if (workload_.poison_interval > 0 &&
        planned.request.id % workload_.poison_interval == 0) {
      planned.request.fingerprint = kPoisonBody;
    }
    ++result_.classes[planned.request.cls.idx].offered;
    CellFor(result_.demand, planned) += planned.tokens;
    AddEvent(planned.request.arrived, EventKind::kArrival, planned.request.id);
    sim_requests_[planned.request.id].planned = planned;
  }
  unfinished_ = sim_requests_.size();
  for (std::size_t i = 0; i < changes_.size(); ++i) {
    AddEvent(TimeAt(changes_[i].first), EventKind::kPlannedChange, i);
  }
  SetZonesOut({});
  for (std::uint32_t i = 0; i < engines_.size(); ++i) {
    if (workload_.fleet.starts_cold)
      engines_[i].answers_until_warm = kAnswersToWarm;
    RestartSlots(i);
  }
  AddEvent(now_ + kSchedulerTickInterval, EventKind::kTick, 0);
  AddEvent(now_ + kFleetInterval, EventKind::kFleetUpdate, 0);
}

inline void Simulation::HandleEvent(const Event& event) {
  switch (event.kind) {
    case EventKind::kArrival:
    case EventKind::kRetry:
      return HandleArrival(event.id);
    case EventKind::kFirstToken:
      return HandleFirstToken(event);
    case EventKind::kTokens:
      return HandleTokens(event);
    case EventKind::kEnd:
      return HandleEnd(event);
    case EventKind::kTick:
      CallScheduler(
          [&](Actions& out) { plugin_->on_tick(*state_, now_, out); });
      return AddEvent(now_ + kSchedulerTickInterval, EventKind::kTick, 0);
    case EventKind::kFleetUpdate:
      UpdateFleet();
      return AddEvent(now_ + kFleetInterval, EventKind::kFleetUpdate, 0);
    case EventKind::kPlannedChange:
      return ApplyChange(event.id);
  }
}

// Copies the change first: it may add others, which reallocates the list.
inline void Simulation::ApplyChange(std::uint64_t number) {
  const std::function<void(Simulation&)> change = changes_[number].second;
  change(*this);
}

inline Result Simulation::RunSimulation() {
  Start();
  while (!events_.empty()) {
    const Event event = events_.top();
    events_.pop();
    now_ = event.at;
    HandleEvent(event);
    if (now_ > TimeAt(workload_.length) && unfinished_ == 0) break;
  }
  CheckAllFinished();
  return result_;
}

inline void Simulation::CheckAllFinished() {
  for (const auto& [id, sim_request] : sim_requests_) {
    Check(sim_request.ended, "a request never ended");
  }
}

}  // namespace egretladder::policy::load
