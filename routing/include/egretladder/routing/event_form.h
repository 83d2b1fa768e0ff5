// Events that may stand in the place of others.
//
// A faulty endpoint may put something else in the place of an event: bytes that
// are no event, an event without an id or with an odd one, the begin of an
// event that the next one joins. Ids alone don't show that, as sound streams
// have events without ids, too: pings, or parts of an event that has one.
//
// Where the ids of a stream have risen by one, an event is odd that has no
// number, or fields as no event of the stream had before. It is held back until
// the next number shows what it stands for. If none is left out, it is an extra
// one, and follows. Otherwise an event is missing, and the run ends before it,
// unless another endpoint does the same or most of the service's processes do
// it often. An odd event at the end of a stream may be the mark that closes it.
// That is judged alike, but passed on where nothing is known, and the stream
// can't be taken up. What isn't readable ends its run at
// once.
#pragma once

#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "egretladder/routing/event_order.h"
#include "egretladder/routing/odd_events.h"

namespace egretladder::routing {

/// What an event looks like.
struct EventForm {
  std::string_view id;       ///< Empty: it has none.
  std::uint64_t fields = 0;  ///< Hash of its fields' names.
  bool is_readable = true;   ///< It is text, and all its lines are fields.
  bool has_mark = false;     ///< It says that other weights made it.
};

/// What the events of a stream have shown.
struct StreamForms {
  std::vector<std::uint64_t> shown;  ///< `EventForm::fields` of them.
  bool has_steps = false;            ///< A number followed the one before it.
  /// Some left numbers out, so that those don't tell what odd events stand for.
  bool is_uneven = false;
  bool may_be_unreadable = false;  ///< That is how the service sends them.
};

/// Forms after which those of a stream's events show nothing.
inline constexpr std::size_t kMaxForms = 4;

/// An event that a run holds back.
struct HeldEvent {
  std::string id;  ///< Empty: it has no number.
  std::uint64_t fields = 0;
};

/// The last events of a run, in their order.
using HeldEvents = std::vector<HeldEvent>;

/// Events that are held at most. So many are no single spoiled one.
inline constexpr std::size_t kMaxHeldEvents = 16;

/// Tells what the processes of the stream's service do.
using AskForHabit = std::function<Habit(OddKind)>;

/// What decides about an event beyond the stream.
struct EventJudges {
  AskForRise ask_for_rise;
  AskForHabit ask_for_habit;
  MayAskElsewhere may_ask_elsewhere;
  bool may_be_taken_up = false;  ///< By another endpoint, or by its client.
};

/// Where an event belongs, and what it says of its process.
struct FormedEvent {
  PlacedEvent placed;
  /// Events without a number stand for numbers before this one; unset: it
  /// doesn't show that.
  std::optional<bool> counts_others;
};

/// Does what `PlaceEvent` does, for an event of that form. If it follows, those
/// that were held do, too, and none is held then.
FormedEvent PlaceFormedEvent(StreamPosition& position, StreamRun& run,
                             StreamForms& forms, HeldEvents& held,
                             const EventForm& event, const EventJudges& judges);

/// Returns true if events without an id, or held ones, are the last.
bool EndsOddly(const StreamPosition& position, const HeldEvents& held);

/// Returns the place of the run's end in good order: `kInDoubt` if an event may
/// be missing there. Otherwise what is held follows, and none is held then.
EventPlace PlaceEnd(StreamPosition& position, StreamRun& run,
                    StreamForms& forms, HeldEvents& held,
                    const EventJudges& judges);

}  // namespace egretladder::routing
