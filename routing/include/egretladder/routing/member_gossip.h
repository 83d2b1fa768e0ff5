// What nodes tell each other about members.
//
// Each message holds the sender's own record, a bounded number of news, each
// of which a node tells a bounded number of times, and the states of a few
// random members, so that a node which missed news hears of them later. A node
// that has just started, or hears of many nodes that it doesn't know, names
// those that it knows, and gets the records of others.
#pragma once

#include <chrono>
#include <cstdint>
#include <string>
#include <vector>

#include "egretladder/routing/members.h"

namespace egretladder::routing {

/// Interval between exchanges with peers in a small fleet.
inline constexpr milliseconds kExchangeInterval{100};
/// Interval between exchanges in a large fleet.
inline constexpr milliseconds kLargeFleetExchangeInterval{200};
/// In a large fleet one exchange in this many may go to another availability
/// zone. Bytes between zones cost more, and each zone has enough nodes to carry
/// its changes to the others.
inline constexpr std::size_t kExchangesPerOtherZone = 4;
/// Exchanges with seeds that all nodes together begin in one turn, on average.
inline constexpr std::size_t kSeedExchangesPerTurnOfFleet = 2;
/// Turns of one node for each of its exchanges with a seed, at least.
inline constexpr std::size_t kMinTurnsPerSeedExchange = 8;
/// Turns for each attempt to reach a silent member, at least.
inline constexpr std::size_t kTurnsPerSilentMember = 4;
/// Records sent to a peer that asks for single ones, about 160 bytes each.
inline constexpr std::size_t kMaxMembersPerExchange = 16;
/// Records sent to a peer that asks for all that it lacks.
inline constexpr std::size_t kMaxMembersPerCatchUp = 256;
/// Records of new members among the news of one message.
inline constexpr std::size_t kMaxNewMembersPerExchange = 8;
/// News in one message, 24 bytes each. After the loss of most nodes there are
/// hundreds.
inline constexpr std::size_t kMaxNewsPerExchange = 256;
/// Random members whose state is told in each message.
inline constexpr std::size_t kSampledStatuses = 16;
/// Nodes whose records are requested one by one. A node that hears of more asks
/// for all.
inline constexpr std::size_t kMaxUnknownNodes = kMaxMembersPerExchange;
/// How long a node that has just started asks for all records after it has
/// learned of a new one.
inline constexpr milliseconds kCatchUpTime{1000};
/// How long a peer that missed a suspicion is told of it.
inline constexpr std::chrono::seconds kSuspicionNewsTime{10};
/// An exchange without an answer for this long is stalled; an answer takes a
/// round trip.
inline constexpr milliseconds kExchangeStallTime{200};
/// Upper bound on the peers tried in one turn.
inline constexpr std::size_t kMaxPeersPerTurn = 8;

/// What a node tells of another one whose record the receiver probably has: 24
/// bytes, where a `Member` takes about 160.
struct MemberStatus {
  std::uint32_t node = 0;               ///< See `NodeKey`.
  std::uint32_t short_incarnation = 0;  ///< Low half of its incarnation.
  std::uint32_t revision = 0;
  std::uint32_t heartbeat = 0;  ///< For nodes of earlier versions.
  bool suspected = false;       ///< The sender suspects that it is gone.
  MemberState state;
};

/// The members that one message tells of.
struct MemberGossip {
  std::vector<Member> members;  ///< The sender first.
  std::vector<MemberStatus> statuses;
  /// Keys of nodes whose status the sender received and whose record it lacks.
  std::vector<std::uint32_t> unknown;
  /// Keys of the records of all nodes that the sender knows, if it wants those
  /// of all others; otherwise empty. They differ for each start of a process.
  std::vector<std::uint32_t> known;
};

/// The peer that a message goes to.
struct GossipTarget {
  std::string peer_address;  ///< Empty: not known.
  bool is_answered = false;  ///< The message answers one of the peer.
  /// `MemberGossip::unknown` and `known` of its last message.
  std::vector<std::uint32_t> unknown;
  std::vector<std::uint32_t> known;
};

/// Increments this node's heartbeat. Called once per turn.
void IncrementHeartbeat(Members& members);

/// Applies gossip from a peer. Returns the names of members that are new or
/// came back, for the log.
std::vector<std::string> ApplyMemberGossip(Members& members,
                                           const MemberGossip& gossip,
                                           Time now);

/// Returns the gossip for a peer, and counts the news in it as told once.
MemberGossip MakeMemberGossip(Members& members, const GossipTarget& target,
                              kernel::Random& random, Time now);

/// Returns the peer address for the next exchange: that of a random member, now
/// and then that of a seed, which may not be a member yet, or of a member that
/// is silent, which may be back. It is empty if there is none.
std::string PickExchangePeer(const Members& members, kernel::Random& random);

/// Returns the peer address for one more exchange while members are suspected:
/// that of another member in the zone of one of them, since nodes are lost by
/// the rack or the zone. It is empty if there is none.
std::string PickPeerBesideSuspect(const Members& members,
                                  kernel::Random& random);

/// Returns the number of peers to exchange with in one turn while `stalled`
/// earlier exchanges are unanswered.
///
/// If most nodes lose power at once, the survivors must find each other among
/// peers that don't answer, fast enough to learn of changed rules in time.
std::size_t MaxPeersToTry(std::size_t stalled);

}  // namespace egretladder::routing
