// The rate at which all nodes together may send to one endpoint, and this
// node's part of it.
//
// In a fleet of many nodes, an equal part for each is less than one request in
// several seconds, and the first requests of all nodes together already exceed
// the rate. A few nodes therefore share all of it. All nodes agree on these
// senders without messages (rendezvous hashing); the others send elsewhere.
#pragma once

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "egretladder/routing/endpoints.h"
#include "egretladder/routing/placement.h"

namespace egretladder::routing {

/// Why an endpoint's rate is limited.
enum class RateReason : std::uint8_t {
  kCold,     ///< It can take few requests until it is warm.
  kLimited,  ///< It advertises a limit.
};

/// A rate limit that all nodes share.
struct SharedRate {
  double per_second = 0;    ///< Requests a second of all nodes together.
  std::size_t senders = 1;  ///< Maximum number of nodes that send.
  RateReason reason = RateReason::kCold;
  /// When the turns begin. First turns are spread over one interval after it;
  /// the default is in the distant past.
  Time since{};
};

/// Returns the rate limit that holds for the endpoint now; nullopt: none.
std::optional<SharedRate> FindSharedRate(const Endpoint& endpoint,
                                         const Service& service, Time now);

/// Returns true if this node is one of the `senders` nodes that may send to the
/// endpoint (rendezvous hashing over the nodes that it knows). `others` of them
/// are taken for nodes that it doesn't know.
bool IsAmongSenders(const Endpoint& endpoint, std::size_t senders,
                    std::size_t others, const FleetSnapshot& fleet);
/// Returns when the last of the lost nodes that would be senders before this
/// one was taken for gone; default: none was.
Time PredecessorLostAt(const Endpoint& endpoint, std::size_t senders,
                       const FleetSnapshot& fleet);
/// Returns the names of these nodes, as this one knows them.
std::vector<std::string> FindSenders(const Endpoint& endpoint,
                                     std::size_t senders,
                                     const FleetSnapshot& fleet);

/// Returns true if this node is among those that share the rate.
bool IsSender(const Endpoint& endpoint, const SharedRate& rate,
              const FleetSnapshot& fleet);

/// Returns when this node may next send to the endpoint, provided that it is
/// one of the senders.
Time NextTurnTime(const Endpoint& endpoint, const SharedRate& rate,
                  const FleetSnapshot& fleet);

}  // namespace egretladder::routing
