// Limits and timeouts of network connections that are not configurable.
#pragma once

#include <chrono>
#include <cstddef>

namespace egretladder::net {

/// Length of the listen backlog. In a burst of new callers, connections arrive
/// faster than the event loop accepts them.
inline constexpr int kHttpListenBacklog = 1024;

/// How long a server that stops listening waits for connections which are being
/// opened: some round trips in a region. Its event loop waits, too.
inline constexpr std::chrono::milliseconds kHttpHandshakeTime{3};

/// Input that is buffered on one connection. It must hold a complete head.
inline constexpr std::size_t kMaxReadAheadBytes = std::size_t{128} << 10U;
/// Output that a caller may leave unread when its next request is read.
inline constexpr std::size_t kMaxUnreadBytes = std::size_t{16} << 10U;
/// A caller that has taken nothing for longer doesn't read.
inline constexpr std::chrono::milliseconds kMaxReadingPause{50};
/// How long a connection has waited for its caller when it may be closed to
/// make room for another one. A request follows its connection sooner.
inline constexpr std::chrono::milliseconds kMinWaitBeforeClose{250};
/// The same for one that takes nothing of its answers. A caller on a slow link
/// takes some more often.
inline constexpr std::chrono::milliseconds kMinUnreadBeforeClose{2000};
/// Connections that may be closed for others at each sweep, as a part of all.
inline constexpr double kClosedPerSweepRatio = 1.0 / 16;

/// How long a listener waits after an error before it accepts again. Most
/// errors mean that no descriptor is free.
inline constexpr std::chrono::milliseconds kAcceptPause{100};

/// Unsent answers above which a peer's next calls aren't read.
inline constexpr std::size_t kMaxUnreadRpcBytes = std::size_t{64} << 10U;
/// A peer that takes nothing of its answers for this long is disconnected.
/// Peers give up a call after 1 s, and a connection after 5 s of silence.
inline constexpr std::chrono::milliseconds kMaxRpcStall{5000};

/// Parts of messages that the connections of a peers' port may hold together:
/// eight of the largest messages. Usual messages have some KB and are complete
/// within milliseconds. Above it, messages of at most 64 KiB stay where there
/// are 512 connections.
inline constexpr std::size_t kMaxIncompleteRpcBytes = std::size_t{64} << 20U;

/// Interval of the check for connections that have timed out.
inline constexpr std::chrono::milliseconds kHttpSweepInterval{100};

/// How long a connection stays open after its last answer, so that the caller
/// can read that answer. Closing a socket with unread input would reset it.
inline constexpr std::chrono::milliseconds kLingeringCloseTimeout{1000};

/// Timeout for the body of a request, from the end of its head. It is three
/// times the time that 4 MiB take on a link of 10 Mbit/s.
inline constexpr std::chrono::milliseconds kRequestBodyTimeout{10000};

/// A connection is closed if sent bytes stay unacknowledged for this long. The
/// connections to a machine that lost power would otherwise stay open for
/// minutes.
inline constexpr std::chrono::milliseconds kTcpUserTimeout{2500};
/// Idle time of a connection after which TCP keep-alive probes are sent.
inline constexpr std::chrono::seconds kKeepAliveIdleTime{1};
/// Interval between two keep-alive probes.
inline constexpr std::chrono::seconds kKeepAliveInterval{1};
/// Unanswered keep-alive probes after which the connection is closed. Decides
/// only where TCP_USER_TIMEOUT is 0, which would end the connection otherwise.
inline constexpr int kKeepAliveProbes{2};

/// Timeout for opening a connection to an endpoint. One way between two
/// machines takes a few milliseconds. TCP sends a lost SYN again after 1 s, and
/// by then another endpoint can have answered.
inline constexpr std::chrono::milliseconds kHttpConnectTimeout{400};

/// Largest head of an endpoint's answer.
inline constexpr std::size_t kMaxAnswerHeadBytes = std::size_t{32} << 10U;
/// Fields of an endpoint's answer. Each takes some 64 bytes beside its own.
inline constexpr std::size_t kMaxAnswerFields = 256;
/// Largest body of an endpoint's answer.
inline constexpr std::size_t kMaxAnswerBodyBytes = std::size_t{64} << 20U;

/// Answers before the one to a request: interim ones, and late ones to earlier
/// requests. An endpoint that sends more sends them without end.
inline constexpr std::size_t kMaxDiscardedAnswers = 32;
/// Size of their bodies together.
inline constexpr std::size_t kMaxDiscardedBytes = std::size_t{8} << 20U;

/// Refusals after which a connection to an endpoint isn't reused, since it
/// would have to remember the requests that it may not carry again.
inline constexpr std::size_t kMaxRefusalsOfConnection = 256;

/// Assumed keep-alive timeout of an endpoint that doesn't send one.
inline constexpr std::chrono::milliseconds kDefaultIdleLifetime{2000};
/// Fraction of the endpoint's keep-alive timeout during which an idle
/// connection is reused. If a request and the close by the endpoint cross on
/// the way, the outcome of the request is unknown.
inline constexpr double kIdleReuseRatio = 0.6;
/// Fraction of the keep-alive timeout during which an idle connection is reused
/// for requests that need a recently used one.
inline constexpr double kRecentIdleReuseRatio = 0.3;

}  // namespace egretladder::net
