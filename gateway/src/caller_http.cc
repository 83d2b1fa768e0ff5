// Turns the complete requests that net's server has read into calls.
#include <array>
#include <string>
#include <vector>

#include "caller_body_p.h"
#include "egretladder/kernel/hash.h"
#include "egretladder/kernel/log.h"
#include "gateway_p.h"
#include "http_headers_p.h"

namespace egretladder::gateway {
namespace {

constexpr std::string_view kChatPath = "/v1/chat/completions";
constexpr std::string_view kServicePath = "/svc/";
constexpr int kBadRequest = 400;
constexpr int kNotFound = 404;
constexpr int kMethodNotAllowed = 405;
constexpr int kUnavailable = 503;

struct Method {
  std::string_view name;
  evhttp_cmd_type command;
};
// The methods that are forwarded.
constexpr std::array<Method, 7> kMethods = {{{"GET", EVHTTP_REQ_GET},
                                             {"POST", EVHTTP_REQ_POST},
                                             {"HEAD", EVHTTP_REQ_HEAD},
                                             {"PUT", EVHTTP_REQ_PUT},
                                             {"DELETE", EVHTTP_REQ_DELETE},
                                             {"OPTIONS", EVHTTP_REQ_OPTIONS},
                                             {"PATCH", EVHTTP_REQ_PATCH}}};

const Method* FindMethod(std::string_view name) {
  for (const Method& method : kMethods) {
    if (method.name == name) return &method;
  }
  return nullptr;
}

ErrorBody BadRequest(const char* code, std::string message) {
  return {kBadRequest, code, std::move(message)};
}

// Called when a caller disconnects before its answer is complete.
void OnDisconnect(Gateway& gateway, CallId id) {
  const auto at = gateway.calls.find(id);
  if (at == gateway.calls.end()) return;
  CallerCall& call = *at->second;
  call.caller = nullptr;
  // An attempt that was paused for this caller ends or continues without it.
  if (call.attempt.exchange != nullptr) SetReading(call.attempt.exchange, true);
  const ClassMetrics& of =
      MetricsOfClass(gateway.call_metrics, gateway.metrics,
                     node::RulesOf(*gateway.node).get(), call.cls);
  kernel::Increment(
      gateway.metrics,
      of.outcomes[static_cast<std::size_t>(Outcome::kCallerGone)]);
  Later(gateway, [&gateway, id] {
    if (!gateway.calls.contains(id)) return;
    node::Actions actions;
    node::OnCallerGone(*gateway.node, id, NowOf(gateway), actions);
    Pump(gateway, std::move(actions));
    Later(gateway, [&gateway, id] {
      const auto still = gateway.calls.find(id);
      if (still != gateway.calls.end()) ForgetIfDone(*still->second);
    });
  });
}

// Reads the values by which the rules decide. Returns false if the request is
// invalid and was answered.
bool ReadCallHeaders(const net::HttpFields& headers,
                     const rules::CallerHeaders& names, node::Call& call,
                     ErrorBody* fault) {
  call.account = net::FirstFieldValue(headers, names.account);
  call.cls = net::FirstFieldValue(headers, names.cls);
  call.lane = net::FirstFieldValue(headers, kLaneHeader);
  call.key = net::FirstFieldValue(headers, kKeyHeader);
  call.forwarded = !net::FirstFieldValue(headers, kForwardedHeader).empty();
  const std::string timeout(net::FirstFieldValue(headers, names.timeout));
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

bool ReadChat(CallerRequest& shape, node::Call& call, ErrorBody* fault) {
  if (shape.method != EVHTTP_REQ_POST) {
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
  call.body_hash = kernel::HashBytes(*shape.body);
  return true;
}

// `/svc/NAME/rest?query` is sent to the service NAME as `/rest?query`.
void ReadService(CallerRequest& shape, node::Call& call) {
  const std::string rest = shape.original_uri.substr(kServicePath.size());
  const std::size_t end = rest.find_first_of("/?");
  call.target = rest.substr(0, end);
  shape.uri = end == std::string::npos ? "/" : rest.substr(end);
  if (shape.uri.front() != '/') shape.uri.insert(0, "/");
  call.body_hash = kernel::HashBytes(
      *shape.body, kernel::HashBytes(shape.original_uri,
                                     static_cast<std::uint64_t>(shape.method)));
}

// Returns true if there is room to keep the body until the answer begins. Lower
// tiers leave a part of it to higher ones; an unknown class counts as lowest.
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

void BeginCall(Gateway& gateway, const net::HttpCallPtr& request,
               CallerRequest shape, const node::Call& call) {
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
  request->OnDisconnect(
      [&gateway, id = call.id] { OnDisconnect(gateway, id); });
  node::Actions actions;
  node::OnCall(*gateway.node, call, made.arrived, actions);
  Pump(gateway, std::move(actions));
}

void OnCallRequest(Gateway& gateway, const net::HttpCallPtr& request,
                   const Method& method, bool chat) {
  const net::HttpRequest& read = request->request();
  CallerRequest shape;
  shape.method = method.command;
  shape.original_uri = read.target;
  shape.headers = RequestHeadersToPass(read.fields);
  shape.body = std::make_shared<const std::string>(read.body);
  request->DropBody();
  node::Call call;
  call.id = ++gateway.last_call;
  ErrorBody fault;
  const auto rules = node::RulesOf(*gateway.node);
  bool good = ReadCallHeaders(read.fields,
                              rules ? rules->headers : rules::CallerHeaders(),
                              call, &fault);
  if (good && chat) good = ReadChat(shape, call, &fault);
  if (good && !chat) ReadService(shape, call);
  if (good && !HasRoom(gateway, call, shape.body->size())) {
    good = false;
    fault = {kUnavailable, "overloaded", "no room for the request's body"};
    fault.retry_after = kNoRoomRetryAfter;
    // Another copy of a call that runs at most once may have run.
    if (!call.key.empty()) fault.ran = "unknown";
  }
  if (!good) {
    ReplyError(request, fault,
               gateway.request_prefix + std::to_string(call.id));
    return;
  }
  BeginCall(gateway, request, std::move(shape), call);
}

void OnRequest(Gateway& gateway, const net::HttpCallPtr& request) {
  const std::string& target = request->request().target;
  const std::string path = target.substr(0, target.find('?'));
  const Method* method = FindMethod(request->request().method);
  if (method == nullptr) {
    ReplyError(request,
               {kMethodNotAllowed, "method_not_allowed", "unknown method"},
               "none");
  } else if (path == kChatPath) {
    OnCallRequest(gateway, request, *method, true);
  } else if (path.starts_with(kServicePath)) {
    OnCallRequest(gateway, request, *method, false);
  } else if (!AnswerPage(gateway, request, path)) {
    ReplyError(request, {kNotFound, "no_such_page", "no page " + path}, "none");
  }
}

net::ServerHandlers HandlersOf(Gateway& gateway) {
  net::ServerHandlers handlers;
  handlers.on_request = [&gateway](const net::HttpCallPtr& request) {
    OnRequest(gateway, request);
  };
  handlers.on_refused = [](int status, const std::string& why) {
    kernel::Log(kernel::LogPart::kCaller, kernel::LogLevel::kInfo,
                "A request could not be read: status " +
                    std::to_string(status) + ", " + why + ".");
  };
  handlers.refusal_body = [](int status, std::string_view why) {
    return ErrorJson({status, "bad_request", std::string(why)}, "none");
  };
  if (gateway.front.tls != nullptr) {
    handlers.make_buffer = [&gateway](event_base* base, evutil_socket_t fd) {
      return NewTlsBuffer(base, fd, *gateway.front.tls);
    };
  }
  return handlers;
}

net::ServerLimits LimitsOf(const Limits& limits) {
  net::ServerLimits server;
  server.size = {limits.header_bytes, limits.body_bytes};
  server.head_timeout = limits.request_time;
  server.body_timeout = limits.request_time;
  server.idle_timeout = limits.request_time;
  server.write_timeout = limits.write_timeout;
  server.connections = limits.connections;
  return server;
}

}  // namespace

kernel::Result<void> OpenFront(Gateway& gateway) {
  CallerFront& front = gateway.front;
  const GatewayOptions& options = gateway.options;
  if (!options.tls.certificate.empty()) {
    BOOST_OUTCOME_TRY(tls, OpenTls(options.tls));
    front.tls = std::move(tls);
  }
  front.server =
      std::make_unique<net::HttpServer>(*gateway.loop, HandlersOf(gateway));
  front.server->SetLimits(LimitsOf(options.limits));
  BOOST_OUTCOME_TRYV(front.server->Listen(options.caller_listen));
  return BOOST_OUTCOME_V2_NAMESPACE::success();
}

void CloseFront(Gateway& gateway) {
  for (auto& [id, call] : gateway.calls) {
    if (call->caller != nullptr) call->caller->OnDisconnect(nullptr);
  }
  gateway.front.server.reset();
}

void ReleaseBody(CallerCall& call) {
  if (!call.request.body) return;
  call.gateway->bodies_bytes -= call.request.body->size();
  call.request.body.reset();
}

}  // namespace egretladder::gateway
