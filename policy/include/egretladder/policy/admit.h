// Admission control: caps on waiting requests, and early refusal of requests
// that can't be served by their deadline.
//
// During a burst far over capacity, a request that is queued first and refused
// later leaves its caller no time to try elsewhere, so that the decision is
// made on arrival.
#pragma once

#include <chrono>
#include <cstdint>
#include <optional>

#include "egretladder/kernel/time.h"
#include "egretladder/policy/estimate.h"
#include "egretladder/policy/limits.h"
#include "egretladder/policy/scheduler.h"

namespace egretladder::policy {

/// Returns the latest time until which `request` may wait in the queue.
///
/// This is its deadline, or arrival plus the class's `max_wait` where that is
/// longer than the class's first-token target. A caller that asked for less
/// than the target keeps its own deadline.
Time GetQueueDeadline(const Request& request, const rules::Class& cls);

/// Queued work that is served before an arriving request at its target.
struct WorkAhead {
  double requests = 0;
  double slot_seconds = 0;  ///< Slot time it will take, by learned means.
  double completions = 0;   ///< Completions of the request's own class that
                            ///< the estimate is based on.
};

/// The slots of a target, as far as they are available to one request.
struct SlotCapacity {
  std::uint32_t slots = 0;
  std::uint32_t free = 0;          ///< Free for this request's tier.
  double releases_per_second = 0;  ///< Expected of the attempts in flight.
  double available_ratio = 1;  ///< Share of the releases that is left over by
                               ///< arrivals of higher tiers, from 0 to 1.
};

/// Returns the expected wait until a slot is free for the arriving request; 0
/// when nothing is known.
Seconds EstimateWait(const WorkAhead& ahead, const SlotCapacity& slots);

/// Returns how many of a class's waiting requests are served before one more
/// request of an account that has `account_waiting` waiting already.
///
/// Accounts are served in fair turns, so that a request of an account with a
/// short queue passes the batch of another account.
double FairRequestsAhead(std::uint32_t class_waiting,
                         std::uint32_t waiting_accounts,
                         std::uint32_t account_waiting);

/// What the admission of an arriving request depends on.
struct AdmissionContext {
  std::uint32_t class_waiting = 0;  ///< Over all targets.
  std::uint32_t class_cap = 0;      ///< 0: no cap.
  std::uint32_t account_waiting = 0;
  std::uint32_t account_cap = 0;    ///< 0: no cap.
  bool can_start_now = false;       ///< A slot is free and no request is ahead.
  Seconds expected_wait{};          ///< Behind the requests that are in time.
  Seconds expected_wait_if_late{};  ///< Behind all waiting requests.
  Seconds time_to_first_token{};    ///< Expected, counted from the dispatch.
  double confidence = 0;    ///< In the estimates, from 0 (no data) to 1.
  bool overloaded = false;  ///< Its tier and the higher ones offer more load
                            ///< than the target's slots serve.
  Time deadline{};
  Time queue_deadline{};
};

/// Returns the reason for which a request is refused, or nothing when it may
/// wait. The length of the queue is checked by the caller, which can shed other
/// requests to make room.
///
/// A request that will miss its deadline may wait until its queue deadline only
/// while less load arrives than the slots can serve. In a lasting overload,
/// requests that are in time are always served first, so that a late one would
/// wait until its queue deadline only to be refused then.
std::optional<RefuseReason> DecideAdmission(const AdmissionContext& context,
                                            Time now);

/// Returns the delay after which a refused caller should retry: the time by
/// which the expected wait exceeds the allowed one, within the bounds in
/// `limits`. `jitter`, from 0 up to 1, spreads callers that were refused at
/// the same time.
std::chrono::milliseconds RetryAfter(Seconds expected_wait,
                                     Seconds allowed_wait, double jitter,
                                     const Limits& limits);

}  // namespace egretladder::policy
