#include "egretladder/net/http_message.h"

#include <strings.h>

#include <algorithm>
#include <array>
#include <boost/beast/http/status.hpp>
#include <charconv>
#include <cmath>
#include <cstdio>
#include <numeric>
#include <ostream>  // Needed by the Beast header, which doesn't include it.

namespace egretladder::net {
namespace {

constexpr std::array<std::string_view, 11> kHopByHopFields = {
    "Connection", "Keep-Alive",        "Proxy-Authenticate",
    "TE",         "Trailer",           "Proxy-Authorization",
    "Upgrade",    "Transfer-Encoding", "Content-Length",
    "Expect",     "Proxy-Connection"};

void AppendFields(std::string& text, const HttpFields& fields) {
  for (const HttpField& field : fields) {
    text += field.name;
    text += ": ";
    text += field.value;
    text += "\r\n";
  }
}

void AppendFraming(std::string& text, BodyFraming framing, std::size_t size) {
  if (framing == BodyFraming::kLength) {
    text += "Content-Length: " + std::to_string(size) + "\r\n";
  } else if (framing == BodyFraming::kChunked) {
    text += "Transfer-Encoding: chunked\r\n";
  }
}

}  // namespace

std::size_t MemoryOf(const HttpFields& fields) {
  return std::accumulate(fields.begin(), fields.end(), std::size_t{0},
                         [](std::size_t bytes, const HttpField& field) {
                           return bytes + sizeof(field) + field.name.size() +
                                  field.value.size();
                         });
}

std::size_t MemoryOf(const HttpRequest& request) {
  return MemoryOf(request.fields) + request.body.capacity();
}

bool IsSameFieldName(std::string_view left, std::string_view right) {
  return left.size() == right.size() &&
         strncasecmp(left.data(), right.data(), left.size()) == 0;
}

std::string_view FirstFieldValue(const HttpFields& fields,
                                 std::string_view name) {
  for (const HttpField& field : fields) {
    if (IsSameFieldName(field.name, name)) return field.value;
  }
  return {};
}

std::size_t CountFields(const HttpFields& fields, std::string_view name) {
  return static_cast<std::size_t>(std::count_if(
      fields.begin(), fields.end(), [name](const HttpField& field) {
        return IsSameFieldName(field.name, name);
      }));
}

std::optional<double> ParseNonNegative(std::string_view value) {
  double number = 0;
  const char* end = value.data() + value.size();
  const auto read = std::from_chars(value.data(), end, number);
  if (value.empty() || read.ec != std::errc() || read.ptr != end ||
      !std::isfinite(number) || number < 0) {
    return std::nullopt;
  }
  return number;
}

std::optional<std::chrono::milliseconds> ParseDelay(
    std::string_view value, std::chrono::milliseconds max) {
  const auto seconds = ParseNonNegative(value);
  if (!seconds) return std::nullopt;
  const std::chrono::duration<double> delay(*seconds);
  if (delay >= max) return max;
  return std::chrono::ceil<std::chrono::milliseconds>(delay);
}

bool IsHopByHopField(std::string_view name) {
  return std::any_of(
      kHopByHopFields.begin(), kHopByHopFields.end(),
      [name](std::string_view field) { return IsSameFieldName(field, name); });
}

bool IsRefusalStatus(int status) {
  constexpr std::array<int, 5> kRefusals = {400, 408, 421, 429, 503};
  return std::find(kRefusals.begin(), kRefusals.end(), status) !=
         kRefusals.end();
}

std::string FormatRequestHead(std::string_view method, std::string_view target,
                              const HttpFields& fields, BodyFraming framing,
                              std::size_t body_size) {
  std::string text;
  text.append(method).append(" ").append(target).append(" HTTP/1.1\r\n");
  AppendFields(text, fields);
  AppendFraming(text, framing, body_size);
  text += "\r\n";
  return text;
}

std::string FormatAnswerHead(int status, std::string_view reason,
                             const HttpFields& fields, BodyFraming framing,
                             std::size_t body_size, bool close) {
  std::string text = "HTTP/1.1 " + std::to_string(status) + " ";
  text.append(reason).append("\r\n");
  AppendFields(text, fields);
  AppendFraming(text, framing, body_size);
  if (close) text += "Connection: close\r\n";
  text += "\r\n";
  return text;
}

std::string_view ReasonPhrase(int status) {
  const auto reason = boost::beast::http::obsolete_reason(
      boost::beast::http::int_to_status(static_cast<unsigned>(status)));
  return {reason.data(), reason.size()};
}

std::string FormatChunk(std::string_view piece) {
  std::array<char, 24> size{};
  const int written =
      std::snprintf(size.data(), size.size(), "%zx\r\n", piece.size());
  std::string text(size.data(), static_cast<std::size_t>(written));
  text.append(piece).append("\r\n");
  return text;
}

}  // namespace egretladder::net
