// Keeps within the room of services whose endpoints are brittle: an endpoint
// that has to turn too many requests away in a second falls over for seconds,
// and its load then falls on the others.
//
// What counts is the sum over all nodes, and the room may shrink at any moment.
// Few nodes therefore send to one endpoint, often a single one, chosen by
// rendezvous hashing; the others hand their requests over to these. Whatever
// the room is, what all senders together may be turned away in a second is
// bounded: a request that may still be turned away counts as if it were, and a
// refusal counts for a second. Half of the tolerance is used, so that a node
// that takes over may send beside one that doesn't know of it yet. Where the
// tolerance is one, the successor waits until the other one must know.
//
// Within that bound, a sender has no more in flight than its part of the slots,
// so that requests wait at nodes, by rank. A refusal shows how much room there
// is; the bound then rises, slowly at first and faster later, as a large room
// would (Ha, Rhee and Xu, "CUBIC"). Gossip tells the other senders.
//
// The statement is about a service: an answer of one of its endpoints counts
// for all, so that a node keeps within the room of endpoints that it hasn't
// used.
#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include "egretladder/routing/endpoints.h"
#include "egretladder/routing/placement.h"

namespace egretladder::routing {

/// How long a statement that a service is brittle holds. Its endpoints repeat
/// it in each answer.
inline constexpr milliseconds kBrittleFreshTime{3000};
/// The same while no answer comes that doesn't state it: all endpoints may be
/// down or closed.
inline constexpr milliseconds kBrittleUnansweredTime{15'000};
/// Part of the tolerated refusals that nodes of one view of the fleet may
/// cause. Around a partition there are two views.
inline constexpr double kBrittleToleranceRatio = 0.5;
/// Refusals a second that one sender may cause, if the tolerance allows. With
/// one, a refusal closes the endpoint for the rest of the second.
inline constexpr std::size_t kRefusalsPerBrittleSender = 2;
/// Upper bound of the refusals a second that one sender may cause.
inline constexpr std::size_t kMaxRefusalsPerBrittleSender = 8;
/// How long a refusal counts: the second in which endpoints count them, and the
/// differences between the ways of messages.
inline constexpr milliseconds kBrittleRefusalWindow{1100};
/// Bounds of the time after which a request that wasn't turned away counts as
/// accepted.
inline constexpr milliseconds kMinBrittleConfirmTime{10};
inline constexpr milliseconds kMaxBrittleConfirmTime{500};
/// That time, as a multiple of how long the endpoint's last refusal took.
inline constexpr int kBrittleConfirmFactor = 2;
/// What a node that was turned away may have in flight, as a part of what it
/// had, if others send there too.
inline constexpr double kBrittleRefusalRatio = 0.5;
/// The same for a node that hears of another one's refusal.
inline constexpr double kBrittleNewsRatio = 0.75;
/// Growth of that bound, times the square of the seconds since the refusal: the
/// room is tried seldom at first, and a large one is found soon.
inline constexpr double kBrittleGrowth = 0.06;
/// A node that knows no more than one in so many nodes of the fleet sends
/// nothing to brittle endpoints: no more than two parts of a partitioned fleet
/// do.
inline constexpr std::size_t kMinKnownFleetDivisor = 3;
/// A sender whose tolerance isn't enough for two waits for so long after it
/// took over from another node, or lost touch with the fleet: the other one
/// must know by then that it is no sender any more.
inline constexpr milliseconds kBrittleTakeoverTime{2000};
/// How long a refusal is gossiped.
inline constexpr milliseconds kBrittleNewsTime{800};
/// Ages in gossip grow by the transfer time of the message: refusals that
/// differ by less count as the same.
inline constexpr milliseconds kSameRefusalWindow{100};
/// Refusals sent in one exchange for each brittle service, about 40 bytes each.
inline constexpr std::size_t kMaxRefusalsPerExchange = 16;
/// Statements about services that are kept at most.
inline constexpr std::size_t kMaxBrittleServices = 256;
/// Upper bound of the tolerance that is believed.
inline constexpr std::uint32_t kMaxBrittleTolerance = 1'000'000;

/// Records that an endpoint states that its service is brittle: it tolerates
/// `tolerance` requests that it turns away in a second. Returns true if that
/// begins a brittle time or changes the tolerance.
bool OnBrittleStated(EndpointSet& set, const std::string& service,
                     std::uint32_t tolerance, Time now);
/// Records an answer of one of its endpoints that doesn't state it.
void OnBrittleNotStated(EndpointSet& set, const std::string& service, Time now);
/// Returns the statement if it was made within `kBrittleFreshTime`, or within
/// `kBrittleUnansweredTime` and no answer since came without it; null: the
/// service isn't brittle.
const BrittleStatement* FindBrittle(const EndpointSet& set,
                                    const std::string& service, Time now);

/// How the nodes share an endpoint's tolerance.
struct BrittleShare {
  std::size_t senders = 1;   ///< Nodes that send to it.
  std::size_t refusals = 1;  ///< That each of them may cause in a second.
};
/// Returns how an endpoint's tolerance is shared.
BrittleShare ShareOf(const BrittleStatement& brittle, const Endpoint& endpoint);

/// Returns false if this node must not send to the endpoint, whatever its room:
/// the service is brittle, and another node may be its sender.
bool IsSureSender(const EndpointSet& set, const Endpoint& endpoint,
                  const FleetSnapshot& fleet, Time now);

/// Whether this node may send one more request to an endpoint.
enum class BrittleVerdict : std::uint8_t {
  kRoom,
  kFull,
  kOtherSenders,  ///< It is not among those that send there.
};
/// Returns whether this node may send one more request to the endpoint.
BrittleVerdict CheckBrittleRoom(const EndpointSet& set,
                                const Endpoint& endpoint,
                                const BrittleStatement& brittle,
                                const FleetSnapshot& fleet, Time now);
/// Returns false if a request that was placed at the endpoint before must not
/// be sent there now, as others were turned away meanwhile.
bool MaySendToBrittle(const EndpointSet& set, const Endpoint& endpoint,
                      const BrittleStatement& brittle, Time now);
/// Returns how many requests this node may have in flight at the endpoint; 0:
/// it is not among those that send there.
std::uint32_t MaxBrittleInFlight(const Endpoint& endpoint,
                                 const BrittleStatement& brittle,
                                 const FleetSnapshot& fleet, Time now);
/// Returns the names of the nodes that send to the endpoint.
std::vector<std::string> FindBrittleSenders(const Endpoint& endpoint,
                                            const BrittleStatement& brittle,
                                            const FleetSnapshot& fleet);
/// Returns how long after its first byte a request of which the body took
/// `transfer_time` counts as accepted, if it wasn't turned away.
milliseconds ConfirmTime(const EndpointSet& set, const Endpoint& endpoint,
                         milliseconds transfer_time);
/// Records that the endpoint turned a request of this node away, `took` after
/// its first byte was sent.
void OnBrittleRefusal(EndpointSet& set, Endpoint& endpoint,
                      const BrittleStatement& brittle, milliseconds took,
                      Time now);

/// Records that this node gives up on an attempt that got no byte. If it may
/// still be turned away, it counts as a refusal, since nobody will say so.
void OnBrittleGivenUp(EndpointSet& set, Endpoint& endpoint,
                      std::uint64_t attempt, Time now);

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
