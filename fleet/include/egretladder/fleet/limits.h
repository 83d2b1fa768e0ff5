// Periods and bounds of what nodes share, each with its reason. The relations
// between them that safety rests on are checked at the end.
#pragma once

#include <chrono>
#include <cstddef>
#include <cstdint>

namespace egretladder::fleet {

/// How long a caller may use a lane after `/where` gave it. Long enough for the
/// retries of a call that timed out; the table of keys grows with it.
inline constexpr std::chrono::minutes kLaneLife{10};
/// How long an ended call stays in the table past its lane's expiry, so that
/// a call which began just before the expiry can still be asked for.
inline constexpr std::chrono::seconds kAnswerLinger{60};
/// Keys in the table. 12,000 requests a second over 390 nodes, a tenth of them
/// not repeatable, make about 2,000 in a lane's life; this leaves room for a
/// burst on one node of fifty times that.
inline constexpr std::size_t kMaxLaneKeys = 100'000;
/// Bytes of stored answers and keys, a quarter of a node's 256 MB.
inline constexpr std::size_t kLaneBytesMost = std::size_t{64} << 20U;
/// Counted for a call in progress until its answer is known, so that answers
/// which arrive together still fit.
inline constexpr std::size_t kReservedAnswerBytes = std::size_t{64} << 10U;
/// Callers that wait for one key. More than a few means a caller gone wild.
inline constexpr std::size_t kMaxWaitersPerKey = 64;
/// Longest node name in a lane and longest lane in a header.
inline constexpr std::size_t kMaxLaneTextBytes = 512;

/// A process whose ticks stood still for longer was paused: it may hold leases
/// that lapsed and zones that are out. Ticks come every 50 ms; a loop that is
/// late by eight of them has something else to mend.
inline constexpr std::chrono::milliseconds kFreshFor{400};

/// Without a word from any peer or the platform for longer, a node sends no new
/// work: a zone may be out since. Below the 3 s allowed, above four pings.
inline constexpr std::chrono::milliseconds kIsolationTimeout{2500};

/// Between two pings to the same peer. Two fit into a mandate, so that one lost
/// message changes nothing.
inline constexpr std::chrono::milliseconds kPingInterval{600};
/// A peer that answered so lately knows this process: pings to it leave out who
/// they come from, five sixths of their size.
inline constexpr std::chrono::milliseconds kRecentContactTime{1200};
/// A peer unheard for so long is left out of `/where`.
inline constexpr std::chrono::milliseconds kSuspectAfter{2000};
/// How long an answered ping counts as support for a keeper, from its sending.
inline constexpr std::chrono::milliseconds kMandate{1500};
/// Longest lease of slots, from the asking. Shorter ones cost more messages,
/// longer ones keep a dead node's slots away from the others.
inline constexpr std::chrono::milliseconds kLeaseLife{2500};
/// A peer unheard for so long counts as gone in votes. Above a mandate and a
/// lease, so that nobody is voted out whose leases still run; the rest allows
/// for clocks that differ by a fifth.
inline constexpr std::chrono::milliseconds kGoneTimeout{5000};
static_assert(kGoneTimeout * 4 >= (kMandate + kLeaseLife) * 5,
              "two keepers could lease at once");
/// A report at most so much older than a keeper's beginning shows all calls
/// that its predecessor's leases let in: they had lapsed by then.
inline constexpr std::chrono::milliseconds kMaxInitialReportLead{
    kGoneTimeout - kMandate - kLeaseLife};
/// How long a supporter must have answered without a break before it counts:
/// what a former keeper leased by its vote has lapsed then.
inline constexpr std::chrono::milliseconds kSupportWait{kMandate + kLeaseLife};
/// A keeper that said it leaves leased nothing since; after a lease and some
/// more it counts as gone.
inline constexpr std::chrono::milliseconds kLeaveTimeout{kLeaseLife +
                                                         kLeaseLife / 4};

/// Nodes that vote on the keeper of an endpoint: all of today's fleets, and a
/// fixed few of a large one, so that pings don't grow with its size.
inline constexpr std::size_t kMaxVoters = 7;
/// Peers drawn at random in each round, besides the voters.
inline constexpr std::size_t kRandomPeersPerRound = 1;
/// Members in one message. These four bound its size.
inline constexpr std::size_t kMembersTold = 3;
/// Nodes named as gone in one message.
inline constexpr std::size_t kMaxGoneNodesPerMessage = 64;
/// Blamed bodies in one message.
inline constexpr std::size_t kMaxQuarantineNoticesPerMessage = 16;
/// Leaving VMs in one message.
inline constexpr std::size_t kMaxLeavingVmsPerMessage = 32;
/// A VM notice is forgotten so long after the list was read that showed it.
inline constexpr std::chrono::seconds kVmNoticeLifetime{10};
/// Peers told at once of a new version or a new blame; doubles in each hop.
inline constexpr std::size_t kUrgentGossipFanout = 6;

/// Nodes of each zone that watch the platform: all of today's fleets, so that
/// one which reads is enough, and 20 of 390 nodes.
inline constexpr std::size_t kReadersPerZone = 4;
/// Between two reads of the VM list by a reader.
inline constexpr std::chrono::milliseconds kVmListInterval{1000};
/// Between two reads by any other node, drawn from half to one and a half:
/// 370 nodes make 12 calls a second of it.
inline constexpr std::chrono::seconds kRareReadInterval{60};
/// First wait after a failed read; doubles.
inline constexpr std::chrono::milliseconds kInitialReadBackoff{500};
/// Longest such wait.
inline constexpr std::chrono::milliseconds kMaxReadBackoff{10'000};
/// A watch that was not answered for so long is given up.
inline constexpr std::chrono::seconds kReadTimeout{60};
/// How long a starting node waits for a peer's word before it trusts the
/// platform, whose data may be old.
inline constexpr std::chrono::milliseconds kStartupPeerTimeout{1000};
/// Between two asks for a version that peers have and this node lacks.
inline constexpr std::chrono::milliseconds kRulesAskInterval{300};

/// Between two asks for slots: with few endpoints, so that a cold one grows
/// fast; with more than `kFewEndpoints`, where asks and leases are most of the
/// control's bytes; and the least between asks that hurry because work waits.
inline constexpr std::chrono::milliseconds kSlotAskInterval{600};
/// The same with more endpoints than `kFewEndpoints`.
inline constexpr std::chrono::milliseconds kManyEndpointsAskInterval{1200};
/// Endpoints up to which asks come at `kAskEvery`.
inline constexpr std::size_t kMaxFastAskEndpoints = 20;
/// The least between two asks.
inline constexpr std::chrono::milliseconds kMinSlotAskInterval{100};
/// Calls of a silent holder still run at the endpoint, perhaps; forgotten after
/// the longest ordinary answer.
inline constexpr std::chrono::seconds kSilentCallRetention{60};
/// A holder that has not asked for so long has no part in sharing out.
inline constexpr std::chrono::milliseconds kHolderSilenceTimeout{2250};
/// One in so many of the slots that an endpoint bears cold needs no lease. More
/// would lie idle at their owners while others wait; none would leave nodes
/// without a keeper nothing at any endpoint.
inline constexpr std::uint32_t kFloorDivisor = 4;
/// Without a lease for so long, others than the first in rank are asked too.
inline constexpr std::chrono::milliseconds kKeeperAnswerTimeout{2000};
/// Lots for slots that don't go round are drawn anew so often.
inline constexpr std::chrono::seconds kLotteryInterval{4};
/// Between two reports an endpoint is asked for by its keeper.
inline constexpr std::chrono::milliseconds kReportInterval{500};
/// An endpoint whose reports fail for so long, and that answers nobody, counts
/// as restarted.
inline constexpr std::chrono::milliseconds kReportTimeout{1000};
/// Up to so many endpoints a node uses all of them; of more, so many for each
/// target.
inline constexpr std::size_t kMaxUnrestrictedEndpoints = 32;
/// Endpoints for each target when there are more than `kEndpointsAll`.
inline constexpr std::size_t kEndpointsPerTarget = 2;

/// Loads that the whole fleet asks of the weight store in a minute.
inline constexpr std::int64_t kMaxModelLoadsPerMinute = 30;
/// How long a model stays before it may be unloaded again: a load takes minutes
/// of an engine's time, and a placement that wavers would spend them all.
inline constexpr std::chrono::minutes kMinModelResidency{5};
/// An order that no report shows as done is given up and decided anew.
inline constexpr std::chrono::minutes kOrderTimeout{3};
/// Quiet time before an engine that ignores fencing numbers gets an order:
/// above the time in which a former keeper finds out that it is none.
inline constexpr std::chrono::milliseconds kUnfencedWait{kGoneTimeout +
                                                         kMandate};
/// A report older than that says nothing about what is loaded.
inline constexpr std::chrono::milliseconds kMaxReportAge{3000};
/// A process that was paused and hears nobody acts on what it knew after that,
/// when the rules list no other node.
inline constexpr std::chrono::milliseconds kMaxWakeCheckTime{2000};

}  // namespace egretladder::fleet
