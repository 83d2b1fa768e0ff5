// Builds the answer to `GET /where`.
#include <chrono>

#include "state_p.h"

namespace egretladder::node {
namespace {

/// The nodes declared in the rules that aren't leaving, as this node sees them.
struct PublishedNodes {
  std::size_t total = 0;
  std::size_t reachable = 0;                       ///< Includes this node.
  std::vector<std::string> unreachable_addresses;  ///< For callers.
};

PublishedNodes ClassifyPublishedNodes(const NodeState& state,
                                      const rules::Rules& rules, Time now) {
  PublishedNodes nodes;
  std::set<std::string> known{state.options.fleet.node};
  for (const fleet::Member& member : fleet::ViewOf(*state.fleet, now).members) {
    if (member.state != fleet::MemberState::kGone) known.insert(member.node);
  }
  for (const rules::Node& node : rules.nodes) {
    if (!node.source.present || node.leaving) continue;
    ++nodes.total;
    if (known.contains(node.source.name)) {
      ++nodes.reachable;
    } else {
      nodes.unreachable_addresses.push_back(node.caller_address);
    }
  }
  return nodes;
}

/// Puts a node of the majority side first if this node is on the minority side
/// of a network partition. A node that hears from less than half of the fleet
/// holds no leases, so it can serve little, while the majority side serves as
/// before. Without this, callers that asked a node of the minority stay there
/// and are refused until the partition heals (scenarios/fails-partition.lua,
/// docs/design/where.md). A caller that can't reach the other side either loses
/// one connection attempt.
void PreferMajorityNode(const NodeState& state, const rules::Rules& rules,
                        Time now, std::vector<std::string>& addresses) {
  const PublishedNodes nodes = ClassifyPublishedNodes(state, rules, now);
  const bool is_minority = nodes.reachable * 2 < nodes.total;
  if (!is_minority || nodes.unreachable_addresses.empty()) return;
  // The address rotates, so that the nodes of the majority share the callers.
  const auto rotation = static_cast<std::size_t>(
      ToMs(now.time_since_epoch()).count() / kWhereRotationInterval.count());
  addresses.insert(
      addresses.begin(),
      nodes.unreachable_addresses[rotation %
                                  nodes.unreachable_addresses.size()]);
  if (addresses.size() > kMaxWhereNodes) addresses.resize(kMaxWhereNodes);
}

}  // namespace

WhereAnswer Where(NodeState& state, std::string_view zone, Time now) {
  WhereAnswer answer;
  answer.keep_for = kWhereAnswerTtl;
  for (const fleet::Member& member :
       fleet::Where(*state.fleet, zone, kMaxWhereNodes, now)) {
    answer.addresses.push_back(member.caller_address);
  }
  const rules::RulesPtr rules = fleet::RulesOf(*state.fleet);
  if (rules == nullptr || state.leaving) return answer;
  PreferMajorityNode(state, *rules, now, answer.addresses);
  answer.lane = fleet::Encode(fleet::IssueLane(*state.lanes, now));
  answer.lane_address = state.options.fleet.caller_address;
  return answer;
}

}  // namespace egretladder::node
