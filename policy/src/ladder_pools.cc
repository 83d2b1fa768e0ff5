// Slot pools of the scheduler "ladder": which slots each target has, updated on
// every change of an endpoint.
#include <algorithm>
#include <utility>

#include "ladder_p.h"

namespace egretladder::policy {
namespace {

bool IsLoadedSetKnown(const LadderEndpoint& endpoint) {
  return !endpoint.loaded_targets.empty();
}

bool Contains(const std::vector<TargetHandle>& targets, TargetHandle target) {
  return std::find(targets.begin(), targets.end(), target) != targets.end();
}

bool HasLoaded(const LadderEndpoint& endpoint, TargetHandle target) {
  return Contains(endpoint.loaded_targets, target);
}

bool IsMember(const LadderState& state, const LadderEndpoint& endpoint,
              TargetHandle target) {
  if (!IsLoadedSetKnown(endpoint) || HasLoaded(endpoint, target)) return true;
  if (state.table.rules->targets[target.idx].kind !=
      rules::TargetKind::kModel) {
    return true;
  }
  // If no endpoint has the model loaded, one that must load it first is better
  // than none.
  return state.pools[target.idx].loaded_endpoints == 0;
}

void SetHasFreeSlot(LadderState& state, Pool& pool, EndpointHandle endpoint,
                    Membership& membership, bool is_free) {
  if (is_free == (membership.position != kNoPosition)) return;
  if (is_free) {
    membership.position =
        static_cast<std::uint32_t>(pool.free_endpoints.size());
    pool.free_endpoints.push_back(endpoint);
    return;
  }
  const EndpointHandle moved = pool.free_endpoints.back();
  pool.free_endpoints[membership.position] = moved;
  pool.free_endpoints.pop_back();
  for (Membership& other : state.endpoints[moved.idx].memberships) {
    if (other.target == membership.target) {
      other.position = membership.position;
    }
  }
  membership.position = kNoPosition;
}

void RefreshMembership(LadderState& state, EndpointHandle endpoint,
                       Membership& membership) {
  LadderEndpoint& endpoint_info = state.endpoints[endpoint.idx];
  Pool& pool = state.pools[membership.target.idx];
  const bool is_member = IsMember(state, endpoint_info, membership.target);
  const std::uint32_t slots = is_member ? endpoint_info.load.slots : 0;
  const std::uint32_t in_flight = endpoint_info.load.in_flight;
  std::uint32_t free = slots - std::min(slots, in_flight);
  if (endpoint_info.health.ejected) free = 0;
  pool.slots += slots - membership.slots;  // Modular: may shrink.
  pool.free += free - membership.free;
  membership.slots = slots;
  membership.free = free;
  SetHasFreeSlot(state, pool, endpoint, membership, free > 0);
}

void ClearPool(Pool& pool) {
  pool.slots = 0;
  pool.free = 0;
  pool.free_endpoints.clear();
  pool.ejected.clear();
  pool.loaded_endpoints = 0;
}

void JoinPools(LadderState& state, std::uint32_t idx) {
  const rules::Rules& rules = *state.table.rules;
  const rules::Endpoint& endpoint = rules.endpoints[idx];
  LadderEndpoint& endpoint_info = state.endpoints[idx];
  endpoint_info.memberships.clear();
  endpoint_info.load.max_in_flight = endpoint.max_in_flight;
  endpoint_info.load.same_zone = endpoint.zone == state.options.zone;
  if (!state.table.endpoints[idx].in_service) return;
  for (const TargetHandle target : endpoint.serves) {
    if (target.idx >= state.pools.size()) continue;
    endpoint_info.memberships.push_back({target, 0, 0, kNoPosition});
    Pool& pool = state.pools[target.idx];
    if (HasLoaded(endpoint_info, target)) ++pool.loaded_endpoints;
    if (endpoint_info.health.ejected) pool.ejected.push_back({idx});
  }
}

void ResizeTables(LadderState& state) {
  const rules::Rules& rules = *state.table.rules;
  const std::size_t classes = rules.classes.size();
  Resize(state.queue, rules.targets.size(), classes, rules.accounts.size());
  state.endpoints.resize(
      std::max(state.endpoints.size(), rules.endpoints.size()));
  state.pools.resize(std::max(state.pools.size(), rules.targets.size()));
  state.stats.resize(state.pools.size());
  state.zone_ramps.resize(
      std::max(state.zone_ramps.size(), rules.zones.size()));
  state.running_by_class.resize(classes);
  state.waiting_by_class.resize(classes);
  state.running_by_account.resize(rules.accounts.size());
  state.waiting_by_account.resize(rules.accounts.size());
  for (auto& row : state.stats) row.resize(classes);
  for (Pool& pool : state.pools) pool.last_dispatch.resize(classes);
}

void RefreshTarget(LadderState& state, TargetHandle target, Time now) {
  const std::vector<EndpointHandle> servers = GetServers(state.table, target);
  for (const EndpointHandle endpoint : servers) {
    RefreshEndpoint(state, endpoint, now);
  }
}

}  // namespace

void RebuildPools(LadderState& state, rules::RulesPtr rules, Time now) {
  ApplyRules(state.table, std::move(rules));
  ResizeTables(state);
  const rules::Rules& in_force = *state.table.rules;
  for (std::size_t i = 0; i < in_force.zones.size(); ++i) {
    UpdateZoneRamp(state.zone_ramps[i], in_force.zones[i].out, now);
  }
  for (Pool& pool : state.pools) ClearPool(pool);
  for (std::uint32_t i = 0; i < in_force.endpoints.size(); ++i) {
    JoinPools(state, i);
  }
  for (std::uint32_t i = 0; i < state.pools.size(); ++i) {
    state.pools[i].ring =
        BuildPrefixRing(in_force, GetServers(state.table, TargetHandle{i}));
  }
  for (std::uint32_t i = 0; i < state.endpoints.size(); ++i) {
    RefreshEndpoint(state, EndpointHandle{i}, now);
  }
}

void RefreshEndpoint(LadderState& state, EndpointHandle endpoint, Time now) {
  const EndpointState& endpoint_state = state.table.endpoints[endpoint.idx];
  LadderEndpoint& endpoint_info = state.endpoints[endpoint.idx];
  double ratio = 1;
  if (endpoint_state.zone.idx < state.zone_ramps.size()) {
    ratio = RampRatio(state.zone_ramps[endpoint_state.zone.idx],
                      GetLimits(state), now);
  }
  endpoint_info.load.slots =
      CanTakeWork(endpoint_state) ? ScaleSlots(ratio, endpoint_state.slots) : 0;
  endpoint_info.load.in_flight = endpoint_state.in_flight;
  endpoint_info.load.runs_suspect = endpoint_info.running_suspects > 0;
  for (Membership& membership : endpoint_info.memberships) {
    RefreshMembership(state, endpoint, membership);
  }
}

void AdvanceZoneRamps(LadderState& state, Time now) {
  for (std::uint32_t zone = 0; zone < state.zone_ramps.size(); ++zone) {
    if (!state.zone_ramps[zone].returning) continue;
    for (std::uint32_t i = 0; i < state.endpoints.size(); ++i) {
      if (state.table.endpoints[i].zone.idx != zone) continue;
      RefreshEndpoint(state, EndpointHandle{i}, now);
    }
  }
}

void SetLoadedTargets(LadderState& state, EndpointHandle endpoint,
                      const std::vector<TargetHandle>& loaded_targets,
                      Time now) {
  LadderEndpoint& endpoint_info = state.endpoints[endpoint.idx];
  if (loaded_targets == endpoint_info.loaded_targets) return;
  std::vector<TargetHandle> changed;
  for (const Membership& membership : endpoint_info.memberships) {
    const bool had_loaded = HasLoaded(endpoint_info, membership.target);
    const bool has_loaded = Contains(loaded_targets, membership.target);
    if (had_loaded == has_loaded) continue;
    Pool& pool = state.pools[membership.target.idx];
    pool.loaded_endpoints += has_loaded ? 1U : -1U;
    if (pool.loaded_endpoints <= 1) changed.push_back(membership.target);
  }
  endpoint_info.loaded_targets = loaded_targets;
  RefreshEndpoint(state, endpoint, now);
  // The first endpoint that loads the target removes the others from the pool,
  // and the last one that unloads it puts them back.
  for (const TargetHandle target : changed) RefreshTarget(state, target, now);
}

void ApplyHealthChange(LadderState& state, EndpointHandle endpoint,
                       HealthChange change, Time now) {
  if (change == HealthChange::kNone) return;
  LadderEndpoint& endpoint_info = state.endpoints[endpoint.idx];
  if (change == HealthChange::kReadmitted) {
    for (const Membership& membership : endpoint_info.memberships) {
      std::erase(state.pools[membership.target.idx].ejected, endpoint);
    }
    return RefreshEndpoint(state, endpoint, now);
  }
  for (const Membership& membership : endpoint_info.memberships) {
    const Pool& pool = state.pools[membership.target.idx];
    const auto servers = static_cast<std::uint32_t>(
        GetServers(state.table, membership.target).size());
    const auto ejected_count = static_cast<std::uint32_t>(pool.ejected.size());
    if (!CanEject(ejected_count, servers, GetLimits(state))) {
      endpoint_info.health = Health{};
      return;
    }
  }
  for (const Membership& membership : endpoint_info.memberships) {
    state.pools[membership.target.idx].ejected.push_back(endpoint);
  }
  RefreshEndpoint(state, endpoint, now);
}

}  // namespace egretladder::policy
