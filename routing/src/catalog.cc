#include "egretladder/routing/catalog.h"

#include <algorithm>
#include <iterator>
#include <set>

namespace egretladder::routing {
namespace {

// Applies one item. Returns true if it changes the known state.
bool ApplyItem(FeedState& feed, const Item& item, Time now) {
  const auto at = feed.items.find(item.key);
  if (at != feed.items.end() && item.version < at->second.version) {
    at->second.rev = std::max(at->second.rev, item.rev);
    return false;
  }
  const bool has_newer_version =
      at != feed.items.end() && item.version > at->second.version;
  if (at != feed.items.end() && at->second.rev >= item.rev &&
      !has_newer_version) {
    return false;
  }
  if (at == feed.items.end() && item.removed) {
    // The tombstone of an unknown item is kept as well, so that an older write
    // that arrives later is ignored.
    feed.items.emplace(item.key, item);
    feed.removed_at[item.key] = now;
    return false;
  }
  const bool was_known = at != feed.items.end() && !at->second.removed;
  const std::uint64_t rev =
      at != feed.items.end() ? std::max(at->second.rev, item.rev) : item.rev;
  feed.version = std::max(feed.version, item.version);
  Item& known = feed.items[item.key];
  known = item;
  known.rev = rev;
  if (item.removed) {
    feed.removed_at[item.key] = now;
    return was_known;
  }
  feed.removed_at.erase(item.key);
  return true;
}

// Applies the items of another era that are ordered by their own version.
std::vector<Item> ApplyVersions(FeedState& feed, const Changes& changes,
                                Time now) {
  std::vector<Item> changed_items;
  for (const Item& item : changes.items) {
    const auto at = feed.items.find(item.key);
    const std::uint64_t known_version =
        at != feed.items.end() ? at->second.version : 0;
    if (item.version <= known_version) continue;
    Item current = item;
    current.rev = at != feed.items.end() ? at->second.rev : feed.revision;
    if (ApplyItem(feed, current, now)) changed_items.push_back(current);
  }
  return changed_items;
}

// Removes the items that a list of all items or keys doesn't name. Items with a
// version stay: another version has to replace them.
std::vector<Item> RemoveMissing(FeedState& feed, const Changes& changes,
                                Time now) {
  std::set<std::string_view> listed_keys;
  for (const Item& item : changes.items) listed_keys.insert(item.key);
  listed_keys.insert(changes.kept_keys.begin(), changes.kept_keys.end());
  std::vector<Item> removed_items;
  for (const auto& [key, item] : feed.items) {
    if (item.removed || item.rev > changes.revision || item.version > 0 ||
        listed_keys.contains(key)) {
      continue;
    }
    removed_items.push_back({key, {}, changes.revision, true});
  }
  for (const Item& item : removed_items) {
    feed.changed = std::max(feed.changed, item.rev);
    feed.items[item.key] = item;
    feed.removed_at[item.key] = now;
  }
  return removed_items;
}

// Keeps in mind that a list doesn't name what was removed since `known`. Peers
// may know such items, and nothing that is kept here tells them of the removal.
void NoteUnseenRemovals(FeedState& feed, const Changes& changes,
                        std::uint64_t known) {
  const std::uint64_t unseen =
      changes.names_all_keys ? changes.unseen_revision : changes.revision;
  if (known >= unseen) return;
  feed.unseen_revision = std::max(feed.unseen_revision, unseen);
  const std::uint64_t changed = changes.changed > 0 ? changes.changed : unseen;
  feed.changed = std::max(feed.changed, changed);
}

// Begins a new era: what is known is older than anything that the list says.
void ForgetRevisions(FeedState& feed, const Changes& list) {
  std::erase_if(feed.items,
                [](const auto& entry) { return entry.second.removed; });
  feed.removed_at.clear();
  for (auto& [key, item] : feed.items) item.rev = 0;
  feed.is_restored = feed.is_restored || (feed.era > 0 && feed.revision > 0);
  feed.era = list.era;
  feed.revision = 0;
  feed.changed = 0;
  feed.unseen_revision = 0;
  // Peers that read an earlier list of this era may know items that this one
  // no longer has.
  feed.pruned_revision = list.revision;
}

StoreEra InterpretEra(const FeedState& feed, StoreEra era) {
  return era == 0 && !feed.is_restored ? feed.era : era;
}

// Returns true if the item says what is known already.
bool IsKnown(const FeedState& feed, const Item& item) {
  const auto at = feed.items.find(item.key);
  return at != feed.items.end() && at->second.removed == item.removed &&
         at->second.value == item.value;
}

}  // namespace

const char* NameOf(Feed feed) {
  return feed == Feed::kRules ? "rules" : "endpoints";
}

FeedState& GetFeedState(Catalog& catalog, Feed feed) {
  return catalog.feeds[static_cast<std::size_t>(feed)];
}

const FeedState& GetFeedState(const Catalog& catalog, Feed feed) {
  return catalog.feeds[static_cast<std::size_t>(feed)];
}

bool IsRestore(const Catalog& catalog, const Changes& changes) {
  const FeedState& feed = GetFeedState(catalog, changes.feed);
  return changes.whole && changes.era > feed.era && feed.revision > 0;
}

std::vector<Item> Apply(Catalog& catalog, const Changes& changes, Time now) {
  FeedState& feed = GetFeedState(catalog, changes.feed);
  const StoreEra era = InterpretEra(feed, changes.era);
  if (era < feed.era || (era > feed.era && !changes.whole))
    return ApplyVersions(feed, changes, now);
  std::set<std::string> unchanged_keys;
  if (era > feed.era) {
    for (const Item& item : changes.items) {
      if (IsKnown(feed, item)) unchanged_keys.insert(item.key);
    }
    ForgetRevisions(feed, changes);
  }
  std::vector<Item> changed_items;
  for (const Item& item : changes.items) {
    feed.changed = std::max(feed.changed, item.rev);
    if (ApplyItem(feed, item, now) && !unchanged_keys.contains(item.key))
      changed_items.push_back(item);
  }
  if (changes.whole || changes.names_all_keys) {
    NoteUnseenRemovals(feed, changes, feed.revision);
    auto removed_items = RemoveMissing(feed, changes, now);
    std::move(removed_items.begin(), removed_items.end(),
              std::back_inserter(changed_items));
  }
  feed.revision = std::max(feed.revision, changes.revision);
  return changed_items;
}

std::size_t CountOlderItems(const Catalog& catalog, const Changes& changes) {
  const FeedState& feed = GetFeedState(catalog, changes.feed);
  const StoreEra era = InterpretEra(feed, changes.era);
  if (era != feed.era) return era < feed.era ? changes.items.size() : 0;
  const auto is_older = [&feed](const Item& item) {
    const auto at = feed.items.find(item.key);
    return at != feed.items.end() && at->second.rev > item.rev;
  };
  return static_cast<std::size_t>(
      std::count_if(changes.items.begin(), changes.items.end(), is_older));
}

Changes ChangesSince(const Catalog& catalog, Feed feed,
                     std::uint64_t revision) {
  const FeedState& state = GetFeedState(catalog, feed);
  Changes changes;
  changes.feed = feed;
  changes.revision = state.revision;
  changes.era = state.era;
  if (revision >= state.revision) return changes;
  changes.whole = revision < state.pruned_revision || revision == 0;
  changes.names_all_keys = !changes.whole && revision < state.unseen_revision;
  if (changes.whole || changes.names_all_keys) {
    changes.changed = state.changed;
    changes.unseen_revision = state.unseen_revision;
  }
  for (const auto& [key, item] : state.items) {
    if (changes.whole ? !item.removed : item.rev > revision) {
      changes.items.push_back(item);
    } else if (changes.names_all_keys && !item.removed) {
      changes.kept_keys.push_back(key);
    }
  }
  return changes;
}

std::uint64_t FetchAfter(const Catalog& catalog, Feed feed,
                         const FeedProgress& peer) {
  const FeedProgress own = GetFeedProgress(catalog, feed);
  if (peer.era != own.era) return 0;
  // A newer version among changes that are known is one that the store lost.
  const bool lacks_lost_version =
      peer.version > own.version && peer.changed <= own.known;
  return lacks_lost_version ? 0 : own.known;
}

bool HasNews(const FeedProgress& peer, const FeedProgress& own) {
  if (peer.version > own.version) return true;
  if (peer.era != own.era) return peer.era > own.era;
  return peer.known > own.known && (own.known == 0 || peer.changed > own.known);
}

FeedProgress GetFeedProgress(const Catalog& catalog, Feed feed) {
  const FeedState& state = GetFeedState(catalog, feed);
  return {state.revision, state.changed, state.era, state.version};
}

FeedProgress InterpretProgress(const Catalog& catalog, Feed feed,
                               const FeedProgress& peer) {
  FeedProgress progress = peer;
  const FeedState& state = GetFeedState(catalog, feed);
  progress.era = InterpretEra(state, peer.era);
  if (peer.version <= state.unreadable_version)
    progress.version = std::min(peer.version, state.version);
  return progress;
}

bool ApplyPeerProgress(Catalog& catalog, Feed feed, const FeedProgress& peer) {
  if (HasNews(peer, GetFeedProgress(catalog, feed))) return true;
  FeedState& state = GetFeedState(catalog, feed);
  if (peer.era == state.era)
    state.revision = std::max(state.revision, peer.known);
  return false;
}

void PruneTombstones(Catalog& catalog, Time now) {
  for (FeedState& feed : catalog.feeds) {
    std::erase_if(feed.removed_at, [&feed, now](const auto& entry) {
      if (now - entry.second < kTombstoneRetention) return false;
      const auto at = feed.items.find(entry.first);
      feed.pruned_revision = std::max(feed.pruned_revision, at->second.rev);
      feed.items.erase(at);
      return true;
    });
  }
}

}  // namespace egretladder::routing
