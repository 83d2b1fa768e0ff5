// The graceful stop of a node.
#include <vector>

#include "state_p.h"

namespace egretladder::proxy {
namespace {

using kernel::LogLevel;
using kernel::LogPart;
using policy::StopPhase;

constexpr int kBadGateway = 502;

StopPhase PhaseNow(const Proxy& proxy) {
  return policy::PhaseOf(StopPlanOf(proxy.options), StoppingFor(proxy));
}

void LogCut(Proxy& proxy, const Call& call) {
  const bool begun = call.caller->begun();
  const char* how = begun           ? "in-answer"
                    : WasSent(call) ? "outcome-unknown"
                                    : "not-run";
  Count(proxy, "egretladder_cut_by_stop_total",
        "Requests ended by the stop of this process before their answers.",
        std::string("how=\"") + how + "\"");
  kernel::LogEvent(LogPart::kRoute, LogLevel::kWarning, "cut-by-stop",
                   {{"req", call.facts.id},
                    {"how", how},
                    {"stop_ms", StoppingFor(proxy)},
                    {"ms", Between(call.arrived, NowOf(proxy))},
                    {"left_ms", Between(NowOf(proxy), call.deadline)},
                    {"events", call.events},
                    {"events_longest", call.demand.longest}});
}

// The grace time holds them no longer. Ended here, each caller learns what
// became of its request; ended with the process, all would see a connection
// that closes.
void CutCalls(Proxy& proxy) {
  std::vector<CallPtr> calls;
  calls.reserve(proxy.calls.size());
  for (const auto& [number, call] : proxy.calls) calls.push_back(call);
  for (const CallPtr& call : calls) {
    LogCut(proxy, *call);
    ++proxy.cut;
    GiveUp(proxy, call, kBadGateway, "cut_by_stop", kLeavingRetry);
  }
}

void LogTake(Proxy& proxy, const Call& call, const routing::StopAsk& ask,
             routing::StopVerdict verdict) {
  Count(proxy, "egretladder_stop_requests_total",
        "Requests that met a node that stops, by what was decided.",
        std::string("verdict=\"") + routing::NameOf(verdict) + "\"");
  kernel::LogEvent(
      LogPart::kRoute, LogLevel::kInfo, "met-stop",
      {{"req", call.facts.id},
       {"verdict", routing::NameOf(verdict)},
       {"stop_ms", ask.since},
       {"left_ms", policy::LeftForWork(StopPlanOf(proxy.options), ask.since)},
       {"deadline_ms", ask.deadline},
       {"longest_ms", ask.longest},
       {"route", call.route->name}});
}

}  // namespace

policy::StopPlan StopPlanOf(const ProxyOptions& options) {
  policy::StopPlan plan;
  plan.addresses_kept = options.directory_keep * kDirectoryKeptTimes;
  plan.settle = kStopSettle;
  plan.grace = options.grace;
  plan.cut_margin = kStopMargin;
  plan.exit_margin = kExitMargin;
  return plan;
}

// A call is over for the node when its last byte is handed to the connection.
// A process that ended then would cut answers that endpoints ran to their end:
// callers see a stream without its last chunk.
std::size_t UntakenOf(const Proxy& proxy) {
  return proxy.callers->undelivered() + proxy.directory->undelivered() +
         proxy.ready->undelivered();
}

milliseconds StoppingFor(const Proxy& proxy) {
  return Between(proxy.leaving_since, NowOf(proxy));
}

bool TakesNewRequests(const Proxy& proxy) {
  if (!proxy.leaving) return true;
  const StopPhase phase = PhaseNow(proxy);
  return phase == StopPhase::kTaking || phase == StopPhase::kSettling;
}

bool CanStillFinish(Proxy& proxy, const Call& call,
                    const routing::Placement& placement) {
  if (!proxy.leaving) return true;
  routing::StopAsk ask;
  ask.arrived = Between(proxy.leaving_since, call.arrived);
  ask.since = StoppingFor(proxy);
  ask.deadline = Between(NowOf(proxy), call.deadline) + kDeadlineMargin;
  ask.longest = routing::LongestWhole(proxy.endpoints, call.demand, placement);
  const routing::StopVerdict verdict =
      routing::DecideTake(StopPlanOf(proxy.options), ask);
  LogTake(proxy, call, ask, verdict);
  return routing::IsTaken(verdict);
}

void OnStopTick(Proxy& proxy) {
  if (!proxy.leaving) return;
  const StopPhase phase = PhaseNow(proxy);
  if (phase < StopPhase::kFinishing) return;
  if (proxy.listened_until == Time{}) {
    proxy.callers->StopListening();
    proxy.members.listens = false;
    proxy.listened_until = NowOf(proxy);
  }
  if (phase < StopPhase::kCutting) return;
  CutCalls(proxy);
  proxy.callers->RefuseHalfRead("this node is leaving");
  if (proxy.cut_at == Time{}) proxy.cut_at = NowOf(proxy);
}

void Leave(Proxy& proxy) {
  if (proxy.leaving) return;
  const Time now = NowOf(proxy);
  proxy.leaving = true;
  // The signal may have come at any time of a pause, and the platform counts
  // the grace from the signal: counted from the pause's end, the process would
  // be killed before it has told its callers anything.
  const bool stood_still = now - proxy.ticked > kPaused;
  proxy.leaving_since = stood_still ? proxy.ticked : now;
  proxy.members.self.leaving = true;
  proxy.callers->CloseAfterAnswers();
  TellMany(proxy);
}

// What was sent before the node stopped listening may not be read yet, and a
// process that was late may have cut nothing so far: its callers would see a
// connection that closes.
bool CanShutDown(const Proxy& proxy) {
  if (!proxy.leaving) return false;
  const Time now = NowOf(proxy);
  const StopPhase phase = PhaseNow(proxy);
  if (phase == StopPhase::kOver) {
    const bool told = proxy.cut_at == Time{}
                          ? proxy.calls.empty()
                          : now - proxy.cut_at >= kLastAnswers;
    return told || StoppingFor(proxy) >= proxy.options.grace;
  }
  const bool all_read = proxy.listened_until != Time{} &&
                        now - proxy.listened_until >= kStopSettle &&
                        proxy.callers->half_read() == 0;
  return policy::MayExit(
      phase, all_read && proxy.calls.empty() && UntakenOf(proxy) == 0);
}

}  // namespace egretladder::proxy
