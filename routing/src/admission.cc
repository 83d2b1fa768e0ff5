#include "egretladder/routing/admission.h"

#include <algorithm>

namespace egretladder::routing {

namespace {

// Until a caller that comes back is expected to find room.
double RoomExpectedMs(const Placement& placement) {
  // A transient fault of a few endpoints is over, or known to all nodes, within
  // a second.
  constexpr double kUnknownMs = 250;
  if (placement.endpoint != nullptr) return placement.expected_ms / 2;
  if (!placement.room_in) return kUnknownMs;
  return static_cast<double>(placement.room_in->count());
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

AdmissionVerdict DecideAdmission(const AdmissionInput& ask,
                                 const Placement& placement, Time now) {
  const auto left =
      std::chrono::duration<double, std::milli>(ask.deadline - now);
  if (placement.endpoint == nullptr) {
    const auto part =
        std::chrono::duration_cast<milliseconds>(ask.target * kWaitPart);
    const auto longest =
        std::max(part, ask.was_sent_before ? kWaitAgain : kWaitLeast);
    const auto waited = now - ask.waiting_since;
    const auto until_room = placement.room_in.value_or(milliseconds{});
    const bool waited_enough =
        waited >= longest || left.count() <= 0 || waited + until_room > longest;
    return waited_enough ? AdmissionVerdict::kNoEndpoint
                         : AdmissionVerdict::kWait;
  }
  if (placement.expected_ms > left.count() * kUsefulPart) {
    return AdmissionVerdict::kTooLate;
  }
  return AdmissionVerdict::kSend;
}

milliseconds RetryAfterRejection(const Placement& placement,
                                 milliseconds target, kernel::Random& random) {
  const double least = static_cast<double>(target.count()) / 4;
  const double spread = 0.5 + kernel::RandomFraction(random);
  return milliseconds(static_cast<std::int64_t>(
      std::max(least, RoomExpectedMs(placement)) * spread));
}

milliseconds RetryAfterNotReady(milliseconds lasted, kernel::Random& random) {
  const auto wait = std::clamp(lasted, kReadyRetryLeast, kReadyRetryMost);
  const double spread = 0.75 + kernel::RandomFraction(random) / 2;
  return std::chrono::duration_cast<milliseconds>(wait * spread);
}

}  // namespace egretladder::routing
