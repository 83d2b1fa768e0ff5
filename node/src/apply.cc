// Applies the actions of the scheduler and the fleet to the calls, and turns
// them into actions for the driver.
#include <algorithm>
#include <type_traits>
#include <utility>

#include "state_p.h"

namespace egretladder::node {
namespace {

struct SchedulerApplier {
  NodeState& state;
  Time now;
  Actions& out;

  void operator()(const policy::Dispatch& dispatch) const {
    CallRecord* record = FindCall(state, dispatch.request);
    // The call ended after the scheduler dispatched it; its slot must be
    // released.
    if (record == nullptr || record->stage != Stage::kWaiting) {
      state.scheduler->on_end(*state.scheduler_state, dispatch.request,
                              policy::EndKind::kCancelled, now,
                              state.scheduler_actions);
      return;
    }
    const rules::RulesPtr rules = fleet::RulesOf(*state.fleet);
    record->endpoint = dispatch.endpoint;
    SetStage(state, *record, Stage::kDispatched, now);
    EmitDecision(state, *record, "dispatch", NameOf(dispatch.reason), now, out);
    out.emplace_back(
        SendCall{dispatch.request, record->attempt, dispatch.endpoint,
                 rules->endpoints[dispatch.endpoint.idx].address,
                 dispatch.engine_priority, record->lane.has_value()});
  }

  void operator()(const policy::Refuse& refuse) const {
    CallRecord* record = FindCall(state, refuse.request);
    if (record == nullptr) return;
    AnswerCode code = AnswerCode::kOverloaded;
    if (refuse.reason == policy::RefuseReason::kQuarantined) {
      code = AnswerCode::kQuarantined;
    } else if (refuse.reason == policy::RefuseReason::kNoEndpoint) {
      code = AnswerCode::kNoEndpoint;
    }
    auto retry_after = refuse.retry_after;
    if (refuse.reason == policy::RefuseReason::kNoEndpoint) {
      retry_after = std::max(
          retry_after, TimeToBackoffEnd(state, record->request.target, now));
    }
    const char* why = NameOf(refuse.reason);
    EndWithError(state, *record, {code, why, retry_after, why}, now, out);
  }

  void operator()(const policy::Preempt& preempt) const {
    CallRecord* record = FindCall(state, preempt.request);
    if (record == nullptr || !IsAtEndpoint(record->stage)) return;
    // A sent call that must not be repeated continues, and so does a call
    // whose answer has partly reached its caller: neither can be restarted.
    const bool can_preempt = record->stage != Stage::kStarted &&
                             (record->repeatable || !IsSent(record->stage)) &&
                             record->attempt < kMaxAttemptNumber;
    if (!can_preempt) return;
    EmitDecision(state, *record, "preempt", NameOf(preempt.reason), now, out);
    out.emplace_back(CancelCall{preempt.request, record->attempt});
    record->may_have_run |= IsSent(record->stage);
    ++record->attempt;
    EndAttempt(state, *record, policy::EndKind::kCancelled, now);
    Enqueue(state, *record, now, out);
  }
};

void StartScheduler(NodeState& state, const rules::Rules& rules) {
  policy::SchedulerOptions options;
  options.zone = rules::FindZone(rules, state.options.fleet.zone);
  options.seed = state.options.fleet.random_seed;
  state.scheduler_state = state.scheduler->create(options);
}

struct FleetApplier {
  NodeState& state;
  Time now;
  Actions& out;

  void operator()(fleet::RulesInForce& action) const {
    const rules::RulesPtr rules = action.rules;
    state.endpoints.resize(rules->endpoints.size());
    state.targets.resize(rules->targets.size());
    if (state.scheduler_state == nullptr) StartScheduler(state, *rules);
    out.emplace_back(std::move(action));
    state.scheduler->on_rules(*state.scheduler_state, rules, now,
                              state.scheduler_actions);
    ForgetMovedEndpoints(state, *rules, now, out);
    for (const auto& [fingerprint, until] :
         std::exchange(state.early_quarantines, {})) {
      state.scheduler->on_quarantine(*state.scheduler_state, fingerprint, until,
                                     now, state.scheduler_actions);
    }
  }
  void operator()(const fleet::SlotsChanged& action) const {
    EmitPlacementDecision(state, action.endpoint, "slots",
                          NameOf(action.reason), out);
    state.scheduler->on_slots(*state.scheduler_state, action.endpoint,
                              action.slots, now, state.scheduler_actions);
  }
  void operator()(const fleet::AvailabilityChanged& action) const {
    EndpointRecord& record = state.endpoints[action.endpoint.idx];
    record.available = action.available;
    // An endpoint without reports that was gone is another process when it is
    // back; with reports, its boot tells.
    const bool has_reports = record.evidence.boot != 0;
    if (!action.available && !has_reports)
      ForgetNotice(state, action.endpoint, now, out);
    ReportAvailability(state, action.endpoint,
                       action.available ? "takes_work" : "takes_no_work", now,
                       out);
  }
  void operator()(const fleet::ReportReceived& action) const {
    std::uint64_t& boot = state.endpoints[action.endpoint.idx].evidence.boot;
    const bool has_restarted = boot != 0 && boot != action.report.boot;
    boot = action.report.boot;
    if (has_restarted) ForgetNotice(state, action.endpoint, now, out);
    state.scheduler->on_report(*state.scheduler_state, action.endpoint,
                               action.report, now);
  }
  void operator()(const fleet::QuarantineAdded& action) const {
    const Time until = now + action.left;
    if (state.scheduler_state == nullptr) {
      state.early_quarantines.emplace_back(action.fingerprint, until);
      return;
    }
    state.scheduler->on_quarantine(*state.scheduler_state, action.fingerprint,
                                   until, now, state.scheduler_actions);
  }
  void operator()(fleet::OrderEngine& action) const {
    EmitPlacementDecision(
        state, action.endpoint, "order",
        action.kind == fleet::OrderKind::kLoad ? "load" : "unload", out);
    out.emplace_back(action);
  }
  template <typename Other>
  requires std::is_constructible_v<Action, Other>
  void operator()(Other& action) const { out.emplace_back(std::move(action)); }
};

}  // namespace

void ApplyScheduler(NodeState& state, Time now, Actions& out) {
  if (state.is_applying) return;  // The outer call applies what was added.
  state.is_applying = true;
  for (std::size_t i = 0; i < state.scheduler_actions.size(); ++i) {
    const policy::Action action = state.scheduler_actions[i];
    std::visit(SchedulerApplier{state, now, out}, action);
  }
  state.scheduler_actions.clear();
  state.is_applying = false;
}

void ApplyFleet(NodeState& state, fleet::Actions& actions, Time now,
                Actions& out) {
  for (fleet::Action& action : actions) {
    std::visit(FleetApplier{state, now, out}, action);
  }
  ApplyScheduler(state, now, out);
}

}  // namespace egretladder::node
