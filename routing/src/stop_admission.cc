#include "egretladder/routing/stop_admission.h"

#include <algorithm>
#include <cmath>

namespace egretladder::routing {

const char* NameOf(StopAdmissionVerdict verdict) {
  switch (verdict) {
    case StopAdmissionVerdict::kEndsByDeadline:
      return "ends-by-deadline";
    case StopAdmissionVerdict::kExpectedInTime:
      return "expected-in-time";
    case StopAdmissionVerdict::kTooLong:
      return "too-long";
    case StopAdmissionVerdict::kUnknownLength:
      return "unknown-length";
    case StopAdmissionVerdict::kTooLate:
      return "too-late";
  }
  return "unknown";
}

bool IsAdmitted(StopAdmissionVerdict verdict) {
  return verdict == StopAdmissionVerdict::kEndsByDeadline ||
         verdict == StopAdmissionVerdict::kExpectedInTime;
}

StopAdmissionVerdict DecideStopAdmission(const policy::StopPlan& plan,
                                         const StopAdmissionInput& input) {
  const policy::StopPhase phase = policy::GetStopPhase(plan, input.arrived);
  const milliseconds time_left = policy::TimeUntilCut(plan, input.since);
  const bool may_take = phase == policy::StopPhase::kTaking ||
                        phase == policy::StopPhase::kSettling;
  if (!may_take) return StopAdmissionVerdict::kTooLate;
  if (input.deadline <= time_left) return StopAdmissionVerdict::kEndsByDeadline;
  // The estimate may be wrong. That risk is taken only for callers that can't
  // know of the stop yet.
  if (phase == policy::StopPhase::kSettling)
    return StopAdmissionVerdict::kTooLate;
  milliseconds longest = input.longest;
  if (!input.is_repeatable && input.do_others_stay) {
    if (!input.longest_of_route) return StopAdmissionVerdict::kUnknownLength;
    longest = std::max(longest, *input.longest_of_route);
  }
  return longest <= time_left ? StopAdmissionVerdict::kExpectedInTime
                              : StopAdmissionVerdict::kTooLong;
}

milliseconds EstimateLongAnswerTime(const EndpointSet& set,
                                    const Demand& demand,
                                    const Placement& placement) {
  double ms = placement.expected_ms;
  const Endpoint unknown;
  const Endpoint& endpoint =
      placement.endpoint != nullptr ? *placement.endpoint : unknown;
  if (demand.longest > 1) {
    const double running = endpoint.in_flight + endpoint.peers_in_flight;
    ms += (demand.longest - 1) *
          ExpectedEventMs(endpoint.pace,
                          FindServicePace(set, demand.service->name), running);
  } else {
    ms += endpoint.health.mean_answer_ms * kLongAnswerFactor;
  }
  return milliseconds(std::llround(std::max(ms, 0.0)));
}

std::optional<milliseconds> EstimateLongestOfRoute(const Demand& demand,
                                                   const Placement& placement) {
  if (!demand.long_answer_ms) return std::nullopt;
  const double ms = placement.expected_ms + *demand.long_answer_ms;
  return milliseconds(std::llround(std::max(ms, 0.0)));
}

}  // namespace egretladder::routing
