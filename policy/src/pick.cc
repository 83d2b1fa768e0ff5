#include "egretladder/policy/pick.h"

#include <algorithm>
#include <chrono>
#include <cmath>

#include "egretladder/kernel/hash.h"

namespace egretladder::policy {
namespace {

constexpr double kBesideSuspect = 10;  // Only when nothing else is free.

double OthersLoad(const EndpointLoad& load, const Limits& limits, Time now) {
  if (load.reported_at == Time{}) return 0;
  const std::uint32_t others =
      load.reported_load - std::min(load.reported_load, load.own_at_report);
  const std::chrono::duration<double> age = now - load.reported_at;
  const double weight = std::exp2(-(age / limits.report_half_life));
  return weight * others / std::max(1U, load.max_in_flight);
}

}  // namespace

double ScoreOf(const EndpointLoad& load, const Limits& limits, Time now) {
  const double own = (load.in_flight + 1.0) / std::max(1U, load.slots);
  double score = own + OthersLoad(load, limits, now);
  if (load.near) score *= 1.0 - limits.near_zone_gain;
  if (load.beside_suspect) score += kBesideSuspect;
  return score;
}

bool TakesPrefix(const EndpointLoad& load, double mean, const Limits& limits) {
  if (load.in_flight >= load.slots || load.beside_suspect) return false;
  const double allowed = std::ceil(limits.affinity_load * mean * load.slots);
  return load.in_flight < std::max(1.0, allowed);
}

PrefixRing MakeRing(const rules::Rules& rules,
                    const std::vector<EndpointHandle>& servers) {
  constexpr std::uint64_t kPointsEach = 8;  // Evens out the ring's gaps.
  PrefixRing ring;
  ring.points.reserve(servers.size() * kPointsEach);
  for (const EndpointHandle endpoint : servers) {
    const std::string& name = rules.endpoints[endpoint.idx].source.name;
    for (std::uint64_t point = 0; point < kPointsEach; ++point) {
      ring.points.push_back({kernel::HashBytes(name, point), endpoint});
    }
  }
  std::sort(ring.points.begin(), ring.points.end(),
            [](const PrefixRing::Point& left, const PrefixRing::Point& right) {
              return left.hash < right.hash;
            });
  return ring;
}

void HomesOf(const PrefixRing& ring, std::uint64_t prefix, std::uint32_t homes,
             std::vector<EndpointHandle>& out) {
  constexpr std::size_t kStepsMost = 64;
  out.clear();
  if (ring.points.empty()) return;
  const auto first =
      std::lower_bound(ring.points.begin(), ring.points.end(), prefix,
                       [](const PrefixRing::Point& point, std::uint64_t hash) {
                         return point.hash < hash;
                       });
  auto at = static_cast<std::size_t>(first - ring.points.begin());
  const std::size_t steps = std::min(kStepsMost, ring.points.size());
  for (std::size_t step = 0; step < steps && out.size() < homes; ++step, ++at) {
    const EndpointHandle endpoint =
        ring.points[at % ring.points.size()].endpoint;
    if (std::find(out.begin(), out.end(), endpoint) == out.end()) {
      out.push_back(endpoint);
    }
  }
}

}  // namespace egretladder::policy
