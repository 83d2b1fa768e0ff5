#include "egretladder/kernel/loop.h"

#include <cstdlib>
#include <utility>

namespace egretladder::kernel {

struct EventWatcher::State {
  std::function<void()> action;
  Event ev;
};

namespace {

// The signature is that of libevent's callbacks.
// NOLINTNEXTLINE(google-runtime-int)
void OnEvent(evutil_socket_t /*fd*/, short /*what*/, void* arg) {
  // The action may replace or destroy its own watcher, so a copy is called.
  const auto action = *static_cast<std::function<void()>*>(arg);
  action();
}

// Registers `action` for `signal`, or for the timer alone if `signal` is -1. A
// template, because the state is a private type of the watcher.
template <typename State>
std::unique_ptr<State> AddEvent(Loop& loop, int signal, int flags,
                                const timeval* interval,
                                std::function<void()> action) {
  auto state = std::make_unique<State>();
  state->action = std::move(action);
  state->ev.reset(event_new(loop.base.get(), signal,
                            static_cast<std::int16_t>(flags), OnEvent,
                            &state->action));
  event_add(state->ev.get(), interval);
  return state;
}

}  // namespace

EventWatcher::EventWatcher() = default;
EventWatcher::~EventWatcher() = default;
EventWatcher::EventWatcher(EventWatcher&& other) noexcept = default;
EventWatcher& EventWatcher::operator=(EventWatcher&& other) noexcept = default;

Loop CreateLoop() { return {EventBase(event_base_new()), SystemClock()}; }

void RunLoop(Loop& loop) { event_base_dispatch(loop.base.get()); }

void StopLoop(Loop& loop) { event_base_loopbreak(loop.base.get()); }

timeval ToTimeval(std::chrono::microseconds duration) {
  constexpr std::int64_t kMicrosecondsPerSecond = 1'000'000;
  timeval value{};
  value.tv_sec = duration.count() / kMicrosecondsPerSecond;
  value.tv_usec = duration.count() % kMicrosecondsPerSecond;
  return value;
}

EventWatcher RunEvery(Loop& loop, std::chrono::milliseconds period,
                      std::function<void()> action) {
  const timeval interval = ToTimeval(period);
  EventWatcher watcher;
  watcher.state_ = AddEvent<EventWatcher::State>(loop, -1, EV_PERSIST,
                                                 &interval, std::move(action));
  return watcher;
}

EventWatcher RunAfter(Loop& loop, std::chrono::milliseconds delay,
                      std::function<void()> action) {
  const timeval interval = ToTimeval(delay);
  EventWatcher watcher;
  watcher.state_ =
      AddEvent<EventWatcher::State>(loop, -1, 0, &interval, std::move(action));
  return watcher;
}

EventWatcher RunOnSignal(Loop& loop, int signal, std::function<void()> action) {
  EventWatcher watcher;
  watcher.state_ = AddEvent<EventWatcher::State>(
      loop, signal, EV_SIGNAL | EV_PERSIST, nullptr, std::move(action));
  return watcher;
}

}  // namespace egretladder::kernel
