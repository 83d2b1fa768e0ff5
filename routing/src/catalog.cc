#include "egretladder/routing/catalog.h"

#include <algorithm>
#include <set>

namespace egretladder::routing {
namespace {

// Applies one item. Returns true if it changes the known state.
bool ApplyItem(FeedState& feed, const Item& item, Time now) {
  const auto at = feed.items.find(item.key);
  if (at != feed.items.end() && at->second.rev >= item.rev) return false;
  if (at == feed.items.end() && item.removed) {
    // The tombstone of an unknown item is kept as well, so that an older write
    // that arrives later is ignored.
    feed.items.emplace(item.key, item);
    feed.removed_at[item.key] = now;
    return false;
  }
  const bool was_known = at != feed.items.end() && !at->second.removed;
  feed.items[item.key] = item;
  if (item.removed) {
    feed.removed_at[item.key] = now;
    return was_known;
  }
  feed.removed_at.erase(item.key);
  return true;
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

std::vector<Item> Apply(Catalog& catalog, const Changes& changes, Time now) {
  FeedState& feed = GetFeedState(catalog, changes.feed);
  std::vector<Item> changed_items;
  for (const Item& item : changes.items) {
    feed.changed = std::max(feed.changed, item.rev);
    if (ApplyItem(feed, item, now)) changed_items.push_back(item);
  }
  if (changes.whole) {
    std::set<std::string_view> listed_keys;
    for (const Item& item : changes.items) listed_keys.insert(item.key);
    std::vector<Item> removed_items;
    for (const auto& [key, item] : feed.items) {
      if (item.removed || item.rev > changes.revision ||
          listed_keys.contains(key)) {
        continue;
      }
      removed_items.push_back({key, {}, changes.revision, true});
    }
    for (const Item& item : removed_items) {
      feed.changed = std::max(feed.changed, item.rev);
      feed.items[item.key] = item;
      feed.removed_at[item.key] = now;
      changed_items.push_back(item);
    }
  }
  feed.revision = std::max(feed.revision, changes.revision);
  return changed_items;
}

std::size_t CountOlderItems(const Catalog& catalog, const Changes& changes) {
  const FeedState& feed = GetFeedState(catalog, changes.feed);
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
  if (revision >= state.revision) return changes;
  changes.whole = revision < state.pruned_revision || revision == 0;
  for (const auto& [key, item] : state.items) {
    if (changes.whole ? !item.removed : item.rev > revision) {
      changes.items.push_back(item);
    }
  }
  return changes;
}

FeedProgress GetFeedProgress(const Catalog& catalog, Feed feed) {
  const FeedState& state = GetFeedState(catalog, feed);
  return {state.revision, state.changed};
}

bool ApplyPeerProgress(Catalog& catalog, Feed feed, const FeedProgress& peer) {
  FeedState& state = GetFeedState(catalog, feed);
  if (peer.known <= state.revision) return false;
  if (state.revision == 0 || peer.changed > state.revision) return true;
  state.revision = peer.known;
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
