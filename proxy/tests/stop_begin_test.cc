// The platform stops the process.
#include <CppUTest/TestHarness.h>

#include "harness.h"

using namespace std::chrono_literals;
namespace ep = egretladder::proxy;
namespace et = egretladder::proxy::test;

TEST_GROUP(StopBegin) {
  et::World world;

  // Callers that kept the node's address have let it go by then.
  void UntilMayEnd(const ep::Proxy& proxy) {
    world.MoveClock(3300ms);
    world.Until([&proxy] { return ep::CanShutDown(proxy); });
  }
};

// The process is stopped right after its start, before it has read any rules.
// Requests that reach it are told that nothing ran, and it may end as any
// other.
TEST(StopBegin, BeforeTheRulesAreKnownRefusesAndEnds) {
  world.store.SetSilent(true);
  ep::Proxy& proxy = world.Start(world.OptionsOf("n1"));
  ep::Leave(proxy);
  STRCMP_EQUAL("503 no", world.AskFor(proxy, {.path = "/once/a"}).c_str());
  world.Turn(50ms);
  STRCMP_EQUAL("503 no", world.AskFor(proxy, {.path = "/read/a"}).c_str());
  CHECK_FALSE(ep::ViewOf(proxy).ready_now);
  UntilMayEnd(proxy);
}

// The rules come only after the stop began. A node that leaves must not call
// itself ready because of them.
TEST(StopBegin, RulesThatComeLaterMakeNoLeavingNodeReady) {
  world.AddEndpoint("e1", et::AnswersDone());
  ep::Proxy& proxy = world.Start(world.OptionsOf("n1"));
  ep::Leave(proxy);
  world.Publish();
  world.UntilRules(proxy);
  world.Until([&proxy] { return ep::ViewOf(proxy).endpoints == 1; });
  CHECK_FALSE(ep::ViewOf(proxy).ready_now);
  UntilMayEnd(proxy);
}

// The store is away or silent when the process is stopped, and it can't hear of
// anything any more. What it knows serves the requests in progress and those
// that still come.
TEST(StopBegin, DuringAnOutageOfTheStoreServesWhatItHas) {
  for (const bool silent : {false, true}) {
    et::World outage;
    et::Endpoint& endpoint = outage.AddEndpoint("e1", et::AnswersLater());
    ep::Proxy& proxy = outage.StartReady();
    et::Wire& begun = outage.Send(proxy, {.path = "/once/a", .id = "begun"});
    outage.Until([&endpoint] { return endpoint.seen().size() == 1; });
    silent ? outage.store.SetSilent(true) : outage.store.SetAway(true);
    outage.Turn(100ms);
    ep::Leave(proxy);
    et::Wire& late =
        outage.Send(proxy, {.path = "/once/b", .id = "late", .wait_ms = 2000});
    outage.Until([&endpoint] { return endpoint.seen().size() == 2; });
    for (const et::Served& served : endpoint.seen()) {
      served.Answer(200, "done");
    }
    outage.Until(
        [&] { return !et::Told(begun).empty() && !et::Told(late).empty(); });
    STRCMP_EQUAL("200", et::Told(begun).c_str());
    STRCMP_EQUAL("200", et::Told(late).c_str());
    begun.Close();
    late.Close();
    outage.MoveClock(3300ms);
    outage.Until([&proxy] { return ep::CanShutDown(proxy); });
  }
}

// The node is told a second time that it is to stop. What is in progress is not
// cut, and the node may end when it is done.
TEST(StopBegin, ASecondTimeCutsNothing) {
  et::Endpoint& endpoint = world.AddEndpoint("e1", et::AnswersLater());
  ep::Proxy& proxy = world.StartReady();
  et::Wire& caller = world.Send(proxy, {.path = "/once/a"});
  world.Until([&endpoint] { return endpoint.seen().size() == 1; });
  ep::Leave(proxy);
  world.Turn(20ms);
  ep::Leave(proxy);
  CHECK_FALSE(ep::CanShutDown(proxy));
  endpoint.seen()[0].Answer(200, "done");
  world.Until([&caller] { return !et::Told(caller).empty(); });
  STRCMP_EQUAL("200", et::Told(caller).c_str());
  caller.Close();
  UntilMayEnd(proxy);
}

// The program tells the node a second time that it is to stop, when half of the
// grace is over, and a request never ends. The platform kills the process when
// the grace is over since the first time: counted from the second, the node
// would be killed with its requests.
TEST(StopBegin, ASecondTimeDoesNotPutOffTheEnd) {
  et::Endpoint& endpoint = world.AddEndpoint("e1", et::AnswersLater());
  ep::Proxy& proxy = world.StartReady();
  world.Send(proxy, {.path = "/once/a", .wait_ms = 20'000});
  world.Until([&endpoint] { return endpoint.seen().size() == 1; });
  ep::Leave(proxy);
  world.MoveClock(world.OptionsOf("n1").grace / 2);
  world.Turn(20ms);
  ep::Leave(proxy);
  world.MoveClock(world.OptionsOf("n1").grace / 2 - 100ms);
  world.Turn(100ms);
  CHECK(ep::CanShutDown(proxy));
}
