// A store that takes requests and never answers.
#include <CppUTest/TestHarness.h>

#include "harness.h"

namespace ep = egretladder::proxy;
namespace et = egretladder::proxy::test;

TEST_GROUP(SilentStore) { et::TestEnvironment env; };

// The store's machine lost its power: connections stand, and nothing answers. A
// node that starts meanwhile says that it isn't ready, and reads everything
// once the store is back.
TEST(SilentStore, AtTheStartTheNodeWaitsUntilItIsBack) {
  env.AddEndpoint("e1", et::AnswerImmediately());
  env.Publish();
  env.store.SetSilent(true);
  ep::Proxy& proxy = env.StartNode(env.MakeOptions("n1"));
  env.WaitUntil([this] { return env.store.unanswered() == 2; });
  CHECK_FALSE(ep::ViewOf(proxy).ready_now);
  STRCMP_EQUAL("503 no",
               env.SendAndDescribe(proxy, {.path = "/once/a"}).c_str());
  env.store.SetSilent(false);
  env.WaitUntilReady(proxy, 1);
  STRCMP_EQUAL("200", env.SendAndDescribe(proxy, {.path = "/once/b"}).c_str());
}

// Guards against a watch that is lost in the silence and hides the store's
// return.
TEST(SilentStore, ACallAfterALostOneWaitsBriefly) {
  env.AddEndpoint("e1", et::AnswerImmediately());
  env.StartReadyNode();
  env.RunLoopFor(std::chrono::milliseconds(50));
  env.store.SetSilent(true);
  env.WaitUntil([this] { return env.store.unanswered() > 0; });
  CHECK(env.store.last_wait() <= std::chrono::milliseconds(500));
}

// The store falls silent under the watches of a node. What it knew stays in
// force, and it has what changed meanwhile once the store is back: a node that
// waited for the old watches would never hear of it.
TEST(SilentStore, LaterTheNodeServesAndCatchesUp) {
  env.AddEndpoint("e1", et::AnswerImmediately());
  ep::Proxy& proxy = env.StartReadyNode();
  env.RunLoopFor(std::chrono::milliseconds(50));
  env.store.SetSilent(true);
  env.Publish();
  env.AddEndpoint("e2", et::AnswerImmediately());
  STRCMP_EQUAL("200", env.SendAndDescribe(proxy, {.path = "/once/a"}).c_str());
  LONGS_EQUAL(1, ep::ViewOf(proxy).endpoints);
  CHECK(ep::ViewOf(proxy).ready_now);
  env.store.SetSilent(false);
  env.WaitUntilRulesApplied(proxy);
  env.WaitUntilReady(proxy, 2);
}
