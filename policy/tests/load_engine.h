// How fast an engine answers: by its batch, its cached prefixes and whether it
// is warm.
#pragma once

#include <algorithm>

#include "load_parts.h"

namespace egretladder::policy::load {

inline constexpr std::uint32_t kAnswersToWarm = 24;
inline constexpr double kColdTimes = 3;
inline constexpr std::size_t kCachedMost = 24;
inline constexpr double kCachedTimes = 0.3;

/// What an attempt will do that starts now.
struct Course {
  bool fails = false;      ///< A cold engine that has more than it bears.
  DoubleSeconds first{0};  ///< From the start to the first token.
  DoubleSeconds token{0};  ///< From one token to the next.
};

/// A larger batch makes each of its answers slower.
inline double Crowding(const Engine& engine, const FleetSpec& fleet) {
  const double load = engine.in_flight + engine.others;
  return 0.7 + 0.3 * load / fleet.max_in_flight;
}

/// Notes the prefix in the cache. Returns the part of the work that is left.
inline double UseCache(Engine& engine, std::uint64_t prefix) {
  if (prefix == 0) return 1;
  const auto found =
      std::find(engine.cached.begin(), engine.cached.end(), prefix);
  const bool hit = found != engine.cached.end();
  if (hit) engine.cached.erase(found);
  engine.cached.push_front(prefix);
  if (engine.cached.size() > kCachedMost) engine.cached.pop_back();
  return hit ? kCachedTimes : 1;
}

inline bool FallsOver(const Engine& engine, const FleetSpec& fleet) {
  if (engine.cold_answers == 0) return false;
  const std::uint32_t answered = kAnswersToWarm - engine.cold_answers;
  return engine.in_flight > fleet.cold_max_in_flight &&
         engine.in_flight > 2 * fleet.cold_max_in_flight + answered;
}

/// The course of an attempt that is in flight at `engine` already.
inline Course CourseOf(Engine& engine, const FleetSpec& fleet, const Work& work,
                       std::uint64_t prefix) {
  if (FallsOver(engine, fleet)) return {true};
  const double cached = UseCache(engine, prefix);
  const double slowed = engine.slow * Crowding(engine, fleet);
  const double cold = engine.cold_answers > 0 ? kColdTimes : 1.0;
  return {false, work.first_token * slowed * cached * cold,
          kBetweenTokens * slowed};
}

}  // namespace egretladder::policy::load
