// Unit tests of the decisions in admit.h, aging_quota.h, estimate.h, health.h,
// pick.h and zone_ramp.h.
#include <CppUTest/TestHarness.h>

#include <chrono>
#include <string>

#include "egretladder/policy/admit.h"
#include "egretladder/policy/aging_quota.h"
#include "egretladder/policy/health.h"
#include "egretladder/policy/pick.h"
#include "egretladder/policy/zone_ramp.h"
#include "load_model.h"

using namespace std::chrono_literals;
namespace ep = egretladder::policy;
namespace ek = egretladder::kernel;

TEST_GROUP(Decisions) {
  ek::ManualClock clock_;
  ep::Limits limits_;
};

// One answer in fifty runs for minutes. If service times were learned from
// completed attempts only, they would look short for as long as the long
// answers hold their slots, and requests would be admitted that can't be served
// in time.
TEST(Decisions, ServiceTimesIncludeRunningAttempts) {
  ep::ServiceTimeStats stats;
  for (int i = 0; i < 100; ++i) {
    ep::RecordDispatch(stats, clock_.now);
    ek::Advance(clock_, 1s);
    ep::RecordCompletion(stats, 10, 256, clock_.now);
  }
  const double before = ep::MeanSlotTime(stats, clock_.now).count();
  DOUBLES_EQUAL(1.0, before, 0.01);
  for (int i = 0; i < 10; ++i) ep::RecordDispatch(stats, clock_.now);
  ek::Advance(clock_, 30s);
  CHECK_TRUE(ep::MeanSlotTime(stats, clock_.now).count() > 3 * before);
}

// The queue ahead of a request takes 10 s, and its deadline is in 2 s. If it
// were refused only after the deadline, its caller could not try elsewhere in
// time.
TEST(Decisions, RefusesOnArrivalWhatWouldMissItsDeadline) {
  ep::AdmissionContext context;
  context.deadline = context.queue_deadline = clock_.now + 2s;
  context.expected_wait = context.expected_wait_if_late =
      ep::EstimateWait({100, 200, 64}, {20, 0, 5.0, 1.0});
  DOUBLES_EQUAL(10.1, context.expected_wait.count(), 0.01);
  CHECK_FALSE(ep::DecideAdmission(context, clock_.now).has_value());
  context.confidence = 1;
  CHECK(ep::DecideAdmission(context, clock_.now) ==
        ep::RefuseReason::kDeadlineUnreachable);
  CHECK(ep::RetryAfter(context.expected_wait, ep::Seconds(2), 0, limits_) > 8s);
}

// The class allows waits of 30 s, so that a late answer is still useful after a
// short overload. In a lasting one the request would wait 30 s for a refusal.
TEST(Decisions, LateRequestsWaitOnlyWithoutOverload) {
  ep::AdmissionContext context;
  context.deadline = clock_.now + 2s;
  context.queue_deadline = clock_.now + 30s;
  context.expected_wait = context.expected_wait_if_late = ep::Seconds(10);
  context.confidence = 1;
  CHECK_FALSE(ep::DecideAdmission(context, clock_.now).has_value());
  context.overloaded = true;
  CHECK_TRUE(ep::DecideAdmission(context, clock_.now).has_value());
}

// A batch of 5000 requests of one account waits in the class. The single
// request of another account is next in fair turns and must not be refused
// because of the batch.
TEST(Decisions, BatchDoesNotRefuseOtherAccountsOfItsClass) {
  DOUBLES_EQUAL(1.0, ep::FairRequestsAhead(5000, 1, 0), 0.0);
  DOUBLES_EQUAL(5000.0, ep::FairRequestsAhead(5000, 1, 5000), 0.0);
}

// Caps limit waiting requests. A request that can start at once doesn't wait.
TEST(Decisions, CapsApplyUnlessTheRequestCanStart) {
  ep::AdmissionContext context;
  context.deadline = context.queue_deadline = clock_.now + 2s;
  context.class_cap = 3;
  context.class_waiting = 3;
  CHECK(ep::DecideAdmission(context, clock_.now) ==
        ep::RefuseReason::kClassCap);
  context.class_waiting = 2;
  context.account_cap = context.account_waiting = 1;
  CHECK(ep::DecideAdmission(context, clock_.now) ==
        ep::RefuseReason::kAccountCap);
  context.can_start_now = true;
  CHECK_FALSE(ep::DecideAdmission(context, clock_.now).has_value());
}

