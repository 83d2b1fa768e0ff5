// Brittle endpoints under the requests of a whole fleet.
#include <CppUTest/TestHarness.h>

#include <string>

#include "harness_brittle.h"

using namespace std::chrono_literals;
namespace er = egretladder::routing;
using er::test::BrittleFleet;
using er::test::BrittleLayout;
using er::test::BrittleTally;

namespace {

// Endpoints hold their room for so long after they began to state it.
constexpr auto kNotice = 4s;

// A third of the fleet that the size is planned for, in nodes and engines.
BrittleLayout ManyEngines(double requests_per_second) {
  return {85, 112, 16, 3, requests_per_second, 1300ms, 1};
}

BrittleLayout FewPlainEndpoints() { return {85, 4, 6, 3, 400, 60ms, 1}; }

// Returns what the endpoints can serve in `time` with that room.
double Capacity(const BrittleLayout& layout, std::uint32_t room,
                std::chrono::milliseconds time) {
  return static_cast<double>(layout.endpoints * room) * (time / 1ms) /
         static_cast<double>(layout.work.count());
}

void CheckFalls(const BrittleFleet& fleet, const BrittleTally& tally) {
  const std::string text = std::to_string(tally.falls) + " falls, " +
                           std::to_string(tally.served) + " of " +
                           std::to_string(tally.sent) + " served";
  CHECK_TEXT(tally.falls <= fleet.allowed_falls(), text.c_str());
}

void CheckServed(const BrittleTally& tally, double least) {
  const std::string text = std::to_string(tally.served) + " served, " +
                           std::to_string(tally.falls) + " falls";
  CHECK_TEXT(static_cast<double>(tally.served) >= least, text.c_str());
}

// Plays `time` after the room shrank.
BrittleTally Play(BrittleFleet& fleet, std::uint32_t room,
                  std::chrono::milliseconds time) {
  fleet.Run(kNotice);
  fleet.TakeTally();
  fleet.SetRoom(room);
  fleet.Run(time);
  return fleet.TakeTally();
}

// Plays four starts of most nodes after the room shrank.
BrittleTally PlayStarts(BrittleFleet& fleet, std::uint32_t room) {
  Play(fleet, room, 2s);
  for (int i = 0; i < 4; ++i) {
    fleet.RestartNodes(47);
    fleet.Run(4s);
  }
  return fleet.TakeTally();
}

}  // namespace

TEST_GROUP(BrittleFleet){};

// Guards against a bound that never falls below one request of each node.
TEST(BrittleFleet, RoomBelowTheSlotsUnderOverload) {
  for (const std::uint32_t room : {12U, 8U, 4U, 1U}) {
    const BrittleLayout layout = ManyEngines(900);
    BrittleFleet fleet(layout);
    const BrittleTally tally = Play(fleet, room, 10s);
    CheckFalls(fleet, tally);
    CheckServed(tally, Capacity(layout, room, 10s) / 2);
  }
}

// Guards against nodes that all ask again when none of them gets room.
TEST(BrittleFleet, NoRoomAtAll) {
  for (const std::uint32_t tolerance : {1U, 2U, 3U, 4U, 8U, 20U}) {
    BrittleLayout layout = ManyEngines(600);
    layout.tolerance = tolerance;
    BrittleFleet fleet(layout);
    CheckFalls(fleet, Play(fleet, 0, 4s));
  }
}

// Guards against nodes that start and send before they know of the brittle
// time, and against senders that take over with the whole share.
TEST(BrittleFleet, MostNodesStartAnew) {
  BrittleFleet fleet(ManyEngines(600));
  fleet.Run(kNotice);
  fleet.SetRoom(8);
  fleet.Run(2s);
  fleet.TakeTally();
  fleet.RestartNodes(47);
  fleet.Run(8s);
  const BrittleTally tally = fleet.TakeTally();
  CheckFalls(fleet, tally);
  CheckServed(tally, static_cast<double>(tally.sent) / 2);
}

// Guards against twice the senders while nodes see half of the fleet each.
TEST(BrittleFleet, NodesInTwoPartsForSomeTime) {
  BrittleFleet fleet(ManyEngines(600));
  fleet.Run(kNotice);
  fleet.SetRoom(8);
  fleet.Run(2s);
  fleet.Split();
  fleet.Run(8s);
  fleet.Heal();
  fleet.Run(6s);
  CheckFalls(fleet, fleet.TakeTally());
}

// Guards against requests that count as accepted before an endpoint has had
// time to turn them away.
TEST(BrittleFleet, RefusalsThatArriveLate) {
  for (const auto way : {30ms, 60ms, 150ms}) {
    BrittleLayout layout = ManyEngines(900);
    layout.way = way;
    BrittleFleet fleet(layout);
    const BrittleTally tally = Play(fleet, 8, 10s);
    CheckFalls(fleet, tally);
    CheckServed(tally, Capacity(layout, 8, 10s) / 2);
  }
}

