#include "egretladder/routing/brittle.h"

#include <CppUTest/TestHarness.h>

#include <algorithm>

#include "egretladder/routing/round_trip.h"
#include "egretladder/routing/shared_rate.h"

namespace er = egretladder::routing;
using std::chrono::milliseconds;

TEST_GROUP(BrittleRoom) {
  er::EndpointSet set;
  er::Time now{std::chrono::hours(1)};

  er::Endpoint& Add(const std::string& id, std::uint32_t slots) {
    er::EndpointEntry entry;
    entry.id = id;
    entry.service = "models";
    entry.slots = slots;
    er::OnEntryPublished(set, entry, now);
    return *set.by_id[id];
  }
  static er::FleetSnapshot MakeFleet(std::size_t nodes, std::size_t self = 0) {
    er::FleetSnapshot fleet;
    fleet.nodes = nodes;
    for (std::size_t i = 0; i < nodes; ++i)
      fleet.names.push_back("n" + std::to_string(i));
    fleet.self = fleet.names[self];
    return fleet;
  }
  // Returns a fleet seen by the node that is the first sender to the endpoint.
  static er::FleetSnapshot MakeSendersFleet(const er::Endpoint& endpoint,
                                            std::size_t nodes) {
    er::FleetSnapshot fleet = MakeFleet(nodes);
    fleet.self = er::FindSenders(endpoint, 1, fleet).front();
    return fleet;
  }
  const er::BrittleStatement& Statement() {
    return *er::FindBrittle(set, "models", now);
  }
  // Returns what all nodes together may have in flight at the endpoint.
  std::uint32_t SumOfShares(const er::Endpoint& endpoint, std::size_t nodes) {
    std::uint32_t sum = 0;
    for (std::size_t i = 0; i < nodes; ++i) {
      sum += er::MaxBrittleInFlight(endpoint, Statement(), MakeFleet(nodes, i),
                                    now);
    }
    return sum;
  }
  std::uint32_t MaxInFlight(const er::Endpoint& endpoint,
                            std::size_t nodes = 7) {
    return er::MaxBrittleInFlight(endpoint, Statement(),
                                  MakeSendersFleet(endpoint, nodes), now);
  }
  bool HasRoom(const er::Endpoint& endpoint, std::size_t nodes = 7) {
    return er::CheckBrittleRoom(set, endpoint, Statement(),
                                MakeSendersFleet(endpoint, nodes),
                                now) == er::BrittleVerdict::kRoom;
  }
  void State(std::uint32_t tolerance) {
    er::OnBrittleStated(set, "models", tolerance, now);
  }
  void Refuse(er::Endpoint & endpoint, milliseconds took = milliseconds(2)) {
    er::OnBrittleRefusal(set, endpoint, Statement(), took, now);
  }
  // Sends a request that the endpoint hasn't answered.
  void Send(er::Endpoint & endpoint, std::uint64_t number) {
    endpoint.unanswered[number] = {now, now, now, {}};
    ++endpoint.in_flight;
  }
};

// Guards against nodes that keep within the room each for itself, and not
// together.
TEST(BrittleRoom, AllNodesTogetherKeepWithinTheSlots) {
  const er::Endpoint& large = Add("large", 128);
  const er::Endpoint& small = Add("small", 6);
  for (const std::uint32_t tolerance : {1U, 8U, 1000U}) {
    State(tolerance);
    for (const std::size_t nodes : {1U, 3U, 7U, 60U, 300U}) {
      const std::uint32_t sum = SumOfShares(large, nodes);
      CHECK(sum <= 128);
      CHECK(sum >= 64);
      const std::uint32_t small_sum = SumOfShares(small, nodes);
      CHECK(small_sum <= 6);
      CHECK(small_sum >= 3);
    }
  }
}

// Guards against refusals of all nodes together above the tolerated rate.
TEST(BrittleRoom, SendersTogetherCauseHalfOfTheToleratedRefusals) {
  er::Endpoint& endpoint = Add("e", 128);
  for (const std::uint32_t tolerance : {1U, 2U, 3U, 5U, 20U, 200U}) {
    State(tolerance);
    const er::BrittleShare share = er::ShareOf(Statement(), endpoint);
    CHECK(share.senders * share.refusals <= std::max(1U, tolerance / 2));
    endpoint.brittle_room = {};
    for (std::size_t i = 0; i < share.refusals; ++i) {
      CHECK_TRUE(HasRoom(endpoint, 1000));
      Refuse(endpoint);
    }
    CHECK_FALSE(HasRoom(endpoint, 1000));
    now += std::chrono::seconds(1);
    CHECK_FALSE(HasRoom(endpoint, 1000));
    now += milliseconds(100);
    CHECK_TRUE(HasRoom(endpoint, 1000));
  }
}

