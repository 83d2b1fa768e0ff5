#include "egretladder/fleet/lease.h"

#include <CppUTest/TestHarness.h>

#include <string>

#include "egretladder/fleet/electorate.h"
#include "egretladder/fleet/limits.h"

using namespace std::chrono_literals;
namespace ef = egretladder::fleet;

TEST_GROUP(Lease) {
  ef::Time now_{1h};
  ef::HeldSlots held_;
  ef::KeeperState book_;
  egretladder::rules::Endpoint row_;

  void setup() override {
    row_.max_in_flight = 16;
    row_.cold_max_in_flight = 4;
    ef::InitKeeperState(book_, row_, now_);
  }
  void Report(std::uint64_t boot, std::uint32_t running = 0) {
    egretladder::policy::EngineReport report;
    report.boot = boot;
    report.running = running;
    ef::ApplyReport(book_, &report, now_);
  }
  std::uint32_t Ask(const std::string& node, std::uint64_t number,
                    std::uint32_t wanted, std::uint32_t in_flight = 0,
                    std::uint64_t live_from = 0, std::uint32_t urgent = 0) {
    ef::SlotAsk ask;
    ask.wanted = wanted;
    ask.urgent = urgent;
    ask.in_flight = in_flight;
    ask.live_from = live_from;
    ef::ApplyAsk(book_, {node, 1}, number, ask, now_);
    return ef::GrantSlots(book_, {node, 1}, now_);
  }
};

// The answer to an ask takes a second on its way. Counted from its arrival, the
// lease would outlive what the keeper counts.
TEST(Lease, TimeRunsFromTheAsking) {
  ef::SlotLease lease;
  lease.slots = 3;
  lease.left = ef::kLeaseDuration;
  lease.ask_number = 1;
  CHECK_TRUE(ef::ApplyLease(held_, lease, now_, now_ + 1s));
  const auto lapses = now_ + ef::kLeaseDuration - ef::kPauseThreshold;
  CHECK_EQUAL(3U, ef::UsableSlots(held_, lapses - 1ms));
  CHECK_EQUAL(0U, ef::UsableSlots(held_, lapses));
}

// Answers overtake each other, or come twice. An old one with more slots must
// not undo a newer one.
TEST(Lease, OvertakenAndDoubledAnswersGiveNothing) {
  ef::SlotLease lease;
  lease.left = ef::kLeaseDuration;
  lease.ask_number = 2;
  lease.slots = 1;
  ef::ApplyLease(held_, lease, now_, now_);
  lease.ask_number = 1;
  lease.slots = 5;
  CHECK_FALSE(ef::ApplyLease(held_, lease, now_, now_));
  lease.ask_number = 2;
  ef::ApplyLease(held_, lease, now_, now_);
  CHECK_EQUAL(1U, ef::UsableSlots(held_, now_));
}

// An engine dies under a node's work while a lease for it is on its way.
TEST(Lease, DeathVoidsTheLeaseUnderWay) {
  ef::DropLease(held_, now_);
  ef::SlotLease lease;
  lease.slots = 3;
  lease.left = ef::kLeaseDuration;
  lease.ask_number = 1;
  CHECK_FALSE(ef::ApplyLease(held_, lease, now_, now_ + 100ms));
}

// Two nodes want all of a cold engine's slots. What one may still use isn't
// given to the other before an ask shows that it is free.
TEST(Lease, GrantEndsByProofOnly) {
  Report(1);
  CHECK_EQUAL(3U, Ask("a", 1, 9));
  CHECK_EQUAL(0U, Ask("b", 1, 9));
  now_ += 10s;
  CHECK_EQUAL(0U, Ask("b", 2, 9));
  // The first two asks of `a` may be answered still; then they may not.
  CHECK_EQUAL(0U, Ask("a", 2, 0, 0, 1));
  CHECK_EQUAL(0U, Ask("b", 3, 9));
  Ask("a", 3, 0, 0, 3);
  CHECK_EQUAL(3U, Ask("b", 4, 9));
}

// A node has three long answers running when its lease lapses. They still fill
// the engine.
TEST(Lease, RunningCallsCountAfterTheLease) {
  Report(1);
  Ask("a", 1, 3);
  Ask("a", 2, 0, 3, 2);
  CHECK_EQUAL(0U, Ask("b", 1, 9));
}

// A keeper begins while calls of a node it can't hear run on the engine. The
// report shows them.
TEST(Lease, NewKeeperLeavesRoomForCallsOfNodesItCantHear) {
  Report(1, 2);
  CHECK_EQUAL(1U, Ask("a", 1, 9));
}

// Few slots and many nodes: lots change, so that no node starves.
TEST(Lease, EveryNodeGetsASlotInTime) {
  Report(1);
  bool had = false;
  for (std::uint64_t round = 1; round < 40 && !had; ++round) {
    for (const char* node : {"a", "b", "c", "d", "e", "f"}) {
      const auto slots = Ask(node, round, 9, 0, round);
      had |= std::string(node) == "f" && slots > 0;
    }
    now_ += 1s;
  }
  CHECK_TRUE(had);
}

// Callers keep to their nodes: one node has the questions of buyers, two others
// a batch that could fill the engine. With equal parts the buyers wait while
// the batch has slots.
TEST(Lease, WorkOfTheTopTierGetsItsSlotsFirst) {
  row_.cold_max_in_flight = 16;
  ef::InitKeeperState(book_, row_, now_);
  Report(1);
  for (std::uint64_t round = 1; round <= 3; ++round) {
    Ask("batch-1", round, 16, 0, round);
    Ask("batch-2", round, 16, 0, round);
    now_ += 1s;
    const auto slots = Ask("buyers", round, 12, 0, round, 10);
    if (round == 3) CHECK_TRUE(slots >= 10);
  }
  CHECK_TRUE(ef::TotalOutstandingSlots(book_) <= ef::LeasableSlots(book_));
}

// A quarter of what an engine bears cold needs no lease: all owners together
// can't swamp it.
TEST(Lease, FloorsAddUpToAPartOfTheColdBears) {
  CHECK_EQUAL(1U, ef::TotalFloorSlots(row_));
  row_.cold_max_in_flight = 2;
  CHECK_EQUAL(0U, ef::TotalFloorSlots(row_));
  CHECK_EQUAL(3U, ef::LeasableSlots(book_));
}
