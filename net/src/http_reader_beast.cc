// Beast asserts that at least five bytes follow the size of a last chunk, which
// come in any pieces. Without the assertion it waits for the rest.
#define BOOST_DISABLE_ASSERTS
#include <boost/beast/http/basic_parser.hpp>
#include <limits>

#include "egretladder/net/http_reader.h"

namespace egretladder::net {
namespace {

namespace http = boost::beast::http;
using boost::beast::error_code;
using boost::beast::string_view;

std::string ToString(string_view text) { return {text.data(), text.size()}; }

// Collects what Beast's parser finds in a message.
template <bool isRequest>
class Parser : public http::basic_parser<isRequest> {
 public:
  HttpFields fields;
  std::string body;
  std::string method;
  std::string target;
  std::string reason;
  int status = 0;
  int version = 0;  // Major version times ten plus minor version.
  std::size_t max_fields = 0;

  // Memory that is reserved and not used yet takes none.
  std::size_t body_memory() const {
    return is_reserved_ ? body.size() : body.capacity();
  }

 protected:
  void on_request_impl(http::verb /*verb*/, string_view name, string_view path,
                       int number, error_code& /*ec*/) override {
    version = number;
    method = ToString(name);
    target = ToString(path);
  }
  void on_response_impl(int code, string_view phrase, int /*version*/,
                        error_code& /*ec*/) override {
    status = code;
    reason = ToString(phrase);
  }
  void on_field_impl(http::field /*field*/, string_view name, string_view value,
                     error_code& ec) override {
    if (fields.size() >= max_fields) ec = http::error::header_limit;
    // Trailer fields after a chunked body are dropped, as RFC 9110 allows.
    if (!head_done_) fields.push_back({ToString(name), ToString(value)});
  }
  void on_header_impl(error_code& /*ec*/) override { head_done_ = true; }
  void on_body_init_impl(const boost::optional<std::uint64_t>& length,
                         error_code& /*ec*/) override {
    // A string that grows takes up to three times its size.
    is_reserved_ = isRequest && length.has_value();
    if (is_reserved_) body.reserve(static_cast<std::size_t>(*length));
  }
  std::size_t on_body_impl(string_view piece, error_code& /*ec*/) override {
    body.append(piece.data(), piece.size());
    return piece.size();
  }
  void on_chunk_header_impl(std::uint64_t /*size*/, string_view /*extensions*/,
                            error_code& /*ec*/) override {}
  std::size_t on_chunk_body_impl(std::uint64_t /*remain*/, string_view piece,
                                 error_code& /*ec*/) override {
    body.append(piece.data(), piece.size());
    return piece.size();
  }
  void on_finish_impl(error_code& /*ec*/) override {}

