// How many requests an endpoint may have in flight, summed over all nodes:
// slow start on evidence, and back when it turns cold again. The keeper of an
// endpoint drives this; see fleet/lease.h.
#pragma once

#include <chrono>
#include <cstdint>

#include "egretladder/kernel/time.h"

namespace egretladder::policy {

/// Why the slots of an endpoint changed. Written to the decision's log line.
enum class SlotReason : std::uint8_t {
  kUnchanged,
  kStarted,        ///< First seen, or a report shows a new boot.
  kGrewOnAnswers,  ///< Enough answers came in time at the present slots.
  kTurnedCold,     ///< First tokens slowed down without a restart.
  kOverloaded,     ///< Answers came late or failed while slots were full.
};

/// The reason as logs show it.
const char* NameOf(SlotReason reason);

/// What the keeper knows of an endpoint's ability to take work.
struct SlotState {
  std::uint32_t slots = 0;               ///< In flight, summed over all nodes.
  std::uint32_t cold_max_in_flight = 1;  ///< From the rules.
  std::uint32_t max_in_flight = 1;       ///< From the rules.
  std::uint32_t grow_fast_to = 1;        ///< Doubles up to here, then adds one.
  std::uint64_t boot = 0;                ///< Last seen in a report or answer.
  std::uint64_t boot_before = 0;  ///< Evidence of it comes late: ignored.
  std::uint32_t in_time = 0;      ///< Answers since the last change.
  std::uint32_t late = 0;         ///< Answers since the last change.
  kernel::Time since{};           ///< Of the last change.
};

/// Answers of one endpoint, added up by a node between two messages.
struct SlotEvidence {
  std::uint32_t in_time = 0;  ///< First token within the class's target,
                              ///< counted from the dispatch.
  std::uint32_t late = 0;
  std::uint32_t failed = 0;
  std::uint64_t boot = 0;  ///< Newest seen; 0: none.
};

/// Starts or restarts an endpoint: falls to what it bears cold.
SlotReason StartSlots(SlotState& state, std::uint32_t cold_max_in_flight,
                      std::uint32_t max_in_flight, std::uint64_t boot,
                      kernel::Time now);

/// Takes answers into account. O(1); slots stay from 1 to `bears`.
[[nodiscard]] SlotReason OnEvidence(SlotState& state,
                                    const SlotEvidence& evidence,
                                    kernel::Time now);

}  // namespace egretladder::policy
