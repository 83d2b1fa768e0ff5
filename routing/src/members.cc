#include "egretladder/routing/members.h"

#include <algorithm>
#include <unordered_map>

namespace egretladder::routing {
namespace {

bool IsNewer(const Member& told, const Member& known) {
  if (told.incarnation != known.incarnation) {
    return told.incarnation > known.incarnation;
  }
  return told.heartbeat > known.heartbeat;
}

// A life under this node's name that others take for newer than this one: an
// earlier process, or this one before the time of day went back.
void HearOfSelf(Members& members, const Member& told) {
  Member& self = members.self;
  if (IsNewer(told, self)) self.incarnation = told.incarnation + 1;
}

std::uint32_t LowHalf(std::uint64_t number) {
  return static_cast<std::uint32_t>(number);
}

std::uint32_t KeyOf(const std::string& node) {
  return LowHalf(kernel::HashBytes(node));
}

// Takes what is newer of a node that is known. A new life is met anew.
void Refresh(Members& members, KnownMember& known, const Member& told, Time now,
             std::vector<std::string>& news) {
  if (!IsNewer(told, known.member)) return;
  if (!IsMemberAvailable(members, known, now)) news.push_back(told.node);
  const bool same_life = told.incarnation == known.member.incarnation;
  if (!same_life) known = {.met = now};
  known.member = told;
  known.heard = now;
  known.unreachable = false;
}

void HearMember(Members& members, const Member& told, Time now,
                std::vector<std::string>& news) {
  std::erase(members.unknown, KeyOf(told.node));
  if (told.node == members.self.node) {
    HearOfSelf(members, told);
    return;
  }
  const auto at = members.others.find(told.node);
  if (at != members.others.end()) {
    Refresh(members, at->second, told, now, news);
    return;
  }
  members.others[told.node] = {.member = told, .heard = now, .met = now};
  news.push_back(told.node);
}

Member WithPulse(Member member, const MemberHeartbeat& pulse) {
  member.heartbeat = pulse.heartbeat;
  member.leaving = pulse.leaving;
  member.store_troubled = pulse.store_troubled;
  return member;
}

MemberHeartbeat PulseOf(const Member& member) {
  return {KeyOf(member.node), LowHalf(member.incarnation), member.heartbeat,
          member.leaving, member.store_troubled};
}

// The next peer is asked who that is. One that nobody knows any more drops out
// as others fill the list.
void AskFor(Members& members, std::uint32_t key) {
  auto& unknown = members.unknown;
  if (std::find(unknown.begin(), unknown.end(), key) != unknown.end()) return;
  if (unknown.size() >= kUnknownMost) unknown.erase(unknown.begin());
  unknown.push_back(key);
}

template <typename T>
void Shuffle(std::vector<T>& items, kernel::Random& random) {
  for (std::size_t i = items.size(); i > 1; --i) {
    std::swap(items[i - 1], items[kernel::RandomBelow(random, i)]);
  }
}

}  // namespace

Members MakeMembers(const Member& self, const std::vector<std::string>& seeds,
                    Time now) {
  Members members;
  members.self = self;
  members.seeds = seeds;
  members.started = now;
  members.most_nodes_at = now;
  return members;
}

void IncrementHeartbeat(Members& members, Time /*now*/) {
  ++members.self.heartbeat;
}

std::vector<std::string> ApplyMemberGossip(Members& members,
                                           const MemberGossip& told, Time now) {
  std::vector<std::string> news;
  for (const Member& member : told.members) {
    HearMember(members, member, now, news);
  }
  std::unordered_map<std::uint32_t, KnownMember*> by_key;
  for (auto& [node, known] : members.others)
    by_key.emplace(KeyOf(node), &known);
  const std::uint32_t self = KeyOf(members.self.node);
  for (const MemberHeartbeat& pulse : told.member_heartbeats) {
    const auto at = by_key.find(pulse.node);
    const Member* known = at != by_key.end()   ? &at->second->member
                          : pulse.node == self ? &members.self
                                               : nullptr;
    // Another life may have other addresses, and of this node it may be one
    // that it has to outbid.
    if (known == nullptr ||
        LowHalf(known->incarnation) != pulse.short_incarnation) {
      AskFor(members, pulse.node);
    } else if (at != by_key.end()) {
      Refresh(members, *at->second, WithPulse(*known, pulse), now, news);
    } else {
      HearOfSelf(members, WithPulse(*known, pulse));
    }
  }
  return news;
}

void OnExchangeAnswered(Members& members, Time now) { members.exchanged = now; }

void OnPeerMessage(Members& members, const std::string& peers, Time now) {
  for (auto& [node, known] : members.others) {
    if (known.member.peers == peers) known.heard_itself = now;
  }
}

void OnPeerUnreachable(Members& members, const std::string& peers,
                       Time /*now*/) {
  for (auto& [node, known] : members.others) {
    if (known.member.peers == peers) known.unreachable = true;
  }
}

MemberGossip MakeMemberGossip(const Members& members,
                              const std::vector<std::uint32_t>& asked,
                              kernel::Random& random, Time now) {
  std::vector<const KnownMember*> there;
  for (const auto& [node, known] : members.others) {
    // What is silent is not told: it would look new to a node that starts.
    if (now - known.heard < SilenceAllowed(members) && !known.unreachable) {
      there.push_back(&known);
    }
  }
  Shuffle(there, random);
  MemberGossip told;
  told.members = {members.self};
  told.unknown = members.unknown;
  for (const KnownMember* known : there) {
    const bool is_asked = std::find(asked.begin(), asked.end(),
                                    KeyOf(known->member.node)) != asked.end();
    if ((is_asked || now - known->met < kMemberNew) &&
        told.members.size() <= kMembersTold) {
      told.members.push_back(known->member);
    } else if (told.member_heartbeats.size() < kPulsesTold) {
      told.member_heartbeats.push_back(PulseOf(known->member));
    }
  }
  return told;
}

std::string PickExchangePeer(Members& members, kernel::Random& random,
                             Time now) {
  std::vector<std::string> addresses;
  std::vector<std::string> near;
  for (const auto& [node, known] : members.others) {
    if (!IsMemberAvailable(members, known, now) && !known.member.leaving)
      continue;
    addresses.push_back(known.member.peers);
    if (known.member.zone == members.self.zone) {
      near.push_back(known.member.peers);
    }
  }
  const bool stays = !IsSmallFleet(members) && !near.empty() &&
                     kernel::RandomBelow(random, kTurnsPerZoneLeft) != 0;
  if (stays) addresses = std::move(near);
  // Every eighth turn, and whenever nobody is there, a seed: two parts of a
  // fleet that started apart meet there.
  constexpr std::size_t kSeedTurns = 8;
  const std::size_t turn = members.seed_turn++;
  if ((addresses.empty() || turn % kSeedTurns == 0) && !members.seeds.empty()) {
    const std::string& seed =
        members.seeds[kernel::RandomBelow(random, members.seeds.size())];
    if (seed != members.self.peers) return seed;
  }
  if (addresses.empty()) return {};
  return addresses[kernel::RandomBelow(random, addresses.size())];
}

std::size_t MaxPeersToTry(std::size_t hanging) {
  return std::min(1 + hanging, kPeersTriedMost);
}

bool IsSmallFleet(const Members& members) {
  return members.others.size() < kSmallFleet;
}

std::chrono::milliseconds SilenceAllowed(const Members& members) {
  return IsSmallFleet(members) ? kMemberSilence : kMemberSilenceLarge;
}

bool IsMemberAvailable(const Members& members, const KnownMember& known,
                       Time now) {
  return !known.member.leaving && !known.unreachable &&
         now - known.heard < SilenceAllowed(members);
}

std::vector<std::string> DirectoryFor(const Members& members,
                                      std::string_view zone,
                                      kernel::Random& random, Time now) {
  std::vector<const Member*> there;
  if (!members.self.leaving) there.push_back(&members.self);
  for (const auto& [node, known] : members.others) {
    if (IsMemberAvailable(members, known, now)) there.push_back(&known.member);
  }
  if (there.empty() && members.is_listening) there.push_back(&members.self);
  Shuffle(there, random);
  if (there.size() > kDirectoryMost) {
    std::stable_partition(
        there.begin(), there.end(),
        [zone](const Member* member) { return member->zone == zone; });
    there.resize(kDirectoryMost);
  }
  std::vector<std::string> addresses;
  addresses.reserve(there.size());
  for (const Member* member : there) addresses.push_back(member->callers);
  return addresses;
}

std::size_t EstimateFleetSize(Members& members, Time now) {
  const auto others =
      std::count_if(members.others.begin(), members.others.end(),
                    [&members, now](const auto& entry) {
                      return IsMemberAvailable(members, entry.second, now);
                    });
  const std::size_t seen = 1 + static_cast<std::size_t>(others);
  if (seen >= members.most_nodes ||
      now - members.most_nodes_at > kNodesRemembered) {
    members.most_nodes = seen;
    members.most_nodes_at = now;
  }
  constexpr std::chrono::seconds kSettled{3};
  if (now - members.started < kSettled || members.exchanged == Time{}) {
    return std::max(members.most_nodes, kNodesUnknown);
  }
  return members.most_nodes;
}

FleetSnapshot MakeFleetSnapshot(Members& members, Time now) {
  FleetSnapshot part;
  part.nodes = EstimateFleetSize(members, now);
  part.self = members.self.node;
  part.zone = members.self.zone;
  part.names.push_back(members.self.node);
  for (const auto& [node, known] : members.others) {
    if (IsMemberAvailable(members, known, now)) part.names.push_back(node);
  }
  return part;
}

std::vector<std::string> ForgetMembers(Members& members, Time now) {
  std::vector<std::string> gone;
  std::erase_if(members.others, [&](const auto& entry) {
    if (now - entry.second.heard < kMemberForgotten) return false;
    gone.push_back(entry.first);
    return true;
  });
  return gone;
}

}  // namespace egretladder::routing
