#include <algorithm>
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

Holder* Find(KeeperBook& book, const Sender& process) {
  const auto found =
      std::find_if(book.holders.begin(), book.holders.end(),
                   [&](const Holder& h) { return IsSame(h.process, process); });
  return found == book.holders.end() ? nullptr : &*found;
}

std::uint32_t Outstanding(const Holder& holder, Time now) {
  std::uint32_t most = holder.in_flight;
  for (const Grant& grant : holder.grants) {
    if (now < grant.until) most = std::max(most, grant.slots);
  }
  return most;
}

bool HasPart(const Holder& holder, Time now) {
  return now - holder.asked <= kHolderSilent;
}

/// How long calls of a silent holder count. A report shows them within seconds;
/// without one, or while the endpoint bears too little to risk it, they count
/// as long as an ordinary answer may take.
std::chrono::milliseconds SilentCallsKept(const KeeperBook& book) {
  const bool warm = book.slots.slots > book.slots.cold_bears;
  return warm && book.report.has_value()
             ? kReportFresh
             : std::chrono::milliseconds(kSilentCallsKept);
}

/// Drops lapsed grants. A holder that fell silent may have filled them to the
/// last moment: its calls then run on, though its lease is over.
void DropLapsed(Holder& holder, Time now) {
  for (const Grant& grant : holder.grants) {
    if (now < grant.until || HasPart(holder, now)) continue;
    holder.in_flight = std::max(holder.in_flight, grant.slots);
  }
  std::erase_if(holder.grants,
                [&](const Grant& grant) { return now >= grant.until; });
}

void Prune(KeeperBook& book, Time now) {
  const auto kept = SilentCallsKept(book);
  for (Holder& holder : book.holders) DropLapsed(holder, now);
  std::erase_if(book.holders, [&](const Holder& holder) {
    const bool runs = holder.in_flight > 0 && now - holder.asked < kept;
    return holder.grants.empty() && !HasPart(holder, now) && !runs;
  });
}

/// What the endpoint says to run beyond what the holders may be running: calls
/// of nodes that this keeper has never heard, or of a former keeper's leases.
std::uint32_t Unaccounted(const KeeperBook& book, Time now) {
  if (!book.report.has_value()) return 0;
  const std::uint32_t reported = book.report->running + book.report->waiting;
  const std::uint32_t known = GrantedSum(book, now) + book.floor_sum;
  return reported > known ? reported - known : 0;
}

/// A keeper that has just begun knows no holder's calls. It waits for one round
/// of asks, or for a report, which shows the calls of all.
bool MayGrant(const KeeperBook& book, Time now) {
  return book.report.has_value() || now - book.opened >= kHolderSilent;
}

/// A newer process of a node has asked: calls of its predecessor are gone.
void ForgetCallsOf(KeeperBook& book, const Sender& newer) {
  for (Holder& holder : book.holders) {
    const bool older = holder.process.node == newer.node &&
                       holder.process.incarnation != newer.incarnation;
    if (older) holder.in_flight = 0;
  }
}

struct Part {
  const Holder* holder = nullptr;
  std::uint64_t lot = 0;
  std::uint32_t slots = 0;
};

/// Holders in the order of their lots. Lots are drawn anew every few seconds:
/// with fewer slots than holders the same few would have them for ever.
std::vector<Part> DrawLots(const KeeperBook& book, Time now) {
  const auto draw =
      static_cast<std::uint64_t>(now.time_since_epoch() / kLotsEvery);
  std::vector<Part> parts;
  for (const Holder& holder : book.holders) {
    if (!HasPart(holder, now)) continue;
    parts.push_back({&holder, kernel::HashOf(holder.process.node, draw), 0});
  }
  std::sort(parts.begin(), parts.end(),
            [](const Part& left, const Part& right) {
              return std::pair(left.lot, left.holder->process.incarnation) <
                     std::pair(right.lot, right.holder->process.incarnation);
            });
  return parts;
}

/// Gives slots one by one, first up to what each wants, then what is left, so
/// that an idle node can start its next call without asking.
/// Source: max-min fairness.
std::vector<Part> ShareOut(const KeeperBook& book, Time now) {
  std::vector<Part> parts = DrawLots(book, now);
  std::uint32_t left = PoolOf(book);
  for (const bool only_wanted : {true, false}) {
    bool given = true;
    while (left > 0 && given) {
      given = false;
      for (Part& part : parts) {
        if (left == 0) break;
        if (only_wanted && part.slots >= part.holder->wanted) continue;
        ++part.slots;
        --left;
        given = true;
      }
    }
  }
  return parts;
}

std::uint32_t PartOf(const std::vector<Part>& parts, const Holder& holder) {
  for (const Part& part : parts) {
    if (part.holder == &holder) return part.slots;
  }
  return 0;
}

/// A keeper that takes over an endpoint which did not restart goes on from what
/// its holders had, in place of a cold start: a node that stops would throw its
/// warm endpoints back to the few requests they bear cold.
void TakeOverSlots(KeeperBook& book, Holder& holder, const SlotAsk& ask,
                   Time now) {
  const bool same_boot = book.report.has_value() && ask.held_boot != 0 &&
                         book.report->boot == ask.held_boot &&
                         book.slots.boot == ask.held_boot;
  if (holder.counted || !same_boot || now >= book.take_over_until) return;
  holder.counted = true;
  book.held_sum += ask.held;
  const std::uint32_t slots =
      std::min(book.slots.bears, book.held_sum + book.floor_sum);
  if (slots <= book.slots.slots) return;
  book.slots.slots = slots;
  book.slots.since = now;
}

