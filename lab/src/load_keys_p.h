// Compares what callers were told of calls that may not be repeated with what
// the services ran.
#pragma once

#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "load_run_p.h"

namespace egretladder::lab {

/// Runs by key, summed over services.
using KeyRuns = std::map<std::string, std::uint32_t>;

struct KeyReport {
  std::uint64_t keys = 0;
  std::uint64_t served = 0;
  std::uint64_t not_run = 0;
  std::uint64_t unknown = 0;
  std::uint64_t doubles = 0;        ///< Runs beyond the first of a key.
  std::uint64_t false_not_run = 0;  ///< Told "not run", but it ran.
  std::uint64_t false_served = 0;   ///< Told served, but it did not run.
  std::uint64_t unknown_ran = 0;    ///< Of the unknown, those that ran.
};

/// Asks every service for its runs. Fails when one can't be reached.
kernel::Result<KeyRuns> ReadRuns(kernel::Loop& loop,
                                 const std::vector<Address>& services);

KeyReport CompareKeys(const std::vector<KeyTold>& told, const KeyRuns& runs);

std::string TextOf(const KeyReport& report);
std::string JsonOf(const KeyReport& report);

}  // namespace egretladder::lab
