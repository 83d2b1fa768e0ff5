// The scheduler of one node: decides which requests are admitted, wait or are
// refused, and which endpoint each goes to. It does no I/O and reads no clock:
// each call maps its state, an event and the time to actions. Several
// schedulers are registered as plug-ins, so that they can be compared under the
// same workload.
#pragma once

#include <chrono>
#include <cstdint>
#include <memory>
#include <string_view>
#include <variant>
#include <vector>

#include "egretladder/kernel/time.h"
#include "egretladder/policy/limits.h"
#include "egretladder/rules/rules.h"

namespace egretladder::policy {

using kernel::Time;
using rules::AccountHandle;
using rules::ClassHandle;
using rules::EndpointHandle;
using rules::TargetHandle;
using rules::ZoneHandle;

/// Identifies a request within the lifetime of a node's process.
using RequestId = std::uint64_t;

/// An arriving request as the scheduler sees it.
struct Request {
  RequestId id = 0;
  ClassHandle cls;
  AccountHandle account;
  TargetHandle target;
  std::uint64_t prefix = 0;       ///< Hash of the prompt's prefix; 0: none.
  std::uint64_t fingerprint = 0;  ///< Hash of the body, for the quarantine.
  std::uint32_t prompt_tokens = 0;
  std::uint32_t max_tokens = 0;  ///< Output limit of the caller; 0: unknown.
  Time arrived{};
  Time deadline{};  ///< For the first token: the arrival plus the class's
                    ///< target, or the caller's own deadline if earlier.
  std::uint8_t attempt = 1;  ///< 2 or more: a retry by this node.
  EndpointHandle avoid;      ///< Where the last attempt failed.
  bool suspect = false;      ///< Its body may crash endpoints (poison.h); kept
                             ///< apart from other suspects where possible.
};

/// Why an endpoint was chosen. Written to the decision's log line.
enum class PickReason : std::uint8_t {
  kOnlyChoice,
  kPrefixCached,  ///< The endpoint holds the prompt's prefix.
  kLeastLoaded,   ///< The least loaded of a random sample.
  kNearZone,      ///< The least loaded, and in the node's own zone.
  kAgedWork,      ///< An aged request of a lower tier, started within the
                  ///< aging quota. Logged as "trickle".
  kProbe,         ///< A probe of an endpoint that was ejected as slow or
                  ///< failing.
  kBaseline,      ///< Chosen by a baseline scheduler.
};

/// Why a request is refused. It did not run on this node, so that the answer
/// says "not run".
enum class RefuseReason : std::uint8_t {
  kDeadlineUnreachable,  ///< Expected to wait past its deadline.
  kClassCap,
  kAccountCap,
  kShedForHigherTier,  ///< Shed to make room for a higher tier.
  kQueueFull,
  kWaitedTooLong,
  kNoEndpoint,   ///< No endpoint that serves the target takes new work.
  kQuarantined,  ///< Its body has crashed endpoints.
};

/// Why a running request is cancelled and put back in the queue.
enum class PreemptReason : std::uint8_t { kHigherTierWaits };

/// Sends the request to the endpoint. It takes one of the node's slots there.
struct Dispatch {
  RequestId request = 0;
  EndpointHandle endpoint;
  PickReason reason = PickReason::kOnlyChoice;
  std::uint8_t engine_priority = 0;  ///< Passed to the engine; 0 is first.
};
/// Refuses the waiting request.
struct Refuse {
  RequestId request = 0;
  RefuseReason reason = RefuseReason::kQueueFull;
  std::chrono::milliseconds retry_after{};  ///< When the caller may retry.
};
/// Cancels the running request, which arrives again with the same id.
struct Preempt {
  RequestId request = 0;
  EndpointHandle endpoint;
  PreemptReason reason = PreemptReason::kHigherTierWaits;
};
/// A decision of a scheduler.
using Action = std::variant<Dispatch, Refuse, Preempt>;
/// Decisions in the order in which they are to be carried out.
using Actions = std::vector<Action>;

/// How an attempt ended, as this node saw it.
enum class EndKind : std::uint8_t {
  kDone,       ///< The answer is complete.
  kNotRun,     ///< Certainly not run: the connection or the request was
               ///< refused.
  kFailed,     ///< May have run: the connection broke, the attempt timed out,
               ///< or the answer was invalid.
  kDied,       ///< The endpoint died while running it.
  kCancelled,  ///< The caller disconnected, or the request was preempted.
};

/// An endpoint's report of its own state.
struct EngineReport {
  std::chrono::milliseconds age{};   ///< Since the report was made.
  std::uint64_t boot = 0;            ///< Changes when the engine restarts.
  std::uint32_t running = 0;         ///< Requests of all nodes.
  std::uint32_t waiting = 0;         ///< Requests in the engine's own queue.
  double cache_used = 0;             ///< From 0 to 1.
  std::vector<TargetHandle> loaded;  ///< Models in memory.
};

/// Options of a new scheduler.
struct SchedulerOptions {
  ZoneHandle zone;         ///< The node's own zone.
  std::uint64_t seed = 1;  ///< Seed of the random choices.
  Limits limits;           ///< Other than the defaults in benchmarks and tests
                           ///< only.
};

/// State of one endpoint, for `/status` and for invariant checks in tests.
struct EndpointView {
  EndpointHandle endpoint;
  std::uint32_t slots = 0;
  std::uint32_t in_flight = 0;
  std::chrono::milliseconds first_token{};  ///< Moving average of the time to
                                            ///< first token; 0: unknown.
};

/// State of one class.
struct ClassView {
  ClassHandle cls;
  std::uint32_t waiting = 0;
  std::uint32_t running = 0;
  std::chrono::milliseconds oldest_wait{};
};

/// A snapshot of a scheduler's state.
struct SchedulerView {
  std::vector<EndpointView> endpoints;
  std::vector<ClassView> classes;
};

/// Base of the state that each scheduler defines for itself.
struct SchedulerState {
  virtual ~SchedulerState() = default;
};

/// A scheduler: plain functions over its state.
///
/// Events of an unknown request are ignored. Functions with `out` append their
/// decisions to it, and each of them may dispatch waiting requests.
struct SchedulerPlugin {
  static constexpr std::string_view kKind = "scheduler";

