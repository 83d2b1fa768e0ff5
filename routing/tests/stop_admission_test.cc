#include "egretladder/routing/stop_admission.h"

#include <CppUTest/TestHarness.h>

using namespace std::chrono_literals;
namespace ep = egretladder::policy;
namespace er = egretladder::routing;
using er::StopAdmissionVerdict;

namespace {

// Requests are ended 7.3 s after the stop began.
ep::StopPlan Plan() {
  ep::StopPlan plan;
  plan.address_ttl = 3000ms;
  plan.settle = 200ms;
  plan.grace = 8000ms;
  plan.cut_margin = 700ms;
  plan.exit_margin = 200ms;
  return plan;
}

er::StopAdmissionInput Arriving(std::chrono::milliseconds since) {
  er::StopAdmissionInput ask;
  ask.arrived = since;
  ask.since = since;
  ask.deadline = 8000ms;
  ask.longest = 4200ms;
  return ask;
}

}  // namespace

TEST_GROUP(StopTake){};

// Callers don't know yet that the node stops, and send what they always send.
// Refusing all of it would take one try from each of them for nothing.
TEST(StopTake, WhatIsExpectedToEndInTimeIsTaken) {
  CHECK(er::DecideStopAdmission(Plan(), Arriving(100ms)) ==
        StopAdmissionVerdict::kExpectedInTime);
  CHECK(er::DecideStopAdmission(Plan(), Arriving(2900ms)) ==
        StopAdmissionVerdict::kExpectedInTime);
}

// A long stream behind a queue reaches a node that stops. Taken, it would be
// cut in the middle of its answer.
TEST(StopTake, WhatMayOutlastTheGraceIsRefused) {
  er::StopAdmissionInput ask = Arriving(2900ms);
  ask.longest = 4500ms;
  CHECK(er::DecideStopAdmission(Plan(), ask) == StopAdmissionVerdict::kTooLong);
  ask.arrived = ask.since = 2000ms;
  CHECK(er::DecideStopAdmission(Plan(), ask) ==
        StopAdmissionVerdict::kExpectedInTime);
}

// A caller kept the address for longer than it should. An estimate may be
// wrong; a deadline can't be.
TEST(StopTake, AfterTheAddressesLapsedOnlyADeadlineCounts) {
  er::StopAdmissionInput ask = Arriving(3000ms);
  CHECK(er::DecideStopAdmission(Plan(), ask) == StopAdmissionVerdict::kTooLate);
  ask.deadline = 4300ms;
  CHECK(er::DecideStopAdmission(Plan(), ask) ==
        StopAdmissionVerdict::kEndsByDeadline);
  ask.deadline = 4301ms;
  CHECK(er::DecideStopAdmission(Plan(), ask) == StopAdmissionVerdict::kTooLate);
  ask = Arriving(3200ms);
  ask.deadline = 100ms;
  CHECK(er::DecideStopAdmission(Plan(), ask) == StopAdmissionVerdict::kTooLate);
}

// A request came before the stop and waited in the node, which is full. It has
// not run, so that its caller can be sent elsewhere as soon as the rest of the
// grace time is too short for it, and not before.
TEST(StopTake, WhatWaitsIsJudgedByWhatIsLeft) {
  er::StopAdmissionInput ask = Arriving(-200ms);
  ask.since = 3100ms;
  CHECK(er::DecideStopAdmission(Plan(), ask) ==
        StopAdmissionVerdict::kExpectedInTime);
  ask.since = 5000ms;
  CHECK(er::DecideStopAdmission(Plan(), ask) == StopAdmissionVerdict::kTooLong);
  ask.deadline = 2000ms;
  CHECK(er::DecideStopAdmission(Plan(), ask) ==
        StopAdmissionVerdict::kEndsByDeadline);
}

// Operators give a stop more or less time; the same requests are then taken
// longer or not at all.
TEST(StopTake, FollowsTheGraceTime) {
  ep::StopPlan plan = Plan();
  plan.grace = 30s;
  er::StopAdmissionInput ask = Arriving(2900ms);
  ask.longest = 25s;
  ask.deadline = 60s;
  CHECK(er::DecideStopAdmission(plan, ask) ==
        StopAdmissionVerdict::kExpectedInTime);
  plan.grace = 4s;
  ask.longest = 500ms;
  CHECK(er::DecideStopAdmission(plan, ask) == StopAdmissionVerdict::kTooLong);
}

// Streams of one route differ by a factor of ten. What counts is how long a
// long one lasts, at the pace of an engine that is busy with others.
TEST(StopTake, ExpectsALongStreamOfItsRoute) {
  er::EndpointSet set;
  er::Service service;
  service.name = "engines";
  er::ServicePace& pace = set.service_paces["engines"];
  pace.alone_ms = 20;
  er::Demand demand;
  demand.service = &service;
  demand.longest = 51;
  er::Placement placement;
  placement.endpoint = std::make_shared<er::Endpoint>();
  placement.expected_ms = 300;
  CHECK(er::EstimateLongAnswerTime(set, demand, placement) == 1300ms);
  placement.endpoint->in_flight = 10;
  CHECK(er::EstimateLongAnswerTime(set, demand, placement) > 1500ms);
  demand.longest = 0;
  CHECK(er::EstimateLongAnswerTime(set, demand, placement) == 300ms);
}
