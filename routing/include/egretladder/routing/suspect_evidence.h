// What the crashes of a suspect prove.
//
// Of a whole request, crashes in turn count, those of attempts that were sent
// after the crash before: endpoints that lose power together break copies of a
// harmless request side by side. Requests with one part run side by side
// everywhere, so that of a part the number of crashes counts, and how many
// different requests met them.
//
// A request or part that many callers send is there at most crashes, whatever
// caused them. What succeeded not long before is therefore believed to be sound
// until it met more crashes, for so long that it would have succeeded again.
#pragma once

#include <cstddef>
#include <cstdint>

#include "egretladder/routing/suspects.h"

namespace egretladder::routing {

/// Returns true if the suspect is known to have succeeded.
bool HasSucceeded(const Suspect& suspect);
/// Returns true if the request succeeded not long before that crash.
bool SucceededBefore(const Suspect& suspect, Time crash);
/// Returns true if the request succeeded not long before its last crash. Then
/// it is popular, and copies of it that break side by side say little.
bool SucceededOfLate(const Suspect& suspect);
/// Returns true if what is known to have succeeded is held back only after
/// `kMaxCrashesDespiteSuccess`.
bool NeedsMoreCrashes(std::uint64_t key, const Suspect& suspect);
/// Returns true if both connections broke by one crash. An endpoint's process
/// crashes once: attempts that overlap at one endpoint broke by the same crash.
/// One that was sent later met a new process, also if this node hadn't heard of
/// it. Times from peers are late by their way.
bool IsSameCrash(const Break& left, const Break& right);
/// Returns the number of crashes of attempts that were sent after the crash
/// before. The order of crashes that are less than `kMinCrashGap` apart is
/// known only if this node saw both.
std::size_t CountCrashesInTurn(const Suspect& suspect);
/// Returns true if the suspect crashes endpoints, as far as its crashes prove.
bool CrashesEndpoints(const Suspects& suspects, std::uint64_t key,
                      const Suspect& suspect);

}  // namespace egretladder::routing
