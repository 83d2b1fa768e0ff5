// Calls from their arrival to the queue, their timers, and callers that
// disconnect.
#include <algorithm>

#include "state_p.h"

namespace egretladder::node {
namespace {

void Reject(NodeState& state, CallRecord& record, AnswerCode code,
            std::string detail, Time now, Actions& out) {
  EndWithError(state, record, {code, std::move(detail), {}}, now, out);
}

/// Checks the names in a call against the rules in force, and refuses the call
/// if one isn't valid. A call with a key must be recorded before this check, so
/// that the answer "not run" burns the key: an earlier copy of the call may
/// have arrived while the rules still allowed it.
bool CheckNames(NodeState& state, CallRecord& record, const rules::Rules& rules,
                Time now, Actions& out) {
  const Call& call = record.call;
  policy::Request& request = record.request;
  const auto reject = [&](AnswerCode code, std::string detail) {
    Reject(state, record, code, std::move(detail), now, out);
    return false;
  };
  if (!rules::IsValid(request.account)) {
    return reject(AnswerCode::kUnknownAccount,
                  "client account '" + call.account + "' is not declared");
  }
  if (!rules::IsValid(request.cls)) {
    return reject(AnswerCode::kUnknownClass,
                  "class '" + call.cls + "' is not declared");
  }
  if (!rules::Allows(rules.accounts[request.account.idx], request.cls)) {
    return reject(
        AnswerCode::kClassNotAllowed,
        "account '" + call.account + "' may not use class '" + call.cls + "'");
  }
  if (!rules::IsValid(request.target)) {
    return reject(AnswerCode::kUnknownTarget,
                  "model or service '" + call.target + "' is not declared");
  }
  if (!record.repeatable && !record.lane) {
    return reject(AnswerCode::kLaneMissing,
                  "class '" + call.cls +
                      "' runs at most once: send a lane of /where and an "
                      "idempotency key");
  }
  return true;
}

void FillRequest(CallRecord& record, const rules::Rules& rules) {
  const Call& call = record.call;
  policy::Request& request = record.request;
  request.id = call.id;
  request.account = rules::FindAccount(rules, call.account);
  request.cls = rules::FindClass(rules, call.cls);
  request.target = rules::FindTarget(rules, call.target);
  request.prefix = call.prefix;
  request.fingerprint = call.body_hash;
  request.prompt_tokens = call.prompt_tokens;
  request.max_tokens = call.max_tokens;
  if (!rules::IsValid(request.cls)) return;
  const rules::Class& cls = rules.classes[request.cls.idx];
  record.repeatable = cls.repeatable;
  record.urgent = cls.tier == rules::kTopTier;
}

CallRecord& AddRecord(NodeState& state, const Call& call, Time now) {
  CallRecord& record = state.calls[call.id];
  record.call = call;
  record.arrived = now;
  record.stage = Stage::kDelayed;
  record.stage_since = now;
  const auto timeout =
      call.timeout.count() > 0
          ? std::min<std::chrono::milliseconds>(call.timeout, kMaxCallTimeout)
          : kMaxCallTimeout;
  record.expires_at = now + timeout;
  SetTimer(state, record, record.expires_at);
  return record;
}

/// Returns true if the call's lane and key decide whether it runs: its class
/// runs at most once, or is unknown to this node, though the owner of the lane
/// may know it.
bool IsAtMostOnce(const CallRecord& record) {
  const Call& call = record.call;
  if (call.lane.empty() || call.key.empty()) return false;
  return !record.repeatable || !rules::IsValid(record.request.cls);
}

void RefuseNotReady(const Call& call, Actions& out) {
  const RunStatus ran =
      call.key.empty() ? RunStatus::kDidNotRun : RunStatus::kUnknown;
  RefuseCall(
      call, ran,
      {AnswerCode::kNotReady, "no rules in force yet", kDefaultRetryAfter},
      out);
}

ErrorReason MakeLeavingReason() {
  return {AnswerCode::kLeaving, "ask /where of another node",
          kInitialHoldDelay};
}

/// Ends a call whose timeout expired. A call that must not be repeated
/// continues at its endpoint without its caller, so that a retry with its key
/// can learn the outcome.
void TimeOut(NodeState& state, CallRecord& record, const ErrorReason& reason,
             Time now, Actions& out) {
  const bool is_detaching =
      IsSent(record.stage) && record.lane && !record.detached;
  if (is_detaching) {
    EmitDecision(state, record, "detach", "timeout", now, out);
    for (const CallId waiter : fleet::MarkOutcomeUnknown(
             *state.lanes, *record.lane, record.call.key, now)) {
      if (!state.calls.contains(waiter)) continue;
      RefuseCall(state.calls[waiter].call, RunStatus::kUnknown, reason, out);
      if (waiter != record.call.id) ForgetCall(state, waiter);
    }
    record.detached = true;
    record.expires_at = now + kDetachedCallTimeout;
    SetTimer(state, record, record.expires_at);
    return;
  }
  if (record.stage == Stage::kJoined || record.stage == Stage::kForwarded) {
    EmitDecision(state, record, "refuse", "timeout", now, out);
    RefuseCall(record.call, RunStatus::kUnknown, reason, out);
    return ForgetCall(state, record.call.id);
  }
  if (record.stage == Stage::kWaiting) {
    state.scheduler->on_caller_gone(*state.scheduler_state, record.call.id,
                                    now);
  }
  const bool is_at_endpoint = IsAtEndpoint(record.stage);
  if (is_at_endpoint) {
    out.emplace_back(CancelCall{record.call.id, record.attempt});
    record.may_have_run |= IsSent(record.stage);
    // A timeout that the caller set shorter than the class's target for the
    // first token is no failure of the endpoint.
    const auto rules = fleet::RulesOf(*state.fleet);
    const bool late =
        now - record.stage_since > GetClass(*rules, record).first_token;
    if (late) RecordFailure(state, record);
    EndAttempt(state, record,
               late ? policy::EndKind::kFailed : policy::EndKind::kCancelled,
               now);
  }
  EndWithError(state, record, reason, now, out);
  ApplyScheduler(state, now, out);
}

}  // namespace

CallRecord* FindCall(NodeState& state, CallId call) {
  const auto found = state.calls.find(call);
  return found == state.calls.end() ? nullptr : &found->second;
}

void SetStage(NodeState& state, CallRecord& record, Stage stage, Time now) {
  if (!IsSent(record.stage)) record.waited += ToMs(now - record.stage_since);
  const std::uint32_t urgent = record.urgent ? 1 : 0;
  if (record.stage == Stage::kWaiting) {
    TargetRecord& target = state.targets[record.request.target.idx];
    --target.waiting;
    target.urgent_waiting -= urgent;
  }
  if (stage == Stage::kWaiting) {
    TargetRecord& target = state.targets[record.request.target.idx];
    ++target.waiting;
    target.urgent_waiting += urgent;
  }
  if (IsAtEndpoint(record.stage) && !IsAtEndpoint(stage)) {
    EndpointRecord& endpoint = state.endpoints[record.endpoint.idx];
    --endpoint.in_flight;
    endpoint.urgent_in_flight -= urgent;
  }
  if (!IsAtEndpoint(record.stage) && IsAtEndpoint(stage)) {
    EndpointRecord& endpoint = state.endpoints[record.endpoint.idx];
    ++endpoint.in_flight;
    endpoint.urgent_in_flight += urgent;
  }
  record.stage = stage;
  record.stage_since = now;
}

void SetTimer(NodeState& state, CallRecord& record, Time timer) {
  state.timers.erase({record.timer, record.call.id});
  record.timer = timer;
  state.timers.insert({timer, record.call.id});
}

void ForgetCall(NodeState& state, CallId call) {
  CallRecord* record = FindCall(state, call);
  if (record == nullptr) return;
  SetStage(state, *record, Stage::kDelayed, record->stage_since);
  state.timers.erase({record->timer, call});
  if (record->lane) {
    const auto runner = state.runner_by_key.find(RunnerKey(*record));
    if (runner != state.runner_by_key.end() && runner->second == call) {
      state.runner_by_key.erase(runner);
    }
  }
  state.calls.erase(call);
}

void Enqueue(NodeState& state, CallRecord& record, Time now, Actions& out) {
  const rules::RulesPtr rules = fleet::RulesOf(*state.fleet);
  policy::Request& request = record.request;
  // Without this limit, a call that is held back repeatedly would wait without
  // end. On a partitioned node it would wait for as long as the partition
  // lasts.
  if (record.waited > GetClass(*rules, record).max_wait) {
    return EndWithError(
        state, record,
        {AnswerCode::kOverloaded, NameOf(policy::RefuseReason::kWaitedTooLong),
         kDefaultRetryAfter},
        now, out);
  }
  // Time spent at an endpoint doesn't count as waiting. Otherwise a long call
  // whose endpoint crashed would be overdue as soon as it is queued again.
  request.arrived = now - record.waited;
  request.deadline =
      std::min<Time>(request.arrived + GetClass(*rules, record).first_token,
                     record.expires_at);
  request.attempt = record.counted_attempts;
  request.suspect = fleet::IsSuspect(*state.fleet, request.fingerprint, now);
  SetTimer(state, record, record.expires_at);
  SetStage(state, record, Stage::kWaiting, now);
  const policy::Request copy = request;
  state.scheduler->on_arrival(*state.scheduler_state, copy, now,
                              state.scheduler_actions);
  ApplyScheduler(state, now, out);
}

void EnqueueAfter(NodeState& state, CallRecord& record,
                  std::chrono::milliseconds delay, Time now) {
  SetStage(state, record, Stage::kDelayed, now);
  SetTimer(state, record, std::min(now + delay, record.expires_at));
}

void OnTimers(NodeState& state, Time now, Actions& out) {
  while (!state.timers.empty() && state.timers.begin()->first <= now) {
    const CallId call = state.timers.begin()->second;
    CallRecord* record = FindCall(state, call);
    if (record == nullptr) {
      state.timers.erase(state.timers.begin());
    } else if (record->expires_at <= now) {
      TimeOut(state, *record,
              {AnswerCode::kTimeout, "the call's time is up", {}}, now, out);
    } else {
      Enqueue(state, *record, now, out);
    }
  }
}

void OnCall(NodeState& state, const Call& call, Time now, Actions& out) {
  const rules::RulesPtr rules = fleet::RulesOf(*state.fleet);
  if (rules == nullptr) return RefuseNotReady(call, out);
  if (state.calls.contains(call.id)) return;
  CallRecord& record = AddRecord(state, call, now);
  FillRequest(record, *rules);
  if (IsAtMostOnce(record) && !BeginAtMostOnce(state, record, now, out)) return;
  if (!CheckNames(state, record, *rules, now, out)) return;
  if (state.leaving) {
    return EndWithError(state, record, MakeLeavingReason(), now, out);
  }
  TargetRecord& target = state.targets[record.request.target.idx];
  target.last_call = now;
  target.called = true;
  Enqueue(state, record, now, out);
}

void EndCalls(NodeState& state, Time now, Actions& out) {
  std::vector<CallId> calls;
  calls.reserve(state.calls.size());
  for (const auto& [call, record] : state.calls) calls.push_back(call);
  for (const CallId call : calls) {
    CallRecord* record = FindCall(state, call);
    if (record == nullptr || record->detached) continue;
    const bool is_waiting =
        record->stage == Stage::kWaiting || record->stage == Stage::kDelayed;
    const bool may_have_run = record->may_have_run || !is_waiting;
    TimeOut(state, *record,
            may_have_run
                ? ErrorReason{AnswerCode::kTimeout, "the node stops", {}}
                : MakeLeavingReason(),
            now, out);
  }
}

void OnCallerGone(NodeState& state, CallId call, Time now, Actions& out) {
  CallRecord* record = FindCall(state, call);
  if (record == nullptr || record->detached) return;
  // A call that must not be repeated continues after its caller's connection
  // broke, because the caller's retry asks for its outcome.
  if (record->lane && (IsSent(record->stage) || record->waiters > 0)) {
    record->detached = true;
    record->expires_at =
        std::min(record->expires_at, now + kDetachedCallTimeout);
    SetTimer(state, *record, std::min(record->timer, record->expires_at));
    return EmitDecision(state, *record, "detach", "caller_gone", now, out);
  }
  if (record->stage == Stage::kWaiting) {
    state.scheduler->on_caller_gone(*state.scheduler_state, call, now);
  } else if (IsAtEndpoint(record->stage)) {
    out.emplace_back(CancelCall{call, record->attempt});
    EndAttempt(state, *record, policy::EndKind::kCancelled, now);
  }
  EmitDecision(state, *record, "cancel", "caller_gone", now, out);
  if (record->lane && record->stage != Stage::kJoined) {
    fleet::MarkNotRun(*state.lanes, *record->lane, record->call.key, now);
  }
  ForgetCall(state, call);
  ApplyScheduler(state, now, out);
}

}  // namespace egretladder::node
