// Metrics of a gateway. Labels are taken from the rules only, so that callers
// can't create any number of series.
#pragma once

#include <array>
#include <chrono>
#include <cstdint>
#include <map>
#include <string>

#include "egretladder/kernel/metrics.h"
#include "egretladder/rules/rules.h"

namespace egretladder::gateway {

enum class Outcome : std::uint8_t {
  kServed,
  kNotRun,
  kUnknown,
  kCallerGone,
};
inline constexpr std::size_t kOutcomes = 4;

struct ClassMetrics {
  std::array<kernel::CounterHandle, kOutcomes> outcomes;
  kernel::QuantileHandle first_token;
  kernel::CounterHandle in_time;
  kernel::CounterHandle late;
};

struct CallMetrics {
  std::map<std::string, ClassMetrics> classes;
  kernel::CounterHandle retries;
  kernel::CounterHandle tokens;
  kernel::CounterHandle wasted_tokens;
  kernel::CounterHandle relayed_bytes;
  kernel::GaugeHandle resident;
  kernel::GaugeHandle connections;
  kernel::GaugeHandle calls;
};

CallMetrics AddCallMetrics(kernel::Metrics& metrics);
/// Returns the series of a class, or those of `unknown` for an invalid handle.
ClassMetrics& MetricsOfClass(CallMetrics& calls, kernel::Metrics& metrics,
                             const rules::Rules* rules, rules::ClassHandle cls);
void CountFirstToken(CallMetrics& calls, kernel::Metrics& metrics,
                     const rules::Rules* rules, rules::ClassHandle cls,
                     std::chrono::nanoseconds after);
/// Returns the resident memory of the process, in bytes.
std::uint64_t ResidentBytes();

}  // namespace egretladder::gateway
