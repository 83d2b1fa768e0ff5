// Admission control at a node that is stopping.
//
// Callers keep using a node's address for seconds after it began to stop. If
// the node accepted everything they send, it would accept streams that outlast
// its grace period and cut them, and their callers would lose work that ran. A
// caller whose request is rejected as not run gets its answer from another node
// some milliseconds later. A request is therefore accepted only if it ends in
// time: either certainly, by its deadline, or as far as can be expected.
#pragma once

#include <cstdint>
#include <optional>

#include "egretladder/policy/stopping.h"
#include "egretladder/routing/endpoints.h"
#include "egretladder/routing/placement.h"

namespace egretladder::routing {

/// The admission decision for one request at a stopping node.
enum class StopAdmissionVerdict : std::uint8_t {
  kEndsByDeadline,  ///< Accepted: its deadline is before the node's end.
  kExpectedInTime,  ///< Accepted: even a long answer would end in time.
  kTooLong,         ///< Rejected: it might be cut.
  kUnknownLength,   ///< Rejected: no answer of its route is known.
  kTooLate,         ///< Rejected: callers shouldn't send here any more.
};
/// Returns the verdict's name in logs.
const char* NameOf(StopAdmissionVerdict verdict);

/// Returns true if the verdict accepts the request.
bool IsAdmitted(StopAdmissionVerdict verdict);

/// What the decision depends on.
struct StopAdmissionInput {
  /// Time from the start of the stop to the request's arrival; negative if it
  /// arrived before.
  milliseconds arrived{};
  milliseconds since{};     ///< Time since the stop began.
  milliseconds deadline{};  ///< Time until the request is ended in any case.
  milliseconds
      longest{};  ///< Time to its complete answer, if it is a long one.
  /// The same by the longest answer of its route; nothing: none is known.
  std::optional<milliseconds> longest_of_route;
  /// Its caller may send it again if it doesn't get the answer.
  bool is_repeatable = true;
  /// Most other nodes go on taking requests.
  bool do_others_stay = false;
};

/// Decides whether a stopping node accepts a request. One that may not be
/// repeated is lost if it is cut. While other nodes stand ready, it is accepted
/// only if the longest answer of its route would end in time too. While most of
/// them stop, its caller would meet one refusal after the other.
StopAdmissionVerdict DecideStopAdmission(const policy::StopPlan& plan,
                                         const StopAdmissionInput& input);

/// Returns the time to the complete answer, if it is a long one, at the
/// endpoint that placement found, if any. The estimate follows the route's
/// streams or, for other answers, the endpoint's mean time to a complete
/// answer.
milliseconds EstimateLongAnswerTime(const EndpointSet& set,
                                    const Demand& demand,
                                    const Placement& placement);

/// Returns the time to the complete answer if it is as long as the longest of
/// its route; nothing: no answer of the route is known.
std::optional<milliseconds> EstimateLongestOfRoute(const Demand& demand,
                                                   const Placement& placement);

}  // namespace egretladder::routing
