// Ends of streams that their answers don't state, though their processes have
// lived on: what they count for, and what became of them.
#include <string>
#include <utility>

#include "attempts_p.h"
#include "egretladder/routing/stream_ends.h"

namespace egretladder::proxy {
namespace {

using kernel::LogLevel;
using kernel::LogPart;
using routing::EndVerdict;

routing::StreamEnds& EndsOfService(Proxy& proxy, const Call& call) {
  return proxy.stream_ends[call.service->name];
}

bool HasOpenEnd(const Call& call) {
  const std::string& after = call.open_end.after;
  return !after.empty() && after == call.position.last_id;
}

void CountWord(Proxy& proxy, const char* result) {
  IncrementCounter(proxy, "egretladder_open_ends_total",
                   "Ends of streams without framing of processes that live on, "
                   "by what another attempt found behind them.",
                   std::string("result=\"") + result + "\"");
}

void LogOpenEnd(const Call& call, EndVerdict verdict) {
  const Attempt& attempt = *call.attempt;
  kernel::LogEvent(LogPart::kRoute, LogLevel::kInfo, "end-left-open",
                   {{"req", call.metadata.id},
                    {"from", NameOfSource(attempt)},
                    {"verdict", routing::NameOf(verdict)},
                    {"after_event", call.position.last_id},
                    {"events", attempt.splitter.events}});
}

void OnPatienceOver(Proxy& proxy, const CallPtr& call) {
  CountWord(proxy, "late");
  CancelAttempt(proxy, call);
  if (!EndTrustedStream(proxy, call)) RefuseOrAbort(proxy, call, "no_word", {});
}

// Settles the end if nobody has said in time whether more follows.
void StartPatienceTimer(Proxy& proxy, const CallPtr& call) {
  const milliseconds patience =
      call->open_end.is_trusted ? call->route->target
                                : call->route->target * kDoubtPatienceFactor;
  call->open_end.timer = kernel::RunAfter(
      *proxy.loop, patience, [&proxy, weak_call = std::weak_ptr<Call>(call)] {
        if (const auto locked = weak_call.lock()) OnPatienceOver(proxy, locked);
      });
}

// The caller gets the head of the answer whose end it is, so that the end can't
// be lost with whoever is asked.
void BeginAnswer(Proxy& proxy, Call& call) {
  if (call.caller->begun()) return;
  const Attempt& attempt = *call.attempt;
  OnStreamBegan(proxy, call);
  call.caller->Begin(attempt.head.status, attempt.head.reason,
                     FieldsToForward(call, attempt), FramingOf(call, attempt));
}

}  // namespace

void RecordFraming(Proxy& proxy, const Call& call, bool is_framed) {
  routing::Endpoint& endpoint = *call.attempt->endpoint;
  // One stream without framing shows that others may follow.
  endpoint.frames_streams = is_framed && endpoint.frames_streams.value_or(true);
  routing::OnStreamFraming(endpoint.stream_ends, is_framed);
  routing::OnStreamFraming(EndsOfService(proxy, call), is_framed);
}

EndVerdict JudgeEnd(Proxy& proxy, const Call& call) {
  const Attempt& attempt = *call.attempt;
  routing::BareEnd end;
  // A peer may have answered for an endpoint that this node doesn't know.
  if (attempt.endpoint != nullptr) end.endpoint = attempt.endpoint->stream_ends;
  end.service = EndsOfService(proxy, call);
  end.can_be_asked_for =
      call.route->resumable && routing::CanGoOn(call.position);
  end.is_empty = attempt.splitter.events == 0;
  end.is_second = HasOpenEnd(call);
  return routing::JudgeBareEnd(end);
}

void LeaveEndOpen(Proxy& proxy, const CallPtr& call) {
  OpenEnd& end = call->open_end;
  const Attempt& attempt = *call->attempt;
  const bool is_first = !HasOpenEnd(*call);
  const EndVerdict verdict = JudgeEnd(proxy, *call);
  end.after = call->position.last_id;
  end.empty_runs += attempt.splitter.events == 0 ? 1 : 0;
  // The first end of a process that may have ended is no word.
  if (is_first && !attempt.has_lived_on) return;
  LogOpenEnd(*call, verdict);
  const bool is_believed =
      is_first || end.is_trusted || end.empty_runs >= kEmptyRunsToBelieve;
  end.is_trusted = is_believed && verdict != EndVerdict::kDoubted;
  if (end.is_trusted) BeginAnswer(proxy, *call);
  if (!is_first) return;
  end.endpoint = attempt.endpoint;
  if (call->caller->begun()) StartPatienceTimer(proxy, call);
}

void DistrustEnd(Call& call) { call.open_end.is_trusted = false; }

void OnMoreFollows(Proxy& proxy, Call& call) {
  if (call.open_end.after.empty()) return;
  const OpenEnd end = std::exchange(call.open_end, {});
  if (end.endpoint == nullptr) return;
  CountWord(proxy, "more");
  routing::OnAttemptFailed(*end.endpoint, NowOf(proxy));
  routing::OnCutFound(end.endpoint->stream_ends, EndsOfService(proxy, call));
  kernel::LogEvent(LogPart::kEndpoint, LogLevel::kWarning, "stream-cut-short",
                   {{"req", call.metadata.id},
                    {"endpoint", end.endpoint->entry.id},
                    {"service", call.service->name},
                    {"after_event", end.after}});
}

void OnNothingFollows(Proxy& proxy, Call& call) {
  if (!HasOpenEnd(call)) return;
  const OpenEnd end = std::exchange(call.open_end, {});
  if (end.endpoint == nullptr) return;
  CountWord(proxy, "nothing");
  // Its own word says nothing of its other ends.
  if (call.attempt->endpoint == end.endpoint) return;
  routing::OnEndConfirmed(end.endpoint->stream_ends,
                          EndsOfService(proxy, call));
}

bool EndTrustedStream(Proxy& proxy, const CallPtr& call) {
  if (!call->open_end.is_trusted || !call->caller->begun()) return false;
  FinishStream(proxy, call);
  return true;
}

}  // namespace egretladder::proxy
