// Callers that go, wait or send too much.
#include <CppUTest/TestHarness.h>

#include "harness.h"

namespace ep = egretladder::proxy;
namespace et = egretladder::proxy::test;

namespace {

int CountIn(const std::string& text, const std::string& part) {
  int count = 0;
  std::size_t at = text.find(part);
  while (at != std::string::npos) {
    ++count;
    at = text.find(part, at + 1);
  }
  return count;
}

}  // namespace

TEST_GROUP(Callers) {
  et::World world;

  // A request whose body is larger than what an endpoint that doesn't read and
  // the system between them hold, when a part of it has left.
  et::Wire& SendHalf(ep::Proxy & proxy, const et::Endpoint& endpoint) {
    et::Wire& caller =
        world.Send(proxy, {.path = "/once/a",
                           .id = "large",
                           .body = std::string(12U << 20U, 'x')});
    world.Until([&] {
      const auto wires = endpoint.wires();
      return !wires.empty() && wires[0]->waiting() > 0;
    });
    return caller;
  }
};

// A caller goes while its large body still goes out to an endpoint that reads
// slowly. On a connection that was used again, the next request would be read
// as the rest of that body, or as a second request of the first caller.
TEST(Callers, ABodyThatIsHalfSentEndsItsConnection) {
  et::Endpoint& endpoint = world.AddEndpoint("e1", et::AnswersDone());
  endpoint.Hold(true);
  ep::Proxy& proxy = world.StartReady();
  SendHalf(proxy, endpoint).Close();
  world.Until([&proxy] { return ep::ViewOf(proxy).calls == 0; });
  et::Wire& next = world.Send(proxy, {.path = "/once/b", .id = "next"});
  world.Until([&endpoint] { return endpoint.wires().size() == 2; });
  endpoint.Hold(false);
  const et::Wire& first = *endpoint.wires()[0];
  world.Until([&] { return first.ended() && !et::Told(next).empty(); });
  STRCMP_EQUAL("200", et::Told(next).c_str());
  LONGS_EQUAL(1, endpoint.seen().size());
  STRCMP_EQUAL("next", endpoint.seen()[0].id().c_str());
  LONGS_EQUAL(1, CountIn(first.received(), "POST "));
  CHECK(first.received().size() < 12U << 20U);
}

// An endpoint refuses a large body before it has read it. The rest of the body
// still waits to be sent; the next caller's request would stand behind it.
TEST(Callers, AnAnswerBeforeTheBodyIsSentEndsItsConnection) {
  et::Endpoint& endpoint = world.AddEndpoint("e1", et::AnswersDone());
  endpoint.Hold(true);
  ep::Proxy& proxy = world.StartReady();
  const et::Wire& caller = SendHalf(proxy, endpoint);
  endpoint.wires()[0]->Send(et::AnswerBytes("large", 413, "too large"));
  world.Until([&caller] { return !et::Told(caller).empty(); });
  STRCMP_EQUAL("413", et::Told(caller).c_str());
  const et::Wire& next = world.Send(proxy, {.path = "/once/b", .id = "next"});
  world.Until([&endpoint] { return endpoint.wires().size() == 2; });
  endpoint.Hold(false);
  world.Until([&next] { return !et::Told(next).empty(); });
  STRCMP_EQUAL("200", et::Told(next).c_str());
  LONGS_EQUAL(1, endpoint.seen().size());
}

// A caller goes in the middle of its stream. An engine that went on for nobody
// would keep others waiting.
TEST(Callers, WhenACallerLeavesItsStreamTheEndpointIsTold) {
  et::Endpoint& endpoint = world.AddEndpoint(
      "e1", [](const et::Served& served) { served.Begin(1, 3); });
  ep::Proxy& proxy = world.StartReady();
  et::Wire& caller = world.Send(proxy, {.path = "/talk/a"});
  world.Until([&caller] { return CountIn(caller.received(), "data:") == 3; });
  caller.Close();
  world.Until([&endpoint] { return endpoint.wires()[0]->ended(); });
  LONGS_EQUAL(0, ep::ViewOf(proxy).calls);
  LONGS_EQUAL(1, endpoint.seen().size());
}

