#include "egretladder/routing/members.h"

#include <CppUTest/TestHarness.h>

#include <algorithm>
#include <cstdint>

#include "egretladder/routing/store_readers.h"
#include "harness_fleet.h"

using namespace std::chrono_literals;
namespace er = egretladder::routing;
namespace ek = egretladder::kernel;
using egretladder::routing::test::MakeMember;
using egretladder::routing::test::SimulatedFleet;

namespace {

constexpr er::Time kStart{std::chrono::hours(1)};

bool Contains(const std::vector<std::string>& addresses,
              const std::string& address) {
  return std::find(addresses.begin(), addresses.end(), address) !=
         addresses.end();
}

er::MemberGossip GossipOf(const std::vector<er::Member>& members) {
  er::MemberGossip gossip;
  gossip.members = members;
  return gossip;
}

SimulatedFleet::Layout LayoutOf(std::size_t nodes) { return {nodes, 2, 1}; }

}  // namespace

TEST_GROUP(Members){};

TEST(Members, NodesDiscoverEachOtherThroughSeeds) {
  for (const std::size_t count : {std::size_t{7}, std::size_t{60}}) {
    SimulatedFleet fleet(LayoutOf(count));
    fleet.Run(3s);
    for (std::size_t i = 0; i < count; ++i)
      LONGS_EQUAL(count, fleet.Directory(i).size());
  }
}

// Guards against nodes that go on with what they knew after they stood still,
// or while they see less than half of their fleet.
TEST(Members, ANodeKnowsSinceWhenItIsInTouchWithMostOfItsFleet) {
  SimulatedFleet fleet(LayoutOf(7));
  const auto in_touch_since = [&fleet](std::size_t node) {
    return er::GetFleetSnapshot(fleet.node(node), fleet.now()).in_touch_since;
  };
  fleet.Run(4s);
  CHECK(in_touch_since(0) <= fleet.now() - 2s);
  fleet.LosePower(0);
  fleet.Run(2s);
  fleet.Resume(0);
  CHECK(in_touch_since(0) == er::Time::max());
  fleet.Run(500ms);
  CHECK(in_touch_since(0) >= fleet.now() - 500ms);
  CHECK(in_touch_since(0) <= fleet.now());
  fleet.Run(3s);
  for (std::size_t i = 0; i < 3; ++i) fleet.SetPart(i, 1);
  fleet.Run(8s);
  CHECK(in_touch_since(0) == er::Time::max());
  CHECK(in_touch_since(5) <= fleet.now() - 8s);
}

// Guards against a node that never learns the address of a member: complete
// records are sent only for a while, and after that only statuses.
TEST(Members, ANodeRequestsTheRecordOfAMemberKnownByStatusOnly) {
  er::Members late_node = er::MakeMembers(MakeMember("late"), {}, kStart);
  er::Members peer = er::MakeMembers(MakeMember("peer"), {}, kStart);
  er::ApplyMemberGossip(peer, GossipOf({MakeMember("other")}), kStart);
  ek::Random random{1};
  const er::Time now = kStart + er::kNewMemberTime;
  const er::MemberGossip gossip = er::MakeMemberGossip(peer, {}, random, now);
  LONGS_EQUAL(1, gossip.members.size());
  CHECK_FALSE(gossip.statuses.empty());
  for (const er::MemberStatus& status : gossip.statuses)
    LONGS_EQUAL(er::NodeKey("other"), status.node);
  er::ApplyMemberGossip(late_node, gossip, now);
  CHECK_FALSE(Contains(er::DirectoryFor(late_node, "a", random), "other:80"));
  const er::MemberGossip request =
      er::MakeMemberGossip(late_node, {}, random, now);
  LONGS_EQUAL(1, request.unknown.size());
  er::ApplyMemberGossip(
      late_node,
      er::MakeMemberGossip(peer, {"", true, request.unknown, {}}, random, now),
      now);
  CHECK(Contains(er::DirectoryFor(late_node, "a", random), "other:80"));
  CHECK(er::MakeMemberGossip(late_node, {}, random, now).unknown.empty());
}

