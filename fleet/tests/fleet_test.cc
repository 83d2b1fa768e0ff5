#include "egretladder/fleet/fleet.h"

#include <CppUTest/TestHarness.h>

#include <algorithm>
#include <chrono>
#include <string>
#include <vector>

#include "egretladder/fleet/electorate.h"
#include "fleet_simulation.h"

using namespace std::chrono_literals;
namespace ef = egretladder::fleet;
using ef::testing::FakeNode;
using ef::testing::FakeRules;
using ef::testing::FleetSimulation;

namespace {

/// Runs until all running nodes have `version` in force or `timeout` has
/// passed. Returns the simulated time that it took.
std::chrono::milliseconds TimeUntilInForceEverywhere(
    FleetSimulation& simulation, std::uint64_t version,
    std::chrono::milliseconds timeout) {
  std::chrono::milliseconds elapsed{0};
  while (elapsed < timeout && !simulation.IsInForceEverywhere(version)) {
    simulation.RunFor(50ms);
    elapsed += 50ms;
  }
  return elapsed;
}

/// True if `asked_node` names `node` among the `max_nodes` nodes that it
/// returns to a caller in zone z0.
bool IsOfferedToCallers(const FleetSimulation& simulation,
                        const std::string& asked_node, const std::string& node,
                        std::size_t max_nodes = 9) {
  const FakeNode& asked = simulation.nodes.at(asked_node);
  const auto where =
      ef::Where(*asked.fleet, "z0", max_nodes, simulation.LocalNow(asked));
  return std::any_of(where.begin(), where.end(),
                     [&](const ef::Member& m) { return m.node == node; });
}

void CheckNoWorkStartedSince(const FleetSimulation& simulation,
                             const std::string& endpoint,
                             egretladder::kernel::Time since) {
  CHECK(simulation.endpoints.at(endpoint).last_start < since);
}

}  // namespace

TEST_GROUP(Fleet) {
  FakeRules rules_;
  FleetSimulation simulation_{1};

  void setup() override {
    simulation_.StartAll();
    simulation_.RunFor(30s);
  }
  void teardown() override {
    CHECK_TRUE_TEXT(simulation_.violations.empty(),
                    simulation_.violations.empty()
                        ? ""
                        : simulation_.violations[0].c_str());
  }
  FakeNode& Node(const std::string& name) { return simulation_.nodes.at(name); }
  std::uint64_t VersionAt(const std::string& name) {
    return RulesOf(*Node(name).fleet)->version;
  }
};

TEST(Fleet, EveryEndpointGetsAKeeperAndWarmsUp) {
  CHECK_EQUAL(4U, simulation_.KeptEndpointCount());
  for (const auto& [name, endpoint] : simulation_.endpoints) {
    CHECK(simulation_.TotalUsableSlots(name) > 8);
    CHECK_EQUAL(2U, endpoint.max_running_while_cold);
  }
}

TEST(Fleet, ConfigurationIsInForceEverywhereWithinASecond) {
  ++rules_.version;
  simulation_.Publish(rules_);
  CHECK(TimeUntilInForceEverywhere(simulation_, 2, 5s) <= 1s);
}

// Only one node can reach the configuration service. The other nodes must
// receive the new version from that node.
TEST(Fleet, OneNodeThatReadsTheRulesInformsAllOthers) {
  for (auto& [name, node] : simulation_.nodes)
    node.platform_unreachable = name != "n4";
  simulation_.RunFor(20s);
  ++rules_.version;
  simulation_.Publish(rules_);
  CHECK(TimeUntilInForceEverywhere(simulation_, 2, 5s) <= 2s);
}

// An operator takes a zone out while only one node can reach the configuration
// service. Two nodes have slots in the zone that need no lease: one is
// partitioned from all others, and one is paused for a minute. No node may
// start work in the zone from three seconds later on, including the paused node
// when it resumes.
TEST(Fleet, ZoneOutStopsNewWorkOnAllNodesWithinThreeSeconds) {
  rules_.cold_max_in_flight = 8;
  FleetSimulation simulation(2, rules_);
  simulation.StartAll();
  simulation.RunFor(30s);
  const auto rules = RulesOf(*simulation.nodes.at("n0").fleet);
  std::vector<std::string> owners;
  std::string reader;
  for (const auto& [name, node] : simulation.nodes) {
    const bool owns =
        ef::NodeFloorSlots(*rules, FindEndpoint(*rules, "e0"), name) > 0;
    if (owns) owners.push_back(name);
    if (!owns) reader = name;
  }
  CHECK_EQUAL(2U, owners.size());
  for (auto& [name, node] : simulation.nodes)
    node.platform_unreachable = name != reader;
  simulation.Partition({owners[0]});
  simulation.Pause(owners[1], 60s);
  rules_.version = 2;
  rules_.zones_out.insert("z0");
  simulation.Publish(rules_);
  const auto published_at = simulation.now;
  simulation.RunFor(90s);
  CheckNoWorkStartedSince(simulation, "e0", published_at + 3s);
  CheckNoWorkStartedSince(simulation, "e3", published_at + 3s);
  CHECK(simulation.endpoints.at("e1").last_start > published_at + 70s);
  CHECK_TRUE(simulation.violations.empty());
}

