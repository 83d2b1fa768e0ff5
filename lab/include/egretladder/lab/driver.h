// Drives real nodes without sockets: a paused clock, a simulated network
// between the nodes that can be cut, and processes that can be killed and
// paused. The scenario runner uses this adapter, and an external test driver
// can bind to it (docs/DRIVING.md). It knows nothing about endpoints, callers
// or the platform; the actions of a node for those are passed to the sink.
#pragma once

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>
#include <string>

#include "egretladder/kernel/error.h"
#include "egretladder/kernel/time.h"
#include "egretladder/node/node.h"

namespace egretladder::lab {

using kernel::Time;

/// Index of a node, in the order of `AddNode`.
using NodeIdx = std::size_t;

/// Receives every action of a node except messages to peers, which the driver
/// delivers. It is not called during an event of the node, so it may pass
/// events to nodes.
using ActionSink = std::function<void(NodeIdx, node::Action&)>;

/// An event for a node: a call of any `On...` function of node/node.h.
using NodeEvent =
    std::function<void(node::NodeState&, Time now, node::Actions& out)>;

/// The properties of the network between the nodes.
struct DriverOptions {
  std::chrono::microseconds wire_delay{500};  ///< One-way delay between nodes.
  std::uint64_t seed = 1;  ///< Selects the messages that are lost.
};

struct DriverState;
/// Deleter of the incomplete type `Driver`.
struct DriverDelete {
  void operator()(DriverState* state) const;
};
/// Owns the nodes, the clock and the messages in transit.
using DriverPtr = std::unique_ptr<DriverState, DriverDelete>;

/// Creates a driver without nodes, with a paused clock.
DriverPtr StartDriver(const DriverOptions& options, ActionSink sink);

/// Starts a node. Messages to it are sent to its peer address. Fails if the
/// scheduler is unknown.
kernel::Result<NodeIdx> AddNode(DriverState& state,
                                const node::NodeOptions& options);

/// Returns the time of the paused clock.
Time Now(const DriverState& state);

/// Runs `what` at `when`. Events of the same time run in the order in which
/// they were scheduled.
void At(DriverState& state, Time when, std::function<void()> what);

/// Advances the clock to `until` and runs all events and ticks on the way.
void RunUntil(DriverState& state, Time until);

/// Sets a function that is called after each tick of the clock
/// (`node::kNodeTickInterval`), for invariants.
void AfterEachTick(DriverState& state, std::function<void()> check);

/// Passes an event to a node: at once, or when a paused node resumes. Returns
/// false and drops the event if the node is down.
bool Feed(DriverState& state, NodeIdx node, NodeEvent event);

/// Returns the state of a node, for its views; null while it is down.
node::NodeState* NodeOf(DriverState& state, NodeIdx node);

/// Ends the process at once, without a graceful stop.
void KillNode(DriverState& state, NodeIdx node);
/// Starts it again with a new incarnation and empty state.
void RestartNode(DriverState& state, NodeIdx node);
/// Pauses the process. Events for it are queued, and its clock continues.
void PauseNode(DriverState& state, NodeIdx node, Time until);
/// Returns true while the process is paused.
bool IsPaused(const DriverState& state, NodeIdx node);

/// Drops all messages from `from` to `to`, but none in the other direction.
void CutWire(DriverState& state, NodeIdx from, NodeIdx to);
/// Delivers messages from `from` to `to` again.
void HealWire(DriverState& state, NodeIdx from, NodeIdx to);
/// Returns true while messages in this direction are dropped.
bool IsCut(const DriverState& state, NodeIdx from, NodeIdx to);
/// Drops this share of all messages between nodes, 0 to 1.
void LoseMessages(DriverState& state, double share);

/// Returns the number of messages delivered between nodes so far.
std::uint64_t MessagesCarried(const DriverState& state);

}  // namespace egretladder::lab
