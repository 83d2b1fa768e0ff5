// Simulation of requests: arrival, tokens, end and retries.
#pragma once

#include "load_run.h"

namespace egretladder::policy::load {

inline void Simulation::HandleArrival(std::uint64_t id) {
  SimRequest& sim_request = sim_requests_[id];
  sim_request.waiting = true;
  const Request& request = sim_request.planned.request;
  AddWaiting(wait_counts_, request.cls.idx, GetTier(request), now_);
  Request arrival = request;
  arrival.attempt = static_cast<std::uint8_t>(sim_request.attempt);
  arrival.suspect = IsSuspect(poison_, request.fingerprint, now_);
  CallScheduler(
      [&](Actions& out) { plugin_->on_arrival(*state_, arrival, now_, out); });
}

inline void Simulation::HandleFirstToken(const Event& event) {
  SimRequest& sim_request = sim_requests_[event.id];
  if (!sim_request.running || sim_request.attempt != event.attempt) return;
  if (sim_request.planned.request.fingerprint == kPoisonBody) {
    return HandlePoison(event.id);
  }
  sim_request.has_first_token = true;
  sim_request.first_token_at = now_;
  const bool in_time =
      now_ - sim_request.started <= GetClass(sim_request).first_token;
  Engine& engine = engines_[sim_request.engine];
  ++(in_time ? engine.evidence.in_time : engine.evidence.late);
  plugin_->on_first_token(*state_, event.id, now_);
}

inline void Simulation::HandleTokens(const Event& event) {
  SimRequest& sim_request = sim_requests_[event.id];
  if (!sim_request.running || sim_request.attempt != event.attempt) return;
  const std::uint32_t count =
      std::min(kTokensPerEvent,
               sim_request.planned.tokens - sim_request.reported_tokens);
  sim_request.reported_tokens += count;
  plugin_->on_tokens(*state_, event.id, count, now_);
}

inline void Simulation::HandleEnd(const Event& event) {
  SimRequest& sim_request = sim_requests_[event.id];
  if (!sim_request.running || sim_request.attempt != event.attempt) return;
  Engine& engine = engines_[sim_request.engine];
  if (!sim_request.has_first_token) {  // The attempt failed.
    ++engine.evidence.failed;
    return AbortAttempt(event.id, EndKind::kFailed);
  }
  if (engine.answers_until_warm > 0) --engine.answers_until_warm;
  ReleaseSlot(sim_request);
  FinishRequest(sim_request);
  RecordAnswer(sim_request);
  OnSuccess(budget_);
  ClearSuspect(poison_, sim_request.planned.request.fingerprint);
  CallScheduler([&](Actions& out) {
    plugin_->on_end(*state_, event.id, EndKind::kDone, now_, out);
  });
}

inline void Simulation::RecordAnswer(const SimRequest& sim_request) {
  ClassResult& cls = result_.classes[sim_request.planned.request.cls.idx];
  cls.first_tokens.push_back(DoubleSeconds(sim_request.first_token_at -
                                           sim_request.planned.request.arrived)
                                 .count());
  if (sim_request.first_token_at <= sim_request.planned.request.deadline) {
    ++cls.in_time;
    // Answers after the end of the workload don't count as its goodput.
    if (now_ <= TimeAt(workload_.length)) {
      result_.tokens_in_time += sim_request.planned.tokens;
    }
    CellFor(result_.tokens, sim_request.planned) += sim_request.planned.tokens;
  } else {
    ++cls.late;
  }
}

// Ends an attempt without an answer. The request may be retried.
inline void Simulation::AbortAttempt(std::uint64_t id, EndKind kind) {
  SimRequest& sim_request = sim_requests_[id];
  result_.wasted_slot_seconds +=
      DoubleSeconds(now_ - sim_request.started).count();
  ReleaseSlot(sim_request);
  ++sim_request.attempt;
  sim_request.has_first_token = false;
  sim_request.reported_tokens = 0;
  if (kind == EndKind::kCancelled) {
    AddEvent(now_, EventKind::kRetry, id);
  } else {
    RetryOrFail(id, kind);
  }
  CallScheduler(
      [&](Actions& out) { plugin_->on_end(*state_, id, kind, now_, out); });
}

inline void Simulation::RetryOrFail(std::uint64_t id, EndKind kind) {
  SimRequest& sim_request = sim_requests_[id];
  RetryContext context{kind, true};
  context.blamed = kind == EndKind::kDied;
  context.attempt = static_cast<std::uint8_t>(sim_request.attempt - 1);
  context.deadline = sim_request.planned.request.deadline;
  const RetryDecision decision =
      DecideRetry(budget_, context, kernel::RandomFraction(random_), now_);
  if (decision.should_retry) {
    AddEvent(now_ + decision.delay, EventKind::kRetry, id);
    return;
  }
  ++result_.classes[sim_request.planned.request.cls.idx].failed;
  FinishRequest(sim_request);
}

inline void Simulation::ReleaseSlot(SimRequest& sim_request) {
  sim_request.running = false;
  --engines_[sim_request.engine].in_flight;
  const DoubleSeconds spent = now_ - sim_request.started;
  result_.slot_seconds += spent.count();
  if (!sim_request.by_aging_quota) return;
  result_.aged_slot_seconds += spent.count();
  result_.longest_aged_attempt = std::max(result_.longest_aged_attempt, spent);
}

inline void Simulation::FinishRequest(SimRequest& sim_request) {
  Check(!sim_request.ended, "a request ended twice");
  sim_request.ended = true;
  --unfinished_;
}

}  // namespace egretladder::policy::load
