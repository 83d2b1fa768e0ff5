// Runs KJ, the async runtime of Cap'n Proto RPC, on libevent's event loop,
// without a second loop or thread.
#pragma once

#include <event2/bufferevent.h>
#include <kj/async-io.h>
#include <kj/async.h>

#include <chrono>
#include <cstdint>
#include <functional>
#include <limits>
#include <memory>
#include <string>
#include <utility>

#include "egretladder/kernel/error.h"
#include "egretladder/kernel/loop.h"
#include "egretladder/net/limits.h"
#include "egretladder/net/socket.h"

namespace egretladder::net {

class KjLoop;

/// Returns the KJ loop of this thread. It is created on first use and destroyed
/// with the last reference. Fails with `kConflict` if the KJ loop of this
/// thread runs on another event base.
kernel::Result<std::shared_ptr<KjLoop>> AcquireKjLoop(kernel::Loop& loop);

/// What a stream does about a peer that doesn't read what is written to it.
struct UnreadLimits {
  /// While more bytes are unsent, nothing of the peer's is read. Reading goes
  /// on once all are sent.
  std::size_t max_bytes = std::numeric_limits<std::size_t>::max();
  /// The connection breaks if nothing could be sent for this long. A pause of
  /// this process doesn't count. 0: it never does.
  std::chrono::milliseconds max_stall{0};

  constexpr bool IsLimited() const {
    return max_bytes < std::numeric_limits<std::size_t>::max();
  }
};

/// The limits for a peer that calls this side. A side that calls must read on
/// whatever it has written: if both sides waited for each other to read,
/// neither would.
inline constexpr UnreadLimits kCallerUnreadLimits{kMaxUnreadRpcBytes,
                                                  kMaxRpcStall};

/// Sums what the streams of one port have read of messages that aren't
/// complete. It outlives them.
class IncompleteInput {
 public:
  /// `on_excess` is called with each addition while the sum is above
  /// `max_bytes`. It must not destroy a stream.
  IncompleteInput(std::size_t max_bytes, std::function<void()> on_excess)
      : max_bytes_(max_bytes), on_excess_(std::move(on_excess)) {}

  void Add(std::size_t bytes);
  void Remove(std::size_t bytes) { bytes_ -= bytes; }
  /// Returns the number of the next read: later ones have larger numbers.
  std::uint64_t NextOrder() { return next_order_++; }
  std::size_t max_bytes() const { return max_bytes_; }
  std::size_t bytes() const { return bytes_; }

 private:
  std::size_t max_bytes_;
  std::function<void()> on_excess_;
  std::size_t bytes_ = 0;
  std::uint64_t next_order_ = 0;
};

/// What a stream has read of a message that isn't complete, and the number of
/// that read; see `IncompleteInput`.
struct IncompleteRead {
  std::size_t bytes = 0;
  std::uint64_t order = 0;
};

/// A KJ stream over a bufferevent, which may still be connecting. The callbacks
/// of libevent only resolve promises; continuations run in the KJ loop.
class BuffereventStream final : public kj::AsyncIoStream {
 public:
  /// `incomplete` may be null.
  explicit BuffereventStream(Bufferevent buffer, UnreadLimits unread = {},
                             IncompleteInput* incomplete = nullptr);

  kj::Promise<std::size_t> tryRead(void* buffer, std::size_t min_bytes,
                                   std::size_t max_bytes) override;
  kj::Promise<void> write(const void* buffer, std::size_t size) override;
  kj::Promise<void> write(
      kj::ArrayPtr<const kj::ArrayPtr<const kj::byte>> pieces) override;
  kj::Promise<void> whenWriteDisconnected() override;
  void shutdownWrite() override;

  /// Bytes of the output buffer that were not sent yet.
  std::size_t PendingOutputBytes() const;
  /// What was read of a message that isn't complete.
  IncompleteRead Incomplete() const;
  /// Returns the number of the last read, or of the start if there was none;
  /// see `IncompleteInput`. 0 without one.
  std::uint64_t heard_order() const { return heard_order_; }
  /// Breaks the connection. The owner destroys the stream later.
  void Disconnect();
  /// Returns true if the other side has ended the stream or the connection
  /// failed.
  bool IsDisconnected() const { return eof_ || broken_; }

 private:
  class ReadOperation;
  class DrainOperation;

  static void OnReadable(bufferevent* buffer, void* arg);
  static void OnWritable(bufferevent* buffer, void* arg);
  // NOLINTNEXTLINE(google-runtime-int)
  static void OnEvent(bufferevent* buffer, short events, void* arg);
  kj::Promise<void> WhenDrained();
  bool HasTooMuchUnread() const;
  void ContinueReading();
  void SetReceiving(bool receives);
  void RecordHeard();

  Bufferevent buffer_;
  UnreadLimits unread_;
  IncompleteInput* incomplete_;
  ReadOperation* read_operation_ = nullptr;
  DrainOperation* drain_operation_ = nullptr;
  std::uint64_t heard_order_ = 0;
  bool receives_ = true;  ///< Bytes are taken from the socket.
  bool eof_ = false;      ///< The other side has ended its output.
  bool broken_ = false;   ///< The connection failed in both directions.
};

}  // namespace egretladder::net
