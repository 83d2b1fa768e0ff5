// All thresholds of routing by discovered endpoints, with the load or fault
// that each of them answers.
#pragma once

#include <chrono>
#include <cstddef>
#include <cstdint>

namespace egretladder::routing {

using std::chrono::milliseconds;

// --- Placement (placement.h) ---

/// Prompt tokens that an engine prefills per millisecond. Only the ratio to the
/// other costs matters: an error shows up as drift (endpoints.h) and is added
/// to the endpoint's cost.
inline constexpr double kPromptTokensPerMs = 150;
/// Time that each running request adds to the time to the first event, in ms,
/// because it lengthens each step of the batch.
inline constexpr double kCostPerRunningMs = 0.5;
/// Mean time of a request that isn't a generation, in ms, until one was
/// measured. Each running request adds the mean time divided by the endpoint's
/// slots to the wait.
inline constexpr double kDefaultServiceTimeMs = 40;
/// Endpoints drawn at random as candidates beside those that the prompt's
/// session prefers. With few candidates the cost doesn't grow with the fleet,
/// and nodes with the same outdated load data don't all choose the same
/// endpoint (Mitzenmacher, "The Power of Two Choices").
inline constexpr std::size_t kRandomCandidates = 4;
/// Shared tokens from which a session prefers endpoints. Prefilling fewer again
/// takes little time, while keeping a busy session together fills one engine
/// and leaves others idle.
inline constexpr std::uint32_t kMinSessionTokens = 256;
/// Number of endpoints that a session prefers, in order.
inline constexpr std::size_t kPreferredEndpoints = 3;
/// Cost of prefilling a shared part at an endpoint that the session doesn't
/// prefer, as a multiple of the time it takes. The part then occupies a second
/// cache and delays all requests behind it. If work spilled over freely in a
/// burst, shared parts would be prefilled at all engines and take up their
/// time.
inline constexpr double kUnpreferredRereadFactor = 24;
/// The same factor at the endpoints that the session prefers after its first
/// choice, which is assumed to have the shared parts cached.
inline constexpr double kPreferredRereadFactor = 20;
/// Upper bound of the cost of prefilling shared parts again, in ms. A request
/// doesn't wait longer than this for an engine that has them cached while
/// another engine is idle.
inline constexpr double kMaxRereadCostMs = 1600;
/// A stream whose events may pause at most this long is placed by the pace of
/// the engines as well, because a slow engine delays each of its events.
inline constexpr milliseconds kMaxTightGap{200};
/// A prompt with more tokens than this is prefilled in several parts.
inline constexpr std::uint32_t kLongPromptTokens = 4096;
/// With fewer engines than this the engines are not split, because one engine
/// would be too large a fraction of them.
inline constexpr std::size_t kMinEnginesToSplit = 24;
/// How long a prompt part is expected to stay in an engine's prefix cache after
/// this node last used it.
inline constexpr milliseconds kPromptPartRetention{60'000};
/// Prompt parts remembered per endpoint, about 50 bytes each. The least
/// recently used are dropped first.
inline constexpr std::size_t kMaxPromptParts = 4096;
/// Cost of an endpoint in another availability zone, in ms: a round trip. It
/// also decides ties in favor of the near endpoint.
inline constexpr double kOtherZoneCostMs = 2;
/// Cost of an endpoint that fails all requests, in ms: as much as a wait of a
/// second. Lower failure rates cost proportionally less, so that an endpoint
/// with some failures is still used when the others have long queues.
inline constexpr double kFailureCostMs = 1000;
/// Cost of a cold endpoint, in ms. An endpoint whose entry has lapsed costs the
/// same.
inline constexpr double kColdCostMs = 200;

// --- Engine split (engine_split.h) ---

/// Time constant with which a request's part of the demand decays: long enough
/// for the few requests that one node sees, short enough to show a burst.
inline constexpr milliseconds kSplitDemandTimeConstant{2000};
/// Time constant with which the fleet's agreed demand follows the demand that
/// each node measures. Several exchanges average it over the fleet meanwhile.
inline constexpr milliseconds kFleetDemandTimeConstant{1500};
/// Headroom for tight streams as a factor on their mean demand: a full engine
/// for tight streams costs more than a full engine of the others.
inline constexpr double kTightDemandFactor = 1.15;
/// Fraction of the engines for tight streams until demand was measured.
inline constexpr double kDefaultTightFraction = 0.25;
/// Lower bound of that fraction, so that the first tight streams find room.
inline constexpr double kMinTightFraction = 0.1;
/// Upper bound of that fraction, so that the first long prompts find room.
inline constexpr double kMaxTightFraction = 0.75;

// --- Pauses beside long prompts (prompt_pauses.h) ---

/// Part of the intervals between events that may exceed the estimated pause. A
/// stream of some tens of events is late by a single one of them.
inline constexpr double kLongPauseShare = 0.02;
/// Step of the estimate per interval, on a logarithmic scale. A node that sees
/// some tens of intervals a second follows a burst within seconds.
inline constexpr double kPauseEstimateStep = 0.1;
/// Upper bound of an estimate. A longer interval is a stall of the engine.
inline constexpr milliseconds kMaxPauseEstimate{10'000};
/// An engine that is slower than the mean of its service by this factor is slow
/// for another reason than the prompts that it prefills.
inline constexpr double kSlowEngineFactor = 2;
/// How long engines stay reserved after the last stream that needed it.
inline constexpr milliseconds kSplitRetention{5000};
/// Streams whose promise is at most this multiple of the estimated pause count
/// as demand for engines of their own, so that the split has the right size as
/// soon as it is needed.
inline constexpr double kNearPauseFactor = 1.5;

// --- Pace of engines (pace.h) ---

/// Time that each running request adds between two events, relative to that
/// time with no other request running. It isn't learned from samples.
inline constexpr double kPaceFactorPerRunning = 0.03;
/// Time between two events until one was measured, in ms.
inline constexpr double kDefaultEventMs = 25;
/// Events in a stream of a route until one of its streams has ended.
inline constexpr double kDefaultStreamEvents = 32;
/// Events in a long stream of a route until one has ended: three times as many.
inline constexpr double kDefaultLongStreamEvents = 3 * kDefaultStreamEvents;
/// Weight with which the longest known stream decays towards each stream that
/// ends. After some thirty further streams little of its lead is left.
inline constexpr double kLongStreamDecayWeight = 1.0 / 32;
/// Number of events between two samples of one stream.
inline constexpr std::uint64_t kEventsPerPaceSample = 8;
/// Weight of the newest sample in an engine's pace. The ten newest samples make
/// up two thirds of the average.
inline constexpr double kEnginePaceWeight = 0.1;
/// Weight of the newest sample in a service's pace, to which all its engines
/// contribute.
inline constexpr double kServicePaceWeight = 0.02;
/// Weight of the newest stream in the mean length of a route's streams, which
/// differ by a factor of two.
inline constexpr double kStreamLengthWeight = 0.05;
/// Number of samples as which the service's mean counts beside an engine's own
/// samples.
inline constexpr double kPacePriorSamples = 5;
/// Upper bound on the sample count of one engine, because its pace may change.
inline constexpr double kMaxPaceSamples = 30;

// --- Endpoint health (endpoints.h) ---

/// Weight of the newest answer in the failure rate and in the drift. The five
/// newest answers make up two thirds of the average.
inline constexpr double kNewestAnswerWeight = 0.2;
/// Half-life of the failure rate, so that an endpoint that gets no requests
/// because of its failures is tried again.
inline constexpr milliseconds kFailureHalfLife{2000};
/// Half-life of the drift while no first byte comes, so that an endpoint that
/// gets no requests since it was late is tried again. An endpoint in use
/// answers many times within it, which leaves its drift nearly as measured.
inline constexpr milliseconds kDriftHalfLife{5000};
/// Smaller drift counts as none: any cost at all keeps requests away beside an
/// endpoint without costs, and waits are measured in milliseconds.
inline constexpr milliseconds kMinDrift{1};
/// Backoff after an endpoint refused a connection. It doubles with each
/// consecutive refusal.
inline constexpr milliseconds kInitialConnectBackoff{150};
/// Upper bound of that backoff. An endpoint that comes back announces itself.
inline constexpr milliseconds kMaxConnectBackoff{2000};
/// Pause after an endpoint reported that it is full, approximately.
inline constexpr milliseconds kFullPause{60};
/// An unanswered request counts as overdue after this multiple of its expected
/// wait, but not before `kMinSilence`.
inline constexpr double kSilenceFactor = 2;
/// Shortest wait after which an unanswered request counts as overdue.
inline constexpr milliseconds kMinSilence{400};

/// Work that may run at most once goes over an open connection only if bytes
/// arrived from the endpoint within this time. A host that lost power neither
/// answers nor resets connections: a request sent there is lost, while a new
/// connection fails before anything is sent. The time is longer than an engine
/// is silent while it prefills a prompt.
inline constexpr milliseconds kRecentlyHeardWindow{300};

// --- Sharing an endpoint among nodes (shared_rate.h) ---

/// Upper bound of one node's requests in flight as a multiple of its even share
/// of the slots, so that uneven traffic finds room and all nodes together don't
/// overload an endpoint.
inline constexpr double kSlotOvercommitFactor = 2.0;
/// Lower bound of that limit.
inline constexpr std::uint32_t kMinSlotsPerNode = 2;
/// Upper bound on the nodes that send to one cold endpoint, chosen by
/// rendezvous hashing. With more, each node's part of the rate would fall below
/// one request in a second or two, and their first requests together would
/// already exceed it.
inline constexpr std::size_t kMaxColdSenders = 8;
/// Part of a shared rate that is used. The nodes' views differ for a moment,
/// and a request may arrive later than it was counted.
inline constexpr double kUsableRateRatio = 0.8;
/// Number of nodes that share an advertised limit: this many, plus
/// `kLimitSendersPerRate` for each request a second. Each of them may send one
/// request too early, and an endpoint that advertises a limit has little room
/// beyond it.
inline constexpr double kBaseLimitSenders = 3;
/// Additional senders for each request a second of an advertised limit.
inline constexpr double kLimitSendersPerRate = 2;
/// How long an advertised limit counts as confirmed. After that all nodes probe
/// in turn whether it still holds.
inline constexpr std::chrono::seconds kLimitFreshTime{10};
/// Part of the limit that the probes use, beside the senders' requests.
inline constexpr double kLimitProbeRatio = 0.1;
/// Limits sent in one exchange, about 40 bytes each.
inline constexpr std::size_t kMaxLimitsPerExchange = 16;
/// Lower bound of a limit, in requests a second. An endpoint that accepts
/// nothing still gets this many, so that the end of its limit is noticed within
/// seconds.
inline constexpr double kMinLimitPerSecond = 0.5;
/// Upper bound of a limit, in requests a second.
inline constexpr double kMaxLimitPerSecond = 1e6;
/// A limit that changes by more than this part of it is logged.
inline constexpr double kMinLoggedLimitChangeRatio = 0.2;
/// Number of nodes assumed while this node knows too little about its fleet.
inline constexpr std::size_t kDefaultFleetSize = 12;
/// How long the largest known fleet size is kept before a smaller one is
/// believed. In a network partition the other nodes still send.
inline constexpr std::chrono::seconds kFleetSizeRetention{60};
/// The same for the retry slack. Regions may lose each other for an hour.
inline constexpr std::chrono::hours kRetryFleetRetention{2};

// --- Endpoint registration (endpoints.h) ---

/// How long an endpoint stays usable after its entry was removed around an
/// outage of the platform's store, when leases expired because nobody could
/// renew them. Two seconds after the entry is gone nothing may be sent to the
/// endpoint, and a removal is noticed and acted on up to 0.2 s late.
inline constexpr milliseconds kLapseGrace{1800};
/// How long operators may take to write again what a restored store has lost.
inline constexpr milliseconds kRestoredZoneDelay{2500};
/// How long after its end an outage of the store counts as recent.
inline constexpr milliseconds kRecentOutageWindow{2000};

// --- Notices of endpoints (endpoint_notices.h) ---

/// Upper bound of the time for which an endpoint can ask for no requests. A
/// longer one is taken as this.
inline constexpr std::chrono::hours kMaxEndpointBackoff{24};
/// Removed endpoints that are remembered, about 300 bytes each.
inline constexpr std::size_t kMaxRememberedEndpoints = 1024;
/// A backoff that ends later than known before by more than this is logged.
inline constexpr milliseconds kMinLoggedBackoffChange{500};

// --- Retries (retry_budget.h) ---

/// Number of buckets of the window over which retries are counted.
inline constexpr std::size_t kRetryBuckets = 20;
/// Part of the retry allowance that is used. A node sees only its own part, and
/// traffic is uneven.
inline constexpr double kUsableRetryRatio = 0.8;
/// Age from which a process has a part of the fixed allowance, as a multiple of
/// the window. The part beyond 1 is the time until all nodes know a new one.
inline constexpr double kRetrySlackDelayRatio = 1.25;

// --- Links to a service (service_reach.h) ---

/// Endpoints at which attempts must fail in a row before the service counts as
/// lost. With fewer, two endpoints that crash together would look like it.
inline constexpr std::size_t kMinUnansweringEndpoints = 3;
/// Failures in a row after which two endpoints suffice: sessions prefer few
/// endpoints, and may not try a third one.
inline constexpr std::uint32_t kManyUnanswered = 6;
/// An attempt that is overdue and has had no answer for this long counts as a
/// failure while it still waits. An endpoint may fall silent for a second.
inline constexpr milliseconds kMinServiceSilence{1200};
/// Interval at which a request probes a lost service. The request may lose a
/// connect timeout.
inline constexpr milliseconds kReachProbeInterval{500};
/// How long a probe waits for a repeatable request. Connections may be accepted
/// and silent, and other requests would be lost.
inline constexpr milliseconds kRepeatableProbeTime{3000};
/// Upper bound of that interval for a service that is lost again and again.
inline constexpr milliseconds kMaxReachProbeInterval{4000};
/// A lost service for which no request has come for this long returns. The node
/// is not listed to callers meanwhile, and without a request it would never be.
inline constexpr milliseconds kMaxUnwantedTime{2000};
/// A request with less time left doesn't probe: after a connect timeout it has
/// to be answered elsewhere.
inline constexpr milliseconds kMinProbeTimeLeft{1200};
/// Requests in flight right after the service returned. Each answer doubles
/// them.
inline constexpr std::uint32_t kInitialReturningInFlight = 2;
/// Requests in flight beyond which the service counts as reached again.
inline constexpr std::uint32_t kMaxReturningInFlight = 32;

/// Services with a bit in a heartbeat (members.h): as many as fit into its
/// unused bytes.
inline constexpr std::size_t kMaxServiceBits = 16;

// --- Handovers between nodes (handover.h) ---

/// Peers drawn at random as candidates for a handover.
inline constexpr std::size_t kHandoverCandidates = 2;
/// Handovers in progress at a peer that weigh as much as another availability
/// zone: the zone's bytes cost more, but a few nodes must not carry all of it.
inline constexpr std::uint32_t kOtherZoneHandovers = 8;
/// How long a peer that declined a handover gets none for the same service.
/// Gossip tells meanwhile whether it reaches the service.
inline constexpr milliseconds kDeclinedPause{1000};
/// Peers that one request tries.
inline constexpr std::size_t kMaxHandoverPeers = 3;
/// Connections in a row that fail before the request is handed over. Each of
/// them may take a whole connect timeout.
inline constexpr std::uint32_t kMaxNotSentBeforeHandover = 2;
/// Handed over requests that a node serves at the same time.
inline constexpr std::size_t kMaxHandoversServed = 500;

// --- Rules that were replaced (rules_history.h) ---

/// How long rules are remembered: the longest time that a request which they
/// accepted is in progress.
inline constexpr milliseconds kRetiredRulesRetention{30'000};
/// Rules that are remembered. A table of 240 accounts takes some 100 KB.
inline constexpr std::size_t kMaxRetiredRules = 16;

// --- Versions of streams (stream_records.h) ---

/// How long after its first event a stream may be taken up: its route's
/// timeout, and the time in which its caller returns.
inline constexpr milliseconds kStreamRetention{30'000};
/// How much longer than a caller's deadline says a stream may have run.
inline constexpr milliseconds kMaxDeadlineError{1000};
/// Longest time from the start of an endpoint of a release until the last
/// stream begins at the one that it replaces.
inline constexpr milliseconds kMaxReplacementTime{10'000};
/// Longest time by which the times of day of two machines differ, jumps of
/// seconds included.
inline constexpr milliseconds kMaxClockDifference{10'000};
/// Longest time without an answer of a peer after which a node counts as
/// knowing all that peers tell. Longer than `kMaxTouchGap`: all others may
/// start again meanwhile, and then this node alone knows of the time before.
inline constexpr milliseconds kMaxKnowledgeGap{3000};
/// Longest time from the write of an endpoint's entry until it is known here,
/// in ordinary times. An entry that comes sooner after a lost connection may
/// have been written by the process that ended.
inline constexpr milliseconds kMaxEntryDelay{500};
/// Streams that a node remembers in the newer half of its records, 32 bytes
/// each. Within a minute, a node of a small fleet begins some 6,000, and three
/// times as many are written to it.
inline constexpr std::size_t kMaxNewerStreams = 16'384;
/// Steps in doubt that a node remembers in the newer half, some 100 bytes each.
/// Streams rarely break off at one.
inline constexpr std::size_t kMaxNewerDoubts = 1024;
/// The longest id of an endpoint that is remembered with one. Peers are not
/// trusted to keep to the bound of an entry's id.
inline constexpr std::size_t kMaxDoubtSourceBytes = 256;
/// Nodes to which the version of a stream is written. Each of them may be lost
/// with its zone, or with the node that began the stream.
inline constexpr std::size_t kStreamHomesInSmallFleet = 3;
/// The same in a large fleet, where nearly each stream takes a message of its
/// own, and few nodes are lost at once.
inline constexpr std::size_t kStreamHomes = 2;
/// Nodes that are asked for a stream's version. They are more than its homes,
/// since nodes differ in which ones are live.
inline constexpr std::size_t kStreamHomesToAsk = 4;
/// Nodes that are asked besides if all of those have started of late.
inline constexpr std::size_t kWitnessesToAsk = 2;

/// Parts of prompts of which a node remembers who keeps them, in the newer
/// half, 32 bytes each. An engine keeps some hundreds, and each is written to
/// the homes of a stream.
inline constexpr std::size_t kMaxNewerParts = 32'768;
/// After its start, a node may learn for this long at which versions streams
/// began: it meets its peers, and endpoints are asked what they keep.
inline constexpr milliseconds kLearningTime{3000};
/// Time from a node's start until it asks endpoints what they keep. Nodes that
/// start together have met by then, and share the endpoints.
inline constexpr milliseconds kMinAgeToAskEndpoints{400};
/// The same for a node that no peer answers.
inline constexpr milliseconds kMinAgeToAskAlone{1000};

// --- Admission (admission.h) ---

/// Requests that may wait at a node. Beyond it the least urgent are rejected.
/// Their bodies also count against the node's memory limit.
inline constexpr std::size_t kMaxWaitingRequests = 1000;
/// Part of its target time that a request waits for a free endpoint before it
/// is rejected, so that its caller still has time to retry at another node.
inline constexpr double kMaxWaitRatio = 0.5;
/// Lower bound of that wait.
inline constexpr milliseconds kMinWait{50};
/// Lower bound of that wait for work that was sent before. All nodes notice the
/// crash of an endpoint within a second.
inline constexpr milliseconds kMinResentWait{1000};
/// Part of the remaining time within which the first event must be expected.
/// Otherwise the request is rejected at once.
inline constexpr double kMaxExpectedWaitRatio = 0.7;

/// Part of its caller's deadline that a request waits at a node without rules.
/// Its target time isn't known before the rules are, and a longer wait would
/// mostly end after it.
inline constexpr double kRulesWaitRatio = 0.125;
/// Upper bound of that wait.
inline constexpr milliseconds kMaxRulesWait{2000};
/// Requests that may wait for the rules.
inline constexpr std::size_t kMaxRequestsWithoutRules = kMaxWaitingRequests;
/// Lower bound of the delay after which a caller returns to a node without
/// rules.
inline constexpr milliseconds kMinNotReadyRetryDelay{200};
/// Upper bound of that delay. After a longer one most callers would have no
/// time left.
inline constexpr milliseconds kMaxNotReadyRetryDelay{1500};

// --- Admission while stopping (stop_admission.h) ---

/// Duration of a long answer that isn't a stream, as a multiple of the mean at
/// its endpoint. One in twenty takes longer if durations are spread evenly on a
/// logarithmic scale over a factor of ten.
inline constexpr double kLongAnswerFactor = 3;

// --- Load that peers report (endpoints.h) ---

/// How long load that peers reported is used.
inline constexpr milliseconds kPeerLoadRetention{2000};

// --- Fetching changes from peers (feed_fetch.h) ---

/// Peers with changes that are remembered per feed.
inline constexpr std::size_t kMaxOffers = 8;
/// Time after which a peer that was asked for changes and hasn't sent them is
/// given up for another one.
inline constexpr milliseconds kFetchTimeout{700};
/// Time before a peer that timed out or whose connection broke is asked again.
inline constexpr milliseconds kFetchTimeoutBackoff{1000};
/// Time before a busy peer is asked again. It is enough to send a large change
/// over a slow link.
inline constexpr milliseconds kFetchBusyBackoff{60};
/// Changes up to this many bytes are sent to every peer that asks, because
/// telling it to ask another peer costs about as much.
inline constexpr std::size_t kSmallChangesBytes = 4096;
/// Larger changes are refused while this many bytes for other peers are unsent,
/// which is a few tens of milliseconds of a slow link.
inline constexpr std::size_t kMaxPeerBacklogBytes = std::size_t{48} << 10U;

}  // namespace egretladder::routing
