// Asks endpoints which process gave a notice.
//
// While the store can't be read, another process may answer under an endpoint's
// id than the one of its entry. When its entry arrives, what it has stated must
// bind it, and what the one before it stated must not. Answers don't tell which
// process gave them, but reports do. Notices are rare: an endpoint that gave
// one gets no requests for some time.
#include <algorithm>

#include "state_p.h"

namespace egretladder::proxy {
namespace {

using kernel::LogLevel;
using kernel::LogPart;

constexpr int kOk = 200;

routing::UnixTime UnixTimeOf(const Proxy& proxy, Time time) {
  return UnixNow(proxy) - Elapsed(time, NowOf(proxy));
}

void OnReport(Proxy& proxy, const std::string& id, const Page& page) {
  const auto node = proxy.notice_checks.extract(id);
  const NoticeCheck& check = node.mapped();
  const std::uint64_t started =
      page.status == kOk ? proxy.dialect->read_process_start(page.body) : 0;
  // A process that started after the request was sent has not answered it.
  const bool is_origin =
      started != 0 &&
      routing::UnixTime(started) <= UnixTimeOf(proxy, check.requested_at);
  kernel::LogEvent(LogPart::kEndpoint, LogLevel::kInfo, "notice-origin",
                   {{"endpoint", id},
                    {"status", page.status},
                    {"published_start", check.endpoint->entry.started_unix_ms},
                    {"start", started},
                    {"is_origin", is_origin ? "yes" : "no"}});
  if (!is_origin) return;
  routing::OnNoticeOrigin(proxy.endpoints, *check.endpoint, check.stated,
                          started);
}

Time RequestTime(const Attempt& attempt) {
  return attempt.request_sent ? attempt.first_byte_sent_at : attempt.sent_at;
}

}  // namespace

void AskForNoticeOrigin(Proxy& proxy, const Attempt& attempt,
                        const routing::EndpointPtr& endpoint,
                        const routing::StandingNotices& stated) {
  // No entry of such a process could be told from another one's.
  if (endpoint->entry.started_unix_ms == 0) return;
  const std::string& id = endpoint->entry.id;
  const bool is_asked = proxy.notice_checks.contains(id);
  if (!is_asked && proxy.notice_checks.size() >= kMaxNoticeChecks) return;
  NoticeCheck& check = proxy.notice_checks[id];
  check.requested_at = is_asked
                           ? std::min(check.requested_at, RequestTime(attempt))
                           : RequestTime(attempt);
  check.stated.leaving = check.stated.leaving || stated.leaving;
  check.stated.backoff_until =
      std::max(check.stated.backoff_until, stated.backoff_until);
  if (is_asked) return;
  check.endpoint = endpoint;
  check.read = StartPageRead(
      *proxy.loop, *proxy.client,
      {.address = endpoint->entry.address,
       .target = proxy.dialect->report_target(),
       .max_bytes = kMaxReportBytes,
       .timeout = kNoticeCheckTimeout,
       .dialect = proxy.dialect},
      [&proxy, id](const Page& page) { OnReport(proxy, id, page); });
}

}  // namespace egretladder::proxy
