// Detects requests that crash the endpoints that run them.
//
// A request that crashes each endpoint that begins to run it is sent again, by
// this node or by its caller at another node, so that one body takes down the
// endpoints of a service one after the other. Its connections break at one
// endpoint after the next, and it never succeeds. The connections of requests
// that ran beside it break too, as do those at endpoints that fail together for
// another cause. Therefore a success clears a request, and what counts is
// crashes in turn: those of attempts that were sent after the crash before.
//
// Nodes gossip broken connections, because callers retry at other nodes.
//
// A process that lives on was crashed by nothing: once it is heard of, what
// broke there before no longer counts, and a hold that rested on it ends. It
// may be about to end, so that what broke there counts again if it does.
//
// A part of a prompt may do the same, whatever else the request holds, so that
// no two requests are alike. Parts are therefore suspected as well, by the same
// count: each crash counts against all parts of all requests of which the
// endpoint hadn't begun an answer. A success at any node, or an answer that
// goes on, excuses a part; in crash after crash the one that crashes endpoints
// is left. Sound parts are in the same crashes, the more popular the more
// often, so that a part which succeeded lately needs more crashes, and crashes
// that a held part explains don't count against it. A held part is probed after
// a short time, later after longer ones, by one node at a time.
//
// A popular request is sound, and at most crashes for the same reason. One that
// succeeded lately needs more crashes, too, and is probed like a part if it is
// held: callers who share a body aren't refused for long by chance.
//
// Between the two stands a request whose copies took down several endpoints at
// once, as a loss of power does, and one that was held back until now. It is
// probed: one node, which all choose by the same hash, sends one copy at a
// time.
#pragma once

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <deque>
#include <string_view>
#include <unordered_map>
#include <vector>

#include "egretladder/kernel/time.h"
#include "egretladder/routing/limits.h"
#include "egretladder/routing/living_processes.h"
#include "egretladder/routing/placement.h"
#include "egretladder/routing/recent_map.h"

