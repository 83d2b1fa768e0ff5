#include "egretladder/policy/aging_quota.h"

#include <algorithm>
#include <cmath>

namespace egretladder::policy {
namespace {

constexpr double kSavedMost = 1.0;  // Slot seconds.

}  // namespace

void AdvanceTrickle(Trickle& trickle, std::uint32_t slots, const Limits& limits,
                    kernel::Time now) {
  const double passed = std::max(0.0, Seconds(now - trickle.until).count());
  trickle.until = now;
  trickle.slot_seconds -= passed * trickle.running;
  trickle.slot_seconds += passed * limits.aging_share * slots;
  trickle.slot_seconds = std::min(trickle.slot_seconds, kSavedMost);
}

bool MayTrickle(const Trickle& trickle, std::uint32_t slots,
                const Limits& limits) {
  if (limits.aging_share <= 0 || trickle.slot_seconds <= 0) return false;
  return trickle.running < std::max(1.0, limits.aging_share * slots);
}

bool IsAged(kernel::Time arrived, kernel::Time bound, const Limits& limits,
            kernel::Time now) {
  const kernel::Time::duration age = limits.trickle_age;
  return now - arrived >= std::min(age, (bound - arrived) / 2);
}

Seconds TrickleBound(std::uint32_t classes, std::uint32_t slots,
                     Seconds longest, Seconds release, const Limits& limits) {
  const double accrued = std::min(1.0, limits.aging_share * slots);
  return Seconds(limits.trickle_age) + classes * (longest / accrued + release);
}

std::uint32_t SlotsReserved(double higher_running, std::uint32_t slots,
                            const Limits& limits) {
  if (limits.reserve_factor <= 0 || higher_running < 0.01) return 0;
  const double wanted = limits.reserve_factor * std::sqrt(higher_running);
  const double most = limits.reserve_share_most * slots;
  // Rounded down: of one or two slots none is kept, or lower tiers had none.
  return static_cast<std::uint32_t>(std::min(std::ceil(wanted), most));
}

}  // namespace egretladder::policy
