#include "egretladder/policy/stopping.h"

#include <CppUTest/TestHarness.h>

using namespace std::chrono_literals;
namespace ep = egretladder::policy;
using ep::StopPhase;

namespace {

ep::StopPlan MakePlan() {
  ep::StopPlan plan;
  plan.addresses_kept = 3000ms;
  plan.settle = 200ms;
  plan.grace = 8000ms;
  plan.cut_margin = 700ms;
  plan.exit_margin = 200ms;
  return plan;
}

}  // namespace

TEST_GROUP(Stopping){};

TEST(Stopping, PhasesFollowEachOther) {
  CHECK(ep::PhaseOf(MakePlan(), -1ms) == StopPhase::kTaking);
  CHECK(ep::PhaseOf(MakePlan(), 2999ms) == StopPhase::kTaking);
  CHECK(ep::PhaseOf(MakePlan(), 3000ms) == StopPhase::kSettling);
  CHECK(ep::PhaseOf(MakePlan(), 3200ms) == StopPhase::kFinishing);
  CHECK(ep::PhaseOf(MakePlan(), 7300ms) == StopPhase::kCutting);
  CHECK(ep::PhaseOf(MakePlan(), 7800ms) == StopPhase::kOver);
  CHECK(ep::LeftForWork(MakePlan(), 3000ms) == 4300ms);
}

// An idle process that ended at once would leave callers that still keep its
// address with a closed port.
TEST(Stopping, IdleProcessStaysUntilCallersAreGone) {
  CHECK_FALSE(ep::MayExit(StopPhase::kTaking, true));
  CHECK_FALSE(ep::MayExit(StopPhase::kSettling, true));
  CHECK(ep::MayExit(StopPhase::kFinishing, true));
}

// A caller on a slow link still takes its answer. Ended now, the process would
// cut it; not ended before the kill, it would be cut all the same, and nothing
// would say so in the log.
TEST(Stopping, DeliversAnswersUntilTheExitTime) {
  CHECK_FALSE(ep::MayExit(StopPhase::kFinishing, false));
  CHECK_FALSE(ep::MayExit(StopPhase::kCutting, false));
  CHECK(ep::MayExit(StopPhase::kCutting, true));
  CHECK(ep::MayExit(StopPhase::kOver, false));
}

TEST(Stopping, ShortestGraceHoldsAllPhases) {
  CHECK(ep::ShortestGrace(MakePlan()) == 3900ms);
  ep::StopPlan plan = MakePlan();
  plan.grace = ep::ShortestGrace(plan);
  CHECK(ep::PhaseOf(plan, 3199ms) == StopPhase::kSettling);
  CHECK(ep::PhaseOf(plan, 3200ms) == StopPhase::kCutting);
}
