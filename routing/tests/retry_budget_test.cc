#include "egretladder/routing/retry_budget.h"

#include <CppUTest/TestHarness.h>

#include <vector>

using namespace std::chrono_literals;
namespace er = egretladder::routing;

namespace {

constexpr er::Time kStart{std::chrono::hours(1)};
constexpr er::RetryBudgetRule kRule{0.2, 54, 10s};

}  // namespace

TEST_GROUP(NodeRetryBudget){};

// Every endpoint fails for a minute. Without a bound each request would become
// two, and the failing endpoints would get twice the load.
TEST(NodeRetryBudget, AllNodesTogetherStayWithinTheRuleInEveryWindow) {
  constexpr std::size_t kNodes = 7;
  std::vector<er::NodeRetryBudget> shares(kNodes);
  std::vector<er::Time> repeats;
  std::size_t requests = 0;
  for (er::Time now = kStart; now < kStart + 60s; now += 10ms) {
    auto& share = shares[requests++ % kNodes];
    er::OnRequest(share, kRule, now);
    if (er::TryConsumeRetry(share, kRule, {kNodes, 1min}, now)) {
      repeats.push_back(now);
    }
  }
  std::size_t first = 0;
  for (std::size_t last = 0; last < repeats.size(); ++last) {
    while (repeats[last] - repeats[first] >= 10s) ++first;
    // A hundred requests a second.
    CHECK(static_cast<double>(last - first + 1) <= 0.2 * 1000 + 54);
  }
  CHECK(repeats.size() > 600);
}

TEST(NodeRetryBudget, AQuietNodeMayRepeatAFew) {
  er::NodeRetryBudget share;
  er::OnRequest(share, kRule, kStart);
  CHECK(er::TryConsumeRetry(share, kRule, {7, 1min}, kStart));
  int more = 0;
  for (int i = 0; i < 54; ++i) {
    if (er::TryConsumeRetry(share, kRule, {7, 1min}, kStart)) ++more;
  }
  CHECK(more < 54 / 7);
  CHECK(er::TryConsumeRetry(share, kRule, {7, 1min}, kStart + 11s));
}

// Guards against a fleet whose nodes are restarted in turn and each repeat,
// with every start, as much as if nothing had been repeated before.
TEST(NodeRetryBudget, NodesThatRestartStayWithinTheSlack) {
  constexpr std::size_t kNodes = 7;
  constexpr auto kLife = 3s;
  std::size_t repeats = 0;
  for (std::size_t node = 0; node < kNodes; ++node) {
    er::NodeRetryBudget share;
    er::Time started = kStart;
    for (er::Time now = kStart; now < kStart + kRule.window; now += 100ms) {
      if (now - started >= kLife) {
        share = {};
        started = now;
      }
      const auto age =
          std::chrono::duration_cast<std::chrono::milliseconds>(now - started);
      if (er::TryConsumeRetry(share, kRule, {kNodes, age}, now)) ++repeats;
    }
  }
  CHECK(static_cast<double>(repeats) <= kRule.slack);
  CHECK(repeats >= kNodes);
}

TEST(NodeRetryBudget, AProcessThatJustStartedMayRepeatOnce) {
  er::NodeRetryBudget share;
  CHECK(er::TryConsumeRetry(share, kRule, {7, 0s}, kStart));
  CHECK_FALSE(er::TryConsumeRetry(share, kRule, {7, 0s}, kStart));
}
