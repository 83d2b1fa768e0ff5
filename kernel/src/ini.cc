#include "egretladder/kernel/ini.h"

#include <boost/algorithm/string/trim.hpp>
#include <boost/property_tree/ini_parser.hpp>
#include <boost/property_tree/ptree.hpp>
#include <fstream>
#include <map>
#include <sstream>
#include <utility>

namespace egretladder::kernel {
namespace {

using EntryLines = std::map<std::pair<std::string, std::string>, std::uint32_t>;

// Maps each entry's section and key to its line. The parser doesn't keep line
// numbers, so the text is scanned a second time.
EntryLines FindEntryLines(const std::string& text) {
  EntryLines lines;
  std::istringstream stream(text);
  std::string line;
  std::string section;
  for (std::uint32_t line_number = 1; std::getline(stream, line);
       ++line_number) {
    boost::trim(line);
    if (line.empty() || line[0] == ';' || line[0] == '#') continue;
    if (line[0] == '[') {
      section = boost::trim_copy(line.substr(1, line.find(']') - 1));
      continue;
    }
    lines[{section, boost::trim_copy(line.substr(0, line.find('=')))}] =
        line_number;
  }
  return lines;
}

void SplitComment(const std::string& raw, IniEntry& entry) {
  // The parser trims values, so an empty value with a comment arrives as
  // `; comment`, without the space before the semicolon.
  const std::string padded = " " + raw;
  const auto separator = padded.find(" ;");
  entry.value = boost::trim_copy(padded.substr(0, separator));
  if (separator != std::string::npos) {
    entry.comment = boost::trim_copy(padded.substr(separator + 2));
  }
}

}  // namespace

Result<std::vector<IniEntry>> ReadIni(const std::string& text,
                                      std::string_view file) {
  namespace pt = boost::property_tree;
  pt::ptree tree;
  std::istringstream stream(text);
  try {
    pt::read_ini(stream, tree);
  } catch (const pt::ini_parser_error& error) {
    return MakeError(ErrorCode::kInvalidInput, "read ini",
                     std::string(file) + ":" + std::to_string(error.line()),
                     error.message());
  }
  const EntryLines lines = FindEntryLines(text);
  std::vector<IniEntry> entries;
  for (const auto& [section, children] : tree) {
    if (children.empty() && !children.data().empty()) {
      const auto it = lines.find({"", section});
      return MakeError(ErrorCode::kInvalidInput, "read ini",
                       std::string(file) + ":" +
                           std::to_string(it == lines.end() ? 0 : it->second),
                       "key '" + section + "' stands before the first section");
    }
    for (const auto& [key, child] : children) {
      IniEntry entry{section, key, "", "", 0};
      SplitComment(child.data(), entry);
      const auto it = lines.find({section, key});
      if (it != lines.end()) entry.line = it->second;
      entries.push_back(std::move(entry));
    }
  }
  return entries;
}

Result<std::string> ReadFile(const std::string& path) {
  std::ifstream stream(path, std::ios::binary);
  if (!stream) {
    return MakeError(ErrorCode::kNotFound, "read file", path, "can't be read");
  }
  std::ostringstream text;
  text << stream.rdbuf();
  return text.str();
}

}  // namespace egretladder::kernel
