#include "egretladder/routing/admission.h"

#include <CppUTest/TestHarness.h>

using namespace std::chrono_literals;
namespace er = egretladder::routing;
using er::AdmissionVerdict;

namespace {

constexpr er::Time kStart{std::chrono::hours(1)};

er::AdmissionInput MakeInput() {
  er::AdmissionInput input;
  input.waiting_since = kStart;
  input.deadline = kStart + 8s;
  input.target = 1000ms;
  return input;
}

er::Placement PlacementAt(double expected_ms) {
  er::Placement placement;
  placement.endpoint = std::make_shared<er::Endpoint>();
  placement.expected_ms = expected_ms;
  return placement;
}

}  // namespace

TEST_GROUP(Admission){};

// Guards against holding requests of a burst until their deadline. A caller
// that is rejected at once can still retry in time.
TEST(Admission, RejectsAtOnceARequestThatCannotStartInTime) {
  CHECK(er::DecideAdmission(MakeInput(), PlacementAt(500), kStart) ==
        AdmissionVerdict::kSend);
  CHECK(er::DecideAdmission(MakeInput(), PlacementAt(7000), kStart) ==
        AdmissionVerdict::kTooLate);
  CHECK(er::DecideAdmission(MakeInput(), PlacementAt(500), kStart + 7500ms) ==
        AdmissionVerdict::kTooLate);
}

TEST(Admission, WaitsForAnEndpointForPartOfTheTarget) {
  CHECK(er::DecideAdmission(MakeInput(), {}, kStart) ==
        AdmissionVerdict::kWait);
  CHECK(er::DecideAdmission(MakeInput(), {}, kStart + 400ms) ==
        AdmissionVerdict::kWait);
  CHECK(er::DecideAdmission(MakeInput(), {}, kStart + 500ms) ==
        AdmissionVerdict::kNoEndpoint);
}

// Guards against losing the generated part of a stream when its engine crashes
// while the other engines are full for a moment.
TEST(Admission, WorkThatWasSentBeforeWaitsLonger) {
  er::AdmissionInput input = MakeInput();
  input.target = 200ms;
  input.was_sent_before = true;
  CHECK(er::DecideAdmission(input, {}, kStart + 900ms) ==
        AdmissionVerdict::kWait);
}

// Guards against requests that wait for a turn which comes after their allowed
// wait.
TEST(Admission, RejectsAtOnceIfTheNextTurnComesTooLate) {
  er::Placement limited;
  limited.reason = er::PlacementReason::kAllLimited;
  limited.next_turn_in = 300ms;
  CHECK(er::DecideAdmission(MakeInput(), limited, kStart) ==
        AdmissionVerdict::kWait);
  limited.next_turn_in = 3s;
  CHECK(er::DecideAdmission(MakeInput(), limited, kStart) ==
        AdmissionVerdict::kNoEndpoint);
  egretladder::kernel::Random random{5};
  for (int i = 0; i < 20; ++i) {
    const auto delay = er::RetryAfterRejection(limited, 1000ms, random);
    CHECK(delay >= 1500ms && delay <= 4500ms);
  }
}

// Guards against callers that use up their retries before an endpoint takes
// requests again.
TEST(Admission, RetryDelayIsNotShorterThanTheBackoffOfTheEndpoints) {
  er::Placement backing_off;
  backing_off.reason = er::PlacementReason::kAllBackingOff;
  backing_off.next_turn_in = 3s;
  CHECK(er::DecideAdmission(MakeInput(), backing_off, kStart) ==
        AdmissionVerdict::kNoEndpoint);
  egretladder::kernel::Random random{5};
  for (int i = 0; i < 20; ++i) {
    const auto delay = er::RetryAfterRejection(backing_off, 1000ms, random);
    CHECK(delay >= 3s && delay <= 4500ms);
  }
}

TEST(Admission, RetryDelaysOfCallersRejectedTogetherDiffer) {
  egretladder::kernel::Random random{5};
  const auto first = er::RetryAfterRejection({}, 1000ms, random);
  const auto second = er::RetryAfterRejection({}, 1000ms, random);
  CHECK(first != second);
  CHECK(first >= 125ms);
  CHECK(first <= 1s);
}

// Guards against a node without rules that keeps requests without bound, or
// longer than their callers can profit from it.
TEST(Admission, RequestsWaitForTheRulesForAPartOfTheirDeadline) {
  CHECK(er::MaxWaitForRules(8000ms, 0) == 1000ms);
  CHECK(er::MaxWaitForRules(std::chrono::milliseconds::max(), 0) ==
        er::kMaxRulesWait);
  CHECK(er::MaxWaitForRules({}, 0) == 0ms);
  CHECK(er::MaxWaitForRules(0ms, 0) == 0ms);
  CHECK(er::MaxWaitForRules(-5ms, 0) == 0ms);
  CHECK(er::MaxWaitForRules(8000ms, er::kMaxRequestsWithoutRules) == 0ms);
}

// Guards against callers that use up their retries at once when all nodes lost
// power while the store was unreachable: the node still has no rules then.
TEST(Admission, RetryDelayOfANodeWithoutRulesFollowsTheOutage) {
  egretladder::kernel::Random random{5};
  for (int i = 0; i < 100; ++i) {
    const auto early = er::RetryAfterNotReady(10ms, random);
    CHECK(early >= 150ms && early <= 250ms);
    const auto later = er::RetryAfterNotReady(1000ms, random);
    CHECK(later >= 750ms && later <= 1250ms);
    CHECK(er::RetryAfterNotReady(60s, random) <= 1875ms);
  }
}
