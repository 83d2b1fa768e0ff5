#include "egretladder/routing/suspects.h"

#include <CppUTest/TestHarness.h>

#include <vector>

using namespace std::chrono_literals;
namespace er = egretladder::routing;

namespace {

constexpr er::Time kStart{std::chrono::hours(1)};
constexpr std::uint64_t kRequest = 42;

}  // namespace

TEST_GROUP(Suspects) {
  er::Suspects suspects;
  er::Suspects other_node;

  void AddBreak(std::uint64_t endpoint, er::Time sent, er::Time broke) {
    er::OnConnectionBroke(suspects, kRequest, {endpoint, sent, broke});
  }
  // Each attempt is sent after the connection of the previous one broke.
  void CrashEndpointsInTurn(std::uint64_t count) {
    for (std::uint64_t i = 0; i < count; ++i) {
      AddBreak(i + 1, kStart + i * 100ms, kStart + i * 100ms + 20ms);
    }
  }
  bool IsHeld(er::Time now) const {
    return er::RemainingHoldTime(suspects, kRequest, now) > 0ms;
  }
  std::vector<er::SuspectGossip> TellNews(er::Time now) const {
    return er::MakeSuspectGossip(suspects, er::SuspectScope::kNews, now);
  }
  // Both nodes tell what they know at `told`; it arrives at `now`.
  void ExchangeGossip(er::Time told, er::Time now) {
    const auto news = TellNews(told);
    for (const er::SuspectGossip& gossip :
         er::MakeSuspectGossip(other_node, er::SuspectScope::kNews, told)) {
      er::ApplySuspectGossip(suspects, gossip, now);
    }
    for (const er::SuspectGossip& gossip : news)
      er::ApplySuspectGossip(other_node, gossip, now);
  }
  void GossipToOther(er::Time now) {
    for (const er::SuspectGossip& gossip :
         er::MakeSuspectGossip(suspects, er::SuspectScope::kNews, now)) {
      er::ApplySuspectGossip(other_node, gossip, now);
    }
  }
};

// Guards against one request that takes down a whole service by crashing one
// endpoint after the other.
TEST(Suspects, ARequestThatCrashesThreeEndpointsInTurnIsHeldBack) {
  CrashEndpointsInTurn(2);
  CHECK_FALSE(IsHeld(kStart + 1s));
  CrashEndpointsInTurn(3);
  CHECK_TRUE(IsHeld(kStart + 1s));
  LONGS_EQUAL(
      0, er::RemainingHoldTime(suspects, kRequest + 1, kStart + 1s).count());
  CHECK_FALSE(IsHeld(kStart + er::kSuspectHoldTime + 1s));
}

// Guards against suspecting a harmless request of which several copies were in
// flight when their endpoints lost power together: none of them was sent
// because another one had failed.
TEST(Suspects, EndpointsThatFailTogetherMakeNoSuspect) {
  for (std::uint64_t endpoint = 1; endpoint <= 5; ++endpoint) {
    AddBreak(endpoint, kStart + endpoint * 1ms, kStart + 50ms);
  }
  CHECK_FALSE(IsHeld(kStart + 1s));
}

// Guards against holding back a request that met two failing endpoints by
// chance and was answered by the next one.
TEST(Suspects, AnAnswerClearsARequest) {
  CrashEndpointsInTurn(2);
  er::OnRequestRan(suspects, kRequest, kStart + 250ms);
  AddBreak(9, kStart + 300ms, kStart + 320ms);
  CHECK_FALSE(IsHeld(kStart + 1s));
  er::OnRequestRan(suspects, kRequest + 1, kStart);
  LONGS_EQUAL(1, suspects.by_key.size());
}

