// A plain service without its network: which keys ran, and how often. It does
// not deduplicate on purpose, so that it shows what the router let through.
#pragma once

#include <chrono>
#include <cstdint>
#include <optional>
#include <string>
#include <unordered_map>

#include "egretladder/kernel/time.h"

namespace egretladder::lab {

/// What a service ran so far.
struct ServiceModel {
  std::unordered_map<std::string, std::uint32_t> runs;  ///< By key.
  std::uint64_t requests = 0;
  std::uint64_t without_key = 0;
  std::uint64_t not_remembered = 0;  ///< Past `kMaxRememberedKeys`.
  std::optional<kernel::Time> last_run;
};

/// Records one run. Returns how often the key has run by now; 1 for a call
/// without a key.
std::uint32_t RecordRun(ServiceModel& model, const std::string& key,
                        kernel::Time now);

/// Runs beyond the first, over all keys.
std::uint64_t DoublesOf(const ServiceModel& model);

/// The answer to `GET /counts`; with `list_keys`, also each key and its runs.
/// `idle_ms` is the time since the last run; -1 before the first.
std::string CountsJson(const ServiceModel& model, bool list_keys,
                       kernel::Time now);

}  // namespace egretladder::lab
