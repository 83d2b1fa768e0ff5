#include "egretladder/routing/round_trip.h"

#include <algorithm>
#include <cmath>

namespace egretladder::routing {
namespace {

// Weights and factor of RFC 6298.
constexpr double kMeanWeight = 1.0 / 8;
constexpr double kDeviationWeight = 1.0 / 4;
constexpr double kDeviationFactor = 4;

void AddSample(RoundTrip& round_trip, double ms) {
  if (round_trip.mean_ms == 0) {
    round_trip = {ms, ms / 2};
    return;
  }
  const double deviation = std::abs(ms - round_trip.mean_ms);
  round_trip.deviation_ms +=
      kDeviationWeight * (deviation - round_trip.deviation_ms);
  round_trip.mean_ms += kMeanWeight * (ms - round_trip.mean_ms);
}

}  // namespace

void OnRoundTrip(EndpointSet& set, const Endpoint& endpoint,
                 milliseconds elapsed) {
  const auto sample = std::clamp(elapsed, milliseconds(1), kMaxRoundTripSample);
  AddSample(set.round_trips[endpoint.entry.zone],
            static_cast<double>(sample.count()));
}

milliseconds RoundTripBound(const EndpointSet& set, const Endpoint& endpoint) {
  const auto at = set.round_trips.find(endpoint.entry.zone);
  if (at == set.round_trips.end()) return kUnknownRoundTrip;
  const double margin =
      std::max(static_cast<double>(kMinRoundTripMargin.count()),
               kDeviationFactor * at->second.deviation_ms);
  const auto bound = milliseconds(
      static_cast<std::int64_t>(std::ceil(at->second.mean_ms + margin)));
  return std::min(bound, kMaxRoundTripSample);
}

milliseconds TransferTime(std::size_t bytes) {
  return milliseconds(bytes / kSlowLinkBytesPerMs);
}

}  // namespace egretladder::routing
