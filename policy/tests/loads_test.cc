#include <CppUTest/TestHarness.h>

#include <string_view>

#include "egretladder/policy/aging_quota.h"
#include "load_loads.h"

using namespace std::chrono_literals;
namespace ep = egretladder::policy;
namespace el = egretladder::policy::load;

TEST_GROUP(Loads){
    // No run of any scheduler may break a rule; the ladder never puts a lower
    // tier before a higher one but for the trickle, and wastes little.
    el::Result RunAndCheck(std::string_view scheduler, const el::Workload& load,
                           const ep::Limits& limits = {}){
        const el::Result result = el::RunSimulation(scheduler, load, limits);
STRCMP_EQUAL("", result.first_violation.c_str());
CHECK_EQUAL(0U, result.violations);
if (scheduler == "ladder") {
  CHECK_EQUAL(0U, result.tier_inversions);
  CHECK_TRUE(el::WastedRatio(result) < 0.02);
}
return result;
}
// A check that can fail: the baselines do break the order of tiers.
el::Result RunBaseline(const el::Workload& load) {
  return RunAndCheck("least", load);
}
}
;

// A broker sends ten times what the fleet bears for half a minute. In order of
// arrival its checks stand before the buyers' questions, and aircraft wait.
TEST(Loads, BurstOfALowerTierDoesNotDelayTheTopTier) {
  const el::Result without_burst = RunAndCheck("ladder", el::OrdinaryLoad());
  const el::Result ladder = RunAndCheck("ladder", el::BrokerBurst());
  const el::Result least = RunBaseline(el::BrokerBurst());
  const el::Result fifo = RunAndCheck("fifo", el::BrokerBurst());
  CHECK_TRUE(el::Attainment(ladder, 0) >=
             el::Attainment(without_burst, 0) - 0.01);
  CHECK_TRUE(el::Attainment(least, 0) < 0.5);
  CHECK_TRUE(el::Attainment(fifo, 0) < 0.5);
  CHECK_TRUE(least.tier_inversions > 0);
  const el::ClassResult& checks = ladder.classes[2];
  CHECK_TRUE(checks.refusal_waits.count() / checks.refused < 2);
}

// Parents look for free places after practice, three times what the fleet
// bears. Served in order of arrival, most answers come when no one waits.
TEST(Loads, BurstOverCapacityKeepsGoodput) {
  const el::Workload load = el::NightBurst();
  const el::Result ladder = RunAndCheck("ladder", load);
  const el::Result least = RunBaseline(load);
  CHECK_TRUE(el::Attainment(ladder, 0) >= 0.99);
  CHECK_TRUE(el::Goodput(ladder, load) > 1.1 * el::Goodput(least, load));
}

// Two accounts send nine in ten requests. Without fair turns the shops wait
// behind them and get their quotes too late.
TEST(Loads, DominantAccountsDoNotStarveOthers) {
  const el::Result ladder = RunAndCheck("ladder", el::TwoAccountsDominate());
  const el::Result least = RunBaseline(el::TwoAccountsDominate());
  CHECK_TRUE(el::JainIndex(ladder, 1) > 0.98);
  CHECK_TRUE(el::JainIndex(least, 1) < 0.7);
}

// Many prompts share long records. Computed anew each time, they cost the
// first second of every answer.
TEST(Loads, SharedPrefixesGoWhereTheyAreCached) {
  ep::Limits off;
  off.affinity_load = 0;
  const el::Result with_affinity = RunAndCheck("ladder", el::SharedPrefixes());
  const el::Result without_affinity =
      RunAndCheck("ladder", el::SharedPrefixes(), off);
  CHECK_TRUE(el::MeanTimeToFirstToken(with_affinity, 0) <
             0.8 * el::MeanTimeToFirstToken(without_affinity, 0));
}

// One endpoint answers five times slower and reports health. Buyers who are
// sent there get late answers.
TEST(Loads, SlowEndpointIsDetectedFromAnswers) {
  const el::Result ladder = RunAndCheck("ladder", el::OneSlowEndpoint());
  const el::Result least = RunBaseline(el::OneSlowEndpoint());
  CHECK_TRUE(ladder.starts_at_slow_engines < least.starts_at_slow_engines / 2);
  CHECK_TRUE(el::Attainment(ladder, 0) > el::Attainment(least, 0));
}

// Two answers in a hundred are twenty times longer. Estimates by mean service
// time alone refuse or keep the wrong ones.
TEST(Loads, LongTailedServiceTimes) {
  const el::Result ladder = RunAndCheck("ladder", el::LongTailedAnswers());
  const el::Result least = RunBaseline(el::LongTailedAnswers());
  CHECK_TRUE(el::Attainment(ladder, 0) >= 0.99);
  CHECK_TRUE(el::Attainment(least, 0) < 0.6);
}

