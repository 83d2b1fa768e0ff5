// The scheduler: what is let in, what waits, what is turned away and where work
// goes, for one node. Pure: (state, event, now) to actions. Several schedulers
// register as plug-ins, so that a run compares them under the same load.
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

/// Numbers one request within a node's life.
using RequestId = std::uint64_t;

/// What the scheduler knows of a request when it arrives.
struct Request {
  RequestId id = 0;
  ClassHandle cls;
  AccountHandle account;
  TargetHandle target;
  std::uint64_t prefix = 0;       ///< Hash of the prompt's first part; 0: none.
  std::uint64_t fingerprint = 0;  ///< Hash of the body, for quarantine.
  std::uint32_t prompt_tokens = 0;
  std::uint32_t max_tokens = 0;  ///< The caller's cap; 0: unknown.
  Time arrived{};
  Time deadline{};  ///< First token wanted by then (arrival + class target, or
                    ///< the caller's own, if earlier).
  std::uint8_t attempt = 1;  ///< 2 and more: a retry by this node.
  EndpointHandle avoid;      ///< Where the last attempt failed.
  bool suspect = false;  ///< See poison.h: apart from other suspects if it can.
};

/// Why a request goes where it goes. Ends in the decision's log line.
enum class PickReason : std::uint8_t {
  kOnlyChoice,
  kPrefixCached,  ///< The endpoint holds the prompt's prefix.
  kLeastLoaded,   ///< The less loaded of the choices drawn.
  kNearZone,      ///< As good as others, and in the node's own zone.
  kTrickle,       ///< An aged lower tier's bounded trickle.
  kProbe,         ///< Tries an endpoint that was slow or cold.
  kBaseline,      ///< Chosen by a baseline scheduler.
};

/// Why a request is turned away. It never ran here: the answer says "not run".
enum class RefuseReason : std::uint8_t {
  kDeadlineUnreachable,  ///< Would wait past its deadline; said at once.
  kClassCap,
  kAccountCap,
  kShedForHigherTier,  ///< Made room for a higher tier.
  kQueueFull,
  kWaitedTooLong,
  kNoEndpoint,   ///< Nothing that serves the target takes new work.
  kQuarantined,  ///< Its body crashed endpoints before.
};

/// Why running work is cancelled and put back in the queue.
enum class PreemptReason : std::uint8_t { kHigherTierWaits };

/// Send the request to the endpoint; it takes one of the node's slots there.
struct Dispatch {
  RequestId request = 0;
  EndpointHandle endpoint;
  PickReason reason = PickReason::kOnlyChoice;
  std::uint8_t engine_priority = 0;  ///< 0 is first; passed to the engine.
};
/// Turn the waiting request away.
struct Refuse {
  RequestId request = 0;
  RefuseReason reason = RefuseReason::kQueueFull;
  std::chrono::milliseconds retry_after{};  ///< When to come back.
};
/// Cancel the running request; it arrives anew with the same id.
struct Preempt {
  RequestId request = 0;
  EndpointHandle endpoint;
  PreemptReason reason = PreemptReason::kHigherTierWaits;
};
/// What a scheduler decides.
using Action = std::variant<Dispatch, Refuse, Preempt>;
/// In the order in which they are to be carried out.
using Actions = std::vector<Action>;

/// How an attempt ended, as seen by this node.
enum class EndKind : std::uint8_t {
  kDone,       ///< The complete answer.
  kNotRun,     ///< Certainly not run: connection refused, or refused by it.
  kFailed,     ///< May have run: broke off, timed out, garbage.
  kDied,       ///< The endpoint died while running it.
  kCancelled,  ///< The caller went away, or it was preempted.
};

/// What an endpoint says of itself. `age` is how old the report is by now.
struct EngineReport {
  std::chrono::milliseconds age{};
  std::uint64_t boot = 0;  ///< Changes when the engine restarts.
  std::uint32_t running = 0;
  std::uint32_t waiting = 0;
  double cache_used = 0;  ///< 0 to 1.
  std::vector<TargetHandle> loaded;
};

/// What a scheduler is started with.
struct SchedulerOptions {
  ZoneHandle zone;         ///< The node's own.
  std::uint64_t seed = 1;  ///< For its random choices.
  Limits limits;           ///< Changed by measurements only.
};

/// Numbers of one endpoint, for `/status` and the invariants of tests.
struct EndpointView {
  EndpointHandle endpoint;
  std::uint32_t slots = 0;
  std::uint32_t in_flight = 0;
  std::chrono::milliseconds first_token{};  ///< As learned; 0: unknown.
};

/// Numbers of one class.
struct ClassView {
  ClassHandle cls;
  std::uint32_t waiting = 0;
  std::uint32_t running = 0;
  std::chrono::milliseconds oldest_wait{};
};

/// What a scheduler shows of itself.
struct SchedulerView {
  std::vector<EndpointView> endpoints;
  std::vector<ClassView> classes;
};

/// Each scheduler derives its own state.
struct SchedulerState {
  virtual ~SchedulerState() = default;
};

/// One scheduler: plain functions over its state. Events of an unknown request
/// are ignored. `out` is appended to. Each call may dispatch waiting requests.
struct SchedulerPlugin {
  static constexpr std::string_view kKind = "scheduler";

  std::unique_ptr<SchedulerState> (*create)(const SchedulerOptions& options);
  /// A new version of the rules is in force. Requests in flight stay.
  void (*on_rules)(SchedulerState&, rules::RulesPtr, Time now, Actions& out);
  /// This node may have `slots` requests in flight at `endpoint` from now on.
  void (*on_slots)(SchedulerState&, EndpointHandle, std::uint32_t slots,
                   Time now, Actions& out);
  /// True while `endpoint` takes new work (false: leaving, dead).
  void (*on_available)(SchedulerState&, EndpointHandle, bool available,
                       Time now, Actions& out);
  void (*on_report)(SchedulerState&, EndpointHandle, const EngineReport&,
                    Time now);
  /// `fingerprint` gets no endpoint until `until`.
  void (*on_quarantine)(SchedulerState&, std::uint64_t fingerprint, Time until,
                        Time now, Actions& out);
  void (*on_arrival)(SchedulerState&, const Request&, Time now, Actions& out);
  void (*on_first_token)(SchedulerState&, RequestId, Time now);
  void (*on_tokens)(SchedulerState&, RequestId, std::uint32_t count, Time now);
  /// A dispatched request's attempt ended. It is forgotten; a retry or a
  /// preempted request arrives anew with the same id.
  void (*on_end)(SchedulerState&, RequestId, EndKind, Time now, Actions& out);
  /// The caller of a waiting request went away.
  void (*on_caller_gone)(SchedulerState&, RequestId, Time now);
  /// Call at `kSchedulerTickInterval` or more often.
  void (*on_tick)(SchedulerState&, Time now, Actions& out);
  SchedulerView (*view)(const SchedulerState&, Time now);
};

/// Longest pause between two calls of `on_tick`.
inline constexpr std::chrono::milliseconds kSchedulerTickInterval{10};

/// The scheduler that nodes use unless settings name another.
inline constexpr std::string_view kDefaultScheduler = "ladder";

/// The reasons and ends as logs show them.
const char* NameOf(PickReason reason);
/// As above.
const char* NameOf(RefuseReason reason);
/// As above.
const char* NameOf(PreemptReason reason);
/// As above.
const char* NameOf(EndKind kind);

}  // namespace egretladder::policy
