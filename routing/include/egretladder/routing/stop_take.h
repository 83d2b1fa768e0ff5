// What a request that meets a node that stops is expected to take.
#pragma once

#include "egretladder/routing/endpoints.h"
#include "egretladder/routing/place.h"

namespace egretladder::routing {

/// Expected time to the whole answer at the endpoint that was found.
milliseconds ExpectedWhole(const EndpointSet& set, const Demand& demand,
                           const Placement& placement);

}  // namespace egretladder::routing
