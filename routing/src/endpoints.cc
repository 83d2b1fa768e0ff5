#include "egretladder/routing/endpoints.h"

#include <algorithm>
#include <cmath>
#include <utility>

#include "egretladder/kernel/hash.h"

namespace egretladder::routing {
namespace {

// Places by rank, not by the hash itself: with ninety engines a part of them
// would else differ by a quarter from what was asked for.
void SetOrder(const std::vector<EndpointPtr>& by_hash) {
  const double size = static_cast<double>(by_hash.size());
  for (std::size_t i = 0; i < by_hash.size(); ++i) {
    by_hash[i]->order = static_cast<double>(i) / size;
  }
}

// Each into its place: sorted anew for each of thousands of entries, a node
// that starts is busy for seconds.
void Enlist(EndpointSet& set, const EndpointPtr& endpoint) {
  auto& list = set.by_service[endpoint->entry.service];
  const auto at =
      std::upper_bound(list.begin(), list.end(), endpoint,
                       [](const EndpointPtr& left, const EndpointPtr& right) {
                         return left->name_hash < right->name_hash;
                       });
  list.insert(at, endpoint);
  SetOrder(list);
}

void Unlist(EndpointSet& set, const EndpointPtr& endpoint) {
  auto& list = set.by_service[endpoint->entry.service];
  std::erase(list, endpoint);
  SetOrder(list);
}

void Remove(EndpointSet& set, const std::string& id) {
  const auto at = set.by_id.find(id);
  if (at == set.by_id.end()) return;
  at->second->phase = EndpointPhase::kGone;
  Unlist(set, at->second);
  set.by_id.erase(at);
}

EntryChange Add(EndpointSet& set, const EndpointEntry& entry, Time now) {
  auto endpoint = std::make_shared<Endpoint>();
  endpoint->entry = entry;
  endpoint->name_hash = kernel::HashBytes(entry.id);
  endpoint->phase =
      entry.leaving ? EndpointPhase::kLeaving : EndpointPhase::kServing;
  endpoint->cold_until = now + entry.cold_left;
  // What peers heard of an earlier process doesn't count.
  endpoint->limit.named = now;
  Enlist(set, endpoint);
  set.by_id[entry.id] = std::move(endpoint);
  return EntryChange::kNew;
}

double Smooth(double before, double newest) {
  return before + kNewestWeight * (newest - before);
}

}  // namespace

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

EntryChange OnEntryPublished(EndpointSet& set, const EndpointEntry& entry,
                             Time now) {
  const auto at = set.by_id.find(entry.id);
  if (at == set.by_id.end()) return Add(set, entry, now);
  Endpoint& known = *at->second;
  if (known.entry.started_unix_ms != entry.started_unix_ms ||
      known.entry.address != entry.address ||
      known.entry.service != entry.service) {
    Remove(set, entry.id);
    Add(set, entry, now);
    return EntryChange::kRestarted;
  }
  const bool was_leaving = known.phase == EndpointPhase::kLeaving;
  const bool was_cold = now < known.cold_until;
  const bool same = known.entry.slots == entry.slots &&
                    known.entry.zone == entry.zone &&
                    known.phase != EndpointPhase::kLapsed;
  known.entry = entry;
  known.phase =
      entry.leaving ? EndpointPhase::kLeaving : EndpointPhase::kServing;
  if (entry.cold_left.count() > 0) {
    known.cold_until = std::max(known.cold_until, now + entry.cold_left);
    // What it held is lost with its warmth.
    if (!was_cold) known.parts.clear();
  }
  if (entry.leaving && !was_leaving) return EntryChange::kLeaving;
  if (!was_cold && now < known.cold_until) return EntryChange::kCold;
  return same ? EntryChange::kNone : EntryChange::kChanged;
}

EntryChange OnEntryRemoved(EndpointSet& set, const std::string& id,
                           bool trouble, Time now) {
  const auto at = set.by_id.find(id);
  if (at == set.by_id.end()) return EntryChange::kNone;
  if (trouble && at->second->phase == EndpointPhase::kServing) {
    at->second->phase = EndpointPhase::kLapsed;
    at->second->lapsed_until = now + kLapseGrace;
    return EntryChange::kLapsed;
  }
  if (trouble && at->second->phase == EndpointPhase::kLapsed) {
    return EntryChange::kNone;
  }
  Remove(set, id);
  return EntryChange::kGone;
}

void OnWrongInstance(EndpointSet& set, const std::string& id) {
  Remove(set, id);
}

std::vector<std::string> RemoveLapsedEndpoints(EndpointSet& set, Time now) {
  std::vector<std::string> gone;
  for (const auto& [id, endpoint] : set.by_id) {
    if (endpoint->phase == EndpointPhase::kLapsed &&
        endpoint->lapsed_until <= now) {
      gone.push_back(id);
    }
  }
  for (const std::string& id : gone) Remove(set, id);
  return gone;
}

void SetZoneOut(EndpointSet& set, const std::string& zone, bool out) {
  set.zones_out[zone] = out;
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

void OnSignOfLife(Endpoint& endpoint, Time now) { endpoint.heard_at = now; }

bool IsRecentlyHeard(const Endpoint& endpoint, Time now) {
  return now - endpoint.heard_at < kHeardLately;
}

void OnConnectFailed(Endpoint& endpoint, Time now) {
  Trust& health = endpoint.health;
  constexpr std::uint32_t kDoublings = 5;
  const auto pause = kAvoidFirst * (1U << std::min(health.refused, kDoublings));
  health.avoid_until = now + std::min<milliseconds>(pause, kAvoidMost);
  ++health.refused;
}

void OnAttemptFailed(Endpoint& endpoint, Time now) {
  Trust& health = endpoint.health;
  health.failing = Smooth(FailingOf(health, now), 1);
  health.failing_at = now;
}

void OnEndpointFull(Endpoint& endpoint, milliseconds pause, Time now) {
  endpoint.health.full_until = now + pause;
  endpoint.health.refused = 0;
}

void OnFirstByte(Endpoint& endpoint, milliseconds took, milliseconds expected) {
  const double late =
      std::max(0.0, static_cast<double>((took - expected).count()));
  endpoint.health.drift_ms = Smooth(endpoint.health.drift_ms, late);
}

void OnAnswered(Endpoint& endpoint, milliseconds took, Time now) {
  Trust& health = endpoint.health;
  health.refused = 0;
  health.avoid_until = {};
  health.failing = Smooth(FailingOf(health, now), 0);
  health.failing_at = now;
  const auto ms = static_cast<double>(took.count());
  health.mean_ms = health.mean_ms == 0 ? ms : Smooth(health.mean_ms, ms);
}

double FailingOf(const Trust& health, Time now) {
  const auto age =
      std::chrono::duration<double, std::milli>(now - health.failing_at);
  return health.failing *
         std::exp2(-age.count() /
                   static_cast<double>(kFailureHalfLife.count()));
}

milliseconds SilenceOf(const Endpoint& endpoint, Time now) {
  if (endpoint.unanswered.empty()) return {};
  const auto& [sent, due] = endpoint.unanswered.begin()->second;
  const auto expected = std::chrono::duration<double>(due - sent);
  const auto allowed = std::max(
      std::chrono::duration_cast<milliseconds>(expected * kSilentRatio),
      kSilentLeast);
  const auto waited = std::chrono::duration_cast<milliseconds>(now - sent);
  return std::max(milliseconds(0), waited - allowed);
}

void NoteParts(Endpoint& endpoint, const std::vector<std::uint64_t>& parts,
               Time now) {
  for (const std::uint64_t part : parts) endpoint.parts[part] = now;
  if (endpoint.parts.size() <= kPartsMost) return;
  // Rare: drops the older half in one go.
  std::vector<Time> uses;
  uses.reserve(endpoint.parts.size());
  for (const auto& [part, used] : endpoint.parts) uses.push_back(used);
  const auto middle =
      uses.begin() + static_cast<std::ptrdiff_t>(uses.size() / 2);
  std::nth_element(uses.begin(), middle, uses.end());
  std::erase_if(endpoint.parts, [oldest = *middle](const auto& entry) {
    return entry.second < oldest;
  });
}

bool HoldsPart(const Endpoint& endpoint, std::uint64_t part, Time now) {
  const auto at = endpoint.parts.find(part);
  return at != endpoint.parts.end() && now - at->second < kPartKept;
}

}  // namespace egretladder::routing
