// Answers of endpoints and peers: reads them within bounds, and passes events
// on as they come.
#include <algorithm>
#include <array>
#include <utility>

#include "attempts_p.h"
#include "egretladder/routing/caller_backlog.h"
#include "egretladder/routing/placement_cost.h"

namespace egretladder::proxy {
namespace {

using routing::AttemptOutcome;

void MarkAttemptStarted(Proxy& proxy, const CallPtr& call) {
  Attempt& attempt = *call->attempt;
  if (attempt.started) return;
  attempt.started = true;
  const Time now = NowOf(proxy);
  kernel::Observe(proxy.metrics, call->class_metrics->first_event,
                  now - call->arrived_at);
  if (!attempt.peer.empty()) return;
  routing::OnAttemptStarted(*attempt.endpoint, call->demand, attempt.number,
                            attempt.placement);
  routing::OnFirstByte(
      *attempt.endpoint, Elapsed(attempt.sent_at, now),
      milliseconds(static_cast<std::int64_t>(attempt.placement.expected_ms)),
      now);
}

// Adds a sample to the engine's pace every `kEventsPerPaceSample` events.
void RecordPace(Proxy& proxy, const Call& call, std::uint64_t events) {
  Attempt& attempt = *call.attempt;
  const Time now = NowOf(proxy);
  if (attempt.pace_sample_start == Time{}) {
    attempt.pace_sample_start = now;
    return;
  }
  attempt.pace_sample_events += events;
  if (attempt.pace_sample_events < routing::kEventsPerPaceSample) return;
  const std::chrono::duration<double, std::milli> elapsed =
      now - attempt.pace_sample_start;
  routing::Endpoint& endpoint = *attempt.endpoint;
  routing::ServicePace& pace =
      proxy.endpoints.service_paces[call.service->name];
  routing::OnEventInterval(
      endpoint.pace, pace, endpoint.in_flight + endpoint.peers_in_flight,
      elapsed / static_cast<double>(attempt.pace_sample_events));
  routing::OnStreamRunning(pace, call.route->name,
                           static_cast<double>(call.events));
  attempt.pace_sample_start = now;
  attempt.pace_sample_events = 0;
}

// Learns from the time since the attempt's last event how long streams pause
// beside long prompts.
void RecordInterval(Proxy& proxy, const Call& call) {
  Attempt& attempt = *call.attempt;
  const Time now = NowOf(proxy);
  const Time last_event_at = std::exchange(attempt.last_event_at, now);
  if (last_event_at == Time{} || !call.service->generates ||
      !routing::TakesLongPrompts(proxy.endpoints, *attempt.endpoint)) {
    return;
  }
  routing::OnIntervalBesidePrompts(
      proxy.endpoints.pauses, attempt.endpoint->pace,
      routing::FindServicePace(proxy.endpoints, call.service->name),
      now - last_event_at);
}

// Records once that the endpoint lives on after the first event on the prompt.
void RecordProof(Proxy& proxy, Call& call) {
  Attempt& attempt = *call.attempt;
  const Time now = NowOf(proxy);
  if (attempt.first_event_at == Time{}) attempt.first_event_at = now;
  if (attempt.is_prompt_proven ||
      now - attempt.first_event_at < routing::kMinProvenAnswerTime) {
    return;
  }
  RecordPromptProven(proxy, call);
}

void RecordPause(Call& call, Time now) {
  if (call.first_event_at == Time{}) {
    call.first_event_at = now;
  } else {
    call.longest_pause =
        std::max(call.longest_pause, Elapsed(call.last_event_at, now));
  }
  call.last_event_at = now;
}

// Abandons an endpoint that has sent nothing for too long, if the call has an
// attempt and the service a retry left. The timer is set only for calls that
// may run twice.
void OnSilenceTimeout(Proxy& proxy, const CallPtr& call) {
  if (call->attempt == nullptr) return;
  const bool has_attempts_left = call->may_have_run + 1 < call->max_attempts;
  if (!has_attempts_left || !TryReserveRetry(proxy, *call)) {
    return;
  }
  net::Cancel(call->attempt->exchange);
  EndAttempt(proxy, call, AttemptOutcome::kSilent, "no event in time");
}

milliseconds GetStallTimeout(const Call& call) {
  const auto max_pause = std::chrono::duration_cast<milliseconds>(
      call.route->gap_target * kStallTimeoutFactor);
  return std::max(max_pause, kMinStallTimeout);
}

// Stops reading from the endpoint until the caller has received all that was
// sent to it. Otherwise the events for slow callers pile up in this node, and a
// few hundred such callers exhaust its memory. The endpoint does not count as
// silent meanwhile.
void PauseReading(Proxy& proxy, const CallPtr& call) {
  net::SetReading(call->attempt->exchange, false);
  call->silence_timer = {};
  call->caller->OnDrained([&proxy, weak_call = std::weak_ptr<Call>(call)] {
    const auto locked = weak_call.lock();
    if (locked == nullptr || locked->attempt == nullptr) return;
    locked->caller->OnDrained(nullptr);
    net::SetReading(locked->attempt->exchange, true);
    if (routing::IsRouteRepeatable(*locked->route)) {
      StartSilenceTimer(proxy, locked, GetStallTimeout(*locked));
    }
  });
}

// Records events of the attempt that were received.
void RecordEvents(Proxy& proxy, Call& call, std::uint64_t count) {
  call.events += count;
  if (call.attempt->peer.empty()) {
    RecordPace(proxy, call, count);
    RecordInterval(proxy, call);
  }
  RecordPause(call, NowOf(proxy));
  RecordProof(proxy, call);
}

// Ends an attempt whose answer is not read any further.
void GiveUpAnswer(Proxy& proxy, const CallPtr& call, const char* why,
                  AttemptOutcome outcome = AttemptOutcome::kBadAnswer) {
  net::Cancel(call->attempt->exchange);
  EndAttempt(proxy, call, outcome, why);
}

// Records how many bytes of the attempt's answer are kept.
void CountBuffered(Proxy& proxy, Attempt& attempt) {
  const std::size_t bytes = attempt.head_bytes + attempt.body.size() +
                            attempt.held_bytes.size() +
                            attempt.splitter.incomplete_event.size();
  proxy.buffered_bytes += bytes;
  proxy.buffered_bytes -= std::exchange(attempt.buffered_bytes, bytes);
}

std::size_t BufferedBytes(const CallPtr& call) {
  return call->attempt == nullptr ? 0 : call->attempt->buffered_bytes;
}

routing::CallerBacklogs GetBacklogs(const Proxy& proxy) {
  return {proxy.server_group->unread_bytes(), proxy.options.memory_bytes};
}

std::size_t MaxBacklog(const Proxy& proxy) {
  return routing::MaxStreamBacklog(GetBacklogs(proxy), kMaxCallerBacklogBytes);
}

// Returns true if what callers leave unread leaves room for answers.
bool LimitUnread(Proxy& proxy) {
  if (routing::IsBacklogTooLarge(GetBacklogs(proxy)))
    proxy.server_group->CloseUnread();
  return !routing::IsBacklogTooLarge(GetBacklogs(proxy));
}

// Gives up the largest answer if all of them together leave no room. Others are
// about to end, and their callers needn't suffer for it.
void LimitBuffered(Proxy& proxy) {
  const bool has_room_behind = LimitUnread(proxy);
  const double max_bytes =
      kAnswerMemoryRatio * static_cast<double>(proxy.options.memory_bytes);
  const bool has_room = static_cast<double>(proxy.buffered_bytes) <= max_bytes;
  if ((has_room && has_room_behind) || proxy.calls.empty()) return;
  const auto largest = std::max_element(
      proxy.calls.begin(), proxy.calls.end(),
      [](const auto& left, const auto& right) {
        return BufferedBytes(left.second) < BufferedBytes(right.second);
      });
  const CallPtr call = largest->second;
  if (has_room && BufferedBytes(call) < kMinYieldingBytes) return;
  GiveUpAnswer(proxy, call, "no room for the answer");
}

void SendEvents(Proxy& proxy, const CallPtr& call,
                const CheckedEvents& checked) {
  const Attempt& attempt = *call->attempt;
  if (checked.count > 0) RecordEvents(proxy, *call, checked.count);
  if (!call->caller->begun()) {
    OnStreamBegan(proxy, *call);
    call->caller->Begin(attempt.head.status, attempt.head.reason,
                        FieldsToForward(*call, attempt),
                        FramingOf(*call, attempt));
  }
  call->caller->Send(checked.bytes);
}

// Returns true if the attempt has brought an event.
bool ForwardEvents(Proxy& proxy, const CallPtr& call, std::string_view piece) {
  const std::string events = net::SplitEvents(call->attempt->splitter, piece);
  if (events.empty()) return false;
  const CheckedEvents checked = CheckEvents(proxy, *call, events);
  if (!checked.bytes.empty()) {
    SendEvents(proxy, call, checked);
    if (call->caller->UnsentBytes() > MaxBacklog(proxy))
      PauseReading(proxy, call);
  }
  if (checked.end) {
    GiveUpAnswer(proxy, call, "the events don't follow those before",
                 *checked.end);
  }
  return checked.count > 0 || checked.has_held;
}

void OnStreamBytes(Proxy& proxy, const CallPtr& call, std::string_view piece) {
  MarkAttemptStarted(proxy, call);
  const std::uint64_t number = call->attempt->number;
  const bool has_events = ForwardEvents(proxy, call, piece);
  // It may have been given up, and another one begun.
  if (call->attempt == nullptr || call->attempt->number != number) return;
  Attempt& attempt = *call->attempt;
  if (attempt.splitter.bytes_since_event > kMaxEventBytes ||
      attempt.held_bytes.size() > kMaxEventBytes) {
    GiveUpAnswer(proxy, call, "an event without end");
    return;
  }
  const bool is_backlogged = call->caller->UnsentBytes() > MaxBacklog(proxy);
  // Bytes that make no event don't count: they may drip without end.
  if (has_events && routing::IsRouteRepeatable(*call->route) &&
      !is_backlogged) {
    StartSilenceTimer(proxy, call, GetStallTimeout(*call));
  }
  CountBuffered(proxy, attempt);
  LimitBuffered(proxy);
}

void OnBody(Proxy& proxy, const CallPtr& call, std::string_view piece) {
  Attempt& attempt = *call->attempt;
  if (attempt.peer.empty())
    routing::OnSignOfLife(*attempt.endpoint, NowOf(proxy));
  if (attempt.is_event_stream) {
    OnStreamBytes(proxy, call, piece);
    return;
  }
  attempt.body.append(piece);
  if (attempt.body.size() > kMaxBufferedAnswerBytes) {
    GiveUpAnswer(proxy, call, "the answer is too large");
    return;
  }
  CountBuffered(proxy, attempt);
  LimitBuffered(proxy);
}

AttemptOutcome ClassifyExchangeError(net::ExchangeError error) {
  switch (error) {
    case net::ExchangeError::kNotConnected:
    case net::ExchangeError::kNotOpened:
      return AttemptOutcome::kNotSent;
    case net::ExchangeError::kBroken:
      return AttemptOutcome::kBroken;
    case net::ExchangeError::kBadAnswer:
      break;
  }
  return AttemptOutcome::kBadAnswer;
}

}  // namespace

bool ImpliesNotRun(int status) {
  constexpr std::array<int, 4> kNotRunStatuses = {408, kMisdirected, 429, 503};
  return std::find(kNotRunStatuses.begin(), kNotRunStatuses.end(), status) !=
         kNotRunStatuses.end();
}

void KeepAnswerHead(Proxy& proxy, const Call& call,
                    const net::HttpAnswerHead& head,
                    const AnswerMetadata& metadata) {
  Attempt& attempt = *call.attempt;
  attempt.head = head;
  attempt.head_bytes = net::MemoryOf(head.fields);
  CountBuffered(proxy, attempt);
  attempt.metadata = metadata;
  attempt.weights = metadata.weights;
  attempt.splitter.mark_field = proxy.dialect->weights_field();
  // Bytes after an earlier answer may look like one, and name no request.
  attempt.is_named = metadata.id == call.metadata.id;
  attempt.is_vouched = metadata.sealed && !metadata.encoded && attempt.is_named;
  attempt.is_event_stream = IsSuccess(head.status) &&
                            metadata.is_event_stream && attempt.is_vouched &&
                            !metadata.not_run;
  if (attempt.is_event_stream && attempt.peer.empty())
    RecordFraming(proxy, call, IsFramed(head));
}

net::ExchangeHandlers MakeAnswerHandlers(Proxy& proxy, const CallPtr& call) {
  net::ExchangeHandlers handlers;
  handlers.on_body = [&proxy, call](std::string_view piece) {
    OnBody(proxy, call, piece);
  };
  handlers.on_end = [&proxy, call](net::AnswerEnd end) {
    MarkAttemptStarted(proxy, call);
    OnAnswerEnded(proxy, call, end);
  };
  handlers.on_error = [&proxy, call](net::ExchangeError error,
                                     const std::string& detail) {
    if (call->attempt != nullptr)
      call->attempt->is_refused = error == net::ExchangeError::kNotConnected;
    EndAttempt(proxy, call, ClassifyExchangeError(error), detail);
  };
  return handlers;
}

bool ForwardHeld(Proxy& proxy, const CallPtr& call) {
  const CheckedEvents checked = CheckEnd(proxy, *call);
  if (!checked.bytes.empty()) SendEvents(proxy, call, checked);
  if (!checked.end) return true;
  EndAttempt(proxy, call, *checked.end,
             "an event may be missing before the end");
  return false;
}

void StartSilenceTimer(Proxy& proxy, const CallPtr& call,
                       milliseconds timeout) {
  call->silence_timer = kernel::RunAfter(
      *proxy.loop, timeout, [&proxy, weak_call = std::weak_ptr<Call>(call)] {
        if (const auto locked = weak_call.lock()) {
          OnSilenceTimeout(proxy, locked);
        }
      });
}

}  // namespace egretladder::proxy
