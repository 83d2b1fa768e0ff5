// Endpoints that send bytes without end, in a head or a body, until their
// connection is closed.
#include <CppUTest/TestHarness.h>

#include <algorithm>
#include <list>
#include <string>
#include <vector>

#include "egretladder/proxy/limits.h"
#include "harness.h"
#include "state_p.h"

using namespace std::chrono_literals;
namespace ep = egretladder::proxy;
namespace et = egretladder::proxy::test;

namespace {

// Bytes that begin an answer, and those that follow again and again.
struct EndlessAnswer {
  const char* name;
  std::string begin;
  std::string more;
};

std::string Head(const std::string& fields) {
  return "HTTP/1.1 200 OK\r\nX-Id: r\r\nX-Seal: s\r\n" + fields + "\r\n";
}

std::string Chunk(const std::string& bytes) {
  return egretladder::net::FormatChunk(bytes);
}

const std::string kLong(4096, 'a');

std::vector<EndlessAnswer> EndlessHeads() {
  return {
      {"bytes that are no answer", "", kLong},
      {"fields", "HTTP/1.1 200 OK\r\nX-Id: r\r\n", "X-A: b\r\n"},
      {"one field", "HTTP/1.1 200 OK\r\nX-A: ", kLong},
      {"interim answers", "", "HTTP/1.1 100 Continue\r\n\r\n"},
      {"answers to other requests", "", et::FormatAnswer("other", 200, "x")},
      {"the body of another request's answer",
       "HTTP/1.1 200 OK\r\nX-Id: other\r\n\r\n", kLong},
  };
}

std::vector<EndlessAnswer> EndlessBodies() {
  const std::string chunked = Head("Transfer-Encoding: chunked\r\n");
  return {
      {"chunks", chunked, Chunk(kLong)},
      {"a body until the connection ends", Head(""), kLong},
      {"a body of a huge length", Head("Content-Length: 99999999999\r\n"),
       kLong},
      {"a chunk extension", chunked + "5;", kLong},
      {"zeros of a chunk size", chunked, "0000000000000000"},
      {"trailers", chunked + "0\r\n", "X-A: b\r\n"},
  };
}

std::vector<EndlessAnswer> EndlessEvents() {
  const std::string begin = et::FormatStreamHead("r");
  return {
      {"lines of one event", begin, Chunk("data: a\n")},
      {"one line", begin, Chunk(kLong)},
      {"comments", begin, Chunk(": a\n\n")},
      {"empty lines", begin, Chunk("\n\n\n\n")},
      {"comments after an event", begin + et::FormatEventChunk(1),
       Chunk(": a\n\n")},
  };
}

// An environment with endpoints that flood the nodes.
struct Flooding {
  et::TestEnvironment env;
  std::list<et::TestConnection*> connections;  // Those that are flooded.
  std::size_t floods = 0;                      // Number of floods that began.
  std::string more;                            // What is sent at a time.
  egretladder::kernel::EventWatcher timer;

  // An endpoint that sends `answer` to requests of the route, and answers
  // others.
  et::FakeEndpoint::Handler Flood(const EndlessAnswer& answer,
                                  const std::string& route) {
    return [this, answer, route](const et::EndpointRequest& request) {
      if (!request.http.target.starts_with(route)) {
        request.Answer(200, "done");
        return;
      }
      ++floods;
      request.connection->Send(answer.begin);
      connections.push_back(request.connection);
    };
  }

  void SendMore() {
    std::erase_if(connections, [](const et::TestConnection* connection) {
      return connection->ended();
    });
    constexpr std::size_t kMaxUnsent = std::size_t{1} << 20U;
    for (et::TestConnection* connection : connections)
      if (connection->unsent_bytes() < kMaxUnsent) connection->Send(more);
  }

