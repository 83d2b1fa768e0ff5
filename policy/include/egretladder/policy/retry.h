// Decides whether a failed attempt is retried, within a retry budget of the
// node.
#pragma once

#include <chrono>
#include <cstdint>

#include "egretladder/kernel/time.h"
#include "egretladder/policy/limits.h"
#include "egretladder/policy/scheduler.h"

namespace egretladder::policy {

/// Why an attempt is or isn't retried. Written to the decision's log line.
enum class RetryReason : std::uint8_t {
  kNotRun,         ///< Retried: it certainly did not run.
  kIdempotent,     ///< Retried: it may have run, but running it twice does no
                   ///< harm.
  kMayHaveRun,     ///< Not retried: the outcome is unknown.
  kAnswerStarted,  ///< Not retried: the caller has part of the answer.
  kBudgetSpent,    ///< Not retried: retries would overload the endpoints.
  kAttemptsSpent,
  kDeadlinePassed,
  kPoison,  ///< Not retried: the request may be what kills the endpoints.
};

const char* NameOf(RetryReason reason);

/// A token bucket of retries per node. A success adds a fraction of a token,
/// and a retry takes one.
struct RetryBudget {
  double tokens = kInitialRetryTokens;
};

/// Adds to the budget after a successful attempt.
void OnSuccess(RetryBudget& budget);

/// The attempt that a retry decision is about.
struct RetryContext {
  EndKind end = EndKind::kFailed;
  bool repeatable = false;      ///< Running the request twice does no harm.
  bool answer_started = false;  ///< The caller got at least one byte of it.
  bool blamed = false;          ///< The endpoint died while running it. The
                                ///< first attempt is retried nevertheless if
                                ///< the request is repeatable.
  std::uint8_t attempt = 1;     ///< Number of the attempt, from 1.
  Time deadline{};
};

/// The result of `DecideRetry`.
struct RetryDecision {
  bool should_retry = false;
  RetryReason reason = RetryReason::kMayHaveRun;
  std::chrono::milliseconds delay{};  ///< Until the next attempt; jittered.
};

/// Decides whether the attempt is retried and, if so, takes a token from the
/// budget. `jitter` is from 0 up to 1.
[[nodiscard]] RetryDecision DecideRetry(RetryBudget& budget,
                                        const RetryContext& context,
                                        double jitter, Time now);

}  // namespace egretladder::policy
