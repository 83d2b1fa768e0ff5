#include "egretladder/routing/admission.h"

#include <algorithm>

namespace egretladder::routing {

namespace {

// Returns the time in ms until a caller that retries is expected to find room.
double ExpectedRoomMs(const Placement& placement) {
  // Within a second, a transient fault of a few endpoints is over or known to
  // all nodes.
  constexpr double kDefaultMs = 250;
  if (placement.endpoint != nullptr) return placement.expected_ms / 2;
  if (!placement.next_turn_in) return kDefaultMs;
  return static_cast<double>(placement.next_turn_in->count());
}

}  // namespace

const char* NameOf(AdmissionVerdict verdict) {
  switch (verdict) {
    case AdmissionVerdict::kSend:
      return "send";
    case AdmissionVerdict::kWait:
      return "wait";
    case AdmissionVerdict::kTooLate:
      return "too-late";
    case AdmissionVerdict::kNoEndpoint:
      return "no-endpoint";
  }
  return "unknown";
}

AdmissionVerdict DecideAdmission(const AdmissionInput& input,
                                 const Placement& placement, Time now) {
  const auto time_left =
      std::chrono::duration<double, std::milli>(input.deadline - now);
  // An endpoint of a version that is gone is not waited for.
  if (placement.reason == PlacementReason::kNoneOfVersion)
    return AdmissionVerdict::kNoEndpoint;
  if (placement.endpoint == nullptr) {
    const auto target_wait =
        std::chrono::duration_cast<milliseconds>(input.target * kMaxWaitRatio);
    const auto max_wait = std::max(
        target_wait, input.was_sent_before ? kMinResentWait : kMinWait);
    const auto waited = now - input.waiting_since;
    const auto until_turn = placement.next_turn_in.value_or(milliseconds{});
    const bool must_reject = waited >= max_wait || time_left.count() <= 0 ||
                             waited + until_turn > max_wait;
    return must_reject ? AdmissionVerdict::kNoEndpoint
                       : AdmissionVerdict::kWait;
  }
  if (placement.expected_ms > time_left.count() * kMaxExpectedWaitRatio) {
    return AdmissionVerdict::kTooLate;
  }
  return AdmissionVerdict::kSend;
}

milliseconds RetryAfterRejection(const Placement& placement,
                                 milliseconds target, kernel::Random& random) {
  const double min_delay_ms = static_cast<double>(target.count()) / 4;
  // Before the end of a backoff, the caller would be rejected once more.
  const bool is_backoff = placement.reason == PlacementReason::kAllBackingOff;
  const double fraction = kernel::RandomFraction(random);
  const double jitter = is_backoff ? 1 + fraction / 2 : 0.5 + fraction;
  return milliseconds(static_cast<std::int64_t>(
      std::max(min_delay_ms, ExpectedRoomMs(placement)) * jitter));
}

milliseconds MaxWaitForRules(std::optional<milliseconds> deadline,
                             std::size_t waiting) {
  if (!deadline || deadline->count() <= 0) return {};
  if (waiting >= kMaxRequestsWithoutRules) return {};
  const auto wait = *deadline * kRulesWaitRatio;
  if (wait >= kMaxRulesWait) return kMaxRulesWait;
  return std::chrono::duration_cast<milliseconds>(wait);
}

milliseconds RetryAfterNotReady(milliseconds lasted, kernel::Random& random) {
  const auto wait =
      std::clamp(lasted, kMinNotReadyRetryDelay, kMaxNotReadyRetryDelay);
  const double jitter = 0.75 + kernel::RandomFraction(random) / 2;
  return std::chrono::duration_cast<milliseconds>(wait * jitter);
}

}  // namespace egretladder::routing
