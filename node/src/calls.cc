// Calls from their arrival to the queue, their timers, and callers that go
// away.
#include <algorithm>

#include "state_p.h"

namespace egretladder::node {
namespace {

void Reject(NodeState& state, CallRecord& record, AnswerCode code,
            std::string detail, Time now, Actions& out) {
  GiveUp(state, record, {code, std::move(detail), {}}, now, out);
}

/// Checks the names against the rules in force. A call that carries a key has
/// been recorded before this, so that "not run" burns the key: a first copy of
/// it may have come while the rules still allowed it.
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
          ? std::min<std::chrono::milliseconds>(call.timeout, kCallTimeout)
          : kCallTimeout;
  record.give_up = now + timeout;
  SetWake(state, record, record.give_up);
  return record;
}

/// True when lane and key decide the call: its class runs at most once, or is
/// not known here, though it may be to the owner.
bool IsOnce(const CallRecord& record) {
  const Call& call = record.call;
  if (call.lane.empty() || call.key.empty()) return false;
  return !record.repeatable || !rules::IsValid(record.request.cls);
}

void RefuseNotReady(const Call& call, Actions& out) {
  const Ran ran = call.key.empty() ? Ran::kNo : Ran::kUnknown;
  RefuseCall(
      call, ran,
      {AnswerCode::kNotReady, "no rules in force yet", kStandardRetryAfter},
      out);
}

GiveUpReason LeavingReason() {
  return {AnswerCode::kLeaving, "ask /where of another node", kHoldDelay};
}

/// Time is up. A call that may not be repeated goes on at its endpoint, so that
/// a retry with its key can learn the outcome.
void TimeOut(NodeState& state, CallRecord& record, const GiveUpReason& reason,
             Time now, Actions& out) {
  const bool goes_on = IsSent(record.stage) && record.lane && !record.detached;
  if (goes_on) {
    Decide(state, record, "detach", "timeout", now, out);
    for (const CallId waiter :
         fleet::LoseCall(*state.lanes, *record.lane, record.call.key, now)) {
      if (!state.calls.contains(waiter)) continue;
      RefuseCall(state.calls[waiter].call, Ran::kUnknown, reason, out);
      if (waiter != record.call.id) ForgetCall(state, waiter);
    }
    record.detached = true;
    record.give_up = now + kDetachedLife;
    SetWake(state, record, record.give_up);
    return;
  }
  if (record.stage == Stage::kJoined || record.stage == Stage::kForwarded) {
    Decide(state, record, "refuse", "timeout", now, out);
    RefuseCall(record.call, Ran::kUnknown, reason, out);
    return ForgetCall(state, record.call.id);
  }
  if (record.stage == Stage::kWaiting) {
    state.scheduler->on_caller_gone(*state.scheduler_state, record.call.id,
                                    now);
  }
  const bool was_at_endpoint = IsAtEndpoint(record.stage);
  if (was_at_endpoint) {
    out.emplace_back(CancelCall{record.call.id, record.attempt});
    record.may_have_run |= IsSent(record.stage);
    // A caller's own short timeout is no fault of the endpoint.
    const auto rules = fleet::RulesOf(*state.fleet);
    const bool late =
        now - record.stage_since > ClassOf(*rules, record).first_token;
    if (late) NoteFailure(state, record);
    EndAttempt(state, record,
               late ? policy::EndKind::kFailed : policy::EndKind::kCancelled,
               now);
  }
  GiveUp(state, record, reason, now, out);
  ApplyScheduler(state, now, out);
}

}  // namespace

CallRecord* FindCall(NodeState& state, CallId call) {
  const auto found = state.calls.find(call);
  return found == state.calls.end() ? nullptr : &found->second;
}

void SetStage(NodeState& state, CallRecord& record, Stage stage, Time now) {
  if (!IsSent(record.stage)) record.waited += Millis(now - record.stage_since);
  const std::uint32_t urgent = record.urgent ? 1 : 0;
  if (record.stage == Stage::kWaiting) {
    TargetNote& target = state.targets[record.request.target.idx];
    --target.waiting;
    target.urgent_waiting -= urgent;
  }
  if (stage == Stage::kWaiting) {
    TargetNote& target = state.targets[record.request.target.idx];
    ++target.waiting;
    target.urgent_waiting += urgent;
  }
  if (IsAtEndpoint(record.stage) && !IsAtEndpoint(stage)) {
    EndpointNote& endpoint = state.endpoints[record.endpoint.idx];
    --endpoint.in_flight;
    endpoint.urgent_in_flight -= urgent;
  }
  if (!IsAtEndpoint(record.stage) && IsAtEndpoint(stage)) {
    EndpointNote& endpoint = state.endpoints[record.endpoint.idx];
    ++endpoint.in_flight;
    endpoint.urgent_in_flight += urgent;
  }
  record.stage = stage;
  record.stage_since = now;
}

void SetWake(NodeState& state, CallRecord& record, Time wake) {
  state.wakes.erase({record.wake, record.call.id});
  record.wake = wake;
  state.wakes.insert({wake, record.call.id});
}

