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
  et::World world;
  et::Endpoint* endpoint = nullptr;
  ep::Proxy* proxy = nullptr;
  et::Wire* order = nullptr;
  et::Wire* stream = nullptr;

  // An order without an answer so far and a stream with two events.
  void StartWithRequests(int slots = kMany) {
    endpoint = &world.AddEndpoint("e1", et::AnswersLater());
    world.Register("e1", endpoint->address(), "a", "serving", slots);
    proxy = &world.StartReady();
    order = &world.Send(*proxy, {.path = "/once/a", .id = "order"});
    stream = &world.Send(*proxy, {.path = "/tell/a", .id = "stream"});
    world.Until([this] { return endpoint->seen().size() == 2; });
    Seen("stream").Begin(1, 2);
    world.Until([this] {
      return stream->received().find("data: t2") != std::string::npos;
    });
  }

  // What the node knows of the endpoint.
  const er::Endpoint& Known() const { return *proxy->endpoints.by_id.at("e1"); }

  et::Served Seen(const std::string& id) {
    const auto& seen = endpoint->seen();
    return *std::find_if(
        seen.begin(), seen.end(),
        [&id](const et::Served& served) { return served.id() == id; });
  }

  // Of requests that come now, side by side, all reach `other`.
  void AllReach(const et::Endpoint& other) {
    std::vector<const et::Wire*> callers;
    for (int i = 0; i < 6; ++i) {
      callers.push_back(&world.Send(*proxy, {.path = "/once/b"}));
    }
    const std::size_t before = endpoint->seen().size();
    world.Until([&] {
      return endpoint->seen().size() + other.seen().size() == before + 6;
    });
    LONGS_EQUAL(6, other.seen().size());
    for (const et::Served& served : other.seen()) served.Answer(200, "done");
    for (const et::Wire* caller : callers) {
      world.Until([caller] { return !et::Told(*caller).empty(); });
      STRCMP_EQUAL("200", et::Told(*caller).c_str());
    }
  }

  // The endpoint ends both, and their callers have them whole.
  void EndRequests() {
    Seen("order").Answer(200, "done");
    Seen("stream").wire->Send(et::EventBytes(3) + et::kEventsEnd);
    world.Until([this] {
      return !et::Told(*order).empty() && !et::Told(*stream).empty();
    });
    STRCMP_EQUAL("200", et::Told(*order).c_str());
    const auto answers = et::AnswersIn(stream->received());
    STRCMP_EQUAL(et::EventsText(1, 3).c_str(), answers[0].body.c_str());
    world.Until([this] { return ep::ViewOf(*proxy).calls == 0; });
  }
};

// Operators publish rules without a route on which requests are in progress.
// They came under the old rules and end under them; only new ones are turned
// away.
TEST(Changes, RequestsOnARouteThatIsDroppedEndWhole) {
  StartWithRequests();
  er::RouteTable table = et::StandardTable();
  std::erase_if(table.routes, [](const er::Route& route) {
    return route.name == "once" || route.name == "tell";
  });
  world.Publish(table);
  world.UntilRules(*proxy);
  STRCMP_EQUAL("404 no", world.AskFor(*proxy, {.path = "/once/b"}).c_str());
  STRCMP_EQUAL("404 no", world.AskFor(*proxy, {.path = "/tell/b"}).c_str());
  EndRequests();
  LONGS_EQUAL(2, endpoint->seen().size());
}

// The same for a request that waits for a free place at an endpoint: it is sent
// as the rules said when it came.
TEST(Changes, ARequestThatWaitsOnARouteThatIsDroppedIsSent) {
  StartWithRequests(8);
  const et::Wire& waits =
      world.Send(*proxy, {.path = "/once/c", .id = "waits"});
  world.Until([this] { return ep::ViewOf(*proxy).waiting == 1; });
  er::RouteTable table = et::StandardTable();
  std::erase_if(table.routes,
                [](const er::Route& route) { return route.name == "once"; });
  world.Publish(table);
  world.UntilRules(*proxy);
  Seen("order").Answer(200, "done");
  world.Until([this] { return endpoint->seen().size() == 3; });
  Seen("waits").Answer(200, "done");
  world.Until([&waits] { return !et::Told(waits).empty(); });
  STRCMP_EQUAL("200", et::Told(waits).c_str());
  EndRequests();
}

