// Broken connections at processes that live on: they count against no request
// and no part, at this node and at its peers.
#include "egretladder/routing/living_processes.h"

#include <CppUTest/TestHarness.h>

#include <vector>

#include "egretladder/routing/suspects.h"

using namespace std::chrono_literals;
namespace er = egretladder::routing;

namespace {

constexpr er::Time kStart{std::chrono::hours(1)};
constexpr std::uint64_t kRequest = 42;
constexpr auto kTransfer = 40ms;

}  // namespace

TEST_GROUP(LivingProcesses) {
  er::Suspects suspects;
  er::Suspects peer;

  static er::Time BreakTime(std::uint64_t i) { return kStart + i * 100ms; }
  static void AddBreak(er::Suspects & node, std::uint64_t endpoint,
                       er::Time broke, std::uint64_t key = kRequest) {
    er::OnConnectionBroke(node, key,
                          {endpoint, broke - 20ms, broke, true,
                           static_cast<std::uint32_t>(endpoint)});
  }
  static void BreakInTurn(er::Suspects & node, std::uint64_t from,
                          std::uint64_t to, std::uint64_t key = kRequest) {
    for (std::uint64_t i = from; i <= to; ++i)
      AddBreak(node, i, BreakTime(i), key);
  }
  static bool IsHeld(const er::Suspects& node, er::Time now,
                     std::uint64_t key = kRequest) {
    return er::RemainingHoldTime(node, key, now) > 0ms;
  }
  static void Tell(const er::Suspects& from, er::Suspects& to, er::Time now,
                   er::SuspectScope scope = er::SuspectScope::kNews) {
    const bool is_all = scope == er::SuspectScope::kAll;
    const auto living = er::MakeLivingGossip(from.living, is_all, now);
    const auto news = er::MakeSuspectGossip(from, scope, now);
    er::ApplyLivingGossip(to, living, now + kTransfer);
    for (const er::SuspectGossip& gossip : news)
      er::ApplySuspectGossip(to, gossip, now + kTransfer);
  }
  static std::size_t CountBreaks(const er::Suspects& node, er::Time now) {
    return er::ViewOf(node, kRequest, now).breaks;
  }
};

// Guards against breaks at processes that live on and add up.
TEST(LivingProcesses, WhatBrokeAtALivingProcessDoesNotCount) {
  for (std::uint64_t i = 1; i <= 6; ++i) {
    AddBreak(suspects, i, BreakTime(i));
    er::OnProcessLivedOn(suspects, i, BreakTime(i) + 1ms, BreakTime(i) + 5ms);
    LONGS_EQUAL(0, CountBreaks(suspects, BreakTime(i) + 5ms));
  }
  CHECK_FALSE(IsHeld(suspects, kStart + 1s));
}

// Guards against an excuse for more than the process that lives, or for what
// broke after it was asked.
TEST(LivingProcesses, OtherBreaksStillCount) {
  BreakInTurn(suspects, 1, 2);
  er::OnProcessLivedOn(suspects, 2, BreakTime(2) - 1ms, BreakTime(2) + 5ms);
  er::OnProcessLivedOn(suspects, 7, BreakTime(2) + 1ms, BreakTime(2) + 5ms);
  LONGS_EQUAL(2, CountBreaks(suspects, BreakTime(2) + 5ms));
  AddBreak(suspects, 3, BreakTime(3));
  CHECK_TRUE(IsHeld(suspects, BreakTime(3)));
}

// Guards against an answer that comes after the hold has begun.
TEST(LivingProcesses, AHoldThatRestedOnItEnds) {
  BreakInTurn(suspects, 1, 3);
  CHECK_TRUE(IsHeld(suspects, BreakTime(3)));
  er::OnProcessLivedOn(suspects, 3, BreakTime(3) + 1ms, BreakTime(3) + 5ms);
  CHECK_FALSE(IsHeld(suspects, BreakTime(3) + 5ms));
  // The crashes that are left are not forgotten.
  AddBreak(suspects, 4, BreakTime(4));
  CHECK_TRUE(IsHeld(suspects, BreakTime(4)));
}

