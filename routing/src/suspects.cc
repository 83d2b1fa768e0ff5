#include "egretladder/routing/suspects.h"

#include <algorithm>

namespace egretladder::routing {
namespace {

milliseconds AgeOf(Time time, Time now) {
  return std::chrono::duration_cast<milliseconds>(now - time);
}

Time NewestOf(const Suspect& suspect) {
  Time newest = suspect.cleared;
  for (const Break& seen : suspect.breaks) {
    newest = std::max(newest, seen.broke);
  }
  return newest;
}

void MakeRoom(Suspects& suspects) {
  if (suspects.by_request.size() < kSuspectsMost) return;
  suspects.by_request.erase(
      std::min_element(suspects.by_request.begin(), suspects.by_request.end(),
                       [](const auto& left, const auto& right) {
                         return NewestOf(left.second) < NewestOf(right.second);
                       }));
}

Suspect& SuspectOf(Suspects& suspects, std::uint64_t request) {
  if (!suspects.by_request.contains(request)) MakeRoom(suspects);
  return suspects.by_request[request];
}

// Returns true when this is news.
bool Merge(Suspect& suspect, const Break& seen) {
  const auto known = std::find_if(
      suspect.breaks.begin(), suspect.breaks.end(),
      [&seen](const Break& one) { return one.endpoint == seen.endpoint; });
  if (known == suspect.breaks.end()) {
    suspect.breaks.push_back(seen);
  } else if (known->broke + kSameBreak < seen.broke) {
    *known = seen;
  } else {
    return false;
  }
  std::sort(suspect.breaks.begin(), suspect.breaks.end(),
            [](const Break& left, const Break& right) {
              return left.broke < right.broke;
            });
  if (suspect.breaks.size() > kBreaksKept) {
    suspect.breaks.erase(suspect.breaks.begin());
  }
  return true;
}

// Crashes one after the other: each was sent only after the one before broke.
struct Chain {
  std::size_t crashes = 0;
  Time last{};
};

Chain ChainOf(const Suspect& suspect, Time now) {
  Chain chain;
  for (const Break& seen : suspect.breaks) {
    if (seen.broke <= suspect.cleared || now - seen.broke >= kSuspectKept) {
      continue;
    }
    if (chain.crashes > 0 && seen.sent < chain.last) continue;
    ++chain.crashes;
    chain.last = seen.broke;
  }
  return chain;
}

}  // namespace

void OnConnectionBroke(Suspects& suspects, std::uint64_t request,
                       const Break& seen) {
  Suspect& suspect = SuspectOf(suspects, request);
  if (Merge(suspect, seen)) suspect.changed = seen.broke;
}

void OnRequestRan(Suspects& suspects, std::uint64_t request, Time now) {
  const auto at = suspects.by_request.find(request);
  if (at == suspects.by_request.end()) return;
  at->second.cleared = now;
  at->second.changed = now;
}

milliseconds RemainingHoldTime(const Suspects& suspects, std::uint64_t request,
                               Time now) {
  const auto at = suspects.by_request.find(request);
  if (at == suspects.by_request.end()) return {};
  const Chain chain = ChainOf(at->second, now);
  if (chain.crashes < kCrashesMost) return {};
  return std::max(milliseconds(0), kSuspectHeld - AgeOf(chain.last, now));
}

std::vector<SuspectGossip> MakeSuspectGossip(const Suspects& suspects,
                                             Time now) {
  std::vector<std::pair<Time, std::uint64_t>> newest;
  for (const auto& [request, suspect] : suspects.by_request) {
    if (now - suspect.changed >= kSuspectTold) continue;
    newest.emplace_back(suspect.changed, request);
  }
  std::sort(newest.rbegin(), newest.rend());
  if (newest.size() > kSuspectsTold) newest.resize(kSuspectsTold);
  std::vector<SuspectGossip> told;
  for (const auto& [time, request] : newest) {
    const Suspect& suspect = suspects.by_request.at(request);
    SuspectGossip one;
    one.request = request;
    one.cleared_ago =
        suspect.cleared == Time{} ? kNeverCleared : AgeOf(suspect.cleared, now);
    for (const Break& seen : suspect.breaks) {
      one.breaks.push_back(
          {seen.endpoint, AgeOf(seen.sent, now), AgeOf(seen.broke, now)});
    }
    told.push_back(std::move(one));
  }
  return told;
}

void ApplySuspectGossip(Suspects& suspects, const SuspectGossip& told,
                        Time now) {
  Suspect& suspect = SuspectOf(suspects, told.request);
  if (told.cleared_ago < kSuspectKept) {
    const Time cleared = now - told.cleared_ago;
    if (suspect.cleared + kSameBreak < cleared) suspect.changed = now;
    suspect.cleared = std::max(suspect.cleared, cleared);
  }
  for (const ToldBreak& seen : told.breaks) {
    if (seen.broke_ago >= kSuspectKept) continue;
    const bool is_news = Merge(
        suspect, {seen.endpoint, now - seen.sent_ago, now - seen.broke_ago});
    if (is_news) suspect.changed = now;
  }
}

void ForgetSuspects(Suspects& suspects, Time now) {
  std::erase_if(suspects.by_request, [now](const auto& entry) {
    return now - NewestOf(entry.second) >= kSuspectKept;
  });
}

}  // namespace egretladder::routing
