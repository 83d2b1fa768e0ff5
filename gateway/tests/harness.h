// Fakes at the wires and a loop that runs until something has happened. The
// gateways' clock is a paused one that moves with each turn of the loop, so
// that waiting costs no real time.
#pragma once

#include <event2/buffer.h>
#include <event2/bufferevent.h>
#include <event2/http.h>
#include <event2/listener.h>

#include <functional>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <vector>

#include "egretladder/gateway/gateway.h"
#include "egretladder/kernel/loop.h"
#include "egretladder/kernel/time.h"

namespace egretladder::gateway::testing {

/// Loop and clock of one test.
struct TestLoop {
  TestLoop();
  kernel::ManualClock clock;
  kernel::Loop loop;
};

/// Turns the loop until `happened`; false when the watchdog's seconds of
/// real time went by first.
bool RunUntil(TestLoop& loop, const std::function<bool()>& happened);

struct ServerFree {
  void operator()(evhttp* server) const { evhttp_free(server); }
};

/// One request as a fake server got it.
struct Seen {
  std::string path;
  std::string body;
  std::map<std::string, std::string> headers;
};

/// An endpoint or platform over evhttp. `handler` answers what is not
/// `/report`; without one the answer is `{"ok":true}`.
class FakeServer {
 public:
  explicit FakeServer(TestLoop& loop);

  std::string address;
  std::vector<Seen> seen;
  std::size_t closed = 0;  ///< Connections that ended during a request.
  std::function<void(evhttp_request*)> handler;
  /// Paths whose answers say that the server leaves.
  std::set<std::string> leaving_paths;
  std::size_t reports = 0;  ///< Reports answered so far.
  /// Stops listening; open connections stay.
  void StopListening();

 private:
  static void OnRequest(evhttp_request* request, void* arg);
  std::unique_ptr<evhttp, ServerFree> server_;
  evhttp_bound_socket* bound_ = nullptr;
};

/// A server that answers each request with fixed bytes, or with what `handler`
/// returns, and then, when asked to, closes.
class RawServer {
 public:
  RawServer(TestLoop& loop, std::string answer, bool close);
  ~RawServer();
  /// Refuses new connections; those open stay open.
  void StopListening();
  std::string address;
  std::size_t requests = 0;
  /// Returns the bytes that answer a request. Connections count from 0.
  std::function<std::string(std::size_t connection)> handler;

 private:
  struct Connection;
  friend struct RawServerEvents;
  std::string answer_;
  bool close_;
  TestLoop& loop_;
  evconnlistener* listener_ = nullptr;
  std::vector<bufferevent*> connections_;
};

/// A caller with a plain socket: sends bytes, keeps what comes back.
class RawCaller {
 public:
  RawCaller(TestLoop& loop, const std::string& address);
  ~RawCaller();
  void Send(const std::string& bytes);
  /// Closes the connection at once.
  void Leave();
  /// Stops and goes on taking bytes off the socket.
  void SetReading(bool reading);
  std::string got;
  bool ended = false;

 private:
  friend struct RawCallerEvents;
  bufferevent* buffer_ = nullptr;
};

/// The request text of a chat call.
std::string ChatRequest(const std::string& body,
                        const std::string& headers = "");
std::string ChatBodyText(bool stream);
/// Status of the first answer in `text`; 0 while incomplete.
int StatusIn(const std::string& text);
/// True when the whole first answer, by its length or last chunk, is there.
bool IsWhole(const std::string& text);

/// A node on the loop.
GatewayPtr StartTestNode(TestLoop& loop, const std::string& name,
                         const std::string& platform,
                         const Limits& limits = Limits());

/// A platform that publishes rules with the endpoints and nodes given.
struct RulesParts {
  /// Addresses; all serve everything.
  std::vector<std::string> endpoints = {};
  std::vector<std::string> nodes = {};  ///< `name = ...` lines.
  /// Addresses of endpoints that serve `seats` only and give no reports.
  std::vector<std::string> services = {};
};
std::string NodeLine(const std::string& name, const Gateway& node);
std::string RulesText(const RulesParts& parts);
void Publish(FakeServer& platform, const std::string& rules);

/// A test loop, platform, endpoint and node that serves the model `m`.
struct OneNode {
  OneNode();
  explicit OneNode(const Limits& limits);
  void Start(const std::string& endpoint_address, const Limits& limits);

  TestLoop loop;
  FakeServer endpoint{loop};
  FakeServer platform{loop};
  GatewayPtr node;
};

}  // namespace egretladder::gateway::testing
