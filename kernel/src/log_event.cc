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

// A log4cxx appender that never waits: bytes that the reader doesn't take are
// kept up to a bound, and lines beyond it are dropped.
class NonBlockingAppender : public log4cxx::AppenderSkeleton {
 public:
  explicit NonBlockingAppender(int fd) : fd_(fd) {
    const int flags = fcntl(fd, F_GETFL);
    if (flags >= 0) fcntl(fd, F_SETFL, flags | O_NONBLOCK);
  }

  void append(const log4cxx::spi::LoggingEventPtr& event,
              log4cxx::helpers::Pool& /*pool*/) override {
    const std::string line = event->getRenderedMessage();
    if (waiting_.size() + line.size() + 1 > kLogBytesWaiting) {
      ++dropped_;
      return;
    }
    waiting_ += line;
    waiting_ += '\n';
    Write();
  }
  void close() override {}
  bool requiresLayout() const override { return false; }

  void Write() {
    while (!waiting_.empty()) {
      const ssize_t written = write(fd_, waiting_.data(), waiting_.size());
      if (written < 0 && errno == EINTR) continue;
      if (written <= 0) return;
      waiting_.erase(0, static_cast<std::size_t>(written));
    }
  }
  std::uint64_t dropped() const { return dropped_; }

 private:
  int fd_;
  std::string waiting_;
  std::uint64_t dropped_ = 0;
};

struct EventLog {
  std::shared_ptr<NonBlockingAppender> appender;
  log4cxx::LoggerPtr logger;
  LogLevel lowest = LogLevel::kInfo;
  Clock clock;
  Time second{};  // Start of the budget's second.
  std::uint32_t in_second = 0;
  std::uint64_t written = 0;
  std::uint64_t over_budget = 0;
  std::uint64_t said = 0;  // Drops that a line has told of.
};

std::unique_ptr<EventLog>& State() {
  static std::unique_ptr<EventLog> state;
  return state;
}

constexpr std::array<const char*, 4> kLevelNames = {"debug", "info", "warning",
                                                    "error"};

// True when the line fits the second's budget; counts it then.
bool TakeBudget(EventLog& log, LogLevel level) {
  const Time now = Now(log.clock);
  if (now - log.second >= std::chrono::seconds(1)) {
    log.second = now;
    log.in_second = 0;
  }
  const std::uint32_t most =
      level < LogLevel::kWarning ? kLogLinesInfo : kLogLinesMost;
  if (log.in_second >= most) {
    ++log.over_budget;
    return false;
  }
  ++log.in_second;
  return true;
}

std::string LineOf(LogPart part, LogLevel level, std::string_view event,
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
      text(field.value);
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

std::string LogField::NumberText(double number) {
  if (!std::isfinite(number)) return "null";
  std::array<char, 32> text{};
  const bool whole = std::abs(number) < 1e15 && number == std::floor(number);
  const int size =
      std::snprintf(text.data(), text.size(), whole ? "%.0f" : "%.3f", number);
  return {text.data(), static_cast<std::size_t>(size)};
}

void StartEventLog(int fd, LogLevel lowest, const Clock& clock) {
  auto log = std::make_unique<EventLog>();
  log->appender = std::make_shared<NonBlockingAppender>(fd);
  log->logger = log4cxx::Logger::getLogger(kLoggerName);
  log->logger->removeAllAppenders();
  log->logger->setAdditivity(false);
  log->logger->addAppender(log->appender);
  log->lowest = lowest;
  log->clock = clock;
  State() = std::move(log);
}

void StopEventLog() {
  if (State() == nullptr) return;
  State()->logger->removeAllAppenders();
  State().reset();
}

bool IsEventLogEnabled(LogLevel level) {
  return State() != nullptr && level >= State()->lowest;
}

void LogEvent(LogPart part, LogLevel level, std::string_view event,
              LogFields fields) {
  if (!IsEventLogEnabled(level) || !TakeBudget(*State(), level)) return;
  WriteLine(*State(), LineOf(part, level, event, fields));
}

void FlushEventLog() {
  if (State() == nullptr) return;
  EventLog& log = *State();
  log.appender->Write();
  const std::uint64_t dropped = log.over_budget + log.appender->dropped();
  if (dropped == log.said) return;
  WriteLine(log, LineOf(LogPart::kKernel, LogLevel::kWarning, "lines-dropped",
                        {{"dropped", dropped - log.said},
                         {"over_budget", log.over_budget},
                         {"reader_slow", log.appender->dropped()}}));
  log.said = dropped;
}

LogCounts EventLogCounts() {
  if (State() == nullptr) return {};
  return {State()->written, State()->over_budget, State()->appender->dropped()};
}

}  // namespace egretladder::kernel
