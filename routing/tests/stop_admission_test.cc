#include "egretladder/routing/stop_admission.h"

#include <CppUTest/TestHarness.h>

using namespace std::chrono_literals;
namespace ep = egretladder::policy;
namespace er = egretladder::routing;
using er::StopAdmissionVerdict;

namespace {

// Requests are cut 7.3 s after the stop began.
ep::StopPlan MakeStopPlan() {
  ep::StopPlan plan;
  plan.address_ttl = 3000ms;
  plan.settle = 200ms;
  plan.grace = 8000ms;
  plan.cut_margin = 700ms;
  plan.exit_margin = 200ms;
  return plan;
}

er::StopAdmissionInput ArrivingAt(std::chrono::milliseconds since) {
  er::StopAdmissionInput input;
  input.arrived = since;
  input.since = since;
  input.deadline = 8000ms;
  input.longest = 4200ms;
  return input;
}

}  // namespace

TEST_GROUP(StopAdmission){};

// Guards against costing each caller a retry by rejecting everything while the
// callers don't know of the stop yet.
TEST(StopAdmission, AcceptsRequestsThatAreExpectedToEndInTime) {
  CHECK(er::DecideStopAdmission(MakeStopPlan(), ArrivingAt(100ms)) ==
        StopAdmissionVerdict::kExpectedInTime);
  CHECK(er::DecideStopAdmission(MakeStopPlan(), ArrivingAt(2900ms)) ==
        StopAdmissionVerdict::kExpectedInTime);
}

// Guards against cutting a long stream that waits behind a queue when it
// reaches the stopping node.
TEST(StopAdmission, RejectsRequestsThatMayOutlastTheGracePeriod) {
  er::StopAdmissionInput input = ArrivingAt(2900ms);
  input.longest = 4500ms;
  CHECK(er::DecideStopAdmission(MakeStopPlan(), input) ==
        StopAdmissionVerdict::kTooLong);
  input.arrived = input.since = 2000ms;
  CHECK(er::DecideStopAdmission(MakeStopPlan(), input) ==
        StopAdmissionVerdict::kExpectedInTime);
}

// Guards against trusting an estimate for a caller that used the address longer
// than it should. Unlike an estimate, a deadline can't be wrong.
TEST(StopAdmission, AcceptsOnlyByDeadlineAfterTheAddressTtl) {
  er::StopAdmissionInput input = ArrivingAt(3000ms);
  CHECK(er::DecideStopAdmission(MakeStopPlan(), input) ==
        StopAdmissionVerdict::kTooLate);
  input.deadline = 4300ms;
  CHECK(er::DecideStopAdmission(MakeStopPlan(), input) ==
        StopAdmissionVerdict::kEndsByDeadline);
  input.deadline = 4301ms;
  CHECK(er::DecideStopAdmission(MakeStopPlan(), input) ==
        StopAdmissionVerdict::kTooLate);
  input = ArrivingAt(3200ms);
  input.deadline = 100ms;
  CHECK(er::DecideStopAdmission(MakeStopPlan(), input) ==
        StopAdmissionVerdict::kTooLate);
}

// Guards against cutting a request that may not be repeated while another node
// could serve it: its route shares its endpoints with short answers, so that
// their mean says nothing, or has shown no answer yet.
TEST(StopAdmission, TakesUnrepeatableOnesOnlyByTheLongestOfTheirRoute) {
  er::StopAdmissionInput input = ArrivingAt(2000ms);
  input.longest = 300ms;
  input.is_repeatable = false;
  input.do_others_stay = true;
  CHECK(er::DecideStopAdmission(MakeStopPlan(), input) ==
        StopAdmissionVerdict::kUnknownLength);
  input.longest_of_route = 5301ms;
  CHECK(er::DecideStopAdmission(MakeStopPlan(), input) ==
        StopAdmissionVerdict::kTooLong);
  input.longest_of_route = 5300ms;
  CHECK(er::DecideStopAdmission(MakeStopPlan(), input) ==
        StopAdmissionVerdict::kExpectedInTime);
  input.longest = 5301ms;
  CHECK(er::DecideStopAdmission(MakeStopPlan(), input) ==
        StopAdmissionVerdict::kTooLong);
}

