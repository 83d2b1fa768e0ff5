#include "egretladder/fleet/fleet.h"

#include <CppUTest/TestHarness.h>

#include <algorithm>
#include <chrono>
#include <string>
#include <vector>

#include "egretladder/fleet/electorate.h"
#include "wire_fixture.h"

using namespace std::chrono_literals;
namespace ef = egretladder::fleet;
using ef::testing::FakeNode;
using ef::testing::FakeRules;
using ef::testing::World;

namespace {

/// Runs until `version` is in force at all running nodes; the time it took.
std::chrono::milliseconds TimeUntilAllHave(World& world, std::uint64_t version,
                                           std::chrono::milliseconds most) {
  std::chrono::milliseconds taken{0};
  while (taken < most && !world.AllHave(version)) {
    world.Run(50ms);
    taken += 50ms;
  }
  return taken;
}

bool InWhere(const World& world, const std::string& at, const std::string& node,
             std::size_t most = 9) {
  const FakeNode& asked = world.nodes.at(at);
  const auto where = ef::Where(*asked.fleet, "z0", most, world.LocalNow(asked));
  return std::any_of(where.begin(), where.end(),
                     [&](const ef::Member& m) { return m.node == node; });
}

void CheckNoWorkFrom(const World& world, const std::string& endpoint,
                     egretladder::kernel::Time moment) {
  CHECK(world.endpoints.at(endpoint).last_start < moment);
}

}  // namespace

TEST_GROUP(Fleet) {
  FakeRules rules_;
  World world_{1};

  void setup() override {
    world_.StartAll();
    world_.Run(30s);
  }
  void teardown() override {
    CHECK_TRUE_TEXT(world_.broken.empty(),
                    world_.broken.empty() ? "" : world_.broken[0].c_str());
  }
  FakeNode& Node(const std::string& name) { return world_.nodes.at(name); }
  std::uint64_t VersionAt(const std::string& name) {
    return RulesOf(*Node(name).fleet)->version;
  }
};

TEST(Fleet, EveryEndpointGetsAKeeperAndWarmsUp) {
  CHECK_EQUAL(4U, world_.KeepersOf());
  for (const auto& [name, endpoint] : world_.endpoints) {
    CHECK(world_.SlotsOf(name) > 8);
    CHECK_EQUAL(2U, endpoint.most_cold);
  }
}

TEST(Fleet, ConfigurationIsInForceEverywhereWithinASecond) {
  ++rules_.version;
  world_.Publish(rules_);
  CHECK(TimeUntilAllHave(world_, 2, 5s) <= 1s);
}

// The configuration service answers one node only. The others hear the new
// version from it.
TEST(Fleet, OneReaderIsEnough) {
  for (auto& [name, node] : world_.nodes) node.platform_cut = name != "n4";
  world_.Run(20s);
  ++rules_.version;
  world_.Publish(rules_);
  CHECK(TimeUntilAllHave(world_, 2, 5s) <= 2s);
}

// Operators take a zone out while the configuration service is down for all but
// one node. Two nodes own slots there that need no lease: one is cut off from
// everything, one stands still for a minute. Nobody may send new work there
// three seconds later, nor when the one wakes.
TEST(Fleet, ZoneOutIsOutEverywhereWithinThreeSeconds) {
  rules_.cold_max_in_flight = 8;
  World world(2, rules_);
  world.StartAll();
  world.Run(30s);
  const auto rules = RulesOf(*world.nodes.at("n0").fleet);
  std::vector<std::string> owners;
  std::string reader;
  for (const auto& [name, node] : world.nodes) {
    const bool owns =
        ef::NodeFloorSlots(*rules, FindEndpoint(*rules, "e0"), name) > 0;
    if (owns) owners.push_back(name);
    if (!owns) reader = name;
  }
  CHECK_EQUAL(2U, owners.size());
  for (auto& [name, node] : world.nodes) node.platform_cut = name != reader;
  world.CutOff({owners[0]});
  world.Pause(owners[1], 60s);
  rules_.version = 2;
  rules_.zones_out.insert("z0");
  world.Publish(rules_);
  const auto published = world.now;
  world.Run(90s);
  CheckNoWorkFrom(world, "e0", published + 3s);
  CheckNoWorkFrom(world, "e3", published + 3s);
  CHECK(world.endpoints.at("e1").last_start > published + 70s);
  CHECK_TRUE(world.broken.empty());
}

