#include "egretladder/routing/stream_records.h"

#include <algorithm>
#include <utility>

#include "egretladder/kernel/hash.h"

namespace egretladder::routing {
namespace {

constexpr RecentMapBounds kBounds{kMaxNewerStreams, kStreamRetention};
constexpr RecentMapBounds kDoubtBounds{kMaxNewerDoubts, kStreamRetention};
constexpr RecentMapBounds kPartBounds{kMaxNewerParts, kStreamRetention};

std::size_t CountVersions(const VersionHistory& history, Time now) {
  const auto count =
      std::count_if(history.last_served.begin(), history.last_served.end(),
                    [now](const auto& served) {
                      return now - served.second < kStreamRetention;
                    });
  return static_cast<std::size_t>(count);
}

void Observe(VersionHistory& history,
             const std::map<SoftwareVersion, std::size_t>& versions, Time now) {
  for (const auto& [version, endpoints] : versions)
    history.last_served[version] = now;
  std::erase_if(history.last_served, [now](const auto& served) {
    return now - served.second >= kStreamRetention;
  });
}

void ObserveWeights(StreamRecords& records, const EndpointSet& set, Time now) {
  for (const auto& [service, weights] : set.weights_by_service) {
    for (const auto& [version, endpoints] : weights)
      records.weights_by_service[service][version] = now;
  }
  for (auto& [service, weights] : records.weights_by_service) {
    std::erase_if(weights, [now](const auto& served) {
      return now - served.second >= kStreamRetention;
    });
  }
}

struct RankedHome {
  std::uint64_t rank = 0;
  const Member* member = nullptr;
};

// Calls `visit` with this node and all others that are available.
template <typename Visit>
void ForEachNode(const Members& members, const Visit& visit) {
  visit(members.self);
  for (const auto& [name, zone] : members.zones) {
    for (const KnownMember* known : zone.available) visit(known->member);
  }
}

bool HasStartedSince(const Member& member, Time since) {
  return member.started > since;
}

// Returns all nodes that may keep the stream's version, in no order.
std::vector<RankedHome> RankHomes(const Members& members, StreamKey stream) {
  std::vector<RankedHome> homes;
  const auto add = [&homes, stream](const Member& member) {
    homes.push_back({kernel::HashBytes(member.node, stream), &member});
  };
  if (!members.self.state.leaving) add(members.self);
  for (const auto& [name, zone] : members.zones) {
    for (const KnownMember* known : zone.available) add(known->member);
  }
  return homes;
}

bool GoesFirst(const RankedHome& left, const RankedHome& right) {
  return left.rank > right.rank;
}

// Adds the silent nodes that haven't ended.
void AddSilentHomes(const Members& members, StreamKey stream,
                    std::vector<RankedHome>& homes) {
  for (const KnownMember* known : members.silent) {
    if (known->unreachable || known->member.state.leaving) continue;
    homes.push_back(
        {kernel::HashBytes(known->member.node, stream), &known->member});
  }
}

bool IsSilent(const Members& members, const Member& member) {
  const auto at = members.others.find(member.node);
  return at != members.others.end() && at->second.is_silent;
}

// Returns the first home in another zone than `first`; null: there is none.
const RankedHome* FirstInOtherZone(const std::vector<RankedHome>& homes,
                                   const RankedHome& first) {
  const RankedHome* found = nullptr;
  for (const RankedHome& home : homes) {
    if (home.member->zone == first.member->zone) continue;
    if (found == nullptr || GoesFirst(home, *found)) found = &home;
  }
  return found;
}

// Returns the `count` homes that go first, the first two in different zones if
// there are several.
std::vector<Member> PickHomes(std::vector<RankedHome> ranked,
                              std::size_t count) {
  if (ranked.empty()) return {};
  const std::size_t size = std::min(count, ranked.size());
  const auto end = ranked.begin() + static_cast<std::ptrdiff_t>(size);
  std::partial_sort(ranked.begin(), end, ranked.end(), GoesFirst);
  std::vector<RankedHome> homes(ranked.begin(), end);
  // The node of the other zone becomes the second one.
  const RankedHome* other_zone = FirstInOtherZone(ranked, homes.front());
  if (other_zone != nullptr && size > 1) {
    std::erase_if(homes, [other_zone](const RankedHome& home) {
      return home.member == other_zone->member;
    });
    homes.insert(homes.begin() + 1, *other_zone);
    homes.resize(size);
  }
  std::vector<Member> members_of_homes;
  for (const RankedHome& home : homes) members_of_homes.push_back(*home.member);
  return members_of_homes;
}

}  // namespace

StreamKey KeyOfStream(std::string_view account, std::string_view request_id) {
  return kernel::HashBytes(request_id, kernel::HashBytes(account));
}

void RememberStream(StreamRecords& records, const StreamRecord& record,
                    Time now) {
  Put(records.by_stream, kBounds, record.stream,
      {record.version, record.weights}, now);
}

StreamSource FindSource(const StreamRecords& records, StreamKey stream) {
  const StreamSource* source = Find(records.by_stream, stream);
  return source != nullptr ? *source : StreamSource{};
}

void RememberDoubt(StreamRecords& records, StreamKey stream,
                   const StepInDoubt& doubt, Time now) {
  if (doubt.source.size() > kMaxDoubtSourceBytes) return;
  Put(records.doubts, kDoubtBounds, stream, doubt, now);
}

std::optional<StepInDoubt> FindDoubt(const StreamRecords& records,
                                     StreamKey stream) {
  const StepInDoubt* doubt = Find(records.doubts, stream);
  return doubt != nullptr ? std::optional(*doubt) : std::nullopt;
}

std::vector<StreamRecord> AllStreams(const StreamRecords& records) {
  std::vector<StreamRecord> all;
  for (const auto* half :
       {&records.by_stream.older, &records.by_stream.newer}) {
    for (const auto& [stream, source] : *half)
      all.push_back({stream, source.version, source.weights});
  }
  return all;
}

PartKey KeyOfPart(const std::string& service, std::uint64_t part) {
  return kernel::HashBytes(service, part);
}

bool TellsVersion(SoftwareVersion version) {
  return version != kUnknownVersion && version != kSeveralVersions &&
         version != kDoubtedVersion;
}

void RememberPart(StreamRecords& records, PartKey part, SoftwareVersion version,
                  Time now) {
  const SoftwareVersion known = FindPartVersion(records, part);
  Put(records.by_part, kPartBounds, part, MergePartVersions(known, version),
      now);
}

SoftwareVersion FindPartVersion(const StreamRecords& records, PartKey part) {
  const SoftwareVersion* version = Find(records.by_part, part);
  return version != nullptr ? *version : kUnknownVersion;
}

SoftwareVersion MergePartVersions(SoftwareVersion left, SoftwareVersion right) {
  if (left == kUnknownVersion) return right;
  if (right == kUnknownVersion || left == right) return left;
  return kSeveralVersions;
}

PartKey KeyOfList(const EndpointEntry& entry) {
  return kernel::HashBytes(
      entry.id, kernel::HashBytes(entry.service, entry.started_unix_ms));
}

bool AreListsOfOthersIn(const StreamRecords& records, const EndpointSet& set,
                        const std::string& service, SoftwareVersion version) {
  const auto at = set.by_service.find(service);
  if (at == set.by_service.end()) return true;
  return std::all_of(at->second.begin(), at->second.end(),
                     [&records, version](const EndpointPtr& endpoint) {
                       return endpoint->version == version ||
                              Find(records.by_part,
                                   KeyOfList(endpoint->entry)) != nullptr;
                     });
}

WeightsKnowledge WeightsOf(const StreamRecords& records, const EndpointSet& set,
                           const std::string& service) {
  WeightsKnowledge knowledge;
  const auto at = records.weights_by_service.find(service);
  if (at == records.weights_by_service.end() || at->second.empty())
    return knowledge;
  const auto endpoints = set.by_service.find(service);
  const bool are_all_known =
      endpoints == set.by_service.end() ||
      std::all_of(endpoints->second.begin(), endpoints->second.end(),
                  [](const EndpointPtr& endpoint) {
                    return StatedWeights(*endpoint).has_value();
                  });
  knowledge.several = at->second.size() > 1;
  knowledge.is_in_doubt = knowledge.several || !are_all_known;
  if (!knowledge.is_in_doubt) knowledge.only = at->second.begin()->first;
  return knowledge;
}

bool ObserveVersions(StreamRecords& records, const EndpointSet& set, Time now) {
  ObserveWeights(records, set, now);
  Expire(records.by_stream, kBounds, now);
  Expire(records.by_part, kPartBounds, now);
  bool has_appeared = false;
  for (const auto& [service, versions] : set.versions_by_service) {
    VersionHistory& history = records.by_service[service];
    const bool were_several = CountVersions(history, now) > 1;
    Observe(history, versions, now);
    has_appeared =
        has_appeared || (!were_several && CountVersions(history, now) > 1);
  }
  return has_appeared;
}

bool WasServedAtSeveralVersions(const StreamRecords& records,
                                const std::string& service, Time now) {
  const auto at = records.by_service.find(service);
  return at != records.by_service.end() && CountVersions(at->second, now) > 1;
}

bool WereSeveralVersions(const StreamRecords& records, Time now) {
  return std::any_of(records.by_service.begin(), records.by_service.end(),
                     [now](const auto& entry) {
                       return CountVersions(entry.second, now) > 1;
                     });
}

void KeepKnowledge(StreamRecords& records, bool is_current,
                   const FeedProgress& progress, Time now) {
  if (!is_current) records.known_since = now;
  const bool had_data = records.progress_then.known > 0;
  if (!is_current || !had_data) records.progress_then = progress;
}

bool LeadsUpTo(const StreamRecords& records, const FeedProgress& progress) {
  const FeedProgress& then = records.progress_then;
  return then.known > 0 && progress.era == then.era &&
         progress.known >= then.known;
}

void ConfirmKnowledge(StreamRecords& records, Time read_at) {
  records.confirmed_at = std::max(records.confirmed_at, read_at);
}

VersionKnowledge KnowledgeOf(const StreamRecords& records,
                             const std::string& service, Time asked_at,
                             Time now) {
  VersionKnowledge knowledge;
  knowledge.since = records.known_since;
  if (records.confirmed_at >= asked_at)
    knowledge.confirmed_since = knowledge.since;
  const auto at = records.by_service.find(service);
  if (at == records.by_service.end()) return knowledge;
  for (const auto& [version, last_served] : at->second.last_served) {
    if (now - last_served < kStreamRetention)
      Merge(knowledge, {.only = version});
  }
  return knowledge;
}

bool IsVersionInDoubt(const StreamRecords& records, const std::string& service,
                      Time begin, Time now) {
  const VersionKnowledge knowledge = KnowledgeOf(records, service, now, now);
  return knowledge.several || !knowledge.since || *knowledge.since > begin;
}

std::vector<Member> HomesOfStream(const Members& members, StreamKey stream,
                                  std::size_t count) {
  return PickHomes(RankHomes(members, stream), count);
}

std::vector<Member> HomesToWriteTo(const Members& members, StreamKey stream) {
  const std::size_t count = CountHomes(members);
  std::vector<Member> homes = HomesOfStream(members, stream, count);
  if (members.silent.empty()) return homes;
  std::vector<RankedHome> ranked = RankHomes(members, stream);
  AddSilentHomes(members, stream, ranked);
  for (const Member& home : PickHomes(std::move(ranked), count)) {
    if (IsSilent(members, home)) homes.push_back(home);
  }
  return homes;
}

bool IsHome(const Members& members, StreamKey stream) {
  const auto homes = HomesOfStream(members, stream, CountHomes(members));
  return std::any_of(homes.begin(), homes.end(),
                     [&members](const Member& home) {
                       return home.node == members.self.node;
                     });
}

std::vector<Member> NodesToAsk(const Members& members, StreamKey stream,
                               Time earliest_begin) {
  std::vector<Member> nodes = HomesOfStream(members, stream, kStreamHomesToAsk);
  const auto has_run_since = [earliest_begin](const Member& member) {
    return !HasStartedSince(member, earliest_begin);
  };
  if (std::any_of(nodes.begin(), nodes.end(), has_run_since)) return nodes;
  const std::size_t homes = nodes.size();
  std::vector<RankedHome> all = RankHomes(members, stream);
  std::sort(all.begin(), all.end(), GoesFirst);
  for (const RankedHome& ranked : all) {
    if (nodes.size() == homes + kWitnessesToAsk) break;
    if (has_run_since(*ranked.member)) nodes.push_back(*ranked.member);
  }
  return nodes;
}

bool MayHaveLostHomes(const Members& members, Time since) {
  std::size_t nodes = 0;
  std::size_t started = 0;
  ForEachNode(members, [&](const Member& member) {
    ++nodes;
    if (HasStartedSince(member, since)) ++started;
  });
  return started >= std::min(CountHomes(members), nodes);
}

bool HasRunSince(const Members& members, Time since) {
  bool has_run = false;
  ForEachNode(members, [&](const Member& member) {
    has_run = has_run || !HasStartedSince(member, since);
  });
  return has_run;
}

bool IsFirstStartedSince(const Members& members, Time since,
                         std::uint64_t key) {
  if (!HasStartedSince(members.self, since)) return false;
  const std::uint64_t own = kernel::HashBytes(members.self.node, key);
  bool is_first = true;
  ForEachNode(members, [&](const Member& member) {
    if (is_first && HasStartedSince(member, since))
      is_first = kernel::HashBytes(member.node, key) <= own;
  });
  return is_first;
}

std::size_t CountHomes(const Members& members) {
  return IsSmallFleet(members) ? kStreamHomesInSmallFleet : kStreamHomes;
}

}  // namespace egretladder::routing
