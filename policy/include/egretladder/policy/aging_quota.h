// Protection of lower tiers against starvation by a bounded share of slot time
// for aged requests, and the slots that are reserved for higher tiers.
#pragma once

#include <cstdint>

#include "egretladder/kernel/time.h"
#include "egretladder/policy/estimate.h"
#include "egretladder/policy/limits.h"

namespace egretladder::policy {

/// Slot time that aged requests of lower tiers may take at one target while
/// requests of higher tiers wait.
///
/// The quota accrues at `aging_share` of the target's slots and is spent by
/// the requests that it started. The next aged request may start when some of
/// the quota is left and no more requests run than the share pays for; at least
/// one may run.
///
/// Without it lower tiers are never served while the top tier alone exceeds
/// capacity. Counting slot time rather than starts keeps the share bounded when
/// requests of lower tiers are long. The bound is derived in
/// docs/design/two-promises.md.
struct AgingQuota {
  double slot_seconds = 0;    ///< Left to spend; negative: overdrawn.
  std::uint32_t running = 0;  ///< Running requests that the quota started.
  kernel::Time updated_at{};  ///< `slot_seconds` is accrued until this time.
};

/// Accrues the quota up to `now`. What can be saved up is bounded, so that an
/// idle hour is not followed by a burst.
void AccrueAgingQuota(AgingQuota& quota, std::uint32_t slots,
                      const Limits& limits, kernel::Time now);

/// Returns true when an aged request may start before those of higher tiers.
bool CanStartAged(const AgingQuota& quota, std::uint32_t slots,
                  const Limits& limits);

/// Returns true when a request has waited `aging_threshold`, or half of the
/// time that it may wait at all: a class whose maximum wait is short would
/// otherwise never age.
bool IsAged(kernel::Time arrived, kernel::Time queue_deadline,
            const Limits& limits, kernel::Time now);

/// Returns the longest time for which a class with waiting requests can go
/// without a start, while `classes` lower-tier classes share the quota of
/// `slots` slots, their longest request takes `longest`, and a slot becomes
/// free at least every `release`.
Seconds MaxStarvationTime(std::uint32_t classes, std::uint32_t slots,
                          Seconds longest, Seconds release,
                          const Limits& limits);

/// Returns how many free slots lower tiers leave for the higher ones, which
/// occupy `higher_running` (a moving average) of `slots`.
///
/// Without reserved slots a batch of long requests takes every slot, and each
/// short request of a higher tier waits until a long one ends. The number of
/// independent arrivals fluctuates by its square root.
std::uint32_t ReservedSlots(double higher_running, std::uint32_t slots,
                            const Limits& limits);

}  // namespace egretladder::policy
