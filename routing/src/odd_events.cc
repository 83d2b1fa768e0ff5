#include "egretladder/routing/odd_events.h"

#include <algorithm>
#include <array>

#include "egretladder/routing/endpoints.h"

namespace egretladder::routing {
namespace {

// What a process has to show before it has a vote, and the share that is a
// habit. A process that spoils one event of a stream now and then shows less.
struct Bounds {
  std::uint32_t min_counted;
  std::uint32_t interval;  // One of so many, or more.
};

constexpr std::array<Bounds, kOddKinds> kBounds = {{
    {.min_counted = 4, .interval = 2},    // Its first event ends a run.
    {.min_counted = 32, .interval = 16},  // Of steps between ids.
    {.min_counted = 2, .interval = 2},    // Of streams.
}};

// One process among others doesn't decide, however early it votes.
constexpr std::size_t kMinDeciding = 2;

}  // namespace

void CountOdd(OddShares& shares, OddKind kind, bool is_odd) {
  OddShare& share = shares[static_cast<std::size_t>(kind)];
  ++share.all;
  if (is_odd) ++share.odd;
  if (share.all < kMaxCountedOdd) return;
  share.all /= 2;
  share.odd /= 2;
}

Habit JudgeHabit(const EndpointSet& set, const std::string& service,
                 SoftwareVersion version, OddKind kind) {
  const auto at = set.by_service.find(service);
  if (at == set.by_service.end()) return Habit::kUnknown;
  const auto index = static_cast<std::size_t>(kind);
  const Bounds& bounds = kBounds[index];
  std::size_t processes = 0;
  std::size_t voters = 0;
  std::size_t habits = 0;
  for (const EndpointPtr& endpoint : at->second) {
    const OddShare& share = endpoint->odd_events[index];
    if (endpoint->version != version) continue;
    ++processes;
    if (share.all < bounds.min_counted) continue;
    ++voters;
    if (share.odd * bounds.interval >= share.all) ++habits;
  }
  if (voters == 0) return Habit::kUnknown;
  if (2 * habits <= voters) return Habit::kNo;
  return habits >= std::min(kMinDeciding, processes) ? Habit::kYes
                                                     : Habit::kUnknown;
}

}  // namespace egretladder::routing