// Guards against a caller that uses another node for each retry, so that no
// node sees more than one crash.
TEST(Suspects, CrashesSeenByDifferentNodesAddUp) {
  AddBreak(1, kStart, kStart + 20ms);
  er::OnConnectionBroke(other_node, kRequest,
                        {2, kStart + 100ms, kStart + 120ms});
  GossipToOther(kStart + 200ms);
  er::OnConnectionBroke(other_node, kRequest,
                        {3, kStart + 300ms, kStart + 320ms});
  CHECK(er::RemainingHoldTime(other_node, kRequest, kStart + 400ms) > 0ms);
  // Repeated and late gossip changes nothing.
  GossipToOther(kStart + 500ms);
  LONGS_EQUAL(3, other_node.by_key.at(kRequest).breaks.size());
}

// Guards against other nodes that keep holding back a request which one node
// has seen answered.
TEST(Suspects, AnAnswerAtOneNodeClearsTheRequestEverywhere) {
  CrashEndpointsInTurn(3);
  GossipToOther(kStart + 500ms);
  CHECK(er::RemainingHoldTime(other_node, kRequest, kStart + 1s) > 0ms);
  er::OnRequestRan(suspects, kRequest, kStart + 1s);
  GossipToOther(kStart + 2s);
  LONGS_EQUAL(0,
              er::RemainingHoldTime(other_node, kRequest, kStart + 2s).count());
}

// Guards against gossip that circulates between two nodes for ever and holds a
// request back for good: ages grow by the transfer time, so a known crash must
// not count as a new one.
TEST(Suspects, GossipThatCirculatesDoesNotProlongAHold) {
  CrashEndpointsInTurn(3);
  const er::Time end = kStart + er::kSuspectRetention + 1s;
  for (er::Time now = kStart + 300ms; now < end; now += 100ms) {
    ExchangeGossip(now - 20ms, now);
    er::ForgetSuspects(suspects, now);
    er::ForgetSuspects(other_node, now);
    if (now > kStart + er::kSuspectHoldTime + 1s) CHECK_FALSE(IsHeld(now));
  }
  CHECK(suspects.by_key.empty());
  CHECK(other_node.by_key.empty());
}

// Guards against bytes for news that all nodes know: for what is held back the
// hold alone is told on, and for other requests nothing.
TEST(Suspects, KnownSuspectsAreNotGossipedForLong) {
  CrashEndpointsInTurn(2);
  for (er::Time now = kStart + 300ms; now < kStart + 6s; now += 100ms)
    ExchangeGossip(now - 20ms, now);
  CHECK(TellNews(kStart + 6s).empty());
  CHECK(er::MakeSuspectGossip(other_node, er::SuspectScope::kNews, kStart + 6s)
            .empty());
  AddBreak(3, kStart + 6s, kStart + 6100ms);
  for (er::Time now = kStart + 6300ms; now < kStart + 12s; now += 100ms)
    ExchangeGossip(now - 20ms, now);
  const auto gossip = TellNews(kStart + 12s);
  LONGS_EQUAL(1, gossip.size());
  CHECK(gossip[0].breaks.empty());
}

// Guards against unbounded memory and messages when a zone fails and each
// request in flight there becomes a suspect.
TEST(Suspects, TheNumberOfSuspectsIsBoundedAndOldOnesAreForgotten) {
  for (std::uint64_t request = 0; request < 2 * er::kMaxSuspects; ++request) {
    er::OnConnectionBroke(suspects, request,
                          {1, kStart, kStart + request * 1us});
  }
  LONGS_EQUAL(er::kMaxSuspects, suspects.by_key.size());
  CHECK(suspects.by_key.contains(2 * er::kMaxSuspects - 1));
  LONGS_EQUAL(
      er::kMaxSuspectsPerExchange,
      er::MakeSuspectGossip(suspects, er::SuspectScope::kNews, kStart + 1s)
          .size());
  CHECK(er::MakeSuspectGossip(suspects, er::SuspectScope::kNews, kStart + 4s)
            .empty());
  er::ForgetSuspects(suspects, kStart + er::kSuspectRetention + 1s);
  CHECK(suspects.by_key.empty());
}

// Guards against endpoints that start again under their ids, so that their
// earlier crashes are taken for the same one.
TEST(Suspects, CrashesOfTwoEndpointsThatKeepTheirIdsAddUp) {
  for (int i = 0; i < 3; ++i) {
    const er::Time sent = kStart + i * 3s;
    AddBreak(static_cast<std::uint64_t>(i % 2), sent, sent + 100ms);
  }
  CHECK_TRUE(IsHeld(kStart + 7s));
}

