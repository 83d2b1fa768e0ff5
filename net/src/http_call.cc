#include <string>
#include <utility>

#include "http_connection_p.h"

namespace egretladder::net {

HttpCall::HttpCall(std::shared_ptr<HttpConnection> connection,
                   HttpRequest request)
    : connection_(std::move(connection)), request_(std::move(request)) {}

bool HttpCall::MustClose() const {
  return !request_.keep_alive || connection_->CloseAfterAnswers();
}

void HttpCall::Finish(bool close) {
  gone_ = nullptr;
  drained_ = nullptr;
  const auto connection = std::exchange(connection_, nullptr);
  connection->CallOver(close);
}

void HttpCall::Answer(int status, std::string_view reason,
                      const HttpFields& fields, std::string_view body) {
  if (over()) return;
  const bool close = MustClose();
  constexpr int kNoContent = 204;
  constexpr int kNotModified = 304;
  const bool bare = status == kNoContent || status == kNotModified;
  connection_->Put(AnswerText(status, reason, fields,
                              bare ? BodyFraming::kNone : BodyFraming::kLength,
                              body.size(), close));
  if (!bare && request_.method != "HEAD") connection_->Put(body);
  Finish(close);
}

void HttpCall::Begin(int status, std::string_view reason,
                     const HttpFields& fields) {
  if (over()) return;
  begun_ = true;
  chunked_ = request_.chunks_understood;
  connection_->Put(
      AnswerText(status, reason, fields,
                 chunked_ ? BodyFraming::kChunked : BodyFraming::kNone, 0,
                 !chunked_ || MustClose()));
}

void HttpCall::Send(std::string_view piece) {
  if (over() || piece.empty()) return;
  connection_->Put(chunked_ ? FormatChunk(piece) : std::string(piece));
}

void HttpCall::End() {
  if (over()) return;
  if (chunked_) connection_->Put("0\r\n\r\n");
  Finish(!chunked_ || MustClose());
}

void HttpCall::Abort() {
  if (over()) return;
  if (begun_ && chunked_) {
    // What was passed on still reaches the caller; the missing last chunk says
    // that it isn't all.
    Finish(true);
    return;
  }
  gone_ = nullptr;
  const auto connection = connection_;
  connection->Close();
}

std::size_t HttpCall::UnsentBytes() const {
  return connection_ == nullptr ? 0 : connection_->UnsentBytes();
}

}  // namespace egretladder::net
