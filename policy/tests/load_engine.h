// Service times of a simulated engine, depending on its batch size, its cached
// prefixes and whether it is warm.
#pragma once

#include <algorithm>

#include "load_parts.h"

namespace egretladder::policy::load {

inline constexpr std::uint32_t kAnswersToWarm = 24;
inline constexpr double kColdSlowdown = 3;
inline constexpr std::size_t kMaxCachedPrefixes = 24;
inline constexpr double kCachedPrefixFactor = 0.3;

/// The outcome and timing of an attempt that starts now.
struct AttemptTiming {
  bool fails = false;                    ///< The engine is cold and overloaded.
  DoubleSeconds time_to_first_token{0};  ///< From the start to the first token.
  DoubleSeconds time_per_token{0};       ///< From one token to the next.
};

/// Returns the factor by which the batch slows down each of its answers.
inline double BatchSlowdown(const Engine& engine, const FleetSpec& fleet) {
  const double load = engine.in_flight + engine.other_nodes_in_flight;
  return 0.7 + 0.3 * load / fleet.max_in_flight;
}

/// Adds the prefix to the cache. Returns the factor on the time to first token,
/// which is below 1 on a cache hit.
inline double LookUpPrefix(Engine& engine, std::uint64_t prefix) {
  if (prefix == 0) return 1;
  const auto found =
      std::find(engine.cached.begin(), engine.cached.end(), prefix);
  const bool hit = found != engine.cached.end();
  if (hit) engine.cached.erase(found);
  engine.cached.push_front(prefix);
  if (engine.cached.size() > kMaxCachedPrefixes) engine.cached.pop_back();
  return hit ? kCachedPrefixFactor : 1;
}

inline bool IsOverloadedWhileCold(const Engine& engine,
                                  const FleetSpec& fleet) {
  if (engine.answers_until_warm == 0) return false;
  const std::uint32_t answered = kAnswersToWarm - engine.answers_until_warm;
  return engine.in_flight > fleet.cold_max_in_flight &&
         engine.in_flight > 2 * fleet.cold_max_in_flight + answered;
}

/// Returns the timing of an attempt, which `engine` already counts as in
/// flight.
inline AttemptTiming PlanAttempt(Engine& engine, const FleetSpec& fleet,
                                 const WorkModel& work_model,
                                 std::uint64_t prefix) {
  if (IsOverloadedWhileCold(engine, fleet)) return {true};
  const double cache_factor = LookUpPrefix(engine, prefix);
  const double slowdown = engine.slowdown * BatchSlowdown(engine, fleet);
  const double cold_factor =
      engine.answers_until_warm > 0 ? kColdSlowdown : 1.0;
  return {false, work_model.first_token * slowdown * cache_factor * cold_factor,
          kTimePerToken * slowdown};
}

}  // namespace egretladder::policy::load
