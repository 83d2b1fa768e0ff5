#include "egretladder/routing/endpoints.h"

#include <CppUTest/TestHarness.h>

#include <set>

using namespace std::chrono_literals;
namespace er = egretladder::routing;
using er::EntryChange;

namespace {

constexpr er::Time kStart{std::chrono::hours(1)};

er::EndpointEntry Entry(const std::string& id) {
  er::EndpointEntry entry;
  entry.id = id;
  entry.service = "engines";
  entry.address = "10.0.0.1:80";
  entry.zone = "a";
  entry.slots = 8;
  entry.started_unix_ms = 100;
  return entry;
}

}  // namespace

TEST_GROUP(Endpoints) { er::EndpointSet set; };

TEST(Endpoints, ComeChangeAndGo) {
  CHECK(er::OnEntryPublished(set, Entry("x"), kStart) == EntryChange::kNew);
  CHECK(er::OnEntryPublished(set, Entry("x"), kStart) == EntryChange::kNone);
  er::EndpointEntry leaving = Entry("x");
  leaving.leaving = true;
  CHECK(er::OnEntryPublished(set, leaving, kStart) == EntryChange::kLeaving);
  CHECK(er::OnEntryRemoved(set, "x", false, kStart) == EntryChange::kGone);
  CHECK(set.by_service["engines"].empty());
}

// Guards against nodes that divide the same engines differently.
TEST(Endpoints, HaveTheSamePlacesInWhateverOrderTheyCame) {
  constexpr int kCount = 40;
  er::EndpointSet backwards;
  for (int i = 0; i < kCount; ++i) {
    er::OnEntryPublished(set, Entry("e" + std::to_string(i)), kStart);
    er::OnEntryPublished(backwards, Entry("e" + std::to_string(kCount - 1 - i)),
                         kStart);
  }
  // One that came in between and left again leaves no gap.
  er::OnEntryPublished(set, Entry("other"), kStart);
  er::OnEntryRemoved(set, "other", false, kStart);
  std::set<double> places;
  for (const auto& [id, endpoint] : set.by_id) {
    DOUBLES_EQUAL(backwards.by_id[id]->order, endpoint->order, 0);
    CHECK(endpoint->order >= 0 && endpoint->order < 1);
    places.insert(endpoint->order);
  }
  LONGS_EQUAL(kCount, places.size());
}

// An endpoint crashes and starts again under its name. What this node knew of
// it, its warm memory above all, is gone with the process.
TEST(Endpoints, ARestartedProcessHasNoHistory) {
  er::OnEntryPublished(set, Entry("x"), kStart);
  const er::EndpointPtr before = set.by_id["x"];
  er::NoteParts(*before, {7}, kStart);
  before->in_flight = 3;
  er::EndpointEntry again = Entry("x");
  again.started_unix_ms = 200;
  again.cold_left = 3s;
  CHECK(er::OnEntryPublished(set, again, kStart + 1s) ==
        EntryChange::kRestarted);
  const er::EndpointPtr after = set.by_id["x"];
  CHECK(after != before);
  CHECK(before->phase == er::EndpointPhase::kGone);
  LONGS_EQUAL(0, after->in_flight);
  CHECK_FALSE(er::HoldsPart(*after, 7, kStart + 1s));
  CHECK(after->cold_until == kStart + 4s);
}

// The store was away longer than leases last: on its return it names no
// endpoint at all until they have registered anew. Believed at once, no request
// would be served for two seconds.
TEST(Endpoints, AnEntryThatLapsedInAnOutageIsBelievedForAWhile) {
  er::OnEntryPublished(set, Entry("x"), kStart);
  CHECK(er::OnEntryRemoved(set, "x", true, kStart) == EntryChange::kLapsed);
  LONGS_EQUAL(1, set.by_service["engines"].size());
  CHECK(er::RemoveLapsedEndpoints(set, kStart + 1s).empty());
  CHECK(er::OnEntryPublished(set, Entry("x"), kStart + 1s) ==
        EntryChange::kChanged);
  CHECK(er::RemoveLapsedEndpoints(set, kStart + 5s).empty());
  er::OnEntryRemoved(set, "x", true, kStart + 6s);
  LONGS_EQUAL(1, er::RemoveLapsedEndpoints(set, kStart + 8s).size());
  CHECK(set.by_id.empty());
}

// A third of a service's endpoints are emptied at once and remove their
// entries. That looks like an outage's work, so that they are believed for a
// while; but two seconds later nothing may be sent to them, and a node looks at
// what has lapsed ten times a second.
TEST(Endpoints, ManyThatLeaveAtOnceGetNothingTwoSecondsLater) {
  for (const char* id : {"x", "y", "z"})
    er::OnEntryPublished(set, Entry(id), kStart);
  for (const char* id : {"x", "y", "z"}) {
    er::OnEntryRemoved(set, id, true, kStart);
  }
  LONGS_EQUAL(3, er::RemoveLapsedEndpoints(set, kStart + 1850ms).size());
  CHECK(set.by_service["engines"].empty());
}

// An endpoint that was leaving before the outage is not kept by it.
TEST(Endpoints, ALeavingOneGoesAlsoInAnOutage) {
  er::EndpointEntry leaving = Entry("x");
  leaving.leaving = true;
  er::OnEntryPublished(set, leaving, kStart);
  CHECK(er::OnEntryRemoved(set, "x", true, kStart) == EntryChange::kGone);
}

TEST(Endpoints, FailuresFadeAndRefusalsDouble) {
  er::OnEntryPublished(set, Entry("x"), kStart);
  er::Endpoint& endpoint = *set.by_id["x"];
  er::OnAttemptFailed(endpoint, kStart);
  const double failing = er::FailingOf(endpoint.health, kStart);
  CHECK(failing > 0);
  DOUBLES_EQUAL(failing / 2,
                er::FailingOf(endpoint.health, kStart + er::kFailureHalfLife),
                0.001);
  er::OnConnectFailed(endpoint, kStart);
  CHECK(endpoint.health.avoid_until == kStart + er::kAvoidFirst);
  er::OnConnectFailed(endpoint, kStart);
  CHECK(endpoint.health.avoid_until == kStart + 2 * er::kAvoidFirst);
  er::OnAnswered(endpoint, 10ms, kStart);
  CHECK(endpoint.health.avoid_until == er::Time{});
}

TEST(Endpoints, ForgetsTheOlderHalfOfTheParts) {
  er::OnEntryPublished(set, Entry("x"), kStart);
  er::Endpoint& endpoint = *set.by_id["x"];
  for (std::uint64_t part = 1; part <= er::kPartsMost + 1; ++part) {
    er::NoteParts(endpoint, {part}, kStart + std::chrono::microseconds(part));
  }
  CHECK(endpoint.parts.size() <= er::kPartsMost);
  CHECK(er::HoldsPart(endpoint, er::kPartsMost + 1, kStart + 1s));
  CHECK_FALSE(er::HoldsPart(endpoint, 1, kStart + 1s));
}
