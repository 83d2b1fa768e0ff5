#include "egretladder/routing/endpoint_notices.h"

#include <algorithm>

namespace egretladder::routing {
namespace {

EndpointPtr FindById(const EndpointSet& set, std::string_view id) {
  const auto at = set.by_id.find(std::string(id));
  return at != set.by_id.end() ? at->second : nullptr;
}

EndpointPtr FindOtherAtAddress(const EndpointSet& set,
                               const EndpointEntry& addressed) {
  for (const auto& [id, endpoint] : set.by_id) {
    if (id != addressed.id && endpoint->entry.address == addressed.address) {
      return endpoint;
    }
  }
  return nullptr;
}

}  // namespace

EndpointPtr FindAnsweringEndpoint(const EndpointSet& set,
                                  const EndpointPtr& addressed,
                                  std::string_view instance_id,
                                  bool is_wrong_instance) {
  if (!instance_id.empty() && instance_id != addressed->entry.id) {
    return FindById(set, instance_id);
  }
  if (instance_id.empty() && is_wrong_instance) {
    return FindOtherAtAddress(set, addressed->entry);
  }
  return addressed;
}

NoticeChange OnNotice(EndpointSet& /*set*/, Endpoint& endpoint,
                      const EndpointNotice& notice, Time now) {
  StandingNotices& standing = endpoint.notices;
  NoticeChange change;
  change.leaving = notice.leaving && !standing.leaving;
  standing.leaving = standing.leaving || notice.leaving;
  const Time backoff_until = now + notice.backoff;
  const Time known_until = std::max(standing.backoff_until, now);
  change.backoff = backoff_until - known_until > kMinLoggedBackoffChange;
  standing.backoff_until = std::max(standing.backoff_until, backoff_until);
  return change;
}

milliseconds RemainingBackoff(const Endpoint& endpoint, Time now) {
  if (now >= endpoint.notices.backoff_until) return {};
  return std::chrono::ceil<milliseconds>(endpoint.notices.backoff_until - now);
}

}  // namespace egretladder::routing
