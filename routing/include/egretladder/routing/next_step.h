// What follows when an attempt at an endpoint ended: another one, the
// endpoint's answer, or an honest failure.
//
// Goes wrong without it: work that may not be repeated runs twice, or a caller
// is told "not run" of work that ran, and sends it again. Both follow from
// guessing what a broken connection means, so that the outcome is kept in three
// values: certainly not run, unknown, answered.
#pragma once

#include <cstdint>

#include "egretladder/kernel/time.h"
#include "egretladder/routing/route_table.h"

namespace egretladder::routing {

using kernel::Time;

/// How an attempt ended.
enum class AttemptOutcome : std::uint8_t {
  kNotSent,        ///< No byte left: there was no connection.
  kFull,           ///< The endpoint says that it did not run it.
  kWrongInstance,  ///< Another process has the address; not run.
  kBroken,         ///< No whole answer: outcome unknown.
  kBadAnswer,      ///< An answer that can't be passed on: outcome unknown.
  kSilent,         ///< This node gave up waiting: outcome unknown.
  kFailed,         ///< A whole answer that is a failure of the endpoint's own.
  kSucceeded,      ///< A whole answer.
};
/// As logs show it.
const char* NameOf(AttemptOutcome end);

/// True when the endpoint certainly did not run the request.
bool IsNotRun(AttemptOutcome end);

/// What follows.
enum class NextStep : std::uint8_t {
  kSendAgain,  ///< Whole, at another endpoint.
  kResume,     ///< From the last event that the caller got.
  kPassOn,     ///< Give the caller the endpoint's answer.
  kRefuse,     ///< 503: it never ran and never will.
  kUnknown,    ///< 502: it may have run.
  kBreakOff,   ///< The caller has a part: close, so that it looks incomplete.
};
/// As logs show it.
const char* NameOf(NextStep step);

/// What the decision depends on.
struct NextStepInput {
  AttemptOutcome end = AttemptOutcome::kBroken;
  bool is_repeatable = false;      ///< `MayRepeat` of the route.
  bool resumable = false;          ///< A stream that may go on elsewhere.
  bool is_answer_started = false;  ///< The caller has a part of an answer.
  std::uint32_t attempts = 1;      ///< Allowed by the route.
  std::uint32_t may_have_run = 0;  ///< Attempts so far that may have run.
  std::uint32_t not_run = 0;  ///< Attempts so far that an endpoint turned away.
  std::uint32_t not_sent = 0;  ///< Attempts so far without a connection.
  bool has_time_left = true;
};

/// Sends that endpoints turned away, before a request is refused. Each meets
/// another endpoint; more would let one request knock at a whole full fleet.
inline constexpr std::uint32_t kNotRunMost = 3;
/// Connections that were refused before a request is. They cost no endpoint
/// anything and take a millisecond; with a third of the endpoints gone one
/// request in 6,000 meets eight of these in a row, and one in 27 three.
inline constexpr std::uint32_t kNotSentMost = 8;

/// Decides. When it says `kSendAgain` or `kResume`, the caller of this function
/// still has to find room in the retry share; without it, ask again with
/// `time_left` false.
NextStep DecideNextStep(const NextStepInput& after);

}  // namespace egretladder::routing
