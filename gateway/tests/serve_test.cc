#include <CppUTest/TestHarness.h>

#include <string>

#include "harness.h"

using namespace std::chrono_literals;
namespace et = egretladder::gateway::testing;
namespace eg = egretladder::gateway;

namespace {

void Reply(evhttp_request* request, int status, const char* type,
           const std::string& body) {
  evbuffer* buffer = evbuffer_new();
  evbuffer_add(buffer, body.data(), body.size());
  evhttp_add_header(evhttp_request_get_output_headers(request), "Content-Type",
                    type);
  evhttp_send_reply(request, status, nullptr, buffer);
  evbuffer_free(buffer);
}

void SendChunk(evhttp_request* request, const std::string& text) {
  evbuffer* buffer = evbuffer_new();
  evbuffer_add(buffer, text.data(), text.size());
  evhttp_send_reply_chunk(request, buffer);
  evbuffer_free(buffer);
}

void StartEvents(evhttp_request* request) {
  evhttp_add_header(evhttp_request_get_output_headers(request), "Content-Type",
                    "text/event-stream");
  evhttp_send_reply_start(request, HTTP_OK, nullptr);
}

/// Sends `request` on a connection of its own and waits for the whole answer.
std::string Ask(et::OneNode& fixture, const std::string& request) {
  et::RawCaller caller(fixture.loop, eg::CallerAddressOf(*fixture.node));
  caller.Send(request);
  CHECK_TRUE(et::RunUntil(fixture.loop, [&caller] {
    return et::IsWhole(caller.got) || caller.ended;
  }));
  return caller.got;
}

std::string Get(et::OneNode& fixture, const std::string& path) {
  return Ask(fixture, "GET " + path + " HTTP/1.1\r\nHost: node\r\n\r\n");
}

}  // namespace

TEST_GROUP(Serve){};

TEST(Serve, WholeAnswerReachesItsCallerWithItsRequestId) {
  et::OneNode one;
  one.endpoint.handler = [](evhttp_request* request) {
    Reply(request, HTTP_OK, "application/json", R"({"choices":[]})");
  };
  const std::string got = Ask(one, et::ChatRequest(et::ChatBodyText(false)));
  CHECK_EQUAL(200, et::StatusIn(got));
  STRCMP_CONTAINS("\r\n\r\n{\"choices\":[]}", got.c_str());
  CHECK_EQUAL(1U, one.endpoint.seen.size());
  et::Seen& seen = one.endpoint.seen[0];
  STRCMP_EQUAL("/v1/chat/completions", seen.path.c_str());
  STRCMP_EQUAL(et::ChatBodyText(false).c_str(), seen.body.c_str());
  STRCMP_EQUAL("1", seen.headers["X-Attempt"].c_str());
  STRCMP_CONTAINS(("X-Request-Id: " + seen.headers["X-Request-Id"]).c_str(),
                  got.c_str());
}

TEST(Serve, StreamPassesEachEventAsItComes) {
  et::OneNode one;
  evhttp_request* open = nullptr;
  one.endpoint.handler = [&open](evhttp_request* request) {
    StartEvents(request);
    SendChunk(request, "data: {\"first\":1}\n\n");
    open = request;
  };
  et::RawCaller caller(one.loop, eg::CallerAddressOf(*one.node));
  caller.Send(et::ChatRequest(et::ChatBodyText(true)));
  // The second event is sent only once the first has reached the caller.
  CHECK_TRUE(et::RunUntil(one.loop, [&caller] {
    return caller.got.find("first") != std::string::npos;
  }));
  SendChunk(open, "data: {\"second\":2}\n\ndata: [DONE]\n\n");
  evhttp_send_reply_end(open);
  CHECK_TRUE(
      et::RunUntil(one.loop, [&caller] { return et::IsWhole(caller.got); }));
  STRCMP_CONTAINS("second", caller.got.c_str());
  STRCMP_CONTAINS("data: [DONE]", caller.got.c_str());
}

TEST(Serve, ServiceGetsMethodPathQueryAndBody) {
  et::OneNode one;
  one.endpoint.handler = [](evhttp_request* request) {
    CHECK(evhttp_request_get_command(request) == EVHTTP_REQ_PUT);
    Reply(request, 201, "text/plain", "made");
  };
  const std::string got =
      Ask(one,
          "PUT /svc/seats/rows/4?side=left HTTP/1.1\r\nHost: n\r\n"
          "X-Client-Account: abay\r\nX-Request-Class: buyer\r\n"
          "Content-Length: 3\r\n\r\nabc");
  CHECK_EQUAL(201, et::StatusIn(got));
  STRCMP_EQUAL("/rows/4?side=left", one.endpoint.seen[0].path.c_str());
  STRCMP_EQUAL("abc", one.endpoint.seen[0].body.c_str());
}

