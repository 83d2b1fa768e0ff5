// Shared between the encoding of lanes and the key table.
#pragma once

#include <string>

#include "egretladder/fleet/lane.h"

namespace egretladder::fleet {

/// Returns the encoded fields of a lane that its signature covers, besides the
/// node's name.
std::string LaneFields(const Lane& lane);

}  // namespace egretladder::fleet
