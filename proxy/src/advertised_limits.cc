// Rate limits that endpoints state in their answers, and their exchange with
// peers.
#include "egretladder/routing/advertised_limits.h"

#include "gossip_codec_p.h"

namespace egretladder::proxy {
namespace {

using kernel::LogLevel;
using kernel::LogPart;

void LogLimit(const routing::Endpoint& endpoint, double previous_limit,
              const char* source) {
  kernel::LogEvent(LogPart::kEndpoint, LogLevel::kInfo, "endpoint-limit",
                   {{"endpoint", endpoint.entry.id},
                    {"per_second", endpoint.limit.per_second},
                    {"before", previous_limit},
                    {"source", source}});
}

}  // namespace

void UpdateEndpointLimit(Proxy& proxy, const Call& call,
                         routing::Endpoint& endpoint,
                         const AnswerMetadata& metadata) {
  if (metadata.is_limit_invalid) {
    kernel::LogEvent(
        LogPart::kEndpoint, LogLevel::kWarning, "limit-unclear",
        {{"req", call.metadata.id}, {"endpoint", endpoint.entry.id}});
    return;
  }
  if (!metadata.limit && !metadata.sealed) return;
  const double previous_limit = endpoint.limit.per_second;
  if (routing::OnAdvertisedLimit(proxy.endpoints, endpoint, metadata.limit,
                                 NowOf(proxy))) {
    LogLimit(endpoint, previous_limit, "answer");
  }
}

void WriteLimits(Proxy& proxy, exchange::News::Builder news) {
  if (proxy.endpoints.limited.empty()) return;
  const auto gossip =
      routing::MakeLimitGossip(proxy.endpoints, proxy.random, NowOf(proxy));
  auto list = news.initLimits(static_cast<unsigned>(gossip.size()));
  for (unsigned i = 0; i < list.size(); ++i) {
    list[i].setEndpoint(gossip[i].endpoint);
    list[i].setPerSecond(gossip[i].per_second);
    list[i].setNamedAgoMs(static_cast<std::uint32_t>(
        std::max<std::int64_t>(0, gossip[i].advertised_ago.count())));
  }
}

void ApplyLimits(Proxy& proxy, exchange::News::Reader news) {
  for (const auto gossip : news.getLimits()) {
    const std::string id = gossip.getEndpoint();
    const auto it = proxy.endpoints.by_id.find(id);
    if (it == proxy.endpoints.by_id.end()) continue;
    const double previous_limit = it->second->limit.per_second;
    const bool changed = routing::ApplyLimitGossip(
        proxy.endpoints,
        {id, gossip.getPerSecond(), milliseconds(gossip.getNamedAgoMs())},
        NowOf(proxy));
    if (changed) LogLimit(*it->second, previous_limit, "peer");
  }
}

}  // namespace egretladder::proxy
