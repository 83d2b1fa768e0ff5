// Attempts at endpoints: the last check before the first byte, their progress
// and their end.
#include <algorithm>
#include <string>

#include "state_p.h"

namespace egretladder::node {
namespace {

/// Returns why an attempt must not be sent now, or null if it may be sent.
const char* FindHoldReason(const NodeState& state, const CallRecord& record,
                           const rules::Rules& rules, Time now) {
  if (!fleet::KnowledgeIsFresh(*state.fleet, now)) return "knowledge_old";
  const rules::Endpoint& endpoint = rules.endpoints[record.endpoint.idx];
  const bool takes_work =
      TakesWork(state.endpoints[record.endpoint.idx], now) &&
      endpoint.source.present && !endpoint.leaving;
  if (!takes_work) return "endpoint_unavailable";
  if (rules.zones[endpoint.zone.idx].out) return "zone_out";
  return nullptr;
}

/// Holds a call back before its first byte, to route it again after a delay.
void HoldBack(NodeState& state, CallRecord& record, const char* why, Time now,
              Actions& out) {
  EmitDecision(state, record, "hold", why, now, out);
  EndAttempt(state, record, policy::EndKind::kCancelled, now);
  const auto delay = kInitialHoldDelay *
                     (1U << std::min<unsigned>(record.consecutive_holds, 16U));
  if (record.consecutive_holds < 16U) ++record.consecutive_holds;
  EnqueueAfter(state, record,
               std::min<std::chrono::milliseconds>(delay, kMaxHoldDelay), now);
  ApplyScheduler(state, now, out);
}

/// Ends an attempt that is too late to be sent, and its call.
void DropExpired(NodeState& state, CallRecord& record, std::string detail,
                 Time now, Actions& out) {
  EndAttempt(state, record, policy::EndKind::kCancelled, now);
  SetStage(state, record, Stage::kDelayed, now);
  EndWithError(state, record,
               {AnswerCode::kTimeout, std::move(detail), kDefaultRetryAfter},
               now, out);
  ApplyScheduler(state, now, out);
}

/// Reports an endpoint's crash to the fleet, with the bodies that were running
/// there, since each of them may be the cause. Every call on the endpoint sees
/// the same crash; only the first one reports it, for all of them. `record` is
/// no longer in a stage at the endpoint, so its body is added here.
void ReportDeath(NodeState& state, CallRecord& record, Time now, Actions& out) {
  if (record.death_reported) return;
  record.death_reported = true;
  std::vector<std::uint64_t> running{record.request.fingerprint};
  for (auto& [id, other] : state.calls) {
    const bool was_running = other.endpoint == record.endpoint &&
                             IsSent(other.stage) && !other.death_reported;
    if (!was_running) continue;
    other.death_reported = true;
    running.push_back(other.request.fingerprint);
  }
  fleet::Actions actions;
  fleet::OnEndpointDied(*state.fleet, record.endpoint, running, now, actions);
  ApplyFleet(state, actions, now, out);
}

/// Reports an endpoint that accepts no connection as down; it is cold when it
/// comes back. A plain service sends no load reports. If its keeper were not
/// told, a service that restarted between two calls would be sent as much work
/// as it could handle when it was warm.
void ReportDown(NodeState& state, EndpointHandle endpoint, Time now,
                Actions& out) {
  fleet::Actions actions;
  fleet::OnEndpointDied(*state.fleet, endpoint, {}, now, actions);
  ApplyFleet(state, actions, now, out);
}

policy::RetryDecision DecideRetryFor(NodeState& state, const CallRecord& record,
                                     policy::EndKind end, bool started,
                                     Time now) {
  policy::RetryContext context;
  context.end = end;
  context.repeatable = record.repeatable;
  context.answer_started = started;
  context.blamed = end == policy::EndKind::kDied;
  context.attempt = record.counted_attempts;
  context.deadline = record.expires_at;
  return policy::DecideRetry(state.retry_budget, context,
                             kernel::RandomFraction(state.random), now);
}

void ScheduleRetry(NodeState& state, CallRecord& record,
                   const policy::RetryDecision& decision, Time now,
                   Actions& out) {
  EmitDecision(state, record, "retry", NameOf(decision.reason), now, out);
  record.request.avoid = record.endpoint;
  record.death_reported = false;
  ++record.attempt;
  ++record.counted_attempts;
  EnqueueAfter(state, record, decision.delay, now);
}

void FailCall(NodeState& state, CallRecord& record,
              const policy::RetryDecision& decision, const std::string& detail,
              Time now, Actions& out) {
  EmitDecision(state, record, "no_retry", NameOf(decision.reason), now, out);
  const bool poison = decision.reason == policy::RetryReason::kPoison;
  const auto retry_after = record.repeatable && !poison
                               ? kDefaultRetryAfter
                               : std::chrono::milliseconds{0};
  EndWithError(state, record,
               {AnswerCode::kEndpointFailed, detail, retry_after}, now, out);
}

/// Sends the answer to the calls that joined this one.
void AnswerJoinedCalls(NodeState& state, const CallRecord& record,
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

/// Refuses the calls that joined this one when the answer was too large to
/// keep. Each of them holds its caller's connection; without a refusal they
/// would hang until they time out.
void RefuseJoinedCalls(NodeState& state, const CallRecord& record, Time now,
                       Actions& out) {
  const CallId runner = record.call.id;
  const ErrorReason reason{
      AnswerCode::kOutcomeUnknown, "it ran and its answer was not kept", {}};
  for (const CallId id : fleet::MarkOutcomeUnknown(*state.lanes, *record.lane,
                                                   record.call.key, now)) {
    const CallRecord* waiter = FindCall(state, id);
    if (id == runner || waiter == nullptr) continue;
    EmitDecision(state, *waiter, "refuse", NameOf(reason.code), now, out);
    RefuseCall(waiter->call, RunStatus::kUnknown, reason, out);
    ForgetCall(state, id);
  }
}

}  // namespace

CallRecord* FindAttempt(NodeState& state, CallId call, std::uint8_t attempt) {
  CallRecord* record = FindCall(state, call);
  if (record == nullptr || record->attempt != attempt) return nullptr;
  return IsAtEndpoint(record->stage) ? record : nullptr;
}

void EndAttempt(NodeState& state, CallRecord& record, policy::EndKind end,
                Time now) {
  state.scheduler->on_end(*state.scheduler_state, record.call.id, end, now,
                          state.scheduler_actions);
}

bool MaySend(NodeState& state, CallId call, std::uint8_t attempt, Time now,
             Actions& out) {
  CallRecord* record = FindAttempt(state, call, attempt);
  if (record == nullptr || record->stage != Stage::kDispatched) return false;
  const rules::RulesPtr rules = fleet::RulesOf(*state.fleet);
  // After a pause of the process, its routing decisions are stale. Unless they
  // are checked against the current time, a payment is made whose caller gave
  // up long ago, or new work is sent to a zone that was taken out.
  if (now >= record->expires_at) {
    DropExpired(state, *record, "the call's time is up", now, out);
    return false;
  }
  const auto max_wait = GetClass(*rules, *record).max_wait;
  if (record->waited + (now - record->stage_since) > max_wait) {
    DropExpired(state, *record, "it waited longer than its class may", now,
                out);
    return false;
  }
  const char* why = FindHoldReason(state, *record, *rules, now);
  if (why != nullptr) {
    HoldBack(state, *record, why, now, out);
    return false;
  }
  const bool is_lane_valid =
      !record->lane ||
      fleet::MaySend(*state.lanes, *record->lane, record->call.key, now);
  if (!is_lane_valid) {
    DropExpired(state, *record, "its lane expired", now, out);
    return false;
  }
  record->consecutive_holds = 0;
  SetStage(state, *record, Stage::kSent, now);
  return true;
}

void OnFirstToken(NodeState& state, CallId call, std::uint8_t attempt,
                  Time now) {
  CallRecord* record = FindAttempt(state, call, attempt);
  if (record == nullptr || record->stage != Stage::kSent) return;
  RecordFirstToken(state, *record, now);
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
    AnswerJoinedCalls(state, *record, answer, now, out);
  } else if (record->lane) {
    RefuseJoinedCalls(state, *record, now, out);
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
  // No byte is sent before `MaySend` allows it.
  if (!IsSent(record->stage)) end = policy::EndKind::kNotRun;
  const bool started = record->stage == Stage::kStarted;
  RecordFailure(state, *record);
  // In this stage the scheduler can't preempt the call.
  SetStage(state, *record, Stage::kDelayed, now);
  if (end == policy::EndKind::kDied) ReportDeath(state, *record, now, out);
  if (no_connection) ReportDown(state, record->endpoint, now, out);
  EndAttempt(state, *record, end, now);
  if (end != policy::EndKind::kNotRun) record->may_have_run = true;
  if (end == policy::EndKind::kNotRun && record->lane) {
    fleet::MarkUnsent(*state.lanes, *record->lane, record->call.key);
  }
  const auto decision = DecideRetryFor(state, *record, end, started, now);
  if (decision.should_retry) {
    ScheduleRetry(state, *record, decision, now, out);
  } else {
    FailCall(state, *record, decision, detail, now, out);
  }
  ApplyScheduler(state, now, out);
}

}  // namespace egretladder::node
