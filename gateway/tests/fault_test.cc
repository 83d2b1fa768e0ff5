#include <CppUTest/TestHarness.h>

#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "harness.h"
#include "http_client_p.h"

using namespace std::chrono_literals;
namespace et = egretladder::gateway::testing;
namespace eg = egretladder::gateway;

namespace {

/// A service that refuses its first call, and sends a copy of the refusal
/// before its answer to a later call on the same connection.
struct CopyingEndpoint {
  explicit CopyingEndpoint(const std::string& status_and_fields)
      : refusal("HTTP/1.1 " + status_and_fields +
                "\r\nContent-Length: 0\r\n\r\n") {}

  std::string Answer(std::size_t connection) {
    const std::string answer = "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\n{}";
    if (!refusing) {
      refusing = connection;
      return refusal;
    }
    ++runs;
    return connection == *refusing ? refusal + answer : answer;
  }

  std::string refusal;
  std::optional<std::size_t> refusing;
  std::size_t runs = 0;
};

/// A node whose only endpoint answers over plain sockets.
struct RawNode {
  /// The endpoint is an engine that gives fixed answers.
  RawNode(const std::string& answer, bool close,
          const eg::Limits& limits = eg::Limits())
      : server(loop, answer, close),
        node(et::StartTestNode(loop, "n1", platform.address, limits)) {
    Start(
        {.endpoints = {server.address}, .nodes = {et::NodeLine("n1", *node)}});
  }
  explicit RawNode(CopyingEndpoint& endpoint)
      : server(loop, "", false),
        node(et::StartTestNode(loop, "n1", platform.address)) {
    server.handler = [&endpoint](std::size_t connection) {
      return endpoint.Answer(connection);
    };
    Start({.nodes = {et::NodeLine("n1", *node)}, .services = {server.address}});
  }
  void Start(const et::RulesParts& parts) {
    et::Publish(platform, et::RulesText(parts));
    CHECK_TRUE(et::RunUntil(loop, [this] {
      return egretladder::node::ViewOf(eg::NodeOf(*node), loop.clock.now).ready;
    }));
  }
  std::string Lane() {
    return egretladder::node::Where(eg::NodeOf(*node), "bole", loop.clock.now)
        .lane;
  }
  et::TestLoop loop;
  // The node has to be gone before the server that it is connected to.
  et::RawServer server;
  et::FakeServer platform{loop};
  eg::GatewayPtr node;
};

template <typename Fixture>
std::string Ask(Fixture& fixture, const std::string& request) {
  et::RawCaller caller(fixture.loop, eg::CallerAddressOf(*fixture.node));
  caller.Send(request);
  CHECK_TRUE(et::RunUntil(fixture.loop, [&caller] {
    return et::IsWhole(caller.got) || caller.ended;
  }));
  return caller.got;
}

std::string AskChat(et::OneNode& fixture, bool stream) {
  return Ask(fixture, et::ChatRequest(et::ChatBodyText(stream)));
}

/// What a caller gets when the only endpoint answers `answer` each time.
std::string AnswerTo(const std::string& answer, bool close, bool stream,
                     std::size_t* requests = nullptr) {
  eg::Limits limits;
  limits.answer_time = 100ms;
  RawNode one(answer, close, limits);
  const std::string got = Ask(one, et::ChatRequest(et::ChatBodyText(stream)));
  if (requests != nullptr) *requests = one.server.requests;
  return got;
}

/// A call that must run once.
std::string EnrolRequest(RawNode& one, const std::string& key) {
  CHECK_TRUE(et::RunUntil(one.loop, [&one] { return !one.Lane().empty(); }));
  return "POST /svc/seats/enrol HTTP/1.1\r\nHost: n\r\n"
         "X-Client-Account: abay\r\nX-Request-Class: enrol\r\n"
         "Egretladder-Lane: " +
         one.Lane() + "\r\nIdempotency-Key: " + key +
         "\r\nContent-Length: 0\r\n\r\n";
}

}  // namespace

TEST_GROUP(EndpointFaults){};

