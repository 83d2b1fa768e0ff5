// Nanoseconds of the ladder's decisions at growing fleets and queues
// (docs/BENCHMARKS.md, "Decisions").
#include <benchmark/benchmark.h>

#include <chrono>
#include <cstdint>
#include <deque>
#include <memory>
#include <variant>
#include <vector>

#include "../policy/tests/load_model.h"
#include "egretladder/kernel/registry.h"
#include "egretladder/policy/scheduler.h"

namespace ep = egretladder::policy;
namespace ek = egretladder::kernel;

namespace {

constexpr std::uint32_t kAccounts = 240;
constexpr std::uint32_t kSlots = 4;

// One scheduler with all its slots leased, and `waiting` requests behind them.
struct Bench {
  ep::load::Workload load;
  const ep::SchedulerPlugin* plugin = nullptr;
  std::unique_ptr<ep::SchedulerState> state;
  ek::ManualClock clock;
  ep::Actions out;
  std::deque<ep::RequestId> running;
  ep::RequestId next = 0;

  Bench(const char* scheduler, std::uint32_t endpoints) {
    load.fleet = {5, endpoints, kSlots, 1, kAccounts};
    load.classes = ep::load::SampleClasses();
    for (ep::load::ClassSpec& cls : load.classes) {
      cls.first_token = cls.max_wait = std::chrono::hours(10);
    }
    ep::Limits limits;
    limits.max_queue_length = 200'000;
    limits.refuse_early = false;
    plugin = ek::FindPlugin<ep::SchedulerPlugin>(scheduler);
    state = plugin->create({ep::ZoneHandle{0}, 1, limits});
    plugin->on_rules(*state, ep::load::MakeRules(load, 1, {}), clock.now, out);
    for (std::uint32_t i = 0; i < endpoints; ++i) {
      plugin->on_slots(*state, {i}, kSlots, clock.now, out);
    }
  }

  ep::RequestId Arrive() {
    ep::Request request;
    request.id = ++next;
    request.cls.idx = static_cast<std::uint32_t>(next % load.classes.size());
    request.account.idx = static_cast<std::uint32_t>(next * 7 % kAccounts);
    request.target.idx = 0;
    request.prefix = ek::HashBytes("p", next % 500);
    request.arrived = clock.now;
    request.deadline = clock.now + std::chrono::hours(10);
    plugin->on_arrival(*state, request, clock.now, out);
    Note();
    return request.id;
  }

  void EndOldest() {
    plugin->on_end(*state, running.front(), ep::EndKind::kDone, clock.now, out);
    running.pop_front();
    Note();
  }

  void Note() {
    for (const ep::Action& action : out) {
      const auto* dispatch = std::get_if<ep::Dispatch>(&action);
      if (dispatch != nullptr) running.push_back(dispatch->request);
    }
    out.clear();
  }

  void Step() { ek::Advance(clock, std::chrono::microseconds(50)); }
};

// Half of the slots are free: an arrival is placed at once, another ends.
void ArrivalPickAndRelease(benchmark::State& run, const char* scheduler) {
  const auto endpoints = static_cast<std::uint32_t>(run.range(0));
  Bench bench(scheduler, endpoints);
  for (std::uint32_t i = 0; i < endpoints * kSlots / 2; ++i) bench.Arrive();
  for ([[maybe_unused]] auto _ : run) {
    bench.Step();
    bench.Arrive();
    bench.EndOldest();
  }
}

// All slots are taken: an arrival queues, an end starts the next one.
void ArrivalAndReleaseBehindQueue(benchmark::State& run,
                                  const char* scheduler) {
  const auto endpoints = static_cast<std::uint32_t>(run.range(0));
  Bench bench(scheduler, endpoints);
  const auto total =
      endpoints * kSlots + static_cast<std::uint32_t>(run.range(1));
  for (std::uint32_t i = 0; i < total; ++i) bench.Arrive();
  for ([[maybe_unused]] auto _ : run) {
    bench.Step();
    bench.Arrive();
    bench.EndOldest();
  }
}

// A caller arrives behind the queue and goes away.
void ArrivalAndGone(benchmark::State& run, const char* scheduler) {
  const auto endpoints = static_cast<std::uint32_t>(run.range(0));
  Bench bench(scheduler, endpoints);
  const auto total =
      endpoints * kSlots + static_cast<std::uint32_t>(run.range(1));
  for (std::uint32_t i = 0; i < total; ++i) bench.Arrive();
  for ([[maybe_unused]] auto _ : run) {
    bench.Step();
    bench.plugin->on_caller_gone(*bench.state, bench.Arrive(), bench.clock.now);
  }
}

void Tick(benchmark::State& run, const char* scheduler) {
  const auto endpoints = static_cast<std::uint32_t>(run.range(0));
  Bench bench(scheduler, endpoints);
  const auto total =
      endpoints * kSlots + static_cast<std::uint32_t>(run.range(1));
  for (std::uint32_t i = 0; i < total; ++i) bench.Arrive();
  for ([[maybe_unused]] auto _ : run) {
    ek::Advance(bench.clock, ep::kSchedulerTickInterval);
    bench.plugin->on_tick(*bench.state, bench.clock.now, bench.out);
    bench.out.clear();
  }
}

void Fleets(benchmark::internal::Benchmark* bench) {
  bench->Arg(10)->Arg(790)->Arg(10'000);
}
void FleetsAndQueues(benchmark::internal::Benchmark* bench) {
  for (const int endpoints : {10, 790, 10'000}) {
    for (const int waiting : {10, 1000, 100'000}) {
      bench->Args({endpoints, waiting});
    }
  }
}

BENCHMARK_CAPTURE(ArrivalPickAndRelease, ladder, "ladder")->Apply(Fleets);
BENCHMARK_CAPTURE(ArrivalPickAndRelease, least, "least")->Apply(Fleets);
BENCHMARK_CAPTURE(ArrivalAndReleaseBehindQueue, ladder, "ladder")
    ->Apply(FleetsAndQueues);
BENCHMARK_CAPTURE(ArrivalAndGone, ladder, "ladder")->Apply(FleetsAndQueues);
BENCHMARK_CAPTURE(Tick, ladder, "ladder")->Apply(FleetsAndQueues);

}  // namespace

BENCHMARK_MAIN();
