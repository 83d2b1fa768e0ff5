#include "harness.h"

#include <netinet/in.h>
#include <sys/socket.h>

#include <algorithm>
#include <chrono>
#include <cstdio>
#include <cstdlib>

using namespace std::chrono_literals;

namespace egretladder::gateway::testing {
namespace {

// Virtual time of one turn of the loop.
constexpr auto kTurn = 20ms;

std::string AddressOf(evutil_socket_t fd) {
  sockaddr_in name{};
  socklen_t size = sizeof(name);
  getsockname(fd, reinterpret_cast<sockaddr*>(&name), &size);
  return "127.0.0.1:" + std::to_string(ntohs(name.sin_port));
}

// Real time after which a test gives up on an event that should have come. Far
// above what the slowest test takes, so that a busy machine fails none.
constexpr std::chrono::seconds kWatchdog{30};

sockaddr_in Loopback(std::uint16_t port) {
  sockaddr_in address{};
  address.sin_family = AF_INET;
  address.sin_port = htons(port);
  address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
  return address;
}

}  // namespace

TestLoop::TestLoop() {
  loop = kernel::CreateLoop();
  loop.clock = kernel::ClockOf(clock);
}

bool RunUntil(TestLoop& loop, const std::function<bool()>& happened) {
  const auto watchdog = std::chrono::steady_clock::now() + kWatchdog;
  while (!happened()) {
    if (std::chrono::steady_clock::now() > watchdog) return false;
    // A tick that never comes due would leave the loop asleep.
    const timeval most = kernel::ToTimeval(1ms);
    event_base_loopexit(loop.loop.base.get(), &most);
    event_base_loop(loop.loop.base.get(), EVLOOP_ONCE);
    kernel::Advance(loop.clock, kTurn);
  }
  return true;
}

FakeServer::FakeServer(TestLoop& loop) {
  server_.reset(evhttp_new(loop.loop.base.get()));
  bound_ = evhttp_bind_socket_with_handle(server_.get(), "127.0.0.1", 0);
  address = AddressOf(evhttp_bound_socket_get_fd(bound_));
  evhttp_set_gencb(server_.get(), OnRequest, this);
}

void FakeServer::StopListening() {
  evhttp_del_accept_socket(server_.get(), bound_);
}

void FakeServer::OnRequest(evhttp_request* request, void* arg) {
  auto& self = *static_cast<FakeServer*>(arg);
  const std::string uri = evhttp_request_get_uri(request);
  if (self.leaving_paths.contains(uri)) {
    evhttp_add_header(evhttp_request_get_output_headers(request), "X-Leaving",
                      "yes");
  }
  if (uri == "/report") {
    ++self.reports;
    evbuffer* body = evbuffer_new();
    evbuffer_add_printf(body, R"({"boot":1,"age_ms":0,"loaded":["m"]})");
    evhttp_send_reply(request, HTTP_OK, nullptr, body);
    evbuffer_free(body);
    return;
  }
  Seen seen;
  seen.path = uri;
  evbuffer* input = evhttp_request_get_input_buffer(request);
  seen.body.resize(evbuffer_get_length(input));
  evbuffer_copyout(input, seen.body.data(), seen.body.size());
  for (const char* name :
       {"X-Request-Id", "X-Attempt", "X-Priority", "Idempotency-Key"}) {
    const char* value =
        evhttp_find_header(evhttp_request_get_input_headers(request), name);
    if (value != nullptr) seen.headers[name] = value;
  }
  self.seen.push_back(std::move(seen));
  evhttp_connection_set_closecb(
      evhttp_request_get_connection(request),
      [](evhttp_connection* /*connection*/, void* server) {
        ++static_cast<FakeServer*>(server)->closed;
      },
      &self);
  if (self.handler) {
    self.handler(request);
    return;
  }
  evbuffer* body = evbuffer_new();
  evbuffer_add_printf(body, R"({"ok":true})");
  evhttp_add_header(evhttp_request_get_output_headers(request), "Content-Type",
                    "application/json");
  evhttp_send_reply(request, HTTP_OK, nullptr, body);
  evbuffer_free(body);
}

struct RawServerEvents {
  static void Accept(evconnlistener* /*listener*/, evutil_socket_t fd,
                     sockaddr* /*address*/, int /*size*/, void* arg) {
    auto& self = *static_cast<RawServer*>(arg);
    bufferevent* buffer = bufferevent_socket_new(self.loop_.loop.base.get(), fd,
                                                 BEV_OPT_CLOSE_ON_FREE);
    self.connections_.push_back(buffer);
    bufferevent_setcb(buffer, Read, Written, nullptr, &self);
    bufferevent_enable(buffer, EV_READ | EV_WRITE);
  }
  static void Read(bufferevent* buffer, void* arg) {
    auto& self = *static_cast<RawServer*>(arg);
    evbuffer* input = bufferevent_get_input(buffer);
    const evbuffer_ptr end = evbuffer_search(input, "\r\n\r\n", 4, nullptr);
    if (end.pos < 0) return;
    evbuffer_drain(input, evbuffer_get_length(input));
    ++self.requests;
    const auto at =
        std::find(self.connections_.begin(), self.connections_.end(), buffer);
    const std::string answer =
        self.handler ? self.handler(at - self.connections_.begin())
                     : self.answer_;
    bufferevent_write(buffer, answer.data(), answer.size());
    if (answer.empty() && self.close_) {
      shutdown(bufferevent_getfd(buffer), SHUT_RDWR);
    }
  }
  static void Written(bufferevent* buffer, void* arg) {
    auto& self = *static_cast<RawServer*>(arg);
    if (self.close_ && self.requests > 0) {
      shutdown(bufferevent_getfd(buffer), SHUT_RDWR);
    }
  }
};

RawServer::RawServer(TestLoop& loop, std::string answer, bool close)
    : answer_(std::move(answer)), close_(close), loop_(loop) {
  sockaddr_in target = Loopback(0);
  listener_ = evconnlistener_new_bind(
      loop.loop.base.get(), RawServerEvents::Accept, this,
      LEV_OPT_CLOSE_ON_FREE, -1, reinterpret_cast<sockaddr*>(&target),
      sizeof(target));
  address = AddressOf(evconnlistener_get_fd(listener_));
}

RawServer::~RawServer() {
  for (bufferevent* buffer : connections_) bufferevent_free(buffer);
  StopListening();
}

void RawServer::StopListening() {
  if (listener_ != nullptr) evconnlistener_free(listener_);
  listener_ = nullptr;
}

struct RawCallerEvents {
  static void Read(bufferevent* buffer, void* arg) {
    auto& self = *static_cast<RawCaller*>(arg);
    evbuffer* input = bufferevent_get_input(buffer);
    const std::size_t size = evbuffer_get_length(input);
    const std::size_t old = self.got.size();
    self.got.resize(old + size);
    evbuffer_remove(input, self.got.data() + old, size);
  }
  // NOLINTNEXTLINE(google-runtime-int)
  static void Event(bufferevent* /*buffer*/, short what, void* arg) {
    if ((what & (BEV_EVENT_EOF | BEV_EVENT_ERROR)) != 0) {
      static_cast<RawCaller*>(arg)->ended = true;
    }
  }
};

RawCaller::RawCaller(TestLoop& loop, const std::string& address) {
  buffer_ =
      bufferevent_socket_new(loop.loop.base.get(), -1, BEV_OPT_CLOSE_ON_FREE);
  bufferevent_setcb(buffer_, RawCallerEvents::Read, nullptr,
                    RawCallerEvents::Event, this);
  bufferevent_enable(buffer_, EV_READ | EV_WRITE);
  const auto port =
      std::strtoul(address.c_str() + address.rfind(':') + 1, nullptr, 10);
  sockaddr_in target = Loopback(static_cast<std::uint16_t>(port));
  bufferevent_socket_connect(buffer_, reinterpret_cast<sockaddr*>(&target),
                             sizeof(target));
}

RawCaller::~RawCaller() { Leave(); }

void RawCaller::Send(const std::string& bytes) {
  bufferevent_write(buffer_, bytes.data(), bytes.size());
}

void RawCaller::Leave() {
  if (buffer_ != nullptr) bufferevent_free(buffer_);
  buffer_ = nullptr;
}

void RawCaller::SetReading(bool reading) {
  if (reading) {
    bufferevent_enable(buffer_, EV_READ);
  } else {
    bufferevent_disable(buffer_, EV_READ);
  }
}

std::string ChatRequest(const std::string& body, const std::string& headers) {
  return "POST /v1/chat/completions HTTP/1.1\r\nHost: node\r\n"
         "X-Client-Account: abay\r\nX-Request-Class: buyer\r\n"
         "Content-Type: application/json\r\n" +
         headers + "Content-Length: " + std::to_string(body.size()) +
         "\r\n\r\n" + body;
}

std::string ChatBodyText(bool stream) {
  return std::string(R"({"model":"m","stream":)") +
         (stream ? "true" : "false") +
         R"(,"messages":[{"role":"user","content":"hello"}]})";
}

int StatusIn(const std::string& text) {
  constexpr std::size_t kStatusAt = 9;
  if (text.find("\r\n") == std::string::npos) return 0;
  return std::atoi(text.c_str() + kStatusAt);
}

bool IsWhole(const std::string& text) {
  const std::size_t end = text.find("\r\n\r\n");
  if (end == std::string::npos) return false;
  const std::size_t length = text.find("Content-Length: ");
  if (length != std::string::npos && length < end) {
    const auto size = std::strtoul(text.c_str() + length + 16, nullptr, 10);
    return text.size() >= end + 4 + size;
  }
  return text.ends_with("\r\n0\r\n\r\n");
}

GatewayPtr StartTestNode(TestLoop& loop, const std::string& name,
                         const std::string& platform, const Limits& limits) {
  GatewayOptions options;
  options.node.fleet.node = name;
  options.node.fleet.zone = "bole";
  options.node.fleet.incarnation = 1;
  options.node.fleet.started = 1;
  options.platform = platform;
  options.limits = limits;
  auto started = StartGateway(loop.loop, options);
  if (!started) {
    std::fputs(kernel::Describe(started.error()).c_str(), stderr);
    std::abort();
  }
  return std::move(started).value();
}

std::string NodeLine(const std::string& name, const Gateway& node) {
  return name + " = callers=" + CallerAddressOf(node) +
         " peers=" + PeerAddressOf(node) + " zone=bole";
}

std::string RulesText(const RulesParts& parts) {
  std::string text =
      "[document]\nversion = 1 ; test\n[zone]\nbole = region=addis ; test\n"
      "[model]\nm = ; test\n[service]\nseats = ; test\n[class]\n"
      "buyer = tier=1 first_token=60s max_wait=60s ; test\n"
      "enrol = tier=1 first_token=60s max_wait=60s repeatable=no ; test\n"
      "bulk = tier=5 first_token=60s max_wait=60s ; test\n"
      "[account]\nabay = classes=buyer,enrol,bulk ; test\n[endpoint]\n";
  int number = 0;
  const auto add = [&](const std::string& address, const char* target) {
    text += "e" + std::to_string(++number) + " = address=" + address +
            " zone=bole serves=" + target + " bears=64 cold_bears=16 ; test\n";
  };
  for (const std::string& address : parts.endpoints) add(address, "m,seats");
  for (const std::string& address : parts.services) add(address, "seats");
  if (!parts.nodes.empty()) text += "[node]\n";
  for (const std::string& line : parts.nodes) text += line + " ; test\n";
  return text;
}

void Publish(FakeServer& platform, const std::string& rules) {
  platform.handler = [rules](evhttp_request* request) {
    const std::string uri = evhttp_request_get_uri(request);
    // A watch stays open, as nothing new is published.
    if (uri.starts_with("/rules?")) return;
    evbuffer* body = evbuffer_new();
    evbuffer_add_printf(body, "%s", uri == "/vms" ? "[]" : rules.c_str());
    evhttp_send_reply(request, HTTP_OK, nullptr, body);
    evbuffer_free(body);
  };
}

OneNode::OneNode() { Start(endpoint.address, Limits()); }

OneNode::OneNode(const Limits& limits) { Start(endpoint.address, limits); }

void OneNode::Start(const std::string& endpoint_address, const Limits& limits) {
  node = StartTestNode(loop, "n1", platform.address, limits);
  Publish(platform, RulesText({{endpoint_address}, {NodeLine("n1", *node)}}));
  if (!RunUntil(loop, [this] {
        return node::ViewOf(NodeOf(*node), loop.clock.now).ready;
      })) {
    std::abort();
  }
}

}  // namespace egretladder::gateway::testing
