#include "egretladder/routing/next_step.h"

#include <CppUTest/TestHarness.h>

#include <array>

namespace er = egretladder::routing;
using er::AttemptOutcome;
using er::NextStep;

namespace {

constexpr std::array<AttemptOutcome, 8> kEnds = {
    AttemptOutcome::kNotSent,       AttemptOutcome::kFull,
    AttemptOutcome::kWrongInstance, AttemptOutcome::kBroken,
    AttemptOutcome::kBadAnswer,     AttemptOutcome::kSilent,
    AttemptOutcome::kFailed,        AttemptOutcome::kSucceeded,
};

er::NextStepInput Ask(AttemptOutcome end) {
  er::NextStepInput after;
  after.end = end;
  after.attempts = 2;
  if (end == AttemptOutcome::kNotSent) {
    after.not_sent = 1;
  } else {
    (er::IsNotRun(end) ? after.not_run : after.may_have_run) = 1;
  }
  return after;
}

}  // namespace

TEST_GROUP(NextStepInput){};

// A connection breaks after an order was sent. It may have been placed: sent
// again, a small shop would have two costly parts it can't pay for; called "not
// run", its caller would send it again itself.
TEST(NextStepInput,
     WorkThatRunsOnceIsNeverSentAgainUnlessItCertainlyDidNotRun) {
  for (const AttemptOutcome end : kEnds) {
    for (const bool has_time_left : {false, true}) {
      er::NextStepInput after = Ask(end);
      after.has_time_left = has_time_left;
      const NextStep step = er::DecideNextStep(after);
      if (er::IsNotRun(end)) {
        CHECK(step ==
              (has_time_left ? NextStep::kSendAgain : NextStep::kRefuse));
      } else {
        CHECK(step != NextStep::kSendAgain && step != NextStep::kResume);
        CHECK(step != NextStep::kRefuse);
      }
    }
  }
}

// One endpoint broke off while it ran the request, the next says it is full.
// "Not run" would be untrue of the first.
TEST(NextStepInput, IsNeverRefusedAsNotRunOnceItMayHaveRun) {
  for (const AttemptOutcome end : kEnds) {
    er::NextStepInput after = Ask(end);
    after.is_repeatable = true;
    after.may_have_run = 1;
    after.has_time_left = false;
    CHECK(er::DecideNextStep(after) != NextStep::kRefuse);
  }
}

// A zone's endpoints crash together. A request that meets three of them within
// a millisecond must not be refused while the others are free; one that is
// turned away by endpoint after endpoint must, or it would knock at all of
// them.
TEST(NextStepInput, RefusedConnectionsAreGonePastAndFullEndpointsAreNot) {
  er::NextStepInput after = Ask(AttemptOutcome::kNotSent);
  after.not_sent = 7;
  CHECK(er::DecideNextStep(after) == NextStep::kSendAgain);
  after.not_sent = 8;
  CHECK(er::DecideNextStep(after) == NextStep::kRefuse);
  after = Ask(AttemptOutcome::kFull);
  after.not_run = 3;
  CHECK(er::DecideNextStep(after) == NextStep::kRefuse);
}

TEST(NextStepInput, RepeatableWorkUsesItsAttempts) {
  er::NextStepInput after = Ask(AttemptOutcome::kBroken);
  after.is_repeatable = true;
  CHECK(er::DecideNextStep(after) == NextStep::kSendAgain);
  after.may_have_run = 2;
  CHECK(er::DecideNextStep(after) == NextStep::kUnknown);
  after.end = AttemptOutcome::kFailed;
  CHECK(er::DecideNextStep(after) == NextStep::kPassOn);
}

// An engine dies in the middle of a stream of which the caller has a part.
TEST(NextStepInput, AStreamIsResumedOrBrokenOffButNeverBegunAnew) {
  er::NextStepInput after = Ask(AttemptOutcome::kBroken);
  after.is_answer_started = true;
  after.is_repeatable = true;
  after.resumable = true;
  CHECK(er::DecideNextStep(after) == NextStep::kResume);
  after.end = AttemptOutcome::kFull;
  CHECK(er::DecideNextStep(after) == NextStep::kResume);
  after.resumable = false;
  for (const AttemptOutcome end : kEnds) {
    if (end == AttemptOutcome::kSucceeded) continue;
    after.end = end;
    CHECK(er::DecideNextStep(after) == NextStep::kBreakOff);
  }
}

// Every endpoint of a service is full. Knocking at all of them would add to
// what makes them full.
TEST(NextStepInput, GivesUpAfterAFewFullEndpoints) {
  er::NextStepInput after = Ask(AttemptOutcome::kFull);
  after.not_run = er::kNotRunMost;
  CHECK(er::DecideNextStep(after) == NextStep::kRefuse);
}
