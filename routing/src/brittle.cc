#include "egretladder/routing/brittle.h"

#include <algorithm>
#include <chrono>
#include <cmath>

#include "egretladder/routing/shared_rate.h"

namespace egretladder::routing {
namespace {

using Seconds = std::chrono::duration<double>;

bool IsFresh(const BrittleStatement& brittle, Time now) {
  return now - brittle.stated_at < kBrittleFreshTime;
}

std::size_t CountNodes(const FleetSnapshot& fleet) {
  return std::max({fleet.nodes, fleet.names.size(), std::size_t{1}});
}

// Returns this node's part of the slots.
std::uint32_t SlotShare(const Endpoint& endpoint, const FleetSnapshot& fleet) {
  const std::size_t nodes = CountNodes(fleet);
  const std::uint32_t slots = std::max(endpoint.entry.slots, 1U);
  if (nodes <= slots) return slots / static_cast<std::uint32_t>(nodes);
  SharedRate rate;
  rate.senders = slots;
  return IsSender(endpoint, rate, fleet) ? 1 : 0;
}

double RoomSinceRefusal(const BrittleRoom& room, Time now) {
  return room.max_in_flight +
         kBrittleGrowthPerSecond * Seconds(now - room.refused_at).count();
}

// Returns the pause after which all nodes together are turned away at half the
// tolerated rate.
milliseconds PauseAfterRefusal(const BrittleStatement& brittle,
                               std::size_t nodes) {
  const Seconds pause(2.0 * static_cast<double>(nodes) /
                      std::max(brittle.tolerance, 1U));
  return std::clamp(std::chrono::duration_cast<milliseconds>(pause),
                    kMinBrittlePause, kMaxBrittlePause);
}

void Shrink(Endpoint& endpoint, double ratio, milliseconds pause, Time now) {
  BrittleRoom& room = endpoint.brittle_room;
  room.max_in_flight = std::max(1.0, endpoint.in_flight * ratio);
  room.refused_at = now;
  room.closed_until = std::max(room.closed_until, now + pause);
}

// Begins a brittle time if the service isn't in one. What was learned in an
// earlier one doesn't hold any more.
bool BeginIfNew(EndpointSet& set, const std::string& service, Time now) {
  const auto known = set.brittle_services.find(service);
  if (known != set.brittle_services.end() && IsFresh(known->second, now)) {
    return false;
  }
  for (const EndpointPtr& endpoint : set.by_service[service])
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
    const Time refused_at = endpoint->brittle_room.own_refusal_at;
    if (refused_at == Time{} || now - refused_at >= kBrittleNewsTime) continue;
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
  Shrink(*at->second, kBrittleNewsRatio, kMinBrittlePause / 2, now);
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

const BrittleStatement* FindBrittle(const EndpointSet& set,
                                    const std::string& service, Time now) {
  const auto at = set.brittle_services.find(service);
  if (at == set.brittle_services.end() || !IsFresh(at->second, now)) {
    return nullptr;
  }
  return &at->second;
}

std::uint32_t MaxBrittleInFlight(const Endpoint& endpoint,
                                 const FleetSnapshot& fleet, Time now) {
  const std::uint32_t share = SlotShare(endpoint, fleet);
  const BrittleRoom& room = endpoint.brittle_room;
  if (share == 0 || room.refused_at == Time{}) return share;
  const double grown = std::floor(RoomSinceRefusal(room, now));
  return std::min(share, static_cast<std::uint32_t>(grown));
}

bool HasBrittleRoom(const Endpoint& endpoint, const FleetSnapshot& fleet,
                    Time now) {
  if (now < endpoint.brittle_room.closed_until) return false;
  return endpoint.in_flight < MaxBrittleInFlight(endpoint, fleet, now);
}

void OnBrittleRefusal(Endpoint& endpoint, const BrittleStatement& brittle,
                      const FleetSnapshot& fleet, kernel::Random& random,
                      Time now) {
  const double jitter = 1 + kernel::RandomFraction(random) / 2;
  const auto pause = std::chrono::duration_cast<milliseconds>(
      PauseAfterRefusal(brittle, CountNodes(fleet)) * jitter);
  Shrink(endpoint, kBrittleRefusalRatio, pause, now);
  endpoint.brittle_room.own_refusal_at = now;
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
  if (gossip.stated_ago >= kBrittleFreshTime) return false;
  if (!set.by_service.contains(gossip.service)) return false;
  const Time stated_at = now - gossip.stated_ago;
  const bool is_new = BeginIfNew(set, gossip.service, now);
  BrittleStatement& brittle = set.brittle_services[gossip.service];
  if (stated_at > brittle.stated_at) brittle = {gossip.tolerance, stated_at};
  for (const BrittleGossip::Refusal& refusal : gossip.refusals)
    ApplyRefusal(set, refusal, now);
  return is_new;
}

}  // namespace egretladder::routing
