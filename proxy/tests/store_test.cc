// A store that takes requests and never answers.
#include <CppUTest/TestHarness.h>

#include "harness.h"

namespace ep = egretladder::proxy;
namespace et = egretladder::proxy::test;

TEST_GROUP(SilentStore) { et::World world; };

// The store's machine lost its power: connections stand, and nothing answers. A
// node that starts meanwhile says that it isn't ready, and reads everything
// once the store is back.
TEST(SilentStore, AtTheStartTheNodeWaitsUntilItIsBack) {
  world.AddEndpoint("e1", et::AnswersDone());
  world.Publish();
  world.store.SetSilent(true);
  ep::Proxy& proxy = world.Start(world.OptionsOf("n1"));
  world.Until([this] { return world.store.unanswered() == 2; });
  CHECK_FALSE(ep::ViewOf(proxy).ready_now);
  STRCMP_EQUAL("503 no", world.AskFor(proxy, {.path = "/once/a"}).c_str());
  world.store.SetSilent(false);
  world.UntilKnown(proxy, 1);
  STRCMP_EQUAL("200", world.AskFor(proxy, {.path = "/once/b"}).c_str());
}

// Guards against a watch that is lost in the silence and hides the store's
// return.
TEST(SilentStore, ACallAfterALostOneWaitsBriefly) {
  world.AddEndpoint("e1", et::AnswersDone());
  world.StartReady();
  world.Turn(std::chrono::milliseconds(50));
  world.store.SetSilent(true);
  world.Until([this] { return world.store.unanswered() > 0; });
  CHECK(world.store.last_wait() <= std::chrono::milliseconds(500));
}

// The store falls silent under the watches of a node. What it knew stays in
// force, and it has what changed meanwhile once the store is back: a node that
// waited for the old watches would never hear of it.
TEST(SilentStore, LaterTheNodeServesAndCatchesUp) {
  world.AddEndpoint("e1", et::AnswersDone());
  ep::Proxy& proxy = world.StartReady();
  world.Turn(std::chrono::milliseconds(50));
  world.store.SetSilent(true);
  world.Publish();
  world.AddEndpoint("e2", et::AnswersDone());
  STRCMP_EQUAL("200", world.AskFor(proxy, {.path = "/once/a"}).c_str());
  LONGS_EQUAL(1, ep::ViewOf(proxy).endpoints);
  CHECK(ep::ViewOf(proxy).ready_now);
  world.store.SetSilent(false);
  world.UntilRules(proxy);
  world.UntilKnown(proxy, 2);
}
