#include "egretladder/routing/engine_split.h"

#include <algorithm>
#include <cmath>

namespace egretladder::routing {
namespace {

// Returns the time in ms for which the request keeps the engine busy while it
// runs a full batch.
double EngineBusyMs(const Demand& demand, const Placement& placement) {
  const Endpoint& engine = *placement.endpoint;
  const double slots = std::max<std::uint32_t>(engine.entry.slots, 1);
  return placement.uncached_tokens / kPromptTokensPerMs +
         demand.expected_stream_ms / slots;
}

bool IsNearPause(const Demand& demand, const PauseEstimate& pauses) {
  const auto target_ms = static_cast<double>(demand.gap_target.count());
  return target_ms > 0 && target_ms < kNearPauseFactor * pauses.ms;
}

double DecayFactor(Time from, Time to) {
  const std::chrono::duration<double, std::milli> age = to - from;
  return std::exp(-age.count() /
                  static_cast<double>(kSplitDemandTimeConstant.count()));
}

}  // namespace

void OnRequestPlaced(SplitDemandMeter& meter, const Demand& demand,
                     const Placement& placement, const PauseEstimate& pauses,
                     Time now) {
  const bool is_long = IsLongPrompt(demand);
  const bool is_tight = !is_long && IsNearPause(demand, pauses);
  if (!is_tight && !is_long) return;
  meter.demand = CurrentDemand(meter, now);
  meter.at = now;
  const double busy_engines =
      EngineBusyMs(demand, placement) /
      static_cast<double>(kSplitDemandTimeConstant.count());
  if (is_tight) {
    meter.demand.tight += busy_engines * kTightDemandFactor;
  } else {
    meter.demand.rest += busy_engines;
  }
}

SplitDemand CurrentDemand(const SplitDemandMeter& meter, Time now) {
  const double factor = DecayFactor(meter.at, now);
  return {meter.demand.tight * factor, meter.demand.rest * factor};
}

void MergePeerDemand(FleetDemand& fleet, const SplitDemand& peer) {
  if (peer.tight + peer.rest <= 0) return;  // The peer has no value yet.
  if (!fleet.known) {
    fleet.mean = peer;
    fleet.known = true;
    return;
  }
  fleet.mean.tight = (fleet.mean.tight + peer.tight) / 2;
  fleet.mean.rest = (fleet.mean.rest + peer.rest) / 2;
}

void FollowMeasuredDemand(FleetDemand& fleet, const SplitDemandMeter& meter,
                          Time now) {
  const SplitDemand own = CurrentDemand(meter, now);
  if (!fleet.known) {
    fleet.known = own.tight + own.rest > 0;
    fleet.mean = own;
    fleet.updated_at = now;
    return;
  }
  // A value adopted from a peer starts to follow the measurement now.
  if (fleet.updated_at == Time{}) fleet.updated_at = now;
  const std::chrono::duration<double, std::milli> since =
      now - fleet.updated_at;
  fleet.updated_at = now;
  const double weight =
      1 - std::exp(-since.count() /
                   static_cast<double>(kFleetDemandTimeConstant.count()));
  fleet.mean.tight += weight * (own.tight - fleet.mean.tight);
  fleet.mean.rest += weight * (own.rest - fleet.mean.rest);
}

double TightFraction(const SplitDemand& mean) {
  const double sum = mean.tight + mean.rest;
  if (sum <= 0) return kDefaultTightFraction;
  return std::clamp(mean.tight / sum, kMinTightFraction, kMaxTightFraction);
}

bool IsLongPrompt(const Demand& demand) {
  return demand.prompt_tokens > kLongPromptTokens;
}

bool AvoidsLongPrompts(const EndpointSet& set, const Demand& demand) {
  return !IsLongPrompt(demand) && demand.gap_target.count() > 0 &&
         PausesTooLong(set.pauses, FindServicePace(set, demand.service->name),
                       demand.gap_target);
}

void UpdateSplit(EndpointSet& set, const FleetDemand& fleet, Time now) {
  const bool is_needed = set.last_delayed_stream_at != Time{} &&
                         now - set.last_delayed_stream_at < kSplitRetention;
  set.tight_fraction = is_needed ? TightFraction(fleet.mean) : 0;
}

bool TakesLongPrompts(const EndpointSet& set, const Endpoint& endpoint) {
  return endpoint.hash_position >= set.tight_fraction;
}

void KeepDemandSide(const EndpointSet& set, const Demand& demand,
                    std::vector<EndpointPtr>& endpoints) {
  if (set.tight_fraction <= 0) return;
  const bool avoids_long_prompts = AvoidsLongPrompts(set, demand);
  if (!avoids_long_prompts && !IsLongPrompt(demand)) return;
  const auto end = std::stable_partition(
      endpoints.begin(), endpoints.end(), [&](const EndpointPtr& endpoint) {
        return TakesLongPrompts(set, *endpoint) != avoids_long_prompts;
      });
  if (end != endpoints.begin()) endpoints.erase(end, endpoints.end());
}

}  // namespace egretladder::routing
