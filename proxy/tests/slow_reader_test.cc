// Callers that take their streams more slowly than endpoints give them.
#include <CppUTest/TestHarness.h>

#include "harness.h"

using namespace std::chrono_literals;
namespace ep = egretladder::proxy;
namespace et = egretladder::proxy::test;

namespace {

const std::string kData(1000, 'x');

std::string EventsText(int from, int to) {
  std::string events;
  for (int i = from; i <= to; ++i) {
    events += "id: " + std::to_string(i) + "\ndata: " + kData + "\n\n";
  }
  return events;
}

}  // namespace

TEST_GROUP(SlowReader) {
  et::World world;

  // A caller with little room that has asked for a stream and takes nothing.
  et::Wire& AskAndHold(ep::Proxy & proxy, const std::string& path) {
    et::Wire& caller = world.Connect(ep::ViewOf(proxy).callers, 8192);
    caller.Hold(true);
    caller.Send(et::RequestBytes({.path = path, .wait_ms = 20'000}));
    return caller;
  }
};

// A caller on a slow link reads its stream some KiB at a time. Its endpoint has
// to wait for it, and it gets each event once and in order.
TEST(SlowReader, HoldsItsEndpointBackAndGetsAllEvents) {
  constexpr int kEvents = 12'000;
  et::Endpoint& endpoint =
      world.AddEndpoint("e1", [](const et::Served& served) {
        served.Begin(1, 0);
        for (int i = 1; i <= kEvents; ++i) {
          served.wire->Send(et::EventBytes(i, kData));
        }
        served.wire->Send(et::kEventsEnd);
      });
  ep::Proxy& proxy = world.StartReady();
  et::Wire& caller = AskAndHold(proxy, "/tell/a");
  for (int i = 0; i < 100; ++i) {
    caller.TakeSome(4096);
    world.Turn(2ms);
  }
  CHECK(endpoint.wires().at(0)->unsent() > 0);
  caller.Hold(false);
  world.Until([&caller] {
    return caller.received().ends_with(et::kEventsEnd) || caller.ended();
  });
  const auto answers = et::AnswersIn(caller.received());
  LONGS_EQUAL(1, answers.size());
  CHECK(answers[0].body == EventsText(1, kEvents));
}
