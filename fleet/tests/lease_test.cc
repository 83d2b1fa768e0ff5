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
  ef::KeeperState keeper_;
  egretladder::rules::Endpoint endpoint_;

  void setup() override {
    endpoint_.max_in_flight = 16;
    endpoint_.cold_max_in_flight = 4;
    ef::InitKeeperState(keeper_, endpoint_, now_);
  }
  void ReceiveReport(std::uint64_t boot, std::uint32_t running = 0) {
    egretladder::policy::EngineReport report;
    report.boot = boot;
    report.running = running;
    ef::ApplyReport(keeper_, &report, now_);
  }
  /// Sends a slot request of `node` to the keeper. Returns the slots granted.
  std::uint32_t AskForSlots(const std::string& node, std::uint64_t number,
                            std::uint32_t wanted, std::uint32_t in_flight = 0,
                            std::uint64_t live_from = 0,
                            std::uint32_t urgent = 0) {
    ef::SlotAsk ask;
    ask.wanted = wanted;
    ask.urgent = urgent;
    ask.in_flight = in_flight;
    ask.live_from = live_from;
    ef::ApplyAsk(keeper_, {node, 1}, number, ask, now_);
    return ef::GrantSlots(keeper_, {node, 1}, now_);
  }
};

// The reply to a slot request takes a second to arrive. If the lease were
// counted from its arrival, it would outlive the keeper's record of it.
TEST(Lease, LeaseTimeCountsFromTheRequest) {
  ef::SlotLease lease;
  lease.slots = 3;
  lease.left = ef::kLeaseDuration;
  lease.ask_number = 1;
  CHECK_TRUE(ef::ApplyLease(held_, lease, now_, now_ + 1s));
  const auto unusable_from = now_ + ef::kLeaseDuration - ef::kPauseThreshold;
  CHECK_EQUAL(3U, ef::UsableSlots(held_, unusable_from - 1ms));
  CHECK_EQUAL(0U, ef::UsableSlots(held_, unusable_from));
}

// Replies arrive out of order or twice. An older reply with more slots must not
// replace a newer one.
TEST(Lease, ReorderedAndDuplicateLeasesAreIgnored) {
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

// An engine dies while it runs a node's calls and a lease for it is in transit.
// The lease must not be accepted.
TEST(Lease, EndpointDeathVoidsALeaseInTransit) {
  ef::DropLease(held_, now_);
  ef::SlotLease lease;
  lease.slots = 3;
  lease.left = ef::kLeaseDuration;
  lease.ask_number = 1;
  CHECK_FALSE(ef::ApplyLease(held_, lease, now_, now_ + 100ms));
}

// Two nodes want all slots of a cold engine. Slots that one node may still use
// must not be granted to the other before a slot request shows that they are
// free.
TEST(Lease, GrantEndsOnlyOnProofThatItIsUnused) {
  ReceiveReport(1);
  CHECK_EQUAL(3U, AskForSlots("a", 1, 9));
  CHECK_EQUAL(0U, AskForSlots("b", 1, 9));
  now_ += 10s;
  CHECK_EQUAL(0U, AskForSlots("b", 2, 9));
  // Replies to the first two requests of `a` may still arrive. After its third
  // request, which voids them, they no longer count.
  CHECK_EQUAL(0U, AskForSlots("a", 2, 0, 0, 1));
  CHECK_EQUAL(0U, AskForSlots("b", 3, 9));
  AskForSlots("a", 3, 0, 0, 3);
  CHECK_EQUAL(3U, AskForSlots("b", 4, 9));
}

// A node has three long calls running when its lease expires. They still occupy
// the engine.
TEST(Lease, RunningCallsCountAfterTheLeaseHasExpired) {
  ReceiveReport(1);
  AskForSlots("a", 1, 3);
  AskForSlots("a", 2, 0, 3, 2);
  CHECK_EQUAL(0U, AskForSlots("b", 1, 9));
}

// A keeper takes over while calls of a node that it can't reach run on the
// engine. It must count them from the engine's report.
TEST(Lease, NewKeeperCountsCallsOfUnreachableNodes) {
  ReceiveReport(1, 2);
  CHECK_EQUAL(1U, AskForSlots("a", 1, 9));
}

// There are fewer slots than nodes. The random order in which nodes are served
// must change over time, so that no node starves.
TEST(Lease, EveryNodeEventuallyGetsASlot) {
  ReceiveReport(1);
  bool got_slot = false;
  for (std::uint64_t round = 1; round < 40 && !got_slot; ++round) {
    for (const char* node : {"a", "b", "c", "d", "e", "f"}) {
      const auto slots = AskForSlots(node, round, 9, 0, round);
      got_slot |= std::string(node) == "f" && slots > 0;
    }
    now_ += 1s;
  }
  CHECK_TRUE(got_slot);
}

// Callers stay with their nodes: one node has interactive requests, and two
// others have batch work that could fill the engine. With equal shares the
// interactive requests would wait while batch work has slots.
TEST(Lease, WorkOfTheTopTierGetsSlotsFirst) {
  endpoint_.cold_max_in_flight = 16;
  ef::InitKeeperState(keeper_, endpoint_, now_);
  ReceiveReport(1);
  for (std::uint64_t round = 1; round <= 3; ++round) {
    AskForSlots("batch-1", round, 16, 0, round);
    AskForSlots("batch-2", round, 16, 0, round);
    now_ += 1s;
    const auto slots = AskForSlots("buyers", round, 12, 0, round, 10);
    if (round == 3) CHECK_TRUE(slots >= 10);
  }
  CHECK_TRUE(ef::TotalOutstandingSlots(keeper_) <= ef::LeasableSlots(keeper_));
}

// At most a quarter of an engine's cold_max_in_flight may be used without a
// lease, so that all nodes with such slots together can't overload it.
TEST(Lease, FloorsStayWithinAQuarterOfColdMaxInFlight) {
  CHECK_EQUAL(1U, ef::TotalFloorSlots(endpoint_));
  endpoint_.cold_max_in_flight = 2;
  CHECK_EQUAL(0U, ef::TotalFloorSlots(endpoint_));
  CHECK_EQUAL(3U, ef::LeasableSlots(keeper_));
}
