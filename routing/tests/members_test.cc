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

er::Member MakeMember(const std::string& name, std::uint64_t incarnation = 10) {
  er::Member member;
  member.node = name;
  member.callers = name + ":80";
  member.peers = name + ":90";
  member.zone = "a";
  member.incarnation = incarnation;
  return member;
}

bool Contains(const std::vector<std::string>& addresses,
              const std::string& address) {
  return std::find(addresses.begin(), addresses.end(), address) !=
         addresses.end();
}

constexpr std::size_t kRoundsPerReaderHeartbeat =
    er::kReaderHeartbeatInterval / er::kExchangeInterval;

// A fleet of nodes that exchange gossip in rounds, without a network.
struct Fleet {
  std::vector<er::Members> nodes;
  std::vector<bool> is_running;
  ek::Random random{3};
  std::set<std::size_t> powerless;
  std::size_t rounds = 0;
  bool alternate_turns = false;

  explicit Fleet(std::size_t count) {
    for (std::size_t i = 0; i < count; ++i) {
      nodes.push_back(er::MakeMembers(MakeMember("n" + std::to_string(i)),
                                      {"n0:90", "n1:90"}, kStart));
      is_running.push_back(true);
    }
  }
  void RunRound(er::Time now) {
    if (++rounds % kRoundsPerReaderHeartbeat == 0) SendReaderHeartbeats(now);
    for (std::size_t i = 0; i < nodes.size(); ++i) {
      if (!is_running[i]) continue;
      // A node that knows its fleet to be large exchanges in every other round.
      const bool turn = !alternate_turns || (rounds + i) % 2 == 0;
      if (!turn && !er::IsSmallFleet(nodes[i])) continue;
      er::IncrementHeartbeat(nodes[i], now);
      const std::string peer = er::PickExchangePeer(nodes[i], random, now);
      for (std::size_t j = 0; j < nodes.size(); ++j) {
        if (nodes[j].self.peers != peer || i == j) continue;
        if (!is_running[j]) {
          if (!powerless.contains(j))
            er::OnPeerUnreachable(nodes[i], peer, now);
          continue;
        }
        const er::MemberGossip request =
            er::MakeMemberGossip(nodes[i], {}, random, now);
        er::ApplyMemberGossip(nodes[j], request, now);
        er::ApplyMemberGossip(
            nodes[i],
            er::MakeMemberGossip(nodes[j], request.unknown, random, now), now);
        er::OnExchangeAnswered(nodes[i], now);
        er::OnExchangeAnswered(nodes[j], now);
      }
    }
  }
  void SendReaderHeartbeats(er::Time now) {
    for (const std::size_t reader : Readers(now)) {
      for (const std::string& peer : er::StandbyAddresses(nodes[reader], now)) {
        for (std::size_t i = 0; i < nodes.size(); ++i) {
          if (is_running[i] && nodes[i].self.peers == peer) {
            er::OnPeerMessage(nodes[i], nodes[reader].self.peers, now);
          }
        }
      }
    }
  }
  // From now on the node neither refuses connections nor answers.
  void LosePower(std::size_t node) {
    is_running[node] = false;
    powerless.insert(node);
  }
  void Run(er::Time& now, std::chrono::milliseconds time) {
    for (const er::Time end = now + time; now < end;
         now += er::kExchangeInterval) {
      RunRound(now);
    }
  }
  // Returns the nodes that read the store for all.
  std::vector<std::size_t> Readers(er::Time now) const {
    std::vector<std::size_t> readers;
    for (std::size_t i = 0; i < nodes.size(); ++i) {
      if (is_running[i] && er::IsReader(nodes[i], now)) readers.push_back(i);
    }
    return readers;
  }
  std::vector<std::string> Directory(std::size_t node, er::Time now) {
    return er::DirectoryFor(nodes[node], "a", random, now);
  }
};

}  // namespace

TEST_GROUP(Members){};

