// The workloads that schedulers are compared under.
#pragma once

#include <utility>
#include <vector>

#include "load_fixture.h"

namespace egretladder::policy::load {

/// Weights of the accounts 2 to 9 (small customers), all equal.
inline std::vector<double> ShopWeights() {
  return {0, 0, 1, 1, 1, 1, 1, 1, 1, 1};
}
inline std::vector<double> BrokerWeights() { return {1, 1}; }

/// An ordinary workload of three quarters of the capacity, times `factor`.
inline Workload OrdinaryLoad(double factor = 1) {
  Workload workload{"ordinary", 1, {}, SampleClasses(), {}, 120s};
  workload.streams = {{0, 0.30 * factor, 0s, 120s, ShopWeights()},
                      {1, 0.15 * factor, 0s, 120s, ShopWeights()},
                      {2, 0.10 * factor, 0s, 120s, BrokerWeights()},
                      {3, 0.20 * factor, 0s, 120s, ShopWeights()}};
  return workload;
}

/// The same mix of classes at `factor` times the capacity.
inline Workload AtCapacity(double factor) {
  Workload workload = OrdinaryLoad(factor / 0.75);
  workload.name = factor > 1 ? "twice capacity" : "at capacity";
  return workload;
}

/// One account sends a burst of class 2 at 10 times the capacity for 30 s.
inline Workload BrokerBurst() {
  Workload workload = OrdinaryLoad();
  workload.name = "broker burst";
  workload.streams.push_back({2, 10, 30s, 60s, {1}});
  return workload;
}

/// Look-ups in the middle tier burst to 3 times the capacity for 20 s.
inline Workload NightBurst() {
  Workload workload{"night burst", 2, {}, {}, {}, 90s};
  workload.classes = {{"enrol", 1, 1500ms, 1500ms, {40, 0.4}},
                      {"lookup", 2, 2500ms, 4000ms, {40, 0.5}},
                      {"report", 4, 60s, 5min, {400, 0.8}}};
  workload.streams = {{0, 0.15, 0s, 90s, ShopWeights()},
                      {1, 0.25, 0s, 90s, ShopWeights()},
                      {1, 3.0, 30s, 50s, ShopWeights()},
                      {2, 0.40, 0s, 90s, BrokerWeights()}};
  return workload;
}

/// 1.4 times the capacity, most of it from two accounts and with three
/// prefixes.
inline Workload TwoAccountsDominate() {
  Workload workload{"few take most", 3, {}, SampleClasses(), {}, 90s};
  const std::vector<double> skewed = {40, 40, 1, 1, 1, 1, 1, 1, 1, 1};
  workload.streams = {{1, 1.2, 0s, 90s, skewed, 200, 0.6},
                      {3, 0.2, 0s, 90s, ShopWeights()}};
  return workload;
}

/// Long prompts with shared prefixes. The load equals the capacity without
/// prefix caches.
inline Workload SharedPrefixes() {
  Workload workload{"shared prefixes", 4, {}, SampleClasses(), {}, 60s};
  workload.classes[0].work_model = {40, 0.5, 0, 1, DoubleSeconds(1.2)};
  workload.streams = {{0, 1.0, 0s, 60s, ShopWeights(), 150, 0.3}};
  return workload;
}

/// 2% of the answers are 20 times longer than the others.
inline Workload LongTailedAnswers() {
  Workload workload = OrdinaryLoad(1.6);
  workload.name = "long among short";
  workload.seed = 5;
  for (ClassSpec& cls : workload.classes) cls.work_model.long_share = 0.02;
  return workload;
}

/// The top tier alone brings 1.5 times the capacity of a small fleet, by
/// default for an hour.
inline Workload SaturatedHour(DoubleSeconds length = 3600s) {
  Workload workload{"saturated hour", 6,  {3, 3, 4, 1, 10},
                    SampleClasses(),  {}, length};
  workload.streams = {{0, 1.5, 0s, length, ShopWeights()},
                      {1, 0.1, 0s, length, ShopWeights()},
                      {2, 0.1, 0s, length, BrokerWeights()},
                      {3, 0.1, 0s, length, ShopWeights()}};
  return workload;
}

/// The whole fleet starts cold under the ordinary workload.
inline Workload AllCold() {
  Workload workload = OrdinaryLoad();
  workload.name = "all cold";
  workload.seed = 7;
  workload.fleet.starts_cold = true;
  return workload;
}

/// One of three zones is out for 30 s and returns with cold caches.
inline Workload ZoneOutAndBack() {
  Workload workload = OrdinaryLoad(0.9);
  workload.name = "zone out and back";
  workload.seed = 8;
  return workload;
}

/// Long requests of the lowest tier fill a small fleet, with a few requests of
/// the top tier.
inline Workload BatchOnFewSlots() {
  Workload workload{"batch on few slots", 10, {2, 2, 4, 1, 10},
                    SampleClasses(),      {}, 600s};
  workload.streams = {{0, 0.08, 0s, 600s, ShopWeights()},
                      {3, 1.5, 0s, 600s, BrokerWeights()}};
  return workload;
}

/// Half of the engines crash one after the other and restart cold.
inline Workload EnginesCrash() {
  Workload workload = OrdinaryLoad();
  workload.name = "engines die";
  workload.seed = 13;
  return workload;
}

/// A request body that crashes engines is sent about twenty times.
inline Workload PoisonSentAgain() {
  Workload workload = OrdinaryLoad();
  workload.name = "poison";
  workload.seed = 14;
  workload.poison_interval = 151;
  return workload;
}

/// A zone returns warm but 5 times slower for 20 s.
inline Workload ZoneBackUnwell() {
  Workload workload = OrdinaryLoad(0.8);
  workload.name = "zone back unwell";
  workload.seed = 11;
  return workload;
}

/// Other nodes load a third of the engines heavily. Reports of this are a
/// second old.
inline Workload UnevenLoadOfOtherNodes() {
  Workload workload = OrdinaryLoad(0.8);
  workload.name = "uneven others";
  workload.seed = 12;
  workload.classes[0].first_token = 1000ms;
  workload.classes[0].max_wait = 1000ms;
  return workload;
}

/// One engine becomes 5 times slower.
inline Workload OneSlowEndpoint() {
  Workload workload = OrdinaryLoad();
  workload.name = "one slow";
  workload.seed = 9;
  return workload;
}

/// Runs the workload with the events that its name stands for, such as a zone
/// that is taken out.
inline Result RunSimulation(std::string_view scheduler,
                            const Workload& workload,
                            const Limits& limits = {}) {
  Simulation simulation(scheduler, workload, limits);
  if (workload.name == "one slow") {
    simulation.ScheduleChange(10s,
                              [](Simulation& sim) { sim.SetSlowdown(0, 5); });
  }
  if (workload.name == "engines die") {
    for (std::uint32_t i = 0; i < 6; ++i) {
      simulation.ScheduleChange(
          DoubleSeconds(20 + 12 * i),
          [i](Simulation& sim) { sim.Crash(2 * i, DoubleSeconds(10)); });
    }
  }
  if (workload.name == "uneven others") {
    for (std::uint32_t second = 0; second < 120; second += 10) {
      simulation.ScheduleChange(
          DoubleSeconds(second), [second](Simulation& sim) {
            for (std::uint32_t i = 0; i < 12; ++i) {
              sim.SetOtherNodesInFlight(i, (i + second / 10) % 3 == 0 ? 24 : 0);
            }
          });
    }
  }
  if (workload.name == "zone back unwell") {
    simulation.RecordStartsInZone(0);
    simulation.ScheduleChange(40s,
                              [](Simulation& sim) { sim.SetZonesOut({0}); });
    simulation.ScheduleChange(70s, [](Simulation& sim) {
      for (std::uint32_t i = 0; i < 12; i += 3) sim.SetSlowdown(i, 5);
      sim.SetZonesOut({});
    });
    simulation.ScheduleChange(90s, [](Simulation& sim) {
      for (std::uint32_t i = 0; i < 12; i += 3) sim.SetSlowdown(i, 1);
    });
  }
  if (workload.name == "zone out and back") {
    simulation.RecordStartsInZone(0);
    simulation.ScheduleChange(40s,
                              [](Simulation& sim) { sim.SetZonesOut({0}); });
    simulation.ScheduleChange(70s, [](Simulation& sim) {
      for (std::uint32_t i = 0; i < 12; i += 3) sim.MakeCold(i, true);
      sim.SetZonesOut({});
    });
  }
  return simulation.RunSimulation();
}

/// All workloads, in the order in which results list them.
inline std::vector<Workload> AllWorkloads() {
  return {OrdinaryLoad(),        BrokerBurst(),     NightBurst(),
          TwoAccountsDominate(), SharedPrefixes(),  OneSlowEndpoint(),
          LongTailedAnswers(),   SaturatedHour(),   AllCold(),
          ZoneOutAndBack(),      ZoneBackUnwell(),  UnevenLoadOfOtherNodes(),
          EnginesCrash(),        PoisonSentAgain(), BatchOnFewSlots(),
          AtCapacity(1),         AtCapacity(2)};
}

}  // namespace egretladder::policy::load
