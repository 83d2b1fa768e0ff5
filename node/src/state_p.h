// The state of a node, and the functions that its source files share.
#pragma once

#include <cstdint>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <unordered_map>
#include <utility>
#include <vector>

#include "egretladder/kernel/hash.h"
#include "egretladder/node/limits.h"
#include "egretladder/node/node.h"

namespace egretladder::node {

/// Progress of a call.
enum class Stage : std::uint8_t {
  kWaiting,     ///< In the scheduler's queue.
  kDelayed,     ///< Held back or between two attempts, until `timer`.
  kDispatched,  ///< Passed to the driver; no byte was sent yet.
  kSent,        ///< Bytes may have been sent.
  kStarted,     ///< The answer has started.
  kJoined,      ///< Waits for another call with the same key.
  kForwarded,   ///< Passed to the node that owns its lane.
};

/// One call in progress.
struct CallRecord {
  Call call;
  policy::Request request;
  Stage stage = Stage::kWaiting;
  Time arrived{};
  Time stage_since{};
  /// Total time during which it wasn't sent to an endpoint.
  std::chrono::milliseconds waited{};
  Time expires_at{};
  Time timer{};  ///< Time of its entry in `NodeState::timers`.
  std::uint8_t attempt = 1;
  /// Attempts without those that were held back or preempted.
  std::uint8_t counted_attempts = 1;
  std::uint8_t consecutive_holds = 0;
  EndpointHandle endpoint;
  bool repeatable = true;
  bool urgent = false;        ///< Its class is of the top tier.
  bool may_have_run = false;  ///< An earlier attempt may have run.
  /// The crash of its endpoint was already reported with its body.
  bool death_reported = false;
  bool detached = false;      ///< No caller waits for its answer any more.
  std::uint32_t waiters = 0;  ///< Number of calls that joined it.
  /// Its lane if this node owns the lane; its key is then recorded.
  std::optional<fleet::Lane> lane;
};

/// What this node tracks for one endpoint.
struct EndpointRecord {
  bool available = false;  ///< By the fleet's knowledge.
  // What its process stated in answers to this node.
  bool said_leaving = false;  ///< It takes no new work and is about to end.
  Time backoff_until{};       ///< It wants no call from this node until then.
  std::string address;        ///< Its address when it stated that.
  std::uint32_t in_flight = 0;
  std::uint32_t urgent_in_flight = 0;  ///< Part of `in_flight`: top tier.
  std::uint32_t reported_demand = 0;   ///< Slots last requested of the fleet.
  policy::SlotEvidence evidence;
};

/// What this node tracks for one model or service.
struct TargetRecord {
  std::uint32_t waiting = 0;
  std::uint32_t urgent_waiting = 0;  ///< Part of `waiting`: top tier.
  Time last_call{};
  bool called = false;  ///< False until the first call sets `last_call`.
};

using CallMap = std::unordered_map<CallId, CallRecord>;

}  // namespace egretladder::node

struct egretladder::node::NodeState {
  NodeOptions options;
  fleet::FleetPtr fleet;
  fleet::LanesPtr lanes;
  const policy::SchedulerPlugin* scheduler = nullptr;
  /// Null until the first rules come into force, since the scheduler needs the
  /// handle that they give to this node's zone.
  std::unique_ptr<policy::SchedulerState> scheduler_state;
  /// Fingerprints of bodies that peers announced as quarantined before there
  /// was a scheduler, with the end of their quarantine.
  std::vector<std::pair<std::uint64_t, Time>> early_quarantines;
  policy::Actions scheduler_actions;  ///< Not yet applied.
  bool is_applying = false;           ///< `ApplyScheduler` is running.
  policy::RetryBudget retry_budget;
  kernel::Random random;
  CallMap calls;
  std::set<std::pair<Time, CallId>> timers;
  /// The call that runs each key, by `RunnerKey`.
  std::unordered_map<std::string, CallId> runner_by_key;
  std::vector<EndpointRecord> endpoints;
  std::vector<TargetRecord> targets;
  Time next_backoff_end = Time::max();
  Time next_fleet_tick{};
  Time next_sweep{};
  bool leaving = false;
};

