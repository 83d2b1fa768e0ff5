// Changes of the published rules, zones and endpoints while requests are in
// progress.
#include <CppUTest/TestHarness.h>

#include <algorithm>
#include <vector>

#include "harness.h"
#include "state_p.h"

namespace er = egretladder::routing;
namespace ep = egretladder::proxy;
namespace et = egretladder::proxy::test;

namespace {

// Enough slots for one node to send all requests of a test at once.
constexpr int kManySlots = 60;

}  // namespace

TEST_GROUP(Changes) {
  et::TestEnvironment env;
  et::FakeEndpoint* endpoint = nullptr;
  ep::Proxy* proxy = nullptr;
  et::TestConnection* plain_caller = nullptr;
  et::TestConnection* stream_caller = nullptr;

  // Starts a node with a request that has no answer yet and a stream that has
  // two events.
  void StartWithRequests(int slots = kManySlots) {
    endpoint = &env.AddEndpoint("e1", et::LeaveUnanswered());
    env.Register("e1", endpoint->address(), "a", "serving", slots);
    proxy = &env.StartReadyNode();
    plain_caller = &env.SendRequest(*proxy, {.path = "/once/a", .id = "plain"});
    stream_caller =
        &env.SendRequest(*proxy, {.path = "/tell/a", .id = "stream"});
    env.WaitUntil([this] { return endpoint->requests().size() == 2; });
    FindRequest("stream").BeginStream(1, 2);
    env.WaitUntil([this] {
      return stream_caller->received().find("data: t2") != std::string::npos;
    });
  }

  // The node's state of the endpoint `e1`.
  const er::Endpoint& KnownEndpoint() const {
    return *proxy->endpoints.by_id.at("e1");
  }

  et::EndpointRequest FindRequest(const std::string& id) {
    const auto& requests = endpoint->requests();
    return *std::find_if(requests.begin(), requests.end(),
                         [&id](const et::EndpointRequest& request) {
                           return request.id() == id;
                         });
  }

  // Checks that all of several concurrent new requests reach `other`.
  void CheckNewRequestsReach(const et::FakeEndpoint& other) {
    std::vector<const et::TestConnection*> callers;
    for (int i = 0; i < 6; ++i) {
      callers.push_back(&env.SendRequest(*proxy, {.path = "/once/b"}));
    }
    const std::size_t endpoint_requests = endpoint->requests().size();
    env.WaitUntil([&] {
      return endpoint->requests().size() + other.requests().size() ==
             endpoint_requests + 6;
    });
    LONGS_EQUAL(6, other.requests().size());
    for (const et::EndpointRequest& request : other.requests())
      request.Answer(200, "done");
    for (const et::TestConnection* caller : callers) {
      env.WaitUntil([caller] { return !et::DescribeAnswer(*caller).empty(); });
      STRCMP_EQUAL("200", et::DescribeAnswer(*caller).c_str());
    }
  }

  // Completes both requests at the endpoint and checks that their callers get
  // complete answers.
  void CompleteRequests() {
    FindRequest("plain").Answer(200, "done");
    FindRequest("stream").connection->Send(et::FormatEventChunk(3) +
                                           et::kLastChunk);
    env.WaitUntil([this] {
      return !et::DescribeAnswer(*plain_caller).empty() &&
             !et::DescribeAnswer(*stream_caller).empty();
    });
    STRCMP_EQUAL("200", et::DescribeAnswer(*plain_caller).c_str());
    const auto answers = et::ParseAnswers(stream_caller->received());
    STRCMP_EQUAL(et::FormatEvents(1, 3).c_str(), answers[0].body.c_str());
    env.WaitUntil([this] { return ep::ViewOf(*proxy).calls == 0; });
  }
};

// Operators remove routes on which requests are in progress. These requests
// complete under the rules in force at their arrival; only new requests are
// rejected.
TEST(Changes, RequestsOnRemovedRouteComplete) {
  StartWithRequests();
  er::RouteTable table = et::MakeRouteTable();
  std::erase_if(table.routes, [](const er::Route& route) {
    return route.name == "once" || route.name == "tell";
  });
  env.Publish(table);
  env.WaitUntilRulesApplied(*proxy);
  STRCMP_EQUAL("404 no",
               env.SendAndDescribe(*proxy, {.path = "/once/b"}).c_str());
  STRCMP_EQUAL("404 no",
               env.SendAndDescribe(*proxy, {.path = "/tell/b"}).c_str());
  CompleteRequests();
  LONGS_EQUAL(2, endpoint->requests().size());
}

