#include "egretladder/kernel/settings.h"

#include <arpa/inet.h>

#include <algorithm>
#include <cstdlib>
#include <optional>

#include "egretladder/kernel/ini.h"
#include "egretladder/kernel/time.h"

namespace egretladder::kernel {
namespace {

std::string QualifiedName(std::string_view section, std::string_view key) {
  return std::string(section) + "." + std::string(key);
}

std::optional<std::uint64_t> ParseCount(const std::string& text,
                                        std::string* suffix) {
  if (text.empty() || text[0] < '0' || text[0] > '9') return std::nullopt;
  char* end = nullptr;
  const std::uint64_t number = std::strtoull(text.c_str(), &end, 10);
  *suffix = end;
  return number;
}

std::optional<std::uint64_t> ParseBytes(const std::string& text) {
  std::string unit;
  const auto number = ParseCount(text, &unit);
  if (!number) return std::nullopt;
  if (unit == "B") return *number;
  if (unit == "KiB") return *number << 10U;
  if (unit == "MiB") return *number << 20U;
  return std::nullopt;
}

std::optional<double> ParseNumber(const std::string& text) {
  char* end = nullptr;
  const double number = std::strtod(text.c_str(), &end);
  // The negated comparison also rejects NaN.
  if (text.empty() || *end != '\0' || !(number >= 0)) return std::nullopt;
  return number;
}

bool IsAddress(const std::string& text) {
  const auto colon = text.rfind(':');
  if (colon == std::string::npos) return false;
  std::string suffix;
  const auto port = ParseCount(text.substr(colon + 1), &suffix);
  if (!port || !suffix.empty() || *port > 65535) return false;
  in6_addr parsed{};
  std::string host = text.substr(0, colon);
  if (inet_pton(AF_INET, host.c_str(), &parsed) == 1) return true;
  if (host.size() < 2 || host.front() != '[' || host.back() != ']') {
    return false;
  }
  host = host.substr(1, host.size() - 2);
  return inet_pton(AF_INET6, host.c_str(), &parsed) == 1;
}

bool IsValidValue(const std::string& value, SettingKind kind) {
  std::string suffix;
  switch (kind) {
    case SettingKind::kText:
    case SettingKind::kSecret:
      return true;
    case SettingKind::kCount:
      return ParseCount(value, &suffix) && suffix.empty();
    case SettingKind::kBytes:
      return ParseBytes(value).has_value();
    case SettingKind::kNumber:
      return ParseNumber(value).has_value();
    case SettingKind::kDuration:
      return ParseDuration(value.c_str()).count() >= 0;
    case SettingKind::kAddress:
      return IsAddress(value);
  }
  return false;
}

const SettingSpec* FindSpec(std::span<const SettingSpec> specs,
                            const IniEntry& entry) {
  for (const SettingSpec& spec : specs) {
    if (spec.section == entry.section && spec.key == entry.key) return &spec;
  }
  return nullptr;
}

Error MakeSettingError(std::string_view file, std::uint32_t line,
                       std::string detail) {
  return MakeError(ErrorCode::kInvalidInput, "read settings",
                   std::string(file) + ":" + std::to_string(line),
                   std::move(detail));
}

std::string FormatValue(const SettingSpec& spec, const std::string& value) {
  return spec.kind == SettingKind::kSecret ? "(secret)" : "'" + value + "'";
}

void ApplyEntry(const IniEntry& entry, std::string_view file,
                std::span<const SettingSpec> specs, Settings& settings,
                std::vector<Error>& errors) {
  const SettingSpec* spec = FindSpec(specs, entry);
  const std::string name = QualifiedName(entry.section, entry.key);
  if (spec == nullptr) {
    errors.push_back(
        MakeSettingError(file, entry.line, "unknown key '" + name + "'"));
    return;
  }
  if (!IsValidValue(entry.value, spec->kind)) {
    errors.push_back(
        MakeSettingError(file, entry.line,
                         name + " is " + FormatValue(*spec, entry.value) +
                             ", expected " + std::string(spec->expected)));
    return;
  }
  settings.values[name] = entry.value;
}

const std::string& FindValue(const Settings& settings, std::string_view section,
                             std::string_view key) {
  const auto it = settings.values.find(QualifiedName(section, key));
  if (it == settings.values.end()) std::abort();
  return it->second;
}

}  // namespace

Result<Settings> ReadSettings(const std::string& text, std::string_view file,
                              std::span<const SettingSpec> specs,
                              std::vector<Error>* errors) {
  std::vector<Error> found_errors;
  Settings settings;
  auto entries = ReadIni(text, file);
  if (!entries) {
    if (errors != nullptr) errors->push_back(entries.error());
    return entries.error();
  }
  for (const IniEntry& entry : entries.value()) {
    ApplyEntry(entry, file, specs, settings, found_errors);
  }
  for (const SettingSpec& spec : specs) {
    const std::string name = QualifiedName(spec.section, spec.key);
    if (settings.values.contains(name)) continue;
    if (spec.required && found_errors.empty()) {
      found_errors.push_back(MakeSettingError(
          file, 0,
          "missing '" + name + "', expected " + std::string(spec.expected)));
    }
    settings.values[name] = std::string(spec.default_value);
  }
  if (!found_errors.empty()) {
    if (errors != nullptr) *errors = found_errors;
    return found_errors.front();
  }
  return settings;
}

std::string DescribeSettings(std::span<const SettingSpec> specs) {
  std::string text;
  std::string_view section;
  for (const SettingSpec& spec : specs) {
    if (spec.section != section) {
      section = spec.section;
      text += "  [" + std::string(section) + "]\n";
    }
    text += "    " + std::string(spec.key) + " = ";
    text += spec.required                ? "(required)"
            : spec.default_value.empty() ? "(none)"
                                         : std::string(spec.default_value);
    text += "  ; " + std::string(spec.expected) + "\n";
  }
  return text;
}

SettingsChecker::SettingsChecker(const std::string& text, std::string_view file,
                                 std::vector<Error>& errors)
    : file_(file), errors_(errors) {
  auto entries = ReadIni(text, file);
  if (entries) entries_ = std::move(entries).value();
}

void SettingsChecker::AddError(std::string_view section, std::string_view key,
                               const std::string& detail) {
  const auto it = std::find_if(
      entries_.begin(), entries_.end(), [&](const IniEntry& entry) {
        return entry.section == section && entry.key == key;
      });
  const std::uint32_t line = it == entries_.end() ? 0 : it->line;
  errors_.push_back(MakeError(ErrorCode::kInvalidInput, "read settings",
                              file_ + ":" + std::to_string(line),
                              QualifiedName(section, key) + " " + detail));
}

std::vector<std::string> SplitList(const std::string& text) {
  std::vector<std::string> items;
  std::size_t start = 0;
  while (start <= text.size()) {
    const std::size_t comma = std::min(text.find(',', start), text.size());
    std::string item = text.substr(start, comma - start);
    std::erase(item, ' ');
    if (!item.empty()) items.push_back(std::move(item));
    start = comma + 1;
  }
  return items;
}

const std::string& GetText(const Settings& settings, std::string_view section,
                           std::string_view key) {
  return FindValue(settings, section, key);
}

std::uint64_t GetCount(const Settings& settings, std::string_view section,
                       std::string_view key) {
  std::string suffix;
  return ParseCount(FindValue(settings, section, key), &suffix).value_or(0);
}

double GetNumber(const Settings& settings, std::string_view section,
                 std::string_view key) {
  return ParseNumber(FindValue(settings, section, key)).value_or(0);
}

std::uint64_t GetBytes(const Settings& settings, std::string_view section,
                       std::string_view key) {
  return ParseBytes(FindValue(settings, section, key)).value_or(0);
}

std::chrono::milliseconds GetDuration(const Settings& settings,
                                      std::string_view section,
                                      std::string_view key) {
  return std::chrono::duration_cast<std::chrono::milliseconds>(
      ParseDuration(FindValue(settings, section, key).c_str()));
}

}  // namespace egretladder::kernel
