// Detection and quarantine of poison requests: request bodies that crash the
// endpoints that run them.
#pragma once

#include <chrono>
#include <cstdint>
#include <optional>
#include <unordered_map>
#include <vector>

#include "egretladder/kernel/time.h"

namespace egretladder::policy {

/// Endpoint deaths that are attributed to one request body.
struct CrashRecord {
  std::uint8_t deaths = 0;  ///< Endpoints that died while running it.
  kernel::Time expires_at{};
  bool quarantined = false;
};

/// Crash records by fingerprint of the body. Their number is bounded; those
/// that expire first are evicted first.
struct PoisonState {
  std::unordered_map<std::uint64_t, CrashRecord> crash_records;
};

/// A suspect or quarantined body, as nodes announce it to each other.
struct QuarantineNotice {
  std::uint64_t fingerprint = 0;
  std::chrono::milliseconds left{};  ///< Until the record expires.
  std::uint8_t deaths = 0;
};

/// Records that an endpoint died while the bodies with the fingerprints
/// `running` ran on it. Returns those that are quarantined as a result.
///
/// A body is quarantined at the second death while it runs, provided that it
/// was the only suspect on the endpoint. With several suspects the cause is
/// unknown, and they all stay suspects.
std::vector<QuarantineNotice> OnEndpointDied(
    PoisonState& state, const std::vector<std::uint64_t>& running,
    kernel::Time now);

/// Drops the record of a body, because a request with it ran to completion.
void ClearSuspect(PoisonState& state, std::uint64_t fingerprint);

/// Returns true when one endpoint died while running this body. Such a body
/// should not run beside another suspect, so that a second death identifies the
/// cause.
bool IsSuspect(const PoisonState& state, std::uint64_t fingerprint,
               kernel::Time now);

/// Merges a record that another node announced. Returns true when the body is
/// quarantined as a result.
bool ApplyQuarantineNotice(PoisonState& state, const QuarantineNotice& notice,
                           kernel::Time now);

/// Returns true while a body with this fingerprint is sent to no endpoint.
bool IsQuarantined(const PoisonState& state, std::uint64_t fingerprint,
                   kernel::Time now);

/// Returns the records that other nodes should learn of, suspects included.
std::vector<QuarantineNotice> ListQuarantineNotices(const PoisonState& state,
                                                    kernel::Time now);

}  // namespace egretladder::policy
