#include "egretladder/routing/endpoint_notices.h"

#include <CppUTest/TestHarness.h>

using namespace std::chrono_literals;
namespace er = egretladder::routing;

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

TEST_GROUP(EndpointNotices) {
  er::EndpointSet set;

  er::EndpointPtr Publish(const er::EndpointEntry& entry) {
    er::OnEntryPublished(set, entry, kStart);
    return set.by_id[entry.id];
  }
};

TEST(EndpointNotices, TheFirstStatementOfEachKindIsAChange) {
  const er::EndpointPtr endpoint = Publish(MakeEntry("x"));
  CHECK(er::OnNotice(set, *endpoint, {true, {}}, kStart).leaving);
  CHECK(!er::OnNotice(set, *endpoint, {true, {}}, kStart).leaving);
  CHECK(er::OnNotice(set, *endpoint, {false, 3s}, kStart).backoff);
  CHECK(!er::OnNotice(set, *endpoint, {false, 3s}, kStart + 10ms).backoff);
}

// Guards against an answer that was made earlier, or elsewhere in the endpoint,
// and ends what another answer stated.
TEST(EndpointNotices, AnswersWithoutNoticeRevokeNothing) {
  const er::EndpointPtr endpoint = Publish(MakeEntry("x"));
  er::OnNotice(set, *endpoint, {true, 3s}, kStart);
  er::OnNotice(set, *endpoint, {}, kStart + 10ms);
  er::OnNotice(set, *endpoint, {false, 1s}, kStart + 20ms);
  CHECK(endpoint->notices.leaving);
  CHECK(er::RemainingBackoff(*endpoint, kStart + 1s) == 2s);
  CHECK(er::RemainingBackoff(*endpoint, kStart + 3s) == 0ms);
}

// Guards against an endpoint whose entry expires in an outage of the store and
// returns: it would get requests again, although it is about to end.
TEST(EndpointNotices, HoldWhenTheSameProcessIsPublishedAgain) {
  er::OnNotice(set, *Publish(MakeEntry("x")), {true, 3s}, kStart);
  er::OnEntryRemoved(set, "x", false, kStart);
  const er::EndpointPtr returned = Publish(MakeEntry("x"));
  CHECK(er::IsLeaving(*returned));
  CHECK(er::RemainingBackoff(*returned, kStart) == 3s);
  // The entry is kept no longer because the store was unreachable.
  CHECK(er::OnEntryRemoved(set, "x", true, kStart) == er::EntryChange::kGone);
}

// Guards against a new process that gets no requests because of what the one
// before it stated.
TEST(EndpointNotices, DoNotBindANewProcess) {
  er::OnNotice(set, *Publish(MakeEntry("x")), {true, 3s}, kStart);
  er::EndpointEntry restarted = MakeEntry("x");
  restarted.started_unix_ms = 200;
  const er::EndpointPtr successor = Publish(restarted);
  CHECK(!er::IsLeaving(*successor));
  CHECK(er::RemainingBackoff(*successor, kStart) == 0ms);
  // Nor does it inherit them after its own entry was removed.
  er::OnEntryRemoved(set, "x", false, kStart);
  CHECK(!er::IsLeaving(*Publish(restarted)));
  CHECK(!er::IsLeaving(*Publish(MakeEntry("y"))));
}

// Guards against a process without a published start time that can't be told
// from the one before it, and is left out for good.
TEST(EndpointNotices, EndWithTheEntryIfNoStartTimeIsPublished) {
  er::EndpointEntry entry = MakeEntry("x");
  entry.started_unix_ms = 0;
  er::OnNotice(set, *Publish(entry), {true, {}}, kStart);
  er::OnEntryRemoved(set, "x", false, kStart);
  CHECK(!er::IsLeaving(*Publish(entry)));
}

// Guards against a notice that is lost because the endpoint's entry expired
// while the request was running there.
TEST(EndpointNotices, OfALateAnswerReachTheEntryThatReturned) {
  const er::EndpointPtr removed = Publish(MakeEntry("x"));
  er::OnEntryRemoved(set, "x", false, kStart);
  er::OnNotice(set, *removed, {true, {}}, kStart);
  CHECK(er::IsLeaving(*Publish(MakeEntry("x"))));
  const er::EndpointPtr other = Publish(MakeEntry("y"));
  er::OnEntryRemoved(set, "y", false, kStart);
  const er::EndpointPtr returned = Publish(MakeEntry("y"));
  er::OnNotice(set, *other, {true, {}}, kStart);
  CHECK(er::IsLeaving(*returned));
}

