// Endpoints whose answers break off, belong to nobody or never come.
#include <CppUTest/TestHarness.h>

#include "harness.h"

namespace ep = egretladder::proxy;
namespace et = egretladder::proxy::test;

namespace {

std::size_t SeenBy(const std::vector<et::Endpoint*>& endpoints) {
  std::size_t seen = 0;
  for (const et::Endpoint* endpoint : endpoints)
    seen += endpoint->seen().size();
  return seen;
}

}  // namespace

TEST_GROUP(Ends) {
  et::World world;
  // What the endpoints do with a part of an answer.
  std::string part;
  bool resets = false;

  et::Endpoint::Handler Cut() {
    return [this](const et::Served& served) {
      served.wire->Send(part);
      resets ? served.wire->Reset() : served.wire->Close();
    };
  }

  // Starts a node whose requests may not be sent a second time.
  ep::Proxy& StartWithoutRetries(std::size_t endpoints) {
    world.Publish();
    ep::ProxyOptions options = world.OptionsOf("n1");
    options.retries = {0, 0, std::chrono::seconds(10)};
    ep::Proxy& proxy = world.Start(options);
    world.UntilKnown(proxy, endpoints);
    return proxy;
  }

  // Asks and waits until the answer or the connection ends.
  et::Wire& Run(ep::Proxy & proxy, const et::Ask& ask) {
    et::Wire& caller = world.Send(proxy, ask);
    world.Until(
        [&caller] { return !et::Told(caller).empty() || caller.ended(); });
    return caller;
  }
};

// An endpoint dies somewhere in its answer to an order: before the first byte,
// in its fields, in its body. Nobody knows whether the order was placed; it is
// not sent again, and its caller is not told that it was not. Right after the
// last byte the answer is whole.
TEST(Ends, AnOrderThatIsCutAnywhereIsToldAsUnknown) {
  et::Endpoint& endpoint = world.AddEndpoint("e1", Cut());
  ep::Proxy& proxy = world.StartReady();
  const std::string whole = et::AnswerBytes("r", 200, "done");
  std::size_t asked = 0;
  for (const bool by_reset : {false, true}) {
    resets = by_reset;
    for (std::size_t cut = 0; cut <= whole.size(); ++cut) {
      part = whole.substr(0, cut);
      const et::Answer answer =
          world.Get(proxy, {.path = "/once/" + std::to_string(++asked)});
      const std::string told = et::Told(answer);
      const char* expected = cut < whole.size() ? "502 unknown" : "200";
      STRCMP_EQUAL_TEXT(expected, told.c_str(), part.c_str());
      if (cut == whole.size()) STRCMP_EQUAL("done", answer.body.c_str());
    }
  }
  LONGS_EQUAL(asked, endpoint.seen().size());
}

// An engine dies somewhere in a stream that may not go on elsewhere. Its caller
// gets the whole events up to there, and an end that doesn't look like one.
TEST(Ends, AStreamThatIsCutAnywhereDoesNotLookWhole) {
  et::Endpoint& endpoint = world.AddEndpoint("e1", Cut());
  ep::Proxy& proxy = world.StartReady();
  const std::string head = et::EventsHead("r");
  const std::string first = head + et::EventBytes(1);
  const std::string whole = first + et::EventBytes(2) + et::kEventsEnd;
  std::size_t asked = 0;
  for (const bool by_reset : {false, true}) {
    resets = by_reset;
    for (std::size_t cut = 0; cut <= whole.size(); ++cut) {
      part = whole.substr(0, cut);
      const et::Wire& caller =
          Run(proxy, {.path = "/tell/" + std::to_string(++asked)});
      const auto answers = et::AnswersIn(caller.received());
      if (cut == whole.size()) {
        LONGS_EQUAL(1, answers.size());
        CHECK(answers[0].body == et::EventsText(1, 2));
      } else if (!answers.empty()) {
        STRCMP_EQUAL_TEXT("502 unknown", et::Told(caller).c_str(),
                          part.c_str());
        CHECK(cut < first.size());
      } else {
        CHECK(caller.received().find(et::EventsText(1, 1)) !=
              std::string::npos);
      }
    }
  }
  LONGS_EQUAL(asked, endpoint.seen().size());
}

