// The platform without its network: publishes rules and the VM list, counts
// each call, and can be down, slow, stale or back at an older version.
#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include "egretladder/kernel/error.h"

namespace egretladder::lab {

/// What is wrong with every answer of the platform.
enum class PlatformFault : std::uint8_t {
  kNone,
  kDown,   ///< Every read fails.
  kSlow,   ///< Every read takes seconds.
  kStale,  ///< Serves what was the latest when the fault began.
  kOld,    ///< Serves the first version it ever published.
};

/// One rules document.
struct Publication {
  std::uint64_t version = 0;
  std::string text;
};

/// Calls since the start, by what they read.
struct PlatformCounts {
  std::uint64_t rules = 0;
  std::uint64_t watches = 0;  ///< A waiting watch counts as one call.
  std::uint64_t vms = 0;
  std::uint64_t failed = 0;  ///< Calls that met `kDown`; counted above too.
};

/// One platform: what it published and what is wrong with it.
struct PlatformState {
  std::vector<Publication> published;  ///< In the order published.
  std::string vms = "[]";              ///< The VM list, as JSON.
  PlatformFault fault = PlatformFault::kNone;
  std::size_t stale_at = 0;  ///< Index served while stale.
  std::string only;          ///< Not empty: down for any other `Host`.
  PlatformCounts counts;
};

/// Publishes `text`, whatever its version: a platform checks nothing. Fails
/// with `kInvalidInput` when no version can be read from it.
kernel::Result<std::uint64_t> Publish(PlatformState& state, std::string text);

/// Applies the JSON object of a control call: `fault`, `rules`, `vms`, `only`.
kernel::Result<void> Control(PlatformState& state, const std::string& json);

/// True when a read that came to `host` fails.
bool IsDown(const PlatformState& state, const std::string& host);

/// What a read gets now; null before the first publication.
const Publication* Served(const PlatformState& state);

/// The VM list that follows from `[node]` rules: all nodes, with `leaving`.
std::string VmsOf(const std::string& rules_text);

/// The answer to `GET /counts`.
std::string PlatformCountsJson(const PlatformState& state,
                               std::size_t waiting_watches);

}  // namespace egretladder::lab
