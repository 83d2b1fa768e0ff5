// What may be sent again, and how often in all.
#pragma once

#include <chrono>
#include <cstdint>

#include "egretladder/kernel/time.h"
#include "egretladder/policy/limits.h"
#include "egretladder/policy/scheduler.h"

namespace egretladder::policy {

/// Why an attempt is or isn't repeated. Written to the decision's log line.
enum class RetryReason : std::uint8_t {
  kNotRunElsewhere,  ///< Certainly not run: safe anywhere.
  kIdempotent,       ///< May have run; running it again does no harm.
  kMayHaveRun,       ///< Not repeated: the outcome is unknown.
  kAnswerStarted,    ///< Not repeated: the caller has part of the answer.
  kBudgetSpent,      ///< Not repeated: retries would become the load.
  kAttemptsSpent,
  kDeadlinePassed,
  kPoison,  ///< Not repeated: it may be what kills endpoints.
};

const char* NameOf(RetryReason reason);

/// A node's allowance for retries: grows with successes, shrinks with retries.
struct RetryBudget {
  double tokens = kRetryBudgetAtStart;
};

void OnSuccess(RetryBudget& budget);

struct RetryContext {
  EndKind end = EndKind::kFailed;
  bool repeatable = false;
  bool answer_started = false;  ///< A byte of it went to the caller.
  bool blamed = false;          ///< The endpoint died while running it. The
                                ///< first time it is repeated if repeatable.
  std::uint8_t attempt = 1;     ///< That just ended.
  Time deadline{};
};

struct RetryDecision {
  bool should_retry = false;
  RetryReason reason = RetryReason::kMayHaveRun;
  std::chrono::milliseconds delay{};  ///< Before the next attempt; jittered.
};

/// Decides and, when it says yes, takes from the budget. `jitter` is from 0 up
/// to 1.
[[nodiscard]] RetryDecision DecideRetry(RetryBudget& budget,
                                        const RetryContext& question,
                                        double jitter, Time now);

}  // namespace egretladder::policy
