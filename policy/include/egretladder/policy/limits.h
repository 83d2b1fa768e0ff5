// Thresholds of the scheduling decisions, each with the fault that it prevents.
// Their sensitivity is described in docs/design/policy-thresholds.md.
#pragma once

#include <chrono>
#include <cstddef>
#include <cstdint>

namespace egretladder::policy {

using std::chrono::milliseconds;

// --- Slots of an endpoint (slots.h) ---

/// Answers in time, per slot, before an endpoint gets more slots. If slots grew
/// with time instead, an endpoint of a fleet that starts cold under full load
/// would get work that it drops while it still loads its weights. A high value
/// keeps a cold fleet slow for its callers.
inline constexpr std::uint32_t kAnswersPerSlotBeforeGrowth = 2;

/// Ratio of late or failed answers at which an endpoint counts as overloaded,
/// for example by long prompts. Without it an endpoint keeps a number of slots
/// at which every answer is late.
inline constexpr double kOverloadedLateRatio = 0.25;
/// Minimum number of answers for judging whether an endpoint is overloaded or
/// cold.
inline constexpr std::uint32_t kMinAnswersToJudge = 8;

/// Ratio of late or failed answers at which an endpoint counts as cold again:
/// it lost its caches or compiled kernels without a restart that a report would
/// show.
inline constexpr double kColdLateRatio = 0.75;

// --- Retries (retry.h) ---

/// Tokens that one success adds to a node's retry budget. Without a budget each
/// request is sent as often as its attempts allow when all answers fail after
/// an outage, and this retry storm outlives the outage.
inline constexpr double kRetryTokensPerSuccess = 0.1;
inline constexpr double kMaxRetryTokens = 20;
/// Retry budget of a node that has just started. With none, the failures of an
/// endpoint that refuses connections at that moment go to the callers until ten
/// answers have succeeded. With a large one, nodes that start during an outage
/// spend it all at once, before any success shows that retries help.
inline constexpr double kInitialRetryTokens = 5;
inline constexpr std::uint8_t kMaxAttempts = 3;
/// Delay before the second attempt. It doubles with each further attempt and is
/// jittered, so that requests that failed together are not retried together.
inline constexpr milliseconds kInitialRetryDelay{20};

// --- Requests that crash endpoints (poison.h) ---

/// Endpoint deaths after which a request body is quarantined. With one, an
/// innocent body is quarantined whenever the VM of its endpoint fails; three
/// cost one more endpoint.
inline constexpr std::uint8_t kDeathsBeforeQuarantine = 2;
/// How long a body stays suspect after one death. Callers retry for minutes.
inline constexpr milliseconds kSuspectDuration{10 * 60 * 1000};
/// How long a quarantined body is sent to no endpoint.
inline constexpr milliseconds kQuarantineDuration{30 * 60 * 1000};
/// Bounds the memory for crash records when a zone fails with all its requests.
inline constexpr std::size_t kMaxCrashRecords = 4096;

// --- The scheduler "ladder" (scheduler_ladder.cc) ---

/// Thresholds of the scheduler "ladder". They are plain data, so that a sweep
/// can run the same workload with several values and with each mechanism
/// switched off.
struct Limits {
  /// Maximum number of requests that wait at a node, all classes together.
  /// Bounds memory during a large batch; a waiting request takes about 600
  /// bytes.
  std::uint32_t max_queue_length = 20'000;

  /// Share of a target's slot time that aged requests of lower tiers may take
  /// while higher tiers want all of it; 0: none. Without it lower tiers starve
  /// for as long as the top tier alone exceeds capacity. A large share makes
  /// the top tier late. The resulting bound on starvation is derived in
  /// docs/design/two-promises.md.
  double aging_share = 0.02;
  /// Wait after which a request of a lower tier counts as aged.
  milliseconds aging_threshold{5000};

  /// Slots that are kept free of lower tiers: this factor times the square root
  /// of the slots that higher tiers occupy (their fluctuation), at most
  /// `max_reserve_ratio` of all slots; 0: none. Without it a batch of long
  /// requests takes every slot, and a request of a higher tier waits until one
  /// of them ends. A larger factor only costs lower tiers throughput.
  double reserve_factor = 0.5;
  double max_reserve_ratio = 0.2;

  /// Number of completions at which a learned wait has a confidence of one
  /// half; 0: full confidence after the first completion. Without it the first
  /// long answers after a start lead to the refusal of requests that could
  /// be served.
  double half_confidence_completions = 16;
  /// Effective number of completions in the learned averages. With fewer, one
  /// very long answer shifts the estimate; with more, it follows changes
  /// slowly.
  double estimate_window_completions = 256;
  /// Whether requests that can't meet their deadline are refused on arrival.
  /// Otherwise callers in a burst are refused only when their time is up.
  bool refuse_early = true;
  /// Bounds of the delay after which a refused caller is told to retry.
  milliseconds min_retry_after{200};
  milliseconds max_retry_after{60'000};

  /// Whether an account is charged for the expected tokens when its request is
  /// started. Otherwise an account that starts many requests at once is charged
  /// only when their tokens arrive, and takes every slot until then.
  bool charge_expected = true;

  /// Endpoints that are sampled for one choice. A sample of one ignores load;
  /// a large one costs time and makes nodes herd to the same endpoint.
  std::uint32_t choices = 6;
  /// Factor over the mean load up to which an endpoint takes a prompt whose
  /// prefix it has cached; 0: no prefix affinity. Without this bound a few
  /// popular prefixes overload one endpoint; without affinity each prompt is
  /// computed anew.
  double affinity_load = 1.5;
  /// Endpoints that may hold the same prefix.
  std::uint32_t affinity_replicas = 2;
  /// Half-life of the weight of a reported load, since reports are delayed.
  milliseconds report_half_life{1000};
  /// Ratio by which the load score of endpoints in the node's own zone is
  /// reduced. The shorter network path justifies no more than breaking ties.
  double same_zone_discount = 0.02;

  /// Ratio to the typical time to first token at which an endpoint counts as
  /// slow; 0: never. Without it a slow endpoint that reports itself healthy
  /// gets its full share of the requests, and all of them are late.
  double slow_ratio = 2.5;
  /// Minimum number of answers before an endpoint can count as slow.
  std::uint32_t min_slow_samples = 6;
  /// Consecutive failures after which an endpoint is ejected. An endpoint that
  /// fails at once looks idle and attracts all requests.
  std::uint32_t failures_to_eject = 3;
  /// Maximum ratio of a target's endpoints that may be ejected.
  double max_ejected_ratio = 0.34;
  milliseconds probe_interval{1000};
  /// Consecutive probes at the usual speed after which an endpoint is
  /// readmitted.
  std::uint32_t probes_to_readmit = 3;

  /// Share of its slots that a zone gets when it returns to service; 1: all at
  /// once. Without this ramp every new request goes to the idle endpoints of
  /// the zone, and all of them are late if the zone is not healthy.
  double zone_ramp_initial_ratio = 0.125;
  /// Time in which the share of a returning zone doubles. It is long enough to
  /// notice that the zone is slow before it receives much of the work.
  milliseconds zone_ramp_doubling_time{4000};
};

}  // namespace egretladder::policy
