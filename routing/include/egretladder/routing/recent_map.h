// A map that remembers recent entries, bounded in number and time.
#pragma once

#include <cstddef>
#include <cstdint>
#include <unordered_map>
#include <utility>

#include "egretladder/kernel/time.h"

namespace egretladder::routing {

/// The bounds of a `RecentMap`. Between one and two times of both is
/// remembered.
struct RecentMapBounds {
  std::size_t entries = 0;
  kernel::Time::duration age{};
};

/// Entries by hash, in two halves: the newer one replaces the older one when it
/// is full or old. Thus nothing needs to be sorted by time.
template <typename Value>
struct RecentMap {
  std::unordered_map<std::uint64_t, Value> newer;
  std::unordered_map<std::uint64_t, Value> older;
  kernel::Time newer_since{};  ///< Default: no entry was added yet.
};

/// Drops what is beyond the bounds.
template <typename Value>
void Expire(RecentMap<Value>& map, const RecentMapBounds& bounds,
            kernel::Time now) {
  const bool is_full = map.newer.size() >= bounds.entries;
  if (!is_full && now - map.newer_since < bounds.age) return;
  map.older = std::exchange(map.newer, {});
  map.newer_since = now;
}

/// Adds or replaces an entry.
template <typename Value>
void Put(RecentMap<Value>& map, const RecentMapBounds& bounds,
         std::uint64_t key, const Value& value, kernel::Time now) {
  Expire(map, bounds, now);
  map.newer[key] = value;
}

/// Returns the entry; null: it isn't remembered.
template <typename Value>
const Value* Find(const RecentMap<Value>& map, std::uint64_t key) {
  for (const auto* half : {&map.newer, &map.older}) {
    const auto at = half->find(key);
    if (at != half->end()) return &at->second;
  }
  return nullptr;
}

}  // namespace egretladder::routing
