#include "egretladder/routing/retry_budget.h"

#include <CppUTest/TestHarness.h>

#include <vector>

using namespace std::chrono_literals;
namespace er = egretladder::routing;

namespace {

constexpr er::Time kStart{std::chrono::hours(1)};
constexpr er::RetryBudgetRule kRule{0.2, 54, 10s};

// Decides and sends a retry if the budget allows it now.
bool TryRetry(er::NodeRetryBudget& budget, const er::RetryBudgetFleet& fleet,
              er::Time now) {
  if (!er::TryReserveRetry(budget, kRule, fleet, now)) return false;
  er::OnReservedRetrySent(budget, kRule, now);
  return true;
}

// Makes all retries that the budget allows now. Returns their number.
std::size_t UseAll(er::NodeRetryBudget& budget,
                   const er::RetryBudgetFleet& fleet, er::Time now) {
  std::size_t retries = 0;
  while (TryRetry(budget, fleet, now)) ++retries;
  return retries;
}

}  // namespace

TEST_GROUP(RetryBudget){};

// Guards against doubling the load on endpoints that fail for a minute, when
// each request is retried.
TEST(RetryBudget, AllNodesTogetherStayWithinTheRuleInEveryWindow) {
  constexpr std::size_t kNodes = 7;
  std::vector<er::NodeRetryBudget> budgets(kNodes);
  std::vector<er::Time> retries;
  std::size_t requests = 0;
  for (er::Time now = kStart; now < kStart + 60s; now += 10ms) {
    auto& budget = budgets[requests++ % kNodes];
    er::OnRequest(budget, kRule, now);
    if (TryRetry(budget, {kNodes, 1min}, now)) {
      retries.push_back(now);
    }
  }
  std::size_t first = 0;
  for (std::size_t last = 0; last < retries.size(); ++last) {
    while (retries[last] - retries[first] >= 10s) ++first;
    // The load is a hundred requests a second, so 1000 in the window.
    CHECK(static_cast<double>(last - first + 1) <= 0.2 * 1000 + 54);
  }
  CHECK(retries.size() > 600);
}

TEST(RetryBudget, ANodeWithFewRequestsHasAFewRetries) {
  er::NodeRetryBudget budget;
  er::OnRequest(budget, kRule, kStart);
  CHECK(TryRetry(budget, {7, 1min}, kStart));
  int further_retries = 0;
  for (int i = 0; i < 54; ++i) {
    if (TryRetry(budget, {7, 1min}, kStart)) ++further_retries;
  }
  CHECK(further_retries < 54 / 7);
  CHECK(TryRetry(budget, {7, 1min}, kStart + 11s));
}

// Guards against nodes that get their whole part of the slack anew with each
// restart.
TEST(RetryBudget, NodesThatRestartStayWithinTheSlack) {
  constexpr std::size_t kNodes = 7;
  constexpr auto kProcessLifetime = 3s;
  std::size_t retries = 0;
  std::size_t requests = 0;
  for (std::size_t node = 0; node < kNodes; ++node) {
    er::NodeRetryBudget budget;
    er::Time started = kStart;
    for (er::Time now = kStart; now < kStart + kRule.window; now += 100ms) {
      if (now - started >= kProcessLifetime) {
        budget = {};
        started = now;
      }
      const auto age =
          std::chrono::duration_cast<std::chrono::milliseconds>(now - started);
      er::OnRequest(budget, kRule, now);
      ++requests;
      if (TryRetry(budget, {kNodes, age}, now)) ++retries;
    }
  }
  CHECK(static_cast<double>(retries) <=
        kRule.ratio * static_cast<double>(requests));
  CHECK(retries >= requests / 10);
}

TEST(RetryBudget, AProcessThatJustStartedHasTheRetriesOfItsRequestsAlone) {
  er::NodeRetryBudget budget;
  CHECK_FALSE(TryRetry(budget, {7, 0s}, kStart));
  for (int i = 0; i < 7; ++i) er::OnRequest(budget, kRule, kStart);
  CHECK(TryRetry(budget, {7, 0s}, kStart));
  CHECK_FALSE(TryRetry(budget, {7, 0s}, kStart));
}

TEST(RetryBudget, AProcessHasItsWholePartOfTheSlackOnceItIsOldEnough) {
  er::NodeRetryBudget budget;
  LONGS_EQUAL(0, UseAll(budget, {7, 12s}, kStart));
  LONGS_EQUAL(6, UseAll(budget, {7, 13s}, kStart));
}

// Guards against two bursts of retries within one window that both use the
// whole budget.
TEST(RetryBudget, BurstsLessThanAWindowApartShareTheBudget) {
  constexpr auto kGap = 9'960ms;
  for (auto offset = 0ms; offset < kRule.window; offset += 20ms) {
    er::NodeRetryBudget budget;
    const er::Time first = kStart + offset;
    const std::size_t retries =
        UseAll(budget, {1, 1h}, first) + UseAll(budget, {1, 1h}, first + kGap);
    CHECK(static_cast<double>(retries) <= kRule.slack);
  }
}

