#include "egretladder/routing/members.h"

#include <CppUTest/TestHarness.h>

#include <algorithm>
#include <cstdint>
#include <set>

#include "egretladder/routing/store_readers.h"

using namespace std::chrono_literals;
namespace er = egretladder::routing;
namespace ek = egretladder::kernel;

namespace {

constexpr er::Time kStart{std::chrono::hours(1)};

er::Member Node(const std::string& name, std::uint64_t incarnation = 10) {
  er::Member member;
  member.node = name;
  member.callers = name + ":80";
  member.peers = name + ":90";
  member.zone = "a";
  member.incarnation = incarnation;
  return member;
}

bool Names(const std::vector<std::string>& addresses, const std::string& one) {
  return std::find(addresses.begin(), addresses.end(), one) != addresses.end();
}

constexpr std::size_t kRoundsPerPulse =
    er::kReaderHeartbeatInterval / er::kExchangeInterval;

// Nodes that exchange with each other in rounds, without a network.
struct Fleet {
  std::vector<er::Members> nodes;
  std::vector<bool> runs;
  ek::Random random{3};
  std::set<std::size_t> dark;
  std::size_t rounds = 0;
  bool turns = false;

  explicit Fleet(std::size_t count) {
    for (std::size_t i = 0; i < count; ++i) {
      nodes.push_back(er::MakeMembers(Node("n" + std::to_string(i)),
                                      {"n0:90", "n1:90"}, kStart));
      runs.push_back(true);
    }
  }
  void Round(er::Time now) {
    if (++rounds % kRoundsPerPulse == 0) ShowReaders(now);
    for (std::size_t i = 0; i < nodes.size(); ++i) {
      if (!runs[i]) continue;
      // A node that knows its fleet to be large exchanges every other time.
      const bool turn = !turns || (rounds + i) % 2 == 0;
      if (!turn && !er::IsSmallFleet(nodes[i])) continue;
      er::IncrementHeartbeat(nodes[i], now);
      const std::string peer = er::PickExchangePeer(nodes[i], random, now);
      for (std::size_t j = 0; j < nodes.size(); ++j) {
        if (nodes[j].self.peers != peer || i == j) continue;
        if (!runs[j]) {
          if (!dark.contains(j)) er::OnPeerUnreachable(nodes[i], peer, now);
          continue;
        }
        const er::MemberGossip asks =
            er::MakeMemberGossip(nodes[i], {}, random, now);
        er::ApplyMemberGossip(nodes[j], asks, now);
        er::ApplyMemberGossip(
            nodes[i], er::MakeMemberGossip(nodes[j], asks.unknown, random, now),
            now);
        er::OnExchangeAnswered(nodes[i], now);
        er::OnExchangeAnswered(nodes[j], now);
      }
    }
  }
  void ShowReaders(er::Time now) {
    for (const std::size_t reader : Readers(now)) {
      for (const std::string& peer : er::StandbyAddresses(nodes[reader], now)) {
        for (std::size_t i = 0; i < nodes.size(); ++i) {
          if (runs[i] && nodes[i].self.peers == peer) {
            er::OnPeerMessage(nodes[i], nodes[reader].self.peers, now);
          }
        }
      }
    }
  }
  // It refuses nothing and answers nothing.
  void LosePower(std::size_t node) {
    runs[node] = false;
    dark.insert(node);
  }
  void Run(er::Time& now, std::chrono::milliseconds time) {
    for (const er::Time end = now + time; now < end;
         now += er::kExchangeInterval) {
      Round(now);
    }
  }
  // Nodes that read the store for all.
  std::vector<std::size_t> Readers(er::Time now) const {
    std::vector<std::size_t> found;
    for (std::size_t i = 0; i < nodes.size(); ++i) {
      if (runs[i] && er::IsReader(nodes[i], now)) found.push_back(i);
    }
    return found;
  }
  std::vector<std::string> Told(std::size_t by, er::Time now) {
    return er::DirectoryFor(nodes[by], "a", random, now);
  }
};

}  // namespace

TEST_GROUP(Members){};

TEST(Members, FindEachOtherThroughSeeds) {
  for (const std::size_t count : {std::size_t{7}, std::size_t{60}}) {
    Fleet fleet(count);
    er::Time now = kStart;
    fleet.Run(now, 3s);
    for (std::size_t i = 0; i < count; ++i) {
      LONGS_EQUAL(count, fleet.Told(i, now).size());
    }
  }
}

