// Keeps long prompts and tight streams at engines of their own.
//
// Load: long prompts among streams whose events may not pause. An engine reads
// a prompt in parts between the tokens of the streams beside it, and each part
// makes a step three times as long: an event of nine tokens then comes 150 ms
// after the one before, in place of 40. Kept apart, both are in time.
//
// All nodes reach the same division without asking each other: engines stand in
// the order of a hash of their names, and the first ones, as many as the demand
// for tight streams takes of the whole, are theirs. The demand is what engines
// do for the requests that this node and its peers place: an engine with many
// slots runs a stream beside many others, and one that lost a shared part reads
// it anew. The boundary follows a burst of either kind within seconds and moves
// one engine at a time.
#pragma once

#include "egretladder/kernel/time.h"
#include "egretladder/routing/endpoints.h"
#include "egretladder/routing/placement.h"

namespace egretladder::routing {

/// Engines that the requests of each side keep busy, as a mean of the last
/// seconds.
struct SideDemand {
  double tight = 0;  ///< Streams that must not pause.
  double rest = 0;   ///< Long prompts.
};

/// Measures the demand that one node sees.
struct SplitDemandMeter {
  SideDemand demand;  ///< As of `at`.
  Time at{};
};

/// A request is about to be sent where it was placed. What the engine will read
/// of it counts, with shared parts that it doesn't hold, and its stream's part
/// of a full batch there. Requests of neither side don't count.
void OnRequestPlaced(SplitDemandMeter& meter, const Demand& demand,
                     const Placement& placement, Time now);

/// The demand as of now.
SideDemand DemandOf(const SplitDemandMeter& meter, Time now);

/// What nodes agree on of the mean demand of one node.
///
/// Each exchange takes the mean of both sides' figures, and each node
/// feed_fetches its own slowly towards the demand that it measures (averaging
/// by gossip: Jelasity and others, "Gossip-Based Aggregation in Large Dynamic
/// Networks"). Nodes that each went by a measurement of their own would set
/// boundaries that differ by a fifth, and the engines between them would get
/// both kinds.
struct FleetDemand {
  SideDemand mean;
  bool known = false;
  Time pulled{};
};

/// A peer told its figure.
void MergePeerDemand(FleetDemand& agreed, const SideDemand& told);
/// FeedFetches the figure towards the demand measured here; call at each
/// exchange.
void FollowMeasuredDemand(FleetDemand& agreed, const SplitDemandMeter& meter,
                          Time now);

/// The part of the engines that is for tight streams.
double TightFraction(const SideDemand& mean);

/// True for a prompt that is read in several parts.
bool IsLongPrompt(const Demand& demand);

/// Whether the endpoint is on the demand's side; true for demands of neither.
bool IsOnItsSide(const Endpoint& endpoint, const Demand& demand,
                 double tight_fraction);

}  // namespace egretladder::routing
