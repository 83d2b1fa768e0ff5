// What a decision line, a count and a quantile sample cost. Run with standard
// error sent to a file or to /dev/null; the figures go to standard output.
#include <benchmark/benchmark.h>

#include <chrono>
#include <string>

#include "egretladder/kernel/hash.h"
#include "egretladder/kernel/log.h"
#include "egretladder/kernel/metrics.h"

namespace ek = egretladder::kernel;

namespace {

const std::string kDecisionLine =
    "dispatch: request=7f31a2 class=buyer-question account=kality-parts tier=1 "
    "endpoint=bole-3 node=entry-2 zone=bole waited_ms=0 reason=prefix_cached";

void LogLine(benchmark::State& state, ek::LogFormat format) {
  ek::StartLogging(format, ek::LogLevel::kInfo);
  for (auto _ : state) {
    ek::Log(ek::LogPart::kRoute, ek::LogLevel::kInfo, kDecisionLine);
  }
}
BENCHMARK_CAPTURE(LogLine, text, ek::LogFormat::kText);
BENCHMARK_CAPTURE(LogLine, json, ek::LogFormat::kJson);

void LogLineBelowLevel(benchmark::State& state) {
  ek::StartLogging(ek::LogFormat::kText, ek::LogLevel::kWarning);
  for (auto _ : state) {
    ek::Log(ek::LogPart::kRoute, ek::LogLevel::kInfo, kDecisionLine);
  }
}
BENCHMARK(LogLineBelowLevel);

void CountOne(benchmark::State& state) {
  ek::Metrics metrics;
  const auto counter = ek::AddCounter(metrics, "calls", "Calls.");
  for (auto _ : state) ek::Increment(metrics, counter);
}
BENCHMARK(CountOne);

void ObserveOne(benchmark::State& state) {
  ek::Metrics metrics;
  const auto quantiles = ek::AddQuantiles(metrics, "wait", "Wait.");
  std::chrono::microseconds sample{1};
  for (auto _ : state) {
    sample = sample * 7 % std::chrono::microseconds(10'007);
    ek::Observe(metrics, quantiles, sample);
  }
}
BENCHMARK(ObserveOne);

void SignLane(benchmark::State& state) {
  for (auto _ : state) {
    benchmark::DoNotOptimize(ek::Sign("secret", "entry-2.123.456.789"));
  }
}
BENCHMARK(SignLane);

void HashBody(benchmark::State& state) {
  const std::string body(static_cast<std::size_t>(state.range(0)), 'x');
  for (auto _ : state) benchmark::DoNotOptimize(ek::HashBytes(body));
}
BENCHMARK(HashBody)->Arg(1 << 10)->Arg(1 << 17);

}  // namespace

BENCHMARK_MAIN();
