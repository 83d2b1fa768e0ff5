#include "egretladder/routing/retry_share.h"

#include <CppUTest/TestHarness.h>

#include <vector>

using namespace std::chrono_literals;
namespace er = egretladder::routing;

namespace {

constexpr er::Time kStart{std::chrono::hours(1)};
constexpr er::RetryRule kRule{0.2, 54, 10s};

}  // namespace

TEST_GROUP(RetryShare){};

// Every endpoint fails for a minute. Without a bound each request would become
// two, and the failing endpoints would get twice the load.
TEST(RetryShare, AllNodesTogetherStayWithinTheRuleInEveryWindow) {
  constexpr std::size_t kNodes = 7;
  std::vector<er::RetryShare> shares(kNodes);
  std::vector<er::Time> repeats;
  std::size_t requests = 0;
  for (er::Time now = kStart; now < kStart + 60s; now += 10ms) {
    auto& share = shares[requests++ % kNodes];
    er::OnRequest(share, kRule, now);
    if (er::TakeRetry(share, kRule, kNodes, now)) repeats.push_back(now);
  }
  std::size_t first = 0;
  for (std::size_t last = 0; last < repeats.size(); ++last) {
    while (repeats[last] - repeats[first] >= 10s) ++first;
    // A hundred requests a second.
    CHECK(static_cast<double>(last - first + 1) <= 0.2 * 1000 + 54);
  }
  CHECK(repeats.size() > 600);
}

TEST(RetryShare, AQuietNodeMayRepeatAFew) {
  er::RetryShare share;
  er::OnRequest(share, kRule, kStart);
  CHECK(er::TakeRetry(share, kRule, 7, kStart));
  int more = 0;
  for (int i = 0; i < 54; ++i) {
    if (er::TakeRetry(share, kRule, 7, kStart)) ++more;
  }
  CHECK(more < 54 / 7);
  CHECK(er::TakeRetry(share, kRule, 7, kStart + 11s));
}
