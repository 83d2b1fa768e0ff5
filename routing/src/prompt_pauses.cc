#include "egretladder/routing/prompt_pauses.h"

#include <algorithm>
#include <cmath>

namespace egretladder::routing {
namespace {

bool IsPlausible(double pause_ms) {
  return std::isfinite(pause_ms) && pause_ms > 0 &&
         pause_ms <= static_cast<double>(kMaxPauseEstimate.count());
}

bool IsSlowEngine(const EnginePace& engine, const ServicePace& service) {
  return engine.unloaded_event_ms >
         kSlowEngineFactor * service.unloaded_event_ms;
}

}  // namespace

void OnIntervalBesidePrompts(
    PauseEstimate& estimate, const EnginePace& engine,
    const ServicePace& service,
    std::chrono::duration<double, std::milli> interval) {
  const double ms = interval.count();
  if (!IsPlausible(ms) || IsSlowEngine(engine, service)) return;
  if (estimate.ms <= 0) {
    estimate.ms = ms;
    return;
  }
  // A stochastic approximation of a quantile: it rests where intervals above it
  // are as rare as `kLongPauseShare`.
  const double step = ms > estimate.ms ? 1 - kLongPauseShare : -kLongPauseShare;
  estimate.ms *= std::exp(kPauseEstimateStep * step);
}

void MergePeerPauses(PauseEstimate& estimate, double peer_ms) {
  if (!IsPlausible(peer_ms)) return;
  estimate.ms = estimate.ms > 0 ? (estimate.ms + peer_ms) / 2 : peer_ms;
}

bool PausesTooLong(const PauseEstimate& estimate, const ServicePace& service,
                   milliseconds gap_target) {
  const auto target_ms = static_cast<double>(gap_target.count());
  return target_ms > service.unloaded_event_ms && target_ms < estimate.ms;
}

}  // namespace egretladder::routing
