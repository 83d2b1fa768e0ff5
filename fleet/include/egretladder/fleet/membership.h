// Which peers are heard, in both directions, and what they vote.
//
// Heartbeats travel by gossip; a peer is told apart from its predecessor by its
// incarnation. Nobody is declared dead for others: each node judges by what it
// heard itself, and says in its votes whom it counts as gone.
// Source: SWIM with Lifeguard (a slow process blames itself first).
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

/// Answers of a peer to this node's own pings: proof that both directions work.
struct Contact {
  bool any = false;
  Time sent{};          ///< When the last answered ping was sent.
  Time since{};         ///< Start of the answers without a break.
  Time digest_since{};  ///< Since when they carry this node's nodes digest.
};

/// Whom a peer counts as gone, as of the ping it answered.
struct Vote {
  std::uint64_t nodes_digest = 0;
  std::vector<std::string> gone;
};

/// What this node knows of one other node.
struct Peer {
  Member member;
  bool published = false;
  bool expected = false;  ///< Should ping this node, as it may keep an endpoint
                          ///< that both vote on.
  Time heard{};           ///< When its heartbeat last rose here, by any path.
  Time direct{};          ///< When it spoke itself.
  Time leaving_since{};
  Contact contact;
  Vote vote;
  std::deque<PingSent> pings;
};

/// What one node knows of itself and of all others.
struct MembershipState {
  Member self;
  bool replaced = false;  ///< A newer process runs under this node's name.
  std::uint64_t nodes_digest = 0;
  std::map<std::string, Peer, std::less<>> peers;
  std::uint64_t pings = 0;  ///< Number of the last one.
};

/// Takes over the published nodes: new ones get the benefit of the doubt.
void SetPublished(MembershipState& state, const rules::Rules& rules, Time now);

/// Marks the peers whose silence is worth a vote: of the voters of an endpoint,
/// those up to the first that is there.
void ExpectKeepers(MembershipState& state,
                   const std::vector<std::string>& voters, Time now);

/// Takes one relayed member into account. Returns true when it was news.
bool ApplyMemberGossip(MembershipState& state, const Member& told, bool direct,
                       Time now);

/// Takes a peer's gossip: its members, its answer to a ping, its votes. False
/// when it comes from a process that was replaced and must be ignored.
bool ApplyGossip(MembershipState& state, const Sender& from,
                 const Gossip& gossip, Time now);

/// Takes note of a message that carries nothing of its sender. One never heard
/// of, or whose predecessor is silent, is believed: in a large fleet a keeper
/// hears most of its holders by their asks only. False: it was replaced.
bool RecordSender(MembershipState& state, const Sender& from, Time now);

/// True for a message from the process that runs under the name now.
bool IsCurrent(const MembershipState& state, const Sender& from);

/// Numbers a ping to `peer` and remembers when it went out.
std::uint64_t RecordPing(MembershipState& state, Peer& peer, Time now);

/// This process was paused: what it did not hear meanwhile is its own fault.
void ResetPeerTimeouts(MembershipState& state, Time now);

/// What a peer's silence, or its own word that it leaves, makes of it by `now`.
MemberState GetMemberState(const Peer& peer, Time now);

/// True when the peer may be passed over as a keeper: unheard for `kGoneAfter`,
/// or left and its leases lapsed.
bool CountsAsGone(const Peer& peer, Time now);

/// Members worth telling: news first, then some drawn at random.
std::vector<Member> MakeMemberGossip(const MembershipState& state,
                                     kernel::Random& random, Time now);
/// Names of this node's votes.
std::vector<std::string> VotesOf(const MembershipState& state, Time now);

/// True when `voter` answered this node within a mandate and without a break
/// for long enough. `keeping`: the duty goes on from an earlier list of nodes.
bool Supports(const MembershipState& state, std::string_view voter,
              bool keeping, Time now);
/// True when `voter` has answered this node without a break since `then`, and
/// so supported nobody else meanwhile.
bool SupportedSince(const MembershipState& state, std::string_view voter,
                    Time then);
/// True when `voter` said within a mandate that `node` is gone.
bool HasVotedGone(const MembershipState& state, std::string_view voter,
                  std::string_view node, Time now);

/// True when this node may keep an endpoint with these voters, first choice
/// first: a majority supports it, and for each node before it a majority says
/// that it is gone. Two nodes can't both hold that while a lease of either
/// runs: docs/design/slots.md. `keeping`: it did so up to now.
bool CanKeep(const MembershipState& state,
             const std::vector<std::string>& voters, bool keeping, Time now);

/// True when any peer answered within `kIsolatedAfter`.
bool HearsAnyone(const MembershipState& state, Time now);

}  // namespace egretladder::fleet
