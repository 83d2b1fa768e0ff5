// Every threshold of the decisions under load: the load it answers, what goes
// wrong without it, and the measurement that set it
// (docs/design/policy-thresholds.md). Thresholds said to be "not swept" are
// plain bounds that no run depends on closely.
#pragma once

#include <chrono>
#include <cstddef>
#include <cstdint>

namespace egretladder::policy {

using std::chrono::milliseconds;

// --- Slots of an endpoint (slots.h) ---

/// Answers in time, per slot, before slots grow.
/// Load: a fleet that starts cold under full load. Without it slots grow by the
/// clock, and an endpoint that still loads weights gets work it drops.
inline constexpr std::uint32_t kAnswersPerSlotBeforeGrowth = 2;

/// Share of late or failed answers at which an endpoint counts as overloaded,
/// and the answers it takes to judge.
/// Load: an endpoint slowed by long prompts. Without it slots stay where every
/// answer is late.
inline constexpr double kOverloadedShare = 0.25;
inline constexpr std::uint32_t kAnswersToJudge = 8;

/// Share of late or failed answers at which an endpoint counts as cold again:
/// it lost what made it fast, without a restart that a report would show.
inline constexpr double kTurnedColdShare = 0.75;

// --- Retries (retry.h) ---

/// What one success adds to a node's retry budget.
/// Load: every answer fails after an outage. Without a budget each request
/// becomes as many as its attempts, and the load outlives the outage.
inline constexpr double kRetryPerSuccess = 0.1;
inline constexpr double kRetryBudgetMost = 20;
/// What a node starts with, so that the first failures after a start are
/// repeated. Not swept.
inline constexpr double kRetryBudgetAtStart = 5;
inline constexpr std::uint8_t kAttemptsMost = 3;
/// Delay before the second attempt; doubles with each. Jittered, so that those
/// that failed together don't return together.
inline constexpr milliseconds kRetryDelay{20};

// --- Requests that crash endpoints (poison.h) ---

/// Deaths of endpoints before a body is quarantined. One would punish each
/// innocent body whose endpoint's VM failed; three costs one more endpoint.
inline constexpr std::uint8_t kDeathsBeforeQuarantine = 2;
/// How long one death is held against a body. Callers send again for minutes.
inline constexpr milliseconds kBlameKept{10 * 60 * 1000};
inline constexpr milliseconds kQuarantineKept{30 * 60 * 1000};
/// Bounds memory when a zone dies with its work. Not swept.
inline constexpr std::size_t kBlamesMost = 4096;

}  // namespace egretladder::policy
