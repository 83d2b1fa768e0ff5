#include "egretladder/routing/brittle.h"

#include <algorithm>
#include <chrono>
#include <cmath>

#include "egretladder/routing/round_trip.h"
#include "egretladder/routing/shared_rate.h"

namespace egretladder::routing {
namespace {

using Seconds = std::chrono::duration<double>;

bool IsFresh(const BrittleStatement& brittle, Time now) {
  const auto age = now - brittle.stated_at;
  if (age < kBrittleFreshTime) return true;
  return age < kBrittleUnansweredTime &&
         brittle.not_stated_at < brittle.stated_at;
}

// Returns true if this node knows enough of the fleet to tell who sends.
bool KnowsFleet(const FleetSnapshot& fleet) {
  const std::size_t known = std::max<std::size_t>(fleet.names.size(), 1);
  return fleet.is_standalone || known * kMinKnownFleetDivisor > fleet.nodes;
}

bool IsBrittleSender(const Endpoint& endpoint, const BrittleShare& share,
                     const FleetSnapshot& fleet) {
  return KnowsFleet(fleet) && IsAmongSenders(endpoint, share.senders, 0, fleet);
}

// Returns false if another node may take itself for the sender, and both
// together may be turned away more often than the endpoint tolerates.
bool MaySendAlone(const Endpoint& endpoint, const BrittleStatement& brittle,
                  const BrittleShare& share, const FleetSnapshot& fleet,
                  Time now) {
  const bool is_enough_for_two =
      brittle.tolerance * kBrittleToleranceRatio >= 1;
  if (is_enough_for_two || fleet.is_standalone) return true;
  if (fleet.is_leaving || fleet.in_touch_since == Time::max()) return false;
  const Time since = std::max(
      fleet.in_touch_since, PredecessorLostAt(endpoint, share.senders, fleet));
  return now - since >= kBrittleTakeoverTime;
}

// Returns one sender's part of the slots.
std::uint32_t SlotShare(const Endpoint& endpoint, const BrittleShare& share,
                        const FleetSnapshot& fleet) {
  const std::size_t senders =
      std::min(share.senders, std::max<std::size_t>(fleet.names.size(), 1));
  return std::max(endpoint.entry.slots, 1U) /
         static_cast<std::uint32_t>(senders);
}

double RoomSinceRefusal(const BrittleRoom& room, Time now) {
  const double elapsed = Seconds(now - room.refused_at).count();
  return room.max_in_flight + kBrittleGrowth * elapsed * elapsed;
}

std::size_t CountRecent(const std::deque<Time>& times, Time now) {
  const auto count = std::count_if(times.begin(), times.end(), [now](Time at) {
    return now - at < kBrittleRefusalWindow;
  });
  return static_cast<std::size_t>(count);
}

std::size_t CountOwnRefusals(const BrittleRoom& room, Time now) {
  return CountRecent(room.own_refusals, now) + CountRecent(room.given_up, now);
}

// Adds `now` and drops what is too old to count.
void AddRecent(std::deque<Time>& times, Time now) {
  while (!times.empty() && now - times.front() >= kBrittleRefusalWindow)
    times.pop_front();
  times.push_back(now);
}

bool IsUnconfirmed(const EndpointSet& set, const Endpoint& endpoint,
                   const UnansweredAttempt& attempt, Time now) {
  return attempt.sent_at != Time{} &&
         now - attempt.sent_at <
             ConfirmTime(set, endpoint, attempt.transfer_time);
}

// Returns how many requests that this node sent may still be turned away.
std::size_t CountUnconfirmed(const EndpointSet& set, const Endpoint& endpoint,
                             Time now) {
  const auto count =
      std::count_if(endpoint.unanswered.begin(), endpoint.unanswered.end(),
                    [&](const auto& entry) {
                      return IsUnconfirmed(set, endpoint, entry.second, now);
                    });
  return static_cast<std::size_t>(count);
}

std::size_t CountUnsent(const Endpoint& endpoint) {
  const auto count = std::count_if(
      endpoint.unanswered.begin(), endpoint.unanswered.end(),
      [](const auto& entry) { return entry.second.sent_at == Time{}; });
  return static_cast<std::size_t>(count);
}

void Shrink(BrittleRoom& room, double max_in_flight, Time now) {
  room.max_in_flight = std::max(1.0, max_in_flight);
  room.refused_at = now;
}

// Begins a brittle time if the service isn't in one. What was learned in an
// earlier one doesn't hold any more.
bool BeginIfNew(EndpointSet& set, const std::string& service, Time now) {
  const auto known = set.brittle_services.find(service);
  if (known != set.brittle_services.end() && IsFresh(known->second, now)) {
    return false;
  }
  const auto endpoints = set.by_service.find(service);
  if (endpoints == set.by_service.end()) return true;
  for (const EndpointPtr& endpoint : endpoints->second)
    endpoint->brittle_room = {};
  return true;
}

std::vector<BrittleGossip::Refusal> RecentRefusals(const EndpointSet& set,
                                                   const std::string& service,
                                                   Time now) {
  std::vector<BrittleGossip::Refusal> refusals;
  const auto at = set.by_service.find(service);
  if (at == set.by_service.end()) return refusals;
  for (const EndpointPtr& endpoint : at->second) {
    const BrittleRoom& room = endpoint->brittle_room;
    if (room.own_refusals.empty()) continue;
    const Time refused_at = room.own_refusals.back();
    if (now - refused_at >= kBrittleNewsTime) continue;
    if (refusals.size() == kMaxRefusalsPerExchange) break;
    refusals.push_back(
        {endpoint->entry.id,
         std::chrono::duration_cast<milliseconds>(now - refused_at)});
  }
  return refusals;
}

// Another node was turned away: there is little room for this one either.
void ApplyRefusal(EndpointSet& set, const BrittleGossip::Refusal& refusal,
                  Time now) {
  const auto at = set.by_id.find(refusal.endpoint);
  if (at == set.by_id.end() || refusal.ago >= kBrittleNewsTime) return;
  const Time refused_at = now - refusal.ago;
  BrittleRoom& room = at->second->brittle_room;
  if (refused_at <= room.refused_at + kSameRefusalWindow) return;
  Shrink(room, at->second->in_flight * kBrittleNewsRatio, now);
}

bool HasPlaceFor(EndpointSet& set, const std::string& service, Time now) {
  auto& services = set.brittle_services;
  if (services.contains(service)) return true;
  if (services.size() < kMaxBrittleServices) return true;
  std::erase_if(services, [now](const auto& entry) {
    return !IsFresh(entry.second, now);
  });
  return services.size() < kMaxBrittleServices;
}

}  // namespace

bool OnBrittleStated(EndpointSet& set, const std::string& service,
                     std::uint32_t tolerance, Time now) {
  const bool is_new = BeginIfNew(set, service, now);
  BrittleStatement& brittle = set.brittle_services[service];
  const bool has_changed = brittle.tolerance != tolerance;
  brittle.tolerance = tolerance;
  brittle.stated_at = std::max(brittle.stated_at, now);
  return is_new || has_changed;
}

void OnBrittleNotStated(EndpointSet& set, const std::string& service,
                        Time now) {
  const auto at = set.brittle_services.find(service);
  if (at != set.brittle_services.end()) at->second.not_stated_at = now;
}

const BrittleStatement* FindBrittle(const EndpointSet& set,
                                    const std::string& service, Time now) {
  const auto at = set.brittle_services.find(service);
  if (at == set.brittle_services.end() || !IsFresh(at->second, now)) {
    return nullptr;
  }
  return &at->second;
}

BrittleShare ShareOf(const BrittleStatement& brittle,
                     const Endpoint& endpoint) {
  const auto refusals = std::max<std::size_t>(
      1, static_cast<std::size_t>(brittle.tolerance * kBrittleToleranceRatio));
  BrittleShare share;
  share.senders =
      std::clamp<std::size_t>(refusals / kRefusalsPerBrittleSender, 1,
                              std::max(endpoint.entry.slots, 1U));
  share.refusals =
      std::min(refusals / share.senders, kMaxRefusalsPerBrittleSender);
  return share;
}

bool IsSureSender(const EndpointSet& set, const Endpoint& endpoint,
                  const FleetSnapshot& fleet, Time now) {
  const BrittleStatement* brittle =
      FindBrittle(set, endpoint.entry.service, now);
  if (brittle == nullptr) return true;
  const BrittleShare share = ShareOf(*brittle, endpoint);
  return IsBrittleSender(endpoint, share, fleet) &&
         MaySendAlone(endpoint, *brittle, share, fleet, now);
}

BrittleVerdict CheckBrittleRoom(const EndpointSet& set,
                                const Endpoint& endpoint,
                                const BrittleStatement& brittle,
                                const FleetSnapshot& fleet, Time now) {
  const BrittleShare share = ShareOf(brittle, endpoint);
  if (!IsBrittleSender(endpoint, share, fleet))
    return BrittleVerdict::kOtherSenders;
  if (!MaySendAlone(endpoint, brittle, share, fleet, now))
    return BrittleVerdict::kFull;
  const std::size_t refusals = CountOwnRefusals(endpoint.brittle_room, now) +
                               CountUnconfirmed(set, endpoint, now) +
                               CountUnsent(endpoint);
  if (refusals >= share.refusals) return BrittleVerdict::kFull;
  return endpoint.in_flight < MaxBrittleInFlight(endpoint, brittle, fleet, now)
             ? BrittleVerdict::kRoom
             : BrittleVerdict::kFull;
}

bool MaySendToBrittle(const EndpointSet& set, const Endpoint& endpoint,
                      const BrittleStatement& brittle, Time now) {
  return CountOwnRefusals(endpoint.brittle_room, now) +
             CountUnconfirmed(set, endpoint, now) <
         ShareOf(brittle, endpoint).refusals;
}

std::uint32_t MaxBrittleInFlight(const Endpoint& endpoint,
                                 const BrittleStatement& brittle,
                                 const FleetSnapshot& fleet, Time now) {
  const BrittleShare share = ShareOf(brittle, endpoint);
  if (!IsBrittleSender(endpoint, share, fleet)) return 0;
  const std::uint32_t slots = SlotShare(endpoint, share, fleet);
  const BrittleRoom& room = endpoint.brittle_room;
  if (room.refused_at == Time{}) return slots;
  const double grown = std::floor(RoomSinceRefusal(room, now));
  return grown < slots ? static_cast<std::uint32_t>(grown) : slots;
}

std::vector<std::string> FindBrittleSenders(const Endpoint& endpoint,
                                            const BrittleStatement& brittle,
                                            const FleetSnapshot& fleet) {
  return FindSenders(endpoint, ShareOf(brittle, endpoint).senders, fleet);
}

milliseconds ConfirmTime(const EndpointSet& set, const Endpoint& endpoint,
                         milliseconds transfer_time) {
  const milliseconds seen =
      endpoint.brittle_room.refusal_time * kBrittleConfirmFactor;
  const milliseconds expected = RoundTripBound(set, endpoint) + transfer_time;
  return std::clamp(std::max(seen, expected), kMinBrittleConfirmTime,
                    kMaxBrittleConfirmTime);
}

void OnBrittleRefusal(EndpointSet& set, Endpoint& endpoint,
                      const BrittleStatement& brittle, milliseconds took,
                      Time now) {
  OnRoundTrip(set, endpoint, took);
  BrittleRoom& room = endpoint.brittle_room;
  room.refusal_time = took;
  AddRecent(room.own_refusals, now);
  // A single sender knows what the endpoint had in hand.
  const bool is_only_sender = ShareOf(brittle, endpoint).senders == 1;
  Shrink(room,
         is_only_sender ? endpoint.in_flight - 1.0
                        : endpoint.in_flight * kBrittleRefusalRatio,
         now);
}

void OnBrittleGivenUp(EndpointSet& set, Endpoint& endpoint,
                      std::uint64_t attempt, Time now) {
  if (FindBrittle(set, endpoint.entry.service, now) == nullptr) return;
  const auto at = endpoint.unanswered.find(attempt);
  if (at == endpoint.unanswered.end()) return;
  if (IsUnconfirmed(set, endpoint, at->second, now))
    AddRecent(endpoint.brittle_room.given_up, now);
}

std::vector<BrittleGossip> MakeBrittleGossip(const EndpointSet& set, Time now) {
  std::vector<BrittleGossip> gossip;
  for (const auto& [service, brittle] : set.brittle_services) {
    if (!IsFresh(brittle, now)) continue;
    gossip.push_back(
        {service, brittle.tolerance,
         std::chrono::duration_cast<milliseconds>(now - brittle.stated_at),
         RecentRefusals(set, service, now)});
  }
  return gossip;
}

bool ApplyBrittleGossip(EndpointSet& set, const BrittleGossip& gossip,
                        Time now) {
  if (gossip.stated_ago >= kBrittleUnansweredTime) return false;
  // A node that starts may hear of the statement before it knows the service.
  if (!HasPlaceFor(set, gossip.service, now)) return false;
  const Time stated_at = now - gossip.stated_ago;
  const bool is_new = BeginIfNew(set, gossip.service, now);
  BrittleStatement& brittle = set.brittle_services[gossip.service];
  if (stated_at > brittle.stated_at) {
    brittle.tolerance = gossip.tolerance;
    brittle.stated_at = stated_at;
  }
  for (const BrittleGossip::Refusal& refusal : gossip.refusals)
    ApplyRefusal(set, refusal, now);
  return is_new;
}

}  // namespace egretladder::routing
