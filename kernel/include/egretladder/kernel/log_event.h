// Structured logs: one JSON object a line, for each decision and each change of
// state.
//
// Under thousands of requests a second, unlimited logging would take processor
// time from the requests, and a full pipe whose reader has stalled would block
// the event loop. The number of lines a second is therefore limited, with a
// part reserved for warnings and errors. Lines that the reader doesn't consume
// in time are dropped, and the number of dropped lines is logged.
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

/// A name and its value. Numbers are written without quotes.
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
      : name(field), value(FormatNumber(number)), is_number(true) {}

  std::string_view name;
  std::string value;
  bool is_number = false;

 private:
  static std::string FormatNumber(double number);
};
/// The fields of one line, in the order in which they are written.
using LogFields = std::initializer_list<LogField>;

/// Maximum number of lines that a process writes in one second. A node that
/// serves 100 requests a second writes about 250 lines.
inline constexpr std::uint32_t kMaxLogLinesPerSecond = 2000;
/// Maximum number of lines below the level of a warning among them. The rest is
/// reserved for warnings and errors.
inline constexpr std::uint32_t kMaxInfoLogLinesPerSecond = 1500;
/// Maximum number of bytes buffered for a slow reader. Further lines are
/// dropped.
inline constexpr std::size_t kMaxPendingLogBytes = std::size_t{1} << 20U;

/// Longest value of a field, in bytes; the rest is cut off. Values may come
/// from outside.
inline constexpr std::size_t kMaxLogValueBytes = 1024;

/// Numbers of lines since `StartEventLog`.
struct LogCounts {
  /// Lines within the budget, including those counted in `reader_slow`.
  std::uint64_t written = 0;
  /// Lines dropped because the budget of their second was spent.
  std::uint64_t over_budget = 0;
  /// Lines dropped because the buffer for a slow reader was full.
  std::uint64_t reader_slow = 0;
};

/// Starts structured logging to `fd`, which is made non-blocking. `clock`
/// measures the seconds of the line budget; its source must outlive the log.
void StartEventLog(int fd, LogLevel min_level, const Clock& clock);
/// Stops structured logging and drops buffered lines. Used by tests.
void StopEventLog();

/// Returns true if lines of this level are logged.
bool IsEventLogEnabled(LogLevel level);

/// Writes one line with the wall-clock time, level, part, event and fields.
/// Never blocks: the line is buffered or dropped if the reader is slow.
void LogEvent(LogPart part, LogLevel level, std::string_view event,
              LogFields fields);

/// Writes buffered lines, and logs how many lines were dropped since the last
/// report. Call at least once a second.
void FlushEventLog();

/// Returns the numbers of lines since `StartEventLog`; zeros when stopped.
LogCounts EventLogCounts();

}  // namespace egretladder::kernel
