// How long a message to the endpoints of an availability zone and their answer
// take at most.
//
// An endpoint that turns a request away says so after one round trip. Until
// then a node can't know that, and after that, silence means that the endpoint
// has accepted. A time that is too short for the way is noticed when several
// requests are turned away at once. Connections that are opened tell it before
// any request is turned away, with its variation (RFC 6298).
#pragma once

#include <chrono>
#include <cstddef>
#include <string>

#include "egretladder/routing/endpoints.h"

namespace egretladder::routing {

/// Bound of the round trip to a zone of which nothing is known.
inline constexpr milliseconds kUnknownRoundTrip{25};
/// Upper bound of a sample. A lost packet is sent again after 200 ms.
inline constexpr milliseconds kMaxRoundTripSample{500};
/// Least distance of the bound from the mean: what an endpoint's process takes
/// to answer.
inline constexpr milliseconds kMinRoundTripMargin{5};
/// Rate at which a request's body counts as sent: a link of 10 Mbit/s.
inline constexpr std::size_t kSlowLinkBytesPerMs = 1250;

/// Adds the time that a connection to the endpoint took to open, or that an
/// endpoint took to turn a request away.
void OnRoundTrip(EndpointSet& set, const Endpoint& endpoint,
                 milliseconds elapsed);

/// Returns a bound of the round trip to the endpoint.
milliseconds RoundTripBound(const EndpointSet& set, const Endpoint& endpoint);

/// Returns how long a body of that size is under way, besides the round trip.
milliseconds TransferTime(std::size_t bytes);

}  // namespace egretladder::routing
