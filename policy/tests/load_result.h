// What callers got in a run.
#pragma once

#include <algorithm>
#include <cstdint>
#include <string>
#include <vector>

#include "load_model.h"

namespace egretladder::policy::load {

struct ClassResult {
  std::uint32_t offered = 0;
  std::uint32_t in_time = 0;  ///< First token by the deadline, answer complete.
  std::uint32_t late = 0;
  std::uint32_t refused = 0;
  std::uint32_t failed = 0;
  Span worst_wait{0};        ///< Until its start.
  Span worst_refusal{0};     ///< From arrival to a refusal.
  Span longest_unserved{0};  ///< Some waited and none started.
};

struct Result {
  std::string scheduler;
  std::vector<ClassResult> classes;
  double tokens_in_time = 0;
  double slot_seconds = 0;
  double wasted_slot_seconds = 0;
  double trickle_slot_seconds = 0;
  Span longest_trickle{0};
  std::uint32_t preempted = 0;
  std::uint32_t to_slow = 0;  ///< Started at engines slower than the others.
  /// Broken rules: any scheduler must have none.
  std::uint32_t broken = 0;
  std::string first_broken;
  /// Higher tier turned away for room while a lower one waited, and lower
  /// started before higher without the trickle. Baselines have many.
  std::uint32_t tier_inversions = 0;
  std::vector<double> account_tokens;
  std::vector<double> account_demand;
  std::vector<std::uint32_t> first_wave;  ///< Starts in a zone by second.
};

inline double Attainment(const Result& result, std::uint32_t cls) {
  const ClassResult& of = result.classes[cls];
  return of.offered == 0 ? 1 : static_cast<double>(of.in_time) / of.offered;
}

inline double Goodput(const Result& result, const Load& load) {
  return result.tokens_in_time / load.length.count();
}

inline double Wasted(const Result& result) {
  return result.slot_seconds <= 0
             ? 0
             : result.wasted_slot_seconds / result.slot_seconds;
}

/// What each account would get of `total` by equal parts, none more than it
/// asked for.
inline std::vector<double> FairParts(const std::vector<double>& demand,
                                     double total) {
  std::vector<double> parts(demand.size(), 0);
  std::vector<std::size_t> open;
  for (std::size_t i = 0; i < demand.size(); ++i) {
    if (demand[i] > 0) open.push_back(i);
  }
  while (!open.empty()) {
    const double each = total / static_cast<double>(open.size());
    const auto small =
        std::partition(open.begin(), open.end(),
                       [&](std::size_t i) { return demand[i] > each; });
    if (small == open.end()) {
      for (const std::size_t i : open) parts[i] = each;
      break;
    }
    for (auto it = small; it != open.end(); ++it) {
      parts[*it] = demand[*it];
      total -= demand[*it];
    }
    open.erase(small, open.end());
  }
  return parts;
}

/// Jain's index over what accounts got against their fair parts; 1 is fair.
inline double Jain(const Result& result) {
  double total = 0;
  for (const double tokens : result.account_tokens) total += tokens;
  const std::vector<double> fair = FairParts(result.account_demand, total);
  double sum = 0;
  double squares = 0;
  double accounts = 0;
  for (std::size_t i = 0; i < fair.size(); ++i) {
    if (fair[i] <= 0) continue;
    const double got = result.account_tokens[i] / fair[i];
    sum += got;
    squares += got * got;
    accounts += 1;
  }
  return squares <= 0 ? 1 : sum * sum / (accounts * squares);
}

}  // namespace egretladder::policy::load
