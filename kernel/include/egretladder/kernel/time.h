// Clocks. All decisions take the current time as a parameter or from a `Clock`,
// so that tests can control it.
#pragma once

#include <chrono>

namespace egretladder::kernel {

/// A point in time of a monotonic clock. Meaningless outside of the process.
using Time = std::chrono::steady_clock::time_point;

/// A clock that is chosen at start: that of the system or a `ManualClock`.
struct Clock {
  Time (*now)(const void* source) = nullptr;
  const void* source = nullptr;
  /// Added to the system's time of day, so that a process can be tried with the
  /// clock of a machine that is wrong.
  std::chrono::milliseconds unix_offset{};
};

/// Returns the current time of `clock`.
inline Time Now(const Clock& clock) { return clock.now(clock.source); }

/// Returns the time of day in Unix milliseconds.
std::chrono::milliseconds UnixNow(const Clock& clock);

/// Returns the system's monotonic clock, which stops while the machine is
/// suspended.
Clock SystemClock();

/// Returns the system's monotonic clock that keeps running while the machine is
/// suspended.
///
/// With the plain monotonic clock, deadlines and the ages of entries would not
/// advance during a suspension of the machine, and after it requests would be
/// sent whose callers have long disconnected.
Clock SuspendAwareClock();

/// A clock that changes only by `Advance`. Used by tests and simulations.
struct ManualClock {
  Time now{std::chrono::hours(1)};
};

/// Returns a `Clock` that reads `clock`, which must outlive it.
Clock ClockOf(const ManualClock& clock);

/// Advances `clock` by `step`.
void Advance(ManualClock& clock, std::chrono::nanoseconds step);

/// Parses a duration such as `250ms`, `1.5s`, `2m` or `1h`. Returns a negative
/// duration if `text` is not a number, is negative, lacks a known unit or is
/// too large.
std::chrono::nanoseconds ParseDuration(const char* text);

}  // namespace egretladder::kernel
