// Strict reading of HTTP/1.1 without I/O. Source: Boost.Beast's parsers.
//
// A request whose end is open to doubt is a way to smuggle a second one past
// this program: an endpoint that sees the end elsewhere runs bytes that nobody
// sent as a request. So what is unclear is refused, never guessed.
#pragma once

#include <cstddef>
#include <cstdint>
#include <memory>
#include <string>
#include <string_view>

#include "egretladder/net/http_message.h"

namespace egretladder::net {

/// How far a message was read.
enum class ReadState : std::uint8_t { kHead, kBody, kDone, kFailed };

/// Why a message can't be read.
enum class ReadFault : std::uint8_t {
  kNone,
  kSyntax,  ///< Breaks RFC 9112, or its end is open to doubt.
  kHeadTooLarge,
  kBodyTooLarge,
};

/// Largest sizes of a message, in bytes.
struct ReadLimits {
  std::size_t head = 0;
  std::size_t body = 0;
};

struct RequestReaderState;
/// Lets the reader own a type that only its source knows.
struct RequestReaderDelete {
  void operator()(RequestReaderState* state) const;
};

/// Reads one request.
class RequestReader {
 public:
  explicit RequestReader(const ReadLimits& limits);

  /// Takes bytes, the unread rest of the input from its start; returns how many
  /// were used. 0 while the head is incomplete.
  std::size_t Feed(std::string_view bytes);

  ReadState state() const;
  ReadFault fault() const;
  /// What Beast says of the fault, for the log.
  const std::string& detail() const;
  /// True when the caller waits for `100 Continue` before it sends the body.
  bool WantsContinue() const;
  /// Complete in `kDone`.
  HttpRequest& request();

 private:
  std::unique_ptr<RequestReaderState, RequestReaderDelete> state_;
};

struct AnswerReaderState;
/// As above.
struct AnswerReaderDelete {
  void operator()(AnswerReaderState* state) const;
};

/// Reads one answer, whose body is taken piece by piece.
class AnswerReader {
 public:
  /// `no_body`: the request was a HEAD.
  AnswerReader(const ReadLimits& limits, bool no_body);

  /// As `RequestReader::Feed`.
  std::size_t Feed(std::string_view bytes);
  /// The connection ended: completes an answer that has no length.
  void FeedEnd();

  ReadState state() const;
  const std::string& detail() const;
  /// Valid from `kBody` on.
  const HttpAnswerHead& head() const;
  /// Moves out the part of the body read since the last call.
  std::string TakeBody();

 private:
  std::unique_ptr<AnswerReaderState, AnswerReaderDelete> state_;
};

}  // namespace egretladder::net