// A process stands still for a second and wakes while it is cut off. What it
// knew may be old by now, though it heard its peers not long ago by its clock.
TEST(Fleet, WokenNodeWaitsForAPeersWord) {
  const auto is_fresh = [&] {
    return ef::KnowledgeIsFresh(*Node("n1").fleet, world_.LocalNow(Node("n1")));
  };
  CHECK_TRUE(is_fresh());
  world_.Pause("n1", 1s);
  world_.Run(950ms);
  CHECK_FALSE(is_fresh());
  world_.CutOff({"n1"});
  Node("n1").platform_cut = true;
  world_.Run(500ms);
  CHECK_FALSE(is_fresh());
  world_.Heal();
  world_.Run(1500ms);
  CHECK_TRUE(is_fresh());
}

// The VM list shows an engine's VM as leaving, to one node. The engine would
// cut what still runs on it when it goes.
TEST(Fleet, LeavingVmGetsNoNewWorkFromAnyNode) {
  for (auto& [name, node] : world_.nodes) node.platform_cut = name != "n4";
  world_.vms = {{"e1", true}};
  const auto shown = world_.now;
  world_.Run(20s);
  CheckNoWorkFrom(world_, "e1", shown + 3s);
}

// The service serves last week's rules when a node restarts. It must take the
// version that its peers have in force, not go back.
TEST(Fleet, RestartedNodeAsksPeersBeforeAStaleService) {
  rules_.version = 5;
  world_.Publish(rules_);
  world_.Run(2s);
  world_.stale_version = 1;
  world_.Crash("n3");
  world_.StartNode("n3", true);
  world_.Run(3s);
  CHECK_EQUAL(1U, Node("n3").versions.size());
  CHECK_EQUAL(5U, VersionAt("n3"));
}

// The service goes back to older data for an hour. Nobody follows it.
TEST(Fleet, StaleServiceTakesNothingBack) {
  rules_.version = 2;
  world_.Publish(rules_);
  world_.Run(2s);
  world_.stale_version = 1;
  world_.Run(1h / 60);
  CHECK_TRUE(world_.AllHave(2));
}

// Somebody edits the document and forgets to raise the version. Half of the
// fleet would follow one text and half the other.
TEST(Fleet, OtherContentUnderTheSameVersionIsRefused) {
  rules_.leaving.insert("e2");
  world_.Publish(rules_);
  const std::string text = ef::testing::Document(rules_);
  FakeNode& node = Node("n1");
  const auto digest = RulesOf(*node.fleet)->digest;
  ef::Actions actions;
  ef::OnRulesDocument(*node.fleet, &text, world_.LocalNow(node), actions);
  CHECK_EQUAL(digest, RulesOf(*node.fleet)->digest);
  const auto view = ef::ViewOf(*node.fleet, world_.LocalNow(node));
  CHECK_EQUAL(1U, view.refused_version);
  STRCMP_CONTAINS("other content", view.refused_why.c_str());
}

// A document with a fault in one line is refused whole, and the version that
// stands goes on.
TEST(Fleet, FaultyDocumentChangesNothing) {
  rules_.version = 2;
  const std::string text = ef::testing::Document(rules_) + "[zone]\nx = y\n";
  FakeNode& node = Node("n1");
  ef::Actions actions;
  ef::OnRulesDocument(*node.fleet, &text, world_.LocalNow(node), actions);
  CHECK_EQUAL(1U, VersionAt("n1"));
  CHECK_FALSE(
      ef::ViewOf(*node.fleet, world_.LocalNow(node)).refused_why.empty());
}

// The platform is down for ten minutes and comes back. The fleet must neither
// hammer it meanwhile nor forget its rules.
TEST(Fleet, OutageOfThePlatformIsCalm) {
  world_.platform_down = true;
  world_.Run(60s);
  const auto before = world_.platform_calls;
  world_.Run(60s);
  CHECK(world_.platform_calls - before < 60 * 3);
  CHECK_TRUE(world_.AllHave(1));
  world_.platform_down = false;
  world_.Run(15s);
  rules_.version = 2;
  world_.Publish(rules_);
  CHECK(TimeUntilAllHave(world_, 2, 5s) <= 1s);
}

