// A node whose queue of waiting requests is full.
#include <CppUTest/TestHarness.h>

#include <string>

#include "egretladder/routing/limits.h"
#include "harness.h"

using namespace std::chrono_literals;
namespace ep = egretladder::proxy;
namespace er = egretladder::routing;
namespace et = egretladder::proxy::test;

TEST_GROUP(QueueOverflow) {
  et::TestEnvironment env;
  et::EndpointRequest first_request;

  // Sends a request to `path`, and fills the node's queue while that
  // request is at its endpoint.
  et::TestConnection& SendAndFillQueue(
      const std::string& path, et::FakeEndpoint& endpoint, ep::Proxy& proxy) {
    et::TestConnection& caller = env.SendRequest(
        proxy, {.path = path, .id = "first", .timeout_ms = 20'000});
    env.WaitUntil([&endpoint] { return endpoint.requests().size() == 1; });
    first_request = endpoint.requests()[0];
    for (std::size_t i = 0; i <= er::kMaxWaitingRequests; ++i) {
      env.SendRequest(proxy, {.path = "/once/a",
                              .id = "w" + std::to_string(i),
                              .timeout_ms = 20'000});
    }
    env.WaitUntil([&proxy] {
      return ep::ViewOf(proxy).waiting == er::kMaxWaitingRequests;
    });
    // From here on the node sends nothing more to the endpoint.
    env.Register("e1", endpoint.address(), "a", "leaving");
    env.RunLoopFor(200ms);
    return caller;
  }

  ep::Proxy& StartNodeWithLongTargets() {
    er::RouteTable table = et::MakeRouteTable();
    for (er::Route& route : table.routes) route.target = 20s;
    env.Publish(table);
    ep::Proxy& proxy = env.StartNode(env.MakeOptions("n1"));
    env.WaitUntilReady(proxy, 1);
    return proxy;
  }
};

// An engine dies in the middle of a resumable stream while the node's queue is
// full. The stream must be aborted. The head of an error answer in the middle
// of it would be read as a part of the stream.
TEST(QueueOverflow, StartedStreamGetsNoErrorHead) {
  et::FakeEndpoint& endpoint = env.AddEndpoint("e1", et::LeaveUnanswered());
  ep::Proxy& proxy = StartNodeWithLongTargets();
  et::TestConnection& caller = SendAndFillQueue("/talk/a", endpoint, proxy);
  first_request.BeginStream(1, 2);
  env.WaitUntil([&caller] {
    return caller.received().find("id: 2") != std::string::npos;
  });
  first_request.connection->Reset();
  env.RunLoopFor(200ms);
  CHECK(caller.received().find("HTTP/1.1 503") == std::string::npos);
}

// The connection of an idempotent request breaks before its answer begins,
// while the node's queue is full. Its caller must not be told that it has not
// run.
TEST(QueueOverflow, RequestThatMayHaveRunIsReportedAsUnknown) {
  et::FakeEndpoint& endpoint = env.AddEndpoint("e1", et::LeaveUnanswered());
  ep::Proxy& proxy = StartNodeWithLongTargets();
  et::TestConnection& caller = SendAndFillQueue("/read/a", endpoint, proxy);
  first_request.connection->Reset();
  env.WaitUntil([&caller] {
    return !et::DescribeAnswer(caller).empty() || caller.ended();
  });
  STRCMP_EQUAL("502 unknown", et::DescribeAnswer(caller).c_str());
}
