// A scenario while it runs: nodes under the driver, and around them the fakes
// of endpoints, platform and callers.
#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <unordered_map>
#include <unordered_set>
#include <utility>
#include <vector>

#include "egretladder/kernel/hash.h"
#include "egretladder/lab/driver.h"
#include "egretladder/lab/platform_model.h"
#include "egretladder/lab/scenario.h"
#include "egretladder/rules/rules.h"

namespace egretladder::lab {

/// What became of a wish.
enum class Outcome : std::uint8_t { kOpen, kServed, kRefused, kUnknown, kLeft };

/// One thing that a caller wants done once, over all its calls.
struct Wish {
  std::uint32_t load = 0;
  std::uint32_t caller = 0;  ///< Index in `World::callers`.
  Time created{};
  std::optional<Time> first_token;
  std::optional<Time> ended;
  Outcome outcome = Outcome::kOpen;
  std::uint32_t prompt = 0;
  std::uint32_t output = 0;
  std::uint32_t prefix = 0;
  std::uint32_t tries = 0;
  std::uint32_t runs = 0;  ///< Taken by endpoints.
  std::string lane;        ///< Of a class that may not be repeated.
  std::string lane_address;
  node::CallId call = 0;  ///< In progress; 0: none.
};

/// A caller's process: what it last heard from `/where`.
struct Caller {
  std::string zone;
  std::vector<std::string> addresses;
  std::string lane;
  std::string lane_address;
  std::optional<Time> asked;
  std::chrono::milliseconds keep_for{};
};

/// A call at a node, its caller's or one that another node passed on.
struct LiveCall {
  std::uint32_t wish = 0;
  NodeIdx node = 0;
  Time delivered{};
  std::optional<node::CallId> passed_from;  ///< The call at the other node.
  bool at_endpoint = false;  ///< The node has chosen an endpoint.
  bool caller_waits = true;
  bool sent = false;  ///< Bytes of the attempt reached an endpoint.
  std::uint8_t attempt = 0;
  std::string endpoint;
  EngineCallId engine_call = 0;  ///< 0: none.
  std::uint32_t tokens = 0;      ///< Received of this attempt.
};

struct FakeEndpoint {
  std::string name;
  std::string zone;
  EngineState engine;
  bool up = true;
  std::optional<Time> wake;  ///< The step whose end is already awaited.
  std::uint64_t deaths = 0;
  std::uint64_t overloads = 0;  ///< Times it got more than it bears.
};

/// One call taken by an endpoint.
struct Start {
  Time when{};
  std::uint32_t endpoint = 0;  ///< Index in `World::endpoint_names`.
};

/// What the invariants remember.
struct Watchdog {
  std::map<std::string, Time> out_since;     ///< Zones and endpoints.
  std::map<std::uint64_t, Time> accepted;    ///< Versions, when first in force.
  std::vector<std::uint64_t> versions;       ///< In force, by node.
  std::vector<Time> last_paused;             ///< By node.
  std::vector<Time> reachable_since;         ///< By node; see invariants.
  std::vector<std::optional<Time>> leaving;  ///< Nodes, since when.
  std::unordered_set<std::string> ran;       ///< Calls taken by an endpoint.
  std::unordered_set<std::string> said_not_run;
  std::map<std::string, Time> last_served;    ///< By class.
  std::map<std::string, Time> waiting_since;  ///< By class.
  Time next_sweep{};
  std::uint64_t doubled = 0;
  std::uint64_t false_not_run = 0;
  std::uint64_t mixed = 0;  ///< Answers of another's request.
  std::uint64_t cut_by_leave = 0;
  std::chrono::milliseconds slowest_spread{};   ///< Of a version to all.
  std::map<std::string, std::uint64_t> counts;  ///< Failures by invariant.
  std::map<std::string, std::string> first;     ///< The first one, told.
};

struct World {
  const Scenario* scenario = nullptr;
  std::string policy;
  DriverPtr driver;
  Time start{};
  kernel::Random random;
  PlatformState platform;
  rules::RulesPtr published;              ///< The last document published.
  std::vector<rules::RulesPtr> in_force;  ///< By node.
  std::vector<std::string> node_names;
  std::vector<FakeEndpoint> endpoints;
  std::map<std::string, std::uint32_t> endpoint_idx;
  std::vector<Caller> callers;
  std::vector<std::vector<std::uint32_t>> callers_of;  ///< By load.
  std::vector<Wish> wishes;
  std::unordered_map<node::CallId, LiveCall> calls;
  std::unordered_map<EngineCallId, node::CallId> engine_calls;
  node::CallId next_call = 1;
  EngineCallId next_engine_call = 1;
  std::vector<Start> starts;
  std::vector<std::uint64_t> queue;            ///< Sampled each second.
  std::set<std::uint64_t> poison;              ///< Bodies.
  std::map<std::string, std::uint64_t> tally;  ///< Decisions by kind.
  Watchdog watchdog;
};

inline Time::duration Elapsed(const World& world) {
  return Now(*world.driver) - world.start;
}
inline const LoadSpec& LoadOf(const World& world, const Wish& wish) {
  return world.scenario->loads[wish.load];
}
/// The class's rule in the last document published; null when it is gone.
const rules::Class* ClassRule(const World& world, const std::string& cls);

// scenario_world.cc
kernel::Result<void> BuildWorld(World& world, const Scenario& scenario,
                                const std::string& policy);
/// Makes `text` what the platform publishes, under the next version.
void PublishRules(World& world, const std::string& text);
/// Null when the scenario has no endpoint of this name.
FakeEndpoint* FindEndpoint(World& world, const std::string& name);
NodeIdx FindNodeByName(const World& world, const std::string& name);
NodeIdx FindNodeByAddress(const World& world, const std::string& address);

// scenario_actions.cc
/// The driver's sink.
void TakeAction(World& world, NodeIdx node, node::Action& action);
/// Every call at a node that went down breaks.
void BreakCallsOf(World& world, NodeIdx node);

// scenario_platform.cc
void ServeRules(World& world, NodeIdx node,
                const fleet::ReadRulesDocument& ask);
void ServeVms(World& world, NodeIdx node);
void ServeReport(World& world, NodeIdx node, rules::EndpointHandle endpoint);
void ServeOrder(World& world, NodeIdx node, const fleet::OrderEngine& order);

// scenario_endpoints.cc
/// A node connects to the endpoint of an attempt, asks whether it may still
/// send, and sends.
void ConnectAttempt(World& world, NodeIdx node, const node::SendCall& send);
/// Stops the call at its endpoint.
void CancelAttempt(World& world, LiveCall& call);
/// The endpoint dies with all that runs on it, and comes back cold.
void CrashEndpoint(World& world, FakeEndpoint& endpoint);

// scenario_callers.cc
void StartLoads(World& world);
/// Its caller's side of a call's end.
void OnCallAnswered(World& world, node::CallId call, bool stored);
void OnCallRefused(World& world, const node::AnswerError& error);
void OnCallBroken(World& world, node::CallId call);
void OnCallerToken(World& world, node::CallId call);
void ForgetLiveCall(World& world, node::CallId call);

// scenario_events.cc
kernel::Result<void> PlaceEvents(World& world);

// scenario_invariants.cc
void Violate(World& world, const std::string& invariant, std::string what);
void CheckStart(World& world, const FakeEndpoint& endpoint, node::CallId call);
void CheckNotRun(World& world, node::CallId call);
void CheckRefusal(World& world, NodeIdx node, const node::AnswerError& error);
void CheckPreempt(World& world, NodeIdx node, const node::Decision& decision);
void CheckRulesInForce(World& world, NodeIdx node);
/// A process starts anew: it has no rules yet.
void ForgetNode(World& world, NodeIdx node);
void CheckEveryTick(World& world);

// scenario_measures.cc
ScenarioResult MeasureWorld(const World& world);

}  // namespace egretladder::lab
