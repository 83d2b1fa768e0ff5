// Limits that endpoints name in their answers: requests a second that they take
// from all nodes together. How nodes share them is in shared_rate.h.
//
// Few nodes send to such an endpoint. The others hear from these that a limit
// still holds, changed or ended.
#pragma once

#include <optional>
#include <string>
#include <vector>

#include "egretladder/kernel/hash.h"
#include "egretladder/routing/endpoints.h"

namespace egretladder::routing {

/// What one node tells another of a limit.
struct LimitGossip {
  std::string endpoint;
  double per_second = 0;  ///< 0: it ended.
  milliseconds advertised_ago{};
};

/// Takes the limit that an answer names, nothing if it names none. Returns true
/// when the endpoint's limit began, ended or changed by more than
/// `kLimitChange`.
bool OnAdvertisedLimit(EndpointSet& set, Endpoint& endpoint,
                       std::optional<double> per_second, Time now);

/// Takes what a peer told; what this node heard later stays. Returns the same.
bool ApplyLimitGossip(EndpointSet& set, const LimitGossip& told, Time now);

/// What to tell a peer: limits heard of lately, and those that ended.
std::vector<LimitGossip> MakeLimitGossip(EndpointSet& set,
                                         kernel::Random& random, Time now);

}  // namespace egretladder::routing