// An endpoint ends the connection right behind each answer, without saying so
// in it. Orders that follow at once must not go over the dead connection, where
// their outcome would be unknown.
TEST(Ends, AConnectionThatEndedBehindItsAnswerIsNotUsedAgain) {
  et::Endpoint& endpoint = world.AddEndpoint("e1", Cut());
  ep::Proxy& proxy = world.StartReady();
  part = et::AnswerBytes("r", 200, "done");
  et::Wire& caller = world.Connect(ep::ViewOf(proxy).callers);
  for (const bool by_reset : {false, true}) {
    resets = by_reset;
    for (int i = 0; i < 10; ++i) {
      const std::size_t before = et::AnswersIn(caller.received()).size();
      caller.Send(et::RequestBytes({.path = "/once/a"}));
      world.Until(
          [&] { return et::AnswersIn(caller.received()).size() > before; });
      STRCMP_EQUAL("200",
                   et::Told(et::AnswersIn(caller.received()).back()).c_str());
    }
  }
  LONGS_EQUAL(20, endpoint.seen().size());
}

// The only answer that comes is that to another request. The caller waits for
// its own until its time is up, and what comes still later over the same
// connection reaches nobody.
TEST(Ends, AnAnswerToAnotherRequestReachesNobody) {
  et::Endpoint& endpoint =
      world.AddEndpoint("e1", [](const et::Served& served) {
        served.wire->Send(et::AnswerBytes("other", 200, "foreign"));
      });
  ep::Proxy& proxy = world.StartReady();
  STRCMP_EQUAL(
      "504 unknown",
      world.AskFor(proxy, {.path = "/once/a", .id = "r1", .wait_ms = 200})
          .c_str());
  const et::Wire& next = world.Send(proxy, {.path = "/once/b", .id = "r2"});
  world.Until([&endpoint] { return endpoint.seen().size() == 2; });
  CHECK(endpoint.seen()[0].wire != endpoint.seen()[1].wire);
  endpoint.seen()[0].wire->Send(et::AnswerBytes("r2", 200, "late"));
  endpoint.seen()[1].Answer(200, "own");
  world.Until([&next] { return !et::Told(next).empty(); });
  STRCMP_EQUAL("own", et::AnswersIn(next.received())[0].body.c_str());
}

// The answer to another request comes before the caller's own. What follows on
// that connection may be one answer behind from then on, so that it is let go.
TEST(Ends, AConnectionThatGaveAForeignAnswerIsNotUsedAgain) {
  const et::Endpoint& endpoint =
      world.AddEndpoint("e1", [](const et::Served& served) {
        served.wire->Send(et::AnswerBytes("other", 200, "foreign"));
        served.Answer(200, "own");
      });
  ep::Proxy& proxy = world.StartReady();
  for (const char* id : {"r1", "r2"}) {
    const et::Answer answer = world.Get(proxy, {.path = "/read/a", .id = id});
    STRCMP_EQUAL("own", answer.body.c_str());
  }
  LONGS_EQUAL(2, endpoint.wires().size());
}

// An endpoint says something more on a connection that nobody uses. The next
// request, which may even have the same id, gets its own answer.
TEST(Ends, AnAnswerOnAnIdleConnectionReachesNobody) {
  et::Endpoint& endpoint = world.AddEndpoint("e1", et::AnswersDone());
  ep::Proxy& proxy = world.StartReady();
  STRCMP_EQUAL("200", world.AskFor(proxy, {.path = "/read/a"}).c_str());
  endpoint.seen()[0].wire->Send(et::AnswerBytes("r", 200, "extra"));
  const et::Wire& idle = *endpoint.wires()[0];
  world.Until([&idle] { return idle.ended(); });
  const et::Answer next = world.Get(proxy, {.path = "/read/b"});
  STRCMP_EQUAL("done", next.body.c_str());
  LONGS_EQUAL(2, endpoint.wires().size());
}

