// Settings of a process, read from an INI file and validated at start.
#pragma once

#include <chrono>
#include <cstdint>
#include <map>
#include <span>
#include <string>
#include <string_view>
#include <vector>

#include "egretladder/kernel/error.h"
#include "egretladder/kernel/ini.h"

namespace egretladder::kernel {

/// The type of a setting, by which its value is validated.
enum class SettingKind : std::uint8_t {
  kText,
  kCount,     ///< A whole number of at least 0.
  kBytes,     ///< A whole number with `B`, `KiB` or `MiB`.
  kNumber,    ///< A decimal number of at least 0.
  kDuration,  ///< A number with `ms`, `s`, `m` or `h`.
  kAddress,   ///< `IP:port`.
  kSecret,    ///< Text that error messages and logs never show.
};

/// Declares one setting. Each component declares its settings in a constant
/// table.
struct SettingSpec {
  std::string_view section;
  std::string_view key;
  SettingKind kind = SettingKind::kText;
  std::string_view default_value;  ///< Used when the key is missing.
  bool required = false;
  std::string_view expected;  ///< Valid values, for error messages and help.
};

/// The validated values, by `section.key`. Looking up a setting that isn't
/// declared aborts the process, because it is a programming error.
struct Settings {
  std::map<std::string, std::string, std::less<>> values;
};

/// Parses `text` and validates it against `specs`. All unknown keys and invalid
/// values are found in one pass; a missing required key is reported only if
/// there is no other error. Each error names the file and line. The result is
/// the first error, and `errors`, if given, receives all of them.
Result<Settings> ReadSettings(const std::string& text, std::string_view file,
                              std::span<const SettingSpec> specs,
                              std::vector<Error>* errors = nullptr);

/// Returns the help text of `specs`: for each setting its section, key, default
/// value and the values expected.
std::string DescribeSettings(std::span<const SettingSpec> specs);

/// Collects errors in values that are valid on their own, but not in
/// combination or not for the component that reads them. Each error names the
/// file, line and key.
class SettingsChecker {
 public:
  /// `text` is the content of `file`. `errors` must outlive the checker.
  SettingsChecker(const std::string& text, std::string_view file,
                  std::vector<Error>& errors);

  /// Adds an error. `detail` continues a sentence that starts with the name of
  /// the setting, as in "is 0".
  void AddError(std::string_view section, std::string_view key,
                const std::string& detail);

 private:
  std::string file_;
  std::vector<Error>& errors_;
  std::vector<IniEntry> entries_;
};

/// Splits a list of values at commas. Spaces and empty values are dropped.
std::vector<std::string> SplitList(const std::string& text);

/// Returns the text of a setting of any kind.
const std::string& GetText(const Settings& settings, std::string_view section,
                           std::string_view key);
/// Returns the value of a `kCount` setting.
std::uint64_t GetCount(const Settings& settings, std::string_view section,
                       std::string_view key);
/// Returns the value of a `kNumber` setting.
double GetNumber(const Settings& settings, std::string_view section,
                 std::string_view key);
/// Returns the value of a `kBytes` setting in bytes.
std::uint64_t GetBytes(const Settings& settings, std::string_view section,
                       std::string_view key);
/// Returns the value of a `kDuration` setting.
std::chrono::milliseconds GetDuration(const Settings& settings,
                                      std::string_view section,
                                      std::string_view key);

}  // namespace egretladder::kernel
