#include "egretladder/kernel/loop.h"

#include <cstdlib>
#include <utility>

#include "egretladder/kernel/log.h"
#include "egretladder/kernel/log_event.h"

namespace egretladder::kernel {

struct EventWatcher::State {
  State() = default;
  State(const State&) = delete;
  State& operator=(const State&) = delete;
  ~State() {
    if (manual_timers != nullptr)
      std::erase_if(manual_timers->by_due, [this](const auto& entry) {
        return entry.first.second == number;
      });
  }

  std::function<void()> action;
  Event ev;
  // Set for a manual timer.
  std::shared_ptr<ManualTimers> manual_timers;
  std::uint64_t number = 0;
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

template <typename State>
std::unique_ptr<State> AddManualTimer(Loop& loop,
                                      std::chrono::milliseconds delay,
                                      std::chrono::milliseconds period,
                                      std::function<void()> action) {
  auto state = std::make_unique<State>();
  state->manual_timers = loop.manual_timers;
  state->number = loop.manual_timers->next_number++;
  loop.manual_timers->by_due[{Now(loop.clock) + delay, state->number}] = {
      period, std::move(action)};
  return state;
}

LogLevel LevelOf(int libevent_severity) {
  switch (libevent_severity) {
    case EVENT_LOG_DEBUG:
      return LogLevel::kDebug;
    case EVENT_LOG_MSG:
      return LogLevel::kInfo;
    case EVENT_LOG_WARN:
      return LogLevel::kWarning;
    default:
      return LogLevel::kError;
  }
}

// Without this libevent writes its lines to standard error, as many as it has.
void LogLibeventLine(int severity, const char* text) {
  const LogLevel level = LevelOf(severity);
  if (IsEventLogEnabled(LogLevel::kError)) {
    LogEvent(LogPart::kKernel, level, "libevent", {{"text", text}});
  } else {
    Log(LogPart::kKernel, level, text);
  }
}

}  // namespace

EventWatcher::EventWatcher() = default;
EventWatcher::~EventWatcher() = default;
EventWatcher::EventWatcher(EventWatcher&& other) noexcept = default;
EventWatcher& EventWatcher::operator=(EventWatcher&& other) noexcept = default;

Loop CreateLoop() {
  event_set_log_callback(LogLibeventLine);
  return {EventBase(event_base_new()), SystemClock()};
}

void RunLoop(Loop& loop) { event_base_dispatch(loop.base.get()); }

std::size_t RunDueTimers(Loop& loop) {
  if (loop.manual_timers == nullptr) return 0;
  auto& by_due = loop.manual_timers->by_due;
  const Time now = Now(loop.clock);
  // Those that the actions set run next time.
  const std::uint64_t end = loop.manual_timers->next_number;
  const auto is_due = [now, end](const auto& entry) {
    return entry.first.first <= now && entry.first.second < end;
  };
  std::size_t count = 0;
  for (; !by_due.empty() && is_due(*by_due.begin()); ++count) {
    // The action may cancel its own timer.
    auto node = by_due.extract(by_due.begin());
    const auto action = node.mapped().action;
    if (node.mapped().period.count() > 0) {
      node.key().first += node.mapped().period;
      by_due.insert(std::move(node));
    }
    action();
  }
  return count;
}

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
  EventWatcher watcher;
  if (loop.manual_timers != nullptr) {
    watcher.state_ = AddManualTimer<EventWatcher::State>(loop, period, period,
                                                         std::move(action));
    return watcher;
  }
  const timeval interval = ToTimeval(period);
  watcher.state_ = AddEvent<EventWatcher::State>(loop, -1, EV_PERSIST,
                                                 &interval, std::move(action));
  return watcher;
}

EventWatcher RunAfter(Loop& loop, std::chrono::milliseconds delay,
                      std::function<void()> action) {
  EventWatcher watcher;
  if (loop.manual_timers != nullptr) {
    watcher.state_ = AddManualTimer<EventWatcher::State>(
        loop, delay, std::chrono::milliseconds(0), std::move(action));
    return watcher;
  }
  const timeval interval = ToTimeval(delay);
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
