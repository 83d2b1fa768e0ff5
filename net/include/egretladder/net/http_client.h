// Endpoints' side of HTTP/1.1: connections that are used again, requests sent,
// answers read piece by piece.
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

/// How an exchange failed. Decides what may be sent again.
enum class ExchangeError : std::uint8_t {
  kNotConnected,  ///< No byte of the request left.
  kBroken,        ///< The connection ended or went silent: outcome unknown.
  kBadAnswer,     ///< What came back is no answer, or not a whole one.
};

/// What the taker of an answer does with its head.
enum class HeadVerdict : std::uint8_t {
  kAccept,
  /// It belongs to another request: read past it and wait for the right one.
  kSkip,
};

/// Called from the loop. After `on_end` or `on_error` nothing more comes.
struct ExchangeHandlers {
  /// The first byte of the request is about to leave. False: don't send.
  std::function<bool()> may_send;
  std::function<HeadVerdict(const HttpAnswerHead&)> on_head;
  std::function<void(std::string_view piece)> on_body;
  std::function<void()> on_end;
  std::function<void(ExchangeError, const std::string& detail)> on_error;
};

/// Which open connections a request may take.
enum class ConnectionReuse : std::uint8_t {
  kAny,           ///< Any that the endpoint is expected to keep open.
  kRecentlyUsed,  ///< Only one that it can't be closing yet.
  kNone,          ///< None: nothing leaves until a new one is accepted.
};

/// One request to be sent.
struct ExchangeRequest {
  std::string address;  ///< `IP:port`.
  std::string head;
  std::string body;
  bool is_head_request =
      false;  ///< The method is HEAD: the answer has no body.
  ConnectionReuse reuse = ConnectionReuse::kAny;
  std::chrono::milliseconds connect_time{};  ///< 0: the standard.
};

class HttpExchange;
/// Keeps an exchange going; letting it go does not stop it.
using HttpExchangePtr = std::shared_ptr<HttpExchange>;

/// Stops an exchange: its connection is closed, and no handler is called any
/// more. The endpoint sees the close and stops work.
void Cancel(const HttpExchangePtr& exchange);
/// Holds back or goes on reading, while the caller is slow.
void SetReading(const HttpExchangePtr& exchange, bool reading);

/// Connections to any number of addresses, kept for reuse, last used first.
class HttpClient {
 public:
  explicit HttpClient(kernel::Loop& loop);
  ~HttpClient();
  HttpClient(const HttpClient&) = delete;
  HttpClient& operator=(const HttpClient&) = delete;

  /// Sends a request. Handlers are called from the loop, never from in here.
  HttpExchangePtr Start(ExchangeRequest request, ExchangeHandlers handlers);
  /// Connections opened since the start.
  std::uint64_t connections_opened() const;

  /// Known to the sources only.
  struct State;

 private:
  std::shared_ptr<State> state_;
};

}  // namespace egretladder::net
