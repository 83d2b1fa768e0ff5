// What follows an attempt at an endpoint that ended.
#include <string>
#include <utility>

#include "attempts_p.h"

namespace egretladder::proxy {
namespace {

using kernel::LogLevel;
using kernel::LogPart;
using routing::AttemptOutcome;
using routing::NextStep;

constexpr int kBadGateway = 502;
constexpr int kUnavailable = 503;

void PassOn(Proxy& proxy, const CallPtr& call, const Attempt& attempt) {
  call->caller->OnDisconnect(nullptr);
  call->caller->Answer(attempt.head.status, attempt.head.reason,
                       FieldsToPass(attempt.head.fields), attempt.body);
  call->ended_well = IsSuccess(attempt.head.status);
  EndCall(proxy, call, call->ended_well ? "answered" : "endpoint-failure");
}

// What the end says of the endpoint.
void NoteEnd(Proxy& proxy, const Call& call, AttemptOutcome end) {
  routing::Endpoint& endpoint = *call.attempt->endpoint;
  const Time now = NowOf(proxy);
  switch (end) {
    case AttemptOutcome::kNotSent:
      routing::OnConnectFailed(endpoint, now);
      break;
    case AttemptOutcome::kFull: {
      const auto jitter = milliseconds(kernel::RandomBelow(
          proxy.random,
          static_cast<std::uint64_t>(routing::kFullPause.count()) + 1));
      routing::OnEndpointFull(endpoint, routing::kFullPause / 2 + jitter, now);
      break;
    }
    case AttemptOutcome::kWrongInstance:
      routing::OnWrongInstance(proxy.endpoints, endpoint.entry.id);
      break;
    case AttemptOutcome::kBroken:
    case AttemptOutcome::kBadAnswer:
    case AttemptOutcome::kSilent:
    case AttemptOutcome::kFailed:
      routing::OnAttemptFailed(endpoint, now);
      break;
    case AttemptOutcome::kSucceeded:
      routing::OnAnswered(endpoint, Between(call.attempt->sent, now), now);
      break;
  }
}

// What the end says of the request: one that crashes endpoints shows by breaks
// at one after the other.
void NoteSuspect(Proxy& proxy, Call& call, AttemptOutcome end) {
  const Attempt& attempt = *call.attempt;
  const Time now = NowOf(proxy);
  if (end == AttemptOutcome::kBroken) {
    routing::OnConnectionBroke(
        proxy.suspects, FingerprintOf(call),
        {kernel::HashBytes(attempt.endpoint->entry.id), attempt.sent, now});
    return;
  }
  const bool ran =
      end == AttemptOutcome::kSucceeded || end == AttemptOutcome::kFailed;
  if (ran && !proxy.suspects.by_request.empty()) {
    routing::OnRequestRan(proxy.suspects, FingerprintOf(call), now);
  }
}

void Release(const CallPtr& call, const Attempt& attempt) {
  routing::OnAttemptStarted(*attempt.endpoint, call->demand, attempt.number,
                            attempt.placement);
  routing::OnAttemptEnded(*attempt.endpoint);
}

void Follow(Proxy& proxy, const CallPtr& call, NextStep step,
            std::unique_ptr<Attempt> attempt) {
  switch (step) {
    case NextStep::kSendAgain:
    case NextStep::kResume:
      Dispatch(proxy, call);
      return;
    case NextStep::kPassOn:
      if (attempt->events) {
        call->caller->OnDisconnect(nullptr);
        call->caller->End();
        call->ended_well = true;
        routing::OnStreamEnded(
            proxy.endpoints.service_paces[call->service->name],
            call->route->name, static_cast<double>(call->events),
            Between(call->first_event_at, NowOf(proxy)));
        EndCall(proxy, call, "answered");
      } else {
        PassOn(proxy, call, *attempt);
      }
      return;
    case NextStep::kRefuse:
      RefuseCall(
          proxy, call, kUnavailable, "no_endpoint",
          routing::RetryAfterRejection({}, call->route->target, proxy.random));
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

// What follows an attempt that ended, with room in the retry share taken where
// it is sent again.
NextStep NextFor(Proxy& proxy, const Call& call, AttemptOutcome end) {
  routing::NextStepInput after;
  after.end = end;
  after.is_repeatable = routing::IsRouteRepeatable(*call.route);
  after.resumable = call.route->resumable && !call.last_event_id.empty();
  after.is_answer_started = call.caller->begun();
  after.attempts = call.route->attempts;
  after.may_have_run = call.may_have_run;
  after.not_run = call.not_run;
  after.not_sent = call.not_sent;
  after.has_time_left = NowOf(proxy) < call.deadline;
  const NextStep step = routing::DecideNextStep(after);
  const bool again = step == NextStep::kSendAgain || step == NextStep::kResume;
  // Impatience took its retry before it gave the attempt up.
  if (!again || end == AttemptOutcome::kSilent || call.arrivals == 0)
    return step;
  if (TryConsumeRetry(proxy, call)) {
    return step;
  }
  after.has_time_left = false;
  return routing::DecideNextStep(after);
}

void CountEnd(Call& call, AttemptOutcome end,
              const routing::EndpointPtr& endpoint) {
  if (end == AttemptOutcome::kNotSent) {
    ++call.not_sent;
    return;
  }
  ++call.arrivals;
  if (routing::IsNotRun(end)) {
    // It may come back there once the endpoint's own pause is over.
    ++call.not_run;
  } else {
    ++call.may_have_run;
    call.tried.push_back(endpoint);
  }
}

}  // namespace

net::HttpFields FieldsToPass(const net::HttpFields& fields) {
  net::HttpFields passed;
  for (const net::HttpField& field : fields) {
    if (!net::IsHopByHopField(field.name)) passed.push_back(field);
  }
  return passed;
}

bool TryConsumeRetry(Proxy& proxy, const Call& call) {
  const Time now = NowOf(proxy);
  return routing::TryConsumeRetry(proxy.retry_shares[call.service->name],
                                  proxy.options.retries, RetryFleetOf(proxy),
                                  now);
}

void DropAttempt(Proxy& /*proxy*/, const CallPtr& call) {
  if (call->attempt == nullptr) return;
  const auto attempt = std::move(call->attempt);
  net::Cancel(attempt->exchange);
  Release(call, *attempt);
}

void EndAttempt(Proxy& proxy, const CallPtr& call, AttemptOutcome end,
                const std::string& detail) {
  if (call->attempt == nullptr) return;
  call->patience = {};
  NoteEnd(proxy, *call, end);
  NoteSuspect(proxy, *call, end);
  auto attempt = std::move(call->attempt);
  Release(call, *attempt);
  CountEnd(*call, end, attempt->endpoint);
  const NextStep step = NextFor(proxy, *call, end);
  Count(proxy, "egretladder_attempts_total", "Attempts ended, by how.",
        std::string("end=\"") + routing::NameOf(end) + "\"");
  if (end != AttemptOutcome::kSucceeded) {
    kernel::LogEvent(LogPart::kEndpoint, LogLevel::kWarning, "attempt-ended",
                     {{"req", call->facts.id},
                      {"endpoint", attempt->endpoint->entry.id},
                      {"end", routing::NameOf(end)},
                      {"status", attempt->head.status},
                      {"detail", detail},
                      {"ms", Between(attempt->sent, NowOf(proxy))},
                      {"phase", routing::NameOf(attempt->endpoint->phase)},
                      {"next", routing::NameOf(step)}});
  }
  Follow(proxy, call, step, std::move(attempt));
}

}  // namespace egretladder::proxy
