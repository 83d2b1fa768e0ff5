#include "egretladder/policy/health.h"

#include <algorithm>

namespace egretladder::policy {
namespace {

constexpr double kWeightOfNewest = 0.25;
constexpr double kRatioMost = 20;  // One hang must not outweigh all after it.

void LeaveAlone(Health& health, const Limits& limits, kernel::Time now) {
  health.left_alone = true;
  health.good_probes = 0;
  health.next_probe = now + limits.probe_interval;
}

HealthChange OnProbeAnswer(Health& health, double ratio, const Limits& limits) {
  if (ratio >= limits.slow_ratio) {
    health.good_probes = 0;
    ++health.bad_probes;
    return HealthChange::kNone;
  }
  health.bad_probes = 0;
  if (++health.good_probes < limits.probes_to_trust) return HealthChange::kNone;
  health = Health{};
  return HealthChange::kTrusted;
}

}  // namespace

HealthChange OnFirstTokenTook(Health& health, Seconds took, Seconds usual,
                              const Limits& limits, kernel::Time now) {
  if (usual.count() <= 0 || limits.slow_ratio <= 0) return HealthChange::kNone;
  const double ratio = std::min(took / usual, kRatioMost);
  if (health.left_alone) return OnProbeAnswer(health, ratio, limits);
  health.ratio += kWeightOfNewest * (ratio - health.ratio);
  if (++health.answers < limits.min_slow_samples) return HealthChange::kNone;
  if (health.ratio < limits.slow_ratio) return HealthChange::kNone;
  LeaveAlone(health, limits, now);
  return HealthChange::kLeftAlone;
}

HealthChange OnFailure(Health& health, const Limits& limits, kernel::Time now) {
  health.good_probes = 0;
  ++health.failures;
  if (health.left_alone) ++health.bad_probes;
  if (health.left_alone || health.failures < limits.failures_in_row) {
    return HealthChange::kNone;
  }
  LeaveAlone(health, limits, now);
  return HealthChange::kLeftAlone;
}

void OnAnswered(Health& health) { health.failures = 0; }

void OnNewBoot(Health& health) { health = Health{}; }

bool IsProbeDue(const Health& health, kernel::Time now) {
  return health.left_alone && now >= health.next_probe;
}

void OnProbeSent(Health& health, const Limits& limits, kernel::Time now) {
  constexpr std::uint32_t kDoublingsMost = 4;
  health.next_probe =
      now + limits.probe_interval *
                (1U << std::min(health.bad_probes, kDoublingsMost));
}

bool MayLeaveAlone(std::uint32_t left_alone, std::uint32_t servers,
                   const Limits& limits) {
  return left_alone + 1 <= limits.slow_share_most * servers;
}

}  // namespace egretladder::policy
