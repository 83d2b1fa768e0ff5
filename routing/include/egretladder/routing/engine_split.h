// Splits the engines of a service between tight streams and long prompts.
//
// An engine prefills a long prompt in parts between the tokens of the streams
// beside it, and each part makes a step three times as long. An event of nine
// tokens then comes 150 ms after the one before, instead of 40 ms. Where
// streams promise less than that, both kinds of request are in time on separate
// engines only. Where they promise more, the engines aren't split: prompts have
// all of them, and sessions needn't move with the boundary. The pauses that
// streams show beside long prompts decide it (prompt_pauses.h).
//
// All nodes derive the same split without asking each other. Engines are
// ordered by the hash of their names, and the first ones serve tight streams:
// as large a fraction of the engines as tight streams have of the demand. The
// demand is the time that engines spend on the requests that this node and its
// peers place: an engine with many slots runs a stream beside many others, and
// one that no longer has a shared part cached prefills it again. The boundary
// follows a burst of either kind within seconds and moves one engine at a time.
#pragma once

#include <vector>

#include "egretladder/kernel/time.h"
#include "egretladder/routing/endpoints.h"
#include "egretladder/routing/placement.h"

namespace egretladder::routing {

/// Number of engines that each kind of request keeps busy, averaged over the
/// last seconds.
struct SplitDemand {
  double tight = 0;  ///< Tight streams.
  double rest = 0;   ///< Long prompts.
};

/// Measures the demand of the requests that one node places.
struct SplitDemandMeter {
  SplitDemand demand;  ///< Demand at `at`.
  Time at{};
};

/// Adds a request that is about to be sent to the demand: the engine's time for
/// prefilling what it hasn't cached, and the stream's part of a full batch
/// there. A request that is neither a tight stream nor a long prompt isn't
/// counted. A stream is tight if it promises about what `pauses` says or less.
void OnRequestPlaced(SplitDemandMeter& meter, const Demand& demand,
                     const Placement& placement, const PauseEstimate& pauses,
                     Time now);

/// Returns the demand at `now`.
SplitDemand CurrentDemand(const SplitDemandMeter& meter, Time now);

/// The mean demand per node, on which the nodes agree by gossip.
///
/// In each exchange both nodes take the mean of their values, and each node
/// moves its own value slowly towards the demand that it measures (Jelasity and
/// others, "Gossip-Based Aggregation in Large Dynamic Networks"). If each node
/// used only its own measurement, the boundaries would differ by a fifth, and
/// the engines between them would get both kinds of request.
struct FleetDemand {
  SplitDemand mean;
  bool known = false;  ///< `mean` is set.
  Time updated_at{};   ///< Last `FollowMeasuredDemand`; default: never.
};

/// Averages this node's value with a peer's.
void MergePeerDemand(FleetDemand& fleet, const SplitDemand& peer);
/// Moves the value towards the demand measured at this node. Called at each
/// exchange.
void FollowMeasuredDemand(FleetDemand& fleet, const SplitDemandMeter& meter,
                          Time now);

/// Returns the fraction of the engines that serves tight streams.
double TightFraction(const SplitDemand& mean);

/// Returns true for a prompt that is prefilled in several parts.
bool IsLongPrompt(const Demand& demand);

/// Returns true for a stream with a short prompt that long prompts beside it
/// would delay beyond its promise.
bool AvoidsLongPrompts(const EndpointSet& set, const Demand& demand);

/// Splits the engines by the fleet's demand, or ends the split if this node has
/// placed no stream lately that avoids long prompts. Called at each exchange.
void UpdateSplit(EndpointSet& set, const FleetDemand& fleet, Time now);

/// Returns true if the endpoint takes long prompts.
bool TakesLongPrompts(const EndpointSet& set, const Endpoint& endpoint);

/// Drops the endpoints on the other side of the split, unless none is left. All
/// endpoints serve demands that neither avoid long prompts nor have one.
void KeepDemandSide(const EndpointSet& set, const Demand& demand,
                    std::vector<EndpointPtr>& endpoints);

}  // namespace egretladder::routing
