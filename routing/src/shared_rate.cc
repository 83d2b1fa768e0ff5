#include "egretladder/routing/shared_rate.h"

#include <algorithm>
#include <chrono>

#include "egretladder/kernel/hash.h"

namespace egretladder::routing {
namespace {

std::size_t NodesOf(const FleetPart& fleet) {
  return std::max(fleet.nodes, fleet.names.size());
}

}  // namespace

std::optional<SharedRate> SharedRateOf(const Endpoint& endpoint,
                                       const Service& service, Time now) {
  if (now >= endpoint.cold_until || service.cold_per_second <= 0) return {};
  return SharedRate{kRateUsed * service.cold_per_second, kColdSenders,
                    RateReason::kCold};
}

bool IsSender(const Endpoint& endpoint, const SharedRate& rate,
              const FleetPart& fleet) {
  const std::size_t nodes = NodesOf(fleet);
  if (nodes <= rate.senders) return true;
  const std::uint64_t own = kernel::HashOf(endpoint.entry.id + fleet.self);
  const auto before = std::count_if(
      fleet.names.begin(), fleet.names.end(), [&](const std::string& name) {
        return kernel::HashOf(endpoint.entry.id + name) > own;
      });
  // A node that others don't know yet, or that knows few of them, is rarely
  // among them.
  const double unknown = static_cast<double>(nodes - fleet.names.size());
  return static_cast<double>(before) + unknown / 2 <
         static_cast<double>(rate.senders);
}

Time NextTurn(const Endpoint& endpoint, const SharedRate& rate,
              const FleetPart& fleet) {
  const std::size_t senders = std::min(NodesOf(fleet), rate.senders);
  const std::chrono::duration<double> pause(static_cast<double>(senders) /
                                            rate.per_second);
  return endpoint.rated_sent +
         std::chrono::duration_cast<Time::duration>(pause);
}

}  // namespace egretladder::routing
