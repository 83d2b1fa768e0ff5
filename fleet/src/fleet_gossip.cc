// Rounds of gossip: pings to voters and a few others, answers, votes.
#include <algorithm>
#include <set>

#include "egretladder/kernel/log.h"
#include "fleet_state_p.h"

namespace egretladder::fleet {
namespace {

using std::chrono::duration_cast;
using std::chrono::milliseconds;

std::vector<LeavingVm> NoticesToTell(const FleetState& state, Time now) {
  std::vector<LeavingVm> notices;
  for (const auto& [name, read_at] : state.leaving_vms) {
    if (notices.size() >= kLeavingVmsTold) break;
    notices.push_back({name, duration_cast<milliseconds>(now - read_at)});
  }
  return notices;
}

std::vector<policy::QuarantineNotice> BlamesToTell(const FleetState& state,
                                                   Time now) {
  std::vector<policy::QuarantineNotice> blames =
      policy::ListQuarantineNotices(state.poison, now);
  // The newest have the longest left; older ones were told before.
  std::sort(blames.begin(), blames.end(), [](const auto& a, const auto& b) {
    return a.deaths != b.deaths ? a.deaths > b.deaths : a.left > b.left;
  });
  if (blames.size() > kBlamesTold) blames.resize(kBlamesTold);
  return blames;
}

Gossip MakeGossip(FleetState& state, Time now) {
  Gossip gossip;
  gossip.rules_version = VersionOf(state);
  if (state.config.rules != nullptr) {
    gossip.rules_digest = state.config.rules->digest;
  }
  gossip.quarantined = BlamesToTell(state, now);
  gossip.gone = VotesOf(state.members, now);
  gossip.nodes_digest = state.members.nodes_digest;
  gossip.leaving_vms = NoticesToTell(state, now);
  return gossip;
}

void Ping(FleetState& state, const std::string& node, bool with_members,
          Time now, Actions& out) {
  const auto found = state.members.peers.find(node);
  if (found == state.members.peers.end()) return;
  Peer& peer = found->second;
  if (peer.member.peer_address.empty()) return;
  Gossip gossip = MakeGossip(state, now);
  const bool knows_us =
      !with_members && peer.contact.any && now - peer.contact.sent < kKnownFor;
  if (!knows_us) {
    gossip.members = MakeMemberGossip(state.members, state.random, now);
  }
  gossip.reply_wanted = true;
  gossip.ping = RecordPing(state.members, peer, now);
  out.emplace_back(SendMessage{peer.member.peer_address, std::move(gossip)});
}

/// True when this node may have to keep the endpoint soon: it is the first, or
/// none of those before it seems to be there.
bool MayKeepSoon(const FleetState& state, const EndpointState& endpoint,
                 Time now) {
  if (endpoint.rank >= endpoint.voters.size()) return false;
  for (std::size_t i = 0; i < endpoint.rank; ++i) {
    const auto found = state.members.peers.find(endpoint.voters[i]);
    if (found != state.members.peers.end() &&
        GetMemberState(found->second, now) == MemberState::kAlive) {
      return false;
    }
  }
  return true;
}

void UpdateExpected(FleetState& state, Time now) {
  for (auto& [name, peer] : state.members.peers) peer.expected = false;
  for (const EndpointState& endpoint : state.endpoints) {
    if (endpoint.rank >= endpoint.voters.size()) continue;
    ExpectKeepers(state.members, endpoint.voters, now);
  }
}

void AddVoters(const FleetState& state, Time now,
               std::set<std::string>& targets) {
  for (const EndpointState& endpoint : state.endpoints) {
    if (!MayKeepSoon(state, endpoint, now)) continue;
    for (const std::string& voter : endpoint.voters) {
      if (voter != state.members.self.node) targets.insert(voter);
    }
  }
}

void AddRandom(FleetState& state, std::size_t count,
               std::set<std::string>& targets) {
  std::vector<const std::string*> names;
  for (const auto& [name, peer] : state.members.peers) {
    if (!targets.contains(name)) names.push_back(&name);
  }
  for (std::size_t i = 0; i < count && !names.empty(); ++i) {
    const auto at = kernel::RandomBelow(state.random, names.size());
    targets.insert(*names[at]);
    names[at] = names.back();
    names.pop_back();
  }
}

void PingSeeds(FleetState& state, Time now, Actions& out) {
  for (const std::string& address : state.options.seeds) {
    if (address == state.options.peer_address) continue;
    Gossip gossip = MakeGossip(state, now);
    gossip.members = MakeMemberGossip(state.members, state.random, now);
    gossip.reply_wanted = true;
    out.emplace_back(SendMessage{address, std::move(gossip)});
  }
}

void TakeNotices(FleetState& state, const std::vector<LeavingVm>& notices,
                 Time now) {
  for (const LeavingVm& notice : notices) {
    if (notice.age >= kVmNoticeKept || notice.age < milliseconds(0)) continue;
    const bool full = state.leaving_vms.size() >= kLeavingVmsTold * 8;
    if (full && !state.leaving_vms.contains(notice.name)) continue;
    Time& read_at = state.leaving_vms[notice.name];
    read_at = std::max(read_at, now - notice.age);
  }
}

void TakeBlames(FleetState& state,
                const std::vector<policy::QuarantineNotice>& blames, Time now,
                Actions& out) {
  for (const policy::QuarantineNotice& told : blames) {
    if (!policy::ApplyQuarantineNotice(state.poison, told, now)) continue;
    out.emplace_back(QuarantineAdded{told.fingerprint, told.left});
  }
}

void CompareVersions(FleetState& state, const Sender& from,
                     const Gossip& gossip, Time now, Actions& out) {
  const std::uint64_t own = VersionOf(state);
  const std::string& address = AddressOf(state, from.node);
  if (gossip.rules_version > own) {
    const bool asked_just_now = now - state.config.asked < kRulesAskEvery;
    if (asked_just_now || address.empty()) return;
    state.config.asked = now;
    out.emplace_back(SendMessage{address, RulesAsk{own}});
    return;
  }
  if (gossip.rules_version != 0 &&
      SeeDigest(state.config, gossip.rules_version, gossip.rules_digest)) {
    out.emplace_back(
        RulesRefused{gossip.rules_version, state.config.refused_why});
  }
}

}  // namespace

const std::string& AddressOf(const FleetState& state, std::string_view node) {
  static const std::string none;
  const auto found = state.members.peers.find(node);
  return found == state.members.peers.end() ? none
                                            : found->second.member.peer_address;
}

void StartRound(FleetState& state, Time now, Actions& out) {
  if (now < state.next_round) return;
  const auto jitter = milliseconds(kernel::RandomBelow(
      state.random, static_cast<std::uint64_t>(kPingEvery.count() / 5)));
  state.next_round = now + kPingEvery - kPingEvery / 10 + jitter;
  ++state.members.self.heartbeat;
  UpdateExpected(state, now);
  std::set<std::string> voters;
  AddVoters(state, now, voters);
  for (const std::string& node : voters) Ping(state, node, false, now, out);
  // These carry members too: so the word of nodes that share no endpoint goes
  // round, within a fixed number of bytes.
  std::set<std::string> others;
  AddRandom(state, kRandomPeers, others);
  for (const std::string& node : others) Ping(state, node, true, now, out);
  if (!HearsAnyone(state.members, now)) PingSeeds(state, now, out);
}

void TellSome(FleetState& state, Time now, Actions& out) {
  std::set<std::string> targets;
  AddRandom(state, kEagerPeers, targets);
  for (const std::string& node : targets) Ping(state, node, true, now, out);
}

void TellAll(FleetState& state, Time now, Actions& out) {
  ++state.members.self.heartbeat;
  std::set<std::string> targets;
  AddVoters(state, now, targets);
  AddRandom(state, kEagerPeers, targets);
  for (const std::string& node : targets) Ping(state, node, true, now, out);
}

void TakeGossip(FleetState& state, const Sender& from, const Gossip& gossip,
                Time now, Actions& out) {
  const bool was_replaced = state.members.replaced;
  const bool current = ApplyGossip(state.members, from, gossip, now);
  if (state.members.replaced && !was_replaced) {
    kernel::Log(kernel::LogPart::kFleet, kernel::LogLevel::kError,
                "A newer process runs as " + state.members.self.node +
                    ". This one takes no new work.");
  }
  if (!current) return;
  TakeNotices(state, gossip.leaving_vms, now);
  TakeBlames(state, gossip.quarantined, now, out);
  CompareVersions(state, from, gossip, now, out);
  // An answer to a ping sent after waking shows that no newer version was
  // missed, at least not by this peer.
  const Peer& peer = state.members.peers.find(from.node)->second;
  const bool answered = gossip.ack != 0 && peer.contact.any;
  if (state.fresh.woke && answered &&
      peer.contact.sent >= state.fresh.woke_at &&
      gossip.rules_version <= VersionOf(state)) {
    state.fresh.woke = false;
  }
  if (!gossip.reply_wanted || peer.member.peer_address.empty()) return;
  Gossip reply = MakeGossip(state, now);
  if (!gossip.members.empty()) {
    reply.members = MakeMemberGossip(state.members, state.random, now);
  }
  reply.ack = gossip.ping;
  out.emplace_back(
      SendMessage{peer.member.peer_address, std::move(reply), true});
}

}  // namespace egretladder::fleet
