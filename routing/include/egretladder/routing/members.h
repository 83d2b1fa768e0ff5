// The nodes of the fleet, found through seeds and kept by gossip alone.
//
// Each node raises a heartbeat; exchanges spread the newest ones. Nobody is
// declared dead for others: a member whose heartbeat stands still here is left
// out of what callers are told, and is back as soon as it rises. A node that
// hears an older life of its own outbids it, since its clock may have gone back
// (SWIM: Das et al., DSN 2002).
#pragma once

#include <chrono>
#include <cstdint>
#include <map>
#include <string>
#include <string_view>
#include <vector>

#include "egretladder/kernel/hash.h"
#include "egretladder/kernel/time.h"
#include "egretladder/routing/limits.h"
#include "egretladder/routing/placement.h"

namespace egretladder::routing {

/// One node, as nodes tell each other.
struct Member {
  std::string node;
  std::string callers;  ///< Address for callers, `IP:port`.
  std::string peers;    ///< Address for nodes.
  std::string zone;
  std::string region;
  std::uint64_t incarnation = 0;  ///< Rises with each start.
  std::uint64_t heartbeat = 0;
  bool leaving = false;
  bool store_troubled = false;  ///< It fails to read the platform's store.
};

/// A heartbeat of a node that others know already: 16 bytes, where a `Member`
/// takes about 130.
struct MemberHeartbeat {
  std::uint32_t node = 0;               ///< Low half of the hash of its name.
  std::uint32_t short_incarnation = 0;  ///< Low half of its incarnation.
  std::uint64_t heartbeat = 0;
  bool leaving = false;
  bool store_troubled = false;
};

/// What one exchange tells of members.
struct MemberGossip {
  std::vector<Member> members;  ///< The sender first.
  std::vector<MemberHeartbeat> member_heartbeats;
  /// Nodes of which the sender heard a pulse and doesn't know who they are.
  std::vector<std::uint32_t> unknown;
};

/// What this node knows of another.
struct KnownMember {
  Member member;
  Time heard{};              ///< When its heartbeat last rose here.
  Time met{};                ///< When this life of it was first heard of.
  Time heard_itself{};       ///< Last message from it; default: none.
  bool unreachable = false;  ///< Refused a connection since.
};

/// All nodes.
struct Members {
  Member self;
  std::vector<std::string> seeds;
  bool is_listening = true;  ///< This node takes connections of callers.
  std::map<std::string, KnownMember> others;
  Time started{};
  Time exchanged{};  ///< Last time a peer answered; default: never.
  std::size_t most_nodes = 1;
  Time most_nodes_at{};
  std::size_t seed_turn = 0;
  std::vector<std::uint32_t> unknown;  ///< As in `MemberGossip`.
};

/// Begins with this node alone.
Members MakeMembers(const Member& self, const std::vector<std::string>& seeds,
                    Time now);

/// Raises the own heartbeat; call once an exchange period.
void IncrementHeartbeat(Members& members, Time now);

/// Takes what a peer told. Returns those that are new or came back, for the
/// log.
std::vector<std::string> ApplyMemberGossip(Members& members,
                                           const MemberGossip& told, Time now);

/// A peer answered an exchange.
void OnExchangeAnswered(Members& members, Time now);
/// A message came from the node with that peer address.
void OnPeerMessage(Members& members, const std::string& peers, Time now);
/// Nothing listens at the peer address: its process is gone until its heartbeat
/// rises again.
void OnPeerUnreachable(Members& members, const std::string& peers, Time now);

/// What to tell: this node, those met lately and those that the peer doesn't
/// know (`asked`) whole, and of the others some pulses.
MemberGossip MakeMemberGossip(const Members& members,
                              const std::vector<std::uint32_t>& asked,
                              kernel::Random& random, Time now);

/// Peer address for the next exchange: a member drawn at random, or now and
/// then a seed that isn't known yet; empty: none.
std::string PickExchangePeer(Members& members, kernel::Random& random,
                             Time now);

/// Peers to exchange with at one turn while earlier exchanges hang.
///
/// Load: most nodes lose their power at once. The others look for each other
/// among peers that answer nothing, while the rules change.
std::size_t MaxPeersToTry(std::size_t hanging);

/// How long a member may be silent, by the size of the fleet.
std::chrono::milliseconds SilenceAllowed(const Members& members);

/// True for a member that callers may use.
bool IsMemberAvailable(const Members& members, const KnownMember& known,
                       Time now);

/// True when the fleet is small; see `kSmallFleet`.
bool IsSmallFleet(const Members& members);

/// Addresses for a caller in `zone`: nodes that are there, this one last
/// resort while it listens; empty: none.
std::vector<std::string> DirectoryFor(const Members& members,
                                      std::string_view zone,
                                      kernel::Random& random, Time now);

/// Nodes among which is shared what all share; see `PartOf`.
std::size_t EstimateFleetSize(Members& members, Time now);

/// This node's part of what all share. After a start, in a partition and after
/// losses the fleet counts as large as it was known to be.
FleetSnapshot MakeFleetSnapshot(Members& members, Time now);

/// Forgets members unheard for `kMemberForgotten`. Returns their names.
std::vector<std::string> ForgetMembers(Members& members, Time now);

}  // namespace egretladder::routing
