#include "egretladder/routing/version_evidence.h"

#include <algorithm>

namespace egretladder::routing {

namespace {

void TakeEarlier(std::optional<Time>& since, const std::optional<Time>& other) {
  if (other && (!since || *other < *since)) since = other;
}

bool HasRunSince(const Endpoint& endpoint, const ClockTimes& since) {
  const std::uint64_t started = endpoint.entry.started_unix_ms;
  if (started == 0) return false;
  // Its clock may be behind this node's.
  const auto latest_ms = static_cast<std::uint64_t>(
      std::max<std::int64_t>((since.of_day - kMaxClockDifference).count(), 0));
  return endpoint.known_since <= since.steady || started < latest_ms;
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
                         const ClockTimes& since) {
  const auto at = set.by_service.find(service);
  if (at == set.by_service.end() || at->second.empty()) return true;
  return std::any_of(at->second.begin(), at->second.end(),
                     [&since](const EndpointPtr& endpoint) {
                       return !HasRunSince(*endpoint, since);
                     });
}

const char* NameOf(VersionVerdict verdict) {
  switch (verdict) {
    case VersionVerdict::kOneVersion:
      return "one-version";
    case VersionVerdict::kNoRelease:
      return "no-release";
    case VersionVerdict::kUnknown:
      break;
  }
  return "unknown";
}

VersionVerdict JudgeUnknownStream(const VersionKnowledge& knowledge,
                                  const EndpointSet& set,
                                  const Service& service, Time earliest_begin,
                                  UnixTime unix_now, Time now) {
  // Without any version there is none to keep to.
  if (knowledge.several || knowledge.only == kUnknownVersion)
    return VersionVerdict::kUnknown;
  // Nobody reads the store: another version may serve since.
  if (!knowledge.confirmed_since) return VersionVerdict::kUnknown;
  if (*knowledge.confirmed_since <= earliest_begin)
    return VersionVerdict::kOneVersion;
  // Its endpoints tell what they keep.
  if (service.generates) return VersionVerdict::kUnknown;
  const auto age =
      std::chrono::duration_cast<milliseconds>(now - earliest_begin);
  const ClockTimes since{earliest_begin - kMaxReplacementTime,
                         unix_now - age - kMaxReplacementTime};
  return MayHaveStartedSince(set, service.name, since)
             ? VersionVerdict::kUnknown
             : VersionVerdict::kNoRelease;
}

}  // namespace egretladder::routing
