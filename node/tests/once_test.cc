#include <CppUTest/TestHarness.h>

#include <string>

#include "harness.h"

using namespace std::chrono_literals;
namespace en = egretladder::node;
namespace ep = egretladder::policy;
using en::AnswerCode;
using en::RunStatus;

namespace {

void CheckError(const en::test::TestNode& node, AnswerCode code,
                RunStatus ran) {
  CHECK_FALSE(node.errors.empty());
  const en::AnswerError& error = node.errors.back();
  STRCMP_EQUAL(NameOf(code), NameOf(error.code));
  STRCMP_EQUAL(NameOf(ran), NameOf(error.ran));
}

}  // namespace

TEST_GROUP(AtMostOnce) {
  en::test::Harness harness_;
  en::test::TestNode& node1_ = harness_.node1();
  en::test::TestNode& node2_ = harness_.node2();

  /// Makes a copy of one payment, with the same key and body in each copy.
  en::Call Payment(en::CallId id, const std::string& lane) const {
    en::Call call = harness_.MakeCall("pay", id);
    call.lane = lane;
    call.key = "order-7";
    call.body_hash = 77;
    return call;
  }
};

// A client sends a payment without a lane and key. If it ran, the client's
// retry would pay a second time.
TEST(AtMostOnce, RefusesAPaymentWithoutLaneAndKey) {
  harness_.Send(node1_, harness_.MakeCall("pay", 1));
  CheckError(node1_, AnswerCode::kLaneMissing, RunStatus::kDidNotRun);
  harness_.Send(node1_, Payment(2, "no lane"));
  CheckError(node1_, AnswerCode::kLaneInvalid, RunStatus::kUnknown);
  CHECK_EQUAL(0U, node1_.sent.size());
}

// A client sends a payment again while it runs, and once more after it has
// ended. It must run once, and all copies get its answer.
TEST(AtMostOnce, RunsOnceAndAnswersEveryCopy) {
  const std::string lane = harness_.IssueLane(node1_);
  harness_.Send(node1_, Payment(1, lane));
  CHECK_EQUAL(1U, node1_.sent.size());
  CHECK_TRUE(node1_.sent[0].keep_answer);
  CHECK_TRUE(harness_.TrySend(node1_, node1_.sent[0]));
  harness_.Send(node1_, Payment(2, lane));
  harness_.Answer(node1_, node1_.sent[0], "paid");
  harness_.Send(node1_, Payment(3, lane));
  CHECK_EQUAL(1U, node1_.sent.size());
  CHECK_EQUAL(2U, node1_.stored.size());
  CHECK_EQUAL(2U, node1_.stored[0].call);
  CHECK_EQUAL(3U, node1_.stored[1].call);
  STRCMP_EQUAL("paid", node1_.stored[1].answer->body.c_str());
  CHECK_TRUE(IsIdle(*node1_.state));
}

// A faulty client uses one key for two payments. If the second got the answer
// to the first, its buyer would believe that it was paid.
TEST(AtMostOnce, RefusesADifferentBodyWithTheSameKey) {
  const std::string lane = harness_.IssueLane(node1_);
  harness_.Send(node1_, Payment(1, lane));
  en::Call other = Payment(2, lane);
  other.body_hash = 78;
  harness_.Send(node1_, other);
  CheckError(node1_, AnswerCode::kKeyReused, RunStatus::kUnknown);
}

// A retry reaches a node that doesn't own its lane. It must be forwarded to the
// owner, which knows the outcome of the payment.
TEST(AtMostOnce, ForwardsACallToTheOwnerOfItsLaneOnce) {
  const std::string lane = harness_.IssueLane(node1_);
  harness_.Send(node2_, Payment(1, lane));
  CHECK_EQUAL(1U, node2_.forwards.size());
  STRCMP_EQUAL("10.0.1.1:1", node2_.forwards[0].caller_address.c_str());
  en::Call forwarded = Payment(11, lane);
  forwarded.forwarded = true;
  harness_.Send(node1_, forwarded);
  CHECK_EQUAL(1U, node1_.sent.size());
  harness_.TrySend(node1_, node1_.sent[0]);
  harness_.Answer(node1_, node1_.sent[0], "paid");
  harness_.EndForward(node2_, 1, true, true);
  CHECK_TRUE(IsIdle(*node2_.state));
  CHECK_EQUAL(0U, node2_.errors.size());
  // A forwarded call is never forwarded again, whatever the node's view is.
  harness_.Send(node2_, forwarded);
  CHECK_EQUAL(1U, node2_.forwards.size());
  CheckError(node2_, AnswerCode::kLaneInvalid, RunStatus::kUnknown);
}

