#include "egretladder/routing/id_steps.h"

#include <algorithm>

#include "egretladder/routing/endpoints.h"

namespace egretladder::routing {

bool OnIdStep(IdSteps& steps, IdStep step) {
  const bool left_out = steps.leaves_out;
  if (step == IdStep::kLeavesOut) {
    steps = {.by_one = 0, .leaves_out = true};
    return !left_out;
  }
  steps.by_one = std::min(steps.by_one + 1, kMaxRememberedSteps);
  if (steps.by_one == kMaxRememberedSteps) steps.leaves_out = false;
  return left_out && !steps.leaves_out;
}

void RememberStep(IdMemory& memory, const IdSteps& steps) {
  const bool counts = !steps.leaves_out && steps.by_one > 0 &&
                      steps.by_one <= kMaxRememberedStepsOfOne;
  if (counts) memory.steps = std::min(memory.steps + 1, kMinFirmSteps);
}

void AddVote(IdVotes& votes, const IdSteps& steps) {
  ++votes.processes;
  if (steps.leaves_out) {
    ++votes.leaves_out;
    return;
  }
  votes.steps += steps.by_one;
  if (steps.by_one >= kMinStepsToVote) ++votes.by_one;
}

IdVotes CountIdVotes(const EndpointSet& set, const std::string& service,
                     SoftwareVersion version) {
  IdVotes votes;
  const auto at = set.by_service.find(service);
  if (at == set.by_service.end()) return votes;
  for (const EndpointPtr& endpoint : at->second) {
    if (endpoint->version == version) AddVote(votes, endpoint->id_steps);
  }
  return votes;
}

const char* NameOf(IdRise rise) {
  switch (rise) {
    case IdRise::kUnknown:
      return "unknown";
    case IdRise::kLeavesOut:
      return "leaves-out";
    case IdRise::kByOne:
      return "by-one";
    case IdRise::kFirmlyByOne:
      return "firmly-by-one";
  }
  return "unknown";
}

bool RisesByOne(IdRise rise) {
  return rise == IdRise::kByOne || rise == IdRise::kFirmlyByOne;
}

IdRise JudgeIdRise(const IdVotes& votes, const IdMemory& memory) {
  const bool are_enough =
      votes.leaves_out >= std::min(kMinLeavingOut, votes.processes);
  if (votes.leaves_out > votes.by_one && are_enough) return IdRise::kLeavesOut;
  const std::uint64_t steps = std::max(votes.steps, memory.steps);
  if (steps >= kMinFirmSteps) return IdRise::kFirmlyByOne;
  return steps >= kMinConsecutiveSteps ? IdRise::kByOne : IdRise::kUnknown;
}

}  // namespace egretladder::routing
