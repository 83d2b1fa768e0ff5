#include <unistd.h>

#include <fstream>

#include "call_metrics_p.h"

namespace egretladder::gateway {
namespace {

constexpr std::array<const char*, kOutcomes> kOutcomeNames = {
    "served", "not_run", "unknown", "caller_gone"};

ClassMetrics AddClass(kernel::Metrics& metrics, const std::string& name) {
  const std::string label = "class=\"" + name + "\"";
  ClassMetrics made;
  for (std::size_t i = 0; i < kOutcomes; ++i) {
    made.outcomes[i] = kernel::AddCounter(
        metrics, "egretladder_calls_total", "Calls ended, by outcome.",
        label + ",outcome=\"" + kOutcomeNames[i] + "\"");
  }
  made.first_token = kernel::AddQuantiles(
      metrics, "egretladder_first_token_seconds",
      "Time from arrival to the first token or byte.", label);
  made.in_time = kernel::AddCounter(
      metrics, "egretladder_first_token_in_time_total",
      "Calls whose first token came within the target of the class.", label);
  made.late = kernel::AddCounter(
      metrics, "egretladder_first_token_late_total",
      "Calls whose first token came after the target of the class.", label);
  return made;
}

}  // namespace

CallMetrics AddCallMetrics(kernel::Metrics& metrics) {
  CallMetrics made;
  made.retries = kernel::AddCounter(metrics, "egretladder_retries_total",
                                    "Attempts after the first.");
  made.tokens = kernel::AddCounter(metrics, "egretladder_tokens_total",
                                   "Tokens that endpoints sent.");
  made.wasted_tokens =
      kernel::AddCounter(metrics, "egretladder_wasted_tokens_total",
                         "Tokens of attempts that did not end in an answer.");
  made.relayed_bytes = kernel::AddCounter(
      metrics, "egretladder_relayed_bytes_total", "Bytes of answers relayed.");
  made.resident = kernel::AddGauge(metrics, "egretladder_resident_bytes",
                                   "Memory that the process holds.");
  made.connections = kernel::AddGauge(metrics, "egretladder_caller_connections",
                                      "Open caller connections.");
  made.calls = kernel::AddGauge(metrics, "egretladder_calls_in_progress",
                                "Calls in progress.");
  return made;
}

ClassMetrics& MetricsOfClass(CallMetrics& calls, kernel::Metrics& metrics,
                             const rules::Rules* rules,
                             rules::ClassHandle cls) {
  const bool known = rules != nullptr && rules::IsValid(cls) &&
                     cls.idx < rules->classes.size();
  const std::string name =
      known ? rules->classes[cls.idx].source.name : "unknown";
  const auto at = calls.classes.find(name);
  if (at != calls.classes.end()) return at->second;
  return calls.classes.emplace(name, AddClass(metrics, name)).first->second;
}

void CountFirstToken(CallMetrics& calls, kernel::Metrics& metrics,
                     const rules::Rules* rules, rules::ClassHandle cls,
                     std::chrono::nanoseconds after) {
  const ClassMetrics& of = MetricsOfClass(calls, metrics, rules, cls);
  kernel::Observe(metrics, of.first_token, after);
  if (rules == nullptr || !rules::IsValid(cls)) return;
  const auto target = rules->classes[cls.idx].first_token;
  if (target.count() == 0) return;
  kernel::Increment(metrics, after <= target ? of.in_time : of.late);
}

std::uint64_t ResidentBytes() {
  std::ifstream in("/proc/self/statm");
  std::uint64_t size = 0;
  std::uint64_t resident = 0;
  in >> size >> resident;
  return resident * static_cast<std::uint64_t>(sysconf(_SC_PAGESIZE));
}

}  // namespace egretladder::gateway