// The owner of the lane can't be reached from this node. Though nothing was
// sent this time, an earlier copy may have reached the owner and run. If the
// answer said "not run", the caller could pay again.
TEST(AtMostOnce, SaysUnknownWhenTheOwnerIsUnreachable) {
  harness_.Send(node2_, Payment(1, harness_.IssueLane(node1_)));
  harness_.EndForward(node2_, 1, false, false);
  CheckError(node2_, AnswerCode::kOwnerUnreachable, RunStatus::kUnknown);
}

// The owner of the lane restarted and lost its records. A retry must not run
// there, since the previous process may have run the payment.
TEST(AtMostOnce, RestartedOwnerRefusesLanesOfItsPreviousProcess) {
  const std::string lane = harness_.IssueLane(node1_);
  harness_.Send(node1_, Payment(1, lane));
  harness_.TrySend(node1_, node1_.sent[0]);
  harness_.Restart(node1_);
  const std::size_t sent = node1_.sent.size();
  harness_.Send(node1_, Payment(2, lane));
  CHECK_EQUAL(sent, node1_.sent.size());
  CheckError(node1_, AnswerCode::kLaneInvalid, RunStatus::kUnknown);
}

// The connection breaks after a payment was sent. It must not be retried, and
// every copy is told that the outcome is unknown.
TEST(AtMostOnce, NeverRetriesACallThatMayHaveRun) {
  const std::string lane = harness_.IssueLane(node1_);
  harness_.Send(node1_, Payment(1, lane));
  harness_.TrySend(node1_, node1_.sent[0]);
  harness_.Send(node1_, Payment(2, lane));
  harness_.Fail(node1_, node1_.sent[0], ep::EndKind::kFailed);
  CHECK_EQUAL(2U, node1_.errors.size());
  CheckError(node1_, AnswerCode::kEndpointFailed, RunStatus::kUnknown);
  harness_.RunFor(1s);
  harness_.Send(node1_, Payment(3, lane));
  CheckError(node1_, AnswerCode::kOutcomeUnknown, RunStatus::kUnknown);
  CHECK_EQUAL(1U, node1_.sent.size());
}

// A payment's answer is too large to be kept and goes only to its first caller.
// The copies that joined the payment must be refused at once; otherwise they
// would hang until they time out.
TEST(AtMostOnce, RefusesJoinedCallsWhenTheAnswerIsTooLargeToKeep) {
  const std::string lane = harness_.IssueLane(node1_);
  harness_.Send(node1_, Payment(1, lane));
  harness_.TrySend(node1_, node1_.sent[0]);
  harness_.Send(node1_, Payment(2, lane));
  harness_.Send(node1_, Payment(3, lane));
  harness_.AnswerWithoutStoring(node1_, node1_.sent[0]);
  CHECK_EQUAL(2U, node1_.errors.size());
  CHECK_EQUAL(5U, node1_.errors[0].call + node1_.errors[1].call);
  CheckError(node1_, AnswerCode::kOutcomeUnknown, RunStatus::kUnknown);
  CHECK_TRUE(IsIdle(*node1_.state));
  harness_.Send(node1_, Payment(4, lane));
  CheckError(node1_, AnswerCode::kOutcomeUnknown, RunStatus::kUnknown);
  CHECK_EQUAL(1U, node1_.sent.size());
}

// Each endpoint refuses the connection, so the payment did not run and is
// retried at the next one. Once the caller was told "not run", a late copy of
// the call must not run either.
TEST(AtMostOnce, RetriesACallThatDidNotRunThenBurnsItsKey) {
  const std::string lane = harness_.IssueLane(node1_);
  harness_.Send(node1_, Payment(1, lane));
  for (std::size_t i = 0; i < node1_.sent.size(); ++i) {
    const en::SendCall send = node1_.sent[i];
    CHECK_TRUE(harness_.TrySend(node1_, send));
    harness_.Fail(node1_, send, ep::EndKind::kNotRun);
    harness_.RunFor(300ms);
  }
  CHECK_EQUAL(std::size_t{ep::kMaxAttempts}, node1_.sent.size());
  CheckError(node1_, AnswerCode::kEndpointFailed, RunStatus::kDidNotRun);
  harness_.Send(node1_, Payment(2, lane));
  CHECK_EQUAL(std::size_t{ep::kMaxAttempts}, node1_.sent.size());
  CheckError(node1_, AnswerCode::kLaneInvalid, RunStatus::kDidNotRun);
}

