// Callers that read their answers more slowly than endpoints send them.
#include <CppUTest/TestHarness.h>

#include "harness.h"
#include "state_p.h"

using namespace std::chrono_literals;
namespace ep = egretladder::proxy;
namespace et = egretladder::proxy::test;

namespace {

// Maximum number of bytes read from a connection at once.
constexpr std::size_t kMaxReadBytes = std::size_t{16} << 10U;
const std::string kEventData(1000, 'x');

// Returns the number of bytes that the node buffers for its callers.
std::size_t CountUnsentBytes(const ep::Proxy& proxy) {
  std::size_t bytes = 0;
  for (const auto& [number, call] : proxy.calls) {
    bytes += call->caller->UnsentBytes();
  }
  return bytes;
}

// Returns the number of events that the node has read from its streams.
int CountEvents(const ep::Proxy& proxy) {
  int events = 0;
  for (const auto& [number, call] : proxy.calls) {
    events += static_cast<int>(call->events);
  }
  return events;
}

std::string FormatEvents(int from, int to) {
  std::string events;
  for (int i = from; i <= to; ++i) {
    events += "id: " + std::to_string(i) + "\ndata: " + kEventData + "\n\n";
  }
  return events;
}

}  // namespace

TEST_GROUP(SlowReader) {
  et::TestEnvironment env;

  // Sends a request on a connection with a small receive buffer, and reads
  // nothing of the answer.
  et::TestConnection& SendWithoutReading(ep::Proxy & proxy,
                                         const std::string& path) {
    et::TestConnection& caller = env.Connect(ep::ViewOf(proxy).callers, 8192);
    caller.PauseReading(true);
    caller.Send(et::FormatRequest({.path = path, .timeout_ms = 20'000}));
    return caller;
  }
};

// A caller on a slow link reads its stream in small pieces. The endpoint must
// be throttled to its speed, and the caller gets each event once and in order.
TEST(SlowReader, EndpointIsThrottledAndNoEventIsLost) {
  constexpr int kEvents = 12'000;
  et::TestConnection* of_stream = nullptr;
  env.AddEndpoint("e1", [&of_stream](const et::EndpointRequest& request) {
    of_stream = request.connection;
    request.BeginStream(1, 0);
    for (int i = 1; i <= kEvents; ++i) {
      request.connection->Send(et::FormatEventChunk(i, kEventData));
    }
    request.connection->Send(et::kLastChunk);
  });
  ep::Proxy& proxy = env.StartReadyNode();
  et::TestConnection& caller = SendWithoutReading(proxy, "/tell/a");
  for (int i = 0; i < 100; ++i) {
    caller.ReadSome(4096);
    env.RunLoopFor(2ms);
  }
  CHECK(of_stream != nullptr && of_stream->unsent_bytes() > 0);
  caller.PauseReading(false);
  env.WaitUntil([&caller] {
    return caller.received().ends_with(et::kLastChunk) || caller.ended();
  });
  const auto answers = et::ParseAnswers(caller.received());
  LONGS_EQUAL(1, answers.size());
  CHECK(answers[0].body == FormatEvents(1, kEvents));
}

// A caller stops reading its stream, for example behind a broken link. Unless
// the node stops reading from the endpoint, it buffers the rest of the stream,
// and a few hundred such callers exhaust its memory.
TEST(SlowReader, BacklogOfCallerThatReadsNothingIsBounded) {
  env.AddEndpoint("e1", [](const et::EndpointRequest& request) {
    request.BeginStream(1, 0);
    for (int i = 1; i <= 12'000; ++i) {
      request.connection->Send(et::FormatEventChunk(i, kEventData));
    }
  });
  ep::Proxy& proxy = env.StartReadyNode();
  SendWithoutReading(proxy, "/tell/a");
  env.WaitUntil([&proxy] {
    return CountUnsentBytes(proxy) > ep::kMaxCallerBacklogBytes;
  });
  // The socket buffers take up some bytes first.
  env.RunLoopFor(500ms);
  const std::size_t buffered_bytes = CountUnsentBytes(proxy);
  env.RunLoopFor(1200ms);
  LONGS_EQUAL(1, ep::ViewOf(proxy).calls);
  CHECK_COMPARE(CountUnsentBytes(proxy), <=, buffered_bytes + kMaxReadBytes);
}

// An engine falls silent while its caller is behind with reading. Once the
// caller has caught up, the stream is resumed at another engine, as it would be
// for a caller that reads at full speed.
TEST(SlowReader, StalledStreamIsResumedElsewhere) {
  const auto handler = [](const et::EndpointRequest& request) {
    request.BeginStream(1, 0);
    if (request.last_event_id() == 0) return;
    request.connection->Send(
        et::FormatEventChunk(request.last_event_id() + 1, kEventData));
    request.connection->Send(et::kLastChunk);
  };
  const et::FakeEndpoint& first = env.AddEndpoint("e1", handler);
  const et::FakeEndpoint& second = env.AddEndpoint("e2", handler);
  ep::Proxy& proxy = env.StartReadyNode();
  et::TestConnection& caller = SendWithoutReading(proxy, "/talk/a");
  env.WaitUntil(
      [&] { return first.requests().size() + second.requests().size() == 1; });
  const et::EndpointRequest request =
      (first.requests().empty() ? second : first).requests().at(0);
  int sent_events = 0;
  // The engine sends until the caller's backlog is full. The node has read all
  // events by then.
  env.WaitUntil([&] {
    if (CountEvents(proxy) < sent_events) return false;
    if (CountUnsentBytes(proxy) > ep::kMaxCallerBacklogBytes) return true;
    request.connection->Send(et::FormatEventChunk(++sent_events, kEventData));
    return false;
  });
  caller.PauseReading(false);
  env.WaitUntil([&] {
    return caller.received().find("id: " + std::to_string(sent_events)) !=
           std::string::npos;
  });
  const auto give_up_at = std::chrono::steady_clock::now() + 4s;
  env.WaitUntil([&] {
    return !et::DescribeAnswer(caller).empty() ||
           std::chrono::steady_clock::now() > give_up_at;
  });
  const auto answers = et::ParseAnswers(caller.received());
  LONGS_EQUAL(1, answers.size());
  CHECK(answers[0].body == FormatEvents(1, sent_events + 1));
}

// A caller stops reading for some seconds, for example while its link is down,
// and resumes well before the write timeout that drops callers that read
// nothing. It must get the rest of its answer, since the request has run.
TEST(SlowReader, PausedCallerGetsRestOfAnswer) {
  const std::string body(7U << 20U, 'x');
  env.AddEndpoint("e1", [&body](const et::EndpointRequest& request) {
    request.Answer(200, body);
  });
  ep::Proxy& proxy = env.StartReadyNode();
  et::TestConnection& caller = SendWithoutReading(proxy, "/once/a");
  env.RunLoopFor(6000ms);
  caller.PauseReading(false);
  env.WaitUntil([&caller] {
    return !et::DescribeAnswer(caller).empty() || caller.ended();
  });
  STRCMP_EQUAL("200", et::DescribeAnswer(caller).c_str());
}
