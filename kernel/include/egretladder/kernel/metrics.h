// Counters, gauges, quantiles and histograms of a process, and their export in
// the Prometheus text format.
#pragma once

#include <chrono>
#include <cstdint>
#include <memory>
#include <string>

namespace egretladder::kernel {

/// Refers to a counter: a number that only increases.
struct CounterHandle {
  std::uint32_t idx = 0;
};
/// Refers to a gauge: a number that can increase and decrease.
struct GaugeHandle {
  std::uint32_t idx = 0;
};
/// Refers to estimates of the quantiles 0.5, 0.95 and 0.99 of a duration. They
/// are computed by the extended P-square algorithm of Boost.Accumulators in
/// constant memory, without keeping samples.
struct QuantileHandle {
  std::uint32_t idx = 0;
};

/// Refers to a histogram of a duration, kept by Boost.Histogram. Unlike
/// quantiles, histograms of several processes can be added up.
struct HistogramHandle {
  std::uint32_t idx = 0;
};

struct MetricsState;

/// Owns the metrics of a process. Not thread-safe.
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

/// Registers a counter. `labels` is empty or of the form
/// `class="x",tier="1"`. Registering the same name and labels again returns the
/// same handle; a name must always be registered with the same type.
CounterHandle AddCounter(Metrics& metrics, const std::string& name,
                         const std::string& help,
                         const std::string& labels = "");
/// Registers a gauge; the parameters are those of `AddCounter`.
GaugeHandle AddGauge(Metrics& metrics, const std::string& name,
                     const std::string& help, const std::string& labels = "");
/// Registers quantiles of a duration in seconds; the parameters are those of
/// `AddCounter`.
QuantileHandle AddQuantiles(Metrics& metrics, const std::string& name,
                            const std::string& help,
                            const std::string& labels = "");

/// Registers a histogram of a duration in seconds; the parameters are those of
/// `AddCounter`. The upper bounds of the buckets rise from 5 ms to 10 s by
/// factors of 2 to 2.5.
HistogramHandle AddHistogram(Metrics& metrics, const std::string& name,
                             const std::string& help,
                             const std::string& labels = "");

/// Adds `amount` to a counter.
void Increment(Metrics& metrics, CounterHandle counter,
               std::uint64_t amount = 1);
/// Sets a gauge to `value`, in the unit that the metric's name gives.
void Set(Metrics& metrics, GaugeHandle gauge, double value);
/// Adds one sample to the quantiles.
void Observe(Metrics& metrics, QuantileHandle quantiles,
             std::chrono::nanoseconds sample);

/// Adds one sample to the histogram.
void Observe(Metrics& metrics, HistogramHandle histogram,
             std::chrono::nanoseconds sample);

/// Returns the value of a counter, which starts at 0 with the process.
std::uint64_t ValueOf(const Metrics& metrics, CounterHandle counter);
/// Returns the estimate of `quantile`, which is 0.5, 0.95 or 0.99, or zero
/// before the first sample.
std::chrono::nanoseconds QuantileOf(const Metrics& metrics,
                                    QuantileHandle quantiles, double quantile);

/// Returns all metrics in the Prometheus text format.
std::string PrometheusText(const Metrics& metrics);

}  // namespace egretladder::kernel
