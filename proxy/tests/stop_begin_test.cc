// The begin of a graceful stop, when the platform sends its signal.
#include <CppUTest/TestHarness.h>

#include "harness.h"

using namespace std::chrono_literals;
namespace ep = egretladder::proxy;
namespace et = egretladder::proxy::test;

TEST_GROUP(StopBegin) {
  et::TestEnvironment env;

  // Advances the clock past the time for which callers keep the node's address,
  // and waits until the process may exit.
  void WaitUntilShutDownAllowed(const ep::Proxy& proxy) {
    env.AdvanceClock(3300ms);
    env.WaitUntil([&proxy] { return ep::CanShutDown(proxy); });
  }
};

// The process is stopped right after its start, before it has read any rules.
// Requests that reach it are answered as not run, and it may exit like any
// other process.
TEST(StopBegin, NodeWithoutRulesRefusesRequestsAndShutsDown) {
  env.store.SetSilent(true);
  ep::Proxy& proxy = env.StartNode(env.MakeOptions("n1"));
  ep::Leave(proxy);
  STRCMP_EQUAL("503 no",
               env.SendAndDescribe(proxy, {.path = "/once/a"}).c_str());
  env.RunLoopFor(50ms);
  STRCMP_EQUAL("503 no",
               env.SendAndDescribe(proxy, {.path = "/read/a"}).c_str());
  CHECK_FALSE(ep::ViewOf(proxy).ready_now);
  WaitUntilShutDownAllowed(proxy);
}

// The rules arrive after the stop began. They must not make a leaving node
// report itself as ready.
TEST(StopBegin, RulesReceivedWhileLeavingDoNotMakeNodeReady) {
  env.AddEndpoint("e1", et::AnswerImmediately());
  ep::Proxy& proxy = env.StartNode(env.MakeOptions("n1"));
  ep::Leave(proxy);
  env.Publish();
  env.WaitUntilRulesApplied(proxy);
  env.WaitUntil([&proxy] { return ep::ViewOf(proxy).endpoints == 1; });
  CHECK_FALSE(ep::ViewOf(proxy).ready_now);
  WaitUntilShutDownAllowed(proxy);
}

// The store is unavailable or silent when the process is stopped. The node
// serves the requests in progress and those that still arrive with the data it
// has.
TEST(StopBegin, ServesRequestsDuringStoreOutage) {
  for (const bool silent : {false, true}) {
    et::TestEnvironment local_env;
    et::FakeEndpoint& endpoint =
        local_env.AddEndpoint("e1", et::LeaveUnanswered());
    ep::Proxy& proxy = local_env.StartReadyNode();
    et::TestConnection& early_caller =
        local_env.SendRequest(proxy, {.path = "/once/a", .id = "begun"});
    local_env.WaitUntil(
        [&endpoint] { return endpoint.requests().size() == 1; });
    silent ? local_env.store.SetSilent(true)
           : local_env.store.SetUnavailable(true);
    local_env.RunLoopFor(100ms);
    ep::Leave(proxy);
    et::TestConnection& late_caller = local_env.SendRequest(
        proxy, {.path = "/once/b", .id = "late", .timeout_ms = 2000});
    local_env.WaitUntil(
        [&endpoint] { return endpoint.requests().size() == 2; });
    for (const et::EndpointRequest& request : endpoint.requests()) {
      request.Answer(200, "done");
    }
    local_env.WaitUntil([&] {
      return !et::DescribeAnswer(early_caller).empty() &&
             !et::DescribeAnswer(late_caller).empty();
    });
    STRCMP_EQUAL("200", et::DescribeAnswer(early_caller).c_str());
    STRCMP_EQUAL("200", et::DescribeAnswer(late_caller).c_str());
    early_caller.Close();
    late_caller.Close();
    local_env.AdvanceClock(3300ms);
    local_env.WaitUntil([&proxy] { return ep::CanShutDown(proxy); });
  }
}

// The node is told to stop a second time. The calls in progress are not cut,
// and the process may exit once they are done.
TEST(StopBegin, SecondStopRequestCutsNoCalls) {
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
  WaitUntilShutDownAllowed(proxy);
}

// The node is told to stop a second time after half of the grace period, while
// a request never ends. The platform kills the process after the grace period
// since the first time. If the node counted from the second time, it would be
// killed with its requests unanswered.
TEST(StopBegin, SecondStopRequestDoesNotExtendGracePeriod) {
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