// A process is paused for a second and resumes while it is partitioned. Its
// knowledge may be stale, although by its own clock the last peer message is
// recent.
TEST(Fleet, ResumedNodeWaitsForAPeerMessage) {
  const auto is_fresh = [&] {
    return ef::KnowledgeIsFresh(*Node("n1").fleet,
                                simulation_.LocalNow(Node("n1")));
  };
  CHECK_TRUE(is_fresh());
  simulation_.Pause("n1", 1s);
  simulation_.RunFor(950ms);
  CHECK_FALSE(is_fresh());
  simulation_.Partition({"n1"});
  Node("n1").platform_unreachable = true;
  simulation_.RunFor(500ms);
  CHECK_FALSE(is_fresh());
  simulation_.HealNetwork();
  simulation_.RunFor(1500ms);
  CHECK_TRUE(is_fresh());
}

// Only one node reads the VM list that marks an engine's VM as leaving.
// Requests that still run on the VM when it goes would be aborted, so no node
// may start new ones there.
TEST(Fleet, LeavingVmGetsNoNewWorkFromAnyNode) {
  for (auto& [name, node] : simulation_.nodes)
    node.platform_unreachable = name != "n4";
  simulation_.vms = {{"e1", true}};
  const auto listed_at = simulation_.now;
  simulation_.RunFor(20s);
  CheckNoWorkStartedSince(simulation_, "e1", listed_at + 3s);
}

// The configuration service returns outdated rules when a node restarts. The
// node must adopt the version that its peers have in force.
TEST(Fleet, RestartedNodeAsksPeersBeforeAStaleService) {
  rules_.version = 5;
  simulation_.Publish(rules_);
  simulation_.RunFor(2s);
  simulation_.stale_version = 1;
  simulation_.Crash("n3");
  simulation_.StartNode("n3", true);
  simulation_.RunFor(3s);
  CHECK_EQUAL(1U, Node("n3").versions_in_force.size());
  CHECK_EQUAL(5U, VersionAt("n3"));
}

// The configuration service returns an older version for a minute. No node may
// adopt it.
TEST(Fleet, StaleServiceDoesNotRevertTheRules) {
  rules_.version = 2;
  simulation_.Publish(rules_);
  simulation_.RunFor(2s);
  simulation_.stale_version = 1;
  simulation_.RunFor(1h / 60);
  CHECK_TRUE(simulation_.IsInForceEverywhere(2));
}

// An operator edits the document without raising its version. If nodes accepted
// it, parts of the fleet would use different rules under the same version.
TEST(Fleet, OtherContentUnderTheSameVersionIsRefused) {
  rules_.leaving.insert("e2");
  simulation_.Publish(rules_);
  const std::string text = ef::testing::MakeRulesDocument(rules_);
  FakeNode& node = Node("n1");
  const auto digest = RulesOf(*node.fleet)->digest;
  ef::Actions actions;
  ef::OnRulesDocument(*node.fleet, &text, simulation_.LocalNow(node), actions);
  CHECK_EQUAL(digest, RulesOf(*node.fleet)->digest);
  const auto view = ef::ViewOf(*node.fleet, simulation_.LocalNow(node));
  CHECK_EQUAL(1U, view.refused_version);
  STRCMP_CONTAINS("other content", view.refused_why.c_str());
}

// A document with an error in one line is refused as a whole, and the version
// in force stays in force.
TEST(Fleet, FaultyDocumentChangesNothing) {
  rules_.version = 2;
  const std::string text =
      ef::testing::MakeRulesDocument(rules_) + "[zone]\nx = y\n";
  FakeNode& node = Node("n1");
  ef::Actions actions;
  ef::OnRulesDocument(*node.fleet, &text, simulation_.LocalNow(node), actions);
  CHECK_EQUAL(1U, VersionAt("n1"));
  CHECK_FALSE(
      ef::ViewOf(*node.fleet, simulation_.LocalNow(node)).refused_why.empty());
}

// The platform is down for two minutes and comes back. The fleet must limit its
// retries during the outage and keep its rules.
TEST(Fleet, PlatformOutageCausesNoRetryStorm) {
  simulation_.platform_down = true;
  simulation_.RunFor(60s);
  const auto calls_before = simulation_.platform_calls;
  simulation_.RunFor(60s);
  CHECK(simulation_.platform_calls - calls_before < 60 * 3);
  CHECK_TRUE(simulation_.IsInForceEverywhere(1));
  simulation_.platform_down = false;
  simulation_.RunFor(15s);
  rules_.version = 2;
  simulation_.Publish(rules_);
  CHECK(TimeUntilInForceEverywhere(simulation_, 2, 5s) <= 1s);
}

