// Admission control: decides whether a request is sent, waits or is rejected,
// from the expected wait at the endpoint that placement found.
//
// Guards against bursts beyond the engines' capacity. If every request were
// sent, all of them would start late, and callers would wait seconds for
// answers that arrive after their deadline. A caller that is rejected at once
// can retry when the burst is over (Zhou et al., "Overload Control for Scaling
// WeChat Microservices", SoCC 2018: reject early, by priority).
#pragma once

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <optional>

#include "egretladder/kernel/hash.h"
#include "egretladder/routing/placement.h"

namespace egretladder::routing {

/// The admission decision for one request at this moment.
enum class AdmissionVerdict : std::uint8_t {
  kSend,
  kWait,        ///< No endpoint can take it yet.
  kTooLate,     ///< Rejected: its first event is expected too late.
  kNoEndpoint,  ///< Rejected: no endpoint became free within the allowed wait.
};
/// Returns the verdict's name in logs.
const char* NameOf(AdmissionVerdict verdict);

/// What the admission decision depends on.
struct AdmissionInput {
  Time waiting_since{};   ///< When the request began to need an endpoint.
  Time deadline{};        ///< The earlier of the caller's and the route's.
  milliseconds target{};  ///< Promised time to the first event.
  /// The request was sent to an endpoint before. Rejecting it now would waste
  /// the work done there, so it may wait longer.
  bool was_sent_before = false;
};

/// Decides whether the request is sent, waits or is rejected. `placement` is
/// the result of `ChoosePlacement` for the request.
AdmissionVerdict DecideAdmission(const AdmissionInput& input,
                                 const Placement& placement, Time now);

/// Returns the retry delay for a rejected caller: the wait that the request
/// met, with jitter so that callers rejected together don't return together. If
/// all endpoints asked for a backoff, it isn't shorter than the first of them.
milliseconds RetryAfterRejection(const Placement& placement,
                                 milliseconds target, kernel::Random& random);

/// Returns how long a request waits for the rules at a node that has none; 0:
/// it is rejected at once. `waiting` requests wait there already. A request
/// without a deadline doesn't wait.
///
/// After a loss of all nodes, none has rules until the store answers. Callers
/// that are rejected meanwhile return late even if the store answers the next
/// moment, and most of them have one retry only.
milliseconds MaxWaitForRules(std::optional<milliseconds> deadline,
                             std::size_t waiting);

/// Returns the retry delay for a caller of a node that has had no rules for
/// `lasted`. The delay is about `lasted` again, the best estimate for an outage
/// of unknown cause: a node that just started gets its rules within
/// milliseconds, one whose store is unreachable may need seconds, and callers
/// have few retries.
milliseconds RetryAfterNotReady(milliseconds lasted, kernel::Random& random);

}  // namespace egretladder::routing
