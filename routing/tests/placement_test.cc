#include "egretladder/routing/placement.h"

#include <CppUTest/TestHarness.h>

#include <algorithm>
#include <map>

#include "egretladder/routing/shared_rate.h"

using namespace std::chrono_literals;
namespace er = egretladder::routing;
namespace ek = egretladder::kernel;
using er::PlaceReason;

namespace {

constexpr er::Time kStart{std::chrono::hours(1)};
constexpr er::SharedRate kColdRate{19, er::kColdSenders, er::RateReason::kCold};

}  // namespace

TEST_GROUP(ChoosePlacement) {
  er::EndpointSet set;
  er::Service engines{.name = "engines"};
  er::FleetSnapshot fleet{1, "n1", {"n1"}, "a"};
  ek::Random random{7};

  void Add(const std::string& id, const std::string& zone = "a") {
    er::EndpointEntry entry;
    entry.id = id;
    entry.service = "engines";
    entry.address = "10.0.0.1:80";
    entry.zone = zone;
    entry.slots = 16;
    er::OnEntryPublished(set, entry, kStart);
  }
  er::Endpoint& At(const std::string& id) { return *set.by_id[id]; }

  er::Demand Prompt(std::uint64_t session) const {
    er::Demand demand;
    demand.service = &engines;
    demand.parts = {{session, 13'000}, {session + 1'000'000, 3'000}};
    demand.prompt_tokens = 16'000;
    return demand;
  }
  // A short question whose answer must not pause.
  er::Demand Tight(std::uint64_t session) const {
    er::Demand demand;
    demand.service = &engines;
    demand.parts = {{session, 200}, {session + 1'000'000, 600}};
    demand.prompt_tokens = 800;
    demand.tight = true;
    demand.events = 32;
    return demand;
  }
  bool IsForTight(const er::Endpoint& endpoint) const {
    return endpoint.order < set.tight_fraction;
  }
  er::Demand Plain() const {
    er::Demand demand;
    demand.service = &engines;
    return demand;
  }
  er::Placement Choose(const er::Demand& demand, er::Time now = kStart) {
    return er::ChoosePlacement(set, demand, {}, fleet, random, now);
  }
};

TEST(ChoosePlacement, ASessionStaysWithItsEndpointOnEveryNode) {
  for (const char* id : {"w", "x", "y", "z"}) Add(id);
  std::map<std::string, int> chosen;
  for (std::uint64_t session = 1; session <= 200; ++session) {
    const er::Placement first = Choose(Prompt(session));
    random.seed(session);
    const er::Placement again = Choose(Prompt(session));
    CHECK(first.endpoint == again.endpoint);
    CHECK(first.reason == PlaceReason::kSession);
    ++chosen[first.endpoint->entry.id];
  }
  for (const auto& [id, count] : chosen) CHECK(count > 25);
  LONGS_EQUAL(4, chosen.size());
}

// One session gets much of the traffic. All of it at one endpoint would queue
// for seconds there while the others stand idle; all of it everywhere would be
// read anew everywhere.
TEST(ChoosePlacement, AHotSessionSpillsToFewEndpoints) {
  for (int i = 0; i < 12; ++i) Add("e" + std::to_string(i));
  const er::Demand demand = Prompt(5);
  std::map<std::string, int> sent;
  for (std::uint64_t n = 1; n <= 40; ++n) {
    const er::Placement placement = Choose(demand);
    er::OnAttemptSent(*placement.endpoint, demand, n, placement, kStart);
    ++sent[placement.endpoint->entry.id];
  }
  CHECK(sent.size() >= 2);
  CHECK(sent.size() <= er::kPreferred);
}