TEST(Serve, PagesAnswer) {
  et::OneNode one;
  STRCMP_CONTAINS(eg::CallerAddressOf(*one.node).c_str(),
                  Get(one, "/where?zone=bole").c_str());
  STRCMP_CONTAINS(R"({"id":"m","object":"model"})",
                  Get(one, "/v1/models").c_str());
  CHECK(et::StatusIn(Get(one, "/healthz")) == 200);
  CHECK(et::StatusIn(Get(one, "/readyz")) == 200);
  STRCMP_CONTAINS("\"rules_version\":1", Get(one, "/status").c_str());
  STRCMP_CONTAINS("egretladder_resident_bytes", Get(one, "/metrics").c_str());
  CHECK(et::StatusIn(Get(one, "/v2/none")) == 404);
}

// Callers branch on code and on `ran`; a code that changes breaks them.
TEST(Serve, UnknownNamesAreToldApart) {
  et::OneNode one;
  const auto ask = [&one](const std::string& from, const std::string& to) {
    std::string request = et::ChatRequest(et::ChatBodyText(false));
    request.replace(request.find(from), from.size(), to);
    return Ask(one, request);
  };
  const std::string account = ask("abay", "nemo");
  STRCMP_CONTAINS("\"code\":\"unknown_account\"", account.c_str());
  STRCMP_CONTAINS("\"ran\":\"no\"", account.c_str());
  STRCMP_CONTAINS("\"request_id\":\"n1-", account.c_str());
  STRCMP_CONTAINS("\"code\":\"unknown_class\"", ask("buyer", "pilot").c_str());
  STRCMP_CONTAINS("\"code\":\"unknown_target\"", ask("\"m\"", "\"x\"").c_str());
  STRCMP_CONTAINS("\"code\":\"bad_body\"", ask("\"model\"", "'model'").c_str());
  CHECK_EQUAL(0U, one.endpoint.seen.size());
}

// A client sends a time-out that can't be read. Ignored, its call would wait
// far longer than it meant to.
TEST(Serve, BadTimeoutIsNamed) {
  et::OneNode one;
  const std::string got = Ask(
      one,
      et::ChatRequest(et::ChatBodyText(false), "X-Request-Timeout: soon\r\n"));
  CHECK_EQUAL(400, et::StatusIn(got));
  STRCMP_CONTAINS("bad_timeout", got.c_str());
}

TEST_GROUP(Stop){};

// Operators replace a VM while answers are being written. A process that just
// ended would cut them, and callers would see half a summary.
TEST(Stop, AnswersInProgressGoToTheirEnds) {
  et::OneNode one;
  evhttp_request* open = nullptr;
  one.endpoint.handler = [&open](evhttp_request* request) {
    StartEvents(request);
    SendChunk(request, "data: {\"first\":1}\n\n");
    open = request;
  };
  et::RawCaller caller(one.loop, eg::CallerAddressOf(*one.node));
  caller.Send(et::ChatRequest(et::ChatBodyText(true)));
  CHECK_TRUE(et::RunUntil(one.loop, [&caller] {
    return caller.got.find("first") != std::string::npos;
  }));
  eg::Leave(*one.node);
  CHECK_FALSE(eg::IsIdle(*one.node));
  const std::string where = Get(one, "/where");
  CHECK(where.find(eg::CallerAddressOf(*one.node)) == std::string::npos);
  CHECK(et::StatusIn(Get(one, "/readyz")) == 503);
  const std::string late = Ask(one, et::ChatRequest(et::ChatBodyText(false)));
  STRCMP_CONTAINS("\"code\":\"leaving\"", late.c_str());
  STRCMP_CONTAINS("\"ran\":\"no\"", late.c_str());
  STRCMP_CONTAINS("Connection: close", late.c_str());
  SendChunk(open, "data: [DONE]\n\n");
  evhttp_send_reply_end(open);
  CHECK_TRUE(et::RunUntil(one.loop, [&one] { return eg::IsIdle(*one.node); }));
  CHECK_TRUE(
      et::RunUntil(one.loop, [&caller] { return et::IsWhole(caller.got); }));
  STRCMP_CONTAINS("data: [DONE]", caller.got.c_str());
}
