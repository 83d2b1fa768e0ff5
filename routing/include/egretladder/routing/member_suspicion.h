// Finds members that are gone.
//
// A node whose exchange a member leaves unanswered, or whose connection it
// refuses, suspects the member and tells the others. A member that hears of the
// suspicion refutes it by a higher revision. If none comes in time, the member
// counts as silent: it isn't given to callers and has no part of shared limits
// (SWIM: Das et al., DSN 2002). A node that no peer answers is probably cut off
// itself, and keeps its suspicions to itself (Lifeguard: Dadgar et al., 2018).
#pragma once

#include <chrono>
#include <string>
#include <vector>

#include "egretladder/routing/members.h"

namespace egretladder::routing {

/// A member that leaves an exchange unanswered for this long is suspected. A
/// process on a small share of a processor may stand still for some hundred
/// milliseconds.
inline constexpr milliseconds kMaxExchangeAnswerTime{600};
/// How long a suspicion may stand, for each doubling of the fleet.
inline constexpr milliseconds kSuspicionTimePerDoubling{250};
/// Answers in which a node tells news, besides one for each second doubling of
/// the fleet. As many of its own messages tell them too. Of n nodes that tell
/// news k times, about n / e^k miss them.
inline constexpr std::uint32_t kMinNewsTells = 2;

/// Returns how long a suspicion may stand before the member counts as silent.
/// News spread by doubling, so that it grows with the logarithm of the fleet.
milliseconds SuspicionTime(const Members& members);

bool IsSuspected(const KnownMember& known);
/// The same of the member with that peer address, if there is one.
bool IsPeerSuspected(const Members& members, const std::string& peer_address);

/// Records that a peer answered an exchange, or began one. If none did for a
/// while, this node's own links were lost, and its suspicions don't count.
void OnExchangeAnswered(Members& members, Time now);
/// Records a message from the node with that peer address.
void OnPeerMessage(Members& members, const std::string& peer_address, Time now);
/// Records that nothing listens at the peer address. The node counts as
/// unreachable until it is heard of again.
void OnPeerUnreachable(Members& members, const std::string& peer_address,
                       Time now);
/// Records that the node with that peer address has left an exchange unanswered
/// for `kMaxExchangeAnswerTime`.
void OnPeerUnanswered(Members& members, const std::string& peer_address,
                      Time now);

/// Suspects the member from now on, if it isn't suspected yet.
void SuspectMember(Members& members, KnownMember& known, Time now);
/// Takes the member for available again.
void EndSuspicion(Members& members, KnownMember& known);
/// Tells what is known of the member in the next messages.
void TellAsNews(Members& members, KnownMember& known);

/// Lets members become silent whose suspicions were not refuted in time.
/// Returns their names. Called at each tick.
std::vector<std::string> UpdateSilentMembers(Members& members, Time now);

}  // namespace egretladder::routing
