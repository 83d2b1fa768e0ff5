// A run of one scheduler under one load: engines with slots, service times and
// caches on a paused clock, from one seed. After every step the rules that no
// run may break are checked.
#pragma once

#include <functional>
#include <queue>
#include <set>
#include <string>
#include <string_view>
#include <unordered_map>
#include <unordered_set>
#include <utility>
#include <variant>
#include <vector>

#include "egretladder/kernel/registry.h"
#include "egretladder/policy/poison.h"
#include "egretladder/policy/retry.h"
#include "load_model.h"
#include "load_parts.h"
#include "load_result.h"

namespace egretladder::policy::load {

class Run {
 public:
  Run(std::string_view scheduler, Load load, const Limits& limits = {})
      : load_(std::move(load)),
        plugin_(kernel::FindPlugin<SchedulerPlugin>(scheduler)),
        random_(load_.seed + 1) {
    result_.scheduler = scheduler;
    result_.classes.resize(load_.classes.size());
    result_.tokens.assign(load_.classes.size(),
                          std::vector<double>(load_.fleet.accounts));
    result_.demand = result_.tokens;
    result_.first_wave.resize(static_cast<std::size_t>(load_.length.count()) +
                              1);
    engines_.resize(load_.fleet.endpoints);
    unserved_since_.resize(load_.classes.size(), Time::max());
    waiting_by_tier_.resize(rules::kBottomTier + 1U);
    waiting_by_class_.resize(load_.classes.size());
    state_ = plugin_->create({ZoneHandle{0}, load_.seed, limits});
  }

  /// Does something to the run at a moment, such as taking a zone out.
  void Change(Span at, std::function<void(Run&)> change) {
    changes_.emplace_back(at, std::move(change));
  }

  void SetZonesOut(const std::vector<std::uint32_t>& zones) {
    for (std::uint32_t i = 0; i < engines_.size(); ++i) {
      engines_[i].takes_work = std::find(zones.begin(), zones.end(),
                                         i % load_.fleet.zones) == zones.end();
    }
    Act([&](Actions& out) {
      plugin_->on_rules(*state_, MakeRules(load_, ++version_, zones), now_,
                        out);
    });
  }
  void SetSlow(std::uint32_t engine, double slow) {
    engines_[engine].slow = slow;
  }
  void SetOthers(std::uint32_t engine, std::uint32_t others) {
    engines_[engine].others = others;
  }
  /// Restarts an engine's cache and compiled state; its boot changes if `boot`.
  void TurnCold(std::uint32_t engine, bool boot) {
    Engine& cold = engines_[engine];
    cold.cold_answers = kAnswersToWarm;
    cold.cached.clear();
    if (!boot) return;
    ++cold.boot;
    Restart(engine);
  }
  /// The engine dies with what runs on it and is back, cold, after `away`.
  void Crash(std::uint32_t engine, Span away) {
    engines_[engine].takes_work = false;
    SetAvailable(engine, false);
    std::vector<std::uint64_t> ids;
    for (const auto& [id, life] : lives_) {
      if (life.running && life.engine == engine) ids.push_back(id);
    }
    std::sort(ids.begin(), ids.end());
    for (const std::uint64_t id : ids) BreakOff(id, EndKind::kDied);
    changes_.emplace_back(Span(now_ - kStart) + away, [engine](Run& run) {
      run.engines_[engine].takes_work = true;
      run.TurnCold(engine, true);
      run.SetAvailable(engine, true);
    });
    Add(now_ + Cast(away), StepKind::kChange, changes_.size() - 1);
  }
  /// The zone whose starts go to `first_wave`.
  void WatchZone(std::uint32_t zone) { watched_zone_ = zone; }

  Result Play() {
    Begin();
    while (!steps_.empty()) {
      const Step step = steps_.top();
      steps_.pop();
      now_ = step.at;
      Do(step);
      if (now_ > At(load_.length) && open_ == 0) break;
    }
    Finish();
    return result_;
  }

