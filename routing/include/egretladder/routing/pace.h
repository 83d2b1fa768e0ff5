// How fast an engine makes the events of a stream, learned from the streams
// that this node passes on.
//
// Load: engines of one service differ, and all slow down with what they run.
// A stream of fifty events takes 1.2 s at one and 2 s at another; it is in time
// at the one only, and more often cut by what happens meanwhile. Nothing is
// asked of the engines: what callers get is the measure.
#pragma once

#include <chrono>
#include <string>
#include <unordered_map>

#include "egretladder/routing/limits.h"

namespace egretladder::routing {

/// Of one engine.
struct EnginePace {
  /// Between two events with nothing else running, in ms, smoothed.
  double alone_ms = 0;
  /// Samples so far, `kPaceSamplesMost` at most; few of them say little.
  double samples = 0;
};

/// Of whole streams of one route.
struct StreamLength {
  double events = 0;  ///< Smoothed.
  double ms = 0;      ///< From the first event to the end, smoothed.
  /// Events of about the longest in thirty. Lengths of one route differ by a
  /// factor of ten and more, so that the mean says little of how long one may
  /// last.
  double longest = kEventsMostUnknown;
};

/// What the engines of one service have in common.
struct ServicePace {
  /// Mean of the engines' `alone_ms`; a prior for those not seen yet.
  double alone_ms = 0;
  std::unordered_map<std::string, StreamLength> lengths;  ///< By route.
};

/// Takes one sample: `pause` between two events while `running` requests ran at
/// the engine.
void OnEventInterval(EnginePace& engine, ServicePace& service, double running,
                     std::chrono::duration<double, std::milli> pause);

/// A stream of the route ended whole after `events`, which took `lasted`.
void OnStreamEnded(ServicePace& service, const std::string& route,
                   double events,
                   std::chrono::duration<double, std::milli> lasted);

/// A stream of the route is still running after `events`. Those that last long
/// are seen here seconds before they end.
void OnStreamRunning(ServicePace& service, const std::string& route,
                     double events);

/// Events that a stream of the route is expected to have.
double ExpectedStreamEvents(const ServicePace& service,
                            const std::string& route);
/// How long a stream of the route is expected to run, in ms.
double ExpectedStreamMs(const ServicePace& service, const std::string& route);

/// Events that a long stream of the route has.
double LongStreamEvents(const ServicePace& service, const std::string& route);

/// Expected time between two events at an engine that runs `running` requests,
/// in ms.
double EventMs(const EnginePace& engine, const ServicePace& service,
               double running);

}  // namespace egretladder::routing
