// Asks endpoints whether their process is the one that wrote their entry.
//
// While the store can't be read, an endpoint may be back under its id at
// another software version, and its entry tells the version of the process
// before. A stream that goes on there would hold events of two versions, and
// one that begins there would be taken up at the wrong one. Few streams go on,
// so that this is always asked for them. Those that begin ask while several
// versions are known, after a connection to the endpoint has broken, and before
// they open a new one: it may lead to another process than the ones before.
#include <algorithm>
#include <utility>

#include "state_p.h"

namespace egretladder::proxy {
namespace {

using kernel::LogLevel;
using kernel::LogPart;
using routing::ProcessCheckResult;

constexpr int kOk = 200;

void LogReplaced(const Call& call, const routing::Endpoint& endpoint,
                 std::uint64_t started_unix_ms) {
  kernel::LogEvent(LogPart::kEndpoint, LogLevel::kWarning, "process-replaced",
                   {{"req", call.metadata.id},
                    {"endpoint", endpoint.entry.id},
                    {"published_start", endpoint.entry.started_unix_ms},
                    {"start", started_unix_ms},
                    {"version", endpoint.entry.software_version}});
}

// Called when the endpoint has answered, `status` 0: it hasn't.
ProcessCheckResult ApplyReport(Proxy& proxy, const Call& call,
                               const ProcessCheck& check) {
  routing::Endpoint& endpoint = *check.placement.endpoint;
  if (check.status == 0) {
    routing::OnConnectionLost(endpoint, NowOf(proxy));
    if (check.is_refused) routing::OnConnectFailed(endpoint, NowOf(proxy));
    return check.is_late ? ProcessCheckResult::kSilent
                         : ProcessCheckResult::kNoAnswer;
  }
  if (check.status != kOk) return ProcessCheckResult::kUnclear;
  const std::uint64_t started = proxy.dialect->read_process_start(check.body);
  const ProcessCheckResult result =
      routing::OnProcessStated(endpoint, started, check.asked_at);
  if (result == ProcessCheckResult::kReplaced)
    LogReplaced(call, endpoint, started);
  return result;
}

bool IsBound(const Call& call) {
  return call.demand.version != routing::kUnknownVersion;
}

// Returns true if the process that answered may serve the call. One that
// doesn't state its start is taken for the one of the entry, unless that is in
// doubt and the call keeps to a version.
bool MayServe(const Call& call, const routing::Endpoint& endpoint,
              ProcessCheckResult result) {
  return result == ProcessCheckResult::kSame ||
         (result == ProcessCheckResult::kUnclear &&
          (!IsBound(call) || routing::IsVersionSure(endpoint)));
}

// Returns true if the endpoint was asked in vain, and is tried all the same:
// the call keeps to no version, and no other endpoint is left. A stream doesn't
// go on at a process that keeps silent: it may be of any version, also while
// one is known.
bool IsLastResort(const Call& call, const routing::EndpointPtr& endpoint) {
  const auto& asked = call.unidentified_endpoints;
  return !IsBound(call) &&
         std::any_of(asked.begin(), asked.end(),
                     [&call, &endpoint](const UnidentifiedEndpoint& each) {
                       const bool may_join =
                           call.demand.goes_on &&
                           each.result != ProcessCheckResult::kNoAnswer;
                       return each.endpoint == endpoint && !may_join;
                     });
}

std::size_t CountQuestions(const Call& call,
                           const routing::EndpointPtr& endpoint) {
  const auto& asked = call.unidentified_endpoints;
  return static_cast<std::size_t>(std::count_if(
      asked.begin(), asked.end(),
      [&endpoint](const auto& each) { return each.endpoint == endpoint; }));
}

void FinishCheck(Proxy& proxy, const CallPtr& call) {
  const auto check = std::move(call->process_check);
  net::Cancel(std::exchange(check->exchange, nullptr));
  const ProcessCheckResult result = ApplyReport(proxy, *call, *check);
  IncrementCounter(
      proxy, "egretladder_process_checks_total",
      "Endpoints asked whether their process wrote their entry, by result.",
      std::string("result=\"") + routing::NameOf(result) + "\"");
  // The attempt reuses the connection of the report, so that the process which
  // answered gets it.
  const routing::EndpointPtr& endpoint = check->placement.endpoint;
  if (result == ProcessCheckResult::kSame) {
    proxy.client->MarkReusable(endpoint->entry.address,
                               endpoint->entry.started_unix_ms);
  }
  if (MayServe(*call, *endpoint, result)) {
    StartAttempt(proxy, call, check->placement);
    return;
  }
  if (result == ProcessCheckResult::kNoAnswer ||
      result == ProcessCheckResult::kSilent) {
    ++call->not_sent;
  }
  call->tried_endpoints.push_back(endpoint);
  call->unidentified_endpoints.push_back({endpoint, result});
  if (CountQuestions(*call, endpoint) >= kMaxProcessChecks &&
      !IsLastResort(*call, endpoint)) {
    RefuseOrAbort(proxy, call, "unknown_process", kUnknownStreamRetryDelay);
    return;
  }
  Dispatch(proxy, call);
}

net::ExchangeHandlers MakeCheckHandlers(Proxy& proxy, const CallPtr& call) {
  const std::weak_ptr<Call> weak_call = call;
  net::ExchangeHandlers handlers;
  handlers.on_head =
      [check = call->process_check.get()](const net::HttpAnswerHead& head) {
        check->status = head.status;
        return net::HeadVerdict::kAccept;
      };
  handlers.on_body = [&proxy, weak_call](std::string_view piece) {
    const auto locked = weak_call.lock();
    if (locked == nullptr || locked->process_check == nullptr) return;
    ProcessCheck& check = *locked->process_check;
    check.body.append(piece);
    if (check.body.size() <= kMaxReportBytes) return;
    check.status = 0;
    FinishCheck(proxy, locked);
  };
  handlers.on_end = [&proxy, weak_call] {
    if (const auto locked = weak_call.lock()) FinishCheck(proxy, locked);
  };
  handlers.on_error = [&proxy, weak_call](net::ExchangeError error,
                                          const std::string& /*detail*/) {
    const auto locked = weak_call.lock();
    if (locked == nullptr) return;
    locked->process_check->status = 0;
    locked->process_check->is_refused =
        error == net::ExchangeError::kNotConnected;
    FinishCheck(proxy, locked);
  };
  return handlers;
}

void StartCheck(Proxy& proxy, const CallPtr& call,
                const routing::Placement& placement) {
  call->process_check = std::make_unique<ProcessCheck>();
  ProcessCheck& check = *call->process_check;
  check.placement = placement;
  check.asked_at = NowOf(proxy);
  net::ExchangeRequest request;
  request.address = placement.endpoint->entry.address;
  request.head = net::FormatRequestHead("GET", proxy.dialect->report_target(),
                                        {{"Host", request.address}},
                                        net::BodyFraming::kNone, 0);
  check.exchange =
      proxy.client->Start(std::move(request), MakeCheckHandlers(proxy, call));
  check.timer = kernel::RunAfter(
      *proxy.loop, kProcessCheckTimeout,
      [&proxy, weak_call = std::weak_ptr<Call>(call)] {
        const auto locked = weak_call.lock();
        if (locked == nullptr || locked->process_check == nullptr) return;
        locked->process_check->status = 0;
        locked->process_check->is_late = true;
        FinishCheck(proxy, locked);
      });
}

}  // namespace

void StartCheckedAttempt(Proxy& proxy, const CallPtr& call,
                         const routing::Placement& placement) {
  if (NeedsKnownProcess(proxy, *call, *placement.endpoint) &&
      !IsLastResort(*call, placement.endpoint)) {
    StartCheck(proxy, call, placement);
  } else {
    StartAttempt(proxy, call, placement);
  }
}

}  // namespace egretladder::proxy
