// The rate that all nodes together may send to one endpoint, and this node's
// part of it.
//
// Load: many nodes that each carry a little of the traffic. An equal part each
// is less than one request in seconds, and their first requests together exceed
// the rate. So a few nodes hold all of it, on which all agree without messages
// (rendezvous hash), and the others send elsewhere.
#pragma once

#include <cstddef>
#include <cstdint>
#include <optional>

#include "egretladder/routing/endpoints.h"
#include "egretladder/routing/placement.h"

namespace egretladder::routing {

/// What bounds an endpoint's requests.
enum class RateReason : std::uint8_t {
  kCold,     ///< It bears few requests until it is warm.
  kLimited,  ///< It names a limit.
};

/// A rate that all nodes share.
struct SharedRate {
  double per_second = 0;
  std::size_t senders = 1;  ///< Nodes that share it at most.
  RateReason reason = RateReason::kCold;
  /// Turns begin then, spread over the first pause; default: long ago.
  Time since{};
};

/// The rate at which the endpoint may be sent to now; nothing: no bound.
std::optional<SharedRate> SharedRateOf(const Endpoint& endpoint,
                                       const Service& service, Time now);

/// True when this node is among those that share the rate.
bool IsSender(const Endpoint& endpoint, const SharedRate& rate,
              const FleetSnapshot& fleet);

/// When one of those may send there next.
Time NextTurn(const Endpoint& endpoint, const SharedRate& rate,
              const FleetSnapshot& fleet);

}  // namespace egretladder::routing
