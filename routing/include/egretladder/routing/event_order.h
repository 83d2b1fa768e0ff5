// The order of a stream's events, whichever endpoints send them.
//
// A stream may go on at another endpoint, through a peer, or with another
// request of its client. Whoever sends what follows may begin anew, repeat an
// event or leave one out. Ids of a stream's events increase, so they show
// whether an event follows those that the caller has. One state of the stream
// answers that wherever events are passed on, and it alone says where the
// stream may go on.
#pragma once

#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <string_view>

#include "egretladder/routing/id_steps.h"
#include "egretladder/routing/software_version.h"

namespace egretladder::routing {

/// What a caller has of a stream.
struct StreamPosition {
  /// Id of the last event that had one; empty: no event had one.
  std::string last_id;
  /// Value of `last_id`, if it is a decimal number.
  std::optional<std::uint64_t> last_number;
  /// Events without an id that followed it.
  std::uint64_t events_since_id = 0;
  /// An event with an id was passed on.
  bool has_passed_id = false;
  /// An id that was passed on followed another one, which shows how they rise.
  bool has_steps = false;
  /// No id left a number out, so that one that is left out may be a missing
  /// event. Elsewhere, as where an event holds several tokens, it shows
  /// nothing.
  bool has_consecutive_ids = true;
  /// All events that were passed on had an id.
  bool has_dense_ids = true;
};

/// Returns the position of a stream from its begin, or from the event after
/// which its client takes it up.
StreamPosition BeginStream(std::string_view last_event_id);

/// Returns true if the stream can go on at another endpoint: it is told an id
/// to go on after, and what follows that id must not have been sent.
bool CanGoOn(const StreamPosition& position);

/// Events that a run may repeat one after the other. An endpoint that goes on
/// with that sends nothing new.
inline constexpr std::uint32_t kMaxRepeatedEvents = 1024;

/// One answer that brings events of a stream, in an attempt.
struct StreamRun {
  /// It goes on with a stream that another run or request began, and none of
  /// its events has shown yet that it does so at the right event.
  bool is_unplaced = false;
  /// It has sent an event again, and may send those that followed that again.
  bool is_behind = false;
  std::uint32_t repeated = 0;  ///< Events left out since its last new one.
};

/// Returns the run that begins at the position.
StreamRun BeginRun(const StreamPosition& position);

/// How an event relates to those that the caller has.
enum class EventPlace : std::uint8_t {
  kNext,      ///< It follows them.
  kRepeated,  ///< The caller has it. It is not passed on, and the run goes on.
  kBehind,    ///< The run begins before the stream's position.
  kGap,       ///< The run begins after an event that is missing.
  kMissing,   ///< The run has left an event out.
  kUnplaced,  ///< Nothing shows whether it follows them.
  /// The run is of another software version than the stream, or may be.
  kOtherVersion,
  /// Other weights made it than the event before, and it doesn't say so.
  kOtherWeights,
};
/// Returns the place's name in logs and metrics.
const char* NameOf(EventPlace place);

/// Returns true if the run can't go on behind an event at that place, as it
/// can't be joined to what the caller has.
bool EndsRun(EventPlace place);

/// Returns true if a run of the version `run` may go on with a stream that
/// `stream` began. `several`: several versions may serve, so that a version
/// that isn't known may be another one.
bool MayJoinVersions(SoftwareVersion stream, SoftwareVersion run, bool several);

/// Where an event belongs.
struct PlacedEvent {
  EventPlace place = EventPlace::kNext;
  /// How its id follows the one before it in the same run, whether or not the
  /// event is passed on; unset: nothing shows that.
  std::optional<IdStep> step;
};

/// Tells how the ids of a stream's service rise. It is asked only where an
/// event leaves a number out, as it counts the votes of all endpoints.
using AskForRise = std::function<IdRise()>;

/// Decides whether the run's next event follows what the caller has, and
/// records it if it does. `id` is empty for an event without one. A client that
/// takes a stream up names one id alone, which doesn't show how ids rise.
PlacedEvent PlaceEvent(StreamPosition& position, StreamRun& run,
                       const AskForRise& ask_for_rise, std::string_view id);

}  // namespace egretladder::routing
