// Which slots each target has, kept up with every change of an endpoint.
#include <algorithm>
#include <utility>

#include "ladder_p.h"

namespace egretladder::policy {
namespace {

bool KnowsLoaded(const LadderEndpoint& endpoint) {
  return !endpoint.loaded.empty();
}

bool Contains(const std::vector<TargetHandle>& targets, TargetHandle target) {
  return std::find(targets.begin(), targets.end(), target) != targets.end();
}

bool Holds(const LadderEndpoint& endpoint, TargetHandle target) {
  return Contains(endpoint.loaded, target);
}

bool IsMember(const LadderState& state, const LadderEndpoint& endpoint,
              TargetHandle target) {
  if (!KnowsLoaded(endpoint) || Holds(endpoint, target)) return true;
  if (state.table.rules->targets[target.idx].kind !=
      rules::TargetKind::kModel) {
    return true;
  }
  // With no holder, an endpoint that must load first is better than none.
  return state.pools[target.idx].holders == 0;
}

void SetOpen(LadderState& state, Pool& pool, EndpointHandle endpoint,
             Membership& membership, bool open) {
  if (open == (membership.position != kNowhere)) return;
  if (open) {
    membership.position = static_cast<std::uint32_t>(pool.open.size());
    pool.open.push_back(endpoint);
    return;
  }
  const EndpointHandle last = pool.open.back();
  pool.open[membership.position] = last;
  pool.open.pop_back();
  for (Membership& other : state.endpoints[last.idx].memberships) {
    if (other.target == membership.target) {
      other.position = membership.position;
    }
  }
  membership.position = kNowhere;
}

void RefreshMembership(LadderState& state, EndpointHandle endpoint,
                       Membership& membership) {
  LadderEndpoint& known = state.endpoints[endpoint.idx];
  Pool& pool = state.pools[membership.target.idx];
  const bool member = IsMember(state, known, membership.target);
  const std::uint32_t slots = member ? known.load.slots : 0;
  const std::uint32_t in_flight = known.load.in_flight;
  std::uint32_t free = slots - std::min(slots, in_flight);
  if (known.health.left_alone) free = 0;
  pool.slots += slots - membership.slots;  // Wraps back when it shrinks.
  pool.free += free - membership.free;
  membership.slots = slots;
  membership.free = free;
  SetOpen(state, pool, endpoint, membership, free > 0);
}

void ClearPool(Pool& pool) {
  pool.slots = 0;
  pool.free = 0;
  pool.open.clear();
  pool.left_alone.clear();
  pool.holders = 0;
}

void JoinPools(LadderState& state, std::uint32_t idx) {
  const rules::Rules& rules = *state.table.rules;
  const rules::Endpoint& endpoint = rules.endpoints[idx];
  LadderEndpoint& known = state.endpoints[idx];
  known.memberships.clear();
  known.load.max_in_flight = endpoint.max_in_flight;
  known.load.near = endpoint.zone == state.options.zone;
  if (!state.table.endpoints[idx].in_service) return;
  for (const TargetHandle target : endpoint.serves) {
    if (target.idx >= state.pools.size()) continue;
    known.memberships.push_back({target, 0, 0, kNowhere});
    Pool& pool = state.pools[target.idx];
    if (Holds(known, target)) ++pool.holders;
    if (known.health.left_alone) pool.left_alone.push_back({idx});
  }
}

void ResizeTables(LadderState& state) {
  const rules::Rules& rules = *state.table.rules;
  const std::size_t classes = rules.classes.size();
  Resize(state.queue, rules.targets.size(), classes, rules.accounts.size());
  state.endpoints.resize(
      std::max(state.endpoints.size(), rules.endpoints.size()));
  state.pools.resize(std::max(state.pools.size(), rules.targets.size()));
  state.seen.resize(state.pools.size());
  state.zones.resize(std::max(state.zones.size(), rules.zones.size()));
  state.running_by_class.resize(classes);
  state.waiting_by_class.resize(classes);
  state.running_by_account.resize(rules.accounts.size());
  state.waiting_by_account.resize(rules.accounts.size());
  for (auto& row : state.seen) row.resize(classes);
  for (Pool& pool : state.pools) pool.last_start.resize(classes);
}

void RefreshTarget(LadderState& state, TargetHandle target, Time now) {
  const std::vector<EndpointHandle> servers = ServersOf(state.table, target);
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
    OnZone(state.zones[i], in_force.zones[i].out, now);
  }
  for (Pool& pool : state.pools) ClearPool(pool);
  for (std::uint32_t i = 0; i < in_force.endpoints.size(); ++i) {
    JoinPools(state, i);
  }
  for (std::uint32_t i = 0; i < state.pools.size(); ++i) {
    state.pools[i].ring =
        MakeRing(in_force, ServersOf(state.table, TargetHandle{i}));
  }
  for (std::uint32_t i = 0; i < state.endpoints.size(); ++i) {
    RefreshEndpoint(state, EndpointHandle{i}, now);
  }
}

void RefreshEndpoint(LadderState& state, EndpointHandle endpoint, Time now) {
  const EndpointState& told = state.table.endpoints[endpoint.idx];
  LadderEndpoint& known = state.endpoints[endpoint.idx];
  double part = 1;
  if (told.zone.idx < state.zones.size()) {
    part = PartOf(state.zones[told.zone.idx], LimitsOf(state), now);
  }
  known.load.slots = TakesWork(told) ? SlotsUnder(part, told.slots) : 0;
  known.load.in_flight = told.in_flight;
  known.load.beside_suspect = known.suspects > 0;
  for (Membership& membership : known.memberships) {
    RefreshMembership(state, endpoint, membership);
  }
}

void AdvanceShifts(LadderState& state, Time now) {
  for (std::uint32_t zone = 0; zone < state.zones.size(); ++zone) {
    if (!state.zones[zone].returning) continue;
    for (std::uint32_t i = 0; i < state.endpoints.size(); ++i) {
      if (state.table.endpoints[i].zone.idx != zone) continue;
      RefreshEndpoint(state, EndpointHandle{i}, now);
    }
  }
}

void SetLoaded(LadderState& state, EndpointHandle endpoint,
               const std::vector<TargetHandle>& loaded, Time now) {
  LadderEndpoint& known = state.endpoints[endpoint.idx];
  if (loaded == known.loaded) return;
  std::vector<TargetHandle> changed;
  for (const Membership& membership : known.memberships) {
    const bool held = Holds(known, membership.target);
    const bool holds = Contains(loaded, membership.target);
    if (held == holds) continue;
    Pool& pool = state.pools[membership.target.idx];
    pool.holders += holds ? 1U : -1U;
    if (pool.holders <= 1) changed.push_back(membership.target);
  }
  known.loaded = loaded;
  RefreshEndpoint(state, endpoint, now);
  // The first holder puts the others out of the pool, the last one back in.
  for (const TargetHandle target : changed) RefreshTarget(state, target, now);
}

void ApplyHealth(LadderState& state, EndpointHandle endpoint,
                 HealthChange change, Time now) {
  if (change == HealthChange::kNone) return;
  LadderEndpoint& known = state.endpoints[endpoint.idx];
  if (change == HealthChange::kTrusted) {
    for (const Membership& membership : known.memberships) {
      std::erase(state.pools[membership.target.idx].left_alone, endpoint);
    }
    return RefreshEndpoint(state, endpoint, now);
  }
  for (const Membership& membership : known.memberships) {
    const Pool& pool = state.pools[membership.target.idx];
    const auto servers = static_cast<std::uint32_t>(
        ServersOf(state.table, membership.target).size());
    const auto alone = static_cast<std::uint32_t>(pool.left_alone.size());
    if (!MayLeaveAlone(alone, servers, LimitsOf(state))) {
      known.health = Health{};
      return;
    }
  }
  for (const Membership& membership : known.memberships) {
    state.pools[membership.target.idx].left_alone.push_back(endpoint);
  }
  RefreshEndpoint(state, endpoint, now);
}

}  // namespace egretladder::policy
