// Limits and timeouts of the proxy that are not settings.
#pragma once

#include <chrono>
#include <cstddef>
#include <cstdint>

namespace egretladder::proxy {

using std::chrono::milliseconds;

// --- The platform's store ---

/// How long a watch asks the store to wait for changes. A connection may fall
/// silent without a reset. The node's data is then stale without its knowledge
/// for up to this time plus `kWatchTimeoutMargin`. A shorter wait costs more
/// calls, and the platform counts calls.
inline constexpr milliseconds kWatchTimeout{5000};
/// The same wait of an eager reader. With `kWatchTimeoutMargin`, and a second
/// in which peers hear of it, all nodes know of a change 5 s after the answers
/// that told of it were lost.
inline constexpr milliseconds kEagerWatchTimeout{2500};
/// The wait for changes after a failed call. It is short because a change made
/// during an outage must be in force within seconds of the store's return.
inline constexpr milliseconds kWatchRetryTimeout{400};
/// How long after the requested wait a watch without an answer counts as lost.
inline constexpr milliseconds kWatchTimeoutMargin{800};
/// Longest delay before the store is read anew after it was restored. All
/// readers notice it at the same time.
inline constexpr milliseconds kMaxNewEraDelay{50};
/// A list that is wanted sooner after another one waits for a backoff.
inline constexpr milliseconds kMinListInterval{1000};
/// How long after news of a peer that doesn't know eras a node reads the store
/// itself. During an upgrade all readers may be such peers.
inline constexpr milliseconds kPeerWithoutEraTime{10'000};
/// Odd items of the store are logged this often at most, since their writer may
/// repeat them.
inline constexpr milliseconds kOddItemsLogInterval{10'000};
/// Delay between a watch that returned changes and the next one. Changes often
/// come in groups, and the next watch returns those made during the delay
/// together.
inline constexpr milliseconds kWatchBatchDelay{100};
/// A watch counts as lost when a peer sent changes this long ago that the watch
/// has not returned.
inline constexpr milliseconds kLostWatchTimeout{1000};
/// How long a starting node waits for data from its peers before it reads the
/// store.
inline constexpr milliseconds kInitialStoreReadDelay{150};
/// The same delay for a node that is not a seed while the whole fleet starts
/// for the first time. There are no callers yet, and seeds read the store at
/// once.
inline constexpr milliseconds kNewFleetStoreReadDelay{2000};
/// How long a node that reads the store for the first time waits for the
/// store's answer before it fetches the same data from a peer.
inline constexpr milliseconds kInitialPeerFetchDelay{300};
/// Timeout for reading one page of a list.
inline constexpr milliseconds kListTimeout{2000};
/// Delay after the first failed call. It doubles with each further failure, and
/// is randomized by up to half of it in either direction.
inline constexpr milliseconds kInitialStoreBackoff{100};
/// Maximum delay after a failed call. Several nodes retry independently and
/// share what they read, so that together they notice the store's return well
/// within a second.
inline constexpr milliseconds kMaxStoreBackoff{1600};

// --- Calls ---

/// How long after a call's deadline the node still waits for the endpoint's own
/// final answer.
inline constexpr milliseconds kDeadlineMargin{30};
/// Interval between two attempts to dispatch the calls that wait for an
/// endpoint.
inline constexpr milliseconds kQueuePollInterval{10};
/// An endpoint that sends nothing is abandoned for another one after the
/// expected time to the first event times this factor, but not before the
/// route's target time. A shorter timeout would abandon endpoints that merely
/// have a queue, and the retries would double the load.
inline constexpr double kFirstEventTimeoutFactor = 2.5;
/// For generations with short prompts, the timeout is at least this part of the
/// target time instead of all of it. The rest of the target time is for the
/// other endpoint, which would certainly be late after the whole target time.
/// Long prompts wait the whole target time, since a second engine has to
/// prefill them again.
inline constexpr double kShortPromptTargetRatio = 0.5;
/// A stream moves to another endpoint after a pause of the route's gap target
/// times this factor, but not before `kMinStallTimeout`.
inline constexpr double kStallTimeoutFactor = 4;
/// Minimum pause after which a stream moves to another endpoint.
inline constexpr milliseconds kMinStallTimeout{1000};
/// Maximum size of an answer that is buffered completely before it is
/// forwarded.
inline constexpr std::size_t kMaxBufferedAnswerBytes = std::size_t{8} << 20U;
/// Buffered bytes of all answers, as a part of the node's memory limit. Beyond
/// it the largest one is given up: an answer without end is that soon.
inline constexpr double kAnswerMemoryRatio = 0.2;
/// Largest event of a stream, with the comments before it. A longer one has no
/// end.
inline constexpr std::size_t kMaxEventBytes = std::size_t{256} << 10U;
/// When a caller has more unread output than this, the node stops reading from
/// the endpoint.
inline constexpr std::size_t kMaxCallerBacklogBytes = std::size_t{256} << 10U;
/// A smaller answer that comes in needn't make room for what callers leave.
inline constexpr std::size_t kMinYieldingBytes = std::size_t{64} << 10U;
/// Maximum memory of the requests of all calls in progress, as a part of the
/// node's memory limit. The rest is for answers, connections and the program
/// itself.
inline constexpr double kRequestMemoryRatio = 0.3;
/// The same for a request of at most `kSmallRequestBytes`, which still finds
/// room where large ones take all of theirs.
inline constexpr double kSmallRequestMemoryRatio = 0.35;
inline constexpr std::size_t kSmallRequestBytes = std::size_t{32} << 10U;
/// How much earlier than this node's deadline a request ends at the peer to
/// which it is handed over. Otherwise this node would give up a moment before
/// the peer's answer, and would not know whether the request ran.
inline constexpr milliseconds kHandoverReserve{40};
/// Size of the fields that nodes add to a request that is handed over.
inline constexpr std::size_t kMaxHandoverFieldBytes = 2048;

// --- The node ---

/// Some callers keep the list of addresses for this multiple of the time that
/// the directory states.
inline constexpr int kDirectoryTtlFactor = 3;
/// How long a stopping node waits for the callers' last requests to arrive
/// after no caller should have its address any more.
inline constexpr milliseconds kStopSettlePeriod{200};
/// How long before the end of the grace period a stopping node ends the
/// requests in progress. Their final answers need this time to reach callers.
inline constexpr milliseconds kStopCutMargin{700};
/// How long before the end of the grace period the process exits. The margin
/// keeps a process whose loop is late from being killed first.
inline constexpr milliseconds kStopExitMargin{200};
/// How long a process that ended its calls too late still runs to deliver their
/// final answers.
inline constexpr milliseconds kLastAnswersTimeout{50};
/// Retry delay for callers that a stopping node sends to another node.
inline constexpr milliseconds kLeavingRetryDelay{20};
/// How long a request waits for peers that may know at which software version
/// its stream began.
inline constexpr milliseconds kVersionLookupTimeout{300};
/// How long the store may take to tell its latest news, for decisions that need
/// them. It answers in milliseconds unless it is in trouble, and then peers are
/// asked, of whom one may read it. Less than half of `kVersionLookupTimeout`,
/// as a peer may have to wait for the end of a read before it begins one.
inline constexpr milliseconds kCatchUpTimeout{100};
/// How long the store isn't asked again after it has not answered in that time.
inline constexpr milliseconds kCatchUpRetryDelay{500};
/// Shortest time between the begins of two such reads of a node.
inline constexpr milliseconds kMinCatchUpInterval{20};
/// The same time for each node of the fleet: all nodes together read at most a
/// thousand times a second, half of what the store of a small platform serves.
inline constexpr milliseconds kCatchUpIntervalPerNode{1};
/// Retry delay for callers whose stream nobody knows. A peer that was cut off
/// or silent may know it.
inline constexpr milliseconds kUnknownStreamRetryDelay{200};
/// How long an attempt waits for the endpoint to say which process it is.
inline constexpr milliseconds kProcessCheckTimeout{300};
/// How long an answer that its connection ended waits for the endpoint to say
/// that its process has lived on, if the request can't be sent again. Callers
/// give up on a stream after a pause of two seconds.
inline constexpr milliseconds kEndQuestionTimeout{1500};
/// Questions of one call to an endpoint that doesn't say that its process wrote
/// its entry.
inline constexpr std::size_t kMaxProcessChecks = 2;
/// Interval between two questions to an endpoint whose process has begun
/// streams without being known.
inline constexpr milliseconds kBeginPollInterval{300};
/// Such streams of one node whose processes are asked for. Further ones stay in
/// doubt.
inline constexpr std::size_t kMaxDoubtedBegins = 1024;
/// How long a request waits, from its arrival, for what nodes that have just
/// started may learn about its stream. Callers give up after two seconds.
inline constexpr milliseconds kUnknownStreamPatience{1000};
/// Interval between two questions for the stream of such a request.
inline constexpr milliseconds kUnknownStreamPollInterval{100};
/// How long an endpoint may take to list the parts of prompts that it keeps.
inline constexpr milliseconds kKeptPartsTimeout{1000};
/// Pause after a question for that list that brought no answer.
inline constexpr milliseconds kKeptPartsRetryDelay{1000};
/// A longer list isn't read; an entry takes some 40 bytes.
inline constexpr std::size_t kMaxKeptPartsBytes = std::size_t{1} << 20U;
/// Endpoints that are asked for their lists at the same time.
inline constexpr std::size_t kMaxKeptPartsReads = 16;
/// Records in one message to a peer.
inline constexpr std::size_t kMaxRecordsInMessage = 4096;
/// How long an endpoint may take to say which process gave a notice. Longer
/// than for an attempt, as no caller waits for it.
inline constexpr milliseconds kNoticeCheckTimeout{2000};
/// Endpoints that are asked for that at the same time; further notices end with
/// the next process that is published.
inline constexpr std::size_t kMaxNoticeChecks = 64;
/// How long an endpoint may take to say that its process lives on after a
/// connection to it broke. No caller waits for it.
inline constexpr milliseconds kBreakQuestionTimeout{1000};
/// Time after such an answer until the endpoint is asked once more, since its
/// process may have been about to end. Later than peers may take the break for
/// an excused one, and early enough for `routing::kMaxLateCrash`.
inline constexpr milliseconds kSecondBreakQuestionDelay{700};
/// Endpoints that are asked for that at the same time; further breaks count.
inline constexpr std::size_t kMaxBreakQuestions = 64;
/// A longer report of an endpoint isn't read.
inline constexpr std::size_t kMaxReportBytes = std::size_t{64} << 10U;
/// Interval of the housekeeping tick, which also detects pauses of the process.
inline constexpr milliseconds kTickInterval{100};
/// Minimum time between two ticks that means that the process was paused.
inline constexpr milliseconds kMinProcessPause{700};

// --- Metrics ---

/// Maximum number of classes with histograms of their own. Each has four
/// histograms of about 200 bytes; all other classes share one set.
inline constexpr std::size_t kMaxMeasuredClasses = 256;
/// Maximum number of series of ended calls by class, account, outcome and
/// reason. A series takes about 300 bytes; 240 accounts with 5 classes and 3
/// outcomes need 3,600 series.
inline constexpr std::size_t kMaxCallSeries = 4096;
/// Label of the class that counts all classes beyond these limits.
inline constexpr const char* kOtherClass = "other";

// --- Peers ---

/// A connection to a peer is closed when a request on it has been unanswered
/// for this long.
inline constexpr milliseconds kExchangeTimeout{1000};
/// A connection that fails within this time after it was opened, without any
/// answer, was refused: no process listens at the address.
inline constexpr milliseconds kMaxRefusalTime{250};
/// A connection to a peer is closed after this long without a request.
inline constexpr std::chrono::seconds kPeerIdleTimeout{30};
/// Maximum number of connections that peers may open to this node. Each node of
/// the fleet opens one or two.
inline constexpr std::size_t kMaxPeerConnections = 512;
/// Maximum size of one message between nodes, in words of eight bytes. It holds
/// the largest value of the store and the lists that come with it.
inline constexpr std::uint64_t kMaxMessageWords = std::uint64_t{1} << 20U;

// --- Ids of events ---

/// How long a node that has seen too few ids believes its peers.
inline constexpr milliseconds kPeerIdsTime{30'000};

// --- Spare connections to endpoints ---

/// A doubted end of a stream waits for another endpoint's word for so many
/// times the time in which a first event is due.
inline constexpr int kDoubtPatienceFactor = 2;
/// Runs without an event behind a doubted end after which it counts as whole.
inline constexpr std::uint32_t kEmptyRunsToBelieve = 2;

/// How often an endpoint is asked on a spare connection that is in use, so that
/// it isn't closed as idle.
inline constexpr milliseconds kSpareRefreshInterval{1000};
/// How long an endpoint may keep silent on an open spare connection before that
/// counts as lost. One that stands still for a while goes on.
inline constexpr milliseconds kSpareSilenceTime{10'000};
/// How long a spare connection is kept that no answer needs.
inline constexpr milliseconds kSpareIdleTime{30'000};
/// How long an endpoint that keeps no connection open isn't asked for another
/// one.
inline constexpr milliseconds kSpareRetryTime{10'000};

}  // namespace egretladder::proxy
