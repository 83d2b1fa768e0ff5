#include "egretladder/policy/admit.h"

#include <algorithm>

namespace egretladder::policy {

Time BoundOf(const Request& request, const rules::Class& cls) {
  const bool own_deadline =
      request.deadline < request.arrived + cls.first_token;
  if (own_deadline || cls.max_wait <= cls.first_token) return request.deadline;
  return request.arrived + cls.max_wait;
}

Seconds EstimateWait(const WorkAhead& ahead, const SlotsInUse& slots) {
  const double to_wait_for = ahead.requests + 1 - slots.free;
  if (to_wait_for <= 0) return Seconds(0);
  if (slots.slots == 0) return Seconds(0);  // No lease yet: nothing is known.
  const double mean =
      ahead.requests > 0 ? ahead.slot_seconds / ahead.requests : 0;
  // Slots held by long work come free slowly, and at the rate of the work ahead
  // once that has replaced it. The faster of the two refuses too little rather
  // than too much.
  const double rate =
      std::max(slots.releases_a_second, mean > 0 ? slots.slots / mean : 0);
  return Seconds(rate > 0 ? to_wait_for / (rate * slots.part_left) : 0);
}

double FairAhead(std::uint32_t class_waiting, std::uint32_t accounts_waiting,
                 std::uint32_t account_waiting) {
  const std::uint32_t others =
      accounts_waiting -
      std::min(accounts_waiting, account_waiting > 0 ? 1U : 0U);
  const double by_turns =
      account_waiting + static_cast<double>(others) * (account_waiting + 1);
  return std::min<double>(class_waiting, by_turns);
}

std::optional<RefuseReason> DecideAdmit(const AdmitQuestion& question,
                                        Time now) {
  if (question.can_start_now) return std::nullopt;
  if (question.class_cap > 0 && question.class_waiting >= question.class_cap) {
    return RefuseReason::kClassCap;
  }
  if (question.account_cap > 0 &&
      question.account_waiting >= question.account_cap) {
    return RefuseReason::kAccountCap;
  }
  if (now >= question.bound) return RefuseReason::kDeadlineUnreachable;
  const Seconds needed =
      (question.wait + question.first_token) * question.trust;
  if (needed <= Seconds(question.deadline - now)) return std::nullopt;
  const bool fits =
      question.wait_late * question.trust <= Seconds(question.bound - now);
  const bool may_be_late = question.bound > question.deadline;
  if (may_be_late && fits && !question.overloaded) return std::nullopt;
  return RefuseReason::kDeadlineUnreachable;
}

std::chrono::milliseconds RetryAfter(Seconds wait, Seconds may_wait,
                                     double jitter, const Limits& limits) {
  const Seconds over = std::max(Seconds(0), wait - may_wait);
  const Seconds spread = over * (1.0 + 0.5 * jitter);
  const auto least = Seconds(limits.retry_after_least) * (1.0 + jitter);
  return std::chrono::duration_cast<std::chrono::milliseconds>(
      std::clamp<Seconds>(spread, least, limits.retry_after_most));
}

}  // namespace egretladder::policy
