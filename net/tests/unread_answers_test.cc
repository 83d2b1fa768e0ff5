// Callers that read nothing, or send nothing, and hold what others need.
#include <CppUTest/TestHarness.h>
#include <sys/socket.h>

#include <list>
#include <string>

#include "egretladder/net/http_server.h"
#include "harness.h"

namespace en = egretladder::net;
namespace et = egretladder::net::test;

namespace {

constexpr int kSmallBuffer = 16'384;

std::string MakeGet() { return "GET / HTTP/1.1\r\nHost: h\r\n\r\n"; }

}  // namespace

TEST_GROUP(UnreadAnswers) {
  et::TestLoop test_loop;
  std::list<en::HttpServer> servers;
  std::list<et::RawSocket> callers;
  std::size_t answer_size = 100;
  std::size_t requests = 0;

  en::HttpServer& Start() {
    en::ServerHandlers handlers;
    handlers.on_request = [this](const en::HttpCallPtr& call) {
      ++requests;
      call->Answer(200, "OK", {}, std::string(answer_size, 'x'));
    };
    handlers.make_buffer = [](event_base* base, evutil_socket_t fd) {
      setsockopt(fd, SOL_SOCKET, SO_SNDBUF, &kSmallBuffer,
                 sizeof(kSmallBuffer));
      return en::Bufferevent(
          bufferevent_socket_new(base, fd, BEV_OPT_CLOSE_ON_FREE));
    };
    en::HttpServer& server =
        servers.emplace_back(test_loop.loop, std::move(handlers));
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
