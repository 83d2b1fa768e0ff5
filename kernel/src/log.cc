#include "egretladder/kernel/log.h"

#include <log4cxx/basicconfigurator.h>
#include <log4cxx/consoleappender.h>
#include <log4cxx/jsonlayout.h>
#include <log4cxx/logger.h>
#include <log4cxx/patternlayout.h>

#include <algorithm>
#include <array>

namespace egretladder::kernel {
namespace {

constexpr std::array<const char*, 10> kLoggerNames = {
    "kernel", "rules",    "route",    "place", "fleet",
    "caller", "endpoint", "platform", "peer",  "lab"};

using Loggers = std::array<log4cxx::LoggerPtr, kLoggerNames.size()>;

Loggers& AllLoggers() {
  static Loggers loggers = [] {
    Loggers created;
    for (std::size_t i = 0; i < created.size(); ++i) {
      created[i] = log4cxx::Logger::getLogger(kLoggerNames[i]);
    }
    return created;
  }();
  return loggers;
}

log4cxx::LevelPtr ToLog4cxxLevel(LogLevel level) {
  switch (level) {
    case LogLevel::kDebug:
      return log4cxx::Level::getDebug();
    case LogLevel::kInfo:
      return log4cxx::Level::getInfo();
    case LogLevel::kWarning:
      return log4cxx::Level::getWarn();
    case LogLevel::kError:
      return log4cxx::Level::getError();
  }
  return log4cxx::Level::getError();
}

bool logging_started = false;

}  // namespace

const char* NameOf(LogPart part) {
  return kLoggerNames[static_cast<std::size_t>(part)];
}

std::optional<LogFormat> ParseLogFormat(std::string_view word) {
  if (word == "text") return LogFormat::kText;
  if (word == "json") return LogFormat::kJson;
  return std::nullopt;
}

std::optional<LogLevel> ParseLogLevel(std::string_view word) {
  constexpr std::array<std::string_view, 4> kLevels = {"debug", "info",
                                                       "warning", "error"};
  const auto* it = std::find(kLevels.begin(), kLevels.end(), word);
  if (it == kLevels.end()) return std::nullopt;
  return static_cast<LogLevel>(it - kLevels.begin());
}

void StartLogging(LogFormat format, LogLevel min_level) {
  log4cxx::LayoutPtr layout;
  if (format == LogFormat::kJson) {
    layout = std::make_shared<log4cxx::JSONLayout>();
  } else {
    layout =
        std::make_shared<log4cxx::PatternLayout>("%d{ISO8601} %p %c: %m%n");
  }
  auto appender = std::make_shared<log4cxx::ConsoleAppender>(
      layout, log4cxx::ConsoleAppender::getSystemErr());
  auto root = log4cxx::Logger::getRootLogger();
  root->removeAllAppenders();
  root->addAppender(appender);
  root->setLevel(ToLog4cxxLevel(min_level));
  logging_started = true;
}

bool IsLogEnabled(LogPart part, LogLevel level) {
  if (!logging_started) return false;
  return AllLoggers()[static_cast<std::size_t>(part)]->isEnabledFor(
      ToLog4cxxLevel(level));
}

void Log(LogPart part, LogLevel level, std::string_view message) {
  if (!IsLogEnabled(part, level)) return;
  AllLoggers()[static_cast<std::size_t>(part)]->forcedLog(
      ToLog4cxxLevel(level), std::string(message),
      log4cxx::spi::LocationInfo::getLocationUnavailable());
}

}  // namespace egretladder::kernel
