// Ramps up the load of an availability zone that returns to service.
//
// The endpoints of a returning zone are idle. Without a ramp every new request
// goes there at once: if the zone is not healthy, all of these requests suffer,
// and warm caches elsewhere go unused. A zone that is taken out gets no new
// work at once; the remaining zones are protected by their slots, and strict
// tiers give these slots to tier 1 first.
#pragma once

#include <cstdint>

#include "egretladder/kernel/time.h"
#include "egretladder/policy/limits.h"

namespace egretladder::policy {

/// The state of one zone on a node.
struct ZoneRamp {
  bool out = false;            ///< Taken out by the rules.
  bool returning = false;      ///< Back in service and still ramping up.
  kernel::Time returned_at{};  ///< When the zone returned to service.
};

/// Applies what the rules say about the zone. A zone that was never out starts
/// without a ramp.
void UpdateZoneRamp(ZoneRamp& ramp, bool out, kernel::Time now);

/// Returns the ratio of its slots that the zone may use now, from 0 to 1. Ends
/// the ramp when the ratio has reached 1.
double RampRatio(ZoneRamp& ramp, const Limits& limits, kernel::Time now);

/// Returns `ratio` of an endpoint's slots, rounded down, but at least 1 unless
/// the ratio or the number of slots is 0.
std::uint32_t ScaleSlots(double ratio, std::uint32_t slots);

}  // namespace egretladder::policy
