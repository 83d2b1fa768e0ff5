// Learns how long the events of streams pause beside long prompts.
//
// An engine prefills a long prompt in parts between the tokens of the streams
// beside it. How long their events then pause depends on the engine, on the
// number of tokens in an event and on the load, and changes within a day. All
// streams at engines that take long prompts show it, those of the long prompts
// included. No probe is needed, and nothing has to be set.
#pragma once

#include <chrono>

#include "egretladder/routing/limits.h"
#include "egretladder/routing/pace.h"

namespace egretladder::routing {

/// The interval between two events that one in `1 / kLongPauseShare` intervals
/// exceeds beside long prompts.
///
/// Each node moves its value with each interval that it sees, and in each
/// exchange both nodes take the mean of their values. So nodes that see few
/// streams have the same value as the others.
struct PauseEstimate {
  double ms = 0;  ///< 0: unknown.
};

/// Moves the estimate with an interval between two events at an engine that
/// takes long prompts. Engines that are much slower than the others of their
/// service don't count: their pauses have another cause.
void OnIntervalBesidePrompts(
    PauseEstimate& estimate, const EnginePace& engine,
    const ServicePace& service,
    std::chrono::duration<double, std::milli> interval);

/// Averages the estimate with that of a peer; 0: the peer has none. Values that
/// no engine can cause are ignored.
void MergePeerPauses(PauseEstimate& estimate, double peer_ms);

/// Returns true if a stream with this promise often pauses longer than promised
/// beside long prompts, but not without them.
bool PausesTooLong(const PauseEstimate& estimate, const ServicePace& service,
                   milliseconds gap_target);

}  // namespace egretladder::routing
