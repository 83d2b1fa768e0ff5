#include <event2/buffer.h>

#include <string>

#include "caller_body_p.h"
#include "egretladder/kernel/log.h"
#include "gateway_p.h"
#include "http_headers_p.h"

namespace egretladder::gateway {
namespace {

using policy::EndKind;

constexpr std::string_view kEventStream = "text/event-stream";

CallerCall* FindCall(Gateway& gateway, CallId id, std::uint8_t attempt) {
  const auto at = gateway.calls.find(id);
  if (at == gateway.calls.end()) return nullptr;
  CallerCall& call = *at->second;
  return call.attempt.open && call.attempt.number == attempt ? &call : nullptr;
}

std::shared_ptr<const rules::Rules> RulesOf(const CallerCall& call) {
  return node::RulesOf(*call.gateway->node);
}

void CountOutcome(CallerCall& call, Outcome outcome) {
  Gateway& gateway = *call.gateway;
  const ClassMetrics& of = MetricsOfClass(gateway.call_metrics, gateway.metrics,
                                          RulesOf(call).get(), call.cls);
  kernel::Increment(gateway.metrics,
                    of.outcomes[static_cast<std::size_t>(outcome)]);
}

void CloseAttempt(CallerCall& call, bool wasted) {
  Gateway& gateway = *call.gateway;
  if (wasted) {
    kernel::Increment(gateway.metrics, gateway.call_metrics.wasted_tokens,
                      call.attempt.tokens);
  }
  call.attempt.open = false;
  call.attempt.exchange = nullptr;
}

// Reports a failed attempt to the node. The call may be removed by it.
void Fail(CallerCall& call, EndKind end, const std::string& detail) {
  Gateway& gateway = *call.gateway;
  const CallId id = call.id;
  const Attempt& attempt = call.attempt;
  const std::string where = attempt.address + ": " + detail;
  const std::uint8_t number = attempt.number;
  const bool forward = attempt.forward;
  CloseAttempt(call, true);
  node::Actions actions;
  if (forward) {
    node::OnForwarded(*gateway.node, id, false, end != EndKind::kNotRun,
                      NowOf(gateway), actions);
  } else {
    node::OnFailure(*gateway.node, id, number, end, where, NowOf(gateway),
                    actions);
  }
  Pump(gateway, std::move(actions));
  Later(gateway, [&gateway, id] {
    const auto at = gateway.calls.find(id);
    if (at != gateway.calls.end()) ForgetIfDone(*at->second);
  });
}

// A broken connection may mean a dead endpoint or one bad connection. Only a
// dead endpoint is blamed on the request that ran there, so the endpoint is
// probed first.
void FailAfterProbe(CallerCall& call, const std::string& detail) {
  Gateway& gateway = *call.gateway;
  call.attempt.exchange = nullptr;
  const CallId id = call.id;
  const std::uint8_t number = call.attempt.number;
  const auto conclude = [&gateway, id, number, detail](bool refused) {
    CallerCall* found = FindCall(gateway, id, number);
    if (found == nullptr) return;
    Fail(*found, refused ? EndKind::kDied : EndKind::kFailed,
         refused ? detail + ", and it listens no more" : detail);
  };
  const auto probe = [&gateway, id, number, conclude] {
    gateway.death_pauses.erase(id);
    CallerCall* found = FindCall(gateway, id, number);
    if (found == nullptr) return;
    ProbeListener(*gateway.client, found->attempt.address,
                  [&gateway, conclude](bool refused) {
                    Later(gateway, [conclude, refused] { conclude(refused); });
                  });
  };
  gateway.death_pauses[id] =
      kernel::RunAfter(*gateway.loop, kDeathPause, probe);
}

// From now on the caller receives a part of the answer, so the request can't be
// sent again.
void SeeFirstByte(CallerCall& call) {
  if (call.attempt.first_byte) return;
  call.attempt.first_byte = true;
  Gateway& gateway = *call.gateway;
  const kernel::Time now = NowOf(gateway);
  if (!call.attempt.forward) {
    node::OnFirstToken(*gateway.node, call.id, call.attempt.number, now);
  }
  CountFirstToken(gateway.call_metrics, gateway.metrics, RulesOf(call).get(),
                  call.cls, now - call.arrived);
}

void SeeTokens(CallerCall& call, std::uint64_t tokens) {
  if (tokens == 0) return;
  Gateway& gateway = *call.gateway;
  call.attempt.tokens += tokens;
  kernel::Increment(gateway.metrics, gateway.call_metrics.tokens, tokens);
  if (call.attempt.forward) return;
  node::OnTokens(*gateway.node, call.id, call.attempt.number,
                 static_cast<std::uint32_t>(tokens), NowOf(gateway));
}

// Passes on what the endpoint states about itself. The answer of another node
// states nothing about an endpoint.
void PassNotice(CallerCall& call, const ExchangeHead& head) {
  if (call.attempt.forward) return;
  const node::EndpointNotice notice = NoticeOf(head);
  if (!notice.leaving && notice.backoff.count() == 0) return;
  Gateway& gateway = *call.gateway;
  node::Actions actions;
  node::OnNotice(*gateway.node, call.id, call.attempt.number, notice,
                 NowOf(gateway), actions);
  PumpLater(gateway, std::move(actions));
}

void OnHead(CallerCall& call, const ExchangeHead& head) {
  PassNotice(call, head);
  Attempt& attempt = call.attempt;
  attempt.status = head.status;
  attempt.headers = AnswerHeadersToPass(head.headers);
  attempt.not_run = head.status == HTTP_SERVUNAVAIL &&
                    !HeaderOf(head.headers, kNotRunHeader).empty();
  attempt.content_type = HeaderOf(head.headers, "Content-Type");
  const bool events = attempt.content_type.starts_with(kEventStream);
  const bool asked = call.request.stream || !call.request.chat;
  attempt.events = events && head.status == HTTP_OK && asked;
  if (attempt.events && !attempt.keep_answer) attempt.mode = RelayMode::kStream;
}

// Begins to forward an answer that has become too large to be buffered.
void StopHolding(CallerCall& call) {
  Attempt& attempt = call.attempt;
  attempt.mode = RelayMode::kStream;
  SeeFirstByte(call);
  StartStream(call, attempt.status, attempt.headers);
  evbuffer* held = evbuffer_new();
  evbuffer_add(held, attempt.held.data(), attempt.held.size());
  std::string().swap(attempt.held);
  StreamOn(call, held);
  evbuffer_free(held);
}

void Hold(CallerCall& call, evbuffer* data) {
  Attempt& attempt = call.attempt;
  const std::size_t size = evbuffer_get_length(data);
  const std::size_t old = attempt.held.size();
  attempt.held.resize(old + size);
  evbuffer_remove(data, attempt.held.data() + old, size);
  if (attempt.held.size() > call.gateway->options.limits.answer_bytes) {
    StopHolding(call);
  }
}

void OnData(CallerCall& call, evbuffer* data) {
  Attempt& attempt = call.attempt;
  Gateway& gateway = *call.gateway;
  kernel::Increment(gateway.metrics, gateway.call_metrics.relayed_bytes,
                    evbuffer_get_length(data));
  if (attempt.events && call.request.chat) {
    SeeTokens(call, Scan(attempt.sse, data));
    if (attempt.sse.garbage) {
      CancelExchange(attempt.exchange);
      Fail(call, EndKind::kFailed, "answer is not an event stream");
      return;
    }
  }
  if (attempt.mode == RelayMode::kHold) {
    Hold(call, data);
    return;
  }
  SeeFirstByte(call);
  StartStream(call, attempt.status, attempt.headers);
  StreamOn(call, data);
}

// Returns what is wrong with a complete HTTP answer; empty: nothing.
std::string FaultOf(CallerCall& call) {
  const Attempt& attempt = call.attempt;
  if (!call.request.chat || attempt.forward) return "";
  constexpr int kFirstServerError = 500;
  if (attempt.status >= kFirstServerError) {
    return "answered " + std::to_string(attempt.status);
  }
  if (attempt.status != HTTP_OK) return "";
  if (attempt.events) {
    return attempt.sse.done ? "" : "answer ended without [DONE]";
  }
  if (attempt.mode == RelayMode::kStream) return "";
  const ChatAnswer answer = ReadChatAnswer(attempt.held);
  if (!answer.valid) return "answer is not a JSON object";
  SeeTokens(call, answer.tokens);
  return "";
}

void ReplyToCaller(CallerCall& call) {
  Attempt& attempt = call.attempt;
  if (call.reply_started) {
    EndStream(call);
  } else {
    AnswerCallWhole(call, attempt.status, attempt.headers, attempt.held);
  }
}

void Finish(CallerCall& call) {
  Gateway& gateway = *call.gateway;
  const Attempt& attempt = call.attempt;
  const CallId id = call.id;
  const std::uint8_t number = attempt.number;
  const bool forward = attempt.forward;
  SeeFirstByte(call);
  std::shared_ptr<const fleet::StoredAnswer> kept;
  if (attempt.keep_answer && attempt.mode == RelayMode::kHold) {
    kept = std::make_shared<const fleet::StoredAnswer>(fleet::StoredAnswer{
        attempt.status, attempt.content_type, attempt.held});
  }
  if (call.caller != nullptr) CountOutcome(call, Outcome::kServed);
  ReplyToCaller(call);
  CloseAttempt(call, false);
  node::Actions actions;
  if (forward) {
    node::OnForwarded(*gateway.node, id, true, true, NowOf(gateway), actions);
  } else {
    node::OnAnswer(*gateway.node, id, number, std::move(kept), NowOf(gateway),
                   actions);
  }
  ForgetIfDone(call);
  Pump(gateway, std::move(actions));
}

void OnEnd(CallerCall& call, const ExchangeEnd& end) {
  call.attempt.exchange = nullptr;
  switch (end.kind) {
    case ExchangeEndKind::kRefused:
    case ExchangeEndKind::kNotConnected:
      Fail(call, EndKind::kNotRun, end.detail);
      return;
    case ExchangeEndKind::kTimeout:
      Fail(call, end.sent ? EndKind::kFailed : EndKind::kNotRun, end.detail);
      return;
    case ExchangeEndKind::kBroken:
      // The answer may have been complete before the connection broke.
      if (call.attempt.events && call.attempt.sse.done) break;
      if (!end.sent) {
        Fail(call, EndKind::kNotRun, end.detail);
      } else if (call.attempt.forward) {
        Fail(call, EndKind::kFailed, end.detail);
      } else {
        FailAfterProbe(call, end.detail);
      }
      return;
    case ExchangeEndKind::kComplete:
      break;
  }
  if (call.attempt.not_run && !call.attempt.forward) {
    Fail(call, EndKind::kNotRun, "refused by the endpoint");
    return;
  }
  const std::string fault = FaultOf(call);
  if (!fault.empty()) {
    Fail(call, EndKind::kFailed, fault);
    return;
  }
  Finish(call);
}

ExchangeSpec SpecOf(const CallerCall& call, const std::string& address) {
  const Limits& limits = call.gateway->options.limits;
  ExchangeSpec spec;
  spec.address = address;
  spec.method = call.request.method;
  spec.headers = call.request.headers;
  if (call.request.body && !call.request.body->empty()) {
    spec.body = call.request.body;
  }
  spec.answer_time = limits.answer_time;
  spec.idle_timeout = limits.idle_timeout;
  return spec;
}

ExchangeEvents EventsOf(CallerCall& call) {
  ExchangeEvents events;
  // The call outlives its exchange, because it is removed only without one.
  events.on_head = [&call](const ExchangeHead& head) { OnHead(call, head); };
  events.on_data = [&call](evbuffer* data) { OnData(call, data); };
  events.on_end = [&call](const ExchangeEnd& end) { OnEnd(call, end); };
  return events;
}

bool MaySend(Gateway& gateway, CallId id, std::uint8_t attempt) {
  CallerCall* call = FindCall(gateway, id, attempt);
  if (call == nullptr) return false;
  node::Actions actions;
  const bool may =
      node::MaySend(*gateway.node, id, attempt, NowOf(gateway), actions);
  PumpLater(gateway, std::move(actions));
  if (may) return true;
  CloseAttempt(*call, true);
  Later(gateway, [&gateway, id] {
    const auto at = gateway.calls.find(id);
    if (at != gateway.calls.end()) ForgetIfDone(*at->second);
  });
  return false;
}

void Begin(CallerCall& call, Attempt attempt, ExchangeSpec spec,
           ExchangeEvents events) {
  call.attempt = std::move(attempt);
  call.attempt.open = true;
  call.attempt.address = spec.address;
  Exchange* exchange =
      StartExchange(*call.gateway->client, std::move(spec), std::move(events));
  if (call.attempt.open) call.attempt.exchange = exchange;
}

}  // namespace

void SendToEndpoint(Gateway& gateway, const node::SendCall& send) {
  const auto at = gateway.calls.find(send.call);
  if (at == gateway.calls.end()) {
    node::Actions actions;
    node::OnFailure(*gateway.node, send.call, send.attempt, EndKind::kCancelled,
                    "the call is gone", NowOf(gateway), actions);
    Pump(gateway, std::move(actions));
    return;
  }
  CallerCall& call = *at->second;
  if (send.attempt > 1) {
    kernel::Increment(gateway.metrics, gateway.call_metrics.retries);
  }
  ExchangeSpec spec = SpecOf(call, send.address);
  spec.uri = call.request.uri;
  spec.headers.push_back({kRequestIdHeader, call.request_id});
  spec.headers.push_back({"X-Priority", std::to_string(send.engine_priority)});
  spec.headers.push_back({"X-Attempt", std::to_string(send.attempt)});
  ExchangeEvents events = EventsOf(call);
  events.may_send = [&gateway, id = call.id, attempt = send.attempt] {
    return MaySend(gateway, id, attempt);
  };
  Attempt attempt;
  attempt.number = send.attempt;
  attempt.keep_answer = send.keep_answer;
  Begin(call, std::move(attempt), std::move(spec), std::move(events));
}

void SendToOwner(Gateway& gateway, const node::ForwardCall& forward) {
  const auto at = gateway.calls.find(forward.call);
  if (at == gateway.calls.end()) return;
  CallerCall& call = *at->second;
  ExchangeSpec spec = SpecOf(call, forward.caller_address);
  spec.uri = call.request.original_uri;
  spec.headers.push_back({kLaneHeader, call.lane});
  spec.headers.push_back({kForwardedHeader, gateway.options.node.fleet.node});
  Attempt attempt;
  attempt.forward = true;
  Begin(call, std::move(attempt), std::move(spec), EventsOf(call));
}

void CancelAttempt(CallerCall& call) {
  if (!call.attempt.open) return;
  if (call.attempt.exchange != nullptr) CancelExchange(call.attempt.exchange);
  CloseAttempt(call, true);
}

void ForgetIfDone(CallerCall& call) {
  if (call.caller != nullptr || call.attempt.open) return;
  Gateway& gateway = *call.gateway;
  const auto at = gateway.calls.find(call.id);
  if (at == gateway.calls.end()) return;
  ReleaseBody(call);
  // Kept until the next iteration of the loop, since callbacks of this one may
  // still use it.
  gateway.ended.push_back(std::move(at->second));
  gateway.calls.erase(at);
  event_active(gateway.pump.get(), 0, 0);
}

}  // namespace egretladder::gateway
