// Callers that send on before they have their answer.
#include <CppUTest/TestHarness.h>

#include <string>

#include "harness.h"

using namespace std::chrono_literals;
namespace ep = egretladder::proxy;
namespace et = egretladder::proxy::test;

TEST_GROUP(Pipelined) { et::TestEnvironment env; };

// A caller has sent a long request behind the one that runs, more than the node
// reads ahead, and leaves. The node reads nothing of it meanwhile and has to
// notice all the same: its endpoint would work on for nobody.
TEST(Pipelined, ACallerThatLeavesWhileItIsNotReadIsNoticed) {
  et::FakeEndpoint& endpoint = env.AddEndpoint("e1", et::LeaveUnanswered());
  ep::Proxy& proxy = env.StartReadyNode();
  et::TestConnection& caller = env.Connect(ep::ViewOf(proxy).callers);
  caller.Send(
      et::FormatRequest({.path = "/read/a", .id = "r1", .timeout_ms = 20'000}) +
      et::FormatRequest(
          {.path = "/read/b", .id = "r2", .body = std::string(300'000, 'x')}));
  env.WaitUntil([&endpoint] { return endpoint.requests().size() == 1; });
  env.RunLoopFor(100ms);
  caller.Reset();
  env.RunLoopFor(500ms);
  CHECK(endpoint.connections().at(0)->ended());
}
