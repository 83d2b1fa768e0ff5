// Runs KJ, the async runtime of Cap'n Proto RPC, on libevent's event loop,
// without a second loop or thread.
#pragma once

#include <event2/bufferevent.h>
#include <kj/async-io.h>
#include <kj/async.h>

#include <functional>
#include <memory>
#include <string>

#include "egretladder/kernel/error.h"
#include "egretladder/kernel/loop.h"
#include "egretladder/net/socket.h"

namespace egretladder::net {

class KjLoop;

/// Returns the KJ loop of this thread. It is created on first use and destroyed
/// with the last reference. Fails with `kConflict` if the KJ loop of this
/// thread runs on another event base.
kernel::Result<std::shared_ptr<KjLoop>> AcquireKjLoop(kernel::Loop& loop);

/// A KJ stream over a bufferevent, which may still be connecting. The callbacks
/// of libevent only resolve promises; continuations run in the KJ loop.
class BuffereventStream final : public kj::AsyncIoStream {
 public:
  explicit BuffereventStream(Bufferevent buffer);

  kj::Promise<std::size_t> tryRead(void* buffer, std::size_t min_bytes,
                                   std::size_t max_bytes) override;
  kj::Promise<void> write(const void* buffer, std::size_t size) override;
  kj::Promise<void> write(
      kj::ArrayPtr<const kj::ArrayPtr<const kj::byte>> pieces) override;
  kj::Promise<void> whenWriteDisconnected() override;
  void shutdownWrite() override;

  /// Bytes of the output buffer that were not sent yet.
  std::size_t PendingOutputBytes() const;
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
  void Disconnect();

  Bufferevent buffer_;
  ReadOperation* read_operation_ = nullptr;
  DrainOperation* drain_operation_ = nullptr;
  bool eof_ = false;     ///< The other side has ended its output.
  bool broken_ = false;  ///< The connection failed in both directions.
};

}  // namespace egretladder::net