// Guards against the end of a hold that enough other crashes prove.
TEST(LivingProcesses, AHoldThatOthersProveGoesOn) {
  BreakInTurn(suspects, 1, 4);
  er::OnProcessLivedOn(suspects, 3, BreakTime(3) + 1ms, BreakTime(4) + 5ms);
  CHECK_TRUE(IsHeld(suspects, BreakTime(4) + 5ms));
}

// Guards against a probe that met a living process and ends the hold of a
// request that crashes endpoints.
TEST(LivingProcesses, AProbeAtALivingProcessEndsNoHold) {
  BreakInTurn(suspects, 1, 3);
  const er::Time later = kStart + er::kSuspectHoldTime + 5s;
  Tell(suspects, peer, later - 1s);
  AddBreak(peer, 9, later);
  er::OnProcessLivedOn(peer, 9, later + 1ms, later + 5ms);
  CHECK_TRUE(IsHeld(peer, later + 5ms));
}

// Guards against parts that are held for breaks at living processes.
TEST(LivingProcesses, PartsAreExcusedAsWell) {
  const std::uint64_t part = er::KeyOfPart("engines", 7);
  for (std::uint64_t i = 1; i <= 8; ++i) {
    AddBreak(suspects, i, BreakTime(i), part);
    er::OnProcessLivedOn(suspects, i, BreakTime(i) + 1ms, BreakTime(i) + 5ms);
  }
  CHECK_FALSE(IsHeld(suspects, kStart + 1s, part));
}

// Guards against a process that answers and ends a moment later.
TEST(LivingProcesses, AProcessThatEndsAMomentLaterCounts) {
  for (std::uint64_t i = 1; i <= 3; ++i) {
    const er::Time broke = kStart + i * 2s;
    AddBreak(suspects, i, broke);
    er::OnProcessLivedOn(suspects, i, broke + 1ms, broke + 5ms);
    er::OnProcessEnded(suspects, i, broke + 300ms);
  }
  CHECK_TRUE(IsHeld(suspects, kStart + 6300ms));
}

// Guards against an endpoint of which each break makes an earlier one count
// again, for ever.
TEST(LivingProcesses, ABreakCountsAgainOnce) {
  AddBreak(suspects, 1, kStart);
  er::OnProcessLivedOn(suspects, 1, kStart + 1ms, kStart + 5ms);
  er::OnProcessEnded(suspects, 1, kStart + 600ms);
  LONGS_EQUAL(1, CountBreaks(suspects, kStart + 600ms));
  er::OnProcessLivedOn(suspects, 1, kStart + 601ms, kStart + 605ms);
  er::OnProcessEnded(suspects, 1, kStart + 1200ms);
  LONGS_EQUAL(0, CountBreaks(suspects, kStart + 1200ms));
}

// Guards against a break that one node has taken back and that comes back by
// gossip, also from a node that was told of it alone.
TEST(LivingProcesses, ABreakThatWasTakenBackDoesNotComeBack) {
  BreakInTurn(suspects, 1, 2);
  Tell(suspects, peer, BreakTime(2) + 10ms);
  LONGS_EQUAL(2, CountBreaks(peer, BreakTime(2) + 60ms));
  er::OnProcessLivedOn(suspects, 1, BreakTime(2) + 1ms, BreakTime(2) + 60ms);
  er::OnProcessLivedOn(suspects, 2, BreakTime(2) + 1ms, BreakTime(2) + 60ms);
  for (int i = 0; i < 20; ++i) {
    const er::Time now = BreakTime(3) + i * 200ms;
    Tell(peer, suspects, now);
    LONGS_EQUAL(0, CountBreaks(suspects, now + kTransfer));
    Tell(suspects, peer, now + 100ms);
    LONGS_EQUAL(0, CountBreaks(peer, now + 100ms + kTransfer));
  }
  er::Suspects joining;
  Tell(suspects, joining, kStart + 30s, er::SuspectScope::kAll);
  er::ApplySuspectGossip(joining,
                         {kRequest,
                          {{1, 30'000ms, 29'900ms, 1}},
                          er::kNeverHappened,
                          er::kNeverHappened},
                         kStart + 30s + kTransfer);
  LONGS_EQUAL(0, CountBreaks(joining, kStart + 30s + kTransfer));
}

