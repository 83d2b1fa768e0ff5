#include "egretladder/policy/zone_ramp.h"

#include <algorithm>
#include <chrono>
#include <cmath>

namespace egretladder::policy {

void OnZone(ZoneShift& shift, bool out, kernel::Time now) {
  if (shift.out && !out) {
    shift.returning = true;
    shift.since = now;
  }
  shift.out = out;
}

double PartOf(ZoneShift& shift, const Limits& limits, kernel::Time now) {
  if (shift.out) return 0;
  if (!shift.returning) return 1;
  const std::chrono::duration<double> passed = now - shift.since;
  const double doublings = passed / limits.zone_ramp_doubling_time;
  const double part = limits.zone_ramp_initial_ratio * std::exp2(doublings);
  if (part >= 1) shift.returning = false;
  return std::min(1.0, part);
}

std::uint32_t SlotsUnder(double part, std::uint32_t slots) {
  if (part <= 0 || slots == 0) return 0;
  const double allowed = std::floor(part * slots);
  return std::max(1U, static_cast<std::uint32_t>(allowed));
}

}  // namespace egretladder::policy
