#include "egretladder/routing/suspect_evidence.h"

#include <algorithm>

namespace egretladder::routing {
namespace {

using namespace std::chrono_literals;

std::size_t CountRequests(const Suspect& suspect) {
  std::vector<std::uint32_t> requests;
  for (const Break& known : suspect.breaks) {
    if (std::find(requests.begin(), requests.end(), known.request) ==
        requests.end())
      requests.push_back(known.request);
  }
  return requests.size();
}

// Returns true if the suspect was there at enough of the crashes since its
// first one.
bool WasAtEnoughCrashes(const Suspects& suspects, const Suspect& suspect) {
  const Time since = suspect.breaks.front().broke;
  const auto crashes = std::count_if(
      suspects.crashes.begin(), suspects.crashes.end(),
      [since](const Break& crash) { return crash.broke >= since; });
  return suspect.crashes * kMaxCrashesPerProvenCrash >=
         static_cast<std::size_t>(crashes);
}

// Returns true if the crashes of a suspect that succeeded not long before them
// are more than endpoints that end for another cause explain. Attempts that run
// where an endpoint ends meet its end by chance, but of one that is sound
// others succeed meanwhile.
bool CrashesDespiteSuccess(const Suspects& suspects, const Suspect& suspect) {
  const auto& breaks = suspect.breaks;
  return breaks.size() >= kMaxCrashesDespiteSuccess &&
         breaks.back().broke - breaks.front().broke >= kMinProvenCrashTime &&
         WasAtEnoughCrashes(suspects, suspect);
}

bool RequestCrashesEndpoints(const Suspects& suspects, const Suspect& suspect) {
  const std::size_t in_turn = CountCrashesInTurn(suspect);
  if (SucceededOfLate(suspect))
    return in_turn > 1 && CrashesDespiteSuccess(suspects, suspect);
  if (in_turn >= kMaxCrashes) return true;
  return in_turn > 1 && suspect.breaks.size() >= kMaxCrashesOfCopies;
}

// Requests with the part run side by side everywhere, so that the order of
// their crashes says nothing.
bool PartCrashesEndpoints(const Suspects& suspects, const Suspect& suspect) {
  const auto& breaks = suspect.breaks;
  if (CountRequests(suspect) < kMinRequestsOfPart) return false;
  if (breaks.size() < kMaxCrashes) return false;
  if (HasSucceeded(suspect)) return CrashesDespiteSuccess(suspects, suspect);
  // Endpoints that lose power together break all at once.
  return breaks.back().broke - breaks.front().broke >= kMinCrashGap;
}

}  // namespace

bool HasSucceeded(const Suspect& suspect) { return suspect.cleared != Time{}; }

bool IsSameCrash(const Break& left, const Break& right) {
  return left.endpoint == right.endpoint &&
         left.sent < right.broke + kSameBreakWindow &&
         right.sent < left.broke + kSameBreakWindow;
}

std::size_t CountCrashesInTurn(const Suspect& suspect) {
  std::size_t crashes = 0;
  Break last;
  for (const Break& known : suspect.breaks) {
    const bool is_order_known = known.seen_here && last.seen_here;
    const Time earliest = last.broke + (is_order_known ? 0ms : kMinCrashGap);
    if (crashes > 0 && (known.sent < last.broke || known.broke < earliest))
      continue;
    ++crashes;
    last = known;
  }
  return crashes;
}

bool SucceededBefore(const Suspect& suspect, Time crash) {
  return suspect.cleared != Time{} &&
         crash - suspect.cleared < kSuspectRetention;
}

bool SucceededOfLate(const Suspect& suspect) {
  const Time last =
      suspect.breaks.empty() ? suspect.held_since : suspect.breaks.back().broke;
  return SucceededBefore(suspect, last);
}

bool NeedsMoreCrashes(std::uint64_t key, const Suspect& suspect) {
  return KindOf(key) == SuspectKind::kPart ? HasSucceeded(suspect)
                                           : SucceededOfLate(suspect);
}

bool CrashesEndpoints(const Suspects& suspects, std::uint64_t key,
                      const Suspect& suspect) {
  return KindOf(key) == SuspectKind::kPart
             ? PartCrashesEndpoints(suspects, suspect)
             : RequestCrashesEndpoints(suspects, suspect);
}

}  // namespace egretladder::routing
