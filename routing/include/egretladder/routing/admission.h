// Whether a request is sent, waits or is refused: what an endpoint's expected
// wait means for the caller.
//
// Load: a burst beyond what the engines bear. Without it every request is sent,
// all of them start late, and callers wait seconds for answers that come after
// their deadline. Refused at once, a caller can come back when the burst is
// over (Zhou et al., "Overload Control for Scaling WeChat Microservices", SoCC
// 2018: refuse early, by priority).
#pragma once

#include <chrono>
#include <cstdint>

#include "egretladder/kernel/hash.h"
#include "egretladder/routing/placement.h"

namespace egretladder::routing {

/// What is decided for one request now.
enum class AdmissionVerdict : std::uint8_t {
  kSend,
  kWait,        ///< No endpoint may take it yet.
  kTooLate,     ///< Its first event would come too late for its caller.
  kNoEndpoint,  ///< It waited as long as is worth it.
};
/// As logs show it.
const char* NameOf(AdmissionVerdict verdict);

/// What the decision depends on.
struct AdmissionInput {
  Time waiting_since{};   ///< Since it has needed an endpoint.
  Time deadline{};        ///< The earlier of the caller's and the route's.
  milliseconds target{};  ///< Promised time to the first event.
  /// It was sent before, so that giving up loses work: it waits longer.
  bool was_sent_before = false;
};

/// Decides. `placement` is what `Place` found.
AdmissionVerdict DecideAdmission(const AdmissionInput& ask,
                                 const Placement& placement, Time now);

/// When a refused caller should come back: after the wait that it met, spread
/// so that those refused together don't return together.
milliseconds RetryAfterRejection(const Placement& placement,
                                 milliseconds target, kernel::Random& random);

/// When a caller should come back to a node that has known no rules for
/// `lasted` so far: about as long again, since that is the best guess for an
/// outage whose cause is not known. A node that just started knows them within
/// milliseconds; one whose store is away may not for seconds, and callers have
/// few tries.
milliseconds RetryAfterNotReady(milliseconds lasted, kernel::Random& random);

}  // namespace egretladder::routing
