// Who waits in a run, by tier and by class, and since when a class in which
// some wait has had no start.
#pragma once

#include <algorithm>
#include <cstdint>
#include <vector>

#include "load_model.h"

namespace egretladder::policy::load {

struct Waiting {
  std::vector<std::uint32_t> by_tier;
  std::vector<std::uint32_t> by_class;
  std::vector<Time> unserved_since;  ///< Time::max(): none of the class waits.
};

inline Waiting NoneWaiting(std::size_t classes) {
  return {std::vector<std::uint32_t>(rules::kBottomTier + 1U),
          std::vector<std::uint32_t>(classes),
          std::vector<Time>(classes, Time::max())};
}

inline void StartWaiting(Waiting& waiting, std::uint32_t cls, std::uint8_t tier,
                         Time now) {
  ++waiting.by_tier[tier];
  if (++waiting.by_class[cls] == 1) waiting.unserved_since[cls] = now;
}

/// Ends a span in which some of the class waited and none started.
inline void EndUnserved(Waiting& waiting, std::uint32_t cls, Time now,
                        DoubleSeconds& longest) {
  Time& since = waiting.unserved_since[cls];
  if (since != Time::max())
    longest = std::max<DoubleSeconds>(longest, now - since);
  since = waiting.by_class[cls] > 0 ? now : Time::max();
}

inline void StopWaiting(Waiting& waiting, std::uint32_t cls, std::uint8_t tier,
                        Time now, DoubleSeconds& longest_unserved) {
  --waiting.by_tier[tier];
  if (--waiting.by_class[cls] == 0) {
    EndUnserved(waiting, cls, now, longest_unserved);
  }
}

inline bool LowerWaits(const Waiting& waiting, std::uint8_t tier) {
  return std::any_of(waiting.by_tier.begin() + tier + 1, waiting.by_tier.end(),
                     [](std::uint32_t count) { return count > 0; });
}

inline bool HigherWaits(const Waiting& waiting, std::uint8_t tier) {
  return std::any_of(waiting.by_tier.begin(), waiting.by_tier.begin() + tier,
                     [](std::uint32_t count) { return count > 0; });
}

}  // namespace egretladder::policy::load
