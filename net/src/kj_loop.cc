#include "egretladder/net/kj_loop.h"

#include <event2/buffer.h>
#include <kj/debug.h>
#include <sys/socket.h>

#include <algorithm>

namespace egretladder::net {
namespace {

// Turns of KJ before libevent gets its turn, so that busy peers can't starve
// callers.
constexpr kj::uint kTurns = 200;

// Output that may wait in one connection before its writer is held back, and
// input that is read ahead.
constexpr std::size_t kStreamBuffer = std::size_t{64} << 10U;

class LibeventPort final : public kj::EventPort {
 public:
  explicit LibeventPort(event* turn) : turn_(turn) {}

  bool wait() override {
    KJ_FAIL_REQUIRE("nothing may wait for a promise on the event loop");
  }
  bool poll() override { return false; }
  void setRunnable(bool runnable) override {
    if (runnable) event_active(turn_, 0, 0);
  }

 private:
  event* turn_;
};

}  // namespace

class KjLoop {
 public:
  explicit KjLoop(event_base* base)
      : base_(base),
        turn_(event_new(base, -1, 0, Turn, this)),
        port_(turn_.get()),
        loop_(port_),
        scope_(loop_) {}

  event_base* base() const { return base_; }

 private:
  // The signature is libevent's.
  // NOLINTNEXTLINE(google-runtime-int)
  static void Turn(evutil_socket_t /*fd*/, short /*what*/, void* arg) {
    auto& self = *static_cast<KjLoop*>(arg);
    self.loop_.run(kTurns);
    if (self.loop_.isRunnable()) event_active(self.turn_.get(), 0, 0);
  }

  event_base* base_;
  kernel::Event turn_;
  LibeventPort port_;
  kj::EventLoop loop_;
  kj::WaitScope scope_;
};

kernel::Result<std::shared_ptr<KjLoop>> AcquireKjLoop(kernel::Loop& loop) {
  // KJ keeps one loop per thread; gateways of one thread share it.
  thread_local std::weak_ptr<KjLoop> present;
  std::shared_ptr<KjLoop> held = present.lock();
  if (!held) {
    held = std::make_shared<KjLoop>(loop.base.get());
    present = held;
  }
  if (held->base() != loop.base.get()) {
    return kernel::MakeError(kernel::ErrorCode::kConflict, "start peers", "",
                             "another loop of this thread has peers already");
  }
  return held;
}

class BuffereventStream::ReadOperation {
 public:
  ReadOperation(kj::PromiseFulfiller<std::size_t>& done,
                BuffereventStream& stream, void* buffer, std::size_t least,
                std::size_t most)
      : done_(done),
        stream_(stream),
        buffer_(static_cast<kj::byte*>(buffer)),
        least_(least),
        most_(most) {
    stream_.reading_ = this;
    Step();
  }
  ~ReadOperation() { Detach(); }
  KJ_DISALLOW_COPY(ReadOperation);

  // Takes what has come; settles the promise when that is enough or all.
  void Step() {
    evbuffer* input = bufferevent_get_input(stream_.buffer_.get());
    const int got = evbuffer_remove(input, buffer_ + got_, most_ - got_);
    if (got > 0) got_ += static_cast<std::size_t>(got);
    if (got_ >= least_ || stream_.ended_) {
      Detach();
      done_.fulfill(kj::cp(got_));
    }
  }
  void Fail() {
    Detach();
    done_.reject(KJ_EXCEPTION(DISCONNECTED, "connection to the peer broke"));
  }

 private:
  void Detach() {
    if (stream_.reading_ == this) stream_.reading_ = nullptr;
  }

  kj::PromiseFulfiller<std::size_t>& done_;
  BuffereventStream& stream_;
  kj::byte* buffer_;
  std::size_t least_;
  std::size_t most_;
  std::size_t got_ = 0;
};

class BuffereventStream::DrainOperation {
 public:
  DrainOperation(kj::PromiseFulfiller<void>& done, BuffereventStream& stream)
      : done_(done), stream_(stream) {
    stream_.draining_ = this;
  }
  ~DrainOperation() { Detach(); }
  KJ_DISALLOW_COPY(DrainOperation);

  void Finish() {
    Detach();
    done_.fulfill();
  }
  void Fail() {
    Detach();
    done_.reject(KJ_EXCEPTION(DISCONNECTED, "connection to the peer broke"));
  }

 private:
  void Detach() {
    if (stream_.draining_ == this) stream_.draining_ = nullptr;
  }

  kj::PromiseFulfiller<void>& done_;
  BuffereventStream& stream_;
};

BuffereventStream::BuffereventStream(Bufferevent buffer)
    : buffer_(std::move(buffer)) {
  bufferevent_setwatermark(buffer_.get(), EV_READ, 0, kStreamBuffer);
  bufferevent_setcb(buffer_.get(), OnReadable, OnWritable, OnEvent, this);
  bufferevent_enable(buffer_.get(), EV_READ | EV_WRITE);
}

kj::Promise<std::size_t> BuffereventStream::tryRead(void* buffer,
                                                    std::size_t least,
                                                    std::size_t most) {
  if (broken_) {
    return KJ_EXCEPTION(DISCONNECTED, "connection to the peer broke");
  }
  return kj::newAdaptedPromise<std::size_t, ReadOperation>(*this, buffer, least,
                                                           most);
}

kj::Promise<void> BuffereventStream::write(const void* buffer,
                                           std::size_t size) {
  if (broken_) {
    return KJ_EXCEPTION(DISCONNECTED, "connection to the peer broke");
  }
  bufferevent_write(buffer_.get(), buffer, size);
  return Drained();
}

kj::Promise<void> BuffereventStream::write(
    kj::ArrayPtr<const kj::ArrayPtr<const kj::byte>> pieces) {
  if (broken_) {
    return KJ_EXCEPTION(DISCONNECTED, "connection to the peer broke");
  }
  for (const auto piece : pieces) {
    bufferevent_write(buffer_.get(), piece.begin(), piece.size());
  }
  return Drained();
}

kj::Promise<void> BuffereventStream::Drained() {
  if (PendingOutputBytes() <= kStreamBuffer) return kj::READY_NOW;
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

void BuffereventStream::OnReadable(bufferevent* /*buffer*/, void* arg) {
  auto& self = *static_cast<BuffereventStream*>(arg);
  if (self.reading_ != nullptr) self.reading_->Step();
}

void BuffereventStream::OnWritable(bufferevent* /*buffer*/, void* arg) {
  auto& self = *static_cast<BuffereventStream*>(arg);
  if (self.draining_ != nullptr) self.draining_->Finish();
}

// The signature is libevent's.
// NOLINTNEXTLINE(google-runtime-int)
void BuffereventStream::OnEvent(bufferevent* /*buffer*/, short what,
                                void* arg) {
  auto& self = *static_cast<BuffereventStream*>(arg);
  if ((what & BEV_EVENT_CONNECTED) != 0) return;
  if ((what & BEV_EVENT_EOF) != 0) {
    self.ended_ = true;
    if (self.reading_ != nullptr) self.reading_->Step();
    return;
  }
  self.Abort();
}

void BuffereventStream::Abort() {
  broken_ = true;
  if (reading_ != nullptr) reading_->Fail();
  if (draining_ != nullptr) draining_->Fail();
}

}  // namespace egretladder::net
