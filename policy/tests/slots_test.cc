#include "egretladder/policy/slots.h"

#include <CppUTest/TestHarness.h>

#include <chrono>

#include "egretladder/policy/limits.h"

using namespace std::chrono_literals;
namespace ep = egretladder::policy;
namespace ek = egretladder::kernel;

TEST_GROUP(Slots) {
  ek::ManualClock clock_;
  ep::SlotState state_;

  void setup() override { ep::StartSlots(state_, 2, 16, 7, clock_.now); }

  // Ends right after a window of answers was judged.
  void Warm() {
    for (int i = 0; i < 50; ++i) {
      (void)ep::OnEvidence(state_, {16, 0, 0, 7}, clock_.now);
    }
  }
};

// An endpoint just started and every node has work for it. By the clock alone
// it would get its full load while it still loads weights, and callers of that
// work wait in vain.
TEST(Slots, ColdEndpointGrowsOnAnswersOnly) {
  CHECK_EQUAL(2U, state_.slots);
  ek::Advance(clock_, 10min);
  CHECK(ep::OnEvidence(state_, {0, 0, 0, 7}, clock_.now) ==
        ep::SlotReason::kUnchanged);
  CHECK_EQUAL(2U, state_.slots);
  CHECK(ep::OnEvidence(state_, {4, 0, 0, 7}, clock_.now) ==
        ep::SlotReason::kGrewOnAnswers);
  CHECK_EQUAL(4U, state_.slots);
}

// The engine restarted between two reports. Its old slots would drop warm load
// on a cold engine.
TEST(Slots, NewBootFallsToColdAndLateWordOfTheOldBootIsIgnored) {
  Warm();
  CHECK_EQUAL(16U, state_.slots);
  CHECK(ep::OnEvidence(state_, {1, 0, 0, 8}, clock_.now) ==
        ep::SlotReason::kStarted);
  CHECK_EQUAL(2U, state_.slots);
  (void)ep::OnEvidence(state_, {4, 0, 0, 8}, clock_.now);
  CHECK(ep::OnEvidence(state_, {9, 0, 0, 7}, clock_.now) ==
        ep::SlotReason::kUnchanged);
  CHECK_EQUAL(4U, state_.slots);
}

// An endpoint loses its cache and compiled kernels without a restart: reports
// show nothing, callers see every first token late.
TEST(Slots, TurnsColdWhenMostAnswersAreLate) {
  Warm();
  std::uint32_t late = 0;
  while (state_.slots > 2 && late < 100) {
    (void)ep::OnEvidence(state_, {0, 1, 0, 7}, clock_.now);
    ++late;
  }
  CHECK_EQUAL(2U, state_.slots);
  CHECK_TRUE(late <= 16);
}

// Long prompts make a third of the answers late at full slots; a smaller
// number in flight answers all in time.
TEST(Slots, ShrinksWhenOverloadedAndGrowsBackSlowly) {
  Warm();
  CHECK(ep::OnEvidence(state_, {10, 8, 2, 7}, clock_.now) ==
        ep::SlotReason::kOverloaded);
  CHECK_EQUAL(12U, state_.slots);
  CHECK(ep::OnEvidence(state_, {24, 0, 0, 7}, clock_.now) ==
        ep::SlotReason::kGrewOnAnswers);
  CHECK_EQUAL(13U, state_.slots);
}
