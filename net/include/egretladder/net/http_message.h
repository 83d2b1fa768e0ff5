// HTTP/1.1 messages as plain data, and the rules on which fields travel on.
#pragma once

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace egretladder::net {

/// One header field, spelled as it was received.
struct HttpField {
  std::string name;
  std::string value;
};
/// In the order received.
using HttpFields = std::vector<HttpField>;

/// A request, read whole.
struct HttpRequest {
  std::string method;
  std::string target;  ///< Path and query as sent.
  bool keep_alive = true;
  bool chunks_understood = true;  ///< False for HTTP/1.0.
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

/// Compares field names; case does not matter.
bool IsSameFieldName(std::string_view left, std::string_view right);
/// Value of the first field of that name; empty when there is none.
std::string_view FirstFieldValue(const HttpFields& fields,
                                 std::string_view name);
/// How many fields have that name.
std::size_t CountFields(const HttpFields& fields, std::string_view name);
/// True for fields that concern one connection and are never passed on
/// (RFC 9110, section 7.6.1), framing included.
bool IsHopByHopField(std::string_view name);

/// How the body of a message that is being written is framed.
enum class BodyFraming : std::uint8_t {
  kNone,     ///< No body and no framing field.
  kLength,   ///< `Content-Length`.
  kChunked,  ///< `Transfer-Encoding: chunked`.
};

/// Head of a request to an endpoint, ready to be sent. `fields` must hold no
/// field of one connection.
std::string FormatRequestHead(std::string_view method, std::string_view target,
                              const HttpFields& fields, BodyFraming framing,
                              std::size_t body_size);
/// Head of an answer to a caller.
std::string AnswerText(int status, std::string_view reason,
                       const HttpFields& fields, BodyFraming framing,
                       std::size_t body_size, bool close);
/// The usual words for a status.
std::string_view ReasonPhrase(int status);
/// One chunk of a chunked body.
std::string FormatChunk(std::string_view piece);

}  // namespace egretladder::net
