// What the platform publishes changes while requests are in progress.
#include <CppUTest/TestHarness.h>

#include <algorithm>
#include <vector>

#include "harness.h"
#include "state_p.h"

namespace er = egretladder::routing;
namespace ep = egretladder::proxy;
namespace et = egretladder::proxy::test;

namespace {

// Slots that let one node send more requests than a test has.
constexpr int kMany = 60;

}  // namespace

TEST_GROUP(Changes) {
  et::TestEnvironment env;
  et::FakeEndpoint* endpoint = nullptr;
  ep::Proxy* proxy = nullptr;
  et::TestConnection* order = nullptr;
  et::TestConnection* stream = nullptr;

  // An order without an answer so far and a stream with two events.
  void StartWithRequests(int slots = kMany) {
    endpoint = &env.AddEndpoint("e1", et::LeaveUnanswered());
    env.Register("e1", endpoint->address(), "a", "serving", slots);
    proxy = &env.StartReadyNode();
    order = &env.SendRequest(*proxy, {.path = "/once/a", .id = "order"});
    stream = &env.SendRequest(*proxy, {.path = "/tell/a", .id = "stream"});
    env.WaitUntil([this] { return endpoint->requests().size() == 2; });
    FindRequest("stream").BeginStream(1, 2);
    env.WaitUntil([this] {
      return stream->received().find("data: t2") != std::string::npos;
    });
  }

  // What the node knows of the endpoint.
  const er::Endpoint& Known() const { return *proxy->endpoints.by_id.at("e1"); }

  et::EndpointRequest FindRequest(const std::string& id) {
    const auto& requests = endpoint->requests();
    return *std::find_if(requests.begin(), requests.end(),
                         [&id](const et::EndpointRequest& request) {
                           return request.id() == id;
                         });
  }

  // Of requests that come now, side by side, all reach `other`.
  void AllReach(const et::FakeEndpoint& other) {
    std::vector<const et::TestConnection*> callers;
    for (int i = 0; i < 6; ++i) {
      callers.push_back(&env.SendRequest(*proxy, {.path = "/once/b"}));
    }
    const std::size_t before = endpoint->requests().size();
    env.WaitUntil([&] {
      return endpoint->requests().size() + other.requests().size() ==
             before + 6;
    });
    LONGS_EQUAL(6, other.requests().size());
    for (const et::EndpointRequest& request : other.requests())
      request.Answer(200, "done");
    for (const et::TestConnection* caller : callers) {
      env.WaitUntil([caller] { return !et::DescribeAnswer(*caller).empty(); });
      STRCMP_EQUAL("200", et::DescribeAnswer(*caller).c_str());
    }
  }

  // The endpoint ends both, and their callers have them whole.
  void EndRequests() {
    FindRequest("order").Answer(200, "done");
    FindRequest("stream").connection->Send(et::FormatEventChunk(3) +
                                           et::kLastChunk);
    env.WaitUntil([this] {
      return !et::DescribeAnswer(*order).empty() &&
             !et::DescribeAnswer(*stream).empty();
    });
    STRCMP_EQUAL("200", et::DescribeAnswer(*order).c_str());
    const auto answers = et::ParseAnswers(stream->received());
    STRCMP_EQUAL(et::FormatEvents(1, 3).c_str(), answers[0].body.c_str());
    env.WaitUntil([this] { return ep::ViewOf(*proxy).calls == 0; });
  }
};

// Operators publish rules without a route on which requests are in progress.
// They came under the old rules and end under them; only new ones are turned
// away.
TEST(Changes, RequestsOnARouteThatIsDroppedEndWhole) {
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
  EndRequests();
  LONGS_EQUAL(2, endpoint->requests().size());
}

// The same for a request that waits for a free place at an endpoint: it is sent
// as the rules said when it came.
TEST(Changes, ARequestThatWaitsOnARouteThatIsDroppedIsSent) {
  StartWithRequests(8);
  const et::TestConnection& waits =
      env.SendRequest(*proxy, {.path = "/once/c", .id = "waits"});
  env.WaitUntil([this] { return ep::ViewOf(*proxy).waiting == 1; });
  er::RouteTable table = et::MakeRouteTable();
  std::erase_if(table.routes,
                [](const er::Route& route) { return route.name == "once"; });
  env.Publish(table);
  env.WaitUntilRulesApplied(*proxy);
  FindRequest("order").Answer(200, "done");
  env.WaitUntil([this] { return endpoint->requests().size() == 3; });
  FindRequest("waits").Answer(200, "done");
  env.WaitUntil([&waits] { return !et::DescribeAnswer(waits).empty(); });
  STRCMP_EQUAL("200", et::DescribeAnswer(waits).c_str());
  EndRequests();
}

