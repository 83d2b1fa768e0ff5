// Outlier detection: ejects slow and failing endpoints by the answers that this
// node receives from them.
//
// An endpoint may be five times slower than the others and still report that
// it is healthy. Reports arrive late and say what the engine believes, while
// answers show what callers get. Without outlier detection a slow endpoint
// receives its full share of the requests, all of which are late, and an
// endpoint that fails at once looks idle and attracts all requests.
#pragma once

#include <cstdint>

#include "egretladder/kernel/time.h"
#include "egretladder/policy/estimate.h"
#include "egretladder/policy/limits.h"

namespace egretladder::policy {

/// Health of one endpoint.
struct Health {
  double latency_ratio = 1;   ///< Moving average of the time to first token
                              ///< relative to the typical one.
  std::uint32_t samples = 0;  ///< First tokens in `latency_ratio`.
  std::uint32_t consecutive_failures = 0;
  std::uint32_t good_probes = 0;  ///< Consecutive probes at the usual speed.
  bool ejected = false;           ///< Receives probes only.
  std::uint32_t bad_probes = 0;   ///< Consecutive slow or failed probes. Each
                                  ///< doubles the interval up to a limit.
  kernel::Time next_probe{};
};

/// How an event changes the state of an endpoint.
enum class HealthChange : std::uint8_t { kNone, kEjected, kReadmitted };

/// Records that the first token of an answer came after `latency`.
/// `typical_latency` is the mean for this class at this target; 0: unknown.
HealthChange OnFirstTokenLatency(Health& health, Seconds latency,
                                 Seconds typical_latency, const Limits& limits,
                                 kernel::Time now);

/// Records that an attempt failed on the endpoint's side.
HealthChange OnFailure(Health& health, const Limits& limits, kernel::Time now);

/// Records a complete answer.
void OnSuccess(Health& health);

/// Discards the state because the engine restarted.
void OnEngineRestart(Health& health);

/// Returns true when an ejected endpoint is due for one probe.
bool IsProbeDue(const Health& health, kernel::Time now);
/// Records that a probe was sent and schedules the next one.
void OnProbeSent(Health& health, const Limits& limits, kernel::Time now);

/// Returns true when one more of `servers` endpoints may be ejected while
/// `ejected` are. When most endpoints look slow, the load is the cause, and
/// ejecting them would make it worse.
bool CanEject(std::uint32_t ejected, std::uint32_t servers,
              const Limits& limits);

}  // namespace egretladder::policy
