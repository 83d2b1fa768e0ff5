#include <array>
#include <boost/algorithm/string/join.hpp>
#include <boost/algorithm/string/split.hpp>
#include <boost/algorithm/string/trim.hpp>
#include <charconv>

#include "handover_fields_p.h"

namespace egretladder::proxy {
namespace {

constexpr int kHexBase = 16;
constexpr std::string_view kRulesName = "rules=";
constexpr std::string_view kServiceName = "service=";
constexpr std::string_view kVersionName = "version=";
constexpr std::string_view kWeightsName = "weights=";
constexpr std::string_view kTriedName = "tried=";

std::vector<std::string> Split(std::string_view text, char separator) {
  std::vector<std::string> parts;
  boost::algorithm::split(parts, text,
                          [separator](char c) { return c == separator; });
  return parts;
}

bool ParseNumber(std::string_view text, std::uint64_t& number) {
  const char* end = text.data() + text.size();
  const auto read = std::from_chars(text.data(), end, number);
  return read.ec == std::errc() && read.ptr == end;
}

}  // namespace

std::string FormatVersion(routing::SoftwareVersion version) {
  std::array<char, 2 * sizeof(version)> digits{};
  const auto end = std::to_chars(digits.data(), digits.data() + digits.size(),
                                 version, kHexBase);
  return {digits.data(), end.ptr};
}

routing::SoftwareVersion ParseVersion(std::string_view text) {
  routing::SoftwareVersion version = routing::kUnknownVersion;
  const char* end = text.data() + text.size();
  const auto read = std::from_chars(text.data(), end, version, kHexBase);
  const bool is_whole = read.ec == std::errc() && read.ptr == end;
  return is_whole ? version : routing::kUnknownVersion;
}

std::string FormatHandoverHeader(const HandoverHeader& header) {
  std::string value = header.peer;
  value += "; ";
  value += kRulesName;
  value += std::to_string(header.rules_version);
  value += "; ";
  value += kServiceName;
  value += header.service;
  if (header.version != routing::kUnknownVersion) {
    value += "; ";
    value += kVersionName;
    value += FormatVersion(header.version);
  }
  if (header.weights) {
    value += "; ";
    value += kWeightsName;
    value += std::to_string(*header.weights);
  }
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
          ParseNumber(text.substr(kRulesName.size()), header.rules_version);
    } else if (text.starts_with(kServiceName)) {
      header.service = text.substr(kServiceName.size());
    } else if (text.starts_with(kVersionName)) {
      header.version = ParseVersion(text.substr(kVersionName.size()));
    } else if (text.starts_with(kWeightsName)) {
      std::uint64_t weights = 0;
      if (ParseNumber(text.substr(kWeightsName.size()), weights))
        header.weights = weights;
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