// Guards against combining a node's old address with the state of its new
// incarnation, if the node restarted at another address and peers receive only
// its status.
TEST(Members, AStatusOfANewIncarnationDoesNotCountForTheOldOne) {
  er::Members node = er::MakeMembers(MakeMember("n0"), {}, kStart);
  er::ApplyMemberGossip(node, GossipOf({MakeMember("n1")}), kStart);
  er::MemberGossip gossip;
  gossip.statuses = {{.node = er::NodeKey("n1"),
                      .short_incarnation = 11,
                      .revision = 5,
                      .heartbeat = 5,
                      .suspected = false,
                      .state = {}}};
  er::ApplyMemberGossip(node, gossip, kStart + 100ms);
  LONGS_EQUAL(10, node.others.at("n1").member.incarnation);
  ek::Random random{1};
  LONGS_EQUAL(1, er::MakeMemberGossip(node, {}, random, kStart).unknown.size());
}

// Guards against live nodes that drop out of the directory of a large fleet.
// Their load would fall on the other nodes.
TEST(Members, AFleetOf390KeepsLiveNodesAndDropsADeadOne) {
  SimulatedFleet fleet(LayoutOf(390));
  fleet.Run(10s);
  LONGS_EQUAL(390,
              er::GetFleetSnapshot(fleet.node(0), fleet.now()).names.size());
  LONGS_EQUAL(390,
              er::GetFleetSnapshot(fleet.node(200), fleet.now()).names.size());
  fleet.LosePower(3);
  fleet.Run(6s);
  LONGS_EQUAL(389,
              er::GetFleetSnapshot(fleet.node(0), fleet.now()).names.size());
}

// Guards against callers that lose a second with each connection to a node that
// was killed.
TEST(Members, TheDirectoryDropsAKilledNodeAndKeepsLiveOnes) {
  SimulatedFleet fleet(LayoutOf(7));
  fleet.Run(3s);
  fleet.Stop(3);
  for (int i = 0; i < 50; ++i) {
    fleet.Run(er::kExchangeInterval);
    const auto directory = fleet.Directory(0);
    for (int other = 0; other < 7; ++other) {
      if (other == 3) continue;
      CHECK(Contains(directory, "n" + std::to_string(other) + ":80"));
    }
  }
  CHECK_FALSE(Contains(fleet.Directory(0), "n3:80"));
}

// Guards against sending callers to a machine that is frozen or cut off. It
// refuses no connection, and only leaves exchanges unanswered.
TEST(Members, TheDirectoryDropsASilentNode) {
  SimulatedFleet fleet(LayoutOf(7));
  fleet.Run(3s);
  fleet.LosePower(3);
  fleet.Run(2500ms);
  CHECK_FALSE(Contains(fleet.Directory(0), "n3:80"));
}

TEST(Members, TheDirectoryDropsALeavingNode) {
  SimulatedFleet fleet(LayoutOf(3));
  fleet.Run(2s);
  fleet.node(2).self.state.leaving = true;
  fleet.Run(500ms);
  CHECK_FALSE(Contains(fleet.Directory(0), "n2:80"));
  CHECK_FALSE(Contains(fleet.Directory(2), "n2:80"));
}

// Guards against a stopping node that sends callers to others while these stop
// too.
TEST(Members, ALeavingNodeKnowsWhetherMostOthersStay) {
  SimulatedFleet fleet(LayoutOf(3));
  fleet.Run(2s);
  fleet.node(0).self.state.leaving = true;
  CHECK(er::DoMostOthersStay(fleet.node(0)));
  fleet.node(1).self.state.leaving = true;
  fleet.Run(500ms);
  CHECK_FALSE(er::DoMostOthersStay(fleet.node(0)));
  const er::Members alone = er::MakeMembers(MakeMember("n0"), {}, kStart);
  CHECK_FALSE(er::DoMostOthersStay(alone));
}

// Guards against a node that never returns to the directory because its clock
// was set back and its process restarted with a lower incarnation, so that
// peers ignore its gossip as old.
TEST(Members, AProcessWithAnEarlierTimeOfDayRejoins) {
  SimulatedFleet fleet(LayoutOf(3));
  fleet.Run(2s);
  fleet.Restart(2, 4);
  fleet.Run(4s);
  CHECK(Contains(fleet.Directory(0), "n2:80"));
  CHECK(Contains(fleet.Directory(1), "n2:80"));
}

