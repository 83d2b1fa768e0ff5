#include <CppUTest/TestHarness.h>

#include <string>

#include "harness.h"

using namespace std::chrono_literals;
namespace en = egretladder::node;
namespace ep = egretladder::policy;
using en::AnswerCode;
using en::Ran;

namespace {

void CheckError(const en::test::TestNode& node, AnswerCode code, Ran ran) {
  CHECK_FALSE(node.errors.empty());
  const en::AnswerError& error = node.errors.back();
  STRCMP_EQUAL(NameOf(code), NameOf(error.code));
  STRCMP_EQUAL(NameOf(ran), NameOf(error.ran));
}

}  // namespace

TEST_GROUP(Once) {
  en::test::Harness harness_;
  en::test::TestNode& n1_ = harness_.n1();
  en::test::TestNode& n2_ = harness_.n2();

  /// A payment with the lane given; all of them are the same payment.
  en::Call Payment(en::CallId id, const std::string& lane) const {
    en::Call call = harness_.MakeCall("pay", id);
    call.lane = lane;
    call.key = "order-7";
    call.body_hash = 77;
    return call;
  }
};

// A client sends a payment as it sends questions. Run without a key, its next
// try would pay a second time.
TEST(Once, RefusesAPaymentWithoutLaneAndKey) {
  harness_.Send(n1_, harness_.MakeCall("pay", 1));
  CheckError(n1_, AnswerCode::kLaneMissing, Ran::kNo);
  harness_.Send(n1_, Payment(2, "no lane"));
  CheckError(n1_, AnswerCode::kLaneInvalid, Ran::kUnknown);
  CHECK_EQUAL(0U, n1_.sent.size());
}

// A parent taps twice, and the phone sends the payment again while it runs.
// It runs once, and both get its answer; so does a third who comes later.
TEST(Once, RunsOnceAndAnswersEveryCopy) {
  const std::string lane = harness_.LaneOf(n1_);
  harness_.Send(n1_, Payment(1, lane));
  CHECK_EQUAL(1U, n1_.sent.size());
  CHECK_TRUE(n1_.sent[0].keep_answer);
  CHECK_TRUE(harness_.AskSend(n1_, n1_.sent[0]));
  harness_.Send(n1_, Payment(2, lane));
  harness_.Answer(n1_, n1_.sent[0], "paid");
  harness_.Send(n1_, Payment(3, lane));
  CHECK_EQUAL(1U, n1_.sent.size());
  CHECK_EQUAL(2U, n1_.stored.size());
  CHECK_EQUAL(2U, n1_.stored[0].call);
  CHECK_EQUAL(3U, n1_.stored[1].call);
  STRCMP_EQUAL("paid", n1_.stored[1].answer->body.c_str());
  CHECK_TRUE(IsIdle(*n1_.state));
}

// A client's bug uses one key for two payments. Given the first one's answer,
// the second buyer would think that he has paid.
TEST(Once, RefusesAnotherBodyUnderTheSameKey) {
  const std::string lane = harness_.LaneOf(n1_);
  harness_.Send(n1_, Payment(1, lane));
  en::Call other = Payment(2, lane);
  other.body_hash = 78;
  harness_.Send(n1_, other);
  CheckError(n1_, AnswerCode::kKeyReused, Ran::kUnknown);
}

// The retry reaches another node than the first copy. It is passed to the node
// that owns the lane, which knows what became of the payment.
TEST(Once, PassesACallToTheOwnerOfItsLaneOnce) {
  const std::string lane = harness_.LaneOf(n1_);
  harness_.Send(n2_, Payment(1, lane));
  CHECK_EQUAL(1U, n2_.forwards.size());
  STRCMP_EQUAL("10.0.1.1:1", n2_.forwards[0].caller_address.c_str());
  en::Call passed = Payment(11, lane);
  passed.forwarded = true;
  harness_.Send(n1_, passed);
  CHECK_EQUAL(1U, n1_.sent.size());
  harness_.AskSend(n1_, n1_.sent[0]);
  harness_.Answer(n1_, n1_.sent[0], "paid");
  harness_.Forwarded(n2_, 1, true, true);
  CHECK_TRUE(IsIdle(*n2_.state));
  CHECK_EQUAL(0U, n2_.errors.size());
  // Never a second time, whatever a node believes of the others.
  harness_.Send(n2_, passed);
  CHECK_EQUAL(1U, n2_.forwards.size());
  CheckError(n2_, AnswerCode::kLaneInvalid, Ran::kUnknown);
}

