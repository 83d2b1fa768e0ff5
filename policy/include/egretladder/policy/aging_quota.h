// The bounded trickle of aged lower tiers, and the slots kept from them.
#pragma once

#include <cstdint>

#include "egretladder/kernel/time.h"
#include "egretladder/policy/estimate.h"
#include "egretladder/policy/limits.h"

namespace egretladder::policy {

/// Slot time that lower tiers may take at one target while higher tiers wait.
/// It accrues at `trickle_share` of the target's slots and is spent by what the
/// trickle runs. The next aged request starts when something is left and no
/// more runs than the share can pay for; at least one may.
///
/// Load: the top tier alone over capacity. Without it lower tiers are never
/// served. Counting slot time rather than starts keeps the share bounded when
/// lower-tier work is long. Bound: docs/design/two-promises.md.
struct Trickle {
  double slot_seconds = 0;    ///< Left to spend; below 0: overdrawn.
  std::uint32_t running = 0;  ///< Started by the trickle.
  kernel::Time until{};       ///< Counted up to here.
};

/// Counts up to `now`. Saves up for one start at most, so that a quiet hour
/// gives no burst.
void AdvanceTrickle(Trickle& trickle, std::uint32_t slots, const Limits& limits,
                    kernel::Time now);

/// True when an aged request may start before higher tiers.
bool MayTrickle(const Trickle& trickle, std::uint32_t slots,
                const Limits& limits);

/// True when a request is aged: it waited `trickle_age`, or half of the time
/// that it may wait at all, since a class that waits less would never age.
bool IsAged(kernel::Time arrived, kernel::Time bound, const Limits& limits,
            kernel::Time now);

/// The longest time without a start for a class that waits, while `classes`
/// lower-tier classes share the trickle of `slots` slots, their longest work
/// takes `longest`, and a slot comes free at least every `release`.
Seconds TrickleBound(std::uint32_t classes, std::uint32_t slots,
                     Seconds longest, Seconds release, const Limits& limits);

/// Free slots that lower tiers leave for higher ones, which run
/// `higher_running` (smoothed) of `slots`.
///
/// Load: a batch of long work among short questions. Without it the batch takes
/// every slot, and each question waits until a long answer ends. Arrivals that
/// are independent of each other vary by the root of their number.
std::uint32_t SlotsReserved(double higher_running, std::uint32_t slots,
                            const Limits& limits);

}  // namespace egretladder::policy
