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
  /// Begins a call with `key`; true if it is to be run.
  bool StartsRun(const std::string& key) {
    return std::holds_alternative<ef::RunCall>(Begin(key));
  }
  ef::RefuseCall ExpectRefusal(const ef::LaneDecision& decision) {
    CHECK_TRUE(std::holds_alternative<ef::RefuseCall>(decision));
    return std::get<ef::RefuseCall>(decision);
  }
};

TEST(Lane, EncodingRoundTripsAndMalformedTextIsRejected) {
  const std::string text = ef::Encode(lane_);
  const auto decoded = ef::DecodeLane(text);
  CHECK_TRUE(decoded.has_value());
  STRCMP_EQUAL(text.c_str(), ef::Encode(decoded.value()).c_str());
  CHECK_TRUE(ef::OwnsLane(*lanes_, decoded.value()));
  for (const std::string& malformed :
       {std::string(), std::string("1."), text.substr(1), "0" + text,
        text + "\n", text.substr(0, text.size() - 2), "1.07" + text.substr(3),
        std::string(600, '1')}) {
    CHECK_FALSE(ef::DecodeLane(malformed).has_value());
  }
}

// A caller extends the expiry of its lane. The owner would have forgotten the
// lane's keys by then and could run a request twice.
TEST(Lane, LaneWithAlteredExpiryIsRefused) {
  lane_.expires += 1h;
  CHECK_FALSE(ef::OwnsLane(*lanes_, lane_));
  CHECK(ExpectRefusal(Begin("k")).why == ef::LaneRefusal::kForged);
}

