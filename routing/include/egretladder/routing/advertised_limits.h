// Rate limits that endpoints advertise in their answers: requests a second that
// they accept from all nodes together. How nodes share them is in
// shared_rate.h.
//
// Only a few nodes send to such an endpoint. The others learn from them by
// gossip whether a limit still holds, has changed or has ended.
#pragma once

#include <optional>
#include <string>
#include <vector>

#include "egretladder/kernel/hash.h"
#include "egretladder/routing/endpoints.h"

namespace egretladder::routing {

/// A limit, as nodes gossip it.
struct LimitGossip {
  std::string endpoint;
  double per_second = 0;          ///< Requests a second; 0: the limit ended.
  milliseconds advertised_ago{};  ///< Age of the endpoint's last statement.
};

/// Applies the limit that an answer advertises, nullopt if it advertises none.
/// Returns true if the endpoint's limit began, ended or changed by more than
/// `kMinLoggedLimitChangeRatio`.
bool OnAdvertisedLimit(EndpointSet& set, Endpoint& endpoint,
                       std::optional<double> per_second, Time now);

/// Applies a limit from a peer, unless this node knows a later one. Returns
/// true if the limit began, ended or changed by more than
/// `kMinLoggedLimitChangeRatio`.
bool ApplyLimitGossip(EndpointSet& set, const LimitGossip& gossip, Time now);

/// Returns the limits to send to a peer: those advertised within
/// `kLimitFreshTime` and those that ended within it. If there are more than
/// `kMaxLimitsPerExchange`, the result is a random selection.
std::vector<LimitGossip> MakeLimitGossip(EndpointSet& set,
                                         kernel::Random& random, Time now);

}  // namespace egretladder::routing
