// The check of a stream's events before they are passed on: every event that a
// caller gets has been through it, whoever made it.
#include <algorithm>
#include <string>
#include <utility>

#include "attempts_p.h"
#include "handover_fields_p.h"

namespace egretladder::proxy {
namespace {

using routing::AttemptOutcome;
using routing::EventPlace;

std::string Describe(routing::Weights weights) {
  return weights ? std::to_string(*weights) : "-";
}

// Counts the event, and logs the attempt's first one that isn't passed on.
void RecordMisorder(Proxy& proxy, Call& call, EventPlace place,
                    std::string_view id) {
  IncrementCounter(proxy, "egretladder_events_withheld_total",
                   "Events that don't follow those that the caller has, by "
                   "their place among them.",
                   std::string("place=\"") + routing::NameOf(place) + "\"");
  Attempt& attempt = *call.attempt;
  const bool is_decided = place != EventPlace::kHeld;
  if (attempt.is_misorder_logged || !is_decided) return;
  attempt.is_misorder_logged = true;
  kernel::LogEvent(kernel::LogPart::kRoute, kernel::LogLevel::kWarning,
                   "event-withheld",
                   {{"req", call.metadata.id},
                    {"from", NameOfSource(attempt)},
                    {"place", routing::NameOf(place)},
                    {"event", id},
                    {"after_event", call.position.last_id},
                    {"events_since", call.position.events_since_id},
                    {"stream_version", FormatVersion(call.version)},
                    {"version", FormatVersion(attempt.version)},
                    {"stream_weights", Describe(call.weights)},
                    {"weights", Describe(attempt.weights)}});
}

// Counts the runs that go on with a stream, and how that went.
void CountSeam(Proxy& proxy, EventPlace place) {
  IncrementCounter(proxy, "egretladder_stream_seams_total",
                   "Answers that go on with streams which others began, by the "
                   "place of their first event.",
                   std::string("place=\"") + routing::NameOf(place) + "\"");
}

// The caller is told of other weights by the event itself, or they are those of
// the event before. One that states a change may be left out as repeated.
bool FitsWeights(const Call& call, const net::SplitEvent& event) {
  return !event.mark.empty() ||
         routing::MayFollow(call.weights, call.attempt->weights);
}

bool CanGoOnElsewhere(const Call& call) {
  return call.route->resumable && routing::CanGoOn(call.position);
}

// Returns true if the call has another attempt. A retry is reserved for that.
bool HasAttemptLeft(Proxy& proxy, Call& call) {
  return call.may_have_run + 1 < call.max_attempts &&
         NowOf(proxy) < call.deadline && TryReserveRetry(proxy, call);
}

// Returns true if an endpoint beside the attempt's serves the stream's version
// and weights.
bool HasOtherEndpoint(const Proxy& proxy, const Call& call) {
  const auto at = proxy.endpoints.by_service.find(call.service->name);
  if (at == proxy.endpoints.by_service.end()) return false;
  return std::any_of(at->second.begin(), at->second.end(),
                     [&call](const routing::EndpointPtr& endpoint) {
                       return endpoint != call.attempt->endpoint &&
                              (call.version == routing::kUnknownVersion ||
                               endpoint->version == call.version) &&
                              routing::MayFollow(call.weights,
                                                 endpoint->weights);
                     });
}

// A peer may go on at another endpoint within its answer.
std::string SourceOfRun(const Attempt& attempt) {
  return attempt.peer.empty() ? attempt.endpoint->entry.id : "";
}

// Returns true if the client asks another endpoint when it takes the stream up.
// If it has done so, and the same endpoint goes on again, no other can.
bool MayClientAsk(const Proxy& proxy, const Call& call) {
  const auto& doubt = call.position.doubt;
  const bool was_asked = doubt && doubt->source == SourceOfRun(*call.attempt);
  return !was_asked && routing::CanClientAsk(call.position) &&
         HasOtherEndpoint(proxy, call);
}

routing::EventJudges JudgesOf(Proxy& proxy, Call& call) {
  return {.ask_for_rise = [&proxy, &call] { return RiseOfIds(proxy, call); },
          .ask_for_habit =
              [&proxy, &call](routing::OddKind kind) {
                return routing::JudgeHabit(proxy.endpoints, call.service->name,
                                           VersionOfRun(call), kind);
              },
          .may_ask_elsewhere = [&proxy,
                                &call] { return MayAskElsewhere(proxy, call); },
          .may_be_taken_up = call.route->resumable};
}

// Records what the event says of the process that sent it.
void RecordEvent(Proxy& proxy, Call& call, const net::SplitEvent& event,
                 const routing::FormedEvent& formed) {
  if (formed.placed.step) RecordIdStep(proxy, call, *formed.placed.step);
  // A peer may have gone on at another endpoint within its answer.
  if (!call.attempt->peer.empty()) return;
  routing::OddShares& shares = call.attempt->endpoint->odd_events;
  routing::CountOdd(shares, routing::OddKind::kUnreadable, !event.is_readable);
  if (formed.counts_others) {
    routing::CountOdd(shares, routing::OddKind::kCountsOthers,
                      *formed.counts_others);
  }
}

EventPlace PlaceInRun(Proxy& proxy, Call& call, const net::SplitEvent& event) {
  if (!FitsWeights(call, event)) return EventPlace::kOtherWeights;
  Attempt& attempt = *call.attempt;
  const routing::FormedEvent formed = routing::PlaceFormedEvent(
      call.position, *attempt.run, call.forms, attempt.held,
      {.id = event.id,
       .fields = event.fields,
       .is_readable = event.is_readable,
       .has_mark = !event.mark.empty()},
      JudgesOf(proxy, call));
  RecordEvent(proxy, call, event, formed);
  return formed.placed.place;
}

// The endpoint's weights have changed before the event.
void ApplyMark(Proxy& proxy, Attempt& attempt, const std::string& mark) {
  attempt.weights = proxy.dialect->read_weights(mark);
  if (attempt.peer.empty())
    routing::SetWeights(proxy.endpoints, *attempt.endpoint, attempt.weights);
}

// Returns the place of the next event, which begins the attempt's run if no
// other has.
EventPlace PlaceNext(Proxy& proxy, Call& call, const net::SplitEvent& event) {
  Attempt& attempt = *call.attempt;
  if (!event.mark.empty()) ApplyMark(proxy, attempt, event.mark);
  if (attempt.run) return PlaceInRun(proxy, call, event);
  attempt.run = routing::BeginRun(call.position, SourceOfRun(attempt));
  const bool goes_on = attempt.run->is_unplaced;
  const EventPlace place = FitsStream(proxy, call)
                               ? PlaceInRun(proxy, call, event)
                               : EventPlace::kOtherVersion;
  if (goes_on) CountSeam(proxy, place);
  return place;
}

// The caller gets an event that the attempt's weights have made.
void PassWeights(Proxy& proxy, Call& call) {
  const routing::Weights& weights = call.attempt->weights;
  if (!weights || call.weights == weights) return;
  call.weights = weights;
  OnWeightsChanged(proxy, call);
}

AttemptOutcome OutcomeOf(EventPlace place) {
  const bool is_missing =
      place == EventPlace::kMissing || place == EventPlace::kUnreadable;
  return is_missing ? AttemptOutcome::kIncomplete : AttemptOutcome::kUnjoined;
}

}  // namespace

bool MayAskNow(Proxy& proxy, Call& call) {
  return CanGoOnElsewhere(call) && HasAttemptLeft(proxy, call);
}

bool MayAskElsewhere(Proxy& proxy, Call& call) {
  if (!CanGoOnElsewhere(call)) return false;
  return HasAttemptLeft(proxy, call) || MayClientAsk(proxy, call);
}

std::string NameOfSource(const Attempt& attempt) {
  return attempt.peer.empty() ? attempt.endpoint->entry.id : attempt.peer;
}

CheckedEvents CheckEvents(Proxy& proxy, Call& call, std::string_view bytes) {
  CheckedEvents checked;
  std::size_t begin = 0;
  const auto events = std::exchange(call.attempt->splitter.last_events, {});
  for (const net::SplitEvent& event : events) {
    const std::size_t held = call.attempt->held.size();
    const EventPlace place = PlaceNext(proxy, call, event);
    const std::string_view own_bytes = bytes.substr(begin, event.end - begin);
    if (place == EventPlace::kNext) {
      OnMoreFollows(proxy, call);
      // Who was asked in vain before may answer by now.
      call.unidentified_endpoints.clear();
      PassWeights(proxy, call);
      checked.bytes += std::exchange(call.attempt->held_bytes, {});
      checked.bytes += own_bytes;
      checked.count += held + 1;
    } else {
      RecordMisorder(proxy, call, place, event.id);
    }
    if (place == EventPlace::kHeld) {
      call.attempt->held_bytes += own_bytes;
      checked.has_held = true;
    }
    if (routing::EndsRun(place)) {
      if (place != EventPlace::kBehind) DistrustEnd(call);
      checked.end = OutcomeOf(place);
      return checked;
    }
    begin = event.end;
  }
  // Comments between events.
  const bool has_begun = call.caller->begun() || checked.count > 0;
  if (has_begun) checked.bytes += bytes.substr(begin);
  return checked;
}

CheckedEvents CheckEnd(Proxy& proxy, Call& call) {
  CheckedEvents checked;
  Attempt& attempt = *call.attempt;
  if (!attempt.run) return checked;
  if (attempt.peer.empty()) {
    routing::CountOdd(attempt.endpoint->odd_events,
                      routing::OddKind::kEndsOddly,
                      routing::EndsOddly(call.position, attempt.held));
  }
  checked.count = attempt.held.size();
  const EventPlace place =
      routing::PlaceEnd(call.position, *attempt.run, call.forms, attempt.held,
                        JudgesOf(proxy, call));
  if (place == EventPlace::kNext) {
    checked.bytes = std::exchange(attempt.held_bytes, {});
    return checked;
  }
  RecordMisorder(proxy, call, place, "");
  checked.end = OutcomeOf(place);
  return checked;
}

}  // namespace egretladder::proxy
