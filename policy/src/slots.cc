#include "egretladder/policy/slots.h"

#include <algorithm>

#include "egretladder/policy/limits.h"

namespace egretladder::policy {
namespace {

void ChangeSlots(SlotState& state, std::uint32_t slots, kernel::Time now) {
  state.slots = std::clamp(slots, 1U, std::max(1U, state.max_in_flight));
  state.in_time = 0;
  state.late = 0;
  state.since = now;
}

std::uint32_t Grown(const SlotState& state) {
  if (state.slots < state.grow_fast_to) {
    return std::min(state.slots * 2, state.grow_fast_to);
  }
  return state.slots + 1;
}

}  // namespace

SlotReason StartSlots(SlotState& state, std::uint32_t cold_max_in_flight,
                      std::uint32_t max_in_flight, std::uint64_t boot,
                      kernel::Time now) {
  if (boot != state.boot) state.boot_before = state.boot;
  state.boot = boot;
  state.cold_max_in_flight =
      std::max(1U, std::min(cold_max_in_flight, max_in_flight));
  state.max_in_flight = std::max(1U, max_in_flight);
  state.grow_fast_to = state.max_in_flight;
  ChangeSlots(state, state.cold_max_in_flight, now);
  return SlotReason::kStarted;
}

SlotReason OnEvidence(SlotState& state, const SlotEvidence& evidence,
                      kernel::Time now) {
  // Nodes report apart: one that is behind still speaks of the boot before.
  // Taken for a restart, it would throw the endpoint back to cold each time.
  if (evidence.boot != 0 && evidence.boot == state.boot_before) {
    return SlotReason::kUnchanged;
  }
  if (evidence.boot != 0 && state.boot == 0) state.boot = evidence.boot;
  if (evidence.boot != 0 && evidence.boot != state.boot) {
    return StartSlots(state, state.cold_max_in_flight, state.max_in_flight,
                      evidence.boot, now);
  }
  state.in_time += evidence.in_time;
  state.late += evidence.late + evidence.failed;
  const std::uint32_t answers = state.in_time + state.late;
  const double late_share =
      answers == 0 ? 0 : static_cast<double>(state.late) / answers;
  if (answers >= kAnswersToJudge && late_share >= kTurnedColdShare &&
      state.slots > state.cold_max_in_flight) {
    state.grow_fast_to = state.max_in_flight;
    ChangeSlots(state, state.cold_max_in_flight, now);
    return SlotReason::kTurnedCold;
  }
  if (answers >= kAnswersToJudge && late_share >= kOverloadedShare) {
    if (state.slots <= state.cold_max_in_flight) {
      ChangeSlots(state, state.slots, now);
      return SlotReason::kUnchanged;
    }
    state.grow_fast_to =
        std::max(state.cold_max_in_flight, state.slots * 3 / 4);
    ChangeSlots(state, state.grow_fast_to, now);
    return SlotReason::kOverloaded;
  }
  if (answers < kAnswersPerSlotBeforeGrowth * state.slots) {
    return SlotReason::kUnchanged;
  }
  if (state.slots >= state.max_in_flight || late_share >= kOverloadedShare) {
    ChangeSlots(state, state.slots, now);
    return SlotReason::kUnchanged;
  }
  ChangeSlots(state, Grown(state), now);
  return SlotReason::kGrewOnAnswers;
}

}  // namespace egretladder::policy
