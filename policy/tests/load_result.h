// The results of a simulation, as callers see them.
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
  DoubleSeconds worst_wait{0};        ///< From arrival to dispatch.
  DoubleSeconds worst_refusal{0};     ///< From arrival to refusal.
  DoubleSeconds refusal_waits{0};     ///< Sum over all refusals.
  DoubleSeconds longest_unserved{0};  ///< Some waited, none was started.
  std::vector<double> first_tokens;   ///< Seconds since arrival.
};

struct Result {
  std::string scheduler;
  std::vector<ClassResult> classes;
  double tokens_in_time = 0;
  double slot_seconds = 0;
  double wasted_slot_seconds = 0;
  double aged_slot_seconds = 0;
  DoubleSeconds longest_aged_attempt{0};
  std::uint32_t preempted = 0;
  std::uint32_t poison_deaths = 0;
  /// Attempts at engines that are slowed down.
  std::uint32_t starts_at_slow_engines = 0;
  /// Violated invariants; any scheduler must have none.
  std::uint32_t violations = 0;
  std::string first_violation;
  /// Requests that were refused for lack of room while a lower tier waited, or
  /// dispatched while a higher tier waited without using the aging quota.
  /// Baseline schedulers have many.
  std::uint32_t tier_inversions = 0;
  /// By class and account: tokens of answers in time, and tokens of all
  /// requests.
  std::vector<std::vector<double>> tokens;
  std::vector<std::vector<double>> demand;
  /// Dispatches to the recorded zone, by second.
  std::vector<std::uint32_t> zone_starts_by_second;
};

/// Returns the ratio of requests that were answered in time.
inline double Attainment(const Result& result, std::uint32_t cls) {
  const ClassResult& class_result = result.classes[cls];
  return class_result.offered == 0
             ? 1
             : static_cast<double>(class_result.in_time) / class_result.offered;
}

/// Returns the mean time to first token in seconds.
inline double MeanTimeToFirstToken(const Result& result, std::uint32_t cls) {
  double sum = 0;
  for (const double latency_seconds : result.classes[cls].first_tokens)
    sum += latency_seconds;
  const auto count = result.classes[cls].first_tokens.size();
  return count == 0 ? 0 : sum / static_cast<double>(count);
}

/// Returns the 95th percentile of the time to first token in seconds.
inline double TimeToFirstTokenP95(const Result& result, std::uint32_t cls) {
  std::vector<double> sorted = result.classes[cls].first_tokens;
  if (sorted.empty()) return 0;
  std::sort(sorted.begin(), sorted.end());
  return sorted[sorted.size() * 95 / 100];
}

/// Returns the tokens of answers in time per second of the workload.
inline double Goodput(const Result& result, const Workload& workload) {
  return result.tokens_in_time / workload.length.count();
}

/// Returns the ratio of slot time that was spent on attempts without an answer.
inline double WastedRatio(const Result& result) {
  return result.slot_seconds <= 0
             ? 0
             : result.wasted_slot_seconds / result.slot_seconds;
}

/// Returns the max-min fair shares of `total`: equal for all accounts, but none
/// more than its demand.
inline std::vector<double> FairShares(const std::vector<double>& demand,
                                      double total) {
  std::vector<double> shares(demand.size(), 0);
  std::vector<std::size_t> pending;
  for (std::size_t i = 0; i < demand.size(); ++i) {
    if (demand[i] > 0) pending.push_back(i);
  }
  while (!pending.empty()) {
    const double equal_share = total / static_cast<double>(pending.size());
    const auto satisfied =
        std::partition(pending.begin(), pending.end(),
                       [&](std::size_t i) { return demand[i] > equal_share; });
    if (satisfied == pending.end()) {
      for (const std::size_t i : pending) shares[i] = equal_share;
      break;
    }
    for (auto it = satisfied; it != pending.end(); ++it) {
      shares[*it] = demand[*it];
      total -= demand[*it];
    }
    pending.erase(satisfied, pending.end());
  }
  return shares;
}

/// Returns Jain's fairness index of the tokens that the accounts of a class got
/// in time, relative to their fair shares; 1 is fair.
inline double JainIndex(const Result& result, std::uint32_t cls) {
  double total = 0;
  for (const double tokens : result.tokens[cls]) total += tokens;
  const std::vector<double> fair = FairShares(result.demand[cls], total);
  double sum = 0;
  double squares = 0;
  double accounts = 0;
  for (std::size_t i = 0; i < fair.size(); ++i) {
    if (fair[i] <= 0) continue;
    const double ratio = result.tokens[cls][i] / fair[i];
    sum += ratio;
    squares += ratio * ratio;
    accounts += 1;
  }
  return squares <= 0 ? 1 : sum * sum / (accounts * squares);
}

}  // namespace egretladder::policy::load
