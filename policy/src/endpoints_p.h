// What a scheduler knows of endpoints from rules, leases and availability.
#pragma once

#include <cstdint>
#include <vector>

#include "egretladder/policy/scheduler.h"

namespace egretladder::policy {

struct EndpointState {
  bool in_service = false;  ///< Present, not leaving, its zone not out.
  bool available = true;    ///< As told by `on_available`.
  std::uint32_t slots = 0;  ///< 0 until told: no lease, no work.
  std::uint32_t in_flight = 0;
  ZoneHandle zone;
};

/// Indexed by handle, over every version of the rules.
struct EndpointTable {
  rules::RulesPtr rules;
  std::vector<EndpointState> endpoints;
  std::vector<std::vector<EndpointHandle>> by_target;  ///< In service only.
};

void ApplyRules(EndpointTable& table, rules::RulesPtr rules);

/// Null for a handle that the rules in force don't know.
EndpointState* FindEndpointState(EndpointTable& table, EndpointHandle endpoint);

inline bool CanTakeWork(const EndpointState& endpoint) {
  return endpoint.in_service && endpoint.available;
}
inline bool HasFreeSlot(const EndpointState& endpoint) {
  return CanTakeWork(endpoint) && endpoint.in_flight < endpoint.slots;
}

/// Endpoints in service for `target`; empty for an unknown one.
const std::vector<EndpointHandle>& GetServers(const EndpointTable& table,
                                              TargetHandle target);

/// Rows of the rules, or a row of standard values for what they don't know.
const rules::Class& GetClass(const EndpointTable& table, ClassHandle cls);
const rules::Account& GetAccount(const EndpointTable& table,
                                 AccountHandle account);

std::vector<EndpointView> ViewOf(const EndpointTable& table);

}  // namespace egretladder::policy
