#include "egretladder/routing/member_gossip.h"

#include <algorithm>
#include <unordered_set>

#include "egretladder/routing/member_suspicion.h"

namespace egretladder::routing {
namespace {

using MemberList = std::vector<KnownMember*>;

std::uint32_t LowHalf(std::uint64_t number) {
  return static_cast<std::uint32_t>(number);
}

// Returns a key of a node's record that differs for each start of its process.
std::uint32_t RecordKey(std::uint64_t name_hash, const Member& member) {
  return LowHalf(name_hash) ^ LowHalf(member.incarnation);
}

MemberStatus MakeStatus(const KnownMember& known) {
  const Member& member = known.member;
  return {.node = LowHalf(known.name_hash),
          .short_incarnation = LowHalf(member.incarnation),
          .revision = member.revision,
          .heartbeat = LowHalf(member.heartbeat),
          .suspected = IsSuspected(known),
          .state = member.state};
}

// Returns true while this node lacks many records: it has just started and
// still learns of others, or hears of many that it doesn't know.
bool IsCatchingUp(const Members& members, Time now) {
  const bool is_young = now - members.started < kNewMemberTime;
  const bool still_learns = now - members.last_learned_at < kCatchUpTime;
  return (is_young && still_learns) ||
         members.unknown.size() >= kMaxUnknownNodes;
}

// --- Receiving ---

// Handles an incarnation under this node's name that peers take for newer than
// this process: that of an earlier process, or of this one before its clock was
// set back. This node chooses a higher one.
void OutbidOwnIncarnation(Members& members, const Member& reported) {
  Member& self = members.self;
  if (reported.incarnation > self.incarnation)
    self.incarnation = reported.incarnation + 1;
}

void ForgetUnknown(Members& members, std::uint32_t key) {
  std::erase_if(members.unknown, [key](const UnknownNode& unknown) {
    return unknown.key == key;
  });
}

// Requests the record of an unknown node from the next peers for a while: the
// node may be gone before any peer has it.
void AddUnknown(Members& members, std::uint32_t key, Time now) {
  auto& unknown = members.unknown;
  std::erase_if(unknown, [now](const UnknownNode& node) {
    return now - node.heard_at >= kNewMemberTime;
  });
  const bool is_listed =
      std::any_of(unknown.begin(), unknown.end(),
                  [key](const UnknownNode& node) { return node.key == key; });
  if (!is_listed && unknown.size() < kMaxUnknownNodes)
    unknown.push_back({key, now});
}

// Takes the state that a peer reports if it is newer. Returns true if the
// revision is.
bool TakeIfNewer(Members& members, KnownMember& known, const Member& reported) {
  Member& member = known.member;
  if (reported.revision < member.revision) return false;
  const bool is_newer = reported.revision > member.revision;
  // Nodes of earlier versions raise only the heartbeat.
  if (!is_newer && reported.heartbeat <= member.heartbeat) return false;
  member.revision = reported.revision;
  member.heartbeat = reported.heartbeat;
  const bool has_changed = member.state != reported.state;
  member.state = reported.state;
  if (has_changed) UpdateLists(members, known);
  return is_newer;
}

void ApplyRecord(Members& members, const Member& reported, Time now,
                 std::vector<std::string>& newly_available) {
  ForgetUnknown(members, NodeKey(reported.node));
  if (reported.node == members.self.node) {
    OutbidOwnIncarnation(members, reported);
    return;
  }
  const auto at = members.others.find(reported.node);
  const bool is_known = at != members.others.end();
  if (is_known && reported.incarnation < at->second.member.incarnation) return;
  if (!is_known || reported.incarnation > at->second.member.incarnation) {
    if (!is_known || !IsMemberAvailable(at->second))
      newly_available.push_back(reported.node);
    KnownMember& added = PutMember(members, reported, now);
    members.last_learned_at = now;
    // When all start together, each asks for all records itself.
    if (!IsCatchingUp(members, now)) TellAsNews(members, added);
    return;
  }
  KnownMember& known = at->second;
  // A record is late by the time that it took from node to node.
  known.member.started = std::min(known.member.started, reported.started);
  if (!TakeIfNewer(members, known, reported)) return;
  if (!IsMemberAvailable(known)) newly_available.push_back(reported.node);
  EndSuspicion(members, known);
  TellAsNews(members, known);
}

// Refutes a suspicion of this node. Of another incarnation under its name it
// needs the record, to outbid it.
void ApplyOwnStatus(Members& members, const MemberStatus& status, Time now) {
  Member& self = members.self;
  if (status.short_incarnation != LowHalf(self.incarnation)) {
    AddUnknown(members, status.node, now);
  } else if (status.suspected && status.revision >= self.revision) {
    self.revision = status.revision + 1;
  }
}

// Tells the peer once more what it has missed. Not of members that are silent
// for long: if the fleet was partitioned, they may be back, and a suspicion of
// each would flood the other part.
void TellAgain(Members& members, KnownMember& known, Time now) {
  const bool is_old =
      IsSuspected(known) && now - known.suspected_at > kSuspicionNewsTime;
  if (is_old || known.is_suspicion_private || known.tells_left > 0) return;
  known.tells_left = 1;
  members.news.push_back(&known);
}

void ApplyStatus(Members& members, const MemberStatus& status, Time now,
                 std::vector<std::string>& newly_available) {
  if (status.node == NodeKey(members.self.node)) {
    ApplyOwnStatus(members, status, now);
    return;
  }
  const auto at = members.by_key.find(status.node);
  // Another incarnation may have other addresses.
  if (at == members.by_key.end() ||
      LowHalf(at->second->member.incarnation) != status.short_incarnation) {
    if (!status.suspected) AddUnknown(members, status.node, now);
    return;
  }
  KnownMember& known = *at->second;
  Member reported = known.member;
  reported.revision = status.revision;
  reported.heartbeat = status.heartbeat;
  reported.state = status.state;
  const bool was_available = IsMemberAvailable(known);
  const bool is_older = status.revision < known.member.revision;
  if (TakeIfNewer(members, known, reported)) {
    EndSuspicion(members, known);
    if (status.suspected) SuspectMember(members, known, now);
    TellAsNews(members, known);
    if (!was_available && IsMemberAvailable(known))
      newly_available.push_back(known.member.node);
  } else if (!is_older && status.suspected) {
    if (IsSuspected(known)) return;
    SuspectMember(members, known, now);
    TellAsNews(members, known);
  } else if (!is_older && known.is_suspicion_private) {
    EndSuspicion(members, known);
  } else if (is_older || IsSuspected(known)) {
    TellAgain(members, known, now);
  }
}

// --- Sending ---

bool IsNew(const KnownMember& known, Time now) {
  return now - known.first_seen_at < kNewMemberTime;
}

std::vector<std::uint32_t> KeysOfKnown(const Members& members) {
  std::vector<std::uint32_t> keys = {
      RecordKey(kernel::HashBytes(members.self.node), members.self)};
  keys.reserve(members.others.size() + 1);
  for (const auto& [node, known] : members.others)
    keys.push_back(RecordKey(known.name_hash, known.member));
  return keys;
}

void AddRequested(const Members& members,
                  const std::vector<std::uint32_t>& requested,
                  MemberGossip& gossip) {
  for (const std::uint32_t key : requested) {
    const auto at = members.by_key.find(key);
    if (at == members.by_key.end() || at->second->is_silent) continue;
    if (gossip.members.size() > kMaxMembersPerExchange) return;
    gossip.members.push_back(at->second->member);
  }
}

// Adds records of available members that the peer doesn't know.
void AddMissing(const Members& members,
                const std::vector<std::uint32_t>& known_keys,
                kernel::Random& random, MemberGossip& gossip) {
  if (known_keys.empty()) return;
  const std::unordered_set<std::uint32_t> known(known_keys.begin(),
                                                known_keys.end());
  MemberList missing;
  for (const auto& [name, zone] : members.zones) {
    for (KnownMember* candidate : zone.available) {
      if (!known.contains(RecordKey(candidate->name_hash, candidate->member)))
        missing.push_back(candidate);
    }
  }
  // Peers that lack the same members get different ones.
  for (std::size_t i = 0;
       i < missing.size() && gossip.members.size() <= kMaxMembersPerCatchUp;
       ++i) {
    std::swap(missing[i],
              missing[i + kernel::RandomBelow(random, missing.size() - i)]);
    gossip.members.push_back(missing[i]->member);
  }
}

// Adds what was told the least number of times. Only answers count as told: the
// receiver of another message may be gone.
void AddNews(Members& members, bool counts, Time now, MemberGossip& gossip) {
  auto& news = members.news;
  const std::size_t count = std::min(news.size(), kMaxNewsPerExchange);
  std::partial_sort(
      news.begin(), news.begin() + static_cast<std::ptrdiff_t>(count),
      news.end(), [](const KnownMember* left, const KnownMember* right) {
        return left->tells_left > right->tells_left;
      });
  std::size_t records = 0;
  for (std::size_t i = 0; i < count; ++i) {
    KnownMember& known = *news[i];
    // A peer that lacks more records asks for them.
    const bool needs_record = IsNew(known, now) && !IsSuspected(known) &&
                              records < kMaxNewMembersPerExchange;
    if (needs_record) {
      ++records;
      gossip.members.push_back(known.member);
    } else {
      gossip.statuses.push_back(MakeStatus(known));
    }
    if (counts) --known.tells_left;
  }
  std::erase_if(
      news, [](const KnownMember* known) { return known->tells_left == 0; });
}

// Returns the member with that number among all that are listed.
KnownMember* FindListed(const Members& members, MemberList ZoneMembers::*list,
                        std::size_t number) {
  for (const auto& [name, zone] : members.zones) {
    const MemberList& listed = zone.*list;
    if (number < listed.size()) return listed[number];
    number -= listed.size();
  }
  return nullptr;
}

KnownMember* PickContact(const Members& members, kernel::Random& random) {
  return FindListed(members, &ZoneMembers::contacts,
                    kernel::RandomBelow(random, members.contact_count));
}

void AddSample(const Members& members, kernel::Random& random,
               MemberGossip& gossip) {
  const std::size_t count = std::min(kSampledStatuses, members.contact_count);
  for (std::size_t i = 0; i < count; ++i)
    gossip.statuses.push_back(MakeStatus(*PickContact(members, random)));
}

// A peer that this node suspects is told so, so that it can refute it.
void AddStatusOfTarget(const Members& members, const GossipTarget& target,
                       MemberGossip& gossip) {
  const auto at = members.by_peer_address.find(target.peer_address);
  if (at != members.by_peer_address.end() && IsSuspected(*at->second))
    gossip.statuses.push_back(MakeStatus(*at->second));
}

// The seeds are asked at a rate of the fleet, not of each node: they are a few
// nodes like the others.
bool IsSeedsTurn(const Members& members, kernel::Random& random) {
  const std::size_t nodes = members.others.size() + 1;
  const std::size_t turns =
      std::max(kMinTurnsPerSeedExchange, nodes / kSeedExchangesPerTurnOfFleet);
  return kernel::RandomBelow(random, turns) == 0;
}

// A silent member is tried as often as another one, in a part of the turns.
bool IsSilentMembersTurn(const Members& members, kernel::Random& random) {
  const std::size_t silent = members.silent.size();
  const std::size_t all = members.contact_count + silent;
  return kernel::RandomBelow(
             random, std::max(all, kTurnsPerSilentMember * silent)) < silent;
}

template <typename T>
const T& PickRandom(const std::vector<T>& items, kernel::Random& random) {
  return items[kernel::RandomBelow(random, items.size())];
}

// Returns a random member, of the own zone but now and then.
const KnownMember* PickContactOfTurn(const Members& members,
                                     kernel::Random& random) {
  const auto own_zone = members.zones.find(members.self.zone);
  const bool stays_in_zone =
      !IsSmallFleet(members) && own_zone != members.zones.end() &&
      !own_zone->second.contacts.empty() &&
      kernel::RandomBelow(random, kExchangesPerOtherZone) != 0;
  return stays_in_zone ? PickRandom(own_zone->second.contacts, random)
                       : PickContact(members, random);
}

}  // namespace

void IncrementHeartbeat(Members& members) {
  UpdateOwnRevision(members);
  ++members.self.heartbeat;
}

std::vector<std::string> ApplyMemberGossip(Members& members,
                                           const MemberGossip& gossip,
                                           Time now) {
  std::vector<std::string> newly_available;
  for (const Member& member : gossip.members)
    ApplyRecord(members, member, now, newly_available);
  for (const MemberStatus& status : gossip.statuses)
    ApplyStatus(members, status, now, newly_available);
  return newly_available;
}

MemberGossip MakeMemberGossip(Members& members, const GossipTarget& target,
                              kernel::Random& random, Time now) {
  UpdateOwnRevision(members);
  MemberGossip gossip;
  gossip.members = {members.self};
  for (const UnknownNode& unknown : members.unknown)
    gossip.unknown.push_back(unknown.key);
  if (!target.is_answered && IsCatchingUp(members, now))
    gossip.known = KeysOfKnown(members);
  AddRequested(members, target.unknown, gossip);
  AddMissing(members, target.known, random, gossip);
  AddStatusOfTarget(members, target, gossip);
  AddNews(members, target.is_answered, now, gossip);
  AddSample(members, random, gossip);
  return gossip;
}

std::string PickExchangePeer(const Members& members, kernel::Random& random) {
  const bool has_contacts = members.contact_count > 0;
  if (!members.seeds.empty() &&
      (!has_contacts || IsSeedsTurn(members, random))) {
    const std::string& seed = PickRandom(members.seeds, random);
    if (seed != members.self.peers) return seed;
  }
  if (!members.silent.empty() && IsSilentMembersTurn(members, random))
    return PickRandom(members.silent, random)->member.peers;
  if (!has_contacts) return {};
  return PickContactOfTurn(members, random)->member.peers;
}

std::string PickPeerBesideSuspect(const Members& members,
                                  kernel::Random& random) {
  if (members.suspected.empty()) return {};
  const KnownMember& suspect = *PickRandom(members.suspected, random);
  const MemberList& contacts = suspect.zone->contacts;
  return contacts.empty() ? std::string()
                          : PickRandom(contacts, random)->member.peers;
}

std::size_t MaxPeersToTry(std::size_t stalled) {
  return std::min(1 + stalled, kMaxPeersPerTurn);
}

}  // namespace egretladder::routing