  std::unique_ptr<SchedulerState> (*create)(const SchedulerOptions& options);
  /// A new version of the rules is in force. Requests in flight are kept.
  void (*on_rules)(SchedulerState&, rules::RulesPtr, Time now, Actions& out);
  /// From now on this node may have `slots` requests in flight at `endpoint`.
  void (*on_slots)(SchedulerState&, EndpointHandle, std::uint32_t slots,
                   Time now, Actions& out);
  /// `endpoint` takes new work, or no longer does since it is leaving or dead.
  void (*on_available)(SchedulerState&, EndpointHandle, bool available,
                       Time now, Actions& out);
  void (*on_report)(SchedulerState&, EndpointHandle, const EngineReport&,
                    Time now);
  /// Requests with the body `fingerprint` are refused until `until`.
  void (*on_quarantine)(SchedulerState&, std::uint64_t fingerprint, Time until,
                        Time now, Actions& out);
  void (*on_arrival)(SchedulerState&, const Request&, Time now, Actions& out);
  void (*on_first_token)(SchedulerState&, RequestId, Time now);
  void (*on_tokens)(SchedulerState&, RequestId, std::uint32_t count, Time now);
  /// The attempt of a dispatched request ended, and its state is dropped. A
  /// retried or preempted request arrives again with the same id.
  void (*on_end)(SchedulerState&, RequestId, EndKind, Time now, Actions& out);
  /// The caller of a waiting request disconnected.
  void (*on_caller_gone)(SchedulerState&, RequestId, Time now);
  /// Must be called at least every `kSchedulerTickInterval`.
  void (*on_tick)(SchedulerState&, Time now, Actions& out);
  SchedulerView (*view)(const SchedulerState&, Time now);
};

/// Maximum time between two calls of `on_tick`.
inline constexpr std::chrono::milliseconds kSchedulerTickInterval{10};

/// The scheduler that nodes use unless the settings name another one.
inline constexpr std::string_view kDefaultScheduler = "ladder";

/// Returns the reason's name in logs.
const char* NameOf(PickReason reason);
/// Returns the reason's name in logs.
const char* NameOf(RefuseReason reason);
/// Returns the reason's name in logs.
const char* NameOf(PreemptReason reason);
/// Returns the kind's name in logs.
const char* NameOf(EndKind kind);

}  // namespace egretladder::policy
