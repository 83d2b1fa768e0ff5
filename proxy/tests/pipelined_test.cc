// Callers that send on before they have their answer.
#include <CppUTest/TestHarness.h>

#include <string>

#include "harness.h"

using namespace std::chrono_literals;
namespace ep = egretladder::proxy;
namespace et = egretladder::proxy::test;

TEST_GROUP(Pipelined) { et::World world; };

// A caller has sent a long request behind the one that runs, more than the node
// reads ahead, and leaves. The node reads nothing of it meanwhile and has to
// notice all the same: its endpoint would work on for nobody.
TEST(Pipelined, ACallerThatLeavesWhileItIsNotReadIsNoticed) {
  et::Endpoint& endpoint = world.AddEndpoint("e1", et::AnswersLater());
  ep::Proxy& proxy = world.StartReady();
  et::Wire& caller = world.Connect(ep::ViewOf(proxy).callers);
  caller.Send(
      et::RequestBytes({.path = "/read/a", .id = "r1", .wait_ms = 20'000}) +
      et::RequestBytes(
          {.path = "/read/b", .id = "r2", .body = std::string(300'000, 'x')}));
  world.Until([&endpoint] { return endpoint.seen().size() == 1; });
  world.Turn(100ms);
  caller.Reset();
  world.Turn(500ms);
  CHECK(endpoint.wires().at(0)->ended());
}
