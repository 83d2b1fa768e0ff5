#include <event2/listener.h>

#include <string>
#include <vector>

#include "caller_body_p.h"
#include "egretladder/kernel/hash.h"
#include "egretladder/kernel/log.h"
#include "egretladder/net/address.h"
#include "gateway_p.h"
#include "http_headers_p.h"

namespace egretladder::gateway {
using net::ParseAddress;
using net::SetNoDelay;
using net::WithBoundPort;
namespace {

constexpr std::string_view kChatPath = "/v1/chat/completions";
constexpr std::string_view kServicePath = "/svc/";

constexpr std::uint16_t kMethods =
    EVHTTP_REQ_GET | EVHTTP_REQ_POST | EVHTTP_REQ_HEAD | EVHTTP_REQ_PUT |
    EVHTTP_REQ_DELETE | EVHTTP_REQ_OPTIONS | EVHTTP_REQ_PATCH;

ErrorBody BadRequest(const char* code, std::string message) {
  return {HTTP_BADREQUEST, code, std::move(message)};
}

CallerConnection* ConnectionOf(Gateway& gateway, evhttp_request* request) {
  evhttp_connection* connection = evhttp_request_get_connection(request);
  if (connection == nullptr) return nullptr;
  const auto at = gateway.front.connections.find(
      evhttp_connection_get_bufferevent(connection));
  return at == gateway.front.connections.end() ? nullptr : &at->second;
}

void Prepare(CallerConnection& connection) {
  if (connection.prepared) return;
  connection.prepared = true;
  SetNoDelay(bufferevent_getfd(connection.buffer));
}

std::string BodyOf(evhttp_request* request) {
  evbuffer* input = evhttp_request_get_input_buffer(request);
  std::string body(evbuffer_get_length(input), '\0');
  evbuffer_remove(input, body.data(), body.size());
  return body;
}

// The caller closed its connection, or evhttp found it broken.
void OnClosed(evhttp_connection* /*connection*/, void* arg) {
  auto& call = *static_cast<CallerCall*>(arg);
  evhttp_request* request = call.caller;
  call.caller = nullptr;
  // evhttp leaves a request to its handler once the handler has it.
  if (request != nullptr && evhttp_request_get_connection(request) == nullptr) {
    evhttp_request_free(request);
  }
  // An attempt held back for this caller ends or runs on without it.
  if (call.attempt.exchange != nullptr) SetReading(call.attempt.exchange, true);
  Gateway& gateway = *call.gateway;
  const ClassMetrics& of =
      MetricsOfClass(gateway.call_metrics, gateway.metrics,
                     node::RulesOf(*gateway.node).get(), call.cls);
  kernel::Increment(
      gateway.metrics,
      of.outcomes[static_cast<std::size_t>(Outcome::kCallerGone)]);
  Later(gateway, [&gateway, id = call.id] {
    if (!gateway.calls.contains(id)) return;
    node::Actions actions;
    node::OnCallerGone(*gateway.node, id, NowOf(gateway), actions);
    Pump(gateway, std::move(actions));
    Later(gateway, [&gateway, id] {
      const auto at = gateway.calls.find(id);
      if (at != gateway.calls.end()) ForgetIfDone(*at->second);
    });
  });
}

// Fills in what the rules decide by. Returns false after answering a fault.
bool ReadCallHeaders(evhttp_request* request, const rules::CallerHeaders& names,
                     node::Call& call, ErrorBody* fault) {
  const evkeyvalq* headers = evhttp_request_get_input_headers(request);
  call.account = HeaderOf(headers, names.account.c_str());
  call.cls = HeaderOf(headers, names.cls.c_str());
  call.lane = HeaderOf(headers, kLaneHeader);
  call.key = HeaderOf(headers, kKeyHeader);
  call.forwarded = !HeaderOf(headers, kForwardedHeader).empty();
  const std::string timeout(HeaderOf(headers, names.timeout.c_str()));
  if (timeout.empty()) return true;
  const auto parsed = kernel::ParseDuration(timeout.c_str());
  if (parsed.count() <= 0) {
    *fault = BadRequest("bad_timeout", names.timeout + " is '" + timeout +
                                           "', expected such as 250ms or 5s");
    return false;
  }
  call.timeout = std::chrono::ceil<std::chrono::milliseconds>(parsed);
  return true;
}

bool ReadChat(evhttp_request* request, CallerRequest& shape, node::Call& call,
              ErrorBody* fault) {
  if (evhttp_request_get_command(request) != EVHTTP_REQ_POST) {
    constexpr int kMethodNotAllowed = 405;
    *fault = {kMethodNotAllowed, "method_not_allowed", "expected POST"};
    return false;
  }
  auto body = ReadChatBody(*shape.body);
  if (!body) {
    *fault = BadRequest("bad_body", body.error().detail);
    return false;
  }
  shape.chat = true;
  shape.stream = body.value().stream;
  shape.uri = kChatPath;
  call.target = body.value().model;
  call.prefix = body.value().prefix;
  call.prompt_tokens = body.value().prompt_tokens;
  call.max_tokens = body.value().max_tokens;
  call.body_hash = kernel::HashOf(*shape.body);
  return true;
}

// `/svc/NAME/rest?query` goes to the service NAME as `/rest?query`.
void ReadService(CallerRequest& shape, node::Call& call) {
  const std::string rest = shape.original_uri.substr(kServicePath.size());
  const std::size_t end = rest.find_first_of("/?");
  call.target = rest.substr(0, end);
  shape.uri = end == std::string::npos ? "/" : rest.substr(end);
  if (shape.uri.front() != '/') shape.uri.insert(0, "/");
  call.body_hash = kernel::HashOf(
      *shape.body, kernel::HashOf(shape.original_uri,
                                  static_cast<std::uint64_t>(shape.method)));
}

// evhttp stops reading once it has a request, and so would not notice a caller
// that leaves before its answer begins: its work would run on for nobody. Read
// events are wanted for that alone; data of a next request stays where it is,
// since evhttp's own callback ends the process on it in this state.
void WatchForClose(evhttp_connection* connection) {
  bufferevent* buffer = evhttp_connection_get_bufferevent(connection);
  bufferevent_data_cb on_write = nullptr;
  bufferevent_event_cb on_event = nullptr;
  void* arg = nullptr;
  bufferevent_getcb(buffer, nullptr, &on_write, &on_event, &arg);
  bufferevent_setcb(buffer, nullptr, on_write, on_event, arg);
  bufferevent_enable(buffer, EV_READ);
}

// Whether there is room to keep the body until the answer begins. Lower tiers
// leave some for the higher ones; a class that is not known counts as lowest.
bool HasRoom(const Gateway& gateway, const node::Call& call,
             std::size_t bytes) {
  const auto rules = node::RulesOf(*gateway.node);
  const rules::ClassHandle cls =
      rules ? rules::FindClass(*rules, call.cls) : rules::ClassHandle();
  const std::uint8_t tier =
      rules::IsValid(cls) ? rules->classes[cls.idx].tier : rules::kBottomTier;
  const double part = 1 - kBodiesPerTier * (tier - rules::kTopTier);
  const double room =
      part * static_cast<double>(gateway.options.limits.bodies_bytes);
  return static_cast<double>(gateway.bodies_bytes + bytes) <= room;
}

void BeginCall(Gateway& gateway, evhttp_request* request, CallerRequest shape,
               node::Call call) {
  auto owned = std::make_unique<CallerCall>();
  CallerCall& made = *owned;
  made.gateway = &gateway;
  made.id = call.id;
  made.request_id = gateway.request_prefix + std::to_string(call.id);
  made.lane = call.lane;
  made.request = std::move(shape);
  gateway.bodies_bytes += made.request.body->size();
  made.arrived = NowOf(gateway);
  made.caller = request;
  const auto rules = node::RulesOf(*gateway.node);
  if (rules) made.cls = rules::FindClass(*rules, call.cls);
  gateway.calls.emplace(call.id, std::move(owned));
  if (CallerConnection* connection = ConnectionOf(gateway, request)) {
    connection->busy = true;
    Prepare(*connection);
  }
  evhttp_connection_set_closecb(evhttp_request_get_connection(request),
                                OnClosed, &made);
  WatchForClose(evhttp_request_get_connection(request));
  node::Actions actions;
  node::OnCall(*gateway.node, call, made.arrived, actions);
  Pump(gateway, std::move(actions));
}

void OnCallRequest(Gateway& gateway, evhttp_request* request, bool chat) {
  CallerRequest shape;
  shape.method = evhttp_request_get_command(request);
  shape.original_uri = evhttp_request_get_uri(request);
  shape.headers =
      RequestHeadersToPass(evhttp_request_get_input_headers(request));
  shape.body = std::make_shared<const std::string>(BodyOf(request));
  node::Call call;
  call.id = ++gateway.last_call;
  ErrorBody fault;
  const auto rules = node::RulesOf(*gateway.node);
  bool good = ReadCallHeaders(
      request, rules ? rules->headers : rules::CallerHeaders(), call, &fault);
  if (good && chat) good = ReadChat(request, shape, call, &fault);
  if (good && !chat) ReadService(shape, call);
  if (good && !HasRoom(gateway, call, shape.body->size())) {
    good = false;
    fault = {HTTP_SERVUNAVAIL, "overloaded", "no room for the request's body"};
    fault.retry_after = kNoRoomRetryAfter;
    // Another copy of a call that runs at most once may have run.
    if (!call.key.empty()) fault.ran = "unknown";
  }
  if (!good) {
    ReplyError(request, fault,
               gateway.request_prefix + std::to_string(call.id));
    return;
  }
  BeginCall(gateway, request, std::move(shape), std::move(call));
}

void OnRequest(evhttp_request* request, void* arg) {
  auto& gateway = *static_cast<Gateway*>(arg);
  const char* uri = evhttp_request_get_uri(request);
  if (uri == nullptr || uri[0] != '/') {
    ReplyError(request, BadRequest("bad_uri", "expected a path"), "none");
    return;
  }
  const std::string path =
      std::string(uri).substr(0, std::string(uri).find('?'));
  if (path == kChatPath) {
    OnCallRequest(gateway, request, true);
  } else if (path.starts_with(kServicePath)) {
    OnCallRequest(gateway, request, false);
  } else if (!AnswerPage(gateway, request, path)) {
    ReplyError(request, {HTTP_NOTFOUND, "no_such_page", "no page " + path},
               "none");
  }
}

void OnOutput(evbuffer* /*output*/, const evbuffer_cb_info* info, void* arg) {
  static_cast<CallerConnection*>(arg)->taken += info->n_deleted;
}

void Drop(CallerConnection& connection) {
  evbuffer_remove_cb_entry(bufferevent_get_output(connection.buffer),
                           connection.output_watch);
  bufferevent_decref(connection.buffer);
}

bufferevent* NewCallerBuffer(event_base* base, void* arg) {
  auto& gateway = *static_cast<Gateway*>(arg);
  bufferevent* buffer =
      gateway.front.tls != nullptr
          ? NewTlsBuffer(base, *gateway.front.tls)
          : bufferevent_socket_new(base, -1, BEV_OPT_CLOSE_ON_FREE);
  if (buffer == nullptr) return nullptr;
  // A whole chunk of a body has to fit; more than that is not read ahead.
  const Limits& limits = gateway.options.limits;
  bufferevent_setwatermark(buffer, EV_READ, 0,
                           limits.body_bytes + limits.header_bytes);
  bufferevent_incref(buffer);
  const kernel::Time now = NowOf(gateway);
  CallerConnection& connection = gateway.front.connections[buffer];
  connection.buffer = buffer;
  connection.since = now;
  connection.progress = now;
  connection.output_watch =
      evbuffer_add_cb(bufferevent_get_output(buffer), OnOutput, &connection);
  if (gateway.front.connections.size() >= limits.connections) {
    evconnlistener_disable(gateway.front.listener);
  }
  return buffer;
}

bool IsClosed(bufferevent* buffer) {
  // evhttp takes its callbacks away when it frees the buffer, which then lives
  // on our reference only. While it writes, only this one stands.
  bufferevent_event_cb on_event = nullptr;
  bufferevent_getcb(buffer, nullptr, nullptr, &on_event, nullptr);
  return on_event == nullptr;
}

evhttp_connection* EvhttpConnectionOf(bufferevent* buffer) {
  void* connection = nullptr;
  bufferevent_getcb(buffer, nullptr, nullptr, nullptr, &connection);
  return static_cast<evhttp_connection*>(connection);
}

// True when the connection has taken longer than it may: to send a request, or
// to take what was written for it.
bool IsLate(CallerConnection& connection, const Limits& limits,
            kernel::Time now) {
  const std::size_t output =
      evbuffer_get_length(bufferevent_get_output(connection.buffer));
  if (connection.taken != connection.taken_before || output == 0) {
    connection.progress = now;
  }
  connection.taken_before = connection.taken;
  if (now - connection.progress > limits.drain_time) return true;
  return !connection.busy && output == 0 &&
         now - connection.since > limits.request_time;
}

void SweepConnections(Gateway& gateway) {
  const kernel::Time now = NowOf(gateway);
  std::vector<evhttp_connection*> late;
  auto& connections = gateway.front.connections;
  for (auto at = connections.begin(); at != connections.end();) {
    if (IsClosed(at->first)) {
      Drop(at->second);
      at = connections.erase(at);
      continue;
    }
    if (IsLate(at->second, gateway.options.limits, now)) {
      late.push_back(EvhttpConnectionOf(at->first));
    }
    ++at;
  }
  for (evhttp_connection* connection : late) evhttp_connection_free(connection);
  if (connections.size() < gateway.options.limits.connections) {
    evconnlistener_enable(gateway.front.listener);
  }
}

// No descriptor is left for another connection. The socket stays readable, so
// libevent would try again at once and for ever; the sweep accepts again.
void OnAcceptError(evconnlistener* listener, void* /*arg*/) {
  kernel::Log(kernel::LogPart::kCaller, kernel::LogLevel::kWarning,
              std::string("No connection could be accepted: ") +
                  evutil_socket_error_to_string(EVUTIL_SOCKET_ERROR()) + ".");
  evconnlistener_disable(listener);
}

}  // namespace

kernel::Result<void> OpenFront(Gateway& gateway) {
  CallerFront& front = gateway.front;
  const GatewayOptions& options = gateway.options;
  if (!options.tls.certificate.empty()) {
    BOOST_OUTCOME_TRY(tls, OpenTls(options.tls));
    front.tls = std::move(tls);
  }
  front.server.reset(evhttp_new(gateway.loop->base.get()));
  evhttp* server = front.server.get();
  evhttp_set_allowed_methods(server, kMethods);
  evhttp_set_max_headers_size(
      server, static_cast<ev_ssize_t>(options.limits.header_bytes));
  evhttp_set_max_body_size(server,
                           static_cast<ev_ssize_t>(options.limits.body_bytes));
  evhttp_set_flags(server, EVHTTP_SERVER_LINGERING_CLOSE);
  // Time-outs are the sweep's: evhttp's own would end a long stream, during
  // which nothing is read from the caller.
  constexpr int kNeverSeconds = 1'000'000;
  evhttp_set_timeout(server, kNeverSeconds);
  evhttp_set_bevcb(server, NewCallerBuffer, &gateway);
  evhttp_set_gencb(server, OnRequest, &gateway);
  auto target = ParseAddress(options.caller_listen);
  if (target) {
    front.listener =
        evconnlistener_new_bind(gateway.loop->base.get(), nullptr, nullptr,
                                LEV_OPT_CLOSE_ON_FREE | LEV_OPT_REUSEABLE,
                                kBacklog, target->get(), target->size);
  }
  if (front.listener == nullptr) {
    return kernel::MakeError(kernel::ErrorCode::kUnavailable, "listen",
                             options.caller_listen,
                             evutil_socket_error_to_string(errno));
  }
  evhttp_bind_listener(server, front.listener);
  evconnlistener_set_error_cb(front.listener, OnAcceptError);
  front.address = WithBoundPort(options.caller_listen,
                                evconnlistener_get_fd(front.listener));
  front.sweep = kernel::Every(*gateway.loop, kSweep,
                              [&gateway] { SweepConnections(gateway); });
  return BOOST_OUTCOME_V2_NAMESPACE::success();
}

void CloseFront(Gateway& gateway) {
  for (auto& [id, call] : gateway.calls) {
    if (call->caller != nullptr) ReleaseConnection(*call);
  }
  gateway.front.server.reset();
  for (auto& [buffer, connection] : gateway.front.connections) {
    Drop(connection);
  }
  gateway.front.connections.clear();
}

void ReleaseBody(CallerCall& call) {
  if (!call.request.body) return;
  call.gateway->bodies_bytes -= call.request.body->size();
  call.request.body.reset();
}

void ReleaseConnection(CallerCall& call) {
  evhttp_connection* connection = evhttp_request_get_connection(call.caller);
  if (connection == nullptr) return;
  evhttp_connection_set_closecb(connection, nullptr, nullptr);
  CallerConnection* kept = ConnectionOf(*call.gateway, call.caller);
  if (kept == nullptr) return;
  kept->busy = false;
  kept->since = NowOf(*call.gateway);
}

}  // namespace egretladder::gateway