namespace egretladder::node {

inline std::chrono::milliseconds ToMs(Time::duration span) {
  return std::chrono::duration_cast<std::chrono::milliseconds>(span);
}

inline const rules::Class& GetClass(const rules::Rules& rules,
                                    const CallRecord& record) {
  return rules.classes[record.request.cls.idx];
}

/// Returns true if an attempt holds a slot at an endpoint.
inline bool IsAtEndpoint(Stage stage) {
  return stage == Stage::kDispatched || stage == Stage::kSent ||
         stage == Stage::kStarted;
}
/// Returns true if bytes of the attempt may have reached the endpoint.
inline bool IsSent(Stage stage) {
  return stage == Stage::kSent || stage == Stage::kStarted;
}

// calls.cc
/// Returns the record of a call, or null if the call has ended.
CallRecord* FindCall(NodeState& state, CallId call);
/// Moves the call to `stage` and updates the counts of its target and endpoint.
void SetStage(NodeState& state, CallRecord& record, Stage stage, Time now);
/// Sets the time at which `OnTimers` handles the call.
void SetTimer(NodeState& state, CallRecord& record, Time timer);
/// Removes the call's record; references to it become invalid.
void ForgetCall(NodeState& state, CallId call);
/// Passes the call to the scheduler, or refuses it if it has waited longer than
/// its class allows.
void Enqueue(NodeState& state, CallRecord& record, Time now, Actions& out);
/// Enqueues the call after `delay`. The caller of this function gives it a new
/// attempt number where the driver may still refer to the old one.
void EnqueueAfter(NodeState& state, CallRecord& record,
                  std::chrono::milliseconds delay, Time now);
/// Handles the calls whose timer has expired: ends those that timed out and
/// enqueues the others.
void OnTimers(NodeState& state, Time now, Actions& out);

// answers.cc
/// The contents of an error answer.
struct ErrorReason {
  AnswerCode code = AnswerCode::kOverloaded;
  std::string detail;
  std::chrono::milliseconds retry_after{};
  /// Reason in the log line of the decision; null if the code is the reason.
  const char* why = nullptr;
};
/// Ends a call, and the calls that joined it, with an error answer.
void EndWithError(NodeState& state, CallRecord& record,
                  const ErrorReason& reason, Time now, Actions& out);
/// Emits an error answer; changes neither the call's record nor its key.
void RefuseCall(const Call& call, RunStatus ran, const ErrorReason& reason,
                Actions& out);

// lanes.cc
/// Records the key of a call that carries a lane and a key. Returns true if the
/// call is to run here; otherwise it was forwarded, joined, answered or
/// refused, and the record may be gone.
bool BeginAtMostOnce(NodeState& state, CallRecord& record, Time now,
                     Actions& out);
/// Returns the call's key in `NodeState::runner_by_key`.
std::string RunnerKey(const CallRecord& record);

// apply.cc
/// Applies the scheduler's actions, with those that they cause in turn.
void ApplyScheduler(NodeState& state, Time now, Actions& out);
/// Applies the fleet's actions, and then those of the scheduler.
void ApplyFleet(NodeState& state, fleet::Actions& actions, Time now,
                Actions& out);

// attempts.cc
/// Returns the record of a call whose current attempt is at an endpoint, or
/// null.
CallRecord* FindAttempt(NodeState& state, CallId call, std::uint8_t attempt);
/// Tells the scheduler that an attempt has ended.
void EndAttempt(NodeState& state, CallRecord& record, policy::EndKind end,
                Time now);

// notices.cc
/// Returns true if the endpoint takes work from this node, by the fleet's
/// knowledge and by its own statements.
bool TakesWork(const EndpointRecord& endpoint, Time now);
/// Tells the scheduler whether the endpoint takes work. `why` is for the log.
void ReportAvailability(NodeState& state, EndpointHandle endpoint,
                        const char* why, Time now, Actions& out);
/// Forgets what an endpoint stated, because another process is there.
void ForgetNotice(NodeState& state, EndpointHandle endpoint, Time now,
                  Actions& out);
/// Forgets what endpoints stated that have another address by the new rules.
void ForgetMovedEndpoints(NodeState& state, const rules::Rules& rules, Time now,
                          Actions& out);
/// Puts endpoints back into use whose backoff is over.
void EndBackoffs(NodeState& state, Time now, Actions& out);
/// Returns the time until the first of the target's endpoints ends its backoff;
/// 0: none of them asked for one.
std::chrono::milliseconds TimeToBackoffEnd(const NodeState& state,
                                           rules::TargetHandle target,
                                           Time now);

// evidence.cc
/// Counts an answer of the call's endpoint as in time or late, by its class.
void RecordFirstToken(NodeState& state, const CallRecord& record, Time now);
/// Counts a failure of the call's endpoint.
void RecordFailure(NodeState& state, const CallRecord& record);
/// Reports the counts and the slot demand of each endpoint to the fleet.
void ReportEvidence(NodeState& state, Time now);

// decisions.cc
/// Emits a routing decision on a call, for the log.
void EmitDecision(const NodeState& state, const CallRecord& record,
                  const char* kind, const char* reason, Time now, Actions& out);
/// Emits a placement decision, which concerns an endpoint and not a call.
void EmitPlacementDecision(const NodeState& state, EndpointHandle endpoint,
                           const char* kind, const char* reason, Actions& out);

}  // namespace egretladder::node
