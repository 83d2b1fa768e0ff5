#include "egretladder/routing/suspects.h"

#include <CppUTest/TestHarness.h>

using namespace std::chrono_literals;
namespace er = egretladder::routing;

namespace {

constexpr er::Time kStart{std::chrono::hours(1)};
constexpr std::uint64_t kBody = 42;

}  // namespace

TEST_GROUP(Suspects) {
  er::Suspects suspects;
  er::Suspects other;

  void Break(std::uint64_t endpoint, er::Time sent, er::Time broke) {
    er::OnConnectionBroke(suspects, kBody, {endpoint, sent, broke});
  }
  // Each is sent after the one before broke.
  void CrashInTurn(std::uint64_t count) {
    for (std::uint64_t i = 0; i < count; ++i) {
      Break(i + 1, kStart + i * 100ms, kStart + i * 100ms + 20ms);
    }
  }
  bool IsHeld(er::Time now) const {
    return er::RemainingHoldTime(suspects, kBody, now) > 0ms;
  }
  void TellOther(er::Time now) {
    for (const er::SuspectGossip& told : er::MakeSuspectGossip(suspects, now)) {
      er::ApplySuspectGossip(other, told, now);
    }
  }
};

// A request crashes one endpoint after the other. Sent on for ever it takes
// down the whole service; callers of all other requests then find nobody.
TEST(Suspects, OneThatCrashesThreeInTurnIsHeldForAWhile) {
  CrashInTurn(2);
  CHECK_FALSE(IsHeld(kStart + 1s));
  CrashInTurn(3);
  CHECK_TRUE(IsHeld(kStart + 1s));
  LONGS_EQUAL(0,
              er::RemainingHoldTime(suspects, kBody + 1, kStart + 1s).count());
  CHECK_FALSE(IsHeld(kStart + er::kSuspectHeld + 1s));
}

// A rack loses power with three copies of the same harmless read on it. None of
// them was sent because another had failed.
TEST(Suspects, EndpointsThatFailSideBySideAccuseNobody) {
  for (std::uint64_t endpoint = 1; endpoint <= 5; ++endpoint) {
    Break(endpoint, kStart + endpoint * 1ms, kStart + 50ms);
  }
  CHECK_FALSE(IsHeld(kStart + 1s));
}

// A frequent read had bad luck at two endpoints and was answered by the next.
TEST(Suspects, AnAnswerClearsARequest) {
  CrashInTurn(2);
  er::OnRequestRan(suspects, kBody, kStart + 250ms);
  Break(9, kStart + 300ms, kStart + 320ms);
  CHECK_FALSE(IsHeld(kStart + 1s));
  er::OnRequestRan(suspects, kBody + 1, kStart);
  LONGS_EQUAL(1, suspects.by_request.size());
}

// The caller goes to another node with each try: no node sees more than one
// crash, and all of them together must stop it.
TEST(Suspects, NodesPutTogetherWhatEachSaw) {
  Break(1, kStart, kStart + 20ms);
  er::OnConnectionBroke(other, kBody, {2, kStart + 100ms, kStart + 120ms});
  TellOther(kStart + 200ms);
  er::OnConnectionBroke(other, kBody, {3, kStart + 300ms, kStart + 320ms});
  CHECK(er::RemainingHoldTime(other, kBody, kStart + 400ms) > 0ms);
  // Told again, and late, it stays as it is.
  TellOther(kStart + 500ms);
  LONGS_EQUAL(3, other.by_request.at(kBody).breaks.size());
}

// One node saw the request answered; what others hold against it is void there
// as well.
TEST(Suspects, AnAnswerAtOneNodeClearsItEverywhere) {
  CrashInTurn(3);
  TellOther(kStart + 500ms);
  CHECK(er::RemainingHoldTime(other, kBody, kStart + 1s) > 0ms);
  er::OnRequestRan(suspects, kBody, kStart + 1s);
  TellOther(kStart + 2s);
  LONGS_EQUAL(0, er::RemainingHoldTime(other, kBody, kStart + 2s).count());
}

// Ages grow on the way. Taken as news, what two nodes tell each other would go
// round for ever and hold a request for good.
TEST(Suspects, WhatIsKnownIsNotToldForLong) {
  CrashInTurn(3);
  er::Time now = kStart + 300ms;
  for (int round = 0; round < 60; ++round) {
    TellOther(now - 20ms);
    for (const er::SuspectGossip& told :
         er::MakeSuspectGossip(other, now - 20ms)) {
      er::ApplySuspectGossip(suspects, told, now);
    }
    now += 100ms;
  }
  CHECK(er::MakeSuspectGossip(suspects, now).empty());
  CHECK(er::MakeSuspectGossip(other, now).empty());
  CHECK_FALSE(IsHeld(kStart + er::kSuspectHeld + 1s));
}

// A zone goes down with all its work. Each request there is a suspect, and
// memory and messages stay bounded.
TEST(Suspects, AreBoundedAndForgotten) {
  for (std::uint64_t body = 0; body < 2 * er::kSuspectsMost; ++body) {
    er::OnConnectionBroke(suspects, body, {1, kStart, kStart + body * 1us});
  }
  LONGS_EQUAL(er::kSuspectsMost, suspects.by_request.size());
  CHECK(suspects.by_request.contains(2 * er::kSuspectsMost - 1));
  LONGS_EQUAL(er::kSuspectsTold,
              er::MakeSuspectGossip(suspects, kStart + 1s).size());
  CHECK(er::MakeSuspectGossip(suspects, kStart + 4s).empty());
  er::ForgetSuspects(suspects, kStart + er::kSuspectKept + 1s);
  CHECK(suspects.by_request.empty());
}
