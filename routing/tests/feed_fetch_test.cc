// Tests which peer a node asks for the changes that it lacks.
#include "egretladder/routing/feed_fetch.h"

#include <CppUTest/TestHarness.h>

#include <string>

namespace er = egretladder::routing;
using std::chrono::milliseconds;

TEST_GROUP(FeedFetch) {
  er::Time now = er::Time{} + std::chrono::hours(1);
  er::FeedFetch fetch;

  std::string StartNext(std::uint64_t own_revision = 0) {
    const er::Offer* offer =
        er::StartNextFetch(fetch, {own_revision, own_revision}, now);
    return offer == nullptr ? "" : offer->peer;
  }

  void Offer(const std::string& peer, bool near, std::uint64_t revision) {
    er::OnOffer(fetch, peer, near, {revision, revision});
  }
};

// Guards against receiving the same change from each peer that has it.
TEST(FeedFetch, OnePeerIsAskedAtATime) {
  Offer("a", false, 5);
  Offer("b", false, 5);
  STRCMP_EQUAL("a", StartNext().c_str());
  STRCMP_EQUAL("", StartNext().c_str());
  er::OnFetchDone(fetch, "a");
  STRCMP_EQUAL("", StartNext(5).c_str());
}

// Guards against fetching changes from another zone although a peer in the same
// zone has them.
TEST(FeedFetch, APeerInTheSameZoneIsAskedFirst) {
  Offer("far", false, 9);
  Offer("near", true, 8);
  STRCMP_EQUAL("near", StartNext().c_str());
}

// Guards against waiting for a peer whose machine lost power.
TEST(FeedFetch, AnotherPeerIsAskedAfterATimeout) {
  Offer("a", true, 5);
  Offer("b", false, 5);
  STRCMP_EQUAL("a", StartNext().c_str());
  now += er::kFetchTimeout;
  STRCMP_EQUAL("b", StartNext().c_str());
}

// Guards against a late answer to a timed-out fetch that ends the next fetch.
TEST(FeedFetch, ALateAnswerDoesNotEndTheNextFetch) {
  Offer("a", true, 5);
  Offer("b", false, 5);
  StartNext();
  now += er::kFetchTimeout;
  StartNext();
  er::OnFetchDone(fetch, "a");
  STRCMP_EQUAL("", StartNext().c_str());
}

// Guards against asking a busy peer without a backoff, and against forgetting
// it.
TEST(FeedFetch, ABusyPeerIsAskedAgainAfterItsBackoff) {
  Offer("a", true, 5);
  StartNext();
  er::OnFetchFailed(fetch, "a", er::kFetchBusyBackoff, now);
  STRCMP_EQUAL("", StartNext().c_str());
  now += er::kFetchBusyBackoff;
  STRCMP_EQUAL("a", StartNext().c_str());
}

// Guards against asking a peer again and again that restarted after its
// announcement and knows less than before.
TEST(FeedFetch, APeerThatSentLessThanItAnnouncedIsNotAskedAgainAtOnce) {
  Offer("a", true, 5);
  STRCMP_EQUAL("a", StartNext().c_str());
  er::OnFetchDone(fetch, "a");
  STRCMP_EQUAL("", StartNext(2).c_str());
}

// Guards against a number of offers that grows with the fleet.
TEST(FeedFetch, OffersAreBounded) {
  for (int i = 0; i < 100; ++i) {
    Offer(std::to_string(i), false, 5);
  }
  LONGS_EQUAL(er::kMaxOffers, fetch.offers.size());
}

// Guards against filling the link of a node with a large change that many peers
// request.
TEST(FeedFetch, OnlyLargeChangesWaitForTheLink) {
  constexpr std::size_t kLarge = 100'000;
  CHECK(er::CanSendChanges(kLarge, 0));
  CHECK_FALSE(er::CanSendChanges(kLarge, er::kMaxPeerBacklogBytes));
  CHECK(er::CanSendChanges(er::kSmallChangesBytes,
                           10 * er::kMaxPeerBacklogBytes));
}
