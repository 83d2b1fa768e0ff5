#include "egretladder/routing/next_step.h"

#include <CppUTest/TestHarness.h>

#include <array>

namespace er = egretladder::routing;
using er::AttemptEnd;
using er::NextStep;

namespace {

constexpr std::array<AttemptEnd, 8> kEnds = {
    AttemptEnd::kNotSent, AttemptEnd::kFull,      AttemptEnd::kWrongInstance,
    AttemptEnd::kBroken,  AttemptEnd::kBadAnswer, AttemptEnd::kSilent,
    AttemptEnd::kFailed,  AttemptEnd::kSucceeded,
};

er::AfterAttempt Ask(AttemptEnd end) {
  er::AfterAttempt after;
  after.end = end;
  after.attempts = 2;
  if (end == AttemptEnd::kNotSent) {
    after.not_sent = 1;
  } else {
    (er::IsNotRun(end) ? after.not_run : after.may_have_run) = 1;
  }
  return after;
}

}  // namespace

TEST_GROUP(AfterAttempt){};

// A connection breaks after an order was sent. It may have been placed: sent
// again, a small shop would have two costly parts it can't pay for; called "not
// run", its caller would send it again itself.
TEST(AfterAttempt, WorkThatRunsOnceIsNeverSentAgainUnlessItCertainlyDidNotRun) {
  for (const AttemptEnd end : kEnds) {
    for (const bool time_left : {false, true}) {
      er::AfterAttempt after = Ask(end);
      after.time_left = time_left;
      const NextStep step = er::DecideNext(after);
      if (er::IsNotRun(end)) {
        CHECK(step == (time_left ? NextStep::kSendAgain : NextStep::kRefuse));
      } else {
        CHECK(step != NextStep::kSendAgain && step != NextStep::kResume);
        CHECK(step != NextStep::kRefuse);
      }
    }
  }
}

// One endpoint broke off while it ran the request, the next says it is full.
// "Not run" would be untrue of the first.
TEST(AfterAttempt, IsNeverRefusedAsNotRunOnceItMayHaveRun) {
  for (const AttemptEnd end : kEnds) {
    er::AfterAttempt after = Ask(end);
    after.may_repeat = true;
    after.may_have_run = 1;
    after.time_left = false;
    CHECK(er::DecideNext(after) != NextStep::kRefuse);
  }
}

// A zone's endpoints crash together. A request that meets three of them within
// a millisecond must not be refused while the others are free; one that is
// turned away by endpoint after endpoint must, or it would knock at all of
// them.
TEST(AfterAttempt, RefusedConnectionsAreGonePastAndFullEndpointsAreNot) {
  er::AfterAttempt after = Ask(AttemptEnd::kNotSent);
  after.not_sent = 7;
  CHECK(er::DecideNext(after) == NextStep::kSendAgain);
  after.not_sent = 8;
  CHECK(er::DecideNext(after) == NextStep::kRefuse);
  after = Ask(AttemptEnd::kFull);
  after.not_run = 3;
  CHECK(er::DecideNext(after) == NextStep::kRefuse);
}

TEST(AfterAttempt, RepeatableWorkUsesItsAttempts) {
  er::AfterAttempt after = Ask(AttemptEnd::kBroken);
  after.may_repeat = true;
  CHECK(er::DecideNext(after) == NextStep::kSendAgain);
  after.may_have_run = 2;
  CHECK(er::DecideNext(after) == NextStep::kUnknown);
  after.end = AttemptEnd::kFailed;
  CHECK(er::DecideNext(after) == NextStep::kPassOn);
}

// An engine dies in the middle of a stream of which the caller has a part.
TEST(AfterAttempt, AStreamIsResumedOrBrokenOffButNeverBegunAnew) {
  er::AfterAttempt after = Ask(AttemptEnd::kBroken);
  after.answer_begun = true;
  after.may_repeat = true;
  after.resumable = true;
  CHECK(er::DecideNext(after) == NextStep::kResume);
  after.end = AttemptEnd::kFull;
  CHECK(er::DecideNext(after) == NextStep::kResume);
  after.resumable = false;
  for (const AttemptEnd end : kEnds) {
    if (end == AttemptEnd::kSucceeded) continue;
    after.end = end;
    CHECK(er::DecideNext(after) == NextStep::kBreakOff);
  }
}

// Every endpoint of a service is full. Knocking at all of them would add to
// what makes them full.
TEST(AfterAttempt, GivesUpAfterAFewFullEndpoints) {
  er::AfterAttempt after = Ask(AttemptEnd::kFull);
  after.not_run = er::kMaxNotRunAttempts;
  CHECK(er::DecideNext(after) == NextStep::kRefuse);
}
