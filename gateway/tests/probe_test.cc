#include <CppUTest/TestHarness.h>

#include <csignal>
#include <optional>
#include <string>

#include "harness.h"
#include "http_client_p.h"

namespace eg = egretladder::gateway;
namespace et = egretladder::gateway::testing;

TEST_GROUP(ProbeListener) {
  et::TestLoop loop_;
  et::RawServer server_{loop_, "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\n{}",
                        false};
  eg::HttpClientPtr client_ = eg::OpenHttpClient(loop_.loop);

  // As a started gateway does: writing to a closed socket is no signal.
  void setup() override { std::signal(SIGPIPE, SIG_IGN); }

  /// Leaves one idle connection to the server behind.
  void FetchOnce() {
    bool fetched = false;
    eg::ExchangeSpec spec;
    spec.address = server_.address;
    spec.answer_time = std::chrono::seconds(5);
    spec.idle_timeout = std::chrono::seconds(5);
    eg::Fetch(*client_, spec, 100,
              [&fetched](const eg::Fetched* got) { fetched = got != nullptr; });
    CHECK_TRUE(et::RunUntil(loop_, [&fetched] { return fetched; }));
  }

  bool IsRefused() {
    std::optional<bool> refused;
    eg::ProbeListener(*client_, server_.address,
                      [&refused](bool was) { refused = was; });
    CHECK_TRUE(et::RunUntil(loop_, [&refused] { return refused.has_value(); }));
    return refused.value_or(false);
  }
};

// A request crashes an engine. One of its connections breaks while another,
// idle, still looks open. If that one vouches for the engine, nobody blames the
// request, and it crashes the next engine as well.
TEST(ProbeListener, AnIdleConnectionProvesNothing) {
  FetchOnce();
  CHECK_FALSE(IsRefused());
  FetchOnce();
  server_.StopListening();
  CHECK_TRUE(IsRefused());
}