// A burst of long prompts over many sessions. What spills is read anew at the
// second endpoint, and every engine is busy with parts that another one holds.
TEST(ChoosePlacement, ABurstOverManySessionsReadsFewPartsTwice) {
  for (int i = 0; i < 12; ++i) Add("e" + std::to_string(i));
  std::map<std::uint64_t, std::map<std::string, int>> readers;
  std::uint64_t attempt = 0;
  // A second of work waits at each engine: 20 prompts of 7,500 tokens.
  for (int round = 0; round < 2; ++round) {
    for (std::uint64_t session = 1; session <= 120; ++session) {
      const er::Demand demand = Prompt(session);
      const er::Placement placement = Choose(demand);
      er::OnAttemptSent(*placement.endpoint, demand, ++attempt, placement,
                        kStart);
      ++readers[session][placement.endpoint->entry.id];
      er::OnAttemptStarted(*placement.endpoint, demand, attempt, placement);
      placement.endpoint->waiting_tokens[0] = 150'000.0 * (session % 5) / 5;
      placement.endpoint->in_flight = 0;
    }
  }
  std::size_t copies = 0;
  for (const auto& [session, by] : readers) copies += by.size();
  CHECK(copies <= 120 + 12);
}

TEST(ChoosePlacement, WorkGoesToTheLeastLoadedAndNearest) {
  Add("far", "b");
  Add("near");
  CHECK(Choose(Plain()).endpoint == set.by_id["near"]);
  At("near").in_flight = 8;
  CHECK(Choose(Plain()).endpoint == set.by_id["far"]);
  At("far").peers_in_flight = 12;
  CHECK(Choose(Plain()).endpoint == set.by_id["near"]);
}

// An engine with free slots reads a long prompt of a lower rank. It reads on to
// the end, and a parent's question behind it has its first event late.
TEST(ChoosePlacement, AQuestionDoesNotWaitBehindAPromptThatIsBeingRead) {
  Add("reading", "a");
  Add("idle", "b");
  At("reading").waiting_tokens[2] = 50'000;
  CHECK(Choose(Tight(1)).endpoint == set.by_id["idle"]);
  // With all slots taken the engine admits by rank: the question goes first.
  At("reading").in_flight = 16;
  At("idle").in_flight = 30;
  At("idle").waiting_tokens[0] = 50'000;
  CHECK(Choose(Tight(1)).endpoint == set.by_id["reading"]);
}

// An endpoint fails its requests at once. It looks idle, and without a price on
// failures it would draw all work and fail it.
TEST(ChoosePlacement, AnEndpointThatFailsLosesItsWork) {
  Add("bad");
  Add("good");
  for (int i = 0; i < 5; ++i) er::OnAttemptFailed(At("bad"), kStart);
  At("good").in_flight = 10;
  CHECK(Choose(Plain()).endpoint == set.by_id["good"]);
  CHECK(Choose(Plain(), kStart + 20s).endpoint == set.by_id["bad"]);
}

// An endpoint hangs: it accepts requests and answers none. Its health check
// still passes.
TEST(ChoosePlacement, ASilentEndpointIsLeft) {
  Add("mute");
  er::Placement to_mute = Choose(Plain());
  er::OnAttemptSent(At("mute"), Plain(), 1, to_mute, kStart);
  Add("good");
  At("good").in_flight = 6;
  CHECK(Choose(Plain(), kStart + 2s).endpoint == set.by_id["good"]);
}

TEST(ChoosePlacement, NothingGoesToLeavingOnesOrZonesOut) {
  Add("x");
  At("x").phase = er::EndpointPhase::kLeaving;
  CHECK(Choose(Plain()).reason == PlaceReason::kAllLeaving);
  Add("y");
  er::SetZoneOut(set, "a", true);
  POINTERS_EQUAL(nullptr, Choose(Plain()).endpoint.get());
  er::SetZoneOut(set, "a", false);
  CHECK(Choose(Plain()).endpoint == set.by_id["y"]);
}