// A caller's connection breaks while its payment runs. The payment must
// continue, and the retry gets its answer instead of a second payment.
TEST(AtMostOnce, KeepsAPaymentRunningAfterItsCallerDisconnects) {
  const std::string lane = harness_.IssueLane(node1_);
  harness_.Send(node1_, Payment(1, lane));
  harness_.TrySend(node1_, node1_.sent[0]);
  harness_.DisconnectCaller(node1_, 1);
  CHECK_EQUAL(0U, node1_.cancels.size());
  harness_.Send(node1_, Payment(2, lane));
  harness_.Answer(node1_, node1_.sent[0], "paid");
  CHECK_EQUAL(1U, node1_.stored.size());
  CHECK_EQUAL(2U, node1_.stored[0].call);
}

// A payment times out while it runs, and its caller is told that the outcome is
// unknown. The answer that arrives later must be kept for the retry.
TEST(AtMostOnce, KeepsAnAnswerThatArrivesAfterTheTimeout) {
  const std::string lane = harness_.IssueLane(node1_);
  en::Call call = Payment(1, lane);
  call.timeout = 1s;
  harness_.Send(node1_, call);
  harness_.TrySend(node1_, node1_.sent[0]);
  harness_.RunFor(1500ms);
  CheckError(node1_, AnswerCode::kTimeout, RunStatus::kUnknown);
  harness_.Answer(node1_, node1_.sent[0], "paid");
  harness_.Send(node1_, Payment(2, lane));
  CHECK_EQUAL(1U, node1_.stored.size());
  CHECK_EQUAL(1U, node1_.errors.size());
}

// An endpoint hangs and never answers a payment. Its slot must be released in
// the end, though the outcome stays unknown.
TEST(AtMostOnce, EndsADetachedCallThatNeverAnswers) {
  en::Call call = Payment(1, harness_.IssueLane(node1_));
  call.timeout = 1s;
  harness_.Send(node1_, call);
  harness_.TrySend(node1_, node1_.sent[0]);
  harness_.RunFor(62s);
  CHECK_TRUE(IsIdle(*node1_.state));
  CHECK_EQUAL(1U, node1_.cancels.size());
  CHECK_EQUAL(1U, node1_.errors.size());
}

// The process is paused between recording a payment and sending it until after
// the lane has expired. By then its caller may have turned to another node, so
// the payment must not be sent.
TEST(AtMostOnce, DoesNotSendACallWhoseLaneExpired) {
  en::Call call = Payment(1, harness_.IssueLane(node1_));
  harness_.Send(node1_, call);
  harness_.PauseFor(11min);
  CHECK_FALSE(harness_.TrySend(node1_, node1_.sent[0]));
  harness_.RunFor(1s);
  CheckError(node1_, AnswerCode::kTimeout, RunStatus::kDidNotRun);
  harness_.Send(node1_, Payment(2, call.lane));
  CHECK_EQUAL(1U, node1_.sent.size());
}

// A node leaves while a payment runs on it. A copy that arrives during the
// leave must still get the answer, while a new payment is refused as not run.
TEST(AtMostOnce, AnswersKnownKeysWhileLeaving) {
  const std::string lane = harness_.IssueLane(node1_);
  harness_.Send(node1_, Payment(1, lane));
  harness_.TrySend(node1_, node1_.sent[0]);
  harness_.BeginLeave(node1_);
  harness_.Send(node1_, Payment(2, lane));
  en::Call other = Payment(3, lane);
  other.key = "order-8";
  harness_.Send(node1_, other);
  CheckError(node1_, AnswerCode::kLeaving, RunStatus::kDidNotRun);
  harness_.Answer(node1_, node1_.sent[0], "paid");
  CHECK_EQUAL(1U, node1_.stored.size());
}
