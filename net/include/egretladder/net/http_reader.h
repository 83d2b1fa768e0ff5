// Strict parsing of HTTP/1.1 without I/O, on top of Boost.Beast's parsers.
//
// A request with an ambiguous end allows request smuggling: an endpoint that
// finds the end elsewhere runs a part of the body as a second request, which
// this program has not checked. Ambiguous messages are therefore refused.
#pragma once

#include <cstddef>
#include <cstdint>
#include <limits>
#include <memory>
#include <string>
#include <string_view>

#include "egretladder/net/http_message.h"

namespace egretladder::net {

/// The part of a message that is read next, or the result.
enum class ReadState : std::uint8_t { kHead, kBody, kDone, kFailed };

/// Why a message was refused.
enum class ReadError : std::uint8_t {
  kNone,
  kSyntax,  ///< Violates RFC 9112 or has an ambiguous end.
  kHeadTooLarge,
  kBodyTooLarge,
};

/// Limits for the size of a message.
struct ReadLimits {
  std::size_t max_head_bytes = 0;
  std::size_t max_body_bytes = 0;
  std::size_t max_fields = std::numeric_limits<std::size_t>::max();
};

struct RequestReaderState;
/// Deletes the state, whose type is complete only in the source file.
struct RequestReaderDelete {
  void operator()(RequestReaderState* state) const;
};

/// Reads one request.
class RequestReader {
 public:
  explicit RequestReader(const ReadLimits& limits);

  /// Parses `bytes`, all input that has not been consumed yet. Returns how many
  /// bytes were consumed, 0 while the head is incomplete.
  std::size_t Feed(std::string_view bytes);

  ReadState state() const;
  ReadError error() const;
  /// Description of the error for the log.
  const std::string& detail() const;
  /// Returns true if the caller waits for `100 Continue` before it sends the
  /// body.
  bool WantsContinue() const;
  /// Memory of the fields and of the body as far as they were received.
  std::size_t held_bytes() const;
  /// The request; complete in `kDone`.
  HttpRequest& request();

 private:
  std::unique_ptr<RequestReaderState, RequestReaderDelete> state_;
};

struct AnswerReaderState;
/// Deletes the state, whose type is complete only in the source file.
struct AnswerReaderDelete {
  void operator()(AnswerReaderState* state) const;
};

/// Reads one answer. Its body is available piece by piece.
class AnswerReader {
 public:
  /// `no_body`: the method of the request was HEAD.
  AnswerReader(const ReadLimits& limits, bool no_body);

  /// Parses `bytes`, all input that has not been consumed yet. Returns how many
  /// bytes were consumed.
  std::size_t Feed(std::string_view bytes);
  /// Handles the end of the connection, which completes an answer without
  /// length and makes any other incomplete answer fail.
  void FeedEof();

  ReadState state() const;
  const std::string& detail() const;
  /// Valid from `kBody` on.
  const HttpAnswerHead& head() const;
  /// Frees the fields of the head.
  void DropFields();
  /// Returns the part of the body read since the last call.
  std::string TakeBody();

 private:
  std::unique_ptr<AnswerReaderState, AnswerReaderDelete> state_;
};

}  // namespace egretladder::net
