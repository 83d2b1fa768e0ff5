// What a node that stops still owes its callers when it ends.
#include <CppUTest/TestHarness.h>
#include <netinet/in.h>
#include <sys/socket.h>
#include <unistd.h>

#include <array>
#include <string>

#include "egretladder/net/address.h"
#include "harness.h"

using namespace std::chrono_literals;
namespace en = egretladder::net;
namespace ep = egretladder::proxy;
namespace et = egretladder::proxy::test;

namespace {

constexpr auto kNoMoreTaken = 3300ms;

// Sends a request to a process whose loop doesn't turn meanwhile.
int SendAside(const std::string& address, const std::string& bytes) {
  auto target = en::ParseAddress(address);
  if (!target) return -1;
  const int fd = socket(AF_INET, SOCK_STREAM, 0);
  const timeval most{2, 0};
  setsockopt(fd, SOL_SOCKET, SO_RCVTIMEO, &most, sizeof(most));
  if (connect(fd, target->get(), static_cast<socklen_t>(target->size)) != 0)
    return -1;
  if (send(fd, bytes.data(), bytes.size(), MSG_NOSIGNAL) < 0) return -1;
  return fd;
}

std::string ReadAside(int fd) {
  std::array<char, 4096> bytes{};
  const auto size = recv(fd, bytes.data(), bytes.size(), 0);
  return size > 0 ? std::string(bytes.data(), static_cast<std::size_t>(size))
                  : std::string();
}

}  // namespace

TEST_GROUP(StopEnd) {
  et::TestEnvironment env;

  // As the program does at one of its looks.
  void EndIfItMay(ep::Proxy & proxy) {
    if (ep::CanShutDown(proxy)) env.KillNode(proxy);
  }
};

// The process is paused, or its loop is late, until shortly before it is
// killed, while an order is in progress. The program may look before the node
// has ended its calls, and ends the process: the caller sees a connection that
// closes, though there was time to tell it that the outcome is unknown.
TEST(StopEnd, AProcessThatStoodStillTellsItsCallersBeforeItEnds) {
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

// A caller on a slow link is still sending its order when callers no longer
// keep the address and nothing else is in progress. The process ends, and a
// connection that closes promises nothing: the caller may not send the order
// again, though nothing of it ran.
TEST(StopEnd, ACallerThatIsStillSendingIsToldThatNothingRan) {
  env.AddEndpoint("e1", et::AnswerImmediately());
  ep::Proxy& proxy = env.StartReadyNode();
  et::TestConnection& caller = env.Connect(ep::ViewOf(proxy).callers);
  const std::string bytes = et::FormatRequest(
      {.path = "/once/a", .body = std::string(1000, 'x'), .timeout_ms = 2000});
  ep::Leave(proxy);
  env.AdvanceClock(kNoMoreTaken - 200ms);
  caller.Send(bytes.substr(0, 600));
  env.RunLoopFor(50ms);
  env.AdvanceClock(200ms);
  env.RunLoopFor(150ms);
  EndIfItMay(proxy);
  caller.Send(bytes.substr(600));
  env.WaitUntil([&caller] {
    return !et::DescribeAnswer(caller).empty() || caller.ended();
  });
  STRCMP_EQUAL("503 no", et::DescribeAnswer(caller).c_str());
}

// A whole request waits in a connection that the kernel has accepted while the
// process's loop is late. The program looks first and ends the process: the
// connection is reset, and the caller doesn't know whether its order ran.
TEST(StopEnd, AWholeRequestThatIsNotReadYetIsToldThatNothingRan) {
  env.AddEndpoint("e1", et::AnswerImmediately());
  ep::Proxy& proxy = env.StartReadyNode();
  ep::Leave(proxy);
  env.RunLoopFor(20ms);
  const int fd = SendAside(ep::ViewOf(proxy).callers,
                           et::FormatRequest({.path = "/once/a"}));
  CHECK(fd >= 0);
  env.AdvanceClock(kNoMoreTaken);
  EndIfItMay(proxy);
  env.RunLoopFor(200ms);
  const std::string received = ReadAside(fd);
  close(fd);
  STRCMP_CONTAINS("503", received.c_str());
}

// A request comes too late for a stopping node while all its endpoints are
// busy. It will be refused whatever becomes free; held until then, its caller
// loses up to half of the time that its route promises.
TEST(StopEnd, ARequestThatIsNotTakenIsRefusedWhileItWaits) {
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

// A node that is alone stops and finishes what it has. Its directory goes on to
// name its address, and callers that follow meet a closed port.
TEST(StopEnd, ItsDirectoryNamesNoClosedPort) {
  const et::FakeEndpoint& endpoint =
      env.AddEndpoint("e1", et::LeaveUnanswered());
  ep::Proxy& proxy = env.StartReadyNode();
  env.SendRequest(proxy, {.path = "/once/a", .timeout_ms = 20'000});
  env.WaitUntil([&endpoint] { return endpoint.requests().size() == 1; });
  ep::Leave(proxy);
  env.AdvanceClock(kNoMoreTaken);
  env.RunLoopFor(200ms);
  const ep::ProxyView view = ep::ViewOf(proxy);
  et::TestConnection& asker = env.Connect(view.directory);
  asker.Send("GET /nodes/a HTTP/1.1\r\nHost: h\r\n\r\n");
  env.WaitUntil(
      [&asker] { return !et::DescribeAnswer(asker).empty() || asker.ended(); });
  const std::string named = et::ParseAnswers(asker.received()).at(0).body;
  if (named.find(view.callers) == std::string::npos) return;
  et::TestConnection& caller = env.Connect(view.callers);
  caller.Send(et::FormatRequest({.path = "/once/b", .id = "b"}));
  env.WaitUntil([&caller] {
    return !et::DescribeAnswer(caller).empty() || caller.ended();
  });
  STRCMP_EQUAL("503 no", et::DescribeAnswer(caller).c_str());
}

// A caller on a slow link has not taken its answer, which waits in the kernel
// on a connection that was to be kept. The process ends and its machine is
// switched off: the caller loses an answer of work that ran.
TEST(StopEnd, AnAnswerThatWaitsInTheKernelIsNotTakenYet) {
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
  env.AdvanceClock(kNoMoreTaken);
  env.RunLoopFor(150ms);
  CHECK(caller.unread_bytes() < body.size());
  CHECK_FALSE(ep::CanShutDown(proxy));
}

// The process is paused for two seconds when its signal comes. The platform
// counts the grace from the signal; counted from the end of the pause, the
// process is killed before it has told its callers anything.
TEST(StopEnd, ASignalDuringAPauseCountsFromThePause) {
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

// Orders take five seconds at their endpoint, which is idle. One that comes
// when the node has four left is cut in the middle, and its caller doesn't know
// whether it ran; refused as not run, it would be served by another node.
TEST(StopEnd, AnOrderThatItsGraceCantHoldIsRefused) {
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
