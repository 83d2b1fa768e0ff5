// State of the scheduler "ladder" and its parts: pools (which slots a target
// has), admission, dispatch. The decisions themselves have public headers.
#pragma once

#include <array>
#include <cstdint>
#include <unordered_map>
#include <vector>

#include "egretladder/kernel/hash.h"
#include "egretladder/policy/admit.h"
#include "egretladder/policy/aging_quota.h"
#include "egretladder/policy/estimate.h"
#include "egretladder/policy/health.h"
#include "egretladder/policy/pick.h"
#include "egretladder/policy/queue.h"
#include "egretladder/policy/scheduler.h"
#include "egretladder/policy/zone_ramp.h"
#include "endpoints_p.h"

namespace egretladder::policy {

inline constexpr std::uint32_t kNoPosition = 0xffffffffU;
inline constexpr std::size_t kTiers = rules::kBottomTier + 1U;

/// What an endpoint adds to the pool of one target it serves.
struct Membership {
  TargetHandle target;
  std::uint32_t slots = 0;
  std::uint32_t free = 0;
  std::uint32_t position = kNoPosition;  ///< In the pool's `open`.
};

/// What the ladder knows of an endpoint beside the table.
struct LadderEndpoint {
  std::vector<Membership> memberships;
  Health health;
  EndpointLoad load;  ///< `slots` are those under the zone's shift.
  std::uint64_t boot = 0;
  std::vector<TargetHandle> loaded_targets;  ///< Empty: not known.
  std::uint32_t running_suspects = 0;        ///< That run there.
  Seconds first_token_latency{};             ///< Smoothed.
};

/// What one tier brings to a target.
struct TierLoad {
  std::uint32_t running = 0;
  double mean_running = 0;
  double admitted_load = 0;       ///< Slot seconds a second, over seconds.
  double admitted_load_long = 0;  ///< The same, over a minute.
  double offered_load = 0;        ///< With what was refused, over seconds.
  Time updated_at{};
  Time overloaded_since{};  ///< Default: it is not.
};

/// The slots of one target over all its endpoints.
struct Pool {
  std::uint32_t slots = 0;
  std::uint32_t free = 0;  ///< At endpoints that are not left alone.
  std::vector<EndpointHandle>
      free_endpoints;  ///< With a free slot, not left alone.
  std::vector<EndpointHandle> ejected;
  std::uint32_t loaded_endpoints =
      0;  ///< Endpoints that report the target loaded.
  PrefixRing ring;
  AgingQuota quota;
  std::array<TierLoad, kTiers> tiers;
  std::vector<Time> last_dispatch;  ///< By class.
};

/// Work in flight.
struct RunningAttempt {
  Request request;
  EndpointHandle endpoint;
  Time dispatched{};
  std::uint8_t tier = rules::kBottomTier;
  bool has_first_token = false;
  bool by_aging_quota = false;
  std::uint32_t tokens = 0;
  double charged_tokens = 0;
};

struct LadderState : SchedulerState {
  SchedulerOptions options;
  kernel::Random random;
  EndpointTable table;
  std::vector<LadderEndpoint> endpoints;
  std::vector<Pool> pools;                           ///< By target.
  std::vector<std::vector<ServiceTimeStats>> stats;  ///< By target, class.
  std::vector<ZoneRamp> zone_ramps;
  WaitQueue queue;
  std::unordered_map<RequestId, RunningAttempt> running;
  std::vector<std::uint32_t> running_by_class;
  std::vector<std::uint32_t> running_by_account;
  std::vector<std::uint32_t> waiting_by_class;
  std::vector<std::uint32_t> waiting_by_account;
  std::unordered_map<std::uint64_t, Time> quarantined;
  Time next_sweep{};
  std::vector<EndpointHandle> scratch_owners;  ///< Scratch.
  std::vector<RequestId> scratch_ids;          ///< Scratch.
};

inline const Limits& GetLimits(const LadderState& state) {
  return state.options.limits;
}

// --- ladder_pools.cc ---

/// Takes over new rules: zones, memberships, pools.
void RebuildPools(LadderState& state, rules::RulesPtr rules, Time now);
/// Brings the pools in line with an endpoint's slots, health and availability.
/// O(targets of the endpoint).
void RefreshEndpoint(LadderState& state, EndpointHandle endpoint, Time now);
/// Raises the slots of zones that are coming back.
void AdvanceZoneRamps(LadderState& state, Time now);
/// Notes which targets an endpoint holds.
void SetLoadedTargets(LadderState& state, EndpointHandle endpoint,
                      const std::vector<TargetHandle>& loaded_targets,
                      Time now);
void ApplyHealthChange(LadderState& state, EndpointHandle endpoint,
                       HealthChange change, Time now);

// --- ladder_admit.cc ---

/// Lets the request in or appends a refusal; true when it waits now.
bool Admit(LadderState& state, const Request& request, Time now, Actions& out);
/// Refuses what waited too long or can't make it any more.
void RefuseUnreachable(LadderState& state, Time now, Actions& out);
/// Takes a request out of the queue; nothing when it doesn't wait.
std::optional<WaitingRequest> RemoveWaiting(LadderState& state,
                                            RequestId request);
void RefuseWaiting(LadderState& state, RequestId request, RefuseReason reason,
                   Time now, Actions& out);
/// By what runs at the target now.
double ReleasesPerSecond(const LadderState& state, TargetHandle target,
                         Time now);
std::uint32_t SlotsReservedFrom(const LadderState& state, const Pool& pool,
                                std::uint8_t tier);

// --- ladder_dispatch.cc ---

/// Starts waiting work of one target while slots are free.
void DispatchTarget(LadderState& state, TargetHandle target, Time now,
                    Actions& out);
/// The same for every target that an endpoint serves, best first.
void DispatchEndpoint(LadderState& state, EndpointHandle endpoint, Time now,
                      Actions& out);
void DispatchAll(LadderState& state, Time now, Actions& out);

}  // namespace egretladder::policy
