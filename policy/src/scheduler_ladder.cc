// The scheduler "ladder": tiers, deadlines and fair sharing, with service times
// and endpoint health learned from answers. Each event updates the state and
// dispatches waiting requests. The decisions are made in queue.h, admit.h,
// aging_quota.h, pick.h, health.h and zone_ramp.h.
#include <algorithm>
#include <utility>

#include "egretladder/kernel/registry.h"
#include "ladder_p.h"

namespace egretladder::policy {
namespace {

constexpr std::chrono::milliseconds kSweepInterval{100};
constexpr double kMeanRunningWeight = 0.01;  // Per sweep; time constant 10 s.

LadderState& AsLadder(SchedulerState& state) {
  return static_cast<LadderState&>(state);
}

bool IsKnownEndpoint(const LadderState& state, EndpointHandle endpoint) {
  return endpoint.idx < state.endpoints.size();
}

std::unique_ptr<SchedulerState> Create(const SchedulerOptions& options) {
  auto state = std::make_unique<LadderState>();
  state->options = options;
  state->random.seed(options.seed);
  return state;
}

// Refuses waiting requests whose target is no longer served by any endpoint.
void RefuseUnserved(LadderState& state, Time now, Actions& out) {
  std::vector<RequestId> unserved;
  for (const auto& [id, waiting] : state.queue.requests) {
    if (GetServers(state.table, waiting.request.target).empty()) {
      unserved.push_back(id);
    }
  }
  std::sort(unserved.begin(), unserved.end());
  for (const RequestId id : unserved) {
    RefuseWaiting(state, id, RefuseReason::kNoEndpoint, now, out);
  }
}

void OnRules(SchedulerState& base, rules::RulesPtr rules, Time now,
             Actions& out) {
  LadderState& state = AsLadder(base);
  RebuildPools(state, std::move(rules), now);
  RefuseUnserved(state, now, out);
  DispatchAll(state, now, out);
}

void OnSlots(SchedulerState& base, EndpointHandle endpoint, std::uint32_t slots,
             Time now, Actions& out) {
  LadderState& state = AsLadder(base);
  if (!IsKnownEndpoint(state, endpoint)) return;
  state.table.endpoints[endpoint.idx].slots = slots;
  RefreshEndpoint(state, endpoint, now);
  DispatchEndpoint(state, endpoint, now, out);
}

// Resets the health of an endpoint whose engine has been replaced or restarted.
void ResetEndpointHealth(LadderState& state, EndpointHandle endpoint,
                         Time now) {
  LadderEndpoint& endpoint_info = state.endpoints[endpoint.idx];
  const bool was_ejected = endpoint_info.health.ejected;
  OnEngineRestart(endpoint_info.health);
  if (was_ejected)
    ApplyHealthChange(state, endpoint, HealthChange::kReadmitted, now);
}

void OnAvailable(SchedulerState& base, EndpointHandle endpoint, bool available,
                 Time now, Actions& out) {
  LadderState& state = AsLadder(base);
  if (!IsKnownEndpoint(state, endpoint)) return;
  EndpointState& endpoint_state = state.table.endpoints[endpoint.idx];
  if (endpoint_state.available == available) return;
  endpoint_state.available = available;
  if (available) ResetEndpointHealth(state, endpoint, now);
  RefreshEndpoint(state, endpoint, now);
  DispatchEndpoint(state, endpoint, now, out);
}

void OnReport(SchedulerState& base, EndpointHandle endpoint,
              const EngineReport& report, Time now) {
  LadderState& state = AsLadder(base);
  if (!IsKnownEndpoint(state, endpoint)) return;
  LadderEndpoint& endpoint_info = state.endpoints[endpoint.idx];
  if (report.boot != endpoint_info.boot) {
    if (endpoint_info.boot != 0) ResetEndpointHealth(state, endpoint, now);
    endpoint_info.boot = report.boot;
  }
  endpoint_info.load.reported_load = report.running + report.waiting;
  endpoint_info.load.own_in_flight_at_report =
      state.table.endpoints[endpoint.idx].in_flight;
  endpoint_info.load.reported_at = now - report.age;
  SetLoadedTargets(state, endpoint, report.loaded, now);
}

void OnQuarantine(SchedulerState& base, std::uint64_t fingerprint, Time until,
                  Time now, Actions& out) {
  LadderState& state = AsLadder(base);
  if (fingerprint == 0 || until <= now) return;
  state.quarantined[fingerprint] = until;
  std::vector<RequestId> quarantined;
  for (const auto& [id, waiting] : state.queue.requests) {
    if (waiting.request.fingerprint == fingerprint) quarantined.push_back(id);
  }
  std::sort(quarantined.begin(), quarantined.end());
  for (const RequestId id : quarantined) {
    RefuseWaiting(state, id, RefuseReason::kQuarantined, now, out);
  }
}

void OnArrival(SchedulerState& base, const Request& request, Time now,
               Actions& out) {
  LadderState& state = AsLadder(base);
  if (state.running.contains(request.id) ||
      state.queue.requests.contains(request.id)) {
    return;
  }
  if (!Admit(state, request, now, out)) return;
  DispatchTarget(state, request.target, now, out);
}

void OnFirstToken(SchedulerState& base, RequestId id, Time now) {
  LadderState& state = AsLadder(base);
  const auto it = state.running.find(id);
  if (it == state.running.end() || it->second.has_first_token) return;
  RunningAttempt& running = it->second;
  running.has_first_token = true;
  const Seconds latency = now - running.dispatched;
  ServiceTimeStats& stats =
      state.stats[running.request.target.idx][running.request.cls.idx];
  LadderEndpoint& endpoint_info = state.endpoints[running.endpoint.idx];
  endpoint_info.first_token_latency +=
      (latency - endpoint_info.first_token_latency) * 0.2;
  const HealthChange change =
      OnFirstTokenLatency(endpoint_info.health, latency,
                          MeanTimeToFirstToken(stats), GetLimits(state), now);
  if (!endpoint_info.health.ejected) {
    RecordFirstToken(stats, latency,
                     GetLimits(state).estimate_window_completions);
  }
  ApplyHealthChange(state, running.endpoint, change, now);
}

void OnTokens(SchedulerState& base, RequestId id, std::uint32_t count,
              Time /*now*/) {
  LadderState& state = AsLadder(base);
  const auto it = state.running.find(id);
  if (it == state.running.end()) return;
  RunningAttempt& running = it->second;
  running.tokens += count;
  if (running.tokens <= running.charged_tokens) return;
  const Request& request = running.request;
  Charge(state.queue, request.cls, request.account,
         running.tokens - running.charged_tokens,
         GetAccount(state.table, request.account).share);
  running.charged_tokens = running.tokens;
}

void ReleaseSlot(LadderState& state, const RunningAttempt& running, Time now) {
  const Request& request = running.request;
  Pool& pool = state.pools[request.target.idx];
  AccrueAgingQuota(pool.quota, pool.slots, GetLimits(state), now);
  if (running.by_aging_quota) --pool.quota.running;
  if (request.suspect) --state.endpoints[running.endpoint.idx].running_suspects;
  --state.table.endpoints[running.endpoint.idx].in_flight;
  --state.running_by_class[request.cls.idx];
  --state.running_by_account[request.account.idx];
  --pool.tiers[std::min<std::size_t>(running.tier, kTiers - 1)].running;
  if (running.charged_tokens > running.tokens) {
    Refund(state.queue, request.cls, request.account,
           running.charged_tokens - running.tokens,
           GetAccount(state.table, request.account).share);
  }
}

void RecordOutcome(LadderState& state, const RunningAttempt& running,
                   EndKind kind, Time now) {
  ServiceTimeStats& stats =
      state.stats[running.request.target.idx][running.request.cls.idx];
  LadderEndpoint& endpoint_info = state.endpoints[running.endpoint.idx];
  if (kind == EndKind::kDone) {
    RecordCompletion(stats, running.tokens,
                     GetLimits(state).estimate_window_completions, now);
    return OnSuccess(endpoint_info.health);
  }
  RecordAbort(stats, now - running.dispatched, now);
  if (kind == EndKind::kCancelled) return;
  ApplyHealthChange(state, running.endpoint,
                    OnFailure(endpoint_info.health, GetLimits(state), now),
                    now);
}

void OnEnd(SchedulerState& base, RequestId id, EndKind kind, Time now,
           Actions& out) {
  LadderState& state = AsLadder(base);
  const auto it = state.running.find(id);
  if (it == state.running.end()) return;
  const RunningAttempt running = it->second;
  state.running.erase(it);
  ReleaseSlot(state, running, now);
  RecordOutcome(state, running, kind, now);
  RefreshEndpoint(state, running.endpoint, now);
  DispatchEndpoint(state, running.endpoint, now, out);
}

void OnCallerGone(SchedulerState& base, RequestId id, Time /*now*/) {
  LadderState& state = AsLadder(base);
  (void)RemoveWaiting(state, id);
}

// Counts attempts that have waited far too long for their first token as slow
// answers: an attempt that hangs would otherwise never be counted.
void DetectHangs(LadderState& state, Time now) {
  std::vector<std::pair<EndpointHandle, Seconds>> slow_attempts;
  for (const auto& [id, running] : state.running) {
    if (running.has_first_token) continue;
    const Seconds typical_latency = MeanTimeToFirstToken(
        state.stats[running.request.target.idx][running.request.cls.idx]);
    const Seconds latency = now - running.dispatched;
    if (typical_latency.count() <= 0 ||
        latency < typical_latency * 2 * GetLimits(state).slow_ratio) {
      continue;
    }
    slow_attempts.emplace_back(running.endpoint,
                               latency / typical_latency.count());
  }
  for (const auto& [endpoint, latency_ratio] : slow_attempts) {
    Health& health = state.endpoints[endpoint.idx].health;
    if (health.ejected) continue;
    ApplyHealthChange(state, endpoint,
                      OnFirstTokenLatency(health, latency_ratio, Seconds(1),
                                          GetLimits(state), now),
                      now);
  }
}

void Sweep(LadderState& state, Time now, Actions& out) {
  for (Pool& pool : state.pools) {
    for (TierLoad& tier : pool.tiers) {
      tier.mean_running +=
          kMeanRunningWeight * (tier.running - tier.mean_running);
    }
  }
  std::erase_if(state.quarantined,
                [now](const auto& entry) { return entry.second <= now; });
  AdvanceZoneRamps(state, now);
  DetectHangs(state, now);
  RefuseUnreachable(state, now, out);
}

void OnTick(SchedulerState& base, Time now, Actions& out) {
  LadderState& state = AsLadder(base);
  if (now >= state.next_sweep) {
    state.next_sweep = now + kSweepInterval;
    Sweep(state, now, out);
  }
  DispatchAll(state, now, out);
}

SchedulerView View(const SchedulerState& base, Time now) {
  const auto& state = static_cast<const LadderState&>(base);
  SchedulerView view{ViewOf(state.table), {}};
  for (std::size_t i = 0; i < view.endpoints.size(); ++i) {
    view.endpoints[i].first_token =
        std::chrono::duration_cast<std::chrono::milliseconds>(
            state.endpoints[i].first_token_latency);
  }
  view.classes.resize(state.running_by_class.size());
  for (std::uint32_t i = 0; i < view.classes.size(); ++i) {
    ClassView& cls = view.classes[i];
    cls.cls = ClassHandle{i};
    cls.waiting = state.waiting_by_class[i];
    cls.running = state.running_by_class[i];
  }
  for (const auto& [id, waiting] : state.queue.requests) {
    ClassView& cls = view.classes[waiting.request.cls.idx];
    cls.oldest_wait = std::max(
        cls.oldest_wait, std::chrono::duration_cast<std::chrono::milliseconds>(
                             now - waiting.request.arrived));
  }
  return view;
}

const SchedulerPlugin kPlugin{
    Create,       OnRules,   OnSlots,      OnAvailable, OnReport,
    OnQuarantine, OnArrival, OnFirstToken, OnTokens,    OnEnd,
    OnCallerGone, OnTick,    View};
const kernel::PluginRegistrar<SchedulerPlugin> kRegistrar("ladder", kPlugin);

}  // namespace
}  // namespace egretladder::policy
