// Callers that read nothing, or send nothing, and hold what others need.
#include <CppUTest/TestHarness.h>
#include <sys/socket.h>

#include <chrono>
#include <list>
#include <memory>
#include <optional>
#include <string>

#include "egretladder/net/http_reader.h"
#include "egretladder/net/http_server.h"
#include "harness.h"

namespace en = egretladder::net;
namespace et = egretladder::net::test;
namespace ek = egretladder::kernel;
using namespace std::chrono_literals;

namespace {

constexpr int kSmallBuffer = 16'384;
constexpr std::size_t kLargeAnswer = std::size_t{1} << 20U;

std::string MakeGet() { return "GET / HTTP/1.1\r\nHost: h\r\n\r\n"; }

}  // namespace

TEST_GROUP(UnreadAnswers) {
  et::TestLoop test_loop;
  en::ServerGroupPtr group;
  std::list<en::HttpServer> servers;
  std::list<et::RawSocket> callers;
  std::size_t answer_size = 100;
  std::size_t requests = 0;
  std::vector<en::HttpCallPtr> unanswered;
  bool answers = true;
  bool answers_behind_unread = true;
  // Above it callers have no patience.
  std::size_t max_unread = std::size_t{1} << 30U;

  void setup() override {
    group = std::make_shared<en::ServerGroup>(
        test_loop.loop,
        [this](std::size_t bytes) -> std::optional<std::chrono::milliseconds> {
          if (bytes <= max_unread) return std::nullopt;
          return 0ms;
        });
  }

  en::HttpServer& Start(std::size_t connections = 100) {
    en::ServerHandlers handlers;
    handlers.on_request = [this](const en::HttpCallPtr& call) {
      ++requests;
      if (answers && (answers_behind_unread || group->unread_bytes() == 0)) {
        call->Answer(200, "OK", {}, std::string(answer_size, 'x'));
      } else {
        unanswered.push_back(call);
      }
    };
    handlers.make_buffer = [](event_base* base, evutil_socket_t fd) {
      setsockopt(fd, SOL_SOCKET, SO_SNDBUF, &kSmallBuffer,
                 sizeof(kSmallBuffer));
      return en::Bufferevent(
          bufferevent_socket_new(base, fd, BEV_OPT_CLOSE_ON_FREE));
    };
    en::HttpServer& server =
        servers.emplace_back(test_loop.loop, std::move(handlers), group);
    en::ServerLimits limits;
    limits.connections = connections;
    server.SetLimits(limits);
    CHECK(server.Listen("127.0.0.1:0").has_value());
    return server;
  }

  et::RawSocket& Connect(const en::HttpServer& server) {
    return callers.emplace_back(server.address(), kSmallBuffer);
  }

  std::size_t CountAnswers(et::RawSocket & caller) {
    caller.Receive();
    return et::ParseAnswers(caller.received()).size();
  }

  void Settle() {
    for (int i = 0; i < 5; ++i) test_loop.Settle();
  }
};

// Guards against answers that pile up for a caller that sends requests ahead
// and reads nothing, and against answers that are lost when it reads after all.
TEST(UnreadAnswers, TheNextRequestWaitsUntilAnswersAreTaken) {
  answer_size = 4096;
  const en::HttpServer& server = Start();
  et::RawSocket& caller = Connect(server);
  constexpr std::size_t kRequests = 500;
  for (std::size_t i = 0; i < kRequests; ++i) caller.Send(MakeGet());
  Settle();
  CHECK(server.unsent_bytes() <= en::kMaxUnreadBytes + 2 * answer_size);
  CHECK(requests < kRequests);
  test_loop.WaitUntil([&] { return CountAnswers(caller) == kRequests; });
}

// Guards against callers of all ports that together leave more unread than
// there is memory, and against the close of one that reads.
TEST(UnreadAnswers, TheLargestOfAllServersIsClosed) {
  max_unread = 4 * kLargeAnswer;
  answer_size = kLargeAnswer;
  const std::vector<const en::HttpServer*> ports = {&Start(), &Start()};
  constexpr std::size_t kCallers = 10;
  for (std::size_t i = 0; i < kCallers; ++i)
    Connect(*ports[i % ports.size()]).Send(MakeGet());
  test_loop.WaitUntil([&] { return requests == kCallers; });
  Settle();
  CHECK(group->unread_bytes() <= max_unread);
  CHECK(group->closed_unread() > 0);
  ek::Advance(test_loop.clock, 100ms);
  et::RawSocket& reading = Connect(*ports[0]);
  reading.Send(MakeGet());
  test_loop.WaitUntil([&] { return CountAnswers(reading) == 1; });
  CHECK(group->unread_bytes() <= max_unread);
}

// Guards against the close of a large answer that its caller reads slowly, for
// those that nobody reads.
TEST(UnreadAnswers, AnAnswerThatNobodyReadsGoesBeforeALargerOne) {
  const en::HttpServer& server = Start();
  answer_size = kLargeAnswer / 4;
  et::RawSocket& reads_nothing = Connect(server);
  reads_nothing.Send(MakeGet());
  test_loop.WaitUntil([&] { return requests == 1; });
  Settle();
  ek::Advance(test_loop.clock, 10s);
  answer_size = kLargeAnswer;
  et::RawSocket& reads_slowly = Connect(server);
  reads_slowly.Send(MakeGet());
  test_loop.WaitUntil([&] { return requests == 2; });
  Settle();
  ek::Advance(test_loop.clock, 60ms);
  max_unread = group->unread_bytes() - 1;
  group->CloseUnread();
  LONGS_EQUAL(1, group->closed_unread());
  test_loop.WaitUntil([&] { return CountAnswers(reads_slowly) == 1; });
}

