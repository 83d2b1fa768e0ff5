// Text logs: one short sentence a line, with the name of the component that
// wrote it. Implemented with log4cxx.
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace egretladder::kernel {

/// The component that writes a line. Its name is the prefix of the line.
enum class LogPart : std::uint8_t {
  kKernel,
  kRules,
  kRoute,   ///< Routing decisions, one line each.
  kPlace,   ///< Placement decisions, one line each.
  kFleet,   ///< Membership, rules in force and leases.
  kCaller,  ///< Connections and requests of callers.
  kEndpoint,
  kPlatform,
  kPeer,
  kLab,
};

/// Returns the prefix of lines of `part`.
const char* NameOf(LogPart part);

/// Severity levels in ascending order.
enum class LogLevel : std::uint8_t { kDebug, kInfo, kWarning, kError };

/// The format of a line: plain text, or one JSON object.
enum class LogFormat : std::uint8_t { kText, kJson };

/// Parses `text` or `json`. Returns nullopt for any other word.
std::optional<LogFormat> ParseLogFormat(std::string_view word);
/// Parses `debug`, `info`, `warning` or `error`. Returns nullopt for any other
/// word.
std::optional<LogLevel> ParseLogLevel(std::string_view word);

/// Starts logging to standard error; lines below `min_level` are dropped. Call
/// this once, at the start of main. Nothing is logged before.
void StartLogging(LogFormat format, LogLevel min_level);

/// Returns true if `Log` would write a line of this part and level. Callers
/// check it to avoid building a message that is dropped.
bool IsLogEnabled(LogPart part, LogLevel level);

/// Writes one line unless `level` is below the minimum level.
void Log(LogPart part, LogLevel level, std::string_view message);

}  // namespace egretladder::kernel
