#include "egretladder/policy/retry.h"

#include <CppUTest/TestHarness.h>

#include <chrono>

using namespace std::chrono_literals;
namespace ep = egretladder::policy;
namespace ek = egretladder::kernel;

TEST_GROUP(Retry) {
  ek::ManualClock clock_;
  ep::RetryBudget budget_;

  ep::RetryDecision Ask(ep::RetryContext question) {
    if (question.deadline == ep::Time{}) question.deadline = clock_.now + 10s;
    return ep::DecideRetry(budget_, question, 0.5, clock_.now);
  }
};

// The connection to an endpoint breaks while a payment runs on it. Sent again,
// the payment may be taken twice.
TEST(Retry, WhatMayHaveRunIsRepeatedOnlyIfIdempotent) {
  CHECK(Ask({ep::EndKind::kFailed, false}).reason ==
        ep::RetryReason::kMayHaveRun);
  CHECK_TRUE(Ask({ep::EndKind::kFailed, true}).should_retry);
  const auto not_run = Ask({ep::EndKind::kNotRun, false});
  CHECK_TRUE(not_run.should_retry);
  CHECK(not_run.reason == ep::RetryReason::kNotRunElsewhere);
}

// The caller has half of the answer. A second run would send it another text.
TEST(Retry, NeverAfterTheAnswerStarted) {
  CHECK(Ask({ep::EndKind::kFailed, true, true}).reason ==
        ep::RetryReason::kAnswerStarted);
}

// Every endpoint refuses after an outage. Each of a thousand callers' requests
// becomes three, and the endpoints that come back drown in retries.
TEST(Retry, BudgetEndsAStorm) {
  int should_retry = 0;
  for (int i = 0; i < 1000; ++i) {
    if (Ask({ep::EndKind::kNotRun, true}).should_retry) ++should_retry;
  }
  CHECK_EQUAL(5, should_retry);
  CHECK(Ask({ep::EndKind::kNotRun, true}).reason ==
        ep::RetryReason::kBudgetSpent);
  for (int i = 0; i < 100; ++i) ep::OnSuccess(budget_);
  CHECK_TRUE(Ask({ep::EndKind::kNotRun, true}).should_retry);
}

// An endpoint refuses connections when a node has just started. A node that had
// to earn its first retry would pass each of the first failures on to a caller.
TEST(Retry, AFreshNodeRepeatsAFewFailures) {
  for (double spent = 0; spent < ep::kRetryBudgetAtStart; ++spent) {
    CHECK_TRUE(Ask({ep::EndKind::kNotRun, true}).should_retry);
  }
  CHECK(Ask({ep::EndKind::kNotRun, true}).reason ==
        ep::RetryReason::kBudgetSpent);
  CHECK_TRUE(ep::kRetryBudgetAtStart >= 2);
}

// The caller has given up by then; the repeat would be work for no one.
TEST(Retry, NotPastTheDeadlineNorForEver) {
  ep::RetryContext question{ep::EndKind::kNotRun, true};
  question.deadline = clock_.now + 1ms;
  CHECK(Ask(question).reason == ep::RetryReason::kDeadlinePassed);
  question.deadline = clock_.now + 10s;
  question.attempt = 3;
  CHECK(Ask(question).reason == ep::RetryReason::kAttemptsSpent);
}

// Two endpoints in a row died under one request. A third attempt would take
// the next one from everybody.
TEST(Retry, SecondDeathIsNotTriedOnAThirdEndpoint) {
  ep::RetryContext question{ep::EndKind::kDied, true};
  question.blamed = true;
  CHECK_TRUE(Ask(question).should_retry);
  question.attempt = 2;
  CHECK(Ask(question).reason == ep::RetryReason::kPoison);
}