// Engines die one after the other under a stream that may go on elsewhere. It
// goes on once, as its route allows; sent on and on, it would take down one
// engine after the next. What its caller got must not look whole.
TEST(Ends, AStreamGoesOnAsOftenAsItsRouteAllows) {
  const auto handler = [](const et::Served& served) {
    served.Begin(served.after() + 1, served.after() + 2);
    served.wire->Reset();
  };
  std::vector<et::Endpoint*> endpoints;
  for (const char* id : {"e1", "e2", "e3"}) {
    endpoints.push_back(&world.AddEndpoint(id, handler));
  }
  ep::Proxy& proxy = world.StartReady();
  const et::Wire& caller = Run(proxy, {.path = "/talk/a"});
  CHECK(et::AnswersIn(caller.received()).empty());
  for (int i = 1; i <= 4; ++i) {
    CHECK(caller.received().find(et::EventsText(i, i)) != std::string::npos);
  }
  CHECK(caller.received().find(et::EventsText(5, 5)) == std::string::npos);
  LONGS_EQUAL(2, SeenBy(endpoints));
}

// The first engine breaks off and the second ends the stream.
TEST(Ends, AStreamThatWentOnElsewhereIsWhole) {
  const auto handler = [](const et::Served& served) {
    if (served.after() == 0) {
      served.Begin(1, 3);
      served.wire->Close();
      return;
    }
    served.Begin(served.after() + 1, 6);
    served.wire->Send(et::kEventsEnd);
  };
  const std::vector<et::Endpoint*> endpoints = {
      &world.AddEndpoint("e1", handler), &world.AddEndpoint("e2", handler)};
  ep::Proxy& proxy = world.StartReady();
  const et::Wire& caller = Run(proxy, {.path = "/talk/a"});
  const auto answers = et::AnswersIn(caller.received());
  LONGS_EQUAL(1, answers.size());
  STRCMP_EQUAL(et::EventsText(1, 6).c_str(), answers[0].body.c_str());
  LONGS_EQUAL(2, SeenBy(endpoints));
}

// Every endpoint fails, and the requests that may be sent again have used up
// what the service may repeat. Sent again all the same, the load would double
// just when the endpoints can't bear it. Each caller gets what happened to it.
TEST(Ends, WithoutRetriesLeftEachFailureIsToldAsItIs) {
  const auto handler = [](const et::Served& served) {
    if (served.request.target == "/read/breaks") {
      served.wire->Reset();
    } else if (served.request.target == "/read/fails") {
      served.Answer(500, "own words");
    } else {
      served.SayNotRun();
    }
  };
  const std::vector<et::Endpoint*> endpoints = {
      &world.AddEndpoint("e1", handler), &world.AddEndpoint("e2", handler)};
  ep::Proxy& proxy = StartWithoutRetries(2);
  STRCMP_EQUAL("502 unknown",
               world.AskFor(proxy, {.path = "/read/breaks"}).c_str());
  const et::Answer failed = world.Get(proxy, {.path = "/read/fails"});
  LONGS_EQUAL(500, failed.status);
  STRCMP_EQUAL("own words", failed.body.c_str());
  STRCMP_EQUAL("503 no", world.AskFor(proxy, {.path = "/read/full"}).c_str());
  LONGS_EQUAL(3, SeenBy(endpoints));
}

// The same for a read whose endpoint says nothing: it is waited for until its
// caller's time is up, and it may have run.
TEST(Ends, WithoutRetriesLeftASilentEndpointIsWaitedFor) {
  const std::vector<et::Endpoint*> endpoints = {
      &world.AddEndpoint("e1", et::AnswersLater()),
      &world.AddEndpoint("e2", et::AnswersLater())};
  ep::Proxy& proxy = StartWithoutRetries(2);
  STRCMP_EQUAL(
      "504 unknown",
      world.AskFor(proxy, {.path = "/read/a", .wait_ms = 1500}).c_str());
  LONGS_EQUAL(1, SeenBy(endpoints));
}

// The same in the middle of a stream that could go on elsewhere.
TEST(Ends, WithoutRetriesLeftAStreamBreaksOff) {
  const auto handler = [](const et::Served& served) {
    served.Begin(1, 2);
    served.wire->Reset();
  };
  const std::vector<et::Endpoint*> endpoints = {
      &world.AddEndpoint("e1", handler), &world.AddEndpoint("e2", handler)};
  ep::Proxy& proxy = StartWithoutRetries(2);
  const et::Wire& caller = Run(proxy, {.path = "/talk/a"});
  CHECK(et::AnswersIn(caller.received()).empty());
  CHECK(caller.received().find(et::EventsText(2, 2)) != std::string::npos);
  LONGS_EQUAL(1, SeenBy(endpoints));
}
