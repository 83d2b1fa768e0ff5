#include "egretladder/routing/stop_take.h"

#include <algorithm>
#include <cmath>

namespace egretladder::routing {

milliseconds ExpectedWhole(const EndpointSet& set, const Demand& demand,
                           const Placement& placement) {
  double ms = placement.expected_ms;
  if (placement.endpoint != nullptr && demand.events > 1) {
    const Endpoint& endpoint = *placement.endpoint;
    const double running = endpoint.in_flight + endpoint.others_in_flight;
    ms += (demand.events - 1) *
          EventMs(endpoint.pace, PaceOf(set, demand.service->name), running);
  }
  return milliseconds(std::llround(std::max(ms, 0.0)));
}

}  // namespace egretladder::routing
