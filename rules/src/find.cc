// Look-ups of objects of the rules by name.
#include <algorithm>

#include "egretladder/rules/rules.h"

namespace egretladder::rules {
namespace {

template <typename HandleType, typename Row>
HandleType Find(const NameIndex& index, const std::vector<Row>& rows,
                std::string_view name) {
  const auto it = index.find(name);
  if (it == index.end() || !rows[it->second].source.present) return {};
  return {it->second};
}

}  // namespace

ZoneHandle FindZone(const Rules& rules, std::string_view name) {
  return Find<ZoneHandle>(rules.zone_names, rules.zones, name);
}
TargetHandle FindTarget(const Rules& rules, std::string_view name) {
  return Find<TargetHandle>(rules.target_names, rules.targets, name);
}
ClassHandle FindClass(const Rules& rules, std::string_view name) {
  return Find<ClassHandle>(rules.class_names, rules.classes, name);
}
AccountHandle FindAccount(const Rules& rules, std::string_view name) {
  return Find<AccountHandle>(rules.account_names, rules.accounts, name);
}
EndpointHandle FindEndpoint(const Rules& rules, std::string_view name) {
  return Find<EndpointHandle>(rules.endpoint_names, rules.endpoints, name);
}
NodeHandle FindNode(const Rules& rules, std::string_view name) {
  return Find<NodeHandle>(rules.node_names, rules.nodes, name);
}

bool Allows(const Account& account, ClassHandle cls) {
  return std::find(account.classes.begin(), account.classes.end(), cls) !=
         account.classes.end();
}

bool Serves(const Endpoint& endpoint, TargetHandle target) {
  return std::find(endpoint.serves.begin(), endpoint.serves.end(), target) !=
         endpoint.serves.end();
}

}  // namespace egretladder::rules
