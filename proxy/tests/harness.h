// Test harness: proxy nodes on loopback with a fake store, fake endpoints and
// callers whose every byte a test controls, and a minimal platform dialect.
#pragma once

#include <chrono>
#include <cstdint>
#include <functional>
#include <list>
#include <map>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

#include "egretladder/kernel/loop.h"
#include "egretladder/net/http_reader.h"
#include "egretladder/net/http_server.h"
#include "egretladder/net/socket.h"
#include "egretladder/proxy/proxy.h"
#include "egretladder/routing/route_table.h"

namespace egretladder::proxy::test {

/// One side of a TCP connection.
class TestConnection {
 public:
  /// Connects to `address`. `receive_buffer` is the size of the socket's
  /// receive buffer in bytes; 0 keeps the system's default.
  TestConnection(kernel::Loop& loop, const std::string& address,
                 int receive_buffer = 0);
  /// Takes ownership of an accepted socket.
  TestConnection(kernel::Loop& loop, evutil_socket_t fd);

  void Send(std::string_view bytes);
  /// Stops or resumes reading from the socket.
  void PauseReading(bool paused);
  /// Reads up to `max_bytes` from the socket while reading is paused.
  void ReadSome(std::size_t max_bytes);
  /// Shuts down the sending side once all sent bytes were written. Reading
  /// continues.
  void ShutdownWrite() { StartFinish(Finish::kShutdownWrite); }
  /// Closes the connection once all sent bytes were written.
  void Close() { StartFinish(Finish::kClose); }
  /// Resets the connection once all sent bytes were written.
  void Reset() { StartFinish(Finish::kReset); }

  /// All bytes received so far.
  const std::string& received() const { return received_; }
  /// True once the other side has ended the connection.
  bool ended() const { return ended_; }
  /// Bytes that are not yet written to the socket.
  std::size_t unsent_bytes() const;
  /// Bytes in the socket's receive buffer that are not yet read.
  std::size_t unread_bytes() const;
  /// Sets the function that is called after bytes were received or the other
  /// side ended the connection.
  void OnChange(std::function<void()> action) {
    on_change_ = std::move(action);
  }

 private:
  enum class Finish : std::uint8_t { kNone, kShutdownWrite, kClose, kReset };
  void SetCallbacks();
  void StartFinish(Finish finish);
  void FinishNow();

  net::Bufferevent buffer_;
  std::string received_;
  std::function<void()> on_change_;
  Finish finish_ = Finish::kNone;
  bool ended_ = false;
};

/// Listens on a free loopback port and passes accepted connections to a
/// handler, which owns them.
class TestListener {
 public:
  using AcceptHandler = std::function<void(std::unique_ptr<TestConnection>)>;
  TestListener(kernel::Loop& loop, AcceptHandler on_accept);
  const std::string& address() const { return address_; }

 private:
  kernel::Loop& loop_;
  AcceptHandler on_accept_;
  std::string address_;
  net::Listener listener_;
};

/// An endpoint's complete HTTP answer to the request `id`.
std::string FormatAnswer(const std::string& id, int status,
                         const std::string& body);
/// The head of an endpoint's event stream that answers the request `id`.
std::string FormatStreamHead(const std::string& id);
/// One event as a chunk of the HTTP body. The event id is `number`; an empty
/// `data` stands for "t" and the number.
std::string FormatEventChunk(int number, const std::string& data = "");
/// The chunk that ends a stream.
inline constexpr const char* kLastChunk = "0\r\n\r\n";
/// The events `from` to `to` without chunk framing, as a caller decodes them.
std::string FormatEvents(int from, int to);

/// Path of an endpoint's report. Fake endpoints have none and answer 404.
inline constexpr const char* kReportTarget = "/report";

/// A request that an endpoint received, and its connection.
struct EndpointRequest {
  TestConnection* connection = nullptr;
  net::HttpRequest http;

  std::string id() const;
  /// Id of the last event that the caller got; 0 for a stream from its start.
  int last_event_id() const;
  void Answer(int status, const std::string& body) const;
  /// Answers 503 with the statement that the request was not run.
  void AnswerNotRun() const;
  /// Sends the head of a stream and the events `from` to `to`.
  void BeginStream(int from, int to) const;
};

/// An endpoint whose answers a test writes.
class FakeEndpoint {
 public:
  using Handler = std::function<void(const EndpointRequest&)>;
  FakeEndpoint(kernel::Loop& loop, Handler handler);

  const std::string& address() const { return listener_.address(); }
  void SetHandler(Handler handler) { handler_ = std::move(handler); }
  /// Stops or resumes reading on all connections, later ones included.
  void PauseReading(bool paused);
  /// Closes all connections in good order, as the kernel of a process that
  /// ends. Another process like it listens at once.
  void EndProcess();
  /// Requests that were received completely, in order of arrival.
  const std::vector<EndpointRequest>& requests() const { return requests_; }
  /// All accepted connections, in order.
  std::vector<TestConnection*> connections() const;

