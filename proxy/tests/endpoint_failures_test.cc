// Endpoints whose answers break off, belong to nobody or never come.
#include <CppUTest/TestHarness.h>

#include "harness.h"

namespace ep = egretladder::proxy;
namespace et = egretladder::proxy::test;

namespace {

std::size_t SeenBy(const std::vector<et::FakeEndpoint*>& endpoints) {
  std::size_t requests = 0;
  for (const et::FakeEndpoint* endpoint : endpoints)
    requests += endpoint->requests().size();
  return requests;
}

}  // namespace

TEST_GROUP(Ends) {
  et::TestEnvironment env;
  // What the endpoints do with a part of an answer.
  std::string part;
  bool resets = false;

  et::FakeEndpoint::Handler Cut() {
    return [this](const et::EndpointRequest& request) {
      request.connection->Send(part);
      resets ? request.connection->Reset() : request.connection->Close();
    };
  }

  // Starts a node whose requests may not be sent a second time.
  ep::Proxy& StartWithoutRetries(std::size_t endpoints) {
    env.Publish();
    ep::ProxyOptions options = env.MakeOptions("n1");
    options.retries = {0, 0, std::chrono::seconds(10)};
    ep::Proxy& proxy = env.StartNode(options);
    env.WaitUntilReady(proxy, endpoints);
    return proxy;
  }

  // Asks and waits until the answer or the connection ends.
  et::TestConnection& Run(ep::Proxy & proxy, const et::TestRequest& request) {
    et::TestConnection& caller = env.SendRequest(proxy, request);
    env.WaitUntil([&caller] {
      return !et::DescribeAnswer(caller).empty() || caller.ended();
    });
    return caller;
  }
};

// An endpoint dies somewhere in its answer to an order: before the first byte,
// in its fields, in its body. Nobody knows whether the order was placed; it is
// not sent again, and its caller is not told that it was not. Right after the
// last byte the answer is whole.
TEST(Ends, AnOrderThatIsCutAnywhereIsToldAsUnknown) {
  et::FakeEndpoint& endpoint = env.AddEndpoint("e1", Cut());
  ep::Proxy& proxy = env.StartReadyNode();
  const std::string whole = et::FormatAnswer("r", 200, "done");
  std::size_t asked = 0;
  for (const bool by_reset : {false, true}) {
    resets = by_reset;
    for (std::size_t cut = 0; cut <= whole.size(); ++cut) {
      part = whole.substr(0, cut);
      const et::Answer answer =
          env.SendAndWait(proxy, {.path = "/once/" + std::to_string(++asked)});
      const std::string told = et::DescribeAnswer(answer);
      const char* expected = cut < whole.size() ? "502 unknown" : "200";
      STRCMP_EQUAL_TEXT(expected, told.c_str(), part.c_str());
      if (cut == whole.size()) STRCMP_EQUAL("done", answer.body.c_str());
    }
  }
  LONGS_EQUAL(asked, endpoint.requests().size());
}

// An engine dies somewhere in a stream that may not go on elsewhere. Its caller
// gets the whole events up to there, and an end that doesn't look like one.
TEST(Ends, AStreamThatIsCutAnywhereDoesNotLookWhole) {
  et::FakeEndpoint& endpoint = env.AddEndpoint("e1", Cut());
  ep::Proxy& proxy = env.StartReadyNode();
  const std::string head = et::FormatStreamHead("r");
  const std::string first = head + et::FormatEventChunk(1);
  const std::string whole = first + et::FormatEventChunk(2) + et::kLastChunk;
  std::size_t asked = 0;
  for (const bool by_reset : {false, true}) {
    resets = by_reset;
    for (std::size_t cut = 0; cut <= whole.size(); ++cut) {
      part = whole.substr(0, cut);
      const et::TestConnection& caller =
          Run(proxy, {.path = "/tell/" + std::to_string(++asked)});
      const auto answers = et::ParseAnswers(caller.received());
      if (cut == whole.size()) {
        LONGS_EQUAL(1, answers.size());
        CHECK(answers[0].body == et::FormatEvents(1, 2));
      } else if (!answers.empty()) {
        STRCMP_EQUAL_TEXT("502 unknown", et::DescribeAnswer(caller).c_str(),
                          part.c_str());
        CHECK(cut < first.size());
      } else {
        CHECK(caller.received().find(et::FormatEvents(1, 1)) !=
              std::string::npos);
      }
    }
  }
  LONGS_EQUAL(asked, endpoint.requests().size());
}

