#include "egretladder/routing/next_step.h"

#include <CppUTest/TestHarness.h>

#include <array>

namespace er = egretladder::routing;
using er::AttemptOutcome;
using er::NextStep;

namespace {

constexpr std::array<AttemptOutcome, 16> kOutcomes = {
    AttemptOutcome::kNotSent,    AttemptOutcome::kWithheld,
    AttemptOutcome::kFull,       AttemptOutcome::kWrongInstance,
    AttemptOutcome::kDeclined,   AttemptOutcome::kRefused,
    AttemptOutcome::kBroken,     AttemptOutcome::kBadAnswer,
    AttemptOutcome::kSilent,     AttemptOutcome::kFailed,
    AttemptOutcome::kUnfit,      AttemptOutcome::kUnjoined,
    AttemptOutcome::kUnproven,   AttemptOutcome::kSucceeded,
    AttemptOutcome::kIncomplete, AttemptOutcome::kOtherWeights,
};

er::NextStepInput MakeInput(AttemptOutcome outcome) {
  er::NextStepInput input;
  input.end = outcome;
  input.attempts = 2;
  if (outcome == AttemptOutcome::kNotSent ||
      outcome == AttemptOutcome::kWithheld) {
    input.not_sent = 1;
  } else {
    (er::IsNotRun(outcome) ? input.not_run : input.may_have_run) = 1;
  }
  return input;
}

}  // namespace

TEST_GROUP(NextStep){};

// Guards against running non-idempotent work twice after a connection broke,
// either because the node sends the request again or because it answers "not
// run", so that the caller does.
TEST(NextStep, NonIdempotentWorkIsSentAgainOnlyIfItCertainlyDidNotRun) {
  for (const AttemptOutcome outcome : kOutcomes) {
    for (const bool has_time_left : {false, true}) {
      er::NextStepInput input = MakeInput(outcome);
      input.has_time_left = has_time_left;
      const NextStep step = er::DecideNextStep(input);
      if (outcome == AttemptOutcome::kRefused) {
        CHECK(step == NextStep::kPassOn);
      } else if (er::IsNotRun(outcome)) {
        CHECK(step ==
              (has_time_left ? NextStep::kSendAgain : NextStep::kRefuse));
      } else {
        CHECK(step != NextStep::kSendAgain && step != NextStep::kResume);
        CHECK(step != NextStep::kRefuse);
      }
    }
  }
}

// Guards against answering "not run" when one endpoint broke the connection
// while it ran the request and the next one reports that it is full.
TEST(NextStep, WorkThatMayHaveRunIsNeverReportedAsNotRun) {
  for (const AttemptOutcome outcome : kOutcomes) {
    er::NextStepInput input = MakeInput(outcome);
    input.is_repeatable = true;
    input.may_have_run = 1;
    input.has_time_left = false;
    CHECK(er::DecideNextStep(input) != NextStep::kRefuse);
  }
}

// Guards against rejecting a request that meets three crashed endpoints of a
// failed zone within a millisecond while others are free, and against a request
// that tries every endpoint of a full service.
TEST(NextStep, RefusedConnectionsAllowMoreAttemptsThanFullEndpoints) {
  er::NextStepInput input = MakeInput(AttemptOutcome::kNotSent);
  input.not_sent = 7;
  CHECK(er::DecideNextStep(input) == NextStep::kSendAgain);
  input.not_sent = 8;
  CHECK(er::DecideNextStep(input) == NextStep::kRefuse);
  input = MakeInput(AttemptOutcome::kFull);
  input.not_run = 3;
  CHECK(er::DecideNextStep(input) == NextStep::kRefuse);
}

TEST(NextStep, RepeatableWorkUsesItsAttempts) {
  er::NextStepInput input = MakeInput(AttemptOutcome::kBroken);
  input.is_repeatable = true;
  CHECK(er::DecideNextStep(input) == NextStep::kSendAgain);
  input.may_have_run = 2;
  CHECK(er::DecideNextStep(input) == NextStep::kUnknown);
  input.end = AttemptOutcome::kFailed;
  CHECK(er::DecideNextStep(input) == NextStep::kPassOn);
}

