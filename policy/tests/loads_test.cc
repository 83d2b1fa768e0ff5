#include <CppUTest/TestHarness.h>

#include <string_view>

#include "egretladder/policy/aging_quota.h"
#include "load_loads.h"

using namespace std::chrono_literals;
namespace ep = egretladder::policy;
namespace el = egretladder::policy::load;

TEST_GROUP(Loads){
    // No scheduler may violate an invariant. In addition, the ladder never
    // serves a lower tier before a higher one, except within the aging quota,
    // and wastes little slot time.
    el::Result RunAndCheck(std::string_view scheduler,
                           const el::Workload& workload,
                           const ep::Limits& limits = {}){
        const el::Result result = el::RunSimulation(scheduler, workload,
                                                    limits);
STRCMP_EQUAL("", result.first_violation.c_str());
CHECK_EQUAL(0U, result.violations);
if (scheduler == "ladder") {
  CHECK_EQUAL(0U, result.tier_inversions);
  CHECK_TRUE(el::WastedRatio(result) < 0.02);
}
return result;
}
// Runs a baseline, which does violate the order of tiers. This shows that the
// check can fail.
el::Result RunBaseline(const el::Workload& workload) {
  return RunAndCheck("least", workload);
}
}
;

// One account sends ten times the capacity in a lower tier for half a minute.
// In order of arrival these requests would delay those of the top tier.
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

// A burst of three times the capacity. Served in order of arrival, most answers
// would come after their deadline.
TEST(Loads, BurstOverCapacityKeepsGoodput) {
  const el::Workload workload = el::NightBurst();
  const el::Result ladder = RunAndCheck("ladder", workload);
  const el::Result least = RunBaseline(workload);
  CHECK_TRUE(el::Attainment(ladder, 0) >= 0.99);
  CHECK_TRUE(el::Goodput(ladder, workload) >
             1.1 * el::Goodput(least, workload));
}

// Two accounts send nine in ten requests. Without fair sharing the requests of
// the other accounts wait behind them and are late.
TEST(Loads, DominantAccountsDoNotStarveOthers) {
  const el::Result ladder = RunAndCheck("ladder", el::TwoAccountsDominate());
  const el::Result least = RunBaseline(el::TwoAccountsDominate());
  CHECK_TRUE(el::JainIndex(ladder, 1) > 0.98);
  CHECK_TRUE(el::JainIndex(least, 1) < 0.7);
}

// Many prompts share long prefixes. Without prefix affinity they are computed
// anew each time, which takes the first second of every answer.
TEST(Loads, SharedPrefixesGoWhereTheyAreCached) {
  ep::Limits off;
  off.affinity_load = 0;
  const el::Result with_affinity = RunAndCheck("ladder", el::SharedPrefixes());
  const el::Result without_affinity =
      RunAndCheck("ladder", el::SharedPrefixes(), off);
  CHECK_TRUE(el::MeanTimeToFirstToken(with_affinity, 0) <
             0.8 * el::MeanTimeToFirstToken(without_affinity, 0));
}

// One endpoint answers five times slower but reports itself healthy. Requests
// that are sent there are late.
TEST(Loads, SlowEndpointIsDetectedFromAnswers) {
  const el::Result ladder = RunAndCheck("ladder", el::OneSlowEndpoint());
  const el::Result least = RunBaseline(el::OneSlowEndpoint());
  CHECK_TRUE(ladder.starts_at_slow_engines < least.starts_at_slow_engines / 2);
  CHECK_TRUE(el::Attainment(ladder, 0) > el::Attainment(least, 0));
}

// Two answers in a hundred are twenty times longer. Estimates by the mean of
// completed answers alone refuse or admit the wrong requests.
TEST(Loads, LongTailedServiceTimes) {
  const el::Result ladder = RunAndCheck("ladder", el::LongTailedAnswers());
  const el::Result least = RunBaseline(el::LongTailedAnswers());
  CHECK_TRUE(el::Attainment(ladder, 0) >= 0.99);
  CHECK_TRUE(el::Attainment(least, 0) < 0.6);
}

// The top tier alone brings one and a half times the capacity for an hour. With
// strict priority lower tiers are never served. The aging quota must serve
// every class within the bound of MaxStarvationTime and take no more than its
// share.
TEST(Loads, SaturatedTopTierDoesNotStarveLowerTiers) {
  const el::Workload workload = el::SaturatedHour();
  const ep::Limits limits;
  const el::Result ladder = RunAndCheck("ladder", workload);
  const std::uint32_t slots =
      workload.fleet.endpoints * workload.fleet.max_in_flight;
  const ep::Seconds max_starvation = ep::MaxStarvationTime(
      3, slots, ladder.longest_aged_attempt, ep::Seconds(3), limits);
  for (std::uint32_t cls = 1; cls < 4; ++cls) {
    CHECK_TRUE(ladder.classes[cls].in_time > 0);
    CHECK_TRUE(ladder.classes[cls].longest_unserved <= max_starvation);
  }
  const double share = ladder.aged_slot_seconds / (slots * 3600.0);
  CHECK_TRUE(share <= limits.aging_share * 1.05);
  CHECK_TRUE(el::Attainment(ladder, 0) > 0.64);  // At most 1 / 1.5.
  const el::Result strict = RunAndCheck("strict", workload);
  CHECK_TRUE(strict.classes[3].longest_unserved > max_starvation);
}

// Every engine starts cold under the ordinary workload. With all their slots at
// once they would drop requests.
TEST(Loads, WholeFleetStartsCold) {
  const el::Result ladder = RunAndCheck("ladder", el::AllCold());
  const el::Result least = RunBaseline(el::AllCold());
  CHECK_TRUE(el::Attainment(ladder, 0) > el::Attainment(least, 0) + 0.05);
}

// A zone is taken out for half a minute and returns with cold caches. It must
// get no request while it is out, and get requests again after its return.
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

// Engines crash one after the other with the attempts on them, which must be
// retried elsewhere in time.
TEST(Loads, CrashingEnginesCostLittle) {
  const el::Result ladder = RunAndCheck("ladder", el::EnginesCrash());
  CHECK_TRUE(el::Attainment(ladder, 0) >= 0.99);
  CHECK_TRUE(ladder.wasted_slot_seconds > 0);
}

// One body crashes each engine that runs it and is sent many times. It must be
// identified after two to four crashes, and the bodies that ran beside it must
// not be quarantined.
TEST(Loads, PoisonIsQuarantinedAndInnocentBodiesAreNot) {
  for (std::uint64_t seed = 14; seed < 20; ++seed) {
    el::Workload workload = el::PoisonSentAgain();
    workload.seed = seed;
    const el::Result ladder = RunAndCheck("ladder", workload);
    CHECK_TRUE(ladder.poison_deaths >= 2);
    CHECK_TRUE(ladder.poison_deaths <= 4);
    CHECK_TRUE(el::Attainment(ladder, 0) >= 0.97);
  }
}

// A batch of long requests would hold every slot of a small fleet when a
// request of the top tier arrives.
TEST(Loads, BatchLeavesASlotForTheTopTier) {
  const el::Result ladder = RunAndCheck("ladder", el::BatchOnFewSlots());
  const el::Result least = RunBaseline(el::BatchOnFewSlots());
  CHECK_TRUE(el::Attainment(ladder, 0) > 0.9);
  CHECK_TRUE(el::Attainment(least, 0) < 0.3);
}

// At twice the capacity the goodput must not drop below the goodput at
// capacity, and refused callers must not wait long for the refusal.
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