// Guards against a request at an endpoint that is given up for the unread
// answer before it.
TEST(UnreadAnswers, ARequestInProgressIsNotGivenUp) {
  const en::HttpServer& server = Start();
  answer_size = 4096;
  answers_behind_unread = false;
  et::RawSocket& caller = Connect(server);
  for (int i = 0; i < 500; ++i) caller.Send(MakeGet());
  test_loop.WaitUntil([&] { return !unanswered.empty(); });
  CHECK(group->unread_bytes() > 0);
  ek::Advance(test_loop.clock, 10s);
  max_unread = 0;
  group->CloseUnread();
  LONGS_EQUAL(0, group->closed_unread());
  max_unread = kLargeAnswer;
  const std::size_t before = requests;
  answers_behind_unread = true;
  unanswered.at(0)->Answer(200, "OK", {}, "own");
  test_loop.WaitUntil([&] { return CountAnswers(caller) > before; });
}

// Guards against a full port on which connections without a request keep
// others out.
TEST(UnreadAnswers, AFullServerClosesTheLongestWaiting) {
  constexpr std::size_t kConnections = 4;
  const en::HttpServer& server = Start(kConnections);
  answers = false;
  et::RawSocket& in_call = Connect(server);
  in_call.Send(MakeGet());
  test_loop.WaitUntil([&] { return requests == 1; });
  answers = true;
  et::RawSocket& first = Connect(server);
  first.Send("GET / HT");
  test_loop.WaitUntil([&] { return server.connections() == 2; });
  ek::Advance(test_loop.clock, 300ms);
  for (std::size_t i = 0; i < kConnections; ++i) Connect(server);
  Settle();
  ek::Advance(test_loop.clock, 300ms);
  et::RawSocket& ordinary = Connect(server);
  ordinary.Send(MakeGet());
  test_loop.WaitUntil([&] { return CountAnswers(ordinary) == 1; });
  first.Receive();
  CHECK(first.end() != et::ConnectionEnd::kOpen);
  CHECK(server.connections() <= kConnections);
  CHECK(server.closed_waiting() > 0);
  unanswered.at(0)->Answer(200, "OK", {}, "own");
  test_loop.WaitUntil([&] { return CountAnswers(in_call) == 1; });
}

// Guards against an upload that is closed though it goes on, as it began before
// others came that send nothing.
TEST(UnreadAnswers, AFullServerKeepsAnUploadThatGoesOn) {
  constexpr std::size_t kConnections = 3;
  const en::HttpServer& server = Start(kConnections);
  et::RawSocket& upload = Connect(server);
  upload.Send("POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 3\r\n\r\na");
  test_loop.WaitUntil([&] { return server.connections() == 1; });
  Settle();
  ek::Advance(test_loop.clock, 100ms);
  Connect(server);
  test_loop.WaitUntil([&] { return server.connections() == 2; });
  ek::Advance(test_loop.clock, 300ms);
  upload.Send("b");
  Settle();
  et::RawSocket& ordinary = Connect(server);
  ordinary.Send(MakeGet());
  test_loop.WaitUntil([&] { return CountAnswers(ordinary) == 1; });
  LONGS_EQUAL(1, server.closed_waiting());
  upload.Send("c");
  test_loop.WaitUntil([&] { return CountAnswers(upload) == 1; });
}

// Guards against a full port that keeps those out who read, since nobody who
// sends ahead and reads nothing is closed.
TEST(UnreadAnswers, AFullServerClosesThoseThatSendAheadAndReadNothing) {
  constexpr std::size_t kConnections = 3;
  const en::HttpServer& server = Start(kConnections);
  answer_size = 4096;
  for (std::size_t i = 0; i < kConnections; ++i) {
    et::RawSocket& caller = Connect(server);
    for (int j = 0; j < 500; ++j) caller.Send(MakeGet());
  }
  Settle();
  ek::Advance(test_loop.clock, 2100ms);
  et::RawSocket& ordinary = Connect(server);
  ordinary.Send(MakeGet());
  test_loop.WaitUntil([&] { return CountAnswers(ordinary) == 1; });
}

// Guards against heads of many fields whose memory counts as little as their
// bodies, which never come.
TEST(UnreadAnswers, FieldsOfIncompleteRequestsCount) {
  en::RequestReader reader({16'384, 1U << 20U});
  constexpr std::size_t kFields = 1000;
  std::string head = "POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 1000\r\n";
  for (std::size_t i = 0; i < kFields; ++i) head += "a: b\r\n";
  head += "\r\n";
  LONGS_EQUAL(head.size(), reader.Feed(head));
  CHECK(reader.state() == en::ReadState::kBody);
  CHECK(reader.held_bytes() >= kFields * sizeof(en::HttpField));
}
