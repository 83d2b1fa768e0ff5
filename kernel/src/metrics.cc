#include "egretladder/kernel/metrics.h"

#include <array>
#include <boost/accumulators/accumulators.hpp>
#include <boost/accumulators/statistics/count.hpp>
#include <boost/accumulators/statistics/extended_p_square_quantile.hpp>
#include <boost/accumulators/statistics/stats.hpp>
#include <boost/accumulators/statistics/sum.hpp>
#include <boost/histogram.hpp>
#include <map>
#include <sstream>
#include <utility>
#include <vector>

namespace egretladder::kernel {
namespace {

namespace acc = boost::accumulators;

constexpr std::array<double, 3> kQuantiles = {0.5, 0.95, 0.99};

using Quantiles =
    acc::accumulator_set<double,
                         acc::stats<acc::tag::count, acc::tag::sum,
                                    acc::tag::extended_p_square_quantile>>;

// Upper bounds of the histogram buckets, from the time of a small answer to a
// time that no caller waits for.
constexpr std::array<double, 11> kBucketBoundsSeconds = {
    0.005, 0.01, 0.025, 0.05, 0.1, 0.25, 0.5, 1, 2.5, 5, 10};

namespace bh = boost::histogram;
using Buckets = decltype(bh::make_histogram(bh::axis::variable<>(
    std::begin(kBucketBoundsSeconds), std::end(kBucketBoundsSeconds))));

struct Histogram {
  Buckets buckets = bh::make_histogram(bh::axis::variable<>(
      std::begin(kBucketBoundsSeconds), std::end(kBucketBoundsSeconds)));
  double sum_seconds = 0;
};

struct Series {
  std::string name;
  std::string help;
  std::string labels;
  const char* type = "";
  std::uint32_t idx = 0;
};

double ToSeconds(std::chrono::nanoseconds duration) {
  return std::chrono::duration<double>(duration).count();
}

}  // namespace

struct MetricsState {
  // Ordered by name and labels, so that the export groups the series of a
  // metric.
  std::map<std::pair<std::string, std::string>, Series> series;
  std::vector<std::uint64_t> counters;
  std::vector<double> gauges;
  std::vector<Quantiles> quantiles;
  std::vector<Histogram> histograms;
};

Metrics::Metrics() : state_(std::make_unique<MetricsState>()) {}
Metrics::~Metrics() = default;

namespace {

// Looks up or adds a series and stores its index in `idx`. Returns true if the
// series is new, and the caller has to add its value at `next_idx`.
bool AddSeries(Metrics& metrics, const Series& series, std::uint32_t next_idx,
               std::uint32_t* idx) {
  auto [it, is_new] =
      metrics.state().series.try_emplace({series.name, series.labels}, series);
  if (is_new) it->second.idx = next_idx;
  *idx = it->second.idx;
  return is_new;
}

double EstimateQuantile(const Quantiles& summary, double quantile) {
  if (acc::count(summary) == 0) return 0;
  return acc::quantile(summary, acc::quantile_probability = quantile);
}

std::string FormatLabels(const Series& series, const std::string& extra = "") {
  std::string labels = series.labels;
  if (!labels.empty() && !extra.empty()) labels += ",";
  labels += extra;
  return labels.empty() ? "" : "{" + labels + "}";
}

void WriteQuantiles(std::ostream& out, const Series& series,
                    const Quantiles& summary) {
  for (const double quantile : kQuantiles) {
    std::ostringstream label;
    label << "quantile=\"" << quantile << "\"";
    out << series.name << FormatLabels(series, label.str()) << ' '
        << EstimateQuantile(summary, quantile) << '\n';
  }
  out << series.name << "_sum" << FormatLabels(series) << ' '
      << acc::sum(summary) << '\n';
  out << series.name << "_count" << FormatLabels(series) << ' '
      << acc::count(summary) << '\n';
}

void WriteHistogram(std::ostream& out, const Series& series,
                    const Histogram& histogram) {
  // Boost.Histogram excludes the upper bound of a bucket and Prometheus
  // includes it. Samples of exactly that length are too rare to matter.
  double cumulative_count = histogram.buckets.at(-1);
  for (std::size_t i = 0; i < kBucketBoundsSeconds.size(); ++i) {
    if (i > 0)
      cumulative_count += histogram.buckets.at(static_cast<int>(i) - 1);
    std::ostringstream label;
    label << "le=\"" << kBucketBoundsSeconds[i] << "\"";
    out << series.name << "_bucket" << FormatLabels(series, label.str()) << ' '
        << cumulative_count << '\n';
  }
  const double total_count =
      cumulative_count +
      histogram.buckets.at(static_cast<int>(kBucketBoundsSeconds.size()) - 1);
  out << series.name << "_bucket" << FormatLabels(series, "le=\"+Inf\"") << ' '
      << total_count << '\n';
  out << series.name << "_sum" << FormatLabels(series) << ' '
      << histogram.sum_seconds << '\n';
  out << series.name << "_count" << FormatLabels(series) << ' ' << total_count
      << '\n';
}

}  // namespace

CounterHandle AddCounter(Metrics& metrics, const std::string& name,
                         const std::string& help, const std::string& labels) {
  auto& counters = metrics.state().counters;
  CounterHandle handle;
  if (AddSeries(metrics, {name, help, labels, "counter"},
                static_cast<std::uint32_t>(counters.size()), &handle.idx)) {
    counters.push_back(0);
  }
  return handle;
}

GaugeHandle AddGauge(Metrics& metrics, const std::string& name,
                     const std::string& help, const std::string& labels) {
  auto& gauges = metrics.state().gauges;
  GaugeHandle handle;
  if (AddSeries(metrics, {name, help, labels, "gauge"},
                static_cast<std::uint32_t>(gauges.size()), &handle.idx)) {
    gauges.push_back(0);
  }
  return handle;
}

QuantileHandle AddQuantiles(Metrics& metrics, const std::string& name,
                            const std::string& help,
                            const std::string& labels) {
  auto& quantiles = metrics.state().quantiles;
  QuantileHandle handle;
  if (AddSeries(metrics, {name, help, labels, "summary"},
                static_cast<std::uint32_t>(quantiles.size()), &handle.idx)) {
    quantiles.emplace_back(acc::extended_p_square_probabilities = kQuantiles);
  }
  return handle;
}

HistogramHandle AddHistogram(Metrics& metrics, const std::string& name,
                             const std::string& help,
                             const std::string& labels) {
  auto& histograms = metrics.state().histograms;
  HistogramHandle handle;
  if (AddSeries(metrics, {name, help, labels, "histogram"},
                static_cast<std::uint32_t>(histograms.size()), &handle.idx)) {
    histograms.emplace_back();
  }
  return handle;
}

void Increment(Metrics& metrics, CounterHandle counter, std::uint64_t amount) {
  metrics.state().counters[counter.idx] += amount;
}

void Set(Metrics& metrics, GaugeHandle gauge, double value) {
  metrics.state().gauges[gauge.idx] = value;
}

void Observe(Metrics& metrics, QuantileHandle quantiles,
             std::chrono::nanoseconds sample) {
  metrics.state().quantiles[quantiles.idx](ToSeconds(sample));
}

void Observe(Metrics& metrics, HistogramHandle histogram,
             std::chrono::nanoseconds sample) {
  Histogram& target = metrics.state().histograms[histogram.idx];
  target.buckets(ToSeconds(sample));
  target.sum_seconds += ToSeconds(sample);
}

std::uint64_t ValueOf(const Metrics& metrics, CounterHandle counter) {
  return metrics.state().counters[counter.idx];
}

std::chrono::nanoseconds QuantileOf(const Metrics& metrics,
                                    QuantileHandle quantiles, double quantile) {
  const double seconds =
      EstimateQuantile(metrics.state().quantiles[quantiles.idx], quantile);
  return std::chrono::duration_cast<std::chrono::nanoseconds>(
      std::chrono::duration<double>(seconds));
}

std::string PrometheusText(const Metrics& metrics) {
  const MetricsState& state = metrics.state();
  std::ostringstream out;
  std::string last_name;
  for (const auto& [key, series] : state.series) {
    if (series.name != last_name) {
      out << "# HELP " << series.name << ' ' << series.help << '\n';
      out << "# TYPE " << series.name << ' ' << series.type << '\n';
      last_name = series.name;
    }
    const std::string_view type = series.type;
    if (type == "summary") {
      WriteQuantiles(out, series, state.quantiles[series.idx]);
    } else if (type == "histogram") {
      WriteHistogram(out, series, state.histograms[series.idx]);
    } else if (type == "counter") {
      out << series.name << FormatLabels(series) << ' '
          << state.counters[series.idx] << '\n';
    } else {
      out << series.name << FormatLabels(series) << ' '
          << state.gauges[series.idx] << '\n';
    }
  }
  return out.str();
}

}  // namespace egretladder::kernel
