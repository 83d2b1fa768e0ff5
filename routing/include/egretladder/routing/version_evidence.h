// Decides whether a stream that no node remembers can have begun at one
// software version only.
//
// Such a stream is taken up on each day on which a node was killed, and goes on
// at any endpoint while a single version serves. Whether another version served
// when it began, only a node can tell that has known all versions from then on
// until the stream is taken up. The silence of one that has started meanwhile,
// stood still or was cut off says nothing, and neither do such nodes that vouch
// for each other, however many they are: most of the nodes can be cut off
// together. The store is therefore read once more when a stream is taken up
// (store_catch_up.cc in proxy). While nobody reads it, only the record of the
// stream at a node tells its version (stream_records.h). After a start of
// all nodes nobody is left who can. Starts of endpoints show no release then:
// old ones may leave long after the new ones have started. Where endpoints tell
// what they keep of a stream, that decides (kept_parts.cc in proxy). Elsewhere
// the stream goes on if no endpoint has started of late, and is refused if one
// has.
#pragma once

#include <chrono>
#include <cstdint>
#include <optional>
#include <string>

#include "egretladder/kernel/time.h"
#include "egretladder/routing/endpoints.h"
#include "egretladder/routing/route_table.h"

namespace egretladder::routing {

using kernel::Time;

/// Wall clock time in milliseconds since the Unix epoch.
using UnixTime = std::chrono::duration<std::int64_t, std::milli>;

/// What one node, or several of them together, know of a service's versions.
struct VersionKnowledge {
  /// Since when all of them are known; default: of no time.
  std::optional<Time> since;
  /// The same of nodes that have read the store since the stream was taken up.
  std::optional<Time> confirmed_since;
  bool several = false;  ///< It was served at several versions of late.
  /// The only version at which it was served of late, as far as is known.
  SoftwareVersion only = kUnknownVersion;
};

/// Adds what another node knows.
void Merge(VersionKnowledge& knowledge, const VersionKnowledge& other);

/// Returns the earliest time at which a stream can have begun whose caller
/// takes it up now and waits for `time_left`; nullopt: it isn't stated. The
/// caller never waits longer than the longest timeout of a stream's route.
Time EarliestBegin(const RouteTable& rules,
                   std::optional<milliseconds> time_left, Time now);

/// A time by this node's two clocks.
struct ClockTimes {
  Time steady{};
  UnixTime of_day{};
};

/// Returns true unless it is excluded that an endpoint of the service started
/// after `since`: this node knows all of their processes since then, or they
/// state an earlier start by their own clocks. Without any entry, as before the
/// first list was read, nothing is excluded.
bool MayHaveStartedSince(const EndpointSet& set, const std::string& service,
                         const ClockTimes& since);

/// Why a stream that nobody remembers goes on, or not.
enum class VersionVerdict : std::uint8_t {
  /// A node has known all versions since it began.
  kOneVersion,
  /// No endpoint has started since, or shortly before. Only for services
  /// whose endpoints don't tell what they keep.
  kNoRelease,
  kUnknown,  ///< It may have begun at another version.
};
/// Returns the verdict's name in logs and metrics.
const char* NameOf(VersionVerdict verdict);

/// Decides about a stream that began no earlier than `earliest_begin`.
/// `unix_now` is the wall clock time at `now`.
VersionVerdict JudgeUnknownStream(const VersionKnowledge& knowledge,
                                  const EndpointSet& set,
                                  const Service& service, Time earliest_begin,
                                  UnixTime unix_now, Time now);

}  // namespace egretladder::routing
