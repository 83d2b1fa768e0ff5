#include "egretladder/routing/next_step.h"

namespace egretladder::routing {
namespace {

bool CanTryAgain(const AfterAttempt& after) {
  return after.time_left && after.not_run < kMaxNotRunAttempts &&
         after.not_sent < kMaxNotSentAttempts;
}

NextStep DecideAfterNotRun(const AfterAttempt& after) {
  if (after.answer_begun) {
    return after.resumable && CanTryAgain(after) ? NextStep::kResume
                                                 : NextStep::kBreakOff;
  }
  if (CanTryAgain(after)) return NextStep::kSendAgain;
  // An earlier attempt may have run, so that "not run" would be untrue.
  return after.may_have_run > 0 ? NextStep::kUnknown : NextStep::kRefuse;
}

}  // namespace

const char* NameOf(AttemptEnd end) {
  switch (end) {
    case AttemptEnd::kNotSent:
      return "not-sent";
    case AttemptEnd::kFull:
      return "full";
    case AttemptEnd::kWrongInstance:
      return "wrong-instance";
    case AttemptEnd::kBroken:
      return "broken";
    case AttemptEnd::kBadAnswer:
      return "bad-answer";
    case AttemptEnd::kSilent:
      return "silent";
    case AttemptEnd::kFailed:
      return "failed";
    case AttemptEnd::kSucceeded:
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

bool IsNotRun(AttemptEnd end) {
  return end == AttemptEnd::kNotSent || end == AttemptEnd::kFull ||
         end == AttemptEnd::kWrongInstance;
}

NextStep DecideNext(const AfterAttempt& after) {
  if (after.end == AttemptEnd::kSucceeded) return NextStep::kPassOn;
  if (IsNotRun(after.end)) return DecideAfterNotRun(after);
  const bool more = after.time_left && after.may_have_run < after.attempts;
  if (after.answer_begun) {
    return after.resumable && more ? NextStep::kResume : NextStep::kBreakOff;
  }
  if (after.may_repeat && more) return NextStep::kSendAgain;
  return after.end == AttemptEnd::kFailed ? NextStep::kPassOn
                                          : NextStep::kUnknown;
}

}  // namespace egretladder::routing
