// Error answers to calls that get no answer from an endpoint.
#include "state_p.h"

namespace egretladder::node {
namespace {

void EmitError(CallId call, RunStatus ran, const ErrorReason& reason,
               Actions& out) {
  out.emplace_back(
      AnswerError{call, reason.code, ran, reason.detail, reason.retry_after});
}

/// Records how the call's key ended, and returns the calls that wait for it.
/// The key is burned if no byte can have been sent, and its outcome is lost
/// otherwise. Only a burned key allows the answer "not run", since it keeps any
/// later copy of the call from running too.
std::vector<CallId> ResolveKey(NodeState& state, const CallRecord& record,
                               RunStatus ran, Time now) {
  if (ran == RunStatus::kDidNotRun) {
    return fleet::MarkNotRun(*state.lanes, *record.lane, record.call.key, now);
  }
  return fleet::MarkOutcomeUnknown(*state.lanes, *record.lane, record.call.key,
                                   now);
}

void AnswerWaiters(NodeState& state, CallRecord& record, RunStatus ran,
                   const ErrorReason& reason, Time now, Actions& out) {
  const CallId runner = record.call.id;
  const bool detached = record.detached;
  for (const CallId waiter : ResolveKey(state, record, ran, now)) {
    if (waiter == runner || !state.calls.contains(waiter)) continue;
    EmitError(waiter, ran, reason, out);
    ForgetCall(state, waiter);
  }
  if (!detached) EmitError(runner, ran, reason, out);
}

}  // namespace

void EndWithError(NodeState& state, CallRecord& record,
                  const ErrorReason& reason, Time now, Actions& out) {
  const bool may_have_run = record.may_have_run || IsSent(record.stage);
  const RunStatus ran =
      may_have_run ? RunStatus::kUnknown : RunStatus::kDidNotRun;
  const char* why = reason.why != nullptr ? reason.why : NameOf(reason.code);
  EmitDecision(state, record, "refuse", why, now, out);
  if (record.lane) {
    AnswerWaiters(state, record, ran, reason, now, out);
  } else if (!record.detached) {
    EmitError(record.call.id, ran, reason, out);
  }
  ForgetCall(state, record.call.id);
}

void RefuseCall(const Call& call, RunStatus ran, const ErrorReason& reason,
                Actions& out) {
  EmitError(call.id, ran, reason, out);
}

}  // namespace egretladder::node
