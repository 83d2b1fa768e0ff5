#include "egretladder/policy/incomplete_messages.h"

#include <algorithm>
#include <numeric>

namespace egretladder::policy {

std::vector<std::size_t> MessagesToAbandon(
    const std::vector<IncompleteMessage>& messages, std::size_t max_bytes) {
  std::size_t held = 0;
  for (const IncompleteMessage& message : messages) held += message.bytes;
  if (held <= max_bytes) return {};
  const std::size_t target = max_bytes / 2;
  const std::size_t share = target / messages.size();
  std::vector<std::size_t> oldest_first(messages.size());
  std::iota(oldest_first.begin(), oldest_first.end(), std::size_t{0});
  std::sort(oldest_first.begin(), oldest_first.end(),
            [&messages](std::size_t a, std::size_t b) {
              return messages[a].order < messages[b].order;
            });
  std::vector<std::size_t> abandoned;
  for (const std::size_t index : oldest_first) {
    if (held <= target) break;
    if (messages[index].bytes <= share) continue;
    held -= messages[index].bytes;
    abandoned.push_back(index);
  }
  return abandoned;
}

}  // namespace egretladder::policy
