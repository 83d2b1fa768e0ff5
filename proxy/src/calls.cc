// The life of a caller's request, from its arrival to its end.
#include <algorithm>
#include <optional>

#include "state_p.h"

namespace egretladder::proxy {
namespace {

using kernel::LogLevel;
using kernel::LogPart;

constexpr int kBadRequest = 400;
constexpr int kUnauthorized = 401;
constexpr int kNotFound = 404;
constexpr int kBadGateway = 502;
constexpr int kUnavailable = 503;
constexpr int kGatewayTimeout = 504;
constexpr milliseconds kNotReadyRetry{300};

// A request that ends before it is a call.
void Reject(Proxy& proxy, const net::HttpCallPtr& caller, int status,
            const char* code, const std::string& why, milliseconds retry) {
  Count(proxy, "egretladder_rejected_total",
        "Requests ended before they were routed.",
        std::string("code=\"") + code + "\"");
  kernel::LogEvent(LogPart::kRoute, LogLevel::kWarning, "rejected",
                   {{"req", proxy.dialect->request_id(caller->request())},
                    {"status", status},
                    {"code", code},
                    {"why", why},
                    {"target", caller->request().target},
                    {"rules", proxy.rules ? proxy.rules->version : 0}});
  AnswerError(caller, status, code, why, "no", retry);
}

CallPtr MakeCall(Proxy& proxy, const net::HttpCallPtr& caller,
                 const routing::Route& route,
                 const routing::ClientAccount* account, RequestMetadata facts) {
  const Time now = NowOf(proxy);
  auto call = std::make_shared<Call>();
  call->number = ++proxy.last_number;
  call->caller = caller;
  call->table = proxy.rules;
  call->route = &route;
  call->account = account;
  call->arrived = now;
  call->measures = MeasuresFor(proxy, route.name);
  const auto allowed = std::min(facts.deadline.value_or(route.timeout),
                                std::max(route.timeout, milliseconds(1)));
  call->deadline = now + allowed;
  const auto target =
      routing::PickTarget(route, kernel::RandomFraction(proxy.random));
  call->service = &proxy.rules->services[target.idx];
  call->demand.service = call->service;
  call->demand.tier = routing::FindRank(*proxy.rules, route, account);
  if (call->service->generates) {
    call->demand.parts = facts.parts;
    call->demand.prompt_tokens = std::max(facts.prompt_tokens, 1U);
    if (route.kind == routing::RouteKind::kStream) {
      const routing::ServicePace& pace =
          routing::FindServicePace(proxy.endpoints, call->service->name);
      call->demand.events = routing::ExpectedStreamEvents(pace, route.name);
      call->demand.longest = routing::LongStreamEvents(pace, route.name);
      call->demand.expected_stream_ms =
          routing::ExpectedStreamMs(pace, route.name);
    }
    call->demand.tight = route.gap_target.count() > 0 &&
                         route.gap_target <= routing::kMaxTightGap;
  }
  call->facts = std::move(facts);
  call->body_bytes = caller->request().body.size();
  return call;
}

void OnTimeout(Proxy& proxy, const CallPtr& call) {
  GiveUp(proxy, call, kGatewayTimeout,
         call->caller->begun() ? "cut-at-deadline" : "timeout", {});
}

void OnCallerGone(Proxy& proxy, const CallPtr& call) {
  DropAttempt(proxy, call);
  EndCall(proxy, call, "caller-gone");
}

void Wait(Proxy& proxy, const CallPtr& call) {
  if (call->waiting) return;
  if (proxy.waiting.size() >= routing::kMaxWaitingRequests) {
    // The least urgent that came last makes room, which may be this one.
    const auto last = std::prev(proxy.waiting.end());
    if (last->first.first <= call->demand.tier) {
      GiveUp(proxy, call, kBadGateway, "overloaded", kNotReadyRetry);
      return;
    }
    const CallPtr shed = last->second;
    GiveUp(proxy, shed, kBadGateway, "overloaded", kNotReadyRetry);
  }
  call->waiting = true;
  proxy.waiting.emplace(std::pair(call->demand.tier, call->number), call);
  if (!proxy.waiting_timed) {
    proxy.waiting_timed = true;
    proxy.waiting_timer = kernel::RunEvery(
        *proxy.loop, kWaitingPeriod, [&proxy] { DispatchWaiting(proxy); });
  }
}

void StopWaiting(Proxy& proxy, const CallPtr& call) {
  if (!call->waiting) return;
  call->waiting = false;
  proxy.waiting.erase(std::pair(call->demand.tier, call->number));
}

bool HasRoomForBody(const Proxy& proxy, std::size_t bytes) {
  const double most =
      kBodiesPart * static_cast<double>(proxy.options.memory_bytes);
  return static_cast<double>(proxy.body_bytes + bytes) <= most;
}

// Whether this node takes requests now; else the caller has its answer.
bool IsTaking(Proxy& proxy, const net::HttpCallPtr& caller) {
  if (!TakesNewRequests(proxy)) {
    Reject(proxy, caller, kUnavailable, "leaving", "this node is leaving",
           kLeavingRetry);
    return false;
  }
  if (proxy.rules == nullptr) {
    Reject(proxy, caller, kUnavailable, "not_ready", "no rules are known yet",
           routing::RetryAfterNotReady(
               Between(proxy.members.started, NowOf(proxy)), proxy.random));
    return false;
  }
  if (!HasRoomForBody(proxy, caller->request().body.size())) {
    Reject(proxy, caller, kUnavailable, "overloaded", "no room for the body",
           kNotReadyRetry);
    return false;
  }
  return true;
}

// What the rules in force make of a request.
struct Routed {
  const routing::Route* route = nullptr;
  const routing::ClientAccount* account = nullptr;  // Null: none is needed.
  RequestMetadata facts;
};

// Nothing when the request may not be routed; its caller has its answer then.
std::optional<Routed> RouteRequest(Proxy& proxy,
                                   const net::HttpCallPtr& caller) {
  const routing::RouteTable& rules = *proxy.rules;
  const net::HttpRequest& request = caller->request();
  Routed routed;
  routed.route = routing::FindRoute(
      rules, net::FirstFieldValue(request.fields, "Host"), request.target);
  if (routed.route == nullptr) {
    Reject(proxy, caller, kNotFound, "unknown_route", "no route matches", {});
    return std::nullopt;
  }
  auto facts = proxy.dialect->read_call(request);
  if (!facts) {
    Reject(proxy, caller, kBadRequest, "bad_request",
           kernel::Describe(facts.error()), {});
    return std::nullopt;
  }
  routed.facts = std::move(facts).value();
  if (!rules.has_accounts) return routed;
  if (!routed.facts.key.empty()) {
    routed.account = routing::FindAccount(rules, routed.facts.key);
  }
  if (routed.account == nullptr && !routed.route->is_public) {
    Reject(proxy, caller, kUnauthorized, "unknown_key",
           "no account has the key", {});
    return std::nullopt;
  }
  return routed;
}

// Ends a call that gets no endpoint any more.
void RefuseOrBreak(Proxy& proxy, const CallPtr& call, const char* code,
                   milliseconds retry_after) {
  if (call->caller->begun()) {
    call->caller->Abort();
    EndCall(proxy, call, "broke-off");
    return;
  }
  RefuseCall(proxy, call, call->may_have_run > 0 ? kBadGateway : kUnavailable,
             code, retry_after);
}

// How much longer the request gets no endpoint, since it crashes them.
milliseconds RemainingHoldTime(const Proxy& proxy, Call& call, Time now) {
  if (proxy.suspects.by_request.empty()) return {};
  return routing::RemainingHoldTime(proxy.suspects, FingerprintOf(call), now);
}

void RefuseSuspect(Proxy& proxy, const CallPtr& call, milliseconds held) {
  kernel::LogEvent(LogPart::kRoute, LogLevel::kWarning, "not-sent",
                   {{"req", call->facts.id},
                    {"verdict", "crashes-endpoints"},
                    {"held_ms", held},
                    {"service", call->service->name}});
  RefuseOrBreak(proxy, call, "crashes_endpoints", held);
}

}  // namespace

std::uint64_t FingerprintOf(Call& call) {
  if (call.fingerprint == 0) {
    const net::HttpRequest& request = call.caller->request();
    const std::uint64_t asker =
        call.account != nullptr ? kernel::HashBytes(call.account->name) : 0;
    const std::uint64_t target = kernel::HashBytes(request.target, asker);
    call.fingerprint = kernel::HashBytes(request.body, target);
  }
  return call.fingerprint;
}

void OnRequest(Proxy& proxy, const net::HttpCallPtr& caller) {
  if (!IsTaking(proxy, caller)) return;
  auto routed = RouteRequest(proxy, caller);
  if (!routed) return;
  const CallPtr call = MakeCall(proxy, caller, *routed->route, routed->account,
                                std::move(routed->facts));
  proxy.body_bytes += call->body_bytes;
  proxy.calls.emplace(call->number, call);
  routing::OnRequest(proxy.retry_shares[call->service->name],
                     proxy.options.retries, call->arrived);
  caller->OnDisconnect([&proxy, call] { OnCallerGone(proxy, call); });
  call->timeout = kernel::RunAfter(
      *proxy.loop,
      std::chrono::ceil<milliseconds>(call->deadline - call->arrived) +
          kDeadlineMargin,
      [&proxy, weak = std::weak_ptr<Call>(call)] {
        if (const auto kept = weak.lock()) OnTimeout(proxy, kept);
      });
  Dispatch(proxy, call);
}

void Dispatch(Proxy& proxy, const CallPtr& call) {
  const Time now = NowOf(proxy);
  if (const auto held = RemainingHoldTime(proxy, *call, now);
      held.count() > 0) {
    RefuseSuspect(proxy, call, held);
    return;
  }
  const routing::FleetSnapshot fleet =
      routing::MakeFleetSnapshot(proxy.members, now);
  const routing::Placement placement = routing::ChoosePlacement(
      proxy.endpoints, call->demand, call->tried, fleet, proxy.random, now);
  routing::AdmissionInput ask;
  if (!call->waiting) call->waiting_since = now;
  ask.waiting_since = call->waiting_since;
  ask.deadline = call->deadline;
  ask.target = call->route->target;
  ask.was_sent_before = call->arrivals > 0;
  const routing::AdmissionVerdict verdict =
      routing::DecideAdmission(ask, placement, now);
  // A stopping node refuses what it can't finish before it waits for a free
  // endpoint: its caller's time is for another node.
  const bool goes_on =
      verdict == routing::AdmissionVerdict::kSend ||
      (verdict == routing::AdmissionVerdict::kWait && !call->waiting);
  if (goes_on && call->may_have_run == 0 &&
      !CanStillFinish(proxy, *call, placement)) {
    RefuseCall(proxy, call, kUnavailable, "leaving", kLeavingRetry);
    return;
  }
  if (verdict == routing::AdmissionVerdict::kWait) {
    Wait(proxy, call);
    return;
  }
  StopWaiting(proxy, call);
  if (verdict == routing::AdmissionVerdict::kSend) {
    StartAttempt(proxy, call, placement);
    return;
  }
  kernel::LogEvent(LogPart::kRoute, LogLevel::kWarning, "not-sent",
                   {{"req", call->facts.id},
                    {"verdict", routing::NameOf(verdict)},
                    {"place", routing::NameOf(placement.reason)},
                    {"expected_ms", placement.expected_ms},
                    {"left_ms", Between(now, call->deadline)},
                    {"waited_ms", Between(call->waiting_since, now)},
                    {"service", call->service->name},
                    {"tier", call->demand.tier},
                    {"nodes", fleet.nodes}});
  RefuseOrBreak(proxy, call, routing::NameOf(verdict),
                routing::RetryAfterRejection(placement, call->route->target,
                                             proxy.random));
}

void DispatchWaiting(Proxy& proxy) {
  // A copy: a dispatch may end other calls that wait.
  std::vector<CallPtr> waiting;
  waiting.reserve(proxy.waiting.size());
  for (const auto& [place, call] : proxy.waiting) waiting.push_back(call);
  for (const CallPtr& call : waiting) {
    if (call->waiting) Dispatch(proxy, call);
  }
  if (proxy.waiting.empty()) {
    proxy.waiting_timed = false;
    proxy.waiting_timer = {};
  }
}

void RefuseCall(Proxy& proxy, const CallPtr& call, int status, const char* code,
                milliseconds retry_after) {
  StopWaiting(proxy, call);
  call->refused_with = status;
  const bool ran = status == kBadGateway || status == kGatewayTimeout;
  AnswerError(call->caller, status, code,
              ran ? "the request may have run" : "the request has not run",
              ran ? "unknown" : "no", ran ? milliseconds{} : retry_after);
  EndCall(proxy, call, code);
}

void GiveUp(Proxy& proxy, const CallPtr& call, int status_if_sent,
            const char* code, milliseconds retry_after) {
  const bool sent = WasSent(*call);
  DropAttempt(proxy, call);
  if (call->caller->begun()) {
    call->caller->Abort();
    EndCall(proxy, call, code);
    return;
  }
  RefuseCall(proxy, call, sent ? status_if_sent : kUnavailable, code,
             retry_after);
}

void EndCall(Proxy& proxy, const CallPtr& call, const char* outcome) {
  StopWaiting(proxy, call);
  if (proxy.calls.erase(call->number) == 0) return;
  call->timeout = {};
  call->patience = {};
  call->caller->OnDisconnect(nullptr);
  proxy.body_bytes -= call->body_bytes;
  const Time now = NowOf(proxy);
  kernel::Observe(proxy.metrics, call->measures->whole_answer,
                  now - call->arrived);
  if (call->events > 1) {
    kernel::Observe(proxy.metrics, call->measures->longest_pause,
                    call->longest_pause);
  }
  CountCall(proxy, *call, outcome);
  kernel::LogEvent(
      LogPart::kRoute, call->ended_well ? LogLevel::kInfo : LogLevel::kWarning,
      "ended",
      {{"req", call->facts.id},
       {"outcome", outcome},
       {"route", call->route->name},
       {"account", call->account ? call->account->name : "-"},
       {"ms", Between(call->arrived, now)},
       {"first_ms", call->events > 0
                        ? Between(call->arrived, call->first_event_at)
                        : milliseconds{}},
       {"pause_ms", call->longest_pause},
       {"may_have_run", call->may_have_run},
       {"not_run", call->not_run},
       {"not_sent", call->not_sent},
       {"events", call->events}});
}

}  // namespace egretladder::proxy
