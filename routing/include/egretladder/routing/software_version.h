// Software versions of endpoints.
//
// What two versions of an endpoint's software write into one stream doesn't fit
// together, and endpoints don't check it. A stream therefore goes on only at
// the version that began it. Versions have no order.
#pragma once

#include <cstdint>

#include "egretladder/routing/endpoints.h"

namespace egretladder::routing {

/// Returns the version of the endpoint's software. Entries without a version
/// have one in common. A malformed one is a version of that process alone.
SoftwareVersion VersionOf(const EndpointEntry& entry);

}  // namespace egretladder::routing
