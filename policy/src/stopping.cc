#include "egretladder/policy/stopping.h"

namespace egretladder::policy {

const char* NameOf(StopPhase phase) {
  switch (phase) {
    case StopPhase::kTaking:
      return "taking";
    case StopPhase::kSettling:
      return "settling";
    case StopPhase::kFinishing:
      return "finishing";
    case StopPhase::kCutting:
      return "cutting";
    case StopPhase::kOver:
      return "over";
  }
  return "unknown";
}

StopPhase PhaseOf(const StopPlan& plan, milliseconds since) {
  if (since >= plan.grace - plan.exit_margin) return StopPhase::kOver;
  if (since >= plan.grace - plan.cut_margin) return StopPhase::kCutting;
  if (since < plan.addresses_kept) return StopPhase::kTaking;
  if (since < plan.addresses_kept + plan.settle) return StopPhase::kSettling;
  return StopPhase::kFinishing;
}

milliseconds LeftForWork(const StopPlan& plan, milliseconds since) {
  return plan.grace - plan.cut_margin - since;
}

bool MayExit(StopPhase phase, bool answered) {
  if (phase == StopPhase::kOver) return true;
  const bool takes =
      phase == StopPhase::kTaking || phase == StopPhase::kSettling;
  return answered && !takes;
}

milliseconds ShortestGrace(const StopPlan& plan) {
  return plan.addresses_kept + plan.settle + plan.cut_margin;
}

}  // namespace egretladder::policy
