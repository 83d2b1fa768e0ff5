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
  demand.tight = true;
  return demand;
}

}  // namespace

TEST_GROUP(Sides) {
  ek::Random random{11};
  std::vector<er::SplitDemandMeter> meters{kNodes};
  std::vector<er::FleetDemand> agreed{kNodes};
  er::Time now = kStart;

  static er::Placement At(std::uint32_t slots, double uncached) {
    er::Placement placement;
    placement.endpoint = std::make_shared<er::Endpoint>();
    placement.endpoint->entry.slots = slots;
    placement.uncached_tokens = uncached;
    return placement;
  }

  void ChoosePlacement(er::SplitDemandMeter & meter, const er::Demand& demand,
                       const er::Placement& placement) const {
    er::OnRequestPlaced(meter, demand, placement, now);
  }

  // Requests of so many a second in all, each at a node drawn at random.
  void Arrive(const er::Demand& demand, double per_second,
              std::chrono::milliseconds step) {
    const double uncached = demand.prompt_tokens - er::SharedTokens(demand);
    const er::Placement placement = At(24, uncached);
    double due = per_second * std::chrono::duration<double>(step).count();
    while (due > 0 && (due >= 1 || ek::RandomFraction(random) < due)) {
      ChoosePlacement(meters[ek::RandomBelow(random, kNodes)], demand,
                      placement);
      due -= 1;
    }
  }

  // Plays the load, with an exchange of each node with a random peer every
  // 200 ms.
  void Play(std::chrono::milliseconds time, double tight, double rest,
            bool exchange = true) {
    for (const er::Time end = now + time; now < end; now += 10ms) {
      Arrive(TightStream(), tight, 10ms);
      Arrive(LongPrompt(), rest, 10ms);
      if ((now - kStart) % 200ms != 0ms) continue;
      for (std::size_t i = 0; i < kNodes; ++i) {
        er::FollowMeasuredDemand(agreed[i], meters[i], now);
        if (!exchange) continue;
        const std::size_t peer = ek::RandomBelow(random, kNodes);
        const er::SideDemand told = agreed[i].mean;
        er::MergePeerDemand(agreed[i], agreed[peer].mean);
        er::MergePeerDemand(agreed[peer], told);
      }
    }
  }

  std::vector<double> Parts() const {
    std::vector<double> parts;
    for (const er::FleetDemand& one : agreed) {
      parts.push_back(er::TightFraction(one.mean));
    }
    std::sort(parts.begin(), parts.end());
    return parts;
  }
  double Spread() const {
    const auto parts = Parts();
    return parts[kNodes * 9 / 10] - parts[kNodes / 10];
  }
  double Middle() const { return Parts()[kNodes / 2]; }
};

// Each of many nodes sees one or two requests a second of either kind. Going by
// these alone, nodes would draw the boundary at quite different engines, and
// those between would get both kinds.
TEST(Sides, NodesAgreeOnTheBoundary) {
  Play(8s, 117, 145);
  CHECK(Spread() < 0.06);  // Five engines of ninety.
  const double with = Spread();
  agreed.assign(kNodes, {});
  meters.assign(kNodes, {});
  Play(8s, 117, 145, false);
  CHECK(Spread() > 3 * with);
}

// Parents ask at twice the rate for some seconds. Engines kept for others by
// then would leave their questions waiting.
TEST(Sides, TheBoundaryFollowsABurst) {
  Play(8s, 117, 145);
  const double calm = Middle();
  Play(5s, 280, 145);
  const double burst = Middle();
  CHECK(burst > calm + 0.1);
  Play(6s, 117, 330);
  CHECK(Middle() < calm - 0.05);
}

TEST(Sides, ANodeThatStartsTakesWhatItsPeersAgreedOn) {
  Play(8s, 117, 145);
  er::FleetDemand fresh;
  er::MergePeerDemand(fresh, agreed.front().mean);
  DOUBLES_EQUAL(er::TightFraction(agreed.front().mean),
                er::TightFraction(fresh.mean), 0.001);
}

// It has seen no request by the time of its own next exchange. Pulled to that
// at once, it would send long prompts to a quarter of the engines that the
// others keep for tight streams.
TEST(Sides, ANodeThatStartsKeepsWhatItTookUntilItHasMeasured) {
  Play(8s, 117, 145);
  const double part = er::TightFraction(agreed.front().mean);
  er::FleetDemand fresh;
  er::MergePeerDemand(fresh, agreed.front().mean);
  const er::SplitDemandMeter idle;
  er::FollowMeasuredDemand(fresh, idle, now);
  er::FollowMeasuredDemand(fresh, idle, now + 200ms);
  DOUBLES_EQUAL(part, er::TightFraction(fresh.mean), 0.001);
  CHECK(fresh.mean.tight > agreed.front().mean.tight / 2);
}

