// Formats the state of a fleet as a table, from the `/status` of its nodes.
#pragma once

#include <cstdint>
#include <string>
#include <utility>
#include <vector>

namespace egretladder::lab {

/// The status of one node.
struct NodeStatus {
  std::string address;  ///< The address that was asked.
  std::string json;     ///< Empty: no answer.
};

/// Formats the nodes, and the sums of their endpoints and queues. An invalid
/// status is shown as such.
std::string StatusTable(const std::vector<NodeStatus>& nodes);

/// Returns true if all nodes answered, are ready and have the same version in
/// force.
bool IsSound(const std::vector<NodeStatus>& nodes);

}  // namespace egretladder::lab
