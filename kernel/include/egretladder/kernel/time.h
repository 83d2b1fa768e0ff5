// The runtime's clock. Every decision takes `now` from it; tests pause and
// advance it.
#pragma once

#include <chrono>

namespace egretladder::kernel {

/// A moment of the runtime's clock. Monotonic, meaningful in one process only.
using Time = std::chrono::steady_clock::time_point;

/// A clock chosen at start: the system's or a paused one.
struct Clock {
  Time (*now)(const void* source) = nullptr;
  const void* source = nullptr;
};

/// Returns the present moment of `clock`.
inline Time Now(const Clock& clock) { return clock.now(clock.source); }

/// Returns the monotonic clock of the system.
Clock SystemClock();

/// Returns the system's clock that also counts the time in which the machine
/// was suspended.
///
/// The monotonic clock stands still in a suspended machine. A deadline or an
/// entry's age measured with it looks fresh after seconds of standstill, and
/// requests are sent whose callers left long ago.
Clock SuspendAwareClock();

/// A clock that stands still until a test advances it.
struct ManualClock {
  Time now{std::chrono::hours(1)};
};

/// Returns a view of `paused`, which must outlive it.
Clock ClockOf(const ManualClock& paused);

/// Moves `paused` forward by `step`.
void Advance(ManualClock& paused, std::chrono::nanoseconds step);

/// Parses a duration such as `250ms`, `3s`, `2m`, `1h`. Returns a negative
/// duration when `text` has no known unit or is not a number.
std::chrono::nanoseconds ParseDuration(const char* text);

}  // namespace egretladder::kernel
