#include "egretladder/routing/stream_ends.h"

#include <algorithm>

namespace egretladder::routing {
namespace {

std::uint32_t CountEnds(const StreamEnds& ends) {
  return ends.framed + ends.bare;
}

// A process that has shown its own habit is judged by that.
bool IsBareEndRare(const BareEnd& end) {
  const bool has_own_habit = CountEnds(end.endpoint) >= kMinCountedEnds;
  const StreamEnds& ends = has_own_habit ? end.endpoint : end.service;
  return CountEnds(ends) >= kMinCountedEnds &&
         ends.bare * kRareBareEnds <= CountEnds(ends);
}

bool HasCutLately(const StreamEnds& service) { return service.cutting > 0; }

// Where nobody was found to cut, endpoints vouch for each other.
bool IsConfirmed(const BareEnd& end) {
  if (!HasCutLately(end.service) && end.service.confirmed == kMaxConfirmedEnds)
    return true;
  return end.endpoint.confirmed >= kMinConfirmedEnds &&
         end.endpoint.surprises == end.service.surprises;
}

bool MayBeCut(const BareEnd& end) {
  return end.endpoint.cuts || (end.service.cuts && !IsConfirmed(end));
}

void Confirm(StreamEnds& ends) {
  ends.confirmed = std::min(ends.confirmed + 1, kMaxConfirmedEnds);
  if (ends.confirmed < kMaxConfirmedEnds) return;
  ends.cuts = false;
  ends.cutting = 0;
}

EndVerdict JudgeEmptyRun(const BareEnd& end) {
  if (end.is_second)
    return MayBeCut(end) ? EndVerdict::kUnknown : EndVerdict::kWhole;
  if (end.endpoint.cuts) return EndVerdict::kDoubted;
  return HasCutLately(end.service) || IsBareEndRare(end) ? EndVerdict::kUnknown
                                                         : EndVerdict::kWhole;
}

}  // namespace

void OnStreamFraming(StreamEnds& ends, bool is_framed) {
  ++(is_framed ? ends.framed : ends.bare);
  if (CountEnds(ends) < kMaxCountedEnds) return;
  ends.framed /= 2;
  ends.bare /= 2;
}

void OnEndConfirmed(StreamEnds& endpoint, StreamEnds& service) {
  if (!endpoint.cuts && endpoint.surprises != service.surprises)
    endpoint.confirmed = 0;
  endpoint.surprises = service.surprises;
  Confirm(endpoint);
  Confirm(service);
}

void OnCutFound(StreamEnds& endpoint, StreamEnds& service) {
  if (!endpoint.cuts) {
    ++service.surprises;
    ++service.cutting;
  }
  endpoint.confirmed = 0;
  endpoint.cuts = true;
  service.confirmed = 0;
  service.cuts = service.cutting >= kCuttingToDoubtOthers;
}

const char* NameOf(EndVerdict verdict) {
  switch (verdict) {
    case EndVerdict::kWhole:
      return "whole";
    case EndVerdict::kSample:
      return "sample";
    case EndVerdict::kUnknown:
      return "unknown";
    case EndVerdict::kDoubted:
      return "doubted";
  }
  return "unknown";
}

EndVerdict JudgeBareEnd(const BareEnd& end) {
  if (end.is_empty) return JudgeEmptyRun(end);
  if (!end.can_be_asked_for)
    return end.endpoint.cuts ? EndVerdict::kDoubted : EndVerdict::kWhole;
  if (MayBeCut(end)) return EndVerdict::kDoubted;
  if (IsBareEndRare(end)) return EndVerdict::kDoubted;
  return IsConfirmed(end) && !HasCutLately(end.service) ? EndVerdict::kSample
                                                        : EndVerdict::kUnknown;
}

}  // namespace egretladder::routing