 private:
  static constexpr std::uint32_t kAnswersToWarm = 24;
  static constexpr double kColdTimes = 3;
  static constexpr std::size_t kCachedMost = 24;
  static constexpr double kCachedTimes = 0.3;
  static constexpr Span kFailsAfter{1.0};
  static constexpr std::uint32_t kTokensAStep = 50;

  void Begin() {
    now_ = kStart;
    for (Planned& planned : PlanArrivals(load_)) {
      if (load_.poison_every > 0 &&
          planned.request.id % load_.poison_every == 0) {
        planned.request.fingerprint = kPoisonBody;
      }
      ++result_.classes[planned.request.cls.idx].offered;
      Account(result_.demand, planned) += planned.tokens;
      Add(planned.request.arrived, StepKind::kArrive, planned.request.id);
      lives_[planned.request.id].planned = planned;
    }
    open_ = lives_.size();
    for (std::size_t i = 0; i < changes_.size(); ++i) {
      Add(At(changes_[i].first), StepKind::kChange, i);
    }
    SetZonesOut({});
    for (std::uint32_t i = 0; i < engines_.size(); ++i) {
      if (load_.fleet.starts_cold) engines_[i].cold_answers = kAnswersToWarm;
      Restart(i);
    }
    Add(now_ + kSchedulerTick, StepKind::kTick, 0);
    Add(now_ + 500ms, StepKind::kFleet, 0);
  }

  void Do(const Step& step) {
    switch (step.kind) {
      case StepKind::kArrive:
      case StepKind::kRetry:
        return Arrive(step.id);
      case StepKind::kFirst:
        return FirstToken(step);
      case StepKind::kTokens:
        return Tokens(step);
      case StepKind::kEnd:
        return End(step);
      case StepKind::kTick:
        Act([&](Actions& out) { plugin_->on_tick(*state_, now_, out); });
        return Add(now_ + kSchedulerTick, StepKind::kTick, 0);
      case StepKind::kFleet:
        Fleet();
        return Add(now_ + 500ms, StepKind::kFleet, 0);
      case StepKind::kChange:
        return RunChange(step.id);
    }
  }

  // A change may add others, which moves the list.
  void RunChange(std::uint64_t number) {
    const std::function<void(Run&)> change = changes_[number].second;
    change(*this);
  }

  void Arrive(std::uint64_t id) {
    Life& life = lives_[id];
    life.waiting = true;
    const Request& request = life.planned.request;
    if (Waiting(request, 1) == 1) unserved_since_[request.cls.idx] = now_;
    Request copy = request;
    copy.attempt = static_cast<std::uint8_t>(life.attempt);
    copy.suspect = IsSuspect(poison_, request.fingerprint, now_);
    Act([&](Actions& out) { plugin_->on_arrival(*state_, copy, now_, out); });
  }

