// Slots of an endpoint shared out among nodes: what the keeper grants and what
// a holder may use. docs/design/slots.md argues why the sum stays within what
// the endpoint bears.
//
// Load: a zone starts cold under full load. Without leases each of N nodes
// learns its own limit, and together they start N times the work on an endpoint
// that bears two requests.
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

/// Slots granted in answer to one ask.
struct Grant {
  std::uint64_t ask_number = 0;
  std::uint32_t slots = 0;
};

/// A process that asked for slots. A restarted one is another holder: what its
/// predecessor was granted stays out until it lapses.
struct Holder {
  Sender process;
  std::uint64_t ask_number = 0;
  std::uint32_t wanted = 0;
  std::uint32_t urgent = 0;  ///< Of `wanted`: for work of the top tier.
  /// Calls that it last said to run. They go on when its lease lapses: a long
  /// answer takes longer than any lease.
  std::uint32_t in_flight = 0;
  Time asked{};
  bool claimed = false;  ///< Said what an earlier keeper's total was.
  bool known = false;    ///< Its calls are no strangers' any more.
  /// Any of them may be the one in use, until an ask shows otherwise. Time
  /// alone ends none: a call begun in a lease's last moment runs on after it.
  std::vector<Grant> grants;
  bool replaced = false;  ///< A newer process of the node has asked.
};

/// What the keeper of one endpoint keeps.
struct KeeperState {
  policy::SlotState slots;
  std::uint32_t floor_sum = 0;  ///< Of all nodes; never leased.
  std::vector<Holder> holders;
  std::uint32_t claimed = 0;  ///< Total of an earlier keeper, by the holders.
  Time opened{};
  Time resumed{};
  /// Calls of nodes that this keeper has not heard since it began: at first all
  /// that run, by the first report; each node's first ask takes its own off.
  std::uint32_t strangers = 0;
  Time take_over_until{};
  std::optional<policy::EngineReport> report;
  bool ready = false;  ///< Strangers are counted; slots may be granted.
  Time report_at{};
  Time sign_of_life{};  ///< Last report or answer in time.
  Time next_report{};
};

/// Starts the book of an endpoint: as cold, whatever it was.
void InitKeeperState(KeeperState& book, const rules::Endpoint& endpoint,
                     Time now);
/// Goes on with a book after a break in which nobody else kept the endpoint.
/// One without reports may have restarted unseen: it counts as cold.
void ResumeKeeperState(KeeperState& book, const rules::Endpoint& endpoint,
                       Time stopped, Time now);
/// A round of asks has passed on an endpoint without reports: each of the
/// `silent` nodes may have a call there.
void SuspectStrangers(KeeperState& book, std::uint32_t silent);

/// Takes over what a new version says the endpoint bears.
void ChangeBears(KeeperState& book, const rules::Endpoint& endpoint, Time now);

/// What may be leased now.
std::uint32_t LeasableSlots(const KeeperState& book);
/// Most that holders may be using now, beside their floors: what they were
/// granted or, if more, what they said to run.
std::uint32_t TotalOutstandingSlots(const KeeperState& book);

/// Takes an ask into account: its evidence, what it wants, what it held.
/// Returns why the endpoint's slots changed, if they did.
policy::SlotReason ApplyAsk(KeeperState& book, const Sender& from,
                            std::uint64_t number, const SlotAsk& ask, Time now);

/// Grants `from` its part of the pool, never more than is left beside what the
/// others may still use. O(holders log holders).
std::uint32_t GrantSlots(KeeperState& book, const Sender& from, Time now);

/// A report of the endpoint, or none. Returns why its slots changed.
policy::SlotReason ApplyReport(KeeperState& book,
                               const policy::EngineReport* report, Time now);

/// A holder that may use more than its part, and what it is told to keep.
struct Cut {
  Sender process;
  Grant keep;
};
/// Holders whose grants exceed their part by now, for instance because the
/// endpoint turned cold: they are told at once, before their leases lapse.
std::vector<Cut> HoldersToCut(KeeperState& book, Time now);

/// What a holder knows of its own slots at one endpoint.
struct HeldSlots {
  std::uint32_t floor = 0;   ///< Needs no lease.
  std::uint32_t leased = 0;  ///< Until `until`.
  Time until{};
  std::uint64_t ask_number = 0;  ///< That the lease answers.
  Time last_lease{};
  std::uint32_t total = 0;  ///< Of all nodes, by that lease.
  std::uint64_t boot = 0;   ///< Of the endpoint, as the keeper last reported.
  Time dropped{};           ///< Leases asked for before don't count.
  SlotDemand demand;
  bool down = false;  ///< Died or refused since the last ask.
  policy::SlotEvidence evidence;
  Time last_ask{};
  bool was_content = true;        ///< Had all it wanted when it asked last.
  std::string keeper;             ///< That granted the lease.
  std::uint32_t keeper_turn = 0;  ///< Of nodes asked while none answers.
};

/// Slots this node may fill now.
std::uint32_t UsableSlots(const HeldSlots& held, Time now);

/// Takes a lease that answers the ask sent at `asked`; the time it has runs
/// from there. Answers to earlier asks than the last one are ignored; of two
/// answers to one ask the smaller counts. Returns true when it counted.
bool ApplyLease(HeldSlots& held, const SlotLease& lease, Time asked, Time now);

/// The endpoint restarted under this node's work: nothing of the lease may be
/// used any more, nor of one that is under way.
void DropLease(HeldSlots& held, Time now);

/// True when it is time to ask: after `every`, sooner when work begins to wait.
bool AskIsDue(const HeldSlots& held, std::chrono::milliseconds every, Time now);

}  // namespace egretladder::fleet
