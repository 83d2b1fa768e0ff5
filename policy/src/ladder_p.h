// The state of the scheduler "ladder" and the functions of its parts: pools
// (the slots of each target), admission and dispatch.
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

/// What an endpoint contributes to the pool of one target that it serves.
struct Membership {
  TargetHandle target;
  std::uint32_t slots = 0;
  std::uint32_t free = 0;
  std::uint32_t position = kNoPosition;  ///< In `Pool::free_endpoints`.
};

/// The ladder's state of an endpoint, in addition to `EndpointState`.
struct LadderEndpoint {
  std::vector<Membership> memberships;
  Health health;
  EndpointLoad load;  ///< `slots` is scaled by the zone's ramp.
  std::uint64_t boot = 0;
  std::vector<TargetHandle> loaded_targets;  ///< Empty: unknown.
  std::uint32_t running_suspects = 0;        ///< Suspects in flight.
  Seconds first_token_latency{};             ///< Moving average.
};

/// The load that one tier brings to a target. Loads are in slot seconds per
/// second.
struct TierLoad {
  std::uint32_t running = 0;      ///< Attempts in flight.
  double mean_running = 0;        ///< Moving average of `running`.
  double admitted_load = 0;       ///< Averaged over seconds.
  double admitted_load_long = 0;  ///< Averaged over a minute.
  double offered_load = 0;        ///< Includes refused requests.
  Time updated_at{};
  Time overloaded_since{};  ///< Default: not overloaded.
};

/// The slots of one target at all its endpoints.
struct Pool {
  std::uint32_t slots = 0;
  std::uint32_t free = 0;  ///< At endpoints that are not ejected.
  /// Endpoints with a free slot that are not ejected.
  std::vector<EndpointHandle> free_endpoints;
  std::vector<EndpointHandle> ejected;
  /// Number of endpoints that report the target loaded.
  std::uint32_t loaded_endpoints = 0;
  PrefixRing ring;
  AgingQuota quota;
  std::array<TierLoad, kTiers> tiers;
  std::vector<Time> last_dispatch;  ///< By class.
};

/// An attempt in flight.
struct RunningAttempt {
  Request request;
  EndpointHandle endpoint;
  Time dispatched{};
  std::uint8_t tier = rules::kBottomTier;
  bool has_first_token = false;
  bool by_aging_quota = false;  ///< Started by the target's aging quota.
  std::uint32_t tokens = 0;     ///< Output tokens so far.
  double charged_tokens = 0;    ///< Charged to the account so far.
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
  std::unordered_map<std::uint64_t, Time> quarantined;  ///< Until when.
  Time next_sweep{};
  std::vector<EndpointHandle> scratch_owners;  ///< Reused buffer.
  std::vector<RequestId> scratch_ids;          ///< Reused buffer.
};

inline const Limits& GetLimits(const LadderState& state) {
  return state.options.limits;
}

// --- ladder_pools.cc ---

/// Applies new rules to zones, memberships and pools.
void RebuildPools(LadderState& state, rules::RulesPtr rules, Time now);
/// Updates the pools to an endpoint's slots, health and availability.
/// O(targets of the endpoint).
void RefreshEndpoint(LadderState& state, EndpointHandle endpoint, Time now);
/// Raises the slots of endpoints in zones that are returning to service.
void AdvanceZoneRamps(LadderState& state, Time now);
/// Sets which targets an endpoint has loaded, and updates the pools.
void SetLoadedTargets(LadderState& state, EndpointHandle endpoint,
                      const std::vector<TargetHandle>& loaded_targets,
                      Time now);
/// Ejects or readmits the endpoint. Resets its health instead of ejecting it
/// when too many endpoints of one of its targets are ejected already.
void ApplyHealthChange(LadderState& state, EndpointHandle endpoint,
                       HealthChange change, Time now);

// --- ladder_admit.cc ---

/// Enqueues the request or appends its refusal. Returns true when it waits now.
bool Admit(LadderState& state, const Request& request, Time now, Actions& out);
/// Refuses waiting requests that have passed their queue deadline or can no
/// longer be served before it.
void RefuseUnreachable(LadderState& state, Time now, Actions& out);
/// Removes and returns a request from the queue, or nothing when it isn't
/// there.
std::optional<WaitingRequest> RemoveWaiting(LadderState& state,
                                            RequestId request);
/// Removes a waiting request from the queue and appends its refusal.
void RefuseWaiting(LadderState& state, RequestId request, RefuseReason reason,
                   Time now, Actions& out);
/// Returns the rate at which slots of the target become free, by the attempts
/// in flight and their mean slot time.
double ReleasesPerSecond(const LadderState& state, TargetHandle target,
                         Time now);
/// Returns the number of the pool's free slots that `tier` leaves for higher
/// tiers.
std::uint32_t SlotsReservedFrom(const LadderState& state, const Pool& pool,
                                std::uint8_t tier);

// --- ladder_dispatch.cc ---

/// Dispatches waiting requests of one target while it has free slots.
void DispatchTarget(LadderState& state, TargetHandle target, Time now,
                    Actions& out);
/// Dispatches waiting requests of all targets that the endpoint serves, in the
/// order of the queue.
void DispatchEndpoint(LadderState& state, EndpointHandle endpoint, Time now,
                      Actions& out);
void DispatchAll(LadderState& state, Time now, Actions& out);

}  // namespace egretladder::policy
