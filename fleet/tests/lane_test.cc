#include "egretladder/fleet/lane.h"

#include <CppUTest/TestHarness.h>

#include <string>
#include <variant>

#include "egretladder/fleet/limits.h"

using namespace std::chrono_literals;
namespace ef = egretladder::fleet;
namespace ek = egretladder::kernel;

TEST_GROUP(Lane) {
  ek::Time now_{1h};
  ef::LanesPtr lanes_ = ef::StartLanes("n1", 7, "secret", now_);
  ef::Lane lane_ = ef::IssueLane(*lanes_, now_);

  ef::LaneDecision Begin(const std::string& key, std::uint64_t body = 1,
                         ef::WaiterId waiter = 1) {
    return ef::BeginCall(*lanes_, lane_, key, body, waiter, now_);
  }
  bool Runs(const std::string& key) {
    return std::holds_alternative<ef::RunCall>(Begin(key));
  }
  ef::RefuseCall Refusal(const ef::LaneDecision& decision) {
    CHECK_TRUE(std::holds_alternative<ef::RefuseCall>(decision));
    return std::get<ef::RefuseCall>(decision);
  }
};

TEST(Lane, TextComesBackAndNothingElseIsRead) {
  const std::string text = ef::Encode(lane_);
  const auto back = ef::DecodeLane(text);
  CHECK_TRUE(back.has_value());
  STRCMP_EQUAL(text.c_str(), ef::Encode(back.value()).c_str());
  CHECK_TRUE(ef::OwnsLane(*lanes_, back.value()));
  for (const std::string& other :
       {std::string(), std::string("1."), text.substr(1), "0" + text,
        text + "\n", text.substr(0, text.size() - 2), "1.07" + text.substr(3),
        std::string(600, '1')}) {
    CHECK_FALSE(ef::DecodeLane(other).has_value());
  }
}

// A caller changes its lane's expiry to keep it for longer. The owner would
// have forgotten the keys by then, and run a payment again.
TEST(Lane, ChangedLaneIsNotTheOwners) {
  lane_.expires += 1h;
  CHECK_FALSE(ef::OwnsLane(*lanes_, lane_));
  CHECK(Refusal(Begin("k")).why == ef::LaneRefusal::kForged);
}

// The caller's connection breaks and it sends its payment again, twice at once,
// while the first try still runs. It is charged once, and each try gets the
// whole answer.
TEST(Lane, RetriesJoinTheCallAndGetItsAnswer) {
  CHECK_TRUE(Runs("k"));
  CHECK_TRUE(std::holds_alternative<ef::JoinCall>(Begin("k", 1, 2)));
  CHECK_TRUE(std::holds_alternative<ef::JoinCall>(Begin("k", 1, 3)));
  CHECK_TRUE(ef::MaySend(*lanes_, lane_, "k", now_));
  CHECK_FALSE(ef::MaySend(*lanes_, lane_, "k", now_));
  const auto waiters =
      ef::FinishCall(*lanes_, lane_, "k", {201, "text/plain", "paid"}, now_);
  CHECK_EQUAL(3U, waiters.size());
  const auto again = Begin("k", 1, 4);
  CHECK_TRUE(std::holds_alternative<ef::RepeatAnswer>(again));
  const auto& answer = *std::get<ef::RepeatAnswer>(again).answer;
  STRCMP_EQUAL("paid", answer.body.c_str());
  CHECK_EQUAL(201, answer.status);
}

// The endpoint breaks off after the call was sent. Nobody knows whether the
// enrolment was made; saying "not run" would invite a second one. When the
// answer comes late after all, the next retry gets it.
TEST(Lane, LostCallStaysUnknownUntilItsAnswerComes) {
  CHECK_TRUE(Runs("k"));
  CHECK_TRUE(ef::MaySend(*lanes_, lane_, "k", now_));
  CHECK_EQUAL(1U, ef::MarkOutcomeUnknown(*lanes_, lane_, "k", now_).size());
  CHECK_TRUE(std::holds_alternative<ef::OutcomeUnknown>(Begin("k")));
  CHECK_FALSE(ef::MaySend(*lanes_, lane_, "k", now_));
  ef::FinishCall(*lanes_, lane_, "k", {200, "", "late"}, now_);
  CHECK_TRUE(std::holds_alternative<ef::RepeatAnswer>(Begin("k")));
}

// The caller hears "not run" because the queue was full, while a second copy of
// its call is still under way on a slow connection. That copy must not run.
TEST(Lane, BurnedKeyNeverRuns) {
  CHECK_TRUE(Runs("k"));
  CHECK_EQUAL(1U, ef::MarkNotRun(*lanes_, lane_, "k", now_).size());
  const auto refusal = Refusal(Begin("k"));
  CHECK(refusal.why == ef::LaneRefusal::kKeyBurned);
  CHECK_TRUE(refusal.not_run);
  CHECK_FALSE(ef::MaySend(*lanes_, lane_, "k", now_));
  CHECK_FALSE(ef::MarkUnsent(*lanes_, lane_, "k"));
}

