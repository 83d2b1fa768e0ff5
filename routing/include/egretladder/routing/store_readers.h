// Determines which nodes of a large fleet read the platform's store for all,
// and which nodes replace them.
//
// If every node of a large fleet watched the store, each change would be sent
// to every node, and these calls would cost more than all other work. The same
// would happen while the store is unreachable if any node could replace a
// failed reader. Therefore only the first `kMaxReaderCandidates` nodes by the
// hash of their names ever read.
#pragma once

#include <string>
#include <vector>

#include "egretladder/kernel/time.h"
#include "egretladder/routing/members.h"

namespace egretladder::routing {

/// Returns true if this node should read the store, that is, if it is among the
/// first `kMaxReaders` nodes that can read it.
bool IsReader(const Members& members, Time now);

/// Returns the peer addresses of the nodes that replace this reader when it
/// falls silent. The reader sends them a message each
/// `kReaderHeartbeatInterval`: gossip alone takes seconds to show that a node
/// lost power, and if all readers lose power at once, no node learns of changes
/// until then.
std::vector<std::string> StandbyAddresses(const Members& members, Time now);

}  // namespace egretladder::routing