// An endpoint ends the connection right behind each answer, without saying so
// in it. Orders that follow at once must not go over the dead connection, where
// their outcome would be unknown.
TEST(Ends, AConnectionThatEndedBehindItsAnswerIsNotUsedAgain) {
  et::FakeEndpoint& endpoint = env.AddEndpoint("e1", Cut());
  ep::Proxy& proxy = env.StartReadyNode();
  part = et::FormatAnswer("r", 200, "done");
  et::TestConnection& caller = env.Connect(ep::ViewOf(proxy).callers);
  for (const bool by_reset : {false, true}) {
    resets = by_reset;
    for (int i = 0; i < 10; ++i) {
      const std::size_t before = et::ParseAnswers(caller.received()).size();
      caller.Send(et::FormatRequest({.path = "/once/a"}));
      env.WaitUntil(
          [&] { return et::ParseAnswers(caller.received()).size() > before; });
      STRCMP_EQUAL(
          "200", et::DescribeAnswer(et::ParseAnswers(caller.received()).back())
                     .c_str());
    }
  }
  LONGS_EQUAL(20, endpoint.requests().size());
}

// The only answer that comes is that to another request. The caller waits for
// its own until its time is up, and what comes still later over the same
// connection reaches nobody.
TEST(Ends, AnAnswerToAnotherRequestReachesNobody) {
  et::FakeEndpoint& endpoint =
      env.AddEndpoint("e1", [](const et::EndpointRequest& request) {
        request.connection->Send(et::FormatAnswer("other", 200, "foreign"));
      });
  ep::Proxy& proxy = env.StartReadyNode();
  STRCMP_EQUAL("504 unknown",
               env.SendAndDescribe(
                      proxy, {.path = "/once/a", .id = "r1", .timeout_ms = 200})
                   .c_str());
  const et::TestConnection& next =
      env.SendRequest(proxy, {.path = "/once/b", .id = "r2"});
  env.WaitUntil([&endpoint] { return endpoint.requests().size() == 2; });
  CHECK(endpoint.requests()[0].connection != endpoint.requests()[1].connection);
  endpoint.requests()[0].connection->Send(et::FormatAnswer("r2", 200, "late"));
  endpoint.requests()[1].Answer(200, "own");
  env.WaitUntil([&next] { return !et::DescribeAnswer(next).empty(); });
  STRCMP_EQUAL("own", et::ParseAnswers(next.received())[0].body.c_str());
}

// The answer to another request comes before the caller's own. What follows on
// that connection may be one answer behind from then on, so that it is let go.
TEST(Ends, AConnectionThatGaveAForeignAnswerIsNotUsedAgain) {
  const et::FakeEndpoint& endpoint =
      env.AddEndpoint("e1", [](const et::EndpointRequest& request) {
        request.connection->Send(et::FormatAnswer("other", 200, "foreign"));
        request.Answer(200, "own");
      });
  ep::Proxy& proxy = env.StartReadyNode();
  for (const char* id : {"r1", "r2"}) {
    const et::Answer answer =
        env.SendAndWait(proxy, {.path = "/read/a", .id = id});
    STRCMP_EQUAL("own", answer.body.c_str());
  }
  LONGS_EQUAL(2, endpoint.connections().size());
}

// An endpoint says something more on a connection that nobody uses. The next
// request, which may even have the same id, gets its own answer.
TEST(Ends, AnAnswerOnAnIdleConnectionReachesNobody) {
  et::FakeEndpoint& endpoint = env.AddEndpoint("e1", et::AnswerImmediately());
  ep::Proxy& proxy = env.StartReadyNode();
  STRCMP_EQUAL("200", env.SendAndDescribe(proxy, {.path = "/read/a"}).c_str());
  endpoint.requests()[0].connection->Send(et::FormatAnswer("r", 200, "extra"));
  const et::TestConnection& idle = *endpoint.connections()[0];
  env.WaitUntil([&idle] { return idle.ended(); });
  const et::Answer next = env.SendAndWait(proxy, {.path = "/read/b"});
  STRCMP_EQUAL("done", next.body.c_str());
  LONGS_EQUAL(2, endpoint.connections().size());
}

