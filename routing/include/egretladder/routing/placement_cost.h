// The cost of sending a request to an endpoint, term by term, in milliseconds:
// the wait for its first event, and for a tight stream also its duration.
//
// Each term is a function in one table. A setting switches each of them off, so
// that its benefit can be measured on any load.
#pragma once

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

#include "egretladder/routing/endpoints.h"
#include "egretladder/routing/placement.h"

namespace egretladder::routing {

/// Prompt tokens that an endpoint prefills before the request's first event.
struct UncachedTokens {
  double shared = 0;  ///< In parts that other requests share.
  double own = 0;     ///< In the request's own part.
  /// Returns all tokens that are prefilled.
  double Total() const { return shared + own; }
};

/// What the cost terms depend on.
struct CostInput {
  const Endpoint& endpoint;
  const Demand& demand;
  const UncachedTokens& uncached;
  const ServicePace& pace;
  const FleetSnapshot& fleet;
  bool preferred = false;  ///< The session prefers the endpoint by its hash.
  Time now{};
};

/// Returns the costs of all mechanisms that aren't switched off.
PlacementCosts ComputeCosts(const CostInput& input,
                            const DisabledMechanisms& disabled_mechanisms);

/// Returns the mechanism's name in settings and logs.
const char* NameOf(Mechanism mechanism);
/// Returns the mechanism of that name; nullopt if there is none.
std::optional<Mechanism> FindMechanism(std::string_view name);
/// Returns the names of all mechanisms, separated by commas.
std::string MechanismNames();
/// Formats the terms that aren't 0 for logs, for example `queue=3 pace=912`.
std::string Describe(const PlacementCosts& costs);

}  // namespace egretladder::routing
