// Slot leases of an endpoint: what its keeper grants and what a holder may use.
// docs/design/slots.md shows why the sum stays within the endpoint's capacity.
//
// The critical case is a zone that starts cold under full load. Without leases
// each of N nodes learns its own limit, and together they start N times the
// work on an endpoint that can take two requests.
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "egretladder/fleet/limits.h"
#include "egretladder/fleet/messages.h"
#include "egretladder/kernel/time.h"
#include "egretladder/policy/scheduler.h"
#include "egretladder/policy/slots.h"
#include "egretladder/rules/rules.h"

namespace egretladder::fleet {

using kernel::Time;

/// Slots granted in answer to one request for slots (ask).
struct Grant {
  std::uint64_t ask_number = 0;
  std::uint32_t slots = 0;
};

/// A process that requested slots. A restarted process is another holder: the
/// slots granted to its predecessor stay in use until the lease lapses.
struct Holder {
  Sender process;
  std::uint64_t ask_number = 0;
  std::uint32_t wanted = 0;
  /// The part of `wanted` that is for work of the top tier.
  std::uint32_t urgent = 0;
  /// Calls in flight by the holder's last request. They continue when its lease
  /// lapses, since a long answer takes longer than any lease.
  std::uint32_t in_flight = 0;
  Time last_ask{};
  /// The holder has reported the total of an earlier keeper.
  bool has_claimed_total = false;
  bool is_counted = false;  ///< The holder's calls are no longer among
                            ///< `KeeperState::unattributed_calls`.
  /// Grants of which any may be the one in use, until a later request shows
  /// otherwise. A grant isn't removed when its time is over, because a call
  /// that began in the last moment of a lease continues after it.
  std::vector<Grant> grants;
  /// A newer process of the same node has requested slots.
  bool replaced = false;
};

/// State that the keeper of one endpoint holds.
struct KeeperState {
  policy::SlotState slots;
  /// Slots without a lease, of all nodes. They are never leased.
  std::uint32_t floor_sum = 0;
  std::vector<Holder> holders;
  /// The total of an earlier keeper as reported by the holders.
  std::uint32_t claimed_total = 0;
  Time kept_since{};
  Time resumed{};
  /// Calls of nodes from which this keeper has not heard since it began. It
  /// starts as the number of calls that the first report shows; the first
  /// request of each node subtracts that node's calls.
  std::uint32_t unattributed_calls = 0;
  Time takeover_deadline{};
  std::optional<policy::EngineReport> report;
  /// The unattributed calls are known, so slots may be granted.
  bool ready = false;
  Time report_at{};
  Time last_sign_of_life{};  ///< Time of the last report or timely answer.
  Time next_report{};
};

/// Initializes the keeper's state of an endpoint, which counts as cold whatever
/// its state was.
void InitKeeperState(KeeperState& keeper_state, const rules::Endpoint& endpoint,
                     Time now);
/// Resumes keeping after a break in which no other node kept the endpoint. An
/// endpoint without reports may have restarted unnoticed, so it counts as cold
/// after a break longer than `kReportTimeout`.
void ResumeKeeperState(KeeperState& keeper_state,
                       const rules::Endpoint& endpoint, Time stopped, Time now);
/// Called when a round of requests has passed on an endpoint without reports:
/// assumes that each of the `silent` nodes has one call there.
void AssumeUnattributedCalls(KeeperState& keeper_state, std::uint32_t silent);

/// Applies the endpoint's capacity from a new version of the rules.
void UpdateCapacity(KeeperState& keeper_state, const rules::Endpoint& endpoint,
                    Time now);

/// Returns the number of slots that may be leased in all.
std::uint32_t LeasableSlots(const KeeperState& keeper_state);
/// Returns the maximum number of slots that holders may be using now beyond
/// their lease-free ones: for each holder, its largest grant or, if greater,
/// its calls in flight.
std::uint32_t TotalOutstandingSlots(const KeeperState& keeper_state);

/// Applies a request for slots: its evidence, the demand, and the grants that
/// it ends. Returns why the endpoint's slots changed, if they did.
policy::SlotReason ApplyAsk(KeeperState& keeper_state, const Sender& from,
                            std::uint64_t number, const SlotAsk& ask, Time now);

/// Grants `from` its share of the leasable slots, never more than remain beside
/// what the others may still use. Returns the number of slots granted.
/// O(holders log holders).
std::uint32_t GrantSlots(KeeperState& keeper_state, const Sender& from,
                         Time now);

/// Applies a report of the endpoint; null if it could not be read. Returns why
/// the endpoint's slots changed, if they did.
policy::SlotReason ApplyReport(KeeperState& keeper_state,
                               const policy::EngineReport* report, Time now);

/// A holder that may use more than its share, and the grant that it keeps.
struct LeaseReduction {
  Sender process;
  Grant keep;
};
/// Returns the holders whose grants exceed their share, for instance because
/// the endpoint turned cold. They are told at once, before their leases lapse.
std::vector<LeaseReduction> FindOverallocatedHolders(KeeperState& keeper_state,
                                                     Time now);

/// State of a holder's own slots at one endpoint.
struct HeldSlots {
  std::uint32_t floor = 0;   ///< Slots that need no lease.
  std::uint32_t leased = 0;  ///< Slots leased until `until`.
  Time until{};
  /// Number of the request that the lease answers.
  std::uint64_t ask_number = 0;
  Time last_lease{};
  /// Slots of the endpoint over all nodes, according to that lease.
  std::uint32_t total = 0;
  /// Boot of the endpoint that the keeper last reported.
  std::uint64_t boot = 0;
  Time dropped{};  ///< Leases requested before this time are ignored.
  SlotDemand demand;
  bool down = false;  ///< The endpoint died or refused connections since the
                      ///< last request.
  policy::SlotEvidence evidence;
  Time last_ask{};
  /// The last request was sent while there were enough slots.
  bool had_enough_slots = true;
  std::string keeper;  ///< Node that granted the lease.
  /// Counter that selects the next voter to ask while none answers.
  std::uint32_t next_voter = 0;
};

/// Returns the number of slots that this node may use now.
std::uint32_t UsableSlots(const HeldSlots& held, Time now);

/// Applies a lease that answers the request sent at `asked`; its duration
/// counts from that time. Answers to requests before the last answered one are
/// ignored; of two answers to the same request the smaller counts. Returns true
/// if the lease was applied.
bool ApplyLease(HeldSlots& held, const SlotLease& lease, Time asked, Time now);

/// Drops the lease because the endpoint restarted while this node used it.
/// Answers that are still under way are ignored as well.
void DropLease(HeldSlots& held, Time now);

/// Returns true if a request for slots is due: after `interval`, or sooner if
/// work has begun to wait.
bool AskIsDue(const HeldSlots& held, std::chrono::milliseconds interval,
              Time now);

}  // namespace egretladder::fleet