policy::SlotReason Restart(KeeperBook& book, std::uint64_t boot, Time now) {
  book.take_over_until = now;
  for (Holder& holder : book.holders) holder.in_flight = 0;
  return policy::StartSlots(book.slots, book.slots.cold_bears, book.slots.bears,
                            boot, now);
}

/// A new boot ends the calls that ran before it.
policy::SlotReason TakeEvidence(KeeperBook& book,
                                const policy::SlotEvidence& evidence,
                                Time now) {
  const std::uint64_t boot = book.slots.boot;
  const auto reason = policy::OnEvidence(book.slots, evidence, now);
  if (boot != 0 && book.slots.boot != boot) {
    for (Holder& holder : book.holders) holder.in_flight = 0;
  }
  return reason;
}

}  // namespace

void OpenBook(KeeperBook& book, std::uint32_t cold_bears, std::uint32_t bears,
              std::uint32_t floor_sum, Time now) {
  book = {};
  book.floor_sum = floor_sum;
  book.opened = now;
  book.sign_of_life = now;
  book.take_over_until = now + kLeaseLife;
  policy::StartSlots(book.slots, cold_bears, bears, 0, now);
}

void ChangeBears(KeeperBook& book, const rules::Endpoint& endpoint, Time now) {
  policy::SlotState& slots = book.slots;
  book.floor_sum = FloorSum(endpoint);
  if (slots.bears == endpoint.bears &&
      slots.cold_bears == endpoint.cold_bears) {
    return;
  }
  const std::uint32_t before = slots.slots;
  policy::StartSlots(slots, endpoint.cold_bears, endpoint.bears, slots.boot,
                     now);
  slots.slots = std::clamp(before, 1U, slots.bears);
}

std::uint32_t PoolOf(const KeeperBook& book) {
  return book.slots.slots > book.floor_sum ? book.slots.slots - book.floor_sum
                                           : 0;
}

std::uint32_t GrantedSum(const KeeperBook& book, Time now) {
  std::uint32_t sum = 0;
  for (const Holder& holder : book.holders) sum += Outstanding(holder, now);
  return sum;
}

policy::SlotReason TakeAsk(KeeperBook& book, const Sender& from,
                           std::uint64_t number, const SlotAsk& ask, Time now) {
  Prune(book, now);
  Holder* holder = Find(book, from);
  if (holder == nullptr) {
    book.holders.push_back({from, 0, 0, 0, now, false, {}});
    ForgetCallsOf(book, from);
    holder = &book.holders.back();
  }
  // A doubled or overtaken ask would count its evidence twice.
  if (number <= holder->ask_number) return policy::SlotReason::kUnchanged;
  holder->ask_number = number;
  holder->wanted = std::max(ask.wanted, ask.in_flight);
  holder->in_flight = ask.in_flight;
  holder->asked = now;
  if (ask.down) return Restart(book, book.slots.boot, now);
  if (ask.evidence.in_time > 0) book.sign_of_life = now;
  TakeOverSlots(book, *holder, ask, now);
  return TakeEvidence(book, ask.evidence, now);
}

std::uint32_t GrantSlots(KeeperBook& book, const Sender& from, Time now) {
  Prune(book, now);
  Holder* holder = Find(book, from);
  if (holder == nullptr || !MayGrant(book, now)) return 0;
  const std::uint32_t others = GrantedSum(book, now) -
                               Outstanding(*holder, now) +
                               Unaccounted(book, now);
  const std::uint32_t pool = PoolOf(book);
  const std::uint32_t left = pool > others ? pool - others : 0;
  const std::uint32_t slots =
      std::min(PartOf(ShareOut(book, now), *holder), left);
  if (slots > 0) holder->grants.push_back({slots, now + kLeaseLife});
  return slots;
}

policy::SlotReason TakeReport(KeeperBook& book,
                              const policy::EngineReport* report, Time now) {
  if (report == nullptr) {
    const bool lost = now - book.sign_of_life > kReportLost;
    if (!lost || book.slots.slots <= book.slots.cold_bears) {
      return policy::SlotReason::kUnchanged;
    }
    return Restart(book, book.slots.boot, now);
  }
  const bool first = !book.report.has_value();
  book.report = *report;
  book.report_at = now;
  book.sign_of_life = now;
  if (first && book.slots.boot == 0) {
    book.slots.boot = report->boot;
    return policy::SlotReason::kUnchanged;
  }
  return TakeEvidence(book, {0, 0, 0, report->boot}, now);
}

std::vector<Holder> HoldersToCut(KeeperBook& book, Time now) {
  Prune(book, now);
  std::vector<Holder> cut;
  if (GrantedSum(book, now) <= PoolOf(book)) return cut;
  const std::vector<Part> parts = ShareOut(book, now);
  for (const Holder& holder : book.holders) {
    const std::uint32_t part = PartOf(parts, holder);
    if (Outstanding(holder, now) <= part) continue;
    cut.push_back(holder);
    cut.back().grants = {{part, now + kLeaseLife}};
  }
  return cut;
}

}  // namespace egretladder::fleet
