#include "egretladder/routing/engine_split.h"

#include <CppUTest/TestHarness.h>

#include <algorithm>
#include <vector>

#include "egretladder/kernel/hash.h"

using namespace std::chrono_literals;
namespace er = egretladder::routing;
namespace ek = egretladder::kernel;

namespace {

constexpr er::Time kStart{std::chrono::hours(1)};
constexpr std::size_t kNodes = 78;
// Beside long prompts, streams pause for longer than they promise.
constexpr er::PauseEstimate kLongPauses{240};

er::Demand LongPrompt() {
  er::Demand demand;
  demand.parts = {{1, 5000}, {2, 6600}};
  demand.prompt_tokens = 11'600;
  demand.expected_stream_ms = 3000;
  return demand;
}

er::Demand TightStream() {
  er::Demand demand;
  demand.parts = {{3, 200}, {4, 600}};
  demand.prompt_tokens = 800;
  demand.expected_stream_ms = 1300;
  demand.gap_target = 150ms;
  return demand;
}

}  // namespace

TEST_GROUP(EngineSplit) {
  ek::Random random{11};
  std::vector<er::SplitDemandMeter> meters{kNodes};
  std::vector<er::FleetDemand> demands{kNodes};
  er::Time now = kStart;

  static er::Placement PlacementAt(std::uint32_t slots, double uncached) {
    er::Placement placement;
    placement.endpoint = std::make_shared<er::Endpoint>();
    placement.endpoint->entry.slots = slots;
    placement.uncached_tokens = uncached;
    return placement;
  }

  void AddToMeter(er::SplitDemandMeter & meter, const er::Demand& demand,
                  const er::Placement& placement) const {
    er::OnRequestPlaced(meter, demand, placement, kLongPauses, now);
  }

  // Adds the requests of one time step, each at a random node.
  void AddArrivals(const er::Demand& demand, double per_second,
                   std::chrono::milliseconds step) {
    const double uncached = demand.prompt_tokens - er::SharedTokens(demand);
    const er::Placement placement = PlacementAt(24, uncached);
    double expected = per_second * std::chrono::duration<double>(step).count();
    while (expected > 0 &&
           (expected >= 1 || ek::RandomFraction(random) < expected)) {
      AddToMeter(meters[ek::RandomBelow(random, kNodes)], demand, placement);
      expected -= 1;
    }
  }

  // Simulates `tight` tight streams and `rest` long prompts a second. Every 200
  // ms each node exchanges its value with a random peer.
  void Simulate(std::chrono::milliseconds time, double tight, double rest,
                bool exchange = true) {
    for (const er::Time end = now + time; now < end; now += 10ms) {
      AddArrivals(TightStream(), tight, 10ms);
      AddArrivals(LongPrompt(), rest, 10ms);
      if ((now - kStart) % 200ms != 0ms) continue;
      for (std::size_t i = 0; i < kNodes; ++i) {
        er::FollowMeasuredDemand(demands[i], meters[i], now);
        if (!exchange) continue;
        const std::size_t peer = ek::RandomBelow(random, kNodes);
        const er::SplitDemand own_mean = demands[i].mean;
        er::MergePeerDemand(demands[i], demands[peer].mean);
        er::MergePeerDemand(demands[peer], own_mean);
      }
    }
  }

  std::vector<double> SortedTightFractions() const {
    std::vector<double> fractions;
    for (const er::FleetDemand& demand : demands) {
      fractions.push_back(er::TightFraction(demand.mean));
    }
    std::sort(fractions.begin(), fractions.end());
    return fractions;
  }
  double Spread() const {
    const auto fractions = SortedTightFractions();
    return fractions[kNodes * 9 / 10] - fractions[kNodes / 10];
  }
  double MedianFraction() const { return SortedTightFractions()[kNodes / 2]; }
};

// Guards against nodes that split the engines at different places. Each of many
// nodes sees only one or two requests a second of either kind. If each node
// used its own measurement, the engines between the boundaries would get both
// kinds.
TEST(EngineSplit, NodesAgreeOnTheBoundary) {
  Simulate(8s, 117, 145);
  CHECK(Spread() < 0.06);  // Five of ninety engines.
  const double with_exchange = Spread();
  demands.assign(kNodes, {});
  meters.assign(kNodes, {});
  Simulate(8s, 117, 145, false);
  CHECK(Spread() > 3 * with_exchange);
}

// Guards against tight streams that wait during a burst of some seconds because
// the boundary stays where it was before.
TEST(EngineSplit, TheBoundaryFollowsABurst) {
  Simulate(8s, 117, 145);
  const double calm = MedianFraction();
  Simulate(5s, 280, 145);
  const double burst = MedianFraction();
  CHECK(burst > calm + 0.1);
  Simulate(6s, 117, 330);
  CHECK(MedianFraction() < calm - 0.05);
}

