#include "egretladder/routing/endpoints.h"

#include <CppUTest/TestHarness.h>

#include <set>

using namespace std::chrono_literals;
namespace er = egretladder::routing;
using er::EntryChange;

namespace {

constexpr er::Time kStart{std::chrono::hours(1)};

er::EndpointEntry MakeEntry(const std::string& id) {
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

// Guards against an endpoint that is left alone for long since many requests
// asked it in one silent moment.
TEST(Endpoints, QuestionsSideBySideBackOffOnce) {
  constexpr int kQuestions = 20;
  er::Endpoint endpoint;
  const auto ask_all = [&endpoint](er::Time now) {
    for (int i = 0; i < kQuestions; ++i)
      er::OnQuestionUnanswered(endpoint, now + std::chrono::milliseconds(i));
  };
  ask_all(kStart);
  CHECK(endpoint.health.avoid_until == kStart + er::kInitialConnectBackoff);
  const er::Time later = endpoint.health.avoid_until;
  ask_all(later);
  CHECK(endpoint.health.avoid_until == later + 2 * er::kInitialConnectBackoff);
}

TEST(Endpoints, AreAddedChangedAndRemoved) {
  CHECK(er::OnEntryPublished(set, MakeEntry("x"), kStart) == EntryChange::kNew);
  CHECK(er::OnEntryPublished(set, MakeEntry("x"), kStart) ==
        EntryChange::kNone);
  er::EndpointEntry leaving = MakeEntry("x");
  leaving.leaving = true;
  CHECK(er::OnEntryPublished(set, leaving, kStart) == EntryChange::kLeaving);
  CHECK(er::OnEntryRemoved(set, "x", false, kStart) == EntryChange::kGone);
  CHECK(set.by_service["engines"].empty());
}

// Guards against nodes that split the same engines differently.
TEST(Endpoints, HashPositionsDoNotDependOnTheOrderOfArrival) {
  constexpr int kEndpoints = 40;
  er::EndpointSet reversed;
  for (int i = 0; i < kEndpoints; ++i) {
    er::OnEntryPublished(set, MakeEntry("e" + std::to_string(i)), kStart);
    er::OnEntryPublished(
        reversed, MakeEntry("e" + std::to_string(kEndpoints - 1 - i)), kStart);
  }
  // An endpoint that came and left leaves no gap.
  er::OnEntryPublished(set, MakeEntry("other"), kStart);
  er::OnEntryRemoved(set, "other", false, kStart);
  std::set<double> positions;
  for (const auto& [id, endpoint] : set.by_id) {
    DOUBLES_EQUAL(reversed.by_id[id]->hash_position, endpoint->hash_position,
                  0);
    CHECK(endpoint->hash_position >= 0 && endpoint->hash_position < 1);
    positions.insert(endpoint->hash_position);
  }
  LONGS_EQUAL(kEndpoints, positions.size());
}

// Guards against applying what was learned about an endpoint to its restarted
// process, above all its prefix cache.
TEST(Endpoints, ARestartedProcessHasNoHistory) {
  er::OnEntryPublished(set, MakeEntry("x"), kStart);
  const er::EndpointPtr before = set.by_id["x"];
  er::RecordPromptParts(*before, {7}, kStart);
  before->in_flight = 3;
  er::EndpointEntry again = MakeEntry("x");
  again.started_unix_ms = 200;
  again.cold_left = 3s;
  CHECK(er::OnEntryPublished(set, again, kStart + 1s) ==
        EntryChange::kRestarted);
  const er::EndpointPtr after = set.by_id["x"];
  CHECK(after != before);
  CHECK(before->phase == er::EndpointPhase::kGone);
  LONGS_EQUAL(0, after->in_flight);
  CHECK_FALSE(er::HasCachedPart(*after, 7, kStart + 1s));
  CHECK(after->cold_until == kStart + 4s);
}

// Guards against two seconds without any endpoint after an outage of the store
// that is longer than the leases: on its return the store lists no endpoint
// until all have registered again.
TEST(Endpoints, AnEntryThatLapsedInAnOutageStaysUsableForAWhile) {
  er::OnEntryPublished(set, MakeEntry("x"), kStart);
  CHECK(er::OnEntryRemoved(set, "x", true, kStart) == EntryChange::kLapsed);
  LONGS_EQUAL(1, set.by_service["engines"].size());
  CHECK(er::RemoveLapsedEndpoints(set, kStart + 1s).empty());
  CHECK(er::OnEntryPublished(set, MakeEntry("x"), kStart + 1s) ==
        EntryChange::kChanged);
  CHECK(er::RemoveLapsedEndpoints(set, kStart + 5s).empty());
  er::OnEntryRemoved(set, "x", true, kStart + 6s);
  LONGS_EQUAL(1, er::RemoveLapsedEndpoints(set, kStart + 8s).size());
  CHECK(set.by_id.empty());
}

// Guards against sending to endpoints for too long that removed their own
// entries at once, here a third of a service. That looks like the effect of an
// outage, so they stay usable for a while. But two seconds later nothing may be
// sent to them, and a node removes lapsed endpoints ten times a second.
TEST(Endpoints, RemovedEndpointsGetNothingTwoSecondsLater) {
  for (const char* id : {"x", "y", "z"})
    er::OnEntryPublished(set, MakeEntry(id), kStart);
  for (const char* id : {"x", "y", "z"}) {
    er::OnEntryRemoved(set, id, true, kStart);
  }
  LONGS_EQUAL(3, er::RemoveLapsedEndpoints(set, kStart + 1850ms).size());
  CHECK(set.by_service["engines"].empty());
}

// An endpoint that was leaving before the outage gets no grace period.
TEST(Endpoints, ALeavingEndpointIsRemovedEvenInAnOutage) {
  er::EndpointEntry leaving = MakeEntry("x");
  leaving.leaving = true;
  er::OnEntryPublished(set, leaving, kStart);
  CHECK(er::OnEntryRemoved(set, "x", true, kStart) == EntryChange::kGone);
}

TEST(Endpoints, FailureRateHalvesAndConnectBackoffDoubles) {
  er::OnEntryPublished(set, MakeEntry("x"), kStart);
  er::Endpoint& endpoint = *set.by_id["x"];
  er::OnAttemptFailed(endpoint, kStart);
  const double rate = er::FailureRate(endpoint.health, kStart);
  CHECK(rate > 0);
  DOUBLES_EQUAL(rate / 2,
                er::FailureRate(endpoint.health, kStart + er::kFailureHalfLife),
                0.001);
  er::OnConnectFailed(endpoint, kStart);
  CHECK(endpoint.health.avoid_until == kStart + er::kInitialConnectBackoff);
  er::OnConnectFailed(endpoint, kStart);
  CHECK(endpoint.health.avoid_until == kStart + 2 * er::kInitialConnectBackoff);
  er::OnAnswered(endpoint, 10ms, kStart);
  CHECK(endpoint.health.avoid_until == er::Time{});
}

// Guards against an endpoint that is a little late each time and counts as on
// time.
TEST(Endpoints, DriftFollowsFirstBytesAndFadesWithoutThem) {
  constexpr double kLateMs = 4;
  er::Endpoint endpoint;
  er::Time now = kStart;
  for (int i = 0; i < 50; ++i, now += 100ms)
    er::OnFirstByte(endpoint, 14ms, 10ms, now);
  const double drift_ms = er::DriftAt(endpoint.health, now).count();
  CHECK(drift_ms > 0.9 * kLateMs);
  CHECK(drift_ms <= kLateMs);
  DOUBLES_EQUAL(drift_ms / 2,
                er::DriftAt(endpoint.health, now + er::kDriftHalfLife).count(),
                0.001);
  CHECK(er::DriftAt(endpoint.health, now + 5 * er::kDriftHalfLife).count() ==
        0);
}

TEST(Endpoints, DropsTheOlderHalfOfThePromptParts) {
  er::OnEntryPublished(set, MakeEntry("x"), kStart);
  er::Endpoint& endpoint = *set.by_id["x"];
  for (std::uint64_t part = 1; part <= er::kMaxPromptParts + 1; ++part) {
    er::RecordPromptParts(endpoint, {part},
                          kStart + std::chrono::microseconds(part));
  }
  CHECK(endpoint.parts.size() <= er::kMaxPromptParts);
  CHECK(er::HasCachedPart(endpoint, er::kMaxPromptParts + 1, kStart + 1s));
  CHECK_FALSE(er::HasCachedPart(endpoint, 1, kStart + 1s));
}

// Guards against a doubt about an endpoint's process that never ends, and one
// that ends without evidence.
TEST(Endpoints, ItsProcessEndsTheDoubtAfterABreak) {
  er::OnEntryPublished(set, MakeEntry("x"), kStart);
  er::Endpoint& endpoint = *set.by_id.at("x");
  CHECK(er::IsVersionSure(endpoint));
  er::OnConnectionLost(endpoint, kStart + 10s);
  CHECK_FALSE(er::IsVersionSure(endpoint));
  // Asked before the break, or answered without a start.
  er::OnProcessStated(endpoint, 100, kStart + 9s);
  er::OnProcessStated(endpoint, 0, kStart + 11s);
  CHECK_FALSE(er::IsVersionSure(endpoint));
  CHECK(er::OnProcessStated(endpoint, 100, kStart + 11s) ==
        er::ProcessCheckResult::kSame);
  CHECK(er::IsVersionSure(endpoint));
  er::OnConnectionLost(endpoint, kStart + 12s);
  CHECK_FALSE(er::IsVersionSure(endpoint));
}

// Guards against another process's word that is taken for that of the entry's.
TEST(Endpoints, AnotherProcessKeepsTheVersionInDoubt) {
  er::OnEntryPublished(set, MakeEntry("x"), kStart);
  er::Endpoint& endpoint = *set.by_id.at("x");
  CHECK(er::OnProcessStated(endpoint, 200, kStart + 1s) ==
        er::ProcessCheckResult::kReplaced);
  CHECK_FALSE(er::IsVersionSure(endpoint));
  er::EndpointEntry entry = MakeEntry("x");
  entry.started_unix_ms = 200;
  er::OnEntryPublished(set, entry, kStart + 2s);
  CHECK(er::IsVersionSure(*set.by_id.at("x")));
}

// Guards against an excuse for a request whose endpoint broke off another one:
// the process's word tells nothing of what ran before.
TEST(Endpoints, ABreakStaysKnownAfterTheDoubt) {
  er::OnEntryPublished(set, MakeEntry("x"), kStart);
  er::Endpoint& endpoint = *set.by_id.at("x");
  er::OnConnectionLost(endpoint, kStart + 10s);
  er::OnProcessStated(endpoint, 100, kStart + 11s);
  CHECK(endpoint.broke_at == kStart + 10s);
}

// Guards against an endpoint that is kept out for good, as its process before
// answers on a connection that still lives.
TEST(Endpoints, ThePredecessorsWordLeavesADoubtOnly) {
  er::OnEntryPublished(set, MakeEntry("x"), kStart);
  er::Endpoint& endpoint = *set.by_id.at("x");
  CHECK(er::OnProcessStated(endpoint, 50, kStart + 1s) ==
        er::ProcessCheckResult::kReplaced);
  CHECK_FALSE(endpoint.is_replaced);
  CHECK_FALSE(er::IsVersionSure(endpoint));
  er::OnProcessStated(endpoint, 100, kStart + 2s);
  CHECK(er::IsVersionSure(endpoint));
}

// Guards against a process without a start that is taken for the one of an
// entry which it had no time to replace.
TEST(Endpoints, AProcessIsWitnessedOnceItMustHaveWrittenItsEntry) {
  er::EndpointEntry entry = MakeEntry("x");
  entry.started_unix_ms = 0;
  entry.software_version = "v1";
  er::OnEntryPublished(set, entry, kStart);
  er::Endpoint& endpoint = *set.by_id.at("x");
  CHECK(er::WitnessedFrom(endpoint, kStart + 5s) ==
        kStart + 5s + er::kMaxEntryDelay);
  er::OnEntryPublished(set, entry, kStart + 6s);
  CHECK(er::WitnessedFrom(endpoint, kStart + 5s) ==
        kStart + 5s + er::kMaxEntryDelay);
  entry.software_version = "v2";
  er::OnEntryPublished(set, entry, kStart + 7s);
  CHECK(er::WitnessedFrom(endpoint, kStart + 5s) ==
        kStart + 7s + er::kMaxEntryDelay);
}

// Guards against a doubt that outlives the process's answer, or ends by an
// answer to an earlier question.
TEST(Endpoints, AWitnessEndsEarlierDoubtsOnly) {
  er::OnEntryPublished(set, MakeEntry("x"), kStart);
  er::Endpoint& endpoint = *set.by_id.at("x");
  er::OnConnectionLost(endpoint, kStart + 10s);
  er::OnProcessWitnessed(endpoint, kStart + 9s);
  CHECK_FALSE(er::IsVersionSure(endpoint));
  er::OnProcessWitnessed(endpoint, kStart + 11s);
  CHECK(er::IsVersionSure(endpoint));
}
