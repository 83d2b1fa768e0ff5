// Time limits and size limits of the calls that a node handles.
#pragma once

#include <chrono>
#include <cstddef>
#include <cstdint>

namespace egretladder::node {

/// Upper bound of a call's timeout, and the timeout of a call whose caller sets
/// none. A trace summary takes minutes; a call that hangs must not hold its
/// slot forever.
inline constexpr std::chrono::minutes kMaxCallTimeout{10};

/// How long a call that must not be repeated continues after its caller has
/// disconnected or was told "unknown", so that a retry with the same
/// idempotency key finds the answer.
inline constexpr std::chrono::seconds kDetachedCallTimeout{60};

/// Initial delay before a call is routed again after it was held back right
/// before its first byte. The delay doubles with each consecutive hold. It is
/// short compared with the latency targets of any class. Without a delay, a
/// node whose view of the fleet is stale would route and hold the call in a
/// tight loop. Without the doubling, a node that was partitioned for 20 s
/// logged 3,420 such decisions for a few dozen calls
/// (scenarios/twice-platform-down-and-zone-out.lua); with it, 546.
inline constexpr std::chrono::milliseconds kInitialHoldDelay{20};
/// Upper bound of the delay that starts at `kInitialHoldDelay`.
inline constexpr std::chrono::milliseconds kMaxHoldDelay{640};

/// How long a caller may cache the answer to `/where`. A leaving node must stay
/// reachable for this long, and a caller may take this long to learn of a new
/// node.
inline constexpr std::chrono::milliseconds kWhereAnswerTtl{5000};

/// Maximum number of node addresses in an answer to `/where`: one to use and
/// two to fail over to.
inline constexpr std::size_t kMaxWhereNodes = 3;

/// Interval after which a node on the minority side of a network partition
/// names a different node of the majority side in its answers to `/where`.
inline constexpr std::chrono::milliseconds kWhereRotationInterval{50};

/// A target counts as in use for this long after its last call. Meanwhile the
/// node keeps requesting one spare slot at each of the target's endpoints, so
/// that the next call doesn't have to wait for a lease.
inline constexpr std::chrono::seconds kTargetInUseTimeout{10};

/// Upper bound of the time for which an endpoint can ask for no calls. A longer
/// one is taken as this.
inline constexpr std::chrono::hours kMaxEndpointBackoff{24};

/// The retry delay that callers are given when no better estimate is available.
inline constexpr std::chrono::milliseconds kDefaultRetryAfter{1000};

/// A call with this attempt number is no longer preempted, so that the numbers
/// of its attempts stay distinct within 8 bits.
inline constexpr std::uint8_t kMaxAttemptNumber = 200;

}  // namespace egretladder::node
