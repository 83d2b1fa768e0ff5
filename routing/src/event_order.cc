#include "egretladder/routing/event_order.h"

#include <charconv>
#include <string>
#include <utility>

#include "event_order_p.h"

namespace egretladder::routing {
namespace {

// Returns true if a number is left out between the position's last number and
// the id of an event behind it. Events without an id need none of their own.
bool LeavesOut(const StreamPosition& position, std::uint64_t number) {
  const std::uint64_t last = *position.last_number;
  return number > last && number - last > position.events_since_id + 1;
}

EventPlace PlaceWithoutId(const StreamPosition& position,
                          const StreamRun& run) {
  if (IsBeforePosition(position, run)) return EventPlace::kRepeated;
  const bool lacks_id = position.has_passed_id && position.has_dense_ids;
  const bool may_be_anywhere = run.is_behind || (run.is_unplaced && lacks_id);
  return may_be_anywhere ? EventPlace::kUnplaced : EventPlace::kNext;
}

// Returns true if the step from the stream's last event to the run's next one
// is one endpoint's own.
bool IsOwnStep(const StreamRun& run) {
  return !run.is_unplaced || run.has_sent_last;
}

// What is known of the step that leaves a number out.
struct Gap {
  std::uint64_t number = 0;  // Id of the event behind it.
  IdRise rise = IdRise::kUnknown;
};

// Nothing shows yet how the ids of the stream or its service rise.
bool IsFirstStep(const StreamPosition& position, const Gap& gap) {
  return !position.has_steps && gap.rise == IdRise::kUnknown;
}

// Returns true if another endpoint has left the same number out. Where both
// were asked to go on there, both may be faulty at that place alone, so that it
// counts only if nothing else shows how ids rise.
bool IsSecondWord(const StreamPosition& position, const StreamRun& run,
                  const Gap& gap) {
  const auto& doubt = position.doubt;
  if (!doubt || run.source.empty() || doubt->source == run.source) return false;
  if (doubt->from != *position.last_number || doubt->to != gap.number)
    return false;
  return doubt->is_own ? IsOwnStep(run) : IsFirstStep(position, gap);
}

// Returns the place of the event behind the gap by what ids have shown so far.
EventPlace PlaceByRise(const StreamPosition& position, const StreamRun& run,
                       const Gap& gap) {
  const bool is_firm = gap.rise == IdRise::kFirmlyByOne;
  if (!run.is_unplaced)
    return is_firm ? EventPlace::kMissing : EventPlace::kNext;
  return IsFirstStep(position, gap) ? EventPlace::kNext : EventPlace::kGap;
}

// Returns true if an event may be missing, and another endpoint's word decides
// that: it has to be asked from the event before on if the step is the run's
// own. A stream without a step by one shows nothing.
bool IsWorthAsking(const StreamPosition& position, const StreamRun& run,
                   const Gap& gap) {
  if (run.source.empty()) return false;
  if (run.is_unplaced) return true;
  return position.previous_id && !IsFirstStep(position, gap);
}

// Returns the place of an event that leaves a number out: it is a missing
// event, unless ids may rise by more than one an event.
EventPlace PlaceAfterGap(StreamPosition& position, const StreamRun& run,
                         const Gap& gap,
                         const MayAskElsewhere& may_ask_elsewhere) {
  if (gap.rise == IdRise::kLeavesOut || IsSecondWord(position, run, gap))
    return EventPlace::kNext;
  EventPlace place = PlaceByRise(position, run, gap);
  if (place == EventPlace::kNext) {
    const bool asks = may_ask_elsewhere && IsWorthAsking(position, run, gap) &&
                      may_ask_elsewhere();
    if (!asks) return place;
    place = EventPlace::kInDoubt;
  }
  DoubtStep(position, run, gap.number);
  return place;
}

// Returns true if the run repeats the event before the last one, since it was
// asked for what follows that one.
bool RepeatsPrevious(const StreamPosition& position, std::string_view id) {
  return position.doubt && position.doubt->is_own && position.previous_id == id;
}

// What decides about an event beyond the position and the run.
struct Event {
  std::string_view id;
  std::optional<std::uint64_t> number;
  const AskForRise& ask_for_rise;
  const MayAskElsewhere& may_ask_elsewhere;
};

EventPlace PlaceNumber(StreamPosition& position, const StreamRun& run,
                       const Event& event) {
  const std::uint64_t number = *event.number;
  if (number == *position.last_number) return EventPlace::kRepeated;
  if (number < *position.last_number) {
    return run.is_unplaced && !RepeatsPrevious(position, event.id)
               ? EventPlace::kBehind
               : EventPlace::kRepeated;
  }
  if (!LeavesOut(position, number) || !position.has_consecutive_ids)
    return EventPlace::kNext;
  return PlaceAfterGap(position, run, {number, event.ask_for_rise()},
                       event.may_ask_elsewhere);
}

EventPlace FindPlace(StreamPosition& position, const StreamRun& run,
                     const Event& event) {
  const auto& [id, number, ask_for_rise, may_ask_elsewhere] = event;
  if (id.empty()) return PlaceWithoutId(position, run);
  if (position.last_id.empty()) return EventPlace::kNext;
  if (position.last_number && number) return PlaceNumber(position, run, event);
  if (id == position.last_id) return EventPlace::kRepeated;
  const bool is_comparable =
      position.last_number.has_value() == number.has_value();
  return run.is_unplaced && !is_comparable ? EventPlace::kUnplaced
                                           : EventPlace::kNext;
}

// A step over a seam shows nothing of one endpoint's ids.
std::optional<IdStep> FindStep(const StreamPosition& position,
                               const StreamRun& run,
                               const std::optional<std::uint64_t>& number) {
  if (!IsOwnStep(run) || !position.last_number || !number) return std::nullopt;
  if (*number <= *position.last_number) return std::nullopt;
  return LeavesOut(position, *number) ? IdStep::kLeavesOut : IdStep::kByOne;
}

void PassEvent(StreamPosition& position, std::string_view id,
               const std::optional<std::uint64_t>& number) {
  position.doubt.reset();
  if (id.empty()) {
    ++position.events_since_id;
    position.has_dense_ids = false;
    position.previous_id.reset();
    return;
  }
  if (!position.last_id.empty()) {
    const bool is_step = position.last_number && number;
    const bool leaves_none_out = is_step && !LeavesOut(position, *number);
    position.has_steps = position.has_steps || is_step;
    position.has_consecutive_ids =
        position.has_consecutive_ids && leaves_none_out;
  }
  position.previous_id.reset();
  if (position.has_dense_ids) position.previous_id = position.last_id;
  position.last_id = id;
  position.last_number = number;
  position.events_since_id = 0;
  position.has_passed_id = true;
}

}  // namespace

std::optional<std::uint64_t> ParseId(std::string_view id) {
  std::uint64_t number = 0;
  const char* end = id.data() + id.size();
  const auto [parsed, error] = std::from_chars(id.data(), end, number);
  if (error != std::errc() || parsed != end) return std::nullopt;
  return number;
}

bool IsBeforePosition(const StreamPosition& position, const StreamRun& run) {
  return run.is_unplaced && !run.has_sent_last &&
         IdToGoOnAfter(position) != position.last_id;
}

void DoubtStep(StreamPosition& position, const StreamRun& run,
               std::uint64_t number) {
  // What was in doubt before at a seam is replaced, but not what a run has
  // shown.
  if (position.doubt && position.doubt->is_own) return;
  position.doubt = {.from = *position.last_number,
                    .to = number,
                    .source = run.source,
                    .is_own = IsOwnStep(run) && !run.source.empty()};
}

bool IsShownElsewhere(const StreamPosition& position, const StreamRun& run,
                      std::uint64_t number) {
  return position.doubt && position.doubt->is_own &&
         IsSecondWord(position, run, {.number = number});
}

void PassOn(StreamPosition& position, StreamRun& run, std::string_view id) {
  PassEvent(position, id, ParseId(id));
  if (!id.empty())
    run = {.has_sent_last = true, .source = std::move(run.source)};
}

StreamPosition BeginStream(std::string_view last_event_id) {
  StreamPosition position;
  position.last_id = last_event_id;
  position.last_number = ParseId(last_event_id);
  return position;
}

bool CanClientAsk(const StreamPosition& position) {
  if (!position.last_number || *position.last_number == 0) return false;
  if (position.last_id != std::to_string(*position.last_number)) return false;
  return !position.previous_id ||
         position.previous_id == std::to_string(*position.last_number - 1);
}

void TakeUpInDoubt(StreamPosition& position, const StepInDoubt& doubt) {
  if (position.last_number != doubt.from || !CanClientAsk(position)) return;
  position.doubt = doubt;
  if (doubt.is_own) position.previous_id = std::to_string(doubt.from - 1);
}

bool PutEndInDoubt(StreamPosition& position, const std::string& source,
                   IdRise rise) {
  if (!position.last_number || position.doubt || source.empty()) return false;
  const bool is_previous_known =
      position.previous_id && !position.previous_id->empty();
  if (!is_previous_known) {
    const bool is_first = *position.last_number <= 1;
    if (is_first || !RisesByOne(rise) || position.previous_id) return false;
    position.previous_id = std::to_string(*position.last_number - 1);
  }
  position.doubt = {.from = *position.last_number,
                    .to = kEndOfStream,
                    .source = source,
                    .is_own = true};
  return true;
}

bool IsEndRefuted(const StreamPosition& position,
                  const std::optional<StreamRun>& run) {
  if (!position.doubt) return false;
  const bool shows_end =
      position.doubt->to == kEndOfStream && run && run->has_sent_last;
  return !shows_end;
}

bool CanGoOn(const StreamPosition& position) {
  return !position.last_id.empty() && position.events_since_id == 0;
}

const std::string& IdToGoOnAfter(const StreamPosition& position) {
  const bool is_own_step_in_doubt = position.doubt && position.doubt->is_own;
  return is_own_step_in_doubt && position.previous_id ? *position.previous_id
                                                      : position.last_id;
}

StreamRun BeginRun(const StreamPosition& position, std::string source) {
  StreamRun run;
  run.source = std::move(source);
  run.is_unplaced = !position.last_id.empty();
  return run;
}

const char* NameOf(EventPlace place) {
  switch (place) {
    case EventPlace::kNext:
      return "next";
    case EventPlace::kRepeated:
      return "repeated";
    case EventPlace::kBehind:
      return "behind";
    case EventPlace::kGap:
      return "gap";
    case EventPlace::kMissing:
      return "missing";
    case EventPlace::kInDoubt:
      return "in-doubt";
    case EventPlace::kUnplaced:
      return "unplaced";
    case EventPlace::kUnreadable:
      return "unreadable";
    case EventPlace::kHeld:
      return "held";
    case EventPlace::kOtherVersion:
      return "other-version";
    case EventPlace::kOtherWeights:
      return "other-weights";
  }
  return "unknown";
}

bool EndsRun(EventPlace place) {
  return place != EventPlace::kNext && place != EventPlace::kRepeated &&
         place != EventPlace::kHeld;
}

bool MayJoinVersions(SoftwareVersion stream, SoftwareVersion run,
                     bool several) {
  const bool are_known = stream != kUnknownVersion && run != kUnknownVersion;
  return are_known ? stream == run : !several;
}

PlacedEvent PlaceEvent(StreamPosition& position, StreamRun& run,
                       const AskForRise& ask_for_rise, std::string_view id,
                       const MayAskElsewhere& may_ask_elsewhere) {
  const auto number = ParseId(id);
  const EventPlace place =
      FindPlace(position, run, {id, number, ask_for_rise, may_ask_elsewhere});
  const auto step = FindStep(position, run, number);
  if (place == EventPlace::kRepeated) {
    run.is_behind = !CanGoOn(position) || id != position.last_id;
    run.has_sent_last = !run.is_behind;
    if (++run.repeated > kMaxRepeatedEvents)
      return {EventPlace::kUnplaced, std::nullopt};
  }
  if (place != EventPlace::kNext) return {place, step};
  PassOn(position, run, id);
  return {place, step};
}

}  // namespace egretladder::routing