TEST(EngineSplit, ANewNodeAdoptsTheDemandOfItsPeers) {
  Simulate(8s, 117, 145);
  er::FleetDemand new_node;
  er::MergePeerDemand(new_node, demands.front().mean);
  DOUBLES_EQUAL(er::TightFraction(demands.front().mean),
                er::TightFraction(new_node.mean), 0.001);
}

// Guards against a new node that follows its own measurement at once, before it
// has seen a request. It would send long prompts to a quarter of the engines
// that the other nodes keep for tight streams.
TEST(EngineSplit, ANewNodeKeepsTheAdoptedDemandUntilItHasMeasured) {
  Simulate(8s, 117, 145);
  const double fraction = er::TightFraction(demands.front().mean);
  er::FleetDemand new_node;
  er::MergePeerDemand(new_node, demands.front().mean);
  const er::SplitDemandMeter idle;
  er::FollowMeasuredDemand(new_node, idle, now);
  er::FollowMeasuredDemand(new_node, idle, now + 200ms);
  DOUBLES_EQUAL(fraction, er::TightFraction(new_node.mean), 0.001);
  CHECK(new_node.mean.tight > demands.front().mean.tight / 2);
}

// Guards against a node without a value that draws the value of its peers
// towards 0.
TEST(EngineSplit, ANodeWithoutAValueDoesNotChangeThatOfItsPeers) {
  er::FleetDemand known;
  er::MergePeerDemand(known, {4, 8});
  er::MergePeerDemand(known, {});
  DOUBLES_EQUAL(4, known.mean.tight, 0);
}

TEST(EngineSplit, EachKindHasEnginesBeforeItsDemandIsKnown) {
  DOUBLES_EQUAL(er::kDefaultTightFraction, er::TightFraction({}), 0);
  DOUBLES_EQUAL(er::kMinTightFraction, er::TightFraction({0, 10}), 0);
  DOUBLES_EQUAL(er::kMaxTightFraction, er::TightFraction({10, 0}), 0);
}

// Guards against counting a stream on an engine of 128 slots like one on an
// engine of 24 slots. Streams would get half of the engines, while long prompts
// wait at the other half.
TEST(EngineSplit, AStreamCountsLessAtAnEngineWithMoreSlots) {
  er::SplitDemandMeter small;
  er::SplitDemandMeter large;
  AddToMeter(small, TightStream(), PlacementAt(24, 600));
  AddToMeter(large, TightStream(), PlacementAt(128, 600));
  CHECK(large.demand.tight > 0);
  CHECK(large.demand.tight < small.demand.tight / 2);
}

// Engines of 24 and of 128 slots serve one service. A request counts with the
// part that it uses of the engine to which it is sent.
TEST(EngineSplit, DemandAtEnginesOfDifferentSizesAddsUp) {
  er::SplitDemandMeter small;
  er::SplitDemandMeter large;
  er::SplitDemandMeter both;
  AddToMeter(small, TightStream(), PlacementAt(24, 600));
  AddToMeter(large, TightStream(), PlacementAt(128, 600));
  AddToMeter(both, TightStream(), PlacementAt(24, 600));
  AddToMeter(both, TightStream(), PlacementAt(128, 600));
  DOUBLES_EQUAL(small.demand.tight + large.demand.tight, both.demand.tight,
                0.0001);
}

