#include "egretladder/routing/catalog.h"

#include <CppUTest/TestHarness.h>

using namespace std::chrono_literals;
namespace er = egretladder::routing;

namespace {

constexpr er::Time kStart{std::chrono::hours(1)};

er::Changes List(std::uint64_t revision, std::vector<er::Item> items) {
  return {er::Feed::kEndpoints, true, revision, std::move(items)};
}
er::Changes Watch(std::uint64_t revision, std::vector<er::Item> items) {
  return {er::Feed::kEndpoints, false, revision, std::move(items)};
}

}  // namespace

TEST_GROUP(Catalog){};

TEST(Catalog, AListRemovesWhatItLeavesOut) {
  er::Catalog catalog;
  er::Apply(catalog, List(5, {{"a", "1", 3}, {"b", "1", 4}}), kStart);
  const auto news = er::Apply(catalog, List(9, {{"b", "2", 8}}), kStart);
  LONGS_EQUAL(2, news.size());
  STRCMP_EQUAL("b", news[0].key.c_str());
  STRCMP_EQUAL("a", news[1].key.c_str());
  CHECK(news[1].removed);
}

// A list is read page by page while things change. An endpoint that came after
// the list began is known from a peer already; the list doesn't name it.
// Removed, it would get no requests until the watch names it again.
TEST(Catalog, AListLeavesWhatIsNewerThanItself) {
  er::Catalog catalog;
  er::Apply(catalog, Watch(12, {{"new", "1", 12}}), kStart);
  CHECK(er::Apply(catalog, List(9, {}), kStart).empty());
}

// A restarted node's peer tells of an endpoint that has left since. Believed, a
// leaving endpoint would get work again.
TEST(Catalog, OldNewsChangeNothing) {
  er::Catalog catalog;
  er::Apply(catalog, Watch(7, {{"a", "draining", 7}}), kStart);
  CHECK(er::Apply(catalog, Watch(6, {{"a", "ready", 6}}), kStart).empty());
  er::Apply(catalog, Watch(8, {{"a", "", 8, true}}), kStart);
  CHECK(er::Apply(catalog, Watch(7, {{"a", "draining", 7}}), kStart).empty());
  LONGS_EQUAL(8, er::GetFeedState(catalog, er::Feed::kEndpoints).revision);
}

// A removal arrives before the write it follows: the write is old by then.
TEST(Catalog, ARemovalOfTheUnknownIsRemembered) {
  er::Catalog catalog;
  CHECK(er::Apply(catalog, Watch(8, {{"a", "", 8, true}}), kStart).empty());
  CHECK(er::Apply(catalog, Watch(9, {{"a", "ready", 5}}), kStart).empty());
}

// The store turns one node away. It learns from a peer what it lacks, removals
// included, and goes on from the peer's place.
TEST(Catalog, APeerGetsWhatItLacks) {
  er::Catalog ours;
  er::Apply(ours, List(5, {{"a", "1", 3}, {"b", "1", 4}}), kStart);
  er::Catalog theirs = ours;
  er::Apply(ours, Watch(9, {{"a", "", 8, true}, {"c", "1", 9}}), kStart);
  const er::Changes lacking = er::ChangesSince(ours, er::Feed::kEndpoints, 5);
  CHECK_FALSE(lacking.whole);
  const auto news = er::Apply(theirs, lacking, kStart);
  LONGS_EQUAL(2, news.size());
  LONGS_EQUAL(9, er::GetFeedState(theirs, er::Feed::kEndpoints).revision);
  CHECK(er::ChangesSince(ours, er::Feed::kEndpoints, 9).items.empty());
}

// A node was away longer than removals are kept. Told only changes, it would
// believe in an endpoint that left meanwhile for ever.
TEST(Catalog, APeerThatLacksForgottenRemovalsGetsAList) {
  er::Catalog ours;
  er::Apply(ours, List(5, {{"a", "1", 3}, {"b", "1", 4}}), kStart);
  er::Catalog theirs = ours;
  er::Apply(ours, Watch(8, {{"a", "", 8, true}}), kStart);
  er::PruneTombstones(ours, kStart + er::kRemovalsKept + 1s);
  const er::Changes lacking = er::ChangesSince(ours, er::Feed::kEndpoints, 5);
  CHECK(lacking.whole);
  const auto news = er::Apply(theirs, lacking, kStart);
  LONGS_EQUAL(1, news.size());
  CHECK(news[0].removed);
}

// Guards against asking for changes each time that a peer has only looked.
TEST(Catalog, APeerThatKnowsNoNewChangeIsNotAsked) {
  er::Catalog reader;
  er::Catalog other;
  er::Apply(reader, List(5, {{"a", "1", 3}}), kStart);
  er::Apply(other, er::ChangesSince(reader, er::Feed::kEndpoints, 0), kStart);
  er::Apply(reader, Watch(9, {}), kStart);
  const auto feed = er::Feed::kEndpoints;
  CHECK_FALSE(
      er::ApplyPeerProgress(other, feed, er::GetFeedProgress(reader, feed)));
  LONGS_EQUAL(9, er::GetFeedProgress(other, feed).known);
  er::Apply(reader, Watch(12, {{"a", "2", 11}}), kStart);
  CHECK(er::ApplyPeerProgress(other, feed, er::GetFeedProgress(reader, feed)));
  LONGS_EQUAL(9, er::GetFeedProgress(other, feed).known);
}

// Guards against a node that takes a peer's look for a list of its own.
TEST(Catalog, ANodeThatKnowsNothingLacksEvenAnEmptyFeed) {
  er::Catalog reader;
  er::Catalog other;
  const auto feed = er::Feed::kEndpoints;
  er::Apply(reader, List(5, {}), kStart);
  CHECK(er::ApplyPeerProgress(other, feed, er::GetFeedProgress(reader, feed)));
}
