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
    el::Result Sound(std::string_view scheduler, const el::Workload& load,
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
el::Result Baseline(const el::Workload& load) { return Sound("least", load); }
}
;

// A broker sends ten times what the fleet bears for half a minute. In order of
// arrival its checks stand before the buyers' questions, and aircraft wait.
TEST(Loads, BrokerBurstLeavesBuyersAlone) {
  const el::Result calm = Sound("ladder", el::Ordinary());
  const el::Result ladder = Sound("ladder", el::BrokerBurst());
  const el::Result least = Baseline(el::BrokerBurst());
  const el::Result fifo = Sound("fifo", el::BrokerBurst());
  CHECK_TRUE(el::Attainment(ladder, 0) >= el::Attainment(calm, 0) - 0.01);
  CHECK_TRUE(el::Attainment(least, 0) < 0.5);
  CHECK_TRUE(el::Attainment(fifo, 0) < 0.5);
  CHECK_TRUE(least.tier_inversions > 0);
  const el::ClassResult& checks = ladder.classes[2];
  CHECK_TRUE(checks.refusal_waits.count() / checks.refused < 2);
}

// Parents look for free places after practice, three times what the fleet
// bears. Served in order of arrival, most answers come when no one waits.
TEST(Loads, NightBurstKeepsGoodput) {
  const el::Workload load = el::NightBurst();
  const el::Result ladder = Sound("ladder", load);
  const el::Result least = Baseline(load);
  CHECK_TRUE(el::Attainment(ladder, 0) >= 0.99);
  CHECK_TRUE(el::Goodput(ladder, load) > 1.1 * el::Goodput(least, load));
}

// Two accounts send nine in ten requests. Without fair turns the shops wait
// behind them and get their quotes too late.
TEST(Loads, FewAccountsDoNotTakeTheOthersPlaces) {
  const el::Result ladder = Sound("ladder", el::TwoAccountsDominate());
  const el::Result least = Baseline(el::TwoAccountsDominate());
  CHECK_TRUE(el::JainIndex(ladder, 1) > 0.98);
  CHECK_TRUE(el::JainIndex(least, 1) < 0.7);
}

// Many prompts share long records. Computed anew each time, they cost the
// first second of every answer.
TEST(Loads, SharedPrefixesGoWhereTheyAreCached) {
  ep::Limits off;
  off.affinity_load = 0;
  const el::Result with = Sound("ladder", el::SharedPrefixes());
  const el::Result without = Sound("ladder", el::SharedPrefixes(), off);
  CHECK_TRUE(el::MeanTimeToFirstToken(with, 0) <
             0.8 * el::MeanTimeToFirstToken(without, 0));
}

// One endpoint answers five times slower and reports health. Buyers who are
// sent there get late answers.
TEST(Loads, SlowEndpointIsAvoidedFromOwnAnswers) {
  const el::Result ladder = Sound("ladder", el::OneSlowEndpoint());
  const el::Result least = Baseline(el::OneSlowEndpoint());
  CHECK_TRUE(ladder.to_slow < least.to_slow / 2);
  CHECK_TRUE(el::Attainment(ladder, 0) > el::Attainment(least, 0));
}

// Two answers in a hundred are twenty times longer. Estimates by mean service
// time alone refuse or keep the wrong ones.
TEST(Loads, LongWorkAmongShort) {
  const el::Result ladder = Sound("ladder", el::LongTailedAnswers());
  const el::Result least = Baseline(el::LongTailedAnswers());
  CHECK_TRUE(el::Attainment(ladder, 0) >= 0.99);
  CHECK_TRUE(el::Attainment(least, 0) < 0.6);
}

