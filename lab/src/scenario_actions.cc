// What nodes ask of the world around them.
#include <algorithm>

#include "scenario_world_p.h"

namespace egretladder::lab {
namespace {

/// How long a node waits for the owner of a lane.
constexpr milliseconds kForwardTimeout{10'000};

/// Tells the node that passed a call on how that ended. Errors of the owner are
/// relayed to the caller like answers.
void EndForward(World& world, node::CallId passed, bool answered, bool sent) {
  const auto at = world.calls.find(passed);
  if (at == world.calls.end()) return;
  Feed(*world.driver, at->second.node,
       [passed, answered, sent](node::NodeState& state, Time now,
                                node::Actions& out) {
         node::OnForwarded(state, passed, answered, sent, now, out);
       });
}

/// Gives the passed call to its owner under a number of its own.
void PassOn(World& world, node::CallId source, NodeIdx owner) {
  const auto at = world.calls.find(source);
  if (at == world.calls.end()) return;
  const node::CallId id = world.next_call++;
  LiveCall& call = world.calls[id];
  call.wish = at->second.wish;
  call.node = owner;
  call.delivered = Now(*world.driver);
  call.passed_from = source;
  const Wish& wish = world.wishes[call.wish];
  const LoadSpec& load = LoadOf(world, wish);
  node::Call sent;
  sent.id = id;
  sent.account = load.account;
  sent.cls = load.cls;
  sent.target = load.target;
  sent.lane = wish.lane;
  sent.key = "wish-" + std::to_string(call.wish);
  sent.forwarded = true;
  sent.body_hash = call.wish + 1;
  const bool up =
      Feed(*world.driver, owner,
           [sent](node::NodeState& state, Time now, node::Actions& out) {
             node::OnCall(state, sent, now, out);
           });
  if (up) return;
  ForgetLiveCall(world, id);
  EndForward(world, source, false, false);
}

struct ActionTaker {
  World& world;
  NodeIdx node;

  void operator()(node::SendCall& send) const {
    const auto at = world.calls.find(send.call);
    if (at == world.calls.end()) return;
    at->second.at_endpoint = true;
    at->second.sent = false;
    at->second.attempt = send.attempt;
    at->second.tokens = 0;
    ConnectAttempt(world, node, send);
  }

  void operator()(node::CancelCall& cancel) const {
    const auto at = world.calls.find(cancel.call);
    if (at != world.calls.end()) CancelAttempt(world, at->second);
  }

  void operator()(node::AnswerError& error) const {
    CheckRefusal(world, node, error);
    const auto at = world.calls.find(error.call);
    if (at == world.calls.end()) return;
    if (error.ran == node::RunStatus::kDidNotRun)
      CheckNotRun(world, error.call);
    const auto source = at->second.passed_from;
    if (!source) return OnCallRefused(world, error);
    // It may go on without its caller; then its end forgets it.
    at->second.caller_waits = false;
    if (at->second.engine_call == 0) ForgetLiveCall(world, error.call);
    node::AnswerError relayed = error;
    relayed.call = *source;
    EndForward(world, *source, true, true);
    if (world.calls.contains(*source)) OnCallRefused(world, relayed);
  }

  void operator()(node::AnswerStored& stored) const {
    const auto at = world.calls.find(stored.call);
    if (at == world.calls.end()) return;
    const std::string own = "answer to " + std::to_string(at->second.wish);
    if (stored.answer->body != own) {
      ++world.watchdog.mixed;
      Violate(world, "own answer", "a stored answer went to another's call");
    }
    const auto source = at->second.passed_from;
    if (!source) return OnCallAnswered(world, stored.call, true);
    ForgetLiveCall(world, stored.call);
    EndForward(world, *source, true, true);
    OnCallAnswered(world, *source, true);
  }

  void operator()(node::ForwardCall& forward) const {
    const NodeIdx owner = FindNodeByAddress(world, forward.caller_address);
    const node::CallId source = forward.call;
    const bool reachable =
        owner < world.node_names.size() && !IsCut(*world.driver, node, owner);
    const Time now = Now(*world.driver);
    At(*world.driver, now + world.scenario->wire,
       [&w = world, source, owner, reachable] {
         if (reachable) return PassOn(w, source, owner);
         EndForward(w, source, false, false);
       });
    At(*world.driver, now + kForwardTimeout,
       [&w = world, source] { EndForward(w, source, false, true); });
  }

  void operator()(node::Decision& decision) const {
    ++world.tally[std::string(decision.kind)];
    const std::string kind = decision.kind;
    if (kind == "preempt") CheckPreempt(world, node, decision);
  }

  void operator()(fleet::RulesInForce& action) const {
    world.in_force[node] = action.rules;
    CheckRulesInForce(world, node);
  }
  void operator()(fleet::RulesRefused&) const {
    ++world.tally["rules_refused"];
  }
  void operator()(fleet::ReadRulesDocument& ask) const {
    ServeRules(world, node, ask);
  }
  void operator()(fleet::ReadVmList&) const { ServeVms(world, node); }
  void operator()(fleet::ReadReport& ask) const {
    ServeReport(world, node, ask.endpoint);
  }
  void operator()(fleet::OrderEngine& order) const {
    ServeOrder(world, node, order);
  }
  void operator()(fleet::SendMessage&) const {}  // The driver's own.
};

}  // namespace

void TakeAction(World& world, NodeIdx node, node::Action& action) {
  std::visit(ActionTaker{world, node}, action);
}

void BreakCallsOf(World& world, NodeIdx node) {
  std::vector<node::CallId> broken;
  for (const auto& [id, call] : world.calls) {
    if (call.node == node) broken.push_back(id);
  }
  std::sort(broken.begin(), broken.end());
  for (const node::CallId id : broken) {
    const auto at = world.calls.find(id);
    if (at == world.calls.end()) continue;
    CancelAttempt(world, at->second);
    const auto source = at->second.passed_from;
    if (!source) {
      OnCallBroken(world, id);
      continue;
    }
    ForgetLiveCall(world, id);
    EndForward(world, *source, false, true);
  }
}

}  // namespace egretladder::lab
