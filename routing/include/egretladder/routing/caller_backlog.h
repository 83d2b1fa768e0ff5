// What nodes keep for callers that don't take their answers.
//
// The backlog of one caller is bounded, yet a node has thousands of callers:
// without a bound on the sum, some dozen whole answers that nobody reads end
// it, and the requests of all others with it.
#pragma once

#include <chrono>
#include <cstddef>
#include <optional>

namespace egretladder::routing {

/// What callers haven't taken, and what the node may use.
struct CallerBacklogs {
  std::size_t unread_bytes = 0;  ///< Output of all callers together.
  std::size_t memory_bytes = 0;  ///< The node's memory setting.
};

/// Returns true if callers leave so much unread that the largest backlog of a
/// caller that takes nothing has to go.
bool IsBacklogTooLarge(const CallerBacklogs& backlogs);

/// Returns how long a caller has taken nothing when its connection may be
/// closed for the others; unset: callers leave little. The more they leave, the
/// shorter it is.
std::optional<std::chrono::milliseconds> UnreadPatience(
    const CallerBacklogs& backlogs);

/// Returns how much of a stream its caller may leave unread before the node
/// stops reading from the endpoint: `max_bytes`, or nothing while callers
/// together leave much.
std::size_t MaxStreamBacklog(const CallerBacklogs& backlogs,
                             std::size_t max_bytes);

}  // namespace egretladder::routing
