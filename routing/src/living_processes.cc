#include "egretladder/routing/living_processes.h"

#include <algorithm>

namespace egretladder::routing {
namespace {

using kernel::Time;

Time LivedUntil(const LivingProcess& process) {
  return std::max(process.heard, process.told);
}

void EvictOldestIfFull(LivingProcesses& living) {
  if (living.size() < kMaxLivingProcesses) return;
  living.erase(std::min_element(
      living.begin(), living.end(), [](const auto& left, const auto& right) {
        return LivedUntil(left.second) < LivedUntil(right.second);
      }));
}

LivingProcess& FindOrAdd(LivingProcesses& living, std::uint64_t process) {
  const auto at = living.find(process);
  if (at != living.end()) return at->second;
  EvictOldestIfFull(living);
  return living[process];
}

}  // namespace

void OnProcessHeard(LivingProcesses& living, std::uint64_t process,
                    Time asked_at, Time now) {
  LivingProcess& known = FindOrAdd(living, process);
  known.heard = std::max(known.heard, asked_at);
  known.changed = now;
}

bool HasLivedOn(const LivingProcesses& living, std::uint64_t process,
                Time broke, bool seen_here) {
  const auto at = living.find(process);
  if (at == living.end()) return false;
  if (seen_here) return broke <= at->second.heard;
  return broke <= LivedUntil(at->second) + kMaxLivingDelay;
}

std::vector<LivingGossip> MakeLivingGossip(const LivingProcesses& living,
                                           bool is_all, Time now) {
  std::vector<LivingGossip> gossip;
  for (const auto& [process, known] : living) {
    if (!is_all && now - known.changed >= kLivingGossipTime) continue;
    gossip.push_back({process, std::chrono::duration_cast<milliseconds>(
                                   now - LivedUntil(known))});
  }
  const std::size_t count = std::min(
      gossip.size(), is_all ? kMaxLivingForJoining : kMaxLivingPerExchange);
  std::partial_sort(
      gossip.begin(), gossip.begin() + static_cast<std::ptrdiff_t>(count),
      gossip.end(), [](const LivingGossip& left, const LivingGossip& right) {
        return left.lived_ago < right.lived_ago;
      });
  gossip.resize(count);
  return gossip;
}

bool MergeLivingGossip(LivingProcesses& living, const LivingGossip& gossip,
                       Time now) {
  if (gossip.lived_ago >= kLivingRetention) return false;
  const Time lived = now - gossip.lived_ago;
  LivingProcess& known = FindOrAdd(living, gossip.process);
  if (lived < LivedUntil(known) + kMinLivingNews) return false;
  known.told = lived;
  known.changed = now;
  return true;
}

void ForgetLiving(LivingProcesses& living, Time now) {
  std::erase_if(living, [now](const auto& entry) {
    return now - LivedUntil(entry.second) >= kLivingRetention;
  });
}

}  // namespace egretladder::routing