// Guards against sending a caller the start of a stream twice after an engine
// crashed in the middle of it.
TEST(NextStep, AStartedStreamIsResumedOrClosedButNeverRestarted) {
  er::NextStepInput input = MakeInput(AttemptOutcome::kBroken);
  input.is_answer_started = true;
  input.is_repeatable = true;
  input.resumable = true;
  CHECK(er::DecideNextStep(input) == NextStep::kResume);
  input.end = AttemptOutcome::kFull;
  CHECK(er::DecideNextStep(input) == NextStep::kResume);
  input.resumable = false;
  for (const AttemptOutcome outcome : kOutcomes) {
    if (outcome == AttemptOutcome::kSucceeded) continue;
    input.end = outcome;
    CHECK(er::DecideNextStep(input) == NextStep::kBreakOff);
  }
}

// Guards against the head of another answer in the middle of a stream.
TEST(NextStep, NoAnswerFollowsOneThatHasBegun) {
  for (const AttemptOutcome outcome : kOutcomes) {
    for (const bool resumable : {false, true}) {
      for (const bool has_time_left : {false, true}) {
        er::NextStepInput input = MakeInput(outcome);
        input.is_answer_started = true;
        input.resumable = resumable;
        input.has_time_left = has_time_left;
        CHECK(er::DecideNextStep(input) == (resumable && has_time_left
                                                ? NextStep::kResume
                                                : NextStep::kBreakOff));
      }
    }
  }
  er::NextStepInput input = MakeInput(AttemptOutcome::kSucceeded);
  input.is_answer_started = true;
  input.continues_answer = true;
  CHECK(er::DecideNextStep(input) == NextStep::kPassOn);
}

// Guards against an end that nothing can prove and that is framed as one.
TEST(NextStep, AnEndBeyondProofIsPassedOnWithoutFramingOnly) {
  er::NextStepInput input = MakeInput(AttemptOutcome::kUnproven);
  input.is_repeatable = true;
  CHECK(er::DecideNextStep(input) == NextStep::kPassOn);
  input.is_answer_started = true;
  input.continues_answer = true;
  CHECK(er::DecideNextStep(input) == NextStep::kPassOn);
  input.is_framed = true;
  CHECK(er::DecideNextStep(input) == NextStep::kBreakOff);
  input.resumable = true;
  CHECK(er::DecideNextStep(input) == NextStep::kResume);
}

// Guards against an end that an endpoint could have proven and hasn't, and that
// is passed on: to a caller it is that of a complete answer.
TEST(NextStep, AnEndThatCouldBeProvenIsNotPassedOnWithoutProof) {
  er::NextStepInput input = MakeInput(AttemptOutcome::kUnproven);
  input.may_be_proven = true;
  CHECK(er::DecideNextStep(input) == NextStep::kUnknown);
  input.is_repeatable = true;
  CHECK(er::DecideNextStep(input) == NextStep::kSendAgain);
  input.is_answer_started = true;
  input.continues_answer = true;
  CHECK(er::DecideNextStep(input) == NextStep::kBreakOff);
  input.resumable = true;
  CHECK(er::DecideNextStep(input) == NextStep::kResume);
}

// Guards against an end in doubt that is passed on to the caller of a stream
// that can resume: an endpoint that has nothing left proves the end.
TEST(NextStep, TheEndOfAStreamThatCanResumeIsAskedForElsewhereThenThere) {
  er::NextStepInput input = MakeInput(AttemptOutcome::kUnproven);
  input.is_answer_started = true;
  input.continues_answer = true;
  input.resumable = true;
  for (const bool is_framed : {false, true}) {
    for (const bool may_be_proven : {false, true}) {
      input.is_framed = is_framed;
      input.may_be_proven = may_be_proven;
      input.may_have_run = 1;
      CHECK(er::DecideNextStep(input) == NextStep::kResume);
      input.may_have_run = 2;
      CHECK(er::DecideNextStep(input) == NextStep::kAskAgain);
      input.may_have_run = 3;
      CHECK(er::DecideNextStep(input) == NextStep::kBreakOff);
    }
  }
}

// The same where nothing may be asked: the end must not look complete.
TEST(NextStep, AnEndInDoubtThatCantBeAskedForIsBrokenOff) {
  er::NextStepInput input = MakeInput(AttemptOutcome::kUnproven);
  input.is_answer_started = true;
  input.continues_answer = true;
  input.resumable = true;
  input.may_have_run = 2;
  input.is_own_attempt = false;
  CHECK(er::DecideNextStep(input) == NextStep::kBreakOff);
  input.is_own_attempt = true;
  input.has_time_left = false;
  CHECK(er::DecideNextStep(input) == NextStep::kBreakOff);
}

