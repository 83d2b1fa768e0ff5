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

inline constexpr std::uint32_t kNowhere = 0xffffffffU;
inline constexpr std::size_t kTiers = rules::kBottomTier + 1U;

/// What an endpoint adds to the pool of one target it serves.
struct Membership {
  TargetHandle target;
  std::uint32_t slots = 0;
  std::uint32_t free = 0;
  std::uint32_t position = kNowhere;  ///< In the pool's `open`.
};

/// What the ladder knows of an endpoint beside the table.
struct LadderEndpoint {
  std::vector<Membership> memberships;
  Health health;
  EndpointLoad load;  ///< `slots` are those under the zone's shift.
  std::uint64_t boot = 0;
  std::vector<TargetHandle> loaded;  ///< Empty: not known.
  std::uint32_t suspects = 0;        ///< That run there.
  Seconds first_token{};             ///< Smoothed.
};

/// What one tier brings to a target.
struct TierLoad {
  std::uint32_t running = 0;
  double running_smoothed = 0;
  double admitted = 0;       ///< Slot seconds a second, over seconds.
  double admitted_long = 0;  ///< The same, over a minute.
  double offered = 0;        ///< With what was refused, over seconds.
  Time until{};
  Time overloaded_since{};  ///< Default: it is not.
};

/// The slots of one target over all its endpoints.
struct Pool {
  std::uint32_t slots = 0;
  std::uint32_t free = 0;            ///< At endpoints that are not left alone.
  std::vector<EndpointHandle> open;  ///< With a free slot, not left alone.
  std::vector<EndpointHandle> left_alone;
  std::uint32_t holders = 0;  ///< Endpoints that report the target loaded.
  PrefixRing ring;
  Trickle trickle;
  std::array<TierLoad, kTiers> tiers;
  std::vector<Time> last_start;  ///< By class.
};

/// Work in flight.
struct Running {
  Request request;
  EndpointHandle endpoint;
  Time dispatched{};
  std::uint8_t tier = rules::kBottomTier;
  bool first_token = false;
  bool by_trickle = false;
  std::uint32_t tokens = 0;
  double charged = 0;
};

struct LadderState : SchedulerState {
  SchedulerOptions options;
  kernel::Random random;
  EndpointTable table;
  std::vector<LadderEndpoint> endpoints;
  std::vector<Pool> pools;                  ///< By target.
  std::vector<std::vector<WorkSeen>> seen;  ///< By target, class.
  std::vector<ZoneShift> zones;
  WaitQueue queue;
  std::unordered_map<RequestId, Running> running;
  std::vector<std::uint32_t> running_by_class;
  std::vector<std::uint32_t> running_by_account;
  std::vector<std::uint32_t> waiting_by_class;
  std::vector<std::uint32_t> waiting_by_account;
  std::unordered_map<std::uint64_t, Time> quarantined;
  Time next_sweep{};
  std::vector<EndpointHandle> homes;  ///< Scratch.
  std::vector<RequestId> ids;         ///< Scratch.
};

inline const Limits& LimitsOf(const LadderState& state) {
  return state.options.limits;
}

// --- ladder_pools.cc ---

/// Takes over new rules: zones, memberships, pools.
void RebuildPools(LadderState& state, rules::RulesPtr rules, Time now);
/// Brings the pools in line with an endpoint's slots, health and availability.
/// O(targets of the endpoint).
void RefreshEndpoint(LadderState& state, EndpointHandle endpoint, Time now);
/// Raises the slots of zones that are coming back.
void AdvanceShifts(LadderState& state, Time now);
/// Notes which targets an endpoint holds.
void SetLoaded(LadderState& state, EndpointHandle endpoint,
               const std::vector<TargetHandle>& loaded, Time now);
void ApplyHealth(LadderState& state, EndpointHandle endpoint,
                 HealthChange change, Time now);

// --- ladder_admit.cc ---

/// Lets the request in or appends a refusal; true when it waits now.
bool Admit(LadderState& state, const Request& request, Time now, Actions& out);
/// Refuses what waited too long or can't make it any more.
void RefuseHopeless(LadderState& state, Time now, Actions& out);
/// Takes a request out of the queue; nothing when it doesn't wait.
std::optional<Waiting> TakeWaiting(LadderState& state, RequestId request);
void RefuseWaiting(LadderState& state, RequestId request, RefuseReason reason,
                   Time now, Actions& out);
/// By what runs at the target now.
double ReleasesASecond(const LadderState& state, TargetHandle target, Time now);
std::uint32_t ReservedFrom(const LadderState& state, const Pool& pool,
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
