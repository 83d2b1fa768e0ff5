// Names of reasons as they stand in log lines.
#include "egretladder/policy/retry.h"
#include "egretladder/policy/scheduler.h"
#include "egretladder/policy/slots.h"

namespace egretladder::policy {

const char* NameOf(PickReason reason) {
  switch (reason) {
    case PickReason::kOnlyChoice:
      return "only choice";
    case PickReason::kPrefixCached:
      return "prefix cached";
    case PickReason::kLeastLoaded:
      return "least loaded";
    case PickReason::kNearZone:
      return "near zone";
    case PickReason::kTrickle:
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
      return "deadline unreachable";
    case RefuseReason::kClassCap:
      return "class cap";
    case RefuseReason::kAccountCap:
      return "account cap";
    case RefuseReason::kShedForHigherTier:
      return "shed for higher tier";
    case RefuseReason::kQueueFull:
      return "queue full";
    case RefuseReason::kWaitedTooLong:
      return "waited too long";
    case RefuseReason::kNoEndpoint:
      return "no endpoint";
    case RefuseReason::kQuarantined:
      return "quarantined";
  }
  return "unknown";
}

const char* NameOf(PreemptReason reason) {
  switch (reason) {
    case PreemptReason::kHigherTierWaits:
      return "higher tier waits";
  }
  return "unknown";
}

const char* NameOf(EndKind kind) {
  switch (kind) {
    case EndKind::kDone:
      return "done";
    case EndKind::kNotRun:
      return "not run";
    case EndKind::kFailed:
      return "failed";
    case EndKind::kDied:
      return "endpoint died";
    case EndKind::kCancelled:
      return "cancelled";
  }
  return "unknown";
}

const char* NameOf(RetryReason reason) {
  switch (reason) {
    case RetryReason::kNotRunElsewhere:
      return "not run";
    case RetryReason::kIdempotent:
      return "idempotent";
    case RetryReason::kMayHaveRun:
      return "may have run";
    case RetryReason::kAnswerStarted:
      return "answer started";
    case RetryReason::kBudgetSpent:
      return "budget spent";
    case RetryReason::kAttemptsSpent:
      return "attempts spent";
    case RetryReason::kDeadlinePassed:
      return "deadline passed";
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
      return "grew on answers";
    case SlotReason::kTurnedCold:
      return "turned cold";
    case SlotReason::kOverloaded:
      return "overloaded";
  }
  return "unknown";
}

}  // namespace egretladder::policy