TEST(Members, NodesDiscoverEachOtherThroughSeeds) {
  for (const std::size_t count : {std::size_t{7}, std::size_t{60}}) {
    Fleet fleet(count);
    er::Time now = kStart;
    fleet.Run(now, 3s);
    for (std::size_t i = 0; i < count; ++i) {
      LONGS_EQUAL(count, fleet.Directory(i, now).size());
    }
  }
}

// Guards against a node that never learns the address of a member: complete
// records are sent only for a while, and after that only heartbeats.
TEST(Members, ANodeRequestsTheRecordOfAMemberKnownByHeartbeatOnly) {
  er::Members late_node = er::MakeMembers(MakeMember("late"), {}, kStart);
  er::Members peer = er::MakeMembers(MakeMember("peer"), {}, kStart);
  er::MemberGossip known_by_peer;
  known_by_peer.members = {MakeMember("other")};
  er::ApplyMemberGossip(peer, known_by_peer, kStart);
  ek::Random random{1};
  const er::Time now = kStart + er::kNewMemberTime;
  known_by_peer.members[0].heartbeat = 1;
  er::ApplyMemberGossip(peer, known_by_peer, now - 100ms);
  const er::MemberGossip gossip = er::MakeMemberGossip(peer, {}, random, now);
  LONGS_EQUAL(1, gossip.members.size());
  LONGS_EQUAL(1, gossip.member_heartbeats.size());
  er::ApplyMemberGossip(late_node, gossip, now);
  CHECK_FALSE(
      Contains(er::DirectoryFor(late_node, "a", random, now), "other:80"));
  const er::MemberGossip request =
      er::MakeMemberGossip(late_node, {}, random, now);
  LONGS_EQUAL(1, request.unknown.size());
  er::ApplyMemberGossip(
      late_node, er::MakeMemberGossip(peer, request.unknown, random, now), now);
  CHECK(Contains(er::DirectoryFor(late_node, "a", random, now), "other:80"));
  CHECK(er::MakeMemberGossip(late_node, {}, random, now).unknown.empty());
}

// Guards against combining a node's old address with the heartbeats of its new
// incarnation, if the node restarted at another address and peers receive only
// its heartbeat.
TEST(Members, AHeartbeatOfANewIncarnationDoesNotCountForTheOldOne) {
  er::Members node = er::MakeMembers(MakeMember("n0"), {}, kStart);
  er::MemberGossip gossip;
  gossip.members = {MakeMember("n1", 10)};
  er::ApplyMemberGossip(node, gossip, kStart);
  er::MemberGossip heartbeat_gossip;
  heartbeat_gossip.member_heartbeats = {
      {static_cast<std::uint32_t>(ek::HashBytes("n1")), 11, 5}};
  er::ApplyMemberGossip(node, heartbeat_gossip, kStart + 100ms);
  LONGS_EQUAL(10, node.others.at("n1").member.incarnation);
  ek::Random random{1};
  LONGS_EQUAL(1, er::MakeMemberGossip(node, {}, random, kStart).unknown.size());
}

// Guards against live nodes that drop out of the directory of a large fleet
// because their heartbeats arrive too rarely. Their load would fall on the
// other nodes.
TEST(Members, AFleetOf390KeepsLiveNodesAndDropsADeadOne) {
  Fleet fleet(390);
  fleet.alternate_turns = true;
  er::Time now = kStart;
  fleet.Run(now, 10s);
  LONGS_EQUAL(390, er::MakeFleetSnapshot(fleet.nodes[0], now).names.size());
  LONGS_EQUAL(390, er::MakeFleetSnapshot(fleet.nodes[200], now).names.size());
  fleet.LosePower(3);
  fleet.Run(now, er::kLargeFleetMaxMemberSilence + 2s);
  LONGS_EQUAL(389, er::MakeFleetSnapshot(fleet.nodes[0], now).names.size());
}

