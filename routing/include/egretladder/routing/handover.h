// Chooses the peer to which a node hands a request over.
//
// A node that lost its links to a service is still reached by callers and
// peers. A peer that reaches the service can serve the request; refused, the
// caller would have lost its first attempt, and often returns to a node that is
// cut off as well. Which peers reach the service is known from gossip, and from
// those that declined a handover, which is faster. If no peer reaches it, the
// endpoints themselves are down, and the request stays here.
//
// The load to carry is that of up to all nodes but one. Two peers are drawn at
// random, and the one with fewer handovers of this node in progress is chosen
// (Mitzenmacher, "The Power of Two Choices"); own zone first, within bounds.
#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <utility>
#include <vector>

#include "egretladder/kernel/hash.h"
#include "egretladder/routing/members.h"

namespace egretladder::routing {

/// A node that may serve a request of this one.
struct HandoverPeer {
  std::string node;
  std::string address;  ///< `IP:port`.
};

/// What this node knows of its handovers.
struct Handovers {
  std::map<std::string, std::uint32_t> in_flight;  ///< By peer.
  /// When a peer last declined a service.
  std::map<std::pair<std::string, ServiceBits>, Time> declined_at;
};

/// Why a node makes an attempt through a peer instead of an endpoint.
enum class HandoverReason : std::uint8_t {
  kNone,        ///< It makes the attempt itself.
  kLost,        ///< It lost its links to the service.
  kAllDown,     ///< None of the service's endpoints accepts its connections.
  kNotSent,     ///< Connections of this request failed in a row.
  kUnanswered,  ///< Neither this request nor any since its start was answered.
  kOtherSenders,  ///< Only other nodes may send to the endpoints that are left.
};
/// Returns the reason's name in logs.
const char* NameOf(HandoverReason reason);

/// What the decision depends on.
struct HandoverInput {
  bool may_reach = true;       ///< `TryReach` of the service.
  bool is_all_down = false;    ///< The placement found all endpoints down.
  std::uint32_t not_sent = 0;  ///< Attempts of the request without a byte sent.
  /// Attempts of the request that timed out without an answer.
  std::uint32_t unanswered = 0;
  bool is_failing = false;  ///< `IsFailing` of the service.
  /// The placement found only endpoints to which other nodes send.
  bool is_for_other_senders = false;
};
/// Decides whether the next attempt of a request is to be handed over.
HandoverReason DecideHandover(const HandoverInput& input);

/// Chooses a peer that reaches the service, without those in `tried`; nullopt:
/// there is none. Peers in other regions get nothing: homes of routes and
/// accounts bind the whole way of a request.
std::optional<HandoverPeer> ChooseHandoverPeer(
    const Members& members, const Handovers& handovers, ServiceBits service,
    const std::vector<std::string>& tried, kernel::Random& random, Time now);

/// Chooses the peer with the fewest handovers of this node in progress among
/// `senders`, which send to a brittle endpoint; otherwise as above.
std::optional<HandoverPeer> ChooseSenderPeer(
    const Members& members, const Handovers& handovers, ServiceBits service,
    const std::vector<std::string>& tried,
    const std::vector<std::string>& senders, Time now);

/// Records that a handover to the peer began.
void OnHandoverBegan(Handovers& handovers, const std::string& peer);
/// Records that a handover to the peer ended.
void OnHandoverEnded(Handovers& handovers, const std::string& peer);
/// Records that the peer declined to serve the service.
void OnHandoverDeclined(Handovers& handovers, const std::string& peer,
                        ServiceBits service, Time now);

}  // namespace egretladder::routing
