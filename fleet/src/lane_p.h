// Shared between the text form of lanes and their table.
#pragma once

#include <string>

#include "egretladder/fleet/lane.h"

namespace egretladder::fleet {

/// The part of a lane that its signature covers, besides the node's name.
std::string LaneFields(const Lane& lane);

}  // namespace egretladder::fleet
