#include "egretladder/policy/stopping.h"

#include <CppUTest/TestHarness.h>

using namespace std::chrono_literals;
namespace ep = egretladder::policy;
using ep::StopPhase;

namespace {

ep::StopPlan MakePlan() {
  ep::StopPlan plan;
  plan.address_ttl = 3000ms;
  plan.settle = 200ms;
  plan.grace = 8000ms;
  plan.cut_margin = 700ms;
  plan.exit_margin = 200ms;
  return plan;
}

}  // namespace

TEST_GROUP(Stopping){};

TEST(Stopping, PhasesFollowEachOther) {
  CHECK(ep::GetStopPhase(MakePlan(), -1ms) == StopPhase::kTaking);
  CHECK(ep::GetStopPhase(MakePlan(), 2999ms) == StopPhase::kTaking);
  CHECK(ep::GetStopPhase(MakePlan(), 3000ms) == StopPhase::kSettling);
  CHECK(ep::GetStopPhase(MakePlan(), 3200ms) == StopPhase::kFinishing);
  CHECK(ep::GetStopPhase(MakePlan(), 7300ms) == StopPhase::kCutting);
  CHECK(ep::GetStopPhase(MakePlan(), 7800ms) == StopPhase::kOver);
  CHECK(ep::TimeUntilCut(MakePlan(), 3000ms) == 4300ms);
}

// If an idle process exited at once, callers that still use its address would
// find a closed port.
TEST(Stopping, IdleProcessStaysUntilCallersAreGone) {
  CHECK_FALSE(ep::CanExit(StopPhase::kTaking, true));
  CHECK_FALSE(ep::CanExit(StopPhase::kSettling, true));
  CHECK(ep::CanExit(StopPhase::kFinishing, true));
}

// A caller on a slow link is still reading its answer. If the process exited
// now, the answer would be truncated. If it did not exit before the kill, the
// answer would be truncated as well, but without a log line that says so.
TEST(Stopping, DeliversAnswersUntilTheExitTime) {
  CHECK_FALSE(ep::CanExit(StopPhase::kFinishing, false));
  CHECK_FALSE(ep::CanExit(StopPhase::kCutting, false));
  CHECK(ep::CanExit(StopPhase::kCutting, true));
  CHECK(ep::CanExit(StopPhase::kOver, false));
}

TEST(Stopping, ShortestGraceHoldsAllPhases) {
  CHECK(ep::MinGracePeriod(MakePlan()) == 3900ms);
  ep::StopPlan plan = MakePlan();
  plan.grace = ep::MinGracePeriod(plan);
  CHECK(ep::GetStopPhase(plan, 3199ms) == StopPhase::kSettling);
  CHECK(ep::GetStopPhase(plan, 3200ms) == StopPhase::kCutting);
}
