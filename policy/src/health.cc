#include "egretladder/policy/health.h"

#include <algorithm>

namespace egretladder::policy {
namespace {

constexpr double kLatencyRatioWeight = 0.25;
// Bounds one sample, so that a hang doesn't outweigh all later answers.
constexpr double kMaxLatencyRatio = 20;

void Eject(Health& health, const Limits& limits, kernel::Time now) {
  health.ejected = true;
  health.good_probes = 0;
  health.next_probe = now + limits.probe_interval;
}

HealthChange OnProbeResult(Health& health, double latency_ratio,
                           const Limits& limits) {
  if (latency_ratio >= limits.slow_ratio) {
    health.good_probes = 0;
    ++health.bad_probes;
    return HealthChange::kNone;
  }
  health.bad_probes = 0;
  if (++health.good_probes < limits.probes_to_readmit)
    return HealthChange::kNone;
  health = Health{};
  return HealthChange::kReadmitted;
}

}  // namespace

HealthChange OnFirstTokenLatency(Health& health, Seconds latency,
                                 Seconds typical_latency, const Limits& limits,
                                 kernel::Time now) {
  if (typical_latency.count() <= 0 || limits.slow_ratio <= 0)
    return HealthChange::kNone;
  const double latency_ratio =
      std::min(latency / typical_latency, kMaxLatencyRatio);
  if (health.ejected) return OnProbeResult(health, latency_ratio, limits);
  health.latency_ratio +=
      kLatencyRatioWeight * (latency_ratio - health.latency_ratio);
  if (++health.samples < limits.min_slow_samples) return HealthChange::kNone;
  if (health.latency_ratio < limits.slow_ratio) return HealthChange::kNone;
  Eject(health, limits, now);
  return HealthChange::kEjected;
}

HealthChange OnFailure(Health& health, const Limits& limits, kernel::Time now) {
  health.good_probes = 0;
  ++health.consecutive_failures;
  if (health.ejected) ++health.bad_probes;
  if (health.ejected ||
      health.consecutive_failures < limits.failures_to_eject) {
    return HealthChange::kNone;
  }
  Eject(health, limits, now);
  return HealthChange::kEjected;
}

void OnSuccess(Health& health) { health.consecutive_failures = 0; }

void OnEngineRestart(Health& health) { health = Health{}; }

bool IsProbeDue(const Health& health, kernel::Time now) {
  return health.ejected && now >= health.next_probe;
}

void OnProbeSent(Health& health, const Limits& limits, kernel::Time now) {
  constexpr std::uint32_t kMaxBackoffDoublings = 4;
  health.next_probe =
      now + limits.probe_interval *
                (1U << std::min(health.bad_probes, kMaxBackoffDoublings));
}

bool CanEject(std::uint32_t ejected, std::uint32_t servers,
              const Limits& limits) {
  return ejected + 1 <= limits.max_ejected_ratio * servers;
}

}  // namespace egretladder::policy