// A leaving node that is the last one still lists itself.
TEST(Members, TheDirectoryOfTheLastNodeHoldsItself) {
  er::Members lone_node = er::MakeMembers(MakeMember("n0"), {}, kStart);
  lone_node.self.state.leaving = true;
  ek::Random random{1};
  CHECK(Contains(er::DirectoryFor(lone_node, "a", random), "n0:80"));
}

// Guards against nodes that use a larger part of shared limits because they see
// fewer nodes in a network partition.
TEST(Members, APartitionDoesNotReduceTheFleetSize) {
  SimulatedFleet fleet(LayoutOf(7));
  fleet.Run(4s);
  LONGS_EQUAL(7, er::GetFleetSnapshot(fleet.node(0), fleet.now()).nodes);
  fleet.SetPart(0, 1);
  fleet.Run(10s);
  LONGS_EQUAL(7, er::GetFleetSnapshot(fleet.node(0), fleet.now()).nodes);
  LONGS_EQUAL(1, er::GetFleetSnapshot(fleet.node(0), fleet.now()).names.size());
}

// Guards against a fleet whose parts each use the whole retry slack while they
// don't see each other.
TEST(Members, APartitionOfAnHourDoesNotReduceTheRetrySharers) {
  SimulatedFleet fleet(LayoutOf(7));
  fleet.Run(4s);
  LONGS_EQUAL(7, er::CountRetrySharers(fleet.node(0), fleet.now()));
  fleet.SetPart(0, 1);
  fleet.Run(10s);
  fleet.AdvanceClock(1h);
  LONGS_EQUAL(7, er::CountRetrySharers(fleet.node(0), fleet.now()));
  fleet.AdvanceClock(3h);
  LONGS_EQUAL(1, er::CountRetrySharers(fleet.node(0), fleet.now()));
}

// Guards against a node that uses a shared limit alone because it has just
// started and knows no other node.
TEST(Members, ANewNodeAssumesTheDefaultFleetSize) {
  er::Members new_node = er::MakeMembers(MakeMember("n0"), {"n1:90"}, kStart);
  LONGS_EQUAL(er::kDefaultFleetSize,
              er::GetFleetSnapshot(new_node, kStart).nodes);
}

// Guards against one store call per node for each change. A few nodes read for
// all, and readers that the store rejects are replaced.
TEST(Members, AFewNodesOfALargeFleetReadTheStore) {
  SimulatedFleet fleet(LayoutOf(60));
  fleet.Run(5s);
  const auto first_readers = fleet.Readers();
  LONGS_EQUAL(er::kMaxReaders, first_readers.size());
  for (const std::size_t reader : first_readers) {
    fleet.node(reader).self.state.store_troubled = true;
  }
  fleet.Run(3s);
  std::size_t others = 0;
  for (const std::size_t reader : fleet.Readers()) {
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
    SimulatedFleet fleet(LayoutOf(count));
    fleet.Run(6s);
    const auto first_readers = fleet.Readers();
    LONGS_EQUAL(er::kMaxReaders, first_readers.size());
    for (const std::size_t reader : first_readers) fleet.LosePower(reader);
    fleet.Run(2s);
    CHECK(!fleet.Readers().empty());
    fleet.Run(5s);
    LONGS_EQUAL(er::kMaxReaders, fleet.Readers().size());
  }
}

// Guards against sending callers to a closed port.
TEST(Members, TheDirectoryOfALoneNodeThatDoesNotListenIsEmpty) {
  ek::Random random{1};
  er::Members lone_node = er::MakeMembers(MakeMember("n0"), {}, kStart);
  lone_node.self.state.leaving = true;
  LONGS_EQUAL(1, er::DirectoryFor(lone_node, "a", random).size());
  lone_node.is_listening = false;
  CHECK(er::DirectoryFor(lone_node, "a", random).empty());
}

