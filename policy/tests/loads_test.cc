#include <CppUTest/TestHarness.h>

#include <string_view>

#include "load_loads.h"

using namespace std::chrono_literals;
namespace el = egretladder::policy::load;

TEST_GROUP(Loads){
    // No run of any scheduler may break a rule; the ladder never puts a lower
    // tier before a higher one but for the trickle.
    el::Result Sound(std::string_view scheduler, const el::Load& load){
        const el::Result result = el::Play(scheduler, load);
STRCMP_EQUAL("", result.first_broken.c_str());
CHECK_EQUAL(0U, result.broken);
if (scheduler == "ladder") CHECK_EQUAL(0U, result.tier_inversions);
return result;
}
}
;

// A broker sends ten times what the fleet bears for half a minute. In order of
// arrival its checks stand before the buyers' questions, and aircraft wait.
TEST(Loads, BrokerBurstLeavesBuyersAlone) {
  const el::Result calm = Sound("ladder", el::Ordinary());
  const el::Result ladder = Sound("ladder", el::BrokerBurst());
  const el::Result fifo = Sound("fifo", el::BrokerBurst());
  CHECK_TRUE(el::Attainment(ladder, 0) >= el::Attainment(calm, 0) - 0.01);
  CHECK_TRUE(el::Attainment(fifo, 0) < 0.5);
  CHECK_TRUE(el::Wasted(ladder) < 0.02);
}

// Parents look for free places after practice, three times what the fleet
// bears. Served in order of arrival, most answers come when no one waits.
TEST(Loads, NightBurstKeepsGoodput) {
  const el::Result ladder = Sound("ladder", el::NightBurst());
  const el::Result fifo = Sound("fifo", el::NightBurst());
  CHECK_TRUE(el::Attainment(ladder, 0) >= 0.99);
  CHECK_TRUE(el::Goodput(ladder, el::NightBurst()) >
             1.1 * el::Goodput(fifo, el::NightBurst()));
}
