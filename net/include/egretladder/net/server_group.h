// Servers of one process. What their callers leave unread, and requests that
// are still received, take the same memory, whichever server they belong to.
#pragma once

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <set>

#include "egretladder/kernel/loop.h"

namespace egretladder::net {

class HttpConnection;

/// Decides, for so many bytes of output that callers haven't taken, how long a
/// caller has taken nothing when its connection may be closed. Unset: none is.
using UnreadPatience =
    std::function<std::optional<std::chrono::milliseconds>(std::size_t bytes)>;

/// The connections of the servers that were created with the group.
class ServerGroup : public std::enable_shared_from_this<ServerGroup> {
 public:
  ServerGroup(kernel::Loop& loop, UnreadPatience patience);
  ServerGroup(const ServerGroup&) = delete;
  ServerGroup& operator=(const ServerGroup&) = delete;

  /// Output that callers have not taken yet, in bytes.
  std::size_t unread_bytes() const { return unread_bytes_; }
  /// Memory of requests that are still received, in bytes.
  std::size_t incomplete_bytes() const { return incomplete_bytes_; }
  /// Connections closed so far since callers left too much unread.
  std::uint64_t closed_unread() const { return closed_unread_; }
  /// Closes connections until the patience of all others lasts, those that
  /// leave most first. It is done by itself after each write; a caller of this
  /// wants the room at once.
  void CloseUnread();

 private:
  friend class HttpConnection;
  friend class HttpServer;
  void CountUnread(std::size_t added, std::size_t gone);
  void CountIncomplete(std::size_t added, std::size_t gone);
  HttpConnection* FindUnread(std::chrono::milliseconds patience) const;

  kernel::Loop& loop_;
  UnreadPatience patience_;
  std::set<HttpConnection*> with_output_;  // Those with output.
  std::size_t unread_bytes_ = 0;
  std::size_t incomplete_bytes_ = 0;
  std::uint64_t closed_unread_ = 0;
  kernel::EventWatcher timer_;  // Set while output is to be checked.
  bool is_check_due_ = false;
};
using ServerGroupPtr = std::shared_ptr<ServerGroup>;

}  // namespace egretladder::net
