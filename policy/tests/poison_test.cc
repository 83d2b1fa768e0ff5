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

  std::size_t CountQuarantinedByDeath(
      const std::vector<std::uint64_t>& running) {
    return ep::OnEndpointDied(state_, running, clock_.now).size();
  }
  bool IsQuarantined(std::uint64_t body) {
    return ep::IsQuarantined(state_, body, clock_.now);
  }
};

// One body crashes each engine that runs it and is sent again. Bodies that only
// ran beside it must still be served.
TEST(Poison, SecondDeathQuarantinesTheBodyPresentBothTimes) {
  CHECK_EQUAL(0U, CountQuarantinedByDeath({1, 2, 3}));
  CHECK_FALSE(IsQuarantined(1));
  CHECK_EQUAL(1U, CountQuarantinedByDeath({1, 4, 5}));
  CHECK_TRUE(IsQuarantined(1));
  CHECK_FALSE(IsQuarantined(2));
  CHECK_FALSE(IsQuarantined(4));
  CHECK_FALSE(ep::IsSuspect(state_, 4, clock_.now));
}

// An innocent body runs beside the poison twice. Either of the two may be the
// cause, so that neither is quarantined until a third death tells them apart.
TEST(Poison, TwoSuspectsTogetherAreNotQuarantined) {
  CHECK_EQUAL(0U, CountQuarantinedByDeath({1, 2}));
  CHECK_EQUAL(0U, CountQuarantinedByDeath({1, 2, 9}));
  CHECK_FALSE(IsQuarantined(1));
  CHECK_FALSE(IsQuarantined(2));
  CHECK_EQUAL(1U, CountQuarantinedByDeath({1, 8}));
  CHECK_TRUE(IsQuarantined(1));
  CHECK_FALSE(IsQuarantined(2));
}

// A body ran on an endpoint whose VM failed, and then completed elsewhere. A
// second VM failure a minute later must not quarantine it.
TEST(Poison, CompletionClearsASuspect) {
  CHECK_EQUAL(0U, CountQuarantinedByDeath({1}));
  ep::ClearSuspect(state_, 1);
  CHECK_EQUAL(0U, CountQuarantinedByDeath({1}));
  CHECK_FALSE(IsQuarantined(1));
}

// The engine may have been fixed in the meantime. A body in quarantine without
// an expiry would never be served again.
TEST(Poison, SuspicionAndQuarantineExpire) {
  CHECK_EQUAL(0U, CountQuarantinedByDeath({1}));
  CHECK_EQUAL(1U, CountQuarantinedByDeath({1}));
  ek::Advance(clock_, ep::kQuarantineDuration + 1ms);
  CHECK_FALSE(IsQuarantined(1));
  CHECK_EQUAL(0U, CountQuarantinedByDeath({1}));
}

// The caller sends the poison to another node, which saw no death itself and
// depends on the notices of its peers. Their duration and number are bounded.
TEST(Poison, NoticesOfOtherNodesApplyAndAreBounded) {
  CHECK_FALSE(ep::ApplyQuarantineNotice(state_, {1, 10min, 1}, clock_.now));
  CHECK_EQUAL(1U, CountQuarantinedByDeath({1, 2}));
  CHECK_TRUE(ep::ApplyQuarantineNotice(state_, {3, 1000h, 2}, clock_.now));
  CHECK_FALSE(ep::ApplyQuarantineNotice(state_, {3, 1000h, 2}, clock_.now));
  ek::Advance(clock_, ep::kQuarantineDuration + 1ms);
  CHECK_FALSE(IsQuarantined(3));
  for (std::uint64_t i = 10; i < 10 + 2 * ep::kMaxCrashRecords; ++i) {
    (void)ep::ApplyQuarantineNotice(state_, {i, 10min, 1}, clock_.now);
  }
  CHECK_EQUAL(ep::kMaxCrashRecords, state_.crash_records.size());
  CHECK_EQUAL(ep::kMaxCrashRecords,
              ep::ListQuarantineNotices(state_, clock_.now).size());
}
