// Reads the `key=value` words of one rule.
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

constexpr std::uint32_t kNoName = std::numeric_limits<std::uint32_t>::max();

std::optional<std::uint32_t> ParseCount(std::string_view text) {
  std::uint32_t value = 0;
  const char* end = text.data() + text.size();
  const auto read = std::from_chars(text.data(), end, value);
  if (read.ec != std::errc() || read.ptr != end) return std::nullopt;
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

/// Takes the word out of the line.
std::optional<std::string> Take(RuleLine& line, const std::string& key) {
  const auto at = line.words.find(key);
  if (at == line.words.end()) return std::nullopt;
  std::string value = std::move(at->second);
  line.words.erase(at);
  return value;
}

std::string NameOfWord(const RuleLine& line, const std::string& key,
                       const std::string& value) {
  return line.entry->section + " '" + line.entry->key + "': " + key + "=" +
         value;
}

std::uint32_t FindName(Reader& reader, const RuleLine& line,
                       const std::string& key, const char* kind,
                       const NameIndex& index, const std::string& name) {
  const auto at = index.find(name);
  if (at != index.end()) return at->second;
  AddFault(reader, line.entry->line,
           NameOfWord(line, key, name) + " names no " + kind,
           std::string("declare the ") + kind + ", or correct the name");
  return kNoName;
}

}  // namespace

void AddFault(Reader& reader, std::uint32_t line, std::string what,
              std::string hint) {
  reader.faults.push_back(
      {reader.file, line, std::move(what), std::move(hint)});
}

RuleLine SplitWords(Reader& reader, const kernel::IniEntry& entry) {
  RuleLine line{&entry, {}};
  std::istringstream words(entry.value);
  std::string word;
  while (words >> word) {
    const auto equals = word.find('=');
    if (equals == std::string::npos || equals == 0) {
      AddFault(reader, entry.line,
               entry.section + " '" + entry.key + "': '" + word +
                   "' is not key=value",
               "write key=value without spaces around '='");
      continue;
    }
    const std::string key = word.substr(0, equals);
    if (!line.words.emplace(key, word.substr(equals + 1)).second) {
      AddFault(
          reader, entry.line,
          entry.section + " '" + entry.key + "': '" + key + "' stands twice",
          "keep one of the two");
    }
  }
  return line;
}

std::string TakeText(Reader& reader, RuleLine& line, const std::string& key,
                     bool required) {
  const auto value = Take(line, key);
  if (value && !value->empty()) return *value;
  if (required || value) {
    AddFault(reader, line.entry->line,
             line.entry->section + " '" + line.entry->key + "': '" + key +
                 "' is missing",
             "add " + key + "=...");
  }
  return "";
}

std::uint32_t TakeCount(Reader& reader, RuleLine& line, const std::string& key,
                        std::uint32_t lowest, std::uint32_t standard) {
  const auto value = Take(line, key);
  if (!value) return standard;
  const auto count = ParseCount(*value);
  if (count && *count >= lowest && *count <= kMaxCount) return *count;
  AddFault(reader, line.entry->line,
           NameOfWord(line, key, *value) + " is not valid",
           "give a whole number from " + std::to_string(lowest) + " to " +
               std::to_string(kMaxCount));
  return standard;
}

std::chrono::milliseconds TakeSpan(Reader& reader, RuleLine& line,
                                   const std::string& key,
                                   std::chrono::milliseconds standard) {
  const auto value = Take(line, key);
  if (!value) {
    if (standard.count() < 0) {
      AddFault(reader, line.entry->line,
               line.entry->section + " '" + line.entry->key + "': '" + key +
                   "' is missing",
               "add " + key + "=..., such as " + key + "=1800ms");
    }
    return std::max(standard, std::chrono::milliseconds(0));
  }
  const auto span = kernel::ParseDuration(value->c_str());
  if (span >= std::chrono::milliseconds(1) && span <= kMaxSpan) {
    return std::chrono::duration_cast<std::chrono::milliseconds>(span);
  }
  AddFault(reader, line.entry->line,
           NameOfWord(line, key, *value) + " is not a valid duration",
           "give a number with ms, s, m or h, from 1ms to 24h");
  return std::max(standard, std::chrono::milliseconds(0));
}

bool TakeFlag(Reader& reader, RuleLine& line, const std::string& key,
              std::string_view yes, std::string_view no, bool standard) {
  const auto value = Take(line, key);
  if (!value) return standard;
  if (*value == yes) return true;
  if (*value == no) return false;
  AddFault(reader, line.entry->line,
           NameOfWord(line, key, *value) + " is not valid",
           "give " + key + "=" + std::string(yes) + " or " + key + "=" +
               std::string(no));
  return standard;
}

std::string TakeAddress(Reader& reader, RuleLine& line,
                        const std::string& key) {
  std::string value = TakeText(reader, line, key, true);
  if (value.empty()) return value;
  if (!IsAddress(value)) {
    AddFault(reader, line.entry->line,
             NameOfWord(line, key, value) + " is not an address",
             "give IP:port, such as 10.0.1.4:8000");
    return value;
  }
  const std::string user = line.entry->section + " '" + line.entry->key + "'";
  const auto [at, fresh] = reader.addresses.emplace(value, user);
  if (!fresh) {
    AddFault(
        reader, line.entry->line,
        NameOfWord(line, key, value) + " is also the address of " + at->second,
        "give each its own address");
  }
  return value;
}

std::uint32_t TakeName(Reader& reader, RuleLine& line, const std::string& key,
                       const char* kind, const NameIndex& index,
                       bool required) {
  const std::string name = TakeText(reader, line, key, required);
  if (name.empty()) return kNoName;
  return FindName(reader, line, key, kind, index, name);
}

std::vector<std::uint32_t> TakeNames(Reader& reader, RuleLine& line,
                                     const std::string& key, const char* kind,
                                     const NameIndex& index) {
  std::vector<std::uint32_t> found;
  const std::string list = TakeText(reader, line, key, true);
  if (list.empty()) return found;
  std::istringstream names(list);
  std::string name;
  while (std::getline(names, name, ',')) {
    const auto idx = FindName(reader, line, key, kind, index, name);
    if (idx == kNoName) continue;
    if (std::find(found.begin(), found.end(), idx) != found.end()) {
      AddFault(reader, line.entry->line,
               NameOfWord(line, key, list) + " names '" + name + "' twice",
               "keep one of the two");
      continue;
    }
    found.push_back(idx);
  }
  return found;
}

void RefuseLeftovers(Reader& reader, const RuleLine& line, const char* known) {
  for (const auto& [key, value] : line.words) {
    AddFault(reader, line.entry->line,
             line.entry->section + " '" + line.entry->key + "': unknown key '" +
                 key + "'",
             std::string("known here: ") + known);
  }
}

}  // namespace egretladder::rules