// A caller loses its connection and sends two concurrent retries while the
// first attempt still runs. The request must run once, and each attempt must
// get the complete answer.
TEST(Lane, RetriesJoinTheCallAndGetItsAnswer) {
  CHECK_TRUE(StartsRun("k"));
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

// The connection to the endpoint breaks after the call was sent, so it is
// unknown whether the call ran. Reporting "not run" would invite the caller to
// run it a second time. If the answer arrives late, the next retry gets it.
TEST(Lane, LostCallStaysUnknownUntilItsAnswerArrives) {
  CHECK_TRUE(StartsRun("k"));
  CHECK_TRUE(ef::MaySend(*lanes_, lane_, "k", now_));
  CHECK_EQUAL(1U, ef::MarkOutcomeUnknown(*lanes_, lane_, "k", now_).size());
  CHECK_TRUE(std::holds_alternative<ef::OutcomeUnknown>(Begin("k")));
  CHECK_FALSE(ef::MaySend(*lanes_, lane_, "k", now_));
  ef::FinishCall(*lanes_, lane_, "k", {200, "", "late"}, now_);
  CHECK_TRUE(std::holds_alternative<ef::RepeatAnswer>(Begin("k")));
}

// A caller is told "not run" because the queue was full, while a second copy of
// its request is still in transit on a slow connection. That copy must not run.
TEST(Lane, KeyMarkedNotRunNeverRuns) {
  CHECK_TRUE(StartsRun("k"));
  CHECK_EQUAL(1U, ef::MarkNotRun(*lanes_, lane_, "k", now_).size());
  const auto refusal = ExpectRefusal(Begin("k"));
  CHECK(refusal.why == ef::LaneRefusal::kKeyBurned);
  CHECK_TRUE(refusal.not_run);
  CHECK_FALSE(ef::MaySend(*lanes_, lane_, "k", now_));
  CHECK_FALSE(ef::MarkUnsent(*lanes_, lane_, "k"));
}

// The endpoint refuses the connection, so the call certainly did not run and
// may be sent to another endpoint.
TEST(Lane, RefusedAttemptMayBeSentAgain) {
  CHECK_TRUE(StartsRun("k"));
  CHECK_TRUE(ef::MaySend(*lanes_, lane_, "k", now_));
  CHECK_TRUE(ef::MarkUnsent(*lanes_, lane_, "k"));
  CHECK_TRUE(ef::MaySend(*lanes_, lane_, "k", now_));
}

// The process is paused between recording a call and sending it, for longer
// than the lifetime of the lane. The caller may have given up and made the
// request in another way.
TEST(Lane, NothingIsSentOnALaneThatExpiredDuringAPause) {
  CHECK_TRUE(StartsRun("k"));
  now_ += ef::kLaneLifetime;
  CHECK_FALSE(ef::MaySend(*lanes_, lane_, "k", now_));
}

// A caller retries a request after a day, when its key has been forgotten. The
// request may have run, so it is neither run again nor reported as "not run".
TEST(Lane, RetryWithAForgottenKeyIsNotReportedAsNotRun) {
  CHECK_TRUE(StartsRun("k"));
  CHECK_TRUE(ef::MaySend(*lanes_, lane_, "k", now_));
  ef::FinishCall(*lanes_, lane_, "k", {200, "", "ok"}, now_);
  now_ += 24h;
  ef::SweepLanes(*lanes_, now_);
  CHECK_EQUAL(0U, ef::ViewOf(*lanes_).keys);
  CHECK_EQUAL(0U, ef::ViewOf(*lanes_).bytes);
  const auto refusal = ExpectRefusal(Begin("k"));
  CHECK(refusal.why == ef::LaneRefusal::kExpired);
  CHECK_FALSE(refusal.not_run);
}

// The clock of a VM is set back after keys were forgotten. If the expired lane
// became valid again, requests with the forgotten keys could run twice.
TEST(Lane, ExpiredLaneStaysExpiredWhenTheClockIsSetBack) {
  CHECK_TRUE(StartsRun("k"));
  CHECK_TRUE(ef::MaySend(*lanes_, lane_, "k", now_));
  ef::FinishCall(*lanes_, lane_, "k", {200, "", "ok"}, now_);
  ef::SweepLanes(*lanes_, now_ + ef::kLaneLifetime + ef::kAnswerRetention);
  const auto refusal = ExpectRefusal(Begin("k"));
  CHECK(refusal.why == ef::LaneRefusal::kExpired);
}

// A call begins in the last second of its lane and ends after the lane has
// expired. A retry must still get the answer.
TEST(Lane, AnswerOfACallThatOutlivesItsLaneIsKept) {
  now_ += ef::kLaneLifetime - 1s;
  CHECK_TRUE(StartsRun("k"));
  CHECK_TRUE(ef::MaySend(*lanes_, lane_, "k", now_));
  now_ += 5min;
  ef::SweepLanes(*lanes_, now_);
  ef::FinishCall(*lanes_, lane_, "k", {200, "", "ok"}, now_);
  now_ += ef::kAnswerRetention - 1s;
  ef::SweepLanes(*lanes_, now_);
  CHECK_TRUE(std::holds_alternative<ef::RepeatAnswer>(Begin("k")));
}

// A faulty client reuses a key with another body. The first body may have run,
// so the refusal must not report "not run".
TEST(Lane, OtherBodyUnderAUsedKeyIsNotReportedAsNotRun) {
  CHECK_TRUE(StartsRun("k"));
  const auto refusal = ExpectRefusal(Begin("k", 2));
  CHECK(refusal.why == ef::LaneRefusal::kOtherBody);
  CHECK_FALSE(refusal.not_run);
}

// A caller floods a node with keys until the table is full. Keys that are
// refused then are "not run" permanently, even if a second copy of a refused
// request arrives after space was freed. A new lane works again.
TEST(Lane, FullTableRefusesPermanentlyAndStaysWithinItsLimit) {
  std::size_t started = 0;
  while (StartsRun("flood" + std::to_string(started))) ++started;
  CHECK(ef::ViewOf(*lanes_).bytes <= ef::kMaxLaneTableBytes);
  CHECK_TRUE(ExpectRefusal(Begin("late")).not_run);
  for (std::size_t i = 0; i < started; ++i) {
    ef::MarkNotRun(*lanes_, lane_, "flood" + std::to_string(i), now_);
  }
  const auto refusal = ExpectRefusal(Begin("late"));
  CHECK(refusal.why == ef::LaneRefusal::kTableFull);
  CHECK_TRUE(refusal.not_run);
  lane_ = ef::IssueLane(*lanes_, now_);
  CHECK_TRUE(StartsRun("late"));
}
