// What this node tells the fleet of its endpoints: answers in time or late, and
// how many slots it could use.
#include <algorithm>

#include "state_p.h"

namespace egretladder::node {
namespace {

/// Calls that wait at this node count at each endpoint as if they were spread
/// evenly over those that serve their target. Asking each endpoint for all of
/// them would make every node look starved, and a keeper could not tell a burst
/// from a trickle.
struct Servers {
  std::vector<std::uint32_t> available;  ///< By target.
};

Servers CountServers(const NodeState& state, const rules::Rules& rules) {
  Servers servers;
  servers.available.resize(rules.targets.size());
  for (std::uint32_t i = 0; i < state.endpoints.size(); ++i) {
    if (!state.endpoints[i].available) continue;
    for (const auto target : rules.endpoints[i].serves) {
      ++servers.available[target.idx];
    }
  }
  return servers;
}

std::uint32_t EvenPart(std::uint32_t calls, std::uint32_t servers) {
  return (calls + servers - 1) / servers;
}

fleet::SlotDemand DemandAt(const NodeState& state, const rules::Rules& rules,
                           const Servers& servers, std::uint32_t idx,
                           Time now) {
  const EndpointNote& note = state.endpoints[idx];
  fleet::SlotDemand demand;
  demand.in_flight = note.in_flight;
  if (!note.available) return demand;
  demand.wanted = note.in_flight;
  demand.urgent = note.urgent_in_flight;
  bool in_use = false;
  for (const auto target : rules.endpoints[idx].serves) {
    const TargetNote& target_note = state.targets[target.idx];
    const std::uint32_t among = std::max(servers.available[target.idx], 1U);
    demand.wanted += EvenPart(target_note.waiting, among);
    demand.urgent += EvenPart(target_note.urgent_waiting, among);
    in_use |= target_note.called && now - target_note.last_call < kTargetInUse;
  }
  if (in_use) ++demand.wanted;
  const std::uint32_t most = rules.endpoints[idx].max_in_flight;
  demand.wanted = std::min(demand.wanted, most);
  demand.urgent = std::min(demand.urgent, most);
  return demand;
}

bool IsEmpty(const policy::SlotEvidence& evidence) {
  return evidence.in_time == 0 && evidence.late == 0 && evidence.failed == 0;
}

}  // namespace

void NoteFirstToken(NodeState& state, const CallRecord& record, Time now) {
  const rules::RulesPtr rules = fleet::RulesOf(*state.fleet);
  auto& evidence = state.endpoints[record.endpoint.idx].evidence;
  const bool in_time =
      now - record.stage_since <= ClassOf(*rules, record).first_token;
  ++(in_time ? evidence.in_time : evidence.late);
}

void NoteFailure(NodeState& state, const CallRecord& record) {
  ++state.endpoints[record.endpoint.idx].evidence.failed;
}

void TellEvidence(NodeState& state, Time now) {
  const rules::RulesPtr rules = fleet::RulesOf(*state.fleet);
  if (rules == nullptr) return;
  const Servers servers = CountServers(state, *rules);
  for (std::uint32_t i = 0; i < state.endpoints.size(); ++i) {
    EndpointNote& note = state.endpoints[i];
    const fleet::SlotDemand demand = DemandAt(state, *rules, servers, i, now);
    const bool idle = IsEmpty(note.evidence) && note.in_flight == 0 &&
                      demand.wanted == 0 && note.wanted == 0;
    if (idle) continue;
    fleet::OnEvidence(*state.fleet, EndpointHandle{i}, note.evidence, demand,
                      now);
    note.wanted = demand.wanted;
    note.evidence = {.boot = note.evidence.boot};
  }
}

}  // namespace egretladder::node
