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

std::uint32_t NextSlotCount(const SlotState& state) {
  if (state.slots < state.slow_start_threshold) {
    return std::min(state.slots * 2, state.slow_start_threshold);
  }
  return state.slots + 1;
}

}  // namespace

SlotReason StartSlots(SlotState& state, std::uint32_t cold_max_in_flight,
                      std::uint32_t max_in_flight, std::uint64_t boot,
                      kernel::Time now) {
  if (boot != state.boot) state.previous_boot = state.boot;
  state.boot = boot;
  state.cold_max_in_flight =
      std::max(1U, std::min(cold_max_in_flight, max_in_flight));
  state.max_in_flight = std::max(1U, max_in_flight);
  state.slow_start_threshold = state.max_in_flight;
  ChangeSlots(state, state.cold_max_in_flight, now);
  return SlotReason::kStarted;
}

SlotReason OnEvidence(SlotState& state, const SlotEvidence& evidence,
                      kernel::Time now) {
  // Nodes report independently, and a delayed report may still refer to the
  // previous boot. If it counted as a restart, the endpoint would fall back to
  // its cold slots each time.
  if (evidence.boot != 0 && evidence.boot == state.previous_boot) {
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
  const double late_ratio =
      answers == 0 ? 0 : static_cast<double>(state.late) / answers;
  if (answers >= kMinAnswersToJudge && late_ratio >= kColdLateRatio &&
      state.slots > state.cold_max_in_flight) {
    state.slow_start_threshold = state.max_in_flight;
    ChangeSlots(state, state.cold_max_in_flight, now);
    return SlotReason::kTurnedCold;
  }
  if (answers >= kMinAnswersToJudge && late_ratio >= kOverloadedLateRatio) {
    if (state.slots <= state.cold_max_in_flight) {
      ChangeSlots(state, state.slots, now);
      return SlotReason::kUnchanged;
    }
    state.slow_start_threshold =
        std::max(state.cold_max_in_flight, state.slots * 3 / 4);
    ChangeSlots(state, state.slow_start_threshold, now);
    return SlotReason::kOverloaded;
  }
  if (answers < kAnswersPerSlotBeforeGrowth * state.slots) {
    return SlotReason::kUnchanged;
  }
  if (state.slots >= state.max_in_flight ||
      late_ratio >= kOverloadedLateRatio) {
    ChangeSlots(state, state.slots, now);
    return SlotReason::kUnchanged;
  }
  ChangeSlots(state, NextSlotCount(state), now);
  return SlotReason::kGrewOnAnswers;
}

}  // namespace egretladder::policy
