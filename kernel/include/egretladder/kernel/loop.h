// The event loop, which runs on one thread. Implemented with libevent.
#pragma once

#include <event2/event.h>

#include <chrono>
#include <functional>
#include <memory>

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

/// The event loop of a process and the clock that its components share.
struct Loop {
  EventBase base;
  Clock clock;
};

/// Creates a loop that uses `SystemClock`.
Loop CreateLoop();

/// Dispatches events until `StopLoop` is called or no event is left.
void RunLoop(Loop& loop);
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
