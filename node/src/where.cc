// The answer to `GET /where`.
#include <chrono>

#include "state_p.h"

namespace egretladder::node {
namespace {

/// Published nodes as this one sees them.
struct Sides {
  std::size_t published = 0;
  std::size_t heard = 0;             ///< This one among them.
  std::vector<std::string> unheard;  ///< Callers' addresses.
};

Sides FindSides(const NodeState& state, const rules::Rules& rules, Time now) {
  Sides sides;
  std::set<std::string> heard{state.options.fleet.node};
  for (const fleet::Member& member : fleet::ViewOf(*state.fleet, now).members) {
    if (member.state != fleet::MemberState::kGone) heard.insert(member.node);
  }
  for (const rules::Node& node : rules.nodes) {
    if (!node.source.present || node.leaving) continue;
    ++sides.published;
    if (heard.contains(node.source.name)) {
      ++sides.heard;
    } else {
      sides.unheard.push_back(node.caller_address);
    }
  }
  return sides;
}

/// A node that hears less than half of the fleet holds no leases, so it can
/// serve little, while the other side of a cut serves as ever. Without this,
/// callers who asked on the small side stay there and are turned away until the
/// cut heals; measured with scenarios/fails-partition.lua
/// (docs/design/where.md). Callers who can't reach the other side either lose
/// one attempt to connect.
void PreferOtherSide(const NodeState& state, const rules::Rules& rules,
                     Time now, std::vector<std::string>& addresses) {
  const Sides sides = FindSides(state, rules, now);
  const bool minority = sides.heard * 2 < sides.published;
  if (!minority || sides.unheard.empty()) return;
  // Another one each time, so that they share what comes over.
  const auto turn = static_cast<std::size_t>(
      Millis(now.time_since_epoch()).count() / kWhereTurn.count());
  addresses.insert(addresses.begin(),
                   sides.unheard[turn % sides.unheard.size()]);
  if (addresses.size() > kWhereAddresses) addresses.resize(kWhereAddresses);
}

}  // namespace

WhereAnswer Where(NodeState& state, std::string_view zone, Time now) {
  WhereAnswer answer;
  answer.keep_for = kWhereAnswerTtl;
  for (const fleet::Member& member :
       fleet::Where(*state.fleet, zone, kWhereAddresses, now)) {
    answer.addresses.push_back(member.caller_address);
  }
  const rules::RulesPtr rules = fleet::RulesOf(*state.fleet);
  if (rules == nullptr || state.leaving) return answer;
  PreferOtherSide(state, *rules, now, answer.addresses);
  answer.lane = fleet::Encode(fleet::IssueLane(*state.lanes, now));
  answer.lane_address = state.options.fleet.caller_address;
  return answer;
}

}  // namespace egretladder::node