// An engine's process is replaced by something else on its port, or its memory
// is broken. The caller must not get that as its answer.
TEST(EndpointFaults, GarbageIsNoAnswer) {
  const std::string got = AnswerTo("\x01\x02 no http\r\n\r\n", true, false);
  CHECK(et::StatusIn(got) >= 500);
  STRCMP_CONTAINS("\"code\":\"endpoint_failed\"", got.c_str());
  STRCMP_CONTAINS("\"ran\":\"unknown\"", got.c_str());
}

// Something between node and engine puts its own error page in place of the
// answer. A caller that reads JSON would break on it.
TEST(EndpointFaults, JsonThatIsNoneIsNoAnswer) {
  const std::string got = AnswerTo(
      "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\n"
      "Content-Length: 9\r\n\r\n<html>no!",
      false, false);
  STRCMP_CONTAINS("\"code\":\"endpoint_failed\"", got.c_str());
}

// An engine dies in the middle of an answer. Passed on, half a trace summary
// looks like a whole one.
TEST(EndpointFaults, HalfAnAnswerIsNoAnswer) {
  const std::string got = AnswerTo(
      "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\n"
      "Content-Length: 100\r\n\r\n{\"choices\":[",
      true, false);
  STRCMP_CONTAINS("\"code\":\"endpoint_failed\"", got.c_str());
  STRCMP_CONTAINS("\"ran\":\"unknown\"", got.c_str());
}

// An engine dies in the middle of a stream. The caller has its part already;
// without an error event it takes that for the whole.
TEST(EndpointFaults, HalfAStreamEndsWithAnErrorEventAndWithoutDone) {
  const std::string got = AnswerTo(
      "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n"
      "Transfer-Encoding: chunked\r\n\r\n10\r\ndata: {\"a\": 1}\n\n\r\n",
      true, true);
  CHECK_EQUAL(200, et::StatusIn(got));
  STRCMP_CONTAINS("data: {\"a\": 1}", got.c_str());
  STRCMP_CONTAINS("data: {\"error\":", got.c_str());
  CHECK(got.find("[DONE]") == std::string::npos);
}

// An engine is stopped and closes its streams in order, before their last
// event. To HTTP the answer is complete; the text stops in mid-sentence.
TEST(EndpointFaults, StreamThatEndsInOrderWithoutDoneIsHalf) {
  const std::string got = AnswerTo(
      "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n"
      "Transfer-Encoding: chunked\r\n\r\n10\r\ndata: {\"a\": 1}\n\n\r\n"
      "0\r\n\r\n",
      false, true);
  STRCMP_CONTAINS("data: {\"error\":", got.c_str());
}

// An endpoint accepts calls and never answers. Without a time-out each such
// call keeps its slot for ever.
TEST(EndpointFaults, NothingEndsAtTheTimeOut) {
  const std::string got = AnswerTo("", false, false);
  CHECK(et::StatusIn(got) >= 500);
  STRCMP_CONTAINS("\"ran\":\"unknown\"", got.c_str());
}

// An endpoint says its answer is shorter than it is. The rest stands on the
// connection and would become the answer to the next caller's request.
TEST(EndpointFaults, RestOfAWrongLengthReachesNobody) {
  RawNode one(
      "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\n"
      "Content-Length: 2\r\n\r\n{}"
      "HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\n{\"o\":\"x\"}",
      false);
  for (int i = 0; i < 3; ++i) {
    const std::string got = Ask(one, et::ChatRequest(et::ChatBodyText(false)));
    STRCMP_CONTAINS("\r\n\r\n{}", got.c_str());
    CHECK(got.find("\"o\"") == std::string::npos);
  }
}

// Guards against a copy of a refusal that ends the next attempt of the call.
TEST(EndpointFaults, CopyOfARefusalIsNotTheAnswerToTheNextAttempt) {
  CopyingEndpoint endpoint("503 Full\r\nX-Not-Run: yes");
  RawNode one(endpoint);
  const std::string got = Ask(one, EnrolRequest(one, "k1"));
  CHECK_EQUAL(1U, endpoint.runs);
  CHECK_EQUAL(200, et::StatusIn(got));
}

