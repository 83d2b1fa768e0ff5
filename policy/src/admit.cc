#include "egretladder/policy/admit.h"

#include <algorithm>

namespace egretladder::policy {

Time GetQueueDeadline(const Request& request, const rules::Class& cls) {
  const bool has_own_deadline =
      request.deadline < request.arrived + cls.first_token;
  if (has_own_deadline || cls.max_wait <= cls.first_token)
    return request.deadline;
  return request.arrived + cls.max_wait;
}

Seconds EstimateWait(const WorkAhead& ahead, const SlotCapacity& slots) {
  const double slots_needed = ahead.requests + 1 - slots.free;
  if (slots_needed <= 0) return Seconds(0);
  if (slots.slots == 0) return Seconds(0);  // No lease yet.
  const double mean =
      ahead.requests > 0 ? ahead.slot_seconds / ahead.requests : 0;
  // Slots that long requests hold become free slowly. Once the queued requests
  // have replaced them, slots become free at the rate of those. Taking the
  // higher rate refuses too few requests rather than too many.
  const double rate =
      std::max(slots.releases_per_second, mean > 0 ? slots.slots / mean : 0);
  return Seconds(rate > 0 ? slots_needed / (rate * slots.available_ratio) : 0);
}

double FairRequestsAhead(std::uint32_t class_waiting,
                         std::uint32_t waiting_accounts,
                         std::uint32_t account_waiting) {
  const std::uint32_t other_accounts =
      waiting_accounts -
      std::min(waiting_accounts, account_waiting > 0 ? 1U : 0U);
  const double ahead_in_turns =
      account_waiting +
      static_cast<double>(other_accounts) * (account_waiting + 1);
  return std::min<double>(class_waiting, ahead_in_turns);
}

std::optional<RefuseReason> DecideAdmission(const AdmissionContext& context,
                                            Time now) {
  if (context.can_start_now) return std::nullopt;
  if (context.class_cap > 0 && context.class_waiting >= context.class_cap) {
    return RefuseReason::kClassCap;
  }
  if (context.account_cap > 0 &&
      context.account_waiting >= context.account_cap) {
    return RefuseReason::kAccountCap;
  }
  if (now >= context.queue_deadline) return RefuseReason::kDeadlineUnreachable;
  const Seconds time_needed =
      (context.expected_wait + context.time_to_first_token) *
      context.confidence;
  if (time_needed <= Seconds(context.deadline - now)) return std::nullopt;
  const bool fits = context.expected_wait_if_late * context.confidence <=
                    Seconds(context.queue_deadline - now);
  const bool allows_late = context.queue_deadline > context.deadline;
  if (allows_late && fits && !context.overloaded) return std::nullopt;
  return RefuseReason::kDeadlineUnreachable;
}

std::chrono::milliseconds RetryAfter(Seconds expected_wait,
                                     Seconds allowed_wait, double jitter,
                                     const Limits& limits) {
  const Seconds excess_wait =
      std::max(Seconds(0), expected_wait - allowed_wait);
  const Seconds jittered_wait = excess_wait * (1.0 + 0.5 * jitter);
  const auto min_wait = Seconds(limits.min_retry_after) * (1.0 + jitter);
  return std::chrono::duration_cast<std::chrono::milliseconds>(
      std::clamp<Seconds>(jittered_wait, min_wait, limits.max_retry_after));
}

}  // namespace egretladder::policy