// Most of what is told is a hash and two numbers. A node that missed the moment
// when others were told of a newcomer must find out who that is.
TEST(Members, ANodeAsksWhoItIsOfWhomItHearsOnlyPulses) {
  er::Members late = er::MakeMembers(Node("late"), {}, kStart);
  er::Members peer = er::MakeMembers(Node("peer"), {}, kStart);
  er::MemberGossip met;
  met.members = {Node("other")};
  er::ApplyMemberGossip(peer, met, kStart);
  ek::Random random{1};
  const er::Time now = kStart + er::kMemberNew;
  met.members[0].heartbeat = 1;
  er::ApplyMemberGossip(peer, met, now - 100ms);
  const er::MemberGossip told = er::MakeMemberGossip(peer, {}, random, now);
  LONGS_EQUAL(1, told.members.size());
  LONGS_EQUAL(1, told.member_heartbeats.size());
  er::ApplyMemberGossip(late, told, now);
  CHECK_FALSE(Names(er::DirectoryFor(late, "a", random, now), "other:80"));
  const er::MemberGossip asks = er::MakeMemberGossip(late, {}, random, now);
  LONGS_EQUAL(1, asks.unknown.size());
  er::ApplyMemberGossip(
      late, er::MakeMemberGossip(peer, asks.unknown, random, now), now);
  CHECK(Names(er::DirectoryFor(late, "a", random, now), "other:80"));
  CHECK(er::MakeMemberGossip(late, {}, random, now).unknown.empty());
}

// A node starts again at another address while most hear of it by pulses. Its
// old address must not be told with the new life's heartbeats.
TEST(Members, APulseOfANewLifeIsNotTakenForTheOldOne) {
  er::Members node = er::MakeMembers(Node("n0"), {}, kStart);
  er::MemberGossip told;
  told.members = {Node("n1", 10)};
  er::ApplyMemberGossip(node, told, kStart);
  er::MemberGossip pulse;
  pulse.member_heartbeats = {
      {static_cast<std::uint32_t>(ek::HashBytes("n1")), 11, 5}};
  er::ApplyMemberGossip(node, pulse, kStart + 100ms);
  LONGS_EQUAL(10, node.others.at("n1").member.incarnation);
  ek::Random random{1};
  LONGS_EQUAL(1, er::MakeMemberGossip(node, {}, random, kStart).unknown.size());
}

// The size of the first letter. A living node that is heard of too rarely drops
// out of what callers are told, and its part of the load falls on the others.
TEST(Members, InAFleetOf390LivingNodesAreToldAndADeadOneIsNot) {
  Fleet fleet(390);
  fleet.turns = true;
  er::Time now = kStart;
  fleet.Run(now, 10s);
  LONGS_EQUAL(390, er::MakeFleetSnapshot(fleet.nodes[0], now).names.size());
  LONGS_EQUAL(390, er::MakeFleetSnapshot(fleet.nodes[200], now).names.size());
  fleet.LosePower(3);
  fleet.Run(now, er::kMemberSilenceLarge + 2s);
  LONGS_EQUAL(389, er::MakeFleetSnapshot(fleet.nodes[0], now).names.size());
}

// A node loses its power. Callers that are told its address connect to nothing
// and lose a second each time.
TEST(Members, AKilledNodeIsNotToldForLongAndALivingOneIsToldAlways) {
  Fleet fleet(7);
  er::Time now = kStart;
  fleet.Run(now, 3s);
  fleet.runs[3] = false;
  for (int i = 0; i < 50; ++i) {
    fleet.Round(now);
    now += er::kExchangeInterval;
    const auto told = fleet.Told(0, now);
    for (int other = 0; other < 7; ++other) {
      if (other == 3) continue;
      CHECK(Names(told, "n" + std::to_string(other) + ":80"));
    }
  }
  CHECK_FALSE(Names(fleet.Told(0, now), "n3:80"));
}

// A machine freezes, or is cut off: nothing refuses a connection there, its
// heartbeat just stands still.
TEST(Members, ASilentNodeIsNotToldForLong) {
  Fleet fleet(7);
  er::Time now = kStart;
  fleet.Run(now, 3s);
  fleet.LosePower(3);
  fleet.Run(now, er::kMemberSilence + 500ms);
  CHECK_FALSE(Names(fleet.Told(0, now), "n3:80"));
}

TEST(Members, ALeavingNodeIsNotToldAtOnce) {
  Fleet fleet(3);
  er::Time now = kStart;
  fleet.Run(now, 2s);
  fleet.nodes[2].self.leaving = true;
  fleet.Run(now, 500ms);
  CHECK_FALSE(Names(fleet.Told(0, now), "n2:80"));
  CHECK_FALSE(Names(fleet.Told(2, now), "n2:80"));
}

// A machine's time of day goes back, and its process starts again with a lower
// number than before. Its peers take what it says for old; it must outbid the
// life that they remember, or no caller would ever be sent to it.
TEST(Members, AProcessThatStartsWithAnEarlierTimeOfDayIsBelieved) {
  Fleet fleet(3);
  er::Time now = kStart;
  fleet.Run(now, 2s);
  fleet.nodes[2] = er::MakeMembers(Node("n2", 4), {"n0:90"}, now);
  fleet.Run(now, 4s);
  CHECK(Names(fleet.Told(0, now), "n2:80"));
  CHECK(Names(fleet.Told(1, now), "n2:80"));
}

// All nodes but one are gone. It still names itself.
TEST(Members, TheLastNodeNamesItself) {
  er::Members alone = er::MakeMembers(Node("n0"), {}, kStart);
  alone.self.leaving = true;
  ek::Random random{1};
  CHECK(Names(er::DirectoryFor(alone, "a", random, kStart), "n0:80"));
}