// Guards against a process that earns anew what its predecessor used within the
// same window.
TEST(RetryBudget, ARestartDoesNotRenewTheSlack) {
  constexpr std::size_t kNodes = 7;
  std::size_t retries = 0;
  for (std::size_t node = 0; node < kNodes; ++node) {
    er::NodeRetryBudget predecessor;
    retries += UseAll(predecessor, {kNodes, 1h}, kStart);
    er::NodeRetryBudget successor;
    for (auto age = 0ms; age < kRule.window; age += 100ms)
      retries += UseAll(successor, {kNodes, age}, kStart + age);
  }
  CHECK(static_cast<double>(retries) <= kRule.slack);
}

// Guards against a retry at each start of processes that die again and again.
TEST(RetryBudget, ProcessesThatKeepDyingStayWithinTheSlack) {
  constexpr std::size_t kNodes = 30;
  constexpr int kStarts = 3;
  std::size_t retries = 0;
  for (std::size_t node = 0; node < kNodes * kStarts; ++node) {
    er::NodeRetryBudget budget;
    retries += UseAll(budget, {kNodes, 0ms}, kStart);
  }
  CHECK(static_cast<double>(retries) <= kRule.slack);
}

// Guards against nodes that join and use parts of the slack which the others
// have used already, before they knew of the new ones.
TEST(RetryBudget, NodesThatJoinStayWithinTheSlack) {
  constexpr std::size_t kBefore = 7;
  constexpr std::size_t kAfter = 14;
  constexpr auto kNotice = 1s;  // Until all nodes know of the new ones.
  std::vector<er::NodeRetryBudget> budgets(kAfter);
  std::size_t retries = 0;
  for (std::size_t node = 0; node < kBefore; ++node)
    retries += UseAll(budgets[node], {kBefore, 1h}, kStart + kNotice);
  for (auto age = kNotice + 10ms; age < kRule.window + kNotice; age += 10ms) {
    for (std::size_t node = 0; node < kAfter; ++node) {
      const std::chrono::milliseconds node_age = node < kBefore ? 1h : age;
      retries += UseAll(budgets[node], {kAfter, node_age}, kStart + age);
    }
  }
  CHECK(static_cast<double>(retries) <= kRule.slack);
}

TEST(RetryBudget, AReservedRetryCountsFromTheTimeWhenItIsSent) {
  constexpr er::RetryBudgetFleet kFleet{7, 1h};
  er::NodeRetryBudget budget;
  const double all = er::RetriesLeft(budget, kRule, kFleet, kStart);
  CHECK(er::TryReserveRetry(budget, kRule, kFleet, kStart));
  const er::Time sent = kStart + 2 * kRule.window;
  DOUBLES_EQUAL(all - 1, er::RetriesLeft(budget, kRule, kFleet, sent), 0.01);
  er::OnReservedRetrySent(budget, kRule, sent);
  const er::Time late = sent + kRule.window - 1ms;
  DOUBLES_EQUAL(all - 1, er::RetriesLeft(budget, kRule, kFleet, late), 0.01);
  const er::Time over = sent + kRule.window * 11 / 10;
  DOUBLES_EQUAL(all, er::RetriesLeft(budget, kRule, kFleet, over), 0.01);
}

TEST(RetryBudget, ARetryThatIsNotSentIsGivenBack) {
  constexpr er::RetryBudgetFleet kFleet{7, 1h};
  er::NodeRetryBudget budget;
  const double all = er::RetriesLeft(budget, kRule, kFleet, kStart);
  CHECK(er::TryReserveRetry(budget, kRule, kFleet, kStart));
  er::ReleaseRetry(budget);
  DOUBLES_EQUAL(all, er::RetriesLeft(budget, kRule, kFleet, kStart), 0.01);
}

// Guards against samples that use up the retries which faults will need.
TEST(RetryBudget, SamplesLeaveRetriesToFaults) {
  constexpr int kRequests = 100;
  er::NodeRetryBudget budget;
  for (int i = 0; i < kRequests; ++i) er::OnRequest(budget, kRule, kStart);
  const er::RetryBudgetFleet fleet{1, {}};
  const double all = er::RetriesLeft(budget, kRule, fleet, kStart);
  double samples = 0;
  while (er::HasRetryForSample(budget, kRule, fleet, 0.5, kStart)) {
    CHECK(TryRetry(budget, fleet, kStart));
    ++samples;
  }
  CHECK(samples >= all / 2 - 1);
  CHECK(er::RetriesLeft(budget, kRule, fleet, kStart) >= all / 2);
}
