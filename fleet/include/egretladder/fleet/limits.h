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
inline constexpr std::size_t kLaneKeysMost = 100'000;
/// Bytes of stored answers and keys, a quarter of a node's 256 MB.
inline constexpr std::size_t kLaneBytesMost = std::size_t{64} << 20U;
/// Counted for a call in progress until its answer is known, so that answers
/// which arrive together still fit.
inline constexpr std::size_t kAnswerReserve = std::size_t{64} << 10U;
/// Callers that wait for one key. More than a few means a caller gone wild.
inline constexpr std::size_t kWaitersMost = 64;
/// Longest node name in a lane and longest lane in a header.
inline constexpr std::size_t kLaneTextMost = 512;

/// A process whose ticks stood still for longer was paused. Ticks come every
/// 50 ms; a busy loop may be late by a few of them, and with the 3 s allowed
/// for a zone to be out, 1 s leaves two for hearing of it.
inline constexpr std::chrono::milliseconds kFreshFor{1000};

/// Between two reads of the rules by a node that can't watch.
inline constexpr std::chrono::milliseconds kRulesRetry{1000};

}  // namespace egretladder::fleet
