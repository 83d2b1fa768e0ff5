// Callers' side of HTTP/1.1: connections accepted, requests read whole and
// checked, answers written. Source: libevent, and Boost.Beast through
// http_reader.h.
#pragma once

#include <chrono>
#include <cstddef>
#include <functional>
#include <memory>
#include <string>
#include <string_view>

#include "egretladder/kernel/error.h"
#include "egretladder/kernel/loop.h"
#include "egretladder/net/http_message.h"
#include "egretladder/net/http_reader.h"
#include "egretladder/net/limits.h"
#include "egretladder/net/socket.h"

namespace egretladder::net {

/// What callers may send, and how long they may take. May change at any time;
/// it holds for requests that begin later.
struct ServerLimits {
  ReadLimits size{std::size_t{16} << 10U, std::size_t{4} << 20U};
  std::chrono::milliseconds head_timeout{3000};  ///< From its first byte.
  std::chrono::milliseconds body_timeout{
      kRequestBodyTime};                          ///< After its head.
  std::chrono::milliseconds idle_timeout{15000};  ///< Between two requests.
  /// A caller that takes nothing of its answer for this long is dropped.
  std::chrono::milliseconds write_timeout{30000};
  std::size_t connections = 2000;
};

class HttpConnection;

/// One request of a caller and its answer. Begins when the request was read
/// whole; ends with `Answer`, `End` or `Break`, or when the caller goes.
class HttpCall {
 public:
  HttpCall(std::shared_ptr<HttpConnection> connection, HttpRequest request);

  const HttpRequest& request() const { return request_; }
  /// Lets the body go once it can't be sent again.
  void DropBody() { request_.body = std::string(); }

  /// Called once if the caller goes before its answer ended. Set it again to
  /// replace it.
  void OnDisconnect(std::function<void()> action) { gone_ = std::move(action); }

  /// Called each time the caller has taken all that was passed on.
  void OnDrained(std::function<void()> action) { drained_ = std::move(action); }

  /// Gives a whole answer.
  void Answer(int status, std::string_view reason, const HttpFields& fields,
              std::string_view body);
  /// Begins an answer whose end is not known yet.
  void Begin(int status, std::string_view reason, const HttpFields& fields);
  /// Passes on a piece of it.
  void Send(std::string_view piece);
  /// Ends it as complete.
  void End();
  /// Closes the connection, so that half an answer can't look complete.
  void Abort();

  bool begun() const { return begun_; }
  bool over() const { return connection_ == nullptr; }
  /// Bytes that the caller has not taken yet.
  std::size_t UnsentBytes() const;

 private:
  friend class HttpConnection;
  void Finish(bool close);
  bool MustClose() const;

  std::shared_ptr<HttpConnection> connection_;
  HttpRequest request_;
  std::function<void()> gone_;
  std::function<void()> drained_;
  bool begun_ = false;
  bool chunked_ = false;
};
/// Shared by the connection and whoever works on the answer.
using HttpCallPtr = std::shared_ptr<HttpCall>;

/// What a server does with what it reads.
struct ServerHandlers {
  std::function<void(const HttpCallPtr&)> on_request;
  /// A request that can't be read was refused with `status`.
  std::function<void(int status, const std::string& why)> on_refused;
  /// Body of such an answer, in the product's own form.
  std::function<std::string(int status, std::string_view why)> refusal_body;
  /// Makes the buffer of an accepted socket, for instance with TLS; not set:
  /// plain.
  std::function<Bufferevent(event_base* base, evutil_socket_t fd)> make_buffer;
};

/// Listens on one address.
class HttpServer {
 public:
  HttpServer(kernel::Loop& loop, ServerHandlers handlers);
  ~HttpServer();
  HttpServer(const HttpServer&) = delete;
  HttpServer& operator=(const HttpServer&) = delete;

  /// `address`: `IP:port`, port 0 for any. Fails when it can't be bound.
  kernel::Result<void> Listen(const std::string& address);
  /// The address bound.
  const std::string& address() const;
  void SetLimits(const ServerLimits& limits);
  /// From now on each answer ends its connection.
  void CloseAfterAnswers();
  /// New connections are refused from now on.
  void StopListening();
  /// Connections now open. At most as many as the limits say; more wait in the
  /// backlog until one closes.
  std::size_t connections() const;
  /// Connections whose caller has sent a part of a request so far. A process
  /// that ends before the rest leaves it with a connection that closes, which
  /// doesn't say that nothing ran.
  std::size_t incomplete_requests() const;
  /// Answers these as not run, and ends their connections.
  void RefuseIncompleteRequests(const std::string& why);
  /// Connections whose caller hasn't taken its answer yet: bytes wait to be
  /// written, or the caller hasn't closed a connection that the answer ended.
  /// A process that ends before cuts these answers.
  std::size_t undelivered() const;

 private:
  friend class HttpConnection;
  struct State;
  std::shared_ptr<State> state_;
};

}  // namespace egretladder::net
