#include "egretladder/fleet/electorate.h"

#include <algorithm>
#include <string>
#include <tuple>

#include "egretladder/fleet/limits.h"
#include "egretladder/kernel/hash.h"

namespace egretladder::fleet {
namespace {

using rules::EndpointHandle;
using rules::NodeHandle;
using rules::Rules;

/// Mixes two hashes into a rank. Source: the finaliser of splitmix64.
std::uint64_t Mix(std::uint64_t left, std::uint64_t right) {
  std::uint64_t bits = left ^ (right * 0x9E3779B97F4A7C15U);
  bits = (bits ^ (bits >> 30U)) * 0xBF58476D1CE4E5B9U;
  bits = (bits ^ (bits >> 27U)) * 0x94D049BB133111EBU;
  return bits ^ (bits >> 31U);
}

/// 0: same zone, 1: same region, 2: elsewhere.
int Distance(const Rules& rules, rules::ZoneHandle left,
             rules::ZoneHandle right) {
  if (left == right) return 0;
  const bool same_region =
      rules.zones[left.idx].region == rules.zones[right.idx].region;
  return same_region ? 1 : 2;
}

struct Ranked {
  int distance = 0;
  std::uint64_t rank = 0;
  std::uint32_t idx = 0;
  friend bool operator<(const Ranked& left, const Ranked& right) {
    return std::tie(left.distance, left.rank, left.idx) <
           std::tie(right.distance, right.rank, right.idx);
  }
};

}  // namespace

std::vector<NodeHandle> VotersOf(const Rules& rules, EndpointHandle endpoint) {
  const rules::Endpoint& row = rules.endpoints[endpoint.idx];
  const std::uint64_t seed = kernel::HashBytes(row.source.name);
  std::vector<Ranked> ranked;
  for (std::uint32_t i = 0; i < rules.nodes.size(); ++i) {
    const rules::Node& node = rules.nodes[i];
    if (!node.source.present) continue;
    ranked.push_back({Distance(rules, node.zone, row.zone),
                      Mix(seed, kernel::HashBytes(node.source.name)), i});
  }
  const std::size_t count = std::min(ranked.size(), kVotersMost);
  const auto middle = ranked.begin() + static_cast<std::ptrdiff_t>(count);
  std::partial_sort(ranked.begin(), middle, ranked.end());
  std::vector<NodeHandle> voters;
  for (auto it = ranked.begin(); it != middle; ++it)
    voters.push_back({it->idx});
  return voters;
}

std::uint64_t NodesDigest(const Rules& rules) {
  std::uint64_t digest = 0;
  for (const rules::Node& node : rules.nodes) {
    if (!node.source.present) continue;
    const std::string& zone = rules.zones[node.zone.idx].source.name;
    digest += Mix(kernel::HashBytes(node.source.name), kernel::HashBytes(zone));
  }
  return digest;
}

std::uint32_t TotalFloorSlots(const rules::Endpoint& endpoint) {
  return std::min(endpoint.cold_max_in_flight, endpoint.max_in_flight) /
         kFloorPart;
}

std::uint32_t NodeFloorSlots(const Rules& rules, EndpointHandle endpoint,
                             std::string_view node) {
  const std::uint32_t sum = TotalFloorSlots(rules.endpoints[endpoint.idx]);
  if (sum == 0) return 0;
  const std::vector<NodeHandle> voters = VotersOf(rules, endpoint);
  if (voters.empty()) return 0;
  std::uint32_t mine = 0;
  for (std::uint32_t slot = 0; slot < sum; ++slot) {
    const NodeHandle owner = voters[slot % voters.size()];
    if (rules.nodes[owner.idx].source.name == node) ++mine;
  }
  return mine;
}

std::vector<bool> EndpointsUsedBy(const Rules& rules, std::string_view node,
                                  std::string_view zone) {
  std::vector<bool> used(rules.endpoints.size(), false);
  std::size_t present = 0;
  for (const rules::Endpoint& endpoint : rules.endpoints) {
    if (endpoint.source.present) ++present;
  }
  if (present <= kEndpointsAll) {
    used.assign(used.size(), true);
    return used;
  }
  const rules::ZoneHandle own = FindZone(rules, zone);
  const std::uint64_t seed = kernel::HashBytes(node);
  std::vector<std::vector<Ranked>> by_target(rules.targets.size());
  for (std::uint32_t i = 0; i < rules.endpoints.size(); ++i) {
    const rules::Endpoint& endpoint = rules.endpoints[i];
    if (!TakesWork(rules, endpoint)) continue;
    const int distance =
        IsValid(own) ? std::max(Distance(rules, own, endpoint.zone), 1) : 1;
    const std::uint64_t rank =
        Mix(seed, kernel::HashBytes(endpoint.source.name));
    for (const rules::TargetHandle target : endpoint.serves) {
      by_target[target.idx].push_back({distance, rank, i});
    }
  }
  for (std::vector<Ranked>& ranked : by_target) {
    const std::size_t count = std::min(ranked.size(), kEndpointsPerTarget);
    const auto middle = ranked.begin() + static_cast<std::ptrdiff_t>(count);
    std::partial_sort(ranked.begin(), middle, ranked.end());
    for (auto it = ranked.begin(); it != middle; ++it) used[it->idx] = true;
  }
  return used;
}

bool IsReader(const Rules& rules, std::string_view node) {
  const NodeHandle self = FindNode(rules, node);
  if (!IsValid(self)) return true;  // Not published: can't rely on others.
  const rules::ZoneHandle zone = rules.nodes[self.idx].zone;
  const std::uint64_t own = kernel::HashBytes(node);
  std::size_t before = 0;
  for (const rules::Node& other : rules.nodes) {
    if (!other.source.present || other.zone != zone) continue;
    if (kernel::HashBytes(other.source.name) < own) ++before;
  }
  return before < kReadersPerZone;
}

bool TakesWork(const Rules& rules, const rules::Endpoint& endpoint) {
  return endpoint.source.present && !endpoint.leaving &&
         !rules.zones[endpoint.zone.idx].out;
}

}  // namespace egretladder::fleet