// Answers of a low tier run 50 times as long as others. If the quota counted
// starts, one in a hundred would take a third of the slots. Counting slot time
// keeps the share.
TEST(Decisions, AgingQuotaCountsSlotTimeNotStarts) {
  ep::AgingQuota quota;
  quota.updated_at = clock_.now;
  double spent_slot_seconds = 0;
  for (int second = 0; second < 10'000; ++second) {
    ek::Advance(clock_, 1s);
    ep::AccrueAgingQuota(quota, 10, limits_, clock_.now);
    spent_slot_seconds += quota.running;
    const bool finished = quota.running > 0 && second % 50 == 0;
    if (finished) quota.running = 0;
    if (ep::CanStartAged(quota, 10, limits_)) ++quota.running;
  }
  const double share = spent_slot_seconds / (10.0 * 10'000);
  DOUBLES_EQUAL(limits_.aging_share, share, limits_.aging_share * 0.1);
}

// An endpoint answers 5 times slower but reports itself healthy. It must be
// ejected until probes are answered at the usual speed.
TEST(Decisions, SlowEndpointIsEjectedAndReadmittedByProbes) {
  ep::Health health;
  ep::HealthChange change = ep::HealthChange::kNone;
  for (int i = 0; i < 12 && change == ep::HealthChange::kNone; ++i) {
    change =
        ep::OnFirstTokenLatency(health, 2500ms, 500ms, limits_, clock_.now);
  }
  CHECK(change == ep::HealthChange::kEjected);
  CHECK_FALSE(ep::IsProbeDue(health, clock_.now));
  ek::Advance(clock_, limits_.probe_interval);
  CHECK_TRUE(ep::IsProbeDue(health, clock_.now));
  for (std::uint32_t i = 0; i < limits_.probes_to_readmit; ++i) {
    change = ep::OnFirstTokenLatency(health, 500ms, 500ms, limits_, clock_.now);
  }
  CHECK(change == ep::HealthChange::kReadmitted);
}

// An endpoint that refuses every connection looks idle and attracts all
// requests.
TEST(Decisions, ConsecutiveFailuresEjectAnEndpoint) {
  ep::Health health;
  CHECK(ep::OnFailure(health, limits_, clock_.now) == ep::HealthChange::kNone);
  ep::OnSuccess(health);
  for (std::uint32_t i = 1; i < limits_.failures_to_eject; ++i) {
    (void)ep::OnFailure(health, limits_, clock_.now);
  }
  CHECK_FALSE(health.ejected);
  CHECK(ep::OnFailure(health, limits_, clock_.now) ==
        ep::HealthChange::kEjected);
}

// All endpoints become slow under load. If they were ejected one by one, the
// load on the others would increase each time.
TEST(Decisions, NeverEjectsMostEndpoints) {
  CHECK_TRUE(ep::CanEject(3, 12, limits_));
  CHECK_FALSE(ep::CanEject(4, 12, limits_));
  CHECK_FALSE(ep::CanEject(0, 2, limits_));
}

// A report that is ten seconds old says little about the current load. With
// full weight it would send the requests of all nodes to an endpoint that was
// idle then.
TEST(Decisions, OldReportsWeighLess) {
  ep::EndpointLoad load;
  load.slots = load.max_in_flight = 8;
  load.reported_load = 8;
  load.reported_at = clock_.now;
  const double fresh = ep::LoadScore(load, limits_, clock_.now);
  const double old = ep::LoadScore(load, limits_, clock_.now + 10s);
  load.reported_at = {};
  const double none = ep::LoadScore(load, limits_, clock_.now);
  DOUBLES_EQUAL(1.125, fresh, 0.001);
  DOUBLES_EQUAL(none, old, 0.01);
}

// Many callers send the same prompt. If it always went to the endpoint that has
// its prefix cached, that endpoint would be overloaded while others are idle.
TEST(Decisions, HotPrefixDoesNotOverloadItsOwner) {
  ep::EndpointLoad load;
  load.slots = 8;
  load.in_flight = 4;
  CHECK_TRUE(ep::HasPrefixCapacity(load, 0.5, limits_));
  load.in_flight = 7;
  CHECK_FALSE(ep::HasPrefixCapacity(load, 0.5, limits_));
}

// An endpoint leaves. If prefixes also moved between the remaining endpoints,
// all caches would be cold at once.
TEST(Decisions, PrefixOwnersStayWhenAnotherEndpointLeaves) {
  ep::load::Workload workload;
  const auto rules = ep::load::MakeRules(workload, 1, {});
  std::vector<ep::EndpointHandle> servers;
  for (std::uint32_t i = 0; i < 12; ++i) servers.push_back({i});
  const ep::PrefixRing full_ring = ep::BuildPrefixRing(*rules, servers);
  servers.pop_back();
  const ep::PrefixRing reduced_ring = ep::BuildPrefixRing(*rules, servers);
  std::vector<ep::EndpointHandle> before;
  std::vector<ep::EndpointHandle> after;
  for (int i = 0; i < 1000; ++i) {
    const std::uint64_t prefix = ek::HashBytes(std::to_string(i));
    ep::FindPrefixOwners(full_ring, prefix, 1, before);
    ep::FindPrefixOwners(reduced_ring, prefix, 1, after);
    if (before[0].idx != 11) CHECK_TRUE(before == after);
  }
}

// A zone returns to service with idle endpoints. Without a ramp every new
// request would go there before it is known whether the zone is healthy.
TEST(Decisions, ReturningZoneGetsItsSlotsGradually) {
  ep::ZoneRamp ramp;
  ep::UpdateZoneRamp(ramp, false, clock_.now);
  DOUBLES_EQUAL(1.0, ep::RampRatio(ramp, limits_, clock_.now), 0.0);
  ep::UpdateZoneRamp(ramp, true, clock_.now);
  DOUBLES_EQUAL(0.0, ep::RampRatio(ramp, limits_, clock_.now), 0.0);
  ep::UpdateZoneRamp(ramp, false, clock_.now);
  DOUBLES_EQUAL(limits_.zone_ramp_initial_ratio,
                ep::RampRatio(ramp, limits_, clock_.now), 0.001);
  CHECK_EQUAL(1U, ep::ScaleSlots(limits_.zone_ramp_initial_ratio, 8));
  ek::Advance(clock_, 3 * limits_.zone_ramp_doubling_time);
  DOUBLES_EQUAL(1.0, ep::RampRatio(ramp, limits_, clock_.now), 0.001);
}
