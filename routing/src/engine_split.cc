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

double DecayFactor(Time from, Time to) {
  const std::chrono::duration<double, std::milli> age = to - from;
  return std::exp(-age.count() /
                  static_cast<double>(kSplitDemandTimeConstant.count()));
}

}  // namespace

void OnRequestPlaced(SplitDemandMeter& meter, const Demand& demand,
                     const Placement& placement, Time now) {
  const bool is_long = IsLongPrompt(demand);
  if (!demand.tight && !is_long) return;
  meter.demand = CurrentDemand(meter, now);
  meter.at = now;
  const double busy_engines =
      EngineBusyMs(demand, placement) /
      static_cast<double>(kSplitDemandTimeConstant.count());
  if (demand.tight) {
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

bool IsOnDemandSide(const Endpoint& endpoint, const Demand& demand,
                    double tight_fraction) {
  if (!demand.tight && !IsLongPrompt(demand)) return true;
  return (endpoint.hash_position < tight_fraction) == demand.tight;
}

}  // namespace egretladder::routing
