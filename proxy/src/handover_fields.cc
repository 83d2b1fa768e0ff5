#include <boost/algorithm/string/join.hpp>
#include <boost/algorithm/string/split.hpp>
#include <boost/algorithm/string/trim.hpp>
#include <charconv>

#include "handover_fields_p.h"

namespace egretladder::proxy {
namespace {

constexpr std::string_view kRulesName = "rules=";
constexpr std::string_view kServiceName = "service=";
constexpr std::string_view kTriedName = "tried=";

std::vector<std::string> Split(std::string_view text, char separator) {
  std::vector<std::string> parts;
  boost::algorithm::split(parts, text,
                          [separator](char c) { return c == separator; });
  return parts;
}

bool ParseVersion(std::string_view text, std::uint64_t& version) {
  const char* end = text.data() + text.size();
  const auto read = std::from_chars(text.data(), end, version);
  return read.ec == std::errc() && read.ptr == end;
}

}  // namespace

std::string FormatHandoverHeader(const HandoverHeader& header) {
  std::string value = header.peer;
  value += "; ";
  value += kRulesName;
  value += std::to_string(header.rules_version);
  value += "; ";
  value += kServiceName;
  value += header.service;
  if (header.tried.empty()) return value;
  value += "; ";
  value += kTriedName;
  value += boost::algorithm::join(header.tried, ",");
  return value;
}

std::optional<HandoverHeader> ParseHandoverHeader(std::string_view value) {
  HandoverHeader header;
  std::vector<std::string> parts = Split(value, ';');
  for (std::string& part : parts) boost::algorithm::trim(part);
  header.peer = parts.front();
  bool has_version = false;
  for (const std::string& part : parts) {
    const std::string_view text = part;
    if (text.starts_with(kRulesName)) {
      has_version =
          ParseVersion(text.substr(kRulesName.size()), header.rules_version);
    } else if (text.starts_with(kServiceName)) {
      header.service = text.substr(kServiceName.size());
    } else if (text.starts_with(kTriedName)) {
      header.tried = Split(text.substr(kTriedName.size()), ',');
    }
  }
  if (header.peer.empty() || !has_version || header.service.empty()) {
    return std::nullopt;
  }
  return header;
}

}  // namespace egretladder::proxy
