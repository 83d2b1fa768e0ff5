// Keeps within the room of services whose endpoints are brittle: an endpoint
// that has to turn too many requests away in a second falls over for seconds,
// and its load then falls on the others.
//
// What counts is the sum over all nodes, and the room may shrink at any moment.
// Each node therefore has at most its part of the slots in flight there; of
// more nodes than slots, only as many as there are slots send, chosen by
// rendezvous hashing. Slots are an upper bound of the room, since memory can
// run out before. A node that is turned away halves what it has in flight, and
// sends nothing more for so long that all nodes together are turned away at
// half the tolerated rate. Gossip tells the others, which hold back for a
// moment. The bound then rises by small steps (AIMD: Chiu and Jain, "Analysis
// of the Increase and Decrease Algorithms for Congestion Avoidance").
//
// The statement is about a service: an answer of one of its endpoints counts
// for all, so that a node keeps within the room of endpoints that it hasn't
// used.
#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include "egretladder/kernel/hash.h"
#include "egretladder/routing/endpoints.h"
#include "egretladder/routing/placement.h"

namespace egretladder::routing {

/// Records that an endpoint states that its service is brittle: it tolerates
/// `tolerance` requests that it turns away in a second. Returns true if that
/// begins a brittle time or changes the tolerance.
bool OnBrittleStated(EndpointSet& set, const std::string& service,
                     std::uint32_t tolerance, Time now);
/// Returns the statement if it was made within `kBrittleFreshTime`; null: the
/// service isn't brittle.
const BrittleStatement* FindBrittle(const EndpointSet& set,
                                    const std::string& service, Time now);

/// Returns how many requests this node may have in flight at the endpoint; 0:
/// it is not among those that send there.
std::uint32_t MaxBrittleInFlight(const Endpoint& endpoint,
                                 const FleetSnapshot& fleet, Time now);
/// Returns true if this node may send one more request to the endpoint.
bool HasBrittleRoom(const Endpoint& endpoint, const FleetSnapshot& fleet,
                    Time now);
/// Records that the endpoint turned a request of this node away.
void OnBrittleRefusal(Endpoint& endpoint, const BrittleStatement& brittle,
                      const FleetSnapshot& fleet, kernel::Random& random,
                      Time now);

/// A brittle service, as nodes gossip it. It holds ages, because clocks differ.
struct BrittleGossip {
  std::string service;
  std::uint32_t tolerance = 0;
  milliseconds stated_ago{};
  /// Endpoints that turned requests of this node away of late.
  struct Refusal {
    std::string endpoint;
    milliseconds ago{};
  };
  std::vector<Refusal> refusals;
};
/// Returns the services that are brittle and `kMaxRefusalsPerExchange` refusals
/// at most of each.
std::vector<BrittleGossip> MakeBrittleGossip(const EndpointSet& set, Time now);
/// Applies gossip of a peer. Returns true if it begins a brittle time.
bool ApplyBrittleGossip(EndpointSet& set, const BrittleGossip& gossip,
                        Time now);

}  // namespace egretladder::routing
