#include "egretladder/routing/stream_service.h"

#include <algorithm>

#include "egretladder/kernel/hash.h"

namespace egretladder::routing {
namespace {

const std::string& ServiceOf(const RouteTable& rules, const Route& route,
                             StreamKey stream) {
  const ServiceHandle target = PickTarget(route, WeightPositionOf(stream));
  return rules.services[target.idx].name;
}

struct NamedTarget {
  std::string service;
  std::uint32_t weight = 0;

  bool operator==(const NamedTarget&) const = default;
};

// What decides where the streams of a route go.
struct StreamRoute {
  std::string host;
  std::string prefix;
  std::vector<NamedTarget> targets;

  bool operator==(const StreamRoute&) const = default;
};

std::vector<StreamRoute> StreamRoutesOf(const RouteTable& rules) {
  std::vector<StreamRoute> streams;
  for (const Route& route : rules.routes) {
    if (route.kind != RouteKind::kStream) continue;
    StreamRoute stream{route.host, route.prefix, {}};
    for (const WeightedTarget& target : route.targets)
      stream.targets.push_back(
          {rules.services[target.service.idx].name, target.weight});
    streams.push_back(std::move(stream));
  }
  return streams;
}

}  // namespace

double WeightPositionOf(StreamKey stream) {
  return kernel::HashToFraction(stream);
}

bool LeadsElsewhere(const RouteTable& rules, const RoutedStream& stream,
                    const std::string& service) {
  const Route* route = FindRoute(rules, stream.host, stream.target);
  // Without a route no stream began.
  return route != nullptr && ServiceOf(rules, *route, stream.key) != service;
}

bool MayHaveMoved(const RulesHistory& history, const RoutedStream& stream,
                  const std::string& service, Time since) {
  return std::any_of(history.retired.begin(), history.retired.end(),
                     [&](const RetiredRules& rules) {
                       return rules.retired_at >= since &&
                              LeadsElsewhere(*rules.table, stream, service);
                     });
}

bool MoveStreams(const RouteTable& before, const RouteTable& after) {
  return StreamRoutesOf(before) != StreamRoutesOf(after);
}

}  // namespace egretladder::routing
