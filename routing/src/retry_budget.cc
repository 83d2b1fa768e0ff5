#include "egretladder/routing/retry_budget.h"

#include <algorithm>

namespace egretladder::routing {
namespace {

std::int64_t BucketNumber(const RetryBudgetRule& rule, Time now) {
  const auto bucket = rule.window / kRetryBuckets;
  return std::chrono::duration_cast<std::chrono::milliseconds>(
             now.time_since_epoch()) /
         bucket;
}

NodeRetryBudget::Bucket& BucketAt(NodeRetryBudget& budget,
                                  std::int64_t number) {
  auto& bucket =
      budget.buckets[static_cast<std::size_t>(number) % budget.buckets.size()];
  if (bucket.number != number) bucket = {number, 0, 0};
  return bucket;
}

// Returns this process's part of the fixed allowance.
double NodeSlack(const RetryBudgetRule& rule, const RetryBudgetFleet& fleet) {
  if (fleet.age < rule.window * kRetrySlackDelayRatio) return 0;
  return rule.slack /
         static_cast<double>(std::max<std::size_t>(fleet.nodes, 1));
}

}  // namespace

void OnRequest(NodeRetryBudget& budget, const RetryBudgetRule& rule, Time now) {
  ++BucketAt(budget, BucketNumber(rule, now)).requests;
}

namespace {

// Retries of the window.
struct RetryUse {
  double allowed = 0;
  double used = 0;  // Reserved ones included.
};

RetryUse CountRetries(const NodeRetryBudget& budget,
                      const RetryBudgetRule& rule,
                      const RetryBudgetFleet& fleet, Time now) {
  const std::int64_t number = BucketNumber(rule, now);
  double requests = 0;
  double retries = 0;
  // All buckets together are longer than the window, and without the first one
  // they are shorter. Retries are counted in the longer time, requests in the
  // shorter one.
  constexpr auto kWindowBuckets = static_cast<std::int64_t>(kRetryBuckets);
  for (const NodeRetryBudget::Bucket& bucket : budget.buckets) {
    const std::int64_t age = number - bucket.number;
    if (age <= kWindowBuckets) retries += bucket.retries;
    if (age < kWindowBuckets) requests += bucket.requests;
  }
  return {kUsableRetryRatio * (rule.ratio * requests + NodeSlack(rule, fleet)),
          retries + budget.reserved};
}

}  // namespace

double RetriesLeft(const NodeRetryBudget& budget, const RetryBudgetRule& rule,
                   const RetryBudgetFleet& fleet, Time now) {
  const RetryUse use = CountRetries(budget, rule, fleet, now);
  return std::max(0.0, use.allowed - use.used);
}

bool HasRetryForSample(const NodeRetryBudget& budget,
                       const RetryBudgetRule& rule,
                       const RetryBudgetFleet& fleet, double kept_ratio,
                       Time now) {
  const RetryUse use = CountRetries(budget, rule, fleet, now);
  return use.allowed - use.used - 1 >= kept_ratio * use.allowed;
}

bool TryReserveRetry(NodeRetryBudget& budget, const RetryBudgetRule& rule,
                     const RetryBudgetFleet& fleet, Time now) {
  if (RetriesLeft(budget, rule, fleet, now) < 1) return false;
  ++budget.reserved;
  return true;
}

void OnReservedRetrySent(NodeRetryBudget& budget, const RetryBudgetRule& rule,
                         Time now) {
  --budget.reserved;
  ++BucketAt(budget, BucketNumber(rule, now)).retries;
}

void ReleaseRetry(NodeRetryBudget& budget) { --budget.reserved; }

}  // namespace egretladder::routing
