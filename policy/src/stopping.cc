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

StopPhase GetStopPhase(const StopPlan& plan, milliseconds elapsed) {
  if (elapsed >= plan.grace - plan.exit_margin) return StopPhase::kOver;
  if (elapsed >= plan.grace - plan.cut_margin) return StopPhase::kCutting;
  if (elapsed < plan.address_ttl) return StopPhase::kTaking;
  if (elapsed < plan.address_ttl + plan.settle) return StopPhase::kSettling;
  return StopPhase::kFinishing;
}

milliseconds TimeUntilCut(const StopPlan& plan, milliseconds elapsed) {
  return plan.grace - plan.cut_margin - elapsed;
}

bool CanExit(StopPhase phase, bool all_answered) {
  if (phase == StopPhase::kOver) return true;
  const bool accepts_requests =
      phase == StopPhase::kTaking || phase == StopPhase::kSettling;
  return all_answered && !accepts_requests;
}

milliseconds MinGracePeriod(const StopPlan& plan) {
  return plan.address_ttl + plan.settle + plan.cut_margin;
}

}  // namespace egretladder::policy
