// What happens to engines: slots, reports, cold starts, crashes, zones out.
#pragma once

#include "load_run.h"

namespace egretladder::policy::load {

inline void Run::SetZonesOut(const std::vector<std::uint32_t>& zones) {
  for (std::uint32_t i = 0; i < engines_.size(); ++i) {
    engines_[i].takes_work = std::find(zones.begin(), zones.end(),
                                       i % load_.fleet.zones) == zones.end();
  }
  Act([&](Actions& out) {
    plugin_->on_rules(*state_, MakeRules(load_, ++version_, zones), now_, out);
  });
}

inline void Run::TurnCold(std::uint32_t engine, bool boot) {
  Engine& cold = engines_[engine];
  cold.cold_answers = kAnswersToWarm;
  cold.cached.clear();
  if (!boot) return;
  ++cold.boot;
  Restart(engine);
}

inline void Run::Crash(std::uint32_t engine, DoubleSeconds away) {
  engines_[engine].takes_work = false;
  SetAvailable(engine, false);
  std::vector<std::uint64_t> ids;
  for (const auto& [id, life] : lives_) {
    if (life.running && life.engine == engine) ids.push_back(id);
  }
  std::sort(ids.begin(), ids.end());
  for (const std::uint64_t id : ids) BreakOff(id, EndKind::kDied);
  changes_.emplace_back(DoubleSeconds(now_ - kStart) + away,
                        [engine](Run& run) {
                          run.engines_[engine].takes_work = true;
                          run.TurnCold(engine, true);
                          run.SetAvailable(engine, true);
                        });
  Add(now_ + Cast(away), StepKind::kChange, changes_.size() - 1);
}

// One body crashes every engine that runs it, and its caller sends it again.
inline void Run::Poison(std::uint64_t id) {
  const std::uint32_t engine = lives_[id].engine;
  ++result_.poison_deaths;
  std::vector<std::uint64_t> running;
  for (const auto& [other, life] : lives_) {
    if (life.running && life.engine == engine) {
      running.push_back(life.planned.request.fingerprint);
    }
  }
  for (const QuarantineNotice& held : OnEndpointDied(poison_, running, now_)) {
    const bool innocent = held.fingerprint != kPoisonBody;
    Check(!innocent, "an innocent body was quarantined");
    Act([&](Actions& out) {
      plugin_->on_quarantine(*state_, held.fingerprint, now_ + held.left, now_,
                             out);
    });
  }
  Crash(engine, DoubleSeconds(10));
}

inline void Run::SetAvailable(std::uint32_t engine, bool available) {
  Act([&](Actions& out) {
    plugin_->on_available(*state_, EndpointHandle{engine}, available, now_,
                          out);
  });
}

// The keeper's part: slots from evidence, reports a second old.
inline void Run::Fleet() {
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

inline void Run::Restart(std::uint32_t engine) {
  Engine& started = engines_[engine];
  const std::uint32_t cold = started.cold_answers > 0
                                 ? load_.fleet.cold_max_in_flight
                                 : load_.fleet.max_in_flight;
  (void)StartSlots(started.slots, cold, load_.fleet.max_in_flight, started.boot,
                   now_);
  started.slots.cold_max_in_flight = load_.fleet.cold_max_in_flight;
  Lease(engine);
}

inline void Run::Lease(std::uint32_t engine) {
  engines_[engine].leased = engines_[engine].slots.slots;
  Act([&](Actions& out) {
    plugin_->on_slots(*state_, EndpointHandle{engine}, engines_[engine].leased,
                      now_, out);
  });
}

}  // namespace egretladder::policy::load