// The second of two requests that a caller sends at once is not read when the
// node stops. Closed with it unread, the connection would be reset and take the
// first one's answer with it.
TEST(Callers, UnreadBytesBehindTheLastRequestDoNotCostItsAnswer) {
  et::Endpoint& endpoint = world.AddEndpoint("e1", et::AnswersLater());
  ep::Proxy& proxy = world.StartReady();
  et::Wire& caller = world.Send(proxy, {.path = "/once/a", .id = "first"});
  caller.Send(et::RequestBytes({.path = "/once/b",
                                .id = "second",
                                .body = std::string(1U << 20U, 'x')}));
  world.Until([&endpoint] { return endpoint.seen().size() == 1; });
  ep::Leave(proxy);
  const std::string body(3U << 20U, 'y');
  endpoint.seen()[0].Answer(200, body);
  world.Until([&caller] { return caller.ended(); });
  const auto answers = et::AnswersIn(caller.received());
  LONGS_EQUAL(1, answers.size());
  CHECK(answers[0].body == body);
  CHECK_FALSE(answers[0].keep_alive);
  LONGS_EQUAL(1, endpoint.seen().size());
}

// Bodies of some callers fill the part of the memory that is kept for them. One
// more is refused while there is no room, and taken once there is.
TEST(Callers, ABodyWithoutRoomIsRefusedUntilOthersHaveEnded) {
  et::Endpoint& endpoint = world.AddEndpoint("e1", et::AnswersLater());
  world.Publish();
  ep::ProxyOptions options = world.OptionsOf("n1");
  options.memory_bytes = 100'000;
  ep::Proxy& proxy = world.Start(options);
  world.UntilKnown(proxy, 1);
  const std::string body(20'000, 'x');
  const et::Wire& first = world.Send(proxy, {.path = "/once/a", .body = body});
  world.Until([&endpoint] { return endpoint.seen().size() == 1; });
  STRCMP_EQUAL("503 no",
               world.AskFor(proxy, {.path = "/once/b", .body = body}).c_str());
  endpoint.seen()[0].Answer(200, "done");
  world.Until([&first] { return !et::Told(first).empty(); });
  STRCMP_EQUAL("200", et::Told(first).c_str());
  // One that its caller gives up has room to give back as well.
  et::Wire& given_up = world.Send(proxy, {.path = "/once/c", .body = body});
  world.Until([&endpoint] { return endpoint.seen().size() == 2; });
  given_up.Close();
  world.Until([&proxy] { return ep::ViewOf(proxy).calls == 0; });
  const et::Wire& third = world.Send(proxy, {.path = "/once/d", .body = body});
  world.Until([&endpoint] { return endpoint.seen().size() == 3; });
  endpoint.seen()[2].Answer(200, "done");
  world.Until([&third] { return !et::Told(third).empty(); });
  STRCMP_EQUAL("200", et::Told(third).c_str());
}

// The time of two callers ends while their requests are at an endpoint, that of
// a third while it waits for a free place there. Only the third may be told
// that nothing ran.
TEST(Callers, AtTheDeadlineOnlyWhatWasNeverSentIsToldAsNotRun) {
  et::Endpoint& endpoint = world.AddEndpoint("e1", et::AnswersLater());
  ep::Proxy& proxy = world.StartReady();
  const et::Wire& first =
      world.Send(proxy, {.path = "/once/a", .wait_ms = 1500});
  const et::Wire& second =
      world.Send(proxy, {.path = "/once/b", .wait_ms = 1500});
  world.Until([&endpoint] { return endpoint.seen().size() == 2; });
  const et::Wire& third =
      world.Send(proxy, {.path = "/once/c", .wait_ms = 200});
  world.Until([&proxy] { return ep::ViewOf(proxy).waiting == 1; });
  world.Until([&] {
    return !et::Told(first).empty() && !et::Told(second).empty() &&
           !et::Told(third).empty();
  });
  STRCMP_EQUAL("504 unknown", et::Told(first).c_str());
  STRCMP_EQUAL("504 unknown", et::Told(second).c_str());
  STRCMP_EQUAL("503 no", et::Told(third).c_str());
  LONGS_EQUAL(2, endpoint.seen().size());
}

// A read breaks at an endpoint, which goes, and waits for another until its
// caller's time is up. It may have run: its caller must not be told that it
// didn't.
TEST(Callers, WhatWaitsAfterABreakIsNotToldAsNotRun) {
  et::Endpoint& endpoint = world.AddEndpoint("e1", et::AnswersLater());
  ep::Proxy& proxy = world.StartReady();
  const et::Wire& caller =
      world.Send(proxy, {.path = "/read/a", .wait_ms = 900});
  world.Until([&endpoint] { return endpoint.seen().size() == 1; });
  world.store.Remove("endpoints/e1");
  world.Until([&proxy] { return ep::ViewOf(proxy).endpoints == 0; });
  endpoint.wires()[0]->Reset();
  world.Until([&proxy] { return ep::ViewOf(proxy).waiting == 1; });
  world.Until([&caller] { return !et::Told(caller).empty(); });
  CHECK_TEXT(et::Told(caller).ends_with(" unknown"), et::Told(caller).c_str());
}