// Guards against requests of the whole fleet at once when the store comes back.
TEST(Members, FewNodesOfALargeFleetRetryAnUnreachableStore) {
  SimulatedFleet fleet(LayoutOf(60));
  for (std::size_t i = 0; i < fleet.size(); ++i)
    fleet.node(i).self.state.store_troubled = true;
  fleet.Run(5s);
  std::size_t readers = 0;
  for (std::size_t i = 0; i < fleet.size(); ++i) {
    if (er::IsReader(fleet.node(i), fleet.now())) ++readers;
  }
  LONGS_EQUAL(er::kMaxReaderCandidates, readers);
}

TEST(Members, EveryNodeOfASmallFleetReadsTheStore) {
  SimulatedFleet fleet(LayoutOf(7));
  fleet.Run(3s);
  for (std::size_t i = 0; i < fleet.size(); ++i)
    CHECK(er::IsReader(fleet.node(i), fleet.now()));
}

// Guards against watches that are all long, so that answers which all of them
// lost go unnoticed, and against calls that grow with the fleet.
TEST(Members, TwoReadersThatReachTheStoreAreEager) {
  for (const std::size_t nodes :
       {std::size_t{1}, std::size_t{7}, std::size_t{60}}) {
    SimulatedFleet fleet(LayoutOf(nodes));
    fleet.Run(5s);
    const auto find_eager = [&fleet] {
      std::vector<std::size_t> eager;
      for (std::size_t i = 0; i < fleet.size(); ++i)
        if (er::IsEagerReader(fleet.node(i))) eager.push_back(i);
      return eager;
    };
    const auto eager = find_eager();
    LONGS_EQUAL(std::min(nodes, er::kEagerReaders), eager.size());
    if (nodes == 1) continue;
    for (const std::size_t i : eager) {
      CHECK(er::IsReader(fleet.node(i), fleet.now()));
      fleet.node(i).self.state.store_troubled = true;
    }
    fleet.Run(5s);
    CHECK(find_eager().size() > eager.size());
  }
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
    const std::string peer = er::PickExchangePeer(node, random);
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
  SimulatedFleet fleet(LayoutOf(7));
  for (std::size_t i = 0; i < fleet.size(); ++i) fleet.node(i).all_services = 3;
  fleet.node(2).self.state.unreached = 3;
  fleet.node(3).self.state.unreached = 1;
  fleet.Run(2s);
  for (const std::size_t node : {0U, 2U}) {
    CHECK_FALSE(Contains(fleet.Directory(node), "n2:80"));
    CHECK(Contains(fleet.Directory(node), "n3:80"));
  }
  fleet.node(2).self.state.unreached = 0;
  fleet.Run(2s);
  CHECK(Contains(fleet.Directory(0), "n2:80"));
  for (std::size_t i = 0; i < fleet.size(); ++i)
    fleet.node(i).self.state.unreached = 3;
  fleet.Run(2s);
  LONGS_EQUAL(7, fleet.Directory(0).size());
}

// Guards against news of lost links that takes longer in a large fleet than
// callers can wait.
TEST(Members, LostLinksAreKnownInALargeFleetWithinSeconds) {
  SimulatedFleet fleet(LayoutOf(300));
  for (std::size_t i = 0; i < fleet.size(); ++i) fleet.node(i).all_services = 1;
  fleet.Run(6s);
  fleet.node(5).self.state.unreached = 1;
  fleet.Run(3s);
  std::size_t unaware = 0;
  for (std::size_t i = 0; i < fleet.size(); ++i) {
    const auto& known = er::GetFleetSnapshot(fleet.node(i), 1, fleet.now());
    if (known.names.size() == 300) ++unaware;
  }
  LONGS_EQUAL(0, unaware);
}

// Guards against parts of shared limits that nodes without links would hold in
// vain.
TEST(Members, NodesWithoutLinksHoldNoPartOfSharedLimits) {
  SimulatedFleet fleet(LayoutOf(7));
  fleet.node(2).self.state.unreached = 2;
  fleet.Run(4s);
  for (const std::size_t node : {0U, 2U}) {
    LONGS_EQUAL(6,
                er::GetFleetSnapshot(fleet.node(node), 2, fleet.now()).nodes);
    LONGS_EQUAL(
        6, er::GetFleetSnapshot(fleet.node(node), 2, fleet.now()).names.size());
    LONGS_EQUAL(7,
                er::GetFleetSnapshot(fleet.node(node), 1, fleet.now()).nodes);
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