// Guards against callers that lose a second with each connection to a node that
// was killed.
TEST(Members, TheDirectoryDropsAKilledNodeAndKeepsLiveOnes) {
  Fleet fleet(7);
  er::Time now = kStart;
  fleet.Run(now, 3s);
  fleet.is_running[3] = false;
  for (int i = 0; i < 50; ++i) {
    fleet.RunRound(now);
    now += er::kExchangeInterval;
    const auto directory = fleet.Directory(0, now);
    for (int other = 0; other < 7; ++other) {
      if (other == 3) continue;
      CHECK(Contains(directory, "n" + std::to_string(other) + ":80"));
    }
  }
  CHECK_FALSE(Contains(fleet.Directory(0, now), "n3:80"));
}

// Guards against sending callers to a machine that is frozen or cut off. It
// refuses no connection, and only its heartbeat stands still.
TEST(Members, TheDirectoryDropsASilentNode) {
  Fleet fleet(7);
  er::Time now = kStart;
  fleet.Run(now, 3s);
  fleet.LosePower(3);
  fleet.Run(now, er::kMaxMemberSilence + 500ms);
  CHECK_FALSE(Contains(fleet.Directory(0, now), "n3:80"));
}

TEST(Members, TheDirectoryDropsALeavingNode) {
  Fleet fleet(3);
  er::Time now = kStart;
  fleet.Run(now, 2s);
  fleet.nodes[2].self.leaving = true;
  fleet.Run(now, 500ms);
  CHECK_FALSE(Contains(fleet.Directory(0, now), "n2:80"));
  CHECK_FALSE(Contains(fleet.Directory(2, now), "n2:80"));
}

// Guards against a node that never returns to the directory because its clock
// was set back and its process restarted with a lower incarnation, so that
// peers ignore its gossip as old.
TEST(Members, AProcessWithAnEarlierTimeOfDayRejoins) {
  Fleet fleet(3);
  er::Time now = kStart;
  fleet.Run(now, 2s);
  fleet.nodes[2] = er::MakeMembers(MakeMember("n2", 4), {"n0:90"}, now);
  fleet.Run(now, 4s);
  CHECK(Contains(fleet.Directory(0, now), "n2:80"));
  CHECK(Contains(fleet.Directory(1, now), "n2:80"));
}

// A leaving node that is the last one still lists itself.
TEST(Members, TheDirectoryOfTheLastNodeHoldsItself) {
  er::Members lone_node = er::MakeMembers(MakeMember("n0"), {}, kStart);
  lone_node.self.leaving = true;
  ek::Random random{1};
  CHECK(Contains(er::DirectoryFor(lone_node, "a", random, kStart), "n0:80"));
}

// Guards against nodes that use a larger part of shared limits because they see
// fewer nodes in a network partition.
TEST(Members, APartitionDoesNotReduceTheFleetSize) {
  Fleet fleet(7);
  er::Time now = kStart;
  fleet.Run(now, 4s);
  LONGS_EQUAL(7, er::MakeFleetSnapshot(fleet.nodes[0], now).nodes);
  now += 10s;  // No gossip arrives.
  LONGS_EQUAL(7, er::MakeFleetSnapshot(fleet.nodes[0], now).nodes);
  LONGS_EQUAL(1, er::MakeFleetSnapshot(fleet.nodes[0], now).names.size());
}

// Guards against a fleet whose parts each use the whole retry slack while they
// don't see each other.
TEST(Members, APartitionOfAnHourDoesNotReduceTheRetrySharers) {
  Fleet fleet(7);
  er::Time now = kStart;
  fleet.Run(now, 4s);
  LONGS_EQUAL(7, er::CountRetrySharers(fleet.nodes[0], now));
  now += 1h;  // No gossip arrives.
  LONGS_EQUAL(7, er::CountRetrySharers(fleet.nodes[0], now));
  now += 3h;
  LONGS_EQUAL(1, er::CountRetrySharers(fleet.nodes[0], now));
}

