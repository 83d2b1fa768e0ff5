// Endpoints whose answers break off, answer another request or never come.
#include <CppUTest/TestHarness.h>

#include "harness.h"

namespace ep = egretladder::proxy;
namespace et = egretladder::proxy::test;

namespace {

std::size_t CountRequests(const std::vector<et::FakeEndpoint*>& endpoints) {
  std::size_t requests = 0;
  for (const et::FakeEndpoint* endpoint : endpoints)
    requests += endpoint->requests().size();
  return requests;
}

}  // namespace

TEST_GROUP(EndpointFailures) {
  et::TestEnvironment env;
  // The part of an answer that the endpoints send before they disconnect.
  std::string partial_answer;
  bool use_reset = false;

  et::FakeEndpoint::Handler SendPartAndDisconnect() {
    return [this](const et::EndpointRequest& request) {
      request.connection->Send(partial_answer);
      use_reset ? request.connection->Reset() : request.connection->Close();
    };
  }

  // Starts a node without a retry budget.
  ep::Proxy& StartNodeWithoutRetries(std::size_t endpoints) {
    env.Publish();
    ep::ProxyOptions options = env.MakeOptions("n1");
    options.retries = {0, 0, std::chrono::seconds(10)};
    ep::Proxy& proxy = env.StartNode(options);
    env.WaitUntilReady(proxy, endpoints);
    return proxy;
  }

  // Sends a request and waits for its answer or the end of the connection.
  et::TestConnection& SendAndWaitForEnd(ep::Proxy & proxy,
                                        const et::TestRequest& request) {
    et::TestConnection& caller = env.SendRequest(proxy, request);
    env.WaitUntil([&caller] {
      return !et::DescribeAnswer(caller).empty() || caller.ended();
    });
    return caller;
  }
};

// An endpoint dies while it answers a request that is not idempotent: before
// the first byte, in the header fields or in the body. The request may have
// run, so that it is not sent again, and its caller must not be told that it
// has not run. If the endpoint dies right after the last byte, the answer is
// complete.
TEST(EndpointFailures, AnswerCutAnywhereIsReportedAsUnknown) {
  et::FakeEndpoint& endpoint = env.AddEndpoint("e1", SendPartAndDisconnect());
  ep::Proxy& proxy = env.StartReadyNode();
  const std::string complete_answer = et::FormatAnswer("r", 200, "done");
  std::size_t request_count = 0;
  for (const bool reset : {false, true}) {
    use_reset = reset;
    for (std::size_t cut_length = 0; cut_length <= complete_answer.size();
         ++cut_length) {
      partial_answer = complete_answer.substr(0, cut_length);
      const et::Answer answer = env.SendAndWait(
          proxy, {.path = "/once/" + std::to_string(++request_count)});
      const std::string description = et::DescribeAnswer(answer);
      const char* expected =
          cut_length < complete_answer.size() ? "502 unknown" : "200";
      STRCMP_EQUAL_TEXT(expected, description.c_str(), partial_answer.c_str());
      if (cut_length == complete_answer.size())
        STRCMP_EQUAL("done", answer.body.c_str());
    }
  }
  LONGS_EQUAL(request_count, endpoint.requests().size());
}

// An engine dies at any point of a stream that can't be resumed elsewhere. Its
// caller gets the complete events up to that point, and the stream must not
// look complete.
TEST(EndpointFailures, StreamCutAnywhereLooksIncomplete) {
  et::FakeEndpoint& endpoint = env.AddEndpoint("e1", SendPartAndDisconnect());
  ep::Proxy& proxy = env.StartReadyNode();
  const std::string head = et::FormatStreamHead("r");
  const std::string up_to_first_event = head + et::FormatEventChunk(1);
  const std::string complete_answer =
      up_to_first_event + et::FormatEventChunk(2) + et::kLastChunk;
  std::size_t request_count = 0;
  for (const bool reset : {false, true}) {
    use_reset = reset;
    for (std::size_t cut_length = 0; cut_length <= complete_answer.size();
         ++cut_length) {
      partial_answer = complete_answer.substr(0, cut_length);
      const et::TestConnection& caller = SendAndWaitForEnd(
          proxy, {.path = "/tell/" + std::to_string(++request_count)});
      const auto answers = et::ParseAnswers(caller.received());
      if (cut_length == complete_answer.size()) {
        LONGS_EQUAL(1, answers.size());
        CHECK(answers[0].body == et::FormatEvents(1, 2));
      } else if (!answers.empty()) {
        STRCMP_EQUAL_TEXT("502 unknown", et::DescribeAnswer(caller).c_str(),
                          partial_answer.c_str());
        CHECK(cut_length < up_to_first_event.size());
      } else {
        CHECK(caller.received().find(et::FormatEvents(1, 1)) !=
              std::string::npos);
      }
    }
  }
  LONGS_EQUAL(request_count, endpoint.requests().size());
}

