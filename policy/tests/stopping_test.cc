#include "egretladder/policy/stopping.h"

#include <CppUTest/TestHarness.h>

using namespace std::chrono_literals;
namespace ep = egretladder::policy;
using ep::StopPhase;

namespace {

ep::StopPlan Plan() {
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
  CHECK(ep::GetStopPhase(Plan(), -1ms) == StopPhase::kTaking);
  CHECK(ep::GetStopPhase(Plan(), 2999ms) == StopPhase::kTaking);
  CHECK(ep::GetStopPhase(Plan(), 3000ms) == StopPhase::kSettling);
  CHECK(ep::GetStopPhase(Plan(), 3200ms) == StopPhase::kFinishing);
  CHECK(ep::GetStopPhase(Plan(), 7300ms) == StopPhase::kCutting);
  CHECK(ep::GetStopPhase(Plan(), 7800ms) == StopPhase::kOver);
  CHECK(ep::TimeUntilCut(Plan(), 3000ms) == 4300ms);
}

// An idle process that ended at once would leave callers that still keep its
// address with a closed port.
TEST(Stopping, AnIdleProcessStaysUntilCallersAreGone) {
  CHECK_FALSE(ep::CanExit(StopPhase::kTaking, true));
  CHECK_FALSE(ep::CanExit(StopPhase::kSettling, true));
  CHECK(ep::CanExit(StopPhase::kFinishing, true));
}

// A caller on a slow link still takes its answer. Ended now, the process would
// cut it; not ended before the kill, it would be cut all the same, and nothing
// would say so in the log.
TEST(Stopping, AnswersAreDeliveredUntilTheTimeIsUp) {
  CHECK_FALSE(ep::CanExit(StopPhase::kFinishing, false));
  CHECK_FALSE(ep::CanExit(StopPhase::kCutting, false));
  CHECK(ep::CanExit(StopPhase::kCutting, true));
  CHECK(ep::CanExit(StopPhase::kOver, false));
}

TEST(Stopping, TheShortestGraceHoldsAllPhases) {
  CHECK(ep::MinGracePeriod(Plan()) == 3900ms);
  ep::StopPlan plan = Plan();
  plan.grace = ep::MinGracePeriod(plan);
  CHECK(ep::GetStopPhase(plan, 3199ms) == StopPhase::kSettling);
  CHECK(ep::GetStopPhase(plan, 3200ms) == StopPhase::kCutting);
}
