// Periods and bounds of a node's calls, each with its reason.
#pragma once

#include <chrono>
#include <cstddef>
#include <cstdint>

namespace egretladder::node {

/// Longest life of a call whose caller sets no timeout. A trace summary takes
/// minutes; a call that hangs must not hold its slot for ever.
inline constexpr std::chrono::minutes kCallTimeout{10};

/// How long a call that may not be repeated goes on after its caller left or
/// was told "unknown", so that a retry with its key finds the answer.
inline constexpr std::chrono::seconds kDetachedLife{60};

/// How long a call waits before it is routed again after it was held back
/// right before its first byte; doubles with each hold in a row. Short against
/// the targets of any class. Without a wait, a node with old knowledge would
/// route and hold it in a tight loop; without the doubling, a node that is cut
/// off for 20 s wrote 3,420 such decisions for a few dozen calls
/// (scenarios/twice-platform-down-and-zone-out.lua), with it 546.
inline constexpr std::chrono::milliseconds kHoldDelay{20};
/// Longest such wait.
inline constexpr std::chrono::milliseconds kHoldDelayMost{640};

/// How long a caller may keep the answer to `/where`. A leaving node must stay
/// reachable this long; callers learn of new nodes no faster.
inline constexpr std::chrono::milliseconds kWhereAnswerTtl{5000};

/// Addresses in that answer: one to use and two to turn to.
inline constexpr std::size_t kWhereAddresses = 3;

/// A node on the small side of a cut names another node of the other side after
/// so long.
inline constexpr std::chrono::milliseconds kWhereTurn{50};

/// A target counts as in use this long after its last call: the node keeps
/// asking for one spare slot at its endpoints, so that the next call need not
/// wait for a lease.
inline constexpr std::chrono::seconds kTargetInUse{10};

/// What callers are told when nothing better is known.
inline constexpr std::chrono::milliseconds kStandardRetryAfter{1000};

/// Preemptions of one call. Numbers of attempts stay distinct within 8 bits.
inline constexpr std::uint8_t kAttemptNumbersMost = 200;

}  // namespace egretladder::node