// Guards against copies under way that push the crashes out that were counted.
TEST(Suspects, FurtherCrashesDoNotUndoAHold) {
  CrashEndpointsInTurn(3);
  for (std::uint64_t endpoint = 10; endpoint < 20; ++endpoint)
    AddBreak(endpoint, kStart + 200ms, kStart + 400ms);
  CHECK_TRUE(IsHeld(kStart + 1s));
}

// Guards against copies that run side by side, each of them twice.
TEST(Suspects, TwoWavesOfCopiesAreHeld) {
  for (std::uint64_t endpoint = 1; endpoint <= 4; ++endpoint) {
    AddBreak(endpoint, kStart, kStart + 100ms);
    AddBreak(endpoint + 10, kStart + 110ms, kStart + 210ms);
  }
  CHECK_TRUE(IsHeld(kStart + 1s));
}

// Guards against the one suspect that matters waiting behind the requests that
// were in flight beside it.
TEST(Suspects, ARequestThatIsNearlyHeldIsToldFirst) {
  CrashEndpointsInTurn(2);
  for (std::uint64_t request = 100; request < 400; ++request)
    er::OnConnectionBroke(suspects, request, {9, kStart, kStart + 900ms});
  GossipToOther(kStart + 1s);
  CHECK_TRUE(other_node.by_key.contains(kRequest));
}

// Guards against a node that starts after a request was held and sends it.
TEST(Suspects, ANodeThatStartsLaterHearsOfAHeldRequest) {
  CrashEndpointsInTurn(3);
  GossipToOther(kStart + 20s);
  CHECK(er::RemainingHoldTime(other_node, kRequest, kStart + 20s) > 30s);
}

// Guards against a flood of broken requests that makes a node forget the one
// that it holds back.
TEST(Suspects, AHeldRequestIsNotForgottenForOthers) {
  CrashEndpointsInTurn(3);
  for (std::uint64_t request = 100; request < 100 + 2 * er::kMaxSuspects;
       ++request) {
    er::OnConnectionBroke(suspects, request, {9, kStart, kStart + 900ms});
  }
  CHECK_TRUE(IsHeld(kStart + 1s));
}

// Guards against all nodes that send a request again at the same moment when
// its hold ends.
TEST(Suspects, OneNodeProbesARequestThatWasHeld) {
  CrashEndpointsInTurn(3);
  const er::Time now = kStart + er::kSuspectHoldTime + 1s;
  er::FleetSnapshot fleet;
  fleet.names = {"a", "b", "c", "d", "e"};
  int senders = 0;
  for (const std::string& name : fleet.names) {
    fleet.self = name;
    senders +=
        er::TimeUntilProbe(suspects, kRequest, fleet, now).count() == 0 ? 1 : 0;
  }
  LONGS_EQUAL(1, senders);
}

// Guards against a probe that is followed by the next before it can show
// anything, and against one more crash that holds the request at no node.
TEST(Suspects, ACrashOfTheProbeHoldsTheRequestAgain) {
  CrashEndpointsInTurn(3);
  const er::FleetSnapshot alone;
  const er::Time now = kStart + er::kSuspectHoldTime + 1s;
  LONGS_EQUAL(0, er::TimeUntilProbe(suspects, kRequest, alone, now).count());
  er::OnSuspectSent(suspects, kRequest, now);
  CHECK(er::TimeUntilProbe(suspects, kRequest, alone, now + 10ms) > 1s);
  AddBreak(50, now, now + 100ms);
  CHECK_TRUE(IsHeld(now + 200ms));
  er::OnRequestRan(suspects, kRequest, now + 300ms);
  CHECK_FALSE(IsHeld(now + 300ms));
  CHECK_FALSE(er::IsProbed(suspects, kRequest, now + 300ms));
}

