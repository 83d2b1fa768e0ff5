#include <rapidjson/document.h>

#include "answer_scan_p.h"

namespace egretladder::lab {
namespace {

constexpr std::string_view kData = "data: ";

/// Returns 1 when the line holds a token.
std::uint32_t TakeLine(StreamScan& scan, std::string_view mark) {
  std::string_view line = scan.line;
  if (line.ends_with('\r')) line.remove_suffix(1);
  if (!line.starts_with(kData)) return 0;
  line.remove_prefix(kData.size());
  if (line == "[DONE]") {
    scan.done = true;
    return 0;
  }
  if (line.starts_with("{\"error\"")) {
    scan.error = ReadError(line);
    return 0;
  }
  if (scan.tokens == 0 && line.find(mark) != std::string_view::npos) {
    scan.mark_seen = true;
  }
  if (line.find("\"choices\"") == std::string_view::npos) return 0;
  ++scan.tokens;
  return 1;
}

}  // namespace

ErrorSeen ReadError(std::string_view json) {
  ErrorSeen seen;
  rapidjson::Document document;
  document.Parse(json.data(), json.size());
  if (document.HasParseError() || !document.IsObject()) return seen;
  const auto error = document.FindMember("error");
  if (error == document.MemberEnd() || !error->value.IsObject()) return seen;
  seen.is_error = true;
  const auto ran = error->value.FindMember("ran");
  seen.not_run = ran != error->value.MemberEnd() && ran->value.IsString() &&
                 ran->value == "no";
  const auto code = error->value.FindMember("code");
  if (code != error->value.MemberEnd() && code->value.IsString()) {
    seen.code = code->value.GetString();
  }
  return seen;
}

std::uint32_t Scan(StreamScan& scan, std::string_view bytes,
                   std::string_view mark) {
  std::uint32_t tokens = 0;
  for (std::size_t end = bytes.find('\n'); end != std::string_view::npos;
       end = bytes.find('\n')) {
    scan.line += bytes.substr(0, end);
    bytes.remove_prefix(end + 1);
    tokens += TakeLine(scan, mark);
    scan.line.clear();
  }
  scan.line += bytes;
  return tokens;
}

}  // namespace egretladder::lab
