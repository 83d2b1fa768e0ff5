// Reads the `key=value` fields of one rule.
#include <arpa/inet.h>

#include <algorithm>
#include <array>
#include <charconv>
#include <limits>
#include <optional>
#include <sstream>
#include <utility>

#include "egretladder/kernel/time.h"
#include "egretladder/rules/limits.h"
#include "reader_p.h"

namespace egretladder::rules {
namespace {

constexpr std::uint32_t kNoRow = std::numeric_limits<std::uint32_t>::max();

std::optional<std::uint32_t> ParseCount(std::string_view text) {
  std::uint32_t value = 0;
  const char* end = text.data() + text.size();
  const auto result = std::from_chars(text.data(), end, value);
  if (result.ec != std::errc() || result.ptr != end) return std::nullopt;
  return value;
}

bool IsAddress(const std::string& text) {
  const auto colon = text.rfind(':');
  if (colon == std::string::npos) return false;
  const auto port = ParseCount(text.substr(colon + 1));
  if (!port || *port == 0 || *port > 65535) return false;
  std::string ip = text.substr(0, colon);
  std::array<unsigned char, sizeof(in6_addr)> parsed{};
  if (inet_pton(AF_INET, ip.c_str(), parsed.data()) == 1) return true;
  if (ip.size() < 2 || ip.front() != '[' || ip.back() != ']') return false;
  ip = ip.substr(1, ip.size() - 2);
  return inet_pton(AF_INET6, ip.c_str(), parsed.data()) == 1;
}

/// Removes a field from the line and returns its value, or nullopt if it is
/// missing.
std::optional<std::string> ConsumeField(RuleLine& line,
                                        const std::string& key) {
  const auto it = line.fields.find(key);
  if (it == line.fields.end()) return std::nullopt;
  std::string value = std::move(it->second);
  line.fields.erase(it);
  return value;
}

std::string FormatField(const RuleLine& line, const std::string& key,
                        const std::string& value) {
  return line.entry->section + " '" + line.entry->key + "': " + key + "=" +
         value;
}

std::uint32_t FindName(Reader& reader, const RuleLine& line,
                       const std::string& key, const char* kind,
                       const NameIndex& index, const std::string& name) {
  const auto it = index.find(name);
  if (it != index.end()) return it->second;
  AddError(reader, line.entry->line,
           FormatField(line, key, name) + " names no " + kind,
           std::string("declare the ") + kind + ", or correct the name");
  return kNoRow;
}

}  // namespace

void AddError(Reader& reader, std::uint32_t line, std::string what,
              std::string hint) {
  reader.errors.push_back(
      {reader.file, line, std::move(what), std::move(hint)});
}

RuleLine SplitFields(Reader& reader, const kernel::IniEntry& entry) {
  RuleLine line{&entry, {}};
  std::istringstream tokens(entry.value);
  std::string token;
  while (tokens >> token) {
    const auto equals = token.find('=');
    if (equals == std::string::npos || equals == 0) {
      AddError(reader, entry.line,
               entry.section + " '" + entry.key + "': '" + token +
                   "' is not key=value",
               "write key=value without spaces around '='");
      continue;
    }
    const std::string key = token.substr(0, equals);
    if (!line.fields.emplace(key, token.substr(equals + 1)).second) {
      AddError(
          reader, entry.line,
          entry.section + " '" + entry.key + "': '" + key + "' stands twice",
          "keep one of the two");
    }
  }
  return line;
}

std::string ConsumeText(Reader& reader, RuleLine& line, const std::string& key,
                        bool required) {
  const auto value = ConsumeField(line, key);
  if (value && !value->empty()) return *value;
  if (required || value) {
    AddError(reader, line.entry->line,
             line.entry->section + " '" + line.entry->key + "': '" + key +
                 "' is missing",
             "add " + key + "=...");
  }
  return "";
}

std::uint32_t ConsumeCount(Reader& reader, RuleLine& line,
                           const std::string& key, std::uint32_t min_value,
                           std::uint32_t default_value) {
  const auto value = ConsumeField(line, key);
  if (!value) return default_value;
  const auto count = ParseCount(*value);
  if (count && *count >= min_value && *count <= kMaxCount) return *count;
  AddError(reader, line.entry->line,
           FormatField(line, key, *value) + " is not valid",
           "give a whole number from " + std::to_string(min_value) + " to " +
               std::to_string(kMaxCount));
  return default_value;
}

std::chrono::milliseconds ConsumeDuration(
    Reader& reader, RuleLine& line, const std::string& key,
    std::chrono::milliseconds default_value) {
  const auto value = ConsumeField(line, key);
  if (!value) {
    if (default_value.count() < 0) {
      AddError(reader, line.entry->line,
               line.entry->section + " '" + line.entry->key + "': '" + key +
                   "' is missing",
               "add " + key + "=..., such as " + key + "=1800ms");
    }
    return std::max(default_value, std::chrono::milliseconds(0));
  }
  const auto duration = kernel::ParseDuration(value->c_str());
  if (duration >= std::chrono::milliseconds(1) && duration <= kMaxDuration) {
    return std::chrono::duration_cast<std::chrono::milliseconds>(duration);
  }
  AddError(reader, line.entry->line,
           FormatField(line, key, *value) + " is not a valid duration",
           "give a number with ms, s, m or h, from 1ms to 24h");
  return std::max(default_value, std::chrono::milliseconds(0));
}

bool ConsumeFlag(Reader& reader, RuleLine& line, const std::string& key,
                 std::string_view yes, std::string_view no,
                 bool default_value) {
  const auto value = ConsumeField(line, key);
  if (!value) return default_value;
  if (*value == yes) return true;
  if (*value == no) return false;
  AddError(reader, line.entry->line,
           FormatField(line, key, *value) + " is not valid",
           "give " + key + "=" + std::string(yes) + " or " + key + "=" +
               std::string(no));
  return default_value;
}

std::string ConsumeAddress(Reader& reader, RuleLine& line,
                           const std::string& key) {
  std::string value = ConsumeText(reader, line, key, true);
  if (value.empty()) return value;
  if (!IsAddress(value)) {
    AddError(reader, line.entry->line,
             FormatField(line, key, value) + " is not an address",
             "give IP:port, such as 10.0.1.4:8000");
    return value;
  }
  const std::string owner = line.entry->section + " '" + line.entry->key + "'";
  const auto [it, inserted] = reader.addresses.emplace(value, owner);
  if (!inserted) {
    AddError(
        reader, line.entry->line,
        FormatField(line, key, value) + " is also the address of " + it->second,
        "give each its own address");
  }
  return value;
}

std::uint32_t ConsumeName(Reader& reader, RuleLine& line,
                          const std::string& key, const char* kind,
                          const NameIndex& index, bool required) {
  const std::string name = ConsumeText(reader, line, key, required);
  if (name.empty()) return kNoRow;
  return FindName(reader, line, key, kind, index, name);
}

std::vector<std::uint32_t> ConsumeNames(Reader& reader, RuleLine& line,
                                        const std::string& key,
                                        const char* kind,
                                        const NameIndex& index) {
  std::vector<std::uint32_t> found;
  const std::string names_text = ConsumeText(reader, line, key, true);
  if (names_text.empty()) return found;
  std::istringstream names(names_text);
  std::string name;
  while (std::getline(names, name, ',')) {
    const auto idx = FindName(reader, line, key, kind, index, name);
    if (idx == kNoRow) continue;
    if (std::find(found.begin(), found.end(), idx) != found.end()) {
      AddError(
          reader, line.entry->line,
          FormatField(line, key, names_text) + " names '" + name + "' twice",
          "keep one of the two");
      continue;
    }
    found.push_back(idx);
  }
  return found;
}

void RejectUnknownKeys(Reader& reader, const RuleLine& line,
                       const char* known_keys) {
  for (const auto& [key, value] : line.fields) {
    AddError(reader, line.entry->line,
             line.entry->section + " '" + line.entry->key + "': unknown key '" +
                 key + "'",
             std::string("known here: ") + known_keys);
  }
}

}  // namespace egretladder::rules
