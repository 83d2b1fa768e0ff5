#include "egretladder/routing/shared_rate.h"

#include <algorithm>
#include <chrono>
#include <limits>
#include <utility>

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

bool RanksAmongSenders(const Endpoint& endpoint, std::size_t senders,
                       std::size_t others, const FleetSnapshot& fleet) {
  std::size_t preferred_nodes = others;
  const std::uint64_t own_hash =
      kernel::HashBytes(fleet.self, endpoint.name_hash);
  for (const std::string& name : fleet.names) {
    // Most nodes are ruled out after a few names.
    if (preferred_nodes >= senders) return false;
    if (kernel::HashBytes(name, endpoint.name_hash) > own_hash)
      ++preferred_nodes;
  }
  return preferred_nodes < senders;
}

Time LastLostBefore(const Endpoint& endpoint, const FleetSnapshot& fleet) {
  const std::uint64_t own_hash =
      kernel::HashBytes(fleet.self, endpoint.name_hash);
  Time lost_at{};
  for (const LostNode& lost : fleet.lost) {
    if (kernel::HashBytes(lost.name, endpoint.name_hash) > own_hash)
      lost_at = std::max(lost_at, lost.lost_at);
  }
  return lost_at;
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

bool IsAmongSenders(const Endpoint& endpoint, std::size_t senders,
                    std::size_t others, const FleetSnapshot& fleet) {
  SenderCheck& check = endpoint.sender_check;
  const bool is_known = fleet.number != 0 && check.snapshot == fleet.number &&
                        check.senders == senders && check.others == others;
  if (!is_known) {
    check = {fleet.number, senders, others,
             RanksAmongSenders(endpoint, senders, others, fleet),
             LastLostBefore(endpoint, fleet)};
  }
  return check.is_sender;
}

Time PredecessorLostAt(const Endpoint& endpoint, std::size_t senders,
                       const FleetSnapshot& fleet) {
  IsAmongSenders(endpoint, senders, 0, fleet);
  return endpoint.sender_check.predecessor_lost_at;
}

std::vector<std::string> FindSenders(const Endpoint& endpoint,
                                     std::size_t senders,
                                     const FleetSnapshot& fleet) {
  std::vector<std::pair<std::uint64_t, const std::string*>> ranked;
  ranked.reserve(fleet.names.size());
  for (const std::string& name : fleet.names)
    ranked.emplace_back(kernel::HashBytes(name, endpoint.name_hash), &name);
  const std::size_t count = std::min(senders, ranked.size());
  std::partial_sort(ranked.begin(),
                    ranked.begin() + static_cast<std::ptrdiff_t>(count),
                    ranked.end(), [](const auto& left, const auto& right) {
                      return left.first > right.first;
                    });
  std::vector<std::string> names;
  for (std::size_t i = 0; i < count; ++i) names.push_back(*ranked[i].second);
  return names;
}

bool IsSender(const Endpoint& endpoint, const SharedRate& rate,
              const FleetSnapshot& fleet) {
  const std::size_t nodes = EstimateFleetSize(fleet);
  if (nodes <= rate.senders) return true;
  // Nodes that this node doesn't know are assumed to be preferred half of the
  // time. Thus a node that the others don't know yet, or that knows few of
  // them, is rarely a sender.
  return IsAmongSenders(endpoint, rate.senders,
                        (nodes - fleet.names.size()) / 2, fleet);
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