// Guards against a copy of a refusal that another caller gets as its answer.
TEST(EndpointFaults, CopyOfARefusalIsNotTheAnswerToTheNextCall) {
  for (const char* refusal :
       {"400 Bad", "408 Late", "421 Elsewhere", "429 Many", "503 Full",
        "409 Conflict\r\nX-Not-Run: yes"}) {
    CopyingEndpoint endpoint(refusal);
    RawNode one(endpoint);
    const std::string first = Ask(one, EnrolRequest(one, "k1"));
    CHECK_EQUAL(std::stoi(refusal), et::StatusIn(first));
    const std::string second = Ask(one, EnrolRequest(one, "k2"));
    CHECK_EQUAL(200, et::StatusIn(second));
    CHECK_EQUAL(1U, endpoint.runs);
  }
}

// Guards against a new connection for each request after other errors.
TEST(EndpointFaults, AConnectionThatCarriedNoRefusalIsReused) {
  et::TestLoop loop;
  et::RawServer server(loop, "", false);
  std::vector<std::size_t> connections;
  server.handler = [&connections](std::size_t connection) {
    connections.push_back(connection);
    return "HTTP/1.1 500 Broken\r\nContent-Length: 0\r\n\r\n";
  };
  const eg::HttpClientPtr client = eg::OpenHttpClient(loop.loop);
  for (std::size_t i = 1; i <= 3; ++i) {
    eg::ExchangeSpec spec;
    spec.address = server.address;
    spec.answer_time = spec.idle_timeout = 5s;
    bool fetched = false;
    eg::Fetch(*client, spec, 100,
              [&fetched](const eg::Fetched* /*got*/) { fetched = true; });
    CHECK_TRUE(et::RunUntil(loop, [&fetched] { return fetched; }));
    CHECK_EQUAL(i, connections.size());
    CHECK_EQUAL(0U, connections.back());
  }
}

// An engine restarts between two calls. The pooled connection is dead; a call
// written to it may have been read before the end, so only what may be repeated
// goes elsewhere.
TEST(EndpointFaults, ConnectionClosedAfterTheRequestMayHaveRun) {
  std::size_t requests = 0;
  const std::string got = AnswerTo("", true, false, &requests);
  STRCMP_CONTAINS("\"ran\":\"unknown\"", got.c_str());
  CHECK(requests >= 1);
}

// An engine's process is gone and its VM refuses connections. A caller told
// "unknown" would not dare to send its payment again.
TEST(EndpointFaults, RefusedConnectionIsCertainlyNotRun) {
  et::OneNode one;
  one.endpoint.StopListening();
  const std::string got = Ask(
      one,
      et::ChatRequest(et::ChatBodyText(false), "X-Request-Timeout: 3s\r\n"));
  CHECK(et::StatusIn(got) >= 500);
  STRCMP_CONTAINS("\"ran\":\"no\"", got.c_str());
}

// An engine with a full queue refuses a call unrun. Without another attempt the
// caller gets an error although there is room elsewhere.
TEST(EndpointFaults, RefusalUnrunIsSentAgain) {
  et::OneNode one;
  // Retries are paid for by successes.
  constexpr std::size_t kSuccesses = 20;
  for (std::size_t i = 0; i < kSuccesses; ++i) AskChat(one, false);
  one.endpoint.handler = [&one](evhttp_request* request) {
    evbuffer* body = evbuffer_new();
    evbuffer_add_printf(body, "{}");
    const bool refuse = one.endpoint.seen.size() == kSuccesses + 1;
    if (refuse) {
      evhttp_add_header(evhttp_request_get_output_headers(request), "X-Not-Run",
                        "yes");
    }
    evhttp_send_reply(request, refuse ? HTTP_SERVUNAVAIL : HTTP_OK, nullptr,
                      body);
    evbuffer_free(body);
  };
  const std::string got = AskChat(one, false);
  CHECK_EQUAL(200, et::StatusIn(got));
  CHECK_EQUAL(kSuccesses + 2, one.endpoint.seen.size());
  STRCMP_EQUAL("2", one.endpoint.seen.back().headers["X-Attempt"].c_str());
}

