// What is let in: caps, and an early refusal of what can't be served in time.
//
// Load: a burst far over capacity. Without it callers wait for a refusal, and
// by the time it comes it is too late for them to go elsewhere.
#pragma once

#include <chrono>
#include <cstdint>
#include <optional>

#include "egretladder/kernel/time.h"
#include "egretladder/policy/estimate.h"
#include "egretladder/policy/limits.h"
#include "egretladder/policy/scheduler.h"

namespace egretladder::policy {

/// The longest that a request may wait: its deadline, or the class's
/// `max_wait` where the operator allows more than the class's target. A caller
/// that asked for less than the target has its own deadline kept.
Time GetQueueDeadline(const Request& request, const rules::Class& cls);

/// Work that goes before an arriving request at its target.
struct WorkAhead {
  double requests = 0;
  double slot_seconds = 0;  ///< That it will take, by learned means.
  double completions = 0;   ///< Seen of the own class: the evidence.
};

/// The slots of a target and what keeps them.
struct SlotCapacity {
  std::uint32_t slots = 0;
  std::uint32_t free = 0;          ///< Free for this request's tier.
  double releases_per_second = 0;  ///< By what runs now.
  double available_ratio =
      1;  ///< That higher tiers, as they arrive, leave over.
};

/// Expected wait until a slot is free for the arriving request.
Seconds EstimateWait(const WorkAhead& ahead, const SlotCapacity& slots);

/// How much of a class's queue goes before one more request of an account:
/// fair turns let an account with little waiting pass a batch of another.
double FairRequestsAhead(std::uint32_t class_waiting,
                         std::uint32_t waiting_accounts,
                         std::uint32_t account_waiting);

/// What an arriving request's admission depends on.
struct AdmissionContext {
  std::uint32_t class_waiting = 0;  ///< Over all targets.
  std::uint32_t class_cap = 0;      ///< 0: none.
  std::uint32_t account_waiting = 0;
  std::uint32_t account_cap = 0;    ///< 0: none.
  bool can_start_now = false;       ///< A slot is free and nothing goes before.
  Seconds expected_wait{};          ///< Expected, behind what is in time.
  Seconds expected_wait_if_late{};  ///< Expected, behind all that waits.
  Seconds time_to_first_token{};    ///< Expected, from start.
  double confidence = 0;    ///< In the estimates, from 0 (nothing seen) to 1.
  bool overloaded = false;  ///< Its tier and higher ones bring too much.
  Time deadline{};
  Time queue_deadline{};
};

/// Says why a request is turned away; nothing when it may wait. Room in the
/// queue is a matter of its own, since room can be made.
///
/// What would be late may wait up to its bound only while less arrives than the
/// slots bear: in a lasting overload what is in time always goes before, so
/// that late work would wait to its bound and be refused then.
std::optional<RefuseReason> DecideAdmission(const AdmissionContext& context,
                                            Time now);

/// When a refused caller should come back: once the expected wait will fit.
/// `jitter` from 0 up to 1 spreads callers that were refused together.
std::chrono::milliseconds RetryAfter(Seconds expected_wait,
                                     Seconds allowed_wait, double jitter,
                                     const Limits& limits);

}  // namespace egretladder::policy
