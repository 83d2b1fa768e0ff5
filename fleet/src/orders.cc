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

bool Holds(const std::vector<TargetHandle>& targets, TargetHandle target) {
  return std::find(targets.begin(), targets.end(), target) != targets.end();
}

/// Models in the order of their names: handles differ between nodes.
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

/// The best endpoint with room for one more copy; the zone with the fewest
/// copies goes first.
EndpointHandle PickPlace(const Rules& rules, const Placement& placement,
                         const std::vector<bool>& takes_work,
                         TargetHandle model) {
  std::map<std::uint32_t, std::uint32_t> copies;
  for (std::uint32_t i = 0; i < placement.size(); ++i) {
    if (Holds(placement[i], model)) ++copies[rules.endpoints[i].zone.idx];
  }
  const std::string& name = rules.targets[model.idx].source.name;
  EndpointHandle best;
  std::tuple<std::uint32_t, std::uint64_t> best_rank;
  for (std::uint32_t i = 0; i < rules.endpoints.size(); ++i) {
    const rules::Endpoint& endpoint = rules.endpoints[i];
    const bool fits = takes_work[i] && Serves(endpoint, model) &&
                      placement[i].size() < endpoint.max_loaded_models &&
                      !Holds(placement[i], model);
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

/// True when a former keeper's orders can't clash with this one's any more. An
/// engine that honours fencing numbers refuses the old ones itself; for others
/// the keeper waits until its predecessor's mandate is over and the engine's
/// models have stood still.
bool MayOrder(const EndpointOrders& orders, bool honours_fencing, Time now) {
  if (honours_fencing) return true;
  return now - orders.kept_since >= kUnfencedQuietTime &&
         now - orders.changed >= kUnfencedQuietTime;
}

std::optional<TargetHandle> Removable(const EndpointOrders& orders,
                                      const OrderInput& input, Time now) {
  for (const TargetHandle target : orders.loaded) {
    if (Holds(input.desired, target) || !Holds(input.spare, target)) continue;
    const auto since = orders.loaded_since.find(target);
    const bool dwelt = since != orders.loaded_since.end() &&
                       now - since->second >= kModelDwell;
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
          PickPlace(rules, placement, takes_work, model);
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
  std::erase_if(orders.loaded_since,
                [&](const auto& entry) { return !Holds(sorted, entry.first); });
  for (const TargetHandle target : sorted) {
    orders.loaded_since.try_emplace(target, now);
  }
  if (!orders.open.has_value()) return;
  const bool wanted = orders.open->kind == OrderKind::kLoad;
  const bool done = Holds(sorted, orders.open->target) == wanted;
  if (done || now - orders.open->sent >= kOrderLost) orders.open.reset();
}

std::optional<NextOrder> DecideOrder(const EndpointOrders& orders,
                                     const OrderInput& input, Time now) {
  // One at a time: an engine that loads two models at once serves neither.
  if (orders.open.has_value()) return std::nullopt;
  if (!MayOrder(orders, input.honours_fencing, now)) return std::nullopt;
  for (const TargetHandle target : input.desired) {
    if (Holds(orders.loaded, target)) continue;
    if (!input.has_load_budget) return std::nullopt;
    if (orders.loaded.size() < input.max_loaded_models) {
      return NextOrder{OrderKind::kLoad, target};
    }
    const auto victim = Removable(orders, input, now);
    if (!victim.has_value()) return std::nullopt;
    return NextOrder{OrderKind::kUnload, *victim};
  }
  return std::nullopt;
}

std::chrono::milliseconds ModelLoadInterval(std::size_t nodes) {
  return std::chrono::milliseconds(std::chrono::minutes(1)) *
         static_cast<std::int64_t>(nodes) / kLoadsPerMinute;
}

}  // namespace egretladder::fleet
