#include "egretladder/routing/id_steps.h"

#include <CppUTest/TestHarness.h>

#include <vector>

#include "egretladder/routing/endpoints.h"

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

// Guards against endpoints that have seen little and outvote those that have
// seen more.
TEST(IdSteps, AnEndpointHasNoVoteBeforeItHasSteps) {
  const er::IdSteps few = StepsByOne(er::kMinStepsToVote - 1);
  CHECK(Judge({few, few, few, LeavesOut(), LeavesOut()}) == IdRise::kLeavesOut);
  CHECK(Judge({few, few, few, LeavesOut()}) == IdRise::kUnknown);
}

// Guards against one faulty endpoint that ends the check since it is the first
// to have a vote.
TEST(IdSteps, OneEndpointAmongOthersWithoutVotesDoesNotDecide) {
  CHECK(Judge({er::IdSteps{}, LeavesOut()}) == IdRise::kUnknown);
  CHECK(Judge({StepsByOne(er::kMinStepsToVote), er::IdSteps{}, LeavesOut(),
               LeavesOut()}) == IdRise::kLeavesOut);
}

namespace {

// Returns what is remembered of processes that have shown `count` steps each.
er::IdMemory RememberProcesses(int processes, std::uint64_t count) {
  er::IdMemory memory;
  for (int i = 0; i < processes; ++i) {
    er::IdSteps steps;
    for (std::uint64_t step = 0; step < count; ++step) {
      er::OnIdStep(steps, IdStep::kByOne);
      er::RememberStep(memory, steps);
    }
  }
  return memory;
}

IdRise JudgeWithMemory(const std::vector<er::IdSteps>& endpoints,
                       const er::IdMemory& memory) {
  er::IdVotes votes;
  for (const er::IdSteps& steps : endpoints) er::AddVote(votes, steps);
  return er::JudgeIdRise(votes, memory);
}

}  // namespace

// Guards against a check that begins anew where a release replaces endpoints,
// and against one endpoint that ends it then.
TEST(IdSteps, StepsAreRememberedBeyondTheirProcesses) {
  const er::IdMemory memory = RememberProcesses(4, 100);
  CHECK(JudgeWithMemory({}, memory) == IdRise::kFirmlyByOne);
  CHECK(JudgeWithMemory({er::IdSteps{}, LeavesOut()}, memory) ==
        IdRise::kFirmlyByOne);
}

// Guards against a service whose ids leave numbers out since some time, though
// its earlier processes' didn't.
TEST(IdSteps, AMajorityOutvotesWhatIsRemembered) {
  const er::IdMemory memory = RememberProcesses(8, 100);
  CHECK(JudgeWithMemory({LeavesOut(), LeavesOut(), StepsByOne(100)}, memory) ==
        IdRise::kLeavesOut);
  CHECK(JudgeWithMemory({LeavesOut()}, memory) == IdRise::kLeavesOut);
}

// Guards against a single process whose steps count for its service for good,
// and against one that leaves numbers out.
TEST(IdSteps, OneProcessFillsNoMemory) {
  LONGS_EQUAL(er::kMaxRememberedStepsOfOne,
              RememberProcesses(1, er::kMaxRememberedSteps + 10).steps);
  er::IdMemory memory;
  er::IdSteps steps = LeavesOut();
  for (std::uint32_t i = 0; i < er::kMaxRememberedSteps; ++i) {
    er::OnIdStep(steps, IdStep::kByOne);
    er::RememberStep(memory, steps);
  }
  LONGS_EQUAL(0, memory.steps);
}

// Guards against evidence of one software version that decides for another,
// which may number events otherwise.
TEST(IdSteps, VotesAreOfOneVersion) {
  er::EndpointSet set;
  for (const char* version : {"v1", "v2"}) {
    er::EndpointEntry entry;
    entry.id = version;
    entry.service = "engines";
    entry.address = "10.0.0.1:80";
    entry.software_version = version;
    er::OnEntryPublished(set, entry, egretladder::kernel::Time{});
  }
  set.by_id["v1"]->id_steps = StepsByOne(er::kMinFirmSteps);
  set.by_id["v2"]->id_steps = LeavesOut();
  const auto judge = [&set](const char* id) {
    return er::JudgeIdRise(
        er::CountIdVotes(set, "engines", set.by_id[id]->version));
  };
  CHECK(judge("v1") == IdRise::kFirmlyByOne);
  CHECK(judge("v2") == IdRise::kLeavesOut);
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
