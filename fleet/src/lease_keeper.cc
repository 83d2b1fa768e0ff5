#include <algorithm>
#include <limits>
#include <string>
#include <utility>

#include "egretladder/fleet/electorate.h"
#include "egretladder/fleet/lease.h"
#include "egretladder/kernel/hash.h"

namespace egretladder::fleet {
namespace {

bool IsSameProcess(const Sender& left, const Sender& right) {
  return left.node == right.node && left.incarnation == right.incarnation;
}

Holder* Find(KeeperState& keeper_state, const Sender& process) {
  const auto found = std::find_if(
      keeper_state.holders.begin(), keeper_state.holders.end(),
      [&](const Holder& h) { return IsSameProcess(h.process, process); });
  return found == keeper_state.holders.end() ? nullptr : &*found;
}

std::uint32_t Outstanding(const Holder& holder) {
  std::uint32_t most = holder.in_flight;
  for (const Grant& grant : holder.grants) most = std::max(most, grant.slots);
  return most;
}

bool IsActiveHolder(const Holder& holder, Time now) {
  return now - holder.last_ask <= kHolderSilenceTimeout;
}

/// Returns how long the calls of a silent holder count. A report shows them
/// within seconds. Without a report, or while the endpoint's capacity is too
/// small to risk an error, they count for as long as an ordinary answer may
/// take.
std::chrono::milliseconds SilentCallsKept(const KeeperState& keeper_state) {
  const bool warm =
      keeper_state.slots.slots > keeper_state.slots.cold_max_in_flight;
  return warm && keeper_state.report.has_value()
             ? kMaxReportAge
             : std::chrono::milliseconds(kSilentCallRetention);
}

/// Removes holders that have been silent for longer than both a lease and the
/// calls begun under it may last.
void PruneHolders(KeeperState& keeper_state, Time now) {
  const auto kept = std::max(SilentCallsKept(keeper_state), kLeaseDuration);
  std::erase_if(keeper_state.holders, [&](const Holder& holder) {
    return now - holder.last_ask >= (holder.replaced ? kLeaseDuration : kept);
  });
}

/// Returns the number of calls at the endpoint that no holder accounts for.
std::uint32_t CountUnattributedCalls(const KeeperState& keeper_state,
                                     Time now) {
  if (now - keeper_state.kept_since >= SilentCallsKept(keeper_state)) return 0;
  if (keeper_state.report.has_value()) return keeper_state.unattributed_calls;
  // One slot stays usable: its answers let the limit grow, while the endpoint
  // would be idle for as long as unattributed calls count otherwise.
  return std::min(keeper_state.unattributed_calls,
                  keeper_state.slots.cold_max_in_flight - 1);
}

/// Returns true if the report was made late enough to show all calls that a
/// former keeper's leases admitted. One made before the last of these leases
/// lapsed may miss some.
bool CoversAllUnattributedCalls(const KeeperState& keeper_state,
                                const policy::EngineReport& report, Time now) {
  return now - report.age >= keeper_state.kept_since - kMaxInitialReportLead;
}

/// Resets the calls in flight of silent holders after a new boot, which ended
/// everything that ran before. (A death that a node reports doesn't prove a new
/// boot, since a process that was paused notices it long after.) Active holders
/// report their own calls and may already have new ones; the silent ones can't.
void ClearSilentCalls(KeeperState& keeper_state, Time now) {
  for (Holder& holder : keeper_state.holders) {
    if (!IsActiveHolder(holder, now)) holder.in_flight = 0;
  }
}

/// Returns true if the keeper knows what runs at the endpoint and whether it
/// has restarted. It must find out first when it begins or resumes after a
/// break.
bool CanGrant(const KeeperState& keeper_state) {
  return keeper_state.ready && (!keeper_state.report.has_value() ||
                                keeper_state.report_at >= keeper_state.resumed);
}

/// Marks the holders of a node's older processes as replaced, because a newer
/// one has requested slots and the calls of its predecessors are gone.
void MarkReplacedHolders(KeeperState& keeper_state, const Sender& newer) {
  for (Holder& holder : keeper_state.holders) {
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
std::vector<Share> DrawLots(const KeeperState& keeper_state, Time now) {
  const auto draw =
      static_cast<std::uint64_t>(now.time_since_epoch() / kLotteryInterval);
  std::vector<Share> parts;
  for (const Holder& holder : keeper_state.holders) {
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
std::vector<Share> AllocateSlots(const KeeperState& keeper_state, Time now) {
  std::vector<Share> parts = DrawLots(keeper_state, now);
  std::uint32_t left =
      DistributeUpTo(parts, UrgentLimit, LeasableSlots(keeper_state));
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
void InheritTotal(KeeperState& keeper_state, Holder& holder, const SlotAsk& ask,
                  Time now) {
  if (!keeper_state.ready || holder.has_claimed_total) return;
  holder.has_claimed_total = true;
  const bool same_boot = keeper_state.report.has_value() &&
                         ask.total_boot != 0 &&
                         keeper_state.report->boot == ask.total_boot &&
                         keeper_state.slots.boot == ask.total_boot;
  if (!same_boot || ask.total == 0 || now >= keeper_state.takeover_deadline)
    return;
  if (keeper_state.claimed_total != 0 &&
      ask.total >= keeper_state.claimed_total)
    return;
  keeper_state.claimed_total = ask.total;
  keeper_state.slots.slots =
      std::clamp(ask.total, keeper_state.slots.cold_max_in_flight,
                 keeper_state.slots.max_in_flight);
  keeper_state.slots.since = now;
}

policy::SlotReason Restart(KeeperState& keeper_state, std::uint64_t boot,
                           Time now) {
  keeper_state.takeover_deadline = now;
  return policy::StartSlots(keeper_state.slots,
                            keeper_state.slots.cold_max_in_flight,
                            keeper_state.slots.max_in_flight, boot, now);
}

/// Applies evidence about the endpoint. A new boot ends the calls that ran
/// before it.
policy::SlotReason ApplyEvidence(KeeperState& keeper_state,
                                 const policy::SlotEvidence& evidence,
                                 Time now) {
  const std::uint64_t boot = keeper_state.slots.boot;
  const auto reason = policy::OnEvidence(keeper_state.slots, evidence, now);
  if (boot != 0 && keeper_state.slots.boot != boot) {
    ClearSilentCalls(keeper_state, now);
  }
  return reason;
}

}  // namespace

void InitKeeperState(KeeperState& keeper_state, const rules::Endpoint& endpoint,
                     Time now) {
  keeper_state = {};
  keeper_state.floor_sum = TotalFloorSlots(endpoint);
  keeper_state.kept_since = now;
  keeper_state.last_sign_of_life = now;
  keeper_state.takeover_deadline = now + kLeaseDuration;
  policy::StartSlots(keeper_state.slots, endpoint.cold_max_in_flight,
                     endpoint.max_in_flight, 0, now);
}

void ResumeKeeperState(KeeperState& keeper_state,
                       const rules::Endpoint& endpoint, Time stopped,
                       Time now) {
  UpdateCapacity(keeper_state, endpoint, now);
  keeper_state.resumed = now;
  const bool unseen =
      now - stopped > kReportTimeout && !keeper_state.report.has_value();
  if (unseen) Restart(keeper_state, keeper_state.slots.boot, now);
}

void AssumeUnattributedCalls(KeeperState& keeper_state, std::uint32_t silent) {
  keeper_state.ready = true;
  keeper_state.unattributed_calls = silent;
  for (Holder& holder : keeper_state.holders) holder.is_counted = true;
}

void UpdateCapacity(KeeperState& keeper_state, const rules::Endpoint& endpoint,
                    Time now) {
  policy::SlotState& slots = keeper_state.slots;
  keeper_state.floor_sum = TotalFloorSlots(endpoint);
  if (slots.max_in_flight == endpoint.max_in_flight &&
      slots.cold_max_in_flight == endpoint.cold_max_in_flight) {
    return;
  }
  const std::uint32_t before = slots.slots;
  policy::StartSlots(slots, endpoint.cold_max_in_flight, endpoint.max_in_flight,
                     slots.boot, now);
  slots.slots = std::clamp(before, 1U, slots.max_in_flight);
}

std::uint32_t LeasableSlots(const KeeperState& keeper_state) {
  return keeper_state.slots.slots > keeper_state.floor_sum
             ? keeper_state.slots.slots - keeper_state.floor_sum
             : 0;
}

std::uint32_t TotalOutstandingSlots(const KeeperState& keeper_state) {
  std::uint32_t sum = 0;
  for (const Holder& holder : keeper_state.holders) sum += Outstanding(holder);
  return sum;
}

policy::SlotReason ApplyAsk(KeeperState& keeper_state, const Sender& from,
                            std::uint64_t number, const SlotAsk& ask,
                            Time now) {
  PruneHolders(keeper_state, now);
  Holder* holder = Find(keeper_state, from);
  if (holder == nullptr) {
    holder = &keeper_state.holders.emplace_back();
    holder->process = from;
    MarkReplacedHolders(keeper_state, from);
  }
  // The evidence of a duplicated or reordered request must not count twice.
  if (number <= holder->ask_number) return policy::SlotReason::kUnchanged;
  holder->ask_number = number;
  holder->wanted = std::max(ask.wanted, ask.in_flight);
  holder->urgent = std::min(ask.urgent, holder->wanted);
  holder->in_flight = ask.in_flight;
  if (keeper_state.ready && !holder->is_counted) {
    holder->is_counted = true;
    // Without a report, each silent node was assumed to have one call.
    const std::uint32_t own = keeper_state.report.has_value()
                                  ? ask.in_flight
                                  : std::max(ask.in_flight, 1U);
    keeper_state.unattributed_calls -=
        std::min(keeper_state.unattributed_calls, own);
  }
  std::erase_if(holder->grants, [&](const Grant& grant) {
    return grant.ask_number < ask.live_from;
  });
  holder->last_ask = now;
  if (ask.down) return Restart(keeper_state, keeper_state.slots.boot, now);
  if (ask.evidence.in_time > 0) keeper_state.last_sign_of_life = now;
  InheritTotal(keeper_state, *holder, ask, now);
  return ApplyEvidence(keeper_state, ask.evidence, now);
}

std::uint32_t GrantSlots(KeeperState& keeper_state, const Sender& from,
                         Time now) {
  PruneHolders(keeper_state, now);
  Holder* holder = Find(keeper_state, from);
  if (holder == nullptr || !CanGrant(keeper_state)) return 0;
  const std::uint32_t others = TotalOutstandingSlots(keeper_state) -
                               Outstanding(*holder) +
                               CountUnattributedCalls(keeper_state, now);
  const std::uint32_t pool = LeasableSlots(keeper_state);
  const std::uint32_t left = pool > others ? pool - others : 0;
  const std::uint32_t slots =
      std::min(FindShare(AllocateSlots(keeper_state, now), *holder), left);
  if (slots > 0) holder->grants.push_back({holder->ask_number, slots});
  return slots;
}

policy::SlotReason ApplyReport(KeeperState& keeper_state,
                               const policy::EngineReport* report, Time now) {
  if (report == nullptr) {
    const bool lost = now - keeper_state.last_sign_of_life > kReportTimeout;
    if (!lost ||
        keeper_state.slots.slots <= keeper_state.slots.cold_max_in_flight) {
      return policy::SlotReason::kUnchanged;
    }
    return Restart(keeper_state, keeper_state.slots.boot, now);
  }
  const bool first = !keeper_state.report.has_value();
  keeper_state.report = *report;
  keeper_state.report_at = now;
  keeper_state.last_sign_of_life = now;
  const std::uint32_t running = report->running + report->waiting;
  if (keeper_state.ready) {
    keeper_state.unattributed_calls =
        std::min(keeper_state.unattributed_calls, running);
  } else if (CoversAllUnattributedCalls(keeper_state, *report, now)) {
    keeper_state.ready = true;
    keeper_state.unattributed_calls = running;
  }
  if (first && keeper_state.slots.boot == 0) {
    keeper_state.slots.boot = report->boot;
    return policy::SlotReason::kUnchanged;
  }
  return ApplyEvidence(keeper_state, {0, 0, 0, report->boot}, now);
}

std::vector<LeaseReduction> FindOverallocatedHolders(KeeperState& keeper_state,
                                                     Time now) {
  PruneHolders(keeper_state, now);
  std::vector<LeaseReduction> cuts;
  if (TotalOutstandingSlots(keeper_state) <= LeasableSlots(keeper_state))
    return cuts;
  const std::vector<Share> parts = AllocateSlots(keeper_state, now);
  for (const Holder& holder : keeper_state.holders) {
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
