#include <algorithm>

#include "egretladder/fleet/lease.h"

namespace egretladder::fleet {

std::uint32_t UsableSlots(const HeldSlots& held, Time now) {
  return held.floor + (now < held.until ? held.leased : 0);
}

bool ApplyLease(HeldSlots& held, const SlotLease& lease, Time asked, Time now) {
  if (lease.ask_number < held.ask_number || asked <= held.dropped) return false;
  // Counted from the asking: the keeper counts from later on, so the holder's
  // lease is over first, however long the answer was under way. The process may
  // stand still for `kFreshFor` without noticing, so it ends earlier by that.
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

bool AskIsDue(const HeldSlots& held, std::chrono::milliseconds every,
              Time now) {
  const auto since = now - held.last_ask;
  if (since >= every) return true;
  // Once for each time that work begins to wait: under load that lasts, asking
  // more often brings no more slots.
  const bool hurry = held.down || (held.was_content &&
                                   held.demand.wanted > UsableSlots(held, now));
  return hurry && since >= kAskSoonest;
}

}  // namespace egretladder::fleet
