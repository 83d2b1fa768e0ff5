#include "egretladder/fleet/orders.h"

#include <algorithm>
#include <string>
#include <tuple>

#include "egretladder/fleet/limits.h"
#include "egretladder/kernel/hash.h"

namespace egretladder::fleet {
namespace {

using rules::EndpointHandle;
using rules::Rules;
using rules::TargetHandle;

bool Contains(const std::vector<TargetHandle>& targets, TargetHandle target) {
  return std::find(targets.begin(), targets.end(), target) != targets.end();
}

/// Returns the models sorted by name, because handles differ between nodes.
std::vector<TargetHandle> ModelsByName(const Rules& rules) {
  std::vector<TargetHandle> models;
  for (std::uint32_t i = 0; i < rules.targets.size(); ++i) {
    const rules::Target& target = rules.targets[i];
    if (target.source.present && target.kind == rules::TargetKind::kModel) {
      models.push_back({i});
    }
  }
  std::sort(models.begin(), models.end(),
            [&](TargetHandle left, TargetHandle right) {
              return rules.targets[left.idx].source.name <
                     rules.targets[right.idx].source.name;
            });
  return models;
}

/// Returns the best endpoint with room for one more copy, preferring the zone
/// with the fewest copies; invalid if there is none.
EndpointHandle PickEndpoint(const Rules& rules, const Placement& placement,
                            const std::vector<bool>& takes_work,
                            TargetHandle model) {
  std::map<std::uint32_t, std::uint32_t> copies;
  for (std::uint32_t i = 0; i < placement.size(); ++i) {
    if (Contains(placement[i], model)) ++copies[rules.endpoints[i].zone.idx];
  }
  const std::string& name = rules.targets[model.idx].source.name;
  EndpointHandle best;
  std::tuple<std::uint32_t, std::uint64_t> best_rank;
  for (std::uint32_t i = 0; i < rules.endpoints.size(); ++i) {
    const rules::Endpoint& endpoint = rules.endpoints[i];
    const bool fits = takes_work[i] && Serves(endpoint, model) &&
                      placement[i].size() < endpoint.max_loaded_models &&
                      !Contains(placement[i], model);
    if (!fits) continue;
    const std::tuple rank(
        copies[endpoint.zone.idx],
        kernel::HashBytes(endpoint.source.name, kernel::HashBytes(name)));
    if (IsValid(best) && rank >= best_rank) continue;
    best = {i};
    best_rank = rank;
  }
  return best;
}

/// Returns true if orders of a former keeper can no longer conflict with those
/// of this one. An engine that honours fencing numbers rejects the old ones
/// itself. For others, the keeper waits until its predecessor's mandate is over
/// and the engine's models have not changed for a while.
bool CanOrder(const EndpointOrders& orders, bool honours_fencing, Time now) {
  if (honours_fencing) return true;
  return now - orders.kept_since >= kUnfencedQuietTime &&
         now - orders.changed >= kUnfencedQuietTime;
}

std::optional<TargetHandle> FindRemovableModel(const EndpointOrders& orders,
                                               const OrderInput& input,
                                               Time now) {
  for (const TargetHandle target : orders.loaded) {
    if (Contains(input.desired, target) || !Contains(input.spare, target))
      continue;
    const auto since = orders.loaded_since.find(target);
    const bool dwelt = since != orders.loaded_since.end() &&
                       now - since->second >= kMinModelResidency;
    if (dwelt) return target;
  }
  return std::nullopt;
}

}  // namespace

Placement PlaceModels(const Rules& rules, const std::vector<bool>& takes_work) {
  Placement placement(rules.endpoints.size());
  for (const TargetHandle model : ModelsByName(rules)) {
    for (std::uint32_t i = 0; i < rules.targets[model.idx].copies; ++i) {
      const EndpointHandle place =
          PickEndpoint(rules, placement, takes_work, model);
      if (!IsValid(place)) break;
      placement[place.idx].push_back(model);
    }
  }
  return placement;
}

void ApplyLoadedModels(EndpointOrders& orders,
                       const std::vector<TargetHandle>& loaded, Time now) {
  std::vector<TargetHandle> sorted = loaded;
  std::sort(sorted.begin(), sorted.end());
  if (sorted != orders.loaded) {
    orders.loaded = sorted;
    orders.changed = now;
  }
  std::erase_if(orders.loaded_since, [&](const auto& entry) {
    return !Contains(sorted, entry.first);
  });
  for (const TargetHandle target : sorted) {
    orders.loaded_since.try_emplace(target, now);
  }
  if (!orders.open.has_value()) return;
  const bool wanted = orders.open->kind == OrderKind::kLoad;
  const bool done = Contains(sorted, orders.open->target) == wanted;
  if (done || now - orders.open->sent >= kOrderTimeout) orders.open.reset();
}

std::optional<NextOrder> DecideOrder(const EndpointOrders& orders,
                                     const OrderInput& input, Time now) {
  // One order at a time: an engine that loads two models at once serves
  // neither.
  if (orders.open.has_value()) return std::nullopt;
  if (!CanOrder(orders, input.honours_fencing, now)) return std::nullopt;
  for (const TargetHandle target : input.desired) {
    if (Contains(orders.loaded, target)) continue;
    if (!input.has_load_budget) return std::nullopt;
    if (orders.loaded.size() < input.max_loaded_models) {
      return NextOrder{OrderKind::kLoad, target};
    }
    const auto victim = FindRemovableModel(orders, input, now);
    if (!victim.has_value()) return std::nullopt;
    return NextOrder{OrderKind::kUnload, *victim};
  }
  return std::nullopt;
}

std::chrono::milliseconds ModelLoadInterval(std::size_t nodes) {
  return std::chrono::milliseconds(std::chrono::minutes(1)) *
         static_cast<std::int64_t>(nodes) / kMaxModelLoadsPerMinute;
}

}  // namespace egretladder::fleet
