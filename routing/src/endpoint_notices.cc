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

void Merge(StandingNotices& notices, const StandingNotices& other) {
  notices.leaving = notices.leaving || other.leaving;
  notices.backoff_until = std::max(notices.backoff_until, other.backoff_until);
}

bool IsAtSameAddress(const EndpointEntry& left, const EndpointEntry& right) {
  return left.address == right.address;
}

void AddToSuccessor(SuccessorNotices& successor, const StandingNotices& stated,
                    std::uint64_t started_unix_ms) {
  if (started_unix_ms > successor.started_unix_ms)
    successor = {started_unix_ms, {}};
  if (started_unix_ms == successor.started_unix_ms)
    Merge(successor.notices, stated);
}

// Passes the notices of an endpoint that was removed while it answered to the
// process's new entry, or keeps them until there is one.
void ForwardNotices(EndpointSet& set, const Endpoint& removed) {
  const auto at = set.by_id.find(removed.entry.id);
  if (at == set.by_id.end()) {
    RememberRemoved(set, removed);
  } else if (removed.entry.started_unix_ms != 0 &&
             IsSameProcess(at->second->entry, removed.entry)) {
    Merge(at->second->notices, removed.notices);
  }
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

NoticeChange OnNotice(EndpointSet& set, Endpoint& endpoint,
                      const EndpointNotice& notice, Time now) {
  StandingNotices& standing = endpoint.notices;
  const StandingNotices stated = StandingFrom(notice, now);
  const Time known_until = std::max(standing.backoff_until, now);
  NoticeChange change;
  change.leaving = stated.leaving && !standing.leaving;
  change.backoff = stated.backoff_until - known_until > kMinLoggedBackoffChange;
  Merge(standing, stated);
  if (endpoint.phase == EndpointPhase::kGone) ForwardNotices(set, endpoint);
  return change;
}

StandingNotices StandingFrom(const EndpointNotice& notice, Time now) {
  return {notice.leaving, now + notice.backoff};
}

void OnNoticeOrigin(EndpointSet& set, Endpoint& endpoint,
                    const StandingNotices& stated,
                    std::uint64_t started_unix_ms) {
  const EndpointPtr published = FindById(set, endpoint.entry.id);
  Endpoint& latest = published != nullptr ? *published : endpoint;
  const std::uint64_t known = latest.entry.started_unix_ms;
  if (known == 0 || !IsAtSameAddress(latest.entry, endpoint.entry)) return;
  if (started_unix_ms == known) {
    Merge(latest.notices, stated);
  } else if (started_unix_ms > known) {
    AddToSuccessor(latest.successor, stated, started_unix_ms);
  }
  if (published == nullptr) RememberRemoved(set, endpoint);
}

void RememberRemoved(EndpointSet& set, const Endpoint& endpoint) {
  // Without a start time, the process can't be recognized when it returns.
  if (endpoint.entry.started_unix_ms == 0) return;
  auto& remembered = set.removed_endpoints;
  remembered[endpoint.entry.id] = {endpoint.entry, endpoint.notices,
                                   endpoint.successor, endpoint.limit,
                                   ++set.last_removal_number};
  if (remembered.size() <= kMaxRememberedEndpoints) return;
  remembered.erase(std::min_element(remembered.begin(), remembered.end(),
                                    [](const auto& left, const auto& right) {
                                      return left.second.number <
                                             right.second.number;
                                    }));
}

void RestoreStatements(EndpointSet& set, Endpoint& endpoint) {
  const auto at = set.removed_endpoints.find(endpoint.entry.id);
  if (at == set.removed_endpoints.end()) return;
  const RemovedEndpoint& removed = at->second;
  const std::uint64_t started = endpoint.entry.started_unix_ms;
  if (IsSameProcess(removed.entry, endpoint.entry)) {
    endpoint.notices = removed.notices;
    endpoint.successor = removed.successor;
    endpoint.limit = removed.limit;
    if (endpoint.limit.per_second > 0) set.limited.insert(endpoint.entry.id);
  } else if (started != 0 && started == removed.successor.started_unix_ms &&
             IsAtSameAddress(removed.entry, endpoint.entry)) {
    endpoint.notices = removed.successor.notices;
  }
  set.removed_endpoints.erase(at);
}

milliseconds RemainingBackoff(const Endpoint& endpoint, Time now) {
  if (now >= endpoint.notices.backoff_until) return {};
  return std::chrono::ceil<milliseconds>(endpoint.notices.backoff_until - now);
}

}  // namespace egretladder::routing
