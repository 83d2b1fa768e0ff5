// Common parts of the baseline schedulers: one queue for each target, in an
// order that the baseline defines. Requests are sent only to endpoints with a
// free slot, and are refused after the maximum wait of their class.
#pragma once

#include <cstdint>
#include <map>
#include <memory>
#include <tuple>
#include <unordered_map>
#include <utility>
#include <vector>

#include "egretladder/kernel/hash.h"
#include "egretladder/policy/scheduler.h"
#include "endpoints_p.h"

namespace egretladder::policy {

/// Sort key of a waiting request; the smallest goes first.
struct OrderKey {
  std::uint8_t tier = 0;
  Time time{};
  std::uint64_t number = 0;  ///< Arrival order.
};

inline bool operator<(const OrderKey& left, const OrderKey& right) {
  return std::tie(left.tier, left.time, left.number) <
         std::tie(right.tier, right.time, right.number);
}

struct BaselineState;

/// The functions in which baselines differ.
struct BaselineBehaviour {
  OrderKey (*order)(const BaselineState& state, const Request& request);
  /// Chooses an endpoint with a free slot for `target`. Returns an invalid
  /// handle when there is none.
  EndpointHandle (*pick)(BaselineState& state, TargetHandle target);
};

struct RunningRequest {
  Request request;
  EndpointHandle endpoint;
};

using BaselineQueue = std::map<OrderKey, Request>;

struct BaselineState : SchedulerState {
  const BaselineBehaviour* behaviour = nullptr;
  EndpointTable table;
  std::vector<BaselineQueue> queues;  ///< By target.
  std::unordered_map<RequestId, std::pair<std::uint32_t, OrderKey>> waiting;
  std::unordered_map<RequestId, RunningRequest> running;
  std::unordered_map<std::uint64_t, Time> quarantined;
  std::vector<std::uint32_t> cursors;  ///< Round-robin positions, by target.
  std::uint64_t arrivals = 0;
};

/// Orders requests by arrival, regardless of their tier.
OrderKey OrderByArrival(const BaselineState& state, const Request& request);
/// Picks the endpoint with the fewest requests in flight.
EndpointHandle PickLeastInFlight(BaselineState& state, TargetHandle target);

std::unique_ptr<SchedulerState> CreateBaseline(
    const BaselineBehaviour& behaviour);

/// Returns a plug-in with the event handlers that all baselines share, and with
/// the baseline's own `create`.
SchedulerPlugin BaselinePlugin(
    std::unique_ptr<SchedulerState> (*create)(const SchedulerOptions& options));

}  // namespace egretladder::policy