// Endpoints come back cold, and every node sends them work at once: they crash.
// The rate that they bear holds for the sum over all nodes, at every second.
TEST(ChoosePlacement, AColdEndpointGetsNoMoreThanItsRateFromAllNodesTogether) {
  constexpr std::size_t kNodes = 7;
  engines.cold_per_second = 19;
  std::vector<er::EndpointSet> sets(kNodes);
  std::vector<std::string> names;
  for (std::size_t i = 0; i < kNodes; ++i) {
    names.push_back("n" + std::to_string(i));
  }
  for (er::EndpointSet& one : sets) {
    er::EndpointEntry entry;
    entry.id = "cold";
    entry.service = "engines";
    entry.address = "10.0.0.1:80";
    entry.slots = 1000;
    entry.cold_left = 3s;
    er::OnEntryPublished(one, entry, kStart);
  }
  std::vector<er::Time> arrivals;
  std::uint64_t attempt = 0;
  for (er::Time now = kStart; now < kStart + 3s; now += 5ms) {
    for (std::size_t i = 0; i < kNodes; ++i) {
      const er::FleetSnapshot part{kNodes, names[i], names, "a"};
      const auto placement =
          er::ChoosePlacement(sets[i], Plain(), {}, part, random, now);
      if (placement.endpoint == nullptr) continue;
      er::OnAttemptSent(*placement.endpoint, Plain(), ++attempt, placement,
                        now);
      arrivals.push_back(now);
    }
  }
  for (const er::Time from : arrivals) {
    const auto in_second = std::count_if(
        arrivals.begin(), arrivals.end(),
        [from](er::Time at) { return at >= from && at < from + 1s; });
    CHECK(in_second <= 19 * 1.5 + 5);
  }
  CHECK(arrivals.size() > 19);
}

// A fleet of ninety nodes, which know each other: only a few of them may send.
TEST(ChoosePlacement, FewNodesOfALargeFleetSendToAColdEndpoint) {
  Add("cold");
  std::vector<std::string> names;
  for (int i = 0; i < 90; ++i) names.push_back("node-" + std::to_string(i));
  std::size_t senders = 0;
  for (const std::string& name : names) {
    const er::FleetSnapshot part{names.size(), name, names, "a"};
    if (er::IsSender(At("cold"), kColdRate, part)) ++senders;
  }
  LONGS_EQUAL(er::kColdSenders, senders);
}

// The network splits, and a node sees itself alone. It must not take the whole
// rate for itself, since the others still send.
TEST(ChoosePlacement, ANodeCutOffFromALargeFleetDoesNotTakeTheWholeRate) {
  Add("cold");
  const er::FleetSnapshot part{90, "alone", {"alone"}, "a"};
  CHECK_FALSE(er::IsSender(At("cold"), kColdRate, part));
}

TEST(ChoosePlacement, OneNodeTakesNoMoreThanItsPartOfTheSlots) {
  Add("x");
  fleet.nodes = 8;
  At("x").in_flight = 4;
  CHECK(Choose(Plain()).reason == PlaceReason::kAllFull);
  fleet.nodes = 4;
  CHECK(Choose(Plain()).endpoint == set.by_id["x"]);
}

TEST(ChoosePlacement, SaysWhyThereIsNone) {
  CHECK(Choose(Plain()).reason == PlaceReason::kNoneKnown);
  Add("x");
  er::OnConnectFailed(At("x"), kStart);
  CHECK(Choose(Plain()).reason == PlaceReason::kAllDown);
  At("x").health = {};
  er::OnEndpointFull(At("x"), 60ms, kStart);
  CHECK(Choose(Plain()).reason == PlaceReason::kAllFull);
}

