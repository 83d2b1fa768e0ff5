#include "egretladder/routing/admission.h"

#include <CppUTest/TestHarness.h>

using namespace std::chrono_literals;
namespace er = egretladder::routing;
using er::AdmissionVerdict;

namespace {

constexpr er::Time kStart{std::chrono::hours(1)};

er::AdmissionInput Ask() {
  er::AdmissionInput ask;
  ask.waiting_since = kStart;
  ask.deadline = kStart + 8s;
  ask.target = 1000ms;
  return ask;
}

er::Placement Found(double expected_ms) {
  er::Placement placement;
  placement.endpoint = std::make_shared<er::Endpoint>();
  placement.expected_ms = expected_ms;
  return placement;
}

}  // namespace

TEST_GROUP(Admit){};

// A burst is far over what the engines bear. Held until its deadline, a caller
// learns nothing in time; refused at once, it can come back.
TEST(Admit, WhatCannotStartInTimeIsRefusedAtOnce) {
  CHECK(er::DecideAdmission(Ask(), Found(500), kStart) ==
        AdmissionVerdict::kSend);
  CHECK(er::DecideAdmission(Ask(), Found(7000), kStart) ==
        AdmissionVerdict::kTooLate);
  CHECK(er::DecideAdmission(Ask(), Found(500), kStart + 7500ms) ==
        AdmissionVerdict::kTooLate);
}

TEST(Admit, WaitsForAnEndpointForPartOfTheTarget) {
  CHECK(er::DecideAdmission(Ask(), {}, kStart) == AdmissionVerdict::kWait);
  CHECK(er::DecideAdmission(Ask(), {}, kStart + 400ms) ==
        AdmissionVerdict::kWait);
  CHECK(er::DecideAdmission(Ask(), {}, kStart + 500ms) ==
        AdmissionVerdict::kNoEndpoint);
}

// An engine crashed in the middle of a stream, and the others are full for a
// moment. Given up at once, all that was generated is lost.
TEST(Admit, WorkThatWasSentBeforeWaitsLonger) {
  er::AdmissionInput ask = Ask();
  ask.target = 200ms;
  ask.was_sent_before = true;
  CHECK(er::DecideAdmission(ask, {}, kStart + 900ms) ==
        AdmissionVerdict::kWait);
}

// Guards against callers that are held for a turn that comes after their time.
TEST(Admit, NobodyWaitsForATurnThatComesTooLate) {
  er::Placement limited;
  limited.reason = er::PlaceReason::kAllLimited;
  limited.room_in = 300ms;
  CHECK(er::DecideAdmission(Ask(), limited, kStart) == AdmissionVerdict::kWait);
  limited.room_in = 3s;
  CHECK(er::DecideAdmission(Ask(), limited, kStart) ==
        AdmissionVerdict::kNoEndpoint);
  egretladder::kernel::Random random{5};
  for (int i = 0; i < 20; ++i) {
    const auto back = er::RetryAfterRejection(limited, 1000ms, random);
    CHECK(back >= 1500ms && back <= 4500ms);
  }
}

TEST(Admit, CallersThatWereRefusedTogetherReturnApart) {
  egretladder::kernel::Random random{5};
  const auto first = er::RetryAfterRejection({}, 1000ms, random);
  const auto second = er::RetryAfterRejection({}, 1000ms, random);
  CHECK(first != second);
  CHECK(first >= 125ms);
  CHECK(first <= 1s);
}

// All nodes lost their power while the store was away. Callers that come back
// at once find a node that knows as little as before, and have used up their
// try.
TEST(Admit, CallersComeBackToANodeWithoutRulesAfterAboutAsLongAgain) {
  egretladder::kernel::Random random{5};
  for (int i = 0; i < 100; ++i) {
    const auto early = er::RetryAfterNotReady(10ms, random);
    CHECK(early >= 150ms && early <= 250ms);
    const auto later = er::RetryAfterNotReady(1000ms, random);
    CHECK(later >= 750ms && later <= 1250ms);
    CHECK(er::RetryAfterNotReady(60s, random) <= 1875ms);
  }
}