// Guards against a process whose own notices end with the entry of the process
// before, and against one that is bound by those.
TEST(EndpointNotices, BindTheProcessThatGaveThem) {
  const er::EndpointPtr old = Publish(MakeEntry("x"));
  er::OnNotice(set, *old, {true, 60s}, kStart);
  er::OnNotice(set, *old, {false, 3s}, kStart);
  er::OnNoticeOrigin(set, *old, er::StandingFrom({true, 60s}, kStart), 100);
  er::OnNoticeOrigin(set, *old, er::StandingFrom({false, 3s}, kStart), 200);
  er::EndpointEntry restarted = MakeEntry("x");
  restarted.started_unix_ms = 200;
  const er::EndpointPtr successor = Publish(restarted);
  CHECK(!er::IsLeaving(*successor));
  CHECK(er::RemainingBackoff(*successor, kStart) == 3s);
  // A late word on the old process changes nothing.
  er::OnNoticeOrigin(set, *old, er::StandingFrom({true, {}}, kStart), 100);
  CHECK(!er::IsLeaving(*successor));
  er::OnNoticeOrigin(set, *old, er::StandingFrom({true, {}}, kStart), 200);
  CHECK(er::IsLeaving(*successor));
}

// Guards against a notice that is held against a third process, or one at
// another address, and against one that is lost with the old entry.
TEST(EndpointNotices, OfASuccessorWaitForItsEntry) {
  const er::EndpointPtr old = Publish(MakeEntry("x"));
  er::OnEntryRemoved(set, "x", false, kStart);
  er::OnNoticeOrigin(set, *old, er::StandingFrom({true, {}}, kStart), 200);
  er::EndpointEntry restarted = MakeEntry("x");
  restarted.started_unix_ms = 200;
  CHECK(er::IsLeaving(*Publish(restarted)));
  for (const char* address : {"10.0.0.1:80", "10.0.0.2:80"}) {
    const er::EndpointPtr other = Publish(MakeEntry(address));
    er::OnNoticeOrigin(set, *other, er::StandingFrom({true, {}}, kStart), 200);
    er::EndpointEntry next = MakeEntry(address);
    next.address = address;
    next.started_unix_ms = next.address == other->entry.address ? 300 : 200;
    CHECK(!er::IsLeaving(*Publish(next)));
  }
}

// Guards against memory that grows with each endpoint that ever left.
TEST(EndpointNotices, OfRemovedEndpointsAreBounded) {
  constexpr std::size_t kEndpoints = er::kMaxRememberedEndpoints + 10;
  for (std::size_t i = 0; i < kEndpoints; ++i) {
    const std::string id = "e" + std::to_string(i);
    er::OnNotice(set, *Publish(MakeEntry(id)), {true, {}}, kStart);
    er::OnEntryRemoved(set, id, false, kStart);
  }
  LONGS_EQUAL(er::kMaxRememberedEndpoints, set.removed_endpoints.size());
  CHECK(!er::IsLeaving(*Publish(MakeEntry("e9"))));
  CHECK(er::IsLeaving(*Publish(MakeEntry("e10"))));
}

// Guards against a notice that is held against an endpoint which has not given
// it: addresses are used again.
TEST(EndpointNotices, BelongToTheEndpointThatAnswered) {
  const er::EndpointPtr addressed = Publish(MakeEntry("x"));
  const er::EndpointPtr successor = Publish(MakeEntry("y"));
  CHECK(er::FindAnsweringEndpoint(set, addressed, "", false) == addressed);
  CHECK(er::FindAnsweringEndpoint(set, addressed, "x", true) == addressed);
  CHECK(er::FindAnsweringEndpoint(set, addressed, "", true) == successor);
  CHECK(er::FindAnsweringEndpoint(set, addressed, "y", true) == successor);
  CHECK(er::FindAnsweringEndpoint(set, addressed, "z", true) == nullptr);
}
