// Simulation of engines: slots, reports, cold starts, crashes and zones out.
#pragma once

#include "load_run.h"

namespace egretladder::policy::load {

inline void Simulation::SetZonesOut(const std::vector<std::uint32_t>& zones) {
  for (std::uint32_t i = 0; i < engines_.size(); ++i) {
    engines_[i].takes_work =
        std::find(zones.begin(), zones.end(), i % workload_.fleet.zones) ==
        zones.end();
  }
  CallScheduler([&](Actions& out) {
    plugin_->on_rules(*state_, MakeRules(workload_, ++version_, zones), now_,
                      out);
  });
}

inline void Simulation::MakeCold(std::uint32_t engine, bool boot) {
  Engine& cold_engine = engines_[engine];
  cold_engine.answers_until_warm = kAnswersToWarm;
  cold_engine.cached.clear();
  if (!boot) return;
  ++cold_engine.boot;
  RestartSlots(engine);
}

inline void Simulation::Crash(std::uint32_t engine, DoubleSeconds downtime) {
  engines_[engine].takes_work = false;
  SetAvailable(engine, false);
  std::vector<std::uint64_t> ids;
  for (const auto& [id, sim_request] : sim_requests_) {
    if (sim_request.running && sim_request.engine == engine) ids.push_back(id);
  }
  std::sort(ids.begin(), ids.end());
  for (const std::uint64_t id : ids) AbortAttempt(id, EndKind::kDied);
  changes_.emplace_back(DoubleSeconds(now_ - kStart) + downtime,
                        [engine](Simulation& simulation) {
                          simulation.engines_[engine].takes_work = true;
                          simulation.MakeCold(engine, true);
                          simulation.SetAvailable(engine, true);
                        });
  AddEvent(now_ + ToNanoseconds(downtime), EventKind::kPlannedChange,
           changes_.size() - 1);
}

// Crashes the engine that runs the poison body, and quarantines the bodies that
// are identified by this.
inline void Simulation::HandlePoison(std::uint64_t id) {
  const std::uint32_t engine = sim_requests_[id].engine;
  ++result_.poison_deaths;
  std::vector<std::uint64_t> running;
  for (const auto& [other, sim_request] : sim_requests_) {
    if (sim_request.running && sim_request.engine == engine) {
      running.push_back(sim_request.planned.request.fingerprint);
    }
  }
  for (const QuarantineNotice& notice :
       OnEndpointDied(poison_, running, now_)) {
    const bool is_innocent = notice.fingerprint != kPoisonBody;
    Check(!is_innocent, "an innocent body was quarantined");
    CallScheduler([&](Actions& out) {
      plugin_->on_quarantine(*state_, notice.fingerprint, now_ + notice.left,
                             now_, out);
    });
  }
  Crash(engine, DoubleSeconds(10));
}

inline void Simulation::SetAvailable(std::uint32_t engine, bool available) {
  CallScheduler([&](Actions& out) {
    plugin_->on_available(*state_, EndpointHandle{engine}, available, now_,
                          out);
  });
}

// Plays the part of the other nodes: updates the slots of each engine from its
// evidence, and delivers reports that are one second old.
inline void Simulation::UpdateFleet() {
  for (std::uint32_t i = 0; i < engines_.size(); ++i) {
    Engine& engine = engines_[i];
    engine.evidence.boot = engine.boot;
    const SlotReason reason = OnEvidence(engine.slots, engine.evidence, now_);
    engine.evidence = {};
    if (reason != SlotReason::kUnchanged) UpdateLease(i);
    EngineReport report;
    report.age = 1000ms;
    report.boot = engine.boot;
    report.running = engine.in_flight + engine.other_nodes_in_flight;
    report.loaded = {TargetHandle{0}};
    plugin_->on_report(*state_, EndpointHandle{i}, report, now_);
  }
}

inline void Simulation::RestartSlots(std::uint32_t engine) {
  Engine& started = engines_[engine];
  const std::uint32_t initial_slots = started.answers_until_warm > 0
                                          ? workload_.fleet.cold_max_in_flight
                                          : workload_.fleet.max_in_flight;
  (void)StartSlots(started.slots, initial_slots, workload_.fleet.max_in_flight,
                   started.boot, now_);
  started.slots.cold_max_in_flight = workload_.fleet.cold_max_in_flight;
  UpdateLease(engine);
}

inline void Simulation::UpdateLease(std::uint32_t engine) {
  engines_[engine].leased_slots = engines_[engine].slots.slots;
  CallScheduler([&](Actions& out) {
    plugin_->on_slots(*state_, EndpointHandle{engine},
                      engines_[engine].leased_slots, now_, out);
  });
}

}  // namespace egretladder::policy::load