// Buyers alone bring one and a half times what the fleet bears for an hour.
// Strict order never serves the rest; the trickle serves every class within its
// bound and takes no more than its share.
TEST(Loads, SaturatedHourServesEveryClassWithinTheBound) {
  const el::Workload load = el::SaturatedHour();
  const ep::Limits limits;
  const el::Result ladder = Sound("ladder", load);
  const std::uint32_t slots = load.fleet.endpoints * load.fleet.max_in_flight;
  const ep::Seconds bound = ep::TrickleBound(3, slots, ladder.longest_trickle,
                                             ep::Seconds(3), limits);
  for (std::uint32_t cls = 1; cls < 4; ++cls) {
    CHECK_TRUE(ladder.classes[cls].in_time > 0);
    CHECK_TRUE(ladder.classes[cls].longest_unserved <= bound);
  }
  const double share = ladder.trickle_slot_seconds / (slots * 3600.0);
  CHECK_TRUE(share <= limits.aging_share * 1.05);
  CHECK_TRUE(el::Attainment(ladder, 0) > 0.64);  // 0.667 is all there is.
  const el::Result strict = Sound("strict", load);
  CHECK_TRUE(strict.classes[3].longest_unserved > bound);
}

// Every engine starts cold under the ordinary load. Given their full slots,
// they drop work.
TEST(Loads, WholeFleetColdAtOnce) {
  const el::Result ladder = Sound("ladder", el::AllCold());
  const el::Result least = Baseline(el::AllCold());
  CHECK_TRUE(el::Attainment(ladder, 0) > el::Attainment(least, 0) + 0.05);
}

// Operators take a zone out for half a minute and bring it back cold.
TEST(Loads, ZoneOutAndBack) {
  const el::Result ladder = Sound("ladder", el::ZoneOutAndBack());
  const el::Result least = Baseline(el::ZoneOutAndBack());
  CHECK_TRUE(el::Attainment(ladder, 0) >= 0.99);
  CHECK_TRUE(el::Attainment(least, 0) < 0.97);
  for (std::size_t second = 41; second < 70; ++second) {
    CHECK_EQUAL(0U, ladder.first_wave[second]);
  }
  CHECK_TRUE(ladder.first_wave[110] > 0);
}

// Engines die one after the other with what runs on them.
TEST(Loads, DyingEnginesCostLittle) {
  const el::Result ladder = Sound("ladder", el::EnginesCrash());
  CHECK_TRUE(el::Attainment(ladder, 0) >= 0.99);
  CHECK_TRUE(ladder.wasted_slot_seconds > 0);
}

// One body crashes each engine that runs it, and its caller sends it again. Two
// engines are lost before it is known; those that ran beside it go on.
TEST(Loads, PoisonIsHeldAndInnocentsAreNot) {
  for (std::uint64_t seed = 14; seed < 20; ++seed) {
    el::Workload load = el::PoisonSentAgain();
    load.seed = seed;
    const el::Result ladder = Sound("ladder", load);
    CHECK_TRUE(ladder.poison_deaths >= 2);
    CHECK_TRUE(ladder.poison_deaths <= 4);
    CHECK_TRUE(el::Attainment(ladder, 0) >= 0.97);
  }
}

// Long summaries hold every slot of a small fleet when a buyer asks.
TEST(Loads, ABatchLeavesASlotForBuyers) {
  const el::Result ladder = Sound("ladder", el::BatchOnFewSlots());
  const el::Result least = Baseline(el::BatchOnFewSlots());
  CHECK_TRUE(el::Attainment(ladder, 0) > 0.9);
  CHECK_TRUE(el::Attainment(least, 0) < 0.3);
}

// Twice the load must not bring less than the load that the fleet bears, and
// callers who get nothing must not wait long to hear so.
TEST(Loads, GoodputHoldsAtTwiceTheLoad) {
  const el::Workload once = el::AtCapacity(1);
  const el::Workload twice = el::AtCapacity(2);
  const double at_capacity = el::Goodput(Sound("ladder", once), once);
  const el::Result result = Sound("ladder", twice);
  CHECK_TRUE(el::Goodput(result, twice) >= 0.95 * at_capacity);
  const el::ClassResult& checks = result.classes[2];
  CHECK_TRUE(checks.refusal_waits.count() / checks.refused < 3);
}
