#include "egretladder/routing/next_step.h"

namespace egretladder::routing {
namespace {

bool MayTryAgain(const NextStepInput& after) {
  return after.has_time_left && after.not_run < kNotRunMost &&
         after.not_sent < kNotSentMost;
}

NextStep AfterNotRun(const NextStepInput& after) {
  if (after.is_answer_started) {
    return after.resumable && MayTryAgain(after) ? NextStep::kResume
                                                 : NextStep::kBreakOff;
  }
  if (MayTryAgain(after)) return NextStep::kSendAgain;
  // An earlier attempt may have run, so that "not run" would be untrue.
  return after.may_have_run > 0 ? NextStep::kUnknown : NextStep::kRefuse;
}

}  // namespace

const char* NameOf(AttemptOutcome end) {
  switch (end) {
    case AttemptOutcome::kNotSent:
      return "not-sent";
    case AttemptOutcome::kFull:
      return "full";
    case AttemptOutcome::kWrongInstance:
      return "wrong-instance";
    case AttemptOutcome::kBroken:
      return "broken";
    case AttemptOutcome::kBadAnswer:
      return "bad-answer";
    case AttemptOutcome::kSilent:
      return "silent";
    case AttemptOutcome::kFailed:
      return "failed";
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
    case NextStep::kPassOn:
      return "pass-on";
    case NextStep::kRefuse:
      return "refuse";
    case NextStep::kUnknown:
      return "outcome-unknown";
    case NextStep::kBreakOff:
      return "break-off";
  }
  return "unknown";
}

bool IsNotRun(AttemptOutcome end) {
  return end == AttemptOutcome::kNotSent || end == AttemptOutcome::kFull ||
         end == AttemptOutcome::kWrongInstance;
}

NextStep DecideNextStep(const NextStepInput& after) {
  if (after.end == AttemptOutcome::kSucceeded) return NextStep::kPassOn;
  if (IsNotRun(after.end)) return AfterNotRun(after);
  const bool more = after.has_time_left && after.may_have_run < after.attempts;
  if (after.is_answer_started) {
    return after.resumable && more ? NextStep::kResume : NextStep::kBreakOff;
  }
  if (after.is_repeatable && more) return NextStep::kSendAgain;
  return after.end == AttemptOutcome::kFailed ? NextStep::kPassOn
                                              : NextStep::kUnknown;
}

}  // namespace egretladder::routing