// Guards against calls that go on to an engine whose answer, or whose report,
// says that it leaves.
TEST(EndpointFaults, AnEngineThatLeavesGetsNoMoreCalls) {
  for (const bool in_report : {false, true}) {
    et::OneNode one;
    AskChat(one, false);
    one.endpoint.leaving_paths = {in_report ? "/report"
                                            : "/v1/chat/completions"};
    const std::size_t reports = one.endpoint.reports;
    if (in_report) {
      CHECK_TRUE(et::RunUntil(one.loop, [&one, reports] {
        return one.endpoint.reports > reports + 1;
      }));
    } else {
      CHECK_EQUAL(200, et::StatusIn(AskChat(one, false)));
    }
    const std::size_t seen = one.endpoint.seen.size();
    const std::string got = AskChat(one, false);
    CHECK_EQUAL(503, et::StatusIn(got));
    STRCMP_CONTAINS("\"ran\":\"no\"", got.c_str());
    CHECK_EQUAL(seen, one.endpoint.seen.size());
  }
}

// Guards against calls in the time for which an engine asked for none, and
// against a value that can't be read.
TEST(EndpointFaults, AnEngineIsLeftAloneForTheTimeThatItAskedFor) {
  et::OneNode one;
  AskChat(one, false);
  std::string retry_after = "soon";
  one.endpoint.handler = [&retry_after](evhttp_request* request) {
    evkeyvalq* headers = evhttp_request_get_output_headers(request);
    evhttp_add_header(headers, "X-Not-Run", "yes");
    evhttp_add_header(headers, "Retry-After", retry_after.c_str());
    evhttp_send_reply(request, HTTP_SERVUNAVAIL, nullptr, nullptr);
  };
  AskChat(one, false);
  CHECK(one.endpoint.seen.size() > 1);
  retry_after = "30";
  AskChat(one, false);
  const std::size_t seen = one.endpoint.seen.size();
  const std::string got = AskChat(one, false);
  CHECK_EQUAL(503, et::StatusIn(got));
  CHECK_EQUAL(seen, one.endpoint.seen.size());
  STRCMP_CONTAINS("Retry-After: ", got.c_str());
}

TEST_GROUP(CallerFaults){};

// A caller's connection breaks before its body is complete. Sent on, half a
// question would take a slot for an answer that nobody gets.
TEST(CallerFaults, TruncatedBodyReachesNoEndpoint) {
  et::OneNode one;
  et::RawCaller caller(one.loop, eg::CallerAddressOf(*one.node));
  const std::string request = et::ChatRequest(et::ChatBodyText(false));
  caller.Send(request.substr(0, request.size() - 5));
  CHECK_TRUE(et::RunUntil(
      one.loop, [&one] { return eg::ViewOf(*one.node).connections > 0; }));
  caller.Leave();
  CHECK_TRUE(et::RunUntil(
      one.loop, [&one] { return eg::ViewOf(*one.node).connections == 0; }));
  CHECK_EQUAL(0U, one.endpoint.seen.size());
  const std::string got = AskChat(one, false);
  CHECK_EQUAL(200, et::StatusIn(got));
}

// A client sends a whole archive as its prompt. Held in memory, a few such
// bodies would leave no room for the other callers.
TEST(CallerFaults, OversizedBodyIsRefused) {
  eg::Limits limits;
  limits.body_bytes = 1000;
  et::OneNode one(limits);
  const std::string got = Ask(one, et::ChatRequest(std::string(5000, 'x')));
  CHECK_EQUAL(413, et::StatusIn(got));
  CHECK_EQUAL(0U, one.endpoint.seen.size());
}

// A faulty client, or somebody unfriendly, sends headers without end.
TEST(CallerFaults, HeaderFloodIsCutOff) {
  et::OneNode one;
  et::RawCaller caller(one.loop, eg::CallerAddressOf(*one.node));
  std::string flood = "GET /healthz HTTP/1.1\r\n";
  for (int i = 0; i < 5000; ++i) flood += "X-Flood: aaaaaaaaaaaaaaaaaaaa\r\n";
  caller.Send(flood);
  CHECK_TRUE(et::RunUntil(one.loop, [&caller] { return caller.ended; }));
  CHECK(et::StatusIn(caller.got) != 200);
}

// A client sends its request a byte at a time and holds its connection for
// hours; a few thousand of them take every connection.
TEST(CallerFaults, SlowRequestIsCutOffInTime) {
  et::OneNode one;
  et::RawCaller caller(one.loop, eg::CallerAddressOf(*one.node));
  caller.Send("GET /hea");
  CHECK_TRUE(et::RunUntil(
      one.loop, [&one] { return eg::ViewOf(*one.node).connections == 1; }));
  egretladder::kernel::Advance(one.loop.clock, eg::Limits().request_time - 10s);
  caller.Send("l");
  CHECK_FALSE(caller.ended);
  egretladder::kernel::Advance(one.loop.clock, 10s);
  CHECK_TRUE(et::RunUntil(one.loop, [&caller] { return caller.ended; }));
}

