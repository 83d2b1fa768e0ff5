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

constexpr std::array<const char*, 10> kPrefixes = {
    "kernel", "rules",    "route",    "place", "fleet",
    "caller", "endpoint", "platform", "peer",  "lab"};

using Loggers = std::array<log4cxx::LoggerPtr, kPrefixes.size()>;

Loggers& AllLoggers() {
  static Loggers loggers = [] {
    Loggers made;
    for (std::size_t i = 0; i < made.size(); ++i) {
      made[i] = log4cxx::Logger::getLogger(kPrefixes[i]);
    }
    return made;
  }();
  return loggers;
}

log4cxx::LevelPtr LevelOf(LogLevel level) {
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

bool started = false;

}  // namespace

const char* NameOf(LogPart part) {
  return kPrefixes[static_cast<std::size_t>(part)];
}

std::optional<LogFormat> ParseLogFormat(std::string_view word) {
  if (word == "text") return LogFormat::kText;
  if (word == "json") return LogFormat::kJson;
  return std::nullopt;
}

std::optional<LogLevel> ParseLogLevel(std::string_view word) {
  constexpr std::array<std::string_view, 4> kLevels = {"debug", "info",
                                                       "warning", "error"};
  const auto* at = std::find(kLevels.begin(), kLevels.end(), word);
  if (at == kLevels.end()) return std::nullopt;
  return static_cast<LogLevel>(at - kLevels.begin());
}

void StartLogging(LogFormat format, LogLevel lowest) {
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
  root->setLevel(LevelOf(lowest));
  started = true;
}

bool IsLogEnabled(LogPart part, LogLevel level) {
  if (!started) return false;
  return AllLoggers()[static_cast<std::size_t>(part)]->isEnabledFor(
      LevelOf(level));
}

void Log(LogPart part, LogLevel level, std::string_view sentence) {
  if (!IsLogEnabled(part, level)) return;
  AllLoggers()[static_cast<std::size_t>(part)]->forcedLog(
      LevelOf(level), std::string(sentence),
      log4cxx::spi::LocationInfo::getLocationUnavailable());
}

}  // namespace egretladder::kernel
