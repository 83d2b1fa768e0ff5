#include "egretladder/routing/catalog.h"

#include <CppUTest/TestHarness.h>

#include <random>
#include <vector>

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

er::Changes OfEra(er::StoreEra era, er::Changes changes) {
  changes.era = era;
  return changes;
}

constexpr er::Feed kEndpoints = er::Feed::kEndpoints;

// Four in ten nodes know what was there before a removal, the others start and
// list the store after it or ask a peer. One node watches the store.
std::vector<er::Catalog> FleetThatStartsDuringARemoval(std::size_t nodes) {
  std::vector<er::Catalog> fleet(nodes);
  for (std::size_t i = 0; i < nodes; ++i) {
    if (i % 5 < 2) {
      er::Apply(fleet[i], MakeList(5, {{"a", "1", 3}, {"b", "1", 4}}), kStart);
    } else if (i % 5 < 4) {
      er::Apply(fleet[i], MakeList(9, {{"b", "1", 4}, {"c", "1", 9}}), kStart);
    }
  }
  er::Apply(fleet[0], MakeWatch(9, {{"a", "", 8, true}, {"c", "1", 9}}),
            kStart);
  return fleet;
}

// Each node asks one other for what it lacks. Returns how many were told all
// keys.
std::size_t ExchangeOnce(std::vector<er::Catalog>& fleet,
                         std::mt19937& random) {
  std::size_t told_all_keys = 0;
  for (er::Catalog& node : fleet) {
    const er::Catalog& peer = fleet[random() % fleet.size()];
    const er::FeedProgress progress = er::GetFeedProgress(peer, kEndpoints);
    if (!er::ApplyPeerProgress(node, kEndpoints, progress)) continue;
    const er::Changes changes = er::ChangesSince(
        peer, kEndpoints, er::FetchAfter(node, kEndpoints, progress));
    if (changes.names_all_keys) ++told_all_keys;
    er::Apply(node, changes, kStart);
  }
  return told_all_keys;
}

