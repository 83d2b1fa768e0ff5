#include "egretladder/kernel/log_event.h"

#include <fcntl.h>
#include <log4cxx/appenderskeleton.h>
#include <log4cxx/logger.h>
#include <log4cxx/patternlayout.h>
#include <rapidjson/stringbuffer.h>
#include <rapidjson/writer.h>
#include <unistd.h>

#include <array>
#include <cerrno>
#include <cmath>
#include <cstdio>
#include <memory>

namespace egretladder::kernel {
namespace {

constexpr const char* kLoggerName = "events";

// A log4cxx appender that never blocks. Output that the reader hasn't consumed
// is buffered up to `kMaxPendingLogBytes`; lines beyond that are dropped.
class NonBlockingAppender : public log4cxx::AppenderSkeleton {
 public:
  explicit NonBlockingAppender(int fd) : fd_(fd) {
    const int flags = fcntl(fd, F_GETFL);
    if (flags >= 0) fcntl(fd, F_SETFL, flags | O_NONBLOCK);
  }

  void append(const log4cxx::spi::LoggingEventPtr& event,
              log4cxx::helpers::Pool& /*pool*/) override {
    const std::string line = event->getRenderedMessage();
    if (pending_.size() + line.size() + 1 > kMaxPendingLogBytes) {
      ++dropped_;
      return;
    }
    pending_ += line;
    pending_ += '\n';
    WritePending();
  }
  void close() override {}
  bool requiresLayout() const override { return false; }

  void WritePending() {
    while (!pending_.empty()) {
      const ssize_t written = write(fd_, pending_.data(), pending_.size());
      if (written < 0 && errno == EINTR) continue;
      if (written <= 0) return;
      pending_.erase(0, static_cast<std::size_t>(written));
    }
  }
  std::uint64_t dropped() const { return dropped_; }

 private:
  int fd_;
  std::string pending_;
  std::uint64_t dropped_ = 0;
};

struct EventLog {
  std::shared_ptr<NonBlockingAppender> appender;
  log4cxx::LoggerPtr logger;
  LogLevel min_level = LogLevel::kInfo;
  Clock clock;
  Time window_start{};  // Start of the second that the budget counts.
  std::uint32_t lines_in_window = 0;
  std::uint64_t written = 0;
  std::uint64_t over_budget = 0;
  // The part of the dropped lines that the log has already reported.
  std::uint64_t reported_drops = 0;
};

std::unique_ptr<EventLog>& EventLogState() {
  static std::unique_ptr<EventLog> state;
  return state;
}

constexpr std::array<const char*, 4> kLevelNames = {"debug", "info", "warning",
                                                    "error"};

// Counts the line and returns true if it fits the budget of this second.
bool ConsumeLineBudget(EventLog& log, LogLevel level) {
  const Time now = Now(log.clock);
  if (now - log.window_start >= std::chrono::seconds(1)) {
    log.window_start = now;
    log.lines_in_window = 0;
  }
  const std::uint32_t max_lines = level < LogLevel::kWarning
                                      ? kMaxInfoLogLinesPerSecond
                                      : kMaxLogLinesPerSecond;
  if (log.lines_in_window >= max_lines) {
    ++log.over_budget;
    return false;
  }
  ++log.lines_in_window;
  return true;
}

// Returns the beginning of a long value. Bytes that aren't ASCII are replaced
// by the logger.
std::string Shorten(const std::string& value) {
  if (value.size() <= kMaxLogValueBytes) return value;
  return value.substr(0, kMaxLogValueBytes) + "...";
}

std::string FormatLine(LogPart part, LogLevel level, std::string_view event,
                       LogFields fields) {
  const auto now = std::chrono::duration_cast<std::chrono::milliseconds>(
      std::chrono::system_clock::now().time_since_epoch());
  rapidjson::StringBuffer buffer;
  rapidjson::Writer<rapidjson::StringBuffer> writer(buffer);
  const auto text = [&writer](std::string_view value) {
    writer.String(value.data(), static_cast<rapidjson::SizeType>(value.size()));
  };
  writer.StartObject();
  writer.Key("time_ms");
  writer.Int64(now.count());
  writer.Key("level");
  text(kLevelNames[static_cast<std::size_t>(level)]);
  writer.Key("part");
  text(NameOf(part));
  writer.Key("event");
  text(event);
  for (const LogField& field : fields) {
    writer.Key(field.name.data(),
               static_cast<rapidjson::SizeType>(field.name.size()));
    if (field.is_number) {
      writer.RawValue(field.value.data(), field.value.size(),
                      rapidjson::kNumberType);
    } else {
      text(Shorten(field.value));
    }
  }
  writer.EndObject();
  return buffer.GetString();
}

void WriteLine(EventLog& log, const std::string& line) {
  ++log.written;
  log.logger->forcedLog(log4cxx::Level::getInfo(), line,
                        log4cxx::spi::LocationInfo::getLocationUnavailable());
}

}  // namespace

std::string LogField::FormatNumber(double number) {
  if (!std::isfinite(number)) return "null";
  std::array<char, 32> text{};
  const bool is_whole = std::abs(number) < 1e15 && number == std::floor(number);
  const int size = std::snprintf(text.data(), text.size(),
                                 is_whole ? "%.0f" : "%.3f", number);
  return {text.data(), static_cast<std::size_t>(size)};
}

void StartEventLog(int fd, LogLevel min_level, const Clock& clock) {
  auto log = std::make_unique<EventLog>();
  log->appender = std::make_shared<NonBlockingAppender>(fd);
  log->logger = log4cxx::Logger::getLogger(kLoggerName);
  log->logger->removeAllAppenders();
  log->logger->setAdditivity(false);
  log->logger->addAppender(log->appender);
  log->min_level = min_level;
  log->clock = clock;
  EventLogState() = std::move(log);
}

void StopEventLog() {
  if (EventLogState() == nullptr) return;
  EventLogState()->logger->removeAllAppenders();
  EventLogState().reset();
}

bool IsEventLogEnabled(LogLevel level) {
  return EventLogState() != nullptr && level >= EventLogState()->min_level;
}

void LogEvent(LogPart part, LogLevel level, std::string_view event,
              LogFields fields) {
  if (!IsEventLogEnabled(level) || !ConsumeLineBudget(*EventLogState(), level))
    return;
  WriteLine(*EventLogState(), FormatLine(part, level, event, fields));
}

void FlushEventLog() {
  if (EventLogState() == nullptr) return;
  EventLog& log = *EventLogState();
  log.appender->WritePending();
  const std::uint64_t dropped = log.over_budget + log.appender->dropped();
  if (dropped == log.reported_drops) return;
  WriteLine(log,
            FormatLine(LogPart::kKernel, LogLevel::kWarning, "lines-dropped",
                       {{"dropped", dropped - log.reported_drops},
                        {"over_budget", log.over_budget},
                        {"reader_slow", log.appender->dropped()}}));
  log.reported_drops = dropped;
}

LogCounts EventLogCounts() {
  if (EventLogState() == nullptr) return {};
  return {EventLogState()->written, EventLogState()->over_budget,
          EventLogState()->appender->dropped()};
}

}  // namespace egretladder::kernel
