// Determines which nodes of a large fleet read the platform's store for all,
// and which nodes replace them.
//
// If every node of a large fleet watched the store, each change would be sent
// to every node, and these calls would cost more than all other work. The same
// would happen while the store is unreachable if any node could replace a
// failed reader. Therefore only the first `kMaxReaderCandidates` nodes by the
// hash of their names ever read.
#pragma once

#include <chrono>
#include <string>
#include <vector>

#include "egretladder/kernel/time.h"
#include "egretladder/routing/members.h"

namespace egretladder::routing {

/// Nodes that read the platform's store for all. Each call to the store is
/// counted, and a watch answers every reader. More readers would add calls but
/// no safety, since a reader that fails is replaced.
inline constexpr std::size_t kMaxReaders = 5;
/// Readers whose watches are short, so that they soon notice an answer that was
/// lost. All watches may lose theirs at the same moment; the other nodes then
/// hear of what they missed from these. Two, as one may be lost itself.
inline constexpr std::size_t kEagerReaders = 2;
/// A node younger than this knows too few others to tell whether it is a
/// reader.
inline constexpr std::chrono::seconds kMinReaderAge{1};
/// Interval between messages with which a reader shows its standbys that it is
/// alive.
inline constexpr milliseconds kReaderHeartbeatInterval{400};
/// Silence after which the first standby replaces a reader: three of those
/// intervals. Changes have seconds to be in force everywhere, and gossip takes
/// part of that time.
inline constexpr milliseconds kMaxReaderSilence{1200};
/// Additional wait of each further standby, so that few of them start to read
/// together.
inline constexpr milliseconds kStandbyStagger{150};
/// Peers to which a reader announces changes at once.
inline constexpr std::size_t kReaderFanout = 16;
/// Peers to which any other node announces changes that it applied, in a large
/// fleet.
inline constexpr std::size_t kRelayFanout = 2;

/// Returns true if this node should read the store, that is, if it is among the
/// first `kMaxReaders` nodes that can read it.
bool IsReader(const Members& members, Time now);

/// Returns true if this node is among the first `kEagerReaders` that can read
/// the store.
bool IsEagerReader(const Members& members);

/// Returns true if all nodes that may become readers fail to read the store, as
/// far as this one knows.
bool AreAllReadersTroubled(const Members& members);

/// Returns the peer addresses of the nodes that replace this reader when it
/// falls silent. The reader sends them a message each
/// `kReaderHeartbeatInterval`: gossip alone takes seconds to show that a node
/// lost power, and if all readers lose power at once, no node learns of changes
/// until then.
std::vector<std::string> StandbyAddresses(const Members& members);

}  // namespace egretladder::routing
