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
                                         const StopAdmissionInput& ask) {
  const policy::StopPhase phase = policy::GetStopPhase(plan, ask.arrived);
  const milliseconds left = policy::TimeUntilCut(plan, ask.since);
  const bool may_take = phase == policy::StopPhase::kTaking ||
                        phase == policy::StopPhase::kSettling;
  if (!may_take) return StopAdmissionVerdict::kTooLate;
  if (ask.deadline <= left) return StopAdmissionVerdict::kEndsByDeadline;
  // An estimate may be wrong. That risk is worth taking only for callers that
  // could not know of the stop.
  if (phase == policy::StopPhase::kSettling)
    return StopAdmissionVerdict::kTooLate;
  return ask.longest <= left ? StopAdmissionVerdict::kExpectedInTime
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
          EventMs(endpoint.pace, FindServicePace(set, demand.service->name),
                  running);
  } else {
    ms += endpoint.health.mean_ms * kLongWhole;
  }
  return milliseconds(std::llround(std::max(ms, 0.0)));
}

}  // namespace egretladder::routing