// The owner can't be reached from here. Though nothing was sent this time, the
// first copy may have reached it and run: "not run" would let the caller pay
// again.
TEST(Once, SaysUnknownWhenTheOwnerIsOutOfReach) {
  harness_.Send(n2_, Payment(1, harness_.LaneOf(n1_)));
  harness_.Forwarded(n2_, 1, false, false);
  CheckError(n2_, AnswerCode::kOwnerUnreachable, Ran::kUnknown);
}

// The owner restarted and lost its memory. A retry that comes back to it must
// not run: the process before may have run it.
TEST(Once, ARestartedOwnerRunsNothingOfItsOldLanes) {
  const std::string lane = harness_.LaneOf(n1_);
  harness_.Send(n1_, Payment(1, lane));
  harness_.AskSend(n1_, n1_.sent[0]);
  harness_.Restart(n1_);
  const std::size_t sent = n1_.sent.size();
  harness_.Send(n1_, Payment(2, lane));
  CHECK_EQUAL(sent, n1_.sent.size());
  CheckError(n1_, AnswerCode::kLaneInvalid, Ran::kUnknown);
}

// The connection breaks after the payment was sent. It is not tried again, and
// every copy hears "unknown".
TEST(Once, NeverRetriesWhatMayHaveRun) {
  const std::string lane = harness_.LaneOf(n1_);
  harness_.Send(n1_, Payment(1, lane));
  harness_.AskSend(n1_, n1_.sent[0]);
  harness_.Send(n1_, Payment(2, lane));
  harness_.Fail(n1_, n1_.sent[0], ep::EndKind::kFailed);
  CHECK_EQUAL(2U, n1_.errors.size());
  CheckError(n1_, AnswerCode::kEndpointFailed, Ran::kUnknown);
  harness_.Step(1s);
  harness_.Send(n1_, Payment(3, lane));
  CheckError(n1_, AnswerCode::kOutcomeUnknown, Ran::kUnknown);
  CHECK_EQUAL(1U, n1_.sent.size());
}

// A payment's answer is larger than what a node keeps. It went to the first
// caller only. The copies that joined it must hear so at once: without an
// answer they hang until their time is up.
TEST(Once, TellsTheCopiesOfAnAnswerTooLargeToKeep) {
  const std::string lane = harness_.LaneOf(n1_);
  harness_.Send(n1_, Payment(1, lane));
  harness_.AskSend(n1_, n1_.sent[0]);
  harness_.Send(n1_, Payment(2, lane));
  harness_.Send(n1_, Payment(3, lane));
  harness_.AnswerUnkept(n1_, n1_.sent[0]);
  CHECK_EQUAL(2U, n1_.errors.size());
  CHECK_EQUAL(5U, n1_.errors[0].call + n1_.errors[1].call);
  CheckError(n1_, AnswerCode::kOutcomeUnknown, Ran::kUnknown);
  CHECK_TRUE(IsIdle(*n1_.state));
  harness_.Send(n1_, Payment(4, lane));
  CheckError(n1_, AnswerCode::kOutcomeUnknown, Ran::kUnknown);
  CHECK_EQUAL(1U, n1_.sent.size());
}

// The endpoint refused the connection: nothing ran, so the payment goes to the
// next one. When that fails as well, "not run" holds for good: a late copy of
// the call doesn't run either.
TEST(Once, RetriesWhatDidNotRunAndBurnsTheKeyInTheEnd) {
  const std::string lane = harness_.LaneOf(n1_);
  harness_.Send(n1_, Payment(1, lane));
  for (std::size_t i = 0; i < n1_.sent.size(); ++i) {
    const en::SendCall send = n1_.sent[i];
    CHECK_TRUE(harness_.AskSend(n1_, send));
    harness_.Fail(n1_, send, ep::EndKind::kNotRun);
    harness_.Step(300ms);
  }
  CHECK_EQUAL(std::size_t{ep::kMaxAttempts}, n1_.sent.size());
  CheckError(n1_, AnswerCode::kEndpointFailed, Ran::kNo);
  harness_.Send(n1_, Payment(2, lane));
  CHECK_EQUAL(std::size_t{ep::kMaxAttempts}, n1_.sent.size());
  CheckError(n1_, AnswerCode::kLaneInvalid, Ran::kNo);
}

