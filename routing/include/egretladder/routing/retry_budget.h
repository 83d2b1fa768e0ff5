// This node's share of the retries that a service may get.
//
// Load: every answer fails for some seconds. Without a bound each request
// becomes as many as its attempts, and the load outlives the fault. The bound
// holds for the sum over all nodes, so each uses a part of its own requests'
// and an even part of the fixed allowance (retry budgets: Beyer et al., "Site
// Reliability Engineering", chapter 22).
#pragma once

#include <array>
#include <chrono>
#include <cstdint>

#include "egretladder/kernel/time.h"
#include "egretladder/routing/limits.h"

namespace egretladder::routing {

using kernel::Time;

/// What all nodes together may repeat.
struct RetryBudgetRule {
  double ratio = 0.1;  ///< Of the requests in the window.
  double slack = 10;   ///< Beyond that, all nodes together.
  std::chrono::milliseconds window{10'000};
};

/// Who shares the fixed allowance.
struct RetryBudgetFleet {
  std::size_t nodes = 1;
  /// Since this process started. One younger than the window has an earlier
  /// life, whose repeats still count.
  std::chrono::milliseconds age{};
};

/// Counts of one service, in slices of the window.
struct NodeRetryBudget {
  struct Slice {
    std::int64_t number = -1;
    std::uint32_t requests = 0;
    std::uint32_t repeats = 0;
  };
  std::array<Slice, kRetryBuckets> slices;
};

/// A request for the service came in.
void OnRequest(NodeRetryBudget& share, const RetryBudgetRule& rule, Time now);

/// True when one more repeat fits; counts it then.
bool TryConsumeRetry(NodeRetryBudget& share, const RetryBudgetRule& rule,
                     const RetryBudgetFleet& fleet, Time now);

/// Repeats that still fit.
///
/// Load: every node is restarted, some several times within the window. With
/// its whole part of the slack at each start a node uses it as often as it
/// starts; it is earned over the window instead, but for one repeat.
double RetriesLeft(const NodeRetryBudget& share, const RetryBudgetRule& rule,
                   const RetryBudgetFleet& fleet, Time now);

}  // namespace egretladder::routing
