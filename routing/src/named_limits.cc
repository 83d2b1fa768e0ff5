#include "egretladder/routing/named_limits.h"

#include <algorithm>
#include <cmath>

namespace egretladder::routing {

bool OnLimit(Endpoint& endpoint, std::optional<double> per_second, Time now) {
  const double before = endpoint.limit.per_second;
  const double limit =
      per_second ? std::clamp(*per_second, kLimitLeast, kLimitMost) : 0;
  endpoint.limit = {limit, now};
  // What was sent before it was known counts as a turn that was taken.
  if (before == 0 && limit > 0) endpoint.rated_sent = now;
  return std::abs(limit - before) > kLimitChange * std::max(limit, before);
}

}  // namespace egretladder::routing