// A caller sends a request whose end is open to doubt, and another one behind
// it. Read as two, the second would run at an endpoint under an account that
// its sender chose.
TEST(CallerFaults, DoubtfulFramingReachesNoEndpoint) {
  et::OneNode one;
  const std::string hidden = et::ChatRequest(et::ChatBodyText(false));
  for (const char* framing :
       {"Content-Length: 3\r\nContent-Length: 40", "Content-Length : 3",
        "Content-Length: +3", "Transfer-Encoding: chunked\r\nX: y\r\n\r\n0x3",
        "Transfer-Encoding: chunked\r\nContent-Length: 3"}) {
    const std::string got =
        Ask(one, "POST /svc/booking/x HTTP/1.1\r\nHost: n\r\n" +
                     std::string(framing) + "\r\n\r\nabc" + hidden);
    CHECK_EQUAL(400, et::StatusIn(got));
    STRCMP_CONTAINS("\"code\":\"bad_request\"", got.c_str());
  }
  CHECK_EQUAL(0U, one.endpoint.seen.size());
}

// An endpoint's answer names no type. One made up here would mislead whoever
// shows it.
TEST(CallerFaults, NoContentTypeIsAddedToAnAnswer) {
  const std::string got =
      AnswerTo("HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\n{}", false, false);
  CHECK_EQUAL(200, et::StatusIn(got));
  CHECK_TRUE(got.find("Content-Type") == std::string::npos);
}

// A broker sends hundreds of long records at once. Kept until an engine takes
// them, they could fill the node's memory and leave no room for a question.
TEST(CallerFaults, BodiesThatWaitLeaveRoomForHigherTiers) {
  eg::Limits limits;
  limits.bodies_bytes = 10'000;
  et::OneNode one(limits);
  evhttp_request* open = nullptr;
  one.endpoint.handler = [&open](evhttp_request* request) { open = request; };
  std::string body = et::ChatBodyText(true);
  body.insert(body.find("hello"), std::string(5000, 'x'));
  std::string bulk = et::ChatRequest(body);
  bulk.replace(bulk.find("buyer"), 5, "bulk");
  et::RawCaller first(one.loop, eg::CallerAddressOf(*one.node));
  first.Send(bulk);
  CHECK_TRUE(et::RunUntil(one.loop, [&open] { return open != nullptr; }));
  const std::string second = Ask(one, bulk);
  STRCMP_CONTAINS("\"code\":\"overloaded\"", second.c_str());
  STRCMP_CONTAINS("\"ran\":\"no\"", second.c_str());
  STRCMP_CONTAINS("Retry-After: 1", second.c_str());
  CHECK_EQUAL(1U, one.endpoint.seen.size());
  // A buyer's question finds room, and so does the next of the batch once the
  // first body need not be sent again.
  et::RawCaller buyer(one.loop, eg::CallerAddressOf(*one.node));
  buyer.Send(et::ChatRequest(et::ChatBodyText(true)));
  CHECK_TRUE(
      et::RunUntil(one.loop, [&one] { return one.endpoint.seen.size() == 2; }));
  first.Leave();
  CHECK_TRUE(et::RunUntil(one.loop,
                          [&one] { return eg::ViewOf(*one.node).calls == 1; }));
  et::RawCaller third(one.loop, eg::CallerAddressOf(*one.node));
  third.Send(bulk);
  CHECK_TRUE(
      et::RunUntil(one.loop, [&one] { return one.endpoint.seen.size() == 3; }));
}