// Operators remove the route of a request that waits for a free endpoint. The
// request is sent under the rules in force at its arrival.
TEST(Changes, WaitingRequestOnRemovedRouteIsSent) {
  StartWithRequests(8);
  const et::TestConnection& waiting_caller =
      env.SendRequest(*proxy, {.path = "/once/c", .id = "waits"});
  env.WaitUntil([this] { return ep::ViewOf(*proxy).waiting == 1; });
  er::RouteTable table = et::MakeRouteTable();
  std::erase_if(table.routes,
                [](const er::Route& route) { return route.name == "once"; });
  env.Publish(table);
  env.WaitUntilRulesApplied(*proxy);
  FindRequest("plain").Answer(200, "done");
  env.WaitUntil([this] { return endpoint->requests().size() == 3; });
  FindRequest("waits").Answer(200, "done");
  env.WaitUntil([&waiting_caller] {
    return !et::DescribeAnswer(waiting_caller).empty();
  });
  STRCMP_EQUAL("200", et::DescribeAnswer(waiting_caller).c_str());
  CompleteRequests();
}

// A key is revoked while a stream of its account runs. The stream completes,
// since its key was valid at its arrival; the next request is rejected.
TEST(Changes, StreamCompletesAfterItsKeyIsRevoked) {
  StartWithRequests();
  er::RouteTable table = et::MakeRouteTable();
  table.account_by_key.erase("k1");
  env.Publish(table);
  env.WaitUntilRulesApplied(*proxy);
  STRCMP_EQUAL("401 no",
               env.SendAndDescribe(*proxy, {.path = "/tell/b"}).c_str());
  CompleteRequests();
}

// An account is removed while one of its streams runs. The stream completes,
// and the next request is rejected.
TEST(Changes, StreamCompletesAfterItsAccountIsRemoved) {
  StartWithRequests();
  er::RouteTable table = et::MakeRouteTable();
  table.account_by_key = {{"k3", 0}};
  table.accounts = {{.name = "other", .tier = {}}};
  env.Publish(table);
  env.WaitUntilRulesApplied(*proxy);
  STRCMP_EQUAL(
      "401 no",
      env.SendAndDescribe(*proxy, {.path = "/tell/b", .key = "k2"}).c_str());
  CompleteRequests();
}

// Operators take an availability zone out of service. Its endpoints complete
// their requests, and all new requests go to other zones.
TEST(Changes, RequestsInZoneTakenOutComplete) {
  StartWithRequests();
  const et::FakeEndpoint& other =
      env.AddEndpoint("e2", et::LeaveUnanswered(), "b");
  env.Register("e2", other.address(), "b", "serving", kManySlots);
  env.WaitUntilReady(*proxy, 2);
  env.store.Put("out/a", "1");
  env.WaitUntil([this] { return er::IsZoneOut(proxy->endpoints, "a"); });
  CheckNewRequestsReach(other);
  CompleteRequests();
  LONGS_EQUAL(2, endpoint->requests().size());
}

// An endpoint announces that it leaves. It completes its requests and gets no
// new ones.
TEST(Changes, RequestsAtLeavingEndpointComplete) {
  StartWithRequests();
  const et::FakeEndpoint& other = env.AddEndpoint("e2", et::LeaveUnanswered());
  env.Register("e2", other.address(), "a", "serving", kManySlots);
  env.WaitUntilReady(*proxy, 2);
  env.Register("e1", endpoint->address(), "a", "leaving", kManySlots);
  env.WaitUntil(
      [this] { return KnownEndpoint().phase == er::EndpointPhase::kLeaving; });
  CheckNewRequestsReach(other);
  CompleteRequests();
}

// An endpoint's lease expires while it runs requests. Its connections are still
// open, and its answers must arrive completely.
TEST(Changes, RequestsAtEndpointWithExpiredEntryComplete) {
  StartWithRequests();
  env.store.Remove("endpoints/e1");
  env.WaitUntil([this] { return ep::ViewOf(*proxy).endpoints == 0; });
  CompleteRequests();
  // An endpoint that registers again is used again.
  env.Register("e1", endpoint->address());
  env.WaitUntilReady(*proxy, 1);
  const et::TestConnection& next =
      env.SendRequest(*proxy, {.path = "/once/b", .id = "next"});
  env.WaitUntil([this] { return endpoint->requests().size() == 3; });
  FindRequest("next").Answer(200, "done");
  env.WaitUntil([&next] { return !et::DescribeAnswer(next).empty(); });
  STRCMP_EQUAL("200", et::DescribeAnswer(next).c_str());
}

// A new process registers under an endpoint's id while the old process still
// runs requests. The old process completes them; the new one gets all new
// requests.
TEST(Changes, RequestsAtReplacedEndpointComplete) {
  StartWithRequests();
  et::FakeEndpoint replacement(env.loop, et::AnswerImmediately());
  env.Register("e1", replacement.address());
  env.WaitUntil(
      [&] { return KnownEndpoint().entry.address == replacement.address(); });
  STRCMP_EQUAL("200", env.SendAndDescribe(*proxy, {.path = "/once/b"}).c_str());
  LONGS_EQUAL(1, replacement.requests().size());
  CompleteRequests();
}
