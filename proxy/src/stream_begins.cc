// Streams that began at processes that nothing had proven.
//
// Until it is known whether such a process was the one of its endpoint's entry,
// the stream's homes know it as doubted. Endpoints that state their starts are
// asked for them. The others write another entry in time, or are the ones of
// the entry that is known.
#include <algorithm>

#include "state_p.h"

namespace egretladder::proxy {
namespace {

using kernel::LogLevel;
using kernel::LogPart;
using routing::BeginVerdict;

void CountBegin(Proxy& proxy, const char* result) {
  IncrementCounter(proxy, "egretladder_doubted_begins_total",
                   "Streams that began at a process that nothing had proven, "
                   "and what became of the doubt.",
                   std::string("result=\"") + result + "\"");
}

// What the endpoint says of its process is remembered with it.
void AskForStart(Proxy& proxy, const routing::EndpointPtr& endpoint) {
  const Time now = NowOf(proxy);
  const std::string& id = endpoint->entry.id;
  BeginQuestion& question = proxy.doubted_begins.questions[id];
  if (question.read != nullptr || now - question.asked_at < kBeginPollInterval)
    return;
  question.asked_at = now;
  question.read =
      AskForProcess(proxy, endpoint, {"", kProcessCheckTimeout},
                    [&proxy, id](routing::ProcessCheckResult /*result*/) {
                      proxy.doubted_begins.questions[id].read = nullptr;
                    });
}

void OnProven(Proxy& proxy, const DoubtedBegin& doubted) {
  routing::StreamRecord record;
  record.stream = doubted.stream;
  record.version = doubted.begin.version;
  record.weights = routing::FindSource(proxy.streams, doubted.stream).weights;
  RecordStream(proxy, record);
  const auto call = doubted.call.lock();
  if (call == nullptr) return;
  call->version = record.version;
  call->is_begin_doubted = false;
}

// Returns false if the doubt is over, or nothing more is expected.
bool IsOpen(Proxy& proxy, const DoubtedBegin& doubted) {
  const Time now = NowOf(proxy);
  const routing::StreamBegin& begin = doubted.begin;
  const BeginVerdict verdict =
      routing::JudgeBegin(proxy.endpoints, begin, !IsStoreFailing(proxy), now);
  const bool is_kept = now - begin.sent_at < routing::kStreamRetention;
  if (verdict == BeginVerdict::kOpen && is_kept) {
    if (begin.may_state_start) AskForStart(proxy, begin.endpoint);
    return true;
  }
  CountBegin(proxy, routing::NameOf(verdict));
  kernel::LogEvent(LogPart::kEndpoint, LogLevel::kInfo, "begin-settled",
                   {{"endpoint", begin.endpoint->entry.id},
                    {"verdict", routing::NameOf(verdict)},
                    {"ms", Elapsed(begin.sent_at, now)}});
  if (verdict == BeginVerdict::kProven) OnProven(proxy, doubted);
  return false;
}

bool IsOwn(const Proxy& proxy, const Call& call) {
  const auto& streams = proxy.doubted_begins.streams;
  return std::any_of(streams.begin(), streams.end(),
                     [&call](const DoubtedBegin& doubted) {
                       return doubted.call.lock().get() == &call;
                     });
}

}  // namespace

void DoubtBegin(Proxy& proxy, Call& call, routing::StreamKey stream) {
  call.is_begin_doubted = true;
  const Attempt& attempt = *call.attempt;
  // The peer that makes the attempt finds out.
  if (!attempt.peer.empty()) return;
  RecordStream(proxy, {stream, routing::kDoubtedVersion, call.weights});
  CountBegin(proxy, "begun");
  kernel::LogEvent(LogPart::kEndpoint, LogLevel::kInfo, "begin-doubted",
                   {{"req", call.metadata.id},
                    {"endpoint", attempt.endpoint->entry.id},
                    {"version", attempt.endpoint->entry.software_version}});
  auto& streams = proxy.doubted_begins.streams;
  if (streams.size() >= kMaxDoubtedBegins) return;
  routing::StreamBegin begin;
  begin.endpoint = attempt.endpoint;
  begin.version = attempt.endpoint->version;
  begin.sent_at = attempt.first_byte_sent_at;
  begin.may_state_start = attempt.proof == ProcessProof::kUnheard &&
                          attempt.endpoint->entry.started_unix_ms != 0;
  // It was asked a moment ago.
  proxy.doubted_begins.questions[attempt.endpoint->entry.id].asked_at =
      NowOf(proxy);
  streams.push_back({stream, begin, proxy.calls.at(call.number)});
}

bool IsBeginAwaited(const Call& call) {
  return call.is_begin_doubted && call.caller->begun() &&
         call.open_end.after.empty();
}

bool AwaitBegin(Proxy& proxy, const CallPtr& call) {
  if (!IsBeginAwaited(*call) || !IsOwn(proxy, *call)) return false;
  const Time now = NowOf(proxy);
  if (call->begin_awaited_since == Time{}) call->begin_awaited_since = now;
  if (now - call->begin_awaited_since >= kUnknownStreamPatience) return false;
  DispatchLater(proxy, call);
  return true;
}

void SettleBegins(Proxy& proxy) {
  DoubtedBegins& begins = proxy.doubted_begins;
  if (begins.streams.empty()) return;
  std::erase_if(begins.streams, [&proxy](const DoubtedBegin& doubted) {
    return !IsOpen(proxy, doubted);
  });
  if (begins.streams.empty()) begins.questions.clear();
}

}  // namespace egretladder::proxy