// Engines die one after the other under a stream that may go on elsewhere. It
// goes on once, as its route allows; sent on and on, it would take down one
// engine after the next. What its caller got must not look whole.
TEST(Ends, AStreamGoesOnAsOftenAsItsRouteAllows) {
  const auto handler = [](const et::EndpointRequest& request) {
    request.BeginStream(request.last_event_id() + 1,
                        request.last_event_id() + 2);
    request.connection->Reset();
  };
  std::vector<et::FakeEndpoint*> endpoints;
  for (const char* id : {"e1", "e2", "e3"}) {
    endpoints.push_back(&env.AddEndpoint(id, handler));
  }
  ep::Proxy& proxy = env.StartReadyNode();
  const et::TestConnection& caller = Run(proxy, {.path = "/talk/a"});
  CHECK(et::ParseAnswers(caller.received()).empty());
  for (int i = 1; i <= 4; ++i) {
    CHECK(caller.received().find(et::FormatEvents(i, i)) != std::string::npos);
  }
  CHECK(caller.received().find(et::FormatEvents(5, 5)) == std::string::npos);
  LONGS_EQUAL(2, SeenBy(endpoints));
}

// The first engine breaks off and the second ends the stream.
TEST(Ends, AStreamThatWentOnElsewhereIsWhole) {
  const auto handler = [](const et::EndpointRequest& request) {
    if (request.last_event_id() == 0) {
      request.BeginStream(1, 3);
      request.connection->Close();
      return;
    }
    request.BeginStream(request.last_event_id() + 1, 6);
    request.connection->Send(et::kLastChunk);
  };
  const std::vector<et::FakeEndpoint*> endpoints = {
      &env.AddEndpoint("e1", handler), &env.AddEndpoint("e2", handler)};
  ep::Proxy& proxy = env.StartReadyNode();
  const et::TestConnection& caller = Run(proxy, {.path = "/talk/a"});
  const auto answers = et::ParseAnswers(caller.received());
  LONGS_EQUAL(1, answers.size());
  STRCMP_EQUAL(et::FormatEvents(1, 6).c_str(), answers[0].body.c_str());
  LONGS_EQUAL(2, SeenBy(endpoints));
}

// Every endpoint fails, and the requests that may be sent again have used up
// what the service may repeat. Sent again all the same, the load would double
// just when the endpoints can't bear it. Each caller gets what happened to it.
TEST(Ends, WithoutRetriesLeftEachFailureIsToldAsItIs) {
  const auto handler = [](const et::EndpointRequest& request) {
    if (request.http.target == "/read/breaks") {
      request.connection->Reset();
    } else if (request.http.target == "/read/fails") {
      request.Answer(500, "own words");
    } else {
      request.AnswerNotRun();
    }
  };
  const std::vector<et::FakeEndpoint*> endpoints = {
      &env.AddEndpoint("e1", handler), &env.AddEndpoint("e2", handler)};
  ep::Proxy& proxy = StartWithoutRetries(2);
  STRCMP_EQUAL("502 unknown",
               env.SendAndDescribe(proxy, {.path = "/read/breaks"}).c_str());
  const et::Answer failed = env.SendAndWait(proxy, {.path = "/read/fails"});
  LONGS_EQUAL(500, failed.status);
  STRCMP_EQUAL("own words", failed.body.c_str());
  STRCMP_EQUAL("503 no",
               env.SendAndDescribe(proxy, {.path = "/read/full"}).c_str());
  LONGS_EQUAL(3, SeenBy(endpoints));
}

// The same for a read whose endpoint says nothing: it is waited for until its
// caller's time is up, and it may have run.
TEST(Ends, WithoutRetriesLeftASilentEndpointIsWaitedFor) {
  const std::vector<et::FakeEndpoint*> endpoints = {
      &env.AddEndpoint("e1", et::LeaveUnanswered()),
      &env.AddEndpoint("e2", et::LeaveUnanswered())};
  ep::Proxy& proxy = StartWithoutRetries(2);
  STRCMP_EQUAL("504 unknown", env.SendAndDescribe(proxy, {.path = "/read/a",
                                                          .timeout_ms = 1500})
                                  .c_str());
  LONGS_EQUAL(1, SeenBy(endpoints));
}

// The same in the middle of a stream that could go on elsewhere.
TEST(Ends, WithoutRetriesLeftAStreamBreaksOff) {
  const auto handler = [](const et::EndpointRequest& request) {
    request.BeginStream(1, 2);
    request.connection->Reset();
  };
  const std::vector<et::FakeEndpoint*> endpoints = {
      &env.AddEndpoint("e1", handler), &env.AddEndpoint("e2", handler)};
  ep::Proxy& proxy = StartWithoutRetries(2);
  const et::TestConnection& caller = Run(proxy, {.path = "/talk/a"});
  CHECK(et::ParseAnswers(caller.received()).empty());
  CHECK(caller.received().find(et::FormatEvents(2, 2)) != std::string::npos);
  LONGS_EQUAL(1, SeenBy(endpoints));
}
