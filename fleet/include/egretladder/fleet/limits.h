// Intervals, timeouts and size limits of the state that nodes share, each with
// its reason. The static assertion below checks the relation between them that
// safety depends on.
#pragma once

#include <chrono>
#include <cstddef>
#include <cstdint>

namespace egretladder::fleet {

/// How long a caller may use a lane after `/where` issued it. Long enough for
/// the retries of a call that timed out; the key table grows in proportion.
inline constexpr std::chrono::minutes kLaneLifetime{10};
/// How long an ended call stays in the table after its lane has expired, so
/// that the outcome of a call which began just before the expiry can still be
/// queried.
inline constexpr std::chrono::seconds kAnswerRetention{60};
/// Maximum number of keys in the table. 12,000 requests a second over 390
/// nodes, a tenth of them not repeatable, make about 2,000 within a lane's
/// lifetime; the limit leaves room for a burst of fifty times that on one node.
inline constexpr std::size_t kMaxLaneKeys = 100'000;
/// Maximum size of the stored answers and keys in bytes: a quarter of a node's
/// 256 MB.
inline constexpr std::size_t kMaxLaneTableBytes = std::size_t{64} << 20U;
/// Bytes reserved for a call in progress until its answer is known, so that
/// answers which arrive at the same time still fit.
inline constexpr std::size_t kReservedAnswerBytes = std::size_t{64} << 10U;
/// Maximum number of callers that wait for one key. More than a few indicates a
/// misbehaving caller.
inline constexpr std::size_t kMaxWaitersPerKey = 64;
/// Maximum size in bytes of an encoded lane in a header, including the node
/// name.
inline constexpr std::size_t kMaxLaneTextBytes = 512;

/// A gap between ticks above this means that the process was paused: it may
/// hold leases that have lapsed and not know of zones that went out. Ticks come
/// every 50 ms, so a delay of eight ticks is no longer ordinary load.
inline constexpr std::chrono::milliseconds kPauseThreshold{400};

/// A node that has heard from neither a peer nor the platform for this long
/// sends no new work, because a zone may have gone out since. Below the 3 s
/// that are allowed and above four ping intervals.
inline constexpr std::chrono::milliseconds kIsolationTimeout{2500};

/// Interval between two pings to the same peer. Two pings fit into the lifetime
/// of a peer's support, so that one lost message changes nothing.
inline constexpr std::chrono::milliseconds kPingInterval{600};
/// A peer that answered within this time knows this process. Pings to it omit
/// the member list, which is five sixths of their size.
inline constexpr std::chrono::milliseconds kRecentContactTime{1200};
/// A peer that was not heard for this long is omitted from `/where`.
inline constexpr std::chrono::milliseconds kSuspectTimeout{2000};
/// How long an answered ping counts as support for a keeper, measured from when
/// the ping was sent.
inline constexpr std::chrono::milliseconds kSupportLifetime{1500};
/// Maximum duration of a slot lease, measured from when it was requested.
/// Shorter leases cost more messages; longer ones keep a dead node's slots from
/// the others.
inline constexpr std::chrono::milliseconds kLeaseDuration{2500};
/// A peer that was not heard for this long counts as gone in votes. The value
/// exceeds the lifetime of support plus a lease, so that no node is voted out
/// while its leases are valid; the rest allows for clocks whose rates differ by
/// a fifth.
inline constexpr std::chrono::milliseconds kGoneTimeout{5000};
static_assert(kGoneTimeout * 4 >= (kSupportLifetime + kLeaseDuration) * 5,
              "two keepers could lease at once");
/// A report may be older than the start of a keeper by up to this much and
/// still show all calls that its predecessor's leases admitted: the leases had
/// lapsed by then.
inline constexpr std::chrono::milliseconds kMaxInitialReportLead{
    kGoneTimeout - kSupportLifetime - kLeaseDuration};
/// How long a voter must have answered without a break before its support
/// counts: by then, everything that a former keeper leased with its vote has
/// lapsed.
inline constexpr std::chrono::milliseconds kMinSupportDuration{
    kSupportLifetime + kLeaseDuration};
/// A keeper that announced its leave has granted no leases since then. It
/// counts as gone after a lease duration and a margin of a quarter.
inline constexpr std::chrono::milliseconds kLeaveTimeout{kLeaseDuration +
                                                         kLeaseDuration / 4};

/// Maximum number of nodes that vote on the keeper of an endpoint. A small
/// fleet votes as a whole; in a large one the fixed number keeps pings from
/// growing with its size.
inline constexpr std::size_t kMaxVoters = 7;
/// Peers chosen at random in each round, in addition to the voters.
inline constexpr std::size_t kRandomPeersPerRound = 1;
/// Maximum number of members in one message. This limit and the next three
/// bound its size.
inline constexpr std::size_t kMaxMembersPerMessage = 3;
/// Maximum number of nodes listed as gone in one message.
inline constexpr std::size_t kMaxGoneNodesPerMessage = 64;
/// Maximum number of quarantined request bodies in one message.
inline constexpr std::size_t kMaxQuarantineNoticesPerMessage = 16;
/// Maximum number of leaving VMs in one message.
inline constexpr std::size_t kMaxLeavingVmsPerMessage = 32;
/// How long a notice about a leaving VM is kept, measured from when the VM list
/// that contained it was read.
inline constexpr std::chrono::seconds kVmNoticeLifetime{10};
/// Number of peers that are told at once of a new rules version or a new
/// quarantine. Each of them forwards it, so the number of informed nodes
/// multiplies with each hop.
inline constexpr std::size_t kUrgentGossipFanout = 6;

/// Number of nodes in each zone that watch the platform: every node of a small
/// fleet, so that one successful reader is enough, and 20 of 390 nodes.
inline constexpr std::size_t kReadersPerZone = 4;
/// Interval between two reads of the VM list by a reader.
inline constexpr std::chrono::milliseconds kVmListInterval{1000};
/// Mean interval between two reads by a node that is not a reader; the actual
/// one is drawn between half and one and a half of it. 370 nodes make 12 calls
/// a second.
inline constexpr std::chrono::seconds kRareReadInterval{60};
/// Initial backoff after a failed read; it doubles with each further failure.
inline constexpr std::chrono::milliseconds kInitialReadBackoff{500};
/// Maximum backoff after failed reads.
inline constexpr std::chrono::milliseconds kMaxReadBackoff{10'000};
/// A read or watch that was not answered within this time is abandoned.
inline constexpr std::chrono::seconds kReadTimeout{60};
/// How long a starting node waits to hear from a peer before it accepts a
/// document from the platform, whose data may be outdated.
inline constexpr std::chrono::milliseconds kStartupPeerTimeout{1000};
/// Minimum interval between two requests for a rules version that peers have
/// and this node lacks.
inline constexpr std::chrono::milliseconds kRulesAskInterval{300};

/// Interval between two slot requests to a keeper with few endpoints. It is
/// short so that the limit of a cold endpoint grows fast.
inline constexpr std::chrono::milliseconds kSlotAskInterval{600};
/// Interval between two slot requests with more than `kMaxFastAskEndpoints`
/// endpoints, where requests and leases are most of the control traffic.
inline constexpr std::chrono::milliseconds kManyEndpointsAskInterval{1200};
/// Maximum number of endpoints at which slots are requested every
/// `kSlotAskInterval`.
inline constexpr std::size_t kMaxFastAskEndpoints = 20;
/// Minimum interval between slot requests that are sent early because work
/// waits.
inline constexpr std::chrono::milliseconds kMinSlotAskInterval{100};
/// Calls of a silent holder may still run at the endpoint. They are counted for
/// this long, which covers the longest ordinary answer.
inline constexpr std::chrono::seconds kSilentCallRetention{60};
/// A holder that has not requested slots for this long gets no share of them.
inline constexpr std::chrono::milliseconds kHolderSilenceTimeout{2250};
/// One of this many slots of a cold endpoint needs no lease. A larger part
/// would leave slots idle at their owners while other nodes wait; with none,
/// nodes without a keeper could send nothing to any endpoint.
inline constexpr std::uint32_t kFloorDivisor = 4;
/// A holder that has had no lease for this long also asks voters other than the
/// first available one.
inline constexpr std::chrono::milliseconds kKeeperAnswerTimeout{2000};
/// Interval at which the order of holders is drawn anew when there are fewer
/// slots than holders.
inline constexpr std::chrono::seconds kLotteryInterval{4};
/// Interval at which a keeper reads an endpoint's report.
inline constexpr std::chrono::milliseconds kReportInterval{500};
/// An endpoint whose reports have failed for this long, and from which no
/// answers arrive, is treated as restarted.
inline constexpr std::chrono::milliseconds kReportTimeout{1000};
/// Up to this many endpoints, a node uses all of them. With more, it uses
/// `kEndpointsPerTarget` for each target.
inline constexpr std::size_t kMaxUnrestrictedEndpoints = 32;
/// Number of endpoints used for each target when there are more than
/// `kMaxUnrestrictedEndpoints`.
inline constexpr std::size_t kEndpointsPerTarget = 2;

/// Maximum number of model loads per minute that the whole fleet requests from
/// the weight store.
inline constexpr std::int64_t kMaxModelLoadsPerMinute = 30;
/// Minimum time for which a model stays loaded: a load takes minutes of an
/// engine's time, and a placement that oscillates would spend all of it on
/// loads.
inline constexpr std::chrono::minutes kMinModelResidency{5};
/// An order that no report confirms within this time is abandoned and decided
/// again.
inline constexpr std::chrono::minutes kOrderTimeout{3};
/// Time without changes before an engine that ignores fencing numbers gets an
/// order: longer than a former keeper takes to notice that it no longer is the
/// keeper.
inline constexpr std::chrono::milliseconds kUnfencedQuietTime{kGoneTimeout +
                                                              kSupportLifetime};
/// Maximum age of a report for it to count as evidence of which models are
/// loaded.
inline constexpr std::chrono::milliseconds kMaxReportAge{3000};
/// A process that was paused and hears no peer trusts its knowledge again after
/// this time if the rules list no other node.
inline constexpr std::chrono::milliseconds kMaxWakeCheckTime{2000};

}  // namespace egretladder::fleet
