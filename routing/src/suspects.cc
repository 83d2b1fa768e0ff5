#include "egretladder/routing/suspects.h"

#include <algorithm>

namespace egretladder::routing {
namespace {

milliseconds Age(Time time, Time now) {
  return std::chrono::duration_cast<milliseconds>(now - time);
}

Time LastChange(const Suspect& suspect) {
  Time newest = suspect.cleared;
  for (const Break& seen : suspect.breaks) {
    newest = std::max(newest, seen.broke);
  }
  return newest;
}

void EvictOldestIfFull(Suspects& suspects) {
  if (suspects.by_request.size() < kMaxSuspects) return;
  suspects.by_request.erase(std::min_element(
      suspects.by_request.begin(), suspects.by_request.end(),
      [](const auto& left, const auto& right) {
        return LastChange(left.second) < LastChange(right.second);
      }));
}

Suspect& FindOrAddSuspect(Suspects& suspects, std::uint64_t request) {
  if (!suspects.by_request.contains(request)) EvictOldestIfFull(suspects);
  return suspects.by_request[request];
}

// Returns true when this is news.
bool Merge(Suspect& suspect, const Break& seen) {
  const auto known = std::find_if(
      suspect.breaks.begin(), suspect.breaks.end(),
      [&seen](const Break& one) { return one.endpoint == seen.endpoint; });
  if (known == suspect.breaks.end()) {
    suspect.breaks.push_back(seen);
  } else if (known->broke + kSameBreakWindow < seen.broke) {
    *known = seen;
  } else {
    return false;
  }
  std::sort(suspect.breaks.begin(), suspect.breaks.end(),
            [](const Break& left, const Break& right) {
              return left.broke < right.broke;
            });
  if (suspect.breaks.size() > kMaxBreaksPerSuspect) {
    suspect.breaks.erase(suspect.breaks.begin());
  }
  return true;
}

// Crashes one after the other: each was sent only after the one before broke.
struct CrashChain {
  std::size_t crashes = 0;
  Time last{};
};

CrashChain FindCrashChain(const Suspect& suspect, Time now) {
  CrashChain chain;
  for (const Break& seen : suspect.breaks) {
    if (seen.broke <= suspect.cleared ||
        now - seen.broke >= kSuspectRetention) {
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
  Suspect& suspect = FindOrAddSuspect(suspects, request);
  if (Merge(suspect, seen)) suspect.changed = seen.broke;
}

void OnRequestRan(Suspects& suspects, std::uint64_t request, Time now) {
  const auto at = suspects.by_request.find(request);
  if (at == suspects.by_request.end()) return;
  at->second.cleared = now;
  at->second.changed = now;
}

milliseconds HeldFor(const Suspects& suspects, std::uint64_t request,
                     Time now) {
  const auto at = suspects.by_request.find(request);
  if (at == suspects.by_request.end()) return {};
  const CrashChain chain = FindCrashChain(at->second, now);
  if (chain.crashes < kMaxCrashes) return {};
  return std::max(milliseconds(0), kSuspectHoldTime - Age(chain.last, now));
}

std::vector<SuspectGossip> MakeSuspectGossip(const Suspects& suspects,
                                             Time now) {
  std::vector<std::pair<Time, std::uint64_t>> newest;
  for (const auto& [request, suspect] : suspects.by_request) {
    if (now - suspect.changed >= kSuspectGossipTime) continue;
    newest.emplace_back(suspect.changed, request);
  }
  std::sort(newest.rbegin(), newest.rend());
  if (newest.size() > kMaxSuspectsPerExchange)
    newest.resize(kMaxSuspectsPerExchange);
  std::vector<SuspectGossip> told;
  for (const auto& [time, request] : newest) {
    const Suspect& suspect = suspects.by_request.at(request);
    SuspectGossip one;
    one.request = request;
    one.cleared_ago =
        suspect.cleared == Time{} ? kNeverCleared : Age(suspect.cleared, now);
    for (const Break& seen : suspect.breaks) {
      one.breaks.push_back(
          {seen.endpoint, Age(seen.sent, now), Age(seen.broke, now)});
    }
    told.push_back(std::move(one));
  }
  return told;
}

void ApplySuspectGossip(Suspects& suspects, const SuspectGossip& told,
                        Time now) {
  Suspect& suspect = FindOrAddSuspect(suspects, told.request);
  if (told.cleared_ago < kSuspectRetention) {
    const Time cleared = now - told.cleared_ago;
    if (suspect.cleared + kSameBreakWindow < cleared) suspect.changed = now;
    suspect.cleared = std::max(suspect.cleared, cleared);
  }
  for (const BreakGossip& seen : told.breaks) {
    if (seen.broke_ago >= kSuspectRetention) continue;
    const bool is_news = Merge(
        suspect, {seen.endpoint, now - seen.sent_ago, now - seen.broke_ago});
    if (is_news) suspect.changed = now;
  }
}

void ForgetSuspects(Suspects& suspects, Time now) {
  std::erase_if(suspects.by_request, [now](const auto& entry) {
    return now - LastChange(entry.second) >= kSuspectRetention;
  });
}

}  // namespace egretladder::routing
