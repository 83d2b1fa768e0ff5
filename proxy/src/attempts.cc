// One attempt of a call at an endpoint: sending and reading.
#include <algorithm>

#include "attempts_p.h"
#include "egretladder/routing/placement_cost.h"

namespace egretladder::proxy {
namespace {

using kernel::LogLevel;
using kernel::LogPart;
using routing::AttemptOutcome;

constexpr int kUnavailable = 503;
constexpr int kMisdirected = 421;
constexpr int kServerErrors = 500;
// Endpoints tell ten steps apart.
constexpr std::uint8_t kLowestPriority = 9;

// Statuses by which callers are told that nothing ran. From an endpoint they
// promise that only beside its own word for it.
bool PromisesNotRun(int status) {
  constexpr std::array<int, 4> kPromises = {408, kMisdirected, 429,
                                            kUnavailable};
  return std::find(kPromises.begin(), kPromises.end(), status) !=
         kPromises.end();
}

void NoteStarted(Proxy& proxy, const CallPtr& call) {
  Attempt& attempt = *call->attempt;
  if (attempt.started) return;
  attempt.started = true;
  const Time now = NowOf(proxy);
  routing::OnAttemptStarted(*attempt.endpoint, call->demand, attempt.number,
                            attempt.placement);
  routing::OnFirstByte(
      *attempt.endpoint, Between(attempt.sent, now),
      milliseconds(static_cast<std::int64_t>(attempt.placement.expected_ms)));
  kernel::Observe(proxy.metrics, call->measures->first_event,
                  now - call->arrived);
}

AttemptOutcome EndOfWhole(const Attempt& attempt) {
  const int status = attempt.head.status;
  if (attempt.facts.not_run) {
    return status == kMisdirected ? AttemptOutcome::kWrongInstance
                                  : AttemptOutcome::kFull;
  }
  if (IsSuccess(status)) {
    return attempt.facts.sealed && !attempt.facts.encoded
               ? AttemptOutcome::kSucceeded
               : AttemptOutcome::kBadAnswer;
  }
  if (PromisesNotRun(status) || attempt.facts.encoded) {
    return AttemptOutcome::kBadAnswer;
  }
  return status >= kServerErrors ? AttemptOutcome::kFailed
                                 : AttemptOutcome::kSucceeded;
}

net::HeadVerdict OnHead(Proxy& proxy, const CallPtr& call,
                        const net::HttpAnswerHead& head) {
  Attempt& attempt = *call->attempt;
  const AnswerMetadata facts = proxy.dialect->read_answer(head);
  if (!facts.id.empty() && facts.id != call->facts.id) {
    kernel::LogEvent(LogPart::kEndpoint, LogLevel::kWarning, "foreign-answer",
                     {{"req", call->facts.id},
                      {"endpoint", attempt.endpoint->entry.id},
                      {"answers", facts.id}});
    return net::HeadVerdict::kSkip;
  }
  routing::OnSignOfLife(*attempt.endpoint, NowOf(proxy));
  if (head.status != kMisdirected) NoteLimit(proxy, *call, facts);
  attempt.head = head;
  attempt.facts = facts;
  attempt.events = IsSuccess(head.status) && facts.is_event_stream &&
                   facts.sealed && !facts.encoded && !facts.not_run;
  return net::HeadVerdict::kAccept;
}

// One sample of the engine's pace each few events.
void NotePace(Proxy& proxy, const Call& call, std::uint64_t events) {
  Attempt& attempt = *call.attempt;
  const Time now = NowOf(proxy);
  if (attempt.paced == Time{}) {
    attempt.paced = now;
    return;
  }
  attempt.paced_events += events;
  if (attempt.paced_events < routing::kEventsPerPaceSample) return;
  const std::chrono::duration<double, std::milli> took = now - attempt.paced;
  routing::Endpoint& endpoint = *attempt.endpoint;
  routing::ServicePace& pace =
      proxy.endpoints.service_paces[call.service->name];
  routing::OnEventInterval(endpoint.pace, pace,
                           endpoint.in_flight + endpoint.peers_in_flight,
                           took / static_cast<double>(attempt.paced_events));
  routing::OnStreamRunning(pace, call.route->name,
                           static_cast<double>(call.events));
  attempt.paced = now;
  attempt.paced_events = 0;
}

void NotePause(Call& call, Time now) {
  if (call.first_event_at == Time{}) {
    call.first_event_at = now;
  } else {
    call.longest_pause =
        std::max(call.longest_pause, Between(call.last_event_at, now));
  }
  call.last_event_at = now;
}

// Whether the wait for this endpoint is worth ending: only work that may run
// twice, with attempts, time and retries left.
void OnImpatient(Proxy& proxy, const CallPtr& call) {
  if (call->attempt == nullptr) return;
  const bool has_more = call->may_have_run + 1 < call->route->attempts;
  if (!has_more || !TryConsumeRetry(proxy, *call)) {
    return;
  }
  net::Cancel(call->attempt->exchange);
  EndAttempt(proxy, call, AttemptOutcome::kSilent, "no event in time");
}

void SetPatience(Proxy& proxy, const CallPtr& call, milliseconds patience) {
  call->patience = kernel::RunAfter(*proxy.loop, patience,
                                    [&proxy, weak = std::weak_ptr<Call>(call)] {
                                      if (const auto kept = weak.lock()) {
                                        OnImpatient(proxy, kept);
                                      }
                                    });
}

milliseconds PatienceFor(const Call& call,
                         const routing::Placement& placement) {
  const auto expected = milliseconds(
      static_cast<std::int64_t>(placement.expected_ms * kPatienceRatio));
  const bool cheap =
      call.service->generates && !routing::IsLongPrompt(call.demand);
  const auto least = cheap ? std::chrono::duration_cast<milliseconds>(
                                 call.route->target * kPatiencePart)
                           : call.route->target;
  return std::max(least, expected);
}

milliseconds StallOf(const Call& call) {
  const auto gap = std::chrono::duration_cast<milliseconds>(
      call.route->gap_target * kStallRatio);
  return std::max(gap, kStallLeast);
}

// A caller that reads slowly holds back its endpoint, not this node: events
// that it hasn't taken would pile up here, and some hundred such callers cost
// the node its memory. Read on once it has taken all; until then its endpoint
// can't be called silent.
void HoldBack(Proxy& proxy, const CallPtr& call) {
  net::SetReading(call->attempt->exchange, false);
  call->patience = {};
  call->caller->OnDrained([&proxy, weak = std::weak_ptr<Call>(call)] {
    const auto kept = weak.lock();
    if (kept == nullptr || kept->attempt == nullptr) return;
    kept->caller->OnDrained(nullptr);
    net::SetReading(kept->attempt->exchange, true);
    if (routing::IsRouteRepeatable(*kept->route)) {
      SetPatience(proxy, kept, StallOf(*kept));
    }
  });
}

void PassEvents(Proxy& proxy, const CallPtr& call, std::string_view piece) {
  Attempt& attempt = *call->attempt;
  const std::uint64_t before = attempt.splitter.events;
  const std::string events = net::SplitEvents(attempt.splitter, piece);
  if (events.empty()) return;
  call->events += attempt.splitter.events - before;
  NotePace(proxy, *call, attempt.splitter.events - before);
  NotePause(*call, NowOf(proxy));
  if (!attempt.splitter.last_id.empty()) {
    call->last_event_id = attempt.splitter.last_id;
  }
  if (!call->caller->begun()) {
    call->caller->Begin(attempt.head.status, attempt.head.reason,
                        FieldsToPass(attempt.head.fields));
  }
  call->caller->Send(events);
  if (call->caller->UnsentBytes() > kCallerBacklog) HoldBack(proxy, call);
}

void OnBody(Proxy& proxy, const CallPtr& call, std::string_view piece) {
  Attempt& attempt = *call->attempt;
  routing::OnSignOfLife(*attempt.endpoint, NowOf(proxy));
  if (attempt.events) {
    NoteStarted(proxy, call);
    PassEvents(proxy, call, piece);
    const bool held_back = call->caller->UnsentBytes() > kCallerBacklog;
    if (call->attempt != nullptr && routing::IsRouteRepeatable(*call->route) &&
        !held_back) {
      SetPatience(proxy, call, StallOf(*call));
    }
    return;
  }
  attempt.body.append(piece);
  if (attempt.body.size() > kWholeAnswerMost) {
    net::Cancel(attempt.exchange);
    EndAttempt(proxy, call, AttemptOutcome::kBadAnswer,
               "the answer is too large");
  }
}

void OnEnd(Proxy& proxy, const CallPtr& call) {
  Attempt& attempt = *call->attempt;
  NoteStarted(proxy, call);
  if (!attempt.events) {
    EndAttempt(proxy, call, EndOfWhole(attempt), "");
    return;
  }
  const bool whole =
      attempt.splitter.incomplete_event.empty() && call->events > 0;
  EndAttempt(proxy, call,
             whole ? AttemptOutcome::kSucceeded : AttemptOutcome::kBroken,
             whole ? "" : "the stream ended inside an event");
}

AttemptOutcome EndOfFault(net::ExchangeError fault) {
  switch (fault) {
    case net::ExchangeError::kNotConnected:
      return AttemptOutcome::kNotSent;
    case net::ExchangeError::kBroken:
      return AttemptOutcome::kBroken;
    case net::ExchangeError::kBadAnswer:
      break;
  }
  return AttemptOutcome::kBadAnswer;
}

void LogSent(const Proxy& proxy, const Call& call, Time now) {
  const routing::Placement& placement = call.attempt->placement;
  const routing::Endpoint& endpoint = *placement.endpoint;
  kernel::LogEvent(LogPart::kRoute, LogLevel::kInfo, "sent",
                   {{"req", call.facts.id},
                    {"endpoint", endpoint.entry.id},
                    {"why", routing::NameOf(placement.reason)},
                    {"expected_ms", placement.expected_ms},
                    {"cost", routing::Describe(placement.costs)},
                    {"tight_part", proxy.endpoints.tight_fraction},
                    {"waited_ms", Between(call.arrived, now)},
                    {"left_ms", Between(now, call.deadline)},
                    {"in_flight", endpoint.in_flight},
                    {"others", endpoint.peers_in_flight},
                    {"phase", routing::NameOf(endpoint.phase)},
                    {"tier", call.demand.tier},
                    {"route", call.route->name},
                    {"rules", call.table->version},
                    {"after_event", call.last_event_id}});
}

ForwardMetadata FactsFor(const Call& call, Time now) {
  ForwardMetadata facts;
  facts.endpoint_id = call.attempt->endpoint->entry.id;
  if (call.account != nullptr) facts.account = call.account->name;
  facts.time_left = std::max(milliseconds(1), Between(now, call.deadline));
  if (call.service->generates) {
    facts.priority = std::min(call.demand.tier, kLowestPriority);
  }
  facts.resume_after = call.last_event_id;
  return facts;
}

net::ConnectionReuse ReuseFor(const Call& call, Time now) {
  if (routing::IsRouteRepeatable(*call.route))
    return net::ConnectionReuse::kAny;
  return routing::IsRecentlyHeard(*call.attempt->endpoint, now)
             ? net::ConnectionReuse::kRecentlyUsed
             : net::ConnectionReuse::kNone;
}

net::ExchangeRequest ExchangeFor(const Proxy& proxy, const Call& call,
                                 Time now) {
  const net::HttpRequest& request = call.caller->request();
  const bool bodyless =
      request.body.empty() &&
      net::CountFields(request.fields, "Content-Length") == 0 &&
      net::CountFields(request.fields, "Transfer-Encoding") == 0;
  net::ExchangeRequest exchange;
  exchange.address = call.attempt->endpoint->entry.address;
  exchange.head = net::FormatRequestHead(
      request.method, request.target,
      proxy.dialect->endpoint_fields(request, FactsFor(call, now)),
      bodyless ? net::BodyFraming::kNone : net::BodyFraming::kLength,
      request.body.size());
  exchange.body = request.body;
  exchange.is_head_request = request.method == "HEAD";
  exchange.reuse = ReuseFor(call, now);
  return exchange;
}

net::ExchangeHandlers HandlersFor(Proxy& proxy, const CallPtr& call) {
  net::ExchangeHandlers handlers;
  handlers.may_send = [call] {
    call->attempt->time_left = true;
    return true;
  };
  handlers.on_head = [&proxy, call](const net::HttpAnswerHead& head) {
    return OnHead(proxy, call, head);
  };
  handlers.on_body = [&proxy, call](std::string_view piece) {
    OnBody(proxy, call, piece);
  };
  handlers.on_end = [&proxy, call] { OnEnd(proxy, call); };
  handlers.on_error = [&proxy, call](net::ExchangeError fault,
                                     const std::string& detail) {
    EndAttempt(proxy, call, EndOfFault(fault), detail);
  };
  return handlers;
}

}  // namespace

void StartAttempt(Proxy& proxy, const CallPtr& call,
                  const routing::Placement& placement) {
  const Time now = NowOf(proxy);
  call->attempt = std::make_unique<Attempt>();
  Attempt& attempt = *call->attempt;
  attempt.number = ++proxy.last_number;
  attempt.endpoint = placement.endpoint;
  attempt.placement = placement;
  attempt.sent = now;
  routing::OnRequestPlaced(proxy.sides, call->demand, placement, now);
  routing::OnAttemptSent(*placement.endpoint, call->demand, attempt.number,
                         placement, now);
  kernel::Observe(proxy.metrics, call->measures->waited, now - call->arrived);
  LogSent(proxy, *call, now);
  attempt.exchange = proxy.client->Start(ExchangeFor(proxy, *call, now),
                                         HandlersFor(proxy, call));
  if (routing::IsRouteRepeatable(*call->route)) {
    SetPatience(proxy, call, PatienceFor(*call, placement));
  }
}

}  // namespace egretladder::proxy
