// A node's logic without I/O: it takes each call from its arrival to its answer
// on top of `policy` and `fleet`. In `gateway` it is driven by sockets;
// scenarios with a manual clock and external test drivers drive it in the same
// way (docs/DRIVING.md).
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

/// Identifies a call within one run of the node's process.
using CallId = std::uint64_t;

/// Options of a node, from its settings.
struct NodeOptions {
  fleet::FleetOptions fleet;
  std::string scheduler{policy::kDefaultScheduler};
  std::string lane_secret;
};

/// A call as its caller sent it. The node checks the names in it against the
/// rules in force.
struct Call {
  CallId id = 0;
  std::string account;
  std::string cls;
  std::string target;      ///< Model or service.
  std::string lane;        ///< Text of the lane header; empty if not sent.
  std::string key;         ///< The caller's idempotency key; empty if not sent.
  bool forwarded = false;  ///< Came from another node; is not forwarded again.
  std::uint64_t body_hash = 0;
  std::uint64_t prefix = 0;
  std::uint32_t prompt_tokens = 0;
  std::uint32_t max_tokens = 0;
  std::chrono::milliseconds timeout{};  ///< Set by the caller; 0 if not set.
};

/// Whether a call that gets no answer from an endpoint has run there.
enum class RunStatus : std::uint8_t {
  kDidNotRun,  ///< It has certainly not run.
  kUnknown,    ///< It may have run.
};

/// Stable codes of error answers.
enum class AnswerCode : std::uint8_t {
  kUnknownAccount,
  kUnknownClass,
  kClassNotAllowed,
  kUnknownTarget,
  kLaneMissing,
  kLaneInvalid,
  kLaneExpired,
  kKeyReused,   ///< The key was used before with a different body.
  kOverloaded,  ///< Refused for lack of capacity; see `detail`.
  kQuarantined,
  kNoEndpoint,
  kEndpointFailed,
  kOwnerUnreachable,
  kTimeout,
  kNotReady,  ///< No rules are in force yet.
  kLeaving,
  kOutcomeUnknown,  ///< A call with the key was sent and its answer was lost.
};

/// Returns the code as error answers and logs show it.
const char* NameOf(AnswerCode code);
/// Returns the word that error answers show.
const char* NameOf(RunStatus ran);
/// Returns the HTTP status of an error answer with this code.
int HttpStatusFor(AnswerCode code);

