// Reports to the fleet on this node's endpoints: the number of answers that
// were in time, late or failed, and the number of slots that the node could
// use.
#include <algorithm>

#include "state_p.h"

namespace egretladder::node {
namespace {

/// Number of available endpoints for each target. The demand of waiting calls
/// is divided evenly among the endpoints that serve their target. If a node
/// requested slots for all of them at each endpoint, every node would look
/// starved, and a keeper could not tell a burst from light load.
struct AvailableEndpointCounts {
  std::vector<std::uint32_t> by_target;  ///< By target index.
};

AvailableEndpointCounts CountAvailableEndpoints(const NodeState& state,
                                                const rules::Rules& rules,
                                                Time now) {
  AvailableEndpointCounts counts;
  counts.by_target.resize(rules.targets.size());
  for (std::uint32_t i = 0; i < state.endpoints.size(); ++i) {
    if (!TakesWork(state.endpoints[i], now)) continue;
    for (const auto target : rules.endpoints[i].serves) {
      ++counts.by_target[target.idx];
    }
  }
  return counts;
}

std::uint32_t DivideRoundingUp(std::uint32_t calls, std::uint32_t endpoints) {
  return (calls + endpoints - 1) / endpoints;
}

fleet::SlotDemand ComputeSlotDemand(const NodeState& state,
                                    const rules::Rules& rules,
                                    const AvailableEndpointCounts& counts,
                                    std::uint32_t idx, Time now) {
  const EndpointRecord& endpoint = state.endpoints[idx];
  fleet::SlotDemand demand;
  demand.in_flight = endpoint.in_flight;
  if (!TakesWork(endpoint, now)) return demand;
  demand.wanted = endpoint.in_flight;
  demand.urgent = endpoint.urgent_in_flight;
  bool in_use = false;
  for (const auto target : rules.endpoints[idx].serves) {
    const TargetRecord& target_record = state.targets[target.idx];
    const std::uint32_t endpoint_count =
        std::max(counts.by_target[target.idx], 1U);
    demand.wanted += DivideRoundingUp(target_record.waiting, endpoint_count);
    demand.urgent +=
        DivideRoundingUp(target_record.urgent_waiting, endpoint_count);
    in_use |= target_record.called &&
              now - target_record.last_call < kTargetInUseTimeout;
  }
  if (in_use) ++demand.wanted;
  const std::uint32_t capacity = rules.endpoints[idx].max_in_flight;
  demand.wanted = std::min(demand.wanted, capacity);
  demand.urgent = std::min(demand.urgent, capacity);
  return demand;
}

bool IsEmpty(const policy::SlotEvidence& evidence) {
  return evidence.in_time == 0 && evidence.late == 0 && evidence.failed == 0;
}

}  // namespace

void RecordFirstToken(NodeState& state, const CallRecord& record, Time now) {
  const rules::RulesPtr rules = fleet::RulesOf(*state.fleet);
  auto& evidence = state.endpoints[record.endpoint.idx].evidence;
  const bool in_time =
      now - record.stage_since <= GetClass(*rules, record).first_token;
  ++(in_time ? evidence.in_time : evidence.late);
}

void RecordFailure(NodeState& state, const CallRecord& record) {
  ++state.endpoints[record.endpoint.idx].evidence.failed;
}

void ReportEvidence(NodeState& state, Time now) {
  const rules::RulesPtr rules = fleet::RulesOf(*state.fleet);
  if (rules == nullptr) return;
  const AvailableEndpointCounts counts =
      CountAvailableEndpoints(state, *rules, now);
  for (std::uint32_t i = 0; i < state.endpoints.size(); ++i) {
    EndpointRecord& endpoint = state.endpoints[i];
    const fleet::SlotDemand demand =
        ComputeSlotDemand(state, *rules, counts, i, now);
    const bool idle = IsEmpty(endpoint.evidence) && endpoint.in_flight == 0 &&
                      demand.wanted == 0 && endpoint.reported_demand == 0;
    if (idle) continue;
    fleet::OnEvidence(*state.fleet, EndpointHandle{i}, endpoint.evidence,
                      demand, now);
    endpoint.reported_demand = demand.wanted;
    endpoint.evidence = {.boot = endpoint.evidence.boot};
  }
}

}  // namespace egretladder::node
