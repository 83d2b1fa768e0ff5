#include "egretladder/routing/restored_entries.h"

namespace egretladder::routing {
namespace {

EntryChange Confirm(EndpointSet& set, Endpoint& known) {
  if (known.phase != EndpointPhase::kLapsed) return EntryChange::kNone;
  SetPhase(set, known, EndpointPhase::kServing);
  return EntryChange::kChanged;
}

}  // namespace

bool IsNoNewer(const EndpointEntry& entry, const EndpointEntry& known) {
  if (IsSameProcess(entry, known)) return entry.sequence <= known.sequence;
  return entry.started_unix_ms != 0 &&
         entry.started_unix_ms < known.started_unix_ms;
}

EntryChange OnRestoredEntry(EndpointSet& set, const EndpointEntry& entry,
                            Time now) {
  const auto known = set.by_id.find(entry.id);
  if (known != set.by_id.end()) {
    return IsNoNewer(entry, known->second->entry)
               ? Confirm(set, *known->second)
               : OnEntryPublished(set, entry, now);
  }
  const auto removed = set.removed_endpoints.find(entry.id);
  if (removed != set.removed_endpoints.end() &&
      IsNoNewer(entry, removed->second.entry)) {
    return EntryChange::kNone;
  }
  return OnEntryPublished(set, entry, now);
}

void OnRestoredZone(EndpointSet& set, const std::string& zone, bool is_out,
                    Time now) {
  if (IsZoneOut(set, zone) == is_out) {
    set.deferred_zone_changes.erase(zone);
  } else {
    set.deferred_zone_changes[zone] = {is_out, now + kRestoredZoneDelay};
  }
}

std::vector<std::string> ApplyDueZoneChanges(EndpointSet& set, Time now) {
  std::vector<std::string> zones;
  for (const auto& [zone, change] : set.deferred_zone_changes) {
    if (change.due_at <= now) zones.push_back(zone);
  }
  for (const std::string& zone : zones)
    SetZoneOut(set, zone, set.deferred_zone_changes.at(zone).is_out);
  return zones;
}

}  // namespace egretladder::routing
