#include "egretladder/routing/pace.h"

#include <algorithm>

namespace egretladder::routing {
namespace {

double AloneMs(const EnginePace& engine, const ServicePace& service) {
  const double prior =
      service.alone_ms > 0 ? service.alone_ms : kEventMsUnknown;
  return (engine.samples * engine.alone_ms + kPacePriorSamples * prior) /
         (engine.samples + kPacePriorSamples);
}

void Smooth(double& value, double sample, double weight) {
  value = value > 0 ? value + weight * (sample - value) : sample;
}

}  // namespace

void OnEventInterval(EnginePace& engine, ServicePace& service, double running,
                     std::chrono::duration<double, std::milli> pause) {
  const double alone = pause.count() / (1 + kPacePerRunning * running);
  Smooth(engine.alone_ms, alone, kPaceWeight);
  engine.samples = std::min(engine.samples + 1, kPaceSamplesMost);
  Smooth(service.alone_ms, alone, kPaceWeightOfService);
}

void OnStreamEnded(ServicePace& service, const std::string& route,
                   double events,
                   std::chrono::duration<double, std::milli> lasted) {
  StreamLength& length = service.lengths[route];
  Smooth(length.events, events, kEventsWeight);
  Smooth(length.ms, lasted.count(), kEventsWeight);
  length.longest = std::max(
      events, length.longest - kLongestForgets * (length.longest - events));
}

void OnStreamRunning(ServicePace& service, const std::string& route,
                     double events) {
  const auto at = service.lengths.find(route);
  if (at == service.lengths.end()) return;
  at->second.longest = std::max(at->second.longest, events);
}

double ExpectedStreamEvents(const ServicePace& service,
                            const std::string& route) {
  const auto at = service.lengths.find(route);
  return at != service.lengths.end() ? at->second.events : kEventsUnknown;
}

double LongStreamEvents(const ServicePace& service, const std::string& route) {
  const auto at = service.lengths.find(route);
  return at != service.lengths.end() ? at->second.longest : kEventsMostUnknown;
}

double ExpectedStreamMs(const ServicePace& service, const std::string& route) {
  const auto at = service.lengths.find(route);
  return at != service.lengths.end() ? at->second.ms
                                     : kEventsUnknown * kEventMsUnknown;
}

double EventMs(const EnginePace& engine, const ServicePace& service,
               double running) {
  return AloneMs(engine, service) * (1 + kPacePerRunning * running);
}

}  // namespace egretladder::routing
