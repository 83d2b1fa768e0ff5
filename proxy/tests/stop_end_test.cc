// The end of a graceful stop: callers that have no answer yet when the process
// may exit.
#include <CppUTest/TestHarness.h>
#include <netinet/in.h>
#include <sys/socket.h>
#include <unistd.h>

#include <array>
#include <string>
#include <vector>

#include "egretladder/net/address.h"
#include "harness.h"

using namespace std::chrono_literals;
namespace en = egretladder::net;
namespace ep = egretladder::proxy;
namespace et = egretladder::proxy::test;

namespace {

// After this time a stopping node accepts no more requests.
constexpr auto kPastAcceptPeriod = 3300ms;

// Connects and sends with blocking calls, without running the event loop.
// Returns the socket, or -1 on failure.
int SendBlocking(const std::string& address, const std::string& bytes) {
  auto target = en::ParseAddress(address);
  if (!target) return -1;
  const int fd = socket(AF_INET, SOCK_STREAM, 0);
  const timeval receive_timeout{2, 0};
  setsockopt(fd, SOL_SOCKET, SO_RCVTIMEO, &receive_timeout,
             sizeof(receive_timeout));
  if (connect(fd, target->get(), static_cast<socklen_t>(target->size)) != 0)
    return -1;
  if (send(fd, bytes.data(), bytes.size(), MSG_NOSIGNAL) < 0) return -1;
  return fd;
}

std::string ReceiveBlocking(int fd) {
  std::array<char, 4096> bytes{};
  const auto size = recv(fd, bytes.data(), bytes.size(), 0);
  return size > 0 ? std::string(bytes.data(), static_cast<std::size_t>(size))
                  : std::string();
}

}  // namespace

TEST_GROUP(StopEnd) {
  et::TestEnvironment env;

  // Starts a node that knows another one, which goes on taking requests.
  ep::Proxy& StartNodeBesideAnother() {
    ep::Proxy& other = env.StartReadyNode();
    ep::ProxyOptions options = env.MakeOptions("n2");
    options.seeds = {ep::ViewOf(other).peers};
    ep::Proxy& proxy = env.StartNode(options);
    env.WaitUntilReady(proxy, 1);
    env.WaitUntilRulesApplied(proxy);
    env.WaitUntil([&proxy] { return ep::ViewOf(proxy).nodes == 2; });
    return proxy;
  }

  // Ends the process as the daemon does when it polls `CanShutDown`.
  void KillNodeIfShutDownAllowed(ep::Proxy & proxy) {
    if (ep::CanShutDown(proxy)) env.KillNode(proxy);
  }
};

