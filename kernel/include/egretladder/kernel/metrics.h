// Counts, gauges and quantiles of one process, and their Prometheus text.
#pragma once

#include <chrono>
#include <cstdint>
#include <memory>
#include <string>

namespace egretladder::kernel {

/// Refers to a number that only rises.
struct CounterHandle {
  std::uint32_t idx = 0;
};
/// Refers to a number that goes up and down.
struct GaugeHandle {
  std::uint32_t idx = 0;
};
/// Quantiles 0.5, 0.95 and 0.99 of a duration, by Boost.Accumulators
/// (extended P-square: constant memory, no samples kept).
struct QuantileHandle {
  std::uint32_t idx = 0;
};

/// Counts of a duration by ranges, by Boost.Histogram. Unlike quantiles they
/// can be added up over processes.
struct HistogramHandle {
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
/// As `AddCounter`.
GaugeHandle AddGauge(Metrics& metrics, const std::string& name,
                     const std::string& help, const std::string& labels = "");
/// As `AddCounter`.
QuantileHandle AddQuantiles(Metrics& metrics, const std::string& name,
                            const std::string& help,
                            const std::string& labels = "");

/// As `AddCounter`. Ranges end at 5 ms to 10 s, in steps of 2 to 2.5.
HistogramHandle AddHistogram(Metrics& metrics, const std::string& name,
                             const std::string& help,
                             const std::string& labels = "");

/// Raises a counter.
void Increment(Metrics& metrics, CounterHandle counter,
               std::uint64_t amount = 1);
/// Sets a gauge, in the unit that its name gives.
void Set(Metrics& metrics, GaugeHandle gauge, double value);
/// Takes one sample into the quantiles.
void Observe(Metrics& metrics, QuantileHandle quantiles,
             std::chrono::nanoseconds sample);

/// Takes one sample into the histogram.
void Observe(Metrics& metrics, HistogramHandle histogram,
             std::chrono::nanoseconds sample);

/// The counter's value since the start.
std::uint64_t ValueOf(const Metrics& metrics, CounterHandle counter);
/// `quantile` is 0.5, 0.95 or 0.99; zero before the first sample.
std::chrono::nanoseconds QuantileOf(const Metrics& metrics,
                                    QuantileHandle quantiles, double quantile);

/// Writes everything in the Prometheus text format.
std::string PrometheusText(const Metrics& metrics);

}  // namespace egretladder::kernel
