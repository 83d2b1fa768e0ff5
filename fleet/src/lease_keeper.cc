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

Holder* Find(KeeperBook& book, const Sender& process) {
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

bool IsActiveHolder(const Holder& holder, Time now) {
  return now - holder.asked <= kHolderSilenceTimeout;
}

/// Returns how long the calls of a silent holder count. A report shows them
/// within seconds. Without a report, or while the endpoint's capacity is too
/// small to risk an error, they count for as long as an ordinary answer may
/// take.
std::chrono::milliseconds SilentCallsKept(const KeeperBook& book) {
  const bool warm = book.slots.slots > book.slots.cold_max_in_flight;
  return warm && book.report.has_value()
             ? kMaxReportAge
             : std::chrono::milliseconds(kSilentCallRetention);
}

/// Removes holders that have been silent for longer than both a lease and the
/// calls begun under it may last.
void Prune(KeeperBook& book, Time now) {
  const auto kept = std::max(SilentCallsKept(book), kLeaseLife);
  std::erase_if(book.holders, [&](const Holder& holder) {
    return now - holder.asked >= (holder.replaced ? kLeaseLife : kept);
  });
}

/// Returns the number of calls at the endpoint that no holder accounts for.
std::uint32_t CountUnattributedCalls(const KeeperBook& book, Time now) {
  if (now - book.opened >= SilentCallsKept(book)) return 0;
  if (book.report.has_value()) return book.unattributed_calls;
  // One slot stays usable: its answers let the limit grow, while the endpoint
  // would be idle for as long as unattributed calls count otherwise.
  return std::min(book.unattributed_calls, book.slots.cold_max_in_flight - 1);
}

/// Returns true if the report was made late enough to show all calls that a
/// former keeper's leases admitted. One made before the last of these leases
/// lapsed may miss some.
bool CoversAllUnattributedCalls(const KeeperBook& book,
                                const policy::EngineReport& report, Time now) {
  return now - report.age >= book.opened - kMaxInitialReportLead;
}

/// Resets the calls in flight of silent holders after a new boot, which ended
/// everything that ran before. (A death that a node reports doesn't prove a new
/// boot, since a process that was paused notices it long after.) Active holders
/// report their own calls and may already have new ones; the silent ones can't.
void ForgetSilentCalls(KeeperBook& book, Time now) {
  for (Holder& holder : book.holders) {
    if (!IsActiveHolder(holder, now)) holder.in_flight = 0;
  }
}

/// Returns true if the keeper knows what runs at the endpoint and whether it
/// has restarted. It must find out first when it begins or resumes after a
/// break.
bool MayGrant(const KeeperBook& book) {
  return book.ready &&
         (!book.report.has_value() || book.report_at >= book.resumed);
}

/// Marks the holders of a node's older processes as replaced, because a newer
/// one has requested slots and the calls of its predecessors are gone.
void ForgetCallsOf(KeeperBook& book, const Sender& newer) {
  for (Holder& holder : book.holders) {
    const bool older = holder.process.node == newer.node &&
                       holder.process.incarnation != newer.incarnation;
    if (!older) continue;
    holder.in_flight = 0;
    holder.replaced = true;
  }
}

struct Share {
  const Holder* holder = nullptr;
  std::uint64_t lot = 0;
  std::uint32_t slots = 0;
};

/// Returns the active holders in a random order that changes every
/// `kLotteryInterval`. With a fixed order and fewer slots than holders, the
/// same few would always get them.
std::vector<Share> DrawLots(const KeeperBook& book, Time now) {
  const auto draw =
      static_cast<std::uint64_t>(now.time_since_epoch() / kLotteryInterval);
  std::vector<Share> parts;
  for (const Holder& holder : book.holders) {
    if (!IsActiveHolder(holder, now)) continue;
    parts.push_back({&holder, kernel::HashBytes(holder.process.node, draw), 0});
  }
  std::sort(parts.begin(), parts.end(),
            [](const Share& left, const Share& right) {
              return std::pair(left.lot, left.holder->process.incarnation) <
                     std::pair(right.lot, right.holder->process.incarnation);
            });
  return parts;
}

/// Limits of a holder's share in the rounds of `AllocateSlots`.
std::uint32_t UrgentLimit(const Holder& holder) { return holder.urgent; }
std::uint32_t WantedLimit(const Holder& holder) { return holder.wanted; }
std::uint32_t Unlimited(const Holder& /*holder*/) {
  return std::numeric_limits<std::uint32_t>::max();
}

/// Distributes slots one by one until each holder has reached its `bound`.
/// Returns the number of slots left. Source: max-min fairness.
std::uint32_t DistributeUpTo(std::vector<Share>& parts,
                             std::uint32_t (*bound)(const Holder&),
                             std::uint32_t left) {
  bool given = true;
  while (left > 0 && given) {
    given = false;
    for (Share& part : parts) {
      if (left == 0) break;
      if (part.slots >= bound(*part.holder)) continue;
      ++part.slots;
      --left;
      given = true;
    }
  }
  return left;
}

/// Divides the leasable slots. Work of the top tier comes first: callers stay
/// with their nodes, and with equal shares the requests of a busy node would
/// wait while the batch work of another has slots (in 2 of 24 runs of a batch
/// beside a burst of top-tier requests, fewer than 90 of 100 were answered in
/// time). Then each holder gets what it wants, then what is left, so that an
/// idle node can start its next call without asking.
std::vector<Share> AllocateSlots(const KeeperBook& book, Time now) {
  std::vector<Share> parts = DrawLots(book, now);
  std::uint32_t left = DistributeUpTo(parts, UrgentLimit, PoolOf(book));
  left = DistributeUpTo(parts, WantedLimit, left);
  DistributeUpTo(parts, Unlimited, left);
  return parts;
}

std::uint32_t FindShare(const std::vector<Share>& parts, const Holder& holder) {
  for (const Share& part : parts) {
    if (part.holder == &holder) return part.slots;
  }
  return 0;
}

/// Applies the total that a holder last heard from the former keeper, if the
/// endpoint has not restarted since. With a cold start instead, each node that
/// stops would reduce its warm endpoints to their cold capacity of a few
/// requests. The lowest of several claims counts, since any of them may be
/// outdated.
void InheritTotal(KeeperBook& book, Holder& holder, const SlotAsk& ask,
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

policy::SlotReason Restart(KeeperBook& book, std::uint64_t boot, Time now) {
  book.take_over_until = now;
  return policy::StartSlots(book.slots, book.slots.cold_max_in_flight,
                            book.slots.max_in_flight, boot, now);
}

/// Applies evidence about the endpoint. A new boot ends the calls that ran
/// before it.
policy::SlotReason ApplyEvidence(KeeperBook& book,
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

void OpenBook(KeeperBook& book, const rules::Endpoint& endpoint, Time now) {
  book = {};
  book.floor_sum = FloorSum(endpoint);
  book.opened = now;
  book.sign_of_life = now;
  book.take_over_until = now + kLeaseLife;
  policy::StartSlots(book.slots, endpoint.cold_max_in_flight,
                     endpoint.max_in_flight, 0, now);
}

void ResumeBook(KeeperBook& book, const rules::Endpoint& endpoint, Time stopped,
                Time now) {
  UpdateCapacity(book, endpoint, now);
  book.resumed = now;
  const bool unseen =
      now - stopped > kReportTimeout && !book.report.has_value();
  if (unseen) Restart(book, book.slots.boot, now);
}

void AssumeUnattributedCalls(KeeperBook& book, std::uint32_t silent) {
  book.ready = true;
  book.unattributed_calls = silent;
  for (Holder& holder : book.holders) holder.known = true;
}

void UpdateCapacity(KeeperBook& book, const rules::Endpoint& endpoint,
                    Time now) {
  policy::SlotState& slots = book.slots;
  book.floor_sum = FloorSum(endpoint);
  if (slots.max_in_flight == endpoint.max_in_flight &&
      slots.cold_max_in_flight == endpoint.cold_max_in_flight) {
    return;
  }
  const std::uint32_t before = slots.slots;
  policy::StartSlots(slots, endpoint.cold_max_in_flight, endpoint.max_in_flight,
                     slots.boot, now);
  slots.slots = std::clamp(before, 1U, slots.max_in_flight);
}

std::uint32_t PoolOf(const KeeperBook& book) {
  return book.slots.slots > book.floor_sum ? book.slots.slots - book.floor_sum
                                           : 0;
}

std::uint32_t GrantedSum(const KeeperBook& book) {
  std::uint32_t sum = 0;
  for (const Holder& holder : book.holders) sum += Outstanding(holder);
  return sum;
}

policy::SlotReason TakeAsk(KeeperBook& book, const Sender& from,
                           std::uint64_t number, const SlotAsk& ask, Time now) {
  Prune(book, now);
  Holder* holder = Find(book, from);
  if (holder == nullptr) {
    holder = &book.holders.emplace_back();
    holder->process = from;
    ForgetCallsOf(book, from);
  }
  // The evidence of a duplicated or reordered request must not count twice.
  if (number <= holder->ask_number) return policy::SlotReason::kUnchanged;
  holder->ask_number = number;
  holder->wanted = std::max(ask.wanted, ask.in_flight);
  holder->urgent = std::min(ask.urgent, holder->wanted);
  holder->in_flight = ask.in_flight;
  if (book.ready && !holder->known) {
    holder->known = true;
    // Without a report, each silent node was assumed to have one call.
    const std::uint32_t own =
        book.report.has_value() ? ask.in_flight : std::max(ask.in_flight, 1U);
    book.unattributed_calls -= std::min(book.unattributed_calls, own);
  }
  std::erase_if(holder->grants, [&](const Grant& grant) {
    return grant.ask_number < ask.live_from;
  });
  holder->asked = now;
  if (ask.down) return Restart(book, book.slots.boot, now);
  if (ask.evidence.in_time > 0) book.sign_of_life = now;
  InheritTotal(book, *holder, ask, now);
  return ApplyEvidence(book, ask.evidence, now);
}

std::uint32_t GrantSlots(KeeperBook& book, const Sender& from, Time now) {
  Prune(book, now);
  Holder* holder = Find(book, from);
  if (holder == nullptr || !MayGrant(book)) return 0;
  const std::uint32_t others = GrantedSum(book) - Outstanding(*holder) +
                               CountUnattributedCalls(book, now);
  const std::uint32_t pool = PoolOf(book);
  const std::uint32_t left = pool > others ? pool - others : 0;
  const std::uint32_t slots =
      std::min(FindShare(AllocateSlots(book, now), *holder), left);
  if (slots > 0) holder->grants.push_back({holder->ask_number, slots});
  return slots;
}

policy::SlotReason TakeReport(KeeperBook& book,
                              const policy::EngineReport* report, Time now) {
  if (report == nullptr) {
    const bool lost = now - book.sign_of_life > kReportTimeout;
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
    book.unattributed_calls = std::min(book.unattributed_calls, running);
  } else if (CoversAllUnattributedCalls(book, *report, now)) {
    book.ready = true;
    book.unattributed_calls = running;
  }
  if (first && book.slots.boot == 0) {
    book.slots.boot = report->boot;
    return policy::SlotReason::kUnchanged;
  }
  return ApplyEvidence(book, {0, 0, 0, report->boot}, now);
}

std::vector<LeaseReduction> FindOverallocatedHolders(KeeperBook& book,
                                                     Time now) {
  Prune(book, now);
  std::vector<LeaseReduction> cuts;
  if (GrantedSum(book) <= PoolOf(book)) return cuts;
  const std::vector<Share> parts = AllocateSlots(book, now);
  for (const Holder& holder : book.holders) {
    const std::uint32_t part = FindShare(parts, holder);
    if (Outstanding(holder) <= part) continue;
    // At most the slots granted for the last request: the answer to it may have
    // been lost, and this one is applied in its place.
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
