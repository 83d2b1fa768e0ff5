// Selection of an endpoint among those with a free slot.
//
// A few endpoints are sampled and the least loaded of them is taken
// (Mitzenmacher, "The Power of Two Choices"): the cost does not grow with the
// fleet, and nodes that act on the same outdated reports don't all choose the
// same endpoint. An endpoint that has the prompt's prefix cached takes
// precedence while its load is not far above the mean (Mirrokni et al.,
// "Consistent Hashing with Bounded Loads").
#pragma once

#include <cstdint>
#include <vector>

#include "egretladder/kernel/time.h"
#include "egretladder/policy/limits.h"
#include "egretladder/policy/scheduler.h"

namespace egretladder::policy {

/// What is known about an endpoint's load.
struct EndpointLoad {
  std::uint32_t slots = 0;      ///< Of this node.
  std::uint32_t in_flight = 0;  ///< Requests of this node.
  std::uint32_t max_in_flight =
      1;  ///< Maximum in flight when warm, by the rules.
  std::uint32_t reported_load = 0;  ///< Requests running or waiting there, of
                                    ///< all nodes.
  std::uint32_t own_in_flight_at_report = 0;  ///< Of this node, when the report
                                              ///< arrived.
  Time reported_at{};         ///< Default: no report has arrived.
  bool same_zone = false;     ///< In the node's own zone.
  bool runs_suspect = false;  ///< Runs a request that may crash it (poison.h).
};

/// Returns the expected load of an endpoint; lower is better. It is the sum of
/// this node's requests in flight over its slots and of the other nodes' load
/// in the last report, whose weight halves with each `report_half_life`.
double LoadScore(const EndpointLoad& load, const Limits& limits, Time now);

/// Returns true when the endpoint has room for one more prompt whose prefix it
/// has cached. `mean_load` is the mean of requests in flight over slots.
bool HasPrefixCapacity(const EndpointLoad& load, double mean_load,
                       const Limits& limits);

/// Consistent-hash ring of one target's endpoints, by the hash of their names.
/// It is the same on every node, and few prefixes move when an endpoint comes
/// or goes.
struct PrefixRing {
  struct Point {
    std::uint64_t hash = 0;
    EndpointHandle endpoint;
  };
  std::vector<Point> points;
};

PrefixRing BuildPrefixRing(const rules::Rules& rules,
                           const std::vector<EndpointHandle>& servers);

/// Writes the first `max_owners` distinct endpoints for `prefix` to `out`, or
/// fewer if the ring has fewer. O(log n).
void FindPrefixOwners(const PrefixRing& ring, std::uint64_t prefix,
                      std::uint32_t max_owners,
                      std::vector<EndpointHandle>& out);

}  // namespace egretladder::policy