// More callers connect than the node has sockets for. Those beyond wait until
// another leaves; without the limit the node runs out of sockets for its
// endpoints, and every caller fails.
TEST(CallerFaults, ConnectionsBeyondTheLimitWait) {
  eg::Limits limits;
  limits.connections = 2;
  et::OneNode one(limits);
  const std::string address = eg::CallerAddressOf(*one.node);
  auto first = std::make_unique<et::RawCaller>(one.loop, address);
  auto second = std::make_unique<et::RawCaller>(one.loop, address);
  et::RawCaller third(one.loop, address);
  const std::string ask = "GET /healthz HTTP/1.1\r\nHost: n\r\n\r\n";
  first->Send(ask);
  second->Send(ask);
  third.Send(ask);
  CHECK_TRUE(et::RunUntil(one.loop, [&] {
    return et::IsWhole(first->got) && et::IsWhole(second->got);
  }));
  CHECK_TRUE(third.got.empty());
  CHECK_EQUAL(2U, eg::ViewOf(*one.node).connections);
  first->Leave();
  CHECK_TRUE(
      et::RunUntil(one.loop, [&third] { return et::IsWhole(third.got); }));
}

// A buyer closes the page. The engine would write on for a minute for nobody,
// while others wait for its slot.
TEST(CallerFaults, CallerGoneCancelsAtTheEndpoint) {
  et::OneNode one;
  one.endpoint.handler = [](evhttp_request* request) {
    evhttp_add_header(evhttp_request_get_output_headers(request),
                      "Content-Type", "text/event-stream");
    evhttp_send_reply_start(request, HTTP_OK, nullptr);
    evbuffer* body = evbuffer_new();
    evbuffer_add_printf(body, "data: {}\n\n");
    evhttp_send_reply_chunk(request, body);
    evbuffer_free(body);
  };
  et::RawCaller caller(one.loop, eg::CallerAddressOf(*one.node));
  caller.Send(et::ChatRequest(et::ChatBodyText(true)));
  CHECK_TRUE(et::RunUntil(one.loop, [&caller] {
    return caller.got.find("data: {}") != std::string::npos;
  }));
  caller.Leave();
  CHECK_TRUE(
      et::RunUntil(one.loop, [&one] { return one.endpoint.closed == 1; }));
  CHECK_TRUE(et::RunUntil(one.loop, [&one] { return eg::IsIdle(*one.node); }));
}

// The caller of a whole answer leaves while the engine still thinks.
TEST(CallerFaults, CallerGoneBeforeItsAnswerCancelsToo) {
  et::OneNode one;
  one.endpoint.handler = [](evhttp_request* /*request*/) {};
  et::RawCaller caller(one.loop, eg::CallerAddressOf(*one.node));
  caller.Send(et::ChatRequest(et::ChatBodyText(false)));
  CHECK_TRUE(
      et::RunUntil(one.loop, [&one] { return one.endpoint.seen.size() == 1; }));
  caller.Leave();
  CHECK_TRUE(et::RunUntil(one.loop, [&one] { return eg::IsIdle(*one.node); }));
}

// A client sends its next request before it has the answer to the first.
TEST(CallerFaults, NextRequestWaitsForTheFirstAnswer) {
  et::OneNode one;
  evhttp_request* open = nullptr;
  one.endpoint.handler = [&open](evhttp_request* request) { open = request; };
  et::RawCaller caller(one.loop, eg::CallerAddressOf(*one.node));
  caller.Send(et::ChatRequest(et::ChatBodyText(false)));
  CHECK_TRUE(et::RunUntil(one.loop, [&open] { return open != nullptr; }));
  caller.Send("GET /healthz HTTP/1.1\r\nHost: n\r\n\r\n");
  const std::string other =
      Ask(one, "GET /healthz HTTP/1.1\r\nHost: n\r\n\r\n");
  CHECK_EQUAL(200, et::StatusIn(other));
  CHECK_TRUE(caller.got.empty());
  evbuffer* body = evbuffer_new();
  evbuffer_add_printf(body, "{}");
  evhttp_send_reply(open, HTTP_OK, nullptr, body);
  evbuffer_free(body);
  CHECK_TRUE(et::RunUntil(one.loop, [&caller] {
    return caller.got.find("\r\n\r\nok\n") != std::string::npos;
  }));
  CHECK(caller.got.find("{}") < caller.got.find("ok\n"));
}