// Guards against several requests that are turned away at once, before the
// first refusal is known.
TEST(BrittleRoom, RequestsThatMayStillBeTurnedAwayCountAsRefusals) {
  er::Endpoint& endpoint = Add("e", 128);
  er::OnRoundTrip(set, endpoint, milliseconds(1));
  State(4);
  Send(endpoint, 1);
  CHECK_TRUE(HasRoom(endpoint));
  Send(endpoint, 2);
  CHECK_FALSE(HasRoom(endpoint));
  CHECK_FALSE(er::MaySendToBrittle(set, endpoint, Statement(), now));
  now += er::kMinBrittleConfirmTime;
  CHECK_TRUE(HasRoom(endpoint));
  // An endpoint in another region takes longer to refuse.
  endpoint.in_flight = 20;
  Refuse(endpoint, milliseconds(45));
  endpoint.in_flight = 0;
  now += er::kBrittleRefusalWindow;
  Send(endpoint, 3);
  Send(endpoint, 4);
  now += milliseconds(50);
  CHECK_FALSE(HasRoom(endpoint));
  now += milliseconds(40);
  CHECK_TRUE(HasRoom(endpoint));
}

// Guards against requests whose callers leave while the endpoint turns them
// away, of which nobody tells this node.
TEST(BrittleRoom, RequestGivenUpBeforeItWasAcceptedCountsAsRefusal) {
  er::Endpoint& endpoint = Add("e", 128);
  er::OnRoundTrip(set, endpoint, milliseconds(40));
  State(3);
  const auto give_up = [&](std::uint64_t number) {
    er::OnBrittleGivenUp(set, endpoint, number, now);
    er::OnAttemptStarted(endpoint, {}, number, {});
    er::OnAttemptEnded(endpoint);
  };
  Send(endpoint, 1);
  now += milliseconds(20);
  give_up(1);
  CHECK_FALSE(HasRoom(endpoint));
  LONGS_EQUAL(128, MaxInFlight(endpoint));
  now += er::kBrittleRefusalWindow;
  CHECK_TRUE(HasRoom(endpoint));
  // It was accepted by then.
  Send(endpoint, 2);
  now += std::chrono::seconds(1);
  give_up(2);
  CHECK_TRUE(HasRoom(endpoint));
}

