// What happens to requests: they arrive, run, answer, end or are repeated.
#pragma once

#include "load_run.h"

namespace egretladder::policy::load {

inline void Run::Arrive(std::uint64_t id) {
  Life& life = lives_[id];
  life.waiting = true;
  const Request& request = life.planned.request;
  StartWaiting(waiting_, request.cls.idx, TierOf(request), now_);
  Request copy = request;
  copy.attempt = static_cast<std::uint8_t>(life.attempt);
  copy.suspect = IsSuspect(poison_, request.fingerprint, now_);
  Act([&](Actions& out) { plugin_->on_arrival(*state_, copy, now_, out); });
}

inline void Run::FirstToken(const Step& step) {
  Life& life = lives_[step.id];
  if (!life.running || life.attempt != step.attempt) return;
  if (life.planned.request.fingerprint == kPoisonBody) {
    return Poison(step.id);
  }
  life.first_token = true;
  life.first_at = now_;
  const bool in_time = now_ - life.started <= ClassOfLife(life).first_token;
  Engine& engine = engines_[life.engine];
  ++(in_time ? engine.evidence.in_time : engine.evidence.late);
  plugin_->on_first_token(*state_, step.id, now_);
}

inline void Run::Tokens(const Step& step) {
  Life& life = lives_[step.id];
  if (!life.running || life.attempt != step.attempt) return;
  const std::uint32_t count =
      std::min(kTokensAStep, life.planned.tokens - life.told_tokens);
  life.told_tokens += count;
  plugin_->on_tokens(*state_, step.id, count, now_);
}

inline void Run::End(const Step& step) {
  Life& life = lives_[step.id];
  if (!life.running || life.attempt != step.attempt) return;
  Engine& engine = engines_[life.engine];
  if (!life.first_token) {  // It failed.
    ++engine.evidence.failed;
    return BreakOff(step.id, EndKind::kFailed);
  }
  if (engine.cold_answers > 0) --engine.cold_answers;
  Leave(life);
  Close(life);
  NoteAnswer(life);
  OnSuccess(budget_);
  ClearSuspect(poison_, life.planned.request.fingerprint);
  Act([&](Actions& out) {
    plugin_->on_end(*state_, step.id, EndKind::kDone, now_, out);
  });
}

inline void Run::NoteAnswer(const Life& life) {
  ClassResult& cls = result_.classes[life.planned.request.cls.idx];
  cls.first_tokens.push_back(
      DoubleSeconds(life.first_at - life.planned.request.arrived).count());
  if (life.first_at <= life.planned.request.deadline) {
    ++cls.in_time;
    // Work that a queue carries past the end is no goodput of the load.
    if (now_ <= At(load_.length)) {
      result_.tokens_in_time += life.planned.tokens;
    }
    Account(result_.tokens, life.planned) += life.planned.tokens;
  } else {
    ++cls.late;
  }
}

// An attempt ends without an answer; it may be repeated.
inline void Run::BreakOff(std::uint64_t id, EndKind kind) {
  Life& life = lives_[id];
  result_.wasted_slot_seconds += DoubleSeconds(now_ - life.started).count();
  Leave(life);
  ++life.attempt;
  life.first_token = false;
  life.told_tokens = 0;
  if (kind == EndKind::kCancelled) {
    Add(now_, StepKind::kRetry, id);
  } else {
    RepeatOrFail(id, kind);
  }
  Act([&](Actions& out) { plugin_->on_end(*state_, id, kind, now_, out); });
}

inline void Run::RepeatOrFail(std::uint64_t id, EndKind kind) {
  Life& life = lives_[id];
  RetryContext question{kind, true};
  question.blamed = kind == EndKind::kDied;
  question.attempt = static_cast<std::uint8_t>(life.attempt - 1);
  question.deadline = life.planned.request.deadline;
  const RetryDecision answer =
      DecideRetry(budget_, question, kernel::RandomFraction(random_), now_);
  if (answer.should_retry) {
    Add(now_ + answer.delay, StepKind::kRetry, id);
    return;
  }
  ++result_.classes[life.planned.request.cls.idx].failed;
  Close(life);
}

inline void Run::Leave(Life& life) {
  life.running = false;
  --engines_[life.engine].in_flight;
  const DoubleSeconds spent = now_ - life.started;
  result_.slot_seconds += spent.count();
  if (!life.trickle) return;
  result_.trickle_slot_seconds += spent.count();
  result_.longest_trickle = std::max(result_.longest_trickle, spent);
}

inline void Run::Close(Life& life) {
  Check(!life.ended, "a request ended twice");
  life.ended = true;
  --open_;
}

}  // namespace egretladder::policy::load
