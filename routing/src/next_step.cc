#include "egretladder/routing/next_step.h"

namespace egretladder::routing {
namespace {

bool CanTryAgain(const NextStepInput& input) {
  return input.has_time_left && input.not_run < kMaxNotRunAttempts &&
         input.not_sent < kMaxNotSentAttempts &&
         input.other_weights < kMaxOtherWeightsAttempts;
}

NextStep DecideAfterNotRun(const NextStepInput& input) {
  if (input.is_answer_started) {
    const bool may_resume = input.resumable && CanTryAgain(input) &&
                            input.may_have_run < input.attempts;
    return may_resume ? NextStep::kResume : NextStep::kBreakOff;
  }
  if (CanTryAgain(input)) return NextStep::kSendAgain;
  // If an earlier attempt may have run, answering "not run" would be wrong.
  return input.may_have_run > 0 ? NextStep::kUnknown : NextStep::kRefuse;
}

// The peer's answer tells the caller when to return. It is true only if no
// earlier attempt may have run. In a stream, another node may go on.
NextStep DecideAfterRefusal(const NextStepInput& input) {
  if (input.is_answer_started) return DecideAfterNotRun(input);
  return input.may_have_run > 0 ? NextStep::kUnknown : NextStep::kPassOn;
}

// The end of a stream that can resume is proven by an endpoint that is asked
// for what follows and has nothing left. If a peer has handed the request over,
// it asks for that.
bool CanAskForRest(const NextStepInput& input) {
  return input.continues_answer && input.resumable && !input.is_handed_over;
}

bool MayAskAgain(const NextStepInput& input) {
  return input.end == AttemptOutcome::kUnproven && CanAskForRest(input) &&
         input.is_own_attempt && input.has_time_left &&
         input.may_have_run < input.attempts + kMaxRepeatedAsks;
}

// One that fails to say whether more follows ends the stream, too.
NextStep DecideAfterTrustedEnd(const NextStepInput& input) {
  const bool may_ask = input.end == AttemptOutcome::kUnproven &&
                       CanAskForRest(input) && input.has_time_left;
  if (may_ask && input.may_have_run < input.attempts) return NextStep::kResume;
  if (MayAskAgain(input)) return NextStep::kAskAgain;
  return input.is_answer_started ? NextStep::kEndStream : NextStep::kPassOn;
}

// Where nothing can prove an end, it is passed on as what it is, the end of a
// connection. Framing would claim that the answer is complete.
bool PassesDoubtOn(const NextStepInput& input) {
  if (input.end != AttemptOutcome::kUnproven || input.may_be_proven)
    return false;
  if (CanAskForRest(input)) return false;
  return !input.is_answer_started ||
         (input.continues_answer && !input.is_framed);
}

}  // namespace

const char* NameOf(AttemptOutcome outcome) {
  switch (outcome) {
    case AttemptOutcome::kNotSent:
      return "not-sent";
    case AttemptOutcome::kWithheld:
      return "withheld";
    case AttemptOutcome::kFull:
      return "full";
    case AttemptOutcome::kWrongInstance:
      return "wrong-instance";
    case AttemptOutcome::kOtherWeights:
      return "other-weights";
    case AttemptOutcome::kDeclined:
      return "declined";
    case AttemptOutcome::kRefused:
      return "refused";
    case AttemptOutcome::kBroken:
      return "broken";
    case AttemptOutcome::kBadAnswer:
      return "bad-answer";
    case AttemptOutcome::kSilent:
      return "silent";
    case AttemptOutcome::kFailed:
      return "failed";
    case AttemptOutcome::kUnfit:
      return "unfit";
    case AttemptOutcome::kIncomplete:
      return "incomplete";
    case AttemptOutcome::kUnjoined:
      return "unjoined";
    case AttemptOutcome::kUnproven:
      return "unproven";
    case AttemptOutcome::kSucceeded:
      return "succeeded";
  }
  return "unknown";
}

const char* NameOf(NextStep step) {
  switch (step) {
    case NextStep::kSendAgain:
      return "send-again";
    case NextStep::kResume:
      return "resume";
    case NextStep::kAskAgain:
      return "ask-again";
    case NextStep::kPassOn:
      return "pass-on";
    case NextStep::kEndStream:
      return "end-stream";
    case NextStep::kRefuse:
      return "refuse";
    case NextStep::kUnknown:
      return "outcome-unknown";
    case NextStep::kBreakOff:
      return "break-off";
  }
  return "unknown";
}

bool IsNotRun(AttemptOutcome outcome) {
  return outcome == AttemptOutcome::kNotSent ||
         outcome == AttemptOutcome::kWithheld ||
         outcome == AttemptOutcome::kFull ||
         outcome == AttemptOutcome::kWrongInstance ||
         outcome == AttemptOutcome::kOtherWeights ||
         outcome == AttemptOutcome::kDeclined ||
         outcome == AttemptOutcome::kRefused;
}

NextStep DecideNextStep(const NextStepInput& input) {
  const bool fits = !input.is_answer_started || input.continues_answer;
  if (input.end == AttemptOutcome::kSucceeded && fits) return NextStep::kPassOn;
  const bool has_end =
      input.is_answer_started || input.end == AttemptOutcome::kUnproven;
  if (input.is_end_trusted && has_end) return DecideAfterTrustedEnd(input);
  if (PassesDoubtOn(input)) return NextStep::kPassOn;
  if (input.end == AttemptOutcome::kRefused) return DecideAfterRefusal(input);
  if (IsNotRun(input.end)) return DecideAfterNotRun(input);
  const bool has_attempts_left =
      input.has_time_left && input.may_have_run < input.attempts;
  if (input.is_answer_started) {
    if (input.resumable && has_attempts_left) return NextStep::kResume;
    return MayAskAgain(input) ? NextStep::kAskAgain : NextStep::kBreakOff;
  }
  if (input.is_repeatable && has_attempts_left) return NextStep::kSendAgain;
  if (MayAskAgain(input)) return NextStep::kAskAgain;
  return input.end == AttemptOutcome::kFailed ? NextStep::kPassOn
                                              : NextStep::kUnknown;
}

}  // namespace egretladder::routing
