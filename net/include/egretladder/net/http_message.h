// HTTP/1.1 messages as plain data, and the rule which fields are forwarded.
#pragma once

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace egretladder::net {

/// One header field, spelled as it was received.
struct HttpField {
  std::string name;
  std::string value;
};
/// Fields in the order received.
using HttpFields = std::vector<HttpField>;

/// A complete request.
struct HttpRequest {
  std::string method;
  std::string target;  ///< Path and query, as received.
  bool keep_alive = true;
  bool supports_chunked = true;  ///< False for HTTP/1.0.
  HttpFields fields;
  std::string body;
};

/// Status line and fields of an answer.
struct HttpAnswerHead {
  int status = 0;
  std::string reason;
  bool keep_alive = true;
  bool chunked = false;
  HttpFields fields;
};

/// Returns the memory that the fields take, in bytes.
std::size_t MemoryOf(const HttpFields& fields);
/// Returns the memory that the fields and the body take, in bytes.
std::size_t MemoryOf(const HttpRequest& request);
/// Compares field names without regard to case.
bool IsSameFieldName(std::string_view left, std::string_view right);
/// Returns the value of the first field of that name, empty if there is none.
std::string_view FirstFieldValue(const HttpFields& fields,
                                 std::string_view name);
/// Returns the number of fields of that name.
std::size_t CountFields(const HttpFields& fields, std::string_view name);
/// Parses a field value that is a finite decimal number from 0 on.
std::optional<double> ParseNonNegative(std::string_view value);
/// Parses a field value that is a delay in seconds, fractions allowed. A longer
/// delay than `max` is returned as `max`.
std::optional<std::chrono::milliseconds> ParseDelay(
    std::string_view value, std::chrono::milliseconds max);
/// Returns true for fields that apply to a single connection and are never
/// forwarded (RFC 9110, section 7.6.1), including those of the framing.
bool IsHopByHopField(std::string_view name);
/// Returns true for the statuses with which an endpoint may state that it has
/// not run the request.
bool IsRefusalStatus(int status);

/// How the body of a message that is being written is framed.
enum class BodyFraming : std::uint8_t {
  kNone,     ///< No body and no framing field.
  kLength,   ///< `Content-Length`.
  kChunked,  ///< `Transfer-Encoding: chunked`.
};

/// Returns the head of a request to an endpoint, ready to be sent. `fields`
/// must not contain hop-by-hop fields.
std::string FormatRequestHead(std::string_view method, std::string_view target,
                              const HttpFields& fields, BodyFraming framing,
                              std::size_t body_size);
/// Returns the head of an answer to a caller. `close` adds `Connection: close`.
std::string FormatAnswerHead(int status, std::string_view reason,
                             const HttpFields& fields, BodyFraming framing,
                             std::size_t body_size, bool close);
/// Returns the standard reason phrase of a status.
std::string_view ReasonPhrase(int status);
/// Returns one chunk of a chunked body.
std::string FormatChunk(std::string_view piece);

}  // namespace egretladder::net