/// Sends the call to an endpoint now. The driver calls `MaySend` right before
/// it writes the first byte.
struct SendCall {
  CallId call = 0;
  std::uint8_t attempt = 1;
  EndpointHandle endpoint;
  std::string address;
  std::uint8_t engine_priority = 0;
  bool keep_answer = false;  ///< Pass the whole answer to `OnAnswer`.
};
/// Cancels the attempt at its endpoint. Nothing more of its answer reaches the
/// caller; the call may be sent again with another `SendCall`.
struct CancelCall {
  CallId call = 0;
  std::uint8_t attempt = 1;
};
/// Sends the caller an error answer, which also says whether its call ran.
struct AnswerError {
  CallId call = 0;
  AnswerCode code = AnswerCode::kOverloaded;
  RunStatus ran = RunStatus::kUnknown;
  std::string detail;
  std::chrono::milliseconds retry_after{};  ///< 0 to send no retry delay.
};
/// Sends the caller the answer to another call with the same key.
struct AnswerStored {
  CallId call = 0;
  std::shared_ptr<const fleet::StoredAnswer> answer;
};
/// Forwards the call to the node that owns its lane.
struct ForwardCall {
  CallId call = 0;
  std::string caller_address;  ///< The owner's address for callers.
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

/// An action that the driver of a node carries out; see each type.
using Action =
    std::variant<SendCall, CancelCall, AnswerError, AnswerStored, ForwardCall,
                 Decision, fleet::SendMessage, fleet::ReadRulesDocument,
                 fleet::ReadVmList, fleet::ReadReport, fleet::OrderEngine,
                 fleet::RulesInForce, fleet::RulesRefused>;
/// Actions in the order in which the driver must carry them out.
using Actions = std::vector<Action>;

/// What an answer of an endpoint states about the endpoint itself.
struct EndpointNotice {
  bool leaving = false;  ///< It takes no new work and is about to end.
  /// How long it wants no call from this node; 0: not stated.
  std::chrono::milliseconds backoff{};
};

struct NodeState;
/// Deleter that lets `NodePtr` own a type that is incomplete in this header.
struct NodeDeleter {
  void operator()(NodeState* state) const;
};
/// An owning pointer to a node.
using NodePtr = std::unique_ptr<NodeState, NodeDeleter>;

/// Creates a node. Fails with `kNotFound` if no scheduler is registered under
/// the name in `options`.
kernel::Result<NodePtr> StartNode(const NodeOptions& options, Time now,
                                  Actions& out);

/// Runs timers and periodic work. The driver must call it at least every
/// `kNodeTickInterval`.
void OnTick(NodeState& state, Time now, Actions& out);

/// Handles a call that was received completely. The action that ends it is
/// appended to `out`, by this function or by a later one.
void OnCall(NodeState& state, const Call& call, Time now, Actions& out);
/// Cancels the work of a caller that disconnected. A call that must not be
/// repeated continues if it was sent or if other calls wait for its answer.
void OnCallerGone(NodeState& state, CallId call, Time now, Actions& out);

/// Returns true if the attempt may still be sent at `now`, and marks it as
/// sent. The driver calls it right before the first byte, so that a process
/// that was paused since the routing decision doesn't act on a stale one. If it
/// returns false, the driver drops the attempt. If the call still exists, the
/// node has then queued it again or appended its answer to `out`.
bool MaySend(NodeState& state, CallId call, std::uint8_t attempt, Time now,
             Actions& out);
/// Handles the start of the endpoint's answer, its first token or byte.
void OnFirstToken(NodeState& state, CallId call, std::uint8_t attempt,
                  Time now);
/// Handles `count` more tokens of the endpoint's answer.
void OnTokens(NodeState& state, CallId call, std::uint8_t attempt,
              std::uint32_t count, Time now);
/// Handles what the head of an answer states about its endpoint. The node gives
/// the endpoint no call while it doesn't want any.
void OnNotice(NodeState& state, CallId call, std::uint8_t attempt,
              const EndpointNotice& notice, Time now, Actions& out);
/// Handles a complete answer. `answer` holds it if `SendCall::keep_answer` was
/// set, and is null otherwise or if the answer was too large to be kept.
void OnAnswer(NodeState& state, CallId call, std::uint8_t attempt,
              std::shared_ptr<const fleet::StoredAnswer> answer, Time now,
              Actions& out);
/// Handles an attempt that ended without a complete answer. `detail` names the
/// step that failed and the peer. `kNotRun` before `MaySend` was called means
/// that no connection was established, and the endpoint counts as down.
/// `kCancelled` means that the driver dropped the attempt.
void OnFailure(NodeState& state, CallId call, std::uint8_t attempt,
               policy::EndKind end, const std::string& detail, Time now,
               Actions& out);
/// Handles the end of a forwarded call. `answered` is true if the owner of the
/// lane answered (the driver relays its answer), and false if the owner could
/// not be reached. `sent` is true if bytes of the call may have reached it.
void OnForwarded(NodeState& state, CallId call, bool answered, bool sent,
                 Time now, Actions& out);

/// Handles a message of another node. This function and the three below pass
/// their input to the fleet; fleet/fleet.h documents their errors.
void OnMessage(NodeState& state, const fleet::Sender& from,
               const fleet::Message& message, Time now, Actions& out);
/// Handles the platform's answer to `ReadRulesDocument`.
void OnRulesDocument(NodeState& state, const std::string* text, Time now,
                     Actions& out);
/// Handles the platform's answer to `ReadVmList`.
void OnVmList(NodeState& state, const std::vector<fleet::VmEntry>* vms,
              Time now, Actions& out);
/// Handles an endpoint's answer to `ReadReport`.
void OnReport(NodeState& state, EndpointHandle endpoint,
              const policy::EngineReport* report, Time now, Actions& out);
/// Handles what an endpoint's answer to `ReadReport` states about it, after
/// `OnReport`.
void OnReportNotice(NodeState& state, EndpointHandle endpoint,
                    const EndpointNotice& notice, Time now, Actions& out);

/// Ends all calls in progress because the process is about to exit. Each answer
/// says that the call did not run only where that is certain.
void EndCalls(NodeState& state, Time now, Actions& out);

/// Begins a graceful leave: the node is removed from answers to `/where` at
/// once, new calls are refused with `kLeaving`, and calls in progress run to
/// their end.
void Leave(NodeState& state, Time now, Actions& out);
/// Returns true if no call is in progress.
bool IsIdle(const NodeState& state);

/// The answer to `GET /where`.
struct WhereAnswer {
  std::vector<std::string> addresses;    ///< Best first.
  std::chrono::milliseconds keep_for{};  ///< How long it may be cached.
  std::string lane;  ///< A new lane; empty if the node isn't ready.
  /// Address of the node that owns the lane. A call that is sent there need not
  /// be forwarded.
  std::string lane_address;
};
/// Returns the answer to a caller in `zone`, with a new lane if the node is
/// ready.
WhereAnswer Where(NodeState& state, std::string_view zone, Time now);

/// A snapshot of the node for `/status`, `/readyz` and tests.
struct NodeView {
  bool ready = false;  ///< Rules are in force and the node isn't leaving.
  bool leaving = false;
  fleet::FleetView fleet;
  policy::SchedulerView scheduler;
  fleet::LanesView lanes;
  std::size_t calls = 0;  ///< Calls in progress.
};
/// Builds a snapshot of the node. It counts and copies, so it is too slow to be
/// called for every request.
NodeView ViewOf(const NodeState& state, Time now);
/// Returns the rules in force, or null before the first version.
rules::RulesPtr RulesOf(const NodeState& state);

/// Maximum interval between two calls of `OnTick`.
inline constexpr std::chrono::milliseconds kNodeTickInterval{10};

}  // namespace egretladder::node
