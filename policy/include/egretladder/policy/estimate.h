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
struct WorkSeen {
  double slot_seconds = 0;  ///< Spent, fading with each end.
  double ends = 0;          ///< Fading likewise.
  std::uint32_t running = 0;
  kernel::Time until{};  ///< `slot_seconds` counts up to here.
  double first_token_seconds = 0;
  double first_token_squares = 0;
  double first_tokens = 0;
  double tokens = 0;  ///< Produced by ended work, fading.
};

/// A request of the class was dispatched to the target.
void OnWorkStarted(WorkSeen& seen, kernel::Time now);
/// Its first token came; older ones fade beyond `ends_remembered`.
void OnFirstTokenSeen(WorkSeen& seen, Seconds after_dispatch,
                      double estimate_window_completions);
/// `tokens` were produced in all.
void OnWorkEnded(WorkSeen& seen, std::uint32_t tokens,
                 double estimate_window_completions, kernel::Time now);

/// Work broke off after `spent` in its slot: it says nothing of how long work
/// takes, so what it spent is taken back.
void OnWorkBroken(WorkSeen& seen, Seconds spent, kernel::Time now);

/// Mean time in a slot; 0 while nothing was seen. A lower bound while less has
/// ended than runs.
Seconds MeanSlotTime(const WorkSeen& seen, kernel::Time now);
/// Mean time from dispatch to the first token; 0: unknown.
Seconds MeanTimeToFirstToken(const WorkSeen& seen);
/// Time to the first token that few exceed: the mean and twice the deviation.
/// Work started right before its deadline less the mean would be late half of
/// the time, and deadline order starts just that work under overload.
Seconds LongFirstToken(const WorkSeen& seen);
/// Mean tokens of ended work; 0: unknown.
double MeanTokens(const WorkSeen& seen);

}  // namespace egretladder::policy
