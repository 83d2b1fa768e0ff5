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

class Simulation {
 public:
  Simulation(std::string_view scheduler, Workload load,
             const Limits& limits = {})
      : load_(std::move(load)),
        plugin_(kernel::FindPlugin<SchedulerPlugin>(scheduler)),
        random_(load_.seed + 1),
        wait_counts_(MakeWaitCounts(load_.classes.size())) {
    result_.scheduler = scheduler;
    result_.classes.resize(load_.classes.size());
    result_.tokens.assign(load_.classes.size(),
                          std::vector<double>(load_.fleet.accounts));
    result_.demand = result_.tokens;
    result_.zone_starts_by_second.resize(
        static_cast<std::size_t>(load_.length.count()) + 1);
    engines_.resize(load_.fleet.endpoints);
    state_ = plugin_->create({ZoneHandle{0}, load_.seed, limits});
  }

  /// Does something to the run at a moment, such as taking a zone out.
  void ScheduleChange(DoubleSeconds at,
                      std::function<void(Simulation&)> change) {
    changes_.emplace_back(at, std::move(change));
  }
  /// New rules take these zones out, and all others back in.
  void SetZonesOut(const std::vector<std::uint32_t>& zones);
  /// An engine takes `slow` times as long for everything; 1 is as it should.
  void SetSlowdown(std::uint32_t engine, double slowdown) {
    engines_[engine].slowdown = slowdown;
  }
  /// So many requests of other nodes run at an engine.
  void SetOtherNodesInFlight(std::uint32_t engine,
                             std::uint32_t other_nodes_in_flight) {
    engines_[engine].other_nodes_in_flight = other_nodes_in_flight;
  }
  /// Restarts an engine's cache and compiled state; its boot changes if `boot`.
  void MakeCold(std::uint32_t engine, bool boot);
  /// The engine dies with what runs on it and is back, cold, after `away`.
  void Crash(std::uint32_t engine, DoubleSeconds downtime);
  /// The zone whose starts go to `first_wave`.
  void RecordStartsInZone(std::uint32_t zone) { recorded_zone_ = zone; }
  /// Plays the load to its end. Call it once.
  Result RunSimulation();

 private:
  static constexpr DoubleSeconds kFailureDelay{1.0};
  static constexpr std::uint32_t kTokensPerEvent = 50;
  static constexpr std::chrono::milliseconds kFleetInterval{500};

  void Start();
  void HandleEvent(const Event& event);
  void ApplyChange(std::uint64_t number);
  void CheckAllFinished();

  void HandleArrival(std::uint64_t id);
  void HandleFirstToken(const Event& event);
  void HandleTokens(const Event& event);
  void HandleEnd(const Event& event);
  void RecordAnswer(const SimRequest& sim_request);
  void AbortAttempt(std::uint64_t id, EndKind kind);
  void RetryOrFail(std::uint64_t id, EndKind kind);
  void ReleaseSlot(SimRequest& sim_request);
  void FinishRequest(SimRequest& sim_request);

  void HandlePoison(std::uint64_t id);
  void SetAvailable(std::uint32_t engine, bool available);
  void UpdateFleet();
  void RestartSlots(std::uint32_t engine);
  void UpdateLease(std::uint32_t engine);

  void Apply(const Dispatch& dispatch);
  void Apply(const Refuse& refuse);
  void Apply(const Preempt& preempt);
  void RecordStart(const SimRequest& sim_request);
  void ScheduleAttempt(std::uint64_t id, const SimRequest& sim_request);
  void LeaveQueue(SimRequest& sim_request);

  template <typename Call>
  void CallScheduler(Call call) {
    Actions out;
    call(out);
    for (const Action& action : out) {
      std::visit([&](const auto& decision) { Apply(decision); }, action);
    }
    for (const Engine& engine : engines_) {
      Check(engine.in_flight <=
                std::max(engine.leased_slots, load_.fleet.max_in_flight),
            "more in flight than the engine bears");
    }
  }

  static double& CellOf(std::vector<std::vector<double>>& table,
                        const PlannedRequest& planned) {
    return table[planned.request.cls.idx][planned.request.account.idx];
  }
  const ClassSpec& GetClass(const SimRequest& sim_request) const {
    return load_.classes[sim_request.planned.request.cls.idx];
  }
  std::uint8_t GetTier(const Request& request) const {
    return load_.classes[request.cls.idx].tier;
  }
  void Check(bool holds, const char* rule) {
    if (holds) return;
    if (result_.violations++ == 0) result_.first_violation = rule;
  }
  static std::chrono::nanoseconds ToNanoseconds(DoubleSeconds span) {
    return std::chrono::duration_cast<std::chrono::nanoseconds>(span);
  }
  void AddEvent(Time at, EventKind kind, std::uint64_t id,
                std::uint32_t attempt = 0) {
    events_.push({at, ++last_event_number_, kind, id, attempt});
  }

  Workload load_;
  const SchedulerPlugin* plugin_;
  std::unique_ptr<SchedulerState> state_;
  kernel::Random random_;
  Time now_{};
  std::uint64_t version_ = 0;
  std::uint64_t last_event_number_ = 0;
  std::size_t unfinished_ = 0;
  std::uint32_t recorded_zone_ = 0xffffffffU;
  RetryBudget budget_;
  PoisonState poison_;
  std::vector<Engine> engines_;
  std::unordered_map<std::uint64_t, SimRequest> sim_requests_;
  WaitCounts wait_counts_;
  std::vector<std::pair<DoubleSeconds, std::function<void(Simulation&)>>>
      changes_;
  std::priority_queue<Event, std::vector<Event>, std::greater<>> events_;
  Result result_;
};

}  // namespace egretladder::policy::load