// The keeper of warm endpoints crashes. Their slots come back from the next one
// in seconds, without a cold start.
TEST(Fleet, KeeperCrashKeepsEndpointsWarm) {
  for (const char* name : {"n0", "n3"}) world_.Crash(name);
  world_.Run(9s);
  CHECK_EQUAL(4U, world_.KeepersOf());
  for (const char* engine : {"e0", "e1", "e2"}) {
    CHECK(world_.SlotsOf(engine) > 8);
  }
}

// Three of seven nodes are cut off. They can't know what the others start, and
// get no slots; the four go on with all of them.
TEST(Fleet, OnlyTheMajorityLeasesSlots) {
  world_.CutOff({"n0", "n1", "n2"});
  world_.Run(12s);
  CHECK_EQUAL(4U, world_.KeepersOf());
  for (const char* name : {"n0", "n1", "n2"}) {
    CHECK_EQUAL(0U, world_.Usable(Node(name), "e1"));
  }
  CHECK(world_.SlotsOf("e1") > 8);
}

// A node leaves for an update. Callers aren't sent to it any more, its duties
// pass on, and what waits at it still gets slots.
TEST(Fleet, LeavingNodePassesItsDutiesOn) {
  world_.LeaveNode("n0");
  world_.Run(500ms);
  for (const auto& [name, node] : world_.nodes) {
    CHECK_FALSE(InWhere(world_, name, "n0"));
  }
  CHECK_EQUAL(0U, ef::ViewOf(*Node("n0").fleet, world_.now).keeper_of);
  world_.Run(5s);
  CHECK_EQUAL(4U, world_.KeepersOf());
  CHECK(world_.Usable(Node("n0"), "e1") > 0);
}

// A crashed node stays in callers' answers for a moment only: soon it stands
// behind all others, of which callers get a few, and then nowhere.
TEST(Fleet, CrashedNodeLeavesWhere) {
  world_.Crash("n3");
  world_.Run(3500ms);
  for (const auto& [name, node] : world_.nodes) {
    if (node.up) CHECK_FALSE(InWhere(world_, name, "n3", 6));
  }
  world_.Run(3500ms);
  CHECK_FALSE(InWhere(world_, "n1", "n3"));
  CHECK_TRUE(InWhere(world_, "n1", "n0"));
}

// A VM is replaced under the same name and address while its old process still
// runs somewhere. The old one must stop: both would use one node's slots.
TEST(Fleet, ReplacedProcessTakesNoMoreWork) {
  FakeNode& node = Node("n2");
  ef::Member newer;
  newer.node = "n2";
  newer.incarnation = node.options.incarnation + 1;
  newer.started = node.options.started + 1;
  ef::Gossip gossip;
  gossip.members = {newer};
  ef::Actions actions;
  ef::OnMessage(*node.fleet, {"n1", Node("n1").options.incarnation}, gossip,
                world_.LocalNow(node), actions);
  CHECK_FALSE(ef::KnowledgeIsFresh(*node.fleet, world_.LocalNow(node)));
  world_.Run(1s);
  CHECK_EQUAL(0U, world_.Usable(node, "e1"));
}

// A broker's request crashes the engine that runs it, and the broker sends it
// again to another node. The second engine that dies is the last: all nodes
// know the body by then.
TEST(Fleet, SecondDeathQuarantinesTheBodyEverywhere) {
  world_.Poison("n1", "e0", 77);
  world_.Run(500ms);
  world_.Poison("n4", "e1", 77);
  world_.Run(500ms);
  for (const auto& [name, node] : world_.nodes) {
    CHECK_TRUE(node.quarantined.contains(77));
  }
}

// An engine restarts under full load and bears two requests again. The sum over
// all nodes falls back before it is up.
TEST(Fleet, RestartedEngineIsColdForAllNodes) {
  world_.StopEndpoint("e1");
  world_.Run(4s);
  world_.StartEndpoint("e1");
  world_.Run(500ms);
  CHECK(world_.SlotsOf("e1") <= 2);
  world_.Run(25s);
  CHECK(world_.SlotsOf("e1") > 8);
  CHECK_EQUAL(2U, world_.endpoints.at("e1").most_cold);
}

// Two models on engines that hold one each: every engine is told to load one,
// and no model loses its last warm copy.
TEST(Fleet, EnginesAreToldToLoadTheirModels) {
  world_.Run(5min);
  CHECK(world_.orders.size() >= 3U);
  for (const auto& order : world_.orders) {
    CHECK(order.kind == ef::OrderKind::kLoad);
  }
}
