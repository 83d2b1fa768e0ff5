#include <utility>

#include "endpoints_p.h"

namespace egretladder::policy {
namespace {

// Returns true when the rules allow new work at `endpoint`.
bool IsInService(const rules::Rules& rules, const rules::Endpoint& endpoint) {
  if (!endpoint.source.present || endpoint.leaving) return false;
  const std::size_t zone = endpoint.zone.idx;
  return zone >= rules.zones.size() || !rules.zones[zone].out;
}

}  // namespace

void ApplyRules(EndpointTable& table, rules::RulesPtr rules) {
  table.rules = std::move(rules);
  const rules::Rules& new_rules = *table.rules;
  if (table.endpoints.size() < new_rules.endpoints.size()) {
    table.endpoints.resize(new_rules.endpoints.size());
  }
  for (EndpointState& state : table.endpoints) state.in_service = false;
  table.by_target.assign(new_rules.targets.size(), {});
  for (std::uint32_t i = 0; i < new_rules.endpoints.size(); ++i) {
    const rules::Endpoint& endpoint = new_rules.endpoints[i];
    EndpointState& state = table.endpoints[i];
    state.zone = endpoint.zone;
    state.in_service = IsInService(new_rules, endpoint);
    if (!state.in_service) continue;
    for (const TargetHandle target : endpoint.serves) {
      if (target.idx >= table.by_target.size()) continue;
      table.by_target[target.idx].push_back(EndpointHandle{i});
    }
  }
}

EndpointState* FindEndpointState(EndpointTable& table,
                                 EndpointHandle endpoint) {
  if (endpoint.idx >= table.endpoints.size()) return nullptr;
  return &table.endpoints[endpoint.idx];
}

const std::vector<EndpointHandle>& GetServers(const EndpointTable& table,
                                              TargetHandle target) {
  static const std::vector<EndpointHandle> empty;
  if (target.idx >= table.by_target.size()) return empty;
  return table.by_target[target.idx];
}

const rules::Class& GetClass(const EndpointTable& table, ClassHandle cls) {
  static const rules::Class default_value;
  if (!table.rules || cls.idx >= table.rules->classes.size())
    return default_value;
  return table.rules->classes[cls.idx];
}

const rules::Account& GetAccount(const EndpointTable& table,
                                 AccountHandle account) {
  static const rules::Account default_value;
  if (!table.rules || account.idx >= table.rules->accounts.size()) {
    return default_value;
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
