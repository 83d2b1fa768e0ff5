#include "egretladder/routing/event_order.h"

#include <charconv>

namespace egretladder::routing {
namespace {

// Returns nothing for ids that are no decimal numbers of 64 bits. Such ids
// can't be compared.
std::optional<std::uint64_t> ParseId(std::string_view id) {
  std::uint64_t number = 0;
  const char* end = id.data() + id.size();
  const auto [parsed, error] = std::from_chars(id.data(), end, number);
  if (error != std::errc() || parsed != end) return std::nullopt;
  return number;
}

// Returns true if a number is left out between the position's last number and
// the id of an event behind it. Events without an id need none of their own.
bool LeavesOut(const StreamPosition& position, std::uint64_t number) {
  const std::uint64_t last = *position.last_number;
  return number > last && number - last > position.events_since_id + 1;
}

EventPlace PlaceWithoutId(const StreamPosition& position,
                          const StreamRun& run) {
  const bool lacks_id = position.has_passed_id && position.has_dense_ids;
  const bool may_be_anywhere = run.is_behind || (run.is_unplaced && lacks_id);
  return may_be_anywhere ? EventPlace::kUnplaced : EventPlace::kNext;
}

// Returns the place of an event that leaves a number out: it is a missing
// event, unless ids may rise by more than one an event.
EventPlace PlaceAfterGap(const StreamPosition& position, const StreamRun& run,
                         const AskForRise& ask_for_rise) {
  if (!position.has_consecutive_ids) return EventPlace::kNext;
  const IdRise rise = ask_for_rise();
  if (rise == IdRise::kLeavesOut) return EventPlace::kNext;
  const bool is_firm = rise == IdRise::kFirmlyByOne;
  if (!run.is_unplaced)
    return is_firm ? EventPlace::kMissing : EventPlace::kNext;
  const bool shows_gaps = position.has_steps || rise != IdRise::kUnknown;
  return shows_gaps ? EventPlace::kGap : EventPlace::kNext;
}

EventPlace PlaceNumber(const StreamPosition& position, const StreamRun& run,
                       const AskForRise& ask_for_rise, std::uint64_t number) {
  if (number == *position.last_number) return EventPlace::kRepeated;
  if (number < *position.last_number)
    return run.is_unplaced ? EventPlace::kBehind : EventPlace::kRepeated;
  return LeavesOut(position, number)
             ? PlaceAfterGap(position, run, ask_for_rise)
             : EventPlace::kNext;
}

EventPlace FindPlace(const StreamPosition& position, const StreamRun& run,
                     const AskForRise& ask_for_rise, std::string_view id,
                     const std::optional<std::uint64_t>& number) {
  if (id.empty()) return PlaceWithoutId(position, run);
  if (position.last_id.empty()) return EventPlace::kNext;
  if (position.last_number && number)
    return PlaceNumber(position, run, ask_for_rise, *number);
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
  if (run.is_unplaced || !position.last_number || !number) return std::nullopt;
  if (*number <= *position.last_number) return std::nullopt;
  return LeavesOut(position, *number) ? IdStep::kLeavesOut : IdStep::kByOne;
}

void PassEvent(StreamPosition& position, std::string_view id,
               const std::optional<std::uint64_t>& number) {
  if (id.empty()) {
    ++position.events_since_id;
    position.has_dense_ids = false;
    return;
  }
  if (!position.last_id.empty()) {
    const bool is_step = position.last_number && number;
    const bool leaves_none_out = is_step && !LeavesOut(position, *number);
    position.has_steps = position.has_steps || is_step;
    position.has_consecutive_ids =
        position.has_consecutive_ids && leaves_none_out;
  }
  position.last_id = id;
  position.last_number = number;
  position.events_since_id = 0;
  position.has_passed_id = true;
}

}  // namespace

StreamPosition BeginStream(std::string_view last_event_id) {
  StreamPosition position;
  position.last_id = last_event_id;
  position.last_number = ParseId(last_event_id);
  return position;
}

bool CanGoOn(const StreamPosition& position) {
  return !position.last_id.empty() && position.events_since_id == 0;
}

StreamRun BeginRun(const StreamPosition& position) {
  StreamRun run;
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
    case EventPlace::kUnplaced:
      return "unplaced";
    case EventPlace::kOtherVersion:
      return "other-version";
    case EventPlace::kOtherWeights:
      return "other-weights";
  }
  return "unknown";
}

bool EndsRun(EventPlace place) {
  return place != EventPlace::kNext && place != EventPlace::kRepeated;
}

bool MayJoinVersions(SoftwareVersion stream, SoftwareVersion run,
                     bool several) {
  const bool are_known = stream != kUnknownVersion && run != kUnknownVersion;
  return are_known ? stream == run : !several;
}

PlacedEvent PlaceEvent(StreamPosition& position, StreamRun& run,
                       const AskForRise& ask_for_rise, std::string_view id) {
  const auto number = ParseId(id);
  const EventPlace place = FindPlace(position, run, ask_for_rise, id, number);
  const auto step = FindStep(position, run, number);
  if (place == EventPlace::kRepeated) {
    run.is_behind = !CanGoOn(position) || id != position.last_id;
    if (++run.repeated > kMaxRepeatedEvents)
      return {EventPlace::kUnplaced, std::nullopt};
  }
  if (place != EventPlace::kNext) return {place, step};
  PassEvent(position, id, number);
  if (!id.empty()) run = {};
  return {place, step};
}

}  // namespace egretladder::routing
