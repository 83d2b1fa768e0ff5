#include "egretladder/routing/shared_rate.h"

#include <algorithm>
#include <chrono>
#include <limits>

#include "egretladder/kernel/hash.h"

namespace egretladder::routing {
namespace {

std::size_t EstimateFleetSize(const FleetSnapshot& fleet) {
  return std::max(fleet.nodes, fleet.names.size());
}

std::optional<SharedRate> ColdRateOf(const Endpoint& endpoint,
                                     const Service& service, Time now) {
  if (now >= endpoint.cold_until || service.cold_per_second <= 0) return {};
  return SharedRate{kRateUsed * service.cold_per_second, kColdSenders,
                    RateReason::kCold};
}

std::optional<SharedRate> LimitOf(const Endpoint& endpoint, Time now) {
  const NamedLimit& limit = endpoint.limit;
  if (limit.per_second <= 0) return {};
  if (now - limit.named > kLimitHeard) {
    return SharedRate{kLimitProbed * limit.per_second,
                      std::numeric_limits<std::size_t>::max(),
                      RateReason::kLimited, limit.named + kLimitHeard};
  }
  const double senders =
      kLimitSenders + kLimitSendersPerRate * limit.per_second;
  return SharedRate{kRateUsed * limit.per_second,
                    static_cast<std::size_t>(senders), RateReason::kLimited,
                    limit.began};
}

}  // namespace

std::optional<SharedRate> SharedRateOf(const Endpoint& endpoint,
                                       const Service& service, Time now) {
  const auto cold = ColdRateOf(endpoint, service, now);
  const auto limit = LimitOf(endpoint, now);
  if (!cold || !limit) return cold ? cold : limit;
  SharedRate rate = cold->per_second < limit->per_second ? *cold : *limit;
  rate.senders = std::min(cold->senders, limit->senders);
  return rate;
}

bool IsSender(const Endpoint& endpoint, const SharedRate& rate,
              const FleetSnapshot& fleet) {
  const std::size_t nodes = EstimateFleetSize(fleet);
  if (nodes <= rate.senders) return true;
  // A node that others don't know yet, or that knows few of them, is rarely
  // among them.
  std::size_t before = (nodes - fleet.names.size()) / 2;
  const std::uint64_t own = kernel::HashBytes(fleet.self, endpoint.name_hash);
  for (const std::string& name : fleet.names) {
    // Asked for each endpoint by each request: most nodes know after a few.
    if (before >= rate.senders) return false;
    if (kernel::HashBytes(name, endpoint.name_hash) > own) ++before;
  }
  return before < rate.senders;
}

Time NextTurn(const Endpoint& endpoint, const SharedRate& rate,
              const FleetSnapshot& fleet) {
  const std::size_t senders = std::min(EstimateFleetSize(fleet), rate.senders);
  const std::chrono::duration<double> pause(static_cast<double>(senders) /
                                            rate.per_second);
  if (endpoint.last_limited_send >= rate.since) {
    return endpoint.last_limited_send +
           std::chrono::duration_cast<Time::duration>(pause);
  }
  const double part =
      kernel::HashToFraction(kernel::HashBytes(endpoint.entry.id + fleet.self));
  return rate.since + std::chrono::duration_cast<Time::duration>(pause * part);
}

}  // namespace egretladder::routing