  void FirstToken(const Step& step) {
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

  void Tokens(const Step& step) {
    Life& life = lives_[step.id];
    if (!life.running || life.attempt != step.attempt) return;
    const std::uint32_t count =
        std::min(kTokensAStep, life.planned.tokens - life.told_tokens);
    life.told_tokens += count;
    plugin_->on_tokens(*state_, step.id, count, now_);
  }

  void End(const Step& step) {
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
    ClassResult& cls = result_.classes[life.planned.request.cls.idx];
    cls.first_tokens.push_back(
        Span(life.first_at - life.planned.request.arrived).count());
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
    OnSuccess(budget_);
    OnRanWell(poison_, life.planned.request.fingerprint);
    Act([&](Actions& out) {
      plugin_->on_end(*state_, step.id, EndKind::kDone, now_, out);
    });
  }

  // An attempt ends without an answer; it may be repeated.
  void BreakOff(std::uint64_t id, EndKind kind) {
    Life& life = lives_[id];
    result_.wasted_slot_seconds += Span(now_ - life.started).count();
    Leave(life);
    ++life.attempt;
    life.first_token = false;
    life.told_tokens = 0;
    if (kind == EndKind::kCancelled) {
      Add(now_, StepKind::kRetry, id);
    } else {
      RetryQuestion question{kind, true};
      question.blamed = kind == EndKind::kDied;
      question.attempt = static_cast<std::uint8_t>(life.attempt - 1);
      question.deadline = life.planned.request.deadline;
      const RetryAnswer answer =
          DecideRetry(budget_, question, kernel::Fraction(random_), now_);
      if (answer.again) {
        Add(now_ + answer.delay, StepKind::kRetry, id);
      } else {
        ++result_.classes[life.planned.request.cls.idx].failed;
        Close(life);
      }
    }
    Act([&](Actions& out) { plugin_->on_end(*state_, id, kind, now_, out); });
  }

  void Leave(Life& life) {
    life.running = false;
    --engines_[life.engine].in_flight;
    const Span spent = now_ - life.started;
    result_.slot_seconds += spent.count();
    if (!life.trickle) return;
    result_.trickle_slot_seconds += spent.count();
    result_.longest_trickle = std::max(result_.longest_trickle, spent);
  }

  void Close(Life& life) {
    Check(!life.ended, "a request ended twice");
    life.ended = true;
    --open_;
  }

  // One body crashes every engine that runs it, and its caller sends it again.
  void Poison(std::uint64_t id) {
    const std::uint32_t engine = lives_[id].engine;
    ++result_.poison_deaths;
    std::vector<std::uint64_t> running;
    for (const auto& [other, life] : lives_) {
      if (life.running && life.engine == engine) {
        running.push_back(life.planned.request.fingerprint);
      }
    }
    for (const Quarantined& held : OnEndpointDied(poison_, running, now_)) {
      const bool innocent = held.fingerprint != kPoisonBody;
      Check(!innocent, "an innocent body was quarantined");
      Act([&](Actions& out) {
        plugin_->on_quarantine(*state_, held.fingerprint, now_ + held.left,
                               now_, out);
      });
    }
    Crash(engine, Span(10));
  }

  void SetAvailable(std::uint32_t engine, bool available) {
    Act([&](Actions& out) {
      plugin_->on_available(*state_, EndpointHandle{engine}, available, now_,
                            out);
    });
  }

  // The keeper's part: slots from evidence, reports a second old.
  void Fleet() {
    for (std::uint32_t i = 0; i < engines_.size(); ++i) {
      Engine& engine = engines_[i];
      engine.evidence.boot = engine.boot;
      const SlotReason reason = OnEvidence(engine.slots, engine.evidence, now_);
      engine.evidence = {};
      if (reason != SlotReason::kUnchanged) Lease(i);
      EngineReport report;
      report.age = 1000ms;
      report.boot = engine.boot;
      report.running = engine.in_flight + engine.others;
      report.loaded = {TargetHandle{0}};
      plugin_->on_report(*state_, EndpointHandle{i}, report, now_);
    }
  }
  void Restart(std::uint32_t engine) {
    Engine& started = engines_[engine];
    const std::uint32_t cold =
        started.cold_answers > 0 ? load_.fleet.cold_bears : load_.fleet.bears;
    (void)StartSlots(started.slots, cold, load_.fleet.bears, started.boot,
                     now_);
    started.slots.cold_bears = load_.fleet.cold_bears;
    Lease(engine);
  }
  void Lease(std::uint32_t engine) {
    engines_[engine].leased = engines_[engine].slots.slots;
    Act([&](Actions& out) {
      plugin_->on_slots(*state_, EndpointHandle{engine},
                        engines_[engine].leased, now_, out);
    });
  }

  template <typename Call>
  void Act(Call call) {
    Actions out;
    call(out);
    for (const Action& action : out) {
      std::visit([&](const auto& one) { Take(one); }, action);
    }
    CheckStep();
  }

  void Take(const Dispatch& dispatch) {
    Life& life = lives_[dispatch.request];
    Engine& engine = engines_[dispatch.endpoint.idx];
    const Request& request = life.planned.request;
    Check(life.waiting && !life.running, "started what did not wait");
    Check(engine.takes_work, "started at an endpoint that takes no work");
    Check(engine.in_flight < engine.leased, "more in flight than slots");
    Stop(life);
    const bool trickle = dispatch.reason == PickReason::kTrickle;
    if (!trickle) CheckTierOrder(request);
    life.running = true;
    life.trickle = trickle;
    life.engine = dispatch.endpoint.idx;
    life.started = now_;
    if (engine.slow > 1) ++result_.to_slow;
    const auto second = static_cast<std::size_t>(Span(now_ - kStart).count());
    if (life.engine % load_.fleet.zones == watched_zone_ &&
        second < result_.first_wave.size()) {
      ++result_.first_wave[second];
    }
    ClassResult& cls = result_.classes[request.cls.idx];
    cls.worst_wait = std::max<Span>(cls.worst_wait, now_ - request.arrived);
    NoteUnserved(request.cls.idx);
    Schedule(dispatch.request, life, engine);
  }

  void Take(const Refuse& refuse) {
    Life& life = lives_[refuse.request];
    const Request& request = life.planned.request;
    Check(life.waiting, "refused what did not wait");
    Check(refuse.retry_after > 0ms, "a refusal without a time to come back");
    Stop(life);
    const bool for_room = refuse.reason == RefuseReason::kQueueFull ||
                          refuse.reason == RefuseReason::kShedForHigherTier;
    if (for_room && LowerWaits(TierOf(request))) ++result_.tier_inversions;
    ClassResult& cls = result_.classes[request.cls.idx];
    ++cls.refused;
    cls.refusal_waits += now_ - request.arrived;
    cls.worst_refusal =
        std::max<Span>(cls.worst_refusal, now_ - request.arrived);
    Close(life);
  }

  void Take(const Preempt& preempt) {
    Life& life = lives_[preempt.request];
    Check(life.running && !life.first_token, "preempted after a first token");
    Check(HigherWaits(TierOf(life.planned.request)),
          "preempted for no higher tier");
    ++result_.preempted;
    BreakOff(preempt.request, EndKind::kCancelled);
  }

  void Schedule(std::uint64_t id, const Life& life, Engine& engine) {
    const bool cold = engine.cold_answers > 0;
    if (++engine.in_flight > load_.fleet.cold_bears && cold &&
        engine.in_flight > 2 * load_.fleet.cold_bears +
                               (kAnswersToWarm - engine.cold_answers)) {
      return Add(now_ + Cast(kFailsAfter), StepKind::kEnd, id, life.attempt);
    }
    const double cached = UseCache(engine, life.planned.request.prefix);
    const double slowed = engine.slow * Crowding(engine);
    const Span first = ClassOfLife(life).work.first_token * slowed * cached *
                       (cold ? kColdTimes : 1.0);
    const Span token = kBetweenTokens * slowed;
    Add(now_ + Cast(first), StepKind::kFirst, id, life.attempt);
    const std::uint32_t tokens = life.planned.tokens;
    for (std::uint32_t told = 0; told < tokens; told += kTokensAStep) {
      const std::uint32_t up_to = std::min(tokens, told + kTokensAStep);
      Add(now_ + Cast(first + token * up_to), StepKind::kTokens, id,
          life.attempt);
    }
    Add(now_ + Cast(first + token * tokens), StepKind::kEnd, id, life.attempt);
  }

  // A larger batch makes each of its answers slower.
  double Crowding(const Engine& engine) const {
    const double load = engine.in_flight + engine.others;
    return 0.7 + 0.3 * load / load_.fleet.bears;
  }

  static double UseCache(Engine& engine, std::uint64_t prefix) {
    if (prefix == 0) return 1;
    const auto found =
        std::find(engine.cached.begin(), engine.cached.end(), prefix);
    const bool hit = found != engine.cached.end();
    if (hit) engine.cached.erase(found);
    engine.cached.push_front(prefix);
    if (engine.cached.size() > kCachedMost) engine.cached.pop_back();
    return hit ? kCachedTimes : 1;
  }

  std::uint32_t Waiting(const Request& request, int change) {
    waiting_by_tier_[TierOf(request)] += static_cast<std::uint32_t>(change);
    return waiting_by_class_[request.cls.idx] +=
           static_cast<std::uint32_t>(change);
  }
  void Stop(Life& life) {
    life.waiting = false;
    const Request& request = life.planned.request;
    if (Waiting(request, -1) == 0) NoteUnserved(request.cls.idx);
  }
  void NoteUnserved(std::uint32_t cls) {
    if (unserved_since_[cls] != Time::max()) {
      Span& longest = result_.classes[cls].longest_unserved;
      longest = std::max<Span>(longest, now_ - unserved_since_[cls]);
    }
    unserved_since_[cls] = waiting_by_class_[cls] > 0 ? now_ : Time::max();
  }

  static double& Account(std::vector<std::vector<double>>& table,
                         const Planned& planned) {
    return table[planned.request.cls.idx][planned.request.account.idx];
  }
  const ClassSpec& ClassOfLife(const Life& life) const {
    return load_.classes[life.planned.request.cls.idx];
  }
  std::uint8_t TierOf(const Request& request) const {
    return load_.classes[request.cls.idx].tier;
  }
  bool LowerWaits(std::uint8_t tier) const {
    for (std::size_t i = tier + 1U; i < waiting_by_tier_.size(); ++i) {
      if (waiting_by_tier_[i] > 0) return true;
    }
    return false;
  }
  bool HigherWaits(std::uint8_t tier) const {
    for (std::size_t i = 0; i < tier; ++i) {
      if (waiting_by_tier_[i] > 0) return true;
    }
    return false;
  }
  void CheckTierOrder(const Request& request) {
    if (HigherWaits(TierOf(request))) ++result_.tier_inversions;
  }
  void CheckStep() {
    for (const Engine& engine : engines_) {
      Check(engine.in_flight <= std::max(engine.leased, load_.fleet.bears),
            "more in flight than the engine bears");
    }
  }
  void Check(bool holds, const char* rule) {
    if (holds) return;
    if (result_.broken++ == 0) result_.first_broken = rule;
  }
  void Finish() {
    for (const auto& [id, life] : lives_) {
      Check(life.ended, "a request never ended");
    }
  }

  static std::chrono::nanoseconds Cast(Span span) {
    return std::chrono::duration_cast<std::chrono::nanoseconds>(span);
  }
  void Add(Time at, StepKind kind, std::uint64_t id,
           std::uint32_t attempt = 0) {
    steps_.push({at, ++numbers_, kind, id, attempt});
  }

  Load load_;
  const SchedulerPlugin* plugin_;
  std::unique_ptr<SchedulerState> state_;
  kernel::Random random_;
  Time now_{};
  std::uint64_t version_ = 0;
  std::uint64_t numbers_ = 0;
  std::size_t open_ = 0;
  std::uint32_t watched_zone_ = 0xffffffffU;
  RetryBudget budget_;
  PoisonState poison_;
  std::vector<Engine> engines_;
  std::unordered_map<std::uint64_t, Life> lives_;
  std::vector<std::uint32_t> waiting_by_tier_;
  std::vector<std::uint32_t> waiting_by_class_;
  std::vector<Time> unserved_since_;
  std::vector<std::pair<Span, std::function<void(Run&)>>> changes_;
  std::priority_queue<Step, std::vector<Step>, std::greater<>> steps_;
  Result result_;
};

}  // namespace egretladder::policy::load
