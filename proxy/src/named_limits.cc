// Limits that endpoints name: from their answers, and from peers.
#include "egretladder/routing/named_limits.h"

#include "news_codec_p.h"

namespace egretladder::proxy {
namespace {

using kernel::LogLevel;
using kernel::LogPart;

void LogLimit(const routing::Endpoint& endpoint, double before,
              const char* source) {
  kernel::LogEvent(LogPart::kEndpoint, LogLevel::kInfo, "endpoint-limit",
                   {{"endpoint", endpoint.entry.id},
                    {"per_second", endpoint.limit.per_second},
                    {"before", before},
                    {"source", source}});
}

}  // namespace

void NoteLimit(Proxy& proxy, const Call& call, const AnswerMetadata& facts) {
  routing::Endpoint& endpoint = *call.attempt->endpoint;
  if (facts.is_limit_invalid) {
    kernel::LogEvent(LogPart::kEndpoint, LogLevel::kWarning, "limit-unclear",
                     {{"req", call.facts.id}, {"endpoint", endpoint.entry.id}});
    return;
  }
  if (!facts.limit && !facts.sealed) return;
  const double before = endpoint.limit.per_second;
  if (routing::OnLimit(proxy.endpoints, endpoint, facts.limit, NowOf(proxy))) {
    LogLimit(endpoint, before, "answer");
  }
}

void WriteLimits(Proxy& proxy, exchange::News::Builder news) {
  if (proxy.endpoints.limited.empty()) return;
  const auto told =
      routing::LimitsToTell(proxy.endpoints, proxy.random, NowOf(proxy));
  auto list = news.initLimits(static_cast<unsigned>(told.size()));
  for (unsigned i = 0; i < list.size(); ++i) {
    list[i].setEndpoint(told[i].endpoint);
    list[i].setPerSecond(told[i].per_second);
    list[i].setNamedAgoMs(static_cast<std::uint32_t>(
        std::max<std::int64_t>(0, told[i].named_ago.count())));
  }
}

void TakeLimits(Proxy& proxy, exchange::News::Reader news) {
  for (const auto told : news.getLimits()) {
    const std::string id = told.getEndpoint();
    const auto at = proxy.endpoints.by_id.find(id);
    if (at == proxy.endpoints.by_id.end()) continue;
    const double before = at->second->limit.per_second;
    const bool changed = routing::HearLimit(
        proxy.endpoints,
        {id, told.getPerSecond(), milliseconds(told.getNamedAgoMs())},
        NowOf(proxy));
    if (changed) LogLimit(*at->second, before, "peer");
  }
}

}  // namespace egretladder::proxy
