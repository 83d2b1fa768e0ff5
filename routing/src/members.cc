#include "egretladder/routing/members.h"

#include <algorithm>
#include <unordered_map>

namespace egretladder::routing {
namespace {

bool IsNewer(const Member& reported, const Member& known) {
  if (reported.incarnation != known.incarnation) {
    return reported.incarnation > known.incarnation;
  }
  return reported.heartbeat > known.heartbeat;
}

// Handles an incarnation under this node's name that peers take for newer than
// this process: that of an earlier process, or of this one before its clock was
// set back. This node chooses a higher one.
void OutbidOwnIncarnation(Members& members, const Member& reported) {
  Member& self = members.self;
  if (IsNewer(reported, self)) self.incarnation = reported.incarnation + 1;
}

std::uint32_t LowHalf(std::uint64_t number) {
  return static_cast<std::uint32_t>(number);
}

std::uint32_t NodeKey(const std::string& node) {
  return LowHalf(kernel::HashBytes(node));
}

// Updates a known member if the reported state is newer. A new incarnation
// counts as first seen now.
void UpdateIfNewer(Members& members, KnownMember& known, const Member& reported,
                   Time now, std::vector<std::string>& newly_available) {
  if (!IsNewer(reported, known.member)) return;
  if (!IsMemberAvailable(members, known, now))
    newly_available.push_back(reported.node);
  const bool same_incarnation =
      reported.incarnation == known.member.incarnation;
  if (!same_incarnation) known = {.first_seen_at = now};
  known.member = reported;
  known.heartbeat_at = now;
  known.unreachable = false;
}

void ApplyMember(Members& members, const Member& reported, Time now,
                 std::vector<std::string>& newly_available) {
  std::erase(members.unknown, NodeKey(reported.node));
  if (reported.node == members.self.node) {
    OutbidOwnIncarnation(members, reported);
    return;
  }
  const auto at = members.others.find(reported.node);
  if (at != members.others.end()) {
    UpdateIfNewer(members, at->second, reported, now, newly_available);
    return;
  }
  members.others[reported.node] = {
      .member = reported, .heartbeat_at = now, .first_seen_at = now};
  newly_available.push_back(reported.node);
}

Member WithHeartbeat(Member member, const MemberHeartbeat& heartbeat) {
  member.heartbeat = heartbeat.heartbeat;
  member.leaving = heartbeat.leaving;
  member.store_troubled = heartbeat.store_troubled;
  member.unreached = heartbeat.unreached;
  return member;
}

MemberHeartbeat MakeHeartbeat(const Member& member) {
  return {NodeKey(member.node), LowHalf(member.incarnation), member.heartbeat,
          member.leaving,       member.store_troubled,       member.unreached};
}

// Requests the record of an unknown node from the next peer. A node that no
// peer knows any more drops out as others fill the list.
void AddUnknown(Members& members, std::uint32_t key) {
  auto& unknown = members.unknown;
  if (std::find(unknown.begin(), unknown.end(), key) != unknown.end()) return;
  if (unknown.size() >= kMaxUnknownNodes) unknown.erase(unknown.begin());
  unknown.push_back(key);
}

void UpdatePeak(FleetPeak& peak, std::size_t nodes,
                std::chrono::seconds retention, Time now) {
  if (nodes < peak.nodes && now - peak.seen_at <= retention) return;
  peak = {nodes, now};
}

void UpdatePeaks(Members& members, Time now) {
  const auto others =
      std::count_if(members.others.begin(), members.others.end(),
                    [&members, now](const auto& entry) {
                      return IsMemberAvailable(members, entry.second, now);
                    });
  const std::size_t nodes = 1 + static_cast<std::size_t>(others);
  UpdatePeak(members.recent_peak, nodes, kFleetSizeRetention, now);
  UpdatePeak(members.long_peak, nodes, kRetryFleetRetention, now);
}

// A node that has just started, or met no peer, doesn't know all nodes yet.
std::size_t AtLeastDefaultIfNew(const Members& members, std::size_t nodes,
                                Time now) {
  constexpr std::chrono::seconds kSettlingTime{3};
  const bool is_new = now - members.started < kSettlingTime ||
                      members.last_exchange_at == Time{};
  return is_new ? std::max(nodes, kDefaultFleetSize) : nodes;
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
  members.recent_peak.seen_at = now;
  members.long_peak.seen_at = now;
  return members;
}

void IncrementHeartbeat(Members& members, Time /*now*/) {
  ++members.self.heartbeat;
}

std::vector<std::string> ApplyMemberGossip(Members& members,
                                           const MemberGossip& gossip,
                                           Time now) {
  std::vector<std::string> newly_available;
  for (const Member& member : gossip.members) {
    ApplyMember(members, member, now, newly_available);
  }
  std::unordered_map<std::uint32_t, KnownMember*> by_key;
  for (auto& [node, known] : members.others)
    by_key.emplace(NodeKey(node), &known);
  const std::uint32_t self = NodeKey(members.self.node);
  for (const MemberHeartbeat& heartbeat : gossip.member_heartbeats) {
    const auto at = by_key.find(heartbeat.node);
    const Member* known = at != by_key.end()       ? &at->second->member
                          : heartbeat.node == self ? &members.self
                                                   : nullptr;
    // Another incarnation may have other addresses, and if it is one of this
    // node, a higher one may have to be chosen.
    if (known == nullptr ||
        LowHalf(known->incarnation) != heartbeat.short_incarnation) {
      AddUnknown(members, heartbeat.node);
    } else if (at != by_key.end()) {
      UpdateIfNewer(members, *at->second, WithHeartbeat(*known, heartbeat), now,
                    newly_available);
    } else {
      OutbidOwnIncarnation(members, WithHeartbeat(*known, heartbeat));
    }
  }
  return newly_available;
}

void OnExchangeAnswered(Members& members, Time now) {
  members.last_exchange_at = now;
}

void OnPeerMessage(Members& members, const std::string& peer_address,
                   Time now) {
  for (auto& [node, known] : members.others) {
    if (known.member.peers == peer_address) known.last_message_at = now;
  }
}

void OnPeerUnreachable(Members& members, const std::string& peer_address,
                       Time /*now*/) {
  for (auto& [node, known] : members.others) {
    if (known.member.peers == peer_address) known.unreachable = true;
  }
}

MemberGossip MakeMemberGossip(const Members& members,
                              const std::vector<std::uint32_t>& requested,
                              kernel::Random& random, Time now) {
  std::vector<const KnownMember*> reachable;
  for (const auto& [node, known] : members.others) {
    // Silent members are left out: they would seem alive to a node that has
    // just started.
    if (now - known.heartbeat_at < MaxMemberSilence(members) &&
        !known.unreachable) {
      reachable.push_back(&known);
    }
  }
  Shuffle(reachable, random);
  MemberGossip gossip;
  gossip.members = {members.self};
  gossip.unknown = members.unknown;
  for (const KnownMember* known : reachable) {
    const bool is_requested =
        std::find(requested.begin(), requested.end(),
                  NodeKey(known->member.node)) != requested.end();
    if ((is_requested || now - known->first_seen_at < kNewMemberTime) &&
        gossip.members.size() <= kMaxMembersPerExchange) {
      gossip.members.push_back(known->member);
    } else if (gossip.member_heartbeats.size() < kMaxHeartbeatsPerExchange) {
      gossip.member_heartbeats.push_back(MakeHeartbeat(known->member));
    }
  }
  return gossip;
}

std::string PickExchangePeer(Members& members, kernel::Random& random,
                             Time now) {
  std::vector<std::string> addresses;
  std::vector<std::string> same_zone;
  for (const auto& [node, known] : members.others) {
    if (!IsMemberAvailable(members, known, now) && !known.member.leaving)
      continue;
    addresses.push_back(known.member.peers);
    if (known.member.zone == members.self.zone) {
      same_zone.push_back(known.member.peers);
    }
  }
  const bool stay_in_zone =
      !IsSmallFleet(members) && !same_zone.empty() &&
      kernel::RandomBelow(random, kExchangesPerOtherZone) != 0;
  if (stay_in_zone) addresses = std::move(same_zone);
  // A seed is picked in every eighth exchange, and whenever no member is
  // available. Two parts of a fleet that started separately meet through it.
  constexpr std::size_t kExchangesPerSeed = 8;
  const std::size_t exchange = members.exchange_count++;
  if ((addresses.empty() || exchange % kExchangesPerSeed == 0) &&
      !members.seeds.empty()) {
    const std::string& seed =
        members.seeds[kernel::RandomBelow(random, members.seeds.size())];
    if (seed != members.self.peers) return seed;
  }
  if (addresses.empty()) return {};
  return addresses[kernel::RandomBelow(random, addresses.size())];
}

std::size_t MaxPeersToTry(std::size_t stalled) {
  return std::min(1 + stalled, kMaxPeersPerTurn);
}

bool IsSmallFleet(const Members& members) {
  return members.others.size() < kMaxSmallFleetNodes;
}

std::chrono::milliseconds MaxMemberSilence(const Members& members) {
  return IsSmallFleet(members) ? kMaxMemberSilence
                               : kLargeFleetMaxMemberSilence;
}

bool IsMemberAvailable(const Members& members, const KnownMember& known,
                       Time now) {
  return !known.member.leaving && !known.unreachable &&
         now - known.heartbeat_at < MaxMemberSilence(members);
}

ServiceBits BitOfService(const RouteTable& rules, const std::string& service) {
  const auto at = rules.service_by_name.find(service);
  if (at == rules.service_by_name.end() || at->second >= kMaxServiceBits) {
    return 0;
  }
  return static_cast<ServiceBits>(1U << at->second);
}

ServiceBits BitsOfAllServices(const RouteTable& rules) {
  const std::size_t bits = std::min(rules.services.size(), kMaxServiceBits);
  return static_cast<ServiceBits>((1U << bits) - 1);
}

bool IsCutOff(const Members& members, const Member& member) {
  return members.all_services != 0 &&
         (member.unreached & members.all_services) == members.all_services;
}

std::vector<std::string> DirectoryFor(const Members& members,
                                      std::string_view zone,
                                      kernel::Random& random, Time now) {
  std::vector<const Member*> available;
  if (!members.self.leaving) available.push_back(&members.self);
  for (const auto& [node, known] : members.others) {
    if (IsMemberAvailable(members, known, now))
      available.push_back(&known.member);
  }
  const auto is_cut_off = [&members](const Member* member) {
    return IsCutOff(members, *member);
  };
  if (!std::all_of(available.begin(), available.end(), is_cut_off))
    std::erase_if(available, is_cut_off);
  if (available.empty() && members.is_listening)
    available.push_back(&members.self);
  Shuffle(available, random);
  if (available.size() > kMaxDirectoryNodes) {
    std::stable_partition(
        available.begin(), available.end(),
        [zone](const Member* member) { return member->zone == zone; });
    available.resize(kMaxDirectoryNodes);
  }
  std::vector<std::string> addresses;
  addresses.reserve(available.size());
  for (const Member* member : available) addresses.push_back(member->callers);
  return addresses;
}

std::size_t EstimateFleetSize(Members& members, Time now) {
  UpdatePeaks(members, now);
  return AtLeastDefaultIfNew(members, members.recent_peak.nodes, now);
}

std::size_t CountRetrySharers(Members& members, Time now) {
  UpdatePeaks(members, now);
  return AtLeastDefaultIfNew(members, members.long_peak.nodes, now);
}

FleetSnapshot MakeFleetSnapshot(Members& members, Time now) {
  return MakeFleetSnapshot(members, 0, now);
}

FleetSnapshot MakeFleetSnapshot(Members& members, ServiceBits services,
                                Time now) {
  FleetSnapshot fleet;
  fleet.self = members.self.node;
  fleet.zone = members.self.zone;
  std::size_t cut_off = 0;
  const auto add = [&](const Member& member) {
    if ((member.unreached & services) != 0) {
      ++cut_off;
    } else {
      fleet.names.push_back(member.node);
    }
  };
  add(members.self);
  for (const auto& [node, known] : members.others) {
    if (IsMemberAvailable(members, known, now)) add(known.member);
  }
  const std::size_t nodes = EstimateFleetSize(members, now);
  fleet.nodes = nodes > cut_off ? nodes - cut_off : 1;
  return fleet;
}

std::vector<std::string> ForgetMembers(Members& members, Time now) {
  std::vector<std::string> forgotten;
  std::erase_if(members.others, [&](const auto& entry) {
    if (now - entry.second.heartbeat_at < kMemberRetention) return false;
    forgotten.push_back(entry.first);
    return true;
  });
  return forgotten;
}

}  // namespace egretladder::routing