// Guards against a hold that ended at one node and comes back from its peers,
// of which some know the hold alone.
TEST(LivingProcesses, AHoldThatEndedDoesNotComeBack) {
  BreakInTurn(suspects, 1, 3);
  er::Suspects third;
  Tell(suspects, peer, BreakTime(3) + 10ms);
  er::SuspectGossip hold;
  hold.key = kRequest;
  hold.cleared_ago = er::kNeverHappened;
  hold.held_ago = 20ms;
  er::ApplySuspectGossip(third, hold, BreakTime(3) + 20ms);
  CHECK_TRUE(IsHeld(peer, BreakTime(3) + 60ms));
  CHECK_TRUE(IsHeld(third, BreakTime(3) + 60ms));
  er::OnProcessLivedOn(suspects, 3, BreakTime(3) + 1ms, BreakTime(3) + 60ms);
  for (int i = 0; i < 20; ++i) {
    const er::Time now = BreakTime(4) + i * 200ms;
    Tell(third, suspects, now);
    Tell(peer, suspects, now);
    CHECK_FALSE(IsHeld(suspects, now + kTransfer));
    Tell(suspects, peer, now + 100ms);
    Tell(suspects, third, now + 100ms);
    CHECK_FALSE(IsHeld(peer, now + 100ms + kTransfer));
    CHECK_FALSE(IsHeld(third, now + 100ms + kTransfer));
  }
}

// Guards against a crash that a peer's word excuses although it came after the
// answer: that word is late.
TEST(LivingProcesses, APeersWordExcusesNoBreakThatWasSeenHere) {
  er::OnProcessLivedOn(peer, 1, kStart, kStart + 1ms);
  AddBreak(suspects, 1, kStart + 10ms);
  Tell(peer, suspects, kStart + 10ms);
  LONGS_EQUAL(1, CountBreaks(suspects, kStart + 60ms));
}

// Guards against gossip that circulates and makes a process live for ever.
TEST(LivingProcesses, GossipThatCirculatesComesToRest) {
  er::OnProcessLivedOn(suspects, 1, kStart, kStart);
  const er::Time end = kStart + er::kLivingRetention + 1s;
  for (er::Time now = kStart; now < end; now += 100ms) {
    Tell(suspects, peer, now);
    Tell(peer, suspects, now + kTransfer);
    er::ForgetSuspects(suspects, now);
    er::ForgetSuspects(peer, now);
  }
  CHECK_TRUE(suspects.living.empty());
  CHECK_TRUE(peer.living.empty());
}

// Guards against memory and messages that grow with the number of processes.
TEST(LivingProcesses, ABoundedNumberIsRememberedAndTold) {
  for (std::uint64_t i = 0; i < 2 * er::kMaxLivingProcesses; ++i)
    er::OnProcessLivedOn(suspects, i, kStart + i * 1ms, kStart + i * 1ms);
  LONGS_EQUAL(er::kMaxLivingProcesses, suspects.living.size());
  const er::Time now = kStart + er::kMaxLivingProcesses * 2ms;
  const auto news = er::MakeLivingGossip(suspects.living, false, now);
  LONGS_EQUAL(er::kMaxLivingPerExchange, news.size());
  LONGS_EQUAL(2 * er::kMaxLivingProcesses - 1, news.front().process);
  LONGS_EQUAL(er::kMaxLivingForJoining,
              er::MakeLivingGossip(suspects.living, true, now).size());
}