// A phone on a bad line reads slower than the engine writes. What it has not
// taken must wait at the engine, not in the node's memory.
TEST(CallerFaults, SlowReaderHoldsItsEndpointBack) {
  et::OneNode one;
  constexpr std::size_t kEvents = 1000;
  const std::string event = "data: " + std::string(10'000, 'x') + "\n\n";
  one.endpoint.handler = [&event](evhttp_request* request) {
    evhttp_add_header(evhttp_request_get_output_headers(request),
                      "Content-Type", "text/event-stream");
    evhttp_send_reply_start(request, HTTP_OK, nullptr);
    evbuffer* body = evbuffer_new();
    for (std::size_t i = 0; i < kEvents; ++i) {
      evbuffer_add(body, event.data(), event.size());
      evhttp_send_reply_chunk(request, body);
    }
    evbuffer_add_printf(body, "data: [DONE]\n\n");
    evhttp_send_reply_chunk(request, body);
    evbuffer_free(body);
    evhttp_send_reply_end(request);
  };
  et::RawCaller caller(one.loop, eg::CallerAddressOf(*one.node));
  caller.SetReading(false);
  caller.Send(et::ChatRequest(et::ChatBodyText(true)));
  CHECK_TRUE(et::RunUntil(
      one.loop, [&one] { return eg::ViewOf(*one.node).paused == 1; }));
  caller.SetReading(true);
  CHECK_TRUE(
      et::RunUntil(one.loop, [&caller] { return et::IsWhole(caller.got); }));
  const std::size_t bound = eg::Limits().caller_buffer + eg::kEndpointBuffer;
  CHECK(eg::ViewOf(*one.node).most_output_bytes < bound);
  CHECK(caller.got.size() > kEvents * event.size());
}

// A phone goes out of range in the middle of a large answer and never reads on.
// Without a limit it holds its slot and its memory for ever.
TEST(CallerFaults, CallerThatTakesNothingIsDropped) {
  eg::Limits limits;
  limits.write_timeout = 1000ms;
  et::OneNode one(limits);
  one.endpoint.handler = [](evhttp_request* request) {
    evbuffer* body = evbuffer_new();
    const std::string large(4'000'000, 'x');
    for (int i = 0; i < 5; ++i) evbuffer_add(body, large.data(), large.size());
    evhttp_send_reply(request, HTTP_OK, nullptr, body);
    evbuffer_free(body);
  };
  et::RawCaller caller(one.loop, eg::CallerAddressOf(*one.node));
  caller.SetReading(false);
  caller.Send(
      "GET /svc/seats/all HTTP/1.1\r\nHost: n\r\nX-Client-Account: abay\r\n"
      "X-Request-Class: buyer\r\n\r\n");
  CHECK_TRUE(et::RunUntil(
      one.loop, [&one] { return eg::ViewOf(*one.node).paused == 1; }));
  CHECK_TRUE(et::RunUntil(one.loop, [&one] {
    egretladder::kernel::Advance(one.loop.clock, 100ms);
    return eg::IsIdle(*one.node);
  }));
  CHECK_EQUAL(0U, eg::ViewOf(*one.node).paused);
}

TEST_GROUP(StopFaults){};

// A node is stopped while an engine still works on a call, and the time for the
// stop is up. The caller is told that nobody knows whether it ran, and the
// process stays until it has read that. A process that just ended would leave
// it with a connection that closes.
TEST(StopFaults, ACallInProgressAtTheEndIsToldSo) {
  et::OneNode one;
  one.endpoint.handler = [](evhttp_request* /*request*/) {};
  et::RawCaller caller(one.loop, eg::CallerAddressOf(*one.node));
  caller.Send(et::ChatRequest(et::ChatBodyText(false)));
  CHECK_TRUE(
      et::RunUntil(one.loop, [&one] { return one.endpoint.seen.size() == 1; }));
  eg::Leave(*one.node);
  CHECK_FALSE(eg::IsAnswered(*one.node));
  eg::EndCalls(*one.node);
  CHECK_FALSE(eg::IsAnswered(*one.node));
  CHECK_TRUE(
      et::RunUntil(one.loop, [&caller] { return et::IsWhole(caller.got); }));
  CHECK_EQUAL(504, et::StatusIn(caller.got));
  STRCMP_CONTAINS("\"ran\":\"unknown\"", caller.got.c_str());
  caller.Leave();
  CHECK_TRUE(
      et::RunUntil(one.loop, [&one] { return eg::IsAnswered(*one.node); }));
}
