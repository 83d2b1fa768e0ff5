// State and helper functions of the rules reader: the errors found so far, and
// the `key=value` fields of a line.
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

/// A document being read. Errors are collected, so that one pass reports all.
struct Reader {
  std::string file;
  std::vector<ValidationError> errors;
  Rules rules;
  /// Maps an address to the first rule that uses it.
  std::map<std::string, std::string> addresses;
  bool has_version = false;
};

/// Adds an error at `line`, with a `hint` on how to correct it.
void AddError(Reader& reader, std::uint32_t line, std::string what,
              std::string hint);

/// The `key=value` fields of one rule. Each `Consume` function removes its
/// field; fields that remain at the end are unknown.
struct RuleLine {
  const kernel::IniEntry* entry = nullptr;
  std::map<std::string, std::string> fields;
};

/// Splits the value of `entry` into fields. Adds an error for each word that is
/// not `key=value` and for each repeated key.
RuleLine SplitFields(Reader& reader, const kernel::IniEntry& entry);

/// Returns the value of a field, or an empty string if it is missing, which is
/// an error if `required` is set.
std::string ConsumeText(Reader& reader, RuleLine& line, const std::string& key,
                        bool required);
/// Returns a whole number from `min_value` to `kMaxCount`, or `default_value`
/// if the field is missing.
std::uint32_t ConsumeCount(Reader& reader, RuleLine& line,
                           const std::string& key, std::uint32_t min_value,
                           std::uint32_t default_value);
/// Returns a duration from 1 ms to `kMaxDuration`, or `default_value` if the
/// field is missing. A negative `default_value` makes the field required.
std::chrono::milliseconds ConsumeDuration(
    Reader& reader, RuleLine& line, const std::string& key,
    std::chrono::milliseconds default_value);
/// Returns true for `yes` and false for `no`, or `default_value` if the field
/// is missing.
bool ConsumeFlag(Reader& reader, RuleLine& line, const std::string& key,
                 std::string_view yes, std::string_view no, bool default_value);
/// Returns the required `IP:port` of a rule. It is an error if another rule
/// uses the same address.
std::string ConsumeAddress(Reader& reader, RuleLine& line,
                           const std::string& key);
/// Returns the row of a name in `index`. `kind` says in the error what the name
/// should refer to.
std::uint32_t ConsumeName(Reader& reader, RuleLine& line,
                          const std::string& key, const char* kind,
                          const NameIndex& index, bool required);
/// Returns the rows of a required, comma-separated list of names in `index`.
std::vector<std::uint32_t> ConsumeNames(Reader& reader, RuleLine& line,
                                        const std::string& key,
                                        const char* kind,
                                        const NameIndex& index);
/// Adds an error for each field that wasn't consumed. `known_keys` lists the
/// keys of the section for the hint.
void RejectUnknownKeys(Reader& reader, const RuleLine& line,
                       const char* known_keys);

}  // namespace egretladder::rules
