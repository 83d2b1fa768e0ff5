// What this node tells the fleet of its endpoints: answers in time or late, and
// how many slots it could use.
#include <algorithm>

#include "state_p.h"

namespace egretladder::node {
namespace {

/// Calls that wait at this node for each endpoint, as if they were spread
/// evenly over those that serve their target. Asking each endpoint for all of
/// them would make every node look starved, and a keeper could not tell a burst
/// from a trickle.
struct Demand {
  std::vector<std::uint32_t> servers;  ///< Available ones, by target.
};

Demand CountServers(const NodeState& state, const rules::Rules& rules) {
  Demand demand;
  demand.servers.resize(rules.targets.size());
  for (std::uint32_t i = 0; i < state.endpoints.size(); ++i) {
    if (!state.endpoints[i].available) continue;
    for (const auto target : rules.endpoints[i].serves) {
      ++demand.servers[target.idx];
    }
  }
  return demand;
}

std::uint32_t WantedAt(const NodeState& state, const rules::Rules& rules,
                       const Demand& demand, std::uint32_t idx, Time now) {
  const EndpointNote& note = state.endpoints[idx];
  if (!note.available) return 0;
  std::uint32_t wanted = note.in_flight;
  bool in_use = false;
  for (const auto target : rules.endpoints[idx].serves) {
    const TargetNote& target_note = state.targets[target.idx];
    const std::uint32_t servers = std::max(demand.servers[target.idx], 1U);
    wanted += (target_note.waiting + servers - 1) / servers;
    in_use |= target_note.called && now - target_note.last_call < kTargetInUse;
  }
  if (in_use) ++wanted;
  return std::min(wanted, rules.endpoints[idx].bears);
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
  const Demand demand = CountServers(state, *rules);
  for (std::uint32_t i = 0; i < state.endpoints.size(); ++i) {
    EndpointNote& note = state.endpoints[i];
    const std::uint32_t wanted = WantedAt(state, *rules, demand, i, now);
    const bool idle = IsEmpty(note.evidence) && note.in_flight == 0 &&
                      wanted == 0 && note.wanted == 0;
    if (idle) continue;
    fleet::OnEvidence(*state.fleet, EndpointHandle{i}, note.evidence,
                      note.in_flight, wanted, now);
    note.wanted = wanted;
    note.evidence = {.boot = note.evidence.boot};
  }
}

}  // namespace egretladder::node
