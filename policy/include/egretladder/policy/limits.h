// Every threshold of the decisions under load: the load it answers and what
// goes wrong without it. Sweeps of them: docs/design/policy-thresholds.md.
#pragma once

#include <chrono>
#include <cstddef>
#include <cstdint>

namespace egretladder::policy {

using std::chrono::milliseconds;

// --- Slots of an endpoint (slots.h) ---

/// Answers in time, per slot, before slots grow.
/// Load: a fleet that starts cold under full load. Without it slots grow by the
/// clock, and an endpoint that still loads weights gets work it drops. With
/// many a cold fleet stays cold for its callers.
inline constexpr std::uint32_t kAnswersPerSlotBeforeGrowth = 2;

/// Share of late or failed answers at which an endpoint counts as overloaded,
/// and the answers it takes to judge.
/// Load: an endpoint slowed by long prompts. Without it slots stay where every
/// answer is late.
inline constexpr double kOverloadedShare = 0.25;
/// Answers it takes to judge an endpoint overloaded.
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
/// What a node starts with.
/// Load: an endpoint that refuses connections just as a node starts. Without it
/// the node's first failures go to their callers until ten answers succeeded.
/// Not larger: nodes that start into an outage all spend it at once, before any
/// success shows that retries help.
inline constexpr double kRetryBudgetAtStart = 5;
inline constexpr std::uint8_t kMaxAttempts = 3;
/// Delay before the second attempt; doubles with each. Jittered, so that those
/// that failed together don't return together.
inline constexpr milliseconds kRetryDelay{20};

// --- Requests that crash endpoints (poison.h) ---

/// Deaths of endpoints before a body is quarantined. One would punish each
/// innocent body whose endpoint's VM failed; three costs one more endpoint.
inline constexpr std::uint8_t kDeathsBeforeQuarantine = 2;
/// How long one death is held against a body. Callers send again for minutes.
inline constexpr milliseconds kBlameKept{10 * 60 * 1000};
/// How long a quarantined body gets no endpoint.
inline constexpr milliseconds kQuarantineKept{30 * 60 * 1000};
/// Bounds memory when a zone dies with its work.
inline constexpr std::size_t kBlamesMost = 4096;

// --- The ladder (scheduler_ladder.cc) ---

/// Thresholds of the scheduler "ladder". Plain data, so that a sweep runs the
/// same load over several values and each idea can be switched off.
struct Limits {
  /// Requests that wait at a node, all classes together.
  /// Load: a broker's batch. Without it memory grows with the batch, by about
  /// 600 bytes a request.
  std::uint32_t max_queue_length = 20'000;

  /// Part of a target's slots that aged work of lower tiers may hold while
  /// higher tiers want them all; 0: no trickle.
  /// Load: the top tier alone over capacity for an hour. Without it lower tiers
  /// are never served, and with much of it the top tier is late. The bound is
  /// derived in docs/design/two-promises.md.
  double aging_share = 0.02;
  /// A lower tier's request counts as aged after this wait.
  milliseconds trickle_age{5000};

  /// Free slots kept from lower tiers: this times the root of what higher
  /// tiers run (their fluctuation), at most `reserve_share_most` of the slots
  /// and, where higher tiers ran lately, at least one; 0: none.
  /// Load: a batch of long work takes every slot. Without it a buyer's question
  /// waits until one of them ends. More of it is lost to lower tiers alone.
  double reserve_factor = 0.5;
  double reserve_share_most = 0.2;

  /// Ends seen at which a learned wait counts half; 0: it always counts whole.
  /// Load: long work among short, and the start of a node. Without it the first
  /// long answers refuse callers that could be served.
  double half_confidence_completions = 16;
  /// Ends over which service times are learned. Fewer let one very long answer
  /// shift the estimate; more are slow to see a change.
  double estimate_window_completions = 256;
  /// Whether work that can't make it is refused at once.
  /// Off, callers in a burst wait for their refusal until their time is up.
  bool refuse_early = true;
  /// Bounds of the time that a refused caller is told to stay away.
  milliseconds retry_after_least{200};
  milliseconds retry_after_most{60'000};

  /// Whether expected tokens are charged when work starts.
  /// Load: an account that starts many at once. Without it none of them is
  /// charged until its tokens come, and the account takes every slot meanwhile.
  bool charge_expected = true;

  /// Endpoints drawn for one choice. One ignores load; more than a few cost
  /// time and herd to the same endpoint.
  std::uint32_t choices = 6;
  /// An endpoint takes a prompt for its cached prefix while it holds at most
  /// this times the mean load; 0: no affinity.
  /// Load: a few prefixes with most of the load. Without the bound they
  /// overload one endpoint; without affinity each prompt is computed anew.
  double affinity_load = 1.5;
  /// Endpoints that may hold one prefix.
  std::uint32_t affinity_replicas = 2;
  /// What a report's load counts half as much after. Reports lag.
  milliseconds report_half_life{1000};
  /// Part of the load by which the own zone is preferred; the way to another is
  /// worth no more than a tie.
  double near_zone_gain = 0.02;

  /// An endpoint whose first tokens take this times the usual is slow; 0: never
  /// noticed. Load: one endpoint 5 times slower that reports health. Without it
  /// the endpoint gets its full part of the questions, and each is late.
  double slow_ratio = 2.5;
  /// Answers before an endpoint may be called slow.
  std::uint32_t min_slow_samples = 6;
  /// Failures in a row before it is left alone: one that fails at once looks
  /// idle and draws all work.
  std::uint32_t failures_in_row = 3;
  /// Part of a target's endpoints that may be left alone as slow.
  double slow_share_most = 0.34;
  milliseconds probe_interval{1000};
  /// Answers at the usual speed before a slow endpoint is trusted.
  std::uint32_t probes_to_trust = 3;

  /// Part of its slots that a zone gets when it comes back, and how long until
  /// this has doubled; 1: all at once.
  /// Load: a zone out and back. Without it every new request goes to the zone's
  /// idle endpoints, and all are late if it is not well.
  double zone_ramp_initial_ratio = 0.125;
  /// Long enough to notice that the zone is slow before it has much of the
  /// work.
  milliseconds zone_ramp_doubling_time{4000};
};

}  // namespace egretladder::policy
