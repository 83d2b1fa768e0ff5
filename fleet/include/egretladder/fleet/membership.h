// Membership: which peers are reachable in both directions, and how they vote.
//
// Heartbeats are spread by gossip; the incarnation distinguishes a process from
// its predecessor. No node declares another dead on behalf of others: each
// judges by what it heard itself and lists in its votes the nodes that it
// counts as gone. Source: SWIM with Lifeguard (a slow process first suspects
// itself).
#pragma once

#include <cstdint>
#include <deque>
#include <map>
#include <string>
#include <string_view>
#include <vector>

#include "egretladder/fleet/limits.h"
#include "egretladder/fleet/messages.h"
#include "egretladder/kernel/hash.h"
#include "egretladder/kernel/time.h"
#include "egretladder/rules/rules.h"

namespace egretladder::fleet {

using kernel::Time;

/// A ping that may still be answered.
struct PingSent {
  std::uint64_t number = 0;
  Time sent{};
};

/// A peer's answers to this node's own pings. They prove that messages pass in
/// both directions.
struct Contact {
  bool any = false;
  Time sent{};   ///< Time when the last answered ping was sent.
  Time since{};  ///< Start of the current period of answers without a break.
  Time digest_since{};  ///< Time since which the answers contain this node's
                        ///< `nodes_digest`.
};

/// Nodes that a peer counts as gone, as of its last answer to a ping.
struct Vote {
  std::uint64_t nodes_digest = 0;
  std::vector<std::string> gone;
};

/// One node's state of another node.
struct Peer {
  Member member;
  bool published = false;
  bool expected = false;  ///< The peer should ping this node because it may
                          ///< keep an endpoint on which both vote.
  Time heard{};   ///< Time when its heartbeat last increased here, by any path.
  Time direct{};  ///< Time of the last message from the peer itself.
  Time leaving_since{};
  Contact contact;
  Vote vote;
  std::deque<PingSent> pings;
};

/// One node's state of itself and all others.
struct MembershipState {
  Member self;
  bool replaced = false;  ///< A newer process runs under this node's name.
  std::uint64_t nodes_digest = 0;
  std::map<std::string, Peer, std::less<>> peers;
  std::uint64_t pings = 0;  ///< Number of the last ping.
};

/// Applies the list of published nodes. A new node counts as heard now.
void UpdatePublishedNodes(MembershipState& state, const rules::Rules& rules,
                          Time now);

/// Marks the peers whose silence is counted in votes: the voters of an endpoint
/// up to the first one that is alive.
void MarkExpectedKeepers(MembershipState& state,
                         const std::vector<std::string>& voters, Time now);

/// Applies the gossip about one member. Returns false if it is about a process
/// that was replaced, or there is no room for another unpublished peer.
bool ApplyMemberGossip(MembershipState& state, const Member& told, bool direct,
                       Time now);

/// Applies a peer's gossip: its members, its answer to a ping, its votes.
/// Returns false if it comes from a process that was replaced and must be
/// ignored.
bool ApplyGossip(MembershipState& state, const Sender& from,
                 const Gossip& gossip, Time now);

/// Records a message that contains no data about its sender. A sender that was
/// never heard, or whose predecessor is silent, is accepted, because the keeper
/// in a large fleet hears from most of its holders only by their requests.
/// Returns false if the sender was replaced.
bool RecordSender(MembershipState& state, const Sender& from, Time now);

/// Returns true if the message is from the current process of the node.
bool IsCurrent(const MembershipState& state, const Sender& from);

/// Assigns a number to a ping to `peer` and records when it was sent.
std::uint64_t RecordPing(MembershipState& state, Peer& peer, Time now);

/// Counts all peers as heard now. Called after a pause of this process, which
/// caused the silence itself.
void ResetPeerTimeouts(MembershipState& state, Time now);

/// Returns the peer's state at `now`, by its silence and its own announcements.
MemberState GetMemberState(const Peer& peer, Time now);

/// Returns true if the peer may be skipped as a keeper: it was not heard for
/// `kGoneTimeout`, or it announced its leave and its leases have lapsed.
bool CountsAsGone(const Peer& peer, Time now);

/// Returns the members to include in a message: recent changes first, then
/// members chosen at random.
std::vector<Member> MakeMemberGossip(const MembershipState& state,
                                     kernel::Random& random, Time now);
/// Returns the names of the nodes that this node counts as gone in its votes.
std::vector<std::string> ListGoneVotes(const MembershipState& state, Time now);

/// Returns true if `voter` answered this node recently and has done so without
/// a break for long enough. If `keeping` is true, this node keeps the endpoint
/// already, and a change of the list of nodes doesn't restart that time.
bool IsSupportedBy(const MembershipState& state, std::string_view voter,
                   bool keeping, Time now);
/// Returns true if `voter` has answered this node without a break since `then`,
/// and so has supported no other node meanwhile.
bool IsSupportedSince(const MembershipState& state, std::string_view voter,
                      Time then);
/// Returns true if `voter` recently reported that `node` is gone.
bool HasVotedGone(const MembershipState& state, std::string_view voter,
                  std::string_view node, Time now);

/// Returns true if this node may keep an endpoint with these voters, in order
/// of preference: a majority supports it, and for each node before it a
/// majority reports that node as gone. Two nodes can't both meet this condition
/// while a lease granted by either is valid; see docs/design/slots.md.
/// `keeping`: this node has kept the endpoint up to now.
bool CanKeep(const MembershipState& state,
             const std::vector<std::string>& voters, bool keeping, Time now);

/// Returns true if any peer answered a ping sent within the last
/// `kIsolationTimeout`.
bool HasRecentContact(const MembershipState& state, Time now);

}  // namespace egretladder::fleet
