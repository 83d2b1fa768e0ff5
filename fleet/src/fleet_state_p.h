// The complete state of the fleet and the functions that its source files
// share.
#pragma once

#include <deque>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "egretladder/fleet/config.h"
#include "egretladder/fleet/electorate.h"
#include "egretladder/fleet/fleet.h"
#include "egretladder/fleet/lease.h"
#include "egretladder/fleet/membership.h"
#include "egretladder/fleet/orders.h"

namespace egretladder::fleet {

/// State of one endpoint, for this node as a holder and possibly as its keeper.
/// Indexed by handle.
struct EndpointState {
  bool used = false;
  bool available = false;
  /// The endpoint is an engine; plain services have no reports.
  bool has_reports = false;
  std::uint32_t announced = 0;
  /// Names of the voters in order of preference.
  std::vector<std::string> voters;
  /// Index of this node in `voters`; `voters.size()` if it is not one.
  std::size_t rank = 0;
  HeldSlots held;
  std::optional<KeeperState>
      keeper_state;  ///< Set while this node keeps the endpoint.
  std::optional<KeeperState>
      former_keeper_state;  ///< Keeper state of the previous period in
                            ///< which this node kept the endpoint.
  Time stopped{};
  /// The last report that reached this node.
  std::optional<policy::EngineReport> report;
  Time report_at{};
};

/// Tells whether this process may act on its knowledge.
struct Freshness {
  Time last_tick{};
  /// The process was paused and has heard nothing since.
  bool is_resuming = false;
  Time resumed_at{};
};

struct FleetState {
  FleetOptions options;
  kernel::Random random;
  MembershipState members;
  ConfigState config;
  ReadSchedule vm_list;
  /// VMs that the VM list shows as leaving, with the time when that list was
  /// read.
  std::map<std::string, Time, std::less<>> leaving_vms;
  policy::PoisonState poison;
  std::vector<EndpointState> endpoints;
  /// Input of the placement, from the rules and the VM list.
  std::vector<bool> takes_work;
  OrdersState orders;
  std::uint64_t asks = 0;
  std::map<std::uint64_t, Time> asks_sent;
  Time next_round{};
  Freshness fresh;
  bool leaving = false;
};

// fleet_gossip.cc
void StartGossipRound(FleetState& state, Time now, Actions& out);
void GossipToRandomPeers(FleetState& state, Time now, Actions& out);
void GossipToVoters(FleetState& state, Time now, Actions& out);
void HandleGossip(FleetState& state, const Sender& from, const Gossip& gossip,
                  Time now, Actions& out);
const std::string& FindPeerAddress(const FleetState& state,
                                   std::string_view node);
/// Returns the endpoint's entry in the rules in force, which must exist.
inline const rules::Endpoint& GetEndpointRules(const FleetState& state,
                                               EndpointHandle endpoint) {
  return state.config.rules->endpoints[endpoint.idx];
}

// fleet_rules.cc
void ApplyRulesText(FleetState& state, const std::string& text,
                    std::string_view source, Time now, Actions& out);
void ReadPlatform(FleetState& state, Time now, Actions& out);
void ReleaseHeldBack(FleetState& state, Time now, Actions& out);
ReadPace GetReadPace(const FleetState& state, Time now);
std::uint64_t GetRulesVersion(const FleetState& state);

// fleet_slots.cc
void ApplyRules(FleetState& state, Time now);
void AnnounceEndpoints(FleetState& state, Time now, Actions& out);
void Announce(FleetState& state, EndpointHandle endpoint,
              policy::SlotReason reason, Time now, Actions& out);
void AskForSlots(FleetState& state, Time now, Actions& out);
void ApplyLeases(FleetState& state, const std::string& keeper,
                 const SlotLeases& leases, Time now, Actions& out);

// fleet_keeper.cc
void UpdateKeeping(FleetState& state, Time now, Actions& out);
void HandleAsks(FleetState& state, const Sender& from, const SlotAsks& asks,
                Time now, Actions& out);
SlotLease AnswerAsk(FleetState& state, EndpointHandle endpoint,
                    const Sender& from, std::uint64_t number,
                    const SlotAsk& ask, Time now);
void ReduceLeases(FleetState& state, EndpointHandle endpoint, Time now,
                  Actions& out);
void LogSlots(const FleetState& state, EndpointHandle endpoint,
              policy::SlotReason reason);

}  // namespace egretladder::fleet
