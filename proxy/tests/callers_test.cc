// Callers that disconnect, wait or send too much.
#include <CppUTest/TestHarness.h>

#include "harness.h"

namespace ep = egretladder::proxy;
namespace et = egretladder::proxy::test;

namespace {

int CountOccurrences(const std::string& text, const std::string& pattern) {
  int count = 0;
  std::size_t position = text.find(pattern);
  while (position != std::string::npos) {
    ++count;
    position = text.find(pattern, position + 1);
  }
  return count;
}

}  // namespace

TEST_GROUP(Callers) {
  et::TestEnvironment env;

  // Sends a request whose body is larger than the socket buffers between the
  // node and an endpoint that doesn't read, and waits until a part of it was
  // sent.
  et::TestConnection& SendPartOfBody(ep::Proxy & proxy,
                                     const et::FakeEndpoint& endpoint) {
    et::TestConnection& caller =
        env.SendRequest(proxy, {.path = "/once/a",
                                .id = "large",
                                .body = std::string(12U << 20U, 'x')});
    env.WaitUntil([&] {
      const auto connections = endpoint.connections();
      return !connections.empty() && connections[0]->unread_bytes() > 0;
    });
    return caller;
  }
};

// A caller disconnects while its large body is still being sent to an endpoint
// that reads slowly. If the connection were reused, the endpoint would read the
// next request as the rest of that body, or as a second request of the first
// caller.
TEST(Callers, PartlySentBodyClosesConnection) {
  et::FakeEndpoint& endpoint = env.AddEndpoint("e1", et::AnswerImmediately());
  endpoint.PauseReading(true);
  ep::Proxy& proxy = env.StartReadyNode();
  SendPartOfBody(proxy, endpoint).Close();
  env.WaitUntil([&proxy] { return ep::ViewOf(proxy).calls == 0; });
  et::TestConnection& next =
      env.SendRequest(proxy, {.path = "/once/b", .id = "next"});
  env.WaitUntil([&endpoint] { return endpoint.connections().size() == 2; });
  endpoint.PauseReading(false);
  const et::TestConnection& first = *endpoint.connections()[0];
  env.WaitUntil(
      [&] { return first.ended() && !et::DescribeAnswer(next).empty(); });
  STRCMP_EQUAL("200", et::DescribeAnswer(next).c_str());
  LONGS_EQUAL(1, endpoint.requests().size());
  STRCMP_EQUAL("next", endpoint.requests()[0].id().c_str());
  LONGS_EQUAL(1, CountOccurrences(first.received(), "POST "));
  CHECK(first.received().size() < 12U << 20U);
}

// An endpoint refuses a large body before it has read it. The rest of the body
// is still to be sent on that connection, so that the next request must use
// another one.
TEST(Callers, AnswerBeforeEndOfBodyClosesConnection) {
  et::FakeEndpoint& endpoint = env.AddEndpoint("e1", et::AnswerImmediately());
  endpoint.PauseReading(true);
  ep::Proxy& proxy = env.StartReadyNode();
  const et::TestConnection& caller = SendPartOfBody(proxy, endpoint);
  endpoint.connections()[0]->Send(et::FormatAnswer("large", 413, "too large"));
  env.WaitUntil([&caller] { return !et::DescribeAnswer(caller).empty(); });
  STRCMP_EQUAL("413", et::DescribeAnswer(caller).c_str());
  const et::TestConnection& next =
      env.SendRequest(proxy, {.path = "/once/b", .id = "next"});
  env.WaitUntil([&endpoint] { return endpoint.connections().size() == 2; });
  endpoint.PauseReading(false);
  env.WaitUntil([&next] { return !et::DescribeAnswer(next).empty(); });
  STRCMP_EQUAL("200", et::DescribeAnswer(next).c_str());
  LONGS_EQUAL(1, endpoint.requests().size());
}

// A caller disconnects in the middle of its stream. An engine that goes on
// working for it would delay other callers.
TEST(Callers, EndpointIsDisconnectedWhenCallerLeavesStream) {
  et::FakeEndpoint& endpoint = env.AddEndpoint(
      "e1",
      [](const et::EndpointRequest& request) { request.BeginStream(1, 3); });
  ep::Proxy& proxy = env.StartReadyNode();
  et::TestConnection& caller = env.SendRequest(proxy, {.path = "/talk/a"});
  env.WaitUntil(
      [&caller] { return CountOccurrences(caller.received(), "data:") == 3; });
  caller.Close();
  env.WaitUntil(
      [&endpoint] { return endpoint.requests()[0].connection->ended(); });
  LONGS_EQUAL(0, ep::ViewOf(proxy).calls);
  LONGS_EQUAL(1, endpoint.requests().size());
}

