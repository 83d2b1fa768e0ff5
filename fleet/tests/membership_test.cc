#include "egretladder/fleet/membership.h"

#include <CppUTest/TestHarness.h>

#include <string>
#include <vector>

#include "egretladder/fleet/limits.h"

using namespace std::chrono_literals;
namespace ef = egretladder::fleet;

TEST_GROUP(Membership) {
  ef::Time now_{1h};
  ef::MembershipState state_;
  std::vector<std::string> voters_ = {"n0", "n1", "n2", "n3", "n4"};

  void setup() override {
    state_.self.node = "n1";
    state_.self.incarnation = 1;
    state_.nodes_digest = 5;
    for (const char* name : {"n0", "n2", "n3", "n4"}) {
      ef::Member member;
      member.node = name;
      member.incarnation = 10;
      member.started = 100;
      member.heartbeat = 1;
      ef::ApplyMemberGossip(state_, member, true, now_);
    }
  }

  /// `voter` answers a ping, and says who is gone.
  void Answer(const std::string& voter, const std::vector<std::string>& gone,
              std::uint64_t digest = 5) {
    ef::Gossip gossip;
    gossip.ack = ef::RecordPing(state_, state_.peers.at(voter), now_);
    gossip.gone = gone;
    gossip.nodes_digest = digest;
    ef::ApplyGossip(state_, {voter, 10}, gossip, now_);
  }

  /// Lets time pass in which `answering` answer.
  void Pass(std::chrono::milliseconds span,
            const std::vector<std::string>& answering,
            const std::vector<std::string>& gone = {}) {
    const ef::Time until = now_ + span;
    while (now_ < until) {
      now_ += 500ms;
      for (const std::string& voter : answering) Answer(voter, gone);
    }
  }
  bool CanKeep(bool keeping = false) const {
    return ef::CanKeep(state_, voters_, keeping, now_);
  }
};

// The first keeper is cut off from the second only; the others still hear it,
// and it goes on leasing. The second must not begin beside it.
TEST(Membership, NobodyIsPassedOverByOneNodesView) {
  Pass(10s, {"n2", "n3", "n4"});
  CHECK_TRUE(ef::HasVotedGone(state_, "n1", "n0", now_));
  CHECK_FALSE(CanKeep());
  Answer("n2", {"n0"});
  CHECK_FALSE(CanKeep());
  Answer("n3", {"n0"});
  CHECK_TRUE(CanKeep());
}

// Two of five nodes are cut off together. Their keeper loses its mandate.
TEST(Membership, KeeperNeedsAMajority) {
  Pass(10s, {"n2", "n3", "n4"}, {"n0"});
  CHECK_TRUE(CanKeep());
  Pass(ef::kSupportLifetime, {"n2"}, {"n0"});
  CHECK_FALSE(CanKeep(true));
}

// A node that supported another keeper until now answers this one. What the
// other leased by its vote runs on for a while.
TEST(Membership, SupportCountsOnlyAfterFormerLeasesLapsed) {
  Pass(ef::kMinSupportDuration - 1s, {"n2", "n3", "n4"}, {"n0"});
  CHECK_FALSE(CanKeep());
  Pass(1500ms, {"n2", "n3", "n4"}, {"n0"});
  CHECK_TRUE(CanKeep());
}

// A published list of nodes changes. Majorities of the old and the new one need
// not meet, so answers under another list don't count.
TEST(Membership, AnswersUnderAnotherNodeListDontCount) {
  Pass(10s, {"n2", "n3", "n4"}, {"n0"});
  for (const char* voter : {"n2", "n3", "n4"}) Answer(voter, {"n0"}, 6);
  CHECK_FALSE(CanKeep(true));
}

// A VM was replaced; a delayed message of its old process arrives. It must not
// bring the old process back, whose slots the new one has.
TEST(Membership, OldProcessStaysReplaced) {
  ef::Member newer;
  newer.node = "n2";
  newer.incarnation = 11;
  newer.started = 200;
  newer.heartbeat = 1;
  ef::ApplyMemberGossip(state_, newer, false, now_);
  ef::Member older = newer;
  older.incarnation = 10;
  older.started = 100;
  older.heartbeat = 99;
  ef::ApplyMemberGossip(state_, older, true, now_);
  CHECK_TRUE(ef::IsCurrent(state_, {"n2", 11}));
  CHECK_FALSE(ef::IsCurrent(state_, {"n2", 10}));
}

// The new VM's wall clock is behind its predecessor's. It would never be heard
// if only start times counted.
TEST(Membership, NewProcessWithAnOldClockIsHeardOnceTheOldOneIsSilent) {
  ef::Member fresh;
  fresh.node = "n2";
  fresh.incarnation = 12;
  fresh.started = 50;
  now_ += ef::kSuspectTimeout + 1ms;
  ef::ApplyMemberGossip(state_, fresh, true, now_);
  CHECK_TRUE(ef::IsCurrent(state_, {"n2", 12}));
}

// In a large fleet a keeper has never heard of most nodes that ask it for
// slots. It would answer none of them, and they would use nothing but their
// floors.
TEST(Membership, UnknownAskerIsBelievedAndItsPredecessorIsNot) {
  state_.peers["n9"].member.node = "n9";
  CHECK_TRUE(ef::RecordSender(state_, {"n9", 2}, now_));
  CHECK_FALSE(ef::RecordSender(state_, {"n9", 1}, now_ + 1s));
  CHECK_TRUE(ef::RecordSender(state_, {"n9", 3}, now_ + 3s));
  CHECK_FALSE(ef::RecordSender(state_, {"n10", 1}, now_));
}

// A process that was paused hears its peers' silence as its own, and doesn't
// vote them all out.
TEST(Membership, PausedProcessForgivesItsPeers) {
  now_ += 60s;
  CHECK(ef::GetMemberState(state_.peers.at("n2"), now_) ==
        ef::MemberState::kGone);
  ef::ResetPeerTimeouts(state_, now_);
  CHECK(ef::GetMemberState(state_.peers.at("n2"), now_) ==
        ef::MemberState::kAlive);
}

// At 390 nodes a message must not grow with the fleet.
TEST(Membership, MessageSizeIsBounded) {
  for (int i = 0; i < 50; ++i) {
    ef::Member member;
    member.node = "m" + std::to_string(i);
    member.incarnation = 1;
    member.heartbeat = 1;
    ef::ApplyMemberGossip(state_, member, true, now_);
    ef::RecordSender(state_, {member.node, 1}, now_);
  }
  egretladder::kernel::Random random(1);
  CHECK_EQUAL(ef::kMaxMembersPerMessage + 1,
              ef::MakeMemberGossip(state_, random, now_).size());
}
