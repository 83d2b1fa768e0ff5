// Which software version began a stream that a caller takes up at another node.
//
// The caller names the request that brought the stream's first event. Any node
// may have served it, one that is gone too. While endpoints of a service serve
// at several versions, a node therefore writes the version of each stream that
// begins to a few other nodes, its homes. They follow from a hash over the live
// nodes (rendezvous hashing: Thaler and Ravishankar), so that whoever needs the
// version knows whom to ask. Nothing is written while one version serves.
#pragma once

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "egretladder/kernel/time.h"
#include "egretladder/routing/catalog.h"
#include "egretladder/routing/endpoints.h"
#include "egretladder/routing/event_order.h"
#include "egretladder/routing/members.h"
#include "egretladder/routing/recent_map.h"
#include "egretladder/routing/version_evidence.h"

namespace egretladder::routing {

/// Names a stream: a hash of its account and of the id of the request that
/// began it. Ids are the callers', so that two accounts may use the same ones.
using StreamKey = std::uint64_t;
StreamKey KeyOfStream(std::string_view account, std::string_view request_id);

/// In a record of a stream: it began at a process that nothing had proven, so
/// that no version may be assumed; see stream_begins.h.
inline constexpr SoftwareVersion kDoubtedVersion = UINT64_MAX - 1;

/// What made a stream's events.
struct StreamSource {
  SoftwareVersion version = kUnknownVersion;  ///< Of all of them.
  Weights weights;                            ///< Of the last one known.
};

/// What made the events of a stream.
struct StreamRecord {
  StreamKey stream = 0;
  SoftwareVersion version = kUnknownVersion;
  Weights weights;
};

/// The versions at which a service was served of late.
struct VersionHistory {
  std::map<SoftwareVersion, Time> last_served;
};

/// What this node knows of streams and versions.
struct StreamRecords {
  RecentMap<StreamSource> by_stream;
  std::map<std::string, VersionHistory> by_service;
  /// When each service was last served with weights, by their version.
  std::map<std::string, std::map<std::uint64_t, Time>> weights_by_service;
  /// Since when all versions that served are known; see `KeepKnowledge`.
  Time known_since{};
  /// How far the store's changes of endpoints were known then.
  FeedProgress progress_then{};
  /// When the store was last asked for news of which all were applied.
  Time confirmed_at{};
  /// The versions at which parts of prompts are kept; see `RememberPart`.
  RecentMap<SoftwareVersion> by_part;
  /// Steps in doubt at which streams broke off.
  RecentMap<StepInDoubt> doubts;
};

/// Remembers the version of a stream.
void RememberStream(StreamRecords& records, const StreamRecord& record,
                    Time now);
/// Returns what made the stream's events; nothing is known of it if it isn't
/// remembered.
StreamSource FindSource(const StreamRecords& records, StreamKey stream);
/// Returns all streams that are remembered.
std::vector<StreamRecord> AllStreams(const StreamRecords& records);

/// Remembers the step in doubt at which a stream broke off, unless its source
/// is longer than `kMaxDoubtSourceBytes`.
void RememberDoubt(StreamRecords& records, StreamKey stream,
                   const StepInDoubt& doubt, Time now);
/// Returns the step in doubt at which the stream broke off last; nullopt: none
/// is remembered.
std::optional<StepInDoubt> FindDoubt(const StreamRecords& records,
                                     StreamKey stream);

/// Names a part of prompts that endpoints of a service keep.
using PartKey = std::uint64_t;
PartKey KeyOfPart(const std::string& service, std::uint64_t part);
/// Stands for several versions at which a part is kept.
inline constexpr SoftwareVersion kSeveralVersions = UINT64_MAX;
/// Returns true if it is the version of some software, and known.
bool TellsVersion(SoftwareVersion version);
/// Records that an endpoint of that version keeps a part.
void RememberPart(StreamRecords& records, PartKey part, SoftwareVersion version,
                  Time now);
/// Returns the version of the endpoints that keep the part, `kSeveralVersions`
/// if they are of different ones; unknown: none is known to keep it.
SoftwareVersion FindPartVersion(const StreamRecords& records, PartKey part);
/// Returns the version at which two nodes together know a part to be kept.
SoftwareVersion MergePartVersions(SoftwareVersion left, SoftwareVersion right);

/// Names the list of all parts that the entry's process keeps. It is remembered
/// like a part when it has come, after the parts that it names.
PartKey KeyOfList(const EndpointEntry& entry);
/// Returns true if the lists of all endpoints of the service that are of other
/// versions have come.
bool AreListsOfOthersIn(const StreamRecords& records, const EndpointSet& set,
                        const std::string& service, SoftwareVersion version);

/// Records which versions serve now. Returns true if a service is served at
/// several versions now that was not before.
bool ObserveVersions(StreamRecords& records, const EndpointSet& set, Time now);
/// What is known of the weights of a service's endpoints, now and of late.
struct WeightsKnowledge {
  Weights only;              ///< Set if one version alone is known.
  bool several = false;      ///< Two or more are known.
  bool is_in_doubt = false;  ///< There are others, or may be.
};
/// Returns what this node knows; nothing is in doubt where no endpoint states
/// its weights.
WeightsKnowledge WeightsOf(const StreamRecords& records, const EndpointSet& set,
                           const std::string& service);
/// Returns true if the service is or was served at several versions while
/// streams live that began meanwhile, as far as this node knows.
bool WasServedAtSeveralVersions(const StreamRecords& records,
                                const std::string& service, Time now);
/// Returns true if any service is or was.
bool WereSeveralVersions(const StreamRecords& records, Time now);
/// Records that this node knows, or doesn't know, the versions that serve now.
/// A node that had no data, was cut off or stood still has missed some of them.
/// `progress` states how far it knows the changes of endpoints.
void KeepKnowledge(StreamRecords& records, bool is_current,
                   const FeedProgress& progress, Time now);
/// Returns true if a node with this progress knows all changes of endpoints up
/// to those that this one has known since `known_since`.
bool LeadsUpTo(const StreamRecords& records, const FeedProgress& progress);
/// Records that all versions are known which the store named until then.
void ConfirmKnowledge(StreamRecords& records, Time read_at);
/// Returns what this node knows of a service's versions. It is confirmed if the
/// store was read at `asked_at` or later.
VersionKnowledge KnowledgeOf(const StreamRecords& records,
                             const std::string& service, Time asked_at,
                             Time now);

/// Returns true if a stream of the service that began at `begin` may have begun
/// at another version than a stream that begins now, as far as this node knows.
bool IsVersionInDoubt(const StreamRecords& records, const std::string& service,
                      Time begin, Time now);

/// Returns the nodes that keep the stream's version, the first ones most
/// likely, `count` at most. The first two are in different availability zones
/// if there are several. This node is among them unless it leaves.
std::vector<Member> HomesOfStream(const Members& members, StreamKey stream,
                                  std::size_t count);
/// Returns the nodes to which the stream's version is written: its homes, and
/// silent nodes that would be homes if they answered. A process that stands
/// still finds the record in its socket when it goes on, and the nodes that run
/// meanwhile may be gone by then.
std::vector<Member> HomesToWriteTo(const Members& members, StreamKey stream);
/// Returns true if this node is one of those to which what is known of the
/// stream, or part, is written.
bool IsHome(const Members& members, StreamKey stream);
/// Returns the nodes that are asked for the version of a stream that began no
/// earlier than `earliest_begin`: its homes, and nodes that have run since then
/// if all homes have started later.
std::vector<Member> NodesToAsk(const Members& members, StreamKey stream,
                               Time earliest_begin);
/// Returns true if so many of the nodes have started since then that all homes
/// of a stream may be among them.
bool MayHaveLostHomes(const Members& members, Time since);
/// Returns true if a node is known that has run since then.
bool HasRunSince(const Members& members, Time since);
/// Returns true if this node is the first one, by a hash with `key`, of those
/// that have started since then.
bool IsFirstStartedSince(const Members& members, Time since, std::uint64_t key);
/// Returns the number of homes to which each stream is written.
std::size_t CountHomes(const Members& members);

}  // namespace egretladder::routing
