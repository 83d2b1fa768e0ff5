// How fast load returns into an availability zone.
//
// Load: a zone out and back. Its endpoints return idle, so without a rate every
// new request goes there at once: if the zone is not well, all of them suffer
// together, and warm caches elsewhere go unused. Out of a zone new work stops
// at once; the zones that remain are protected by their slots, and strict tiers
// give tier 1 those slots first.
#pragma once

#include <cstdint>

#include "egretladder/kernel/time.h"
#include "egretladder/policy/limits.h"

namespace egretladder::policy {

/// One zone as seen by a node.
struct ZoneShift {
  bool out = false;
  bool returning = false;
  kernel::Time since{};  ///< Of the return.
};

/// The rules say whether the zone is out. A zone first seen in is not
/// returning.
void OnZone(ZoneShift& shift, bool out, kernel::Time now);

/// Part of its slots that the zone gets now, from 0 to 1. Ends the return once
/// it has reached 1.
double PartOf(ZoneShift& shift, const Limits& limits, kernel::Time now);

/// Slots of an endpoint under `part`; at least 1 of any when the part is not 0.
std::uint32_t SlotsUnder(double part, std::uint32_t slots);

}  // namespace egretladder::policy