// The process is paused until shortly before it is killed, while a request is
// in progress. If it exits before the node has ended its calls, the caller only
// sees a closed connection, although there was time to report that the outcome
// is unknown.
TEST(StopEnd, PausedProcessAnswersCallersBeforeExit) {
  const et::FakeEndpoint& endpoint =
      env.AddEndpoint("e1", et::LeaveUnanswered());
  ep::Proxy& proxy = env.StartReadyNode();
  et::TestConnection& caller =
      env.SendRequest(proxy, {.path = "/once/a", .timeout_ms = 20'000});
  env.WaitUntil([&endpoint] { return endpoint.requests().size() == 1; });
  ep::Leave(proxy);
  env.RunLoopFor(20ms);
  env.AdvanceClock(env.MakeOptions("n1").grace - 180ms);
  env.WaitUntil([&proxy] { return ep::CanShutDown(proxy); });
  env.KillNode(proxy);
  env.WaitUntil([&caller] {
    return !et::DescribeAnswer(caller).empty() || caller.ended();
  });
  STRCMP_EQUAL("502 unknown", et::DescribeAnswer(caller).c_str());
}

// A caller on a slow link is still sending its request when callers no longer
// keep the address and nothing else is in progress. If the process exits, the
// caller sees a closed connection, which doesn't show that the request has not
// run, so that the caller can't safely send it again.
TEST(StopEnd, CallerStillSendingIsToldNotRun) {
  env.AddEndpoint("e1", et::AnswerImmediately());
  ep::Proxy& proxy = env.StartReadyNode();
  et::TestConnection& caller = env.Connect(ep::ViewOf(proxy).callers);
  const std::string bytes = et::FormatRequest(
      {.path = "/once/a", .body = std::string(1000, 'x'), .timeout_ms = 2000});
  ep::Leave(proxy);
  env.AdvanceClock(kPastAcceptPeriod - 200ms);
  caller.Send(bytes.substr(0, 600));
  env.RunLoopFor(50ms);
  env.AdvanceClock(200ms);
  env.RunLoopFor(150ms);
  KillNodeIfShutDownAllowed(proxy);
  caller.Send(bytes.substr(600));
  env.WaitUntil([&caller] {
    return !et::DescribeAnswer(caller).empty() || caller.ended();
  });
  STRCMP_EQUAL("503 no", et::DescribeAnswer(caller).c_str());
}

// The event loop is late, and a complete request waits in a connection that the
// kernel has accepted. If the process exits before it reads the request, the
// connection is reset, and the caller doesn't know whether its request ran.
TEST(StopEnd, UnreadRequestIsToldNotRun) {
  env.AddEndpoint("e1", et::AnswerImmediately());
  ep::Proxy& proxy = env.StartReadyNode();
  ep::Leave(proxy);
  env.RunLoopFor(20ms);
  const int fd = SendBlocking(ep::ViewOf(proxy).callers,
                              et::FormatRequest({.path = "/once/a"}));
  CHECK(fd >= 0);
  env.AdvanceClock(kPastAcceptPeriod);
  KillNodeIfShutDownAllowed(proxy);
  env.RunLoopFor(200ms);
  const std::string received = ReceiveBlocking(fd);
  close(fd);
  STRCMP_CONTAINS("503", received.c_str());
}

// A request arrives too late at a stopping node while all endpoints are busy.
// It is refused in any case. If it first waited for a free endpoint, its caller
// would lose up to half of the route's target time.
TEST(StopEnd, RequestThatIsNotAdmittedIsRefusedWithoutWaiting) {
  const et::FakeEndpoint& endpoint =
      env.AddEndpoint("e1", et::LeaveUnanswered());
  ep::Proxy& proxy = env.StartReadyNode();
  for (const char* id : {"r1", "r2", "r3", "r4", "r5", "r6", "r7", "r8"}) {
    env.SendRequest(proxy, {.path = "/once/a", .id = id, .timeout_ms = 20'000});
  }
  env.WaitUntil([&] {
    return ep::ViewOf(proxy).waiting > 0 && endpoint.requests().size() == 2;
  });
  ep::Leave(proxy);
  env.RunLoopFor(20ms);
  env.AdvanceClock(3050ms);
  const et::TestConnection& late = env.SendRequest(
      proxy, {.path = "/once/late", .id = "late", .timeout_ms = 20'000});
  env.RunLoopFor(250ms);
  STRCMP_EQUAL("503 no", et::DescribeAnswer(late).c_str());
}

// A node without peers stops and completes its calls. If its directory still
// listed its address after it stopped listening, callers would find a closed
// port.
TEST(StopEnd, DirectoryDoesNotListClosedPort) {
  const et::FakeEndpoint& endpoint =
      env.AddEndpoint("e1", et::LeaveUnanswered());
  ep::Proxy& proxy = env.StartReadyNode();
  env.SendRequest(proxy, {.path = "/once/a", .timeout_ms = 20'000});
  env.WaitUntil([&endpoint] { return endpoint.requests().size() == 1; });
  ep::Leave(proxy);
  env.AdvanceClock(kPastAcceptPeriod);
  env.RunLoopFor(200ms);
  const ep::ProxyView view = ep::ViewOf(proxy);
  et::TestConnection& directory_client = env.Connect(view.directory);
  directory_client.Send("GET /nodes/a HTTP/1.1\r\nHost: h\r\n\r\n");
  env.WaitUntil([&directory_client] {
    return !et::DescribeAnswer(directory_client).empty() ||
           directory_client.ended();
  });
  const std::string listed =
      et::ParseAnswers(directory_client.received()).at(0).body;
  if (listed.find(view.callers) == std::string::npos) return;
  et::TestConnection& caller = env.Connect(view.callers);
  caller.Send(et::FormatRequest({.path = "/once/b", .id = "b"}));
  env.WaitUntil([&caller] {
    return !et::DescribeAnswer(caller).empty() || caller.ended();
  });
  STRCMP_EQUAL("503 no", et::DescribeAnswer(caller).c_str());
}

// A caller on a slow link has not received its answer, which is still in the
// kernel's socket buffer of a keep-alive connection. If the process exits and
// its machine is switched off, the caller loses the answer to a request that
// ran.
TEST(StopEnd, AnswerInSocketBufferIsNotDelivered) {
  const std::string body(100'000, 'x');
  env.AddEndpoint("e1", [&body](const et::EndpointRequest& request) {
    request.Answer(200, body);
  });
  ep::Proxy& proxy = env.StartReadyNode();
  et::TestConnection& caller = env.Connect(ep::ViewOf(proxy).callers, 8192);
  caller.PauseReading(true);
  caller.Send(et::FormatRequest({.path = "/once/a"}));
  env.WaitUntil([&proxy] { return ep::ViewOf(proxy).calls == 1; });
  env.WaitUntil([&proxy] {
    const ep::ProxyView view = ep::ViewOf(proxy);
    return view.calls == 0 && view.undelivered == 0;
  });
  ep::Leave(proxy);
  env.AdvanceClock(kPastAcceptPeriod);
  env.RunLoopFor(150ms);
  CHECK(caller.unread_bytes() < body.size());
  CHECK_FALSE(ep::CanShutDown(proxy));
}

// The signal arrives during a pause of the process of two seconds. The platform
// counts the grace period from the signal. If the node counted from the end of
// the pause, it would be killed before it has answered its callers.
TEST(StopEnd, GracePeriodCountsFromStartOfPause) {
  const et::FakeEndpoint& endpoint =
      env.AddEndpoint("e1", et::LeaveUnanswered());
  ep::Proxy& proxy = env.StartReadyNode();
  et::TestConnection& caller =
      env.SendRequest(proxy, {.path = "/once/a", .timeout_ms = 20'000});
  env.WaitUntil([&endpoint] { return endpoint.requests().size() == 1; });
  env.AdvanceClock(2000ms);
  ep::Leave(proxy);
  env.RunLoopFor(20ms);
  env.AdvanceClock(env.MakeOptions("n1").grace - 2000ms - 500ms);
  env.RunLoopFor(300ms);
  STRCMP_EQUAL("502 unknown", et::DescribeAnswer(caller).c_str());
}

// Requests take five seconds at an idle endpoint, and one arrives when the node
// has four seconds left. If it were sent, it would be cut off, and its caller
// wouldn't know whether it ran. If it
// is refused as not run, another node can serve it.
TEST(StopEnd, RequestLongerThanGracePeriodIsRefused) {
  const et::FakeEndpoint& endpoint =
      env.AddEndpoint("e1", et::LeaveUnanswered());
  ep::Proxy& proxy = env.StartReadyNode();
  for (std::size_t i = 0; i < 20; ++i) {
    et::TestConnection& caller =
        env.SendRequest(proxy, {.path = "/once/a", .timeout_ms = 20'000});
    env.WaitUntil([&] { return endpoint.requests().size() == i + 1; });
    env.AdvanceClock(5000ms);
    endpoint.requests()[i].Answer(200, "done");
    env.WaitUntil([&caller] { return !et::DescribeAnswer(caller).empty(); });
    STRCMP_EQUAL("200", et::DescribeAnswer(caller).c_str());
    caller.Close();
  }
  ep::Leave(proxy);
  env.RunLoopFor(20ms);
  env.AdvanceClock(2900ms);
  const et::TestConnection& late = env.SendRequest(
      proxy, {.path = "/once/late", .id = "late", .timeout_ms = 20'000});
  env.RunLoopFor(100ms);
  LONGS_EQUAL(20, endpoint.requests().size());
  STRCMP_EQUAL("503 no", et::DescribeAnswer(late).c_str());
}

// Guards against cutting a request that may not be repeated, of a route that
// has shown no answer yet, while another node could serve it.
TEST(StopEnd, UnrepeatableRequestOfUnknownLengthIsRefusedBesideAnotherNode) {
  const et::FakeEndpoint& endpoint =
      env.AddEndpoint("e1", et::LeaveUnanswered());
  ep::Proxy& proxy = StartNodeBesideAnother();
  ep::Leave(proxy);
  env.RunLoopFor(20ms);
  const et::TestConnection& caller =
      env.SendRequest(proxy, {.path = "/once/a", .timeout_ms = 20'000});
  env.RunLoopFor(100ms);
  STRCMP_EQUAL("503 no", et::DescribeAnswer(caller).c_str());
  LONGS_EQUAL(0, endpoint.requests().size());
}

// Guards against refusing what a stopping node can finish: the answers of the
// route are short.
TEST(StopEnd, UnrepeatableRequestOfAShortRouteIsServedBesideAnotherNode) {
  env.AddEndpoint("e1", et::AnswerImmediately());
  ep::Proxy& proxy = StartNodeBesideAnother();
  STRCMP_EQUAL("200", env.SendAndDescribe(proxy, {.path = "/once/a"}).c_str());
  ep::Leave(proxy);
  env.RunLoopFor(20ms);
  STRCMP_EQUAL("200", env.SendAndDescribe(proxy, {.path = "/once/b",
                                                  .id = "late",
                                                  .timeout_ms = 20'000})
                          .c_str());
}

// Guards against an unknown outcome for a request that still waits for an
// endpoint when the grace period ends: it has not run.
TEST(StopEnd, RequestThatWaitsForAnEndpointAtTheEndIsToldNotRun) {
  const et::FakeEndpoint& endpoint =
      env.AddEndpoint("e1", et::LeaveUnanswered());
  ep::Proxy& proxy = env.StartReadyNode();
  std::vector<const et::TestConnection*> callers;
  for (const char* id : {"r1", "r2", "r3", "r4"}) {
    callers.push_back(&env.SendRequest(
        proxy, {.path = "/once/a", .id = id, .timeout_ms = 20'000}));
  }
  env.WaitUntil([&] {
    return ep::ViewOf(proxy).waiting > 0 && endpoint.requests().size() == 2;
  });
  ep::Leave(proxy);
  env.AdvanceClock(env.MakeOptions("n1").grace - 600ms);
  env.RunLoopFor(200ms);
  std::size_t not_run = 0;
  for (const et::TestConnection* caller : callers) {
    const std::string answer = et::DescribeAnswer(*caller);
    CHECK(answer == "503 no" || answer == "502 unknown");
    if (answer == "503 no") ++not_run;
  }
  LONGS_EQUAL(2, not_run);
  LONGS_EQUAL(2, endpoint.requests().size());
}

// Guards against sending a request whose head came before the stop and whose
// body ends late in the grace period: what is left may not hold its answer.
TEST(StopEnd, BodyThatEndsLateInTheGracePeriodIsToldNotRun) {
  const et::FakeEndpoint& endpoint =
      env.AddEndpoint("e1", et::LeaveUnanswered());
  ep::Proxy& proxy = env.StartReadyNode();
  et::TestConnection& caller = env.Connect(ep::ViewOf(proxy).callers);
  const std::string bytes = et::FormatRequest({.path = "/once/a",
                                               .body = std::string(1000, 'x'),
                                               .timeout_ms = 20'000});
  caller.Send(bytes.substr(0, bytes.size() - 400));
  env.RunLoopFor(50ms);
  ep::Leave(proxy);
  env.AdvanceClock(kPastAcceptPeriod);
  env.RunLoopFor(50ms);
  caller.Send(bytes.substr(bytes.size() - 400));
  env.WaitUntil([&caller] {
    return !et::DescribeAnswer(caller).empty() || caller.ended();
  });
  STRCMP_EQUAL("503 no", et::DescribeAnswer(caller).c_str());
  LONGS_EQUAL(0, endpoint.requests().size());
}
