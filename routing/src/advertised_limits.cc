#include "egretladder/routing/advertised_limits.h"

#include <algorithm>
#include <chrono>
#include <cmath>

namespace egretladder::routing {
namespace {

bool Take(EndpointSet& set, Endpoint& endpoint, double per_second, Time named,
          Time now) {
  NamedLimit& limit = endpoint.limit;
  const double before = limit.per_second;
  limit.per_second =
      per_second > 0 ? std::clamp(per_second, kLimitLeast, kLimitMost) : 0;
  limit.named = named;
  if (limit.per_second > 0) set.limited.insert(endpoint.entry.id);
  if (limit.per_second == 0 && before > 0) limit.ended = now;
  if (limit.per_second > 0 && before == 0) limit.began = now;
  return std::abs(limit.per_second - before) >
         kLimitChange * std::max(limit.per_second, before);
}

bool IsOld(const NamedLimit& limit, Time now) {
  return limit.per_second > 0 ? now - limit.named > kLimitHeard
                              : now - limit.ended > kLimitHeard;
}

}  // namespace

bool OnAdvertisedLimit(EndpointSet& set, Endpoint& endpoint,
                       std::optional<double> per_second, Time now) {
  // One that takes nothing still gets a request now and then, by whose answer
  // the end of the limit shows.
  const double limit = per_second ? std::max(*per_second, kLimitLeast) : 0;
  return Take(set, endpoint, limit, now, now);
}

bool ApplyLimitGossip(EndpointSet& set, const LimitGossip& told, Time now) {
  const auto at = set.by_id.find(told.endpoint);
  if (at == set.by_id.end()) return false;
  if (!std::isfinite(told.per_second) || told.per_second < 0) return false;
  if (told.advertised_ago > kLimitHeard) return false;
  const Time named = now - told.advertised_ago;
  if (named <= at->second->limit.named) return false;
  return Take(set, *at->second, told.per_second, named, now);
}

std::vector<LimitGossip> MakeLimitGossip(EndpointSet& set,
                                         kernel::Random& random, Time now) {
  std::erase_if(set.limited, [&set, now](const std::string& id) {
    const auto at = set.by_id.find(id);
    return at == set.by_id.end() || IsOld(at->second->limit, now);
  });
  std::vector<LimitGossip> told;
  for (const std::string& id : set.limited) {
    const NamedLimit& limit = set.by_id[id]->limit;
    told.push_back(
        {id, limit.per_second,
         std::chrono::duration_cast<milliseconds>(now - limit.named)});
  }
  // Of many, others at each turn.
  while (told.size() > kLimitsTold) {
    std::swap(told[kernel::RandomBelow(random, told.size())], told.back());
    told.pop_back();
  }
  return told;
}

}  // namespace egretladder::routing
