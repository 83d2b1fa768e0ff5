#include <utility>

#include "endpoints_p.h"

namespace egretladder::policy {
namespace {

/// True when the rules let `endpoint` take new work.
bool InService(const rules::Rules& rules, const rules::Endpoint& endpoint) {
  if (!endpoint.source.present || endpoint.leaving) return false;
  const std::size_t zone = endpoint.zone.idx;
  return zone >= rules.zones.size() || !rules.zones[zone].out;
}

}  // namespace

void ApplyRules(EndpointTable& table, rules::RulesPtr rules) {
  table.rules = std::move(rules);
  const rules::Rules& now_in_force = *table.rules;
  if (table.endpoints.size() < now_in_force.endpoints.size()) {
    table.endpoints.resize(now_in_force.endpoints.size());
  }
  for (EndpointState& state : table.endpoints) state.in_service = false;
  table.by_target.assign(now_in_force.targets.size(), {});
  for (std::uint32_t i = 0; i < now_in_force.endpoints.size(); ++i) {
    const rules::Endpoint& endpoint = now_in_force.endpoints[i];
    EndpointState& state = table.endpoints[i];
    state.zone = endpoint.zone;
    state.in_service = InService(now_in_force, endpoint);
    if (!state.in_service) continue;
    for (const TargetHandle target : endpoint.serves) {
      if (target.idx >= table.by_target.size()) continue;
      table.by_target[target.idx].push_back(EndpointHandle{i});
    }
  }
}

EndpointState* FindState(EndpointTable& table, EndpointHandle endpoint) {
  if (endpoint.idx >= table.endpoints.size()) return nullptr;
  return &table.endpoints[endpoint.idx];
}

const std::vector<EndpointHandle>& ServersOf(const EndpointTable& table,
                                             TargetHandle target) {
  static const std::vector<EndpointHandle> none;
  if (target.idx >= table.by_target.size()) return none;
  return table.by_target[target.idx];
}

const rules::Class& ClassOf(const EndpointTable& table, ClassHandle cls) {
  static const rules::Class standard;
  if (!table.rules || cls.idx >= table.rules->classes.size()) return standard;
  return table.rules->classes[cls.idx];
}

const rules::Account& AccountOf(const EndpointTable& table,
                                AccountHandle account) {
  static const rules::Account standard;
  if (!table.rules || account.idx >= table.rules->accounts.size()) {
    return standard;
  }
  return table.rules->accounts[account.idx];
}

std::vector<EndpointView> ViewOf(const EndpointTable& table) {
  std::vector<EndpointView> views;
  views.reserve(table.endpoints.size());
  for (std::uint32_t i = 0; i < table.endpoints.size(); ++i) {
    const EndpointState& state = table.endpoints[i];
    views.push_back({EndpointHandle{i}, state.slots, state.in_flight, {}});
  }
  return views;
}

}  // namespace egretladder::policy
