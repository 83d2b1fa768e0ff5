// A node with as many waiting requests as it may hold.
#include <CppUTest/TestHarness.h>

#include <string>

#include "egretladder/routing/limits.h"
#include "harness.h"

using namespace std::chrono_literals;
namespace ep = egretladder::proxy;
namespace er = egretladder::routing;
namespace et = egretladder::proxy::test;

TEST_GROUP(Shed) {
  et::TestEnvironment env;
  et::EndpointRequest stream;

  // Requests fill the node's queue while `first` is at its endpoint.
  et::TestConnection& FillBehind(const std::string& first,
                                 et::FakeEndpoint& endpoint, ep::Proxy& proxy) {
    et::TestConnection& caller = env.SendRequest(
        proxy, {.path = first, .id = "first", .timeout_ms = 20'000});
    env.WaitUntil([&endpoint] { return endpoint.requests().size() == 1; });
    stream = endpoint.requests()[0];
    for (std::size_t i = 0; i <= er::kMaxWaitingRequests; ++i) {
      env.SendRequest(proxy, {.path = "/once/a",
                              .id = "w" + std::to_string(i),
                              .timeout_ms = 20'000});
    }
    env.WaitUntil([&proxy] {
      return ep::ViewOf(proxy).waiting == er::kMaxWaitingRequests;
    });
    // Nothing more is sent to the endpoint.
    env.Register("e1", endpoint.address(), "a", "leaving");
    env.RunLoopFor(200ms);
    return caller;
  }

  ep::Proxy& StartPatient() {
    er::RouteTable table = et::MakeRouteTable();
    for (er::Route& route : table.routes) route.target = 20s;
    env.Publish(table);
    ep::Proxy& proxy = env.StartNode(env.MakeOptions("n1"));
    env.WaitUntilReady(proxy, 1);
    return proxy;
  }
};

// An engine dies in the middle of a stream that may go on elsewhere, while the
// node's queue is full. The stream ends as broken off; the head of another
// answer in the middle of it would be read as a part of it.
TEST(Shed, AStreamThatBeganGetsNoSecondHead) {
  et::FakeEndpoint& endpoint = env.AddEndpoint("e1", et::LeaveUnanswered());
  ep::Proxy& proxy = StartPatient();
  et::TestConnection& caller = FillBehind("/talk/a", endpoint, proxy);
  stream.BeginStream(1, 2);
  env.WaitUntil([&caller] {
    return caller.received().find("id: 2") != std::string::npos;
  });
  stream.connection->Reset();
  env.RunLoopFor(200ms);
  CHECK(caller.received().find("HTTP/1.1 503") == std::string::npos);
}

// The same for a read that ran and broke before its answer began: it is not
// told that nothing ran.
TEST(Shed, AReadThatMayHaveRunIsNotToldThatNothingRan) {
  et::FakeEndpoint& endpoint = env.AddEndpoint("e1", et::LeaveUnanswered());
  ep::Proxy& proxy = StartPatient();
  et::TestConnection& caller = FillBehind("/read/a", endpoint, proxy);
  stream.connection->Reset();
  env.WaitUntil([&caller] {
    return !et::DescribeAnswer(caller).empty() || caller.ended();
  });
  STRCMP_EQUAL("502 unknown", et::DescribeAnswer(caller).c_str());
}
