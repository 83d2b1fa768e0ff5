// The state shared by all nodes: members, rules in force, slots of endpoints,
// quarantine, engine orders. One state machine without I/O that maps (state,
// event, now) to actions. Its parts have their own headers; this one combines
// them.
#pragma once

#include <chrono>
#include <cstdint>
#include <memory>
#include <string>
#include <variant>
#include <vector>

#include "egretladder/fleet/messages.h"
#include "egretladder/fleet/orders.h"
#include "egretladder/kernel/time.h"
#include "egretladder/policy/scheduler.h"
#include "egretladder/rules/rules.h"

namespace egretladder::fleet {

using kernel::Time;
using rules::EndpointHandle;
using rules::TargetHandle;

/// A node's own properties at start, from its settings.
struct FleetOptions {
  std::string node;
  std::string caller_address;
  std::string peer_address;
  std::string zone;
  std::uint64_t incarnation = 0;  ///< Random number.
  std::uint64_t started = 0;      ///< Unix time in seconds.
  /// Peer addresses to contact first; may be empty.
  std::vector<std::string> seeds;
  std::uint64_t random_seed = 1;
};

/// Send a message to one peer. It may be lost; everything that matters is sent
/// again.
struct SendMessage {
  std::string peer_address;
  Message message;
  /// The message answers the one just received and goes to its sender, so a
  /// driver may send it on the same connection.
  bool reply = false;
};
/// Read the published rules. A watch waits until the version is above
/// `known_version`.
struct ReadRulesDocument {
  std::uint64_t known_version = 0;
  bool watch = false;
};
/// Read the platform's VM list; the answer goes to `OnVmList`.
struct ReadVmList {};
/// Ask an endpoint for its report; the answer goes to `OnReport`.
struct ReadReport {
  EndpointHandle endpoint;
};
/// A version of the rules came into force.
struct RulesInForce {
  rules::RulesPtr rules;
};
/// A document from the platform or a peer was refused; the version in force
/// stays.
struct RulesRefused {
  std::uint64_t version = 0;
  std::string why;
};
/// The number of slots that this node may use at an endpoint changed.
struct SlotsChanged {
  EndpointHandle endpoint;
  std::uint32_t slots = 0;  ///< Slots of this node.
  policy::SlotReason reason = policy::SlotReason::kUnchanged;
};
/// An endpoint became available or unavailable for new work.
struct AvailabilityChanged {
  EndpointHandle endpoint;
  bool available = false;
};
/// A report reached this node, directly or from the keeper.
struct ReportReceived {
  EndpointHandle endpoint;
  policy::EngineReport report;
};
/// A request body with this fingerprint must not be sent to any endpoint for
/// the duration `left`.
struct QuarantineAdded {
  std::uint64_t fingerprint = 0;
  std::chrono::milliseconds left{};
};

/// Send an order to an engine. `fencing` increases with the rules' version.
struct OrderEngine {
  EndpointHandle endpoint;
  OrderKind kind = OrderKind::kLoad;
  TargetHandle target;
  std::uint64_t fencing = 0;
};

/// An action that the driver of the state machine carries out.
using Action =
    std::variant<SendMessage, ReadRulesDocument, ReadVmList, ReadReport,
                 RulesInForce, RulesRefused, SlotsChanged, AvailabilityChanged,
                 ReportReceived, QuarantineAdded, OrderEngine>;
/// Actions in the order in which they must be carried out.
using Actions = std::vector<Action>;

/// One VM of the platform's list, which may be out of date.
struct VmEntry {
  std::string name;  ///< Name of a node or an endpoint.
  bool leaving = false;
};

/// Figures for `/status`.
struct FleetView {
  std::uint64_t rules_version = 0;
  std::uint64_t rules_digest = 0;
  std::chrono::milliseconds rules_in_force_for{};
  std::uint64_t refused_version = 0;
  std::string refused_why;
  std::vector<Member> members;
  std::uint32_t keeper_of = 0;  ///< Number of endpoints that this node keeps.
};

struct FleetState;
/// Deleter that lets `FleetPtr` own an incomplete type.
struct FleetDelete {
  void operator()(FleetState* state) const;
};
/// Owns one node's state of the fleet.
using FleetPtr = std::unique_ptr<FleetState, FleetDelete>;

/// Creates the state of a node that has no rules in force. The node asks its
/// seeds and the platform for them.
FleetPtr StartFleet(const FleetOptions& options, Time now, Actions& out);

/// Handles everything that is due by time. Call it at least every
/// `kFleetTickInterval`.
void OnTick(FleetState& state, Time now, Actions& out);
/// Handles a message from a peer. Gossip and slot requests from a process that
/// was replaced are ignored.
void OnMessage(FleetState& state, const Sender& from, const Message& message,
               Time now, Actions& out);
/// Handles the platform's answer to `ReadRulesDocument`. Null: the document
/// could not be read. Empty text: there is no version above `known_version` (a
/// watch ended with 304).
void OnRulesDocument(FleetState& state, const std::string* text, Time now,
                     Actions& out);
/// Handles the platform's answer to `ReadVmList`. Null: the list could not be
/// read.
void OnVmList(FleetState& state, const std::vector<VmEntry>* vms, Time now,
              Actions& out);
/// Handles an endpoint's answer to `ReadReport`. Null: the report could not be
/// read.
void OnReport(FleetState& state, EndpointHandle endpoint,
              const policy::EngineReport* report, Time now, Actions& out);
/// Records this node's evidence and demand at an endpoint. Call it for each
/// endpoint with work right before `OnTick`: the slot requests sent there must
/// include every call that has begun.
void OnEvidence(FleetState& state, EndpointHandle endpoint,
                const policy::SlotEvidence& evidence, const SlotDemand& demand,
                Time now);
/// Handles the death of an endpoint on which request bodies with these
/// fingerprints were running.
void OnEndpointDied(FleetState& state, EndpointHandle endpoint,
                    const std::vector<std::uint64_t>& running, Time now,
                    Actions& out);
/// Clears the suspicion against a body that was answered.
void ClearSuspect(FleetState& state, std::uint64_t fingerprint);
/// Returns true if an endpoint died while running this body; see
/// policy/poison.h.
bool IsSuspect(const FleetState& state, std::uint64_t fingerprint, Time now);
/// Begins a graceful leave: tells the peers and stops keeping endpoints.
void Leave(FleetState& state, Time now, Actions& out);

/// Returns the rules in force; null before the first version.
rules::RulesPtr RulesOf(const FleetState& state);
/// Returns false if `OnTick` has not run for `kPauseThreshold`: the process was
/// paused, and its knowledge of unavailable zones and leaving endpoints may be
/// outdated. It stays false until a tick and an exchange with a peer or the
/// platform have passed. Nothing may be sent meanwhile. It is also false if the
/// process was replaced, or has heard from neither peers nor the platform
/// recently.
bool KnowledgeIsFresh(const FleetState& state, Time now);
/// Returns a snapshot for `/status`. It copies all members, so don't call it
/// for each request.
FleetView ViewOf(const FleetState& state, Time now);

/// Returns at most `max_nodes` nodes that a caller may use, best first: live
/// ones before suspects, and nodes of `zone` before others. Leaving and gone
/// nodes are omitted. Source of `GET /where`.
std::vector<Member> Where(const FleetState& state, std::string_view zone,
                          std::size_t max_nodes, Time now);

/// Maximum interval between two calls of `OnTick`.
inline constexpr std::chrono::milliseconds kFleetTickInterval{50};

}  // namespace egretladder::fleet
