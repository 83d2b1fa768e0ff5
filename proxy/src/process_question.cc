// Asks an endpoint's report when its process started.
#include <utility>

#include "state_p.h"

namespace egretladder::proxy {
namespace {

using kernel::LogLevel;
using kernel::LogPart;
using routing::ProcessCheckResult;

constexpr int kOk = 200;

void LogReplaced(const std::string& request_id,
                 const routing::Endpoint& endpoint,
                 std::uint64_t started_unix_ms) {
  kernel::LogEvent(LogPart::kEndpoint, LogLevel::kWarning, "process-replaced",
                   {{"req", request_id},
                    {"endpoint", endpoint.entry.id},
                    {"published_start", endpoint.entry.started_unix_ms},
                    {"start", started_unix_ms},
                    {"version", endpoint.entry.software_version}});
}

ProcessCheckResult ApplyNoReport(const Proxy& proxy,
                                 routing::Endpoint& endpoint,
                                 const Page& report) {
  routing::OnConnectionLost(endpoint, NowOf(proxy));
  if (!report.is_late && !report.is_refused) return ProcessCheckResult::kLost;
  routing::OnQuestionUnanswered(endpoint, NowOf(proxy));
  return report.is_late ? ProcessCheckResult::kSilent
                        : ProcessCheckResult::kNoAnswer;
}

ProcessCheckResult ApplyReport(Proxy& proxy, routing::Endpoint& endpoint,
                               const std::string& request_id, Time asked_at,
                               const Page& report) {
  if (report.status == 0) return ApplyNoReport(proxy, endpoint, report);
  if (report.status != kOk) return ProcessCheckResult::kUnclear;
  const std::uint64_t started = proxy.dialect->read_process_start(report.body);
  const ProcessCheckResult result =
      routing::OnProcessStated(endpoint, started, asked_at);
  if (result == ProcessCheckResult::kReplaced)
    LogReplaced(request_id, endpoint, started);
  return result;
}

// A request waits for the answer, which shows in no other line.
void LogUnproven(const Proxy& proxy, const routing::Endpoint& endpoint,
                 const std::string& request_id, Time asked_at,
                 ProcessCheckResult result) {
  if (result == ProcessCheckResult::kSame) return;
  kernel::LogEvent(LogPart::kEndpoint, LogLevel::kInfo, "process-unproven",
                   {{"req", request_id},
                    {"endpoint", endpoint.entry.id},
                    {"result", routing::NameOf(result)},
                    {"ms", Elapsed(asked_at, NowOf(proxy))}});
}

}  // namespace

PageReadPtr AskForProcess(
    Proxy& proxy, const routing::EndpointPtr& endpoint,
    const ProcessQuestion& question,
    std::function<void(routing::ProcessCheckResult)> on_answer) {
  return StartPageRead(
      *proxy.loop, *proxy.client,
      {.address = endpoint->entry.address,
       .target = proxy.dialect->report_target(),
       .max_bytes = kMaxReportBytes,
       .timeout = question.timeout,
       .dialect = proxy.dialect,
       .successor_id = question.request_id},
      [&proxy, endpoint, id = question.request_id, asked_at = NowOf(proxy),
       on_answer = std::move(on_answer)](const Page& report) {
        const ProcessCheckResult result =
            ApplyReport(proxy, *endpoint, id, asked_at, report);
        LogUnproven(proxy, *endpoint, id, asked_at, result);
        on_answer(result);
      });
}

}  // namespace egretladder::proxy
