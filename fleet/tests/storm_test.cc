#include <CppUTest/TestHarness.h>

#include <array>
#include <chrono>
#include <map>
#include <string>
#include <vector>

#include "egretladder/kernel/hash.h"
#include "wire_fixture.h"

using namespace std::chrono_literals;
namespace ef = egretladder::fleet;
namespace ek = egretladder::kernel;
using ef::testing::FakeNode;
using ef::testing::FakeRules;
using ef::testing::World;
using ef::testing::ZoneOf;

namespace {

/// Faults of every kind at random moments, together and twice over.
class Storm {
 public:
  explicit Storm(std::uint64_t seed) : world_(seed, rules_) {
    world_.faults.drop = 0.15 * ek::RandomFraction(world_.random);
    world_.faults.twice = 0.1;
    world_.faults.delay_most =
        std::chrono::milliseconds(1 + ek::RandomBelow(world_.random, 300));
    world_.call_most =
        std::chrono::milliseconds(500 + ek::RandomBelow(world_.random, 20'000));
    for (auto& [name, node] : world_.nodes) {
      node.clock_rate = 0.95 + 0.1 * ek::RandomFraction(world_.random);
    }
    world_.StartAll();
  }

  World& world() { return world_; }

  void Blow(std::chrono::milliseconds span) {
    const auto until = world_.now + span;
    while (world_.now < until) {
      world_.Run(std::chrono::milliseconds(100 + Draw(1500)));
      StrikeNode();
      if (Draw(3) == 0) StrikeWire();
      if (Draw(3) == 0) StrikePlatform();
      if (Draw(4) == 0) StrikeEndpoint();
    }
  }

  /// Ends all faults and waits.
  void Calm(std::chrono::milliseconds span) {
    world_.Heal();
    world_.platform_down = false;
    world_.stale_version = 0;
    world_.faults = {};
    world_.vms.clear();
    for (auto& [name, node] : world_.nodes) {
      node.platform_cut = false;
      node.paused_until = {};
      if (!node.up) world_.StartNode(name);
    }
    for (auto& [name, endpoint] : world_.endpoints) {
      if (!endpoint.up) world_.StartEndpoint(name);
    }
    world_.Run(span);
  }

  std::uint64_t version() const { return rules_.version; }

 private:
  std::uint64_t Draw(std::uint64_t bound) {
    return ek::RandomBelow(world_.random, bound);
  }
  std::string AnyNode() { return "n" + std::to_string(Draw(7)); }

  void StrikeNode() {
    const std::string name = AnyNode();
    FakeNode& node = world_.nodes[name];
    switch (Draw(6)) {
      case 0:
        if (node.up) world_.Crash(name);
        break;
      case 1:
      case 2:
        if (!node.up) world_.StartNode(name, Draw(2) == 0);
        break;
      case 3:
        world_.Pause(name, std::chrono::milliseconds(100 + Draw(12'000)));
        break;
      case 4:
        if (node.up && Draw(3) == 0) world_.LeaveNode(name);
        break;
      default:
        break;
    }
  }

  void StrikeWire() {
    switch (Draw(4)) {
      case 0:
        world_.CutOff({AnyNode(), AnyNode(), AnyNode()});
        break;
      case 1:
        world_.CutOneWay(AnyNode(), AnyNode());
        break;
      default:
        world_.Heal();
    }
  }

  void StrikePlatform() {
    switch (Draw(6)) {
      case 0:
        world_.platform_down = !world_.platform_down;
        break;
      case 1:
        world_.stale_version = Draw(2) == 0 ? 0 : 1 + Draw(rules_.version);
        break;
      case 2:
        world_.nodes[AnyNode()].platform_cut = Draw(2) == 0;
        break;
      case 3:
        world_.vms = {{"e" + std::to_string(Draw(4)), Draw(2) == 0}};
        break;
      default:
        PublishNext();
    }
  }

  void PublishNext() {
    ++rules_.version;
    rules_.zones_out.clear();
    rules_.leaving.clear();
    if (Draw(2) == 0) {
      rules_.zones_out.insert(ZoneOf(static_cast<std::uint32_t>(Draw(3))));
    }
    if (Draw(3) == 0) rules_.leaving.insert("e" + std::to_string(Draw(4)));
    world_.Publish(rules_);
  }

  /// An engine is down for as long as it loads its weights.
  void StrikeEndpoint() {
    const std::string name = "e" + std::to_string(Draw(4));
    auto& endpoint = world_.endpoints[name];
    if (endpoint.up) {
      world_.StopEndpoint(name);
      down_since_[name] = world_.now;
    } else if (world_.now - down_since_[name] >= 4s) {
      world_.StartEndpoint(name);
    }
  }

  FakeRules rules_;
  World world_;
  std::map<std::string, ek::Time> down_since_;
};

/// What went wrong under `seed`, in words; empty: nothing.
std::string FaultOf(std::uint64_t seed) {
  Storm storm(seed);
  storm.Blow(40s);
  storm.Calm(12s);
  const World& world = storm.world();
  if (!world.broken.empty()) return world.broken[0];
  if (!world.AllHave(storm.version())) return "a node has an old version";
  return "";
}

/// Runs the seeds and prints those that fail.
void CheckSeeds(std::uint64_t first, std::uint64_t last) {
  std::string faults;
  for (std::uint64_t seed = first; seed <= last; ++seed) {
    const std::string fault = FaultOf(seed);
    if (!fault.empty()) {
      faults += "seed " + std::to_string(seed) + ": " + fault + "\n";
    }
  }
  STRCMP_EQUAL("", faults.c_str());
}

}  // namespace

TEST_GROUP(Storm){};

// Nodes crash, stand still, leave and return; the network is cut in two or one
// way; the platform is down, old, or gone for some; endpoints restart cold
// under full load; any of them together. No user may find work beyond what a
// just-started endpoint bears, or an older version in force again.
TEST(Storm, HundredsOfSeedsKeepWhatMustHold) { CheckSeeds(1, 100); }

// Seeds that failed once. 5, 31 and 24: a new keeper took calls of nodes it had
// not heard for room. 90: an ask left out a call begun in the same step. 91,
// 135: a keeper that lost its mandate for a moment forgot what it had leased.
// 489: a restart wiped out calls that had begun on the new boot.
TEST(Storm, SeedsThatFailedOnce) {
  for (const std::uint64_t seed : {5, 24, 31, 90, 91, 135, 259, 489, 860}) {
    CheckSeeds(seed, seed);
  }
}
