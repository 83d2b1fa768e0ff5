// The state of endpoints by the rules, the slot leases and their availability.
#pragma once

#include <cstdint>
#include <vector>

#include "egretladder/policy/scheduler.h"

namespace egretladder::policy {

/// What a scheduler knows of one endpoint.
struct EndpointState {
  bool in_service = false;  ///< In the rules, not leaving, zone not out.
  bool available = true;    ///< Set by `on_available`.
  std::uint32_t slots = 0;  ///< Leased to this node; 0 without a lease.
  std::uint32_t in_flight = 0;
  ZoneHandle zone;
};

/// Endpoints by handle. Handles stay valid over all versions of the rules, so
/// that the tables never shrink.
struct EndpointTable {
  rules::RulesPtr rules;
  std::vector<EndpointState> endpoints;
  std::vector<std::vector<EndpointHandle>> by_target;  ///< In service.
};

void ApplyRules(EndpointTable& table, rules::RulesPtr rules);

/// Returns null for a handle beyond the endpoints of the rules so far.
EndpointState* FindEndpointState(EndpointTable& table, EndpointHandle endpoint);

inline bool CanTakeWork(const EndpointState& endpoint) {
  return endpoint.in_service && endpoint.available;
}
inline bool HasFreeSlot(const EndpointState& endpoint) {
  return CanTakeWork(endpoint) && endpoint.in_flight < endpoint.slots;
}

/// Returns the endpoints in service for `target`; none for an unknown target.
const std::vector<EndpointHandle>& GetServers(const EndpointTable& table,
                                              TargetHandle target);

/// Returns the class of the rules, or one with default values when unknown.
const rules::Class& GetClass(const EndpointTable& table, ClassHandle cls);
/// Returns the account of the rules, or one with default values when unknown.
const rules::Account& GetAccount(const EndpointTable& table,
                                 AccountHandle account);

std::vector<EndpointView> ViewOf(const EndpointTable& table);

}  // namespace egretladder::policy
