// Which connections a port closes when the parts of messages that it holds
// become too many bytes.
#pragma once

#include <cstddef>
#include <cstdint>
#include <vector>

namespace egretladder::policy {

/// What was read of a message that isn't complete.
struct IncompleteMessage {
  std::size_t bytes = 0;
  /// Messages that began later have larger numbers.
  std::uint64_t order = 0;
};

/// Returns the indexes of the messages whose connections are closed, so that
/// those left have at most half of `max_bytes`; none if all have at most
/// `max_bytes` together.
///
/// Only a message with more than an even share of that half is closed, the one
/// that began first before the others: a connection that completes its messages
/// began its last one a moment ago, and one with small messages is never
/// closed.
std::vector<std::size_t> MessagesToAbandon(
    const std::vector<IncompleteMessage>& messages, std::size_t max_bytes);

}  // namespace egretladder::policy
