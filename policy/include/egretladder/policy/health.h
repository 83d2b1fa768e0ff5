// Slow and failing endpoints, noticed from this node's own answers.
//
// Load: one endpoint 5 times slower that reports health. Reports come late and
// describe what the engine believes; answers show what callers get. Without it
// a slow endpoint gets its part of the questions and each of them is late, and
// one that fails at once looks idle and draws all work.
#pragma once

#include <cstdint>

#include "egretladder/kernel/time.h"
#include "egretladder/policy/estimate.h"
#include "egretladder/policy/limits.h"

namespace egretladder::policy {

/// What is known of one endpoint.
struct Health {
  double latency_ratio = 1;  ///< First tokens against the usual, smoothed.
  std::uint32_t samples = 0;
  std::uint32_t consecutive_failures = 0;  ///< In a row.
  std::uint32_t good_probes = 0;
  bool ejected = false;          ///< Gets probes only.
  std::uint32_t bad_probes = 0;  ///< In a row: probes become rarer.
  kernel::Time next_probe{};
};

/// What an event makes of the trust in an endpoint.
enum class HealthChange : std::uint8_t { kNone, kEjected, kReadmitted };

/// An answer's first token came after `took`; `usual` is what this class takes
/// at this target (0: unknown).
HealthChange OnFirstTokenLatency(Health& health, Seconds latency,
                                 Seconds typical_latency, const Limits& limits,
                                 kernel::Time now);

/// An attempt failed at the endpoint's side.
HealthChange OnFailure(Health& health, const Limits& limits, kernel::Time now);

/// An answer ended well.
void OnSuccess(Health& health);

/// The engine restarted: what was learned of it is void.
void OnEngineRestart(Health& health);

/// True when an endpoint that is left alone is due for one probe.
bool IsProbeDue(const Health& health, kernel::Time now);
/// A probe went out: sets when the next is due.
void OnProbeSent(Health& health, const Limits& limits, kernel::Time now);

/// True when one more of `servers` endpoints may be left alone: when most look
/// slow the load is the cause, and leaving them alone would make it worse.
bool CanEject(std::uint32_t ejected, std::uint32_t servers,
              const Limits& limits);

}  // namespace egretladder::policy