namespace egretladder::routing {

using kernel::Time;

/// Successive crashes after which a request is held back. With two, a request
/// that met two failing endpoints by chance would be refused; the platform
/// allows three.
inline constexpr std::size_t kMaxCrashes = 3;
/// How long a request is held back. Callers give up within seconds, and a
/// harmless request is admitted again after it.
inline constexpr milliseconds kSuspectHoldTime{60'000};
/// How long a broken connection counts against a request. It is longer than
/// `kSuspectHoldTime`, so that one more crash holds the request back again.
inline constexpr milliseconds kSuspectRetention{120'000};
/// Suspects that a node remembers, about 200 bytes each. When a zone of a small
/// fleet fails, some hundred requests are in flight there.
inline constexpr std::size_t kMaxSuspects = 1024;
/// Crashes after which a request is held back of which only two were in turn:
/// copies of it ran side by side. A harmless request that is as popular
/// succeeds somewhere meanwhile.
inline constexpr std::size_t kMaxCrashesOfCopies = 4;
/// Time between crashes in turn that several nodes saw. What peers tell is late
/// by its way, so that endpoints which lose power together seem to do so one
/// after the other.
inline constexpr milliseconds kMinCrashGap{50};
/// Time after the last of several crashes side by side from which the request
/// is probed. If it is harmless and popular, a copy at another endpoint
/// succeeds meanwhile.
inline constexpr milliseconds kSuspectProbeDelay{500};
/// Interval at which a node probes a request. It is longer than a request that
/// crashes endpoints takes to do so, and than news take between nodes.
inline constexpr milliseconds kSuspectProbeInterval{3000};
/// Longest time between the end of an attempt and the crash of its endpoint
/// that is attributed to the request. Endpoints drop a request some time after
/// its connection closed.
inline constexpr milliseconds kMaxLateCrash{1000};
/// Ends of attempts remembered for that time.
inline constexpr std::size_t kMaxUnclearEnds = 1024;
/// Requests that succeeded of which a node remembers the newer ones; twice as
/// many at most, about 40 bytes each.
inline constexpr std::size_t kMaxNewerSuccesses = 4096;
/// Broken connections remembered per request.
inline constexpr std::size_t kMaxBreaksPerSuspect = 6;
/// Crashes after which a request or a part of a prompt is held back that
/// succeeded lately. While endpoints crash one after the other, nothing that is
/// sound may succeed for a moment.
inline constexpr std::size_t kMaxCrashesDespiteSuccess = 5;
/// Time between the first and the last of these crashes, at least.
inline constexpr milliseconds kMinProvenCrashTime{1000};
/// It must have been there at one in so many of the crashes that the node knows
/// of since its own first one; otherwise endpoints crash for another cause.
inline constexpr std::size_t kMaxCrashesPerProvenCrash = 3;
/// Crashes remembered for that.
inline constexpr std::size_t kMaxRecentCrashes = 64;
/// Parts of one prompt that are suspected. Callers name them, and each takes
/// room among the suspects.
inline constexpr std::size_t kMaxSuspectedParts = 32;
/// Different requests with a part that must have met crashes. A single one that
/// is sent again is suspected as a whole.
inline constexpr std::size_t kMinRequestsOfPart = 2;
/// How long a part, or a request that had succeeded, is held back before it is
/// first probed. A sound part that was always beside the one that crashes
/// endpoints is free after it.
inline constexpr milliseconds kPartHoldTime{4000};
/// Factor on that time after each probe that didn't succeed.
inline constexpr int kPartHoldFactor = 8;
/// Probes after which that time doesn't rise further.
inline constexpr std::uint32_t kMaxPartHoldSteps = 3;
/// Each of these probes is another node's turn for so long. In the second half
/// of a turn nothing is sent, so that all hear of a crash before the next.
inline constexpr milliseconds kPartProbeTurn{2000};
/// An endpoint that goes on with an answer for so long after its first event
/// isn't crashed by the prompt's parts.
inline constexpr milliseconds kMinProvenAnswerTime{300};
/// How long an endpoint may take to be heard of again after an answer that
/// ended before that. Later, another process may answer at its address.
inline constexpr milliseconds kMaxProofTime{1000};
/// Answers remembered for that time.
inline constexpr std::size_t kMaxPendingProofs = 1024;
/// Crashes remembered that a held part explains.
inline constexpr std::size_t kMaxExplainedCrashes = 64;
/// How long a suspect is gossiped after it changed, so that the change reaches
/// all nodes.
inline constexpr milliseconds kSuspectGossipTime{3000};
/// Suspects sent in one exchange: 32 bytes each, and 24 for each crash that is
/// news.
inline constexpr std::size_t kMaxSuspectsPerExchange = 8;
/// Suspects sent to a node that has just started, thawed or met its peers
/// again.
inline constexpr std::size_t kMaxSuspectsForJoining = 64;
/// Two breaks at one endpoint that are closer than this count as the same one:
/// ages in gossip grow by the transfer time of the message, and an endpoint
/// takes longer than this to restart.
inline constexpr milliseconds kSameBreakWindow{500};

/// What is suspected.
enum class SuspectKind : std::uint8_t {
  kRequest,  ///< A whole request.
  kPart,     ///< A part of a prompt, which many requests may have.
};
/// Returns the key of a request with that hash of its path, account and body.
std::uint64_t KeyOfRequest(std::uint64_t hash);
/// Returns the key of a part in prompts for a service. Endpoints of another
/// service may have other weights.
std::uint64_t KeyOfPart(std::string_view service, std::uint64_t part);
/// Returns the kind of the suspect with that key.
SuspectKind KindOf(std::uint64_t key);

/// A connection that broke while it carried the request, or one with the part.
struct Break {
  std::uint64_t endpoint = 0;  ///< Hash of the endpoint's process.
  Time sent{};                 ///< When the request was sent.
  Time broke{};                ///< When the connection broke.
  bool seen_here = true;       ///< Otherwise a peer told of it.
  std::uint32_t request = 0;   ///< Low half of the request's key.
  /// The attempt had ended before, and only the end of the process made it
  /// count.
  bool was_unclear = false;
};

/// What is known of one request or part.
struct Suspect {
  /// One for each crash since `cleared`, oldest first. If there are too many,
  /// the first and the newest.
  std::vector<Break> breaks;
  std::size_t crashes = 0;  ///< Number of these, the dropped ones included.
  Time cleared{};           ///< Last success; breaks up to it don't count.
  /// Last crash of a request that is held back; default: it isn't.
  Time held_since{};
  /// Last crash of a hold that ended because crashes were none; default: there
  /// was no such hold.
  Time released{};
  /// It is held back although it had succeeded before its crashes.
  bool held_despite_success = false;
  /// Probes since then that didn't succeed so far, unless it is a request that
  /// hadn't succeeded.
  std::uint32_t failed_probes = 0;
  Time probed_at{};  ///< When this node last sent it as a probe.
  Time changed{};    ///< Last change that peers may not know yet.
};

/// An attempt that ended without showing whether its request crashes endpoints:
/// the caller left, the answer was spoilt, or nothing came in time.
struct UnclearEnd {
  std::uint64_t key = 0;       ///< Of the request or of a part.
  std::uint64_t endpoint = 0;  ///< Hash of the endpoint's process.
  Time sent{};
  Time ended{};
  std::uint32_t request = 0;  ///< Low half of the request's key.
};

/// All suspects that one node knows.
struct Suspects {
  std::unordered_map<std::uint64_t, Suspect> by_key;
  /// When requests and parts last succeeded, by their keys. A popular one that
  /// is harmless has succeeded before its copies break.
  RecentMap<Time> successes;
  /// Of the last `kMaxLateCrash`, oldest first.
  std::deque<UnclearEnd> unclear_ends;
  /// The latest crashes that this node knows of, oldest first.
  std::deque<Break> crashes;
  /// Those that a held part explains, oldest first.
  std::deque<Break> explained;
  LivingProcesses living;
};

/// Records that a connection broke at `added.broke` while it carried the
/// request, or one with the part.
void OnConnectionBroke(Suspects& suspects, std::uint64_t key,
                       const Break& added);
/// Records an attempt that ended without showing whether its request crashes
/// endpoints. If the endpoint's process turns out to have ended within
/// `kMaxLateCrash`, the request was there when it crashed.
void OnUnclearEnd(Suspects& suspects, const UnclearEnd& end);
/// Records that the endpoint's process has ended, or seems to: a connection to
/// it broke or was refused.
void OnProcessEnded(Suspects& suspects, std::uint64_t endpoint, Time now);
/// Records that the endpoint's process lives: it answered a question that was
/// asked then. Connections to it that broke before no longer count. Those of
/// the last `kMaxLateCrash` count again if it ends within that time.
void OnProcessLivedOn(Suspects& suspects, std::uint64_t endpoint, Time asked_at,
                      Time now);
/// Returns true if a connection to the endpoint's process that broke counts
/// against any request or part.
bool HasBreakAt(const Suspects& suspects, std::uint64_t endpoint);
/// Records that an endpoint ran the request to its end with success, or wrote
/// an answer on the part, which proves that it is harmless.
void OnRequestRan(Suspects& suspects, std::uint64_t key, Time now);

/// Whether an endpoint lived on after it began an answer.
enum class Proof : std::uint8_t { kPending, kLivedOn, kNone };
/// Returns whether the endpoint lived on for `kMinProvenAnswerTime` after it
/// began an answer at `began`, as other answers of it show.
Proof FindProof(const Endpoint& endpoint, Time began, Time now);

/// Returns how much longer the request or part is held back; 0: it isn't.
milliseconds RemainingHoldTime(const Suspects& suspects, std::uint64_t key,
                               Time now);

/// Returns true if the request, or one with the part, may be sent as a probe
/// only.
bool IsProbed(const Suspects& suspects, std::uint64_t key, Time now);
/// Returns how long this node must not send what is probed; 0: it may send it
/// now.
milliseconds TimeUntilProbe(const Suspects& suspects, std::uint64_t key,
                            const FleetSnapshot& fleet, Time now);
/// Returns how long this node must not send a request with these keys, its own
/// and those of its parts; 0: it may send it now. A request under several
/// suspicions is no probe, since its crash would not tell them apart.
milliseconds TimeUntilSend(const Suspects& suspects,
                           const std::vector<std::uint64_t>& keys,
                           const FleetSnapshot& fleet, Time now);
/// Records that this node sends the request, or one with the part. A probe of a
/// part, or of a request that had succeeded, counts as failed until it
/// succeeds: its crash may look like an answer.
void OnSuspectSent(Suspects& suspects, std::uint64_t key, Time now);
/// Records that the endpoint turned away what this node sent at `sent`, so that
/// it was no probe.
void OnProbeNotRun(Suspects& suspects, std::uint64_t key, Time sent);

/// What is known of one request or part at some time; for logs and metrics.
struct SuspectView {
  std::size_t breaks = 0;  ///< Crashes that count.
  /// Of them, each of an attempt that was sent after the one before.
  std::size_t crashes_in_turn = 0;
  milliseconds hold_time{};  ///< See `RemainingHoldTime`.
};
/// Returns what is known of the request or part.
SuspectView ViewOf(const Suspects& suspects, std::uint64_t key, Time now);

/// A broken connection, as nodes gossip it. It holds ages, because clocks
/// differ.
struct BreakGossip {
  std::uint64_t endpoint = 0;
  milliseconds sent_ago{};
  milliseconds broke_ago{};
  std::uint32_t request = 0;
};
/// A suspect, as nodes gossip it. It holds ages, because clocks differ.
struct SuspectGossip {
  std::uint64_t key = 0;
  std::vector<BreakGossip> breaks;
  milliseconds cleared_ago{};  ///< `kNeverHappened` if it never was cleared.
  /// Time since the last crash of a request that is held back;
  /// `kNeverHappened` if it isn't.
  milliseconds held_ago{};
  /// Time since the last crash of a hold that ended because crashes were none;
  /// `kNeverHappened` if there was no such hold.
  milliseconds released_ago{std::chrono::hours(1)};
  bool held_despite_success = false;
  std::uint32_t failed_probes = 0;
};
/// Greater than any age that is gossiped.
inline constexpr milliseconds kNeverHappened = std::chrono::hours(1);

/// Which suspects are gossiped.
enum class SuspectScope : std::uint8_t {
  /// Those that are held back, and those that changed within
  /// `kSuspectGossipTime`: `kMaxSuspectsPerExchange` at most.
  kNews,
  /// All, for a node that may have missed news; `kMaxSuspectsForJoining` at
  /// most.
  kAll,
};
/// Returns the suspects for a peer, those first that crashed most endpoints.
std::vector<SuspectGossip> MakeSuspectGossip(const Suspects& suspects,
                                             SuspectScope scope, Time now);
/// Applies a suspect from a peer. Applying the same gossip again, in any order,
/// changes nothing.
void ApplySuspectGossip(Suspects& suspects, const SuspectGossip& gossip,
                        Time now);
/// Applies which processes live from a peer.
void ApplyLivingGossip(Suspects& suspects,
                       const std::vector<LivingGossip>& gossip, Time now);
/// Drops suspects without a break or an answer within `kSuspectRetention`.
void ForgetSuspects(Suspects& suspects, Time now);

}  // namespace egretladder::routing