// Guards against memory that grows with the requests that succeed.
TEST(Suspects, TheNumberOfSuccessesIsBounded) {
  for (std::uint64_t request = 0; request < 5 * er::kMaxNewerSuccesses;
       ++request) {
    er::OnRequestRan(suspects, request, kStart);
  }
  CHECK(suspects.successes.newer.size() <= er::kMaxNewerSuccesses);
  CHECK(suspects.successes.older.size() <= er::kMaxNewerSuccesses);
  CHECK(suspects.by_key.empty());
}

// Guards against a node that holds a harmless request for a minute, as its own
// connections broke, while others see it succeed and don't say so.
TEST(Suspects, APeerThatKnowsBetterEndsAHold) {
  er::OnRequestRan(other_node, kRequest, kStart + 200ms);
  CrashEndpointsInTurn(3);
  CHECK_TRUE(IsHeld(kStart + 300ms));
  er::OnRequestRan(other_node, kRequest, kStart + 400ms);
  ExchangeGossip(kStart + 500ms, kStart + 510ms);
  ExchangeGossip(kStart + 600ms, kStart + 610ms);
  CHECK_FALSE(IsHeld(kStart + 700ms));
  CHECK_FALSE(
      er::RemainingHoldTime(other_node, kRequest, kStart + 700ms).count() > 0);
}

TEST_GROUP(PopularRequests) {
  er::Suspects suspects;
  er::FleetSnapshot fleet;
  er::Time now = kStart;
  std::uint64_t processes = 0;

  void setup() override {
    fleet.self = "n";
    fleet.names = {"n"};
    er::OnRequestRan(suspects, kRequest, now);
    now += 1s;
  }
  // Another endpoint ends with an attempt that was sent after the end before.
  void EndOneMore(er::Suspects & node, std::chrono::milliseconds later) {
    now += later;
    er::OnConnectionBroke(node, kRequest, {++processes, now - 100ms, now});
  }
  std::chrono::milliseconds TimeUntilSend(const er::Suspects& node) const {
    return er::TimeUntilSend(node, {kRequest}, fleet, now);
  }
  void Tell(const er::Suspects& from, er::Suspects& to) const {
    for (const auto& gossip :
         er::MakeSuspectGossip(from, er::SuspectScope::kNews, now))
      er::ApplySuspectGossip(to, gossip, now);
  }
};

// Guards against a body that all callers share and that is refused, since some
// endpoints were replaced one after the other.
TEST(PopularRequests, AreServedWhileAFewEndpointsEndInTurn) {
  for (int i = 0; i < 4; ++i) {
    EndOneMore(suspects, 400ms);
    CHECK(TimeUntilSend(suspects) == 0ms);
  }
}

// Guards against many endpoints that end within a moment.
TEST(PopularRequests, AreServedWhileManyEndpointsEndAtOnce) {
  for (int i = 0; i < 9; ++i) {
    EndOneMore(suspects, 110ms);
    CHECK(TimeUntilSend(suspects) == 0ms);
  }
}

// Guards against a request that begins to crash endpoints after it succeeded,
// or that only seemed to succeed.
TEST(PopularRequests, AreHeldAfterMoreCrashes) {
  for (int i = 0; i < 5; ++i) EndOneMore(suspects, 400ms);
  CHECK(TimeUntilSend(suspects) > 0ms);
}

// Guards against a node that knows of no success, since it has just started,
// and holds the request back, and against peers that do so at its word.
TEST(PopularRequests, APeerThatSawThemSucceedEndsTheHold) {
  er::Suspects started;
  for (int i = 0; i < 3; ++i) EndOneMore(started, 400ms);
  CHECK(TimeUntilSend(started) > 0ms);
  Tell(started, suspects);
  CHECK(TimeUntilSend(suspects) == 0ms);
  Tell(suspects, started);
  CHECK(TimeUntilSend(started) == 0ms);
}