// Guards against nodes that stood still and send as before, beside those that
// took over from them.
TEST(BrittleFleet, NodesThatStandStillInTurn) {
  for (const std::uint32_t tolerance : {1U, 2U, 3U}) {
    BrittleLayout layout = ManyEngines(600);
    layout.tolerance = tolerance;
    BrittleFleet fleet(layout);
    Play(fleet, 8, 2s);
    for (std::size_t i = 0; i < 5; ++i) {
      fleet.FreezeNodes(i * 17, 17);
      fleet.Run(2s);
      fleet.ThawNodes();
      fleet.Run(2s);
    }
    CheckFalls(fleet, fleet.TakeTally());
  }
}

// Guards against nodes that start several times in one brittle time and don't
// know of it.
TEST(BrittleFleet, MostNodesStartAnewAgainAndAgain) {
  for (const std::uint32_t tolerance : {1U, 2U, 3U}) {
    BrittleLayout layout = ManyEngines(900);
    layout.tolerance = tolerance;
    BrittleFleet fleet(layout);
    CheckFalls(fleet, PlayStarts(fleet, 8));
  }
}

// Guards against two senders of one endpoint, one in each part, that are turned
// away in the same second.
TEST(BrittleFleet, NodesInTwoPartsWithEndpointsThatTolerateOneRefusal) {
  BrittleLayout layout = ManyEngines(600);
  layout.tolerance = 1;
  BrittleFleet fleet(layout);
  fleet.Run(kNotice);
  fleet.SetRoom(8);
  fleet.Run(2s);
  fleet.TakeTally();
  fleet.Split();
  fleet.Run(8s);
  fleet.Heal();
  fleet.Run(6s);
  CheckFalls(fleet, fleet.TakeTally());
}

// Guards against a room that is learned once and believed for good.
TEST(BrittleFleet, RoomThatShrinksAndGrows) {
  BrittleFleet fleet(ManyEngines(900));
  fleet.Run(kNotice);
  fleet.TakeTally();
  for (int i = 0; i < 3; ++i) {
    fleet.SetRoom(8);
    fleet.Run(3s);
    fleet.SetRoom(16);
    fleet.Run(3s);
  }
  CheckFalls(fleet, fleet.TakeTally());
}

// Guards against shares of a small fleet that don't shrink as well.
TEST(BrittleFleet, SevenNodesWithLargeEngines) {
  const BrittleLayout layout{7, 12, 48, 3, 450, 1300ms, 1};
  BrittleFleet fleet(layout);
  const BrittleTally tally = Play(fleet, 16, 15s);
  CheckFalls(fleet, tally);
  CheckServed(tally, Capacity(layout, 16, 15s) / 2);
}

// Guards against a service of few endpoints whose senders are few nodes: the
// callers of the others are served as well.
TEST(BrittleFleet, FewEndpointsServeTheCallersOfAllNodes) {
  const BrittleLayout layout = FewPlainEndpoints();
  BrittleFleet fleet(layout);
  const BrittleTally tally = Play(fleet, 6, 10s);
  CheckFalls(fleet, tally);
  CheckServed(tally, Capacity(layout, 6, 10s) / 2);
}

// Guards against a service of few endpoints that falls as a whole when nodes
// start.
TEST(BrittleFleet, FewEndpointsWhileMostNodesStartAnew) {
  BrittleFleet fleet(FewPlainEndpoints());
  fleet.Run(kNotice);
  fleet.SetRoom(6);
  fleet.Run(2s);
  fleet.TakeTally();
  fleet.RestartNodes(47);
  fleet.Run(10s);
  CheckFalls(fleet, fleet.TakeTally());
}

// Guards against the same several times in one brittle time.
TEST(BrittleFleet, FewEndpointsWhileMostNodesStartAnewAgainAndAgain) {
  for (const std::uint32_t tolerance : {1U, 2U, 3U}) {
    BrittleLayout layout = FewPlainEndpoints();
    layout.requests_per_second = 900;
    layout.tolerance = tolerance;
    BrittleFleet fleet(layout);
    CheckFalls(fleet, PlayStarts(fleet, 6));
  }
}

// Guards against a service that is taken for sound again when all its
// endpoints are closed, and against two refusals at once where one is allowed.
TEST(BrittleFleet, FewEndpointsThatTolerateOneRefusal) {
  BrittleLayout layout = FewPlainEndpoints();
  layout.tolerance = 1;
  BrittleFleet fleet(layout);
  const BrittleTally tally = Play(fleet, 2, 20s);
  CheckFalls(fleet, tally);
  CheckServed(tally, Capacity(layout, 2, 20s) / 4);
}
