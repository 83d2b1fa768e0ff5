// Learned service times, robust against long-tailed distributions.
//
// The mean time in a slot is the slot time spent divided by the completed
// attempts (Little's law). Attempts that still run count in the slot time, so
// that very long answers show before they end. A mean over completed attempts
// alone misses them for as long as they hold their slots.
#pragma once

#include <chrono>
#include <cstdint>

#include "egretladder/kernel/time.h"

namespace egretladder::policy {

/// Learned and estimated times, as a fractional number of seconds.
using Seconds = std::chrono::duration<double>;

/// Service times of one class at one target. Sums and counts decay
/// exponentially with each sample.
struct ServiceTimeStats {
  double slot_seconds = 0;  ///< Slot time spent.
  double completions = 0;
  std::uint32_t running = 0;  ///< Attempts in flight.
  kernel::Time updated_at{};  ///< `slot_seconds` is accrued until this time.
  double first_token_sum_seconds = 0;
  double first_token_square_sum = 0;  ///< In seconds squared.
  double first_token_count = 0;
  double tokens = 0;  ///< Output tokens of completed attempts.
};

/// Records that a request of the class was dispatched to the target.
void RecordDispatch(ServiceTimeStats& stats, kernel::Time now);
/// Records a first token that came `after_dispatch`.
/// `estimate_window_completions` is the effective number of samples in the
/// averages.
void RecordFirstToken(ServiceTimeStats& stats, Seconds after_dispatch,
                      double estimate_window_completions);
/// Records a complete answer of `tokens` output tokens.
void RecordCompletion(ServiceTimeStats& stats, std::uint32_t tokens,
                      double estimate_window_completions, kernel::Time now);

/// Records an attempt that was aborted after `spent` in its slot. It tells
/// nothing about service times, so that its slot time is subtracted again.
void RecordAbort(ServiceTimeStats& stats, Seconds spent, kernel::Time now);

/// Returns the mean time in a slot; 0 without data. The value is a lower bound
/// while fewer attempts have completed than are running.
Seconds MeanSlotTime(const ServiceTimeStats& stats, kernel::Time now);
/// Returns the mean time from dispatch to the first token; 0 without data.
Seconds MeanTimeToFirstToken(const ServiceTimeStats& stats);
/// Returns a time to the first token that few attempts exceed: the mean plus
/// two standard deviations; 0 without data.
///
/// Work that is started the mean time before its deadline is late half of the
/// time, and under overload deadline order starts just such work.
Seconds ConservativeTimeToFirstToken(const ServiceTimeStats& stats);
/// Returns the mean output tokens of completed attempts; 0 without data.
double MeanOutputTokens(const ServiceTimeStats& stats);

}  // namespace egretladder::policy
