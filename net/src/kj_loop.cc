#include "egretladder/net/kj_loop.h"

#include <event2/buffer.h>
#include <kj/debug.h>
#include <sys/socket.h>

#include <algorithm>
#include <utility>

namespace egretladder::net {
namespace {

// KJ events that are handled before the event loop continues, so that busy
// peers can't starve callers.
constexpr kj::uint kMaxKjTurns = 200;

// Output that is buffered on one connection before its writer has to wait, and
// input that is read ahead.
constexpr std::size_t kMaxStreamBufferBytes = std::size_t{64} << 10U;

class LibeventPort final : public kj::EventPort {
 public:
  explicit LibeventPort(event* turn_event) : turn_event_(turn_event) {}

  bool wait() override {
    KJ_FAIL_REQUIRE("promises can't be waited for on the event loop");
  }
  bool poll() override { return false; }
  void setRunnable(bool runnable) override {
    if (runnable) event_active(turn_event_, 0, 0);
  }

 private:
  event* turn_event_;
};

}  // namespace

class KjLoop {
 public:
  explicit KjLoop(event_base* base)
      : base_(base),
        turn_event_(event_new(base, -1, 0, Turn, this)),
        port_(turn_event_.get()),
        loop_(port_),
        scope_(loop_) {}

  event_base* base() const { return base_; }

 private:
  // libevent's callback type has a parameter of type short.
  // NOLINTNEXTLINE(google-runtime-int)
  static void Turn(evutil_socket_t /*fd*/, short /*what*/, void* arg) {
    auto& self = *static_cast<KjLoop*>(arg);
    self.loop_.run(kMaxKjTurns);
    if (self.loop_.isRunnable()) event_active(self.turn_event_.get(), 0, 0);
  }

  event_base* base_;
  kernel::Event turn_event_;
  LibeventPort port_;
  kj::EventLoop loop_;
  kj::WaitScope scope_;
};

kernel::Result<std::shared_ptr<KjLoop>> AcquireKjLoop(kernel::Loop& loop) {
  // KJ supports one loop per thread. All users on a thread share it.
  thread_local std::weak_ptr<KjLoop> current;
  std::shared_ptr<KjLoop> kj_loop = current.lock();
  if (!kj_loop) {
    kj_loop = std::make_shared<KjLoop>(loop.base.get());
    current = kj_loop;
  }
  if (kj_loop->base() != loop.base.get()) {
    return kernel::MakeError(kernel::ErrorCode::kConflict, "start peers", "",
                             "another loop of this thread has peers already");
  }
  return kj_loop;
}

class BuffereventStream::ReadOperation {
 public:
  ReadOperation(kj::PromiseFulfiller<std::size_t>& fulfiller,
                BuffereventStream& stream, void* buffer, std::size_t min_bytes,
                std::size_t max_bytes)
      : fulfiller_(fulfiller),
        stream_(stream),
        buffer_(static_cast<kj::byte*>(buffer)),
        min_bytes_(min_bytes),
        max_bytes_(max_bytes),
        order_(stream.incomplete_ != nullptr ? stream.incomplete_->NextOrder()
                                             : 0) {
    stream_.read_operation_ = this;
    ReadAvailable();
  }
  ~ReadOperation() { Detach(); }
  KJ_DISALLOW_COPY(ReadOperation);

  // Copies the input that is available, unless the peer has too much unread.
  // Resolves the promise if it has the minimum size or the stream has ended.
  void ReadAvailable() {
    if (stream_.HasTooMuchUnread()) return;
    stream_.SetReceiving(true);
    evbuffer* input = bufferevent_get_input(stream_.buffer_.get());
    const int received =
        evbuffer_remove(input, buffer_ + bytes_read_, max_bytes_ - bytes_read_);
    if (received > 0) Count(static_cast<std::size_t>(received));
    if (bytes_read_ >= min_bytes_ || stream_.eof_) {
      Detach();
      fulfiller_.fulfill(kj::cp(bytes_read_));
    }
  }
  void Fail() {
    Detach();
    fulfiller_.reject(
        KJ_EXCEPTION(DISCONNECTED, "connection to the peer broke"));
  }

  IncompleteRead Incomplete() const { return {bytes_read_, order_}; }

 private:
  void Count(std::size_t received) {
    bytes_read_ += received;
    if (stream_.incomplete_ != nullptr) stream_.incomplete_->Add(received);
  }
  void Detach() {
    if (stream_.read_operation_ != this) return;
    stream_.read_operation_ = nullptr;
    if (stream_.incomplete_ != nullptr)
      stream_.incomplete_->Remove(bytes_read_);
  }

  kj::PromiseFulfiller<std::size_t>& fulfiller_;
  BuffereventStream& stream_;
  kj::byte* buffer_;
  std::size_t min_bytes_;
  std::size_t max_bytes_;
  std::size_t bytes_read_ = 0;
  std::uint64_t order_;
};

class BuffereventStream::DrainOperation {
 public:
  DrainOperation(kj::PromiseFulfiller<void>& fulfiller,
                 BuffereventStream& stream)
      : fulfiller_(fulfiller), stream_(stream) {
    stream_.drain_operation_ = this;
  }
  ~DrainOperation() { Detach(); }
  KJ_DISALLOW_COPY(DrainOperation);

  void Finish() {
    Detach();
    fulfiller_.fulfill();
  }
  void Fail() {
    Detach();
    fulfiller_.reject(
        KJ_EXCEPTION(DISCONNECTED, "connection to the peer broke"));
  }

