// What a large fleet costs a node: placing one request while endpoints are
// cold, for which each of them asks which nodes may send to it, and taking all
// entries of endpoints at a start.
#include <benchmark/benchmark.h>

#include <chrono>
#include <string>

#include "egretladder/routing/placement.h"

namespace er = egretladder::routing;

namespace {

constexpr er::Time kNow{std::chrono::hours(1)};
constexpr int kNodes = 300;
constexpr int kEndpoints = 3000;

er::FleetSnapshot FleetOfMany() {
  er::FleetSnapshot fleet;
  for (int i = 0; i < kNodes; ++i) {
    fleet.names.push_back("front-zone-a-" + std::to_string(i));
  }
  fleet.nodes = fleet.names.size();
  fleet.self = fleet.names.front();
  fleet.zone = "a";
  return fleet;
}

er::EndpointSet EndpointsWithCold(std::int64_t cold) {
  er::EndpointSet set;
  for (int i = 0; i < kEndpoints; ++i) {
    er::EndpointEntry entry;
    entry.id = "i-" + std::to_string(i);
    entry.service = "engines";
    entry.address = "10.0.0.1:80";
    entry.slots = 16;
    if (i < cold) entry.cold_left = std::chrono::seconds(100);
    er::OnEntryPublished(set, entry, kNow);
  }
  return set;
}

void PlaceAmongCold(benchmark::State& state) {
  const er::FleetSnapshot fleet = FleetOfMany();
  const er::EndpointSet set = EndpointsWithCold(state.range(0));
  const er::Service service{.name = "engines", .cold_per_second = 4};
  er::Demand demand;
  demand.service = &service;
  egretladder::kernel::Random random{3};
  for (auto _ : state) {
    benchmark::DoNotOptimize(
        er::ChoosePlacement(set, demand, {}, fleet, random, kNow));
  }
}
BENCHMARK(PlaceAmongCold)
    ->Arg(0)
    ->Arg(600)
    ->Arg(3000)
    ->Unit(benchmark::kMillisecond);

void TakeAllEntries(benchmark::State& state) {
  for (auto _ : state) {
    benchmark::DoNotOptimize(EndpointsWithCold(0));
  }
}
BENCHMARK(TakeAllEntries)->Unit(benchmark::kMillisecond);

}  // namespace

BENCHMARK_MAIN();
