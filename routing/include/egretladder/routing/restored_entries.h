// What a store that was restored from an older copy says of endpoints and
// zones, and what of it counts.
//
// The copy may say that an endpoint serves which was told to be leaving or gone
// since, or that a zone is in service which was taken out. What this node was
// told holds until the writer says something newer: an endpoint's own entries
// are ordered by its start and their number, and operators write again what the
// copy lacks, which takes them a moment.
#pragma once

#include <string>
#include <vector>

#include "egretladder/routing/endpoints.h"

namespace egretladder::routing {

/// Returns true if `entry` was written no later than `known`, an entry of the
/// same id.
bool IsNoNewer(const EndpointEntry& entry, const EndpointEntry& known);

/// Applies an entry that a restored store lists. Unlike with
/// `OnEntryPublished`, it changes nothing if what is known of the endpoint is
/// as new.
EntryChange OnRestoredEntry(EndpointSet& set, const EndpointEntry& entry,
                            Time now);

/// Applies what a restored store says of a zone that this node knew: a change
/// is deferred by `kRestoredZoneDelay`, unless a later one comes first.
void OnRestoredZone(EndpointSet& set, const std::string& zone, bool is_out,
                    Time now);

/// Applies the deferred changes that are due. Returns their zones.
std::vector<std::string> ApplyDueZoneChanges(EndpointSet& set, Time now);

}  // namespace egretladder::routing