 private:
  void Detach() {
    if (stream_.drain_operation_ == this) stream_.drain_operation_ = nullptr;
  }

  kj::PromiseFulfiller<void>& fulfiller_;
  BuffereventStream& stream_;
};

void IncompleteInput::Add(std::size_t bytes) {
  bytes_ += bytes;
  if (bytes_ > max_bytes_) on_excess_();
}

BuffereventStream::BuffereventStream(Bufferevent buffer, UnreadLimits unread,
                                     IncompleteInput* incomplete)
    : buffer_(std::move(buffer)), unread_(unread), incomplete_(incomplete) {
  RecordHeard();
  bufferevent_setwatermark(buffer_.get(), EV_READ, 0, kMaxStreamBufferBytes);
  if (unread_.max_stall.count() > 0) {
    const timeval max_stall = kernel::ToTimeval(unread_.max_stall);
    bufferevent_set_timeouts(buffer_.get(), nullptr, &max_stall);
  }
  bufferevent_setcb(buffer_.get(), OnReadable, OnWritable, OnEvent, this);
  bufferevent_enable(buffer_.get(), EV_READ | EV_WRITE);
}

kj::Promise<std::size_t> BuffereventStream::tryRead(void* buffer,
                                                    std::size_t min_bytes,
                                                    std::size_t max_bytes) {
  if (broken_) {
    return KJ_EXCEPTION(DISCONNECTED, "connection to the peer broke");
  }
  return kj::newAdaptedPromise<std::size_t, ReadOperation>(
      *this, buffer, min_bytes, max_bytes);
}

kj::Promise<void> BuffereventStream::write(const void* buffer,
                                           std::size_t size) {
  if (broken_) {
    return KJ_EXCEPTION(DISCONNECTED, "connection to the peer broke");
  }
  bufferevent_write(buffer_.get(), buffer, size);
  return WhenDrained();
}

kj::Promise<void> BuffereventStream::write(
    kj::ArrayPtr<const kj::ArrayPtr<const kj::byte>> pieces) {
  if (broken_) {
    return KJ_EXCEPTION(DISCONNECTED, "connection to the peer broke");
  }
  for (const auto piece : pieces) {
    bufferevent_write(buffer_.get(), piece.begin(), piece.size());
  }
  return WhenDrained();
}

kj::Promise<void> BuffereventStream::WhenDrained() {
  if (PendingOutputBytes() <= kMaxStreamBufferBytes) return kj::READY_NOW;
  return kj::newAdaptedPromise<void, DrainOperation>(*this);
}

kj::Promise<void> BuffereventStream::whenWriteDisconnected() {
  return kj::NEVER_DONE;
}

void BuffereventStream::shutdownWrite() {
  const evutil_socket_t fd = bufferevent_getfd(buffer_.get());
  if (fd >= 0) shutdown(fd, SHUT_WR);
}

std::size_t BuffereventStream::PendingOutputBytes() const {
  return evbuffer_get_length(bufferevent_get_output(buffer_.get()));
}

IncompleteRead BuffereventStream::Incomplete() const {
  return read_operation_ != nullptr ? read_operation_->Incomplete()
                                    : IncompleteRead{};
}

void BuffereventStream::OnReadable(bufferevent* /*buffer*/, void* arg) {
  auto& self = *static_cast<BuffereventStream*>(arg);
  self.RecordHeard();
  self.ContinueReading();
  // Full input that stays would make libevent call this again and again.
  evbuffer* input = bufferevent_get_input(self.buffer_.get());
  if (evbuffer_get_length(input) >= kMaxStreamBufferBytes)
    self.SetReceiving(false);
}

void BuffereventStream::RecordHeard() {
  if (incomplete_ != nullptr) heard_order_ = incomplete_->NextOrder();
}

void BuffereventStream::OnWritable(bufferevent* /*buffer*/, void* arg) {
  auto& self = *static_cast<BuffereventStream*>(arg);
  if (self.drain_operation_ != nullptr) self.drain_operation_->Finish();
  self.ContinueReading();
}

// libevent's callback type has a parameter of type short.
// NOLINTNEXTLINE(google-runtime-int)
void BuffereventStream::OnEvent(bufferevent* /*buffer*/, short events,
                                void* arg) {
  auto& self = *static_cast<BuffereventStream*>(arg);
  if ((events & BEV_EVENT_CONNECTED) != 0) return;
  if ((events & BEV_EVENT_EOF) != 0) {
    self.eof_ = true;
    self.ContinueReading();
    return;
  }
  self.Disconnect();
}

bool BuffereventStream::HasTooMuchUnread() const {
  if (PendingOutputBytes() > unread_.max_bytes) return true;
  // A writer that waits has more to write.
  return unread_.IsLimited() && drain_operation_ != nullptr;
}

void BuffereventStream::SetReceiving(bool receives) {
  if (std::exchange(receives_, receives) == receives) return;
  receives ? bufferevent_enable(buffer_.get(), EV_READ)
           : bufferevent_disable(buffer_.get(), EV_READ);
}

void BuffereventStream::ContinueReading() {
  if (read_operation_ != nullptr) read_operation_->ReadAvailable();
}

void BuffereventStream::Disconnect() {
  broken_ = true;
  if (read_operation_ != nullptr) read_operation_->Fail();
  if (drain_operation_ != nullptr) drain_operation_->Fail();
}

}  // namespace egretladder::net
