// The single decisions of admit.h, estimate.h, trickle.h, health.h, pick.h and
// shift.h, each alone.
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

// One answer in fifty runs for minutes. Learned from ended work alone, service
// times look short for as long as the long answers hold their slots, and
// callers are let in who then wait for nothing.
TEST(Decisions, ServiceTimesCountWorkThatStillRuns) {
  ep::WorkSeen seen;
  for (int i = 0; i < 100; ++i) {
    ep::OnWorkStarted(seen, clock_.now);
    ek::Advance(clock_, 1s);
    ep::OnWorkEnded(seen, 10, 256, clock_.now);
  }
  const double before = ep::MeanSlotTime(seen, clock_.now).count();
  DOUBLES_EQUAL(1.0, before, 0.01);
  for (int i = 0; i < 10; ++i) ep::OnWorkStarted(seen, clock_.now);
  ek::Advance(clock_, 30s);
  CHECK_TRUE(ep::MeanSlotTime(seen, clock_.now).count() > 3 * before);
}

// The queue before a request takes 10 s and its answer is wanted in 2 s. It
// would hear so only after waiting; refused at once it can go elsewhere.
TEST(Decisions, RefusesAtOnceWhatCannotBeInTime) {
  ep::AdmitQuestion question;
  question.deadline = question.bound = clock_.now + 2s;
  question.wait = question.wait_late =
      ep::EstimateWait({100, 200, 64}, {20, 0, 5.0, 1.0});
  DOUBLES_EQUAL(10.1, question.wait.count(), 0.01);
  CHECK_FALSE(ep::DecideAdmit(question, clock_.now).has_value());
  question.trust = 1;
  CHECK(ep::DecideAdmit(question, clock_.now) ==
        ep::RefuseReason::kDeadlineUnreachable);
  CHECK(ep::RetryAfter(question.wait, ep::Seconds(2), 0, limits_) > 8s);
}

// Its class may wait for 30 s, so a late answer is still of use while the
// overload passes; in a lasting one it would wait 30 s for a refusal.
TEST(Decisions, LateWorkWaitsOnlyWhileLessArrivesThanIsServed) {
  ep::AdmitQuestion question;
  question.deadline = clock_.now + 2s;
  question.bound = clock_.now + 30s;
  question.wait = question.wait_late = ep::Seconds(10);
  question.trust = 1;
  CHECK_FALSE(ep::DecideAdmit(question, clock_.now).has_value());
  question.overloaded = true;
  CHECK_TRUE(ep::DecideAdmit(question, clock_.now).has_value());
}

// A broker's batch of 5000 waits in the class. A shop's single request goes
// next by turns, and must not be refused for what the broker has waiting.
TEST(Decisions, ABatchDoesNotRefuseOthersOfItsClass) {
  DOUBLES_EQUAL(1.0, ep::FairAhead(5000, 1, 0), 0.0);
  DOUBLES_EQUAL(5000.0, ep::FairAhead(5000, 1, 5000), 0.0);
}

TEST(Decisions, CapsHoldUnlessTheRequestCanStart) {
  ep::AdmitQuestion question;
  question.deadline = question.bound = clock_.now + 2s;
  question.class_cap = 3;
  question.class_waiting = 3;
  CHECK(ep::DecideAdmit(question, clock_.now) == ep::RefuseReason::kClassCap);
  question.class_waiting = 2;
  question.account_cap = question.account_waiting = 1;
  CHECK(ep::DecideAdmit(question, clock_.now) == ep::RefuseReason::kAccountCap);
  question.can_start_now = true;
  CHECK_FALSE(ep::DecideAdmit(question, clock_.now).has_value());
}

