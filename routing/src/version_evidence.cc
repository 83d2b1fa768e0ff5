#include "egretladder/routing/version_evidence.h"

#include <algorithm>

namespace egretladder::routing {

namespace {

void TakeEarlier(std::optional<Time>& since, const std::optional<Time>& other) {
  if (other && (!since || *other < *since)) since = other;
}

bool IsKnownSince(const std::optional<Time>& since, Time begin) {
  return since && *since <= begin;
}

}  // namespace

void Merge(VersionKnowledge& knowledge, const VersionKnowledge& other) {
  TakeEarlier(knowledge.since, other.since);
  TakeEarlier(knowledge.confirmed_since, other.confirmed_since);
  const bool differ = knowledge.only != kUnknownVersion &&
                      other.only != kUnknownVersion &&
                      knowledge.only != other.only;
  knowledge.several = knowledge.several || other.several || differ;
  if (knowledge.only == kUnknownVersion) knowledge.only = other.only;
}

Time EarliestBegin(const RouteTable& rules,
                   std::optional<milliseconds> time_left, Time now) {
  milliseconds longest{};
  for (const Route& route : rules.routes) {
    if (route.kind == RouteKind::kStream)
      longest = std::max(longest, route.timeout);
  }
  if (!time_left) return now - kStreamRetention;
  const milliseconds age =
      std::max(longest - *time_left, milliseconds(0)) + kMaxDeadlineError;
  return now - std::min(age, kStreamRetention);
}

bool MayHaveStartedSince(const EndpointSet& set, const std::string& service,
                         UnixTime since) {
  const auto at = set.by_service.find(service);
  if (at == set.by_service.end() || at->second.empty()) return true;
  const auto since_ms =
      static_cast<std::uint64_t>(std::max<std::int64_t>(since.count(), 0));
  return std::any_of(at->second.begin(), at->second.end(),
                     [since_ms](const EndpointPtr& endpoint) {
                       const std::uint64_t started =
                           endpoint->entry.started_unix_ms;
                       return started == 0 || started >= since_ms;
                     });
}

bool SpeakForFleet(const VersionWitnesses& witnesses) {
  // One of them may have just died.
  const bool do_enough_answer = 2 * witnesses.answered >= witnesses.asked &&
                                witnesses.answered + 1 >= witnesses.asked;
  const std::size_t silent = witnesses.asked - witnesses.answered;
  const bool are_most =
      2 * witnesses.nodes > 2 * silent + witnesses.recent_nodes;
  return are_most && do_enough_answer;
}

const char* NameOf(VersionVerdict verdict) {
  switch (verdict) {
    case VersionVerdict::kOneVersion:
      return "one-version";
    case VersionVerdict::kStoreAway:
      return "store-away";
    case VersionVerdict::kNoRelease:
      return "no-release";
    case VersionVerdict::kUnknown:
      break;
  }
  return "unknown";
}

VersionVerdict JudgeUnknownStream(const VersionKnowledge& knowledge,
                                  const VersionWitnesses& witnesses,
                                  const EndpointSet& set,
                                  const Service& service, Time earliest_begin,
                                  UnixTime unix_now, Time now) {
  // Without any version there is none to keep to.
  if (knowledge.several || knowledge.only == kUnknownVersion)
    return VersionVerdict::kUnknown;
  if (IsKnownSince(knowledge.confirmed_since, earliest_begin))
    return VersionVerdict::kOneVersion;
  const bool is_current = knowledge.confirmed_since.has_value();
  if (!is_current && !SpeakForFleet(witnesses)) return VersionVerdict::kUnknown;
  if (!is_current && IsKnownSince(knowledge.since, earliest_begin))
    return VersionVerdict::kStoreAway;
  // Its endpoints tell what they keep.
  if (service.generates) return VersionVerdict::kUnknown;
  const auto age =
      std::chrono::duration_cast<milliseconds>(now - earliest_begin);
  const UnixTime since = unix_now - age - kMaxReplacementTime;
  return MayHaveStartedSince(set, service.name, since)
             ? VersionVerdict::kUnknown
             : VersionVerdict::kNoRelease;
}

}  // namespace egretladder::routing
