// Where work goes, among endpoints with a free slot.
//
// A few endpoints are drawn and the best is taken (Mitzenmacher, "The Power of
// Two Choices"): cost does not grow with the fleet, and nodes that act on the
// same old reports don't all run to the same endpoint. A cached prefix goes
// before that, while its endpoint holds no more than its part (Mirrokni et al.,
// "Consistent Hashing with Bounded Loads").
#pragma once

#include <cstdint>
#include <vector>

#include "egretladder/kernel/time.h"
#include "egretladder/policy/limits.h"
#include "egretladder/policy/scheduler.h"

namespace egretladder::policy {

/// What a choice is made by.
struct EndpointLoad {
  std::uint32_t slots = 0;  ///< This node's.
  std::uint32_t in_flight = 0;
  std::uint32_t max_in_flight = 1;  ///< From the rules.
  std::uint32_t reported_load = 0;  ///< Running and waiting, all nodes.
  std::uint32_t own_at_report = 0;  ///< This node's in flight back then.
  Time reported_at{};               ///< Default: no report.
  bool near = false;                ///< In the node's own zone.
  bool beside_suspect = false;      ///< See poison.h.
};

/// Expected load of an endpoint, smaller is better: own requests in flight over
/// own slots, and what others had there by the last report, which counts less
/// the older it is.
double ScoreOf(const EndpointLoad& load, const Limits& limits, Time now);

/// True when the endpoint may take a prompt for its prefix, `mean` being the
/// mean of in flight over slots.
bool TakesPrefix(const EndpointLoad& load, double mean, const Limits& limits);

/// Endpoints of one target on a ring by the hash of their names; the same on
/// every node, and little moves when one comes or goes.
struct PrefixRing {
  struct Point {
    std::uint64_t hash = 0;
    EndpointHandle endpoint;
  };
  std::vector<Point> points;
};

PrefixRing MakeRing(const rules::Rules& rules,
                    const std::vector<EndpointHandle>& servers);

/// The first `homes` different endpoints for `prefix`; fewer when there are
/// fewer. O(log n).
void HomesOf(const PrefixRing& ring, std::uint64_t prefix, std::uint32_t homes,
             std::vector<EndpointHandle>& out);

}  // namespace egretladder::policy
