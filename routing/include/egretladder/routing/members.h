// Membership of the fleet: nodes are discovered through seeds and tracked by
// gossip alone.
//
// Each node increments a heartbeat, and exchanges spread the newest values. No
// node declares another one dead for the whole fleet: a member whose heartbeat
// doesn't rise at this node is left out of the directory for callers, and
// returns as soon as it rises. A node that learns of another incarnation of
// itself which seems newer chooses a higher one, because its clock may have
// been set back (SWIM: Das et al., DSN 2002).
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

/// A set of services, one bit each in the order of the rules. Services beyond
/// the 16th have no bit.
using ServiceBits = std::uint16_t;

/// One node, as nodes gossip it.
struct Member {
  std::string node;
  std::string callers;  ///< Address for callers, `IP:port`.
  std::string peers;    ///< Address for other nodes, `IP:port`.
  /// Address for requests that other nodes hand over, `IP:port`; empty: the
  /// node accepts none.
  std::string handovers;
  std::string zone;
  std::string region;
  std::uint64_t incarnation = 0;  ///< Rises with each start of the process.
  std::uint64_t heartbeat = 0;
  bool leaving = false;
  bool store_troubled = false;  ///< It fails to read the platform's store.
  /// Services whose endpoints don't answer its attempts; see service_reach.h.
  ServiceBits unreached = 0;
};

/// The heartbeat of a node that other nodes know already: 16 bytes, where a
/// `Member` takes about 130.
struct MemberHeartbeat {
  std::uint32_t node = 0;               ///< Low half of the hash of its name.
  std::uint32_t short_incarnation = 0;  ///< Low half of its incarnation.
  std::uint64_t heartbeat = 0;
  bool leaving = false;
  bool store_troubled = false;
  ServiceBits unreached = 0;
};

/// The members that one exchange gossips.
struct MemberGossip {
  std::vector<Member> members;  ///< The sender first.
  std::vector<MemberHeartbeat> member_heartbeats;
  /// Hashes of nodes whose heartbeat the sender received and whose record it
  /// lacks.
  std::vector<std::uint32_t> unknown;
};

/// What this node knows about another one.
struct KnownMember {
  Member member;
  Time heartbeat_at{};   ///< When its heartbeat last rose at this node.
  Time first_seen_at{};  ///< When its incarnation was first seen.
  Time
      last_message_at{};  ///< Last message from the node itself; default: none.
  bool unreachable = false;  ///< It refused a connection since.
};

/// The largest number of available nodes that was seen of late.
struct FleetPeak {
  std::size_t nodes = 1;
  Time seen_at{};
};

/// This node and all nodes that it knows.
struct Members {
  Member self;
  std::vector<std::string> seeds;
  bool is_listening = true;  ///< This node accepts connections of callers.
  std::map<std::string, KnownMember> others;  ///< By node name.
  Time started{};
  Time last_exchange_at{};  ///< Last time a peer answered; default: never.
  FleetPeak recent_peak;    ///< Within `kFleetSizeRetention`.
  FleetPeak long_peak;      ///< Within `kRetryFleetRetention`.
  std::size_t exchange_count = 0;  ///< Exchanges for which a peer was picked.
  std::vector<std::uint32_t> unknown;  ///< See `MemberGossip::unknown`.
  ServiceBits all_services = 0;        ///< Of the rules in force.
};

/// Returns a membership that holds this node alone.
Members MakeMembers(const Member& self, const std::vector<std::string>& seeds,
                    Time now);

/// Increments this node's heartbeat. Called once per exchange interval.
void IncrementHeartbeat(Members& members, Time now);

/// Applies gossip from a peer. Returns the names of members that are new or
/// came back, for the log.
std::vector<std::string> ApplyMemberGossip(Members& members,
                                           const MemberGossip& gossip,
                                           Time now);

/// Records that a peer answered an exchange.
void OnExchangeAnswered(Members& members, Time now);
/// Records a message from the node with that peer address.
void OnPeerMessage(Members& members, const std::string& peer_address, Time now);
/// Records that nothing listens at the peer address. The node counts as
/// unreachable until its heartbeat rises again.
void OnPeerUnreachable(Members& members, const std::string& peer_address,
                       Time now);

/// Returns the gossip for a peer: complete records of this node, of members
/// first seen within `kNewMemberTime` and of the nodes in `requested`, whose
/// records the peer lacks; and heartbeats of some of the others.
MemberGossip MakeMemberGossip(const Members& members,
                              const std::vector<std::uint32_t>& requested,
                              kernel::Random& random, Time now);

/// Returns the peer address for the next exchange: that of a random member, or
/// now and then that of a seed, which may not be a member yet. It is empty if
/// there is none.
std::string PickExchangePeer(Members& members, kernel::Random& random,
                             Time now);

/// Returns the number of peers to exchange with in one turn while `stalled`
/// earlier exchanges are unanswered.
///
/// If most nodes lose power at once, the survivors must find each other among
/// peers that don't answer, fast enough to learn of changed rules in time.
std::size_t MaxPeersToTry(std::size_t stalled);

/// Returns how long a member's heartbeat may stand still before the member
/// counts as silent. It depends on the size of the fleet.
std::chrono::milliseconds MaxMemberSilence(const Members& members);

/// Returns true if callers can use the member: it isn't leaving, unreachable or
/// silent.
bool IsMemberAvailable(const Members& members, const KnownMember& known,
                       Time now);

/// Returns true if the fleet is small; see `kMaxSmallFleetNodes`.
bool IsSmallFleet(const Members& members);

/// Returns the bit of a service; 0 if it has none.
ServiceBits BitOfService(const RouteTable& rules, const std::string& service);
/// Returns the bits of all services.
ServiceBits BitsOfAllServices(const RouteTable& rules);
/// Returns true if the node reaches no service of the rules in force.
bool IsCutOff(const Members& members, const Member& member);

/// Returns the caller addresses of the available nodes, for a caller in `zone`.
/// Nodes that are cut off are left out unless all are. If no node is available,
/// the result is this node's address while it listens, and empty otherwise.
std::vector<std::string> DirectoryFor(const Members& members,
                                      std::string_view zone,
                                      kernel::Random& random, Time now);

/// Returns the number of nodes among which shared limits are divided; see
/// `MakeFleetSnapshot`.
std::size_t EstimateFleetSize(Members& members, Time now);

/// Returns the number of nodes among which the retry slack is divided. Unlike
/// other limits it is of little use in a calm fleet, so that a larger number
/// costs little, and the parts of a fleet that is split for an hour must not
/// use it once each.
std::size_t CountRetrySharers(Members& members, Time now);

/// Returns what this node knows about the fleet. After a start, in a network
/// partition and after losses of nodes, the fleet counts as large as it was
/// last known to be.
FleetSnapshot MakeFleetSnapshot(Members& members, Time now);
/// The same without the nodes that don't reach one of the `services`: they send
/// nothing there, and their part of shared limits would be lost.
FleetSnapshot MakeFleetSnapshot(Members& members, ServiceBits services,
                                Time now);

/// Forgets members whose heartbeat hasn't risen for `kMemberRetention`. Returns
/// their names.
std::vector<std::string> ForgetMembers(Members& members, Time now);

}  // namespace egretladder::routing
