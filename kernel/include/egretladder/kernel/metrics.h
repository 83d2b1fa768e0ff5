// Counts, gauges and quantiles of one process, and their Prometheus text.
#pragma once

#include <chrono>
#include <cstdint>
#include <memory>
#include <string>

namespace egretladder::kernel {

struct CounterHandle {
  std::uint32_t idx = 0;
};
struct GaugeHandle {
  std::uint32_t idx = 0;
};
/// Quantiles 0.5, 0.95 and 0.99 of a duration, by Boost.Accumulators
/// (extended P-square: constant memory, no samples kept).
struct QuantileHandle {
  std::uint32_t idx = 0;
};

struct MetricsState;

/// Owns the metrics of a process. One thread.
class Metrics {
 public:
  Metrics();
  ~Metrics();
  Metrics(const Metrics&) = delete;
  Metrics& operator=(const Metrics&) = delete;

  MetricsState& state() { return *state_; }
  const MetricsState& state() const { return *state_; }

 private:
  std::unique_ptr<MetricsState> state_;
};

/// `labels` is empty or `class="x",tier="1"`. Asking again for the same name
/// and labels gives the same handle.
CounterHandle AddCounter(Metrics& metrics, const std::string& name,
                         const std::string& help,
                         const std::string& labels = "");
GaugeHandle AddGauge(Metrics& metrics, const std::string& name,
                     const std::string& help, const std::string& labels = "");
QuantileHandle AddQuantiles(Metrics& metrics, const std::string& name,
                            const std::string& help,
                            const std::string& labels = "");

void Increment(Metrics& metrics, CounterHandle counter, std::uint64_t by = 1);
void Set(Metrics& metrics, GaugeHandle gauge, double value);
void Observe(Metrics& metrics, QuantileHandle quantiles,
             std::chrono::nanoseconds sample);

std::uint64_t ValueOf(const Metrics& metrics, CounterHandle counter);
/// `quantile` is 0.5, 0.95 or 0.99; zero before the first sample.
std::chrono::nanoseconds QuantileOf(const Metrics& metrics,
                                    QuantileHandle quantiles, double quantile);

/// Writes everything in the Prometheus text format.
std::string PrometheusText(const Metrics& metrics);

}  // namespace egretladder::kernel