// Guards against a node that uses a shared limit alone because it has just
// started and knows no other node.
TEST(Members, ANewNodeAssumesTheDefaultFleetSize) {
  er::Members new_node = er::MakeMembers(MakeMember("n0"), {"n1:90"}, kStart);
  LONGS_EQUAL(er::kDefaultFleetSize,
              er::MakeFleetSnapshot(new_node, kStart).nodes);
}

// Guards against one store call per node for each change. A few nodes read for
// all, and readers that the store rejects are replaced.
TEST(Members, AFewNodesOfALargeFleetReadTheStore) {
  Fleet fleet(60);
  er::Time now = kStart;
  fleet.Run(now, 5s);
  const auto first_readers = fleet.Readers(now);
  LONGS_EQUAL(er::kMaxReaders, first_readers.size());
  for (const std::size_t reader : first_readers) {
    fleet.nodes[reader].self.store_troubled = true;
  }
  fleet.Run(now, 3s);
  std::size_t others = 0;
  for (const std::size_t reader : fleet.Readers(now)) {
    if (std::find(first_readers.begin(), first_readers.end(), reader) ==
        first_readers.end())
      ++others;
  }
  LONGS_EQUAL(er::kMaxReaders, others);
}

// Guards against changed rules and leaving endpoints that no node learns of for
// seconds because all readers lost power.
TEST(Members, StandbysReplaceAllReadersWithinTwoSeconds) {
  for (const std::size_t count : {std::size_t{40}, std::size_t{120}}) {
    Fleet fleet(count);
    er::Time now = kStart;
    fleet.Run(now, 6s);
    const auto first_readers = fleet.Readers(now);
    LONGS_EQUAL(er::kMaxReaders, first_readers.size());
    for (const std::size_t reader : first_readers) fleet.LosePower(reader);
    fleet.Run(now, 2s);
    CHECK(!fleet.Readers(now).empty());
    fleet.Run(now, 5s);
    LONGS_EQUAL(er::kMaxReaders, fleet.Readers(now).size());
  }
}

// Guards against sending callers to a closed port.
TEST(Members, TheDirectoryOfALoneNodeThatDoesNotListenIsEmpty) {
  ek::Random random{1};
  er::Members lone_node = er::MakeMembers(MakeMember("n0"), {}, kStart);
  lone_node.self.leaving = true;
  LONGS_EQUAL(1, er::DirectoryFor(lone_node, "a", random, kStart).size());
  lone_node.is_listening = false;
  CHECK(er::DirectoryFor(lone_node, "a", random, kStart).empty());
}

// Guards against requests of the whole fleet at once when the store comes back.
TEST(Members, FewNodesOfALargeFleetRetryAnUnreachableStore) {
  Fleet fleet(60);
  er::Time now = kStart;
  for (er::Members& node : fleet.nodes) node.self.store_troubled = true;
  fleet.Run(now, 5s);
  std::size_t readers = 0;
  for (const er::Members& node : fleet.nodes) {
    if (er::IsReader(node, now)) ++readers;
  }
  LONGS_EQUAL(er::kMaxReaderCandidates, readers);
}

TEST(Members, EveryNodeOfASmallFleetReadsTheStore) {
  Fleet fleet(7);
  er::Time now = kStart;
  fleet.Run(now, 3s);
  for (const er::Members& node : fleet.nodes) CHECK(er::IsReader(node, now));
}

