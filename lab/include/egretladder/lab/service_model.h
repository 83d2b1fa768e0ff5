// A plain service without a network: the keys that ran, and how often. It
// doesn't deduplicate, so that it shows what the router let through.
#pragma once

#include <chrono>
#include <cstdint>
#include <optional>
#include <string>
#include <unordered_map>

#include "egretladder/kernel/time.h"

namespace egretladder::lab {

/// The runs of a service so far.
struct ServiceModel {
  std::unordered_map<std::string, std::uint32_t> runs;  ///< By key.
  std::uint64_t requests = 0;
  std::uint64_t without_key = 0;
  std::uint64_t not_remembered = 0;  ///< Runs beyond `kMaxRememberedKeys`.
  std::optional<kernel::Time> last_run;
};

/// Records a run. Returns the number of runs of the key so far; 1 for a call
/// without a key.
std::uint32_t RecordRun(ServiceModel& model, const std::string& key,
                        kernel::Time now);

/// Returns the number of runs beyond the first of each key.
std::uint64_t DoublesOf(const ServiceModel& model);

/// Returns the answer to `GET /counts`; with `list_keys` it has the runs of
/// each key. `idle_ms` is the time since the last run; -1 before the first.
std::string CountsJson(const ServiceModel& model, bool list_keys,
                       kernel::Time now);

}  // namespace egretladder::lab
