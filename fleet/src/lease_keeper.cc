#include <algorithm>
#include <limits>
#include <string>
#include <utility>

#include "egretladder/fleet/electorate.h"
#include "egretladder/fleet/lease.h"
#include "egretladder/kernel/hash.h"

namespace egretladder::fleet {
namespace {

bool IsSame(const Sender& left, const Sender& right) {
  return left.node == right.node && left.incarnation == right.incarnation;
}

Holder* Find(KeeperState& book, const Sender& process) {
  const auto found =
      std::find_if(book.holders.begin(), book.holders.end(),
                   [&](const Holder& h) { return IsSame(h.process, process); });
  return found == book.holders.end() ? nullptr : &*found;
}

std::uint32_t Outstanding(const Holder& holder) {
  std::uint32_t most = holder.in_flight;
  for (const Grant& grant : holder.grants) most = std::max(most, grant.slots);
  return most;
}

bool HasPart(const Holder& holder, Time now) {
  return now - holder.asked <= kHolderSilent;
}

/// How long calls of a silent holder count. A report shows them within seconds;
/// without one, or while the endpoint bears too little to risk it, they count
/// as long as an ordinary answer may take.
std::chrono::milliseconds SilentCallsKept(const KeeperState& book) {
  const bool warm = book.slots.slots > book.slots.cold_max_in_flight;
  return warm && book.report.has_value()
             ? kReportFresh
             : std::chrono::milliseconds(kSilentCallsKept);
}

/// Forgets holders that have been silent for longer than a lease and what it
/// started may last.
void Prune(KeeperState& book, Time now) {
  const auto kept = std::max(SilentCallsKept(book), kLeaseDuration);
  std::erase_if(book.holders, [&](const Holder& holder) {
    return now - holder.asked >= (holder.replaced ? kLeaseDuration : kept);
  });
}

/// Calls at the endpoint that no holder's entry stands for.
std::uint32_t StrangersAt(const KeeperState& book, Time now) {
  if (now - book.opened >= SilentCallsKept(book)) return 0;
  if (book.report.has_value()) return book.strangers;
  // One slot stays to begin with: its answers let the endpoint grow, while none
  // would leave it idle for as long as strangers count.
  return std::min(book.strangers, book.slots.cold_max_in_flight - 1);
}

/// A report taken before a former keeper's last leases lapsed misses the calls
/// that they let in.
bool ShowsAllStrangers(const KeeperState& book,
                       const policy::EngineReport& report, Time now) {
  return now - report.age >= book.opened - kOpeningMargin;
}

/// Nothing that ran before a new boot runs on. (A death that a node reports is
/// no proof of one: a process that was paused notices long after.) Holders that
/// ask say so themselves, and may have calls there again already; the silent
/// ones can't.
void ForgetSilentCalls(KeeperState& book, Time now) {
  for (Holder& holder : book.holders) {
    if (!HasPart(holder, now)) holder.in_flight = 0;
  }
}

/// A keeper that begins, or goes on after a break, first needs to know what
/// runs at the endpoint and whether it restarted meanwhile.
bool MayGrant(const KeeperState& book) {
  return book.ready &&
         (!book.report.has_value() || book.report_at >= book.resumed);
}

/// A newer process of a node has asked: calls of its predecessor are gone.
void ForgetCallsOf(KeeperState& book, const Sender& newer) {
  for (Holder& holder : book.holders) {
    const bool older = holder.process.node == newer.node &&
                       holder.process.incarnation != newer.incarnation;
    if (!older) continue;
    holder.in_flight = 0;
    holder.replaced = true;
  }
}

struct Part {
  const Holder* holder = nullptr;
  std::uint64_t lot = 0;
  std::uint32_t slots = 0;
};

/// Holders in the order of their lots. Lots are drawn anew every few seconds:
/// with fewer slots than holders the same few would have them for ever.
std::vector<Part> DrawLots(const KeeperState& book, Time now) {
  const auto draw =
      static_cast<std::uint64_t>(now.time_since_epoch() / kLotsEvery);
  std::vector<Part> parts;
  for (const Holder& holder : book.holders) {
    if (!HasPart(holder, now)) continue;
    parts.push_back({&holder, kernel::HashBytes(holder.process.node, draw), 0});
  }
  std::sort(parts.begin(), parts.end(),
            [](const Part& left, const Part& right) {
              return std::pair(left.lot, left.holder->process.incarnation) <
                     std::pair(right.lot, right.holder->process.incarnation);
            });
  return parts;
}

/// What a round of sharing out gives a holder at most.
std::uint32_t UrgentOf(const Holder& holder) { return holder.urgent; }
std::uint32_t WantedOf(const Holder& holder) { return holder.wanted; }
std::uint32_t NoBound(const Holder& /*holder*/) {
  return std::numeric_limits<std::uint32_t>::max();
}

/// Gives slots one by one until each holder has what `bound` says. Returns what
/// is left. Source: max-min fairness.
std::uint32_t GiveUpTo(std::vector<Part>& parts,
                       std::uint32_t (*bound)(const Holder&),
                       std::uint32_t left) {
  bool given = true;
  while (left > 0 && given) {
    given = false;
    for (Part& part : parts) {
      if (left == 0) break;
      if (part.slots >= bound(*part.holder)) continue;
      ++part.slots;
      --left;
      given = true;
    }
  }
  return left;
}

/// Work of the top tier first: callers keep to their nodes, and with equal
/// parts the questions of a busy node wait while the batch of another has slots
/// (2 of 24 runs of a batch beside a burst of buyers had under 90 in 100 in
/// time). Then what each wants, then what is left, so that an idle node can
/// start its next call without asking.
std::vector<Part> ShareOut(const KeeperState& book, Time now) {
  std::vector<Part> parts = DrawLots(book, now);
  std::uint32_t left = GiveUpTo(parts, UrgentOf, LeasableSlots(book));
  left = GiveUpTo(parts, WantedOf, left);
  GiveUpTo(parts, NoBound, left);
  return parts;
}

std::uint32_t PartOf(const std::vector<Part>& parts, const Holder& holder) {
  for (const Part& part : parts) {
    if (part.holder == &holder) return part.slots;
  }
  return 0;
}

/// A keeper that takes over an endpoint which did not restart goes on from what
/// its holders last heard, in place of a cold start: a node that stops would
/// throw its warm endpoints back to the few requests they bear cold. Of several
/// claims the lowest counts, since any of them may be old.
void TakeOverTotal(KeeperState& book, Holder& holder, const SlotAsk& ask,
                   Time now) {
  if (!book.ready || holder.claimed) return;
  holder.claimed = true;
  const bool same_boot = book.report.has_value() && ask.total_boot != 0 &&
                         book.report->boot == ask.total_boot &&
                         book.slots.boot == ask.total_boot;
  if (!same_boot || ask.total == 0 || now >= book.take_over_until) return;
  if (book.claimed != 0 && ask.total >= book.claimed) return;
  book.claimed = ask.total;
  book.slots.slots = std::clamp(ask.total, book.slots.cold_max_in_flight,
                                book.slots.max_in_flight);
  book.slots.since = now;
}

policy::SlotReason Restart(KeeperState& book, std::uint64_t boot, Time now) {
  book.take_over_until = now;
  return policy::StartSlots(book.slots, book.slots.cold_max_in_flight,
                            book.slots.max_in_flight, boot, now);
}

/// A new boot ends the calls that ran before it.
policy::SlotReason TakeEvidence(KeeperState& book,
                                const policy::SlotEvidence& evidence,
                                Time now) {
  const std::uint64_t boot = book.slots.boot;
  const auto reason = policy::OnEvidence(book.slots, evidence, now);
  if (boot != 0 && book.slots.boot != boot) {
    ForgetSilentCalls(book, now);
  }
  return reason;
}

}  // namespace

void InitKeeperState(KeeperState& book, const rules::Endpoint& endpoint,
                     Time now) {
  book = {};
  book.floor_sum = TotalFloorSlots(endpoint);
  book.opened = now;
  book.sign_of_life = now;
  book.take_over_until = now + kLeaseDuration;
  policy::StartSlots(book.slots, endpoint.cold_max_in_flight,
                     endpoint.max_in_flight, 0, now);
}

void ResumeKeeperState(KeeperState& book, const rules::Endpoint& endpoint,
                       Time stopped, Time now) {
  ChangeBears(book, endpoint, now);
  book.resumed = now;
  const bool unseen = now - stopped > kReportLost && !book.report.has_value();
  if (unseen) Restart(book, book.slots.boot, now);
}

void SuspectStrangers(KeeperState& book, std::uint32_t silent) {
  book.ready = true;
  book.strangers = silent;
  for (Holder& holder : book.holders) holder.known = true;
}

void ChangeBears(KeeperState& book, const rules::Endpoint& endpoint, Time now) {
  policy::SlotState& slots = book.slots;
  book.floor_sum = TotalFloorSlots(endpoint);
  if (slots.max_in_flight == endpoint.max_in_flight &&
      slots.cold_max_in_flight == endpoint.cold_max_in_flight) {
    return;
  }
  const std::uint32_t before = slots.slots;
  policy::StartSlots(slots, endpoint.cold_max_in_flight, endpoint.max_in_flight,
                     slots.boot, now);
  slots.slots = std::clamp(before, 1U, slots.max_in_flight);
}

std::uint32_t LeasableSlots(const KeeperState& book) {
  return book.slots.slots > book.floor_sum ? book.slots.slots - book.floor_sum
                                           : 0;
}

std::uint32_t TotalOutstandingSlots(const KeeperState& book) {
  std::uint32_t sum = 0;
  for (const Holder& holder : book.holders) sum += Outstanding(holder);
  return sum;
}

policy::SlotReason ApplyAsk(KeeperState& book, const Sender& from,
                            std::uint64_t number, const SlotAsk& ask,
                            Time now) {
  Prune(book, now);
  Holder* holder = Find(book, from);
  if (holder == nullptr) {
    holder = &book.holders.emplace_back();
    holder->process = from;
    ForgetCallsOf(book, from);
  }
  // A doubled or overtaken ask would count its evidence twice.
  if (number <= holder->ask_number) return policy::SlotReason::kUnchanged;
  holder->ask_number = number;
  holder->wanted = std::max(ask.wanted, ask.in_flight);
  holder->urgent = std::min(ask.urgent, holder->wanted);
  holder->in_flight = ask.in_flight;
  if (book.ready && !holder->known) {
    holder->known = true;
    // Without a report each silent node was put down for one call.
    const std::uint32_t own =
        book.report.has_value() ? ask.in_flight : std::max(ask.in_flight, 1U);
    book.strangers -= std::min(book.strangers, own);
  }
  std::erase_if(holder->grants, [&](const Grant& grant) {
    return grant.ask_number < ask.live_from;
  });
  holder->asked = now;
  if (ask.down) return Restart(book, book.slots.boot, now);
  if (ask.evidence.in_time > 0) book.sign_of_life = now;
  TakeOverTotal(book, *holder, ask, now);
  return TakeEvidence(book, ask.evidence, now);
}

std::uint32_t GrantSlots(KeeperState& book, const Sender& from, Time now) {
  Prune(book, now);
  Holder* holder = Find(book, from);
  if (holder == nullptr || !MayGrant(book)) return 0;
  const std::uint32_t others = TotalOutstandingSlots(book) -
                               Outstanding(*holder) + StrangersAt(book, now);
  const std::uint32_t pool = LeasableSlots(book);
  const std::uint32_t left = pool > others ? pool - others : 0;
  const std::uint32_t slots =
      std::min(PartOf(ShareOut(book, now), *holder), left);
  if (slots > 0) holder->grants.push_back({holder->ask_number, slots});
  return slots;
}

policy::SlotReason ApplyReport(KeeperState& book,
                               const policy::EngineReport* report, Time now) {
  if (report == nullptr) {
    const bool lost = now - book.sign_of_life > kReportLost;
    if (!lost || book.slots.slots <= book.slots.cold_max_in_flight) {
      return policy::SlotReason::kUnchanged;
    }
    return Restart(book, book.slots.boot, now);
  }
  const bool first = !book.report.has_value();
  book.report = *report;
  book.report_at = now;
  book.sign_of_life = now;
  const std::uint32_t running = report->running + report->waiting;
  if (book.ready) {
    book.strangers = std::min(book.strangers, running);
  } else if (ShowsAllStrangers(book, *report, now)) {
    book.ready = true;
    book.strangers = running;
  }
  if (first && book.slots.boot == 0) {
    book.slots.boot = report->boot;
    return policy::SlotReason::kUnchanged;
  }
  return TakeEvidence(book, {0, 0, 0, report->boot}, now);
}

std::vector<Cut> HoldersToCut(KeeperState& book, Time now) {
  Prune(book, now);
  std::vector<Cut> cuts;
  if (TotalOutstandingSlots(book) <= LeasableSlots(book)) return cuts;
  const std::vector<Part> parts = ShareOut(book, now);
  for (const Holder& holder : book.holders) {
    const std::uint32_t part = PartOf(parts, holder);
    if (Outstanding(holder) <= part) continue;
    // No more than the last ask was granted: its answer may have been lost, and
    // this one taken in its place.
    std::uint32_t granted = 0;
    for (const Grant& grant : holder.grants) {
      if (grant.ask_number == holder.ask_number) granted = grant.slots;
    }
    cuts.push_back(
        {holder.process, {holder.ask_number, std::min(part, granted)}});
  }
  return cuts;
}

}  // namespace egretladder::fleet
