// The interfaces that the program can serve, selected by name at its start.
#pragma once

#include <string>
#include <string_view>

/// One interface, registered under its name.
struct Front {
  static constexpr std::string_view kKind = "front";

  /// Validates the settings in `text` and serves until the process is stopped.
  /// Returns the exit status of the process.
  int (*run)(const std::string& text, const std::string& path);
  /// Describes its settings, for `--help`.
  std::string (*describe)();
};

/// Exit status for invalid settings.
inline constexpr int kBadSettings = 2;
