// Parser of INI documents that keeps the line number of each entry.
#pragma once

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

#include "egretladder/kernel/error.h"

namespace egretladder::kernel {

/// A line of the form `key = value ; comment`.
struct IniEntry {
  std::string section;
  std::string key;
  std::string value;       ///< Trimmed, without the trailing comment.
  std::string comment;     ///< The trimmed text after the first ` ;`.
  std::uint32_t line = 0;  ///< Counted from 1; 0 when unknown.
};

/// Parses `text` with boost::property_tree. Returns `kInvalidInput` for a line
/// that is no section, entry or comment, for an entry before the first section,
/// for a repeated key and for a repeated section. `file` names the document in
/// the error.
Result<std::vector<IniEntry>> ReadIni(const std::string& text,
                                      std::string_view file);

/// Reads a whole file. Returns `kNotFound` when it can't be opened.
Result<std::string> ReadFile(const std::string& path);

}  // namespace egretladder::kernel
