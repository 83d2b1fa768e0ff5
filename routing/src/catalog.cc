#include "egretladder/routing/catalog.h"

#include <algorithm>
#include <set>

namespace egretladder::routing {
namespace {

// True when it is news.
bool Take(FeedState& feed, const Item& item, Time now) {
  const auto at = feed.items.find(item.key);
  if (at != feed.items.end() && at->second.rev >= item.rev) return false;
  if (at == feed.items.end() && item.removed) {
    // Never known here; kept all the same, so that an older write of it that
    // comes later is not believed.
    feed.items.emplace(item.key, item);
    feed.removed_at[item.key] = now;
    return false;
  }
  const bool was_there = at != feed.items.end() && !at->second.removed;
  feed.items[item.key] = item;
  if (item.removed) {
    feed.removed_at[item.key] = now;
    return was_there;
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
  std::vector<Item> news;
  for (const Item& item : changes.items) {
    feed.changed = std::max(feed.changed, item.rev);
    if (Take(feed, item, now)) news.push_back(item);
  }
  if (changes.whole) {
    std::set<std::string_view> named;
    for (const Item& item : changes.items) named.insert(item.key);
    std::vector<Item> gone;
    for (const auto& [key, item] : feed.items) {
      if (item.removed || item.rev > changes.revision || named.contains(key)) {
        continue;
      }
      gone.push_back({key, {}, changes.revision, true});
    }
    for (const Item& item : gone) {
      feed.changed = std::max(feed.changed, item.rev);
      feed.items[item.key] = item;
      feed.removed_at[item.key] = now;
      news.push_back(item);
    }
  }
  feed.revision = std::max(feed.revision, changes.revision);
  return news;
}

Changes ChangesSince(const Catalog& catalog, Feed feed,
                     std::uint64_t revision) {
  const FeedState& state = GetFeedState(catalog, feed);
  Changes changes;
  changes.feed = feed;
  changes.revision = state.revision;
  if (revision >= state.revision) return changes;
  changes.whole = revision < state.forgotten || revision == 0;
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
      if (now - entry.second < kRemovalsKept) return false;
      const auto at = feed.items.find(entry.first);
      feed.forgotten = std::max(feed.forgotten, at->second.rev);
      feed.items.erase(at);
      return true;
    });
  }
}

}  // namespace egretladder::routing
