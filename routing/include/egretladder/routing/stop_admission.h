// Whether a node that stops still takes a request.
//
// Load: planned stops while long streams run. Callers keep this node's address
// for seconds after it began to stop. A node that takes whatever they send
// takes streams that the rest of its grace time can't hold, and cuts them in
// the middle; their callers lose work that ran. Refused as not run, a caller
// has its answer from another node some milliseconds later. So a request is
// taken only if it ends in time: for certain by its deadline, or else as far as
// can be expected.
#pragma once

#include <cstdint>

#include "egretladder/policy/stopping.h"
#include "egretladder/routing/endpoints.h"
#include "egretladder/routing/placement.h"

namespace egretladder::routing {

/// What is decided for one request at a node that stops.
enum class StopAdmissionVerdict : std::uint8_t {
  kEndsByDeadline,  ///< Taken: its deadline comes before the node's end.
  kExpectedInTime,  ///< Taken: even a long one would end before.
  kTooLong,         ///< Refused: it may be cut.
  kTooLate,         ///< Refused: no caller should send here any more.
};
/// As logs show it.
const char* NameOf(StopAdmissionVerdict verdict);

/// True for the two by which a request is taken.
bool IsAdmitted(StopAdmissionVerdict verdict);

/// What the decision depends on.
struct StopAdmissionInput {
  milliseconds arrived{};   ///< From the stop's begin; below 0: before it.
  milliseconds since{};     ///< Since the stop began.
  milliseconds deadline{};  ///< Until the request is ended anyway.
  milliseconds longest{};   ///< Until its whole answer, if it is a long one.
};

/// Decides.
StopAdmissionVerdict DecideStopAdmission(const policy::StopPlan& plan,
                                         const StopAdmissionInput& ask);

/// Time to the whole answer at the endpoint that was found, if any, and if the
/// answer is a long one: by its route's streams, or by what the endpoint took
/// for whole answers.
milliseconds EstimateLongAnswerTime(const EndpointSet& set,
                                    const Demand& demand,
                                    const Placement& placement);

}  // namespace egretladder::routing