// Guards against refusals that cost a caller one attempt for nothing: its
// request may be repeated, ends by its deadline, or would be refused by most
// other nodes too.
TEST(StopAdmission, TakesRequestsOfUnknownLengthWhereARefusalHelpsNobody) {
  er::StopAdmissionInput input = ArrivingAt(2000ms);
  input.is_repeatable = true;
  input.do_others_stay = true;
  CHECK(er::DecideStopAdmission(MakeStopPlan(), input) ==
        StopAdmissionVerdict::kExpectedInTime);
  input.is_repeatable = false;
  input.do_others_stay = false;
  CHECK(er::DecideStopAdmission(MakeStopPlan(), input) ==
        StopAdmissionVerdict::kExpectedInTime);
  input.do_others_stay = true;
  input.deadline = 5300ms;
  CHECK(er::DecideStopAdmission(MakeStopPlan(), input) ==
        StopAdmissionVerdict::kEndsByDeadline);
}

// Guards against an estimate that forgets a long answer as soon as short ones
// of its route follow, or that takes another route's answers for its own.
TEST(StopAdmission, KnowsTheLongestAnswerOfARoute) {
  er::ServicePace pace;
  er::Demand demand;
  er::Placement placement;
  placement.expected_ms = 300;
  CHECK_FALSE(er::EstimateLongestOfRoute(demand, placement).has_value());
  er::OnRouteAnswered(pace, "orders", 5000ms);
  er::OnRouteAnswered(pace, "orders", 200ms);
  CHECK_FALSE(er::LongAnswerMs(pace, "reads").has_value());
  demand.long_answer_ms = er::LongAnswerMs(pace, "orders");
  CHECK(er::EstimateLongestOfRoute(demand, placement) == 5150ms);
}

// A request arrived before the stop and waits at the full node. It hasn't run,
// so its caller is sent to another node as soon as the rest of the grace period
// is too short for it, but not earlier.
TEST(StopAdmission, JudgesWaitingRequestsByTheRemainingTime) {
  er::StopAdmissionInput input = ArrivingAt(-200ms);
  input.since = 3100ms;
  CHECK(er::DecideStopAdmission(MakeStopPlan(), input) ==
        StopAdmissionVerdict::kExpectedInTime);
  input.since = 5000ms;
  CHECK(er::DecideStopAdmission(MakeStopPlan(), input) ==
        StopAdmissionVerdict::kTooLong);
  input.deadline = 2000ms;
  CHECK(er::DecideStopAdmission(MakeStopPlan(), input) ==
        StopAdmissionVerdict::kEndsByDeadline);
}

// With a longer or shorter grace period, the same requests are accepted for
// longer or not at all.
TEST(StopAdmission, FollowsTheGracePeriod) {
  ep::StopPlan plan = MakeStopPlan();
  plan.grace = 30s;
  er::StopAdmissionInput input = ArrivingAt(2900ms);
  input.longest = 25s;
  input.deadline = 60s;
  CHECK(er::DecideStopAdmission(plan, input) ==
        StopAdmissionVerdict::kExpectedInTime);
  plan.grace = 4s;
  input.longest = 500ms;
  CHECK(er::DecideStopAdmission(plan, input) == StopAdmissionVerdict::kTooLong);
}

// Guards against estimating by the mean where streams of one route differ by a
// factor of ten: the estimate is that of a long stream at the pace of an engine
// that runs other requests.
TEST(StopAdmission, EstimatesALongStreamOfTheRoute) {
  er::EndpointSet set;
  er::Service service;
  service.name = "engines";
  er::ServicePace& pace = set.service_paces["engines"];
  pace.unloaded_event_ms = 20;
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