// A key is withdrawn while a stream of its account runs. The stream was allowed
// when it came and ends whole; the next request is turned away.
TEST(Changes, AStreamEndsWholeThoughItsKeyIsWithdrawn) {
  StartWithRequests();
  er::RouteTable table = et::MakeRouteTable();
  table.account_by_key.erase("k1");
  env.Publish(table);
  env.WaitUntilRulesApplied(*proxy);
  STRCMP_EQUAL("401 no",
               env.SendAndDescribe(*proxy, {.path = "/tell/b"}).c_str());
  EndRequests();
}

// The same for an account that goes as a whole.
TEST(Changes, AStreamEndsWholeThoughItsAccountIsGone) {
  StartWithRequests();
  er::RouteTable table = et::MakeRouteTable();
  table.account_by_key = {{"k3", 0}};
  table.accounts = {{.name = "other", .tier = {}}};
  env.Publish(table);
  env.WaitUntilRulesApplied(*proxy);
  STRCMP_EQUAL(
      "401 no",
      env.SendAndDescribe(*proxy, {.path = "/tell/b", .key = "k2"}).c_str());
  EndRequests();
}

// Operators empty an availability zone. Its endpoints end what they have, and
// everything new goes to the other zones.
TEST(Changes, RequestsInAZoneThatIsTakenOutEndWhole) {
  StartWithRequests();
  const et::FakeEndpoint& other =
      env.AddEndpoint("e2", et::LeaveUnanswered(), "b");
  env.Register("e2", other.address(), "b", "serving", kMany);
  env.WaitUntilReady(*proxy, 2);
  env.store.Put("out/a", "1");
  env.WaitUntil([this] { return er::IsZoneOut(proxy->endpoints, "a"); });
  AllReach(other);
  EndRequests();
  LONGS_EQUAL(2, endpoint->requests().size());
}

// An endpoint says that it leaves. It ends what it has and gets nothing new.
TEST(Changes, RequestsAtAnEndpointThatLeavesEndWhole) {
  StartWithRequests();
  const et::FakeEndpoint& other = env.AddEndpoint("e2", et::LeaveUnanswered());
  env.Register("e2", other.address(), "a", "serving", kMany);
  env.WaitUntilReady(*proxy, 2);
  env.Register("e1", endpoint->address(), "a", "leaving", kMany);
  env.WaitUntil(
      [this] { return Known().phase == er::EndpointPhase::kLeaving; });
  AllReach(other);
  EndRequests();
}

// An endpoint's lease runs out while it works. The connection still stands, and
// what it answers is whole.
TEST(Changes, RequestsAtAnEndpointWhoseEntryGoesEndWhole) {
  StartWithRequests();
  env.store.Remove("endpoints/e1");
  env.WaitUntil([this] { return ep::ViewOf(*proxy).endpoints == 0; });
  EndRequests();
  // It registers again and is used again.
  env.Register("e1", endpoint->address());
  env.WaitUntilReady(*proxy, 1);
  const et::TestConnection& next =
      env.SendRequest(*proxy, {.path = "/once/b", .id = "next"});
  env.WaitUntil([this] { return endpoint->requests().size() == 3; });
  FindRequest("next").Answer(200, "done");
  env.WaitUntil([&next] { return !et::DescribeAnswer(next).empty(); });
  STRCMP_EQUAL("200", et::DescribeAnswer(next).c_str());
}

// A new process registers under an endpoint's name while the old one still
// answers. The old one ends what it has; the new one gets what is new.
TEST(Changes, RequestsAtAnEndpointThatIsReplacedEndWhole) {
  StartWithRequests();
  et::FakeEndpoint replacement(env.loop, et::AnswerImmediately());
  env.Register("e1", replacement.address());
  env.WaitUntil([&] { return Known().entry.address == replacement.address(); });
  STRCMP_EQUAL("200", env.SendAndDescribe(*proxy, {.path = "/once/b"}).c_str());
  LONGS_EQUAL(1, replacement.requests().size());
  EndRequests();
}