// Guards against gossip of hundreds of nodes that crosses zones in four of five
// exchanges, and against a zone that gets no gossip from the others.
TEST(Members, MostExchangesOfALargeFleetStayInTheZone) {
  er::Members node = er::MakeMembers(MakeMember("n0"), {"n1:90"}, kStart);
  er::MemberGossip gossip;
  for (int i = 1; i < 100; ++i) {
    er::Member other = MakeMember("n" + std::to_string(i));
    other.zone = i < 20 ? "a" : "b";
    gossip.members.push_back(other);
  }
  er::ApplyMemberGossip(node, gossip, kStart);
  ek::Random random{5};
  std::size_t same_zone = 0;
  constexpr std::size_t kExchanges = 1000;
  for (std::size_t i = 0; i < kExchanges; ++i) {
    const std::string peer = er::PickExchangePeer(node, random, kStart);
    const auto at = std::find_if(
        gossip.members.begin(), gossip.members.end(),
        [&peer](const er::Member& member) { return member.peers == peer; });
    if (at->zone == "a") ++same_zone;
  }
  CHECK(same_zone > kExchanges * 6 / 10);
  CHECK(same_zone < kExchanges * 9 / 10);
}

// Guards against callers that are sent to nodes without links to any endpoint,
// and against an empty directory when all nodes have lost them.
TEST(Members, TheDirectoryLeavesOutNodesThatAreCutOff) {
  Fleet fleet(7);
  er::Time now = kStart;
  for (er::Members& node : fleet.nodes) node.all_services = 3;
  fleet.nodes[2].self.unreached = 3;
  fleet.nodes[3].self.unreached = 1;
  fleet.Run(now, 2s);
  for (const std::size_t node : {0U, 2U}) {
    CHECK_FALSE(Contains(fleet.Directory(node, now), "n2:80"));
    CHECK(Contains(fleet.Directory(node, now), "n3:80"));
  }
  fleet.nodes[2].self.unreached = 0;
  fleet.Run(now, 2s);
  CHECK(Contains(fleet.Directory(0, now), "n2:80"));
  for (er::Members& node : fleet.nodes) node.self.unreached = 3;
  fleet.Run(now, 2s);
  LONGS_EQUAL(7, fleet.Directory(0, now).size());
}

// Guards against news of lost links that takes longer in a large fleet than
// callers can wait.
TEST(Members, LostLinksAreKnownInALargeFleetWithinSeconds) {
  Fleet fleet(300);
  er::Time now = kStart;
  for (er::Members& node : fleet.nodes) node.all_services = 1;
  fleet.Run(now, 6s);
  fleet.nodes[5].self.unreached = 1;
  fleet.Run(now, 3s);
  std::size_t unaware = 0;
  for (er::Members& node : fleet.nodes) {
    if (er::MakeFleetSnapshot(node, 1, now).names.size() == 300) ++unaware;
  }
  LONGS_EQUAL(0, unaware);
}

// Guards against parts of shared limits that nodes without links would hold in
// vain.
TEST(Members, NodesWithoutLinksHoldNoPartOfSharedLimits) {
  Fleet fleet(7);
  er::Time now = kStart;
  fleet.nodes[2].self.unreached = 2;
  fleet.Run(now, 4s);
  for (const std::size_t node : {0U, 2U}) {
    LONGS_EQUAL(6, er::MakeFleetSnapshot(fleet.nodes[node], 2, now).nodes);
    LONGS_EQUAL(6,
                er::MakeFleetSnapshot(fleet.nodes[node], 2, now).names.size());
    LONGS_EQUAL(7, er::MakeFleetSnapshot(fleet.nodes[node], 1, now).nodes);
  }
}

TEST(Members, ServicesBeyondTheSixteenthHaveNoBit) {
  er::RouteTable rules;
  for (int i = 0; i < 18; ++i) {
    rules.services.push_back({.name = "s" + std::to_string(i)});
  }
  er::IndexTable(rules);
  LONGS_EQUAL(1, er::BitOfService(rules, "s0"));
  LONGS_EQUAL(0x8000, er::BitOfService(rules, "s15"));
  LONGS_EQUAL(0, er::BitOfService(rules, "s16"));
  LONGS_EQUAL(0, er::BitOfService(rules, "unknown"));
  LONGS_EQUAL(0xffff, er::BitsOfAllServices(rules));
}
