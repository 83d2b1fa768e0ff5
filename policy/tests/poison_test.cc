#include "egretladder/policy/poison.h"

#include <CppUTest/TestHarness.h>

#include <chrono>
#include <cstdint>
#include <vector>

#include "egretladder/policy/limits.h"

using namespace std::chrono_literals;
namespace ep = egretladder::policy;
namespace ek = egretladder::kernel;

TEST_GROUP(Poison) {
  ek::ManualClock clock_;
  ep::PoisonState state_;

  std::size_t Died(const std::vector<std::uint64_t>& running) {
    return ep::OnEndpointDied(state_, running, clock_.now).size();
  }
  bool Held(std::uint64_t body) {
    return ep::IsQuarantined(state_, body, clock_.now);
  }
};

// One body crashes each engine that runs it, and its caller sends it again.
// Others that only ran beside it must go on being served.
TEST(Poison, SecondDeathQuarantinesTheOneThatWasThereBothTimes) {
  CHECK_EQUAL(0U, Died({1, 2, 3}));
  CHECK_FALSE(Held(1));
  CHECK_EQUAL(1U, Died({1, 4, 5}));
  CHECK_TRUE(Held(1));
  CHECK_FALSE(Held(2));
  CHECK_FALSE(Held(4));
  CHECK_FALSE(ep::IsSuspect(state_, 4, clock_.now));
}

// An innocent body runs beside the poison twice. No one can say which of the
// two it was, so neither is cut off until a third death tells them apart.
TEST(Poison, TwoSuspectsTogetherAreNotQuarantinedOnAGuess) {
  CHECK_EQUAL(0U, Died({1, 2}));
  CHECK_EQUAL(0U, Died({1, 2, 9}));
  CHECK_FALSE(Held(1));
  CHECK_FALSE(Held(2));
  CHECK_EQUAL(1U, Died({1, 8}));
  CHECK_TRUE(Held(1));
  CHECK_FALSE(Held(2));
}

// A body was on an endpoint whose VM failed, and ran well elsewhere. A second
// VM failure a minute later must not cut its caller off.
TEST(Poison, RunningWellClearsABody) {
  CHECK_EQUAL(0U, Died({1}));
  ep::ClearSuspect(state_, 1);
  CHECK_EQUAL(0U, Died({1}));
  CHECK_FALSE(Held(1));
}

// The engine was mended meanwhile; a body held for ever would never be served.
TEST(Poison, BlameAndQuarantineExpire) {
  CHECK_EQUAL(0U, Died({1}));
  CHECK_EQUAL(1U, Died({1}));
  ek::Advance(clock_, ep::kQuarantineKept + 1ms);
  CHECK_FALSE(Held(1));
  CHECK_EQUAL(0U, Died({1}));
}

// The caller sends the poison to another node, which saw no death itself.
TEST(Poison, AnotherNodesWordCountsAndIsBounded) {
  CHECK_FALSE(ep::ApplyQuarantineNotice(state_, {1, 10min, 1}, clock_.now));
  CHECK_EQUAL(1U, Died({1, 2}));
  CHECK_TRUE(ep::ApplyQuarantineNotice(state_, {3, 1000h, 2}, clock_.now));
  CHECK_FALSE(ep::ApplyQuarantineNotice(state_, {3, 1000h, 2}, clock_.now));
  ek::Advance(clock_, ep::kQuarantineKept + 1ms);
  CHECK_FALSE(Held(3));
  for (std::uint64_t i = 10; i < 10 + 2 * ep::kBlamesMost; ++i) {
    (void)ep::ApplyQuarantineNotice(state_, {i, 10min, 1}, clock_.now);
  }
  CHECK_EQUAL(ep::kBlamesMost, state_.blames.size());
  CHECK_EQUAL(ep::kBlamesMost,
              ep::ListQuarantineNotices(state_, clock_.now).size());
}
