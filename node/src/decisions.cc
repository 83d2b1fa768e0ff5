// Emits routing and placement decisions for the log.
#include "state_p.h"

namespace egretladder::node {
namespace {

void NameEndpoint(const rules::Rules& rules, EndpointHandle handle,
                  Decision& decision) {
  if (!rules::IsValid(handle) || handle.idx >= rules.endpoints.size()) return;
  const rules::Endpoint& endpoint = rules.endpoints[handle.idx];
  decision.endpoint = endpoint.source.name;
  decision.zone = rules.zones[endpoint.zone.idx].source.name;
}

}  // namespace

void EmitDecision(const NodeState& state, const CallRecord& record,
                  const char* kind, const char* reason, Time now,
                  Actions& out) {
  Decision decision;
  decision.kind = kind;
  decision.reason = reason;
  decision.call = record.call.id;
  decision.cls = record.call.cls;
  decision.account = record.call.account;
  decision.waited = ToMs(now - record.arrived);
  const rules::RulesPtr rules = fleet::RulesOf(*state.fleet);
  if (rules != nullptr) {
    if (rules::IsValid(record.request.cls)) {
      decision.tier = GetClass(*rules, record).tier;
    }
    NameEndpoint(*rules, record.endpoint, decision);
  }
  out.emplace_back(std::move(decision));
}

void EmitPlacementDecision(const NodeState& state, EndpointHandle endpoint,
                           const char* kind, const char* reason, Actions& out) {
  Decision decision;
  decision.kind = kind;
  decision.reason = reason;
  const rules::RulesPtr rules = fleet::RulesOf(*state.fleet);
  if (rules != nullptr) NameEndpoint(*rules, endpoint, decision);
  out.emplace_back(std::move(decision));
}

}  // namespace egretladder::node
