#include "egretladder/policy/estimate.h"

#include <algorithm>
#include <cmath>

namespace egretladder::policy {
namespace {

double DecayFactor(double estimate_window_completions) {
  return 1.0 - 1.0 / std::max(2.0, estimate_window_completions);
}

double SlotSecondsAt(const ServiceTimeStats& stats, kernel::Time now) {
  const double elapsed = Seconds(now - stats.updated_at).count();
  return stats.slot_seconds + std::max(0.0, elapsed) * stats.running;
}

void AccrueSlotTime(ServiceTimeStats& stats, kernel::Time now) {
  stats.slot_seconds = SlotSecondsAt(stats, now);
  stats.updated_at = now;
}

}  // namespace

void RecordDispatch(ServiceTimeStats& stats, kernel::Time now) {
  AccrueSlotTime(stats, now);
  ++stats.running;
}

void RecordFirstToken(ServiceTimeStats& stats, Seconds after_dispatch,
                      double estimate_window_completions) {
  const double decay = DecayFactor(estimate_window_completions);
  stats.first_token_sum_seconds =
      stats.first_token_sum_seconds * decay + after_dispatch.count();
  stats.first_token_square_sum =
      stats.first_token_square_sum * decay +
      after_dispatch.count() * after_dispatch.count();
  stats.first_token_count = stats.first_token_count * decay + 1;
}

void RecordCompletion(ServiceTimeStats& stats, std::uint32_t tokens,
                      double estimate_window_completions, kernel::Time now) {
  AccrueSlotTime(stats, now);
  if (stats.running > 0) --stats.running;
  const double decay = DecayFactor(estimate_window_completions);
  stats.slot_seconds *= decay;
  stats.completions = stats.completions * decay + 1;
  stats.tokens = stats.tokens * decay + tokens;
}

void RecordAbort(ServiceTimeStats& stats, Seconds spent, kernel::Time now) {
  AccrueSlotTime(stats, now);
  if (stats.running > 0) --stats.running;
  stats.slot_seconds = std::max(0.0, stats.slot_seconds - spent.count());
}

Seconds MeanSlotTime(const ServiceTimeStats& stats, kernel::Time now) {
  const double slot_seconds = SlotSecondsAt(stats, now);
  double attempts = stats.completions;
  if (stats.completions < stats.running) attempts += stats.running;
  return Seconds(attempts > 0 ? slot_seconds / attempts : 0);
}

Seconds MeanTimeToFirstToken(const ServiceTimeStats& stats) {
  if (stats.first_token_count <= 0) return Seconds(0);
  return Seconds(stats.first_token_sum_seconds / stats.first_token_count);
}

Seconds ConservativeTimeToFirstToken(const ServiceTimeStats& stats) {
  if (stats.first_token_count <= 0) return Seconds(0);
  const double mean = stats.first_token_sum_seconds / stats.first_token_count;
  const double mean_square =
      stats.first_token_square_sum / stats.first_token_count;
  return Seconds(mean +
                 2 * std::sqrt(std::max(0.0, mean_square - mean * mean)));
}

double MeanOutputTokens(const ServiceTimeStats& stats) {
  return stats.completions > 0 ? stats.tokens / stats.completions : 0;
}

}  // namespace egretladder::policy
