// HTTP/1.1 client for calls to endpoints. It reuses connections and delivers
// answers piece by piece.
#pragma once

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <string_view>

#include "egretladder/kernel/loop.h"
#include "egretladder/net/http_message.h"

namespace egretladder::net {

/// How an exchange failed. Determines whether the request may be sent again.
enum class ExchangeError : std::uint8_t {
  kNotConnected,  ///< The connection was refused: no byte was sent.
  kNotOpened,     ///< It didn't open in time: no byte was sent.
  kBroken,        ///< The connection was lost: the outcome is unknown.
  kBadAnswer,     ///< The answer is not valid HTTP or is too large.
};

/// What the handler of an answer's head decides.
enum class HeadVerdict : std::uint8_t {
  kAccept,
  /// The answer is accepted, and doesn't name its request: a copy of it could
  /// be taken for any other one. The connection isn't used again.
  kAcceptLast,
  /// The answer belongs to another request: it is discarded, and the exchange
  /// waits for the next one.
  kSkip,
};

/// What showed that an answer has ended.
enum class AnswerEnd : std::uint8_t {
  kFraming,     ///< Its length or its last chunk, or it has no body.
  kConnection,  ///< The end of the connection alone, as when a process ends.
};

/// Handlers of an exchange, called from the event loop. None is called after
/// `on_end` or `on_error`. A handler may cancel its own exchange.
struct ExchangeHandlers {
  /// Called when a new connection is open, `elapsed` after it was asked for.
  std::function<void(std::chrono::milliseconds elapsed)> on_connected;
  /// Called before the first byte is sent. Returns false to cancel the
  /// exchange; no other handler is called then.
  std::function<bool()> may_send;
  std::function<HeadVerdict(const HttpAnswerHead&)> on_head;
  std::function<void(std::string_view piece)> on_body;
  std::function<void(AnswerEnd)> on_end;
  std::function<void(ExchangeError, const std::string& detail)> on_error;
};

/// Which idle connections a request may reuse.
enum class ConnectionReuse : std::uint8_t {
  kAny,           ///< Any that the endpoint should still keep open.
  kRecentlyUsed,  ///< Only one that the endpoint can't be closing yet.
  kNone,          ///< None: the request waits for a new connection.
  /// Any that is still open, whatever its age. No other one is opened in its
  /// place: its loss is the answer.
  kOpenOnly,
};

/// One request to be sent.
struct ExchangeRequest {
  std::string address;  ///< `IP:port`.
  std::string head;     ///< Request line and fields, ready to be sent.
  /// Not copied, as it may be large. Null: there is none.
  std::shared_ptr<const std::string> body;
  bool is_head_request =
      false;  ///< The method is HEAD: the answer has no body.
  /// The id that its answers bear; empty: they bear none. It isn't sent on a
  /// connection that has carried a refusal of that id, as a copy of the refusal
  /// may come there at any later time, and the id doesn't tell it from the
  /// answer. Nor is it sent after a refusal of a request without an id.
  std::string id;
  /// The id of the request that is to follow on the same connection; empty:
  /// any may. The exchange avoids the connections that this one has to avoid.
  std::string successor_id;
  ConnectionReuse reuse = ConnectionReuse::kAny;
  std::chrono::milliseconds connect_timeout{};  ///< 0: `kHttpConnectTimeout`.
};

class HttpExchange;
/// Refers to an exchange. Releasing it does not cancel the exchange.
using HttpExchangePtr = std::shared_ptr<HttpExchange>;

/// Cancels an exchange: its connection is closed, so that the endpoint can stop
/// its work, and no handler is called any more. Null is allowed.
void Cancel(const HttpExchangePtr& exchange);
/// Pauses or resumes reading the answer, for a caller that reads slowly. Null
/// is allowed.
void SetReading(const HttpExchangePtr& exchange, bool reading);
/// Returns the number of the connection that the exchange uses or has used
/// last: the client's connections count from 1 in the order in which they were
/// opened. 0: none. Null is allowed.
std::uint64_t ConnectionNumber(const HttpExchangePtr& exchange);

/// A client for any number of addresses. Idle connections are kept and reused,
/// the most recently used first.
class HttpClient {
 public:
  explicit HttpClient(kernel::Loop& loop);
  ~HttpClient();
  HttpClient(const HttpClient&) = delete;
  HttpClient& operator=(const HttpClient&) = delete;

  /// Sends a request. No handler is called before this returns.
  HttpExchangePtr Start(ExchangeRequest request, ExchangeHandlers handlers);
  /// Marks the idle connection to the address that was used last, if there is
  /// one, with what the caller knows of its other end.
  void MarkReusable(const std::string& address, std::uint64_t mark);
  /// Closes the idle connections to the address that have that mark.
  void CloseIdle(const std::string& address, std::uint64_t mark);
  /// Returns true if the request `id` to the address would reuse a connection
  /// with that mark. A new connection has the mark 0.
  bool HasReusable(const std::string& address, ConnectionReuse reuse,
                   const std::string& id, std::uint64_t mark) const;
  /// Number of connections opened so far.
  std::uint64_t connections_opened() const;

  /// Defined in the source file.
  struct State;

 private:
  std::shared_ptr<State> state_;
};

}  // namespace egretladder::net