// Bulk answers run 50 times as long as questions. By starts, one in a hundred
// would take a third of the slots; by slot time the share holds.
TEST(Decisions, TrickleSpendsSlotTimeNotStarts) {
  ep::Trickle trickle;
  trickle.until = clock_.now;
  double busy = 0;
  for (int second = 0; second < 10'000; ++second) {
    ek::Advance(clock_, 1s);
    ep::AdvanceTrickle(trickle, 10, limits_, clock_.now);
    busy += trickle.running;
    const bool ends = trickle.running > 0 && second % 50 == 0;
    if (ends) trickle.running = 0;
    if (ep::MayTrickle(trickle, 10, limits_)) ++trickle.running;
  }
  const double share = busy / (10.0 * 10'000);
  DOUBLES_EQUAL(limits_.aging_share, share, limits_.aging_share * 0.1);
}

// An endpoint answers 5 times slower and reports health. Callers sent there
// wait; it is left alone until probes show it well.
TEST(Decisions, SlowEndpointIsLeftAloneAndFoundWellAgain) {
  ep::Health health;
  ep::HealthChange change = ep::HealthChange::kNone;
  for (int i = 0; i < 12 && change == ep::HealthChange::kNone; ++i) {
    change = ep::OnFirstTokenTook(health, 2500ms, 500ms, limits_, clock_.now);
  }
  CHECK(change == ep::HealthChange::kLeftAlone);
  CHECK_FALSE(ep::IsProbeDue(health, clock_.now));
  ek::Advance(clock_, limits_.probe_interval);
  CHECK_TRUE(ep::IsProbeDue(health, clock_.now));
  for (std::uint32_t i = 0; i < limits_.probes_to_trust; ++i) {
    change = ep::OnFirstTokenTook(health, 500ms, 500ms, limits_, clock_.now);
  }
  CHECK(change == ep::HealthChange::kTrusted);
}

// An endpoint that refuses every connection looks idle, and draws all work.
TEST(Decisions, FailuresInARowLeaveAnEndpointAlone) {
  ep::Health health;
  CHECK(ep::OnFailure(health, limits_, clock_.now) == ep::HealthChange::kNone);
  ep::OnAnswered(health);
  for (std::uint32_t i = 1; i < limits_.failures_in_row; ++i) {
    (void)ep::OnFailure(health, limits_, clock_.now);
  }
  CHECK_FALSE(health.left_alone);
  CHECK(ep::OnFailure(health, limits_, clock_.now) ==
        ep::HealthChange::kLeftAlone);
}

// All endpoints slow down under load. Left alone one by one, the rest would
// carry ever more.
TEST(Decisions, MostEndpointsAreNeverLeftAlone) {
  CHECK_TRUE(ep::MayLeaveAlone(3, 12, limits_));
  CHECK_FALSE(ep::MayLeaveAlone(4, 12, limits_));
  CHECK_FALSE(ep::MayLeaveAlone(0, 2, limits_));
}

// A report that is ten seconds old says little of the load now. Trusted fully,
// all nodes run to an endpoint that was idle then.
TEST(Decisions, OldReportsCountLess) {
  ep::EndpointLoad load;
  load.slots = load.max_in_flight = 8;
  load.reported_load = 8;
  load.reported_at = clock_.now;
  const double fresh = ep::ScoreOf(load, limits_, clock_.now);
  const double old = ep::ScoreOf(load, limits_, clock_.now + 10s);
  load.reported_at = {};
  const double none = ep::ScoreOf(load, limits_, clock_.now);
  DOUBLES_EQUAL(1.125, fresh, 0.001);
  DOUBLES_EQUAL(none, old, 0.01);
}

// One prompt is asked by everybody. Always at its home, it overloads that
// endpoint while others idle.
TEST(Decisions, HotPrefixLeavesAHomeThatHoldsMoreThanItsPart) {
  ep::EndpointLoad load;
  load.slots = 8;
  load.in_flight = 4;
  CHECK_TRUE(ep::TakesPrefix(load, 0.5, limits_));
  load.in_flight = 7;
  CHECK_FALSE(ep::TakesPrefix(load, 0.5, limits_));
}

// An endpoint leaves. If prefixes moved between the others as well, every cache
// would be cold at once.
TEST(Decisions, PrefixHomesMoveLittleWhenAnEndpointLeaves) {
  ep::load::Workload load;
  const auto rules = ep::load::MakeRules(load, 1, {});
  std::vector<ep::EndpointHandle> servers;
  for (std::uint32_t i = 0; i < 12; ++i) servers.push_back({i});
  const ep::PrefixRing all = ep::MakeRing(*rules, servers);
  servers.pop_back();
  const ep::PrefixRing fewer = ep::MakeRing(*rules, servers);
  std::vector<ep::EndpointHandle> before;
  std::vector<ep::EndpointHandle> after;
  for (int i = 0; i < 1000; ++i) {
    const std::uint64_t prefix = ek::HashBytes(std::to_string(i));
    ep::HomesOf(all, prefix, 1, before);
    ep::HomesOf(fewer, prefix, 1, after);
    if (before[0].idx != 11) CHECK_TRUE(before == after);
  }
}

// A zone returns with idle endpoints. All at once, every new request goes to a
// zone of which no one knows whether it is well.
TEST(Decisions, ZoneGetsItsSlotsBackByAndBy) {
  ep::ZoneShift shift;
  ep::OnZone(shift, false, clock_.now);
  DOUBLES_EQUAL(1.0, ep::PartOf(shift, limits_, clock_.now), 0.0);
  ep::OnZone(shift, true, clock_.now);
  DOUBLES_EQUAL(0.0, ep::PartOf(shift, limits_, clock_.now), 0.0);
  ep::OnZone(shift, false, clock_.now);
  DOUBLES_EQUAL(limits_.zone_ramp_initial_ratio,
                ep::PartOf(shift, limits_, clock_.now), 0.001);
  CHECK_EQUAL(1U, ep::SlotsUnder(limits_.zone_ramp_initial_ratio, 8));
  ek::Advance(clock_, 3 * limits_.zone_ramp_doubling_time);
  DOUBLES_EQUAL(1.0, ep::PartOf(shift, limits_, clock_.now), 0.001);
}