  // Sends so many bytes at least in each interval.
  void Start(const EndlessAnswer& answer, std::size_t bytes,
             std::chrono::milliseconds interval) {
    more.clear();
    do {
      more += answer.more;
    } while (more.size() < bytes);
    timer = egretladder::kernel::RunEvery(env.loop, interval,
                                          [this] { SendMore(); });
  }
};

constexpr std::size_t kFloodBytes = 65'536;

// Checks that the endpoint's connection is closed in time, and that the node
// serves others afterwards.
void CheckClosed(const EndlessAnswer& answer, const et::TestRequest& request,
                 std::size_t bytes, std::chrono::milliseconds interval,
                 std::chrono::milliseconds bound) {
  Flooding flooding;
  et::TestEnvironment& env = flooding.env;
  const std::string route = request.path.substr(0, request.path.size() - 1);
  env.AddEndpoint("e1", flooding.Flood(answer, route));
  ep::Proxy& proxy = env.StartReadyNode();
  flooding.Start(answer, bytes, interval);
  env.SendRequest(proxy, request);
  env.WaitUntil([&flooding] { return flooding.floods > 0; });
  const auto begin = std::chrono::steady_clock::now();
  env.WaitUntil([&flooding] { return flooding.connections.empty(); });
  CHECK_TEXT(std::chrono::steady_clock::now() - begin < bound, answer.name);
  STRCMP_EQUAL("200", env.SendAndDescribe(proxy, {.path = "/read/a"}).c_str());
}

void CheckFloods(const std::vector<EndlessAnswer>& answers,
                 const std::string& path) {
  for (const EndlessAnswer& answer : answers)
    CheckClosed(answer, {.path = path}, kFloodBytes, 1ms, 4s);
}

void CheckDrips(const std::vector<EndlessAnswer>& answers,
                const std::string& path) {
  for (const EndlessAnswer& answer : answers)
    CheckClosed(answer, {.path = path, .timeout_ms = 300}, 1, 20ms, 1s);
}

}  // namespace

TEST_GROUP(EndlessAnswers) {
  Flooding flooding;
  et::TestEnvironment& env = flooding.env;
};

// Guards against a connection that is read for as long as its endpoint sends.
TEST(EndlessAnswers, AFloodOfAHeadIsCut) {
  CheckFloods(EndlessHeads(), "/once/a");
}

// Guards against a node that is ended by an answer above its buffer.
TEST(EndlessAnswers, AFloodOfABodyIsCut) {
  CheckFloods(EndlessBodies(), "/once/a");
}

// Guards against a stream that is read on and on without an event.
TEST(EndlessAnswers, AFloodWithoutEventsIsCut) {
  CheckFloods(EndlessEvents(), "/tell/a");
}

// Guards against bytes that come so slowly that no bound on their number ends
// them: the caller's deadline does.
TEST(EndlessAnswers, ADripEndsWithTheDeadline) {
  CheckDrips(EndlessHeads(), "/once/a");
  CheckDrips(EndlessBodies(), "/once/a");
  CheckDrips(EndlessEvents(), "/tell/a");
}

// Guards against a stream that another endpoint could go on with, while bytes
// that are no event drip.
TEST(EndlessAnswers, AStreamMovesOnFromADrip) {
  const EndlessAnswer drip{"comments", et::FormatStreamHead("r"),
                           Chunk(": a\n\n")};
  int requests = 0;
  const auto handler = [&](const et::EndpointRequest& request) {
    if (++requests == 1) {
      flooding.Flood(drip, "/talk/")(request);
    } else {
      request.BeginStream(1, 2);
      request.connection->Send(et::kLastChunk);
    }
  };
  env.AddEndpoint("e1", handler);
  env.AddEndpoint("e2", handler);
  ep::Proxy& proxy = env.StartReadyNode();
  flooding.Start(drip, 1, 20ms);
  const et::Answer answer = env.SendAndWait(proxy, {.path = "/talk/a"});
  STRCMP_EQUAL(et::FormatEvents(1, 2).c_str(), answer.body.c_str());
}

// Guards against an endpoint's connection that outlives the deadline since the
// caller doesn't read.
TEST(EndlessAnswers, AFloodToACallerThatDoesNotReadEndsWithTheDeadline) {
  const EndlessAnswer answer{"events", et::FormatStreamHead("r"),
                             et::FormatEventChunk(1, kLong)};
  env.AddEndpoint("e1", flooding.Flood(answer, "/tell/"));
  ep::Proxy& proxy = env.StartReadyNode();
  flooding.Start(answer, kFloodBytes, 1ms);
  et::TestConnection& caller = env.Connect(ep::ViewOf(proxy).callers, 4096);
  caller.PauseReading(true);
  caller.Send(et::FormatRequest({.path = "/tell/a", .timeout_ms = 600}));
  env.WaitUntil([this] { return flooding.floods == 1; });
  env.RunLoopFor(1s);
  CHECK(flooding.connections.empty());
}

