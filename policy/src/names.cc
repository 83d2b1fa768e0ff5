// Names of reasons and outcomes in log lines.
#include "egretladder/policy/retry.h"
#include "egretladder/policy/scheduler.h"
#include "egretladder/policy/slots.h"

namespace egretladder::policy {

const char* NameOf(PickReason reason) {
  switch (reason) {
    case PickReason::kOnlyChoice:
      return "only_choice";
    case PickReason::kPrefixCached:
      return "prefix_cached";
    case PickReason::kLeastLoaded:
      return "least_loaded";
    case PickReason::kNearZone:
      return "near_zone";
    case PickReason::kAgedWork:
      return "trickle";
    case PickReason::kProbe:
      return "probe";
    case PickReason::kBaseline:
      return "baseline";
  }
  return "unknown";
}

const char* NameOf(RefuseReason reason) {
  switch (reason) {
    case RefuseReason::kDeadlineUnreachable:
      return "deadline_unreachable";
    case RefuseReason::kClassCap:
      return "class_cap";
    case RefuseReason::kAccountCap:
      return "account_cap";
    case RefuseReason::kShedForHigherTier:
      return "shed_for_higher_tier";
    case RefuseReason::kQueueFull:
      return "queue_full";
    case RefuseReason::kWaitedTooLong:
      return "waited_too_long";
    case RefuseReason::kNoEndpoint:
      return "no_endpoint";
    case RefuseReason::kQuarantined:
      return "quarantined";
  }
  return "unknown";
}

const char* NameOf(PreemptReason reason) {
  switch (reason) {
    case PreemptReason::kHigherTierWaits:
      return "higher_tier_waits";
  }
  return "unknown";
}

const char* NameOf(EndKind kind) {
  switch (kind) {
    case EndKind::kDone:
      return "done";
    case EndKind::kNotRun:
      return "not_run";
    case EndKind::kFailed:
      return "failed";
    case EndKind::kDied:
      return "endpoint_died";
    case EndKind::kCancelled:
      return "cancelled";
  }
  return "unknown";
}

const char* NameOf(RetryReason reason) {
  switch (reason) {
    case RetryReason::kNotRun:
      return "not_run";
    case RetryReason::kIdempotent:
      return "idempotent";
    case RetryReason::kMayHaveRun:
      return "may_have_run";
    case RetryReason::kAnswerStarted:
      return "answer_started";
    case RetryReason::kBudgetSpent:
      return "budget_spent";
    case RetryReason::kAttemptsSpent:
      return "attempts_spent";
    case RetryReason::kDeadlinePassed:
      return "deadline_passed";
    case RetryReason::kPoison:
      return "poison";
  }
  return "unknown";
}

const char* NameOf(SlotReason reason) {
  switch (reason) {
    case SlotReason::kUnchanged:
      return "unchanged";
    case SlotReason::kStarted:
      return "started";
    case SlotReason::kGrewOnAnswers:
      return "grew_on_answers";
    case SlotReason::kTurnedCold:
      return "turned_cold";
    case SlotReason::kOverloaded:
      return "overloaded";
  }
  return "unknown";
}

}  // namespace egretladder::policy
