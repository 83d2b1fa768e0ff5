// Settings of a process: an INI file checked as a whole at start.
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

/// How the value of a setting is checked.
enum class SettingKind : std::uint8_t {
  kText,
  kCount,     ///< A whole number from 0.
  kBytes,     ///< A number with `B`, `KiB` or `MiB`.
  kNumber,    ///< A decimal number from 0.
  kDuration,  ///< A number with `ms`, `s`, `m` or `h`.
  kAddress,   ///< `IP:port`.
  kSecret,    ///< Text that no log ever shows.
};

/// Declares one setting. Parts of the system list theirs in a constant table.
struct SettingSpec {
  std::string_view section;
  std::string_view key;
  SettingKind kind = SettingKind::kText;
  std::string_view standard;  ///< Used when the key is missing.
  bool required = false;
  std::string_view expected;  ///< Shown when the value is not valid.
};

/// The checked values, by section and key. Look-ups name a declared setting;
/// anything else ends the process, since it is a fault of the program.
struct Settings {
  std::map<std::string, std::string, std::less<>> values;
};

/// Reads and checks `text` against `specs`. All faults are found in one pass:
/// unknown key, bad unit, missing value, invalid address; each names file and
/// line.
Result<Settings> ReadSettings(const std::string& text, std::string_view file,
                              std::span<const SettingSpec> specs,
                              std::vector<Error>* faults = nullptr);

/// One line for each setting: section, key, standard value, what is expected.
std::string DescribeSettings(std::span<const SettingSpec> specs);

/// Collects faults of values that are valid each, but not together or not for
/// the part that reads them. Each names file, line and key.
class SettingsChecker {
 public:
  /// `text` is what was read from `file`; `faults` outlives the checker.
  SettingsChecker(const std::string& text, std::string_view file,
                  std::vector<Error>& faults);

  /// `detail` follows the name of the setting, as in "is 0".
  void AddError(std::string_view section, std::string_view key,
                const std::string& detail);

 private:
  std::string file_;
  std::vector<Error>& faults_;
  std::vector<IniEntry> entries_;
};

/// Splits a list of values at commas; blanks are dropped.
std::vector<std::string> SplitList(const std::string& text);

/// The value as text, of any kind.
const std::string& GetText(const Settings& settings, std::string_view section,
                           std::string_view key);
/// The value of a `kCount`.
std::uint64_t GetCount(const Settings& settings, std::string_view section,
                       std::string_view key);
/// The value of a `kNumber`.
double GetNumber(const Settings& settings, std::string_view section,
                 std::string_view key);
/// In bytes.
std::uint64_t GetBytes(const Settings& settings, std::string_view section,
                       std::string_view key);
/// The value of a `kDuration`.
std::chrono::milliseconds GetDuration(const Settings& settings,
                                      std::string_view section,
                                      std::string_view key);

}  // namespace egretladder::kernel
