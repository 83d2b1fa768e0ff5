#include "egretladder/policy/retry.h"

#include <CppUTest/TestHarness.h>

#include <chrono>

using namespace std::chrono_literals;
namespace ep = egretladder::policy;
namespace ek = egretladder::kernel;

TEST_GROUP(Retry) {
  ek::ManualClock clock_;
  ep::RetryBudget budget_;

  ep::RetryDecision Decide(ep::RetryContext context) {
    if (context.deadline == ep::Time{}) context.deadline = clock_.now + 10s;
    return ep::DecideRetry(budget_, context, 0.5, clock_.now);
  }
};

// The connection to an endpoint breaks while it processes a payment. A retry
// could take the payment twice.
TEST(Retry, MayHaveRunIsRetriedOnlyIfRepeatable) {
  CHECK(Decide({ep::EndKind::kFailed, false}).reason ==
        ep::RetryReason::kMayHaveRun);
  CHECK_TRUE(Decide({ep::EndKind::kFailed, true}).should_retry);
  const auto not_run = Decide({ep::EndKind::kNotRun, false});
  CHECK_TRUE(not_run.should_retry);
  CHECK(not_run.reason == ep::RetryReason::kNotRun);
}

// The caller has half of the answer. A second run would continue with another
// text.
TEST(Retry, NoRetryAfterTheAnswerStarted) {
  CHECK(Decide({ep::EndKind::kFailed, true, true}).reason ==
        ep::RetryReason::kAnswerStarted);
}

// Every endpoint refuses requests after an outage. Without a budget each of a
// thousand requests would become three, and endpoints that recover would be
// overloaded by retries.
TEST(Retry, BudgetLimitsARetryStorm) {
  int retries = 0;
  for (int i = 0; i < 1000; ++i) {
    if (Decide({ep::EndKind::kNotRun, true}).should_retry) ++retries;
  }
  CHECK_EQUAL(5, retries);
  CHECK(Decide({ep::EndKind::kNotRun, true}).reason ==
        ep::RetryReason::kBudgetSpent);
  for (int i = 0; i < 100; ++i) ep::OnSuccess(budget_);
  CHECK_TRUE(Decide({ep::EndKind::kNotRun, true}).should_retry);
}

// An endpoint refuses connections when a node has just started. With an empty
// budget at the start, each of the first failures would reach a caller.
TEST(Retry, NewNodeRetriesAFewFailures) {
  for (double spent = 0; spent < ep::kInitialRetryTokens; ++spent) {
    CHECK_TRUE(Decide({ep::EndKind::kNotRun, true}).should_retry);
  }
  CHECK(Decide({ep::EndKind::kNotRun, true}).reason ==
        ep::RetryReason::kBudgetSpent);
  CHECK_TRUE(ep::kInitialRetryTokens >= 2);
}

// The caller has given up by then, so that a retry would be wasted work.
TEST(Retry, NoRetryPastTheDeadlineOrMaxAttempts) {
  ep::RetryContext context{ep::EndKind::kNotRun, true};
  context.deadline = clock_.now + 1ms;
  CHECK(Decide(context).reason == ep::RetryReason::kDeadlinePassed);
  context.deadline = clock_.now + 10s;
  context.attempt = 3;
  CHECK(Decide(context).reason == ep::RetryReason::kAttemptsSpent);
}

// Two endpoints in a row died while running one request. A third attempt would
// probably crash the next one.
TEST(Retry, NoThirdAttemptAfterTwoDeaths) {
  ep::RetryContext context{ep::EndKind::kDied, true};
  context.blamed = true;
  CHECK_TRUE(Decide(context).should_retry);
  context.attempt = 2;
  CHECK(Decide(context).reason == ep::RetryReason::kPoison);
}
