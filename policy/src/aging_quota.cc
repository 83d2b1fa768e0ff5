#include "egretladder/policy/aging_quota.h"

#include <algorithm>
#include <cmath>

namespace egretladder::policy {
namespace {

constexpr double kMaxSavedSlotSeconds = 1.0;

}  // namespace

void AccrueAgingQuota(AgingQuota& quota, std::uint32_t slots,
                      const Limits& limits, kernel::Time now) {
  const double elapsed = std::max(0.0, Seconds(now - quota.updated_at).count());
  quota.updated_at = now;
  quota.slot_seconds -= elapsed * quota.running;
  quota.slot_seconds += elapsed * limits.aging_share * slots;
  quota.slot_seconds = std::min(quota.slot_seconds, kMaxSavedSlotSeconds);
}

bool CanStartAged(const AgingQuota& quota, std::uint32_t slots,
                  const Limits& limits) {
  if (limits.aging_share <= 0 || quota.slot_seconds <= 0) return false;
  return quota.running < std::max(1.0, limits.aging_share * slots);
}

bool IsAged(kernel::Time arrived, kernel::Time queue_deadline,
            const Limits& limits, kernel::Time now) {
  const kernel::Time::duration threshold = limits.aging_threshold;
  return now - arrived >= std::min(threshold, (queue_deadline - arrived) / 2);
}

Seconds MaxStarvationTime(std::uint32_t classes, std::uint32_t slots,
                          Seconds longest, Seconds release,
                          const Limits& limits) {
  const double accrual_rate = std::min(1.0, limits.aging_share * slots);
  return Seconds(limits.aging_threshold) +
         classes * (longest / accrual_rate + release);
}

std::uint32_t ReservedSlots(double higher_running, std::uint32_t slots,
                            const Limits& limits) {
  if (limits.reserve_factor <= 0 || higher_running < 0.01) return 0;
  const double wanted = limits.reserve_factor * std::sqrt(higher_running);
  const double max_reserved = limits.max_reserve_ratio * slots;
  // Rounded down, so that none of one or two slots is reserved. Lower tiers
  // would otherwise have no slot at all.
  return static_cast<std::uint32_t>(std::min(std::ceil(wanted), max_reserved));
}

}  // namespace egretladder::policy
