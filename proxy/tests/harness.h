// Nodes among stand-ins on loopback: a store, endpoints and callers whose every
// byte a test writes, and a dialect that names everything plainly.
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

/// One end of a connection.
class Wire {
 public:
  /// Opens a connection; `receive_buffer` in bytes, 0: the system's.
  Wire(kernel::Loop& loop, const std::string& address, int receive_buffer = 0);
  /// Takes one that was accepted.
  Wire(kernel::Loop& loop, evutil_socket_t fd);

  void Send(std::string_view bytes);
  /// Reads nothing more, or reads on.
  void Hold(bool hold);
  /// Reads `most` bytes at most while it is held.
  void TakeSome(std::size_t most);
  /// Once all that was sent has left: sends nothing more and reads on.
  void EndSending() { FinishBy(Finish::kEndSending); }
  /// The same, and ends the connection.
  void Close() { FinishBy(Finish::kClose); }
  /// The same with a reset.
  void Reset() { FinishBy(Finish::kReset); }

  /// All that came.
  const std::string& received() const { return received_; }
  /// The other side ended the connection.
  bool ended() const { return ended_; }
  /// Bytes that the system has not taken yet.
  std::size_t unsent() const;
  /// Bytes that came while it was held.
  std::size_t waiting() const;
  /// Called whenever something came or the other side ended it.
  void OnChange(std::function<void()> action) { changed_ = std::move(action); }

 private:
  enum class Finish : std::uint8_t { kNone, kEndSending, kClose, kReset };
  void Open();
  void FinishBy(Finish how);
  void DoFinish();

  net::Bufferevent buffer_;
  std::string received_;
  std::function<void()> changed_;
  Finish finish_ = Finish::kNone;
  bool ended_ = false;
};

/// Accepts connections; `accepted` owns them.
class Port {
 public:
  using Accepted = std::function<void(std::unique_ptr<Wire>)>;
  Port(kernel::Loop& loop, Accepted accepted);
  const std::string& address() const { return address_; }

 private:
  kernel::Loop& loop_;
  Accepted accepted_;
  std::string address_;
  net::Listener listener_;
};

/// An endpoint's whole answer to the request `id`.
std::string AnswerBytes(const std::string& id, int status,
                        const std::string& body);
/// Head of its stream of events, one event (`data`: its text), and the end.
std::string EventsHead(const std::string& id);
std::string EventBytes(int number, const std::string& data = "");
inline constexpr const char* kEventsEnd = "0\r\n\r\n";
/// What a caller gets of events `from` to `to`.
std::string EventsText(int from, int to);

/// A request at an endpoint, and the connection that brought it.
struct Served {
  Wire* wire = nullptr;
  net::HttpRequest request;

  std::string id() const;
  /// Last event that its caller got; 0: it begins anew.
  int after() const;
  void Answer(int status, const std::string& body) const;
  /// Says that it did not run it.
  void SayNotRun() const;
  /// The events `from` to `to` of a stream, with its head.
  void Begin(int from, int to) const;
};

/// An endpoint whose every answer a test writes.
class Endpoint {
 public:
  using Handler = std::function<void(const Served&)>;
  Endpoint(kernel::Loop& loop, Handler handler);

  const std::string& address() const { return port_.address(); }
  /// Connections read nothing from the start, or read on.
  void Hold(bool hold);
  /// Requests that came whole.
  const std::vector<Served>& seen() const { return seen_; }
  /// Connections so far, in their order.
  std::vector<Wire*> wires() const;

