// The loads that every scheduler is measured under.
#pragma once

#include <utility>
#include <vector>

#include "load_fixture.h"

namespace egretladder::policy::load {

/// Accounts 2 to 9 with equal weights: the shops and charter operators.
inline std::vector<double> Shops() { return {0, 0, 1, 1, 1, 1, 1, 1, 1, 1}; }
inline std::vector<double> Brokers() { return {1, 1}; }

/// An ordinary hour: three quarters of capacity.
inline Workload Ordinary(double times = 1) {
  Workload load{"ordinary", 1, {}, SampleClasses(), {}, 120s};
  load.streams = {{0, 0.30 * times, 0s, 120s, Shops()},
                  {1, 0.15 * times, 0s, 120s, Shops()},
                  {2, 0.10 * times, 0s, 120s, Brokers()},
                  {3, 0.20 * times, 0s, 120s, Shops()}};
  return load;
}

/// The same mix at some times what the fleet bears.
inline Workload AtCapacity(double times) {
  Workload load = Ordinary(times / 0.75);
  load.name = times > 1 ? "twice capacity" : "at capacity";
  return load;
}

/// A broker sends record checks of 10 times the capacity for 30 s.
inline Workload BrokerBurst() {
  Workload load = Ordinary();
  load.name = "broker burst";
  load.streams.push_back({2, 10, 30s, 60s, {1}});
  return load;
}

/// Quetzal after practice: parents' look-ups at 3 times capacity for 20 s.
inline Workload NightBurst() {
  Workload load{"night burst", 2, {}, {}, {}, 90s};
  load.classes = {{"enrol", 1, 1500ms, 1500ms, {40, 0.4}},
                  {"lookup", 2, 2500ms, 4000ms, {40, 0.5}},
                  {"report", 4, 60s, 5min, {400, 0.8}}};
  load.streams = {{0, 0.15, 0s, 90s, Shops()},
                  {1, 0.25, 0s, 90s, Shops()},
                  {1, 3.0, 30s, 50s, Shops()},
                  {2, 0.40, 0s, 90s, Brokers()}};
  return load;
}

/// Two accounts and three prefixes with most of the load, 1.4 times capacity.
inline Workload TwoAccountsDominate() {
  Workload load{"few take most", 3, {}, SampleClasses(), {}, 90s};
  const std::vector<double> skewed = {40, 40, 1, 1, 1, 1, 1, 1, 1, 1};
  load.streams = {{1, 1.2, 0s, 90s, skewed, 200, 0.6},
                  {3, 0.2, 0s, 90s, Shops()}};
  return load;
}

/// Long records as prompts, with shared prefixes, at capacity without caches.
inline Workload SharedPrefixes() {
  Workload load{"shared prefixes", 4, {}, SampleClasses(), {}, 60s};
  load.classes[0].work = {40, 0.5, 0, 1, DoubleSeconds(1.2)};
  load.streams = {{0, 1.0, 0s, 60s, Shops(), 150, 0.3}};
  return load;
}

/// 2 in 100 answers are 20 times longer than the rest.
inline Workload LongTailedAnswers() {
  Workload load = Ordinary(1.6);
  load.name = "long among short";
  load.seed = 5;
  for (ClassSpec& cls : load.classes) cls.work.long_share = 0.02;
  return load;
}

/// An hour at 1.5 times capacity by the top tier alone, on a small fleet.
inline Workload SaturatedHour(DoubleSeconds length = 3600s) {
  Workload load{"saturated hour", 6,  {3, 3, 4, 1, 10},
                SampleClasses(),  {}, length};
  load.streams = {{0, 1.5, 0s, length, Shops()},
                  {1, 0.1, 0s, length, Shops()},
                  {2, 0.1, 0s, length, Brokers()},
                  {3, 0.1, 0s, length, Shops()}};
  return load;
}

/// The whole fleet starts cold under its ordinary load.
inline Workload AllCold() {
  Workload load = Ordinary();
  load.name = "all cold";
  load.seed = 7;
  load.fleet.starts_cold = true;
  return load;
}

/// A zone of three out for 30 s, and back with cold caches.
inline Workload ZoneOutAndBack() {
  Workload load = Ordinary(0.9);
  load.name = "zone out and back";
  load.seed = 8;
  return load;
}

/// Long summaries fill a small fleet; a buyer asks now and then.
inline Workload BatchOnFewSlots() {
  Workload load{"batch on few slots", 10, {2, 2, 4, 1, 10},
                SampleClasses(),      {}, 600s};
  load.streams = {{0, 0.08, 0s, 600s, Shops()}, {3, 1.5, 0s, 600s, Brokers()}};
  return load;
}

/// Half of the engines die one after the other, and come back cold.
inline Workload EnginesCrash() {
  Workload load = Ordinary();
  load.name = "engines die";
  load.seed = 13;
  return load;
}

/// A body that crashes engines is sent again, some twenty times in all.
inline Workload PoisonSentAgain() {
  Workload load = Ordinary();
  load.name = "poison";
  load.seed = 14;
  load.poison_every = 151;
  return load;
}

/// A zone comes back warm but 5 times slower for 20 s.
inline Workload ZoneBackUnwell() {
  Workload load = Ordinary(0.8);
  load.name = "zone back unwell";
  load.seed = 11;
  return load;
}

/// Other nodes crowd a third of the engines; reports of it are a second old.
inline Workload UnevenLoadOfOtherNodes() {
  Workload load = Ordinary(0.8);
  load.name = "uneven others";
  load.seed = 12;
  load.classes[0].first_token = 1000ms;
  load.classes[0].max_wait = 1000ms;
  return load;
}

inline Workload OneSlowEndpoint() {
  Workload load = Ordinary();
  load.name = "one slow";
  load.seed = 9;
  return load;
}

inline Result RunSimulation(std::string_view scheduler, const Workload& load,
                            const Limits& limits = {}) {
  Run run(scheduler, load, limits);
  if (load.name == "one slow") {
    run.Change(10s, [](Run& r) { r.SetSlow(0, 5); });
  }
  if (load.name == "engines die") {
    for (std::uint32_t i = 0; i < 6; ++i) {
      run.Change(DoubleSeconds(20 + 12 * i),
                 [i](Run& r) { r.Crash(2 * i, DoubleSeconds(10)); });
    }
  }
  if (load.name == "uneven others") {
    for (std::uint32_t second = 0; second < 120; second += 10) {
      run.Change(DoubleSeconds(second), [second](Run& r) {
        for (std::uint32_t i = 0; i < 12; ++i) {
          r.SetOthers(i, (i + second / 10) % 3 == 0 ? 24 : 0);
        }
      });
    }
  }
  if (load.name == "zone back unwell") {
    run.WatchZone(0);
    run.Change(40s, [](Run& r) { r.SetZonesOut({0}); });
    run.Change(70s, [](Run& r) {
      for (std::uint32_t i = 0; i < 12; i += 3) r.SetSlow(i, 5);
      r.SetZonesOut({});
    });
    run.Change(90s, [](Run& r) {
      for (std::uint32_t i = 0; i < 12; i += 3) r.SetSlow(i, 1);
    });
  }
  if (load.name == "zone out and back") {
    run.WatchZone(0);
    run.Change(40s, [](Run& r) { r.SetZonesOut({0}); });
    run.Change(70s, [](Run& r) {
      for (std::uint32_t i = 0; i < 12; i += 3) r.TurnCold(i, true);
      r.SetZonesOut({});
    });
  }
  return run.RunSimulation();
}

/// All loads, in the order in which results list them.
inline std::vector<Workload> AllWorkloads() {
  return {Ordinary(),          BrokerBurst(),
          NightBurst(),        TwoAccountsDominate(),
          SharedPrefixes(),    OneSlowEndpoint(),
          LongTailedAnswers(), SaturatedHour(),
          AllCold(),           ZoneOutAndBack(),
          ZoneBackUnwell(),    UnevenLoadOfOtherNodes(),
          EnginesCrash(),      PoisonSentAgain(),
          BatchOnFewSlots(),   AtCapacity(1),
          AtCapacity(2)};
}

}  // namespace egretladder::policy::load
