// The platform stops the process.
#include <CppUTest/TestHarness.h>

#include "harness.h"

using namespace std::chrono_literals;
namespace ep = egretladder::proxy;
namespace et = egretladder::proxy::test;

TEST_GROUP(StopBegin) {
  et::TestEnvironment env;

  // Callers that kept the node's address have let it go by then.
  void UntilMayEnd(const ep::Proxy& proxy) {
    env.AdvanceClock(3300ms);
    env.WaitUntil([&proxy] { return ep::CanShutDown(proxy); });
  }
};

// The process is stopped right after its start, before it has read any rules.
// Requests that reach it are told that nothing ran, and it may end as any
// other.
TEST(StopBegin, BeforeTheRulesAreKnownRefusesAndEnds) {
  env.store.SetSilent(true);
  ep::Proxy& proxy = env.StartNode(env.MakeOptions("n1"));
  ep::Leave(proxy);
  STRCMP_EQUAL("503 no",
               env.SendAndDescribe(proxy, {.path = "/once/a"}).c_str());
  env.RunLoopFor(50ms);
  STRCMP_EQUAL("503 no",
               env.SendAndDescribe(proxy, {.path = "/read/a"}).c_str());
  CHECK_FALSE(ep::ViewOf(proxy).ready_now);
  UntilMayEnd(proxy);
}

// The rules come only after the stop began. A node that leaves must not call
// itself ready because of them.
TEST(StopBegin, RulesThatComeLaterMakeNoLeavingNodeReady) {
  env.AddEndpoint("e1", et::AnswerImmediately());
  ep::Proxy& proxy = env.StartNode(env.MakeOptions("n1"));
  ep::Leave(proxy);
  env.Publish();
  env.WaitUntilRulesApplied(proxy);
  env.WaitUntil([&proxy] { return ep::ViewOf(proxy).endpoints == 1; });
  CHECK_FALSE(ep::ViewOf(proxy).ready_now);
  UntilMayEnd(proxy);
}

// The store is away or silent when the process is stopped, and it can't hear of
// anything any more. What it knows serves the requests in progress and those
// that still come.
TEST(StopBegin, DuringAnOutageOfTheStoreServesWhatItHas) {
  for (const bool silent : {false, true}) {
    et::TestEnvironment local_env;
    et::FakeEndpoint& endpoint =
        local_env.AddEndpoint("e1", et::LeaveUnanswered());
    ep::Proxy& proxy = local_env.StartReadyNode();
    et::TestConnection& begun =
        local_env.SendRequest(proxy, {.path = "/once/a", .id = "begun"});
    local_env.WaitUntil(
        [&endpoint] { return endpoint.requests().size() == 1; });
    silent ? local_env.store.SetSilent(true)
           : local_env.store.SetUnavailable(true);
    local_env.RunLoopFor(100ms);
    ep::Leave(proxy);
    et::TestConnection& late = local_env.SendRequest(
        proxy, {.path = "/once/b", .id = "late", .timeout_ms = 2000});
    local_env.WaitUntil(
        [&endpoint] { return endpoint.requests().size() == 2; });
    for (const et::EndpointRequest& request : endpoint.requests()) {
      request.Answer(200, "done");
    }
    local_env.WaitUntil([&] {
      return !et::DescribeAnswer(begun).empty() &&
             !et::DescribeAnswer(late).empty();
    });
    STRCMP_EQUAL("200", et::DescribeAnswer(begun).c_str());
    STRCMP_EQUAL("200", et::DescribeAnswer(late).c_str());
    begun.Close();
    late.Close();
    local_env.AdvanceClock(3300ms);
    local_env.WaitUntil([&proxy] { return ep::CanShutDown(proxy); });
  }
}

// The node is told a second time that it is to stop. What is in progress is not
// cut, and the node may end when it is done.
TEST(StopBegin, ASecondTimeCutsNothing) {
  et::FakeEndpoint& endpoint = env.AddEndpoint("e1", et::LeaveUnanswered());
  ep::Proxy& proxy = env.StartReadyNode();
  et::TestConnection& caller = env.SendRequest(proxy, {.path = "/once/a"});
  env.WaitUntil([&endpoint] { return endpoint.requests().size() == 1; });
  ep::Leave(proxy);
  env.RunLoopFor(20ms);
  ep::Leave(proxy);
  CHECK_FALSE(ep::CanShutDown(proxy));
  endpoint.requests()[0].Answer(200, "done");
  env.WaitUntil([&caller] { return !et::DescribeAnswer(caller).empty(); });
  STRCMP_EQUAL("200", et::DescribeAnswer(caller).c_str());
  caller.Close();
  UntilMayEnd(proxy);
}

// The program tells the node a second time that it is to stop, when half of the
// grace is over, and a request never ends. The platform kills the process when
// the grace is over since the first time: counted from the second, the node
// would be killed with its requests.
TEST(StopBegin, ASecondTimeDoesNotPutOffTheEnd) {
  et::FakeEndpoint& endpoint = env.AddEndpoint("e1", et::LeaveUnanswered());
  ep::Proxy& proxy = env.StartReadyNode();
  env.SendRequest(proxy, {.path = "/once/a", .timeout_ms = 20'000});
  env.WaitUntil([&endpoint] { return endpoint.requests().size() == 1; });
  ep::Leave(proxy);
  env.AdvanceClock(env.MakeOptions("n1").grace / 2);
  env.RunLoopFor(20ms);
  ep::Leave(proxy);
  env.AdvanceClock(env.MakeOptions("n1").grace / 2 - 100ms);
  env.RunLoopFor(100ms);
  CHECK(ep::CanShutDown(proxy));
}
