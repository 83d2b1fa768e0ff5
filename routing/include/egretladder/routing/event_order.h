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

/// Stands for a stream's end in place of the id of an event.
inline constexpr std::uint64_t kEndOfStream = 0;

/// A number that a run has left out behind the last event that the caller has,
/// or an end there. The run was ended, and whoever goes on shows whether an
/// event is missing.
struct StepInDoubt {
  std::uint64_t from = 0;           ///< Id of the last event.
  std::uint64_t to = kEndOfStream;  ///< Id that followed it.
  std::string source;  ///< Endpoint that sent it; see `StreamRun::source`.
  /// That endpoint had sent both events. Otherwise it was asked for what
  /// follows the first one.
  bool is_own = false;
};

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
  /// Id of the event before the last one, empty if that was the stream's first;
  /// unset: it isn't known, or events without an id came between.
  std::optional<std::string> previous_id;
  /// Unset: none, or an event has followed the last one since.
  std::optional<StepInDoubt> doubt;
};

/// Returns the position of a stream from its begin, or from the event after
/// which its client takes it up.
StreamPosition BeginStream(std::string_view last_event_id);

/// Returns true if a client that takes the stream up after its last event can
/// ask for what follows as this node would: the id to go on after is known from
/// the last one.
bool CanClientAsk(const StreamPosition& position);

/// Continues what was in doubt when the stream broke off, if its client has
/// taken it up just there.
void TakeUpInDoubt(StreamPosition& position, const StepInDoubt& doubt);

/// Puts an end in doubt that `source` states by nothing but an answer without
/// an event, asked for what follows the stream's last one. Returns false if no
/// id is known after which another endpoint shows that event, and the end.
bool PutEndInDoubt(StreamPosition& position, const std::string& source,
                   IdRise rise);

/// Returns true if the stream can go on at another endpoint: it is told an id
/// to go on after, and what follows that id must not have been sent.
bool CanGoOn(const StreamPosition& position);

/// Returns the id after which the next endpoint is asked to go on; empty: it
/// sends the stream from its begin. That is the last one, or the one before it
/// while a step within a run is in doubt: then the next endpoint shows the same
/// step within its own run, or the event that was left out. What it does right
/// at its begin wouldn't tell, as it may be faulty just there.
const std::string& IdToGoOnAfter(const StreamPosition& position);

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
  /// The stream's last event is the last one that it has sent, so that the next
  /// step is its own.
  bool has_sent_last = false;
  /// The one endpoint that sends it; empty: there may be several.
  std::string source;
};

/// Returns true if an end of the run, which has brought no new event, can't be
/// believed: another endpoint has sent more, or such an end is in doubt and the
/// run hasn't shown the stream's last event.
bool IsEndRefuted(const StreamPosition& position,
                  const std::optional<StreamRun>& run);

/// Returns the run of `source` that begins at the position.
StreamRun BeginRun(const StreamPosition& position, std::string source = "");

/// How an event relates to those that the caller has.
enum class EventPlace : std::uint8_t {
  kNext,      ///< It follows them.
  kRepeated,  ///< The caller has it. It is not passed on, and the run goes on.
  kBehind,    ///< The run begins before the stream's position.
  kGap,       ///< The run begins after an event that is missing.
  kMissing,   ///< The run has left an event out.
  kInDoubt,   ///< It may have left one out. Another endpoint is asked.
  kUnplaced,  ///< Nothing shows whether it follows them.
  kUnreadable,  ///< It is no event; see event_form.h.
  /// It may stand in the place of another one, which the next number shows. It
  /// is held back until then.
  kHeld,
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

/// Tells whether another endpoint can be asked to go on instead of the run. It
/// is asked last, as it reserves the question.
using MayAskElsewhere = std::function<bool()>;

/// Decides whether the run's next event follows what the caller has, and
/// records it if it does. `id` is empty for an event without one. A client that
/// takes a stream up names one id alone, which doesn't show how ids rise.
///
/// A number that is left out follows if two endpoints have left the same one
/// out, each within its run: no event of a stream is missing at both. Before
/// the service's ids have shown enough, that is found out by asking another
/// endpoint where that is possible. Where it isn't, the event follows.
PlacedEvent PlaceEvent(StreamPosition& position, StreamRun& run,
                       const AskForRise& ask_for_rise, std::string_view id,
                       const MayAskElsewhere& may_ask_elsewhere = {});

}  // namespace egretladder::routing
