// Logs: short sentences, one fixed prefix for each part. Source: log4cxx.
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace egretladder::kernel {

/// The part of the system that speaks; its name is the line's prefix.
enum class LogPart : std::uint8_t {
  kKernel,
  kRules,
  kRoute,   ///< One line for each routing decision.
  kPlace,   ///< One line for each placement decision.
  kFleet,   ///< Membership, configuration in force, leases.
  kCaller,  ///< The side of the callers.
  kEndpoint,
  kPlatform,
  kPeer,
  kLab,
};

/// The part's fixed prefix.
const char* NameOf(LogPart part);

/// From the least to the most urgent.
enum class LogLevel : std::uint8_t { kDebug, kInfo, kWarning, kError };

/// Plain lines, or one JSON object a line.
enum class LogFormat : std::uint8_t { kText, kJson };

/// Reads `text` or `json`; nothing for another word.
std::optional<LogFormat> ParseLogFormat(std::string_view word);
/// Reads `debug`, `info`, `warning` or `error`; nothing for another word.
std::optional<LogLevel> ParseLogLevel(std::string_view word);

/// Starts logging to standard error. Call once, first thing in main.
void StartLogging(LogFormat format, LogLevel lowest);

/// True when `Log` would write; saves making the sentence.
bool IsLogEnabled(LogPart part, LogLevel level);

/// Writes one line, when the level is not below the lowest.
void Log(LogPart part, LogLevel level, std::string_view sentence);

}  // namespace egretladder::kernel
