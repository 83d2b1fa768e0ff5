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
  et::World world;
  et::Served stream;

  // Requests fill the node's queue while `first` is at its endpoint.
  et::Wire& FillBehind(const std::string& first, et::Endpoint& endpoint,
                       ep::Proxy& proxy) {
    et::Wire& caller =
        world.Send(proxy, {.path = first, .id = "first", .wait_ms = 20'000});
    world.Until([&endpoint] { return endpoint.seen().size() == 1; });
    stream = endpoint.seen()[0];
    for (std::size_t i = 0; i <= er::kMaxWaitingRequests; ++i) {
      world.Send(proxy, {.path = "/once/a",
                         .id = "w" + std::to_string(i),
                         .wait_ms = 20'000});
    }
    world.Until([&proxy] {
      return ep::ViewOf(proxy).waiting == er::kMaxWaitingRequests;
    });
    // Nothing more is sent to the endpoint.
    world.Register("e1", endpoint.address(), "a", "leaving");
    world.Turn(200ms);
    return caller;
  }

  ep::Proxy& StartPatient() {
    er::RouteTable table = et::StandardTable();
    for (er::Route& route : table.routes) route.target = 20s;
    world.Publish(table);
    ep::Proxy& proxy = world.Start(world.OptionsOf("n1"));
    world.UntilKnown(proxy, 1);
    return proxy;
  }
};

// An engine dies in the middle of a stream that may go on elsewhere, while the
// node's queue is full. The stream ends as broken off; the head of another
// answer in the middle of it would be read as a part of it.
TEST(Shed, AStreamThatBeganGetsNoSecondHead) {
  et::Endpoint& endpoint = world.AddEndpoint("e1", et::AnswersLater());
  ep::Proxy& proxy = StartPatient();
  et::Wire& caller = FillBehind("/talk/a", endpoint, proxy);
  stream.Begin(1, 2);
  world.Until([&caller] {
    return caller.received().find("id: 2") != std::string::npos;
  });
  stream.wire->Reset();
  world.Turn(200ms);
  CHECK(caller.received().find("HTTP/1.1 503") == std::string::npos);
}

// The same for a read that ran and broke before its answer began: it is not
// told that nothing ran.
TEST(Shed, AReadThatMayHaveRunIsNotToldThatNothingRan) {
  et::Endpoint& endpoint = world.AddEndpoint("e1", et::AnswersLater());
  ep::Proxy& proxy = StartPatient();
  et::Wire& caller = FillBehind("/read/a", endpoint, proxy);
  stream.wire->Reset();
  world.Until(
      [&caller] { return !et::Told(caller).empty() || caller.ended(); });
  STRCMP_EQUAL("502 unknown", et::Told(caller).c_str());
}
