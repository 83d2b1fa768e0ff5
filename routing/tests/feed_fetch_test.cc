// Whom a node asks for what it lacks.
#include "egretladder/routing/feed_fetch.h"

#include <CppUTest/TestHarness.h>

#include <string>

namespace er = egretladder::routing;
using std::chrono::milliseconds;

TEST_GROUP(FeedFetches) {
  er::Time now = er::Time{} + std::chrono::hours(1);
  er::FeedFetch pull;

  std::string Next(std::uint64_t own = 0) {
    return er::StartNextFetch(pull, own, now);
  }
};

// Guards against the same change arriving from each peer that has it.
TEST(FeedFetches, OnePeerIsAskedAtATime) {
  er::OnOffer(pull, "a", false, 5);
  er::OnOffer(pull, "b", false, 5);
  STRCMP_EQUAL("a", Next().c_str());
  STRCMP_EQUAL("", Next().c_str());
  er::OnFetchDone(pull, "a");
  STRCMP_EQUAL("", Next(5).c_str());
}

// Guards against content that crosses zones although a near peer has it.
TEST(FeedFetches, ANearPeerIsAskedFirst) {
  er::OnOffer(pull, "far", false, 9);
  er::OnOffer(pull, "near", true, 8);
  STRCMP_EQUAL("near", Next().c_str());
}

// Guards against a node that waits for a peer whose machine lost its power.
TEST(FeedFetches, ASilentPeerIsLeftForAnother) {
  er::OnOffer(pull, "a", true, 5);
  er::OnOffer(pull, "b", false, 5);
  STRCMP_EQUAL("a", Next().c_str());
  now += er::kPullTime;
  STRCMP_EQUAL("b", Next().c_str());
}

// Guards against an answer of an earlier question that ends a later one.
TEST(FeedFetches, ALateAnswerLeavesTheNextQuestionOpen) {
  er::OnOffer(pull, "a", true, 5);
  er::OnOffer(pull, "b", false, 5);
  Next();
  now += er::kPullTime;
  Next();
  er::OnFetchDone(pull, "a");
  STRCMP_EQUAL("", Next().c_str());
}

// Guards against asking a busy peer without pause, and against forgetting it.
TEST(FeedFetches, ABusyPeerIsAskedAgainAfterAPause) {
  er::OnOffer(pull, "a", true, 5);
  Next();
  er::OnFetchFailed(pull, "a", er::kFetchBusyBackoff, now);
  STRCMP_EQUAL("", Next().c_str());
  now += er::kFetchBusyBackoff;
  STRCMP_EQUAL("a", Next().c_str());
}

// Guards against asking a peer for ever that announced changes, restarted and
// knows less than before.
TEST(FeedFetches, APeerThatSentLessThanItAnnouncedIsNotAskedAgainAtOnce) {
  er::OnOffer(pull, "a", true, 5);
  STRCMP_EQUAL("a", Next().c_str());
  er::OnFetchDone(pull, "a");
  STRCMP_EQUAL("", Next(2).c_str());
}

// Guards against offers that grow with the fleet.
TEST(FeedFetches, OffersAreBounded) {
  for (int i = 0; i < 100; ++i) {
    er::OnOffer(pull, std::to_string(i), false, 5);
  }
  LONGS_EQUAL(er::kOffersMost, pull.offers.size());
}

// Guards against a large change that fills the link of the node that has it.
TEST(FeedFetches, LargeChangesWaitForTheLinkAndSmallOnesDont) {
  constexpr std::size_t kLarge = 100'000;
  CHECK(er::CanSendChanges(kLarge, 0));
  CHECK_FALSE(er::CanSendChanges(kLarge, er::kPeerBacklog));
  CHECK(er::CanSendChanges(er::kSmallChangesBytes, 10 * er::kPeerBacklog));
}
