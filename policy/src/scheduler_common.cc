#include <algorithm>
#include <utility>

#include "scheduler_common_p.h"

namespace egretladder::policy {
namespace {

constexpr std::size_t kMaxBaselineQueueLength = 200'000;

BaselineState& AsBaseline(SchedulerState& state) {
  return static_cast<BaselineState&>(state);
}

void AppendRefusal(RequestId request, RefuseReason reason, Actions& out) {
  out.emplace_back(Refuse{request, reason, std::chrono::seconds(1)});
}

bool HasServer(const BaselineState& state, TargetHandle target) {
  return !GetServers(state.table, target).empty();
}

bool IsQuarantined(const BaselineState& state, std::uint64_t fingerprint,
                   Time now) {
  const auto it = state.quarantined.find(fingerprint);
  return fingerprint != 0 && it != state.quarantined.end() && it->second > now;
}

// Dispatches the first request in the queue of one target. Returns false when
// there is none or no endpoint has a free slot.
bool DispatchOne(BaselineState& state, std::uint32_t target, Actions& out) {
  BaselineQueue& queue = state.queues[target];
  if (queue.empty()) return false;
  const EndpointHandle endpoint =
      state.behaviour->pick(state, TargetHandle{target});
  if (!rules::IsValid(endpoint)) return false;
  const Request request = queue.begin()->second;
  queue.erase(queue.begin());
  state.waiting.erase(request.id);
  FindEndpointState(state.table, endpoint)->in_flight++;
  state.running[request.id] = {request, endpoint};
  out.emplace_back(Dispatch{request.id, endpoint, PickReason::kBaseline, 0});
  return true;
}

// Dispatches requests in order across all targets, since targets share
// endpoints.
void DispatchAll(BaselineState& state, Actions& out) {
  std::vector<std::uint32_t> pending;
  for (std::uint32_t i = 0; i < state.queues.size(); ++i) {
    if (!state.queues[i].empty()) pending.push_back(i);
  }
  while (!pending.empty()) {
    const auto first =
        std::min_element(pending.begin(), pending.end(),
                         [&](std::uint32_t left, std::uint32_t right) {
                           return state.queues[left].begin()->first <
                                  state.queues[right].begin()->first;
                         });
    const std::uint32_t target = *first;
    if (!DispatchOne(state, target, out) || state.queues[target].empty()) {
      pending.erase(first);
    }
  }
}

void RemoveWaiting(BaselineState& state, RequestId request) {
  const auto it = state.waiting.find(request);
  if (it == state.waiting.end()) return;
  state.queues[it->second.first].erase(it->second.second);
  state.waiting.erase(it);
}

template <typename Predicate>
void RefuseWaiting(BaselineState& state, RefuseReason reason,
                   Predicate predicate, Actions& out) {
  std::vector<RequestId> refused;
  for (const BaselineQueue& queue : state.queues) {
    for (const auto& [key, request] : queue) {
      if (predicate(request)) refused.push_back(request.id);
    }
  }
  for (const RequestId request : refused) {
    RemoveWaiting(state, request);
    AppendRefusal(request, reason, out);
  }
}

void OnRules(SchedulerState& base, rules::RulesPtr rules, Time /*now*/,
             Actions& out) {
  BaselineState& state = AsBaseline(base);
  ApplyRules(state.table, std::move(rules));
  const std::size_t targets = state.table.rules->targets.size();
  if (state.queues.size() < targets) state.queues.resize(targets);
  if (state.cursors.size() < targets) state.cursors.resize(targets);
  RefuseWaiting(
      state, RefuseReason::kNoEndpoint,
      [&](const Request& r) { return !HasServer(state, r.target); }, out);
  DispatchAll(state, out);
}

void OnSlots(SchedulerState& base, EndpointHandle endpoint, std::uint32_t slots,
             Time /*now*/, Actions& out) {
  BaselineState& state = AsBaseline(base);
  EndpointState* endpoint_state = FindEndpointState(state.table, endpoint);
  if (endpoint_state == nullptr) return;
  endpoint_state->slots = slots;
  DispatchAll(state, out);
}

void OnAvailable(SchedulerState& base, EndpointHandle endpoint, bool available,
                 Time /*now*/, Actions& out) {
  BaselineState& state = AsBaseline(base);
  EndpointState* endpoint_state = FindEndpointState(state.table, endpoint);
  if (endpoint_state == nullptr) return;
  endpoint_state->available = available;
  DispatchAll(state, out);
}

void OnReport(SchedulerState& /*state*/, EndpointHandle /*endpoint*/,
              const EngineReport& /*report*/, Time /*now*/) {}

void OnQuarantine(SchedulerState& base, std::uint64_t fingerprint, Time until,
                  Time /*now*/, Actions& out) {
  BaselineState& state = AsBaseline(base);
  state.quarantined[fingerprint] = until;
  RefuseWaiting(
      state, RefuseReason::kQuarantined,
      [&](const Request& r) { return r.fingerprint == fingerprint; }, out);
}

void OnArrival(SchedulerState& base, const Request& request, Time now,
               Actions& out) {
  BaselineState& state = AsBaseline(base);
  if (state.waiting.contains(request.id) ||
      state.running.contains(request.id)) {
    return;
  }
  if (IsQuarantined(state, request.fingerprint, now)) {
    return AppendRefusal(request.id, RefuseReason::kQuarantined, out);
  }
  if (!HasServer(state, request.target)) {
    return AppendRefusal(request.id, RefuseReason::kNoEndpoint, out);
  }
  if (state.waiting.size() >= kMaxBaselineQueueLength) {
    return AppendRefusal(request.id, RefuseReason::kQueueFull, out);
  }
  ++state.arrivals;
  const OrderKey key = state.behaviour->order(state, request);
  state.queues[request.target.idx].emplace(key, request);
  state.waiting[request.id] = {request.target.idx, key};
  DispatchAll(state, out);
}

void OnFirstToken(SchedulerState& /*state*/, RequestId /*request*/,
                  Time /*now*/) {}
void OnTokens(SchedulerState& /*state*/, RequestId /*request*/,
              std::uint32_t /*count*/, Time /*now*/) {}

void OnEnd(SchedulerState& base, RequestId request, EndKind /*kind*/,
           Time /*now*/, Actions& out) {
  BaselineState& state = AsBaseline(base);
  const auto it = state.running.find(request);
  if (it == state.running.end()) return;
  FindEndpointState(state.table, it->second.endpoint)->in_flight--;
  state.running.erase(it);
  DispatchAll(state, out);
}

void OnCallerGone(SchedulerState& base, RequestId request, Time /*now*/) {
  RemoveWaiting(AsBaseline(base), request);
}

void OnTick(SchedulerState& base, Time now, Actions& out) {
  BaselineState& state = AsBaseline(base);
  std::erase_if(state.quarantined,
                [now](const auto& entry) { return entry.second <= now; });
  RefuseWaiting(
      state, RefuseReason::kWaitedTooLong,
      [&](const Request& r) {
        const auto max_wait_time = GetClass(state.table, r.cls).max_wait;
        return max_wait_time.count() > 0 && now - r.arrived > max_wait_time;
      },
      out);
  DispatchAll(state, out);
}

SchedulerView View(const SchedulerState& base, Time now) {
  const auto& state = static_cast<const BaselineState&>(base);
  SchedulerView view{ViewOf(state.table), {}};
  if (!state.table.rules) return view;
  view.classes.resize(state.table.rules->classes.size());
  for (std::uint32_t i = 0; i < view.classes.size(); ++i) {
    view.classes[i].cls = ClassHandle{i};
  }
  for (const BaselineQueue& queue : state.queues) {
    for (const auto& [key, request] : queue) {
      if (request.cls.idx >= view.classes.size()) continue;
      ClassView& cls = view.classes[request.cls.idx];
      cls.waiting++;
      cls.oldest_wait =
          std::max(cls.oldest_wait,
                   std::chrono::duration_cast<std::chrono::milliseconds>(
                       now - request.arrived));
    }
  }
  for (const auto& [id, running] : state.running) {
    const std::uint32_t cls = running.request.cls.idx;
    if (cls < view.classes.size()) view.classes[cls].running++;
  }
  return view;
}

}  // namespace

OrderKey OrderByArrival(const BaselineState& state,
                        const Request& /*request*/) {
  return {0, Time{}, state.arrivals};
}

EndpointHandle PickLeastInFlight(BaselineState& state, TargetHandle target) {
  EndpointHandle best;
  std::uint32_t fewest = 0;
  for (const EndpointHandle endpoint : GetServers(state.table, target)) {
    const EndpointState& endpoint_state = state.table.endpoints[endpoint.idx];
    if (!HasFreeSlot(endpoint_state)) continue;
    if (rules::IsValid(best) && endpoint_state.in_flight >= fewest) continue;
    best = endpoint;
    fewest = endpoint_state.in_flight;
  }
  return best;
}

std::unique_ptr<SchedulerState> CreateBaseline(
    const BaselineBehaviour& behaviour) {
  auto state = std::make_unique<BaselineState>();
  state->behaviour = &behaviour;
  return state;
}

SchedulerPlugin BaselinePlugin(std::unique_ptr<SchedulerState> (*create)(
    const SchedulerOptions& options)) {
  return {create,       OnRules,   OnSlots,      OnAvailable, OnReport,
          OnQuarantine, OnArrival, OnFirstToken, OnTokens,    OnEnd,
          OnCallerGone, OnTick,    View};
}

}  // namespace egretladder::policy
