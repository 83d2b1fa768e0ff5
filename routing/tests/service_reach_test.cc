#include "egretladder/routing/service_reach.h"

#include <CppUTest/TestHarness.h>

namespace er = egretladder::routing;
using std::chrono::milliseconds;

TEST_GROUP(ServiceReach) {
  static constexpr std::size_t kEndpoints = 12;
  er::ServiceReach reach;
  er::Time now{std::chrono::hours(1)};

  void Advance(int ms) { now += milliseconds(ms); }
  bool Fail(std::uint64_t endpoint, int sent_ms_ago = 400) {
    return er::OnReachUnanswered(reach, endpoint, kEndpoints,
                                 now - milliseconds(sent_ms_ago), now);
  }
  bool Answer(int sent_ms_ago = 10) {
    return er::OnReachAnswered(reach, now - milliseconds(sent_ms_ago), now);
  }
  bool TryReach(int left_ms = 4000, bool is_repeatable = true) {
    return er::TryReach(reach, {milliseconds(left_ms), is_repeatable}, now);
  }
  void Lose() {
    Fail(1);
    Fail(2);
    Fail(3);
    Advance(1);
  }
  void CheckState(er::ReachState state) {
    STRCMP_EQUAL(er::NameOf(state), er::NameOf(reach.state));
  }
};

// Guards against a node that takes lost links for endpoints that are down.
TEST(ServiceReach, IsLostAfterFailuresInARowAtSeveralEndpoints) {
  CHECK_FALSE(Fail(1));
  CHECK_FALSE(Fail(2));
  CHECK_TRUE(Fail(3));
  CheckState(er::ReachState::kLost);
  CHECK_FALSE(TryReach());
}

// Guards against taking one silent or crashed endpoint for a lost service.
TEST(ServiceReach, OneEndpointAloneIsNotTheService) {
  for (int i = 0; i < 20; ++i) CHECK_FALSE(Fail(1));
  CheckState(er::ReachState::kReached);
}

// Guards against sessions that keep to two endpoints, so that a third never
// fails.
TEST(ServiceReach, ManyFailuresAtTwoEndpointsSuffice) {
  for (std::uint32_t i = 0; i + 1 < er::kManyUnanswered; ++i)
    CHECK_FALSE(Fail(1 + i % 2));
  CHECK_TRUE(Fail(2));
}

// Guards against requests that are sent into silence until the first of them
// has timed out.
TEST(ServiceReach, AttemptsThatStillWaitCountAsFailures) {
  std::vector<er::EndpointPtr> endpoints;
  for (std::uint64_t i = 0; i < 4; ++i) {
    endpoints.push_back(std::make_shared<er::Endpoint>());
    endpoints.back()->name_hash = i;
    endpoints.back()->unanswered[i] = {now, now + milliseconds(50), {}};
  }
  Advance(static_cast<int>(er::kMinServiceSilence.count()) - 1);
  CHECK_FALSE(
      er::CheckOverdueAttempts(reach, endpoints, endpoints.size(), now));
  Advance(1);
  CHECK_TRUE(er::CheckOverdueAttempts(reach, endpoints, endpoints.size(), now));
  CheckState(er::ReachState::kLost);
}

// Guards against one silent endpoint that is taken for a lost service.
TEST(ServiceReach, OneSilentEndpointIsNotTheService) {
  std::vector<er::EndpointPtr> endpoints;
  for (std::uint64_t i = 0; i < 4; ++i) {
    endpoints.push_back(std::make_shared<er::Endpoint>());
    endpoints.back()->name_hash = i;
  }
  endpoints[0]->unanswered[1] = {now, now + milliseconds(50), {}};
  for (int i = 0; i < 30; ++i) {
    Advance(100);
    CHECK_FALSE(
        er::CheckOverdueAttempts(reach, endpoints, endpoints.size(), now));
  }
  // An answer from another endpoint since refutes the silence of all.
  endpoints[1]->unanswered[2] = {now, now + milliseconds(50), {}};
  endpoints[2]->unanswered[3] = {now, now + milliseconds(50), {}};
  Advance(10);
  Answer(5);
  Advance(1500);
  CHECK_FALSE(
      er::CheckOverdueAttempts(reach, endpoints, endpoints.size(), now));
}

// Guards against a loss that is seen between answers of other endpoints.
TEST(ServiceReach, AnAnswerBetweenFailuresRefutesThem) {
  Fail(1);
  Fail(2);
  CHECK_FALSE(Answer());
  CHECK_FALSE(Fail(3));
  CheckState(er::ReachState::kReached);
}

// Guards against old streams that hide the loss of new connections.
TEST(ServiceReach, AnswersToEarlierAttemptsDoNotRefuteFailures) {
  Fail(1);
  Fail(2);
  Answer(5000);
  CHECK_TRUE(Fail(3));
}