// Buyers alone bring one and a half times what the fleet bears for an hour.
// Strict order never serves the rest; the trickle serves every class within its
// bound and takes no more than its share.
TEST(Loads, SaturatedTopTierDoesNotStarveLowerTiers) {
  const el::Workload load = el::SaturatedHour();
  const ep::Limits limits;
  const el::Result ladder = RunAndCheck("ladder", load);
  const std::uint32_t slots = load.fleet.endpoints * load.fleet.max_in_flight;
  const ep::Seconds max_starvation = ep::MaxStarvationTime(
      3, slots, ladder.longest_aged_attempt, ep::Seconds(3), limits);
  for (std::uint32_t cls = 1; cls < 4; ++cls) {
    CHECK_TRUE(ladder.classes[cls].in_time > 0);
    CHECK_TRUE(ladder.classes[cls].longest_unserved <= max_starvation);
  }
  const double share = ladder.aged_slot_seconds / (slots * 3600.0);
  CHECK_TRUE(share <= limits.aging_share * 1.05);
  CHECK_TRUE(el::Attainment(ladder, 0) > 0.64);  // 0.667 is all there is.
  const el::Result strict = RunAndCheck("strict", load);
  CHECK_TRUE(strict.classes[3].longest_unserved > max_starvation);
}

// Every engine starts cold under the ordinary load. Given their full slots,
// they drop work.
TEST(Loads, WholeFleetStartsCold) {
  const el::Result ladder = RunAndCheck("ladder", el::AllCold());
  const el::Result least = RunBaseline(el::AllCold());
  CHECK_TRUE(el::Attainment(ladder, 0) > el::Attainment(least, 0) + 0.05);
}

// Operators take a zone out for half a minute and bring it back cold.
TEST(Loads, ZoneOutAndBack) {
  const el::Result ladder = RunAndCheck("ladder", el::ZoneOutAndBack());
  const el::Result least = RunBaseline(el::ZoneOutAndBack());
  CHECK_TRUE(el::Attainment(ladder, 0) >= 0.99);
  CHECK_TRUE(el::Attainment(least, 0) < 0.97);
  for (std::size_t second = 41; second < 70; ++second) {
    CHECK_EQUAL(0U, ladder.zone_starts_by_second[second]);
  }
  CHECK_TRUE(ladder.zone_starts_by_second[110] > 0);
}

// Engines die one after the other with what runs on them.
TEST(Loads, CrashingEnginesCostLittle) {
  const el::Result ladder = RunAndCheck("ladder", el::EnginesCrash());
  CHECK_TRUE(el::Attainment(ladder, 0) >= 0.99);
  CHECK_TRUE(ladder.wasted_slot_seconds > 0);
}

// One body crashes each engine that runs it, and its caller sends it again. Two
// engines are lost before it is known; those that ran beside it go on.
TEST(Loads, PoisonIsQuarantinedAndInnocentBodiesAreNot) {
  for (std::uint64_t seed = 14; seed < 20; ++seed) {
    el::Workload load = el::PoisonSentAgain();
    load.seed = seed;
    const el::Result ladder = RunAndCheck("ladder", load);
    CHECK_TRUE(ladder.poison_deaths >= 2);
    CHECK_TRUE(ladder.poison_deaths <= 4);
    CHECK_TRUE(el::Attainment(ladder, 0) >= 0.97);
  }
}

// Long summaries hold every slot of a small fleet when a buyer asks.
TEST(Loads, BatchLeavesASlotForTheTopTier) {
  const el::Result ladder = RunAndCheck("ladder", el::BatchOnFewSlots());
  const el::Result least = RunBaseline(el::BatchOnFewSlots());
  CHECK_TRUE(el::Attainment(ladder, 0) > 0.9);
  CHECK_TRUE(el::Attainment(least, 0) < 0.3);
}

// Twice the load must not bring less than the load that the fleet bears, and
// callers who get nothing must not wait long to hear so.
TEST(Loads, GoodputHoldsAtTwiceTheLoad) {
  const el::Workload at_capacity_load = el::AtCapacity(1);
  const el::Workload double_load = el::AtCapacity(2);
  const double goodput_at_capacity =
      el::Goodput(RunAndCheck("ladder", at_capacity_load), at_capacity_load);
  const el::Result result = RunAndCheck("ladder", double_load);
  CHECK_TRUE(el::Goodput(result, double_load) >= 0.95 * goodput_at_capacity);
  const el::ClassResult& checks = result.classes[2];
  CHECK_TRUE(checks.refusal_waits.count() / checks.refused < 3);
}
