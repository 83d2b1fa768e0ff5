// Callers that take their streams more slowly than endpoints give them.
#include <CppUTest/TestHarness.h>

#include "harness.h"
#include "state_p.h"

using namespace std::chrono_literals;
namespace ep = egretladder::proxy;
namespace et = egretladder::proxy::test;

namespace {

// Most that is read of a connection at once.
constexpr std::size_t kOneRead = std::size_t{16} << 10U;
const std::string kData(1000, 'x');

// Bytes that the node holds for its callers.
std::size_t UnsentOf(const ep::Proxy& proxy) {
  std::size_t bytes = 0;
  for (const auto& [number, call] : proxy.calls) {
    bytes += call->caller->UnsentBytes();
  }
  return bytes;
}

// Events that the node has read of its streams.
int EventsOf(const ep::Proxy& proxy) {
  int events = 0;
  for (const auto& [number, call] : proxy.calls) {
    events += static_cast<int>(call->events);
  }
  return events;
}

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

// A caller takes nothing of its stream any more, as behind a link that broke.
// What the node reads of its endpoint stays in the node; some hundred such
// callers cost it its memory unless it stops reading.
TEST(SlowReader, WhatIsHeldForACallerThatTakesNothingDoesNotGrow) {
  world.AddEndpoint("e1", [](const et::Served& served) {
    served.Begin(1, 0);
    for (int i = 1; i <= 12'000; ++i) {
      served.wire->Send(et::EventBytes(i, kData));
    }
  });
  ep::Proxy& proxy = world.StartReady();
  AskAndHold(proxy, "/tell/a");
  world.Until(
      [&proxy] { return UnsentOf(proxy) > ep::kMaxCallerBacklogBytes; });
  // The system takes some of it first.
  world.Turn(500ms);
  const std::size_t held = UnsentOf(proxy);
  world.Turn(1200ms);
  LONGS_EQUAL(1, ep::ViewOf(proxy).calls);
  CHECK_COMPARE(UnsentOf(proxy), <=, held + kOneRead);
}

// An engine falls silent while its caller is behind with reading. The caller
// catches up and waits; the stream goes on at another engine, as it would for a
// caller that had read at once.
TEST(SlowReader, AStreamThatStallsMeanwhileGoesOnElsewhere) {
  const auto handler = [](const et::Served& served) {
    served.Begin(1, 0);
    if (served.after() == 0) return;
    served.wire->Send(et::EventBytes(served.after() + 1, kData));
    served.wire->Send(et::kEventsEnd);
  };
  const et::Endpoint& first = world.AddEndpoint("e1", handler);
  const et::Endpoint& second = world.AddEndpoint("e2", handler);
  ep::Proxy& proxy = world.StartReady();
  et::Wire& caller = AskAndHold(proxy, "/talk/a");
  world.Until([&] { return first.seen().size() + second.seen().size() == 1; });
  const et::Served served =
      (first.seen().empty() ? second : first).seen().at(0);
  int sent = 0;
  // The node has read all that the engine said when it falls silent.
  world.Until([&] {
    if (EventsOf(proxy) < sent) return false;
    if (UnsentOf(proxy) > ep::kMaxCallerBacklogBytes) return true;
    served.wire->Send(et::EventBytes(++sent, kData));
    return false;
  });
  caller.Hold(false);
  world.Until([&] {
    return caller.received().find("id: " + std::to_string(sent)) !=
           std::string::npos;
  });
  const auto limit = std::chrono::steady_clock::now() + 4s;
  world.Until([&] {
    return !et::Told(caller).empty() ||
           std::chrono::steady_clock::now() > limit;
  });
  const auto answers = et::AnswersIn(caller.received());
  LONGS_EQUAL(1, answers.size());
  CHECK(answers[0].body == EventsText(1, sent + 1));
}

// A caller stops reading for some seconds, as one whose link is away for a
// while, and reads on well before the time after which callers that take
// nothing are dropped. It gets the rest; cut off, it would hold half an answer
// of work that ran.
TEST(SlowReader, ACallerThatPausesGetsTheRestOfItsAnswer) {
  const std::string body(7U << 20U, 'x');
  world.AddEndpoint(
      "e1", [&body](const et::Served& served) { served.Answer(200, body); });
  ep::Proxy& proxy = world.StartReady();
  et::Wire& caller = AskAndHold(proxy, "/once/a");
  world.Turn(6000ms);
  caller.Hold(false);
  world.Until(
      [&caller] { return !et::Told(caller).empty() || caller.ended(); });
  STRCMP_EQUAL("200", et::Told(caller).c_str());
}
