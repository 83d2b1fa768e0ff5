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

std::optional<SharedRate> ColdStartRate(const Endpoint& endpoint,
                                        const Service& service, Time now) {
  if (now >= endpoint.cold_until || service.cold_per_second <= 0) return {};
  return SharedRate{kUsableRateRatio * service.cold_per_second, kMaxColdSenders,
                    RateReason::kCold};
}

std::optional<SharedRate> AdvertisedRate(const Endpoint& endpoint, Time now) {
  const AdvertisedLimit& limit = endpoint.limit;
  if (limit.per_second <= 0) return {};
  if (now - limit.advertised_at > kLimitFreshTime) {
    return SharedRate{kLimitProbeRatio * limit.per_second,
                      std::numeric_limits<std::size_t>::max(),
                      RateReason::kLimited,
                      limit.advertised_at + kLimitFreshTime};
  }
  const double senders =
      kBaseLimitSenders + kLimitSendersPerRate * limit.per_second;
  return SharedRate{kUsableRateRatio * limit.per_second,
                    static_cast<std::size_t>(senders), RateReason::kLimited,
                    limit.began_at};
}

}  // namespace

std::optional<SharedRate> FindSharedRate(const Endpoint& endpoint,
                                         const Service& service, Time now) {
  const auto cold = ColdStartRate(endpoint, service, now);
  const auto limit = AdvertisedRate(endpoint, now);
  if (!cold || !limit) return cold ? cold : limit;
  SharedRate rate = cold->per_second < limit->per_second ? *cold : *limit;
  rate.senders = std::min(cold->senders, limit->senders);
  return rate;
}

bool IsSender(const Endpoint& endpoint, const SharedRate& rate,
              const FleetSnapshot& fleet) {
  const std::size_t nodes = EstimateFleetSize(fleet);
  if (nodes <= rate.senders) return true;
  // Nodes that this node doesn't know are assumed to be preferred half of the
  // time. Thus a node that the others don't know yet, or that knows few of
  // them, is rarely a sender.
  std::size_t preferred_nodes = (nodes - fleet.names.size()) / 2;
  const std::uint64_t own_hash =
      kernel::HashBytes(fleet.self, endpoint.name_hash);
  for (const std::string& name : fleet.names) {
    // This runs for each endpoint of each request. Most nodes are ruled out
    // after a few names.
    if (preferred_nodes >= rate.senders) return false;
    if (kernel::HashBytes(name, endpoint.name_hash) > own_hash)
      ++preferred_nodes;
  }
  return preferred_nodes < rate.senders;
}

Time NextTurnTime(const Endpoint& endpoint, const SharedRate& rate,
                  const FleetSnapshot& fleet) {
  const std::size_t senders = std::min(EstimateFleetSize(fleet), rate.senders);
  const std::chrono::duration<double> interval(static_cast<double>(senders) /
                                               rate.per_second);
  if (endpoint.last_limited_send >= rate.since) {
    return endpoint.last_limited_send +
           std::chrono::duration_cast<Time::duration>(interval);
  }
  const double offset =
      kernel::HashToFraction(kernel::HashBytes(endpoint.entry.id + fleet.self));
  return rate.since +
         std::chrono::duration_cast<Time::duration>(interval * offset);
}

}  // namespace egretladder::routing
