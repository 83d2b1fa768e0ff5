#include "egretladder/routing/engine_split.h"

#include <algorithm>
#include <cmath>

namespace egretladder::routing {
namespace {

// Time for which the engine is busy with one request while it runs a batch.
double EngineMs(const Demand& demand, const Placement& placement) {
  const Endpoint& engine = *placement.endpoint;
  const double slots = std::max<std::uint32_t>(engine.entry.slots, 1);
  return placement.uncached_tokens / kPromptTokensPerMs +
         demand.expected_stream_ms / slots;
}

double Decay(Time from, Time to) {
  const std::chrono::duration<double, std::milli> age = to - from;
  return std::exp(-age.count() / static_cast<double>(kSideMemory.count()));
}

}  // namespace

void OnRequestPlaced(SplitDemandMeter& meter, const Demand& demand,
                     const Placement& placement, Time now) {
  const bool is_long = IsLongPrompt(demand);
  if (!demand.tight && !is_long) return;
  meter.demand = DemandOf(meter, now);
  meter.at = now;
  const double engines =
      EngineMs(demand, placement) / static_cast<double>(kSideMemory.count());
  if (demand.tight) {
    meter.demand.tight += engines * kTightMargin;
  } else {
    meter.demand.rest += engines;
  }
}

SideDemand DemandOf(const SplitDemandMeter& meter, Time now) {
  const double left = Decay(meter.at, now);
  return {meter.demand.tight * left, meter.demand.rest * left};
}

void MergePeerDemand(FleetDemand& agreed, const SideDemand& told) {
  if (told.tight + told.rest <= 0) return;  // It knows nothing yet.
  if (!agreed.known) {
    agreed.mean = told;
    agreed.known = true;
    return;
  }
  agreed.mean.tight = (agreed.mean.tight + told.tight) / 2;
  agreed.mean.rest = (agreed.mean.rest + told.rest) / 2;
}

void FollowMeasuredDemand(FleetDemand& agreed, const SplitDemandMeter& meter,
                          Time now) {
  const SideDemand own = DemandOf(meter, now);
  if (!agreed.known) {
    agreed.known = own.tight + own.rest > 0;
    agreed.mean = own;
    agreed.pulled = now;
    return;
  }
  // A figure taken from a peer counts from here on.
  if (agreed.pulled == Time{}) agreed.pulled = now;
  const std::chrono::duration<double, std::milli> since = now - agreed.pulled;
  agreed.pulled = now;
  const double part =
      1 - std::exp(-since.count() / static_cast<double>(kSidePull.count()));
  agreed.mean.tight += part * (own.tight - agreed.mean.tight);
  agreed.mean.rest += part * (own.rest - agreed.mean.rest);
}

double TightFraction(const SideDemand& mean) {
  const double sum = mean.tight + mean.rest;
  if (sum <= 0) return kTightPartUnknown;
  return std::clamp(mean.tight / sum, kTightPartLeast, kTightPartMost);
}

bool IsLongPrompt(const Demand& demand) {
  return demand.prompt_tokens > kLongPrompt;
}

bool IsOnItsSide(const Endpoint& endpoint, const Demand& demand,
                 double tight_fraction) {
  if (!demand.tight && !IsLongPrompt(demand)) return true;
  return (endpoint.order < tight_fraction) == demand.tight;
}

}  // namespace egretladder::routing
