#include "egretladder/kernel/loop.h"

#include <cstdlib>
#include <utility>

namespace egretladder::kernel {

struct Watch::State {
  std::function<void()> action;
  Event ev;
};

namespace {

// The signature is libevent's.
// NOLINTNEXTLINE(google-runtime-int)
void Fire(evutil_socket_t /*fd*/, short /*what*/, void* arg) {
  // A copy, since the action may replace or drop its own watch.
  const auto action = *static_cast<std::function<void()>*>(arg);
  action();
}

}  // namespace

Watch::Watch() = default;
Watch::~Watch() = default;
Watch::Watch(Watch&& other) noexcept = default;
Watch& Watch::operator=(Watch&& other) noexcept = default;

Loop OpenLoop() { return {EventBase(event_base_new()), SystemClock()}; }

void RunLoop(Loop& loop) { event_base_dispatch(loop.base.get()); }

void StopLoop(Loop& loop) { event_base_loopbreak(loop.base.get()); }

timeval ToTimeval(std::chrono::microseconds duration) {
  constexpr std::int64_t kMicrosecondsPerSecond = 1'000'000;
  timeval value{};
  value.tv_sec = duration.count() / kMicrosecondsPerSecond;
  value.tv_usec = duration.count() % kMicrosecondsPerSecond;
  return value;
}

Watch Every(Loop& loop, std::chrono::milliseconds period,
            std::function<void()> action) {
  Watch watch;
  watch.state_ = std::make_unique<Watch::State>();
  watch.state_->action = std::move(action);
  watch.state_->ev.reset(
      event_new(loop.base.get(), -1, EV_PERSIST, Fire, &watch.state_->action));
  const timeval interval = ToTimeval(period);
  event_add(watch.state_->ev.get(), &interval);
  return watch;
}

Watch After(Loop& loop, std::chrono::milliseconds delay,
            std::function<void()> action) {
  Watch watch;
  watch.state_ = std::make_unique<Watch::State>();
  watch.state_->action = std::move(action);
  watch.state_->ev.reset(
      event_new(loop.base.get(), -1, 0, Fire, &watch.state_->action));
  const timeval interval = ToTimeval(delay);
  event_add(watch.state_->ev.get(), &interval);
  return watch;
}

Watch OnSignal(Loop& loop, int signal, std::function<void()> action) {
  Watch watch;
  watch.state_ = std::make_unique<Watch::State>();
  watch.state_->action = std::move(action);
  watch.state_->ev.reset(event_new(loop.base.get(), signal,
                                   EV_SIGNAL | EV_PERSIST, Fire,
                                   &watch.state_->action));
  event_add(watch.state_->ev.get(), nullptr);
  return watch;
}

}  // namespace egretladder::kernel
