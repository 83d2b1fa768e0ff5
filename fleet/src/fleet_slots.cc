// Endpoints as this node uses them: available or not, slots, asks for leases.
#include <algorithm>

#include "fleet_state_p.h"

namespace egretladder::fleet {
namespace {

bool HasReports(const rules::Rules& rules, const rules::Endpoint& endpoint) {
  return std::any_of(endpoint.serves.begin(), endpoint.serves.end(),
                     [&](rules::TargetHandle target) {
                       return rules.targets[target.idx].kind ==
                              rules::TargetKind::kModel;
                     });
}

bool IsLeavingVm(const FleetState& state, const std::string& name, Time now) {
  const auto found = state.leaving_vms.find(name);
  return found != state.leaving_vms.end() &&
         now - found->second < kVmNoticeKept;
}

bool IsAvailable(const FleetState& state, std::uint32_t idx, Time now) {
  const rules::Endpoint& row = state.config.rules->endpoints[idx];
  return state.endpoints[idx].used && !state.members.replaced &&
         TakesWork(*state.config.rules, row) &&
         !IsLeavingVm(state, row.source.name, now);
}

/// Places models anew when an endpoint began or ceased to take work.
void UpdatePlacement(FleetState& state, Time now) {
  const rules::Rules& rules = *state.config.rules;
  std::vector<bool> takes_work(rules.endpoints.size());
  for (std::uint32_t i = 0; i < rules.endpoints.size(); ++i) {
    const rules::Endpoint& row = rules.endpoints[i];
    takes_work[i] =
        TakesWork(rules, row) && !IsLeavingVm(state, row.source.name, now);
  }
  if (takes_work == state.takes_work) return;
  state.takes_work = std::move(takes_work);
  state.orders.placement = PlaceModels(rules, state.takes_work);
}

void ApplyEndpoint(FleetState& state, std::uint32_t idx) {
  const rules::Rules& rules = *state.config.rules;
  EndpointState& endpoint = state.endpoints[idx];
  const std::string& self = state.members.self.node;
  endpoint.voters.clear();
  endpoint.held.floor = 0;
  endpoint.has_reports = false;
  if (rules.endpoints[idx].source.present) {
    endpoint.has_reports = HasReports(rules, rules.endpoints[idx]);
    for (const rules::NodeHandle voter : VotersOf(rules, {idx})) {
      endpoint.voters.push_back(rules.nodes[voter.idx].source.name);
    }
    endpoint.held.floor = NodeFloorSlots(rules, {idx}, self);
  }
  const auto found =
      std::find(endpoint.voters.begin(), endpoint.voters.end(), self);
  endpoint.rank = static_cast<std::size_t>(found - endpoint.voters.begin());
}

/// Nodes to ask for slots: the one that answered last. Without an answer, the
/// first that seems there and, in turn, each other one, since this node's view
/// of who is there may be wrong. Only a node that keeps the endpoint answers.
std::vector<std::string> KeepersToAsk(const FleetState& state,
                                      EndpointState& endpoint, Time now) {
  HeldSlots& held = endpoint.held;
  if (!held.keeper.empty() && now - held.last_lease < kAskPatience) {
    return {held.keeper};
  }
  if (endpoint.voters.empty()) return {};
  const auto is_there = [&](const std::string& voter) {
    if (voter == state.members.self.node) return !state.leaving;
    const auto found = state.members.peers.find(voter);
    return found != state.members.peers.end() &&
           GetMemberState(found->second, now) == MemberState::kAlive;
  };
  auto first =
      std::find_if(endpoint.voters.begin(), endpoint.voters.end(), is_there);
  if (first == endpoint.voters.end()) first = endpoint.voters.begin();
  const std::string& other =
      endpoint.voters[held.keeper_turn++ % endpoint.voters.size()];
  if (other == *first) return {other};
  return {*first, other};
}

/// The first ask whose answer could still be taken; see `TakeLease`.
std::uint64_t LiveFrom(const FleetState& state, const HeldSlots& held,
                       Time now) {
  std::uint64_t first = state.asks;
  for (const auto& [number, sent] : state.asks_sent) {
    if (now - sent >= kLeaseDuration - kPauseThreshold) continue;
    first = number;
    break;
  }
  return std::max(first, held.ask_number);
}

std::uint32_t BeyondFloor(const HeldSlots& held, std::uint32_t slots) {
  return slots - std::min(slots, held.floor);
}

SlotAsk MakeAsk(FleetState& state, EndpointHandle handle, Time now) {
  HeldSlots& held = state.endpoints[handle.idx].held;
  SlotAsk ask;
  ask.endpoint = RowOf(state, handle).source.name;
  ask.in_flight = BeyondFloor(held, held.demand.in_flight);
  ask.wanted = BeyondFloor(held, held.demand.wanted);
  ask.urgent = BeyondFloor(held, held.demand.urgent);
  ask.total = held.total;
  ask.total_boot = held.boot;
  ask.live_from = LiveFrom(state, held, now);
  ask.down = held.down;
  ask.evidence = held.evidence;
  held.evidence = {};
  held.down = false;
  held.last_ask = now;
  held.was_content = held.demand.wanted <= UsableSlots(held, now);
  return ask;
}

using Asks = std::vector<std::pair<EndpointHandle, SlotAsk>>;

void AskSelf(FleetState& state, std::uint64_t number, const Asks& asks,
             Time now, Actions& out) {
  const Sender self{state.members.self.node, state.members.self.incarnation};
  SlotLeases leases;
  for (const auto& [endpoint, ask] : asks) {
    if (!state.endpoints[endpoint.idx].book.has_value()) continue;
    leases.leases.push_back(AnswerAsk(state, endpoint, self, number, ask, now));
  }
  TakeLeases(state, self.node, leases, now, out);
}

void SendAsks(FleetState& state, const std::string& keeper, const Asks& asks,
              Time now, Actions& out) {
  const std::uint64_t number = ++state.asks;
  state.asks_sent[number] = now;
  if (keeper == state.members.self.node) {
    AskSelf(state, number, asks, now, out);
    return;
  }
  SlotAsks message;
  message.number = number;
  for (const auto& [endpoint, ask] : asks) message.asks.push_back(ask);
  out.emplace_back(SendMessage{AddressOf(state, keeper), std::move(message)});
}

}  // namespace

void ApplyRules(FleetState& state, Time now) {
  const rules::Rules& rules = *state.config.rules;
  state.members.nodes_digest = NodesDigest(rules);
  state.takes_work.clear();
  state.endpoints.resize(rules.endpoints.size());
  const auto used =
      EndpointsUsedBy(rules, state.members.self.node, state.members.self.zone);
  for (std::uint32_t i = 0; i < rules.endpoints.size(); ++i) {
    state.endpoints[i].used = used[i];
    ApplyEndpoint(state, i);
    KeeperState* book = state.endpoints[i].book.has_value()
                            ? &*state.endpoints[i].book
                            : nullptr;
    if (book != nullptr) ChangeBears(*book, rules.endpoints[i], now);
  }
  SetPublished(state.members, rules, now);
}

void Announce(FleetState& state, EndpointHandle handle,
              policy::SlotReason reason, Time now, Actions& out) {
  EndpointState& endpoint = state.endpoints[handle.idx];
  const std::uint32_t slots =
      endpoint.available ? UsableSlots(endpoint.held, now) : 0;
  if (slots == endpoint.announced) return;
  endpoint.announced = slots;
  out.emplace_back(SlotsChanged{handle, slots, reason});
}

void AnnounceEndpoints(FleetState& state, Time now, Actions& out) {
  UpdatePlacement(state, now);
  for (std::uint32_t i = 0; i < state.endpoints.size(); ++i) {
    EndpointState& endpoint = state.endpoints[i];
    const bool available = IsAvailable(state, i, now);
    const bool changed = available != endpoint.available;
    endpoint.available = available;
    Announce(state, {i}, policy::SlotReason::kUnchanged, now, out);
    if (changed) out.emplace_back(AvailabilityChanged{{i}, available});
  }
}

void AskForSlots(FleetState& state, Time now, Actions& out) {
  std::map<std::string, Asks> by_keeper;
  const auto every =
      state.endpoints.size() <= kFewEndpoints ? kAskEvery : kAskEveryOfMany;
  for (std::uint32_t i = 0; i < state.endpoints.size(); ++i) {
    EndpointState& endpoint = state.endpoints[i];
    if (!endpoint.available || !AskIsDue(endpoint.held, every, now)) continue;
    const auto keepers = KeepersToAsk(state, endpoint, now);
    if (keepers.empty()) continue;
    const SlotAsk ask = MakeAsk(state, {i}, now);
    for (const std::string& keeper : keepers) {
      by_keeper[keeper].emplace_back(EndpointHandle{i}, ask);
    }
  }
  for (const auto& [keeper, asks] : by_keeper) {
    SendAsks(state, keeper, asks, now, out);
  }
  std::erase_if(state.asks_sent, [&](const auto& entry) {
    return now - entry.second >= kLeaseDuration;
  });
}

void TakeLeases(FleetState& state, const std::string& keeper,
                const SlotLeases& leases, Time now, Actions& out) {
  for (const SlotLease& lease : leases.leases) {
    const EndpointHandle handle =
        FindEndpoint(*state.config.rules, lease.endpoint);
    const auto asked = state.asks_sent.find(lease.ask_number);
    if (!IsValid(handle) || asked == state.asks_sent.end()) continue;
    EndpointState& endpoint = state.endpoints[handle.idx];
    if (!ApplyLease(endpoint.held, lease, asked->second, now)) continue;
    endpoint.held.keeper = keeper;
    Announce(state, handle, policy::SlotReason::kUnchanged, now, out);
    if (lease.boot == 0) continue;
    policy::EngineReport report;
    report.age = lease.report_age;
    report.boot = lease.boot;
    report.running = lease.running;
    report.waiting = lease.waiting;
    report.cache_used = lease.cache_used_per_mille / 1000.0;
    for (const std::string& name : lease.loaded) {
      const rules::TargetHandle target = FindTarget(*state.config.rules, name);
      if (IsValid(target)) report.loaded.push_back(target);
    }
    endpoint.report = report;
    endpoint.report_at = now - report.age;
    if (!endpoint.book.has_value())
      out.emplace_back(ReportReceived{handle, report});
  }
}

void OnEvidence(FleetState& state, EndpointHandle handle,
                const policy::SlotEvidence& evidence, const SlotDemand& demand,
                Time now) {
  if (handle.idx >= state.endpoints.size()) return;
  HeldSlots& held = state.endpoints[handle.idx].held;
  held.demand = demand;
  held.evidence.in_time += evidence.in_time;
  held.evidence.late += evidence.late;
  held.evidence.failed += evidence.failed;
  if (evidence.boot == 0) return;
  held.evidence.boot = evidence.boot;
  // An answer of another boot than the keeper knew when it leased: the lease
  // was for a warm endpoint that is gone.
  if (held.boot != 0 && held.boot != evidence.boot) DropLease(held, now);
}

void OnEndpointDied(FleetState& state, EndpointHandle handle,
                    const std::vector<std::uint64_t>& running, Time now,
                    Actions& out) {
  const auto quarantined = policy::OnEndpointDied(state.poison, running, now);
  for (const policy::QuarantineNotice& body : quarantined) {
    out.emplace_back(QuarantineAdded{body.fingerprint, body.left});
  }
  if (handle.idx < state.endpoints.size()) {
    HeldSlots& held = state.endpoints[handle.idx].held;
    DropLease(held, now);
    held.down = true;
    Announce(state, handle, policy::SlotReason::kStarted, now, out);
  }
  // Told at once: the caller sends the body again within seconds, perhaps to
  // another node, and a third endpoint would die.
  if (!running.empty()) TellSome(state, now, out);
}

}  // namespace egretladder::fleet
