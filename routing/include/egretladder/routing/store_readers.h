// Which nodes of a large fleet read the platform's store for all, and which
// take their place.
//
// Load: a large fleet in which every node watches. Each change of the store is
// then answered once to every node, and the calls cost more than all else. The
// same while the store is away, if each node took the place of a reader that
// failed: only the first `kReadersAble` by a hash of their names ever read.
#pragma once

#include <string>
#include <vector>

#include "egretladder/kernel/time.h"
#include "egretladder/routing/members.h"

namespace egretladder::routing {

/// True when this node should read the store: it is among the first
/// `kReadersMost` nodes of those that can.
bool IsReader(const Members& members, Time now);

/// Peer addresses of the nodes that take the place of this reader once it falls
/// silent. It tells them each `kReaderHeartbeatInterval` that it is there:
/// gossip alone takes seconds to show that a node lost its power, and when all
/// readers do at once, nobody hears of changes until then.
std::vector<std::string> StandbyAddresses(const Members& members, Time now);

}  // namespace egretladder::routing
