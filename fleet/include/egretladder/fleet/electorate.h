// Decides which nodes may keep an endpoint, vote on its keeper and use it. All
// functions are pure functions of the rules, so nodes with the same version
// agree without exchanging messages.
#pragma once

#include <cstddef>
#include <cstdint>
#include <string_view>
#include <vector>

#include "egretladder/rules/rules.h"

namespace egretladder::fleet {

/// Returns the nodes that vote on the keeper of `endpoint`, in order of
/// preference: nodes of its zone, then of its region, then others; at most
/// `kMaxVoters`. Nodes that the rules mark as leaving are included, so that
/// marking a node doesn't change any majority.
std::vector<rules::NodeHandle> FindVoters(const rules::Rules& rules,
                                          rules::EndpointHandle endpoint);

/// Returns the smallest majority of `voters` nodes.
constexpr std::size_t MajorityCount(std::size_t voters) {
  return voters / 2 + 1;
}

/// Returns a hash of the names and zones of the published nodes.
std::uint64_t NodesDigest(const rules::Rules& rules);

/// Returns the number of slots of an endpoint that need no lease, summed over
/// all nodes. It is a fraction of the capacity of the cold endpoint, so that
/// these slots can't overload it even when it has just started. An endpoint
/// with too little capacity to divide has none.
std::uint32_t TotalFloorSlots(const rules::Endpoint& endpoint);
/// Returns the share of the endpoint's lease-free slots that belongs to `node`.
/// The slots are distributed over the voters in turn.
std::uint32_t NodeFloorSlots(const rules::Rules& rules,
                             rules::EndpointHandle endpoint,
                             std::string_view node);

/// Returns, by endpoint handle, whether a node sends work to the endpoint: to
/// all of them, or to a limited number for each target when there are many.
/// Endpoints of the node's own region are preferred.
std::vector<bool> FindUsedEndpoints(const rules::Rules& rules,
                                    std::string_view node,
                                    std::string_view zone);

/// Returns true if `node` is one of the `kReadersPerZone` nodes of its zone
/// that watch the platform.
bool IsReader(const rules::Rules& rules, std::string_view node);

/// Returns true if the rules allow new work for the endpoint.
bool TakesWork(const rules::Rules& rules, const rules::Endpoint& endpoint);

}  // namespace egretladder::fleet
