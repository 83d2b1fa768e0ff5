// A run of one scheduler under one load: engines with slots, service times and
// caches on a paused clock, from one seed. After every step the rules that no
// run may break are checked. What happens to requests, engines and decisions
// stands in the headers load_run_*.h; load_fixture.h has them all.
#pragma once

#include <functional>
#include <memory>
#include <queue>
#include <string_view>
#include <unordered_map>
#include <utility>
#include <variant>
#include <vector>

#include "egretladder/kernel/registry.h"
#include "egretladder/policy/poison.h"
#include "egretladder/policy/retry.h"
#include "load_engine.h"
#include "load_parts.h"
#include "load_result.h"
#include "load_waiting.h"

namespace egretladder::policy::load {

class Run {
 public:
  Run(std::string_view scheduler, Workload load, const Limits& limits = {})
      : load_(std::move(load)),
        plugin_(kernel::FindPlugin<SchedulerPlugin>(scheduler)),
        random_(load_.seed + 1),
        waiting_(NoneWaiting(load_.classes.size())) {
    result_.scheduler = scheduler;
    result_.classes.resize(load_.classes.size());
    result_.tokens.assign(load_.classes.size(),
                          std::vector<double>(load_.fleet.accounts));
    result_.demand = result_.tokens;
    result_.first_wave.resize(static_cast<std::size_t>(load_.length.count()) +
                              1);
    engines_.resize(load_.fleet.endpoints);
    state_ = plugin_->create({ZoneHandle{0}, load_.seed, limits});
  }

  /// Does something to the run at a moment, such as taking a zone out.
  void Change(DoubleSeconds at, std::function<void(Run&)> change) {
    changes_.emplace_back(at, std::move(change));
  }
  /// New rules take these zones out, and all others back in.
  void SetZonesOut(const std::vector<std::uint32_t>& zones);
  /// An engine takes `slow` times as long for everything; 1 is as it should.
  void SetSlow(std::uint32_t engine, double slow) {
    engines_[engine].slow = slow;
  }
  /// So many requests of other nodes run at an engine.
  void SetOthers(std::uint32_t engine, std::uint32_t others) {
    engines_[engine].others = others;
  }
  /// Restarts an engine's cache and compiled state; its boot changes if `boot`.
  void TurnCold(std::uint32_t engine, bool boot);
  /// The engine dies with what runs on it and is back, cold, after `away`.
  void Crash(std::uint32_t engine, DoubleSeconds away);
  /// The zone whose starts go to `first_wave`.
  void WatchZone(std::uint32_t zone) { watched_zone_ = zone; }
  /// Plays the load to its end. Call it once.
  Result RunSimulation();

 private:
  static constexpr DoubleSeconds kFailsAfter{1.0};
  static constexpr std::uint32_t kTokensAStep = 50;
  static constexpr std::chrono::milliseconds kFleetStep{500};

  void Begin();
  void Do(const Step& step);
  void RunChange(std::uint64_t number);
  void Finish();

  void Arrive(std::uint64_t id);
  void FirstToken(const Step& step);
  void Tokens(const Step& step);
  void End(const Step& step);
  void NoteAnswer(const Life& life);
  void BreakOff(std::uint64_t id, EndKind kind);
  void RepeatOrFail(std::uint64_t id, EndKind kind);
  void Leave(Life& life);
  void Close(Life& life);

  void Poison(std::uint64_t id);
  void SetAvailable(std::uint32_t engine, bool available);
  void Fleet();
  void Restart(std::uint32_t engine);
  void Lease(std::uint32_t engine);

  void Take(const Dispatch& dispatch);
  void Take(const Refuse& refuse);
  void Take(const Preempt& preempt);
  void NoteStart(const Life& life);
  void Schedule(std::uint64_t id, const Life& life);
  void Stop(Life& life);

  template <typename Call>
  void Act(Call call) {
    Actions out;
    call(out);
    for (const Action& action : out) {
      std::visit([&](const auto& one) { Take(one); }, action);
    }
    for (const Engine& engine : engines_) {
      Check(engine.in_flight <=
                std::max(engine.leased, load_.fleet.max_in_flight),
            "more in flight than the engine bears");
    }
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
  void Check(bool holds, const char* rule) {
    if (holds) return;
    if (result_.violations++ == 0) result_.first_violation = rule;
  }
  static std::chrono::nanoseconds Cast(DoubleSeconds span) {
    return std::chrono::duration_cast<std::chrono::nanoseconds>(span);
  }
  void Add(Time at, StepKind kind, std::uint64_t id,
           std::uint32_t attempt = 0) {
    steps_.push({at, ++numbers_, kind, id, attempt});
  }

  Workload load_;
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
  Waiting waiting_;
  std::vector<std::pair<DoubleSeconds, std::function<void(Run&)>>> changes_;
  std::priority_queue<Step, std::vector<Step>, std::greater<>> steps_;
  Result result_;
};

}  // namespace egretladder::policy::load
