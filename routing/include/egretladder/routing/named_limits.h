// Limits that endpoints name in their answers: requests a second that they take
// from all nodes together. How nodes share them is in shared_rate.h.
#pragma once

#include <optional>

#include "egretladder/routing/endpoints.h"

namespace egretladder::routing {

/// Takes the limit that an answer names, nothing if it names none. Returns true
/// when the endpoint's limit began, ended or changed by more than
/// `kLimitChange`.
bool OnLimit(Endpoint& endpoint, std::optional<double> per_second, Time now);

}  // namespace egretladder::routing
