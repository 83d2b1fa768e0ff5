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
  DoubleSeconds worst_wait{0};        ///< Until its start.
  DoubleSeconds worst_refusal{0};     ///< From arrival to a refusal.
  DoubleSeconds refusal_waits{0};     ///< Sum.
  DoubleSeconds longest_unserved{0};  ///< Some waited and none started.
  std::vector<double> first_tokens;   ///< Seconds from arrival.
};

struct Result {
  std::string scheduler;
  std::vector<ClassResult> classes;
  double tokens_in_time = 0;
  double slot_seconds = 0;
  double wasted_slot_seconds = 0;
  double trickle_slot_seconds = 0;
  DoubleSeconds longest_trickle{0};
  std::uint32_t preempted = 0;
  std::uint32_t poison_deaths = 0;
  std::uint32_t to_slow = 0;  ///< Started at engines slower than the others.
  /// Broken rules: any scheduler must have none.
  std::uint32_t violations = 0;
  std::string first_violation;
  /// Higher tier turned away for room while a lower one waited, and lower
  /// started before higher without the trickle. Baselines have many.
  std::uint32_t tier_inversions = 0;
  /// By class and account: produced in time, and asked for.
  std::vector<std::vector<double>> tokens;
  std::vector<std::vector<double>> demand;
  std::vector<std::uint32_t> first_wave;  ///< Starts in a zone by second.
};

inline double Attainment(const Result& result, std::uint32_t cls) {
  const ClassResult& of = result.classes[cls];
  return of.offered == 0 ? 1 : static_cast<double>(of.in_time) / of.offered;
}

inline double MeanTimeToFirstToken(const Result& result, std::uint32_t cls) {
  double sum = 0;
  for (const double took : result.classes[cls].first_tokens) sum += took;
  const auto count = result.classes[cls].first_tokens.size();
  return count == 0 ? 0 : sum / static_cast<double>(count);
}

/// 95 in 100 first tokens came within this many seconds.
inline double TimeToFirstTokenP95(const Result& result, std::uint32_t cls) {
  std::vector<double> sorted = result.classes[cls].first_tokens;
  if (sorted.empty()) return 0;
  std::sort(sorted.begin(), sorted.end());
  return sorted[sorted.size() * 95 / 100];
}

inline double Goodput(const Result& result, const Workload& load) {
  return result.tokens_in_time / load.length.count();
}

inline double WastedRatio(const Result& result) {
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

/// Jain's index over what the accounts of a class got in time against their
/// fair parts; 1 is fair.
inline double JainIndex(const Result& result, std::uint32_t cls) {
  double total = 0;
  for (const double tokens : result.tokens[cls]) total += tokens;
  const std::vector<double> fair = FairParts(result.demand[cls], total);
  double sum = 0;
  double squares = 0;
  double accounts = 0;
  for (std::size_t i = 0; i < fair.size(); ++i) {
    if (fair[i] <= 0) continue;
    const double got = result.tokens[cls][i] / fair[i];
    sum += got;
    squares += got * got;
    accounts += 1;
  }
  return squares <= 0 ? 1 : sum * sum / (accounts * squares);
}

}  // namespace egretladder::policy::load
