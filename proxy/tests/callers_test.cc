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
  et::TestEnvironment env;

  // A request whose body is larger than what an endpoint that doesn't read and
  // the system between them hold, when a part of it has left.
  et::TestConnection& SendHalf(ep::Proxy & proxy,
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

// A caller goes while its large body still goes out to an endpoint that reads
// slowly. On a connection that was used again, the next request would be read
// as the rest of that body, or as a second request of the first caller.
TEST(Callers, ABodyThatIsHalfSentEndsItsConnection) {
  et::FakeEndpoint& endpoint = env.AddEndpoint("e1", et::AnswerImmediately());
  endpoint.PauseReading(true);
  ep::Proxy& proxy = env.StartReadyNode();
  SendHalf(proxy, endpoint).Close();
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
  LONGS_EQUAL(1, CountIn(first.received(), "POST "));
  CHECK(first.received().size() < 12U << 20U);
}

// An endpoint refuses a large body before it has read it. The rest of the body
// still waits to be sent; the next caller's request would stand behind it.
TEST(Callers, AnAnswerBeforeTheBodyIsSentEndsItsConnection) {
  et::FakeEndpoint& endpoint = env.AddEndpoint("e1", et::AnswerImmediately());
  endpoint.PauseReading(true);
  ep::Proxy& proxy = env.StartReadyNode();
  const et::TestConnection& caller = SendHalf(proxy, endpoint);
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

// A caller goes in the middle of its stream. An engine that went on for nobody
// would keep others waiting.
TEST(Callers, WhenACallerLeavesItsStreamTheEndpointIsTold) {
  et::FakeEndpoint& endpoint = env.AddEndpoint(
      "e1",
      [](const et::EndpointRequest& request) { request.BeginStream(1, 3); });
  ep::Proxy& proxy = env.StartReadyNode();
  et::TestConnection& caller = env.SendRequest(proxy, {.path = "/talk/a"});
  env.WaitUntil([&caller] { return CountIn(caller.received(), "data:") == 3; });
  caller.Close();
  env.WaitUntil([&endpoint] { return endpoint.connections()[0]->ended(); });
  LONGS_EQUAL(0, ep::ViewOf(proxy).calls);
  LONGS_EQUAL(1, endpoint.requests().size());
}

// The second of two requests that a caller sends at once is not read when the
// node stops. Closed with it unread, the connection would be reset and take the
// first one's answer with it.
TEST(Callers, UnreadBytesBehindTheLastRequestDoNotCostItsAnswer) {
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

// Bodies of some callers fill the part of the memory that is kept for them. One
// more is refused while there is no room, and taken once there is.
TEST(Callers, ABodyWithoutRoomIsRefusedUntilOthersHaveEnded) {
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
  // One that its caller gives up has room to give back as well.
  et::TestConnection& given_up =
      env.SendRequest(proxy, {.path = "/once/c", .body = body});
  env.WaitUntil([&endpoint] { return endpoint.requests().size() == 2; });
  given_up.Close();
  env.WaitUntil([&proxy] { return ep::ViewOf(proxy).calls == 0; });
  const et::TestConnection& third =
      env.SendRequest(proxy, {.path = "/once/d", .body = body});
  env.WaitUntil([&endpoint] { return endpoint.requests().size() == 3; });
  endpoint.requests()[2].Answer(200, "done");
  env.WaitUntil([&third] { return !et::DescribeAnswer(third).empty(); });
  STRCMP_EQUAL("200", et::DescribeAnswer(third).c_str());
}

// The time of two callers ends while their requests are at an endpoint, that of
// a third while it waits for a free place there. Only the third may be told
// that nothing ran.
TEST(Callers, AtTheDeadlineOnlyWhatWasNeverSentIsToldAsNotRun) {
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

// A read breaks at an endpoint, which goes, and waits for another until its
// caller's time is up. It may have run: its caller must not be told that it
// didn't.
TEST(Callers, WhatWaitsAfterABreakIsNotToldAsNotRun) {
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
