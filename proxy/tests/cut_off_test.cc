// Nodes that lose their links to all endpoints, while callers, peers and the
// store still reach them.
#include <CppUTest/TestHarness.h>

#include <vector>

#include "harness_links.h"

using namespace std::chrono_literals;
namespace ep = egretladder::proxy;
namespace et = egretladder::proxy::test;

TEST_GROUP(CutOff) {
  static constexpr int kEndpoints = 6;
  et::TestEnvironment env;
  et::EndpointLinks links{env.loop};
  std::vector<et::FakeEndpoint*> endpoints;
  ep::Proxy* cut = nullptr;   // The node whose links a test cuts.
  ep::Proxy* peer = nullptr;  // A node that keeps its links.

  // Answers requests, and begins streams that don't end.
  static et::FakeEndpoint::Handler AnswerOrBeginStream() {
    return [](const et::EndpointRequest& request) {
      if (request.http.target.starts_with("/tell/")) {
        request.BeginStream(1, 1);
      } else {
        request.Answer(200, "done");
      }
    };
  }

  void StartNodes(const et::FakeEndpoint::Handler& handler,
                  const char* peer_dialect = "plain") {
    for (int i = 0; i < kEndpoints; ++i) {
      endpoints.push_back(&env.AddEndpoint("e" + std::to_string(i), handler));
    }
    env.Publish();
    ep::ProxyOptions options = env.MakeOptions("cut");
    options.dialect = et::EndpointLinks::Dialect();
    cut = &env.StartNode(options);
    options = env.MakeOptions("peer");
    options.dialect = peer_dialect;
    options.seeds = {ep::ViewOf(*cut).peers};
    peer = &env.StartNode(options);
    env.WaitUntilReady(*cut, kEndpoints);
    env.WaitUntilReady(*peer, kEndpoints);
    env.WaitUntil([this] { return ep::ViewOf(*cut).nodes == 2; });
  }

  std::size_t CountRequests() const {
    std::size_t requests = 0;
    for (const et::FakeEndpoint* endpoint : endpoints)
      requests += endpoint->requests().size();
    return requests;
  }

  // Sends requests while the node notices that its links are gone.
  void LetNodeNotice() {
    for (int i = 0; i < 8; ++i) {
      env.SendRequest(*cut, {.path = "/read/a", .id = "n" + std::to_string(i)});
      env.RunLoopFor(100ms);
    }
    env.RunLoopFor(500ms);
  }

  void CheckAllServed(const std::string& path) {
    for (int i = 0; i < 12; ++i) {
      const std::string id = path + std::to_string(i);
      STRCMP_EQUAL("200",
                   env.SendAndDescribe(*cut, {.path = path, .id = id}).c_str());
    }
  }
};

// Guards against callers of a node whose new connections to endpoints hang.
TEST(CutOff, CallersAreServedWhileConnectionsHang) {
  StartNodes(et::AnswerImmediately());
  CheckAllServed("/read/before");
  links.Set(et::Cut::kHang);
  LetNodeNotice();
  CheckAllServed("/read/a");
  CheckAllServed("/once/a");
}

// Guards against callers of a node whose connections to endpoints are reset.
TEST(CutOff, CallersAreServedWhileConnectionsAreReset) {
  StartNodes(et::AnswerImmediately());
  CheckAllServed("/read/before");
  links.Set(et::Cut::kReset);
  LetNodeNotice();
  CheckAllServed("/read/a");
  CheckAllServed("/once/a");
}

// Guards against callers of a node that can open no new connections while old
// ones live on.
TEST(CutOff, CallersAreServedWhileNewConnectionsAreRefused) {
  StartNodes(AnswerOrBeginStream());
  for (int i = 0; i < kEndpoints; ++i) {
    const std::string id = "s" + std::to_string(i);
    et::TestConnection& caller =
        env.SendRequest(*cut, {.path = "/tell/a", .id = id});
    env.WaitUntil([&caller] { return !caller.received().empty(); });
  }
  links.Set(et::Cut::kRefuseNew);
  CheckAllServed("/read/a");
  CheckAllServed("/once/a");
}

// Guards against a request that may not run twice and runs at two nodes.
TEST(CutOff, RequestRunsOnceWhileConnectionsHang) {
  StartNodes(et::AnswerImmediately());
  links.Set(et::Cut::kHang);
  LetNodeNotice();
  const std::size_t before = CountRequests();
  CheckAllServed("/once/a");
  LONGS_EQUAL(before + 12, CountRequests());
}

// Guards against callers that are sent to a node without links to endpoints.
TEST(CutOff, DirectoryLeavesOutANodeWithoutLinks) {
  StartNodes(et::AnswerImmediately());
  links.Set(et::Cut::kReset);
  LetNodeNotice();
  for (ep::Proxy* node : {cut, peer}) {
    et::TestConnection& caller = env.Connect(ep::ViewOf(*node).directory);
    caller.Send("GET /nodes/a HTTP/1.1\r\nHost: h\r\n\r\n");
    env.WaitUntil(
        [&caller] { return !et::ParseAnswers(caller.received()).empty(); });
    const std::string body = et::ParseAnswers(caller.received()).front().body;
    CHECK_TEXT(body.find(ep::ViewOf(*peer).callers) != std::string::npos,
               body.c_str());
    CHECK_TEXT(body.find(ep::ViewOf(*cut).callers) == std::string::npos,
               body.c_str());
  }
}

// Guards against a wrong statement while all nodes have lost their links.
TEST(CutOff, OutageOfTheEndpointsIsRefusedAsNotRun) {
  StartNodes(et::AnswerImmediately(), et::EndpointLinks::Dialect());
  links.Set(et::Cut::kReset);
  LetNodeNotice();
  for (int i = 0; i < 4; ++i) {
    const std::string id = "o" + std::to_string(i);
    STRCMP_EQUAL(
        "503 no",
        env.SendAndDescribe(*cut, {.path = "/once/a", .id = id}).c_str());
  }
}
