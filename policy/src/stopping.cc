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

StopPhase GetStopPhase(const StopPlan& plan, milliseconds since) {
  if (since >= plan.grace - plan.exit_margin) return StopPhase::kOver;
  if (since >= plan.grace - plan.cut_margin) return StopPhase::kCutting;
  if (since < plan.address_ttl) return StopPhase::kTaking;
  if (since < plan.address_ttl + plan.settle) return StopPhase::kSettling;
  return StopPhase::kFinishing;
}

milliseconds TimeUntilCut(const StopPlan& plan, milliseconds since) {
  return plan.grace - plan.cut_margin - since;
}

bool CanExit(StopPhase phase, bool answered) {
  if (phase == StopPhase::kOver) return true;
  const bool takes =
      phase == StopPhase::kTaking || phase == StopPhase::kSettling;
  return answered && !takes;
}

milliseconds MinGracePeriod(const StopPlan& plan) {
  return plan.address_ttl + plan.settle + plan.cut_margin;
}

}  // namespace egretladder::policy