 private:
  bool head_done_ = false;
  bool is_reserved_ = false;
};

template <bool isRequest>
void SetLimits(Parser<isRequest>& parser, const ReadLimits& limits) {
  constexpr std::size_t kMaxHeaderLimit =
      std::numeric_limits<std::uint32_t>::max();
  parser.header_limit(static_cast<std::uint32_t>(
      std::min(limits.max_head_bytes, kMaxHeaderLimit)));
  parser.body_limit(limits.max_body_bytes);
  parser.max_fields = limits.max_fields;
}

// Parses until the message is complete or Beast needs more bytes. Returns how
// many bytes were consumed.
template <bool isRequest>
std::size_t FeedParser(Parser<isRequest>& parser, std::string_view bytes,
                       error_code& ec) {
  std::size_t used = 0;
  while (used < bytes.size() && !parser.is_done()) {
    const std::size_t consumed = parser.put(
        boost::asio::const_buffer(bytes.data() + used, bytes.size() - used),
        ec);
    used += consumed;
    if (ec == http::error::need_more) {
      ec = {};
      break;
    }
    if (ec || consumed == 0) break;
  }
  return used;
}

// Obsolete line folding is interpreted in different ways by different programs.
bool HasFoldedLine(std::string_view head) {
  return head.find("\r\n ") != std::string_view::npos ||
         head.find("\r\n\t") != std::string_view::npos;
}

// A line feed without a carriage return ends a line for some parsers only, so
// that they may find the end of the head at different positions.
bool HasBareLineFeed(std::string_view head) {
  for (std::size_t at = head.find('\n'); at != std::string_view::npos;
       at = head.find('\n', at + 1)) {
    if (at == 0 || head[at - 1] != '\r') return true;
  }
  return false;
}

bool IsPlainNumber(std::string_view text) {
  return !text.empty() &&
         text.find_first_not_of("0123456789") == std::string_view::npos;
}

// Checks what RFC 9112, sections 3.2 and 6.1, forbids and Beast accepts.
// Returns the violation, or null.
const char* FindHeadError(const HttpFields& fields, std::string_view target) {
  if (CountFields(fields, "Host") != 1) return "not exactly one Host";
  const std::size_t lengths = CountFields(fields, "Content-Length");
  if (lengths > 1) return "two Content-Length";
  if (lengths == 1 &&
      !IsPlainNumber(FirstFieldValue(fields, "Content-Length"))) {
    return "a Content-Length that is no plain number";
  }
  const std::size_t codings = CountFields(fields, "Transfer-Encoding");
  if (codings > 1) return "two Transfer-Encoding";
  if (codings == 1) {
    if (!IsSameFieldName(FirstFieldValue(fields, "Transfer-Encoding"),
                         "chunked")) {
      return "a Transfer-Encoding other than chunked";
    }
    if (lengths > 0) return "two framings";
  }
  if (target.empty() || target.front() != '/') return "a target without path";
  return nullptr;
}

}  // namespace

struct RequestReaderState {
  std::size_t head_limit = 0;
  Parser<true> parser;
  ReadState state = ReadState::kHead;
  ReadError error = ReadError::kNone;
  std::string detail;
  HttpRequest request;
};

void RequestReaderDelete::operator()(RequestReaderState* state) const {
  delete state;
}

RequestReader::RequestReader(const ReadLimits& limits)
    : state_(new RequestReaderState) {
  state_->head_limit = limits.max_head_bytes;
  SetLimits(state_->parser, limits);
  state_->parser.eager(true);
}

std::size_t RequestReader::Feed(std::string_view bytes) {
  RequestReaderState& state = *state_;
  const auto fail = [&state](ReadError error, std::string detail) {
    state.state = ReadState::kFailed;
    state.error = error;
    state.detail = std::move(detail);
  };
  const bool had_head = state.parser.is_header_done();
  std::string_view head;
  if (!had_head) {
    // Beast consumes a head line by line. It is passed on only when complete,
    // so that all of it is at the start of `bytes` and can be checked as it was
    // sent.
    const std::size_t end = bytes.find("\r\n\r\n");
    head = bytes.substr(0, end);
    if (HasBareLineFeed(head)) {
      fail(ReadError::kSyntax, "a line feed by itself");
      return 0;
    }
    if (head.size() > state.head_limit) {
      fail(ReadError::kHeadTooLarge, "the head is too large");
      return 0;
    }
    if (end == std::string_view::npos) return 0;
  }
  error_code ec;
  const std::size_t used = FeedParser(state.parser, bytes, ec);
  if (ec == http::error::header_limit) {
    fail(ReadError::kHeadTooLarge, ec.message());
  } else if (ec == http::error::body_limit) {
    fail(ReadError::kBodyTooLarge, ec.message());
  } else if (ec) {
    fail(ReadError::kSyntax, ec.message());
  }
  if (state.state == ReadState::kFailed) return used;
  if (!state.parser.is_header_done()) return used;
  if (!had_head) {
    const char* error = HasFoldedLine(head) ? "a folded line" : nullptr;
    if (error == nullptr) {
      error = FindHeadError(state.parser.fields, state.parser.target);
    }
    if (error != nullptr) {
      fail(ReadError::kSyntax, error);
      return used;
    }
    state.state = ReadState::kBody;
  }
  if (state.parser.is_done()) {
    state.state = ReadState::kDone;
    state.request.method = std::move(state.parser.method);
    state.request.target = std::move(state.parser.target);
    state.request.fields = std::move(state.parser.fields);
    state.request.body = std::move(state.parser.body);
    state.request.keep_alive = state.parser.keep_alive();
    constexpr int kHttp11 = 11;
    state.request.supports_chunked = state.parser.version >= kHttp11;
  }
  return used;
}

ReadState RequestReader::state() const { return state_->state; }
ReadError RequestReader::error() const { return state_->error; }
const std::string& RequestReader::detail() const { return state_->detail; }
bool RequestReader::WantsContinue() const {
  return state_->state == ReadState::kBody &&
         IsSameFieldName(FirstFieldValue(state_->parser.fields, "Expect"),
                         "100-continue");
}
std::size_t RequestReader::held_bytes() const {
  return MemoryOf(state_->parser.fields) + state_->parser.body_memory();
}
HttpRequest& RequestReader::request() { return state_->request; }

struct AnswerReaderState {
  Parser<false> parser;
  ReadState state = ReadState::kHead;
  std::string detail;
  HttpAnswerHead head;
};

void AnswerReaderDelete::operator()(AnswerReaderState* state) const {
  delete state;
}

AnswerReader::AnswerReader(const ReadLimits& limits, bool no_body)
    : state_(new AnswerReaderState) {
  SetLimits(state_->parser, limits);
  state_->parser.eager(true);
  state_->parser.skip(no_body);
}

std::size_t AnswerReader::Feed(std::string_view bytes) {
  AnswerReaderState& state = *state_;
  error_code ec;
  const std::size_t used = FeedParser(state.parser, bytes, ec);
  if (state.state == ReadState::kHead && state.parser.is_header_done()) {
    state.state = ReadState::kBody;
    state.head.status = state.parser.status;
    state.head.reason = std::move(state.parser.reason);
    state.head.fields = std::move(state.parser.fields);
    state.head.keep_alive = state.parser.keep_alive();
    state.head.chunked = state.parser.chunked();
  }
  if (ec) {
    state.state = ReadState::kFailed;
    state.detail = ec.message();
  } else if (state.parser.is_done()) {
    state.state = ReadState::kDone;
  }
  return used;
}

void AnswerReader::FeedEof() {
  AnswerReaderState& state = *state_;
  if (state.state != ReadState::kBody) {
    if (state.state == ReadState::kHead) state.state = ReadState::kFailed;
    return;
  }
  error_code ec;
  state.parser.put_eof(ec);
  state.state = ec ? ReadState::kFailed : ReadState::kDone;
  if (ec) state.detail = ec.message();
}

ReadState AnswerReader::state() const { return state_->state; }
const std::string& AnswerReader::detail() const { return state_->detail; }
const HttpAnswerHead& AnswerReader::head() const { return state_->head; }
void AnswerReader::DropFields() { state_->head.fields = HttpFields(); }
std::string AnswerReader::TakeBody() {
  return std::exchange(state_->parser.body, {});
}

}  // namespace egretladder::net
