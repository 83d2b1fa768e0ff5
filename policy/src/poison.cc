#include "egretladder/policy/poison.h"

#include <algorithm>

#include "egretladder/policy/limits.h"

namespace egretladder::policy {
namespace {

using std::chrono::duration_cast;
using std::chrono::milliseconds;

const Blame* FindBlame(const PoisonState& state, std::uint64_t fingerprint,
                       kernel::Time now) {
  const auto it = state.blames.find(fingerprint);
  if (it == state.blames.end() || it->second.until <= now) return nullptr;
  return &it->second;
}

// Makes room: first what has expired, then what expires soonest.
void MakeRoom(PoisonState& state, kernel::Time now) {
  if (state.blames.size() < kBlamesMost) return;
  std::erase_if(state.blames,
                [now](const auto& entry) { return entry.second.until <= now; });
  if (state.blames.size() < kBlamesMost) return;
  state.blames.erase(std::min_element(state.blames.begin(), state.blames.end(),
                                      [](const auto& left, const auto& right) {
                                        return left.second.until <
                                               right.second.until;
                                      }));
}

Blame& BlameOf(PoisonState& state, std::uint64_t fingerprint,
               kernel::Time now) {
  if (!state.blames.contains(fingerprint)) MakeRoom(state, now);
  Blame& blame = state.blames[fingerprint];
  if (blame.until <= now) blame = Blame{};
  return blame;
}

QuarantineNotice ToTell(std::uint64_t fingerprint, const Blame& blame,
                        kernel::Time now) {
  return {fingerprint, duration_cast<milliseconds>(blame.until - now),
          blame.deaths};
}

}  // namespace

std::vector<QuarantineNotice> OnEndpointDied(
    PoisonState& state, const std::vector<std::uint64_t>& running,
    kernel::Time now) {
  std::vector<std::uint64_t> bodies = running;
  std::sort(bodies.begin(), bodies.end());
  bodies.erase(std::unique(bodies.begin(), bodies.end()), bodies.end());
  std::erase(bodies, 0U);  // 0: no fingerprint.
  const auto suspects = std::count_if(
      bodies.begin(), bodies.end(),
      [&](std::uint64_t body) { return IsSuspect(state, body, now); });
  std::vector<QuarantineNotice> quarantined;
  for (const std::uint64_t body : bodies) {
    const bool suspect = IsSuspect(state, body, now);
    // A known suspect explains the death: the others only ran beside it.
    if (suspects == 1 && !suspect) continue;
    Blame& blame = BlameOf(state, body, now);
    if (blame.quarantined) continue;
    const bool is_it = suspects == 1;
    blame.deaths = is_it ? kDeathsBeforeQuarantine : std::uint8_t{1};
    blame.quarantined = is_it;
    blame.until = now + (is_it ? kQuarantineKept : kBlameKept);
    if (is_it) quarantined.push_back(ToTell(body, blame, now));
  }
  return quarantined;
}

void ClearSuspect(PoisonState& state, std::uint64_t fingerprint) {
  state.blames.erase(fingerprint);
}

bool IsSuspect(const PoisonState& state, std::uint64_t fingerprint,
               kernel::Time now) {
  const Blame* blame = FindBlame(state, fingerprint, now);
  return blame != nullptr && !blame->quarantined;
}

bool ApplyQuarantineNotice(PoisonState& state, const QuarantineNotice& told,
                           kernel::Time now) {
  if (told.left <= milliseconds(0) || told.fingerprint == 0) return false;
  Blame& blame = BlameOf(state, told.fingerprint, now);
  if (blame.quarantined) return false;
  const bool is_it = told.deaths >= kDeathsBeforeQuarantine;
  blame.deaths = std::max(blame.deaths, told.deaths);
  blame.quarantined = is_it;
  const auto longest = is_it ? kQuarantineKept : kBlameKept;
  blame.until = std::max(blame.until, now + std::min(told.left, longest));
  return is_it;
}

bool IsQuarantined(const PoisonState& state, std::uint64_t fingerprint,
                   kernel::Time now) {
  const Blame* blame = FindBlame(state, fingerprint, now);
  return blame != nullptr && blame->quarantined;
}

std::vector<QuarantineNotice> ListQuarantineNotices(const PoisonState& state,
                                                    kernel::Time now) {
  std::vector<QuarantineNotice> list;
  for (const auto& [fingerprint, blame] : state.blames) {
    if (blame.until > now) list.push_back(ToTell(fingerprint, blame, now));
  }
  return list;
}

}  // namespace egretladder::policy
