// The part of the platform's store that this node knows, by revision, in the
// form in which it can be passed on to peers.
//
// Nodes read the store by list and watch. A node that the store rejects gets
// the same changes from its peers in the same form. Changes are ordered by
// their revision, so that updates from two sources never move the state
// backwards. The scheme follows list and watch with resource versions, as in
// etcd's clients.
//
// A store that comes back from an older copy gives revisions out a second time.
// Each time it does, its era rises, and a complete list of the new era replaces
// all that is known of earlier ones.
#pragma once

#include <array>
#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "egretladder/kernel/time.h"

namespace egretladder::routing {

using kernel::Time;

/// The two parts of the store. Each is listed and watched separately.
enum class Feed : std::uint8_t {
  kRules,      ///< Routes and zones that are out.
  kEndpoints,  ///< Entries that endpoints publish about themselves.
};
/// Returns the feed's name in logs and metrics.
const char* NameOf(Feed feed);
/// Number of feeds.
inline constexpr std::size_t kFeedCount = 2;

/// How often the store came back from an older copy: one more than the number
/// that it states; 0: it states none.
using StoreEra = std::uint64_t;

/// One item of the store as it was written, or a tombstone for its removal.
struct Item {
  std::string key;
  std::string value;
  std::uint64_t rev = 0;  ///< Revision of the item's last change.
  bool removed = false;   ///< The item is a tombstone.
  /// Version that the writer gave the item's content; 0: none. A lower version
  /// never replaces a higher one, whatever their revisions.
  std::uint64_t version = 0;
};

/// How far a node knows a feed.
struct FeedProgress {
  /// All changes up to this revision are known; 0: none.
  std::uint64_t known = 0;
  std::uint64_t changed = 0;  ///< Revision of the last known change.
  StoreEra era = 0;           ///< Era of these revisions.
  std::uint64_t version = 0;  ///< Highest version of an item.

  bool operator==(const FeedProgress&) const = default;
};

/// What is known of one feed.
struct FeedState {
  std::map<std::string, Item> items;       ///< By key; includes tombstones.
  std::map<std::string, Time> removed_at;  ///< Tombstones: when received.
  StoreEra era = 0;                        ///< Era of all revisions below.
  bool is_restored = false;   ///< The era rose since this process began.
  std::uint64_t version = 0;  ///< Highest version of an item.
  /// Version of a peer's item that can't be read here; not fetched again.
  std::uint64_t unreadable_version = 0;
  std::uint64_t revision = 0;  ///< All changes up to this one are known.
  std::uint64_t changed = 0;   ///< Revision of the last known change.
  /// Tombstones up to this revision may be pruned: a peer that knows less needs
  /// a complete list.
  std::uint64_t pruned_revision = 0;
  /// Removals up to this revision may be unknown: a list names what is there,
  /// not what left. A peer that knows less must be told all keys.
  std::uint64_t unseen_revision = 0;
};

/// The state of all feeds.
struct Catalog {
  std::array<FeedState, kFeedCount> feeds;
};

/// How long a tombstone is kept so that peers still learn of the removal.
inline constexpr std::chrono::seconds kTombstoneRetention{60};

/// Changes of one feed, as one node sends them to another.
struct Changes {
  Feed feed = Feed::kRules;
  bool whole = false;  ///< A complete list: items missing from it are removed.
  std::uint64_t revision = 0;  ///< The feed's revision after these changes.
  std::vector<Item> items;
  StoreEra era = 0;
  /// Known items that neither `items` nor `kept_keys` names are removed,
  /// without being a complete list: the items of `kept_keys` are as they were.
  bool names_all_keys = false;
  std::vector<std::string> kept_keys;
  /// Revision of the last change, of a peer's list; 0: not known.
  std::uint64_t changed = 0;
  /// The sender's `FeedState::unseen_revision`, if all keys are named.
  std::uint64_t unseen_revision = 0;
};

/// Applies changes from a watch, a complete list or a peer. Returns the items
/// that changed the known state, including tombstones. Changes that are older
/// than the known state have no effect, except for items of a higher version.
/// Changes of a later era have none unless they are a complete list.
std::vector<Item> Apply(Catalog& catalog, const Changes& changes, Time now);

/// Returns true if the changes would replace what is known of an earlier era.
bool IsRestore(const Catalog& catalog, const Changes& changes);

/// Returns how many items of the changes are older than what is known of them.
std::size_t CountOlderItems(const Catalog& catalog, const Changes& changes);

/// Returns the changes that a peer lacks which knows the feed up to `revision`.
/// If it lacks nothing, the result has no items and the feed's revision. If it
/// may know items whose removal isn't known here, all keys are named.
Changes ChangesSince(const Catalog& catalog, Feed feed, std::uint64_t revision);

/// Returns a peer's progress with the era in which its revisions count here,
/// and without a version that can't be read here. A peer that states no era
/// counts in the current one until that has risen.
FeedProgress InterpretProgress(const Catalog& catalog, Feed feed,
                               const FeedProgress& peer);

/// Returns the revision after which this node has to fetch changes from a peer
/// with this progress; 0: it needs a complete list.
std::uint64_t FetchAfter(const Catalog& catalog, Feed feed,
                         const FeedProgress& peer);

/// Returns true if a peer with this progress has changes that a node with the
/// other one lacks.
bool HasNews(const FeedProgress& peer, const FeedProgress& own);

/// Returns how far this node knows a feed.
FeedProgress GetFeedProgress(const Catalog& catalog, Feed feed);

/// Applies a peer's progress in a feed. Returns true if the peer has changes
/// that this node lacks. If the peer knows a later revision without later
/// changes, this node's revision advances to it.
bool ApplyPeerProgress(Catalog& catalog, Feed feed, const FeedProgress& peer);

/// Drops tombstones older than `kTombstoneRetention`.
void PruneTombstones(Catalog& catalog, Time now);

/// Returns the state of one feed.
FeedState& GetFeedState(Catalog& catalog, Feed feed);
/// Returns the state of one feed.
const FeedState& GetFeedState(const Catalog& catalog, Feed feed);

}  // namespace egretladder::routing
