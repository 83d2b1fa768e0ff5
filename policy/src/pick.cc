#include "egretladder/policy/pick.h"

#include <algorithm>
#include <chrono>
#include <cmath>

#include "egretladder/kernel/hash.h"

namespace egretladder::policy {
namespace {

constexpr double kSuspectPenalty = 10;  // Last resort only.

double OtherNodesLoad(const EndpointLoad& load, const Limits& limits,
                      Time now) {
  if (load.reported_at == Time{}) return 0;
  const std::uint32_t other_nodes =
      load.reported_load -
      std::min(load.reported_load, load.own_in_flight_at_report);
  const std::chrono::duration<double> age = now - load.reported_at;
  const double weight = std::exp2(-(age / limits.report_half_life));
  return weight * other_nodes / std::max(1U, load.max_in_flight);
}

}  // namespace

double LoadScore(const EndpointLoad& load, const Limits& limits, Time now) {
  const double own_load = (load.in_flight + 1.0) / std::max(1U, load.slots);
  double score = own_load + OtherNodesLoad(load, limits, now);
  if (load.same_zone) score *= 1.0 - limits.same_zone_discount;
  if (load.runs_suspect) score += kSuspectPenalty;
  return score;
}

bool HasPrefixCapacity(const EndpointLoad& load, double mean_load,
                       const Limits& limits) {
  if (load.in_flight >= load.slots || load.runs_suspect) return false;
  const double allowed =
      std::ceil(limits.affinity_load * mean_load * load.slots);
  return load.in_flight < std::max(1.0, allowed);
}

PrefixRing BuildPrefixRing(const rules::Rules& rules,
                           const std::vector<EndpointHandle>& servers) {
  constexpr std::uint64_t kPointsPerEndpoint = 8;  // Evens out the shares.
  PrefixRing ring;
  ring.points.reserve(servers.size() * kPointsPerEndpoint);
  for (const EndpointHandle endpoint : servers) {
    const std::string& name = rules.endpoints[endpoint.idx].source.name;
    for (std::uint64_t point = 0; point < kPointsPerEndpoint; ++point) {
      ring.points.push_back({kernel::HashBytes(name, point), endpoint});
    }
  }
  std::sort(ring.points.begin(), ring.points.end(),
            [](const PrefixRing::Point& left, const PrefixRing::Point& right) {
              return left.hash < right.hash;
            });
  return ring;
}

void FindPrefixOwners(const PrefixRing& ring, std::uint64_t prefix,
                      std::uint32_t max_owners,
                      std::vector<EndpointHandle>& out) {
  constexpr std::size_t kMaxRingSteps = 64;
  out.clear();
  if (ring.points.empty()) return;
  const auto first =
      std::lower_bound(ring.points.begin(), ring.points.end(), prefix,
                       [](const PrefixRing::Point& point, std::uint64_t hash) {
                         return point.hash < hash;
                       });
  auto index = static_cast<std::size_t>(first - ring.points.begin());
  const std::size_t steps = std::min(kMaxRingSteps, ring.points.size());
  for (std::size_t step = 0; step < steps && out.size() < max_owners;
       ++step, ++index) {
    const EndpointHandle endpoint =
        ring.points[index % ring.points.size()].endpoint;
    if (std::find(out.begin(), out.end(), endpoint) == out.end()) {
      out.push_back(endpoint);
    }
  }
}

}  // namespace egretladder::policy
