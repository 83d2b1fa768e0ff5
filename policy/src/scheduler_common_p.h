// The skeleton of the baseline schedulers: one queue for each target in an
// order that the baseline names, slots respected, longest waits refused.
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

/// Place in a queue: smallest first.
struct OrderKey {
  std::uint8_t tier = 0;
  Time time{};
  std::uint64_t number = 0;  ///< Of arrival.
};

inline bool operator<(const OrderKey& left, const OrderKey& right) {
  return std::tie(left.tier, left.time, left.number) <
         std::tie(right.tier, right.time, right.number);
}

struct BaselineState;

/// In what baselines differ.
struct BaselineBehaviour {
  OrderKey (*order)(const BaselineState& state, const Request& request);
  /// Chooses among endpoints with a free slot for `target`; not valid when
  /// there is none.
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
  std::vector<std::uint32_t> cursors;  ///< By target, for round robin.
  std::uint64_t arrivals = 0;
};

/// First come, first served, whatever the tier.
OrderKey OrderByArrival(const BaselineState& state, const Request& request);
/// Takes the one with the fewest requests in flight.
EndpointHandle PickLeastInFlight(BaselineState& state, TargetHandle target);

std::unique_ptr<SchedulerState> CreateBaseline(
    const BaselineBehaviour& behaviour);

/// The events that all baselines take alike; `create` is left to each.
SchedulerPlugin BaselinePlugin(
    std::unique_ptr<SchedulerState> (*create)(const SchedulerOptions& options));

}  // namespace egretladder::policy
