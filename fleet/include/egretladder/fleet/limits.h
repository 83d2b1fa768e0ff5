// Periods and bounds of what nodes share, each with its reason. The relations
// between them that safety rests on are checked at the end.
#pragma once

#include <chrono>
#include <cstddef>
#include <cstdint>

namespace egretladder::fleet {

/// How long a caller may use a lane after `/where` gave it. Long enough for the
/// retries of a call that timed out; the table of keys grows with it.
inline constexpr std::chrono::minutes kLaneLifetime{10};
/// How long an ended call stays in the table past its lane's expiry, so that
/// a call which began just before the expiry can still be asked for.
inline constexpr std::chrono::seconds kAnswerRetention{60};
/// Keys in the table. 12,000 requests a second over 390 nodes, a tenth of them
/// not repeatable, make about 2,000 in a lane's life; this leaves room for a
/// burst on one node of fifty times that.
inline constexpr std::size_t kLaneKeysMost = 100'000;
/// Bytes of stored answers and keys, a quarter of a node's 256 MB.
inline constexpr std::size_t kMaxLaneTableBytes = std::size_t{64} << 20U;
/// Counted for a call in progress until its answer is known, so that answers
/// which arrive together still fit.
inline constexpr std::size_t kAnswerReserve = std::size_t{64} << 10U;
/// Callers that wait for one key. More than a few means a caller gone wild.
inline constexpr std::size_t kWaitersMost = 64;
/// Longest node name in a lane and longest lane in a header.
inline constexpr std::size_t kLaneTextMost = 512;

/// A process whose ticks stood still for longer was paused: it may hold leases
/// that lapsed and zones that are out. Ticks come every 50 ms; a loop that is
/// late by eight of them has something else to mend.
inline constexpr std::chrono::milliseconds kPauseThreshold{400};

/// Without a word from any peer or the platform for longer, a node sends no new
/// work: a zone may be out since. Below the 3 s allowed, above four pings.
inline constexpr std::chrono::milliseconds kIsolatedAfter{2500};

/// Between two pings to the same peer. Two fit into a mandate, so that one lost
/// message changes nothing.
inline constexpr std::chrono::milliseconds kPingEvery{600};
/// A peer that answered so lately knows this process: pings to it leave out who
/// they come from, five sixths of their size.
inline constexpr std::chrono::milliseconds kKnownFor{1200};
/// A peer unheard for so long is left out of `/where`.
inline constexpr std::chrono::milliseconds kSuspectTimeout{2000};
/// How long an answered ping counts as support for a keeper, from its sending.
inline constexpr std::chrono::milliseconds kSupportLifetime{1500};
/// Longest lease of slots, from the asking. Shorter ones cost more messages,
/// longer ones keep a dead node's slots away from the others.
inline constexpr std::chrono::milliseconds kLeaseDuration{2500};
/// A peer unheard for so long counts as gone in votes. Above a mandate and a
/// lease, so that nobody is voted out whose leases still run; the rest allows
/// for clocks that differ by a fifth.
inline constexpr std::chrono::milliseconds kGoneAfter{5000};
static_assert(kGoneAfter * 4 >= (kSupportLifetime + kLeaseDuration) * 5,
              "two keepers could lease at once");
/// A report at most so much older than a keeper's beginning shows all calls
/// that its predecessor's leases let in: they had lapsed by then.
inline constexpr std::chrono::milliseconds kOpeningMargin{
    kGoneAfter - kSupportLifetime - kLeaseDuration};
/// How long a supporter must have answered without a break before it counts:
/// what a former keeper leased by its vote has lapsed then.
inline constexpr std::chrono::milliseconds kMinSupportDuration{
    kSupportLifetime + kLeaseDuration};
/// A keeper that said it leaves leased nothing since; after a lease and some
/// more it counts as gone.
inline constexpr std::chrono::milliseconds kLeftAfter{kLeaseDuration +
                                                      kLeaseDuration / 4};

/// Nodes that vote on the keeper of an endpoint: all of today's fleets, and a
/// fixed few of a large one, so that pings don't grow with its size.
inline constexpr std::size_t kVotersMost = 7;
/// Peers drawn at random in each round, besides the voters.
inline constexpr std::size_t kRandomPeers = 1;
/// Members in one message. These four bound its size.
inline constexpr std::size_t kMaxMembersPerMessage = 3;
/// Nodes named as gone in one message.
inline constexpr std::size_t kGoneTold = 64;
/// Blamed bodies in one message.
inline constexpr std::size_t kBlamesTold = 16;
/// Leaving VMs in one message.
inline constexpr std::size_t kLeavingVmsTold = 32;
/// A VM notice is forgotten so long after the list was read that showed it.
inline constexpr std::chrono::seconds kVmNoticeKept{10};
/// Peers told at once of a new version or a new blame; doubles in each hop.
inline constexpr std::size_t kEagerPeers = 6;

/// Nodes of each zone that watch the platform: all of today's fleets, so that
/// one which reads is enough, and 20 of 390 nodes.
inline constexpr std::size_t kReadersPerZone = 4;
/// Between two reads of the VM list by a reader.
inline constexpr std::chrono::milliseconds kVmListEvery{1000};
/// Between two reads by any other node, drawn from half to one and a half:
/// 370 nodes make 12 calls a second of it.
inline constexpr std::chrono::seconds kRareReadEvery{60};
/// First wait after a failed read; doubles.
inline constexpr std::chrono::milliseconds kReadRetryFirst{500};
/// Longest such wait.
inline constexpr std::chrono::milliseconds kReadRetryMost{10'000};
/// A watch that was not answered for so long is given up.
inline constexpr std::chrono::seconds kReadLost{60};
/// How long a starting node waits for a peer's word before it trusts the
/// platform, whose data may be old.
inline constexpr std::chrono::milliseconds kAskPeersFor{1000};
/// Between two asks for a version that peers have and this node lacks.
inline constexpr std::chrono::milliseconds kRulesAskEvery{300};

/// Between two asks for slots: with few endpoints, so that a cold one grows
/// fast; with more than `kFewEndpoints`, where asks and leases are most of the
/// control's bytes; and the least between asks that hurry because work waits.
inline constexpr std::chrono::milliseconds kAskEvery{600};
/// The same with more endpoints than `kFewEndpoints`.
inline constexpr std::chrono::milliseconds kAskEveryOfMany{1200};
/// Endpoints up to which asks come at `kAskEvery`.
inline constexpr std::size_t kFewEndpoints = 20;
/// The least between two asks.
inline constexpr std::chrono::milliseconds kAskSoonest{100};
/// Calls of a silent holder still run at the endpoint, perhaps; forgotten after
/// the longest ordinary answer.
inline constexpr std::chrono::seconds kSilentCallsKept{60};
/// A holder that has not asked for so long has no part in sharing out.
inline constexpr std::chrono::milliseconds kHolderSilent{2250};
/// One in so many of the slots that an endpoint bears cold needs no lease. More
/// would lie idle at their owners while others wait; none would leave nodes
/// without a keeper nothing at any endpoint.
inline constexpr std::uint32_t kFloorPart = 4;
/// Without a lease for so long, others than the first in rank are asked too.
inline constexpr std::chrono::milliseconds kAskPatience{2000};
/// Lots for slots that don't go round are drawn anew so often.
inline constexpr std::chrono::seconds kLotsEvery{4};
/// Between two reports an endpoint is asked for by its keeper.
inline constexpr std::chrono::milliseconds kReportEvery{500};
/// An endpoint whose reports fail for so long, and that answers nobody, counts
/// as restarted.
inline constexpr std::chrono::milliseconds kReportLost{1000};
/// Up to so many endpoints a node uses all of them; of more, so many for each
/// target.
inline constexpr std::size_t kEndpointsAll = 32;
/// Endpoints for each target when there are more than `kEndpointsAll`.
inline constexpr std::size_t kEndpointsPerTarget = 2;

/// Loads that the whole fleet asks of the weight store in a minute.
inline constexpr std::int64_t kLoadsPerMinute = 30;
/// How long a model stays before it may be unloaded again: a load takes minutes
/// of an engine's time, and a placement that wavers would spend them all.
inline constexpr std::chrono::minutes kModelDwell{5};
/// An order that no report shows as done is given up and decided anew.
inline constexpr std::chrono::minutes kOrderLost{3};
/// Quiet time before an engine that ignores fencing numbers gets an order:
/// above the time in which a former keeper finds out that it is none.
inline constexpr std::chrono::milliseconds kUnfencedQuietTime{kGoneAfter +
                                                              kSupportLifetime};
/// A report older than that says nothing about what is loaded.
inline constexpr std::chrono::milliseconds kReportFresh{3000};
/// A process that was paused and hears nobody acts on what it knew after that,
/// when the rules list no other node.
inline constexpr std::chrono::milliseconds kWakeCheckMost{2000};

}  // namespace egretladder::fleet
