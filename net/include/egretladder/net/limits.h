// Limits of the wires that are not settings.
#pragma once

#include <chrono>
#include <cstddef>

namespace egretladder::net {

/// Connections that may wait to be accepted; a burst of new callers comes
/// faster than the loop turns.
inline constexpr int kHttpBacklog = 1024;

/// Input that may wait unread on one connection. A head has to fit, and a
/// caller that pipelines is held back beyond it.
inline constexpr std::size_t kHttpReadAhead = std::size_t{128} << 10U;

/// Between two looks at connections whose time is up.
inline constexpr std::chrono::milliseconds kHttpSweep{100};

/// How long a connection is kept after an answer that ends it, so that the
/// caller can read that answer: closing with unread input resets it.
inline constexpr std::chrono::milliseconds kLingeringClose{1000};

/// For the body of a request once its head is there. Three times what 4 MiB
/// take on a link of 10 Mbit/s.
inline constexpr std::chrono::milliseconds kRequestBodyTime{10000};

/// Unacknowledged bytes are given up after this long: a machine without power
/// answers nothing, and its connections would hang for minutes.
inline constexpr std::chrono::milliseconds kUserTimeout{2500};
/// Silence on a connection after which the other side is asked.
inline constexpr std::chrono::seconds kKeepAliveIdle{1};
/// Between two such questions.
inline constexpr std::chrono::seconds kKeepAliveEvery{1};
/// Unanswered questions before the connection is given up.
inline constexpr int kKeepAliveProbes{2};

/// A connection to an endpoint that is not there by then. One way between two
/// machines takes a few milliseconds; the opening packet is sent again after a
/// second, which is later than another endpoint answers.
inline constexpr std::chrono::milliseconds kHttpConnectTime{400};

/// Head of an endpoint's answer, in bytes.
inline constexpr std::size_t kAnswerHead = std::size_t{32} << 10U;
/// Largest answer that is read, in bytes.
inline constexpr std::size_t kAnswerBody = std::size_t{64} << 20U;

/// How long an idle connection to an endpoint is used again when the endpoint
/// doesn't say how long it keeps it.
inline constexpr std::chrono::milliseconds kIdleUnknown{2000};
/// Part of the time that the endpoint says it keeps an idle connection, after
/// which it isn't used any more: a request that meets the close on its way may
/// have run.
inline constexpr double kIdlePart = 0.6;
/// The same for requests that ask for a young one.
inline constexpr double kIdlePartYoung = 0.3;

}  // namespace egretladder::net
