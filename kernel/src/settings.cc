#include "egretladder/kernel/settings.h"

#include <arpa/inet.h>

#include <algorithm>
#include <cstdlib>
#include <optional>

#include "egretladder/kernel/ini.h"
#include "egretladder/kernel/time.h"

namespace egretladder::kernel {
namespace {

std::string NameOf(std::string_view section, std::string_view key) {
  return std::string(section) + "." + std::string(key);
}

std::optional<std::uint64_t> ParseCount(const std::string& text,
                                        std::string* rest) {
  if (text.empty() || text[0] < '0' || text[0] > '9') return std::nullopt;
  char* end = nullptr;
  const std::uint64_t number = std::strtoull(text.c_str(), &end, 10);
  *rest = end;
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
  // Also false for NaN.
  if (text.empty() || *end != '\0' || !(number >= 0)) return std::nullopt;
  return number;
}

bool IsAddress(const std::string& text) {
  const auto colon = text.rfind(':');
  if (colon == std::string::npos) return false;
  std::string rest;
  const auto port = ParseCount(text.substr(colon + 1), &rest);
  if (!port || !rest.empty() || *port > 65535) return false;
  in6_addr parsed{};
  std::string host = text.substr(0, colon);
  if (inet_pton(AF_INET, host.c_str(), &parsed) == 1) return true;
  if (host.size() < 2 || host.front() != '[' || host.back() != ']') {
    return false;
  }
  host = host.substr(1, host.size() - 2);
  return inet_pton(AF_INET6, host.c_str(), &parsed) == 1;
}

bool IsValid(const std::string& value, SettingKind kind) {
  std::string rest;
  switch (kind) {
    case SettingKind::kText:
    case SettingKind::kSecret:
      return true;
    case SettingKind::kCount:
      return ParseCount(value, &rest) && rest.empty();
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

Error AddError(std::string_view file, std::uint32_t line, std::string detail) {
  return MakeError(ErrorCode::kInvalidInput, "read settings",
                   std::string(file) + ":" + std::to_string(line),
                   std::move(detail));
}

std::string ShownValue(const SettingSpec& spec, const std::string& value) {
  return spec.kind == SettingKind::kSecret ? "(secret)" : "'" + value + "'";
}

void TakeEntry(const IniEntry& entry, std::string_view file,
               std::span<const SettingSpec> specs, Settings& settings,
               std::vector<Error>& faults) {
  const SettingSpec* spec = FindSpec(specs, entry);
  const std::string name = NameOf(entry.section, entry.key);
  if (spec == nullptr) {
    faults.push_back(AddError(file, entry.line, "unknown key '" + name + "'"));
    return;
  }
  if (!IsValid(entry.value, spec->kind)) {
    faults.push_back(AddError(file, entry.line,
                              name + " is " + ShownValue(*spec, entry.value) +
                                  ", expected " + std::string(spec->expected)));
    return;
  }
  settings.values[name] = entry.value;
}

const std::string& Find(const Settings& settings, std::string_view section,
                        std::string_view key) {
  const auto at = settings.values.find(NameOf(section, key));
  if (at == settings.values.end()) std::abort();
  return at->second;
}

}  // namespace

Result<Settings> ReadSettings(const std::string& text, std::string_view file,
                              std::span<const SettingSpec> specs,
                              std::vector<Error>* faults) {
  std::vector<Error> found;
  Settings settings;
  auto entries = ReadIni(text, file);
  if (!entries) {
    if (faults != nullptr) faults->push_back(entries.error());
    return entries.error();
  }
  for (const IniEntry& entry : entries.value()) {
    TakeEntry(entry, file, specs, settings, found);
  }
  for (const SettingSpec& spec : specs) {
    const std::string name = NameOf(spec.section, spec.key);
    if (settings.values.contains(name)) continue;
    if (spec.required && found.empty()) {
      found.push_back(AddError(
          file, 0,
          "missing '" + name + "', expected " + std::string(spec.expected)));
    }
    settings.values[name] = std::string(spec.standard);
  }
  if (!found.empty()) {
    if (faults != nullptr) *faults = found;
    return found.front();
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
    text += spec.required           ? "(required)"
            : spec.standard.empty() ? "(none)"
                                    : std::string(spec.standard);
    text += "  ; " + std::string(spec.expected) + "\n";
  }
  return text;
}

SettingsChecker::SettingsChecker(const std::string& text, std::string_view file,
                                 std::vector<Error>& faults)
    : file_(file), faults_(faults) {
  auto entries = ReadIni(text, file);
  if (entries) entries_ = std::move(entries).value();
}

void SettingsChecker::AddError(std::string_view section, std::string_view key,
                               const std::string& detail) {
  const auto at = std::find_if(
      entries_.begin(), entries_.end(), [&](const IniEntry& entry) {
        return entry.section == section && entry.key == key;
      });
  const std::uint32_t line = at == entries_.end() ? 0 : at->line;
  faults_.push_back(MakeError(ErrorCode::kInvalidInput, "read settings",
                              file_ + ":" + std::to_string(line),
                              NameOf(section, key) + " " + detail));
}

std::vector<std::string> SplitList(const std::string& text) {
  std::vector<std::string> items;
  std::size_t at = 0;
  while (at <= text.size()) {
    const std::size_t comma = std::min(text.find(',', at), text.size());
    std::string item = text.substr(at, comma - at);
    std::erase(item, ' ');
    if (!item.empty()) items.push_back(std::move(item));
    at = comma + 1;
  }
  return items;
}

const std::string& GetText(const Settings& settings, std::string_view section,
                           std::string_view key) {
  return Find(settings, section, key);
}

std::uint64_t GetCount(const Settings& settings, std::string_view section,
                       std::string_view key) {
  std::string rest;
  return ParseCount(Find(settings, section, key), &rest).value_or(0);
}

double GetNumber(const Settings& settings, std::string_view section,
                 std::string_view key) {
  return ParseNumber(Find(settings, section, key)).value_or(0);
}

std::uint64_t GetBytes(const Settings& settings, std::string_view section,
                       std::string_view key) {
  return ParseBytes(Find(settings, section, key)).value_or(0);
}

std::chrono::milliseconds GetDuration(const Settings& settings,
                                      std::string_view section,
                                      std::string_view key) {
  return std::chrono::duration_cast<std::chrono::milliseconds>(
      ParseDuration(Find(settings, section, key).c_str()));
}

}  // namespace egretladder::kernel
