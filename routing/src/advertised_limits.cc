#include "egretladder/routing/advertised_limits.h"

#include <algorithm>
#include <chrono>
#include <cmath>

namespace egretladder::routing {
namespace {

// Sets the limit. Returns true if it changed enough to be logged.
bool SetLimit(EndpointSet& set, Endpoint& endpoint, double per_second,
              Time advertised_at, Time now) {
  AdvertisedLimit& limit = endpoint.limit;
  const double before = limit.per_second;
  limit.per_second = per_second > 0 ? std::clamp(per_second, kMinLimitPerSecond,
                                                 kMaxLimitPerSecond)
                                    : 0;
  limit.advertised_at = advertised_at;
  if (limit.per_second > 0) set.limited.insert(endpoint.entry.id);
  if (limit.per_second == 0 && before > 0) limit.ended_at = now;
  if (limit.per_second > 0 && before == 0) limit.began_at = now;
  return std::abs(limit.per_second - before) >
         kMinLoggedLimitChangeRatio * std::max(limit.per_second, before);
}

bool IsOld(const AdvertisedLimit& limit, Time now) {
  return limit.per_second > 0 ? now - limit.advertised_at > kLimitFreshTime
                              : now - limit.ended_at > kLimitFreshTime;
}

}  // namespace

bool OnAdvertisedLimit(EndpointSet& set, Endpoint& endpoint,
                       std::optional<double> per_second, Time now) {
  // An endpoint that accepts nothing still gets occasional requests, whose
  // answers show when the limit ends.
  const double limit =
      per_second ? std::max(*per_second, kMinLimitPerSecond) : 0;
  return SetLimit(set, endpoint, limit, now, now);
}

bool ApplyLimitGossip(EndpointSet& set, const LimitGossip& gossip, Time now) {
  const auto at = set.by_id.find(gossip.endpoint);
  if (at == set.by_id.end()) return false;
  if (!std::isfinite(gossip.per_second) || gossip.per_second < 0) return false;
  if (gossip.advertised_ago > kLimitFreshTime) return false;
  const Time advertised_at = now - gossip.advertised_ago;
  if (advertised_at <= at->second->limit.advertised_at) return false;
  return SetLimit(set, *at->second, gossip.per_second, advertised_at, now);
}

std::vector<LimitGossip> MakeLimitGossip(EndpointSet& set,
                                         kernel::Random& random, Time now) {
  std::erase_if(set.limited, [&set, now](const std::string& id) {
    const auto at = set.by_id.find(id);
    return at == set.by_id.end() || IsOld(at->second->limit, now);
  });
  std::vector<LimitGossip> gossip;
  for (const std::string& id : set.limited) {
    const AdvertisedLimit& limit = set.by_id[id]->limit;
    gossip.push_back(
        {id, limit.per_second,
         std::chrono::duration_cast<milliseconds>(now - limit.advertised_at)});
  }
  // If there are too many, a random selection is sent, which differs in each
  // exchange.
  while (gossip.size() > kMaxLimitsPerExchange) {
    std::swap(gossip[kernel::RandomBelow(random, gossip.size())],
              gossip.back());
    gossip.pop_back();
  }
  return gossip;
}

}  // namespace egretladder::routing
