// The graceful stop of a node.
#include <vector>

#include "state_p.h"

namespace egretladder::proxy {
namespace {

using kernel::LogLevel;
using kernel::LogPart;
using policy::StopPhase;

constexpr int kBadGateway = 502;

StopPhase CurrentPhase(const Proxy& proxy) {
  return policy::GetStopPhase(MakeStopPlan(proxy.options),
                              TimeSinceStop(proxy));
}

void LogCut(Proxy& proxy, const Call& call) {
  const bool is_answer_started = call.caller->begun();
  const char* outcome = is_answer_started ? "in-answer"
                        : WasSent(call)   ? "outcome-unknown"
                                          : "not-run";
  IncrementCounter(
      proxy, "egretladder_cut_by_stop_total",
      "Requests ended by the stop of this process before they were answered.",
      std::string("how=\"") + outcome + "\"");
  kernel::LogEvent(LogPart::kRoute, LogLevel::kWarning, "cut-by-stop",
                   {{"req", call.metadata.id},
                    {"how", outcome},
                    {"stop_ms", TimeSinceStop(proxy)},
                    {"ms", Elapsed(call.arrived_at, NowOf(proxy))},
                    {"left_ms", Elapsed(NowOf(proxy), call.deadline)},
                    {"events", call.events},
                    {"events_longest", call.demand.longest}});
}

// Ends all calls in progress, since the grace period is nearly over. Each
// caller learns here what became of its request. If the process ended first,
// all callers would only see a closed connection.
void CutCalls(Proxy& proxy) {
  std::vector<CallPtr> calls;
  calls.reserve(proxy.calls.size());
  for (const auto& [number, call] : proxy.calls) calls.push_back(call);
  for (const CallPtr& call : calls) {
    LogCut(proxy, *call);
    ++proxy.cut;
    AbortCall(proxy, call, kBadGateway, "cut_by_stop", kLeavingRetryDelay);
  }
}

void LogStopVerdict(Proxy& proxy, const Call& call,
                    const routing::StopAdmissionInput& input,
                    routing::StopAdmissionVerdict verdict) {
  IncrementCounter(proxy, "egretladder_stop_requests_total",
                   "Requests at a stopping node, by verdict.",
                   std::string("verdict=\"") + routing::NameOf(verdict) + "\"");
  kernel::LogEvent(LogPart::kRoute, LogLevel::kInfo, "met-stop",
                   {{"req", call.metadata.id},
                    {"verdict", routing::NameOf(verdict)},
                    {"stop_ms", input.since},
                    {"left_ms", policy::TimeUntilCut(
                                    MakeStopPlan(proxy.options), input.since)},
                    {"deadline_ms", input.deadline},
                    {"longest_ms", input.longest},
                    {"longest_of_route_ms",
                     input.longest_of_route.value_or(milliseconds(-1))},
                    {"others_stay", input.do_others_stay},
                    {"route", call.route->name}});
}

}  // namespace

policy::StopPlan MakeStopPlan(const ProxyOptions& options) {
  policy::StopPlan plan;
  plan.address_ttl = options.directory_ttl * kDirectoryTtlFactor;
  plan.settle = kStopSettlePeriod;
  plan.grace = options.grace;
  plan.cut_margin = kStopCutMargin;
  plan.exit_margin = kStopExitMargin;
  return plan;
}

// A call ends when its last byte is handed to the connection, which may still
// have to write it. A process that exits at that point cuts off answers that
// endpoints have completed: callers see a stream without its last chunk.
std::size_t CountUndeliveredAnswers(const Proxy& proxy) {
  return proxy.caller_server->undelivered() +
         proxy.directory_server->undelivered() +
         proxy.ready_server->undelivered() +
         (proxy.handover_server ? proxy.handover_server->undelivered() : 0);
}

milliseconds TimeSinceStop(const Proxy& proxy) {
  return Elapsed(proxy.leaving_since, NowOf(proxy));
}

bool CanAcceptRequests(const Proxy& proxy) {
  if (!proxy.leaving) return true;
  const StopPhase phase = CurrentPhase(proxy);
  return phase == StopPhase::kTaking || phase == StopPhase::kSettling;
}

bool CanStillFinish(Proxy& proxy, const Call& call,
                    const routing::Placement& placement) {
  if (!proxy.leaving) return true;
  routing::StopAdmissionInput input;
  input.arrived = Elapsed(proxy.leaving_since, call.arrived_at);
  input.since = TimeSinceStop(proxy);
  input.deadline = Elapsed(NowOf(proxy), call.deadline) + kDeadlineMargin;
  input.longest =
      routing::EstimateLongAnswerTime(proxy.endpoints, call.demand, placement);
  input.longest_of_route =
      routing::EstimateLongestOfRoute(call.demand, placement);
  input.is_repeatable = routing::IsRouteRepeatable(*call.route);
  input.do_others_stay = routing::DoMostOthersStay(proxy.members);
  const routing::StopAdmissionVerdict verdict =
      routing::DecideStopAdmission(MakeStopPlan(proxy.options), input);
  LogStopVerdict(proxy, call, input, verdict);
  return routing::IsAdmitted(verdict);
}

void OnStopTick(Proxy& proxy) {
  if (!proxy.leaving) return;
  const StopPhase phase = CurrentPhase(proxy);
  if (phase < StopPhase::kFinishing) return;
  if (proxy.stopped_listening_at == Time{}) {
    proxy.caller_server->StopListening();
    proxy.members.is_listening = false;
    proxy.stopped_listening_at = NowOf(proxy);
  }
  if (phase < StopPhase::kCutting) return;
  CutCalls(proxy);
  proxy.caller_server->RefuseIncompleteRequests("this node is leaving");
  if (proxy.cut_at == Time{}) proxy.cut_at = NowOf(proxy);
}

void Leave(Proxy& proxy) {
  if (proxy.leaving) return;
  const Time now = NowOf(proxy);
  proxy.leaving = true;
  // The signal may have come at any time during a pause of the process, and the
  // platform counts the grace period from the signal. Counted from the end of
  // the pause, the process would be killed before it has answered its callers.
  const bool was_paused = now - proxy.last_tick_at > kMinProcessPause;
  proxy.leaving_since = was_paused ? proxy.last_tick_at : now;
  proxy.members.self.state.leaving = true;
  proxy.caller_server->CloseAfterAnswers();
  if (proxy.handover_server) proxy.handover_server->CloseAfterAnswers();
  RejectRequestsWithoutRules(proxy);
  ExchangeWithManyPeers(proxy);
  HandOnStreams(proxy);
}

// Requests sent before the node stopped listening may not be read yet, and a
// process whose loop is late may not have ended its calls so far. If the
// process exited then, those callers would only see a closed connection.
bool CanShutDown(const Proxy& proxy) {
  if (!proxy.leaving) return false;
  const Time now = NowOf(proxy);
  const StopPhase phase = CurrentPhase(proxy);
  if (phase == StopPhase::kOver) {
    const bool callers_informed =
        proxy.cut_at == Time{} ? proxy.calls.empty()
                               : now - proxy.cut_at >= kLastAnswersTimeout;
    return callers_informed || TimeSinceStop(proxy) >= proxy.options.grace;
  }
  const bool all_requests_read =
      proxy.stopped_listening_at != Time{} &&
      now - proxy.stopped_listening_at >= kStopSettlePeriod &&
      proxy.caller_server->incomplete_requests() == 0;
  return policy::CanExit(phase, all_requests_read && proxy.calls.empty() &&
                                    CountUndeliveredAnswers(proxy) == 0);
}

}  // namespace egretladder::proxy
