// One node without I/O: the life of a call from arrival to answer, over
// `policy` and `fleet`. Sockets drive it in `gateway`; a scenario with a paused
// clock, or an outside test driver, drives it the same way (docs/DRIVING.md).
#pragma once

#include <chrono>
#include <cstdint>
#include <memory>
#include <string>
#include <variant>
#include <vector>

#include "egretladder/fleet/fleet.h"
#include "egretladder/fleet/lane.h"
#include "egretladder/policy/retry.h"
#include "egretladder/policy/scheduler.h"

namespace egretladder::node {

using kernel::Time;
using rules::EndpointHandle;

/// Numbers one caller's call within a node's life.
using CallId = std::uint64_t;

/// What a node is started with, from its settings.
struct NodeOptions {
  fleet::FleetOptions fleet;
  std::string scheduler{policy::kDefaultScheduler};
  std::string lane_secret;
};

/// A call as a caller sent it. Names are checked against the rules in force.
struct Call {
  CallId id = 0;
  std::string account;
  std::string cls;
  std::string target;      ///< Model or service.
  std::string lane;        ///< As sent; empty: none.
  std::string key;         ///< The caller's own; empty: none.
  bool forwarded = false;  ///< Another node passed it here; never passed on.
  std::uint64_t body_hash = 0;
  std::uint64_t prefix = 0;
  std::uint32_t prompt_tokens = 0;
  std::uint32_t max_tokens = 0;
  std::chrono::milliseconds timeout{};  ///< The caller's own; 0: none.
};

/// What is certain about a call that gets no answer of an endpoint.
enum class Ran : std::uint8_t { kNo, kUnknown };

/// Stable codes of error answers.
enum class AnswerCode : std::uint8_t {
  kUnknownAccount,
  kUnknownClass,
  kClassNotAllowed,
  kUnknownTarget,
  kLaneMissing,
  kLaneInvalid,
  kLaneExpired,
  kKeyReused,   ///< The key came before with another body.
  kOverloaded,  ///< Refused by the scheduler; see `refuse_reason`.
  kQuarantined,
  kNoEndpoint,
  kEndpointFailed,
  kOwnerUnreachable,
  kTimeout,
  kNotReady,  ///< No rules in force yet.
  kLeaving,
  kOutcomeUnknown,  ///< The key was sent before and its answer was lost.
};

/// The code as error answers and logs show it.
const char* NameOf(AnswerCode code);
/// The word as error answers show it.
const char* NameOf(Ran ran);
/// The HTTP status that goes with a code.
int StatusOf(AnswerCode code);

/// Send the call to an endpoint now. The driver asks `MaySend` right before the
/// first byte leaves.
struct SendCall {
  CallId call = 0;
  std::uint8_t attempt = 1;
  EndpointHandle endpoint;
  std::string address;
  std::uint8_t engine_priority = 0;
  bool keep_answer = false;  ///< Hand the whole answer to `OnAnswer`.
};
/// Stop the call at its endpoint; nothing more of it reaches the caller unless
/// it is sent again.
struct CancelCall {
  CallId call = 0;
  std::uint8_t attempt = 1;
};
/// Tell the caller that it gets no answer, and whether its call ran.
struct AnswerError {
  CallId call = 0;
  AnswerCode code = AnswerCode::kOverloaded;
  Ran ran = Ran::kUnknown;
  std::string detail;
  std::chrono::milliseconds retry_after{};  ///< 0: none.
};
/// Give the caller an answer that another call of the same key got.
struct AnswerStored {
  CallId call = 0;
  std::shared_ptr<const fleet::StoredAnswer> answer;
};
/// Pass the call to the node that owns its lane.
struct ForwardCall {
  CallId call = 0;
  std::string caller_address;  ///< Of that node.
};
/// A routing or placement decision, for the log.
struct Decision {
  const char* kind = "";  ///< `dispatch`, `refuse`, `retry`, `order`, ...
  CallId call = 0;
  std::string cls;
  std::string account;
  std::uint8_t tier = 0;
  std::string endpoint;
  std::string zone;
  const char* reason = "";
  std::chrono::milliseconds waited{};
};

/// What the driver of a node does for it; see each.
using Action =
    std::variant<SendCall, CancelCall, AnswerError, AnswerStored, ForwardCall,
                 Decision, fleet::SendMessage, fleet::ReadRulesDocument,
                 fleet::ReadVmList, fleet::ReadReport, fleet::OrderEngine,
                 fleet::RulesInForce, fleet::RulesRefused>;
/// In the order in which they are to be carried out.
using Actions = std::vector<Action>;

struct NodeState;
/// Lets `NodePtr` own a type that only the sources know.
struct NodeDelete {
  void operator()(NodeState* state) const;
};
/// Owns one node.
using NodePtr = std::unique_ptr<NodeState, NodeDelete>;

/// Fails when no scheduler has the name given.
kernel::Result<NodePtr> StartNode(const NodeOptions& options, Time now,
                                  Actions& out);

/// Call every `kNodeTick` or more often.
void OnTick(NodeState& state, Time now, Actions& out);

/// A caller's call came in whole. Its end is put into `out`, now or later.
void OnCall(NodeState& state, const Call& call, Time now, Actions& out);
/// The caller went away: its work is cancelled.
void OnCallerGone(NodeState& state, CallId call, Time now, Actions& out);

/// True when the attempt may still be sent, on the clock as it is now. Asked
/// right before the first byte, so that a process which was paused since the
/// decision sends nothing old. False: the driver drops it; the node has already
/// put answers into `out`.
bool MaySend(NodeState& state, CallId call, std::uint8_t attempt, Time now,
             Actions& out);
/// The endpoint's answer began: its first token or byte.
void OnFirstToken(NodeState& state, CallId call, std::uint8_t attempt,
                  Time now);
/// `count` more tokens of the answer came from the endpoint.
void OnTokens(NodeState& state, CallId call, std::uint8_t attempt,
              std::uint32_t count, Time now);
/// The answer is complete. `answer` is given when `SendCall::keep_answer` was.
void OnAnswer(NodeState& state, CallId call, std::uint8_t attempt,
              std::shared_ptr<const fleet::StoredAnswer> answer, Time now,
              Actions& out);
/// The attempt ended without a complete answer. `detail` names step and peer.
/// `kNotRun` before `MaySend` was asked says that there was no connection: the
/// endpoint counts as down. `kCancelled` says that the driver dropped it.
void OnFailure(NodeState& state, CallId call, std::uint8_t attempt,
               policy::EndKind end, const std::string& detail, Time now,
               Actions& out);
/// The owner of the lane answered a forwarded call (the driver relays it), or
/// could not be reached. `sent`: bytes of the call may have reached it.
void OnForwarded(NodeState& state, CallId call, bool answered, bool sent,
                 Time now, Actions& out);

/// The four below go on to the fleet: see fleet/fleet.h for their errors.
void OnMessage(NodeState& state, const fleet::Sender& from,
               const fleet::Message& message, Time now, Actions& out);
/// The platform's answer to `ReadRulesDocument`.
void OnRulesDocument(NodeState& state, const std::string* text, Time now,
                     Actions& out);
/// The platform's answer to `ReadVmList`.
void OnVmList(NodeState& state, const std::vector<fleet::VmEntry>* vms,
              Time now, Actions& out);
/// An endpoint's answer to `ReadReport`.
void OnReport(NodeState& state, EndpointHandle endpoint,
              const policy::EngineReport* report, Time now, Actions& out);

/// Ends all calls in progress, each as truthfully as its state allows: the
/// process ends before they would.
void EndCalls(NodeState& state, Time now, Actions& out);

/// Begins a graceful leave: out of `/where` at once, new calls get `kLeaving`,
/// calls in progress end in their own time.
void Leave(NodeState& state, Time now, Actions& out);
/// True when no call is in progress.
bool IsIdle(const NodeState& state);

/// The answer to `GET /where`.
struct WhereAnswer {
  std::vector<std::string> addresses;  ///< Best first.
  std::chrono::milliseconds keep_for{};
  std::string lane;  ///< Empty while the node leaves.
  /// The node that owns the lane: a call sent there needs no passing on.
  std::string lane_address;
};
/// Answers a caller in `zone`, with a new lane when the node is ready.
WhereAnswer Where(NodeState& state, std::string_view zone, Time now);

/// Numbers for `/status`, `/readyz` and tests.
struct NodeView {
  bool ready = false;  ///< Rules in force, not leaving.
  bool leaving = false;
  fleet::FleetView fleet;
  policy::SchedulerView scheduler;
  fleet::LanesView lanes;
  std::size_t calls = 0;
};
/// Counts and copies; not for every call.
NodeView ViewOf(const NodeState& state, Time now);
/// The rules in force; null before the first version.
rules::RulesPtr RulesOf(const NodeState& state);

/// Longest pause between two calls of `OnTick`.
inline constexpr std::chrono::milliseconds kNodeTick{10};

}  // namespace egretladder::node
