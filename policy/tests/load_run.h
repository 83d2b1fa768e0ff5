// A discrete-event simulation of one scheduler under one workload: engines with
// slots, service times and caches, on a simulated clock and from one seed.
// Invariants are checked after every event. The headers load_run_*.h define the
// handling of requests, engines and decisions; load_fixture.h includes them
// all.
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
  Simulation(std::string_view scheduler, Workload workload,
             const Limits& limits = {})
      : workload_(std::move(workload)),
        plugin_(kernel::FindPlugin<SchedulerPlugin>(scheduler)),
        random_(workload_.seed + 1),
        wait_counts_(MakeWaitCounts(workload_.classes.size())) {
    result_.scheduler = scheduler;
    result_.classes.resize(workload_.classes.size());
    result_.tokens.assign(workload_.classes.size(),
                          std::vector<double>(workload_.fleet.accounts));
    result_.demand = result_.tokens;
    result_.zone_starts_by_second.resize(
        static_cast<std::size_t>(workload_.length.count()) + 1);
    engines_.resize(workload_.fleet.endpoints);
    state_ = plugin_->create({ZoneHandle{0}, workload_.seed, limits});
  }

  /// Schedules a change at a time since the start, such as taking a zone out.
  void ScheduleChange(DoubleSeconds at,
                      std::function<void(Simulation&)> change) {
    changes_.emplace_back(at, std::move(change));
  }
  /// Applies new rules in which exactly these zones are out.
  void SetZonesOut(const std::vector<std::uint32_t>& zones);
  /// Multiplies all service times of an engine; 1 is normal.
  void SetSlowdown(std::uint32_t engine, double slowdown) {
    engines_[engine].slowdown = slowdown;
  }
  /// Sets the number of requests of other nodes at an engine.
  void SetOtherNodesInFlight(std::uint32_t engine,
                             std::uint32_t other_nodes_in_flight) {
    engines_[engine].other_nodes_in_flight = other_nodes_in_flight;
  }
  /// Clears an engine's caches. If `boot`, it is a restart that reports show.
  void MakeCold(std::uint32_t engine, bool boot);
  /// Crashes an engine and the attempts on it. It is back, cold, after
  /// `downtime`.
  void Crash(std::uint32_t engine, DoubleSeconds downtime);
  /// Sets the zone whose dispatches go to `Result::zone_starts_by_second`.
  void RecordStartsInZone(std::uint32_t zone) { recorded_zone_ = zone; }
  /// Runs the workload to its end. Must be called once only.
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
                std::max(engine.leased_slots, workload_.fleet.max_in_flight),
            "more requests in flight than the engine can take");
    }
  }

  static double& CellFor(std::vector<std::vector<double>>& table,
                         const PlannedRequest& planned) {
    return table[planned.request.cls.idx][planned.request.account.idx];
  }
  const ClassSpec& GetClass(const SimRequest& sim_request) const {
    return workload_.classes[sim_request.planned.request.cls.idx];
  }
  std::uint8_t GetTier(const Request& request) const {
    return workload_.classes[request.cls.idx].tier;
  }
  void Check(bool is_satisfied, const char* invariant) {
    if (is_satisfied) return;
    if (result_.violations++ == 0) result_.first_violation = invariant;
  }
  static std::chrono::nanoseconds ToNanoseconds(DoubleSeconds seconds) {
    return std::chrono::duration_cast<std::chrono::nanoseconds>(seconds);
  }
  void AddEvent(Time at, EventKind kind, std::uint64_t id,
                std::uint32_t attempt = 0) {
    events_.push({at, ++last_event_number_, kind, id, attempt});
  }

  Workload workload_;
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
