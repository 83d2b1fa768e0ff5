#include "egretladder/policy/trickle.h"

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
  trickle.slot_seconds += passed * limits.trickle_share * slots;
  trickle.slot_seconds = std::min(trickle.slot_seconds, kSavedMost);
}

bool MayTrickle(const Trickle& trickle, const Limits& limits) {
  return limits.trickle_share > 0 && trickle.slot_seconds > 0;
}

bool IsAged(kernel::Time arrived, const Limits& limits, kernel::Time now) {
  return now - arrived >= limits.trickle_age;
}

Seconds TrickleBound(std::uint32_t classes, std::uint32_t slots,
                     Seconds longest, Seconds release, const Limits& limits) {
  const double accrued = limits.trickle_share * slots;
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