// A phone's connection breaks while the payment runs. The payment goes on, and
// the retry gets its answer instead of a second payment.
TEST(Once, GoesOnWithoutItsCallerAndAnswersTheRetry) {
  const std::string lane = harness_.LaneOf(n1_);
  harness_.Send(n1_, Payment(1, lane));
  harness_.AskSend(n1_, n1_.sent[0]);
  harness_.Gone(n1_, 1);
  CHECK_EQUAL(0U, n1_.cancels.size());
  harness_.Send(n1_, Payment(2, lane));
  harness_.Answer(n1_, n1_.sent[0], "paid");
  CHECK_EQUAL(1U, n1_.stored.size());
  CHECK_EQUAL(2U, n1_.stored[0].call);
}

// The caller's time is up while the payment runs: it hears "unknown" at once.
// The answer that comes later is kept for its retry.
TEST(Once, KeepsAnAnswerThatCameAfterTheTimeout) {
  const std::string lane = harness_.LaneOf(n1_);
  en::Call call = Payment(1, lane);
  call.timeout = 1s;
  harness_.Send(n1_, call);
  harness_.AskSend(n1_, n1_.sent[0]);
  harness_.Step(1500ms);
  CheckError(n1_, AnswerCode::kTimeout, Ran::kUnknown);
  harness_.Answer(n1_, n1_.sent[0], "paid");
  harness_.Send(n1_, Payment(2, lane));
  CHECK_EQUAL(1U, n1_.stored.size());
  CHECK_EQUAL(1U, n1_.errors.size());
}

// The endpoint hangs and never answers. The payment's slot comes back in the
// end, though its outcome stays unknown.
TEST(Once, EndsADetachedCallThatNeverAnswers) {
  en::Call call = Payment(1, harness_.LaneOf(n1_));
  call.timeout = 1s;
  harness_.Send(n1_, call);
  harness_.AskSend(n1_, n1_.sent[0]);
  harness_.Step(62s);
  CHECK_TRUE(IsIdle(*n1_.state));
  CHECK_EQUAL(1U, n1_.cancels.size());
  CHECK_EQUAL(1U, n1_.errors.size());
}

// The process is paused between recording a payment and sending it, for longer
// than its lane lasts. Its caller has long asked elsewhere.
TEST(Once, SendsNothingOnAnExpiredLane) {
  en::Call call = Payment(1, harness_.LaneOf(n1_));
  harness_.Send(n1_, call);
  harness_.Pause(11min);
  CHECK_FALSE(harness_.AskSend(n1_, n1_.sent[0]));
  harness_.Step(1s);
  CheckError(n1_, AnswerCode::kTimeout, Ran::kNo);
  harness_.Send(n1_, Payment(2, call.lane));
  CHECK_EQUAL(1U, n1_.sent.size());
}

// A node leaves while a payment runs on it. The copy that comes during the
// leave still gets the answer; a new payment is turned away for good.
TEST(Once, AnswersKnownKeysWhileLeaving) {
  const std::string lane = harness_.LaneOf(n1_);
  harness_.Send(n1_, Payment(1, lane));
  harness_.AskSend(n1_, n1_.sent[0]);
  harness_.LeaveNode(n1_);
  harness_.Send(n1_, Payment(2, lane));
  en::Call other = Payment(3, lane);
  other.key = "order-8";
  harness_.Send(n1_, other);
  CheckError(n1_, AnswerCode::kLeaving, Ran::kNo);
  harness_.Answer(n1_, n1_.sent[0], "paid");
  CHECK_EQUAL(1U, n1_.stored.size());
}
