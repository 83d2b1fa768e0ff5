// INI documents, read entry by entry with the line each stands on.
#pragma once

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

#include "egretladder/kernel/error.h"

namespace egretladder::kernel {

/// One `key = value ; comment` line.
struct IniEntry {
  std::string section;
  std::string key;
  std::string value;    ///< Without the trailing comment, trimmed.
  std::string comment;  ///< After the first ` ;`, trimmed; empty without one.
  std::uint32_t line = 0;
};

/// Reads `text`. Fails on a line that is neither section, entry nor comment,
/// on a repeated key and on a section opened twice; `file` names the document
/// in the error. Source: boost::property_tree.
Result<std::vector<IniEntry>> ReadIni(const std::string& text,
                                      std::string_view file);

/// Reads a whole file. Fails with `kNotFound`.
Result<std::string> ReadFile(const std::string& path);

}  // namespace egretladder::kernel
