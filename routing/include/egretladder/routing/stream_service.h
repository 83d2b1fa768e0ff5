// Which service serves a stream, over all requests of its caller.
//
// A route may send its requests to several services by weights, and new rules
// may move it to others. What two services write doesn't fit together, so that
// a stream which is taken up must go on at the service that began it. The
// service follows from a hash of the stream's name: any node picks the same one
// without knowing the stream, unless the rules have changed since it began.
#pragma once

#include <string>
#include <string_view>

#include "egretladder/routing/rules_history.h"
#include "egretladder/routing/stream_records.h"

namespace egretladder::routing {

/// A stream, and the request by which its route is found.
struct RoutedStream {
  StreamKey key = 0;
  std::string_view host;
  std::string_view target;  ///< Path, with a query if there is one.
};

/// Returns the stream's place among the weights of its route, from 0 to below
/// 1, for `PickTarget`.
double WeightPositionOf(StreamKey stream);

/// Returns true if the rules send the stream to another service than `service`.
bool LeadsElsewhere(const RouteTable& rules, const RoutedStream& stream,
                    const std::string& service);

/// Returns true if rules that were in force after `since` sent the stream to
/// another service than `service`.
bool MayHaveMoved(const RulesHistory& history, const RoutedStream& stream,
                  const std::string& service, Time since);

/// Returns true if some streams may go to another service by the new rules.
bool MoveStreams(const RouteTable& before, const RouteTable& after);

}  // namespace egretladder::routing
