// Attempts at endpoints: the last check before the first byte, progress, and
// how they end.
#include <algorithm>
#include <string>

#include "state_p.h"

namespace egretladder::node {
namespace {

CallRecord* FindAttempt(NodeState& state, CallId call, std::uint8_t attempt) {
  CallRecord* record = FindCall(state, call);
  if (record == nullptr || record->attempt != attempt) return nullptr;
  return IsAtEndpoint(record->stage) ? record : nullptr;
}

/// Why an attempt may not be sent now; null when it may.
const char* HoldReason(const NodeState& state, const CallRecord& record,
                       const rules::Rules& rules, Time now) {
  if (!fleet::KnowledgeIsFresh(*state.fleet, now)) return "knowledge_old";
  const rules::Endpoint& endpoint = rules.endpoints[record.endpoint.idx];
  const bool takes_work = state.endpoints[record.endpoint.idx].available &&
                          endpoint.source.present && !endpoint.leaving;
  if (!takes_work) return "endpoint_unavailable";
  if (rules.zones[endpoint.zone.idx].out) return "zone_out";
  return nullptr;
}

/// Routes a call again that was held back before its first byte.
void Hold(NodeState& state, CallRecord& record, const char* why, Time now,
          Actions& out) {
  Decide(state, record, "hold", why, now, out);
  EndAttempt(state, record, policy::EndKind::kCancelled, now);
  const auto delay = kHoldDelay * (1U << std::min<unsigned>(record.holds, 16U));
  if (record.holds < 16U) ++record.holds;
  QueueLater(state, record,
             std::min<std::chrono::milliseconds>(delay, kHoldDelayMost), now);
  ApplyScheduler(state, now, out);
}

/// Ends an attempt, and its call, that came too late to be sent.
void DropLate(NodeState& state, CallRecord& record, std::string detail,
              Time now, Actions& out) {
  EndAttempt(state, record, policy::EndKind::kCancelled, now);
  SetStage(state, record, Stage::kDelayed, now);
  GiveUp(state, record,
         {AnswerCode::kTimeout, std::move(detail), kStandardRetryAfter}, now,
         out);
  ApplyScheduler(state, now, out);
}

/// An endpoint died: each body that was running on it may be the cause. One
/// death is seen by every call on it; it is put to them once, by the first.
/// `record` is no longer counted as being there.
void BlameDeath(NodeState& state, CallRecord& record, Time now, Actions& out) {
  if (record.blamed) return;
  record.blamed = true;
  std::vector<std::uint64_t> running{record.request.fingerprint};
  for (auto& [id, other] : state.calls) {
    const bool there = other.endpoint == record.endpoint &&
                       IsSent(other.stage) && !other.blamed;
    if (!there) continue;
    other.blamed = true;
    running.push_back(other.request.fingerprint);
  }
  fleet::Actions actions;
  fleet::OnEndpointDied(*state.fleet, record.endpoint, running, now, actions);
  ApplyFleet(state, actions, now, out);
}

/// An endpoint that takes no connection is down, and what comes back is cold. A
/// plain service sends no reports: unless its keeper is told of this, a service
/// that restarted between two calls gets what it bore when it was warm.
void MarkDown(NodeState& state, EndpointHandle endpoint, Time now,
              Actions& out) {
  fleet::Actions actions;
  fleet::OnEndpointDied(*state.fleet, endpoint, {}, now, actions);
  ApplyFleet(state, actions, now, out);
}

policy::RetryDecision AskRetry(NodeState& state, const CallRecord& record,
                               policy::EndKind end, bool started, Time now) {
  policy::RetryContext question;
  question.end = end;
  question.repeatable = record.repeatable;
  question.answer_started = started;
  question.blamed = end == policy::EndKind::kDied;
  question.attempt = record.tries;
  question.deadline = record.give_up;
  return policy::DecideRetry(state.retry_budget, question,
                             kernel::RandomFraction(state.random), now);
}

void TryAgain(NodeState& state, CallRecord& record,
              const policy::RetryDecision& answer, Time now, Actions& out) {
  Decide(state, record, "retry", NameOf(answer.reason), now, out);
  record.request.avoid = record.endpoint;
  record.blamed = false;
  ++record.attempt;
  ++record.tries;
  QueueLater(state, record, answer.delay, now);
}

void FailCall(NodeState& state, CallRecord& record,
              const policy::RetryDecision& answer, const std::string& detail,
              Time now, Actions& out) {
  Decide(state, record, "no_retry", NameOf(answer.reason), now, out);
  const bool poison = answer.reason == policy::RetryReason::kPoison;
  const auto retry_after = record.repeatable && !poison
                               ? kStandardRetryAfter
                               : std::chrono::milliseconds{0};
  GiveUp(state, record, {AnswerCode::kEndpointFailed, detail, retry_after}, now,
         out);
}

/// Hands the answer to the calls that joined this one.
void AnswerJoined(NodeState& state, const CallRecord& record,
                  const std::shared_ptr<const fleet::StoredAnswer>& answer,
                  Time now, Actions& out) {
  const CallId runner = record.call.id;
  const auto waiters = fleet::FinishCall(*state.lanes, *record.lane,
                                         record.call.key, *answer, now);
  for (const CallId waiter : waiters) {
    if (waiter == runner || !state.calls.contains(waiter)) continue;
    out.emplace_back(AnswerStored{waiter, answer});
    ForgetCall(state, waiter);
  }
}

/// The answer was too large to keep, so the calls that joined this one get none
/// of it. Each holds its caller's connection: without this they would hang
/// until their time is up.
void RefuseJoined(NodeState& state, const CallRecord& record, Time now,
                  Actions& out) {
  const CallId runner = record.call.id;
  const GiveUpReason reason{
      AnswerCode::kOutcomeUnknown, "it ran and its answer was not kept", {}};
  for (const CallId id :
       fleet::LoseCall(*state.lanes, *record.lane, record.call.key, now)) {
    const CallRecord* waiter = FindCall(state, id);
    if (id == runner || waiter == nullptr) continue;
    Decide(state, *waiter, "refuse", NameOf(reason.code), now, out);
    RefuseCall(waiter->call, Ran::kUnknown, reason, out);
    ForgetCall(state, id);
  }
}

}  // namespace

void EndAttempt(NodeState& state, CallRecord& record, policy::EndKind end,
                Time now) {
  state.scheduler->on_end(*state.scheduler_state, record.call.id, end, now,
                          state.pending);
}

bool MaySend(NodeState& state, CallId call, std::uint8_t attempt, Time now,
             Actions& out) {
  CallRecord* record = FindAttempt(state, call, attempt);
  if (record == nullptr || record->stage != Stage::kDispatched) return false;
  const rules::RulesPtr rules = fleet::RulesOf(*state.fleet);
  // A process that was paused wakes up with its old decisions in hand. Unless
  // they are checked on the clock as it is now, callers that have long given up
  // get their payment made, and a zone that is out gets new work.
  if (now >= record->give_up) {
    DropLate(state, *record, "the call's time is up", now, out);
    return false;
  }
  const auto max_wait = ClassOf(*rules, *record).max_wait;
  if (record->waited + (now - record->stage_since) > max_wait) {
    DropLate(state, *record, "it waited longer than its class may", now, out);
    return false;
  }
  const char* why = HoldReason(state, *record, *rules, now);
  if (why != nullptr) {
    Hold(state, *record, why, now, out);
    return false;
  }
  const bool lane_holds =
      !record->lane ||
      fleet::MaySend(*state.lanes, *record->lane, record->call.key, now);
  if (!lane_holds) {
    DropLate(state, *record, "its lane expired", now, out);
    return false;
  }
  record->holds = 0;
  SetStage(state, *record, Stage::kSent, now);
  return true;
}

void OnFirstToken(NodeState& state, CallId call, std::uint8_t attempt,
                  Time now) {
  CallRecord* record = FindAttempt(state, call, attempt);
  if (record == nullptr || record->stage != Stage::kSent) return;
  NoteFirstToken(state, *record, now);
  SetStage(state, *record, Stage::kStarted, now);
  state.scheduler->on_first_token(*state.scheduler_state, call, now);
}

void OnTokens(NodeState& state, CallId call, std::uint8_t attempt,
              std::uint32_t count, Time now) {
  if (FindAttempt(state, call, attempt) == nullptr) return;
  state.scheduler->on_tokens(*state.scheduler_state, call, count, now);
}

void OnAnswer(NodeState& state, CallId call, std::uint8_t attempt,
              std::shared_ptr<const fleet::StoredAnswer> answer, Time now,
              Actions& out) {
  OnFirstToken(state, call, attempt, now);
  CallRecord* record = FindAttempt(state, call, attempt);
  if (record == nullptr || !IsSent(record->stage)) return;
  policy::OnSuccess(state.retry_budget);
  fleet::ClearSuspect(*state.fleet, record->request.fingerprint);
  EndAttempt(state, *record, policy::EndKind::kDone, now);
  if (record->lane && answer != nullptr) {
    AnswerJoined(state, *record, answer, now, out);
  } else if (record->lane) {
    RefuseJoined(state, *record, now, out);
  }
  ForgetCall(state, call);
  ApplyScheduler(state, now, out);
}

void OnFailure(NodeState& state, CallId call, std::uint8_t attempt,
               policy::EndKind end, const std::string& detail, Time now,
               Actions& out) {
  CallRecord* record = FindAttempt(state, call, attempt);
  if (record == nullptr) return;
  const bool no_connection =
      record->stage == Stage::kDispatched && end == policy::EndKind::kNotRun;
  // Without the leave of `MaySend` no byte was sent.
  if (!IsSent(record->stage)) end = policy::EndKind::kNotRun;
  const bool started = record->stage == Stage::kStarted;
  NoteFailure(state, *record);
  // From here on the scheduler can't preempt it any more.
  SetStage(state, *record, Stage::kDelayed, now);
  if (end == policy::EndKind::kDied) BlameDeath(state, *record, now, out);
  if (no_connection) MarkDown(state, record->endpoint, now, out);
  EndAttempt(state, *record, end, now);
  if (end != policy::EndKind::kNotRun) record->may_have_run = true;
  if (end == policy::EndKind::kNotRun && record->lane) {
    fleet::MarkUnsent(*state.lanes, *record->lane, record->call.key);
  }
  const auto answer = AskRetry(state, *record, end, started, now);
  if (answer.should_retry) {
    TryAgain(state, *record, answer, now, out);
  } else {
    FailCall(state, *record, answer, detail, now, out);
  }
  ApplyScheduler(state, now, out);
}

}  // namespace egretladder::node