 private:
  struct Client {
    std::unique_ptr<TestConnection> connection;
    net::RequestReader reader{{16'384, 1U << 24U}};
    std::size_t parsed_bytes = 0;
  };
  void ReadRequests(Client& client);

  Handler handler_;
  std::list<Client> clients_;
  std::vector<EndpointRequest> requests_;
  bool is_reading_paused_ = false;
  TestListener listener_;
};

/// A handler that answers each request with 200 and the body "done".
FakeEndpoint::Handler AnswerImmediately();
/// A handler that sends nothing; the test answers.
FakeEndpoint::Handler LeaveUnanswered();

/// An answer as its caller parses it.
struct Answer {
  int status = 0;  ///< 0: no complete answer was received.
  std::string body;
  bool keep_alive = true;
};
/// The complete answers in `received`.
std::vector<Answer> ParseAnswers(const std::string& received);
/// The status, followed by the node's statement whether the request ran if the
/// answer has one: `200`, or for example `503 no`.
std::string DescribeAnswer(const Answer& answer);
/// Describes the first complete answer that `caller` received; empty if there
/// is none.
std::string DescribeAnswer(const TestConnection& caller);

/// A fake store in the format of the test dialect.
class FakeStore {
 public:
  explicit FakeStore(kernel::Loop& loop);
  const std::string& address() const { return server_.address(); }
  void Put(const std::string& key, const std::string& value);
  void Remove(const std::string& key);
  /// While unavailable, answers 503 to all requests, pending watches included.
  void SetUnavailable(bool unavailable);
  /// While silent, accepts requests and answers none. Pending watches are never
  /// answered.
  void SetSilent(bool silent);
  /// Number of requests received while silent.
  int unanswered() const { return unanswered_; }
  /// Number of all requests.
  int call_count() const { return call_count_; }
  /// How long the last request asked to wait for changes; 0 for a list.
  std::chrono::milliseconds last_wait() const { return last_wait_; }

 private:
  struct Item {
    std::string value;
    std::uint64_t rev = 0;
    bool removed = false;
  };
  void HandleRequest(const net::HttpCallPtr& call);
  /// Answers the request unless it is a watch without changes. Returns true if
  /// it was answered.
  bool TryAnswer(const net::HttpCallPtr& call);
  void AnswerChangedWatches();
  /// Answers all pending watches without changes.
  void EndWatches();

  net::HttpServer server_;
  kernel::EventWatcher watch_end_timer_;
  std::map<std::string, Item> items_;
  std::list<net::HttpCallPtr> watches_;
  std::uint64_t revision_ = 100;
  bool is_unavailable_ = false;
  bool is_silent_ = false;
  int unanswered_ = 0;
  int call_count_ = 0;
  std::chrono::milliseconds last_wait_{};
};

/// Routes of host `h` to the service `all`. Requests to `/read/` are
/// idempotent, those to `/once/` are not; streams of `/talk/` can be resumed at
/// another endpoint, those of `/tell/` can't. The account `t` holds the keys
/// `k1` and `k2`.
routing::RouteTable MakeRouteTable();

/// A request of a caller. The caller waits `timeout_ms` for its answer.
struct TestRequest {
  std::string path;
  std::string id = "r";
  std::string body = "";
  std::string key = "k1";
  int timeout_ms = 8000;
};
std::string FormatRequest(const TestRequest& request);

/// An event loop with a fake store, fake endpoints, nodes and callers.
class TestEnvironment {
 public:
  TestEnvironment();

  /// Publishes a route table under the next version number.
  void Publish(routing::RouteTable table = MakeRouteTable());
  /// Starts an endpoint of the service `all` and registers it in the store.
  FakeEndpoint& AddEndpoint(const std::string& id,
                            FakeEndpoint::Handler handler,
                            const std::string& zone = "a");
  /// Registers an endpoint of the service `all` at `address`. `state` is
  /// `serving` or `leaving`. With eight slots, a node without peers has at most
  /// two requests in flight there.
  void Register(const std::string& id, const std::string& address,
                const std::string& zone = "a",
                const std::string& state = "serving", int slots = 8,
                const std::string& software_version = "");

  ProxyOptions MakeOptions(const std::string& node) const;
  Proxy& StartNode(const ProxyOptions& options);
  /// Publishes the default route table and starts the node `n1`, which is ready
  /// and knows all endpoints added so far.
  Proxy& StartReadyNode();
  /// Destroys a node at once, as when its process is killed.
  void KillNode(Proxy& proxy);

  /// Runs the loop until `done` returns true. Fails the test after 20 s.
  void WaitUntil(const std::function<bool()>& done);
  void RunLoopFor(std::chrono::milliseconds time);
  /// Runs the loop until the node is ready and knows so many endpoints.
  void WaitUntilReady(Proxy& proxy, std::size_t endpoints);
  /// Runs the loop until the rules published last are in force at the node.
  void WaitUntilRulesApplied(Proxy& proxy);
  void AdvanceClock(std::chrono::milliseconds step) { clock_offset_ += step; }

  /// Sends a request on a new connection and leaves the connection open.
  TestConnection& SendRequest(Proxy& proxy, const TestRequest& request);
  /// Opens a connection without sending a request.
  TestConnection& Connect(const std::string& address, int receive_buffer = 0);
  /// Sends a request and waits for its answer or the end of the connection.
  Answer SendAndWait(Proxy& proxy, const TestRequest& request);
  /// Sends a request, waits, and describes the answer; see `DescribeAnswer`.
  std::string SendAndDescribe(Proxy& proxy, const TestRequest& request);

  kernel::Loop loop;
  FakeStore store;

 private:
  std::chrono::nanoseconds clock_offset_{};
  std::uint64_t version_ = 0;
  kernel::EventWatcher loop_timer_;
  std::map<std::string, std::unique_ptr<FakeEndpoint>> endpoints_;
  std::list<std::unique_ptr<TestConnection>> connections_;
  std::list<ProxyPtr> proxies_;
};

}  // namespace egretladder::proxy::test
