#include "egretladder/routing/endpoints.h"

#include <algorithm>
#include <cmath>
#include <utility>

#include "egretladder/kernel/hash.h"
#include "egretladder/routing/endpoint_notices.h"
#include "egretladder/routing/software_version.h"

namespace egretladder::routing {
namespace {

// Positions are taken from the rank by hash, not from the hash itself: with
// ninety engines, a fraction chosen by hash value would differ by a quarter
// from the intended one.
void SetHashPositions(const std::vector<EndpointPtr>& by_hash) {
  const double size = static_cast<double>(by_hash.size());
  for (std::size_t i = 0; i < by_hash.size(); ++i) {
    by_hash[i]->hash_position = static_cast<double>(i) / size;
  }
}

void CountVersion(EndpointSet& set, const Endpoint& endpoint) {
  ++set.versions_by_service[endpoint.entry.service][endpoint.version];
  if (const Weights weights = StatedWeights(endpoint))
    ++set.weights_by_service[endpoint.entry.service][*weights];
}

void UncountWeights(EndpointSet& set, const Endpoint& endpoint) {
  const Weights stated = StatedWeights(endpoint);
  if (!stated) return;
  auto& weights = set.weights_by_service[endpoint.entry.service];
  const auto at = weights.find(*stated);
  if (--at->second == 0) weights.erase(at);
}

void UncountVersion(EndpointSet& set, const Endpoint& endpoint) {
  auto& versions = set.versions_by_service[endpoint.entry.service];
  const auto at = versions.find(endpoint.version);
  if (--at->second == 0) versions.erase(at);
  UncountWeights(set, endpoint);
}

// Inserts the endpoint in hash order. Sorting the list again for each of
// thousands of entries would keep a starting node busy for seconds.
void AddToService(EndpointSet& set, const EndpointPtr& endpoint) {
  auto& list = set.by_service[endpoint->entry.service];
  const auto at =
      std::upper_bound(list.begin(), list.end(), endpoint,
                       [](const EndpointPtr& left, const EndpointPtr& right) {
                         return left->name_hash < right->name_hash;
                       });
  list.insert(at, endpoint);
  SetHashPositions(list);
  CountVersion(set, *endpoint);
}

void RemoveFromService(EndpointSet& set, const EndpointPtr& endpoint) {
  auto& list = set.by_service[endpoint->entry.service];
  std::erase(list, endpoint);
  SetHashPositions(list);
  UncountVersion(set, *endpoint);
}

void Remove(EndpointSet& set, const std::string& id) {
  const auto at = set.by_id.find(id);
  if (at == set.by_id.end()) return;
  SetPhase(set, *at->second, EndpointPhase::kGone);
  RememberRemoved(set, *at->second);
  RemoveFromService(set, at->second);
  set.by_id.erase(at);
}

EntryChange Add(EndpointSet& set, const EndpointEntry& entry, Time now) {
  auto endpoint = std::make_shared<Endpoint>();
  endpoint->entry = entry;
  endpoint->name_hash = kernel::HashBytes(entry.id);
  endpoint->version = VersionOf(entry);
  endpoint->version_since = now;
  endpoint->known_since = now;
  endpoint->phase =
      entry.leaving ? EndpointPhase::kLeaving : EndpointPhase::kServing;
  endpoint->cold_until = now + entry.cold_left;
  // Limits that peers learned from an earlier process don't count.
  endpoint->limit.advertised_at = now;
  RestoreStatements(set, *endpoint);
  AddToService(set, endpoint);
  set.by_id[entry.id] = std::move(endpoint);
  return EntryChange::kNew;
}

double Smooth(double average, double sample) {
  return average + kNewestAnswerWeight * (sample - average);
}

// Returns the part of a value that is left of it after `age`.
double Remaining(Time::duration age, milliseconds half_life) {
  const std::chrono::duration<double, std::milli> elapsed(age);
  return std::exp2(-elapsed / half_life);
}

double RemainingDriftMs(const EndpointHealth& health, Time now) {
  return health.drift_ms * Remaining(now - health.drift_at, kDriftHalfLife);
}

}  // namespace

void SetPhase(EndpointSet& set, Endpoint& endpoint, EndpointPhase phase) {
  endpoint.phase = phase;
  if (phase == EndpointPhase::kLapsed) {
    set.lapsed.insert(endpoint.entry.id);
  } else {
    set.lapsed.erase(endpoint.entry.id);
  }
}

const char* NameOf(EndpointPhase phase) {
  switch (phase) {
    case EndpointPhase::kServing:
      return "serving";
    case EndpointPhase::kLeaving:
      return "leaving";
    case EndpointPhase::kLapsed:
      return "lapsed";
    case EndpointPhase::kGone:
      return "gone";
  }
  return "unknown";
}

const char* NameOf(EntryChange change) {
  switch (change) {
    case EntryChange::kNone:
      return "unchanged";
    case EntryChange::kNew:
      return "new";
    case EntryChange::kRestarted:
      return "restarted";
    case EntryChange::kChanged:
      return "changed";
    case EntryChange::kLeaving:
      return "leaving";
    case EntryChange::kCold:
      return "cold";
    case EntryChange::kLapsed:
      return "lapsed";
    case EntryChange::kGone:
      return "gone";
  }
  return "unknown";
}

bool IsSameProcess(const EndpointEntry& left, const EndpointEntry& right) {
  return left.started_unix_ms == right.started_unix_ms &&
         left.address == right.address && left.service == right.service;
}

bool IsLeaving(const Endpoint& endpoint) {
  return endpoint.phase == EndpointPhase::kLeaving ||
         endpoint.phase == EndpointPhase::kGone || endpoint.notices.leaving;
}

Weights StatedWeights(const Endpoint& endpoint) {
  return endpoint.weights ? endpoint.weights : endpoint.entry.weights;
}

void SetWeights(EndpointSet& set, Endpoint& endpoint, Weights weights) {
  const bool is_counted = endpoint.phase != EndpointPhase::kGone;
  if (is_counted) UncountVersion(set, endpoint);
  endpoint.weights = weights;
  if (is_counted) CountVersion(set, endpoint);
}

EntryChange OnEntryPublished(EndpointSet& set, const EndpointEntry& entry,
                             Time now) {
  const auto at = set.by_id.find(entry.id);
  if (at == set.by_id.end()) return Add(set, entry, now);
  Endpoint& known = *at->second;
  if (!IsSameProcess(known.entry, entry)) {
    Remove(set, entry.id);
    Add(set, entry, now);
    return EntryChange::kRestarted;
  }
  if (now - known.broke_at > kMaxEntryDelay) known.broke_at = {};
  if (now - known.doubted_since > kMaxEntryDelay) known.doubted_since = {};
  const bool was_leaving = known.phase == EndpointPhase::kLeaving;
  const bool was_cold = now < known.cold_until;
  const bool same = known.entry.slots == entry.slots &&
                    known.entry.zone == entry.zone &&
                    known.phase != EndpointPhase::kLapsed;
  UncountVersion(set, known);
  known.entry = entry;
  if (const SoftwareVersion version = VersionOf(entry);
      version != known.version) {
    known.version = version;
    known.version_since = now;
  }
  CountVersion(set, known);
  SetPhase(set, known,
           entry.leaving ? EndpointPhase::kLeaving : EndpointPhase::kServing);
  if (entry.cold_left.count() > 0) {
    known.cold_until = std::max(known.cold_until, now + entry.cold_left);
    // An endpoint that turned cold has lost its prefix cache.
    if (!was_cold) known.parts.clear();
  }
  if (entry.leaving && !was_leaving) return EntryChange::kLeaving;
  if (!was_cold && now < known.cold_until) return EntryChange::kCold;
  return same ? EntryChange::kNone : EntryChange::kChanged;
}

EntryChange OnEntryRemoved(EndpointSet& set, const std::string& id,
                           bool store_was_unreachable, Time now) {
  const auto at = set.by_id.find(id);
  if (at == set.by_id.end()) return EntryChange::kNone;
  if (store_was_unreachable && at->second->phase == EndpointPhase::kServing &&
      !IsLeaving(*at->second)) {
    SetPhase(set, *at->second, EndpointPhase::kLapsed);
    at->second->lapsed_until = now + kLapseGrace;
    return EntryChange::kLapsed;
  }
  if (store_was_unreachable && at->second->phase == EndpointPhase::kLapsed) {
    return EntryChange::kNone;
  }
  Remove(set, id);
  return EntryChange::kGone;
}

void OnWrongInstance(EndpointSet& set, const std::string& id) {
  Remove(set, id);
}

std::vector<std::string> RemoveLapsedEndpoints(EndpointSet& set, Time now) {
  std::vector<std::string> expired;
  for (const std::string& id : set.lapsed) {
    if (set.by_id.at(id)->lapsed_until <= now) expired.push_back(id);
  }
  for (const std::string& id : expired) Remove(set, id);
  return expired;
}

void SetZoneOut(EndpointSet& set, const std::string& zone, bool is_out) {
  set.zones_out[zone] = is_out;
  set.deferred_zone_changes.erase(zone);
}

bool IsZoneOut(const EndpointSet& set, std::string_view zone) {
  const auto at = set.zones_out.find(zone);
  return at != set.zones_out.end() && at->second;
}

const ServicePace& FindServicePace(const EndpointSet& set,
                                   const std::string& service) {
  static const ServicePace kNone;
  const auto at = set.service_paces.find(service);
  return at != set.service_paces.end() ? at->second : kNone;
}

void OnSignOfLife(Endpoint& endpoint, Time now) {
  endpoint.last_heard_at = now;
}

bool IsRecentlyHeard(const Endpoint& endpoint, Time now) {
  return now - endpoint.last_heard_at < kRecentlyHeardWindow;
}

void OnConnectionLost(Endpoint& endpoint, Time now) {
  endpoint.broke_at = now;
  endpoint.doubted_since = now;
}

bool IsVersionSure(const Endpoint& endpoint) {
  return endpoint.doubted_since == Time{} && !endpoint.is_replaced;
}

ProcessCheckResult OnProcessStated(Endpoint& endpoint,
                                   std::uint64_t started_unix_ms,
                                   Time asked_at) {
  const std::uint64_t published = endpoint.entry.started_unix_ms;
  if (published == 0 || started_unix_ms == 0)
    return ProcessCheckResult::kUnclear;
  endpoint.is_replaced = started_unix_ms > published;
  if (endpoint.is_replaced) return ProcessCheckResult::kReplaced;
  if (started_unix_ms < published) {
    // The process before still answers: the entry's own is asked another time.
    endpoint.doubted_since = std::max(endpoint.doubted_since, asked_at);
    return ProcessCheckResult::kReplaced;
  }
  OnProcessWitnessed(endpoint, asked_at);
  return ProcessCheckResult::kSame;
}

Time WitnessedFrom(const Endpoint& endpoint, Time answers_since) {
  return std::max(endpoint.version_since, answers_since) + kMaxEntryDelay;
}

void OnProcessWitnessed(Endpoint& endpoint, Time asked_at) {
  endpoint.proven_at = std::max(endpoint.proven_at, asked_at);
  // An answer from before the break says nothing of the time after it.
  if (asked_at >= endpoint.doubted_since) endpoint.doubted_since = {};
}

const char* NameOf(ProcessCheckResult result) {
  switch (result) {
    case ProcessCheckResult::kSame:
      return "same";
    case ProcessCheckResult::kReplaced:
      return "replaced";
    case ProcessCheckResult::kUnclear:
      return "unclear";
    case ProcessCheckResult::kNoAnswer:
      return "no-answer";
    case ProcessCheckResult::kLost:
      return "lost";
    case ProcessCheckResult::kSilent:
      return "silent";
  }
  return "unknown";
}

void OnConnectFailed(Endpoint& endpoint, Time now) {
  EndpointHealth& health = endpoint.health;
  constexpr std::uint32_t kMaxDoublings = 5;
  const auto pause =
      kInitialConnectBackoff *
      (1U << std::min(health.refused_connections, kMaxDoublings));
  health.avoid_until = now + std::min<milliseconds>(pause, kMaxConnectBackoff);
  ++health.refused_connections;
}

void OnQuestionUnanswered(Endpoint& endpoint, Time now) {
  if (now < endpoint.health.avoid_until) return;
  OnConnectFailed(endpoint, now);
}

void OnAttemptFailed(Endpoint& endpoint, Time now) {
  EndpointHealth& health = endpoint.health;
  health.failure_rate = Smooth(FailureRate(health, now), 1);
  health.failure_rate_at = now;
}

void OnEndpointFull(Endpoint& endpoint, milliseconds pause, Time now) {
  endpoint.health.full_until = now + pause;
  endpoint.health.refused_connections = 0;
}

void OnFirstByte(Endpoint& endpoint, milliseconds elapsed,
                 milliseconds expected, Time now) {
  EndpointHealth& health = endpoint.health;
  const double late_ms =
      std::max(0.0, static_cast<double>((elapsed - expected).count()));
  health.drift_ms = Smooth(RemainingDriftMs(health, now), late_ms);
  health.drift_at = now;
}

std::chrono::duration<double, std::milli> DriftAt(const EndpointHealth& health,
                                                  Time now) {
  const std::chrono::duration<double, std::milli> drift(
      RemainingDriftMs(health, now));
  return drift < kMinDrift ? drift.zero() : drift;
}

void OnAnswered(Endpoint& endpoint, milliseconds elapsed, Time now) {
  EndpointHealth& health = endpoint.health;
  health.refused_connections = 0;
  health.avoid_until = {};
  health.failure_rate = Smooth(FailureRate(health, now), 0);
  health.failure_rate_at = now;
  const auto ms = static_cast<double>(elapsed.count());
  health.mean_answer_ms =
      health.mean_answer_ms == 0 ? ms : Smooth(health.mean_answer_ms, ms);
}

double FailureRate(const EndpointHealth& health, Time now) {
  return health.failure_rate *
         Remaining(now - health.failure_rate_at, kFailureHalfLife);
}

milliseconds OverdueTime(const Endpoint& endpoint, Time now) {
  if (endpoint.unanswered.empty()) return {};
  const UnansweredAttempt& oldest = endpoint.unanswered.begin()->second;
  const auto expected =
      std::chrono::duration<double>(oldest.expected_at - oldest.placed_at);
  const auto allowed = std::max(
      std::chrono::duration_cast<milliseconds>(expected * kSilenceFactor),
      kMinSilence);
  const auto waited =
      std::chrono::duration_cast<milliseconds>(now - oldest.placed_at);
  return std::max(milliseconds(0), waited - allowed);
}

void RecordPromptParts(Endpoint& endpoint,
                       const std::vector<std::uint64_t>& parts, Time now) {
  for (const std::uint64_t part : parts) endpoint.parts[part] = now;
  if (endpoint.parts.size() <= kMaxPromptParts) return;
  // Dropping the older half at once keeps this rare.
  std::vector<Time> last_uses;
  last_uses.reserve(endpoint.parts.size());
  for (const auto& [part, used] : endpoint.parts) last_uses.push_back(used);
  const auto middle =
      last_uses.begin() + static_cast<std::ptrdiff_t>(last_uses.size() / 2);
  std::nth_element(last_uses.begin(), middle, last_uses.end());
  std::erase_if(endpoint.parts, [oldest = *middle](const auto& entry) {
    return entry.second < oldest;
  });
}

bool HasCachedPart(const Endpoint& endpoint, std::uint64_t part, Time now) {
  const auto at = endpoint.parts.find(part);
  return at != endpoint.parts.end() && now - at->second < kPromptPartRetention;
}

}  // namespace egretladder::routing
