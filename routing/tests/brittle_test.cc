#include "egretladder/routing/brittle.h"

#include <CppUTest/TestHarness.h>

#include <algorithm>

namespace er = egretladder::routing;
namespace ek = egretladder::kernel;
using std::chrono::milliseconds;

TEST_GROUP(BrittleRoom) {
  er::EndpointSet set;
  er::Time now{std::chrono::hours(1)};
  ek::Random random{3};

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
  // Returns what all nodes together may have in flight at the endpoint.
  std::uint32_t SumOfShares(const er::Endpoint& endpoint, std::size_t nodes) {
    std::uint32_t sum = 0;
    for (std::size_t i = 0; i < nodes; ++i)
      sum += er::MaxBrittleInFlight(endpoint, MakeFleet(nodes, i), now);
    return sum;
  }
  void State(std::uint32_t tolerance) {
    er::OnBrittleStated(set, "models", tolerance, now);
  }
  void Refuse(er::Endpoint & endpoint, std::size_t nodes) {
    er::OnBrittleRefusal(endpoint, *er::FindBrittle(set, "models", now),
                         MakeFleet(nodes), random, now);
  }
};

// Guards against nodes that keep within the room each for itself, and not
// together.
TEST(BrittleRoom, AllNodesTogetherKeepWithinTheSlots) {
  const er::Endpoint& large = Add("large", 128);
  const er::Endpoint& small = Add("small", 6);
  for (const std::size_t nodes : {1U, 3U, 7U, 60U, 300U}) {
    const std::uint32_t sum = SumOfShares(large, nodes);
    CHECK(sum <= 128);
    CHECK(sum >= 64);
    const std::uint32_t small_sum = SumOfShares(small, nodes);
    CHECK(small_sum <= 6);
    CHECK(small_sum >= 3);
  }
}

// Guards against refusals of all nodes together above the tolerated rate.
TEST(BrittleRoom, PausesKeepTheSumOfRefusalsBelowTheTolerance) {
  er::Endpoint& endpoint = Add("e", 128);
  for (const std::uint32_t tolerance : {1U, 3U, 20U}) {
    for (const std::size_t nodes : {1U, 3U, 7U}) {
      endpoint.brittle_room = {};
      State(tolerance);
      Refuse(endpoint, nodes);
      const auto pause = endpoint.brittle_room.closed_until - now;
      const double refusals_per_second =
          static_cast<double>(nodes) /
          std::chrono::duration<double>(pause).count();
      CHECK(refusals_per_second <= tolerance || pause >= er::kMaxBrittlePause);
    }
  }
}

TEST(BrittleRoom, HalvesAfterARefusalAndRisesByStepsUpToTheShare) {
  er::Endpoint& endpoint = Add("e", 128);
  State(5);
  endpoint.in_flight = 10;
  Refuse(endpoint, 7);
  CHECK_FALSE(er::HasBrittleRoom(endpoint, MakeFleet(7), now));
  LONGS_EQUAL(5, er::MaxBrittleInFlight(endpoint, MakeFleet(7), now));
  now += std::chrono::seconds(5);
  LONGS_EQUAL(10, er::MaxBrittleInFlight(endpoint, MakeFleet(7), now));
  endpoint.in_flight = 9;
  CHECK_TRUE(er::HasBrittleRoom(endpoint, MakeFleet(7), now));
  now += std::chrono::seconds(60);
  LONGS_EQUAL(18, er::MaxBrittleInFlight(endpoint, MakeFleet(7), now));
}

// Guards against a node that learns of the shrinking room only by a refusal of
// its own.
TEST(BrittleRoom, RefusalAtAPeerHoldsThisNodeBack) {
  er::Endpoint& endpoint = Add("e", 128);
  State(5);
  endpoint.in_flight = 8;
  er::BrittleGossip gossip{"models", 5, milliseconds(50), {}};
  gossip.refusals.push_back({"e", milliseconds(50)});
  er::ApplyBrittleGossip(set, gossip, now);
  CHECK_FALSE(er::HasBrittleRoom(endpoint, MakeFleet(7), now));
  LONGS_EQUAL(6, er::MaxBrittleInFlight(endpoint, MakeFleet(7), now));
  // The same news again changes nothing.
  const er::Time closed_until = endpoint.brittle_room.closed_until;
  endpoint.in_flight = 2;
  now += milliseconds(60);
  gossip.refusals[0].ago = milliseconds(120);
  er::ApplyBrittleGossip(set, gossip, now);
  CHECK(closed_until == endpoint.brittle_room.closed_until);
  LONGS_EQUAL(6, er::MaxBrittleInFlight(endpoint, MakeFleet(7), now));
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
  now += er::kBrittleFreshTime - milliseconds(400);
  POINTERS_EQUAL(nullptr, er::FindBrittle(other, "models", now));
  CHECK(er::MakeBrittleGossip(other, now).empty());
}

// Guards against a service that is held back for good.
TEST(BrittleRoom, EndsWhenNoAnswerStatesItAnyMore) {
  er::Endpoint& endpoint = Add("e", 128);
  CHECK_TRUE(er::OnBrittleStated(set, "models", 5, now));
  CHECK_FALSE(er::OnBrittleStated(set, "models", 5, now));
  Refuse(endpoint, 7);
  now += er::kBrittleFreshTime;
  POINTERS_EQUAL(nullptr, er::FindBrittle(set, "models", now));
  // A later time begins without what was learned before.
  CHECK_TRUE(er::OnBrittleStated(set, "models", 5, now));
  LONGS_EQUAL(18, er::MaxBrittleInFlight(endpoint, MakeFleet(7), now));
}

// Guards against gossip about services and endpoints that this node doesn't
// know.
TEST(BrittleRoom, UnknownNamesAreIgnored) {
  er::BrittleGossip gossip{"other", 5, milliseconds(0), {}};
  gossip.refusals.push_back({"x", milliseconds(0)});
  CHECK_FALSE(er::ApplyBrittleGossip(set, gossip, now));
  CHECK(set.brittle_services.empty());
}
