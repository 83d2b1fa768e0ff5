// Requests that arrive before the node knows the rules.
#include <CppUTest/TestHarness.h>

#include "harness.h"

using namespace std::chrono_literals;
namespace ep = egretladder::proxy;
namespace et = egretladder::proxy::test;

TEST_GROUP(RequestsWithoutRules) {
  et::TestEnvironment env;

  // Starts a node while the store can't be read.
  ep::Proxy& StartNodeWithoutRules() {
    env.Publish();
    env.store.SetUnavailable(true);
    return env.StartNode(env.MakeOptions("n1"));
  }
};

// Guards against rejecting the callers that come in the last moments before the
// store answers again.
TEST(RequestsWithoutRules, AreServedOnceTheRulesAreKnown) {
  env.AddEndpoint("e1", et::AnswerImmediately());
  ep::Proxy& proxy = StartNodeWithoutRules();
  et::TestConnection& caller =
      env.SendRequest(proxy, {.path = "/once/a", .timeout_ms = 60'000});
  env.RunLoopFor(100ms);
  STRCMP_EQUAL("", et::DescribeAnswer(caller).c_str());
  env.store.SetUnavailable(false);
  env.WaitUntil([&caller] { return !et::DescribeAnswer(caller).empty(); });
  STRCMP_EQUAL("200", et::DescribeAnswer(caller).c_str());
}

// Guards against holding a request that this node has little hope to serve.
TEST(RequestsWithoutRules, AreRejectedAsNotRunAfterAPartOfTheirDeadline) {
  et::FakeEndpoint& endpoint = env.AddEndpoint("e1", et::AnswerImmediately());
  ep::Proxy& proxy = StartNodeWithoutRules();
  et::TestConnection& caller =
      env.SendRequest(proxy, {.path = "/once/a", .timeout_ms = 1600});
  env.RunLoopFor(400ms);
  STRCMP_EQUAL("503 no", et::DescribeAnswer(caller).c_str());
  CHECK(caller.received().find("Retry-After") != std::string::npos);
  env.store.SetUnavailable(false);
  env.WaitUntilReady(proxy, 1);
  env.RunLoopFor(50ms);
  LONGS_EQUAL(0, endpoint.requests().size());
}

// Guards against work for a caller that has disconnected.
TEST(RequestsWithoutRules, AreForgottenIfTheCallerDisconnects) {
  et::FakeEndpoint& endpoint = env.AddEndpoint("e1", et::AnswerImmediately());
  ep::Proxy& proxy = StartNodeWithoutRules();
  et::TestConnection& caller =
      env.SendRequest(proxy, {.path = "/once/a", .timeout_ms = 60'000});
  env.RunLoopFor(50ms);
  caller.Close();
  env.RunLoopFor(50ms);
  env.store.SetUnavailable(false);
  env.WaitUntilReady(proxy, 1);
  env.RunLoopFor(50ms);
  LONGS_EQUAL(0, endpoint.requests().size());
}

// Guards against a wait that extends the deadline: the caller is gone when its
// answer comes.
TEST(RequestsWithoutRules, CountTheirDeadlineFromTheirArrival) {
  env.AddEndpoint("e1", et::LeaveUnanswered());
  ep::Proxy& proxy = StartNodeWithoutRules();
  et::TestConnection& caller =
      env.SendRequest(proxy, {.path = "/once/a", .timeout_ms = 15'000});
  env.RunLoopFor(50ms);
  env.AdvanceClock(14s);
  env.store.SetUnavailable(false);
  env.WaitUntil([&proxy] { return ep::ViewOf(proxy).calls == 1; });
  env.RunLoopFor(1500ms);
  STRCMP_EQUAL("504 unknown", et::DescribeAnswer(caller).c_str());
}

// Guards against a graceful stop that cuts them.
TEST(RequestsWithoutRules, AreRejectedAtOnceByALeavingNode) {
  ep::Proxy& proxy = StartNodeWithoutRules();
  et::TestConnection& caller =
      env.SendRequest(proxy, {.path = "/once/a", .timeout_ms = 60'000});
  env.RunLoopFor(50ms);
  ep::Leave(proxy);
  env.RunLoopFor(50ms);
  STRCMP_EQUAL("503 no", et::DescribeAnswer(caller).c_str());
  STRCMP_EQUAL("503 no",
               env.SendAndDescribe(proxy, {.path = "/once/b"}).c_str());
}

// Guards against a node that runs out of memory while the store is away.
TEST(RequestsWithoutRules, AreRejectedBeyondTheMemoryForBodies) {
  env.Publish();
  env.store.SetUnavailable(true);
  ep::ProxyOptions options = env.MakeOptions("n1");
  options.memory_bytes = std::size_t{1} << 20U;
  ep::Proxy& proxy = env.StartNode(options);
  const std::string body(200U << 10U, 'x');
  env.SendRequest(proxy,
                  {.path = "/once/a", .body = body, .timeout_ms = 60'000});
  env.RunLoopFor(50ms);
  STRCMP_EQUAL("503 no", env.SendAndDescribe(proxy, {.path = "/once/b",
                                                     .body = body,
                                                     .timeout_ms = 60'000})
                             .c_str());
}
