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

  // Grows the slots to their maximum. Ends right after the last answers were
  // judged, so that no evidence is left.
  void GrowToMaximum() {
    for (int i = 0; i < 50; ++i) {
      (void)ep::OnEvidence(state_, {16, 0, 0, 7}, clock_.now);
    }
  }
};

// An endpoint has just started, and every node has requests for it. If its
// slots grew with time, it would get its full load while it still loads its
// weights, and those requests would be dropped.
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

// The engine restarted between two reports. With its old slots the cold engine
// would get the load of a warm one.
TEST(Slots, RestartResetsSlotsAndDelayedReportsAreIgnored) {
  GrowToMaximum();
  CHECK_EQUAL(16U, state_.slots);
  CHECK(ep::OnEvidence(state_, {1, 0, 0, 8}, clock_.now) ==
        ep::SlotReason::kStarted);
  CHECK_EQUAL(2U, state_.slots);
  (void)ep::OnEvidence(state_, {4, 0, 0, 8}, clock_.now);
  CHECK(ep::OnEvidence(state_, {9, 0, 0, 7}, clock_.now) ==
        ep::SlotReason::kUnchanged);
  CHECK_EQUAL(4U, state_.slots);
}

// An endpoint loses its cache and compiled kernels without a restart. Reports
// don't show this, but every first token is late.
TEST(Slots, FallsBackToColdWhenMostAnswersAreLate) {
  GrowToMaximum();
  std::uint32_t late_answers = 0;
  while (state_.slots > 2 && late_answers < 100) {
    (void)ep::OnEvidence(state_, {0, 1, 0, 7}, clock_.now);
    ++late_answers;
  }
  CHECK_EQUAL(2U, state_.slots);
  CHECK_TRUE(late_answers <= 16);
}

// Long prompts make half of the answers late with all slots in use. With fewer
// requests in flight all of them would be in time.
TEST(Slots, ShrinksWhenOverloadedAndGrowsBackSlowly) {
  GrowToMaximum();
  CHECK(ep::OnEvidence(state_, {10, 8, 2, 7}, clock_.now) ==
        ep::SlotReason::kOverloaded);
  CHECK_EQUAL(12U, state_.slots);
  CHECK(ep::OnEvidence(state_, {24, 0, 0, 7}, clock_.now) ==
        ep::SlotReason::kGrewOnAnswers);
  CHECK_EQUAL(13U, state_.slots);
}