// A caller pipelines two requests, and the node stops before it has read the
// second one. Closing the connection with unread data resets it, and the caller
// loses the answer to the first request.
TEST(Callers, UnreadPipelinedRequestDoesNotLoseAnswer) {
  et::FakeEndpoint& endpoint = env.AddEndpoint("e1", et::LeaveUnanswered());
  ep::Proxy& proxy = env.StartReadyNode();
  et::TestConnection& caller =
      env.SendRequest(proxy, {.path = "/once/a", .id = "first"});
  caller.Send(et::FormatRequest({.path = "/once/b",
                                 .id = "second",
                                 .body = std::string(1U << 20U, 'x')}));
  env.WaitUntil([&endpoint] { return endpoint.requests().size() == 1; });
  ep::Leave(proxy);
  const std::string body(3U << 20U, 'y');
  endpoint.requests()[0].Answer(200, body);
  env.WaitUntil([&caller] { return caller.ended(); });
  const auto answers = et::ParseAnswers(caller.received());
  LONGS_EQUAL(1, answers.size());
  CHECK(answers[0].body == body);
  CHECK_FALSE(answers[0].keep_alive);
  LONGS_EQUAL(1, endpoint.requests().size());
}

// The bodies of requests fill the memory that is reserved for them. A further
// body is refused until another call has ended.
TEST(Callers, BodyBeyondMemoryLimitIsRefusedUntilOthersEnd) {
  et::FakeEndpoint& endpoint = env.AddEndpoint("e1", et::LeaveUnanswered());
  env.Publish();
  ep::ProxyOptions options = env.MakeOptions("n1");
  options.memory_bytes = 100'000;
  ep::Proxy& proxy = env.StartNode(options);
  env.WaitUntilReady(proxy, 1);
  const std::string body(20'000, 'x');
  const et::TestConnection& first =
      env.SendRequest(proxy, {.path = "/once/a", .body = body});
  env.WaitUntil([&endpoint] { return endpoint.requests().size() == 1; });
  STRCMP_EQUAL(
      "503 no",
      env.SendAndDescribe(proxy, {.path = "/once/b", .body = body}).c_str());
  endpoint.requests()[0].Answer(200, "done");
  env.WaitUntil([&first] { return !et::DescribeAnswer(first).empty(); });
  STRCMP_EQUAL("200", et::DescribeAnswer(first).c_str());
  // A call that its caller abandons releases its memory, too.
  et::TestConnection& abandoned =
      env.SendRequest(proxy, {.path = "/once/c", .body = body});
  env.WaitUntil([&endpoint] { return endpoint.requests().size() == 2; });
  abandoned.Close();
  env.WaitUntil([&proxy] { return ep::ViewOf(proxy).calls == 0; });
  const et::TestConnection& third =
      env.SendRequest(proxy, {.path = "/once/d", .body = body});
  env.WaitUntil([&endpoint] { return endpoint.requests().size() == 3; });
  endpoint.requests()[2].Answer(200, "done");
  env.WaitUntil([&third] { return !et::DescribeAnswer(third).empty(); });
  STRCMP_EQUAL("200", et::DescribeAnswer(third).c_str());
}

// Guards against large bodies that come slowly, or never, and leave no room for
// the small requests of others.
TEST(Callers, StalledUploadsLeaveRoomForSmallRequests) {
  env.AddEndpoint("e1", et::AnswerImmediately());
  env.Publish();
  ep::ProxyOptions options = env.MakeOptions("n1");
  options.memory_bytes = 1'000'000;
  ep::Proxy& proxy = env.StartNode(options);
  env.WaitUntilReady(proxy, 1);
  const std::string request =
      et::FormatRequest({.path = "/once/a", .body = std::string(97'000, 'x')});
  for (const std::size_t size : {request.size() - 1, request.size() - 1,
                                 request.size() - 1, std::size_t{55'000}}) {
    env.Connect(ep::ViewOf(proxy).callers).Send(request.substr(0, size));
  }
  env.RunLoopFor(std::chrono::milliseconds(100));
  STRCMP_EQUAL("200",
               env.SendAndDescribe(proxy, {.path = "/once/b",
                                           .id = "small",
                                           .body = std::string(4000, 'x')})
                   .c_str());
}

// Guards against bodies that fill the memory while they are still received.
TEST(Callers, IncompleteBodiesCountAgainstTheMemoryLimit) {
  env.AddEndpoint("e1", et::AnswerImmediately());
  env.Publish();
  ep::ProxyOptions options = env.MakeOptions("n1");
  options.memory_bytes = 100'000;
  ep::Proxy& proxy = env.StartNode(options);
  env.WaitUntilReady(proxy, 1);
  const std::string body(20'000, 'x');
  const std::string request =
      et::FormatRequest({.path = "/once/a", .body = body});
  const std::string part = request.substr(0, request.size() - 1);
  et::TestConnection& first = env.Connect(ep::ViewOf(proxy).callers);
  first.Send(part);
  env.RunLoopFor(std::chrono::milliseconds(50));
  et::TestConnection& second = env.Connect(ep::ViewOf(proxy).callers);
  second.Send(part);
  env.WaitUntil([&second] { return !et::DescribeAnswer(second).empty(); });
  STRCMP_EQUAL("503 no", et::DescribeAnswer(second).c_str());
  first.Send("x");
  env.WaitUntil([&first] { return !et::DescribeAnswer(first).empty(); });
  STRCMP_EQUAL("200", et::DescribeAnswer(first).c_str());
  // A caller that leaves gives its room back.
  env.Connect(ep::ViewOf(proxy).callers).Send(part);
  env.RunLoopFor(std::chrono::milliseconds(50));
  et::TestConnection& leaving = env.Connect(ep::ViewOf(proxy).callers);
  leaving.Send(part.substr(0, part.size() / 4));
  env.RunLoopFor(std::chrono::milliseconds(50));
  leaving.Close();
  env.RunLoopFor(std::chrono::milliseconds(50));
  et::TestConnection& last = env.Connect(ep::ViewOf(proxy).callers);
  last.Send(
      et::FormatRequest({.path = "/once/b", .body = body.substr(0, 4'000)}));
  env.WaitUntil([&last] { return !et::DescribeAnswer(last).empty(); });
  STRCMP_EQUAL("200", et::DescribeAnswer(last).c_str());
}

// The deadlines of two requests end while they are at an endpoint, and that of
// a third one while it waits for a free slot. Only the third caller may be told
// that its request has not run.
TEST(Callers, OnlyUnsentRequestsAreReportedNotRunAtDeadline) {
  et::FakeEndpoint& endpoint = env.AddEndpoint("e1", et::LeaveUnanswered());
  ep::Proxy& proxy = env.StartReadyNode();
  const et::TestConnection& first =
      env.SendRequest(proxy, {.path = "/once/a", .timeout_ms = 1500});
  const et::TestConnection& second =
      env.SendRequest(proxy, {.path = "/once/b", .timeout_ms = 1500});
  env.WaitUntil([&endpoint] { return endpoint.requests().size() == 2; });
  const et::TestConnection& third =
      env.SendRequest(proxy, {.path = "/once/c", .timeout_ms = 200});
  env.WaitUntil([&proxy] { return ep::ViewOf(proxy).waiting == 1; });
  env.WaitUntil([&] {
    return !et::DescribeAnswer(first).empty() &&
           !et::DescribeAnswer(second).empty() &&
           !et::DescribeAnswer(third).empty();
  });
  STRCMP_EQUAL("504 unknown", et::DescribeAnswer(first).c_str());
  STRCMP_EQUAL("504 unknown", et::DescribeAnswer(second).c_str());
  STRCMP_EQUAL("503 no", et::DescribeAnswer(third).c_str());
  LONGS_EQUAL(2, endpoint.requests().size());
}

// The connection of an idempotent request breaks at an endpoint that then
// disappears, and the request waits for another endpoint until its deadline. It
// may have run, so that its caller must not be told that it has not.
TEST(Callers, RequestWaitingAfterBreakIsReportedAsUnknown) {
  et::FakeEndpoint& endpoint = env.AddEndpoint("e1", et::LeaveUnanswered());
  ep::Proxy& proxy = env.StartReadyNode();
  const et::TestConnection& caller =
      env.SendRequest(proxy, {.path = "/read/a", .timeout_ms = 900});
  env.WaitUntil([&endpoint] { return endpoint.requests().size() == 1; });
  env.store.Remove("endpoints/e1");
  env.WaitUntil([&proxy] { return ep::ViewOf(proxy).endpoints == 0; });
  endpoint.connections()[0]->Reset();
  env.WaitUntil([&proxy] { return ep::ViewOf(proxy).waiting == 1; });
  env.WaitUntil([&caller] { return !et::DescribeAnswer(caller).empty(); });
  CHECK_TEXT(et::DescribeAnswer(caller).ends_with(" unknown"),
             et::DescribeAnswer(caller).c_str());
}
