#include "egretladder/kernel/time.h"

#include <cstdlib>
#include <cstring>
#include <ctime>
#include <string_view>

namespace egretladder::kernel {
namespace {

Time SystemNow(const void* /*source*/) {
  return std::chrono::steady_clock::now();
}

Time SuspendAwareNow(const void* /*source*/) {
  timespec now{};
  clock_gettime(CLOCK_BOOTTIME, &now);
  return Time(std::chrono::duration_cast<Time::duration>(
      std::chrono::seconds(now.tv_sec) +
      std::chrono::nanoseconds(now.tv_nsec)));
}

Time ManualNow(const void* source) {
  return static_cast<const ManualClock*>(source)->now;
}

}  // namespace

std::chrono::milliseconds UnixNow(const Clock& clock) {
  const auto now = std::chrono::system_clock::now().time_since_epoch();
  return std::chrono::duration_cast<std::chrono::milliseconds>(now) +
         clock.unix_offset;
}

Clock SystemClock() { return {SystemNow}; }

Clock SuspendAwareClock() { return {SuspendAwareNow}; }

Clock ClockOf(const ManualClock& clock) { return {ManualNow, &clock}; }

void Advance(ManualClock& clock, std::chrono::nanoseconds step) {
  clock.now += step;
}

std::chrono::nanoseconds ParseDuration(const char* text) {
  constexpr std::chrono::nanoseconds kInvalid{-1};
  char* end = nullptr;
  const double number = std::strtod(text, &end);
  if (end == text || number < 0) return kInvalid;
  const std::string_view unit(end);
  double nanoseconds_per_unit = 0;
  if (unit == "ms") nanoseconds_per_unit = 1e6;
  if (unit == "s") nanoseconds_per_unit = 1e9;
  if (unit == "m") nanoseconds_per_unit = 60e9;
  if (unit == "h") nanoseconds_per_unit = 3600e9;
  if (nanoseconds_per_unit == 0) return kInvalid;
  const double nanoseconds = number * nanoseconds_per_unit;
  // Larger values overflow the conversion. The negated comparison also rejects
  // NaN.
  if (!(nanoseconds < 9e18)) return kInvalid;
  return std::chrono::nanoseconds(static_cast<std::int64_t>(nanoseconds));
}

}  // namespace egretladder::kernel
