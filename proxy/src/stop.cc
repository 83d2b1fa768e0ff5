// The graceful stop of a node.
#include <vector>

#include "state_p.h"

namespace egretladder::proxy {
namespace {

using kernel::LogLevel;
using kernel::LogPart;

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
                    {"events_expected", call.demand.events}});
}

}  // namespace

// A call is over for the node when its last byte is handed to the connection.
// A process that ended then would cut answers that endpoints ran to their end:
// callers see a stream without its last chunk.
std::size_t UntakenOf(const Proxy& proxy) {
  return proxy.callers->untaken() + proxy.directory->untaken() +
         proxy.ready->untaken();
}

milliseconds StoppingFor(const Proxy& proxy) {
  return Between(proxy.leaving_since, NowOf(proxy));
}

void LogMetStop(Proxy& proxy, const Call& call,
                const routing::Placement& placement) {
  if (!proxy.leaving) return;
  const milliseconds since = StoppingFor(proxy);
  Count(proxy, "egretladder_stop_requests_total",
        "Requests that met a node that stops.", "");
  kernel::LogEvent(
      LogPart::kRoute, LogLevel::kInfo, "met-stop",
      {{"req", call.facts.id},
       {"stop_ms", since},
       {"left_ms", proxy.options.grace - kStopMargin - since},
       {"deadline_ms", Between(NowOf(proxy), call.deadline)},
       {"expected_ms",
        routing::ExpectedWhole(proxy.endpoints, call.demand, placement)},
       {"route", call.route->name}});
}

void Leave(Proxy& proxy) {
  proxy.leaving = true;
  proxy.leaving_since = NowOf(proxy);
  proxy.members.self.leaving = true;
  proxy.callers->CloseAfterAnswers();
  TellMany(proxy);
}

bool MayEnd(const Proxy& proxy) {
  if (!proxy.leaving) return false;
  const milliseconds since = StoppingFor(proxy);
  if (since >= proxy.options.grace - kStopMargin) return true;
  return since >= kTakeWhileLeaving && proxy.calls.empty() &&
         UntakenOf(proxy) == 0;
}

void LogEnd(Proxy& proxy) {
  for (const auto& [number, call] : proxy.calls) LogCut(proxy, *call);
}

}  // namespace egretladder::proxy
