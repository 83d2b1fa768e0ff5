// What reading one document shares: faults found so far, and the words of the
// line at hand.
#pragma once

#include <chrono>
#include <cstdint>
#include <map>
#include <string>
#include <string_view>
#include <vector>

#include "egretladder/kernel/ini.h"
#include "egretladder/rules/rules.h"

namespace egretladder::rules {

/// A document being read. Faults are collected, so that one pass names all.
struct Reader {
  std::string file;
  std::vector<ValidationError> faults;
  Rules rules;
  std::map<std::string, std::string> addresses;  ///< Address to its first user.
  bool version_seen = false;
};

void AddFault(Reader& reader, std::uint32_t line, std::string what,
              std::string hint);

/// The `key=value` words of one rule. Each `Take` removes its word; what is
/// left in the end is unknown.
struct RuleLine {
  const kernel::IniEntry* entry = nullptr;
  std::map<std::string, std::string> words;
};

RuleLine SplitWords(Reader& reader, const kernel::IniEntry& entry);

/// Returns an empty text when the word is missing; that is a fault when
/// `required`.
std::string TakeText(Reader& reader, RuleLine& line, const std::string& key,
                     bool required);
std::uint32_t TakeCount(Reader& reader, RuleLine& line, const std::string& key,
                        std::uint32_t lowest, std::uint32_t standard);
/// A `standard` below zero makes the word required.
std::chrono::milliseconds TakeSpan(Reader& reader, RuleLine& line,
                                   const std::string& key,
                                   std::chrono::milliseconds standard);
bool TakeFlag(Reader& reader, RuleLine& line, const std::string& key,
              std::string_view yes, std::string_view no, bool standard);
/// An `IP:port` that no other rule uses.
std::string TakeAddress(Reader& reader, RuleLine& line, const std::string& key);
/// A name of `index`; `kind` names what it should be in the fault.
std::uint32_t TakeName(Reader& reader, RuleLine& line, const std::string& key,
                       const char* kind, const NameIndex& index, bool required);
std::vector<std::uint32_t> TakeNames(Reader& reader, RuleLine& line,
                                     const std::string& key, const char* kind,
                                     const NameIndex& index);
/// Makes a fault of each word left. `known` lists the section's keys.
void RefuseLeftovers(Reader& reader, const RuleLine& line, const char* known);

}  // namespace egretladder::rules
