// A node's start, its periodic work, its leave, and its input from peers, the
// platform and endpoints.
#include "egretladder/kernel/registry.h"
#include "state_p.h"

namespace egretladder::node {

void NodeDeleter::operator()(NodeState* state) const { delete state; }

kernel::Result<NodePtr> StartNode(const NodeOptions& options, Time now,
                                  Actions& out) {
  const auto* plugin =
      kernel::FindPlugin<policy::SchedulerPlugin>(options.scheduler);
  if (plugin == nullptr) {
    return kernel::MakeError(kernel::ErrorCode::kNotFound, "start node",
                             options.scheduler, "no scheduler has this name");
  }
  NodePtr state(new NodeState);
  state->options = options;
  state->scheduler = plugin;
  state->random.seed(options.fleet.random_seed);
  state->lanes = fleet::StartLanes(
      options.fleet.node, options.fleet.incarnation, options.lane_secret, now);
  fleet::Actions actions;
  state->fleet = fleet::StartFleet(options.fleet, now, actions);
  ApplyFleet(*state, actions, now, out);
  return state;
}

void OnTick(NodeState& state, Time now, Actions& out) {
  if (now >= state.next_fleet_tick) {
    state.next_fleet_tick = now + fleet::kFleetTickInterval;
    // The evidence must be current when the fleet's tick requests slots. If a
    // request left out a call in flight, the call's slot would be leased a
    // second time.
    ReportEvidence(state, now);
    fleet::Actions actions;
    fleet::OnTick(*state.fleet, now, actions);
    ApplyFleet(state, actions, now, out);
  }
  if (now >= state.next_sweep) {
    state.next_sweep = now + fleet::kLaneSweepInterval;
    fleet::SweepLanes(*state.lanes, now);
  }
  if (state.scheduler_state == nullptr) return;
  OnTimers(state, now, out);
  EndBackoffs(state, now, out);
  state.scheduler->on_tick(*state.scheduler_state, now,
                           state.scheduler_actions);
  ApplyScheduler(state, now, out);
}

void OnMessage(NodeState& state, const fleet::Sender& from,
               const fleet::Message& message, Time now, Actions& out) {
  fleet::Actions actions;
  fleet::OnMessage(*state.fleet, from, message, now, actions);
  ApplyFleet(state, actions, now, out);
}

void OnRulesDocument(NodeState& state, const std::string* text, Time now,
                     Actions& out) {
  fleet::Actions actions;
  fleet::OnRulesDocument(*state.fleet, text, now, actions);
  ApplyFleet(state, actions, now, out);
}

void OnVmList(NodeState& state, const std::vector<fleet::VmEntry>* vms,
              Time now, Actions& out) {
  fleet::Actions actions;
  fleet::OnVmList(*state.fleet, vms, now, actions);
  ApplyFleet(state, actions, now, out);
}

void OnReport(NodeState& state, EndpointHandle endpoint,
              const policy::EngineReport* report, Time now, Actions& out) {
  fleet::Actions actions;
  fleet::OnReport(*state.fleet, endpoint, report, now, actions);
  ApplyFleet(state, actions, now, out);
}

void Leave(NodeState& state, Time now, Actions& out) {
  if (state.leaving) return;
  state.leaving = true;
  fleet::Actions actions;
  fleet::Leave(*state.fleet, now, actions);
  ApplyFleet(state, actions, now, out);
}

bool IsIdle(const NodeState& state) { return state.calls.empty(); }

NodeView ViewOf(const NodeState& state, Time now) {
  NodeView view;
  view.leaving = state.leaving;
  view.ready = !state.leaving && fleet::RulesOf(*state.fleet) != nullptr;
  view.fleet = fleet::ViewOf(*state.fleet, now);
  view.lanes = fleet::ViewOf(*state.lanes);
  view.calls = state.calls.size();
  if (state.scheduler_state != nullptr) {
    view.scheduler = state.scheduler->view(*state.scheduler_state, now);
  }
  return view;
}

rules::RulesPtr RulesOf(const NodeState& state) {
  return fleet::RulesOf(*state.fleet);
}

}  // namespace egretladder::node
