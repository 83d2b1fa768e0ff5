#include "egretladder/routing/members.h"

#include <algorithm>

namespace egretladder::routing {
namespace {

void Insert(std::vector<KnownMember*>& list, KnownMember& known,
            ListPosition KnownMember::*position) {
  known.*position = {true, list.size()};
  list.push_back(&known);
}

void SwapItems(std::vector<KnownMember*>& list, std::size_t left,
               std::size_t right, ListPosition KnownMember::*position) {
  std::swap(list[left], list[right]);
  (list[left]->*position).at = left;
  (list[right]->*position).at = right;
}

void Erase(std::vector<KnownMember*>& list, KnownMember& known,
           ListPosition KnownMember::*position) {
  SwapItems(list, (known.*position).at, list.size() - 1, position);
  list.pop_back();
  known.*position = {};
}

// Lists the member or not. Returns the change of the list's size.
int SetListed(std::vector<KnownMember*>& list, KnownMember& known,
              ListPosition KnownMember::*position, bool is_wanted) {
  if ((known.*position).is_listed == is_wanted) return 0;
  if (is_wanted) {
    Insert(list, known, position);
    return 1;
  }
  Erase(list, known, position);
  return -1;
}

bool IsHigherHash(const KnownMember* left, const KnownMember* right) {
  return left->name_hash > right->name_hash;
}

void AddReaderCandidate(Members& members, const KnownMember& known) {
  auto& candidates = members.reader_candidates;
  const auto at = std::upper_bound(candidates.begin(), candidates.end(), &known,
                                   IsHigherHash);
  candidates.insert(at, &known);
  if (candidates.size() > kMaxReaderCandidates) candidates.pop_back();
}

// The next candidate may be any member.
void RemoveReaderCandidate(Members& members, const KnownMember& known) {
  if (std::erase(members.reader_candidates, &known) == 0) return;
  members.reader_candidates.clear();
  for (const auto& [name, zone] : members.zones) {
    for (const KnownMember* other : zone.available)
      AddReaderCandidate(members, *other);
  }
}

void Unlist(Members& members, KnownMember& known) {
  if (known.zone == nullptr) return;
  if (known.available.is_listed) {
    Erase(known.zone->available, known, &KnownMember::available);
    --members.available_count;
    RemoveReaderCandidate(members, known);
  }
  if (known.contact.is_listed) {
    Erase(known.zone->contacts, known, &KnownMember::contact);
    --members.contact_count;
  }
  members.snapshots.clear();
}

void UpdatePeak(FleetPeak& peak, std::size_t nodes,
                std::chrono::seconds retention, Time now) {
  if (nodes < peak.nodes && now - peak.seen_at <= retention) return;
  peak = {nodes, now};
}

void UpdatePeaks(Members& members, Time now) {
  const std::size_t nodes = 1 + members.available_count;
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

// A member that refuses connections has ended, and one that leaves has said so:
// they aren't another part of a partitioned fleet.
std::size_t CountAccountedFor(const Members& members) {
  const auto missing = std::count_if(
      members.silent.begin(), members.silent.end(),
      [](const KnownMember* known) { return !known->unreachable; });
  return 1 + members.others.size() - static_cast<std::size_t>(missing);
}

Time InTouchSince(const Members& members, Time now) {
  if (members.majority_since == Time::max() ||
      now - members.last_exchange_at > kMaxTouchGap) {
    return Time::max();
  }
  return std::max(members.in_touch_since, members.majority_since);
}

// The assumed size of the fleet is left open.
CachedSnapshot MakeSnapshot(const Members& members, ServiceBits services) {
  CachedSnapshot cached;
  cached.fleet.self = members.self.node;
  cached.fleet.zone = members.self.zone;
  const auto add = [&cached, services](const Member& member) {
    if ((member.state.unreached & services) != 0) {
      ++cached.cut_off;
    } else {
      cached.fleet.names.push_back(member.node);
    }
  };
  add(members.self);
  for (const auto& [name, zone] : members.zones) {
    for (const KnownMember* known : zone.available) add(known->member);
  }
  for (const KnownMember* known : members.silent) {
    if (!known->unreachable)
      cached.fleet.lost.push_back({known->member.node, known->silent_at});
  }
  cached.fleet.is_leaving = members.self.state.leaving;
  return cached;
}

// A list of callers' addresses in the making.
struct CallerList {
  const Members& members;
  kernel::Random& random;
  bool lists_cut_off = false;  // Also nodes that reach no service.
  std::vector<std::string> addresses;
};

bool IsUsable(const CallerList& list, const Member& member) {
  return list.lists_cut_off || !IsCutOff(list.members, member);
}

// Appends random members until the list is full.
void AppendCallers(CallerList& list, std::vector<KnownMember*>& from) {
  for (std::size_t i = 0;
       i < from.size() && list.addresses.size() < kMaxDirectoryNodes; ++i) {
    const KnownMember* drawn = DrawAvailable(from, i, list.random);
    if (IsUsable(list, drawn->member))
      list.addresses.push_back(drawn->member.callers);
  }
}

// Puts this node at a random place, instead of another one if the list is full.
void InsertSelf(CallerList& list) {
  auto& addresses = list.addresses;
  if (addresses.size() == kMaxDirectoryNodes) addresses.pop_back();
  const auto place = kernel::RandomBelow(list.random, addresses.size() + 1);
  addresses.insert(addresses.begin() + static_cast<std::ptrdiff_t>(place),
                   list.members.self.callers);
}

void Shuffle(std::vector<std::string>& items, kernel::Random& random) {
  for (std::size_t i = items.size(); i > 1; --i)
    std::swap(items[i - 1], items[kernel::RandomBelow(random, i)]);
}

// Appends those of the first zone, and if they aren't enough those of the
// others.
void AppendCallersOfAllZones(CallerList& list, Members& members,
                             std::string_view first_zone) {
  const auto first = members.zones.find(first_zone);
  if (first != members.zones.end())
    AppendCallers(list, first->second.available);
  for (auto& [name, zone] : members.zones) {
    if (name != first_zone) AppendCallers(list, zone.available);
  }
}

bool AreAllCutOff(const Members& members) {
  const Member& self = members.self;
  if (!self.state.leaving && !IsCutOff(members, self)) return false;
  return std::all_of(members.zones.begin(), members.zones.end(),
                     [&members](const auto& entry) {
                       const auto& available = entry.second.available;
                       return std::all_of(available.begin(), available.end(),
                                          [&members](const KnownMember* known) {
                                            return IsCutOff(members,
                                                            known->member);
                                          });
                     });
}

void Forget(Members& members, KnownMember* known) {
  Unlist(members, *known);
  std::erase(members.news, known);
  const auto key = members.by_key.find(NodeKey(known->member.node));
  if (key != members.by_key.end() && key->second == known)
    members.by_key.erase(key);
  const auto address = members.by_peer_address.find(known->member.peers);
  if (address != members.by_peer_address.end() && address->second == known)
    members.by_peer_address.erase(address);
  members.others.erase(known->member.node);
}

// Forgets all that was known of the earlier process.
void ForgetProcess(Members& members, KnownMember& known) {
  Unlist(members, known);
  members.by_peer_address.erase(known.member.peers);
  std::erase(members.suspected, &known);
  std::erase(members.silent, &known);
  std::erase(members.news, &known);
}

}  // namespace

Members MakeMembers(const Member& self, const std::vector<std::string>& seeds,
                    Time now) {
  Members members;
  members.self = self;
  members.self.started = now;
  members.told_state = self.state;
  members.seeds = seeds;
  members.started = now;
  members.last_learned_at = now;
  members.recent_peak.seen_at = now;
  members.long_peak.seen_at = now;
  return members;
}

std::uint32_t NodeKey(const std::string& node) {
  return static_cast<std::uint32_t>(kernel::HashBytes(node));
}

KnownMember& PutMember(Members& members, const Member& member, Time now) {
  const auto [at, is_added] = members.others.try_emplace(member.node);
  KnownMember& known = at->second;
  if (!is_added) ForgetProcess(members, known);
  known = {.member = member,
           .name_hash = kernel::HashBytes(member.node),
           .first_seen_at = now};
  known.zone = &members.zones[member.zone];
  members.by_key[NodeKey(member.node)] = &known;
  members.by_peer_address[member.peers] = &known;
  UpdateLists(members, known);
  return known;
}

void UpdateLists(Members& members, KnownMember& known) {
  const bool is_available = IsMemberAvailable(known);
  const bool is_contact = known.suspected_at == Time{} &&
                          (is_available || known.member.state.leaving);
  const int change = SetListed(known.zone->available, known,
                               &KnownMember::available, is_available);
  members.available_count += static_cast<std::size_t>(change);
  if (change > 0) AddReaderCandidate(members, known);
  if (change < 0) RemoveReaderCandidate(members, known);
  members.contact_count += static_cast<std::size_t>(SetListed(
      known.zone->contacts, known, &KnownMember::contact, is_contact));
  members.snapshots.clear();
}

KnownMember* DrawAvailable(std::vector<KnownMember*>& list, std::size_t first,
                           kernel::Random& random) {
  SwapItems(list, first,
            first + kernel::RandomBelow(random, list.size() - first),
            &KnownMember::available);
  return list[first];
}

void UpdateOwnRevision(Members& members) {
  if (members.self.state == members.told_state) return;
  members.told_state = members.self.state;
  ++members.self.revision;
  members.snapshots.clear();
}

void UpdateMajority(Members& members, Time now) {
  const std::size_t nodes = EstimateFleetSize(members, now);
  if (2 * CountAccountedFor(members) <= nodes) {
    members.majority_since = Time::max();
  } else if (members.majority_since == Time::max()) {
    members.majority_since = now;
  }
}

bool IsMemberAvailable(const KnownMember& known) {
  return !known.member.state.leaving && !known.unreachable && !known.is_silent;
}

bool DoMostOthersStay(const Members& members) {
  return 2 * members.available_count > members.others.size();
}

bool IsSmallFleet(const Members& members) {
  return members.others.size() < kMaxSmallFleetNodes;
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
         (member.state.unreached & members.all_services) ==
             members.all_services;
}

std::vector<std::string> DirectoryFor(Members& members, std::string_view zone,
                                      kernel::Random& random) {
  CallerList list{members, random, AreAllCutOff(members), {}};
  AppendCallersOfAllZones(list, members, zone);
  // In a large zone this node is as likely to be listed as the others.
  const bool is_large = members.available_count >= kMaxDirectoryNodes;
  const std::size_t pool = members.zones[members.self.zone].available.size();
  const bool is_drawn =
      !is_large || (members.self.zone == zone &&
                    kernel::RandomBelow(random, pool + 1) < kMaxDirectoryNodes);
  const bool is_listed =
      !members.self.state.leaving && IsUsable(list, members.self);
  if (is_drawn && is_listed) InsertSelf(list);
  if (!is_large) Shuffle(list.addresses, random);
  if (list.addresses.empty() && members.is_listening)
    list.addresses.push_back(members.self.callers);
  return std::move(list.addresses);
}

std::vector<std::string> SamplePeers(Members& members, std::size_t max_count,
                                     kernel::Random& random) {
  std::vector<std::string> peers;
  std::map<ZoneMembers*, std::size_t> drawn;
  std::size_t left = members.available_count;
  for (; left > 0 && peers.size() < max_count; --left) {
    // A zone is drawn by the number of its members that weren't drawn yet.
    std::size_t number = kernel::RandomBelow(random, left);
    for (auto& [name, zone] : members.zones) {
      std::size_t& count = drawn[&zone];
      const std::size_t rest = zone.available.size() - count;
      if (number < rest) {
        peers.push_back(
            DrawAvailable(zone.available, count++, random)->member.peers);
        break;
      }
      number -= rest;
    }
  }
  return peers;
}

std::size_t EstimateFleetSize(Members& members, Time now) {
  UpdatePeaks(members, now);
  return AtLeastDefaultIfNew(members, members.recent_peak.nodes, now);
}

std::size_t CountRetrySharers(Members& members, Time now) {
  UpdatePeaks(members, now);
  return AtLeastDefaultIfNew(members, members.long_peak.nodes, now);
}

const FleetSnapshot& GetFleetSnapshot(Members& members, Time now) {
  return GetFleetSnapshot(members, 0, now);
}

const FleetSnapshot& GetFleetSnapshot(Members& members, ServiceBits services,
                                      Time now) {
  UpdateOwnRevision(members);
  auto at = members.snapshots.find(services);
  if (at == members.snapshots.end()) {
    at = members.snapshots.emplace(services, MakeSnapshot(members, services))
             .first;
    at->second.fleet.number = ++members.last_snapshot_number;
    UpdateMajority(members, now);
  }
  const std::size_t nodes = EstimateFleetSize(members, now);
  const std::size_t cut_off = at->second.cut_off;
  at->second.fleet.nodes = nodes > cut_off ? nodes - cut_off : 1;
  at->second.fleet.is_standalone =
      members.seeds.empty() && members.others.empty();
  at->second.fleet.in_touch_since = InTouchSince(members, now);
  return at->second.fleet;
}

std::vector<std::string> ForgetMembers(Members& members, Time now) {
  std::vector<std::string> forgotten;
  std::erase_if(members.silent, [&](KnownMember* known) {
    if (now - known->suspected_at < kMemberRetention) return false;
    forgotten.push_back(known->member.node);
    Forget(members, known);
    return true;
  });
  return forgotten;
}

}  // namespace egretladder::routing
