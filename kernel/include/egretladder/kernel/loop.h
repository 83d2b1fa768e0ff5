// The event loop: one on one thread. Source: libevent.
#pragma once

#include <event2/event.h>

#include <chrono>
#include <functional>
#include <memory>

#include "egretladder/kernel/time.h"

namespace egretladder::kernel {

/// Frees a libevent base.
struct EventBaseFree {
  void operator()(event_base* base) const { event_base_free(base); }
};
/// Removes and frees a libevent event.
struct EventFree {
  void operator()(event* ev) const { event_free(ev); }
};
/// Owns a libevent base.
using EventBase = std::unique_ptr<event_base, EventBaseFree>;
/// Owns a libevent event; it never fires once this is gone.
using Event = std::unique_ptr<event, EventFree>;

/// The loop of the process and the clock its parts share.
struct Loop {
  EventBase base;
  Clock clock;
};

/// Opens a loop on the system's clock.
Loop CreateLoop();

/// Runs until `StopLoop`.
void RunLoop(Loop& loop);
/// Makes `RunLoop` return after the event that is being handled.
void StopLoop(Loop& loop);

/// A timer or signal that lives as long as this object.
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

/// Calls `action` every `period`, first after one period.
EventWatcher RunEvery(Loop& loop, std::chrono::milliseconds period,
                      std::function<void()> action);
/// Calls `action` once after `delay`, or not at all if the watch goes first.
EventWatcher RunAfter(Loop& loop, std::chrono::milliseconds delay,
                      std::function<void()> action);
/// Calls `action`, from the loop, each time the process gets `signal`.
EventWatcher RunOnSignal(Loop& loop, int signal, std::function<void()> action);

/// Returns `duration` as libevent wants it.
timeval ToTimeval(std::chrono::microseconds duration);

}  // namespace egretladder::kernel
