#include "egretladder/routing/caller_backlog.h"

namespace egretladder::routing {
namespace {

// Parts of the memory. Streams wait first, as that costs nobody an answer.
constexpr double kStreamBacklogRatio = 0.1;
constexpr double kBacklogRatio = 0.2;

bool IsAbove(const CallerBacklogs& backlogs, double ratio) {
  return static_cast<double>(backlogs.unread_bytes) >
         ratio * static_cast<double>(backlogs.memory_bytes);
}

}  // namespace

bool IsBacklogTooLarge(const CallerBacklogs& backlogs) {
  return IsAbove(backlogs, kBacklogRatio);
}

std::size_t MaxStreamBacklog(const CallerBacklogs& backlogs,
                             std::size_t max_bytes) {
  return IsAbove(backlogs, kStreamBacklogRatio) ? 0 : max_bytes;
}

}  // namespace egretladder::routing
