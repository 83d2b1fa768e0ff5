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

  /// Delivers a ping reply of `voter` that reports the nodes in `gone` as gone,
  /// under the node list with `digest`.
  void AnswerPing(const std::string& voter,
                  const std::vector<std::string>& gone,
                  std::uint64_t digest = 5) {
    ef::Gossip gossip;
    gossip.ack = ef::RecordPing(state_, state_.peers.at(voter), now_);
    gossip.gone = gone;
    gossip.nodes_digest = digest;
    ef::ApplyGossip(state_, {voter, 10}, gossip, now_);
  }

  /// Advances time by `duration`. Meanwhile the nodes in `answering` reply to a
  /// ping every 500 ms.
  void RunWhileAnswering(std::chrono::milliseconds duration,
                         const std::vector<std::string>& answering,
                         const std::vector<std::string>& gone = {}) {
    const ef::Time until = now_ + duration;
    while (now_ < until) {
      now_ += 500ms;
      for (const std::string& voter : answering) AnswerPing(voter, gone);
    }
  }
  bool CanKeep(bool keeping = false) const {
    return ef::CanKeep(state_, voters_, keeping, now_);
  }
};

// Only the second-ranked keeper loses contact with the first. The first still
// reaches a majority and continues to lease slots, so the second must not
// become keeper as well.
TEST(Membership, ViewOfOneNodeDoesNotReplaceAKeeper) {
  RunWhileAnswering(10s, {"n2", "n3", "n4"});
  CHECK_TRUE(ef::HasVotedGone(state_, "n1", "n0", now_));
  CHECK_FALSE(CanKeep());
  AnswerPing("n2", {"n0"});
  CHECK_FALSE(CanKeep());
  AnswerPing("n3", {"n0"});
  CHECK_TRUE(CanKeep());
}

// A partition leaves a keeper with one other node out of five. It must lose its
// mandate.
TEST(Membership, KeeperNeedsAMajority) {
  RunWhileAnswering(10s, {"n2", "n3", "n4"}, {"n0"});
  CHECK_TRUE(CanKeep());
  RunWhileAnswering(ef::kSupportLifetime, {"n2"}, {"n0"});
  CHECK_FALSE(CanKeep(true));
}

// A node that has supported another keeper now answers this one. Leases that
// the other keeper granted with its support remain valid for a while, so the
// new support must not count at once.
TEST(Membership, SupportCountsOnlyAfterFormerLeasesHaveExpired) {
  RunWhileAnswering(ef::kMinSupportDuration - 1s, {"n2", "n3", "n4"}, {"n0"});
  CHECK_FALSE(CanKeep());
  RunWhileAnswering(1500ms, {"n2", "n3", "n4"}, {"n0"});
  CHECK_TRUE(CanKeep());
}

// The published list of nodes changes. Majorities of the old and the new list
// need not intersect, so replies under another list don't count.
TEST(Membership, AnswersUnderAnotherNodeListDontCount) {
  RunWhileAnswering(10s, {"n2", "n3", "n4"}, {"n0"});
  for (const char* voter : {"n2", "n3", "n4"}) AnswerPing(voter, {"n0"}, 6);
  CHECK_FALSE(CanKeep(true));
}

// After a VM was replaced, a delayed message of its old process arrives. The
// old process must not become current again, because the new one has its slots.
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

// The wall clock of a new VM is behind that of the VM that it replaces. If only
// start times were compared, the new process would never be accepted.
TEST(Membership, NewProcessWithAnOldClockIsAcceptedOnceTheOldOneIsSilent) {
  ef::Member replacement;
  replacement.node = "n2";
  replacement.incarnation = 12;
  replacement.started = 50;
  now_ += ef::kSuspectTimeout + 1ms;
  ef::ApplyMemberGossip(state_, replacement, true, now_);
  CHECK_TRUE(ef::IsCurrent(state_, {"n2", 12}));
}

// In a large fleet a keeper has no gossip about most nodes that request slots
// from it. If it ignored them, they could use only the slots that need no
// lease.
TEST(Membership, UnknownSenderIsAcceptedAndItsOldProcessIsNot) {
  state_.peers["n9"].member.node = "n9";
  CHECK_TRUE(ef::RecordSender(state_, {"n9", 2}, now_));
  CHECK_FALSE(ef::RecordSender(state_, {"n9", 1}, now_ + 1s));
  CHECK_TRUE(ef::RecordSender(state_, {"n9", 3}, now_ + 3s));
  CHECK_FALSE(ef::RecordSender(state_, {"n10", 1}, now_));
}

// A process that was paused has heard no peer meanwhile. It must attribute the
// silence to its own pause and not vote its peers gone.
TEST(Membership, PausedProcessDoesNotConsiderItsPeersGone) {
  now_ += 60s;
  CHECK(ef::GetMemberState(state_.peers.at("n2"), now_) ==
        ef::MemberState::kGone);
  ef::ResetPeerTimeouts(state_, now_);
  CHECK(ef::GetMemberState(state_.peers.at("n2"), now_) ==
        ef::MemberState::kAlive);
}

// The size of a gossip message must not grow with the fleet, which may have 390
// nodes.
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