// The endpoint refuses the connection, so that the call certainly did not run;
// another endpoint may have it.
TEST(Lane, RefusedAttemptMayBeSentAgain) {
  CHECK_TRUE(Runs("k"));
  CHECK_TRUE(ef::MaySend(*lanes_, lane_, "k", now_));
  CHECK_TRUE(ef::MarkUnsent(*lanes_, lane_, "k"));
  CHECK_TRUE(ef::MaySend(*lanes_, lane_, "k", now_));
}

// The process stands still between recording a call and sending it, longer than
// the lane lives. Its caller has given up and may have paid another way.
TEST(Lane, NothingIsSentOnALaneThatExpiredDuringAPause) {
  CHECK_TRUE(Runs("k"));
  now_ += ef::kLaneLifetime;
  CHECK_FALSE(ef::MaySend(*lanes_, lane_, "k", now_));
}

// The caller sends its enrolment again after a day. Its key is forgotten; the
// enrolment may have been made, so it is neither run nor said to be "not run".
TEST(Lane, RetryAfterADayIsUnknown) {
  CHECK_TRUE(Runs("k"));
  CHECK_TRUE(ef::MaySend(*lanes_, lane_, "k", now_));
  ef::FinishCall(*lanes_, lane_, "k", {200, "", "ok"}, now_);
  now_ += 24h;
  ef::SweepLanes(*lanes_, now_);
  CHECK_EQUAL(0U, ef::ViewOf(*lanes_).keys);
  CHECK_EQUAL(0U, ef::ViewOf(*lanes_).bytes);
  const auto refusal = Refusal(Begin("k"));
  CHECK(refusal.why == ef::LaneRefusal::kExpired);
  CHECK_FALSE(refusal.not_run);
}

// A VM's clock is set back after keys were forgotten. The expired lane would
// become valid again, and its forgotten keys would run twice.
TEST(Lane, ExpiredLaneStaysExpiredWhenTheClockGoesBack) {
  CHECK_TRUE(Runs("k"));
  CHECK_TRUE(ef::MaySend(*lanes_, lane_, "k", now_));
  ef::FinishCall(*lanes_, lane_, "k", {200, "", "ok"}, now_);
  ef::SweepLanes(*lanes_, now_ + ef::kLaneLifetime + ef::kAnswerRetention);
  const auto refusal = Refusal(Begin("k"));
  CHECK(refusal.why == ef::LaneRefusal::kExpired);
}

// A call begins in its lane's last second and ends after the expiry. Its retry
// still gets the answer.
TEST(Lane, AnswerOfACallThatOutlivesItsLaneIsKept) {
  now_ += ef::kLaneLifetime - 1s;
  CHECK_TRUE(Runs("k"));
  CHECK_TRUE(ef::MaySend(*lanes_, lane_, "k", now_));
  now_ += 5min;
  ef::SweepLanes(*lanes_, now_);
  ef::FinishCall(*lanes_, lane_, "k", {200, "", "ok"}, now_);
  now_ += ef::kAnswerRetention - 1s;
  ef::SweepLanes(*lanes_, now_);
  CHECK_TRUE(std::holds_alternative<ef::RepeatAnswer>(Begin("k")));
}

// A program error sends another body under a used key. The first body may have
// run, so the answer must not say "not run".
TEST(Lane, OtherBodyUnderAUsedKeyIsRefusedWithoutAPromise) {
  CHECK_TRUE(Runs("k"));
  const auto refusal = Refusal(Begin("k", 2));
  CHECK(refusal.why == ef::LaneRefusal::kOtherBody);
  CHECK_FALSE(refusal.not_run);
}

// A caller floods the node with keys until the table is full. What is refused
// then is "not run" for good, also when there is room again and a second copy
// of a refused call arrives; a new lane works.
TEST(Lane, FullTableRefusesForGoodAndStaysWithinItsBound) {
  std::size_t run = 0;
  while (Runs("flood" + std::to_string(run))) ++run;
  CHECK(ef::ViewOf(*lanes_).bytes <= ef::kMaxLaneTableBytes);
  CHECK_TRUE(Refusal(Begin("late")).not_run);
  for (std::size_t i = 0; i < run; ++i) {
    ef::MarkNotRun(*lanes_, lane_, "flood" + std::to_string(i), now_);
  }
  const auto refusal = Refusal(Begin("late"));
  CHECK(refusal.why == ef::LaneRefusal::kTableFull);
  CHECK_TRUE(refusal.not_run);
  lane_ = ef::IssueLane(*lanes_, now_);
  CHECK_TRUE(Runs("late"));
}