// Guards against a round trip that is learned only by refusals, when several
// requests are turned away already.
TEST(BrittleRoom, ConnectionsAndBodiesTellWhenARequestCountsAsAccepted) {
  er::Endpoint& endpoint = Add("e", 128);
  State(5);
  CHECK(er::ConfirmTime(set, endpoint, {}) == er::kUnknownRoundTrip);
  for (int i = 0; i < 50; ++i)
    er::OnRoundTrip(set, endpoint, milliseconds(120));
  const er::Endpoint& other = Add("f", 128);
  CHECK(er::ConfirmTime(set, other, {}) >= milliseconds(120));
  CHECK(er::ConfirmTime(set, other, {}) <= milliseconds(140));
  CHECK(er::ConfirmTime(set, other, er::TransferTime(125'000)) >=
        milliseconds(220));
  // One answer after a long time doesn't close the endpoint for as long.
  Refuse(endpoint, std::chrono::seconds(5));
  CHECK(er::ConfirmTime(set, endpoint, {}) == er::kMaxBrittleConfirmTime);
}

// Guards against requests that wait for their connection while others are
// turned away.
TEST(BrittleRoom, RefusalHoldsBackWhatWasPlacedBefore) {
  er::Endpoint& endpoint = Add("e", 128);
  State(2);
  CHECK_TRUE(er::MaySend(set, endpoint, now));
  Refuse(endpoint);
  CHECK_FALSE(er::MaySend(set, endpoint, now));
  now += er::kBrittleRefusalWindow;
  CHECK_TRUE(er::MaySend(set, endpoint, now));
}

TEST(BrittleRoom, ShrinksAfterARefusalAndRisesUpToTheShare) {
  er::Endpoint& endpoint = Add("e", 128);
  State(5);
  LONGS_EQUAL(128, MaxInFlight(endpoint));
  endpoint.in_flight = 10;
  Refuse(endpoint);
  CHECK_FALSE(HasRoom(endpoint));
  LONGS_EQUAL(9, MaxInFlight(endpoint));
  now += std::chrono::seconds(5);
  LONGS_EQUAL(10, MaxInFlight(endpoint));
  endpoint.in_flight = 9;
  CHECK_TRUE(HasRoom(endpoint));
  now += std::chrono::seconds(5);
  State(5);
  LONGS_EQUAL(15, MaxInFlight(endpoint));
  now += std::chrono::seconds(60);
  State(5);
  LONGS_EQUAL(128, MaxInFlight(endpoint));
}

// Guards against a sender that learns of the shrinking room only by a refusal
// of its own.
TEST(BrittleRoom, RefusalAtAPeerHoldsThisNodeBack) {
  er::Endpoint& endpoint = Add("e", 128);
  State(20);
  endpoint.in_flight = 8;
  er::BrittleGossip gossip{"models", 20, milliseconds(50), {}};
  gossip.refusals.push_back({"e", milliseconds(50)});
  er::ApplyBrittleGossip(set, gossip, now);
  CHECK_FALSE(HasRoom(endpoint));
  LONGS_EQUAL(6, MaxInFlight(endpoint));
  // The same news again changes nothing.
  endpoint.in_flight = 2;
  now += milliseconds(60);
  gossip.refusals[0].ago = milliseconds(120);
  er::ApplyBrittleGossip(set, gossip, now);
  LONGS_EQUAL(6, MaxInFlight(endpoint));
}

// Guards against nodes that take themselves for the whole fleet when they are
// cut off from most of it.
TEST(BrittleRoom, NodeThatKnowsFewOfTheFleetSendsNothing) {
  er::Endpoint& endpoint = Add("e", 128);
  State(5);
  er::FleetSnapshot fleet = MakeSendersFleet(endpoint, 28);
  fleet.nodes = 84;
  CHECK(er::CheckBrittleRoom(set, endpoint, Statement(), fleet, now) ==
        er::BrittleVerdict::kOtherSenders);
  fleet.is_standalone = true;
  CHECK(er::CheckBrittleRoom(set, endpoint, Statement(), fleet, now) ==
        er::BrittleVerdict::kRoom);
  fleet.is_standalone = false;
  fleet.nodes = 83;
  CHECK(er::CheckBrittleRoom(set, endpoint, Statement(), fleet, now) ==
        er::BrittleVerdict::kRoom);
}

// Guards against two senders of an endpoint that tolerates one refusal: a node
// that takes over, or stood still, and the one before it.
TEST(BrittleRoom, OnlyASoleSenderUsesAToleranceOfOne) {
  er::Endpoint& endpoint = Add("e", 128);
  State(1);
  const er::FleetSnapshot sound = MakeSendersFleet(endpoint, 7);
  const auto has_room = [&](const er::FleetSnapshot& fleet) {
    return er::CheckBrittleRoom(set, endpoint, Statement(), fleet, now) ==
           er::BrittleVerdict::kRoom;
  };
  er::FleetSnapshot newly_in_touch = sound;
  newly_in_touch.in_touch_since = now;
  er::FleetSnapshot successor = MakeFleet(7);
  const auto ranked = er::FindSenders(endpoint, 2, successor);
  std::erase(successor.names, ranked[0]);
  successor.self = ranked[1];
  successor.lost = {{ranked[0], now}};
  er::FleetSnapshot cut_off = sound;
  cut_off.in_touch_since = er::Time::max();
  er::FleetSnapshot leaving = sound;
  leaving.is_leaving = true;
  CHECK_TRUE(has_room(sound));
  for (const auto& fleet : {newly_in_touch, successor, cut_off, leaving}) {
    CHECK_FALSE(has_room(fleet));
    CHECK_FALSE(er::IsSureSender(set, endpoint, fleet, now));
  }
  now += er::kBrittleTakeoverTime;
  State(1);
  CHECK_TRUE(has_room(newly_in_touch));
  CHECK_TRUE(has_room(successor));
  CHECK_FALSE(has_room(cut_off));
  CHECK_FALSE(has_room(leaving));
  // Half of a larger tolerance is enough for each of two.
  State(2);
  CHECK_TRUE(has_room(cut_off));
  CHECK_TRUE(has_room(leaving));
}

// Guards against nodes that never hear from an endpoint that it is brittle.
TEST(BrittleRoom, GossipOfOneNodeReachesTheOthers) {
  Add("e", 128);
  State(5);
  er::EndpointSet other;
  er::OnEntryPublished(other, set.by_id["e"]->entry, now);
  const auto gossip = er::MakeBrittleGossip(set, now + milliseconds(500));
  LONGS_EQUAL(1, gossip.size());
  CHECK_TRUE(er::ApplyBrittleGossip(other, gossip[0], now));
  const er::BrittleStatement* known = er::FindBrittle(other, "models", now);
  CHECK(known != nullptr);
  LONGS_EQUAL(5, known->tolerance);
  // Its age goes with it, so that gossip doesn't keep the statement alive.
  now += er::kBrittleUnansweredTime - milliseconds(400);
  POINTERS_EQUAL(nullptr, er::FindBrittle(other, "models", now));
  CHECK(er::MakeBrittleGossip(other, now).empty());
}

// Guards against a service that is held back for good.
TEST(BrittleRoom, EndsWhenAnswersDoNotStateItAnyMore) {
  er::Endpoint& endpoint = Add("e", 128);
  CHECK_TRUE(er::OnBrittleStated(set, "models", 5, now));
  CHECK_FALSE(er::OnBrittleStated(set, "models", 5, now));
  endpoint.in_flight = 10;
  Refuse(endpoint);
  now += er::kBrittleFreshTime - milliseconds(1);
  er::OnBrittleNotStated(set, "models", now);
  CHECK(er::FindBrittle(set, "models", now) != nullptr);
  now += milliseconds(1);
  POINTERS_EQUAL(nullptr, er::FindBrittle(set, "models", now));
  // A later time begins without what was learned before.
  CHECK_TRUE(er::OnBrittleStated(set, "models", 5, now));
  LONGS_EQUAL(128, MaxInFlight(endpoint));
}

// Guards against a service that is taken for sound again while all its
// endpoints are closed or down, so that nobody answers.
TEST(BrittleRoom, StatementHoldsLongerWhileNobodyAnswers) {
  er::Endpoint& endpoint = Add("e", 128);
  State(5);
  endpoint.in_flight = 10;
  Refuse(endpoint);
  now += er::kBrittleUnansweredTime - milliseconds(1);
  CHECK(er::FindBrittle(set, "models", now) != nullptr);
  CHECK_FALSE(er::OnBrittleStated(set, "models", 5, now));
  LONGS_EQUAL(9 + 13, MaxInFlight(endpoint));
  now += er::kBrittleUnansweredTime;
  POINTERS_EQUAL(nullptr, er::FindBrittle(set, "models", now));
}

// Guards against a node that starts, drops what it hears before it knows the
// service, and sends to it as to a sound one.
TEST(BrittleRoom, StatementIsKeptUntilTheServiceIsKnown) {
  const er::BrittleGossip gossip{"models", 5, milliseconds(0), {}};
  CHECK_TRUE(er::ApplyBrittleGossip(set, gossip, now));
  Add("e", 128);
  CHECK(er::FindBrittle(set, "models", now) != nullptr);
  LONGS_EQUAL(5, Statement().tolerance);
}

// Guards against gossip that names more and more services and endpoints.
TEST(BrittleRoom, UnknownNamesAreBounded) {
  er::BrittleGossip gossip{"other", 5, milliseconds(0), {}};
  gossip.refusals.push_back({"x", milliseconds(0)});
  for (std::size_t i = 0; i < 2 * er::kMaxBrittleServices; ++i) {
    gossip.service = "s" + std::to_string(i);
    er::ApplyBrittleGossip(set, gossip, now);
  }
  LONGS_EQUAL(er::kMaxBrittleServices, set.brittle_services.size());
  CHECK(set.by_id.empty());
  CHECK(set.by_service.empty());
  // Those that don't hold any more make room.
  now += er::kBrittleUnansweredTime;
  gossip.service = "late";
  CHECK_TRUE(er::ApplyBrittleGossip(set, gossip, now));
  LONGS_EQUAL(1, set.brittle_services.size());
}
