// The event loop, which runs on one thread. Implemented with libevent.
#pragma once

#include <event2/event.h>

#include <chrono>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <utility>

#include "egretladder/kernel/time.h"

namespace egretladder::kernel {

/// Frees a libevent base.
struct EventBaseDeleter {
  void operator()(event_base* base) const { event_base_free(base); }
};
/// Removes and frees a libevent event.
struct EventDeleter {
  void operator()(event* ev) const { event_free(ev); }
};
/// Owns a libevent base.
using EventBase = std::unique_ptr<event_base, EventBaseDeleter>;
/// Owns a libevent event, which is cancelled on destruction.
using Event = std::unique_ptr<event, EventDeleter>;

/// Timers that only `RunDueTimers` runs, by the clock of their loop. With them
/// a test stands on a clock of its own, whatever else the machine does.
struct ManualTimers {
  struct Timer {
    std::chrono::milliseconds period{};  ///< 0: it runs once.
    std::function<void()> action;
  };
  /// By the time when they are due, then by a number, so that timers which are
  /// due together run in the order in which they were set.
  std::map<std::pair<Time, std::uint64_t>, Timer> by_due;
  std::uint64_t next_number = 0;
};

/// The event loop of a process and the clock that its components share.
struct Loop {
  EventBase base;
  Clock clock;
  /// Takes all timers that are set from then on; null: libevent runs them.
  std::shared_ptr<ManualTimers> manual_timers{};
};

/// Creates a loop that uses `SystemClock`. What libevent logs goes to the event
/// log from then on, or to the text log while the event log is stopped.
Loop CreateLoop();

/// Dispatches events until `StopLoop` is called or no event is left.
void RunLoop(Loop& loop);
/// Runs the manual timers that are due, the earliest first. Returns how many
/// ran.
std::size_t RunDueTimers(Loop& loop);
/// Makes `RunLoop` return after the callback that is running.
void StopLoop(Loop& loop);

/// Owns a registered timer or signal action. Destroying it cancels the action.
/// A default-constructed object owns none.
class EventWatcher {
 public:
  EventWatcher();
  ~EventWatcher();
  EventWatcher(EventWatcher&& other) noexcept;
  EventWatcher& operator=(EventWatcher&& other) noexcept;

 private:
  friend EventWatcher RunEvery(Loop&, std::chrono::milliseconds,
                               std::function<void()>);
  friend EventWatcher RunAfter(Loop&, std::chrono::milliseconds,
                               std::function<void()>);
  friend EventWatcher RunOnSignal(Loop&, int, std::function<void()>);
  struct State;
  std::unique_ptr<State> state_;
};

/// Calls `action` every `period`, for the first time after one period.
EventWatcher RunEvery(Loop& loop, std::chrono::milliseconds period,
                      std::function<void()> action);
/// Calls `action` once after `delay`, unless the returned object is destroyed
/// before.
EventWatcher RunAfter(Loop& loop, std::chrono::milliseconds delay,
                      std::function<void()> action);
/// Calls `action` from the loop each time the process receives `signal`.
EventWatcher RunOnSignal(Loop& loop, int signal, std::function<void()> action);

/// Converts `duration` to the type that libevent takes.
timeval ToTimeval(std::chrono::microseconds duration);

}  // namespace egretladder::kernel
