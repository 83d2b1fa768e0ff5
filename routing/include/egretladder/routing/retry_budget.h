// This node's part of the retry budget of a service.
//
// If every answer fails for some seconds, unbounded retries multiply each
// request by its allowed attempts, and the overload outlives the fault. The
// budget holds for the sum over all nodes, so each node may retry a part of its
// own requests and has an even part of the fixed allowance (retry budgets:
// Beyer et al., "Site Reliability Engineering", chapter 22).
//
// A retry counts when it is sent. It may wait for an endpoint before, and is
// reserved meanwhile.
#pragma once

#include <array>
#include <chrono>
#include <cstdint>

#include "egretladder/kernel/time.h"
#include "egretladder/routing/limits.h"

namespace egretladder::routing {

using kernel::Time;

/// The retry budget of all nodes together.
struct RetryBudgetRule {
  double ratio = 0.1;  ///< Retries per request in the window.
  double slack = 10;   ///< Further retries in the window, over all nodes.
  std::chrono::milliseconds window{10'000};
};

/// The fleet that shares the fixed allowance.
struct RetryBudgetFleet {
  std::size_t nodes = 1;
  /// Time since this process started, if it has met a peer or has none. Until
  /// it is longer than the window, retries of the node's earlier processes
  /// count.
  std::chrono::milliseconds age{};
};

/// Requests and retries of one service, counted in buckets of the window.
struct NodeRetryBudget {
  struct Bucket {
    std::int64_t number = -1;  ///< Time divided by the bucket's length.
    std::uint32_t requests = 0;
    std::uint32_t retries = 0;
  };
  /// One more than the window has, since the first and the last one that it
  /// touches are partly outside of it.
  std::array<Bucket, kRetryBuckets + 1> buckets;
  std::uint32_t reserved = 0;  ///< Retries that are decided but not sent.
};

/// Counts a request for the service.
void OnRequest(NodeRetryBudget& budget, const RetryBudgetRule& rule, Time now);

/// Reserves a retry and returns true if the budget has room for one. Otherwise
/// returns false. The reservation ends with `OnReservedRetrySent` or
/// `ReleaseRetry`.
bool TryReserveRetry(NodeRetryBudget& budget, const RetryBudgetRule& rule,
                     const RetryBudgetFleet& fleet, Time now);

/// Returns true if a request may be sent again for a sample: of the retries
/// that the window allows, `kept_ratio` are left to faults.
bool HasRetryForSample(const NodeRetryBudget& budget,
                       const RetryBudgetRule& rule,
                       const RetryBudgetFleet& fleet, double kept_ratio,
                       Time now);

/// Counts a reserved retry that is sent now.
void OnReservedRetrySent(NodeRetryBudget& budget, const RetryBudgetRule& rule,
                         Time now);

/// Gives back a reserved retry that won't be sent.
void ReleaseRetry(NodeRetryBudget& budget);

/// Returns the number of retries for which the budget still has room.
///
/// A process doesn't know what its predecessors on the node have used, and
/// nodes that don't know it yet share the slack without it. Its part of the
/// slack therefore begins once neither counts any more. Retries that its own
/// requests earn have no such delay.
double RetriesLeft(const NodeRetryBudget& budget, const RetryBudgetRule& rule,
                   const RetryBudgetFleet& fleet, Time now);

}  // namespace egretladder::routing
