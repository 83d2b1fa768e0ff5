// The platform without a network: publishes rules and the VM list, counts all
// calls, and can be down, slow, stale or back at an older version.
#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include "egretladder/kernel/error.h"

namespace egretladder::lab {

/// Faults of the platform.
enum class PlatformFault : std::uint8_t {
  kNone,
  kDown,   ///< Every read fails.
  kSlow,   ///< Every read takes seconds.
  kStale,  ///< Serves the version of the time when the fault began.
  kOld,    ///< Serves the first version that was published.
};

/// One rules document.
struct Publication {
  std::uint64_t version = 0;
  std::string text;
};

/// Calls since the start, by kind.
struct PlatformCounts {
  std::uint64_t rules = 0;
  std::uint64_t watches = 0;  ///< A pending watch counts as one call.
  std::uint64_t vms = 0;
  std::uint64_t failed = 0;  ///< Calls during `kDown`, which also count above.
};

/// The state of the platform.
struct PlatformState {
  std::vector<Publication> published;  ///< In order of publication.
  std::string vms = "[]";              ///< The VM list, as JSON.
  PlatformFault fault = PlatformFault::kNone;
  std::size_t stale_at = 0;  ///< Index served while stale.
  std::string only;          ///< Not empty: down for any other `Host`.
  PlatformCounts counts;
};

/// Publishes `text` without validation, with any version. Fails with
/// `kInvalidInput` if it has no version.
kernel::Result<std::uint64_t> Publish(PlatformState& state, std::string text);

/// Applies a control call, a JSON object with `fault`, `rules`, `vms` or
/// `only`.
kernel::Result<void> Control(PlatformState& state, const std::string& json);

/// Returns true if a read sent to `host` fails.
bool IsDown(const PlatformState& state, const std::string& host);

/// Returns what a read returns now; null before the first publication.
const Publication* Served(const PlatformState& state);

/// Returns the VM list of the `[node]` rules: all nodes, with `leaving`.
std::string VmsOf(const std::string& rules_text);

/// Returns the answer to `GET /counts`.
std::string PlatformCountsJson(const PlatformState& state,
                               std::size_t waiting_watches);

}  // namespace egretladder::lab