// All endpoints of a service but one are down, and that one failed a read once.
// Waiting for the others, the caller would get nothing for a second and then a
// failure.
TEST(ChoosePlacement, TheOnlyEndpointIsTriedAgain) {
  Add("x");
  Add("down");
  er::OnConnectFailed(At("down"), kStart);
  const auto again = er::ChoosePlacement(set, Plain(), {set.by_id["x"]}, fleet,
                                         random, kStart);
  CHECK(again.endpoint == set.by_id["x"]);
  Add("other");
  const auto elsewhere = er::ChoosePlacement(set, Plain(), {set.by_id["x"]},
                                             fleet, random, kStart);
  CHECK(elsewhere.endpoint == set.by_id["other"]);
}

// Short streams whose events must follow each other closely run beside long
// prompts. Each part of a prompt that is read delays them, and callers see a
// pause in the middle of their answer.
TEST(ChoosePlacement,
     LongPromptsStayAwayFromTightStreamsWhereThereAreManyEngines) {
  for (int i = 0; i < 96; ++i) Add("e" + std::to_string(i));
  set.tight_fraction = 0.25;
  std::size_t together = 0;
  for (std::uint64_t session = 1; session <= 200; ++session) {
    if (!IsForTight(*Choose(Tight(session)).endpoint)) ++together;
    if (IsForTight(*Choose(Prompt(session + 500)).endpoint)) ++together;
  }
  CHECK_EQUAL(0U, together);
}

// All engines for long prompts are full. A prompt that waited for them would be
// late, while the others have room.
TEST(ChoosePlacement, LongPromptsGoToTheOtherSideWhereTheirsIsFull) {
  for (int i = 0; i < 96; ++i) Add("e" + std::to_string(i));
  set.tight_fraction = 0.25;
  for (const auto& [id, endpoint] : set.by_id) {
    if (!IsForTight(*endpoint)) er::OnEndpointFull(*endpoint, 60ms, kStart);
  }
  for (std::uint64_t session = 1; session <= 200; ++session) {
    const er::Placement placement = Choose(Prompt(session));
    CHECK(placement.endpoint != nullptr);
    CHECK(IsForTight(*placement.endpoint));
  }
}

TEST(ChoosePlacement, FewEnginesServeAll) {
  for (int i = 0; i < 12; ++i) Add("e" + std::to_string(i));
  set.tight_fraction = 0.25;
  std::size_t at_tight = 0;
  for (std::uint64_t session = 1; session <= 300; ++session) {
    if (IsForTight(*Choose(Prompt(session)).endpoint)) ++at_tight;
  }
  CHECK(at_tight > 0);
}

// One question is asked by a quarter of all callers. What its requests share is
// read in two milliseconds; kept together for it, they fill one engine.
TEST(ChoosePlacement, ASmallSharedPartKeepsNothingTogether) {
  for (int i = 0; i < 12; ++i) Add("e" + std::to_string(i));
  std::map<std::string, int> sent;
  for (std::uint64_t n = 1; n <= 120; ++n) {
    const er::Demand demand = Tight(5);
    const er::Placement placement = Choose(demand);
    er::OnAttemptSent(*placement.endpoint, demand, n, placement, kStart);
    ++sent[placement.endpoint->entry.id];
  }
  for (const auto& [id, count] : sent) CHECK(count <= 14);
}

// Operators measure what a mechanism is worth by a setting that leaves it out.
TEST(ChoosePlacement, AMechanismThatIsSwitchedOffTakesNoPart) {
  for (int i = 0; i < 96; ++i) Add("e" + std::to_string(i));
  set.tight_fraction = 0.25;
  set.disabled_mechanisms.set(static_cast<std::size_t>(er::Mechanism::kSides));
  set.disabled_mechanisms.set(static_cast<std::size_t>(er::Mechanism::kZone));
  std::size_t at_tight = 0;
  for (std::uint64_t session = 1; session <= 200; ++session) {
    if (IsForTight(*Choose(Prompt(session)).endpoint)) ++at_tight;
  }
  CHECK(at_tight > 20);
  fleet.zone = "elsewhere";
  const er::Placement placement = Choose(Plain());
  DOUBLES_EQUAL(0, placement.costs.Total(), 0.001);
}
