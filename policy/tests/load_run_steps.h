// The run from its plan to its end, step by step in time.
#pragma once

#include "load_run.h"

namespace egretladder::policy::load {

inline void Run::Begin() {
  now_ = kStart;
  for (Planned& planned : PlanArrivals(load_)) {
    if (load_.poison_every > 0 &&
        planned.request.id % load_.poison_every == 0) {
      planned.request.fingerprint = kPoisonBody;
    }
    ++result_.classes[planned.request.cls.idx].offered;
    Account(result_.demand, planned) += planned.tokens;
    Add(planned.request.arrived, StepKind::kArrive, planned.request.id);
    lives_[planned.request.id].planned = planned;
  }
  open_ = lives_.size();
  for (std::size_t i = 0; i < changes_.size(); ++i) {
    Add(At(changes_[i].first), StepKind::kChange, i);
  }
  SetZonesOut({});
  for (std::uint32_t i = 0; i < engines_.size(); ++i) {
    if (load_.fleet.starts_cold) engines_[i].cold_answers = kAnswersToWarm;
    Restart(i);
  }
  Add(now_ + kSchedulerTickInterval, StepKind::kTick, 0);
  Add(now_ + kFleetStep, StepKind::kFleet, 0);
}

inline void Run::Do(const Step& step) {
  switch (step.kind) {
    case StepKind::kArrive:
    case StepKind::kRetry:
      return Arrive(step.id);
    case StepKind::kFirst:
      return FirstToken(step);
    case StepKind::kTokens:
      return Tokens(step);
    case StepKind::kEnd:
      return End(step);
    case StepKind::kTick:
      Act([&](Actions& out) { plugin_->on_tick(*state_, now_, out); });
      return Add(now_ + kSchedulerTickInterval, StepKind::kTick, 0);
    case StepKind::kFleet:
      Fleet();
      return Add(now_ + kFleetStep, StepKind::kFleet, 0);
    case StepKind::kChange:
      return RunChange(step.id);
  }
}

// A change may add others, which moves the list.
inline void Run::RunChange(std::uint64_t number) {
  const std::function<void(Run&)> change = changes_[number].second;
  change(*this);
}

inline Result Run::RunSimulation() {
  Begin();
  while (!steps_.empty()) {
    const Step step = steps_.top();
    steps_.pop();
    now_ = step.at;
    Do(step);
    if (now_ > At(load_.length) && open_ == 0) break;
  }
  Finish();
  return result_;
}

inline void Run::Finish() {
  for (const auto& [id, life] : lives_) {
    Check(life.ended, "a request never ended");
  }
}

}  // namespace egretladder::policy::load
