// Drives real nodes without sockets: one paused clock, a wire between the nodes
// that can be cut, and processes that can be killed and paused. The one thin
// adapter that the scenario runner uses and an outside test driver binds to
// (docs/DRIVING.md). It knows nothing of endpoints, callers or the platform:
// what a node asks of those goes to the sink.
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

/// Takes every action of a node but messages to peers, which the driver itself
/// carries. Called while the node is not being driven: it may feed nodes.
using ActionSink = std::function<void(NodeIdx, node::Action&)>;

/// One event for a node: any `On...` function of node/node.h.
using NodeEvent =
    std::function<void(node::NodeState&, Time now, node::Actions& out)>;

/// What the wire between the nodes is like.
struct DriverOptions {
  std::chrono::microseconds wire_delay{500};  ///< Between nodes, one way.
  std::uint64_t seed = 1;                     ///< For lost messages.
};

struct DriverState;
/// Lets `DriverPtr` own a type that only the sources know.
struct DriverDelete {
  void operator()(DriverState* state) const;
};
/// Owns the nodes, the clock and what is on the wire.
using DriverPtr = std::unique_ptr<DriverState, DriverDelete>;

/// Starts a world without nodes, on a paused clock.
DriverPtr StartDriver(const DriverOptions& options, ActionSink sink);

/// Starts a node process. Its peer address is where messages to it go. Fails
/// when no scheduler has the name given.
kernel::Result<NodeIdx> AddNode(DriverState& state,
                                const node::NodeOptions& options);

/// The paused clock's time.
Time Now(const DriverState& state);

/// Runs `what` at `when`; events of one moment run in the order of this call.
void At(DriverState& state, Time when, std::function<void()> what);

/// Steps the clock through every event and every node's ticks up to `until`.
void RunUntil(DriverState& state, Time until);

/// Called after each tick of the clock (`node::kNodeTickInterval`), for
/// invariants.
void AfterEachTick(DriverState& state, std::function<void()> check);

/// Gives one event to a node: now; when it wakes, if it is paused; never, if it
/// is down. Returns false in the last case.
bool Feed(DriverState& state, NodeIdx node, NodeEvent event);

/// The node itself, for its views; null while it is down.
node::NodeState* NodeOf(DriverState& state, NodeIdx node);

/// The process ends at once, without a word to anyone.
void KillNode(DriverState& state, NodeIdx node);
/// Starts it again with a new incarnation and no memory.
void RestartNode(DriverState& state, NodeIdx node);
/// The process stands still; what reaches it waits. Its clock goes on.
void PauseNode(DriverState& state, NodeIdx node, Time until);
/// True while the process stands still.
bool IsPaused(const DriverState& state, NodeIdx node);

/// Drops whatever `from` sends to `to`; the other direction stays as it is.
void CutWire(DriverState& state, NodeIdx from, NodeIdx to);
/// Lets messages from `from` to `to` through again.
void HealWire(DriverState& state, NodeIdx from, NodeIdx to);
/// True while `CutWire` holds for this direction.
bool IsCut(const DriverState& state, NodeIdx from, NodeIdx to);
/// Loses this share of all messages between nodes, 0 to 1.
void LoseMessages(DriverState& state, double share);

/// Messages carried between nodes so far.
std::uint64_t MessagesCarried(const DriverState& state);

}  // namespace egretladder::lab
