// What the nodes know together: members, rules in force, slots of endpoints,
// quarantine, engine orders. One state machine without I/O: (state, event, now)
// to actions. The parts have headers of their own; this one puts them together.
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

/// What a node knows of itself at start, from its settings.
struct FleetOptions {
  std::string node;
  std::string caller_address;
  std::string peer_address;
  std::string zone;
  std::uint64_t incarnation = 0;  ///< Random.
  std::uint64_t started = 0;      ///< Seconds since 1970.
  std::vector<std::string>
      seeds;  ///< Peer addresses to ask first; may be empty.
  std::uint64_t random_seed = 1;
};

/// A message to one peer. It may be lost: what matters is sent again.
struct SendMessage {
  std::string peer_address;
  Message message;
  /// Answers the message just taken, to its sender: a driver may send it back
  /// the way that one came.
  bool reply = false;
};
/// Read the published rules. A watch waits until the version is above `known`.
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
/// A version came into force.
struct RulesInForce {
  rules::RulesPtr rules;
};
/// A published or offered document was refused; the version in force stays.
struct RulesRefused {
  std::uint64_t version = 0;
  std::string why;
};
/// This node may have another number of calls in flight at an endpoint.
struct SlotsChanged {
  EndpointHandle endpoint;
  std::uint32_t slots = 0;  ///< Of this node.
  policy::SlotReason reason = policy::SlotReason::kUnchanged;
};
/// An endpoint began or ceased to take new work.
struct AvailabilityChanged {
  EndpointHandle endpoint;
  bool available = false;
};
/// A report that reached this node, directly or from the keeper.
struct ReportReceived {
  EndpointHandle endpoint;
  policy::EngineReport report;
};
/// A body gets no endpoint until `left` from now.
struct QuarantineAdded {
  std::uint64_t fingerprint = 0;
  std::chrono::milliseconds left{};
};

/// An order to an engine. `fencing` rises with the rules' version.
struct OrderEngine {
  EndpointHandle endpoint;
  OrderKind kind = OrderKind::kLoad;
  TargetHandle target;
  std::uint64_t fencing = 0;
};

/// What the driver of a fleet does for it; see each.
using Action =
    std::variant<SendMessage, ReadRulesDocument, ReadVmList, ReadReport,
                 RulesInForce, RulesRefused, SlotsChanged, AvailabilityChanged,
                 ReportReceived, QuarantineAdded, OrderEngine>;
/// In the order in which they are to be carried out.
using Actions = std::vector<Action>;

/// One VM of the platform's list, which lags behind reality.
struct VmEntry {
  std::string name;  ///< A node's or an endpoint's.
  bool leaving = false;
};

/// Numbers for `/status`.
struct FleetView {
  std::uint64_t rules_version = 0;
  std::uint64_t rules_digest = 0;
  std::chrono::milliseconds rules_in_force_for{};
  std::uint64_t refused_version = 0;
  std::string refused_why;
  std::vector<Member> members;
  std::uint32_t keeper_of = 0;  ///< Endpoints.
};

struct FleetState;
/// Lets `FleetPtr` own a type that only the sources know.
struct FleetDelete {
  void operator()(FleetState* state) const;
};
/// Owns the state of one node's part in the fleet.
using FleetPtr = std::unique_ptr<FleetState, FleetDelete>;

/// Starts a node without rules in force: it asks its seeds and the platform.
FleetPtr StartFleet(const FleetOptions& options, Time now, Actions& out);

/// Call at `kFleetTick` or more often; drives every period and lapse.
void OnTick(FleetState& state, Time now, Actions& out);
/// Takes a message of a peer. One from a process that was replaced is ignored.
void OnMessage(FleetState& state, const Sender& from, const Message& message,
               Time now, Actions& out);
/// The platform's answer to `ReadRulesDocument`. Null text: it could not be
/// read. Empty text: nothing above `known_version` (a watch ended with 304).
void OnRulesDocument(FleetState& state, const std::string* text, Time now,
                     Actions& out);
/// The platform's answer to `ReadVmList`. Null: it could not be read.
void OnVmList(FleetState& state, const std::vector<VmEntry>* vms, Time now,
              Actions& out);
/// An endpoint's answer to `ReadReport`. Null: it could not be read.
void OnReport(FleetState& state, EndpointHandle endpoint,
              const policy::EngineReport* report, Time now, Actions& out);
/// What this node saw of answers and of its load at an endpoint. Call it for
/// each endpoint with work right before `OnTick`: the asks that go out there
/// must not leave out a call that has begun.
void OnEvidence(FleetState& state, EndpointHandle endpoint,
                const policy::SlotEvidence& evidence, const SlotDemand& demand,
                Time now);
/// An endpoint died while bodies with these fingerprints ran on it.
void OnEndpointDied(FleetState& state, EndpointHandle endpoint,
                    const std::vector<std::uint64_t>& running, Time now,
                    Actions& out);
/// A body with this fingerprint got its answer: it is no longer a suspect.
void ClearSuspect(FleetState& state, std::uint64_t fingerprint);
/// True when an endpoint died under this body; see policy/poison.h.
bool IsSuspect(const FleetState& state, std::uint64_t fingerprint, Time now);
/// Begins a graceful leave: peers are told, keeper duties end.
void Leave(FleetState& state, Time now, Actions& out);

/// The rules in force; null before the first version.
rules::RulesPtr RulesOf(const FleetState& state);
/// False when `OnTick` has not run for `kFreshFor`: the process was paused, and
/// what it knows of zones out and leaving endpoints may be old. Then nothing is
/// sent until a tick and an exchange with a peer or the platform have passed.
bool KnowledgeIsFresh(const FleetState& state, Time now);
/// Counts and copies; not for every call.
FleetView ViewOf(const FleetState& state, Time now);

/// Nodes a caller may use, best first, own zone of `zone` first; leaving and
/// gone ones are left out. Source of `GET /where`.
std::vector<Member> Where(const FleetState& state, std::string_view zone,
                          std::size_t most, Time now);

/// Longest pause between two calls of `OnTick`.
inline constexpr std::chrono::milliseconds kFleetTickInterval{50};

}  // namespace egretladder::fleet
