#include <algorithm>

#include "egretladder/fleet/lease.h"

namespace egretladder::fleet {

std::uint32_t UsableSlots(const HeldSlots& held, Time now) {
  return held.floor + (now < held.until ? held.leased : 0);
}

bool ApplyLease(HeldSlots& held, const SlotLease& lease, Time asked, Time now) {
  if (lease.ask_number < held.ask_number || asked <= held.dropped) return false;
  // The lease counts from when it was requested. The keeper counts from a later
  // time, so the holder's lease ends first, however long the answer was under
  // way. It ends earlier by `kPauseThreshold`, because the process may be
  // paused for that long without noticing.
  const Time until =
      asked + std::min(lease.left, kLeaseDuration) - kPauseThreshold;
  if (lease.ask_number == held.ask_number) {
    held.leased = std::min(held.leased, lease.slots);
    return true;
  }
  held.ask_number = lease.ask_number;
  held.leased = lease.slots;
  held.until = until;
  held.last_lease = now;
  if (lease.total != 0) held.total = lease.total;
  if (lease.boot != 0) held.boot = lease.boot;
  return true;
}

void DropLease(HeldSlots& held, Time now) {
  held.leased = 0;
  held.total = 0;
  held.boot = 0;
  held.dropped = now;
}

bool AskIsDue(const HeldSlots& held, std::chrono::milliseconds interval,
              Time now) {
  const auto since = now - held.last_ask;
  if (since >= interval) return true;
  // Only once each time that work begins to wait: under sustained load, more
  // frequent requests bring no more slots.
  const bool is_urgent =
      held.down ||
      (held.had_enough_slots && held.demand.wanted > UsableSlots(held, now));
  return is_urgent && since >= kMinSlotAskInterval;
}

}  // namespace egretladder::fleet
