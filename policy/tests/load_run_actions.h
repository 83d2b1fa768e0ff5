// Carries out what the scheduler decides, and checks it.
#pragma once

#include "load_run.h"

namespace egretladder::policy::load {

inline void Run::Take(const Dispatch& dispatch) {
  Life& life = lives_[dispatch.request];
  Engine& engine = engines_[dispatch.endpoint.idx];
  const Request& request = life.planned.request;
  Check(life.waiting && !life.running, "started what did not wait");
  Check(engine.takes_work, "started at an endpoint that takes no work");
  Check(engine.in_flight < engine.leased, "more in flight than slots");
  Stop(life);
  const bool trickle = dispatch.reason == PickReason::kTrickle;
  if (!trickle && HigherWaits(waiting_, TierOf(request))) {
    ++result_.tier_inversions;
  }
  life.running = true;
  life.trickle = trickle;
  life.engine = dispatch.endpoint.idx;
  life.started = now_;
  NoteStart(life);
  ++engine.in_flight;
  Schedule(dispatch.request, life);
}

inline void Run::NoteStart(const Life& life) {
  const Request& request = life.planned.request;
  if (engines_[life.engine].slow > 1) ++result_.to_slow;
  const auto second =
      static_cast<std::size_t>(DoubleSeconds(now_ - kStart).count());
  if (life.engine % load_.fleet.zones == watched_zone_ &&
      second < result_.first_wave.size()) {
    ++result_.first_wave[second];
  }
  ClassResult& cls = result_.classes[request.cls.idx];
  cls.worst_wait =
      std::max<DoubleSeconds>(cls.worst_wait, now_ - request.arrived);
  EndUnserved(waiting_, request.cls.idx, now_, cls.longest_unserved);
}

inline void Run::Take(const Refuse& refuse) {
  Life& life = lives_[refuse.request];
  const Request& request = life.planned.request;
  Check(life.waiting, "refused what did not wait");
  Check(refuse.retry_after > 0ms, "a refusal without a time to come back");
  Stop(life);
  const bool for_room = refuse.reason == RefuseReason::kQueueFull ||
                        refuse.reason == RefuseReason::kShedForHigherTier;
  if (for_room && LowerWaits(waiting_, TierOf(request))) {
    ++result_.tier_inversions;
  }
  ClassResult& cls = result_.classes[request.cls.idx];
  ++cls.refused;
  cls.refusal_waits += now_ - request.arrived;
  cls.worst_refusal =
      std::max<DoubleSeconds>(cls.worst_refusal, now_ - request.arrived);
  Close(life);
}

inline void Run::Take(const Preempt& preempt) {
  Life& life = lives_[preempt.request];
  Check(life.running && !life.first_token, "preempted after a first token");
  Check(HigherWaits(waiting_, TierOf(life.planned.request)),
        "preempted for no higher tier");
  ++result_.preempted;
  BreakOff(preempt.request, EndKind::kCancelled);
}

inline void Run::Schedule(std::uint64_t id, const Life& life) {
  const Course course =
      CourseOf(engines_[life.engine], load_.fleet, ClassOfLife(life).work,
               life.planned.request.prefix);
  if (course.fails) {
    return Add(now_ + Cast(kFailsAfter), StepKind::kEnd, id, life.attempt);
  }
  Add(now_ + Cast(course.first), StepKind::kFirst, id, life.attempt);
  const std::uint32_t tokens = life.planned.tokens;
  for (std::uint32_t told = 0; told < tokens; told += kTokensAStep) {
    const std::uint32_t up_to = std::min(tokens, told + kTokensAStep);
    Add(now_ + Cast(course.first + course.token * up_to), StepKind::kTokens, id,
        life.attempt);
  }
  Add(now_ + Cast(course.first + course.token * tokens), StepKind::kEnd, id,
      life.attempt);
}

inline void Run::Stop(Life& life) {
  life.waiting = false;
  const Request& request = life.planned.request;
  StopWaiting(waiting_, request.cls.idx, TierOf(request), now_,
              result_.classes[request.cls.idx].longest_unserved);
}

}  // namespace egretladder::policy::load