bool Knows(const er::Catalog& node, const char* key) {
  const auto& items = er::GetFeedState(node, kEndpoints).items;
  const auto at = items.find(key);
  return at != items.end() && !at->second.removed;
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

// Guards against a node that takes up the revision of one that has just listed
// the store, and with it a removal that the list doesn't tell: it would go on
// sending to an endpoint that has left.
TEST(Catalog, ARemovalThatAListDoesNotTellIsNews) {
  er::Catalog ours;
  er::Catalog started;
  const auto feed = er::Feed::kEndpoints;
  er::Apply(ours, MakeList(5, {{"a", "1", 3}, {"b", "1", 4}}), kStart);
  er::Apply(started, MakeList(9, {{"b", "1", 4}}), kStart);
  const er::FeedProgress theirs = er::GetFeedProgress(started, feed);
  CHECK(er::ApplyPeerProgress(ours, feed, theirs));
  LONGS_EQUAL(5, er::GetFeedProgress(ours, feed).known);
  const auto changed = er::Apply(
      ours, er::ChangesSince(started, feed, er::FetchAfter(ours, feed, theirs)),
      kStart);
  LONGS_EQUAL(1, changed.size());
  STRCMP_EQUAL("a", changed[0].key.c_str());
  CHECK(changed[0].removed);
  LONGS_EQUAL(9, er::GetFeedProgress(ours, feed).known);
}

// Guards against the changes after a list that are passed on without the
// removals before it, also by a node that has that list from a peer. Items that
// the receiver has are named, not sent.
TEST(Catalog, ChangesAfterAListBringTheRemovalsBeforeIt) {
  const auto feed = er::Feed::kEndpoints;
  er::Catalog listed;
  er::Apply(listed, MakeList(9, {{"b", "1", 4}}), kStart);
  er::Catalog relay;
  er::Apply(relay, er::ChangesSince(listed, feed, 0), kStart);
  for (er::Catalog* source : {&listed, &relay}) {
    er::Apply(*source, MakeWatch(12, {{"c", "1", 11}}), kStart);
    er::Catalog ours;
    er::Apply(ours, MakeList(5, {{"a", "1", 3}, {"b", "1", 4}}), kStart);
    const er::Changes lacking = er::ChangesSince(*source, feed, 5);
    CHECK_FALSE(lacking.whole);
    LONGS_EQUAL(1, lacking.items.size());
    LONGS_EQUAL(2, er::Apply(ours, lacking, kStart).size());
    const auto& items = er::GetFeedState(ours, feed).items;
    CHECK(items.at("a").removed);
    CHECK_FALSE(items.at("b").removed);
    STRCMP_EQUAL("1", items.at("b").value.c_str());
    CHECK_FALSE(items.at("c").removed);
  }
}

// The same through a node that was there before the list, and lacks what came
// and went between its own revision and the list.
TEST(Catalog, ANodeThatWasToldAllKeysPassesThemOn) {
  const auto feed = er::Feed::kEndpoints;
  er::Catalog listed;
  er::Apply(listed, MakeList(9, {{"b", "1", 4}}), kStart);
  er::Catalog behind;
  er::Apply(behind, MakeList(5, {{"b", "1", 4}}), kStart);
  er::Apply(behind, er::ChangesSince(listed, feed, 5), kStart);
  er::Catalog ours;
  er::Apply(ours, MakeList(7, {{"b", "1", 4}, {"d", "1", 6}}), kStart);
  er::Apply(ours, er::ChangesSince(behind, feed, 7), kStart);
  CHECK(er::GetFeedState(ours, feed).items.at("d").removed);
}

// Guards against a removal that is lost for some nodes of a fleet of which most
// start at that moment, while further changes come, and against naming all keys
// to most nodes more than once.
TEST(Catalog, AFleetThatStartsDuringARemovalLearnsOfIt) {
  for (const std::size_t nodes : {std::size_t{7}, std::size_t{585}}) {
    std::mt19937 random(1);
    auto fleet = FleetThatStartsDuringARemoval(nodes);
    std::size_t told_all_keys = 0;
    constexpr std::uint64_t kRounds = 20;
    for (std::uint64_t round = 0; round < kRounds; ++round) {
      er::Apply(fleet[0], MakeWatch(10 + round, {{"d", "1", 10 + round}}),
                kStart);
      told_all_keys += ExchangeOnce(fleet, random);
    }
    for (const er::Catalog& node : fleet) {
      CHECK_FALSE(Knows(node, "a"));
      CHECK(Knows(node, "b") && Knows(node, "c") && Knows(node, "d"));
    }
    CHECK(told_all_keys < nodes);
  }
}

// Guards against naming all keys for longer than there are peers that know less
// than the list: a large fleet's keys are large.
TEST(Catalog, PeersThatKnowTheListGetChangesAlone) {
  const auto feed = er::Feed::kEndpoints;
  er::Catalog listed;
  er::Apply(listed, MakeList(9, {{"b", "1", 4}}), kStart);
  er::Catalog told;
  er::Apply(told, MakeList(5, {{"b", "1", 4}}), kStart);
  er::Apply(listed, MakeWatch(12, {{"c", "1", 12}}), kStart);
  er::Apply(told, er::ChangesSince(listed, feed, 5), kStart);
  for (const er::Catalog* source : {&listed, &told}) {
    const er::Changes lacking = er::ChangesSince(*source, feed, 9);
    CHECK_FALSE(lacking.whole);
    CHECK_FALSE(lacking.names_all_keys);
    LONGS_EQUAL(1, lacking.items.size());
  }
}

// Guards against each node that starts in a running fleet making the others
// fetch what they have.
TEST(Catalog, ANodeThatStartsFromAPeerAnnouncesNoNews) {
  const auto feed = er::Feed::kEndpoints;
  er::Catalog reader;
  er::Apply(reader, MakeList(5, {{"a", "1", 3}}), kStart);
  er::Catalog other;
  er::Apply(other, er::ChangesSince(reader, feed, 0), kStart);
  er::Apply(reader, MakeWatch(9, {}), kStart);
  er::Catalog started;
  er::Apply(started, er::ChangesSince(reader, feed, 0), kStart);
  CHECK_FALSE(
      er::ApplyPeerProgress(other, feed, er::GetFeedProgress(started, feed)));
  LONGS_EQUAL(9, er::GetFeedProgress(other, feed).known);
}

// Guards against keys of a restored store that are taken for what this node
// knew before.
TEST(Catalog, KeysOfALaterEraHaveNoEffect) {
  const auto feed = er::Feed::kEndpoints;
  er::Catalog catalog;
  er::Apply(catalog, OfEra(2, MakeList(5, {{"a", "1", 3}})), kStart);
  er::Changes keys = OfEra(3, MakeWatch(9, {}));
  keys.names_all_keys = true;
  keys.unseen_revision = 9;
  CHECK(er::Apply(catalog, keys, kStart).empty());
  CHECK_FALSE(er::GetFeedState(catalog, feed).items.at("a").removed);
  LONGS_EQUAL(2, er::GetFeedState(catalog, feed).era);
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

// Guards against a store that was restored from an older copy: its changes have
// revisions that were known before.
TEST(Catalog, AListOfALaterEraReplacesWhatIsKnown) {
  er::Catalog catalog;
  er::Apply(catalog, OfEra(2, MakeList(9, {{"a", "1", 3}, {"b", "1", 8}})),
            kStart);
  const auto list = OfEra(3, MakeList(5, {{"a", "1", 3}, {"c", "1", 5}}));
  CHECK(er::IsRestore(catalog, list));
  const auto changed = er::Apply(catalog, list, kStart);
  LONGS_EQUAL(2, changed.size());
  STRCMP_EQUAL("c", changed[0].key.c_str());
  STRCMP_EQUAL("b", changed[1].key.c_str());
  CHECK(changed[1].removed);
  const er::FeedState& feed = er::GetFeedState(catalog, er::Feed::kEndpoints);
  LONGS_EQUAL(3, feed.era);
  LONGS_EQUAL(5, feed.revision);
}

// Guards against a node of an earlier era that undoes the news of a later one,
// and against a part of a later era that is taken for all of it.
TEST(Catalog, ChangesOfAnotherEraHaveNoEffect) {
  er::Catalog catalog;
  er::Apply(catalog, OfEra(3, MakeList(5, {{"a", "1", 3}})), kStart);
  CHECK(er::Apply(catalog, OfEra(2, MakeList(9, {{"b", "1", 9}})), kStart)
            .empty());
  CHECK(er::Apply(catalog, OfEra(4, MakeWatch(6, {{"b", "1", 6}})), kStart)
            .empty());
  LONGS_EQUAL(5, er::GetFeedState(catalog, er::Feed::kEndpoints).revision);
}

// Guards against an older configuration that replaces a newer one because its
// revision or era is higher.
TEST(Catalog, AnItemWithALowerVersionNeverReplacesAHigherOne) {
  er::Catalog catalog;
  er::Apply(catalog, OfEra(2, MakeList(9, {{"rules", "v8", 9, false, 8}})),
            kStart);
  er::Apply(catalog, OfEra(3, MakeList(4, {{"rules", "v7", 4, false, 7}})),
            kStart);
  const er::FeedState& feed = er::GetFeedState(catalog, er::Feed::kEndpoints);
  STRCMP_EQUAL("v8", feed.items.at("rules").value.c_str());
  // It is taken from a node of an earlier era as well.
  er::Apply(catalog, OfEra(2, MakeWatch(10, {{"rules", "v9", 10, false, 9}})),
            kStart);
  STRCMP_EQUAL("v9", feed.items.at("rules").value.c_str());
  LONGS_EQUAL(3, feed.era);
}

// Guards against a node that starts on an older copy and never asks its peers,
// which know a newer version under a lower revision.
TEST(Catalog, APeerWithAHigherVersionIsAskedForAList) {
  er::Catalog ours;
  er::Catalog theirs;
  const auto feed = er::Feed::kEndpoints;
  er::Apply(theirs, OfEra(2, MakeList(9, {{"rules", "v8", 9, false, 8}})),
            kStart);
  er::Apply(theirs, OfEra(3, MakeList(4, {{"rules", "v7", 4, false, 7}})),
            kStart);
  er::Apply(ours, OfEra(3, MakeList(6, {{"rules", "v7", 4, false, 7}})),
            kStart);
  const er::FeedProgress progress = er::GetFeedProgress(theirs, feed);
  CHECK(er::ApplyPeerProgress(ours, feed, progress));
  LONGS_EQUAL(0, er::FetchAfter(ours, feed, progress));
  er::Apply(ours, er::ChangesSince(theirs, feed, 0), kStart);
  STRCMP_EQUAL("v8",
               er::GetFeedState(ours, feed).items.at("rules").value.c_str());
  CHECK_FALSE(er::ApplyPeerProgress(ours, feed, progress));
}

// Guards against an upgrade during which nodes ignore those that don't know
// eras yet, and against such nodes after a restore.
TEST(Catalog, APeerWithoutAnEraCountsUntilTheEraRises) {
  er::Catalog catalog;
  er::Apply(catalog, OfEra(2, MakeList(5, {{"a", "1", 3}})), kStart);
  LONGS_EQUAL(1,
              er::Apply(catalog, MakeWatch(6, {{"b", "1", 6}}), kStart).size());
  er::Apply(catalog, OfEra(3, MakeList(4, {{"a", "1", 3}})), kStart);
  CHECK(er::Apply(catalog, MakeWatch(9, {{"c", "1", 9}}), kStart).empty());
}
