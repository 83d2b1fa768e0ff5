// What sending a request to an endpoint costs, term by term, in milliseconds:
// its wait for the first event, and for a tight stream its length as well.
//
// Each term is a function in one table and can be switched off by a setting, so
// that its worth can be measured on any load.
#pragma once

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

#include "egretladder/routing/endpoints.h"
#include "egretladder/routing/placement.h"

namespace egretladder::routing {

/// What a request reads before its first event, in tokens.
struct Uncached {
  double shared = 0;  ///< Parts that other requests share.
  double own = 0;
  double Sum() const { return shared + own; }
};

/// What the terms depend on.
struct CostAsk {
  const Endpoint& endpoint;
  const Demand& demand;
  const Uncached& uncached;
  const ServicePace& pace;
  const FleetSnapshot& fleet;
  bool preferred = false;  ///< By the session's hash.
  Time now{};
};

/// All terms that aren't switched off.
Costs CostsOf(const CostAsk& ask,
              const DisabledMechanisms& disabled_mechanisms);

/// The name of a mechanism as settings and logs show it.
const char* NameOf(Mechanism mechanism);
/// The mechanism of that name.
std::optional<Mechanism> FindMechanism(std::string_view name);
/// All names, separated by commas.
std::string MechanismNames();
/// The terms with their figures, `queue=3 pace=912`; for logs.
std::string Describe(const Costs& costs);

}  // namespace egretladder::routing