// Guards against a service of one endpoint that could never be lost.
TEST(ServiceReach, AllEndpointsOfASmallServiceSuffice) {
  CHECK_TRUE(er::OnReachUnanswered(reach, 1, 1, now - milliseconds(400), now));
}

// Guards against probes that each caller pays for.
TEST(ServiceReach, OneRequestInEachIntervalProbes) {
  Lose();
  Advance(static_cast<int>(er::kReachProbeInterval.count()));
  CHECK_TRUE(TryReach());
  CHECK_FALSE(TryReach());
  Advance(static_cast<int>(er::kReachProbeInterval.count()));
  CHECK_FALSE(TryReach(500));
  CHECK_TRUE(TryReach());
}

// Guards against probes that lose requests which can't be sent again.
TEST(ServiceReach, ARequestThatMayRunOnceProbesOnlyWithoutOthers) {
  Lose();
  Advance(static_cast<int>(er::kReachProbeInterval.count()));
  CHECK_FALSE(TryReach(4000, false));
  CHECK_TRUE(TryReach());
  Advance(static_cast<int>(
      (er::kReachProbeInterval + er::kRepeatableProbeTime).count()));
  CHECK_TRUE(TryReach(4000, false));
  CHECK_FALSE(TryReach(4000, false));
}

// Guards against sending all requests to a link that has just returned.
TEST(ServiceReach, ReturnsBySteps) {
  Lose();
  CHECK_TRUE(Answer(0));
  CheckState(er::ReachState::kReturning);
  std::uint32_t sent = 0;
  for (; TryReach(); ++sent) er::OnReachAttemptBegan(reach);
  LONGS_EQUAL(er::kInitialReturningInFlight, sent);
  for (int i = 0; i < 5; ++i) {
    er::OnReachAttemptEnded(reach, now);
    Answer(0);
  }
  CheckState(er::ReachState::kReached);
}

// Guards against streams from before the loss that keep the service from
// returning.
TEST(ServiceReach, EarlierAttemptsDoNotCountWhileReturning) {
  for (int i = 0; i < 10; ++i) er::OnReachAttemptBegan(reach);
  Lose();
  Answer(0);
  CHECK_TRUE(TryReach());
  er::OnReachAttemptBegan(reach);
  er::OnReachAttemptEnded(reach, now - milliseconds(5000));
  LONGS_EQUAL(1, reach.in_flight);
}

// Guards against a link that comes and goes and costs callers a timeout each
// time.
TEST(ServiceReach, RelapseIsProbedLessOften) {
  Lose();
  Advance(500);
  Answer(0);
  Advance(1);
  Fail(1, 0);
  Fail(2, 0);
  CHECK_TRUE(Fail(3, 0));
  Advance(static_cast<int>(er::kReachProbeInterval.count()));
  CHECK_FALSE(TryReach());
  Advance(static_cast<int>(er::kReachProbeInterval.count()));
  CHECK_TRUE(TryReach());
}

// Guards against failures from before the return that undo it.
TEST(ServiceReach, FailuresFromBeforeTheReturnDoNotCount) {
  Lose();
  Advance(500);
  Answer(0);
  Advance(1);
  Fail(1);
  Fail(2);
  CHECK_FALSE(Fail(3));
}

// Guards against a node that is listed to no caller and so never probes.
TEST(ServiceReach, LossIsForgottenOnceNobodyWantsTheService) {
  Lose();
  Advance(5000);
  er::OnReachWanted(reach, now);
  Advance(static_cast<int>(er::kMaxUnwantedTime.count()) - 1);
  CHECK_FALSE(er::ForgetUnwantedLoss(reach, now));
  Advance(1);
  CHECK_TRUE(er::IsUnreached(reach));
  CHECK_TRUE(er::ForgetUnwantedLoss(reach, now));
  CHECK_FALSE(er::IsUnreached(reach));
  CHECK_FALSE(er::ForgetUnwantedLoss(reach, now));
}

// Guards against sending several requests over links that nobody has tried
// since they were lost.
TEST(ServiceReach, OneRequestProbesAnUnwantedService) {
  Lose();
  Advance(5000 + static_cast<int>(er::kMaxUnwantedTime.count()));
  CHECK_TRUE(er::ForgetUnwantedLoss(reach, now));
  CHECK_TRUE(TryReach());
  CHECK_FALSE(TryReach());
  Advance(100);
  CHECK_TRUE(Fail(1));
  CHECK_TRUE(er::IsUnreached(reach));
}

// Guards against work at each tick that grows with the endpoints: a pass over
// all would meet the one that isn't there.
TEST(ServiceReach, AFewEndpointsTellWhetherTheServiceIsReached) {
  er::EndpointSet set;
  for (int i = 0; i < 3; ++i) {
    er::EndpointEntry entry;
    entry.id = "e" + std::to_string(i);
    entry.service = "engines";
    er::OnEntryPublished(set, entry, now);
  }
  set.by_service["engines"].push_back(nullptr);
  LONGS_EQUAL(3, er::CountTellingEndpoints(set, "engines", now));
}
