// What is published, by revision: the part of the platform's store that this
// node knows, and what it can pass on to peers.
//
// Nodes read the store by list and watch. A node that the store turns away
// learns the same changes from its peers, in the same form; a change is known
// by its revision, so that news from two sources never go back.
// Source: list and watch with resource versions, as in etcd's clients.
#pragma once

#include <array>
#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "egretladder/kernel/time.h"

namespace egretladder::routing {

using kernel::Time;

/// The two parts of the store, each listed and watched by itself.
enum class Feed : std::uint8_t {
  kRules,      ///< Routes and zones taken out.
  kEndpoints,  ///< What endpoints say of themselves.
};
/// For logs and metrics.
const char* NameOf(Feed feed);
/// Number of feeds.
inline constexpr std::size_t kFeedCount = 2;

/// One item as it was written, or its removal.
struct Item {
  std::string key;
  std::string value;
  std::uint64_t rev = 0;  ///< Of its last change.
  bool removed = false;
};

/// How far somebody knows a feed.
struct FeedProgress {
  std::uint64_t known = 0;    ///< All changes up to here; 0: none.
  std::uint64_t changed = 0;  ///< The last of them.
};

/// What is known of one feed.
struct FeedState {
  std::map<std::string, Item> items;  ///< Removed ones too, for a while.
  std::map<std::string, Time> removed_at;
  std::uint64_t revision = 0;  ///< All changes up to here are known.
  std::uint64_t changed = 0;   ///< The last change that is known.
  /// Removals up to here were forgotten: a peer that knows less needs a list.
  std::uint64_t forgotten = 0;
};

/// All feeds.
struct Catalog {
  std::array<FeedState, kFeedCount> feeds;
};

/// How long a removal is kept to be told to peers.
inline constexpr std::chrono::seconds kRemovalsKept{60};

/// Changes of one feed, as one node tells another.
struct Changes {
  Feed feed = Feed::kRules;
  bool whole = false;  ///< A list: what it leaves out is gone.
  std::uint64_t revision = 0;
  std::vector<Item> items;
};

/// Takes in changes, from a watch, a whole list or a peer. Returns the items
/// that changed what is known, removals included. Old news change nothing.
std::vector<Item> Apply(Catalog& catalog, const Changes& changes, Time now);

/// What a peer that knows the feed up to `revision` lacks; no items and the
/// same revision when it lacks nothing.
Changes ChangesSince(const Catalog& catalog, Feed feed, std::uint64_t revision);

/// How far this node knows a feed.
FeedProgress GetFeedProgress(const Catalog& catalog, Feed feed);

/// Takes in how far a peer knows a feed. Returns true when this node lacks
/// changes that the peer has; else it knows now, too, that nothing changed
/// since.
bool ApplyPeerProgress(Catalog& catalog, Feed feed, const FeedProgress& peer);

/// Forgets removals older than `kRemovalsKept`.
void PruneTombstones(Catalog& catalog, Time now);

/// State of one feed.
FeedState& GetFeedState(Catalog& catalog, Feed feed);
/// As above.
const FeedState& GetFeedState(const Catalog& catalog, Feed feed);

}  // namespace egretladder::routing
