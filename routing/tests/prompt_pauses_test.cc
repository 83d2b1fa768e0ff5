#include "egretladder/routing/prompt_pauses.h"

#include <CppUTest/TestHarness.h>

#include <cmath>
#include <limits>

#include "egretladder/kernel/hash.h"

using namespace std::chrono_literals;
namespace er = egretladder::routing;
namespace ek = egretladder::kernel;

namespace {

constexpr double kUndisturbedMs = 30;
constexpr double kBesidePromptMs = 160;

}  // namespace

TEST_GROUP(PromptPauses) {
  er::PauseEstimate estimate;
  er::EnginePace engine{kUndisturbedMs};
  er::ServicePace service{kUndisturbedMs, {}};
  ek::Random random{3};

  // Adds intervals of which `disturbed` are those beside a long prompt.
  void AddIntervals(int count, double disturbed) {
    for (int i = 0; i < count; ++i) {
      const double ms = ek::RandomFraction(random) < disturbed ? kBesidePromptMs
                                                               : kUndisturbedMs;
      er::OnIntervalBesidePrompts(
          estimate, engine, service,
          std::chrono::duration<double, std::milli>(ms));
    }
  }
};

TEST(PromptPauses, FrequentPausesRaiseTheEstimate) {
  AddIntervals(2000, 0.1);
  CHECK(estimate.ms > 0.8 * kBesidePromptMs);
  CHECK(er::PausesTooLong(estimate, service, 100ms));
  CHECK_FALSE(er::PausesTooLong(estimate, service, 300ms));
}

TEST(PromptPauses, RarePausesDoNotRaiseTheEstimate) {
  AddIntervals(5000, 0.002);
  CHECK(estimate.ms < 2 * kUndisturbedMs);
}

// Guards against an estimate that stays high after the prompts are gone, or
// follows a burst too late. A node sees some tens of intervals a second.
TEST(PromptPauses, TheEstimateFollowsABurstAndItsEnd) {
  AddIntervals(1000, 0);
  AddIntervals(200, 0.3);
  CHECK(estimate.ms > 0.7 * kBesidePromptMs);
  AddIntervals(1500, 0);
  CHECK(estimate.ms < 2 * kUndisturbedMs);
}

// Guards against splitting the engines because a part of them turned slow,
// which delays all of their streams.
TEST(PromptPauses, IntervalsAtSlowEnginesDoNotCount) {
  AddIntervals(500, 0);
  const double before = estimate.ms;
  engine.unloaded_event_ms = 5 * kUndisturbedMs;
  AddIntervals(500, 1);
  DOUBLES_EQUAL(before, estimate.ms, 0);
}

TEST(PromptPauses, AnEstimateIsAdoptedFromAPeerAndThenAveraged) {
  er::MergePeerPauses(estimate, 0);
  DOUBLES_EQUAL(0, estimate.ms, 0);
  er::MergePeerPauses(estimate, 200);
  DOUBLES_EQUAL(200, estimate.ms, 0);
  er::MergePeerPauses(estimate, 100);
  DOUBLES_EQUAL(150, estimate.ms, 0);
}

// Guards against a peer or a clock whose value spoils the estimate of all
// nodes.
TEST(PromptPauses, ImplausibleValuesAreIgnored) {
  estimate.ms = 120;
  const double infinity = std::numeric_limits<double>::infinity();
  for (const double ms : {-1.0, 0.0, 1e9, infinity, std::nan("")}) {
    er::MergePeerPauses(estimate, ms);
    er::OnIntervalBesidePrompts(estimate, engine, service,
                                std::chrono::duration<double, std::milli>(ms));
  }
  DOUBLES_EQUAL(120, estimate.ms, 0);
}

// Guards against engines that are reserved for a promise which no engine can
// keep, or for streams without one.
TEST(PromptPauses, APromiseThatNoEngineKeepsNeedsNoSplit) {
  estimate.ms = 120;
  CHECK(er::PausesTooLong(estimate, service, 100ms));
  CHECK_FALSE(er::PausesTooLong(estimate, service, 20ms));
  CHECK_FALSE(er::PausesTooLong(estimate, service, 0ms));
  CHECK_FALSE(er::PausesTooLong(estimate, service, -100ms));
  CHECK_FALSE(er::PausesTooLong(estimate, service, 1'000'000'000ms));
}

TEST(PromptPauses, NothingIsTooLongBeforeAnIntervalWasSeen) {
  CHECK_FALSE(er::PausesTooLong(estimate, {}, 1ms));
}