// Guards against a minute of refusals for a request that was held by chance.
TEST(PopularRequests, AreProbedSoonAfterTheyWereHeld) {
  for (int i = 0; i < 5; ++i) EndOneMore(suspects, 400ms);
  now += er::kPartHoldTime;
  CHECK(TimeUntilSend(suspects) == 0ms);
  er::OnSuspectSent(suspects, kRequest, now);
  CHECK(TimeUntilSend(suspects) > 20s);
  er::OnRequestRan(suspects, kRequest, now);
  CHECK(TimeUntilSend(suspects) == 0ms);
}

// Guards against a success of long ago that speaks for a request for ever.
TEST(PopularRequests, ASuccessOfLongAgoCountsForNothing) {
  now += er::kSuspectRetention;
  er::ForgetSuspects(suspects, now);
  for (int i = 0; i < 3; ++i) EndOneMore(suspects, 400ms);
  CHECK(TimeUntilSend(suspects) > 50s);
}

TEST_GROUP(SuspectedParts) {
  static constexpr std::uint64_t kSound = 7;
  const std::uint64_t bad = er::KeyOfPart("models", 1);
  const std::uint64_t other = er::KeyOfPart("models", 2);
  er::Suspects suspects;
  er::FleetSnapshot fleet;
  er::Time now = kStart;
  std::uint32_t requests = 0;

  void setup() override {
    fleet.self = "n";
    fleet.names = {"n"};
  }
  // Another endpoint crashes under another request with these parts.
  void Crash(const std::vector<std::uint64_t>& keys) {
    ++requests;
    now += 400ms;
    for (const std::uint64_t key : keys) {
      er::OnConnectionBroke(suspects, key,
                            {requests, now - 100ms, now, true, requests});
    }
  }
  bool IsHeld(std::uint64_t key) const {
    return er::RemainingHoldTime(suspects, key, now) > 0ms;
  }
  std::chrono::milliseconds TimeUntilSend(
      const std::vector<std::uint64_t>& keys) const {
    return er::TimeUntilSend(suspects, keys, fleet, now);
  }
};

// Guards against requests of which no two are alike.
TEST(SuspectedParts, APartThatNeverSucceededIsHeldAfterThreeCrashes) {
  Crash({bad});
  Crash({bad});
  CHECK_FALSE(IsHeld(bad));
  Crash({bad});
  CHECK_TRUE(IsHeld(bad));
  CHECK(TimeUntilSend({kSound, bad}) > 0ms);
  CHECK(TimeUntilSend({kSound, other}) == 0ms);
}

// Guards against a request that is sent again and again, whose own parts would
// be held with it.
TEST(SuspectedParts, OneRequestHoldsNoPart) {
  for (std::uint64_t endpoint = 1; endpoint <= 5; ++endpoint) {
    now += 400ms;
    er::OnConnectionBroke(suspects, bad, {endpoint, now - 100ms, now, true, 1});
  }
  CHECK_FALSE(IsHeld(bad));
}

// Guards against a part that several requests had at endpoints of one zone when
// that lost power.
TEST(SuspectedParts, CrashesAtOneMomentHoldNoPart) {
  for (std::uint32_t endpoint = 101; endpoint <= 105; ++endpoint) {
    er::OnConnectionBroke(suspects, bad,
                          {endpoint, now - 100ms, now, true, endpoint});
  }
  CHECK_FALSE(IsHeld(bad));
  Crash({bad});
  CHECK_TRUE(IsHeld(bad));
}

// Guards against popular parts that are in all crashes, and succeed in between.
TEST(SuspectedParts, ASuccessExcusesAPart) {
  for (int i = 0; i < 10; ++i) {
    Crash({bad, other});
    er::OnRequestRan(suspects, other, now + 10ms);
  }
  CHECK_TRUE(IsHeld(bad));
  CHECK_FALSE(IsHeld(other));
}

// Guards against a popular part that can't succeed for a moment, as endpoints
// crash faster than they answer.
TEST(SuspectedParts, CrashesThatAHeldPartExplainsDoNotCount) {
  er::OnRequestRan(suspects, other, now);
  for (int i = 0; i < 12; ++i) Crash({other, bad});
  CHECK_TRUE(IsHeld(bad));
  CHECK_FALSE(IsHeld(other));
}