void ForgetCall(NodeState& state, CallId call) {
  CallRecord* record = FindCall(state, call);
  if (record == nullptr) return;
  SetStage(state, *record, Stage::kDelayed, record->stage_since);
  state.wakes.erase({record->wake, call});
  if (record->lane) {
    const auto runner = state.runners.find(RunnerKey(*record));
    if (runner != state.runners.end() && runner->second == call) {
      state.runners.erase(runner);
    }
  }
  state.calls.erase(call);
}

void Queue(NodeState& state, CallRecord& record, Time now, Actions& out) {
  const rules::RulesPtr rules = fleet::RulesOf(*state.fleet);
  policy::Request& request = record.request;
  // A call that is held back again and again would else wait for ever, and its
  // caller with it: on a node that is cut off, for as long as the cut lasts.
  if (record.waited > ClassOf(*rules, record).max_wait) {
    return GiveUp(
        state, record,
        {AnswerCode::kOverloaded, NameOf(policy::RefuseReason::kWaitedTooLong),
         kStandardRetryAfter},
        now, out);
  }
  // Time at an endpoint is no waiting: a long call whose endpoint died would
  // otherwise count as overdue on its return.
  request.arrived = now - record.waited;
  request.deadline = std::min<Time>(
      request.arrived + ClassOf(*rules, record).first_token, record.give_up);
  request.attempt = record.tries;
  request.suspect = fleet::IsSuspect(*state.fleet, request.fingerprint, now);
  SetWake(state, record, record.give_up);
  SetStage(state, record, Stage::kWaiting, now);
  const policy::Request copy = request;
  state.scheduler->on_arrival(*state.scheduler_state, copy, now, state.pending);
  ApplyScheduler(state, now, out);
}

void QueueLater(NodeState& state, CallRecord& record,
                std::chrono::milliseconds delay, Time now) {
  SetStage(state, record, Stage::kDelayed, now);
  SetWake(state, record, std::min(now + delay, record.give_up));
}

void OnWakes(NodeState& state, Time now, Actions& out) {
  while (!state.wakes.empty() && state.wakes.begin()->first <= now) {
    const CallId call = state.wakes.begin()->second;
    CallRecord* record = FindCall(state, call);
    if (record == nullptr) {
      state.wakes.erase(state.wakes.begin());
    } else if (record->give_up <= now) {
      TimeOut(state, *record,
              {AnswerCode::kTimeout, "the call's time is up", {}}, now, out);
    } else {
      Queue(state, *record, now, out);
    }
  }
}

void OnCall(NodeState& state, const Call& call, Time now, Actions& out) {
  const rules::RulesPtr rules = fleet::RulesOf(*state.fleet);
  if (rules == nullptr) return RefuseNotReady(call, out);
  if (state.calls.contains(call.id)) return;
  CallRecord& record = AddRecord(state, call, now);
  FillRequest(record, *rules);
  if (IsOnce(record) && !BeginOnce(state, record, now, out)) return;
  if (!CheckNames(state, record, *rules, now, out)) return;
  if (state.leaving) {
    return GiveUp(state, record, LeavingReason(), now, out);
  }
  TargetNote& target = state.targets[record.request.target.idx];
  target.last_call = now;
  target.called = true;
  Queue(state, record, now, out);
}

void EndCalls(NodeState& state, Time now, Actions& out) {
  std::vector<CallId> calls;
  calls.reserve(state.calls.size());
  for (const auto& [call, record] : state.calls) calls.push_back(call);
  for (const CallId call : calls) {
    CallRecord* record = FindCall(state, call);
    if (record == nullptr || record->detached) continue;
    const bool waits =
        record->stage == Stage::kWaiting || record->stage == Stage::kDelayed;
    const bool ran = record->may_have_run || !waits;
    TimeOut(state, *record,
            ran ? GiveUpReason{AnswerCode::kTimeout, "the node stops", {}}
                : LeavingReason(),
            now, out);
  }
}

void OnCallerGone(NodeState& state, CallId call, Time now, Actions& out) {
  CallRecord* record = FindCall(state, call);
  if (record == nullptr || record->detached) return;
  // The outcome of a call that may not be repeated is wanted even when its
  // caller's connection broke: the retry asks for it.
  if (record->lane && (IsSent(record->stage) || record->joined > 0)) {
    record->detached = true;
    record->give_up = std::min(record->give_up, now + kDetachedLife);
    SetWake(state, *record, std::min(record->wake, record->give_up));
    return Decide(state, *record, "detach", "caller_gone", now, out);
  }
  if (record->stage == Stage::kWaiting) {
    state.scheduler->on_caller_gone(*state.scheduler_state, call, now);
  } else if (IsAtEndpoint(record->stage)) {
    out.emplace_back(CancelCall{call, record->attempt});
    EndAttempt(state, *record, policy::EndKind::kCancelled, now);
  }
  Decide(state, *record, "cancel", "caller_gone", now, out);
  if (record->lane && record->stage != Stage::kJoined) {
    fleet::BurnCall(*state.lanes, *record->lane, record->call.key, now);
  }
  ForgetCall(state, call);
  ApplyScheduler(state, now, out);
}

}  // namespace egretladder::node
