// Structured log lines: one JSON object for each decision or change of belief.
//
// Load: thousands of requests a second, and a reader of standard output that
// stands still. Without bounds the lines would take the processor from the
// requests, and a full pipe would stop the loop. So lines have a budget a
// second, in which failures go first, and what the reader doesn't take in time
// is dropped, counted and said.
#pragma once

#include <chrono>
#include <cstdint>
#include <initializer_list>
#include <string>
#include <string_view>
#include <type_traits>

#include "egretladder/kernel/log.h"
#include "egretladder/kernel/time.h"

namespace egretladder::kernel {

/// One name and its value; a number stands without quotes.
struct LogField {
  LogField(std::string_view field, std::string_view text)
      : name(field), value(text) {}
  LogField(std::string_view field, const char* text)
      : name(field), value(text) {}
  LogField(std::string_view field, const std::string& text)
      : name(field), value(text) {}
  LogField(std::string_view field, std::chrono::milliseconds time)
      : name(field), value(std::to_string(time.count())), is_number(true) {}
  template <typename T, typename = std::enable_if_t<std::is_arithmetic_v<T>>>
  LogField(std::string_view field, T number)
      : name(field), value(NumberText(number)), is_number(true) {}

  std::string_view name;
  std::string value;
  bool is_number = false;

 private:
  static std::string NumberText(double number);
};
/// In the order in which they are written.
using LogFields = std::initializer_list<LogField>;

/// Lines that one process writes in a second; a node at 100 requests a second
/// writes about 250.
inline constexpr std::uint32_t kLogLinesMost = 2000;
/// Of these, lines below a warning. The rest is kept for failures.
inline constexpr std::uint32_t kLogLinesInfo = 1500;
/// Bytes that wait for a slow reader before lines are dropped.
inline constexpr std::size_t kLogBytesWaiting = std::size_t{1} << 20U;

/// What was written and dropped since the start.
struct LogCounts {
  std::uint64_t written = 0;
  std::uint64_t over_budget = 0;  ///< Dropped: too many in a second.
  std::uint64_t reader_slow = 0;  ///< Dropped: the reader took none.
};

/// Starts structured logging to `fd`, which becomes non-blocking. `clock` must
/// outlive it.
void StartEventLog(int fd, LogLevel lowest, const Clock& clock);
/// Stops it, for tests; what waits is dropped.
void StopEventLog();

/// True when a line of this level would be written.
bool IsEventLogEnabled(LogLevel level);

/// Writes one line: time of day, level, part, event and the fields.
void LogEvent(LogPart part, LogLevel level, std::string_view event,
              LogFields fields);

/// Writes on what the reader did not take before, and says what was dropped.
/// Call every second or more often.
void FlushEventLog();

/// Counts since the start.
LogCounts EventLogCounts();

}  // namespace egretladder::kernel
