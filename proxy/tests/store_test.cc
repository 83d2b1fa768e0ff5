// A store that accepts requests and never answers.
#include <CppUTest/TestHarness.h>

#include "harness.h"

namespace ep = egretladder::proxy;
namespace et = egretladder::proxy::test;

TEST_GROUP(SilentStore) { et::TestEnvironment env; };

// The store's machine loses its power: connections stay open, and nothing
// answers. A node that starts meanwhile reports that it isn't ready, and reads
// all data once the store is back.
TEST(SilentStore, StartingNodeWaitsForStore) {
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

// Guards against a long watch that the silent store has lost and that delays
// noticing the store's return.
TEST(SilentStore, WatchAfterLostCallIsShort) {
  env.AddEndpoint("e1", et::AnswerImmediately());
  env.StartReadyNode();
  env.RunLoopFor(std::chrono::milliseconds(50));
  env.store.SetSilent(true);
  env.WaitUntil([this] { return env.store.unanswered() > 0; });
  CHECK(env.store.last_wait() <= std::chrono::milliseconds(500));
}

// The store falls silent during the watches of a running node. The node's data
// stays in force, and it gets the changes made meanwhile once the store is
// back. A node that waited for the old watches would never get them.
TEST(SilentStore, RunningNodeServesAndCatchesUp) {
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

// Guards against requests to an endpoint that leaves, where the answers to all
// watches were lost at one moment and no peer has news.
TEST(SilentStore, ALostAnswerIsNoticedBeforeALeavingEndpointMustBe) {
  // The store counts as stable 3 s after the loss. An endpoint that leaves then
  // must get nothing 2 s later.
  constexpr std::chrono::milliseconds kBound{3000 + 2000};
  env.AddEndpoint("e1", et::AnswerImmediately());
  ep::Proxy& proxy = env.StartReadyNode();
  env.RunLoopFor(std::chrono::milliseconds(50));
  env.store.SetSilent(true);
  env.AddEndpoint("e2", et::AnswerImmediately());
  env.store.SetSilent(false);
  env.RunLoopFor(kBound);
  LONGS_EQUAL(2, ep::ViewOf(proxy).endpoints);
}
