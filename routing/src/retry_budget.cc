#include "egretladder/routing/retry_budget.h"

#include <algorithm>

namespace egretladder::routing {
namespace {

std::int64_t NumberAt(const RetryBudgetRule& rule, Time now) {
  const auto slice = rule.window / kRetryBuckets;
  return std::chrono::duration_cast<std::chrono::milliseconds>(
             now.time_since_epoch()) /
         slice;
}

NodeRetryBudget::Slice& SliceAt(NodeRetryBudget& share, std::int64_t number) {
  auto& slice = share.slices[static_cast<std::size_t>(number) % kRetryBuckets];
  if (slice.number != number) slice = {number, 0, 0};
  return slice;
}

// This process's part of the fixed allowance.
double SlackOf(const RetryBudgetRule& rule, const RetryBudgetFleet& fleet) {
  const double part =
      rule.slack / static_cast<double>(std::max<std::size_t>(fleet.nodes, 1));
  const double lived =
      std::min(1.0, std::chrono::duration<double>(fleet.age) / rule.window);
  // Enough for one repeat, if the part is.
  const double least = std::min(part, 1 / kRetryUsed);
  return std::max(least, part * lived);
}

}  // namespace

void OnRequest(NodeRetryBudget& share, const RetryBudgetRule& rule, Time now) {
  ++SliceAt(share, NumberAt(rule, now)).requests;
}

double RetriesLeft(const NodeRetryBudget& share, const RetryBudgetRule& rule,
                   const RetryBudgetFleet& fleet, Time now) {
  const std::int64_t number = NumberAt(rule, now);
  double requests = 0;
  double repeats = 0;
  for (const NodeRetryBudget::Slice& slice : share.slices) {
    if (number - slice.number >= static_cast<std::int64_t>(kRetryBuckets)) {
      continue;
    }
    requests += slice.requests;
    repeats += slice.repeats;
  }
  const double allowed =
      kRetryUsed * (rule.ratio * requests + SlackOf(rule, fleet));
  return std::max(0.0, allowed - repeats);
}

bool TryConsumeRetry(NodeRetryBudget& share, const RetryBudgetRule& rule,
                     const RetryBudgetFleet& fleet, Time now) {
  if (RetriesLeft(share, rule, fleet, now) < 1) return false;
  ++SliceAt(share, NumberAt(rule, now)).repeats;
  return true;
}

}  // namespace egretladder::routing
