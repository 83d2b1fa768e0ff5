// Who may keep an endpoint, who votes on it, who uses it: pure functions of the
// rules, so that nodes with the same version agree without a message.
// Source: rendezvous hashing.
#pragma once

#include <cstddef>
#include <cstdint>
#include <string_view>
#include <vector>

#include "egretladder/rules/rules.h"

namespace egretladder::fleet {

/// The nodes that vote on the keeper of `endpoint`, first choice first: those
/// of its zone, then of its region, then others; `kVotersMost` at most. Nodes
/// that the rules mark as leaving stay in, so that the marking moves no
/// majority.
std::vector<rules::NodeHandle> VotersOf(const rules::Rules& rules,
                                        rules::EndpointHandle endpoint);

/// More than half of `voters`.
constexpr std::size_t MajorityOf(std::size_t voters) { return voters / 2 + 1; }

/// Hash of the published nodes' names and zones.
std::uint64_t NodesDigest(const rules::Rules& rules);

/// Slots of an endpoint that need no lease, summed over all nodes: a part of
/// what it bears cold, so that they can't swamp it even when it has just
/// started. An endpoint that bears too little to split has none.
std::uint32_t TotalFloorSlots(const rules::Endpoint& endpoint);
/// Part of `FloorSum` that belongs to `node`: each slot to one of the voters.
std::uint32_t NodeFloorSlots(const rules::Rules& rules,
                             rules::EndpointHandle endpoint,
                             std::string_view node);

/// Which endpoints a node sends work to: all, or a bounded few for each target
/// when there are many, of its own region where that has any.
std::vector<bool> EndpointsUsedBy(const rules::Rules& rules,
                                  std::string_view node, std::string_view zone);

/// True when `node` is among the few of its zone that watch the platform.
bool IsReader(const rules::Rules& rules, std::string_view node);

/// True when the endpoint may receive new work by the rules.
bool TakesWork(const rules::Rules& rules, const rules::Endpoint& endpoint);

}  // namespace egretladder::fleet