// An endpoint closes the connection right after each answer, without announcing
// it in the answer. Requests that follow at once must not be sent over the
// closed connection, where their outcome would be unknown.
TEST(EndpointFailures, ConnectionClosedAfterAnswerIsNotReused) {
  et::FakeEndpoint& endpoint = env.AddEndpoint("e1", SendPartAndDisconnect());
  ep::Proxy& proxy = env.StartReadyNode();
  partial_answer = et::FormatAnswer("r", 200, "done");
  et::TestConnection& caller = env.Connect(ep::ViewOf(proxy).callers);
  for (const bool reset : {false, true}) {
    use_reset = reset;
    for (int i = 0; i < 10; ++i) {
      const std::size_t answers_before =
          et::ParseAnswers(caller.received()).size();
      caller.Send(et::FormatRequest({.path = "/once/a"}));
      env.WaitUntil([&] {
        return et::ParseAnswers(caller.received()).size() > answers_before;
      });
      STRCMP_EQUAL(
          "200", et::DescribeAnswer(et::ParseAnswers(caller.received()).back())
                     .c_str());
    }
  }
  LONGS_EQUAL(20, endpoint.requests().size());
}

// An endpoint answers only with the id of another request. The caller waits for
// its own answer until its deadline, and an answer that arrives even later on
// that connection is not forwarded to any caller.
TEST(EndpointFailures, AnswerToAnotherRequestIsDropped) {
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

// The answer to another request precedes the caller's own answer. All later
// answers on that connection may be off by one, so that it is not reused.
TEST(EndpointFailures, ConnectionWithForeignAnswerIsNotReused) {
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

// An endpoint sends another answer on an idle connection. The next request,
// which may even have the same id, must get its own answer.
TEST(EndpointFailures, AnswerOnIdleConnectionIsDropped) {
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

// Each engine that runs a resumable stream dies. The stream is resumed once, as
// its route allows. If it were resumed without limit, it could crash one engine
// after the other. The part that its caller got must not look complete.
TEST(EndpointFailures, StreamIsResumedAsOftenAsRouteAllows) {
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
  const et::TestConnection& caller =
      SendAndWaitForEnd(proxy, {.path = "/talk/a"});
  CHECK(et::ParseAnswers(caller.received()).empty());
  for (int i = 1; i <= 4; ++i) {
    CHECK(caller.received().find(et::FormatEvents(i, i)) != std::string::npos);
  }
  CHECK(caller.received().find(et::FormatEvents(5, 5)) == std::string::npos);
  LONGS_EQUAL(2, CountRequests(endpoints));
}

// The first engine disconnects in the middle of a stream, and the second engine
// completes it.
TEST(EndpointFailures, ResumedStreamIsComplete) {
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
  const et::TestConnection& caller =
      SendAndWaitForEnd(proxy, {.path = "/talk/a"});
  const auto answers = et::ParseAnswers(caller.received());
  LONGS_EQUAL(1, answers.size());
  STRCMP_EQUAL(et::FormatEvents(1, 6).c_str(), answers[0].body.c_str());
  LONGS_EQUAL(2, CountRequests(endpoints));
}

// Guards against a stream that looks complete because the endpoint that was to
// resume it ended after its head.
TEST(EndpointFailures, StreamResumedByAHeadAloneIsNotComplete) {
  const auto handler = [](const et::EndpointRequest& request) {
    if (request.last_event_id() == 0) {
      request.BeginStream(1, 3);
    } else {
      request.connection->Send("HTTP/1.1 200 OK\r\nX-Id: " + request.id() +
                               "\r\nX-Seal: 1\r\n"
                               "Content-Type: text/event-stream\r\n\r\n");
    }
    request.connection->Close();
  };
  const std::vector<et::FakeEndpoint*> endpoints = {
      &env.AddEndpoint("e1", handler), &env.AddEndpoint("e2", handler)};
  ep::Proxy& proxy = env.StartReadyNode();
  const et::TestConnection& caller =
      SendAndWaitForEnd(proxy, {.path = "/talk/a"});
  CHECK(et::ParseAnswers(caller.received()).empty());
  CHECK(caller.received().find(et::FormatEvents(3, 3)) != std::string::npos);
  LONGS_EQUAL(2, CountRequests(endpoints));
}

// Guards against a stream that is broken off though all of it has come, because
// the endpoint that resumed it had only its end left to send.
TEST(EndpointFailures, StreamResumedAfterItsLastEventIsComplete) {
  std::string framing;
  const auto handler = [&framing](const et::EndpointRequest& request) {
    if (request.last_event_id() == 0) {
      request.BeginStream(1, 3);
      request.connection->Close();
      return;
    }
    request.connection->Send("HTTP/1.1 200 OK\r\nX-Id: " + request.id() +
                             "\r\nX-Seal: 1\r\n"
                             "Content-Type: text/event-stream\r\n" +
                             framing);
  };
  env.AddEndpoint("e1", handler);
  env.AddEndpoint("e2", handler);
  ep::Proxy& proxy = env.StartReadyNode();
  for (const char* each : {"Transfer-Encoding: chunked\r\n\r\n0\r\n\r\n",
                           "Content-Length: 0\r\n\r\n"}) {
    framing = each;
    const et::Answer answer = env.SendAndWait(proxy, {.path = "/talk/a"});
    STRCMP_EQUAL(et::FormatEvents(1, 3).c_str(), answer.body.c_str());
  }
}

// Every endpoint fails, and the retry budget of the service is used up. Retries
// would double the load just when the endpoints can't bear it. Each caller is
// told what happened to its own request.
TEST(EndpointFailures, WithoutRetryBudgetEachFailureIsReported) {
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
  ep::Proxy& proxy = StartNodeWithoutRetries(2);
  STRCMP_EQUAL("502 unknown",
               env.SendAndDescribe(proxy, {.path = "/read/breaks"}).c_str());
  const et::Answer failed = env.SendAndWait(proxy, {.path = "/read/fails"});
  LONGS_EQUAL(500, failed.status);
  STRCMP_EQUAL("own words", failed.body.c_str());
  STRCMP_EQUAL("503 no",
               env.SendAndDescribe(proxy, {.path = "/read/full"}).c_str());
  LONGS_EQUAL(3, CountRequests(endpoints));
}

// Without a retry budget, a silent endpoint is not abandoned for another one.
// The caller waits until its deadline and is told that the request may have
// run.
TEST(EndpointFailures, WithoutRetryBudgetSilentEndpointIsAwaited) {
  const std::vector<et::FakeEndpoint*> endpoints = {
      &env.AddEndpoint("e1", et::LeaveUnanswered()),
      &env.AddEndpoint("e2", et::LeaveUnanswered())};
  ep::Proxy& proxy = StartNodeWithoutRetries(2);
  STRCMP_EQUAL("504 unknown", env.SendAndDescribe(proxy, {.path = "/read/a",
                                                          .timeout_ms = 1500})
                                  .c_str());
  LONGS_EQUAL(1, CountRequests(endpoints));
}

// Without a retry budget, a resumable stream that breaks is not resumed at
// another endpoint.
TEST(EndpointFailures, WithoutRetryBudgetStreamIsAborted) {
  const auto handler = [](const et::EndpointRequest& request) {
    request.BeginStream(1, 2);
    request.connection->Reset();
  };
  const std::vector<et::FakeEndpoint*> endpoints = {
      &env.AddEndpoint("e1", handler), &env.AddEndpoint("e2", handler)};
  ep::Proxy& proxy = StartNodeWithoutRetries(2);
  const et::TestConnection& caller =
      SendAndWaitForEnd(proxy, {.path = "/talk/a"});
  CHECK(et::ParseAnswers(caller.received()).empty());
  CHECK(caller.received().find(et::FormatEvents(2, 2)) != std::string::npos);
  LONGS_EQUAL(1, CountRequests(endpoints));
}

// Guards against a sound endpoint that falls silent for a second and is given
// up, its request lost or run twice.
TEST(EndpointFailures, SilenceOfASecondEndsNothing) {
  std::vector<et::EndpointRequest> requests;
  env.AddEndpoint("e1", [&requests](const et::EndpointRequest& request) {
    requests.push_back(request);
    if (request.http.target.starts_with("/tell/")) request.BeginStream(1, 2);
  });
  ep::Proxy& proxy = env.StartReadyNode();
  et::TestConnection& once =
      env.SendRequest(proxy, {.path = "/once/a", .id = "o"});
  et::TestConnection& stream =
      env.SendRequest(proxy, {.path = "/tell/a", .id = "s"});
  env.WaitUntil([&requests] { return requests.size() == 2; });
  env.RunLoopFor(std::chrono::milliseconds(1300));
  for (const et::EndpointRequest& request : requests) {
    if (request.id() == "o") {
      request.Answer(200, "done");
    } else {
      request.connection->Send(et::FormatEventChunk(3));
      request.connection->Send(et::kLastChunk);
    }
  }
  env.WaitUntil([&] {
    return !et::DescribeAnswer(once).empty() &&
           !et::DescribeAnswer(stream).empty();
  });
  STRCMP_EQUAL("200", et::DescribeAnswer(once).c_str());
  STRCMP_EQUAL(et::FormatEvents(1, 3).c_str(),
               et::ParseAnswers(stream.received()).front().body.c_str());
  LONGS_EQUAL(2, requests.size());
}
