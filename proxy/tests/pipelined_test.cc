// Callers that send further requests before they have their answer.
#include <CppUTest/TestHarness.h>

#include <string>

#include "harness.h"

using namespace std::chrono_literals;
namespace ep = egretladder::proxy;
namespace et = egretladder::proxy::test;

TEST_GROUP(Pipelined) { et::TestEnvironment env; };

// A caller sends a second request that is larger than what the node reads
// ahead, and disconnects while the first one runs. The node does not read from
// the connection meanwhile. Unless it notices the disconnect all the same, the
// endpoint goes on working for a caller that is gone.
TEST(Pipelined, DisconnectIsNoticedWhileReadingIsPaused) {
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
