// The state of a fleet in one table, from each node's `/status`.
#pragma once

#include <cstdint>
#include <string>
#include <utility>
#include <vector>

namespace egretladder::lab {

/// What one node answered.
struct NodeStatus {
  std::string address;  ///< As asked.
  std::string json;     ///< Empty: it did not answer.
};

/// Nodes, endpoints summed over them, queues summed over them. An answer that
/// is no status stands in the table as such.
std::string StatusTable(const std::vector<NodeStatus>& nodes);

/// True when every node answered, is ready, and has the same version in force.
bool IsSound(const std::vector<NodeStatus>& nodes);

}  // namespace egretladder::lab
