// Notices that endpoints give in their answers.
#include "egretladder/routing/endpoint_notices.h"

#include "egretladder/routing/brittle.h"
#include "state_p.h"

namespace egretladder::proxy {
namespace {

using kernel::LogLevel;
using kernel::LogPart;

constexpr int kMisdirected = 421;

void CountNotice(Proxy& proxy, const char* kind) {
  IncrementCounter(proxy, "egretladder_endpoint_notices_total",
                   "Answers in which endpoints gave a notice, by kind.",
                   std::string("notice=\"") + kind + "\"");
}

void ReportUnclear(Proxy& proxy, const Call& call,
                   const routing::Endpoint& endpoint, const char* kind) {
  CountNotice(proxy, "unclear");
  kernel::LogEvent(LogPart::kEndpoint, LogLevel::kWarning, "notice-unclear",
                   {{"req", call.metadata.id},
                    {"endpoint", endpoint.entry.id},
                    {"notice", kind}});
}

void LogChange(const Call& call, const routing::Endpoint& endpoint, int status,
               const routing::NoticeChange& change, Time now) {
  if (change.leaving) {
    kernel::LogEvent(LogPart::kEndpoint, LogLevel::kInfo, "endpoint-leaving",
                     {{"req", call.metadata.id},
                      {"endpoint", endpoint.entry.id},
                      {"status", status},
                      {"phase", routing::NameOf(endpoint.phase)}});
  }
  if (change.backoff) {
    kernel::LogEvent(LogPart::kEndpoint, LogLevel::kInfo, "endpoint-backoff",
                     {{"req", call.metadata.id},
                      {"endpoint", endpoint.entry.id},
                      {"status", status},
                      {"for_ms", routing::RemainingBackoff(endpoint, now)}});
  }
}

void ApplyBrittle(Proxy& proxy, const Call& call,
                  const AnswerMetadata& metadata) {
  const std::string& service = call.service->name;
  if (!metadata.brittle_tolerance) {
    // A peer's own refusal says nothing of endpoints.
    const bool is_of_endpoint = metadata.sealed || metadata.not_run;
    if (is_of_endpoint && !metadata.is_brittle_invalid)
      routing::OnBrittleNotStated(proxy.endpoints, service, NowOf(proxy));
    return;
  }
  CountNotice(proxy, "brittle");
  if (routing::OnBrittleStated(proxy.endpoints, service,
                               *metadata.brittle_tolerance, NowOf(proxy))) {
    LogBrittle(proxy, service, "answer");
  }
}

}  // namespace

void LogBrittle(const Proxy& proxy, const std::string& service,
                const char* source) {
  kernel::LogEvent(
      LogPart::kEndpoint, LogLevel::kInfo, "service-brittle",
      {{"service", service},
       {"tolerance", proxy.endpoints.brittle_services.at(service).tolerance},
       {"source", source}});
}

void ApplyEndpointNotice(Proxy& proxy, const Call& call,
                         const routing::EndpointPtr& addressed, int status,
                         const AnswerMetadata& metadata) {
  if (metadata.is_leaving_invalid)
    ReportUnclear(proxy, call, *addressed, "leaving");
  if (metadata.is_backoff_invalid)
    ReportUnclear(proxy, call, *addressed, "backoff");
  if (metadata.is_brittle_invalid)
    ReportUnclear(proxy, call, *addressed, "brittle");
  ApplyBrittle(proxy, call, metadata);
  const routing::EndpointNotice& notice = metadata.notice;
  if (!notice.leaving && notice.backoff.count() == 0) return;
  if (notice.leaving) CountNotice(proxy, "leaving");
  if (notice.backoff.count() > 0) CountNotice(proxy, "backoff");
  const routing::EndpointPtr endpoint = routing::FindAnsweringEndpoint(
      proxy.endpoints, addressed, metadata.instance_id, status == kMisdirected);
  if (endpoint == nullptr) return;
  const Time now = NowOf(proxy);
  const routing::NoticeChange change =
      routing::OnNotice(proxy.endpoints, *endpoint, notice, now);
  LogChange(call, *endpoint, status, change, now);
  if (change.leaving || change.backoff) {
    AskForNoticeOrigin(proxy, *call.attempt, endpoint,
                       routing::StandingFrom(notice, now));
  }
}

}  // namespace egretladder::proxy
