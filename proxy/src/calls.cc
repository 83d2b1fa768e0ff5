// Calls: dispatches, queues and ends the requests of callers.
#include <algorithm>
#include <optional>
#include <utility>

#include "egretladder/routing/brittle.h"
#include "state_p.h"

namespace egretladder::proxy {
namespace {

using kernel::LogLevel;
using kernel::LogPart;

constexpr int kBadGateway = 502;
constexpr int kUnavailable = 503;
constexpr int kGatewayTimeout = 504;
constexpr milliseconds kOverloadRetryDelay{300};

void OnDeadline(Proxy& proxy, const CallPtr& call) {
  if (call->attempt != nullptr && call->attempt->peer.empty())
    RecordUnanswered(proxy, *call, routing::AttemptOutcome::kSilent);
  AbortCall(proxy, call, kGatewayTimeout,
            call->caller->begun() ? "cut-at-deadline" : "timeout", {});
}

void OnCallerGone(Proxy& proxy, const CallPtr& call) {
  CancelAttempt(proxy, call);
  EndCall(proxy, call, "caller-gone");
}

void EnqueueCall(Proxy& proxy, const CallPtr& call) {
  if (call->waiting) return;
  if (proxy.waiting_calls.size() >= routing::kMaxWaitingRequests) {
    // The queue is full. The newest call of the least urgent tier is rejected,
    // which may be this call.
    const auto last = std::prev(proxy.waiting_calls.end());
    if (last->first.first <= call->demand.tier) {
      AbortCall(proxy, call, kBadGateway, "overloaded", kOverloadRetryDelay);
      return;
    }
    const CallPtr shed_call = last->second;
    AbortCall(proxy, shed_call, kBadGateway, "overloaded", kOverloadRetryDelay);
  }
  call->waiting = true;
  proxy.waiting_calls.emplace(std::pair(call->demand.tier, call->number), call);
  if (!proxy.waiting_timer_armed) {
    proxy.waiting_timer_armed = true;
    proxy.waiting_timer = kernel::RunEvery(
        *proxy.loop, kQueuePollInterval, [&proxy] { DispatchWaiting(proxy); });
  }
}

void DequeueCall(Proxy& proxy, const CallPtr& call) {
  if (!call->waiting) return;
  call->waiting = false;
  proxy.waiting_calls.erase(std::pair(call->demand.tier, call->number));
}

// Returns true if this node accepts the request; otherwise rejects it.
bool AcceptRequest(Proxy& proxy, const net::HttpCallPtr& caller) {
  if (!CanAcceptRequests(proxy)) {
    RejectRequest(proxy, caller, kUnavailable, "leaving",
                  "this node is leaving", kLeavingRetryDelay);
    return false;
  }
  if (!HasRoomForRequest(proxy, net::MemoryOf(caller->request()))) {
    RejectRequest(proxy, caller, kUnavailable, "overloaded",
                  "no room for the request", kOverloadRetryDelay);
    return false;
  }
  return true;
}

// Ends a call that is sent to no further endpoint.

void RefuseSuspect(Proxy& proxy, const CallPtr& call, milliseconds hold_time) {
  IncrementCounter(proxy, "egretladder_held_requests_total",
                   "Requests refused since they seem to crash endpoints.",
                   "service=\"" + call->service->name + "\"");
  kernel::LogEvent(LogPart::kRoute, LogLevel::kWarning, "not-sent",
                   {{"req", call->metadata.id},
                    {"verdict", "crashes-endpoints"},
                    {"request", NameOfSuspect(GetFingerprint(*call))},
                    {"held_ms", hold_time},
                    {"service", call->service->name}});
  RefuseOrAbort(proxy, call, "crashes_endpoints", hold_time);
}

// Returns the names of the nodes that send to the endpoints to which this one
// doesn't.
std::vector<std::string> FindOtherSenders(Proxy& proxy, const Call& call,
                                          const routing::Placement& placement,
                                          Time now) {
  std::vector<std::string> senders;
  const routing::BrittleStatement* brittle =
      routing::FindBrittle(proxy.endpoints, call.service->name, now);
  if (brittle == nullptr) return senders;
  for (const routing::EndpointPtr& endpoint : placement.elsewhere) {
    for (std::string& name : routing::FindBrittleSenders(
             *endpoint, *brittle, GetFleetSnapshot(proxy, call, now)))
      senders.push_back(std::move(name));
  }
  return senders;
}

std::optional<routing::HandoverPeer> ChoosePeer(
    Proxy& proxy, const Call& call, const routing::Placement& placement,
    routing::HandoverReason reason) {
  const Time now = NowOf(proxy);
  const routing::ServiceBits service =
      routing::BitOfService(*call.table, call.service->name);
  if (reason == routing::HandoverReason::kOtherSenders) {
    return routing::ChooseSenderPeer(
        proxy.members, proxy.handovers, service, call.tried_peers,
        FindOtherSenders(proxy, call, placement, now), now);
  }
  return routing::ChooseHandoverPeer(proxy.members, proxy.handovers, service,
                                     call.tried_peers, proxy.random, now);
}

// Hands the call over to a peer if this node can't make the next attempt
// itself, or declines it if a peer handed it over. Returns true if it did.
bool TryHandOver(Proxy& proxy, const CallPtr& call,
                 const routing::Placement& placement) {
  const Time now = NowOf(proxy);
  routing::HandoverInput input;
  input.is_all_down = placement.reason == routing::PlacementReason::kAllDown;
  input.not_sent = call->not_sent;
  input.unanswered = call->unanswered;
  // Without an endpoint there is nothing to probe.
  routing::ServiceReach& reach = proxy.reaches[call->service->name];
  routing::OnReachWanted(reach, now);
  input.is_failing = routing::IsFailing(reach);
  // A peer that handed the call over chose this node as one that sends, so that
  // the call waits here for room.
  input.is_for_other_senders =
      call->handed_over
          ? placement.reason == routing::PlacementReason::kOtherSenders
          : !placement.elsewhere.empty();
  input.may_reach =
      placement.endpoint == nullptr
          ? reach.state != routing::ReachState::kLost
          : routing::TryReach(reach,
                              {Elapsed(now, call->deadline),
                               routing::IsRouteRepeatable(*call->route)},
                              now);
  const routing::HandoverReason reason = routing::DecideHandover(input);
  if (reason == routing::HandoverReason::kNone) return false;
  if (call->handed_over) {
    if (call->delivered_attempts > 0) return false;
    DequeueCall(proxy, call);
    DeclineCall(proxy, call, reason);
    return true;
  }
  const auto peer = ChoosePeer(proxy, *call, placement, reason);
  if (!peer) return false;
  DequeueCall(proxy, call);
  StartHandover(proxy, call, *peer, reason);
  return true;
}

}  // namespace

const routing::FleetSnapshot& GetFleetSnapshot(Proxy& proxy, const Call& call,
                                               Time now) {
  return routing::GetFleetSnapshot(
      proxy.members, routing::BitOfService(*call.table, call.service->name),
      now);
}

std::size_t BytesOfRequests(const Proxy& proxy) {
  return proxy.request_bytes + proxy.server_group->incomplete_bytes();
}

std::size_t MaxBytesOfRequests(const Proxy& proxy, std::size_t bytes) {
  const double ratio = bytes <= kSmallRequestBytes ? kSmallRequestMemoryRatio
                                                   : kRequestMemoryRatio;
  return static_cast<std::size_t>(
      ratio * static_cast<double>(proxy.options.memory_bytes));
}

bool HasRoomForRequest(const Proxy& proxy, std::size_t bytes) {
  return BytesOfRequests(proxy) + bytes <= MaxBytesOfRequests(proxy, bytes);
}

std::uint64_t GetFingerprint(Call& call) {
  if (call.fingerprint == 0) {
    const net::HttpRequest& request = call.caller->request();
    const std::uint64_t account_hash =
        call.account != nullptr ? kernel::HashBytes(call.account->name) : 0;
    const std::uint64_t target_hash =
        kernel::HashBytes(request.target, account_hash);
    call.fingerprint =
        routing::KeyOfRequest(kernel::HashBytes(request.body, target_hash));
  }
  return call.fingerprint;
}

void RejectRequest(Proxy& proxy, const net::HttpCallPtr& caller, int status,
                   const char* code, const std::string& reason,
                   milliseconds retry_after) {
  IncrementCounter(proxy, "egretladder_rejected_total",
                   "Requests rejected before they were routed.",
                   std::string("code=\"") + code + "\"");
  kernel::LogEvent(LogPart::kRoute, LogLevel::kWarning, "rejected",
                   {{"req", proxy.dialect->request_id(caller->request())},
                    {"status", status},
                    {"code", code},
                    {"why", reason},
                    {"target", caller->request().target},
                    {"rules", proxy.rules ? proxy.rules->version : 0}});
  AnswerError(caller, status, code, reason, "no", retry_after);
}

void OnRequest(Proxy& proxy, const net::HttpCallPtr& caller) {
  if (!AcceptRequest(proxy, caller)) return;
  if (proxy.rules == nullptr) {
    AwaitRules(proxy, caller);
    return;
  }
  RouteAndDispatch(proxy, caller, NowOf(proxy), nullptr);
}

void RefuseOrAbort(Proxy& proxy, const CallPtr& call, const char* code,
                   milliseconds retry_after) {
  if (EndTrustedStream(proxy, call)) return;
  if (call->caller->begun()) {
    call->caller->Abort();
    EndCall(proxy, call, "broke-off");
    return;
  }
  RefuseCall(proxy, call, call->may_have_run > 0 ? kBadGateway : kUnavailable,
             code, retry_after);
}

void RouteAndDispatch(Proxy& proxy, const net::HttpCallPtr& caller,
                      Time arrived_at, const HandoverHeader* handover) {
  const CallPtr call = MakeRoutedCall(proxy, caller, arrived_at, handover);
  if (call == nullptr) return;
  proxy.request_bytes += call->request_bytes;
  proxy.calls.emplace(call->number, call);
  // The node that the caller asked has counted a handed over request.
  if (handover == nullptr) {
    routing::OnRequest(proxy.retry_budgets[call->service->name],
                       proxy.options.retries, NowOf(proxy));
  }
  caller->OnDisconnect([&proxy, call] { OnCallerGone(proxy, call); });
  call->deadline_timer = kernel::RunAfter(
      *proxy.loop,
      std::chrono::ceil<milliseconds>(call->deadline - NowOf(proxy)) +
          kDeadlineMargin,
      [&proxy, weak_call = std::weak_ptr<Call>(call)] {
        if (const auto locked = weak_call.lock()) OnDeadline(proxy, locked);
      });
  DispatchAtItsVersion(proxy, call);
}

milliseconds RetryDelayAfterAttempts(Proxy& proxy, const Call& call) {
  const Time now = NowOf(proxy);
  routing::Placement placement = routing::ChoosePlacement(
      proxy.endpoints, call.demand, call.tried_endpoints,
      GetFleetSnapshot(proxy, call, now), proxy.random, now);
  // An endpoint that could be used now doesn't say when a caller will be
  // served: the attempts of this call have failed.
  if (placement.endpoint != nullptr) placement = {};
  return routing::RetryAfterRejection(placement, call.route->target,
                                      proxy.random);
}

void Dispatch(Proxy& proxy, const CallPtr& call) {
  const Time now = NowOf(proxy);
  if (const auto hold_time = GetSuspectHoldTime(proxy, *call);
      hold_time.count() > 0) {
    RefuseSuspect(proxy, call, hold_time);
    return;
  }
  if (AwaitBegin(proxy, call)) return;
  if (!RequireVersion(proxy, *call)) {
    RefuseOrAbort(proxy, call, "unknown_version", {});
    return;
  }
  const routing::FleetSnapshot& fleet = GetFleetSnapshot(proxy, *call, now);
  const std::size_t nodes = fleet.nodes;
  const routing::Placement placement =
      routing::ChoosePlacement(proxy.endpoints, call->demand,
                               call->tried_endpoints, fleet, proxy.random, now);
  routing::AdmissionInput input;
  if (!call->waiting) call->waiting_since = now;
  input.waiting_since = call->waiting_since;
  input.deadline = call->deadline;
  input.target = call->route->target;
  input.was_sent_before = call->delivered_attempts > 0;
  const routing::AdmissionVerdict verdict =
      routing::DecideAdmission(input, placement, now);
  // A stopping node refuses a call that it can't finish before the call waits
  // for a free endpoint, so that the caller has time left for another node.
  const bool may_proceed =
      verdict == routing::AdmissionVerdict::kSend ||
      (verdict == routing::AdmissionVerdict::kWait && !call->waiting);
  if (may_proceed && call->may_have_run == 0 &&
      !CanStillFinish(proxy, *call, placement)) {
    RefuseCall(proxy, call, kUnavailable, "leaving", kLeavingRetryDelay);
    return;
  }
  if (TryHandOver(proxy, call, placement)) return;
  if (verdict == routing::AdmissionVerdict::kWait) {
    EnqueueCall(proxy, call);
    return;
  }
  DequeueCall(proxy, call);
  if (verdict == routing::AdmissionVerdict::kSend) {
    StartCheckedAttempt(proxy, call, placement);
    return;
  }
  kernel::LogEvent(LogPart::kRoute, LogLevel::kWarning, "not-sent",
                   {{"req", call->metadata.id},
                    {"verdict", routing::NameOf(verdict)},
                    {"place", routing::NameOf(placement.reason)},
                    {"expected_ms", placement.expected_ms},
                    {"left_ms", Elapsed(now, call->deadline)},
                    {"waited_ms", Elapsed(call->waiting_since, now)},
                    {"service", call->service->name},
                    {"tier", call->demand.tier},
                    {"nodes", nodes}});
  RefuseOrAbort(proxy, call, routing::NameOf(verdict),
                routing::RetryAfterRejection(placement, call->route->target,
                                             proxy.random));
}

void DispatchWaiting(Proxy& proxy) {
  // Iterates over a copy, since a dispatch may end other waiting calls.
  std::vector<CallPtr> queued;
  queued.reserve(proxy.waiting_calls.size());
  for (const auto& [key, call] : proxy.waiting_calls) queued.push_back(call);
  for (const CallPtr& call : queued) {
    if (call->waiting) Dispatch(proxy, call);
  }
  if (proxy.waiting_calls.empty()) {
    proxy.waiting_timer_armed = false;
    proxy.waiting_timer = {};
  }
}

void RefuseCall(Proxy& proxy, const CallPtr& call, int status, const char* code,
                milliseconds retry_after) {
  DequeueCall(proxy, call);
  call->refusal_status = status;
  const bool may_have_run = status == kBadGateway || status == kGatewayTimeout;
  AnswerError(
      call->caller, status, code,
      may_have_run ? "the request may have run" : "the request has not run",
      may_have_run ? "unknown" : "no",
      may_have_run ? milliseconds{} : retry_after);
  EndCall(proxy, call, code);
}

void AbortCall(Proxy& proxy, const CallPtr& call, int status_if_sent,
               const char* code, milliseconds retry_after) {
  const bool was_sent = WasSent(*call);
  CancelAttempt(proxy, call);
  if (EndTrustedStream(proxy, call)) return;
  if (call->caller->begun()) {
    call->caller->Abort();
    EndCall(proxy, call, code);
    return;
  }
  RefuseCall(proxy, call, was_sent ? status_if_sent : kUnavailable, code,
             retry_after);
}

void EndCall(Proxy& proxy, const CallPtr& call, const char* outcome) {
  DequeueCall(proxy, call);
  if (proxy.calls.erase(call->number) == 0) return;
  call->deadline_timer = {};
  call->silence_timer = {};
  call->open_end = {};
  call->version_lookup = nullptr;
  call->process_check = nullptr;
  ReleaseRetry(proxy, *call);
  call->caller->OnDisconnect(nullptr);
  proxy.request_bytes -= call->request_bytes;
  if (call->handed_over) --proxy.handovers_served;
  const Time now = NowOf(proxy);
  kernel::Observe(proxy.metrics, call->class_metrics->whole_answer,
                  now - call->arrived_at);
  if (call->events > 1) {
    kernel::Observe(proxy.metrics, call->class_metrics->longest_pause,
                    call->longest_pause);
  }
  CountCall(proxy, *call, outcome);
  kernel::LogEvent(
      LogPart::kRoute, call->succeeded ? LogLevel::kInfo : LogLevel::kWarning,
      "ended",
      {{"req", call->metadata.id},
       {"outcome", outcome},
       {"route", call->route->name},
       {"account", call->account ? call->account->name : "-"},
       {"ms", Elapsed(call->arrived_at, now)},
       {"first_ms", call->events > 0
                        ? Elapsed(call->arrived_at, call->first_event_at)
                        : milliseconds{}},
       {"pause_ms", call->longest_pause},
       {"may_have_run", call->may_have_run},
       {"not_run", call->not_run},
       {"not_sent", call->not_sent},
       {"events", call->events}});
}

}  // namespace egretladder::proxy
