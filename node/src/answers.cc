// Final answers to calls that get none of an endpoint.
#include "state_p.h"

namespace egretladder::node {
namespace {

void Answer(CallId call, RunStatus ran, const GiveUpReason& reason,
            Actions& out) {
  out.emplace_back(
      AnswerError{call, reason.code, ran, reason.detail, reason.retry_after});
}

/// Ends the key: burned when no byte can have left, lost otherwise. Only a
/// burned key allows "not run", since then no later copy runs either.
std::vector<CallId> EndKey(NodeState& state, const CallRecord& record,
                           RunStatus ran, Time now) {
  if (ran == RunStatus::kDidNotRun) {
    return fleet::MarkNotRun(*state.lanes, *record.lane, record.call.key, now);
  }
  return fleet::MarkOutcomeUnknown(*state.lanes, *record.lane, record.call.key,
                                   now);
}

void AnswerWaiters(NodeState& state, CallRecord& record, RunStatus ran,
                   const GiveUpReason& reason, Time now, Actions& out) {
  const CallId runner = record.call.id;
  const bool detached = record.detached;
  for (const CallId waiter : EndKey(state, record, ran, now)) {
    if (waiter == runner || !state.calls.contains(waiter)) continue;
    Answer(waiter, ran, reason, out);
    ForgetCall(state, waiter);
  }
  if (!detached) Answer(runner, ran, reason, out);
}

}  // namespace

void GiveUp(NodeState& state, CallRecord& record, const GiveUpReason& reason,
            Time now, Actions& out) {
  const bool may_have_run = record.may_have_run || IsSent(record.stage);
  const RunStatus ran =
      may_have_run ? RunStatus::kUnknown : RunStatus::kDidNotRun;
  const char* why = reason.why != nullptr ? reason.why : NameOf(reason.code);
  Decide(state, record, "refuse", why, now, out);
  if (record.lane) {
    AnswerWaiters(state, record, ran, reason, now, out);
  } else if (!record.detached) {
    Answer(record.call.id, ran, reason, out);
  }
  ForgetCall(state, record.call.id);
}

void RefuseCall(const Call& call, RunStatus ran, const GiveUpReason& reason,
                Actions& out) {
  Answer(call.id, ran, reason, out);
}

}  // namespace egretladder::node