 private:
  struct Line {
    std::unique_ptr<Wire> wire;
    net::RequestReader reader{{16'384, 1U << 24U}};
    std::size_t read = 0;
  };
  void Read(Line& line);

  Handler handler_;
  std::list<Line> lines_;
  std::vector<Served> seen_;
  bool hold_ = false;
  Port port_;
};

/// Handlers that answer `done`, or leave it to the test.
Endpoint::Handler AnswersDone();
Endpoint::Handler AnswersLater();

/// An answer as its caller reads it.
struct Answer {
  int status = 0;  ///< 0: none came.
  std::string body;
  bool keep_alive = true;
};
/// Those that are complete.
std::vector<Answer> AnswersIn(const std::string& received);
/// `200`, or `503 no` with what the node said of whether it ran.
std::string Told(const Answer& answer);
/// What the first complete answer tells; empty: there is none.
std::string Told(const Wire& caller);

/// A store in the form of the test dialect.
class Store {
 public:
  explicit Store(kernel::Loop& loop);
  const std::string& address() const { return server_.address(); }
  void Put(const std::string& key, const std::string& value);
  void Remove(const std::string& key);
  /// Answers 503 to everything, or goes on.
  void SetAway(bool away);
  /// Takes requests and answers none of them any more, those that wait
  /// included, or goes on.
  void SetSilent(bool silent);
  /// Requests that came while it was silent.
  int unanswered() const { return unanswered_; }
  /// All requests.
  int calls() const { return calls_; }
  /// How long the last request would wait for changes; a list doesn't.
  std::chrono::milliseconds last_wait() const { return last_wait_; }

 private:
  struct Item {
    std::string value;
    std::uint64_t rev = 0;
    bool removed = false;
  };
  void Take(const net::HttpCallPtr& call);
  /// True when it is answered.
  bool TryAnswer(const net::HttpCallPtr& call);
  void Wake();
  /// Ends the watches that nothing changed for.
  void EndWatches();

  net::HttpServer server_;
  kernel::EventWatcher watch_end_;
  std::map<std::string, Item> items_;
  std::list<net::HttpCallPtr> watches_;
  std::uint64_t revision_ = 100;
  bool away_ = false;
  bool silent_ = false;
  int unanswered_ = 0;
  int calls_ = 0;
  std::chrono::milliseconds last_wait_{};
};

/// Routes of host `h` to the service `all`: `/read/` may run twice, `/once/`
/// may not; streams of `/talk/` go on elsewhere, those of `/tell/` don't. The
/// account `t` holds the keys `k1` and `k2`.
routing::RouteTable StandardTable();

/// A request of a caller that waits `wait_ms`.
struct Ask {
  std::string path;
  std::string id = "r";
  std::string body = "";
  std::string key = "k1";
  int wait_ms = 8000;
};
std::string RequestBytes(const Ask& ask);

/// All of it.
class World {
 public:
  World();

  /// Publishes a table under a version of its own.
  void Publish(routing::RouteTable table = StandardTable());
  /// Starts an endpoint of the service `all` and registers it.
  Endpoint& AddEndpoint(const std::string& id, Endpoint::Handler handler,
                        const std::string& zone = "a");
  /// Registers what listens at `address`; `state`: `serving` or `leaving`.
  /// A node alone sends two requests at a time to eight slots.
  void Register(const std::string& id, const std::string& address,
                const std::string& zone = "a",
                const std::string& state = "serving", int slots = 8);

  ProxyOptions OptionsOf(const std::string& node) const;
  Proxy& Start(const ProxyOptions& options);
  /// A node that knows the standard table and all endpoints so far.
  Proxy& StartReady();
  /// Ends a node at once, as when its process is killed.
  void Kill(Proxy& proxy);

  /// Turns the loop until `done` holds; fails the test when it never does.
  void Until(const std::function<bool()>& done);
  void Turn(std::chrono::milliseconds time);
  void UntilKnown(Proxy& proxy, std::size_t endpoints);
  /// Until the rules published last are in force.
  void UntilRules(Proxy& proxy);
  void MoveClock(std::chrono::milliseconds step) { ahead_ += step; }

  /// Sends a request on a connection of its own, which stays open.
  Wire& Send(Proxy& proxy, const Ask& ask);
  /// A connection without a request.
  Wire& Connect(const std::string& address, int receive_buffer = 0);
  /// Sends it and waits for its answer or the connection's end.
  Answer Get(Proxy& proxy, const Ask& ask);
  /// What the answer tells.
  std::string AskFor(Proxy& proxy, const Ask& ask);

  kernel::Loop loop;
  Store store;

 private:
  std::chrono::nanoseconds ahead_{};
  std::uint64_t version_ = 0;
  kernel::EventWatcher wake_;
  std::map<std::string, std::unique_ptr<Endpoint>> endpoints_;
  std::list<std::unique_ptr<Wire>> wires_;
  std::list<ProxyPtr> proxies_;
};

}  // namespace egretladder::proxy::test
