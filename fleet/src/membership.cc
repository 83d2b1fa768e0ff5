#include "egretladder/fleet/membership.h"

#include <algorithm>
#include <tuple>
#include <utility>

#include "egretladder/fleet/electorate.h"

namespace egretladder::fleet {
namespace {

/// Pings to one peer that may still be answered.
constexpr std::size_t kPingsOpen = 8;
/// Peers outside the published list that are remembered.
constexpr std::size_t kUnpublishedMost = 64;
/// A change is told first for so long.
constexpr std::chrono::seconds kNewsFor{5};

bool IsNewer(const Member& told, const Member& known) {
  return std::tie(told.started, told.incarnation) >
         std::tie(known.started, known.incarnation);
}

/// Puts the process that `told` speaks of in place of the one known.
void Replace(Peer& peer, const Member& told, Time now) {
  peer.member = told;
  peer.heard = now;
  peer.leaving_since = now;
  peer.contact = {};
  peer.vote = {};
  peer.pings.clear();
}

/// Returns false when `told` is of a process that was replaced.
bool Merge(Peer& peer, const Member& told, bool direct, Time now) {
  Member& known = peer.member;
  if (told.incarnation != known.incarnation) {
    // A VM's wall clock may be behind its predecessor's, which would keep the
    // new process out for ever: once the old one is silent, a direct word of
    // the new one counts whatever its start time.
    const bool silent = direct && now - peer.heard > kSuspectTimeout;
    if (!IsNewer(told, known) && !silent) return false;
    Replace(peer, told, now);
    return true;
  }
  known.started = std::max(known.started, told.started);
  if (told.heartbeat <= known.heartbeat) return true;
  known.heartbeat = told.heartbeat;
  peer.heard = now;
  if (told.state == MemberState::kLeaving &&
      known.state != MemberState::kLeaving) {
    known.state = MemberState::kLeaving;
    peer.leaving_since = now;
  }
  return true;
}

Peer* FindOrAdd(MembershipState& state, const Member& told, Time now) {
  const auto found = state.peers.find(told.node);
  if (found != state.peers.end()) return &found->second;
  const auto unpublished = static_cast<std::size_t>(
      std::count_if(state.peers.begin(), state.peers.end(),
                    [](const auto& e) { return !e.second.published; }));
  if (unpublished >= kUnpublishedMost || told.node.empty()) return nullptr;
  Peer& peer = state.peers[told.node];
  peer.member.node = told.node;
  peer.heard = now;
  return &peer;
}

void TakeAck(MembershipState& state, Peer& peer, const Gossip& gossip,
             Time now) {
  const auto ping =
      std::find_if(peer.pings.begin(), peer.pings.end(),
                   [&](const PingSent& p) { return p.number == gossip.ack; });
  if (ping == peer.pings.end()) return;
  const Time sent = ping->sent;
  peer.pings.erase(peer.pings.begin(), ping + 1);
  Contact& contact = peer.contact;
  // Between two answers further apart the peer may have counted this node as
  // gone and supported another keeper.
  const bool unbroken = contact.any && now - contact.sent < kGoneAfter;
  if (!unbroken) contact.since = now;
  const bool same_digest = gossip.nodes_digest == state.nodes_digest;
  const bool was_same =
      unbroken && peer.vote.nodes_digest == state.nodes_digest;
  if (same_digest && !was_same) contact.digest_since = now;
  contact.any = true;
  contact.sent = sent;
  peer.vote = {gossip.nodes_digest, gossip.gone};
}

}  // namespace

void SetPublished(MembershipState& state, const rules::Rules& rules, Time now) {
  for (auto& [name, peer] : state.peers) peer.published = false;
  for (const rules::Node& node : rules.nodes) {
    const std::string& name = node.source.name;
    if (!node.source.present || name == state.self.node) continue;
    const auto [found, added] = state.peers.try_emplace(name);
    Peer& peer = found->second;
    if (added) peer.heard = now;
    peer.published = true;
    peer.member.node = name;
    peer.member.caller_address = node.caller_address;
    peer.member.peer_address = node.peer_address;
    peer.member.zone = rules.zones[node.zone.idx].source.name;
  }
  std::erase_if(state.peers, [&](const auto& entry) {
    return !entry.second.published && now - entry.second.heard > kGoneAfter;
  });
}

void ExpectKeepers(MembershipState& state,
                   const std::vector<std::string>& voters, Time now) {
  for (const std::string& voter : voters) {
    const auto found = state.peers.find(voter);
    if (found == state.peers.end()) {
      if (voter == state.self.node) return;
      continue;
    }
    found->second.expected = true;
    if (GetMemberState(found->second, now) == MemberState::kAlive) return;
  }
}

bool ApplyMemberGossip(MembershipState& state, const Member& told, bool direct,
                       Time now) {
  if (told.node == state.self.node) {
    if (IsNewer(told, state.self)) state.replaced = true;
    return true;
  }
  Peer* peer = FindOrAdd(state, told, now);
  return peer != nullptr && Merge(*peer, told, direct, now);
}

bool ApplyGossip(MembershipState& state, const Sender& from,
                 const Gossip& gossip, Time now) {
  if (from.node == state.self.node) {
    for (const Member& told : gossip.members) {
      if (told.node == from.node) ApplyMemberGossip(state, told, true, now);
    }
    return false;
  }
  for (const Member& told : gossip.members) {
    const bool direct =
        told.node == from.node && told.incarnation == from.incarnation;
    ApplyMemberGossip(state, told, direct, now);
  }
  if (!IsCurrent(state, from)) return false;
  Peer& peer = state.peers.find(from.node)->second;
  // A ping that is answered counts as heard, even when its heartbeat came here
  // earlier by another way: the answer is support, and no vote may contradict
  // it too soon.
  if (gossip.reply_wanted) peer.heard = now;
  peer.direct = now;
  if (gossip.ack != 0) TakeAck(state, peer, gossip, now);
  return true;
}

bool RecordSender(MembershipState& state, const Sender& from, Time now) {
  const auto found = state.peers.find(from.node);
  if (found == state.peers.end()) return false;
  Peer& peer = found->second;
  if (peer.member.incarnation != from.incarnation) {
    const bool unheard = peer.member.incarnation == 0;
    if (!unheard && now - peer.heard <= kSuspectTimeout) return false;
    Member fresh = peer.member;
    fresh.incarnation = from.incarnation;
    fresh.started = 0;
    fresh.heartbeat = 0;
    fresh.state = MemberState::kAlive;
    Replace(peer, fresh, now);
  }
  peer.heard = now;
  peer.direct = now;
  return true;
}

bool IsCurrent(const MembershipState& state, const Sender& from) {
  const auto found = state.peers.find(from.node);
  return found != state.peers.end() &&
         found->second.member.incarnation == from.incarnation;
}

std::uint64_t RecordPing(MembershipState& state, Peer& peer, Time now) {
  if (peer.pings.size() >= kPingsOpen) peer.pings.pop_front();
  peer.pings.push_back({++state.pings, now});
  return state.pings;
}

void ResetPeerTimeouts(MembershipState& state, Time now) {
  for (auto& [name, peer] : state.peers) peer.heard = now;
}

MemberState GetMemberState(const Peer& peer, Time now) {
  if (now - peer.heard > kGoneAfter) return MemberState::kGone;
  if (peer.member.state == MemberState::kLeaving) return MemberState::kLeaving;
  if (now - peer.heard > kSuspectTimeout) return MemberState::kSuspect;
  return MemberState::kAlive;
}

bool CountsAsGone(const Peer& peer, Time now) {
  const bool left = peer.member.state == MemberState::kLeaving &&
                    now - peer.leaving_since > kLeftAfter;
  return left || now - peer.heard > kGoneAfter;
}

std::vector<Member> MakeMemberGossip(const MembershipState& state,
                                     kernel::Random& random, Time now) {
  std::vector<Member> news{state.self};
  std::vector<const Member*> others;
  for (const auto& [name, peer] : state.peers) {
    // Only what the peer said here itself, and lately, is passed on. Hearsay of
    // hearsay would look new at each receiver, and a dead node would stay in
    // callers' answers for as long as the rumour takes to go round.
    if (peer.member.heartbeat == 0 || now - peer.direct > kKnownFor) continue;
    const bool leaves = peer.member.state == MemberState::kLeaving;
    if (leaves && now - peer.leaving_since < kNewsFor &&
        news.size() <= kMaxMembersPerMessage) {
      news.push_back(peer.member);
    } else {
      others.push_back(&peer.member);
    }
  }
  while (!others.empty() && news.size() <= kMaxMembersPerMessage) {
    const auto at = kernel::RandomBelow(random, others.size());
    news.push_back(*others[at]);
    others[at] = others.back();
    others.pop_back();
  }
  return news;
}

std::vector<std::string> VotesOf(const MembershipState& state, Time now) {
  std::vector<std::string> gone;
  for (const auto& [name, peer] : state.peers) {
    if (!peer.expected || !CountsAsGone(peer, now)) continue;
    if (gone.size() >= kGoneTold) break;
    gone.push_back(name);
  }
  return gone;
}

bool Supports(const MembershipState& state, std::string_view voter,
              bool keeping, Time now) {
  if (voter == state.self.node) return true;
  const auto found = state.peers.find(voter);
  if (found == state.peers.end()) return false;
  const Peer& peer = found->second;
  if (!peer.contact.any || now - peer.contact.sent >= kSupportLifetime)
    return false;
  if (peer.vote.nodes_digest != state.nodes_digest) return false;
  const Time since =
      keeping ? peer.contact.since
              : std::max(peer.contact.since, peer.contact.digest_since);
  return now - since >= kMinSupportDuration;
}

bool SupportedSince(const MembershipState& state, std::string_view voter,
                    Time then) {
  if (voter == state.self.node) return true;
  const auto found = state.peers.find(voter);
  if (found == state.peers.end()) return false;
  const Contact& contact = found->second.contact;
  return contact.any && contact.since <= then;
}

bool HasVotedGone(const MembershipState& state, std::string_view voter,
                  std::string_view node, Time now) {
  if (voter == state.self.node) {
    const auto found = state.peers.find(node);
    return found != state.peers.end() && CountsAsGone(found->second, now);
  }
  const auto found = state.peers.find(voter);
  if (found == state.peers.end()) return false;
  const Peer& peer = found->second;
  const bool fresh = peer.contact.any &&
                     now - peer.contact.sent < kSupportLifetime &&
                     peer.vote.nodes_digest == state.nodes_digest;
  return fresh && std::find(peer.vote.gone.begin(), peer.vote.gone.end(),
                            node) != peer.vote.gone.end();
}

bool CanKeep(const MembershipState& state,
             const std::vector<std::string>& voters, bool keeping, Time now) {
  if (state.replaced) return false;
  const auto majority = static_cast<std::ptrdiff_t>(MajorityOf(voters.size()));
  const auto self = std::find(voters.begin(), voters.end(), state.self.node);
  if (self == voters.end()) return false;
  const auto supporters = std::count_if(
      voters.begin(), voters.end(),
      [&](const auto& voter) { return Supports(state, voter, keeping, now); });
  if (supporters < majority) return false;
  return std::all_of(voters.begin(), self, [&](const std::string& before) {
    const auto votes =
        std::count_if(voters.begin(), voters.end(), [&](const auto& voter) {
          return voter != before && HasVotedGone(state, voter, before, now);
        });
    return votes >= majority;
  });
}

bool HearsAnyone(const MembershipState& state, Time now) {
  return std::any_of(
      state.peers.begin(), state.peers.end(), [&](const auto& entry) {
        const Contact& contact = entry.second.contact;
        return contact.any && now - contact.sent <= kIsolatedAfter;
      });
}

}  // namespace egretladder::fleet
