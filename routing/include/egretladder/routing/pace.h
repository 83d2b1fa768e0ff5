// How fast an engine produces the events of a stream, learned from the streams
// that this node forwards.
//
// Engines of one service differ in speed, and all of them slow down with the
// number of requests they run. A stream of fifty events takes 1.2 s at one
// engine and 2 s at another: only the first is in time, and a longer stream is
// more often cut by a failure or a stop. The engines report nothing for this;
// the pace is measured on the events that callers receive.
#pragma once

#include <chrono>
#include <optional>
#include <string>
#include <unordered_map>

#include "egretladder/routing/limits.h"

namespace egretladder::routing {

/// The learned pace of one engine.
struct EnginePace {
  /// Time between two events with no other request running, in ms; a moving
  /// average.
  double unloaded_event_ms = 0;
  /// Number of samples, `kMaxPaceSamples` at most. With few samples the mean of
  /// the service weighs more.
  double samples = 0;
};

/// The learned length of one route's streams.
struct StreamLength {
  double events = 0;  ///< Moving average.
  double ms = 0;      ///< From the first event to the end; a moving average.
  /// Events of about the longest stream in thirty. Lengths of one route differ
  /// by a factor of ten and more, so the mean says little about how long a
  /// stream can last.
  double longest = kDefaultLongStreamEvents;
};

/// What is learned about all engines of one service.
struct ServicePace {
  /// Mean of the engines' `unloaded_event_ms`, the prior for an engine without
  /// samples.
  double unloaded_event_ms = 0;
  std::unordered_map<std::string, StreamLength> lengths;  ///< By route.
  /// Time to about the longest complete answer in thirty, in ms, by route.
  std::unordered_map<std::string, double> longest_answer_ms;
};

/// Adds a sample: the time between two events while the engine ran `running`
/// requests.
void OnEventInterval(EnginePace& engine, ServicePace& service, double running,
                     std::chrono::duration<double, std::milli> event_interval);

/// Records that a stream of the route ended completely after `events` events.
/// `duration` is the time from its first event to its end.
void OnStreamEnded(ServicePace& service, const std::string& route,
                   double events,
                   std::chrono::duration<double, std::milli> duration);

/// Records that a stream of the route is still running after `events` events.
/// Long streams are thus known seconds before they end.
void OnStreamRunning(ServicePace& service, const std::string& route,
                     double events);

/// Records that a complete answer of the route took `duration` from the
/// sending of its request.
void OnRouteAnswered(ServicePace& service, const std::string& route,
                     std::chrono::duration<double, std::milli> duration);

/// Returns the time to a long complete answer of the route, in ms; nothing: no
/// answer of it is known.
std::optional<double> LongAnswerMs(const ServicePace& service,
                                   const std::string& route);

/// Returns the expected number of events in a stream of the route.
double ExpectedStreamEvents(const ServicePace& service,
                            const std::string& route);
/// Returns the expected duration of a stream of the route, in ms.
double ExpectedStreamMs(const ServicePace& service, const std::string& route);

/// Returns the number of events in a long stream of the route.
double LongStreamEvents(const ServicePace& service, const std::string& route);

/// Returns the expected time between two events at an engine that runs
/// `running` requests, in ms.
double ExpectedEventMs(const EnginePace& engine, const ServicePace& service,
                       double running);

}  // namespace egretladder::routing