// Guards against a part that crashes endpoints after it had succeeded.
TEST(SuspectedParts, APartThatSucceededBeforeNeedsMoreCrashes) {
  er::OnRequestRan(suspects, bad, now);
  now += 1s;
  for (int i = 0; i < 4; ++i) Crash({bad});
  CHECK_FALSE(IsHeld(bad));
  Crash({bad});
  CHECK_TRUE(IsHeld(bad));
}

// Guards against a node that holds a part only since it doesn't know that it
// succeeded elsewhere, and against peers that hold it again at its word.
TEST(SuspectedParts, ASuccessAtAPeerRefutesAnEarlyHold) {
  er::Suspects peer;
  er::OnRequestRan(peer, bad, now);
  for (int i = 0; i < 3; ++i) Crash({bad});
  CHECK_TRUE(IsHeld(bad));
  const auto tell = [this](const er::Suspects& from, er::Suspects& to) {
    for (const auto& gossip :
         er::MakeSuspectGossip(from, er::SuspectScope::kNews, now))
      er::ApplySuspectGossip(to, gossip, now);
  };
  tell(suspects, peer);
  CHECK(er::RemainingHoldTime(peer, bad, now) == 0ms);
  tell(peer, suspects);
  CHECK_FALSE(IsHeld(bad));
}

// Guards against a probe whose crash looks like an answer, so that the next
// probe follows at once.
TEST(SuspectedParts, AProbeCountsAsFailedUntilItSucceeds) {
  for (int i = 0; i < 3; ++i) Crash({bad});
  now += er::kPartHoldTime;
  CHECK(TimeUntilSend({kSound, bad}) == 0ms);
  er::OnSuspectSent(suspects, bad, now);
  now += er::kPartHoldTime;
  CHECK(TimeUntilSend({kSound, bad}) > 20s);
  er::OnRequestRan(suspects, bad, now);
  CHECK(TimeUntilSend({kSound, bad}) == 0ms);
}

// Guards against a part that stays held since its probe met a full endpoint.
TEST(SuspectedParts, AProbeThatWasTurnedAwayIsMadeAgain) {
  for (int i = 0; i < 3; ++i) Crash({bad});
  now += er::kPartHoldTime;
  er::OnSuspectSent(suspects, bad, now);
  CHECK(TimeUntilSend({kSound, bad}) > 20s);
  er::OnProbeNotRun(suspects, bad, now);
  now += er::kPartProbeTurn * 2;
  CHECK(TimeUntilSend({kSound, bad}) == 0ms);
}

// Guards against sound parts that are held together with a bad one, and that
// would be probed with it.
TEST(SuspectedParts, ARequestUnderSeveralSuspicionsIsNoProbe) {
  for (int i = 0; i < 3; ++i) Crash({bad, other});
  now += er::kPartHoldTime;
  CHECK(TimeUntilSend({kSound, bad, other}) > 0ms);
  CHECK(TimeUntilSend({kSound, other}) == 0ms);
}

// Guards against sound parts that nobody excuses, as their answers have no
// length or their callers leave early.
TEST(SuspectedParts, AnEndpointThatIsHeardOfAgainExcusesAnAnswerThatEnded) {
  er::Endpoint endpoint;
  CHECK(er::FindProof(endpoint, now, now + 900ms) == er::Proof::kPending);
  CHECK(er::FindProof(endpoint, now, now + 1s) == er::Proof::kNone);
  endpoint.last_heard_at = now + 200ms;
  CHECK(er::FindProof(endpoint, now, now + 400ms) == er::Proof::kPending);
  endpoint.last_heard_at = now + 300ms;
  CHECK(er::FindProof(endpoint, now, now + 400ms) == er::Proof::kLivedOn);
  // Another process may answer by then.
  endpoint.last_heard_at = now + 1s;
  CHECK(er::FindProof(endpoint, now, now + 1s) == er::Proof::kNone);
  endpoint.last_heard_at = now + 300ms;
  endpoint.broke_at = now;
  CHECK(er::FindProof(endpoint, now, now + 400ms) == er::Proof::kNone);
}
