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

std::string FormatEvents(int from, int to) {
  std::string events;
  for (int i = from; i <= to; ++i) {
    events += "id: " + std::to_string(i) + "\ndata: " + kData + "\n\n";
  }
  return events;
}

}  // namespace

TEST_GROUP(SlowReader) {
  et::TestEnvironment env;

  // A caller with little room that has asked for a stream and takes nothing.
  et::TestConnection& AskAndHold(ep::Proxy & proxy, const std::string& path) {
    et::TestConnection& caller = env.Connect(ep::ViewOf(proxy).callers, 8192);
    caller.PauseReading(true);
    caller.Send(et::FormatRequest({.path = path, .timeout_ms = 20'000}));
    return caller;
  }
};

// A caller on a slow link reads its stream some KiB at a time. Its endpoint has
// to wait for it, and it gets each event once and in order.
TEST(SlowReader, HoldsItsEndpointBackAndGetsAllEvents) {
  constexpr int kEvents = 12'000;
  et::FakeEndpoint& endpoint =
      env.AddEndpoint("e1", [](const et::EndpointRequest& request) {
        request.BeginStream(1, 0);
        for (int i = 1; i <= kEvents; ++i) {
          request.connection->Send(et::FormatEventChunk(i, kData));
        }
        request.connection->Send(et::kLastChunk);
      });
  ep::Proxy& proxy = env.StartReadyNode();
  et::TestConnection& caller = AskAndHold(proxy, "/tell/a");
  for (int i = 0; i < 100; ++i) {
    caller.ReadSome(4096);
    env.RunLoopFor(2ms);
  }
  CHECK(endpoint.connections().at(0)->unsent_bytes() > 0);
  caller.PauseReading(false);
  env.WaitUntil([&caller] {
    return caller.received().ends_with(et::kLastChunk) || caller.ended();
  });
  const auto answers = et::ParseAnswers(caller.received());
  LONGS_EQUAL(1, answers.size());
  CHECK(answers[0].body == FormatEvents(1, kEvents));
}

// A caller takes nothing of its stream any more, as behind a link that broke.
// What the node reads of its endpoint stays in the node; some hundred such
// callers cost it its memory unless it stops reading.
TEST(SlowReader, WhatIsHeldForACallerThatTakesNothingDoesNotGrow) {
  env.AddEndpoint("e1", [](const et::EndpointRequest& request) {
    request.BeginStream(1, 0);
    for (int i = 1; i <= 12'000; ++i) {
      request.connection->Send(et::FormatEventChunk(i, kData));
    }
  });
  ep::Proxy& proxy = env.StartReadyNode();
  AskAndHold(proxy, "/tell/a");
  env.WaitUntil(
      [&proxy] { return UnsentOf(proxy) > ep::kMaxCallerBacklogBytes; });
  // The system takes some of it first.
  env.RunLoopFor(500ms);
  const std::size_t held = UnsentOf(proxy);
  env.RunLoopFor(1200ms);
  LONGS_EQUAL(1, ep::ViewOf(proxy).calls);
  CHECK_COMPARE(UnsentOf(proxy), <=, held + kOneRead);
}

// An engine falls silent while its caller is behind with reading. The caller
// catches up and waits; the stream goes on at another engine, as it would for a
// caller that had read at once.
TEST(SlowReader, AStreamThatStallsMeanwhileGoesOnElsewhere) {
  const auto handler = [](const et::EndpointRequest& request) {
    request.BeginStream(1, 0);
    if (request.last_event_id() == 0) return;
    request.connection->Send(
        et::FormatEventChunk(request.last_event_id() + 1, kData));
    request.connection->Send(et::kLastChunk);
  };
  const et::FakeEndpoint& first = env.AddEndpoint("e1", handler);
  const et::FakeEndpoint& second = env.AddEndpoint("e2", handler);
  ep::Proxy& proxy = env.StartReadyNode();
  et::TestConnection& caller = AskAndHold(proxy, "/talk/a");
  env.WaitUntil(
      [&] { return first.requests().size() + second.requests().size() == 1; });
  const et::EndpointRequest request =
      (first.requests().empty() ? second : first).requests().at(0);
  int sent = 0;
  // The node has read all that the engine said when it falls silent.
  env.WaitUntil([&] {
    if (EventsOf(proxy) < sent) return false;
    if (UnsentOf(proxy) > ep::kMaxCallerBacklogBytes) return true;
    request.connection->Send(et::FormatEventChunk(++sent, kData));
    return false;
  });
  caller.PauseReading(false);
  env.WaitUntil([&] {
    return caller.received().find("id: " + std::to_string(sent)) !=
           std::string::npos;
  });
  const auto limit = std::chrono::steady_clock::now() + 4s;
  env.WaitUntil([&] {
    return !et::DescribeAnswer(caller).empty() ||
           std::chrono::steady_clock::now() > limit;
  });
  const auto answers = et::ParseAnswers(caller.received());
  LONGS_EQUAL(1, answers.size());
  CHECK(answers[0].body == FormatEvents(1, sent + 1));
}

// A caller stops reading for some seconds, as one whose link is away for a
// while, and reads on well before the time after which callers that take
// nothing are dropped. It gets the rest; cut off, it would hold half an answer
// of work that ran.
TEST(SlowReader, ACallerThatPausesGetsTheRestOfItsAnswer) {
  const std::string body(7U << 20U, 'x');
  env.AddEndpoint("e1", [&body](const et::EndpointRequest& request) {
    request.Answer(200, body);
  });
  ep::Proxy& proxy = env.StartReadyNode();
  et::TestConnection& caller = AskAndHold(proxy, "/once/a");
  env.RunLoopFor(6000ms);
  caller.PauseReading(false);
  env.WaitUntil([&caller] {
    return !et::DescribeAnswer(caller).empty() || caller.ended();
  });
  STRCMP_EQUAL("200", et::DescribeAnswer(caller).c_str());
}