// The keepers of warm endpoints crash. The next keepers must lease the slots
// again within seconds, without treating the endpoints as cold.
TEST(Fleet, KeeperCrashKeepsEndpointsWarm) {
  for (const char* name : {"n0", "n3"}) simulation_.Crash(name);
  simulation_.RunFor(9s);
  CHECK_EQUAL(4U, simulation_.KeptEndpointCount());
  for (const char* engine : {"e0", "e1", "e2"}) {
    CHECK(simulation_.TotalUsableSlots(engine) > 8);
  }
}

// Three of seven nodes are partitioned. They can't know what the others start,
// so they get no slots. The majority of four leases all slots.
TEST(Fleet, OnlyTheMajorityLeasesSlots) {
  simulation_.Partition({"n0", "n1", "n2"});
  simulation_.RunFor(12s);
  CHECK_EQUAL(4U, simulation_.KeptEndpointCount());
  for (const char* name : {"n0", "n1", "n2"}) {
    CHECK_EQUAL(0U, simulation_.UsableSlotsAt(Node(name), "e1"));
  }
  CHECK(simulation_.TotalUsableSlots("e1") > 8);
}

// A node leaves for an update. It is no longer offered to callers and other
// nodes become keepers of its endpoints, but the requests that wait at it still
// get slots.
TEST(Fleet, LeavingNodeHandsOverItsEndpoints) {
  simulation_.MakeNodeLeave("n0");
  simulation_.RunFor(500ms);
  for (const auto& [name, node] : simulation_.nodes) {
    CHECK_FALSE(IsOfferedToCallers(simulation_, name, "n0"));
  }
  CHECK_EQUAL(0U, ef::ViewOf(*Node("n0").fleet, simulation_.now).keeper_of);
  simulation_.RunFor(5s);
  CHECK_EQUAL(4U, simulation_.KeptEndpointCount());
  CHECK(simulation_.UsableSlotsAt(Node("n0"), "e1") > 0);
}

// A crashed node must not be offered to callers for long. It is first sorted
// behind all other nodes, so that a short list omits it, and is then dropped
// from the full list.
TEST(Fleet, CrashedNodeIsNoLongerOfferedToCallers) {
  simulation_.Crash("n3");
  simulation_.RunFor(3500ms);
  for (const auto& [name, node] : simulation_.nodes) {
    if (node.up) CHECK_FALSE(IsOfferedToCallers(simulation_, name, "n3", 6));
  }
  simulation_.RunFor(3500ms);
  CHECK_FALSE(IsOfferedToCallers(simulation_, "n1", "n3"));
  CHECK_TRUE(IsOfferedToCallers(simulation_, "n1", "n0"));
}

// A VM is replaced under the same name and address while its old process still
// runs. The old process must stop starting work, because both processes would
// use the slots of the same node.
TEST(Fleet, ReplacedProcessStartsNoMoreWork) {
  FakeNode& node = Node("n2");
  ef::Member newer;
  newer.node = "n2";
  newer.incarnation = node.options.incarnation + 1;
  newer.started = node.options.started + 1;
  ef::Gossip gossip;
  gossip.members = {newer};
  ef::Actions actions;
  ef::OnMessage(*node.fleet, {"n1", Node("n1").options.incarnation}, gossip,
                simulation_.LocalNow(node), actions);
  CHECK_FALSE(ef::KnowledgeIsFresh(*node.fleet, simulation_.LocalNow(node)));
  simulation_.RunFor(1s);
  CHECK_EQUAL(0U, simulation_.UsableSlotsAt(node, "e1"));
}

// A request crashes the engine that runs it, and its caller retries it at
// another node. After the second engine has died, all nodes must have
// quarantined the request body, so that no third engine dies.
TEST(Fleet, SecondDeathQuarantinesTheBodyOnAllNodes) {
  simulation_.CrashByRequestBody("n1", "e0", 77);
  simulation_.RunFor(500ms);
  simulation_.CrashByRequestBody("n4", "e1", 77);
  simulation_.RunFor(500ms);
  for (const auto& [name, node] : simulation_.nodes) {
    CHECK_TRUE(node.quarantined.contains(77));
  }
}

// An engine restarts under full load and is cold again, with room for two
// requests. The slots summed over all nodes must shrink to that limit before
// the engine is up.
TEST(Fleet, RestartedEngineIsColdForAllNodes) {
  simulation_.StopEndpoint("e1");
  simulation_.RunFor(4s);
  simulation_.StartEndpoint("e1");
  simulation_.RunFor(500ms);
  CHECK(simulation_.TotalUsableSlots("e1") <= 2);
  simulation_.RunFor(25s);
  CHECK(simulation_.TotalUsableSlots("e1") > 8);
  CHECK_EQUAL(2U, simulation_.endpoints.at("e1").max_running_while_cold);
}

// Two models share engines that hold one model each. The engines are ordered to
// load models, and no model is unloaded, so none loses its last warm copy.
TEST(Fleet, EnginesAreOrderedToLoadTheirModels) {
  simulation_.RunFor(5min);
  CHECK(simulation_.orders.size() >= 3U);
  for (const auto& order : simulation_.orders) {
    CHECK(order.kind == ef::OrderKind::kLoad);
  }
}
