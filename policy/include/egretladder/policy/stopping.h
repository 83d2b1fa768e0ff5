// The graceful stop of a process: until when it accepts requests, when it may
// exit, and when it ends the remaining requests.
//
// Nodes are stopped one after the other under full load. Without these phases
// callers that still use the address find a closed port, or the process exits
// while answers are still being delivered, so that callers see their connection
// close in the middle of an answer.
#pragma once

#include <chrono>
#include <cstdint>

namespace egretladder::policy {

using std::chrono::milliseconds;

/// The times that bound a stop.
struct StopPlan {
  /// How long callers go on using the address after the stop began.
  milliseconds address_ttl{};
  /// Time after that in which the last requests from callers are still read.
  milliseconds settle{};
  /// Time from the begin of the stop until the process is killed.
  milliseconds grace{};
  /// Time before the kill at which requests in progress are ended with an
  /// error.
  milliseconds cut_margin{};
  /// Time before the kill at which the process exits, even if callers have not
  /// read all answers yet.
  milliseconds exit_margin{};
};

/// Phase of a stop.
enum class StopPhase : std::uint8_t {
  kTaking,     ///< Callers still send requests here; they are served.
  kSettling,   ///< Callers should not send requests here any more; those that
               ///< do may be refused.
  kFinishing,  ///< No request is accepted. The process exits as soon as all
               ///< answers are delivered.
  kCutting,    ///< Remaining requests are ended; answers are still delivered.
  kOver,       ///< The process exits now.
};
/// Returns the phase's name in logs.
const char* NameOf(StopPhase phase);

/// Returns the phase at `elapsed` since the begin of the stop.
StopPhase GetStopPhase(const StopPlan& plan, milliseconds elapsed);

/// Returns the time until requests in progress are ended; negative once they
/// have been.
milliseconds TimeUntilCut(const StopPlan& plan, milliseconds elapsed);

/// Returns true when the process may exit. `all_answered` is true when no
/// request is in progress and callers have received all answers.
bool CanExit(StopPhase phase, bool all_answered);

/// Returns the shortest grace time that leaves room for all phases.
milliseconds MinGracePeriod(const StopPlan& plan);

}  // namespace egretladder::policy
