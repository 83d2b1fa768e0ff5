#include "egretladder/policy/zone_ramp.h"

#include <algorithm>
#include <chrono>
#include <cmath>

namespace egretladder::policy {

void UpdateZoneRamp(ZoneRamp& ramp, bool out, kernel::Time now) {
  if (ramp.out && !out) {
    ramp.returning = true;
    ramp.returned_at = now;
  }
  ramp.out = out;
}

double RampRatio(ZoneRamp& ramp, const Limits& limits, kernel::Time now) {
  if (ramp.out) return 0;
  if (!ramp.returning) return 1;
  const std::chrono::duration<double> elapsed = now - ramp.returned_at;
  const double doublings = elapsed / limits.zone_ramp_doubling_time;
  const double ratio = limits.zone_ramp_initial_ratio * std::exp2(doublings);
  if (ratio >= 1) ramp.returning = false;
  return std::min(1.0, ratio);
}

std::uint32_t ScaleSlots(double ratio, std::uint32_t slots) {
  if (ratio <= 0 || slots == 0) return 0;
  const double allowed = std::floor(ratio * slots);
  return std::max(1U, static_cast<std::uint32_t>(allowed));
}

}  // namespace egretladder::policy
