#include "egretladder/routing/id_steps.h"

#include <CppUTest/TestHarness.h>

#include <vector>

namespace er = egretladder::routing;
using er::IdRise;
using er::IdStep;

namespace {

er::IdSteps StepsByOne(std::uint64_t count) {
  er::IdSteps steps;
  for (std::uint64_t i = 0; i < count; ++i) er::OnIdStep(steps, IdStep::kByOne);
  return steps;
}

er::IdSteps LeavesOut() {
  er::IdSteps steps = StepsByOne(100);
  er::OnIdStep(steps, IdStep::kLeavesOut);
  return steps;
}

IdRise Judge(const std::vector<er::IdSteps>& endpoints) {
  er::IdVotes votes;
  for (const er::IdSteps& steps : endpoints) er::AddVote(votes, steps);
  return er::JudgeIdRise(votes);
}

}  // namespace

TEST_GROUP(IdSteps){};

// Guards against one faulty endpoint that ends the check for all.
TEST(IdSteps, OneEndpointDoesNotDecideForItsService) {
  const er::IdSteps sound = StepsByOne(100);
  CHECK(Judge({sound, sound, sound, LeavesOut()}) == IdRise::kFirmlyByOne);
  CHECK(Judge({sound, LeavesOut(), LeavesOut()}) == IdRise::kLeavesOut);
  CHECK(Judge({LeavesOut()}) == IdRise::kLeavesOut);
}

// Guards against losing an event where the votes are divided evenly.
TEST(IdSteps, AnEvenVoteCountsAsRisingByOne) {
  CHECK(Judge({StepsByOne(32), LeavesOut()}) == IdRise::kByOne);
}

// Guards against claims about gaps before ids have shown how they rise.
TEST(IdSteps, FewStepsShowNothing) {
  CHECK(Judge({}) == IdRise::kUnknown);
  CHECK(Judge({StepsByOne(er::kMinConsecutiveSteps - 1)}) == IdRise::kUnknown);
  CHECK(Judge({StepsByOne(er::kMinConsecutiveSteps)}) == IdRise::kByOne);
  CHECK(Judge({StepsByOne(er::kMinFirmSteps)}) == IdRise::kFirmlyByOne);
}

// Guards against an endpoint that has seen little and outvotes one that has
// seen more.
TEST(IdSteps, AnEndpointHasNoVoteBeforeItHasSteps) {
  const er::IdSteps few = StepsByOne(er::kMinStepsToVote - 1);
  CHECK(Judge({few, few, few, LeavesOut()}) == IdRise::kLeavesOut);
}

// Guards against a fault that is held against an endpoint for good.
TEST(IdSteps, ANumberLeftOutIsForgottenAfterManySteps) {
  er::IdSteps steps = LeavesOut();
  for (std::uint32_t i = 1; i < er::kMaxRememberedSteps; ++i)
    CHECK_FALSE(er::OnIdStep(steps, IdStep::kByOne));
  CHECK(steps.leaves_out);
  CHECK(er::OnIdStep(steps, IdStep::kByOne));
  CHECK_FALSE(steps.leaves_out);
}
