// What a node holds, and the functions its modules share.
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

enum class Stage : std::uint8_t {
  kWaiting,     ///< In the scheduler's queue.
  kDelayed,     ///< Held, or between two attempts; `wake` ends it.
  kDispatched,  ///< Given to the driver; no byte has left.
  kSent,        ///< Bytes may have left.
  kStarted,     ///< The answer began.
  kJoined,      ///< Waits for another call of the same key.
  kForwarded,   ///< With the node that owns its lane.
};

/// One call in progress.
struct CallRecord {
  Call call;
  policy::Request request;
  Stage stage = Stage::kWaiting;
  Time arrived{};
  Time stage_since{};
  std::chrono::milliseconds waited{};  ///< Not at an endpoint, in all.
  Time give_up{};
  Time wake{};  ///< Its entry in `NodeState::wakes`.
  std::uint8_t attempt = 1;
  std::uint8_t tries = 1;  ///< Attempts but for those held or preempted.
  std::uint8_t holds = 0;  ///< In a row.
  EndpointHandle endpoint;
  bool repeatable = true;
  bool urgent = false;        ///< Of the top tier.
  bool may_have_run = false;  ///< An earlier attempt.
  bool blamed = false;        ///< Its endpoint's death was put to it already.
  bool detached = false;      ///< No caller waits for it any more.
  std::uint32_t joined = 0;   ///< Calls that wait for this one.
  std::optional<fleet::Lane> lane;  ///< Own; the key is recorded.
};

/// What this node knows of one endpoint.
struct EndpointNote {
  bool available = false;
  std::uint32_t in_flight = 0;
  std::uint32_t urgent_in_flight = 0;  ///< Of these: of the top tier.
  std::uint32_t wanted = 0;            ///< As last told to the fleet.
  policy::SlotEvidence evidence;
};

struct TargetNote {
  std::uint32_t waiting = 0;
  std::uint32_t urgent_waiting = 0;  ///< Of these: of the top tier.
  Time last_call{};
  bool called = false;
};

using CallMap = std::unordered_map<CallId, CallRecord>;

}  // namespace egretladder::node

struct egretladder::node::NodeState {
  NodeOptions options;
  fleet::FleetPtr fleet;
  fleet::LanesPtr lanes;
  const policy::SchedulerPlugin* scheduler = nullptr;
  /// Made when the first rules come into force: only they give the zone's
  /// handle.
  std::unique_ptr<policy::SchedulerState> scheduler_state;
  /// Bodies that peers told of before there was a scheduler, and until when.
  std::vector<std::pair<std::uint64_t, Time>> early_quarantine;
  policy::Actions pending;  ///< Of the scheduler, not yet applied.
  bool applying = false;
  policy::RetryBudget retry_budget;
  kernel::Random random;
  CallMap calls;
  std::set<std::pair<Time, CallId>> wakes;
  /// The call that runs a key, by lane number and key.
  std::unordered_map<std::string, CallId> runners;
  std::vector<EndpointNote> endpoints;
  std::vector<TargetNote> targets;
  Time next_fleet_tick{};
  Time next_sweep{};
  bool leaving = false;
};

namespace egretladder::node {

inline std::chrono::milliseconds Millis(Time::duration span) {
  return std::chrono::duration_cast<std::chrono::milliseconds>(span);
}

inline const rules::Class& ClassOf(const rules::Rules& rules,
                                   const CallRecord& record) {
  return rules.classes[record.request.cls.idx];
}

inline bool IsAtEndpoint(Stage stage) {
  return stage == Stage::kDispatched || stage == Stage::kSent ||
         stage == Stage::kStarted;
}
inline bool IsSent(Stage stage) {
  return stage == Stage::kSent || stage == Stage::kStarted;
}

// calls.cc
CallRecord* FindCall(NodeState& state, CallId call);
void SetStage(NodeState& state, CallRecord& record, Stage stage, Time now);
/// Sets the moment at which `OnWake` is called.
void SetWake(NodeState& state, CallRecord& record, Time wake);
void ForgetCall(NodeState& state, CallId call);
/// Hands the call to the scheduler.
void Queue(NodeState& state, CallRecord& record, Time now, Actions& out);
/// Puts it back into the queue after `delay`; the attempt gets a new number
/// when the old one may still be known to the driver.
void QueueLater(NodeState& state, CallRecord& record,
                std::chrono::milliseconds delay, Time now);
void OnWakes(NodeState& state, Time now, Actions& out);

// answers.cc
/// What is given with an answer that is an error.
struct GiveUpReason {
  AnswerCode code = AnswerCode::kOverloaded;
  std::string detail;
  std::chrono::milliseconds retry_after{};
  /// For the decision's log line, where it says more than the code.
  const char* why = nullptr;
};
/// Ends a call, and those that joined it, with their final answer.
void GiveUp(NodeState& state, CallRecord& record, const GiveUpReason& reason,
            Time now, Actions& out);
/// Refuses a call that never got a record.
void RefuseCall(const Call& call, RunStatus ran, const GiveUpReason& reason,
                Actions& out);

// lanes.cc
/// Takes a call that carries a lane and a key as far as its recorded key.
/// Returns false when nothing is left to be done with it.
bool BeginOnce(NodeState& state, CallRecord& record, Time now, Actions& out);
std::string RunnerKey(const CallRecord& record);

// apply.cc
/// Applies what the scheduler asked for, until nothing is left.
void ApplyScheduler(NodeState& state, Time now, Actions& out);
void ApplyFleet(NodeState& state, fleet::Actions& actions, Time now,
                Actions& out);

// attempts.cc
/// Ends the scheduler's side of an attempt.
void EndAttempt(NodeState& state, CallRecord& record, policy::EndKind end,
                Time now);

// evidence.cc
void NoteFirstToken(NodeState& state, const CallRecord& record, Time now);
void NoteFailure(NodeState& state, const CallRecord& record);
void TellEvidence(NodeState& state, Time now);

// decisions.cc
void Decide(const NodeState& state, const CallRecord& record, const char* kind,
            const char* reason, Time now, Actions& out);
/// A placement decision: about an endpoint, not a call.
void DecidePlace(const NodeState& state, EndpointHandle endpoint,
                 const char* kind, const char* reason, Actions& out);

}  // namespace egretladder::node
