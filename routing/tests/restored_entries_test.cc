#include "egretladder/routing/restored_entries.h"

#include <CppUTest/TestHarness.h>

using namespace std::chrono_literals;
namespace er = egretladder::routing;

namespace {

constexpr er::Time kStart{std::chrono::hours(1)};

er::EndpointEntry MakeEntry(std::uint64_t started_unix_ms,
                            std::uint64_t sequence, bool leaving = false) {
  er::EndpointEntry entry;
  entry.id = "e1";
  entry.service = "plain";
  entry.address = "10.0.0.1:80";
  entry.zone = "a";
  entry.leaving = leaving;
  entry.started_unix_ms = started_unix_ms;
  entry.sequence = sequence;
  return entry;
}

}  // namespace

TEST_GROUP(RestoredEntries) {
  er::EndpointSet set;

  er::EndpointPhase Phase() {
    const auto at = set.by_id.find("e1");
    return at == set.by_id.end() ? er::EndpointPhase::kGone : at->second->phase;
  }
};

// Guards against requests to an endpoint that the copy shows as it was before
// it began to leave.
TEST(RestoredEntries, AnOlderEntryChangesNothing) {
  er::OnEntryPublished(set, MakeEntry(1000, 5, true), kStart);
  er::OnRestoredEntry(set, MakeEntry(1000, 4), kStart);
  CHECK(Phase() == er::EndpointPhase::kLeaving);
  er::OnRestoredEntry(set, MakeEntry(900, 9), kStart);
  CHECK(Phase() == er::EndpointPhase::kLeaving);
  er::OnRestoredEntry(set, MakeEntry(1000, 6), kStart);
  CHECK(Phase() == er::EndpointPhase::kServing);
}

// Guards against an endpoint that comes back from the copy after its end.
TEST(RestoredEntries, AnEndpointThatWasGoneNeedsANewerEntry) {
  er::OnEntryPublished(set, MakeEntry(1000, 5), kStart);
  er::OnEntryRemoved(set, "e1", false, kStart);
  er::OnRestoredEntry(set, MakeEntry(1000, 5), kStart);
  CHECK(Phase() == er::EndpointPhase::kGone);
  er::OnRestoredEntry(set, MakeEntry(1000, 6), kStart);
  CHECK(Phase() == er::EndpointPhase::kServing);
}

TEST(RestoredEntries, AnotherProcessIsNotBoundByItsPredecessor) {
  er::OnEntryPublished(set, MakeEntry(1000, 5, true), kStart);
  er::OnEntryRemoved(set, "e1", false, kStart);
  er::OnRestoredEntry(set, MakeEntry(2000, 1), kStart);
  CHECK(Phase() == er::EndpointPhase::kServing);
}

// Guards against an endpoint that is dropped although the copy has its entry.
TEST(RestoredEntries, AnOlderEntryConfirmsALapsedEndpoint) {
  er::OnEntryPublished(set, MakeEntry(1000, 5), kStart);
  er::OnEntryRemoved(set, "e1", true, kStart);
  er::OnRestoredEntry(set, MakeEntry(1000, 4), kStart);
  CHECK(Phase() == er::EndpointPhase::kServing);
}

// Guards against requests to a zone that was taken out after the copy was made.
TEST(RestoredEntries, AZoneChangesWithTheCopyAfterADelay) {
  er::SetZoneOut(set, "a", true);
  er::OnRestoredZone(set, "a", false, kStart);
  er::Time now = kStart + er::kRestoredZoneDelay - 1ms;
  CHECK(er::ApplyDueZoneChanges(set, now).empty());
  CHECK(er::IsZoneOut(set, "a"));
  LONGS_EQUAL(1, er::ApplyDueZoneChanges(set, now + 1ms).size());
  CHECK_FALSE(er::IsZoneOut(set, "a"));
}

TEST(RestoredEntries, AZoneThatIsWrittenAgainStaysAsItWas) {
  er::SetZoneOut(set, "a", true);
  er::OnRestoredZone(set, "a", false, kStart);
  er::SetZoneOut(set, "a", true);
  CHECK(er::ApplyDueZoneChanges(set, kStart + 1h).empty());
  CHECK(er::IsZoneOut(set, "a"));
  // A second restore may show it as it was.
  er::OnRestoredZone(set, "a", false, kStart);
  er::OnRestoredZone(set, "a", true, kStart);
  CHECK(er::ApplyDueZoneChanges(set, kStart + 1h).empty());
}
