#include <string>
#include <utility>

#include "egretladder/kernel/log_event.h"
#include "http_connection_p.h"

namespace egretladder::net {

HttpCall::HttpCall(std::shared_ptr<HttpConnection> connection,
                   HttpRequest request)
    : connection_(std::move(connection)), request_(std::move(request)) {}

bool HttpCall::MustClose() const {
  return !request_.keep_alive || connection_->CloseAfterAnswers();
}

void HttpCall::Finish(bool close) {
  on_disconnect_ = nullptr;
  on_drained_ = nullptr;
  const auto connection = std::exchange(connection_, nullptr);
  connection->OnCallEnded(close);
}

// A head inside an answer would be read as a part of its body.
bool HttpCall::AbortIfBegun(int status) {
  if (!begun_) return false;
  kernel::LogEvent(kernel::LogPart::kCaller, kernel::LogLevel::kError,
                   "second-answer",
                   {{"status", status}, {"target", request_.target}});
  Abort();
  return true;
}

void HttpCall::Answer(int status, std::string_view reason,
                      const HttpFields& fields, std::string_view body) {
  if (over() || AbortIfBegun(status)) return;
  const bool close = MustClose();
  constexpr int kNoContent = 204;
  constexpr int kNotModified = 304;
  const bool without_body = status == kNoContent || status == kNotModified;
  connection_->WriteOutput(
      FormatAnswerHead(status, reason, fields,
                       without_body ? BodyFraming::kNone : BodyFraming::kLength,
                       body.size(), close));
  if (!without_body && request_.method != "HEAD")
    connection_->WriteOutput(body);
  Finish(close);
}

void HttpCall::Begin(int status, std::string_view reason,
                     const HttpFields& fields, BodyFraming framing) {
  if (over() || AbortIfBegun(status)) return;
  begun_ = true;
  chunked_ = framing == BodyFraming::kChunked && request_.supports_chunked;
  if (!chunked_) connection_->OnUnframedAnswer();
  connection_->WriteOutput(
      FormatAnswerHead(status, reason, fields,
                       chunked_ ? BodyFraming::kChunked : BodyFraming::kNone, 0,
                       !chunked_ || MustClose()));
}

void HttpCall::Send(std::string_view piece) {
  if (over() || piece.empty()) return;
  connection_->WriteOutput(chunked_ ? FormatChunk(piece) : std::string(piece));
}

void HttpCall::End() {
  if (over()) return;
  if (chunked_) connection_->WriteOutput("0\r\n\r\n");
  Finish(!chunked_ || MustClose());
}

void HttpCall::Abort() {
  if (over()) return;
  if (begun_ && chunked_) {
    // The pieces sent so far are still delivered. The missing last chunk shows
    // the caller that the answer is incomplete.
    Finish(true);
    return;
  }
  on_disconnect_ = nullptr;
  on_drained_ = nullptr;
  const auto connection = connection_;
  if (begun_) {
    connection->ResetAfterOutput();
  } else {
    connection->Close();
  }
}

std::size_t HttpCall::UnsentBytes() const {
  return connection_ == nullptr ? 0 : connection_->UnsentBytes();
}

}  // namespace egretladder::net
