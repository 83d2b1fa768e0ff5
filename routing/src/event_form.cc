#include "egretladder/routing/event_form.h"

#include <algorithm>
#include <utility>

#include "event_order_p.h"

namespace egretladder::routing {
namespace {

// The stream whose next event is judged.
struct Stream {
  StreamPosition& position;
  StreamRun& run;
  StreamForms& forms;
  HeldEvents& held;
  const EventJudges& judges;
};

bool HasShown(const StreamForms& forms, std::uint64_t fields) {
  return forms.shown.size() >= kMaxForms ||
         std::find(forms.shown.begin(), forms.shown.end(), fields) !=
             forms.shown.end();
}

void Show(StreamForms& forms, std::uint64_t fields) {
  if (!HasShown(forms, fields)) forms.shown.push_back(fields);
}

// Returns the number that is due behind the last event, and those held.
std::uint64_t NextNumber(const Stream& stream) {
  const auto numbers =
      std::count_if(stream.held.begin(), stream.held.end(),
                    [](const HeldEvent& event) { return !event.id.empty(); });
  return *stream.position.last_number + static_cast<std::uint64_t>(numbers) + 1;
}

// The service's ids rise by one, and each of its events has one.
bool ServiceNumbersAll(const Stream& stream) {
  return routing::RisesByOne(stream.judges.ask_for_rise()) &&
         stream.judges.ask_for_habit(OddKind::kCountsOthers) == Habit::kNo;
}

// Returns true if the next number tells what an odd event stands for.
bool NumbersAll(const Stream& stream) {
  if (!stream.position.last_number || stream.forms.is_uneven) return false;
  return stream.forms.has_steps || ServiceNumbersAll(stream);
}

// The run's last event is the stream's, or the client says that it is.
bool IsAtPosition(const Stream& stream) {
  if (stream.run.is_behind) return false;
  if (IsBeforePosition(stream.position, stream.run)) return false;
  return !stream.run.is_unplaced || stream.run.has_sent_last ||
         !stream.position.has_passed_id;
}

// Returns true if only the next number shows what the event stands for.
bool IsOdd(const Stream& stream, const EventForm& event) {
  if (event.has_mark || !stream.position.last_number) return false;
  const auto number = ParseId(event.id);
  const bool is_new = !HasShown(stream.forms, event.fields);
  const bool is_first = stream.forms.shown.empty();
  const bool has_odd_form =
      number ? is_new && !is_first && *number == NextNumber(stream)
             : is_new || !event.id.empty() || !stream.held.empty();
  const bool is_placed = number.has_value() || IsAtPosition(stream);
  return has_odd_form && is_placed && NumbersAll(stream);
}

void Hold(Stream& stream, const EventForm& event) {
  const bool has_number = ParseId(event.id).has_value();
  stream.held.push_back(
      {std::string(has_number ? event.id : ""), event.fields});
}

// Events that no number was given came since the last one that has one.
std::uint64_t CountOthers(const Stream& stream) {
  return stream.position.events_since_id + stream.held.size();
}

std::optional<bool> CountsOthers(const Stream& stream,
                                 const std::optional<std::uint64_t>& number) {
  const auto& last = stream.position.last_number;
  const bool is_own = !stream.run.is_unplaced || stream.run.has_sent_last;
  if (!is_own || !last || !number || *number <= *last) return std::nullopt;
  const std::uint64_t others = CountOthers(stream);
  return others > 0 && *number - *last == others + 1;
}

// Returns true if the run's step to the number, over what looks like a fault,
// is none. Two faulty endpoints may spoil the same event, so that their word
// counts only where nothing speaks against the habit.
bool IsHabit(const Stream& stream, OddKind kind, std::uint64_t number) {
  const Habit habit = stream.judges.ask_for_habit(kind);
  if (habit != Habit::kUnknown) return habit == Habit::kYes;
  return IsShownElsewhere(stream.position, stream.run, number);
}

// Returns the place of an event that leaves a number out, and is odd or behind
// odd ones.
EventPlace PlaceBesideOdd(Stream& stream, std::uint64_t number) {
  const bool counts_others = CountsOthers(stream, number).value_or(false);
  if (counts_others && IsHabit(stream, OddKind::kCountsOthers, number))
    return EventPlace::kNext;
  const IdRise rise = stream.judges.ask_for_rise();
  // A peer judges by what it has seen itself.
  const bool is_vouched =
      stream.run.source.empty() && rise != IdRise::kFirmlyByOne;
  if (is_vouched || rise == IdRise::kLeavesOut) return EventPlace::kNext;
  DoubtStep(stream.position, stream.run, number);
  if (stream.run.is_unplaced) return EventPlace::kGap;
  return rise == IdRise::kFirmlyByOne ? EventPlace::kMissing
                                      : EventPlace::kInDoubt;
}

// Returns true if the event leaves a number out, and an odd event may stand for
// that.
bool IsGapBesideOdd(const Stream& stream, const EventForm& event) {
  const auto number = ParseId(event.id);
  if (!number || !stream.position.last_number) return false;
  const bool has_new_form =
      !stream.forms.shown.empty() && !HasShown(stream.forms, event.fields);
  const bool is_odd = CountOthers(stream) > 0 || has_new_form;
  return is_odd && *number > NextNumber(stream) &&
         (!stream.held.empty() || NumbersAll(stream));
}

void RecordStep(Stream& stream, const std::optional<std::uint64_t>& number) {
  const auto& last = stream.position.last_number;
  if (!last || !number || *number <= *last) return;
  const bool is_by_one = *number == NextNumber(stream);
  stream.forms.has_steps = stream.forms.has_steps || is_by_one;
  stream.forms.is_uneven = stream.forms.is_uneven || !is_by_one;
}

void ReleaseHeld(Stream& stream) {
  for (const HeldEvent& event : std::exchange(stream.held, {})) {
    Show(stream.forms, event.fields);
    PassOn(stream.position, stream.run, event.id);
  }
}

// Passes the event on behind those that are held.
FormedEvent Pass(Stream& stream, const EventForm& event) {
  const auto number = ParseId(event.id);
  FormedEvent formed{{EventPlace::kNext, {}}, CountsOthers(stream, number)};
  if (formed.counts_others == false) formed.placed.step = IdStep::kByOne;
  RecordStep(stream, number);
  ReleaseHeld(stream);
  Show(stream.forms, event.fields);
  PassOn(stream.position, stream.run, event.id);
  return formed;
}

FormedEvent PlaceOdd(Stream& stream, const EventForm& event) {
  if (stream.held.size() < kMaxHeldEvents) {
    Hold(stream, event);
    return {{EventPlace::kHeld, {}}, {}};
  }
  stream.forms.is_uneven = true;
  return Pass(stream, event);
}

FormedEvent PlaceGapBesideOdd(Stream& stream, const EventForm& event) {
  const auto number = ParseId(event.id);
  const EventPlace place = PlaceBesideOdd(stream, *number);
  const auto counts_others = CountsOthers(stream, number);
  if (place != EventPlace::kNext) return {{place, {}}, counts_others};
  FormedEvent formed = Pass(stream, event);
  formed.placed.step.reset();
  return formed;
}

PlacedEvent PlaceById(Stream& stream, const EventForm& event) {
  return PlaceEvent(stream.position, stream.run, stream.judges.ask_for_rise,
                    event.id, stream.judges.may_ask_elsewhere);
}

FormedEvent PlaceBehindHeld(Stream& stream, const EventForm& event) {
  const auto number = ParseId(event.id);
  if (number == NextNumber(stream)) return Pass(stream, event);
  if (number && *number <= *stream.position.last_number)
    return {PlaceById(stream, event), {}};
  return {{EventPlace::kUnplaced, {}}, {}};
}

// Returns the place of an event that is neither odd nor behind odd ones.
FormedEvent PlaceUsual(Stream& stream, const EventForm& event) {
  const auto number = ParseId(event.id);
  const auto counts_others = CountsOthers(stream, number);
  const StreamForms forms = stream.forms;
  RecordStep(stream, number);
  const PlacedEvent placed = PlaceById(stream, event);
  if (placed.place == EventPlace::kNext) {
    Show(stream.forms, event.fields);
  } else {
    stream.forms = forms;
  }
  return {placed, counts_others};
}

// Returns true if what isn't readable is no fault. What two endpoints send
// alike is none.
bool MayBeUnreadable(Stream& stream, const EventForm& event) {
  const auto number = ParseId(event.id);
  const auto& last = stream.position.last_number;
  const bool is_new = number && last && *number > *last;
  if (stream.forms.may_be_unreadable) return true;
  stream.forms.may_be_unreadable =
      IsHabit(stream, OddKind::kUnreadable, is_new ? *number : 0);
  if (is_new && !stream.forms.may_be_unreadable)
    DoubtStep(stream.position, stream.run, *number);
  return stream.forms.may_be_unreadable;
}

// Returns true if the stream has ended in the same way before: at another
// endpoint, or at the same one, where no other could be asked.
bool HasEndedAlike(const Stream& stream) {
  const auto& doubt = stream.position.doubt;
  return doubt && doubt->from == stream.position.last_number &&
         doubt->to == kEndOfStream;
}

// Returns true if the odd event at the end is no fault, or more likely none. A
// stream that goes on elsewhere, or with its client's next request, loses
// nothing.
bool IsEndKnown(const Stream& stream) {
  if (stream.run.source.empty()) return true;
  const Habit habit = stream.judges.ask_for_habit(OddKind::kEndsOddly);
  const bool is_likely =
      habit == Habit::kUnknown && !stream.judges.may_be_taken_up;
  return is_likely || habit == Habit::kYes || HasEndedAlike(stream);
}

}  // namespace

FormedEvent PlaceFormedEvent(StreamPosition& position, StreamRun& run,
                             StreamForms& forms, HeldEvents& held,
                             const EventForm& event,
                             const EventJudges& judges) {
  Stream stream{position, run, forms, held, judges};
  if (!event.is_readable && !MayBeUnreadable(stream, event))
    return {{EventPlace::kUnreadable, {}}, {}};
  if (IsOdd(stream, event)) return PlaceOdd(stream, event);
  if (IsGapBesideOdd(stream, event)) return PlaceGapBesideOdd(stream, event);
  if (!held.empty()) return PlaceBehindHeld(stream, event);
  return PlaceUsual(stream, event);
}

bool EndsOddly(const StreamPosition& position, const HeldEvents& held) {
  return position.events_since_id > 0 || !held.empty();
}

EventPlace PlaceEnd(StreamPosition& position, StreamRun& run,
                    StreamForms& forms, HeldEvents& held,
                    const EventJudges& judges) {
  if (held.empty()) return EventPlace::kNext;
  Stream stream{position, run, forms, held, judges};
  if (IsEndKnown(stream)) {
    ReleaseHeld(stream);
    return EventPlace::kNext;
  }
  DoubtStep(position, run, kEndOfStream);
  return EventPlace::kInDoubt;
}

}  // namespace egretladder::routing
