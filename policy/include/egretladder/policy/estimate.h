// Learned service times, long tails included.
//
// The mean time in a slot is slot time spent over work ended (Little's law).
// Work that still runs counts in the slot time, so that very long answers are
// seen before they end; a mean over ended work alone forgets them for just as
// long as they hold their slots.
#pragma once

#include <chrono>
#include <cstdint>

#include "egretladder/kernel/time.h"

namespace egretladder::policy {

/// Spans that are learned, as a number of seconds.
using Seconds = std::chrono::duration<double>;

/// What was seen of one class at one target.
struct ServiceTimeStats {
  double slot_seconds = 0;  ///< Spent, fading with each end.
  double completions = 0;   ///< Fading likewise.
  std::uint32_t running = 0;
  kernel::Time updated_at{};  ///< `slot_seconds` counts up to here.
  double first_token_sum_seconds = 0;
  double first_token_square_sum = 0;
  double first_token_count = 0;
  double tokens = 0;  ///< Produced by ended work, fading.
};

/// A request of the class was dispatched to the target.
void RecordDispatch(ServiceTimeStats& stats, kernel::Time now);
/// Its first token came; older ones fade beyond `ends_remembered`.
void RecordFirstToken(ServiceTimeStats& stats, Seconds after_dispatch,
                      double estimate_window_completions);
/// `tokens` were produced in all.
void RecordCompletion(ServiceTimeStats& stats, std::uint32_t tokens,
                      double estimate_window_completions, kernel::Time now);

/// Work broke off after `spent` in its slot: it says nothing of how long work
/// takes, so what it spent is taken back.
void RecordAbort(ServiceTimeStats& stats, Seconds spent, kernel::Time now);

/// Mean time in a slot; 0 while nothing was seen. A lower bound while less has
/// ended than runs.
Seconds MeanSlotTime(const ServiceTimeStats& stats, kernel::Time now);
/// Mean time from dispatch to the first token; 0: unknown.
Seconds MeanTimeToFirstToken(const ServiceTimeStats& stats);
/// Time to the first token that few exceed: the mean and twice the deviation.
/// Work started right before its deadline less the mean would be late half of
/// the time, and deadline order starts just that work under overload.
Seconds ConservativeTimeToFirstToken(const ServiceTimeStats& stats);
/// Mean tokens of ended work; 0: unknown.
double MeanOutputTokens(const ServiceTimeStats& stats);

}  // namespace egretladder::policy
