// HTTP/1.1 server for callers, on libevent. It accepts connections, reads and
// checks complete requests (http_reader.h) and writes answers.
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
#include "egretladder/net/server_group.h"
#include "egretladder/net/socket.h"

namespace egretladder::net {

/// Limits for what callers may send and how long they may take. A change
/// applies to requests that begin later.
struct ServerLimits {
  ReadLimits size{std::size_t{16} << 10U, std::size_t{4} << 20U};
  std::chrono::milliseconds head_timeout{
      3000};  ///< From the first byte of the head.
  std::chrono::milliseconds body_timeout{
      kRequestBodyTimeout};                       ///< From the end of the head.
  std::chrono::milliseconds idle_timeout{15000};  ///< Between two requests.
  /// The connection is closed if the caller receives nothing of its answer for
  /// this long.
  std::chrono::milliseconds write_timeout{30000};
  /// Open at the same time. If there are more, those are closed that have
  /// waited for their callers for longest.
  std::size_t connections = 2000;
};

class HttpConnection;

/// One request of a caller and its answer. Begins with the complete request.
/// Ends with `Answer`, `End` or `Break`, or when the caller disconnects.
class HttpCall {
 public:
  HttpCall(std::shared_ptr<HttpConnection> connection, HttpRequest request);

  const HttpRequest& request() const { return request_; }
  /// Frees the body of the request, once it won't be sent again. No exchange
  /// may refer to it.
  void DropBody() { request_.body = std::string(); }

  /// Sets the action that is called once if the caller disconnects before the
  /// end of its answer. Replaces an earlier one.
  void OnDisconnect(std::function<void()> action) {
    on_disconnect_ = std::move(action);
  }

  /// Sets the action that is called each time the output buffer has become
  /// empty.
  void OnDrained(std::function<void()> action) {
    on_drained_ = std::move(action);
  }

  /// Sends a complete answer. If one has begun already, the call is aborted
  /// instead, and an error is logged.
  void Answer(int status, std::string_view reason, const HttpFields& fields,
              std::string_view body);
  /// Sends the head of an answer whose length is not known yet. If one has
  /// begun already, the call is aborted instead, and an error is logged.
  /// `kNone`: its end is the end of the connection, as it always is for callers
  /// that don't support chunks.
  void Begin(int status, std::string_view reason, const HttpFields& fields,
             BodyFraming framing = BodyFraming::kChunked);
  /// Sends a piece of its body.
  void Send(std::string_view piece);
  /// Ends the answer regularly.
  void End();
  /// Closes the connection so that an incomplete answer doesn't look complete.
  void Abort();

  /// The head of an answer was sent by `Begin`.
  bool begun() const { return begun_; }
  /// The answer that has begun says itself where it ends.
  bool framed() const { return chunked_; }
  /// The call has ended, or the caller has disconnected.
  bool over() const { return connection_ == nullptr; }
  /// Bytes of the output buffer that were not sent yet.
  std::size_t UnsentBytes() const;

 private:
  friend class HttpConnection;
  void Finish(bool close);
  bool MustClose() const;
  /// Returns true if an answer has begun, and aborts it. `status` is that of
  /// another answer.
  bool AbortIfBegun(int status);

  std::shared_ptr<HttpConnection> connection_;
  HttpRequest request_;
  std::function<void()> on_disconnect_;
  std::function<void()> on_drained_;
  bool begun_ = false;
  bool chunked_ = false;
};
/// Shared by the connection and the code that produces the answer.
using HttpCallPtr = std::shared_ptr<HttpCall>;

/// Handlers of a server.
struct ServerHandlers {
  std::function<void(const HttpCallPtr&)> on_request;
  /// Called when an invalid request was refused with `status`. Optional.
  std::function<void(int status, const std::string& why)> on_refused;
  /// Returns true if there is room for a request of which so many bytes were
  /// received so far. The group has counted them. Otherwise it is refused with
  /// 503. Not set: there always is.
  std::function<bool(std::size_t bytes)> has_room;
  /// Returns the body of the answer to such a request. Not set: an empty body.
  std::function<std::string(int status, std::string_view why)> refusal_body;
  /// Creates the bufferevent of an accepted socket, for example with TLS. Not
  /// set: plain TCP.
  std::function<Bufferevent(event_base* base, evutil_socket_t fd)> make_buffer;
};

/// A server on one address.
class HttpServer {
 public:
  /// `group`: the servers with which it shares memory. Null: it is alone, and
  /// closes no connection for what its callers leave unread.
  HttpServer(kernel::Loop& loop, ServerHandlers handlers,
             ServerGroupPtr group = nullptr);
  ~HttpServer();
  HttpServer(const HttpServer&) = delete;
  HttpServer& operator=(const HttpServer&) = delete;

  /// `address` is `IP:port`, with port 0 for any free port. Fails with
  /// `kUnavailable` if it can't be bound.
  kernel::Result<void> Listen(const std::string& address);
  /// The address with the port that was bound.
  const std::string& address() const;
  void SetLimits(const ServerLimits& limits);
  /// From now on each answer closes its connection.
  void CloseAfterAnswers();
  /// Leaves connections to the kernel when the process is killed within an
  /// answer that their end completes. It closes them in good order, so that the
  /// answer looks complete. By default they are reset.
  void EndInGoodOrderWhenKilled();
  /// Closes the listener, so that new connections are refused. Connections that
  /// the kernel has already accepted are served.
  void StopListening();
  /// Number of open connections. At the limit, while none waits for its caller,
  /// new connections wait in the listen backlog.
  std::size_t connections() const;
  /// Connections closed so far to make room for others.
  std::uint64_t closed_waiting() const;
  /// Number of connections with an incomplete request. If the process ended
  /// now, their callers would only see a closed connection, which doesn't tell
  /// them that the request did not run.
  std::size_t incomplete_requests() const;
  /// Answers incomplete requests with 503 and closes their connections.
  void RefuseIncompleteRequests(const std::string& why);
  /// Number of connections with an answer that is not delivered yet: there are
  /// bytes that the caller has not acknowledged, or the caller has not closed a
  /// connection that ends with the answer. If the process ended now, these
  /// answers could be truncated.
  std::size_t undelivered() const;
  /// Size of the output that callers have not taken yet, of all connections.
  std::size_t unsent_bytes() const;

 private:
  friend class HttpConnection;
  struct State;
  std::shared_ptr<State> state_;
};

}  // namespace egretladder::net
