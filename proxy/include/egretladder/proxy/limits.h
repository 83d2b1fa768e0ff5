// Limits of the proxy that are not settings: unit, and where each comes from.
#pragma once

#include <chrono>
#include <cstddef>
#include <cstdint>

namespace egretladder::proxy {

using std::chrono::milliseconds;

// --- The platform's store ---

/// How long a watch may wait for changes. A connection may fall silent without
/// a reset: what the node knows is then older than it thinks by this and
/// `kWatchMargin` at most. Shorter costs calls, which are counted.
inline constexpr milliseconds kWatchTimeout{5000};
/// The same after a failed call. A change that came meanwhile has to be in
/// force within seconds of the store's return.
inline constexpr milliseconds kWatchRetryTimeout{400};
/// Beyond either, before the watch counts as lost.
inline constexpr milliseconds kWatchTimeoutMargin{800};
/// After a watch that told of changes, before the next: more changes may come
/// with it.
inline constexpr milliseconds kWatchBatchDelay{100};
/// A watch that hasn't told this long what peers know is lost.
inline constexpr milliseconds kLostWatchTimeout{1000};
/// A node that starts leaves its peers this long to tell what is published
/// before it reads the store.
inline constexpr milliseconds kInitialStoreReadDelay{150};
/// The same while the whole fleet starts for the first time, with no callers
/// yet; nodes that are seeds read at once.
inline constexpr milliseconds kNewFleetStoreReadDelay{2000};
/// A node that reads the store for the first time leaves it this long to answer
/// before it asks a peer for the same.
inline constexpr milliseconds kInitialPeerFetchDelay{300};
/// For a read of one page.
inline constexpr milliseconds kListTimeout{2000};
/// Wait after a failed call; doubles, jittered by half.
inline constexpr milliseconds kInitialStoreBackoff{100};
/// Longest such wait. Several nodes try, each at its own moment, and what one
/// of them reads reaches the others: together they notice the store's return
/// well within a second.
inline constexpr milliseconds kMaxStoreBackoff{1600};

// --- Calls ---

/// Beyond a call's deadline, for the endpoint's own last word to arrive.
inline constexpr milliseconds kDeadlineMargin{30};
/// Between two looks at the requests that wait for an endpoint.
inline constexpr milliseconds kQueuePollInterval{10};
/// A silent endpoint is left for another one after this times the expected time
/// to a first event, and the promised time at least: earlier, a mere queue
/// would double the load.
inline constexpr double kFirstEventTimeoutFactor = 2.5;
/// For generations with short prompts, this part of the promised time: what is
/// left is for the other endpoint, which is late for certain if the whole time
/// is waited. Long prompts wait the whole time, since the second engine reads
/// them anew.
inline constexpr double kShortPromptTargetRatio = 0.5;
/// A stream that pauses for this times the longest pause in time, and
/// `kStallLeast` at least, goes on elsewhere.
inline constexpr double kStallTimeoutFactor = 4;
/// As above.
inline constexpr milliseconds kMinStallTimeout{1000};
/// Largest answer that is held whole, in bytes.
inline constexpr std::size_t kMaxBufferedAnswerBytes = std::size_t{8} << 20U;
/// Unread output of one caller above which its endpoint is not read.
inline constexpr std::size_t kMaxCallerBacklogBytes = std::size_t{256} << 10U;
/// Bodies of all calls in progress, as part of the memory that the node may
/// use. The rest is for answers, connections and the program itself.
inline constexpr double kBodyMemoryRatio = 0.3;
/// Descriptors kept from callers, for endpoints, peers and files.
inline constexpr std::size_t kReservedDescriptors = 1200;

// --- The node ---

/// Times as long as told that some callers keep the list of addresses.
inline constexpr int kDirectoryTtlFactor = 3;
/// After that, for what callers sent last to arrive at a node that stops.
inline constexpr milliseconds kStopSettlePeriod{200};
/// Before the end of the grace time, when requests in progress are ended and
/// told so. Their answers need time to reach callers.
inline constexpr milliseconds kStopCutMargin{700};
/// Before the end of the grace time, when the process ends itself. A loop that
/// is late must not be killed first.
inline constexpr milliseconds kStopExitMargin{200};
/// For the last answers of a process that was too late to end its calls in
/// time.
inline constexpr milliseconds kLastAnswersTimeout{50};
/// When a caller should come back that is sent to another node.
inline constexpr milliseconds kLeavingRetryDelay{20};
/// Housekeeping, and how a pause of the process is noticed.
inline constexpr milliseconds kTickInterval{100};
/// Longer between two ticks: the process was paused.
inline constexpr milliseconds kMinProcessPause{700};

// --- Metrics ---

/// Classes with times of their own, each in four histograms of about 200
/// bytes; the others share one.
inline constexpr std::size_t kMaxMeasuredClasses = 256;
/// Series of ended calls, by class, account, outcome and reason; about 300
/// bytes each. 240 accounts with 5 classes and 3 outcomes take 3,600.
inline constexpr std::size_t kMaxCallSeries = 4096;
/// Class under which the rest is counted.
inline constexpr const char* kOtherClass = "other";

// --- Peers ---

/// An exchange unanswered for this long ends its connection.
inline constexpr milliseconds kExchangeTimeout{1000};
/// A connection that ends this soon after it began was refused: nothing listens
/// there.
inline constexpr milliseconds kMaxRefusalTime{250};
/// A connection to a peer without an exchange for this long is closed.
inline constexpr std::chrono::seconds kPeerIdleTimeout{30};
/// Connections that peers may hold open here; each of the fleet's nodes holds
/// one or two.
inline constexpr std::size_t kMaxPeerConnections = 512;
/// Size of one message, in words of eight bytes: the store's largest value and
/// the lists beside it.
inline constexpr std::uint64_t kMaxMessageWords = std::uint64_t{1} << 20U;

}  // namespace egretladder::proxy
