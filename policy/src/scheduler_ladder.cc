// "ladder": tiers, deadlines and fair turns over learned endpoints. Each event
// updates what is known and hands out work; the decisions stand in queue.h,
// admit.h, trickle.h, pick.h, health.h and shift.h.
#include <algorithm>
#include <utility>

#include "egretladder/kernel/registry.h"
#include "ladder_p.h"

namespace egretladder::policy {
namespace {

constexpr std::chrono::milliseconds kSweepEvery{100};
constexpr double kRunningSmoothed = 0.01;  // A sweep's weight: 10 s.

LadderState& As(SchedulerState& state) {
  return static_cast<LadderState&>(state);
}

bool IsEndpoint(const LadderState& state, EndpointHandle endpoint) {
  return endpoint.idx < state.endpoints.size();
}

std::unique_ptr<SchedulerState> Create(const SchedulerOptions& options) {
  auto state = std::make_unique<LadderState>();
  state->options = options;
  state->random.seed(options.seed);
  return state;
}

// What waits for a target that nothing serves any more is told at once.
void RefuseUnserved(LadderState& state, Time now, Actions& out) {
  std::vector<RequestId> unserved;
  for (const auto& [id, waiting] : state.queue.requests) {
    if (ServersOf(state.table, waiting.request.target).empty()) {
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
  LadderState& state = As(base);
  RebuildPools(state, std::move(rules), now);
  RefuseUnserved(state, now, out);
  DispatchAll(state, now, out);
}

void OnSlots(SchedulerState& base, EndpointHandle endpoint, std::uint32_t slots,
             Time now, Actions& out) {
  LadderState& state = As(base);
  if (!IsEndpoint(state, endpoint)) return;
  state.table.endpoints[endpoint.idx].slots = slots;
  RefreshEndpoint(state, endpoint, now);
  DispatchEndpoint(state, endpoint, now, out);
}

// Forgets what was learned of an engine that is a new one now.
void ForgetHealth(LadderState& state, EndpointHandle endpoint, Time now) {
  LadderEndpoint& known = state.endpoints[endpoint.idx];
  const bool was_alone = known.health.left_alone;
  OnNewBoot(known.health);
  if (was_alone) ApplyHealth(state, endpoint, HealthChange::kTrusted, now);
}

void OnAvailable(SchedulerState& base, EndpointHandle endpoint, bool available,
                 Time now, Actions& out) {
  LadderState& state = As(base);
  if (!IsEndpoint(state, endpoint)) return;
  EndpointState& told = state.table.endpoints[endpoint.idx];
  if (told.available == available) return;
  told.available = available;
  if (available) ForgetHealth(state, endpoint, now);
  RefreshEndpoint(state, endpoint, now);
  DispatchEndpoint(state, endpoint, now, out);
}

void OnReport(SchedulerState& base, EndpointHandle endpoint,
              const EngineReport& report, Time now) {
  LadderState& state = As(base);
  if (!IsEndpoint(state, endpoint)) return;
  LadderEndpoint& known = state.endpoints[endpoint.idx];
  if (report.boot != known.boot) {
    if (known.boot != 0) ForgetHealth(state, endpoint, now);
    known.boot = report.boot;
  }
  known.load.reported_load = report.running + report.waiting;
  known.load.own_at_report = state.table.endpoints[endpoint.idx].in_flight;
  known.load.reported_at = now - report.age;
  SetLoaded(state, endpoint, report.loaded, now);
}

void OnQuarantine(SchedulerState& base, std::uint64_t fingerprint, Time until,
                  Time now, Actions& out) {
  LadderState& state = As(base);
  if (fingerprint == 0 || until <= now) return;
  state.quarantined[fingerprint] = until;
  std::vector<RequestId> held;
  for (const auto& [id, waiting] : state.queue.requests) {
    if (waiting.request.fingerprint == fingerprint) held.push_back(id);
  }
  std::sort(held.begin(), held.end());
  for (const RequestId id : held) {
    RefuseWaiting(state, id, RefuseReason::kQuarantined, now, out);
  }
}

void OnArrival(SchedulerState& base, const Request& request, Time now,
               Actions& out) {
  LadderState& state = As(base);
  if (state.running.contains(request.id) ||
      state.queue.requests.contains(request.id)) {
    return;
  }
  if (!Admit(state, request, now, out)) return;
  DispatchTarget(state, request.target, now, out);
}

void OnFirstToken(SchedulerState& base, RequestId id, Time now) {
  LadderState& state = As(base);
  const auto it = state.running.find(id);
  if (it == state.running.end() || it->second.first_token) return;
  Running& running = it->second;
  running.first_token = true;
  const Seconds took = now - running.dispatched;
  WorkSeen& seen =
      state.seen[running.request.target.idx][running.request.cls.idx];
  LadderEndpoint& known = state.endpoints[running.endpoint.idx];
  known.first_token += (took - known.first_token) * 0.2;
  const HealthChange change = OnFirstTokenTook(
      known.health, took, MeanTimeToFirstToken(seen), LimitsOf(state), now);
  if (!known.health.left_alone) {
    OnFirstTokenSeen(seen, took, LimitsOf(state).estimate_window_completions);
  }
  ApplyHealth(state, running.endpoint, change, now);
}

void OnTokens(SchedulerState& base, RequestId id, std::uint32_t count,
              Time /*now*/) {
  LadderState& state = As(base);
  const auto it = state.running.find(id);
  if (it == state.running.end()) return;
  Running& running = it->second;
  running.tokens += count;
  if (running.tokens <= running.charged) return;
  const Request& request = running.request;
  Charge(state.queue, request.cls, request.account,
         running.tokens - running.charged,
         AccountOf(state.table, request.account).share);
  running.charged = running.tokens;
}

void Release(LadderState& state, const Running& running, Time now) {
  const Request& request = running.request;
  Pool& pool = state.pools[request.target.idx];
  AdvanceTrickle(pool.trickle, pool.slots, LimitsOf(state), now);
  if (running.by_trickle) --pool.trickle.running;
  if (request.suspect) --state.endpoints[running.endpoint.idx].suspects;
  --state.table.endpoints[running.endpoint.idx].in_flight;
  --state.running_by_class[request.cls.idx];
  --state.running_by_account[request.account.idx];
  --pool.tiers[std::min<std::size_t>(running.tier, kTiers - 1)].running;
  if (running.charged > running.tokens) {
    Refund(state.queue, request.cls, request.account,
           running.charged - running.tokens,
           AccountOf(state.table, request.account).share);
  }
}

void LearnFrom(LadderState& state, const Running& running, EndKind kind,
               Time now) {
  WorkSeen& seen =
      state.seen[running.request.target.idx][running.request.cls.idx];
  LadderEndpoint& known = state.endpoints[running.endpoint.idx];
  if (kind == EndKind::kDone) {
    OnWorkEnded(seen, running.tokens,
                LimitsOf(state).estimate_window_completions, now);
    return OnAnswered(known.health);
  }
  OnWorkBroken(seen, now - running.dispatched, now);
  if (kind == EndKind::kCancelled) return;
  ApplyHealth(state, running.endpoint,
              OnFailure(known.health, LimitsOf(state), now), now);
}

void OnEnd(SchedulerState& base, RequestId id, EndKind kind, Time now,
           Actions& out) {
  LadderState& state = As(base);
  const auto it = state.running.find(id);
  if (it == state.running.end()) return;
  const Running running = it->second;
  state.running.erase(it);
  Release(state, running, now);
  LearnFrom(state, running, kind, now);
  RefreshEndpoint(state, running.endpoint, now);
  DispatchEndpoint(state, running.endpoint, now, out);
}

void OnGone(SchedulerState& base, RequestId id, Time /*now*/) {
  LadderState& state = As(base);
  (void)TakeWaiting(state, id);
}

// Work that hangs sends no first token: its age is evidence as well.
void NoticeHangs(LadderState& state, Time now) {
  std::vector<std::pair<EndpointHandle, Seconds>> late;
  for (const auto& [id, running] : state.running) {
    if (running.first_token) continue;
    const Seconds usual = MeanTimeToFirstToken(
        state.seen[running.request.target.idx][running.request.cls.idx]);
    const Seconds took = now - running.dispatched;
    if (usual.count() <= 0 || took < usual * 2 * LimitsOf(state).slow_ratio) {
      continue;
    }
    late.emplace_back(running.endpoint, took / usual.count());
  }
  for (const auto& [endpoint, ratio] : late) {
    Health& health = state.endpoints[endpoint.idx].health;
    if (health.left_alone) continue;
    ApplyHealth(
        state, endpoint,
        OnFirstTokenTook(health, ratio, Seconds(1), LimitsOf(state), now), now);
  }
}

void Sweep(LadderState& state, Time now, Actions& out) {
  for (Pool& pool : state.pools) {
    for (TierLoad& tier : pool.tiers) {
      tier.running_smoothed +=
          kRunningSmoothed * (tier.running - tier.running_smoothed);
    }
  }
  std::erase_if(state.quarantined,
                [now](const auto& entry) { return entry.second <= now; });
  AdvanceShifts(state, now);
  NoticeHangs(state, now);
  RefuseHopeless(state, now, out);
}

void OnTick(SchedulerState& base, Time now, Actions& out) {
  LadderState& state = As(base);
  if (now >= state.next_sweep) {
    state.next_sweep = now + kSweepEvery;
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
            state.endpoints[i].first_token);
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

const SchedulerPlugin kPlugin{Create,   OnRules,      OnSlots,   OnAvailable,
                              OnReport, OnQuarantine, OnArrival, OnFirstToken,
                              OnTokens, OnEnd,        OnGone,    OnTick,
                              View};
const kernel::PluginRegistrar<SchedulerPlugin> kRegistrar("ladder", kPlugin);

}  // namespace
}  // namespace egretladder::policy
