// Limits of the gateway that are not settings, and the default values of its
// settings.
#pragma once

#include <chrono>
#include <cstddef>
#include <cstdint>

#include "egretladder/node/limits.h"

namespace egretladder::gateway {

// Default values of settings.

/// Maximum size of the header fields of one request, in bytes.
inline constexpr std::size_t kHeaderBytes = std::size_t{16} << 10U;
/// Maximum size of the body of one request, in bytes.
inline constexpr std::size_t kBodyBytes = std::size_t{4} << 20U;
/// Maximum number of open connections of callers.
inline constexpr std::size_t kConnections = 4096;
/// Timeout for reading one request, and for the next one on a connection.
inline constexpr std::chrono::seconds kRequestTime{30};
/// Time from sending a request to an endpoint to the first byte of its answer.
inline constexpr std::chrono::seconds kAnswerTime{120};
/// Longest time between two bytes of an endpoint's answer.
inline constexpr std::chrono::seconds kIdleTime{30};
/// Time after which a caller that reads nothing is disconnected.
inline constexpr std::chrono::seconds kDrainTime{30};
/// Time that calls in progress have after a graceful stop began.
inline constexpr std::chrono::seconds kStopTime{300};
/// Part of that time, at its end or after a second signal, in which the answers
/// of calls that were ended reach their callers.
inline constexpr std::chrono::milliseconds kStopMargin{700};
/// How long callers keep the answer to `/where`. If a node exited earlier, they
/// would connect to a closed port, and retries with a key of its lanes would
/// get "unknown" although the node had their answers. A longer time has no
/// benefit.
inline constexpr std::chrono::milliseconds kLinger = node::kWhereAnswerTtl;
/// When a caller has more unread output than this, its endpoint isn't read.
inline constexpr std::size_t kCallerBuffer = std::size_t{64} << 10U;
/// Maximum total size of the bodies of all calls without an answer so far.
inline constexpr std::size_t kBodiesBytes = std::size_t{128} << 20U;
/// Largest answer that is buffered completely.
inline constexpr std::size_t kAnswerBytes = std::size_t{1} << 20U;

/// Retry delay for a caller whose body found no room.
inline constexpr std::chrono::milliseconds kNoRoomRetryAfter{1000};

/// Part of the memory for request bodies that each tier below the top leaves
/// free. Without it, a batch of long bodies would take all of the memory, and a
/// short question of a higher tier would be rejected. The part holds a few
/// thousand questions of some KiB.
inline constexpr double kBodiesPerTier = 0.1;

/// Length of the listen backlog. A burst of new callers fills evhttp's default
/// of 128 within one iteration of the loop; the others then wait a second until
/// their SYN is sent again (docs/BENCHMARKS.md, "One node").
inline constexpr int kBacklog = 4096;

/// Maximum unread input on one connection to an endpoint. A complete chunk must
/// fit, because evhttp only delivers complete chunks.
inline constexpr std::size_t kEndpointBuffer = std::size_t{1} << 20U;

/// Timeout for connecting to an endpoint. Endpoints are one or two network hops
/// away, so one that takes longer is down or unreachable.
inline constexpr std::chrono::milliseconds kConnectTime{1000};
/// Delay between a broken connection and the probe whether the endpoint still
/// listens. A process that dies may close its connections before its listener.
/// If it were probed at once, its death would look like one bad connection, and
/// the request that caused it would be sent to the next endpoint without being
/// blamed (`scripts/check_processes poison`).
inline constexpr std::chrono::milliseconds kDeathPause{20};
/// Maximum number of idle connections kept for reuse, per address.
inline constexpr std::size_t kIdleConnections = 256;
/// How long an idle connection is kept.
inline constexpr std::chrono::seconds kKeepAlive{20};

/// Interval between two checks for exchanges and callers that timed out.
inline constexpr std::chrono::milliseconds kSweep{100};

/// Bytes of the messages that count as the first part of a prompt.
inline constexpr std::size_t kPrefixBytes = 1024;
/// Characters per token, for estimates before the engine's own count is known.
inline constexpr std::size_t kCharactersPerToken = 4;

/// Timeout for reading a document of the platform.
inline constexpr std::chrono::milliseconds kPlatformTime{5000};
/// Timeout for an endpoint's report or its answer to an order.
inline constexpr std::chrono::milliseconds kReportTime{1000};
/// How long the platform may wait before it answers a watch without changes.
inline constexpr std::chrono::milliseconds kWatchTime{20000};
/// Maximum size of a document or report. A larger one counts as not read.
inline constexpr std::size_t kDocumentBytes = std::size_t{2} << 20U;

/// Maximum size of the unanswered messages to one peer. One rules document must
/// fit. Messages that don't fit are dropped, because their content is sent
/// again periodically.
inline constexpr std::size_t kPeerBytes = std::size_t{3} << 20U;
/// Maximum number of unanswered messages to one peer.
inline constexpr std::uint32_t kPeerMessages = 64;
/// Maximum number of connections that peers may open to this node.
inline constexpr std::size_t kPeersIn = 1024;
/// Maximum number of connections that this node opens to peers.
inline constexpr std::size_t kPeersOut = 512;
/// Time without an answer after which the connection to a peer is replaced.
inline constexpr std::chrono::milliseconds kPeerSilence{5000};
/// Time without a message after which the connection to a peer is closed.
inline constexpr std::chrono::seconds kPeerIdle{30};
/// Backoff before a broken connection to a peer is retried. It doubles with
/// each further failure.
inline constexpr std::chrono::milliseconds kBackoffFirst{100};
/// Maximum backoff.
inline constexpr std::chrono::milliseconds kBackoffMost{5000};
/// Maximum number of entries in one list of a peer's message. The longest lists
/// have an entry for each endpoint or member, 790 and 390 in the two-year plan.
inline constexpr unsigned kPeerListMost = 2048;
/// Longest duration in a peer's message. All content of messages expires within
/// minutes.
inline constexpr std::chrono::hours kPeerSpanMost{24 * 7};
/// Maximum size of one message of a peer, in words of eight bytes.
inline constexpr std::uint64_t kPeerMessageWords = std::uint64_t{1} << 18U;

}  // namespace egretladder::gateway