// A node that knows nothing yet would pull the others' figure to nothing.
TEST(Sides, ANodeThatKnowsNothingChangesNoFigure) {
  er::FleetDemand known;
  er::MergePeerDemand(known, {4, 8});
  er::MergePeerDemand(known, {});
  DOUBLES_EQUAL(4, known.mean.tight, 0);
}

TEST(Sides, EachKindFindsRoomBeforeItsDemandIsKnown) {
  DOUBLES_EQUAL(er::kTightPartUnknown, er::TightFraction({}), 0);
  DOUBLES_EQUAL(er::kTightPartLeast, er::TightFraction({0, 10}), 0);
  DOUBLES_EQUAL(er::kTightPartMost, er::TightFraction({10, 0}), 0);
}

// An engine of 128 slots runs a stream beside many others, and its part of the
// engine is small. Counted as on an engine of 24, streams would be given half
// of the engines while long prompts wait at the other half.
TEST(Sides, AStreamTakesASmallerPartOfAnEngineWithMoreSlots) {
  er::SplitDemandMeter small;
  er::SplitDemandMeter large;
  ChoosePlacement(small, TightStream(), At(24, 600));
  ChoosePlacement(large, TightStream(), At(128, 600));
  CHECK(large.demand.tight > 0);
  CHECK(large.demand.tight < small.demand.tight / 2);
}

// Engines of 24 and of 128 slots serve one service. Each counts with what a
// request takes of it, wherever the node sends.
TEST(Sides, EnginesOfDifferentSizesAddUp) {
  er::SplitDemandMeter small;
  er::SplitDemandMeter large;
  er::SplitDemandMeter both;
  ChoosePlacement(small, TightStream(), At(24, 600));
  ChoosePlacement(large, TightStream(), At(128, 600));
  ChoosePlacement(both, TightStream(), At(24, 600));
  ChoosePlacement(both, TightStream(), At(128, 600));
  DOUBLES_EQUAL(small.demand.tight + large.demand.tight, both.demand.tight,
                0.0001);
}

// Engines lose what long prompts share, and read it anew. The prompts then take
// most of the engines' time; counted as if all were held, they would be given
// too few engines, and lose more.
TEST(Sides, SharedPartsThatAreReadAnewCountAsDemand) {
  er::SplitDemandMeter held;
  er::SplitDemandMeter anew;
  ChoosePlacement(held, LongPrompt(), At(24, 6600));
  ChoosePlacement(anew, LongPrompt(), At(24, 11'600));
  CHECK(anew.demand.rest > held.demand.rest);
}

// A service gets many short prompts that may pause, another one plain requests.
// Both go to all engines and need none of their own.
TEST(Sides, RequestsOfNeitherSideAreNoDemand) {
  er::Demand brief = TightStream();
  brief.tight = false;
  const er::Demand plain;
  er::SplitDemandMeter meter;
  for (int i = 0; i < 1000; ++i) {
    ChoosePlacement(meter, brief, At(24, 600));
    ChoosePlacement(meter, plain, At(6, 0));
  }
  DOUBLES_EQUAL(0, meter.demand.tight, 0);
  DOUBLES_EQUAL(0, meter.demand.rest, 0);
  ChoosePlacement(meter, LongPrompt(), At(24, 6600));
  const er::SideDemand before = meter.demand;
  ChoosePlacement(meter, brief, At(24, 600));
  DOUBLES_EQUAL(before.rest, meter.demand.rest, 0);
}

TEST(Sides, ShortRequestsThatMayPauseGoToBoth) {
  er::Endpoint endpoint;
  endpoint.order = 0.1;
  er::Demand demand = TightStream();
  demand.tight = false;
  CHECK(er::IsOnItsSide(endpoint, demand, 0.3));
  endpoint.order = 0.9;
  CHECK(er::IsOnItsSide(endpoint, demand, 0.3));
  CHECK_FALSE(er::IsOnItsSide(endpoint, TightStream(), 0.3));
  CHECK(er::IsOnItsSide(endpoint, LongPrompt(), 0.3));
}