// Guards against a stream that counts as whole and is broken off since whoever
// was asked what follows didn't say.
TEST(NextStep, ATrustedEndIsAskedForAndNeverBrokenOff) {
  er::NextStepInput input = MakeInput(AttemptOutcome::kUnproven);
  input.is_answer_started = true;
  input.continues_answer = true;
  input.resumable = true;
  input.may_be_proven = true;
  input.is_framed = true;
  input.is_end_trusted = true;
  CHECK(er::DecideNextStep(input) == NextStep::kResume);
  input.may_have_run = 2;
  CHECK(er::DecideNextStep(input) == NextStep::kAskAgain);
  input.has_time_left = false;
  CHECK(er::DecideNextStep(input) == NextStep::kEndStream);
  for (const AttemptOutcome outcome : kOutcomes) {
    if (outcome == AttemptOutcome::kSucceeded) continue;
    input.end = outcome;
    CHECK(er::DecideNextStep(input) == NextStep::kEndStream);
  }
}

// The same for a client that has all events and asks what follows.
TEST(NextStep, ATrustedEndOfAnAnswerWithoutEventsIsPassedOn) {
  er::NextStepInput input = MakeInput(AttemptOutcome::kUnproven);
  input.continues_answer = true;
  input.resumable = true;
  input.is_repeatable = true;
  input.is_end_trusted = true;
  CHECK(er::DecideNextStep(input) == NextStep::kResume);
  input.has_time_left = false;
  CHECK(er::DecideNextStep(input) == NextStep::kPassOn);
}

// Guards against a third endpoint that gets the request since the second one,
// asked again, has turned it away.
TEST(NextStep, AnEndpointThatIsAskedAgainIsTheLastOne) {
  for (const AttemptOutcome outcome :
       {AttemptOutcome::kFull, AttemptOutcome::kWithheld}) {
    er::NextStepInput input = MakeInput(outcome);
    input.is_answer_started = true;
    input.resumable = true;
    input.may_have_run = 2;
    CHECK(er::DecideNextStep(input) == NextStep::kBreakOff);
  }
}

// Guards against a peer that breaks off what the node that it serves would ask
// for: it passes the doubt on.
TEST(NextStep, APeersEndInDoubtIsPassedOn) {
  er::NextStepInput input = MakeInput(AttemptOutcome::kUnproven);
  input.is_answer_started = true;
  input.continues_answer = true;
  input.resumable = true;
  input.is_handed_over = true;
  input.attempts = 1;
  CHECK(er::DecideNextStep(input) == NextStep::kPassOn);
  input.is_framed = true;
  CHECK(er::DecideNextStep(input) == NextStep::kBreakOff);
}

// Guards against adding load to a full service by trying all of its endpoints.
TEST(NextStep, GivesUpAfterAFewFullEndpoints) {
  er::NextStepInput input = MakeInput(AttemptOutcome::kFull);
  input.not_run = er::kMaxNotRunAttempts;
  CHECK(er::DecideNextStep(input) == NextStep::kRefuse);
}

// Guards against a request that is reported as one that may have run, or is
// placed without end, because its endpoints stop taking requests.
TEST(NextStep, AWithheldRequestHasNotRun) {
  CHECK(er::IsNotRun(AttemptOutcome::kWithheld));
  er::NextStepInput input = MakeInput(AttemptOutcome::kWithheld);
  CHECK(er::DecideNextStep(input) == NextStep::kSendAgain);
  input.not_sent = er::kMaxNotSentAttempts;
  CHECK(er::DecideNextStep(input) == NextStep::kRefuse);
}

// Guards against losing a stream to refusals by engines with other weights, and
// against asking all engines of a large fleet for one stream.
TEST(NextStep, RefusalsForOtherWeightsAllowMoreAttemptsThanFullEndpoints) {
  er::NextStepInput input;
  input.end = AttemptOutcome::kOtherWeights;
  input.attempts = 2;
  input.not_run = er::kMaxNotRunAttempts - 1;
  input.other_weights = er::kMaxOtherWeightsAttempts - 1;
  CHECK(er::DecideNextStep(input) == NextStep::kSendAgain);
  ++input.other_weights;
  CHECK(er::DecideNextStep(input) == NextStep::kRefuse);
}
