// Slots of an endpoint: how many requests it may have in flight, summed over
// all nodes. Slots grow with answers in time (slow start) and shrink when the
// endpoint is overloaded or has become cold. The node that leases out an
// endpoint's slots calls these functions; see fleet/lease.h.
#pragma once

#include <chrono>
#include <cstdint>

#include "egretladder/kernel/time.h"

namespace egretladder::policy {

/// Why the slots of an endpoint changed. Written to the decision's log line.
enum class SlotReason : std::uint8_t {
  kUnchanged,
  kStarted,        ///< The endpoint is new, or an answer shows a restart.
  kGrewOnAnswers,  ///< Enough answers came in time with the current slots.
  kTurnedCold,     ///< First tokens became slow without a restart.
  kOverloaded,     ///< Answers came late or failed while the slots were full.
};

/// Returns the reason's name in logs.
const char* NameOf(SlotReason reason);

/// The slots of an endpoint and the evidence since their last change.
struct SlotState {
  std::uint32_t slots = 0;               ///< In flight, summed over all nodes.
  std::uint32_t cold_max_in_flight = 1;  ///< Maximum slots right after a start,
                                         ///< by the rules.
  std::uint32_t max_in_flight = 1;  ///< Maximum slots when warm, by the rules.
  std::uint32_t slow_start_threshold = 1;  ///< Slots double up to this number
                                           ///< and grow by one beyond it.
  std::uint64_t boot = 0;                  ///< Boot id in the latest evidence.
  std::uint64_t previous_boot = 0;  ///< Evidence of this boot is outdated.
  std::uint32_t in_time = 0;        ///< Answers since the last change.
  std::uint32_t late = 0;           ///< Late or failed answers since then.
  kernel::Time since{};
};

/// Answers of one endpoint, counted by a node between two messages.
struct SlotEvidence {
  std::uint32_t in_time = 0;  ///< First token within the class's target,
                              ///< counted from the dispatch.
  std::uint32_t late = 0;
  std::uint32_t failed = 0;
  std::uint64_t boot = 0;  ///< Newest boot id seen; 0: none.
};

/// Resets the slots of an endpoint that started or restarted to its cold
/// maximum.
SlotReason StartSlots(SlotState& state, std::uint32_t cold_max_in_flight,
                      std::uint32_t max_in_flight, std::uint64_t boot,
                      kernel::Time now);

/// Adjusts the slots to new evidence. The number stays from 1 to the warm
/// maximum. O(1).
[[nodiscard]] SlotReason OnEvidence(SlotState& state,
                                    const SlotEvidence& evidence,
                                    kernel::Time now);

}  // namespace egretladder::policy
