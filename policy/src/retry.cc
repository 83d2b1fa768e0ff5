#include "egretladder/policy/retry.h"

#include <algorithm>

namespace egretladder::policy {
namespace {

RetryDecision No(RetryReason reason) { return {false, reason, {}}; }

std::chrono::milliseconds DelayBefore(std::uint8_t attempt, double jitter) {
  const auto full = kRetryDelay * (1U << std::min<unsigned>(attempt - 1U, 6U));
  return std::chrono::duration_cast<std::chrono::milliseconds>(
      full * (0.5 + std::clamp(jitter, 0.0, 1.0)));
}

}  // namespace

void OnSuccess(RetryBudget& budget) {
  budget.tokens = std::min(budget.tokens + kRetryPerSuccess, kRetryBudgetMost);
}

RetryDecision DecideRetry(RetryBudget& budget, const RetryContext& question,
                          double jitter, Time now) {
  if (question.answer_started) return No(RetryReason::kAnswerStarted);
  const bool not_run = question.end == EndKind::kNotRun;
  if (!not_run && !question.repeatable) return No(RetryReason::kMayHaveRun);
  if (question.end == EndKind::kDone || question.end == EndKind::kCancelled) {
    return No(RetryReason::kMayHaveRun);
  }
  // The first death is more often the VM's than the body's; a body that saw
  // two in a row is not tried on a third endpoint.
  if (question.blamed && question.attempt > 1) return No(RetryReason::kPoison);
  if (question.attempt >= kMaxAttempts) {
    return No(RetryReason::kAttemptsSpent);
  }
  const auto delay =
      DelayBefore(std::max<std::uint8_t>(question.attempt, 1), jitter);
  if (now + delay >= question.deadline) {
    return No(RetryReason::kDeadlinePassed);
  }
  if (budget.tokens < 1) return No(RetryReason::kBudgetSpent);
  budget.tokens -= 1;
  return {true,
          not_run ? RetryReason::kNotRunElsewhere : RetryReason::kIdempotent,
          delay};
}

}  // namespace egretladder::policy
