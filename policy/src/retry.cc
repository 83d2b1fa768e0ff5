#include "egretladder/policy/retry.h"

#include <algorithm>

namespace egretladder::policy {
namespace {

RetryDecision DoNotRetry(RetryReason reason) { return {false, reason, {}}; }

std::chrono::milliseconds BackoffDelay(std::uint8_t attempt, double jitter) {
  const auto base_delay =
      kInitialRetryDelay * (1U << std::min<unsigned>(attempt - 1U, 6U));
  return std::chrono::duration_cast<std::chrono::milliseconds>(
      base_delay * (0.5 + std::clamp(jitter, 0.0, 1.0)));
}

}  // namespace

void OnSuccess(RetryBudget& budget) {
  budget.tokens =
      std::min(budget.tokens + kRetryTokensPerSuccess, kMaxRetryTokens);
}

RetryDecision DecideRetry(RetryBudget& budget, const RetryContext& context,
                          double jitter, Time now) {
  if (context.answer_started) return DoNotRetry(RetryReason::kAnswerStarted);
  const bool not_run = context.end == EndKind::kNotRun;
  if (!not_run && !context.repeatable)
    return DoNotRetry(RetryReason::kMayHaveRun);
  if (context.end == EndKind::kDone || context.end == EndKind::kCancelled) {
    return DoNotRetry(RetryReason::kMayHaveRun);
  }
  // A first death is more often caused by the VM than by the body. A body whose
  // two last endpoints died is not sent to a third one.
  if (context.blamed && context.attempt > 1)
    return DoNotRetry(RetryReason::kPoison);
  if (context.attempt >= kMaxAttempts) {
    return DoNotRetry(RetryReason::kAttemptsSpent);
  }
  const auto delay =
      BackoffDelay(std::max<std::uint8_t>(context.attempt, 1), jitter);
  if (now + delay >= context.deadline) {
    return DoNotRetry(RetryReason::kDeadlinePassed);
  }
  if (budget.tokens < 1) return DoNotRetry(RetryReason::kBudgetSpent);
  budget.tokens -= 1;
  return {true, not_run ? RetryReason::kNotRun : RetryReason::kIdempotent,
          delay};
}

}  // namespace egretladder::policy
