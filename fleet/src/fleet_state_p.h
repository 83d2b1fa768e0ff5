// The fleet's whole state and the steps between its parts.
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

/// One endpoint, as holder and perhaps as keeper. Indexed by handle.
struct EndpointState {
  bool used = false;
  bool available = false;
  bool has_reports = false;  ///< An engine; plain services have none.
  std::uint32_t announced = 0;
  std::vector<std::string> voters;  ///< First choice first.
  std::size_t rank = 0;             ///< Of this node; voters.size(): none.
  HeldSlots held;
  std::optional<KeeperState> book;    ///< While this node keeps the endpoint.
  std::optional<KeeperState> former;  ///< Of the last time it did.
  Time stopped{};
  std::optional<policy::EngineReport> report;  ///< Last one seen.
  Time report_at{};
};

/// Whether this process may act on what it knows.
struct Freshness {
  Time last_tick{};
  bool woke = false;  ///< Paused, and nothing heard since.
  Time woke_at{};
};

struct FleetState {
  FleetOptions options;
  kernel::Random random;
  MembershipState members;
  ConfigState config;
  ReadPlan vm_list;
  /// Endpoints shown as leaving, with when the list that said so was read.
  std::map<std::string, Time, std::less<>> leaving_vms;
  policy::PoisonState poison;
  std::vector<EndpointState> endpoints;
  std::vector<bool> takes_work;  ///< By rules and VM list; for placement.
  OrdersState orders;
  std::uint64_t asks = 0;
  std::map<std::uint64_t, Time> asks_sent;
  Time next_round{};
  Freshness fresh;
  bool leaving = false;
};

// fleet_gossip.cc
void StartRound(FleetState& state, Time now, Actions& out);
void TellSome(FleetState& state, Time now, Actions& out);
void TellAll(FleetState& state, Time now, Actions& out);
void TakeGossip(FleetState& state, const Sender& from, const Gossip& gossip,
                Time now, Actions& out);
const std::string& AddressOf(const FleetState& state, std::string_view node);
/// The endpoint's line in the rules in force, which there must be.
inline const rules::Endpoint& RowOf(const FleetState& state,
                                    EndpointHandle endpoint) {
  return state.config.rules->endpoints[endpoint.idx];
}

// fleet_rules.cc
void TakeText(FleetState& state, const std::string& text,
              std::string_view source, Time now, Actions& out);
void ReadPlatform(FleetState& state, Time now, Actions& out);
void ReleaseHeldBack(FleetState& state, Time now, Actions& out);
ReadPace PaceOf(const FleetState& state, Time now);
std::uint64_t VersionOf(const FleetState& state);

// fleet_slots.cc
void ApplyRules(FleetState& state, Time now);
void AnnounceEndpoints(FleetState& state, Time now, Actions& out);
void Announce(FleetState& state, EndpointHandle endpoint,
              policy::SlotReason reason, Time now, Actions& out);
void AskForSlots(FleetState& state, Time now, Actions& out);
void TakeLeases(FleetState& state, const std::string& keeper,
                const SlotLeases& leases, Time now, Actions& out);

// fleet_keeper.cc
void UpdateKeeping(FleetState& state, Time now, Actions& out);
void TakeAsks(FleetState& state, const Sender& from, const SlotAsks& asks,
              Time now, Actions& out);
SlotLease AnswerAsk(FleetState& state, EndpointHandle endpoint,
                    const Sender& from, std::uint64_t number,
                    const SlotAsk& ask, Time now);
void CutHolders(FleetState& state, EndpointHandle endpoint, Time now,
                Actions& out);
void LogSlots(const FleetState& state, EndpointHandle endpoint,
              policy::SlotReason reason);

}  // namespace egretladder::fleet