// Guards against giving long prompts too few engines when their shared parts
// drop out of the prefix caches. Prefilling them again takes most of the
// engines' time, and with too few engines even more parts would be lost.
TEST(EngineSplit, SharedPartsThatArePrefilledAgainCountAsDemand) {
  er::SplitDemandMeter cached;
  er::SplitDemandMeter uncached;
  AddToMeter(cached, LongPrompt(), PlacementAt(24, 6600));
  AddToMeter(uncached, LongPrompt(), PlacementAt(24, 11'600));
  CHECK(uncached.demand.rest > cached.demand.rest);
}

// Guards against reserving engines for short prompts that may pause or for
// requests that aren't generations. Both use all engines.
TEST(EngineSplit, RequestsOfNeitherKindAreNoDemand) {
  er::Demand short_request = TightStream();
  short_request.gap_target = {};
  const er::Demand plain_request;
  er::SplitDemandMeter meter;
  for (int i = 0; i < 1000; ++i) {
    AddToMeter(meter, short_request, PlacementAt(24, 600));
    AddToMeter(meter, plain_request, PlacementAt(6, 0));
  }
  DOUBLES_EQUAL(0, meter.demand.tight, 0);
  DOUBLES_EQUAL(0, meter.demand.rest, 0);
  AddToMeter(meter, LongPrompt(), PlacementAt(24, 6600));
  const er::SplitDemand before = meter.demand;
  AddToMeter(meter, short_request, PlacementAt(24, 600));
  DOUBLES_EQUAL(before.rest, meter.demand.rest, 0);
}

// Guards against a split that is too small when it begins: streams whose
// promise is a little longer than the pauses count before they need it.
TEST(EngineSplit, StreamsThatAreNearlyLateAreDemand) {
  er::Demand stream = TightStream();
  stream.gap_target = 300ms;
  er::SplitDemandMeter meter;
  AddToMeter(meter, stream, PlacementAt(24, 600));
  CHECK(meter.demand.tight > 0);
  stream.gap_target = 2000ms;
  meter = {};
  AddToMeter(meter, stream, PlacementAt(24, 600));
  DOUBLES_EQUAL(0, meter.demand.tight, 0);
}

TEST_GROUP(EngineSplitState) {
  er::EndpointSet set;
  er::Service engines{.name = "engines"};
  er::FleetDemand fleet;
  std::vector<er::EndpointPtr> endpoints;

  void setup() override {
    fleet = {{10, 30}, true, kStart};
    set.pauses = kLongPauses;
    for (int i = 0; i < 40; ++i) {
      endpoints.push_back(std::make_shared<er::Endpoint>());
      endpoints.back()->hash_position = i / 40.0;
    }
  }
  er::Demand Stream(std::chrono::milliseconds gap_target) const {
    er::Demand demand = TightStream();
    demand.service = &engines;
    demand.gap_target = gap_target;
    return demand;
  }
  er::Demand Prompt() const {
    er::Demand demand = LongPrompt();
    demand.service = &engines;
    return demand;
  }
  std::size_t CountUsable(const er::Demand& demand) const {
    std::vector<er::EndpointPtr> usable = endpoints;
    er::KeepDemandSide(set, demand, usable);
    return usable.size();
  }
};

// Guards against long prompts that are kept off engines which nobody needs for
// himself: all streams are in time beside them.
TEST(EngineSplitState, EnginesAreNotSplitWithoutAStreamThatNeedsIt) {
  er::UpdateSplit(set, fleet, kStart);
  DOUBLES_EQUAL(0, set.tight_fraction, 0);
  LONGS_EQUAL(40, CountUsable(Prompt()));
  LONGS_EQUAL(40, CountUsable(Stream(150ms)));
}

TEST(EngineSplitState, TheSplitLastsWhileStreamsNeedIt) {
  set.last_delayed_stream_at = kStart;
  er::UpdateSplit(set, fleet, kStart + er::kSplitRetention - 1ms);
  CHECK(set.tight_fraction > 0.2);
  LONGS_EQUAL(40, CountUsable(Prompt()) + CountUsable(Stream(150ms)));
  er::UpdateSplit(set, fleet, kStart + er::kSplitRetention);
  DOUBLES_EQUAL(0, set.tight_fraction, 0);
}

TEST(EngineSplitState, StreamsThatMayPauseUseAllEngines) {
  set.last_delayed_stream_at = kStart;
  er::UpdateSplit(set, fleet, kStart);
  LONGS_EQUAL(40, CountUsable(Stream(800ms)));
  LONGS_EQUAL(40, CountUsable(Stream(0ms)));
  CHECK(CountUsable(Stream(150ms)) < 40);
}

TEST(EngineSplitState, EachKindKeepsToItsSide) {
  set.tight_fraction = 0.3;
  std::vector<er::EndpointPtr> usable = endpoints;
  er::KeepDemandSide(set, Stream(150ms), usable);
  for (const auto& endpoint : usable) CHECK(endpoint->hash_position < 0.3);
  usable = endpoints;
  er::KeepDemandSide(set, Prompt(), usable);
  for (const auto& endpoint : usable) CHECK(endpoint->hash_position >= 0.3);
  LONGS_EQUAL(28, usable.size());
}

// Guards against a long prompt with a short promise that is sent to the engines
// which are kept free of long prompts.
TEST(EngineSplitState, ALongPromptNeverAvoidsLongPrompts) {
  er::Demand prompt = Prompt();
  prompt.gap_target = 150ms;
  CHECK_FALSE(er::AvoidsLongPrompts(set, prompt));
  CHECK(er::AvoidsLongPrompts(set, Stream(150ms)));
}

TEST(EngineSplitState, AMixOfOneKindHasEngines) {
  set.last_delayed_stream_at = kStart;
  fleet.mean = {10, 0};
  er::UpdateSplit(set, fleet, kStart);
  CHECK(CountUsable(Stream(150ms)) >= 20);
  CHECK(CountUsable(Prompt()) > 0);
  fleet.mean = {0, 10};
  er::UpdateSplit(set, fleet, kStart);
  CHECK(CountUsable(Stream(150ms)) > 0);
  CHECK(CountUsable(Prompt()) >= 20);
}
