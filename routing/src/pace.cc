#include "egretladder/routing/pace.h"

#include <algorithm>

namespace egretladder::routing {
namespace {

double EstimateUnloadedEventMs(const EnginePace& engine,
                               const ServicePace& service) {
  const double prior = service.unloaded_event_ms > 0 ? service.unloaded_event_ms
                                                     : kDefaultEventMs;
  return (engine.samples * engine.unloaded_event_ms +
          kPacePriorSamples * prior) /
         (engine.samples + kPacePriorSamples);
}

void Smooth(double& value, double sample, double weight) {
  value = value > 0 ? value + weight * (sample - value) : sample;
}

}  // namespace

void OnEventInterval(EnginePace& engine, ServicePace& service, double running,
                     std::chrono::duration<double, std::milli> event_interval) {
  const double unloaded_ms =
      event_interval.count() / (1 + kPaceFactorPerRunning * running);
  Smooth(engine.unloaded_event_ms, unloaded_ms, kEnginePaceWeight);
  engine.samples = std::min(engine.samples + 1, kMaxPaceSamples);
  Smooth(service.unloaded_event_ms, unloaded_ms, kServicePaceWeight);
}

void OnStreamEnded(ServicePace& service, const std::string& route,
                   double events,
                   std::chrono::duration<double, std::milli> duration) {
  StreamLength& length = service.lengths[route];
  Smooth(length.events, events, kStreamLengthWeight);
  Smooth(length.ms, duration.count(), kStreamLengthWeight);
  length.longest =
      std::max(events, length.longest -
                           kLongStreamDecayWeight * (length.longest - events));
}

void OnStreamRunning(ServicePace& service, const std::string& route,
                     double events) {
  const auto at = service.lengths.find(route);
  if (at == service.lengths.end()) return;
  at->second.longest = std::max(at->second.longest, events);
}

void OnRouteAnswered(ServicePace& service, const std::string& route,
                     std::chrono::duration<double, std::milli> duration) {
  double& longest = service.longest_answer_ms[route];
  longest =
      std::max(duration.count(),
               longest - kLongStreamDecayWeight * (longest - duration.count()));
}

std::optional<double> LongAnswerMs(const ServicePace& service,
                                   const std::string& route) {
  const auto at = service.longest_answer_ms.find(route);
  if (at == service.longest_answer_ms.end()) return std::nullopt;
  return at->second;
}

double ExpectedStreamEvents(const ServicePace& service,
                            const std::string& route) {
  const auto at = service.lengths.find(route);
  return at != service.lengths.end() ? at->second.events : kDefaultStreamEvents;
}

double LongStreamEvents(const ServicePace& service, const std::string& route) {
  const auto at = service.lengths.find(route);
  return at != service.lengths.end() ? at->second.longest
                                     : kDefaultLongStreamEvents;
}

double ExpectedStreamMs(const ServicePace& service, const std::string& route) {
  const auto at = service.lengths.find(route);
  return at != service.lengths.end() ? at->second.ms
                                     : kDefaultStreamEvents * kDefaultEventMs;
}

double ExpectedEventMs(const EnginePace& engine, const ServicePace& service,
                       double running) {
  return EstimateUnloadedEventMs(engine, service) *
         (1 + kPaceFactorPerRunning * running);
}

}  // namespace egretladder::routing