// A key is withdrawn while a stream of its account runs. The stream was allowed
// when it came and ends whole; the next request is turned away.
TEST(Changes, AStreamEndsWholeThoughItsKeyIsWithdrawn) {
  StartWithRequests();
  er::RouteTable table = et::StandardTable();
  table.account_by_key.erase("k1");
  world.Publish(table);
  world.UntilRules(*proxy);
  STRCMP_EQUAL("401 no", world.AskFor(*proxy, {.path = "/tell/b"}).c_str());
  EndRequests();
}

// The same for an account that goes as a whole.
TEST(Changes, AStreamEndsWholeThoughItsAccountIsGone) {
  StartWithRequests();
  er::RouteTable table = et::StandardTable();
  table.account_by_key = {{"k3", 0}};
  table.accounts = {{.name = "other", .tier = {}}};
  world.Publish(table);
  world.UntilRules(*proxy);
  STRCMP_EQUAL("401 no",
               world.AskFor(*proxy, {.path = "/tell/b", .key = "k2"}).c_str());
  EndRequests();
}

// Operators empty an availability zone. Its endpoints end what they have, and
// everything new goes to the other zones.
TEST(Changes, RequestsInAZoneThatIsTakenOutEndWhole) {
  StartWithRequests();
  const et::Endpoint& other = world.AddEndpoint("e2", et::AnswersLater(), "b");
  world.Register("e2", other.address(), "b", "serving", kMany);
  world.UntilKnown(*proxy, 2);
  world.store.Put("out/a", "1");
  world.Until([this] { return er::IsZoneOut(proxy->endpoints, "a"); });
  AllReach(other);
  EndRequests();
  LONGS_EQUAL(2, endpoint->seen().size());
}

// An endpoint says that it leaves. It ends what it has and gets nothing new.
TEST(Changes, RequestsAtAnEndpointThatLeavesEndWhole) {
  StartWithRequests();
  const et::Endpoint& other = world.AddEndpoint("e2", et::AnswersLater());
  world.Register("e2", other.address(), "a", "serving", kMany);
  world.UntilKnown(*proxy, 2);
  world.Register("e1", endpoint->address(), "a", "leaving", kMany);
  world.Until([this] { return Known().phase == er::EndpointPhase::kLeaving; });
  AllReach(other);
  EndRequests();
}

// An endpoint's lease runs out while it works. The connection still stands, and
// what it answers is whole.
TEST(Changes, RequestsAtAnEndpointWhoseEntryGoesEndWhole) {
  StartWithRequests();
  world.store.Remove("endpoints/e1");
  world.Until([this] { return ep::ViewOf(*proxy).endpoints == 0; });
  EndRequests();
  // It registers again and is used again.
  world.Register("e1", endpoint->address());
  world.UntilKnown(*proxy, 1);
  const et::Wire& next = world.Send(*proxy, {.path = "/once/b", .id = "next"});
  world.Until([this] { return endpoint->seen().size() == 3; });
  Seen("next").Answer(200, "done");
  world.Until([&next] { return !et::Told(next).empty(); });
  STRCMP_EQUAL("200", et::Told(next).c_str());
}

// A new process registers under an endpoint's name while the old one still
// answers. The old one ends what it has; the new one gets what is new.
TEST(Changes, RequestsAtAnEndpointThatIsReplacedEndWhole) {
  StartWithRequests();
  et::Endpoint replacement(world.loop, et::AnswersDone());
  world.Register("e1", replacement.address());
  world.Until([&] { return Known().entry.address == replacement.address(); });
  STRCMP_EQUAL("200", world.AskFor(*proxy, {.path = "/once/b"}).c_str());
  LONGS_EQUAL(1, replacement.seen().size());
  EndRequests();
}
