// Requests that crash endpoints: blame and quarantine.
#pragma once

#include <chrono>
#include <cstdint>
#include <optional>
#include <unordered_map>
#include <vector>

#include "egretladder/kernel/time.h"

namespace egretladder::policy {

/// What is held against one body.
struct Blame {
  std::uint8_t deaths = 0;  ///< Endpoints that died while running it.
  kernel::Time until{};     ///< Forgotten then.
  bool quarantined = false;
};

/// Blames by fingerprint of the body. Bounded; the oldest go first.
struct PoisonState {
  std::unordered_map<std::uint64_t, Blame> blames;
};

/// One quarantined body, as nodes tell each other.
struct QuarantineNotice {
  std::uint64_t fingerprint = 0;
  std::chrono::milliseconds left{};
  std::uint8_t deaths = 0;
};

/// An endpoint died while `running` (fingerprints) were on it. Returns those
/// which became quarantined by this: at the second death under the same body,
/// and only when it is the one suspect among those running; when several were
/// suspects no one can say which it was, and they stay suspects.
std::vector<QuarantineNotice> OnEndpointDied(
    PoisonState& state, const std::vector<std::uint64_t>& running,
    kernel::Time now);

/// A body ran to its end: whatever was held against it is dropped.
void ClearSuspect(PoisonState& state, std::uint64_t fingerprint);

/// True when an endpoint died under this body once: it should run beside no
/// other such body, so that a second death tells them apart.
bool IsSuspect(const PoisonState& state, std::uint64_t fingerprint,
               kernel::Time now);

/// Another node's blame. Returns true when the body is now quarantined and
/// was not before.
bool ApplyQuarantineNotice(PoisonState& state, const QuarantineNotice& told,
                           kernel::Time now);

/// True while a body with this fingerprint gets no endpoint.
bool IsQuarantined(const PoisonState& state, std::uint64_t fingerprint,
                   kernel::Time now);

/// What other nodes should know, quarantined or blamed once.
std::vector<QuarantineNotice> ListQuarantineNotices(const PoisonState& state,
                                                    kernel::Time now);

}  // namespace egretladder::policy
