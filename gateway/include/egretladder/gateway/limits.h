// Limits of the gateway that are not settings, and the standard values of those
// that are.
#pragma once

#include <chrono>
#include <cstddef>
#include <cstdint>

#include "egretladder/node/limits.h"

namespace egretladder::gateway {

// Standard values of settings.

/// Headers of one request, in bytes.
inline constexpr std::size_t kHeaderBytes = std::size_t{16} << 10U;
/// Largest body of a request.
inline constexpr std::size_t kBodyBytes = std::size_t{4} << 20U;
/// Connections of callers.
inline constexpr std::size_t kConnections = 4096;
/// To read one request, and between two on one connection.
inline constexpr std::chrono::seconds kRequestTime{30};
/// From sending to an endpoint until its first byte.
inline constexpr std::chrono::seconds kAnswerTime{120};
/// Between two bytes of an endpoint's answer.
inline constexpr std::chrono::seconds kIdleTime{30};
/// After which a caller that takes nothing is dropped.
inline constexpr std::chrono::seconds kDrainTime{30};
/// For calls in progress after a graceful stop began.
inline constexpr std::chrono::seconds kStopTime{300};
/// Before the end of that time, or after a second signal, for the answers of
/// calls that are ended to reach their callers.
inline constexpr std::chrono::milliseconds kStopMargin{700};
/// Callers keep the answer to `/where` this long. A node that ended sooner
/// would leave them a closed port, and retries of its lanes' keys would hear
/// "unknown" though it had their answers. Nothing is gained by longer.
inline constexpr std::chrono::milliseconds kLinger = node::kWhereAnswerTtl;
/// Unread output of one caller above which its endpoint is not read.
inline constexpr std::size_t kCallerBuffer = std::size_t{64} << 10U;
/// Bodies of all calls whose answer has not begun.
inline constexpr std::size_t kBodiesBytes = std::size_t{128} << 20U;
/// Largest answer that is held whole.
inline constexpr std::size_t kAnswerBytes = std::size_t{1} << 20U;

/// When a caller whose body found no room should come back.
inline constexpr std::chrono::milliseconds kNoRoomRetryAfter{1000};

/// Part of the room for request bodies that each tier below the top leaves
/// free. Load: a batch of long bodies. Without it the batch takes all the room,
/// and a buyer's short question is refused for want of it. Not swept: any part
/// that holds a few thousand questions of some KiB does.
inline constexpr double kBodiesPerTier = 0.1;

/// Connections that may wait to be accepted. Load: a burst of new callers.
/// evhttp's own 128 is used up by some hundred connections within one turn of
/// the loop; the rest then wait a second for their SYN to be sent again
/// (docs/BENCHMARKS.md, "One node").
inline constexpr int kBacklog = 4096;

/// Input that may wait unread on one connection to an endpoint. A chunk has to
/// fit, since evhttp hands on whole chunks only.
inline constexpr std::size_t kEndpointBuffer = std::size_t{1} << 20U;

/// How long a connection to an endpoint may take; endpoints are one or two
/// network hops away, so a longer wait means that it is down or cut off.
inline constexpr std::chrono::milliseconds kConnectTime{1000};
/// After a connection broke, how long until it is asked whether the endpoint
/// still listens. A process that dies may close its connections before its
/// listener: asked at once, a death passes for a bad connection, and the
/// request that caused it goes on to the next endpoint unblamed
/// (`scripts/check_processes poison`).
inline constexpr std::chrono::milliseconds kDeathPause{20};
/// Idle connections kept for reuse, per address.
inline constexpr std::size_t kIdleConnections = 256;
/// How long such a connection is kept.
inline constexpr std::chrono::seconds kKeepAlive{20};

/// Between two looks for exchanges and callers whose time is up.
inline constexpr std::chrono::milliseconds kSweep{100};

/// Bytes of the messages that count as a prompt's first part.
inline constexpr std::size_t kPrefixBytes = 1024;
/// Characters of one token, for estimates before the engine counted.
inline constexpr std::size_t kCharactersPerToken = 4;

/// Time a document of the platform may take to arrive.
inline constexpr std::chrono::milliseconds kPlatformTime{5000};
/// The same for an endpoint's report or its answer to an order.
inline constexpr std::chrono::milliseconds kReportTime{1000};
/// How long the platform may hold a watch before it says "nothing new".
inline constexpr std::chrono::milliseconds kWatchTime{20000};
/// Largest document or report; a longer one counts as not read.
inline constexpr std::size_t kDocumentBytes = std::size_t{2} << 20U;

/// What may wait unanswered at one peer. One rules document has to fit; the
/// messages are states that are sent anew, so what does not fit is dropped.
inline constexpr std::size_t kPeerBytes = std::size_t{3} << 20U;
/// Messages to one peer that may be unanswered at once.
inline constexpr std::uint32_t kPeerMessages = 64;
/// Connections that peers opened.
inline constexpr std::size_t kPeersIn = 1024;
/// Connections opened to peers.
inline constexpr std::size_t kPeersOut = 512;
/// A peer that answers nothing for this long is connected to anew.
inline constexpr std::chrono::milliseconds kPeerSilence{5000};
/// A connection on which nothing was sent for this long is closed.
inline constexpr std::chrono::seconds kPeerIdle{30};
/// Wait before a broken connection to a peer is tried again; doubles.
inline constexpr std::chrono::milliseconds kBackoffFirst{100};
/// Longest such wait.
inline constexpr std::chrono::milliseconds kBackoffMost{5000};
/// Entries of one list in a peer's message. The longest that nodes send name
/// each endpoint or member of the two-year plan, 790 and 390.
inline constexpr unsigned kPeerListMost = 2048;
/// Longest span of time in a peer's message; what they say lapses in minutes.
inline constexpr std::chrono::hours kPeerSpanMost{24 * 7};
/// Words of eight bytes in one message of a peer.
inline constexpr std::uint64_t kPeerMessageWords = std::uint64_t{1} << 18U;

}  // namespace egretladder::gateway
