// The end of an attempt: records the outcome and decides what follows.
#include <string>
#include <utility>

#include "attempts_p.h"
#include "egretladder/routing/brittle.h"
#include "egretladder/routing/round_trip.h"

namespace egretladder::proxy {
namespace {

using kernel::LogLevel;
using kernel::LogPart;
using routing::AttemptOutcome;
using routing::NextStep;

constexpr int kBadGateway = 502;
constexpr int kUnavailable = 503;

void ForwardAnswer(Proxy& proxy, const CallPtr& call, const Attempt& attempt) {
  call->caller->OnDisconnect(nullptr);
  const net::HttpFields fields = FieldsToForward(*call, attempt);
  if (attempt.is_end_proven) {
    call->caller->Answer(attempt.head.status, attempt.head.reason, fields,
                         attempt.body);
  } else {
    call->caller->Begin(attempt.head.status, attempt.head.reason, fields,
                        net::BodyFraming::kNone);
    call->caller->Send(attempt.body);
    call->caller->End();
  }
  call->succeeded = IsSuccess(attempt.head.status);
  if (!attempt.peer.empty() && ImpliesNotRun(attempt.head.status)) {
    call->refusal_status = attempt.head.status;
    EndCall(proxy, call, "refused-by-peer");
    return;
  }
  EndCall(proxy, call, call->succeeded ? "answered" : "endpoint-failure");
}

void EndStream(Proxy& proxy, const CallPtr& call, const Attempt& attempt) {
  // Nothing but its end was left of a stream that was taken up.
  if (!call->caller->begun()) {
    call->caller->Begin(attempt.head.status, attempt.head.reason,
                        FieldsToForward(*call, attempt),
                        FramingOf(*call, attempt));
  }
  FinishStream(proxy, call);
}

void RecordBrittleRefusal(Proxy& proxy, const Call& call, Time now) {
  const routing::BrittleStatement* brittle =
      routing::FindBrittle(proxy.endpoints, call.service->name, now);
  if (brittle == nullptr) return;
  routing::Endpoint& endpoint = *call.attempt->endpoint;
  const routing::FleetSnapshot& fleet = GetFleetSnapshot(proxy, call, now);
  const std::uint32_t bound =
      routing::MaxBrittleInFlight(endpoint, *brittle, fleet, now);
  const milliseconds took = Elapsed(call.attempt->first_byte_sent_at, now);
  const milliseconds confirm_time = routing::ConfirmTime(
      proxy.endpoints, endpoint, routing::TransferTime(call.body_bytes));
  routing::OnBrittleRefusal(proxy.endpoints, endpoint, *brittle, took, now);
  IncrementCounter(proxy, "egretladder_brittle_refusals_total",
                   "Requests that brittle endpoints turned away, and whether "
                   "they counted as accepted by then.",
                   "service=\"" + call.service->name + "\",late=\"" +
                       (took < confirm_time ? "no" : "yes") + "\"");
  kernel::LogEvent(LogPart::kEndpoint, LogLevel::kWarning, "brittle-refusal",
                   {{"req", call.metadata.id},
                    {"endpoint", endpoint.entry.id},
                    {"tolerance", brittle->tolerance},
                    {"stated_ms", Elapsed(brittle->stated_at, now)},
                    {"in_flight", endpoint.in_flight},
                    {"bound", bound},
                    {"nodes", fleet.nodes},
                    {"known_nodes", fleet.names.size()},
                    {"took_ms", took},
                    {"confirm_ms", confirm_time},
                    {"up_ms", Elapsed(proxy.members.started, now)},
                    {"peer_ms", Elapsed(proxy.members.last_exchange_at, now)},
                    {"bound_now", routing::MaxBrittleInFlight(
                                      endpoint, *brittle, fleet, now)}});
}

// Records what the outcome says about the endpoint.
void RecordEndpointResult(Proxy& proxy, const Call& call,
                          AttemptOutcome outcome) {
  routing::Endpoint& endpoint = *call.attempt->endpoint;
  const Time now = NowOf(proxy);
  switch (outcome) {
    case AttemptOutcome::kNotSent:
      routing::OnConnectionLost(endpoint, now);
      routing::OnConnectFailed(endpoint, now);
      break;
    case AttemptOutcome::kWithheld:
    case AttemptOutcome::kDeclined:
    case AttemptOutcome::kRefused:
    case AttemptOutcome::kOtherWeights:
    case AttemptOutcome::kUnfit:     // It may be right to refuse the rest.
    case AttemptOutcome::kUnjoined:  // It may serve whole streams.
      break;
    case AttemptOutcome::kFull: {
      const auto jitter = milliseconds(kernel::RandomBelow(
          proxy.random,
          static_cast<std::uint64_t>(routing::kFullPause.count()) + 1));
      routing::OnEndpointFull(endpoint, routing::kFullPause / 2 + jitter, now);
      RecordBrittleRefusal(proxy, call, now);
      break;
    }
    case AttemptOutcome::kWrongInstance:
      routing::OnWrongInstance(proxy.endpoints, endpoint.entry.id);
      break;
    case AttemptOutcome::kBroken:
      routing::OnConnectionLost(endpoint, now);
      routing::OnAttemptFailed(endpoint, now);
      break;
    case AttemptOutcome::kBadAnswer:
    case AttemptOutcome::kIncomplete:
    case AttemptOutcome::kSilent:
    case AttemptOutcome::kFailed:
      routing::OnAttemptFailed(endpoint, now);
      break;
    case AttemptOutcome::kUnproven:
    case AttemptOutcome::kSucceeded:
      routing::OnAnswered(endpoint, Elapsed(call.attempt->sent_at, now), now);
      routing::OnRouteAnswered(
          proxy.endpoints.service_paces[call.service->name], call.route->name,
          Elapsed(call.attempt->sent_at, now));
      break;
  }
}

// The peer may have sent a handed over retry at any time until its answer.
void CountRetryAtPeer(Proxy& proxy, Call& call, const Attempt& attempt) {
  if (attempt.peer.empty() || !attempt.request_sent || attempt.declined) return;
  OnRetrySent(proxy, call);
}

void ReleaseTarget(Proxy& proxy, const CallPtr& call, const Attempt& attempt) {
  proxy.buffered_bytes -= attempt.buffered_bytes;
  if (!attempt.peer.empty()) {
    routing::OnHandoverEnded(proxy.handovers, attempt.peer);
    return;
  }
  RecordAttemptEnded(proxy, *call, attempt);
  routing::OnAttemptStarted(*attempt.endpoint, call->demand, attempt.number,
                            attempt.placement);
  routing::OnAttemptEnded(*attempt.endpoint);
}

void ExecuteNextStep(Proxy& proxy, const CallPtr& call, NextStep step,
                     std::unique_ptr<Attempt> attempt) {
  switch (step) {
    case NextStep::kSendAgain:
    case NextStep::kResume:
      Dispatch(proxy, call);
      return;
    case NextStep::kAskAgain:
      StartCheckedAttempt(proxy, call, attempt->placement);
      return;
    case NextStep::kPassOn:
      if (attempt->is_event_stream) {
        EndStream(proxy, call, *attempt);
      } else {
        ForwardAnswer(proxy, call, *attempt);
      }
      return;
    case NextStep::kEndStream:
      FinishStream(proxy, call);
      return;
    case NextStep::kRefuse:
      RefuseCall(proxy, call, kUnavailable, "no_endpoint",
                 RetryDelayAfterAttempts(proxy, *call));
      return;
    case NextStep::kUnknown:
      RefuseCall(proxy, call, kBadGateway, "outcome_unknown", {});
      return;
    case NextStep::kBreakOff:
      call->caller->Abort();
      EndCall(proxy, call, "broke-off");
      return;
  }
}

// Returns what follows an attempt that ended. Reserves a retry if the request
// is sent again.
NextStep ChooseNextStep(Proxy& proxy, Call& call, const Attempt& attempt,
                        AttemptOutcome outcome) {
  routing::NextStepInput input;
  input.end = outcome;
  input.is_repeatable = routing::IsRouteRepeatable(*call.route);
  input.resumable = call.route->resumable && routing::CanGoOn(call.position);
  input.is_answer_started = call.caller->begun();
  input.continues_answer = attempt.is_event_stream;
  // One that was asked in vain may have ended.
  input.may_be_proven = MayProveEnd(attempt) ||
                        (attempt.end_questions > 0 && !attempt.is_beyond_proof);
  input.is_framed = call.caller->framed();
  input.is_end_trusted = call.open_end.is_trusted;
  input.is_handed_over = call.handed_over;
  input.is_own_attempt = attempt.peer.empty();
  input.attempts = call.max_attempts;
  input.may_have_run = call.may_have_run;
  input.not_run = call.not_run;
  input.not_sent = call.not_sent;
  input.other_weights = call.other_weights;
  input.has_time_left = NowOf(proxy) < call.deadline;
  const NextStep step = routing::DecideNextStep(input);
  const bool is_retry = step == NextStep::kSendAgain ||
                        step == NextStep::kResume ||
                        step == NextStep::kAskAgain;
  if (!is_retry || call.delivered_attempts == 0) return step;
  if (TryReserveRetry(proxy, call)) return step;
  input.has_time_left = false;
  return routing::DecideNextStep(input);
}

void CountAttemptEnd(Proxy& proxy, bool is_own_attempt,
                     AttemptOutcome outcome) {
  const std::string label =
      std::string("end=\"") + routing::NameOf(outcome) + "\"";
  if (is_own_attempt) {
    IncrementCounter(proxy, "egretladder_attempts_total",
                     "Attempts ended, by outcome.", label);
  } else {
    IncrementCounter(proxy, "egretladder_handovers_total",
                     "Requests handed over to peers, by outcome.", label);
  }
}

void LogHandoverEnd(Proxy& proxy, const Call& call, const Attempt& attempt,
                    AttemptOutcome outcome, const std::string& detail,
                    NextStep step) {
  kernel::LogEvent(LogPart::kRoute,
                   outcome == AttemptOutcome::kSucceeded ? LogLevel::kInfo
                                                         : LogLevel::kWarning,
                   "handover-ended",
                   {{"req", call.metadata.id},
                    {"peer", attempt.peer},
                    {"end", routing::NameOf(outcome)},
                    {"status", attempt.head.status},
                    {"detail", detail},
                    {"ms", Elapsed(attempt.sent_at, NowOf(proxy))},
                    {"next", routing::NameOf(step)}});
}

void CountAttempt(Call& call, AttemptOutcome outcome,
                  const routing::EndpointPtr& endpoint, Time now) {
  if (outcome == AttemptOutcome::kNotSent ||
      outcome == AttemptOutcome::kWithheld ||
      outcome == AttemptOutcome::kDeclined) {
    ++call.not_sent;
    return;
  }
  ++call.delivered_attempts;
  call.retry_cause = outcome;
  call.retry_decided_at = now;
  if (outcome == AttemptOutcome::kOtherWeights) {
    ++call.other_weights;
    call.tried_endpoints.push_back(endpoint);
  } else if (routing::IsNotRun(outcome)) {
    // The endpoint stays eligible for later attempts, once the pause after its
    // refusal is over.
    ++call.not_run;
  } else {
    ++call.may_have_run;
    if (endpoint != nullptr) call.tried_endpoints.push_back(endpoint);
  }
}

}  // namespace

void FinishStream(Proxy& proxy, const CallPtr& call) {
  call->caller->OnDisconnect(nullptr);
  call->caller->End();
  call->succeeded = true;
  if (call->events > 0) {
    routing::OnStreamEnded(proxy.endpoints.service_paces[call->service->name],
                           call->route->name, static_cast<double>(call->events),
                           Elapsed(call->first_event_at, NowOf(proxy)));
  }
  EndCall(proxy, call, "answered");
}

net::HttpFields FieldsToForward(const Call& call, const Attempt& attempt) {
  net::HttpFields forwarded;
  for (const net::HttpField& field : attempt.head.fields) {
    if (!net::IsHopByHopField(field.name)) forwarded.push_back(field);
  }
  if (!attempt.peer.empty()) RemoveHandoverFields(forwarded);
  if (call.handed_over) AddEndpointFields(attempt, forwarded);
  return forwarded;
}

void CancelAttempt(Proxy& proxy, const CallPtr& call) {
  if (call->attempt == nullptr) return;
  const auto attempt = std::move(call->attempt);
  net::Cancel(attempt->exchange);
  RecordCancelled(proxy, *call, *attempt);
  if (attempt->peer.empty()) {
    routing::OnBrittleGivenUp(proxy.endpoints, *attempt->endpoint,
                              attempt->number, NowOf(proxy));
  }
  CountRetryAtPeer(proxy, *call, *attempt);
  ReleaseTarget(proxy, call, *attempt);
}

void EndAttempt(Proxy& proxy, const CallPtr& call, AttemptOutcome outcome,
                const std::string& detail) {
  if (call->attempt == nullptr) return;
  call->silence_timer = {};
  const bool is_own_attempt = call->attempt->peer.empty();
  if (is_own_attempt) RecordEndpointResult(proxy, *call, outcome);
  // First, because a lost service is gossiped at once, together with this
  // break.
  RecordSuspect(proxy, *call, outcome);
  if (is_own_attempt) RecordUnanswered(proxy, *call, outcome);
  auto attempt = std::move(call->attempt);
  if (!attempt->splitter.incomplete_event.empty()) DistrustEnd(*call);
  CountRetryAtPeer(proxy, *call, *attempt);
  ReleaseTarget(proxy, call, *attempt);
  CountAttempt(*call, outcome, attempt->endpoint, NowOf(proxy));
  const NextStep step = ChooseNextStep(proxy, *call, *attempt, outcome);
  CountAttemptEnd(proxy, is_own_attempt, outcome);
  if (!is_own_attempt) {
    LogHandoverEnd(proxy, *call, *attempt, outcome, detail, step);
  } else if (outcome != AttemptOutcome::kSucceeded) {
    kernel::LogEvent(LogPart::kEndpoint, LogLevel::kWarning, "attempt-ended",
                     {{"req", call->metadata.id},
                      {"endpoint", attempt->endpoint->entry.id},
                      {"connection", net::ConnectionNumber(attempt->exchange)},
                      {"end", routing::NameOf(outcome)},
                      {"status", attempt->head.status},
                      {"detail", detail},
                      {"ms", Elapsed(attempt->sent_at, NowOf(proxy))},
                      {"phase", routing::NameOf(attempt->endpoint->phase)},
                      {"next", routing::NameOf(step)}});
  }
  if (step == NextStep::kBreakOff || step == NextStep::kUnknown)
    KeepStepInDoubt(proxy, *call);
  ExecuteNextStep(proxy, call, step, std::move(attempt));
}

}  // namespace egretladder::proxy