// The network splits in two. Each half sees fewer nodes, and must not take a
// larger part of what all share.
TEST(Members, TheFleetCountsAsLargeAsItWasKnownToBe) {
  Fleet fleet(7);
  er::Time now = kStart;
  fleet.Run(now, 4s);
  LONGS_EQUAL(7, er::MakeFleetSnapshot(fleet.nodes[0], now).nodes);
  now += 10s;  // Nobody is heard.
  LONGS_EQUAL(7, er::MakeFleetSnapshot(fleet.nodes[0], now).nodes);
  LONGS_EQUAL(1, er::MakeFleetSnapshot(fleet.nodes[0], now).names.size());
}

// A node that just started knows nobody, and would take all for itself.
TEST(Members, ANewNodeTakesTheSmallestPart) {
  er::Members fresh = er::MakeMembers(Node("n0"), {"n1:90"}, kStart);
  LONGS_EQUAL(er::kNodesUnknown, er::MakeFleetSnapshot(fresh, kStart).nodes);
}

// Ninety nodes that all watch the store would cost ninety calls for each
// change. A few read for all, and those that the store turns away are replaced.
TEST(Members, AFewNodesOfALargeFleetReadTheStore) {
  Fleet fleet(60);
  er::Time now = kStart;
  fleet.Run(now, 5s);
  const auto first = fleet.Readers(now);
  LONGS_EQUAL(er::kReadersMost, first.size());
  for (const std::size_t reader : first) {
    fleet.nodes[reader].self.store_troubled = true;
  }
  fleet.Run(now, 3s);
  std::size_t others = 0;
  for (const std::size_t reader : fleet.Readers(now)) {
    if (std::find(first.begin(), first.end(), reader) == first.end()) ++others;
  }
  LONGS_EQUAL(er::kReadersMost, others);
}

// Guards against rules and leaving endpoints of which no node hears for
// seconds.
TEST(Members, WhenAllReadersLoseTheirPowerOthersReadWithinTwoSeconds) {
  for (const std::size_t count : {std::size_t{40}, std::size_t{120}}) {
    Fleet fleet(count);
    er::Time now = kStart;
    fleet.Run(now, 6s);
    const auto first = fleet.Readers(now);
    LONGS_EQUAL(er::kReadersMost, first.size());
    for (const std::size_t reader : first) fleet.LosePower(reader);
    fleet.Run(now, 2s);
    CHECK(!fleet.Readers(now).empty());
    fleet.Run(now, 5s);
    LONGS_EQUAL(er::kReadersMost, fleet.Readers(now).size());
  }
}

// Guards against callers that follow to a closed port.
TEST(Members, ANodeThatIsAloneAndDoesntListenNamesNobody) {
  ek::Random random{1};
  er::Members alone = er::MakeMembers(Node("n0"), {}, kStart);
  alone.self.leaving = true;
  LONGS_EQUAL(1, er::DirectoryFor(alone, "a", random, kStart).size());
  alone.is_listening = false;
  CHECK(er::DirectoryFor(alone, "a", random, kStart).empty());
}

// Guards against a store that is met by the whole fleet when it comes back.
TEST(Members, FewNodesOfALargeFleetKeepTryingAStoreThatIsAway) {
  Fleet fleet(60);
  er::Time now = kStart;
  for (er::Members& node : fleet.nodes) node.self.store_troubled = true;
  fleet.Run(now, 5s);
  std::size_t readers = 0;
  for (const er::Members& node : fleet.nodes) {
    if (er::IsReader(node, now)) ++readers;
  }
  LONGS_EQUAL(er::kReadersAble, readers);
}

TEST(Members, EveryNodeOfASmallFleetReadsTheStore) {
  Fleet fleet(7);
  er::Time now = kStart;
  fleet.Run(now, 3s);
  for (const er::Members& node : fleet.nodes) CHECK(er::IsReader(node, now));
}

// Guards against gossip of hundreds of nodes of which four fifths crosses
// zones, and against a zone that hears nothing of the others.
TEST(Members, MostExchangesOfALargeFleetStayInTheZone) {
  er::Members node = er::MakeMembers(Node("n0"), {"n1:90"}, kStart);
  er::MemberGossip told;
  for (int i = 1; i < 100; ++i) {
    er::Member other = Node("n" + std::to_string(i));
    other.zone = i < 20 ? "a" : "b";
    told.members.push_back(other);
  }
  er::ApplyMemberGossip(node, told, kStart);
  ek::Random random{5};
  std::size_t near = 0;
  constexpr std::size_t kTurns = 1000;
  for (std::size_t i = 0; i < kTurns; ++i) {
    const std::string peer = er::PickExchangePeer(node, random, kStart);
    const auto at = std::find_if(
        told.members.begin(), told.members.end(),
        [&peer](const er::Member& member) { return member.peers == peer; });
    if (at->zone == "a") ++near;
  }
  CHECK(near > kTurns * 6 / 10);
  CHECK(near < kTurns * 9 / 10);
}
