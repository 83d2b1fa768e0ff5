// The graceful stop of a process: until when it takes requests, when it may
// end, and when it has to end what is left.
//
// Load: planned stops, one node after the other, under full load. Goes wrong
// without it: callers that still keep the address meet a closed port, or the
// process ends with answers that their callers haven't got yet. A caller
// notices a connection that closes in the middle of an answer.
#pragma once

#include <chrono>
#include <cstdint>

namespace egretladder::policy {

using std::chrono::milliseconds;

/// What bounds a stop. All times count from its begin.
struct StopPlan {
  /// Callers that kept the address when the stop began are gone after this.
  milliseconds address_ttl{};
  /// After that, for what they sent last to be read.
  milliseconds settle{};
  /// The process is killed at this time.
  milliseconds grace{};
  /// Before the kill: requests in progress are ended, and told so.
  milliseconds cut_margin{};
  /// Before the kill: the process ends, whoever reads slowly.
  milliseconds exit_margin{};
};

/// Where a stop stands.
enum class StopPhase : std::uint8_t {
  kTaking,     ///< Callers still send here, and are served.
  kSettling,   ///< No caller should send here; one that does may be refused.
  kFinishing,  ///< Nothing is taken; ends as soon as all have their answers.
  kCutting,    ///< What is left is ended; answers are still delivered.
  kOver,       ///< Ends now.
};
/// As logs show it.
const char* NameOf(StopPhase phase);

/// The phase `since` the stop began.
StopPhase GetStopPhase(const StopPlan& plan, milliseconds since);

/// Until requests in progress are ended; below zero: they are.
milliseconds TimeUntilCut(const StopPlan& plan, milliseconds since);

/// True when the process may end. `answered`: no request is in progress, and
/// callers have taken all answers.
bool CanExit(StopPhase phase, bool answered);

/// The shortest grace time in which a plan's phases follow each other.
milliseconds MinGracePeriod(const StopPlan& plan);

}  // namespace egretladder::policy
