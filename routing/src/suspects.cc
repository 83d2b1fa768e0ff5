#include "egretladder/routing/suspects.h"

#include <algorithm>

#include "egretladder/kernel/hash.h"
#include "egretladder/routing/suspect_evidence.h"

namespace egretladder::routing {
namespace {

using namespace std::chrono_literals;

using SuspectEntry = decltype(Suspects::by_key)::value_type;

milliseconds Age(Time time, Time now) {
  return std::chrono::duration_cast<milliseconds>(now - time);
}

constexpr std::uint64_t kPartBit = std::uint64_t{1} << 63U;

// Returns true if the suspect may be sound although it is held back: it is
// probed soon, and more rarely after each probe that fails.
bool IsProbedSoon(std::uint64_t key, bool held_despite_success) {
  return KindOf(key) == SuspectKind::kPart || held_despite_success;
}

milliseconds HoldTimeAfter(std::uint32_t failed_probes) {
  milliseconds time = kPartHoldTime;
  for (std::uint32_t i = 0; i < std::min(failed_probes, kMaxPartHoldSteps); ++i)
    time *= kPartHoldFactor;
  return time;
}

// Returns how long the suspect is held back after `held_since`.
milliseconds HoldTimeOf(std::uint64_t key, const Suspect& suspect) {
  return IsProbedSoon(key, suspect.held_despite_success)
             ? HoldTimeAfter(suspect.failed_probes)
             : kSuspectHoldTime;
}

Time LastChange(const Suspect& suspect) {
  Time latest =
      std::max({suspect.cleared, suspect.held_since, suspect.released});
  for (const Break& known_break : suspect.breaks) {
    latest = std::max(latest, known_break.broke);
  }
  return latest;
}

bool IsHeld(const Suspect& suspect) { return suspect.held_since != Time{}; }

// Returns how much the suspect matters to peers: first what is held back, then
// what has crashed most endpoints, what never succeeded before what did. That
// one is harmless matters more than a single crash.
std::size_t RankOf(const Suspect& suspect) {
  if (IsHeld(suspect)) return 2 * (kMaxBreaksPerSuspect + 1);
  if (suspect.breaks.empty()) return 4;
  return 2 * suspect.breaks.size() + (HasSucceeded(suspect) ? 0 : 1);
}

bool MattersMore(const Suspect& left, const Suspect& right) {
  const std::size_t left_rank = RankOf(left);
  const std::size_t right_rank = RankOf(right);
  if (left_rank != right_rank) return left_rank > right_rank;
  return LastChange(left) > LastChange(right);
}

void EvictLeastIfFull(Suspects& suspects) {
  if (suspects.by_key.size() < kMaxSuspects) return;
  suspects.by_key.erase(
      std::max_element(suspects.by_key.begin(), suspects.by_key.end(),
                       [](const auto& left, const auto& right) {
                         return MattersMore(left.second, right.second);
                       }));
}

Suspect& FindOrAddSuspect(Suspects& suspects, std::uint64_t key) {
  const auto at = suspects.by_key.find(key);
  if (at != suspects.by_key.end()) return at->second;
  EvictLeastIfFull(suspects);
  Suspect& suspect = suspects.by_key[key];
  if (const Time* success = Find(suspects.successes, key))
    suspect.cleared = *success;
  return suspect;
}

// Times from peers are late by their way, so that a crash may seem to come
// right after the success that excuses it.
bool IsExcused(const Suspect& suspect, Time broke) {
  return broke <= suspect.cleared + kSameBreakWindow;
}

// Drops some crashes, and all that aren't listed if none of these is left.
// Returns how many were listed.
template <typename Predicate>
std::size_t DropBreaks(Suspect& suspect, Predicate predicate) {
  const std::size_t dropped = std::erase_if(suspect.breaks, predicate);
  suspect.crashes = suspect.breaks.empty() ? 0 : suspect.crashes - dropped;
  return dropped;
}

// Records a broken connection. Returns true if its crash wasn't known.
bool MergeBreak(Suspect& suspect, const Break& added) {
  if (IsExcused(suspect, added.broke)) return false;
  auto& breaks = suspect.breaks;
  const bool is_known = std::any_of(
      breaks.begin(), breaks.end(),
      [&added](const Break& known) { return IsSameCrash(known, added); });
  if (is_known) return false;
  const auto at = std::upper_bound(breaks.begin(), breaks.end(), added,
                                   [](const Break& left, const Break& right) {
                                     return left.broke < right.broke;
                                   });
  breaks.insert(at, added);
  ++suspect.crashes;
  // The first one is kept, since crashes in turn are counted from it on.
  if (breaks.size() > kMaxBreaksPerSuspect) breaks.erase(breaks.begin() + 1);
  return true;
}

// Holds the suspect back once it has crashed enough endpoints. From then on
// each further crash prolongs the hold.
void UpdateHold(const Suspects& suspects, std::uint64_t key, Suspect& suspect) {
  if (suspect.breaks.empty()) return;
  if (!IsHeld(suspect) && !CrashesEndpoints(suspects, key, suspect)) return;
  if (!IsHeld(suspect))
    suspect.held_despite_success = NeedsMoreCrashes(key, suspect);
  suspect.held_since =
      std::max(suspect.held_since, suspect.breaks.back().broke);
}

void Clear(Suspect& suspect, Time cleared) {
  suspect.cleared = std::max(suspect.cleared, cleared);
  DropBreaks(suspect, [&suspect](const Break& known) {
    return IsExcused(suspect, known.broke);
  });
  if (!IsExcused(suspect, suspect.held_since)) return;
  suspect.held_since = {};
  suspect.failed_probes = 0;
}

// Returns true if a crash may say nothing of the suspect, since `explaining` is
// held back and was there too. A part that never succeeded may be a second one
// that crashes endpoints.
bool IsExcusedBy(std::uint64_t explaining, std::uint64_t key,
                 const Suspect& suspect) {
  if (key == explaining) return false;
  if (KindOf(key) == SuspectKind::kPart) return HasSucceeded(suspect);
  return KindOf(explaining) == SuspectKind::kPart;
}

// Forgets a crash that `explaining` explains, and a hold that rested on it.
void ExplainCrash(Suspects& suspects, std::uint64_t explaining,
                  const Break& crash) {
  for (auto& [key, suspect] : suspects.by_key) {
    if (!IsExcusedBy(explaining, key, suspect)) continue;
    const std::size_t forgotten = DropBreaks(
        suspect,
        [&crash](const Break& known) { return IsSameCrash(known, crash); });
    if (forgotten == 0 || !IsHeld(suspect) ||
        CrashesEndpoints(suspects, key, suspect))
      continue;
    Clear(suspect, suspect.held_since);
    suspect.changed = crash.broke;
  }
}

bool IsExplained(const Suspects& suspects, std::uint64_t key,
                 const Suspect& suspect, const Break& added) {
  // Whole requests are compared with parts only.
  return IsExcusedBy(kPartBit, key, suspect) &&
         std::any_of(suspects.explained.begin(), suspects.explained.end(),
                     [&added](const Break& crash) {
                       return IsSameCrash(crash, added);
                     });
}

// Records that a held part was there at all its crashes.
void ExplainCrashes(Suspects& suspects, std::uint64_t key) {
  const std::vector<Break> crashes = suspects.by_key.at(key).breaks;
  for (const Break& crash : crashes) {
    const bool is_known = std::any_of(
        suspects.explained.begin(), suspects.explained.end(),
        [&crash](const Break& known) { return IsSameCrash(known, crash); });
    if (is_known) continue;
    suspects.explained.push_back(crash);
    if (suspects.explained.size() > kMaxExplainedCrashes)
      suspects.explained.pop_front();
    ExplainCrash(suspects, key, crash);
  }
}

void RecordCrash(Suspects& suspects, const Break& added) {
  const bool is_known = std::any_of(
      suspects.crashes.begin(), suspects.crashes.end(),
      [&added](const Break& crash) { return IsSameCrash(crash, added); });
  if (is_known) return;
  suspects.crashes.push_back(added);
  if (suspects.crashes.size() > kMaxRecentCrashes) suspects.crashes.pop_front();
}

bool HasLivedOnAfter(const Suspects& suspects, const Break& known) {
  return HasLivedOn(suspects.living, known.endpoint, known.broke,
                    known.seen_here);
}

// Returns true if a hold with that last crash was to end. Times from peers are
// late by their way.
bool IsReleased(const Suspect& suspect, Time held_since) {
  return suspect.released != Time{} &&
         held_since <= suspect.released + kSameBreakWindow;
}

bool IsProven(const Suspects& suspects, std::uint64_t key,
              const Suspect& suspect) {
  return !suspect.breaks.empty() && CrashesEndpoints(suspects, key, suspect);
}

// Ends a hold that was to end, unless this node knows crashes that prove it.
void ReleaseIfUnproven(const Suspects& suspects, std::uint64_t key,
                       Suspect& suspect) {
  if (!IsHeld(suspect) || !IsReleased(suspect, suspect.held_since)) return;
  if (IsProven(suspects, key, suspect)) return;
  suspect.held_since = {};
  suspect.held_despite_success = false;
  suspect.failed_probes = 0;
}

// A process may be about to end: then what broke there counts again.
void KeepExcused(Suspects& suspects, std::uint64_t key, const Break& excused,
                 Time now) {
  const bool may_count_again = excused.seen_here && !excused.was_unclear &&
                               now - excused.broke <= kMaxLateCrash;
  if (!may_count_again) return;
  OnUnclearEnd(suspects, {key, excused.endpoint, excused.sent, excused.broke,
                          excused.request});
}

// Forgets the crashes of the suspect that were none, and a hold that rested on
// them. Holds of which only peers know the crashes are theirs to end.
void DropExcused(Suspects& suspects, std::uint64_t key, Suspect& suspect,
                 Time now) {
  const bool may_release = IsHeld(suspect) && IsProven(suspects, key, suspect);
  std::vector<Break> excused;
  DropBreaks(suspect, [&](const Break& known) {
    if (!HasLivedOnAfter(suspects, known)) return false;
    excused.push_back(known);
    return true;
  });
  if (excused.empty()) return;
  for (const Break& each : excused) KeepExcused(suspects, key, each, now);
  if (may_release && !IsProven(suspects, key, suspect)) {
    suspect.released = suspect.held_since;
    suspect.changed = now;
    ReleaseIfUnproven(suspects, key, suspect);
  }
  // Peers need not be told if nothing is left.
  if (LastChange(suspect) == Time{}) suspect.changed = {};
}

void DropAllExcused(Suspects& suspects, Time now) {
  const auto is_excused = [&suspects](const Break& crash) {
    return HasLivedOnAfter(suspects, crash);
  };
  std::erase_if(suspects.crashes, is_excused);
  std::erase_if(suspects.explained, is_excused);
  for (auto& [key, suspect] : suspects.by_key)
    DropExcused(suspects, key, suspect, now);
}

// Records a broken connection. Returns true if its crash wasn't known.
bool AddBreak(Suspects& suspects, std::uint64_t key, Suspect& suspect,
              const Break& added) {
  if (HasLivedOnAfter(suspects, added)) return false;
  if (IsExplained(suspects, key, suspect, added)) return false;
  RecordCrash(suspects, added);
  if (!MergeBreak(suspect, added)) return false;
  UpdateHold(suspects, key, suspect);
  if (IsHeld(suspect) && KindOf(key) == SuspectKind::kPart)
    ExplainCrashes(suspects, key);
  return true;
}

// The suspect is held back after few crashes if it isn't known to have
// succeeded. Once it is, more are needed.
void DropUnsureHold(const Suspects& suspects, std::uint64_t key,
                    Suspect& suspect) {
  if (!IsHeld(suspect) || suspect.held_despite_success ||
      !NeedsMoreCrashes(key, suspect))
    return;
  suspect.held_despite_success = CrashesEndpoints(suspects, key, suspect);
  if (!suspect.held_despite_success) suspect.held_since = {};
}

bool IsNews(const Suspect& suspect, Time now) {
  return now - suspect.changed < kSuspectGossipTime;
}

milliseconds AgeOrNever(Time time, Time now) {
  return time == Time{} ? kNeverHappened : Age(time, now);
}

SuspectGossip Describe(std::uint64_t key, const Suspect& suspect, Time now) {
  SuspectGossip gossip;
  gossip.key = key;
  gossip.cleared_ago = AgeOrNever(suspect.cleared, now);
  gossip.held_ago = AgeOrNever(suspect.held_since, now);
  gossip.released_ago = AgeOrNever(suspect.released, now);
  gossip.held_despite_success = suspect.held_despite_success;
  gossip.failed_probes = suspect.failed_probes;
  // Of a request that is held back, its crashes say no more.
  if (IsHeld(suspect) && !IsNews(suspect, now)) return gossip;
  for (const Break& known : suspect.breaks) {
    gossip.breaks.push_back({known.endpoint, Age(known.sent, now),
                             Age(known.broke, now), known.request});
  }
  return gossip;
}

// Returns true if this node knows better than a peer that holds the suspect
// back: it succeeded since, the last crash was none, or the peer doesn't know
// that it ever succeeded.
bool IsHoldRefuted(const SuspectGossip& gossip, const Suspect& suspect,
                   Time held_since) {
  if (IsExcused(suspect, held_since)) return true;
  if (!IsHeld(suspect) && IsReleased(suspect, held_since)) return true;
  if (gossip.held_despite_success) return false;
  return KindOf(gossip.key) == SuspectKind::kPart
             ? HasSucceeded(suspect)
             : SucceededBefore(suspect, held_since);
}

// Applies that a peer holds the suspect back. Returns true if that is news.
bool MergeHold(const SuspectGossip& gossip, Suspect& suspect, Time held_since) {
  suspect.failed_probes = std::max(suspect.failed_probes, gossip.failed_probes);
  if (held_since <= suspect.held_since + kSameBreakWindow) return false;
  if (!IsHeld(suspect) || gossip.held_despite_success)
    suspect.held_despite_success = gossip.held_despite_success;
  suspect.held_since = held_since;
  return true;
}

// Applies that a peer has ended a hold. Returns true if that is news.
bool MergeRelease(const Suspects& suspects, const SuspectGossip& gossip,
                  Suspect& suspect, Time now) {
  if (gossip.released_ago >= kSuspectRetention) return false;
  const Time released = now - gossip.released_ago;
  if (released <= suspect.released + kSameBreakWindow) return false;
  suspect.released = released;
  ReleaseIfUnproven(suspects, gossip.key, suspect);
  return true;
}

// Rendezvous hashing, so that nodes agree without messages.
bool IsProbingNode(const FleetSnapshot& fleet, std::uint64_t seed) {
  const std::uint64_t own = kernel::HashBytes(fleet.self, seed);
  return std::none_of(fleet.names.begin(), fleet.names.end(),
                      [own, seed](const std::string& name) {
                        return kernel::HashBytes(name, seed) > own;
                      });
}

// Returns true if it is this node's turn to probe, `overdue` after the end of
// the hold.
bool IsTurnToProbe(std::uint64_t key, const FleetSnapshot& fleet,
                   milliseconds overdue) {
  const auto turn = static_cast<std::uint64_t>(overdue / kPartProbeTurn);
  return overdue % kPartProbeTurn < kPartProbeTurn / 2 &&
         IsProbingNode(fleet, key + turn);
}

}  // namespace

std::uint64_t KeyOfRequest(std::uint64_t hash) { return hash & ~kPartBit; }

std::uint64_t KeyOfPart(std::string_view service, std::uint64_t part) {
  return kernel::HashBytes(service, part) | kPartBit;
}

SuspectKind KindOf(std::uint64_t key) {
  return (key & kPartBit) != 0 ? SuspectKind::kPart : SuspectKind::kRequest;
}

void OnConnectionBroke(Suspects& suspects, std::uint64_t key,
                       const Break& added) {
  Suspect& suspect = FindOrAddSuspect(suspects, key);
  if (AddBreak(suspects, key, suspect, added)) suspect.changed = added.broke;
}

void OnUnclearEnd(Suspects& suspects, const UnclearEnd& end) {
  auto& ends = suspects.unclear_ends;
  ends.push_back(end);
  const auto is_old = [&end](const UnclearEnd& known) {
    return end.ended - known.ended > kMaxLateCrash;
  };
  while (ends.size() > kMaxUnclearEnds || is_old(ends.front()))
    ends.pop_front();
}

void OnProcessEnded(Suspects& suspects, std::uint64_t endpoint, Time now) {
  std::deque<UnclearEnd> others;
  for (const UnclearEnd& end : suspects.unclear_ends) {
    if (end.endpoint != endpoint || now - end.ended > kMaxLateCrash) {
      others.push_back(end);
    } else {
      OnConnectionBroke(suspects, end.key,
                        {endpoint, end.sent, now, true, end.request, true});
    }
  }
  suspects.unclear_ends = std::move(others);
}

void OnProcessLivedOn(Suspects& suspects, std::uint64_t endpoint, Time asked_at,
                      Time now) {
  OnProcessHeard(suspects.living, endpoint, asked_at, now);
  DropAllExcused(suspects, now);
}

bool HasBreakAt(const Suspects& suspects, std::uint64_t endpoint) {
  const auto is_at = [endpoint](const Break& known) {
    return known.endpoint == endpoint;
  };
  return std::any_of(suspects.by_key.begin(), suspects.by_key.end(),
                     [&is_at](const SuspectEntry& entry) {
                       const auto& breaks = entry.second.breaks;
                       return std::any_of(breaks.begin(), breaks.end(), is_at);
                     });
}

void OnRequestRan(Suspects& suspects, std::uint64_t key, Time now) {
  constexpr RecentMapBounds kBounds{kMaxNewerSuccesses, kSuspectRetention};
  Put(suspects.successes, kBounds, key, now, now);
  const auto at = suspects.by_key.find(key);
  if (at == suspects.by_key.end()) return;
  Suspect& suspect = at->second;
  if (!suspect.breaks.empty() || IsHeld(suspect)) suspect.changed = now;
  Clear(suspect, now);
}

Proof FindProof(const Endpoint& endpoint, Time began, Time now) {
  if (endpoint.broke_at >= began) return Proof::kNone;
  const Time heard = endpoint.last_heard_at;
  if (heard >= began + kMinProvenAnswerTime && heard < began + kMaxProofTime)
    return Proof::kLivedOn;
  return now < began + kMaxProofTime ? Proof::kPending : Proof::kNone;
}

milliseconds RemainingHoldTime(const Suspects& suspects, std::uint64_t key,
                               Time now) {
  const auto at = suspects.by_key.find(key);
  if (at == suspects.by_key.end() || !IsHeld(at->second)) return {};
  const milliseconds hold_time = HoldTimeOf(key, at->second);
  return std::max(milliseconds(0), hold_time - Age(at->second.held_since, now));
}

bool IsProbed(const Suspects& suspects, std::uint64_t key, Time now) {
  const auto at = suspects.by_key.find(key);
  if (at == suspects.by_key.end()) return false;
  const Suspect& suspect = at->second;
  if (IsHeld(suspect))
    return RemainingHoldTime(suspects, key, now).count() == 0;
  if (KindOf(key) == SuspectKind::kPart) return false;
  if (suspect.breaks.size() < kMaxCrashes || SucceededOfLate(suspect))
    return false;
  return now - suspect.breaks[kMaxCrashes - 1].broke >= kSuspectProbeDelay;
}

milliseconds TimeUntilProbe(const Suspects& suspects, std::uint64_t key,
                            const FleetSnapshot& fleet, Time now) {
  if (!IsProbed(suspects, key, now)) return {};
  const Suspect& suspect = suspects.by_key.at(key);
  const milliseconds overdue =
      Age(suspect.held_since, now) - HoldTimeOf(key, suspect);
  const bool may_probe =
      IsHeld(suspect) && IsProbedSoon(key, suspect.held_despite_success)
          ? IsTurnToProbe(key, fleet, overdue)
          : IsProbingNode(fleet, key);
  if (!may_probe) return kSuspectProbeInterval;
  return std::max(milliseconds(0),
                  kSuspectProbeInterval - Age(suspect.probed_at, now));
}

milliseconds TimeUntilSend(const Suspects& suspects,
                           const std::vector<std::uint64_t>& keys,
                           const FleetSnapshot& fleet, Time now) {
  milliseconds longest{};
  std::size_t probed = 0;
  for (const std::uint64_t key : keys) {
    longest = std::max({longest, RemainingHoldTime(suspects, key, now),
                        TimeUntilProbe(suspects, key, fleet, now)});
    probed += IsProbed(suspects, key, now) ? 1 : 0;
  }
  return probed > 1 ? std::max(longest, kSuspectProbeInterval) : longest;
}

void OnSuspectSent(Suspects& suspects, std::uint64_t key, Time now) {
  const auto at = suspects.by_key.find(key);
  if (at == suspects.by_key.end()) return;
  Suspect& suspect = at->second;
  if (IsHeld(suspect) && IsProbedSoon(key, suspect.held_despite_success) &&
      IsProbed(suspects, key, now)) {
    ++suspect.failed_probes;
    suspect.held_since = now;
    suspect.changed = now;
  }
  suspect.probed_at = now;
}

void OnProbeNotRun(Suspects& suspects, std::uint64_t key, Time sent) {
  const auto at = suspects.by_key.find(key);
  if (at == suspects.by_key.end() ||
      !IsProbedSoon(key, at->second.held_despite_success))
    return;
  Suspect& suspect = at->second;
  const bool is_probe = suspect.probed_at == sent && suspect.held_since == sent;
  if (!is_probe || suspect.failed_probes == 0) return;
  --suspect.failed_probes;
  suspect.held_since = sent - HoldTimeOf(key, suspect);
}

SuspectView ViewOf(const Suspects& suspects, std::uint64_t key, Time now) {
  SuspectView view;
  const auto at = suspects.by_key.find(key);
  if (at == suspects.by_key.end()) return view;
  view.breaks = at->second.breaks.size();
  view.crashes_in_turn = CountCrashesInTurn(at->second);
  view.hold_time = RemainingHoldTime(suspects, key, now);
  return view;
}

std::vector<SuspectGossip> MakeSuspectGossip(const Suspects& suspects,
                                             SuspectScope scope, Time now) {
  const bool is_all = scope == SuspectScope::kAll;
  std::vector<const SuspectEntry*> chosen;
  for (const SuspectEntry& entry : suspects.by_key) {
    if (is_all || IsHeld(entry.second) || IsNews(entry.second, now))
      chosen.push_back(&entry);
  }
  const std::size_t count = std::min(
      chosen.size(), is_all ? kMaxSuspectsForJoining : kMaxSuspectsPerExchange);
  std::partial_sort(
      chosen.begin(), chosen.begin() + static_cast<std::ptrdiff_t>(count),
      chosen.end(), [](const SuspectEntry* left, const SuspectEntry* right) {
        return MattersMore(left->second, right->second);
      });
  std::vector<SuspectGossip> gossip;
  for (std::size_t i = 0; i < count; ++i)
    gossip.push_back(Describe(chosen[i]->first, chosen[i]->second, now));
  return gossip;
}

void ApplySuspectGossip(Suspects& suspects, const SuspectGossip& gossip,
                        Time now) {
  Suspect& suspect = FindOrAddSuspect(suspects, gossip.key);
  if (gossip.cleared_ago < kSuspectRetention) {
    const Time cleared = now - gossip.cleared_ago;
    if (suspect.cleared + kSameBreakWindow < cleared) suspect.changed = now;
    Clear(suspect, cleared);
  }
  for (const BreakGossip& added : gossip.breaks) {
    if (added.broke_ago >= kSuspectRetention) continue;
    const bool is_new = AddBreak(suspects, gossip.key, suspect,
                                 {added.endpoint, now - added.sent_ago,
                                  now - added.broke_ago, false, added.request});
    if (is_new) suspect.changed = now;
  }
  if (MergeRelease(suspects, gossip, suspect, now)) suspect.changed = now;
  DropUnsureHold(suspects, gossip.key, suspect);
  const milliseconds retention =
      IsProbedSoon(gossip.key, gossip.held_despite_success)
          ? kSuspectRetention + HoldTimeAfter(gossip.failed_probes)
          : kSuspectRetention;
  if (gossip.held_ago >= retention) return;
  const Time held_since = now - gossip.held_ago;
  // A peer that knows less is told of the success.
  const bool is_refuted = IsHoldRefuted(gossip, suspect, held_since);
  if (is_refuted || MergeHold(gossip, suspect, held_since))
    suspect.changed = now;
}

void ApplyLivingGossip(Suspects& suspects,
                       const std::vector<LivingGossip>& gossip, Time now) {
  bool is_news = false;
  for (const LivingGossip& each : gossip)
    is_news = MergeLivingGossip(suspects.living, each, now) || is_news;
  if (is_news) DropAllExcused(suspects, now);
}

void ForgetSuspects(Suspects& suspects, Time now) {
  ForgetLiving(suspects.living, now);
  for (auto& [key, suspect] : suspects.by_key) {
    DropBreaks(suspect, [now](const Break& known) {
      return now - known.broke >= kSuspectRetention;
    });
  }
  std::erase_if(suspects.by_key, [now](const auto& entry) {
    const auto& [key, suspect] = entry;
    const bool may_be_sound =
        IsHeld(suspect) && IsProbedSoon(key, suspect.held_despite_success);
    const milliseconds hold_time =
        may_be_sound ? HoldTimeAfter(suspect.failed_probes) : 0ms;
    return now - LastChange(suspect) >= kSuspectRetention + hold_time;
  });
}

}  // namespace egretladder::routing
