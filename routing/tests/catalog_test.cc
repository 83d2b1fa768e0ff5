#include "egretladder/routing/catalog.h"

#include <CppUTest/TestHarness.h>

using namespace std::chrono_literals;
namespace er = egretladder::routing;

namespace {

constexpr er::Time kStart{std::chrono::hours(1)};

er::Changes MakeList(std::uint64_t revision, std::vector<er::Item> items) {
  return {er::Feed::kEndpoints, true, revision, std::move(items)};
}
er::Changes MakeWatch(std::uint64_t revision, std::vector<er::Item> items) {
  return {er::Feed::kEndpoints, false, revision, std::move(items)};
}

}  // namespace

TEST_GROUP(Catalog){};

TEST(Catalog, AListRemovesItemsThatItDoesNotContain) {
  er::Catalog catalog;
  er::Apply(catalog, MakeList(5, {{"a", "1", 3}, {"b", "1", 4}}), kStart);
  const auto changed = er::Apply(catalog, MakeList(9, {{"b", "2", 8}}), kStart);
  LONGS_EQUAL(2, changed.size());
  STRCMP_EQUAL("b", changed[0].key.c_str());
  STRCMP_EQUAL("a", changed[1].key.c_str());
  CHECK(changed[1].removed);
}

// Guards against removing an endpoint that a peer already announced and that
// registered after the paged read of the list began. It would get no requests
// until the watch reports it.
TEST(Catalog, AListKeepsItemsThatAreNewerThanIt) {
  er::Catalog catalog;
  er::Apply(catalog, MakeWatch(12, {{"new", "1", 12}}), kStart);
  CHECK(er::Apply(catalog, MakeList(9, {}), kStart).empty());
}

// Guards against sending work to an endpoint that has left since a peer learned
// of it.
TEST(Catalog, OlderChangesHaveNoEffect) {
  er::Catalog catalog;
  er::Apply(catalog, MakeWatch(7, {{"a", "draining", 7}}), kStart);
  CHECK(er::Apply(catalog, MakeWatch(6, {{"a", "ready", 6}}), kStart).empty());
  er::Apply(catalog, MakeWatch(8, {{"a", "", 8, true}}), kStart);
  CHECK(
      er::Apply(catalog, MakeWatch(7, {{"a", "draining", 7}}), kStart).empty());
  LONGS_EQUAL(8, er::GetFeedState(catalog, er::Feed::kEndpoints).revision);
}

// Guards against bringing back a removed item if its removal arrives before the
// earlier write.
TEST(Catalog, ATombstoneOfAnUnknownItemBlocksItsOlderWrite) {
  er::Catalog catalog;
  CHECK(er::Apply(catalog, MakeWatch(8, {{"a", "", 8, true}}), kStart).empty());
  CHECK(er::Apply(catalog, MakeWatch(9, {{"a", "ready", 5}}), kStart).empty());
}

// A node that the store rejects gets the changes it lacks from a peer,
// including removals, and continues from the peer's revision.
TEST(Catalog, APeerGetsTheChangesThatItLacks) {
  er::Catalog ours;
  er::Apply(ours, MakeList(5, {{"a", "1", 3}, {"b", "1", 4}}), kStart);
  er::Catalog theirs = ours;
  er::Apply(ours, MakeWatch(9, {{"a", "", 8, true}, {"c", "1", 9}}), kStart);
  const er::Changes lacking = er::ChangesSince(ours, er::Feed::kEndpoints, 5);
  CHECK_FALSE(lacking.whole);
  const auto changed = er::Apply(theirs, lacking, kStart);
  LONGS_EQUAL(2, changed.size());
  LONGS_EQUAL(9, er::GetFeedState(theirs, er::Feed::kEndpoints).revision);
  CHECK(er::ChangesSince(ours, er::Feed::kEndpoints, 9).items.empty());
}

// Guards against a node that was away longer than tombstones are kept. With
// changes alone it would keep endpoints for ever that left meanwhile.
TEST(Catalog, APeerThatLacksPrunedTombstonesGetsAList) {
  er::Catalog ours;
  er::Apply(ours, MakeList(5, {{"a", "1", 3}, {"b", "1", 4}}), kStart);
  er::Catalog theirs = ours;
  er::Apply(ours, MakeWatch(8, {{"a", "", 8, true}}), kStart);
  er::PruneTombstones(ours, kStart + er::kTombstoneRetention + 1s);
  const er::Changes lacking = er::ChangesSince(ours, er::Feed::kEndpoints, 5);
  CHECK(lacking.whole);
  const auto changed = er::Apply(theirs, lacking, kStart);
  LONGS_EQUAL(1, changed.size());
  CHECK(changed[0].removed);
}

// Guards against requesting changes from a peer that has a later revision
// without later changes.
TEST(Catalog, APeerThatKnowsNoNewChangeIsNotAsked) {
  er::Catalog reader;
  er::Catalog other;
  er::Apply(reader, MakeList(5, {{"a", "1", 3}}), kStart);
  er::Apply(other, er::ChangesSince(reader, er::Feed::kEndpoints, 0), kStart);
  er::Apply(reader, MakeWatch(9, {}), kStart);
  const auto feed = er::Feed::kEndpoints;
  CHECK_FALSE(
      er::ApplyPeerProgress(other, feed, er::GetFeedProgress(reader, feed)));
  LONGS_EQUAL(9, er::GetFeedProgress(other, feed).known);
  er::Apply(reader, MakeWatch(12, {{"a", "2", 11}}), kStart);
  CHECK(er::ApplyPeerProgress(other, feed, er::GetFeedProgress(reader, feed)));
  LONGS_EQUAL(9, er::GetFeedProgress(other, feed).known);
}

// Guards against a node without a list that adopts a peer's revision as its
// own.
TEST(Catalog, ANodeWithoutAListLacksEvenAnEmptyFeed) {
  er::Catalog reader;
  er::Catalog other;
  const auto feed = er::Feed::kEndpoints;
  er::Apply(reader, MakeList(5, {}), kStart);
  CHECK(er::ApplyPeerProgress(other, feed, er::GetFeedProgress(reader, feed)));
}
