// Every threshold of routing by discovered endpoints, and the load it answers.
#pragma once

#include <chrono>
#include <cstddef>
#include <cstdint>

namespace egretladder::routing {

using std::chrono::milliseconds;

// --- Placing (place.h) ---

/// Prompt tokens that an engine reads in a millisecond. Only its ratio to the
/// other costs matters: what it is wrong by shows as drift (endpoints.h) and is
/// added to the cost of the endpoint.
inline constexpr double kPromptTokensPerMs = 150;
/// What one more running request adds to the time to a first event, in ms: each
/// step of the batch gets longer by its part.
inline constexpr double kCostPerRunningMs = 0.5;
/// What a request adds to the wait at a service with few slots, as part of the
/// mean time of a request there. In ms until a mean is known.
inline constexpr double kServiceTimeUnknownMs = 40;
/// Endpoints drawn at random beside those that the prompt's session prefers.
/// Few, so that cost doesn't grow with the fleet and nodes with the same old
/// news don't all run to one endpoint (Mitzenmacher, "The Power of Two
/// Choices").
inline constexpr std::size_t kDrawn = 4;
/// Shared tokens from which on a session prefers endpoints. Reading fewer anew
/// takes little; kept together, a busy session fills an engine while others are
/// idle.
inline constexpr std::uint32_t kSessionTokens = 256;
/// Endpoints that a session prefers, in order.
inline constexpr std::size_t kPreferred = 3;
/// What reading a shared part anew costs at an endpoint that the session
/// doesn't prefer, times the time that it takes. The part then fills a second
/// memory and delays all behind it: in a burst, work that spills freely is read
/// anew everywhere, and the engines spend their time on that.
inline constexpr double kStrayCost = 24;
/// The same at the endpoints that the session prefers after its first.
inline constexpr double kSpillCost = 20;
/// The most that reading shared parts anew costs, in ms: a request doesn't wait
/// longer than this for the engine that holds them while another one is idle.
inline constexpr double kAnewMostMs = 1600;
/// A stream whose events may pause no longer than this is delayed past it by a
/// long prompt beside it: an event holds several tokens, and each step that
/// carries a part of the prompt takes several times as long.
inline constexpr milliseconds kMaxTightGap{200};
/// A prompt longer than this, in tokens, is read in several parts.
inline constexpr std::uint32_t kLongPrompt = 4096;
/// Below so many engines they are not divided: one of them is too large a part.
inline constexpr std::size_t kSplitLeast = 24;
/// How long a prompt part is expected to stay in an engine's memory after its
/// last use here.
inline constexpr milliseconds kPartKept{60'000};
/// Prompt parts remembered for each endpoint, about 50 bytes each; the oldest
/// go first.
inline constexpr std::size_t kPartsMost = 4096;
/// What another availability zone costs, in ms: a round trip, and a tie goes to
/// the near one.
inline constexpr double kOtherZoneMs = 2;
/// What an endpoint that fails all requests costs, in ms: as much as a second's
/// wait. One that fails some costs its part, so that an unwell endpoint is
/// still used when the others have long queues.
inline constexpr double kFailingMs = 1000;
/// What a cold endpoint costs, in ms.
inline constexpr double kColdMs = 200;

// --- Sides (sides.h) ---

/// How long a request counts in the demand on average. Long enough for the few
/// requests that one node sees, short enough for a burst to show.
inline constexpr milliseconds kSideMemory{2000};
/// How fast the figure that nodes agree on follows what each measures; several
/// exchanges average it over the fleet meanwhile.
inline constexpr milliseconds kSidePull{1500};
/// Room for tight streams beyond their mean demand, as a factor: one engine of
/// theirs that is full costs more than one of the others.
inline constexpr double kTightMargin = 1.15;
/// Part of the engines for tight streams until a demand was seen.
inline constexpr double kTightPartUnknown = 0.25;
/// Bounds of that part, so that the first requests of either kind find room.
inline constexpr double kTightPartLeast = 0.1;
/// As above.
inline constexpr double kTightPartMost = 0.75;

// --- Pace of engines (pace.h) ---

/// What one more running request adds to the time between two events, as part
/// of that time with nothing else running. A prior.
inline constexpr double kPacePerRunning = 0.03;
/// Time between two events until one was seen, in ms.
inline constexpr double kEventMsUnknown = 25;
/// Events of a stream until one of its route ended.
inline constexpr double kEventsUnknown = 32;
/// The same of a long stream, three times as many.
inline constexpr double kEventsMostUnknown = 3 * kEventsUnknown;
/// How much of the longest stream's lead over another one is forgotten when
/// that one ends: some thirty later, little of it is left.
inline constexpr double kLongestForgets = 1.0 / 32;
/// Events between two samples of one stream.
inline constexpr std::uint64_t kEventsPerPaceSample = 8;
/// Weight of the newest sample in an engine's pace. Ten make up two thirds.
inline constexpr double kPaceWeight = 0.1;
/// The same in the pace of a service: all its engines add to it.
inline constexpr double kPaceWeightOfService = 0.02;
/// The same in the length of a route's streams; they differ by a factor of two.
inline constexpr double kEventsWeight = 0.05;
/// Samples as which the service's mean counts beside an engine's own.
inline constexpr double kPacePriorSamples = 5;
/// Samples of one engine that count; it may change.
inline constexpr double kPaceSamplesMost = 30;

// --- Trust in an endpoint (endpoints.h) ---

/// Weight of the newest answer in the share of failures and in the drift. Five
/// answers make up two thirds.
inline constexpr double kNewestWeight = 0.2;
/// Failures are forgotten by half in this time, so that an endpoint that got no
/// requests for its failures is tried again.
inline constexpr milliseconds kFailureHalfLife{2000};
/// An endpoint that refused a connection is left alone this long; doubles.
inline constexpr milliseconds kAvoidFirst{150};
/// Longest such time: an endpoint that comes back announces itself.
inline constexpr milliseconds kAvoidMost{2000};
/// An endpoint that said it is full is left alone for about this long.
inline constexpr milliseconds kFullPause{60};
/// Unanswered requests are a sign of trouble once they wait longer than this
/// times what was expected, and this long at least.
inline constexpr double kSilentRatio = 2;
/// As above.
inline constexpr milliseconds kSilentLeast{400};

/// Work that may run once goes over a connection that is open already only if
/// its endpoint was heard within this time. One that lost its power answers
/// nothing and resets nothing: what is sent there is lost, while a new
/// connection shows it before anything leaves. Longer than an engine is silent
/// while it reads a prompt.
inline constexpr milliseconds kHeardLately{300};

// --- Share of an endpoint among nodes ---

/// In flight from one node: this times its even part of the slots, so that
/// uneven traffic finds room and all nodes together don't flood an endpoint.
inline constexpr double kSlotsOver = 2.0;
/// In flight from one node at least.
inline constexpr std::uint32_t kSlotsLeast = 2;
/// Nodes that send to one cold endpoint at most; a rendezvous hash picks them.
/// With more, each one's part of the rate falls below one request in a second
/// or two, and their first requests together already exceed it.
inline constexpr std::size_t kColdSenders = 8;
/// Part of a shared rate that is used. The nodes' views differ for a moment,
/// and a request may arrive later than it was counted.
inline constexpr double kRateUsed = 0.8;
/// Nodes that share a limit that an endpoint names: this many, and
/// `kLimitSendersPerRate` for each request a second. Each may be one request
/// early, and an endpoint that says what it takes has little room beyond it.
inline constexpr double kLimitSenders = 3;
/// As above.
inline constexpr double kLimitSendersPerRate = 2;
/// Whether a limit of which a node heard nothing for this long still holds is
/// found out by requests, all nodes in turn.
inline constexpr std::chrono::seconds kLimitHeard{10};
/// Part of the limit that those requests take: they come beside the senders'.
inline constexpr double kLimitProbed = 0.1;
/// Limits told in one exchange; one takes about 40 bytes.
inline constexpr std::size_t kLimitsTold = 16;
/// Bounds of a limit, in requests a second. One that takes nothing still gets
/// the least, so that the end of its limit shows within seconds.
inline constexpr double kLimitLeast = 0.5;
/// As above.
inline constexpr double kLimitMost = 1e6;
/// A limit that changes by this part of it is logged.
inline constexpr double kLimitChange = 0.2;
/// Nodes assumed while this one knows too little of the fleet.
inline constexpr std::size_t kNodesUnknown = 12;
/// A smaller fleet than was known is believed after this long: in a partition
/// the others still send.
inline constexpr std::chrono::seconds kNodesRemembered{60};

// --- Endpoints that come and go ---

/// How long an entry that was removed around an outage of the platform's store
/// is still believed: leases ran out because nobody could renew them. Two
/// seconds after they are gone nothing may be sent there, and a removal is
/// noticed and acted on up to 0.2 s late.
inline constexpr milliseconds kLapseGrace{1800};
/// An outage counts as recent for this long after its end.
inline constexpr milliseconds kRecentOutageWindow{2000};

// --- Retries (retry_share.h) ---

/// Buckets of the window over which retries are counted.
inline constexpr std::size_t kRetryBuckets = 20;
/// Part of the allowance that is used; nodes see their own part only, and
/// traffic is uneven.
inline constexpr double kRetryUsed = 0.8;

// --- Requests that crash endpoints (suspects.h) ---

/// Crashes in turn after which a request gets no endpoint. With two, a request
/// that met two failing endpoints by chance would be refused; the platform
/// allows three.
inline constexpr std::size_t kCrashesMost = 3;
/// How long it gets none. Callers give up within seconds, and an innocent one
/// is let in again.
inline constexpr std::chrono::milliseconds kSuspectHeld{60'000};
/// How long a break is held against a request; longer than it is held back, so
/// that one more crash holds it again.
inline constexpr std::chrono::milliseconds kSuspectKept{120'000};
/// Suspects that a node remembers: a zone of a small fleet goes down with some
/// hundred requests on it. About 200 bytes each.
inline constexpr std::size_t kSuspectsMost = 1024;
/// Breaks remembered for one request.
inline constexpr std::size_t kBreaksKept = 6;
/// A suspect is told for this long after it changed, so that it reaches all
/// nodes.
inline constexpr std::chrono::milliseconds kSuspectTold{3000};
/// Suspects told in one exchange, newest first; one takes about 80 bytes.
inline constexpr std::size_t kSuspectsTold = 8;
/// Ages grow by the time that a message takes. Two breaks of one endpoint that
/// are closer than this are one; an endpoint takes longer to start again.
inline constexpr std::chrono::milliseconds kSameBreak{500};

// --- Waiting (waiting.h) ---

/// Requests that wait at a node. Beyond it the least urgent are refused; their
/// bodies count against the node's memory besides.
inline constexpr std::size_t kMaxWaitingRequests = 1000;
/// Part of its target time that a request waits for an endpoint to come free
/// before it is refused: its caller still has time to come back elsewhere.
inline constexpr double kWaitPart = 0.5;
/// Shortest such wait.
inline constexpr milliseconds kWaitLeast{50};
/// The same for work that was sent before: an endpoint's crash is noticed by
/// all within a second.
inline constexpr milliseconds kWaitAgain{1000};
/// Part of the time left within which a first event must be expected; else the
/// request is refused at once.
inline constexpr double kUsefulPart = 0.7;

/// Bounds of the time after which a caller comes back to a node without rules.
/// Longer than the upper one, most callers would have no time left.
inline constexpr milliseconds kReadyRetryLeast{200};
/// As above.
inline constexpr milliseconds kReadyRetryMost{1500};

// --- Stopping (stop_take.h) ---

/// What a long answer that is no stream takes, in times of the mean at its
/// endpoint; one in twenty takes longer if times are spread evenly on a
/// logarithmic scale of ten.
inline constexpr double kLongWhole = 3;

// --- Members (members.h) ---

/// A fleet up to this size is small: every node tells its load and reads the
/// store, and heartbeats are heard several times a second.
inline constexpr std::size_t kSmallFleet = 16;
/// Between two exchanges with peers, in a small fleet.
inline constexpr milliseconds kExchangeInterval{100};
/// The same in a large one, where each message carries more members.
inline constexpr milliseconds kLargeFleetExchangeInterval{200};
/// In a large fleet one exchange in so many may leave the availability zone.
/// Bytes between zones cost more, and each zone has nodes enough to carry its
/// news over.
inline constexpr std::size_t kTurnsPerZoneLeft = 4;
/// A member whose heartbeat hasn't risen for this long is left out of what
/// callers are told.
inline constexpr milliseconds kMemberSilence{2000};
/// The same in a large fleet: a heartbeat passes through several nodes.
inline constexpr milliseconds kMemberSilenceLarge{4000};
/// A member unheard for this long is forgotten.
inline constexpr std::chrono::seconds kMemberForgotten{60};
/// Members told whole in one exchange; one takes about 130 bytes.
inline constexpr std::size_t kMembersTold = 16;
/// Pulses told in one exchange; one takes 16 bytes. With a quarter of a fleet
/// of hundreds in each message no node looks silent by chance.
inline constexpr std::size_t kPulsesTold = 96;
/// A member is told whole for this long after this node met it.
inline constexpr std::chrono::seconds kMemberNew{3};
/// Nodes asked for at once; as many as are told whole.
inline constexpr std::size_t kUnknownMost = kMembersTold;
/// Nodes that read the platform's store for all. Each call is counted, and a
/// watch answers every reader; more than a few add calls, not safety, since a
/// reader that fails is replaced.
inline constexpr std::size_t kReadersMost = 5;
/// A node younger than this knows too few others to tell whether it is one.
inline constexpr std::chrono::seconds kReaderLeastAge{1};
/// Nodes of a large fleet that may become readers. While nobody can read the
/// store these try, and no others. Where the store turns a third of the nodes
/// away, all twelve are among these once in five hundred thousand times.
inline constexpr std::size_t kReadersAble = 12;
/// An exchange unanswered for this long hangs: answers take a round trip.
inline constexpr milliseconds kExchangeStallTime{200};
/// Peers tried in one turn at most.
inline constexpr std::size_t kPeersTriedMost = 8;
/// Between two messages by which a reader shows its standbys that it is there.
inline constexpr milliseconds kReaderHeartbeatInterval{400};
/// A reader unheard for three of these is silent to the first standby. Changes
/// have seconds to be in force everywhere, and spreading takes its part.
inline constexpr milliseconds kReaderSilence{1200};
/// Each further standby waits this much longer, so that few read together.
inline constexpr milliseconds kReaderStagger{150};
/// Peers that a reader tells of news at once.
inline constexpr std::size_t kReaderFanout = 16;
/// Peers that any other node tells of news that it took, in a large fleet.
inline constexpr std::size_t kRelayFanout = 2;
/// What peers said of their load counts for this long.
inline constexpr milliseconds kPeerLoadRetention{2000};
/// Nodes told to one caller.
inline constexpr std::size_t kDirectoryMost = 64;

// --- FeedFetches (feed_fetches.h) ---

/// Peers with news that are remembered for each feed.
inline constexpr std::size_t kOffersMost = 8;
/// A peer asked for changes that hasn't sent them by then is left for another.
inline constexpr milliseconds kPullTime{700};
/// A peer that was silent or broke off is asked again after this.
inline constexpr milliseconds kFetchTimeoutBackoff{1000};
/// One that was busy; a large change leaves a slow link within it.
inline constexpr milliseconds kFetchBusyBackoff{60};
/// Changes up to this many bytes are sent to all that ask: telling them to ask
/// another peer costs about as much.
inline constexpr std::size_t kSmallChangesBytes = 4096;
/// Larger ones wait while this many bytes for other peers are unsent: a few
/// tens of milliseconds of a slow link.
inline constexpr std::size_t kPeerBacklog = std::size_t{48} << 10U;

}  // namespace egretladder::routing
