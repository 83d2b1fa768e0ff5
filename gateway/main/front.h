// What the program serves, chosen by name at start.
#pragma once

#include <string>
#include <string_view>

/// One way to serve. Registered under its name.
struct Front {
  static constexpr std::string_view kKind = "front";

  /// Checks the settings in `text` and serves until the process is told to
  /// stop. Returns the process's exit status.
  int (*run)(const std::string& text, const std::string& path);
  /// Its settings, for `--help`.
  std::string (*describe)();
};

/// Exit status for settings that are not valid.
inline constexpr int kBadSettings = 2;
