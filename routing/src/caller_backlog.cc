#include "egretladder/routing/caller_backlog.h"

#include <algorithm>

namespace egretladder::routing {
namespace {

// Parts of the memory. Streams wait first, as that costs nobody an answer.
constexpr double kStreamBacklogRatio = 0.1;
constexpr double kBacklogRatio = 0.2;
// From there on nobody is waited for.
constexpr double kMaxBacklogRatio = 0.3;
// A caller on a slow link takes some more often.
constexpr std::chrono::milliseconds kUnreadPatience{2000};

bool IsAbove(const CallerBacklogs& backlogs, double ratio) {
  return static_cast<double>(backlogs.unread_bytes) >
         ratio * static_cast<double>(backlogs.memory_bytes);
}

}  // namespace

bool IsBacklogTooLarge(const CallerBacklogs& backlogs) {
  return IsAbove(backlogs, kBacklogRatio);
}

std::optional<std::chrono::milliseconds> UnreadPatience(
    const CallerBacklogs& backlogs) {
  if (!IsBacklogTooLarge(backlogs)) return std::nullopt;
  const double ratio = static_cast<double>(backlogs.unread_bytes) /
                       static_cast<double>(backlogs.memory_bytes);
  const double left = std::max(
      (kMaxBacklogRatio - ratio) / (kMaxBacklogRatio - kBacklogRatio), 0.0);
  return std::chrono::duration_cast<std::chrono::milliseconds>(kUnreadPatience *
                                                               left);
}

std::size_t MaxStreamBacklog(const CallerBacklogs& backlogs,
                             std::size_t max_bytes) {
  return IsAbove(backlogs, kStreamBacklogRatio) ? 0 : max_bytes;
}

}  // namespace egretladder::routing
