// Counts of waiting requests by tier and by class, and how long a class with
// waiting requests has gone without a dispatch.
#pragma once

#include <algorithm>
#include <cstdint>
#include <vector>

#include "load_model.h"

namespace egretladder::policy::load {

struct WaitCounts {
  std::vector<std::uint32_t> by_tier;
  std::vector<std::uint32_t> by_class;
  std::vector<Time> unserved_since;  ///< Time::max(): none waits.
};

inline WaitCounts MakeWaitCounts(std::size_t classes) {
  return {std::vector<std::uint32_t>(rules::kBottomTier + 1U),
          std::vector<std::uint32_t>(classes),
          std::vector<Time>(classes, Time::max())};
}

inline void AddWaiting(WaitCounts& counts, std::uint32_t cls, std::uint8_t tier,
                       Time now) {
  ++counts.by_tier[tier];
  if (++counts.by_class[cls] == 1) counts.unserved_since[cls] = now;
}

/// Ends a time in which requests of the class waited and none was dispatched,
/// and updates `longest`.
inline void EndUnservedSpan(WaitCounts& counts, std::uint32_t cls, Time now,
                            DoubleSeconds& longest) {
  Time& since = counts.unserved_since[cls];
  if (since != Time::max())
    longest = std::max<DoubleSeconds>(longest, now - since);
  since = counts.by_class[cls] > 0 ? now : Time::max();
}

inline void RemoveWaiting(WaitCounts& counts, std::uint32_t cls,
                          std::uint8_t tier, Time now,
                          DoubleSeconds& longest_unserved) {
  --counts.by_tier[tier];
  if (--counts.by_class[cls] == 0) {
    EndUnservedSpan(counts, cls, now, longest_unserved);
  }
}

inline bool IsLowerTierWaiting(const WaitCounts& counts, std::uint8_t tier) {
  return std::any_of(counts.by_tier.begin() + tier + 1, counts.by_tier.end(),
                     [](std::uint32_t count) { return count > 0; });
}

inline bool IsHigherTierWaiting(const WaitCounts& counts, std::uint8_t tier) {
  return std::any_of(counts.by_tier.begin(), counts.by_tier.begin() + tier,
                     [](std::uint32_t count) { return count > 0; });
}

}  // namespace egretladder::policy::load
