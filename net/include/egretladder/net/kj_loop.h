// KJ, the runtime of Cap'n Proto RPC, on libevent's loop: no second loop, no
// thread.
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

/// The KJ loop of this thread; made on first use, gone with its last holder.
/// Fails with `kConflict` when this thread's KJ already runs on another base.
kernel::Result<std::shared_ptr<KjLoop>> AcquireKjLoop(kernel::Loop& loop);

/// A KJ stream over a bufferevent, which may still be connecting. Callbacks
/// only settle promises; continuations run when the KJ loop turns.
class BuffereventStream final : public kj::AsyncIoStream {
 public:
  explicit BuffereventStream(Bufferevent buffer);

  kj::Promise<std::size_t> tryRead(void* buffer, std::size_t least,
                                   std::size_t most) override;
  kj::Promise<void> write(const void* buffer, std::size_t size) override;
  kj::Promise<void> write(
      kj::ArrayPtr<const kj::ArrayPtr<const kj::byte>> pieces) override;
  kj::Promise<void> whenWriteDisconnected() override;
  void shutdownWrite() override;

  /// Bytes that wait to be taken by the other side.
  std::size_t PendingOutputBytes() const;
  /// True when the other side has ended it, or it broke.
  bool IsDisconnected() const { return ended_ || broken_; }

 private:
  class ReadOperation;
  class DrainOperation;

  static void OnReadable(bufferevent* buffer, void* arg);
  static void OnWritable(bufferevent* buffer, void* arg);
  // NOLINTNEXTLINE(google-runtime-int)
  static void OnEvent(bufferevent* buffer, short what, void* arg);
  kj::Promise<void> Drained();
  void Abort();

  Bufferevent buffer_;
  ReadOperation* reading_ = nullptr;
  DrainOperation* draining_ = nullptr;
  bool ended_ = false;   ///< The other side sends no more.
  bool broken_ = false;  ///< Nothing more goes either way.
};

}  // namespace egretladder::net
