#include "egretladder/routing/stream_service.h"

#include <CppUTest/TestHarness.h>

#include <memory>
#include <string>
#include <utility>
#include <vector>

using namespace std::chrono_literals;
namespace er = egretladder::routing;

namespace {

constexpr er::Time kNow{std::chrono::hours(1)};

using Weights = std::vector<std::pair<std::string, std::uint32_t>>;

// Rules with one route for streams, which sends them to these services.
er::RouteTablePtr MakeRules(const Weights& weights) {
  auto rules = std::make_shared<er::RouteTable>();
  er::Route route;
  route.host = "h";
  route.prefix = "/talk/";
  route.kind = er::RouteKind::kStream;
  for (const auto& [service, weight] : weights) {
    route.targets.push_back(
        {{static_cast<std::uint32_t>(rules->services.size())}, weight});
    rules->services.push_back({.name = service});
  }
  rules->routes.push_back(route);
  er::IndexTable(*rules);
  return rules;
}

}  // namespace

TEST_GROUP(StreamService) {
  er::RulesHistory history;
  er::RoutedStream stream{er::KeyOfStream("a", "r1"), "h", "/talk/x"};

  bool MayHaveMoved(const std::string& service, er::Time since) const {
    return er::MayHaveMoved(history, stream, service, since);
  }
};

// Guards against streams of a split route that go on at the other service, and
// against weights that aren't kept.
TEST(StreamService, AllRequestsForAStreamPickOneServiceByTheWeights) {
  const er::RouteTablePtr rules = MakeRules({{"a", 90}, {"b", 10}});
  constexpr int kStreams = 2000;
  int at_b = 0;
  for (int i = 0; i < kStreams; ++i) {
    const auto key = er::KeyOfStream("a", "r" + std::to_string(i));
    const auto pick = [&] {
      return er::PickTarget(rules->routes[0], er::WeightPositionOf(key)).idx;
    };
    CHECK_EQUAL(pick(), pick());
    at_b += static_cast<int>(pick());
  }
  CHECK(at_b > kStreams / 20 && at_b < kStreams * 3 / 20);
}

// Guards against a stream that goes on at the service to which its route moved.
TEST(StreamService, AStreamMayHaveBegunAtTheServiceOfEarlierRules) {
  er::Retire(history, MakeRules({{"a", 1}}), kNow);
  CHECK_TRUE(MayHaveMoved("b", kNow - 1s));
  CHECK_FALSE(MayHaveMoved("a", kNow - 1s));
  // It began later.
  CHECK_FALSE(MayHaveMoved("b", kNow + 1s));
}

// Guards against a request that is handed over by rules which have been
// replaced, and goes on at the service to which these led.
TEST(StreamService, RulesInForceMayLeadElsewhere) {
  CHECK_TRUE(er::LeadsElsewhere(*MakeRules({{"b", 1}}), stream, "a"));
  CHECK_FALSE(er::LeadsElsewhere(*MakeRules({{"a", 1}}), stream, "a"));
}

// Guards against streams that are refused because some other route is new.
TEST(StreamService, RulesWithoutTheRouteBeganNoStream) {
  stream.host = "other";
  er::Retire(history, MakeRules({{"a", 1}}), kNow);
  CHECK_FALSE(MayHaveMoved("b", kNow - 1s));
}

// Guards against records that are written again for each change of the rules.
TEST(StreamService, OnlyOtherTargetsMoveStreams) {
  const auto moves = [](const Weights& before, const Weights& after) {
    return er::MoveStreams(*MakeRules(before), *MakeRules(after));
  };
  CHECK_FALSE(moves({{"a", 1}}, {{"a", 1}}));
  CHECK_TRUE(moves({{"a", 1}}, {{"b", 1}}));
  CHECK_TRUE(moves({{"a", 9}, {"b", 1}}, {{"a", 8}, {"b", 2}}));
}