// Guards against a node whose memory is filled by several answers, each within
// its own bound, and against sound answers that suffer for it.
TEST(EndlessAnswers, TheLargestAnswerYieldsItsMemory) {
  const EndlessAnswer answer{"body", Head(""), kLong};
  std::vector<et::EndpointRequest> sound;
  const auto flood_some = flooding.Flood(answer, "/once/");
  env.AddEndpoint("e1", [&](const et::EndpointRequest& request) {
    if (request.http.target.starts_with("/read/")) {
      request.connection->Send(Head("Content-Length: 200000\r\n") +
                               std::string(100'000, 'b'));
      sound.push_back(request);
    } else {
      flood_some(request);
    }
  });
  env.Publish();
  ep::ProxyOptions options = env.MakeOptions("n1");
  options.memory_bytes = std::size_t{4} << 20U;
  ep::Proxy& proxy = env.StartNode(options);
  env.WaitUntilReady(proxy, 1);
  et::TestConnection& caller = env.SendRequest(proxy, {.path = "/read/a"});
  env.WaitUntil([&sound] { return !sound.empty(); });
  flooding.Start(answer, kFloodBytes, 1ms);
  const et::Answer flooded_answer = env.SendAndWait(proxy, {.path = "/once/a"});
  STRCMP_EQUAL("502 unknown", et::DescribeAnswer(flooded_answer).c_str());
  sound[0].connection->Send(std::string(100'000, 'b'));
  env.WaitUntil([&caller] { return !et::DescribeAnswer(caller).empty(); });
  STRCMP_EQUAL("200", et::DescribeAnswer(caller).c_str());
}

// Guards against heads that count for nothing, of answers whose bodies drip.
TEST(EndlessAnswers, AHeadCountsAmongTheBytesThatAreKept) {
  constexpr std::size_t kFieldBytes = 20'000;
  const EndlessAnswer answer{
      "a long head", Head("X-Long: " + std::string(kFieldBytes, 'a') + "\r\n"),
      "b"};
  env.AddEndpoint("e1", flooding.Flood(answer, "/once/"));
  ep::Proxy& proxy = env.StartReadyNode();
  env.SendRequest(proxy, {.path = "/once/a"});
  env.WaitUntil([this] { return flooding.floods == 1; });
  env.WaitUntil([&proxy] { return proxy.buffered_bytes >= kFieldBytes; });
}

// Guards against whole answers that slow callers don't read: each is bounded,
// and all of them together end the node. Callers that read get theirs.
TEST(EndlessAnswers, AnswersThatNobodyReadsAreBoundedTogether) {
  constexpr std::size_t kMemory = std::size_t{64} << 20U;
  constexpr std::size_t kUnreadAnswers = 12;
  const std::string body(std::size_t{7} << 20U, 'a');
  env.AddEndpoint("e1", [&body](const et::EndpointRequest& request) {
    request.Answer(200, request.http.target == "/read/a" ? "short" : body);
  });
  env.Publish();
  ep::ProxyOptions options = env.MakeOptions("n1");
  options.memory_bytes = kMemory;
  ep::Proxy& proxy = env.StartNode(options);
  env.WaitUntilReady(proxy, 1);
  std::size_t largest = 0;
  for (std::size_t i = 0; i < kUnreadAnswers; ++i) {
    et::TestConnection& caller = env.Connect(ep::ViewOf(proxy).callers, 4096);
    caller.PauseReading(true);
    caller.Send(et::FormatRequest({.path = "/once/a", .timeout_ms = 3000}));
    env.RunLoopFor(300ms);
    largest = std::max(largest, proxy.caller_server->unsent_bytes());
  }
  CHECK_COMPARE(largest, <=, kMemory / 5 + body.size());
  STRCMP_EQUAL("200", env.SendAndDescribe(proxy, {.path = "/read/a"}).c_str());
}

// Guards against a store whose answers fill the memory.
TEST(EndlessAnswers, AnAnswerOfTheStoreHasAnEnd) {
  const EndlessAnswer answer{"body", "HTTP/1.1 200 OK\r\n\r\n", kLong};
  const et::FakeEndpoint& store =
      env.AddEndpoint("store", flooding.Flood(answer, "/"));
  ep::ProxyOptions options = env.MakeOptions("n1");
  options.store = store.address();
  ep::Proxy& proxy = env.StartNode(options);
  flooding.Start(answer, kFloodBytes, 1ms);
  std::size_t largest = 0;
  for (int i = 0; i < 150; ++i) {
    env.RunLoopFor(10ms);
    for (const ep::StoreReader& reader : proxy.readers)
      largest = std::max(largest, reader.body.size());
  }
  CHECK_COMPARE(largest, <=, std::size_t{9} << 20U);
  CHECK_COMPARE(flooding.floods, >, 0U);
}
