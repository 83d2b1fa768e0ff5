// One connection of a caller at an HTTP server.
#pragma once

#include <event2/buffer.h>

#include <cstddef>
#include <cstdint>
#include <memory>
#include <string>
#include <string_view>
#include <unordered_set>
#include <utility>

#include "egretladder/net/http_server.h"
#include "egretladder/net/limits.h"
#include "egretladder/net/socket.h"

namespace egretladder::net {

struct HttpServer::State : std::enable_shared_from_this<State> {
  kernel::Loop* loop = nullptr;
  ServerHandlers handlers;
  ServerLimits limits;
  Listener listener;
  std::string address;
  bool close_after_answers = false;
  kernel::EventWatcher sweep;

  void Accept(evutil_socket_t fd);
  // Takes what the kernel accepted already and would reset with the listener.
  void AcceptWaiting();
  void Sweep();

  std::unordered_set<std::shared_ptr<HttpConnection>> connections;
};

inline constexpr int kContinue = 100;
inline constexpr int kRequestTimeout = 408;
inline constexpr int kUnavailable = 503;

/// Status of the answer to a request that can't be read.
inline int StatusOf(ReadFault fault) {
  switch (fault) {
    case ReadFault::kHeadTooLarge:
      return 431;
    case ReadFault::kBodyTooLarge:
      return 413;
    case ReadFault::kNone:
    case ReadFault::kSyntax:
      break;
  }
  return 400;
}

/// What a connection waits for, and what follows when it takes too long.
enum class Awaits : std::uint8_t {
  kNothing,  // An answer is being made.
  kRequest,
  kHead,
  kBody,
  kClose,  // Lingers after an answer that ends it.
};

/// One connection of a caller. Lives while it is in the server's set or a call
// refers to it.
class HttpConnection : public std::enable_shared_from_this<HttpConnection> {
 public:
  HttpConnection(std::weak_ptr<HttpServer::State> server, kernel::Loop& loop,
                 Bufferevent buffer)
      : server_(std::move(server)), loop_(loop), buffer_(std::move(buffer)) {}

  void Open() {
    bufferevent_setcb(buffer_.get(), OnReadable, OnWritten, OnEvent, this);
    bufferevent_setwatermark(buffer_.get(), EV_READ, 0, kHttpReadAhead);
    if (const auto server = server_.lock()) {
      const timeval drain = kernel::ToTimeval(server->limits.write_timeout);
      bufferevent_set_timeouts(buffer_.get(), nullptr, &drain);
    }
    bufferevent_enable(buffer_.get(), EV_READ | EV_WRITE);
    AwaitRequest();
  }

  bool IsDue(kernel::Time now) const {
    return awaits_ != Awaits::kNothing && now >= due_;
  }

  // A connection that isn't read shows no end by itself, and the endpoint would
  // work on for nobody.
  bool LeftUnread() const {
    return read_held_ && call_ != nullptr &&
           HasLeft(bufferevent_getfd(buffer_.get()));
  }

  // What it waits for took too long.
  void TimeOut() {
    if (awaits_ == Awaits::kHead) {
      Refuse(kRequestTimeout, "the request took too long");
    } else if (awaits_ == Awaits::kBody) {
      Refuse(kRequestTimeout, "the body took too long");
    } else if (awaits_ == Awaits::kClose && IsBeingTaken()) {
      AwaitClose();
    } else {
      Close();
    }
  }

  // Drops the socket at once. What the caller has not taken is lost.
  void Close() {
    if (closed_) return;
    closed_ = true;
    const auto self = shared_from_this();
    awaits_ = Awaits::kNothing;
    if (call_ != nullptr && call_->begun_ && !call_->chunked_) {
      ResetOnClose(bufferevent_getfd(buffer_.get()));
    }
    buffer_.reset();
    if (const auto call = std::exchange(call_, nullptr)) {
      call->connection_ = nullptr;
      if (auto gone = std::exchange(call->gone_, nullptr)) gone();
    }
    if (const auto server = server_.lock()) {
      server->connections.erase(self);
      if (server->listener) evconnlistener_enable(server->listener.get());
    }
  }

  void Put(std::string_view bytes) {
    if (!closed_) Write(buffer_.get(), bytes);
  }

  std::size_t UnsentBytes() const {
    return closed_ ? 0 : PendingOutputBytes(buffer_.get());
  }

  // A part of a request came, and not all of it.
  bool IsHalfRead() const {
    return awaits_ == Awaits::kHead || awaits_ == Awaits::kBody;
  }

  void RefuseIncompleteRequests(const std::string& why) {
    if (IsHalfRead()) Refuse(kUnavailable, why);
  }

  // What was written may still be on its way to the caller.
  bool IsUntaken() const {
    if (closed_) return false;
    return lingering_ || UnsentBytes() > 0 ||
           HeldByKernel(bufferevent_getfd(buffer_.get())) > 0;
  }

  bool CloseAfterAnswers() const {
    const auto server = server_.lock();
    return server == nullptr || server->close_after_answers;
  }

  // The call's answer is written.
  void CallOver(bool close) {
    call_ = nullptr;
    if (closed_) return;
    if (close) {
      LingerThenClose();
      return;
    }
    AwaitRequest();
    SetReading(true);
    // From the loop, so that a pipelined request doesn't nest in the answer to
    // the one before.
    bufferevent_trigger(buffer_.get(), EV_READ, BEV_OPT_DEFER_CALLBACKS);
  }

 private:
  static void OnReadable(bufferevent* /*buffer*/, void* arg) {
    static_cast<HttpConnection*>(arg)->shared_from_this()->Read();
  }
  static void OnWritten(bufferevent* /*buffer*/, void* arg) {
    static_cast<HttpConnection*>(arg)->shared_from_this()->Written();
  }
  // NOLINTNEXTLINE(google-runtime-int)
  static void OnEvent(bufferevent* /*buffer*/, short what, void* arg) {
    const auto self = static_cast<HttpConnection*>(arg)->shared_from_this();
    constexpr int kNoEnd = BEV_EVENT_ERROR | BEV_EVENT_TIMEOUT;
    if ((what & BEV_EVENT_EOF) != 0 && (what & kNoEnd) == 0) {
      self->InputEnded();
    } else {
      self->Close();
    }
  }

  // A caller that sends no more may still take the answer that is on its way.
  // One that waits for its answer can't be told from one that left.
  void InputEnded() {
    if (closed_) return;
    input_ended_ = true;
    if (call_ != nullptr || UnsentBytes() == 0) {
      Close();
    } else if (!lingering_) {
      LingerThenClose();
    }
  }

  void AwaitRequest() {
    const auto server = server_.lock();
    if (server == nullptr) return;
    reader_ = std::make_unique<RequestReader>(server->limits.size);
    began_ = false;
    continued_ = false;
    Await(Awaits::kRequest, server->limits.idle_timeout);
  }

  void SetReading(bool reading) {
    read_held_ = !reading;
    if (reading) {
      bufferevent_enable(buffer_.get(), EV_READ);
    } else {
      bufferevent_disable(buffer_.get(), EV_READ);
    }
  }

  void Await(Awaits what, std::chrono::milliseconds most) {
    awaits_ = what;
    due_ = kernel::Now(loop_.clock) + most;
  }

  void Read() {
    if (lingering_) {
      Consume(buffer_.get(), PendingInput(buffer_.get()).size());
      return;
    }
    if (closed_) return;
    const std::string_view input = PendingInput(buffer_.get());
    if (call_ != nullptr) {  // Read when its answer is out.
      // Called back at once and for ever while it is full.
      if (input.size() >= kHttpReadAhead) SetReading(false);
      return;
    }
    if (input.empty()) return;
    const auto server = server_.lock();
    if (server == nullptr) return;
    if (!began_) {
      began_ = true;
      Await(Awaits::kHead, server->limits.head_timeout);
    }
    const ReadState before = reader_->state();
    Consume(buffer_.get(), reader_->Feed(input));
    if (reader_->state() == ReadState::kFailed) {
      Refuse(StatusOf(reader_->fault()), reader_->detail());
    } else if (reader_->state() == ReadState::kDone) {
      awaits_ = Awaits::kNothing;
      StartCall(*server);
    } else if (reader_->state() == ReadState::kBody) {
      if (before == ReadState::kHead) {
        Await(Awaits::kBody, server->limits.body_timeout);
      }
      if (reader_->WantsContinue() && !std::exchange(continued_, true)) {
        Put(AnswerText(kContinue, ReasonPhrase(kContinue), {},
                       BodyFraming::kNone, 0, false));
      }
    }
  }

  void StartCall(HttpServer::State& server) {
    call_ = std::make_shared<HttpCall>(shared_from_this(),
                                       std::move(reader_->request()));
    // A copy: the handler may end the call and with it this connection.
    const HttpCallPtr call = call_;
    server.handlers.on_request(call);
  }

  void Refuse(int status, const std::string& why) {
    const auto server = server_.lock();
    if (server == nullptr || closed_) return;
    if (server->handlers.on_refused) server->handlers.on_refused(status, why);
    std::string body;
    if (server->handlers.refusal_body) {
      body = server->handlers.refusal_body(status, why);
    }
    const HttpFields fields = {{"Content-Type", "application/json"}};
    Put(AnswerText(status, ReasonPhrase(status), fields, BodyFraming::kLength,
                   body.size(), true));
    Put(body);
    LingerThenClose();
  }

  // Closes once the caller has taken the answer. While it takes, nothing is
  // awaited: a caller on a slow link would lose the rest of an answer that
  // takes it longer than the lingering. One that takes nothing is ended by the
  // buffer's own time-out.
  void LingerThenClose() {
    lingering_ = true;
    awaits_ = Awaits::kNothing;
    Consume(buffer_.get(), PendingInput(buffer_.get()).size());
    SetReading(true);
    if (PendingOutputBytes(buffer_.get()) == 0) Written();
  }

  void Written() {
    if (closed_) return;
    if (call_ != nullptr && call_->drained_) {
      const auto drained = call_->drained_;
      drained();
    }
    if (!lingering_ || closed_) return;
    shutdown(bufferevent_getfd(buffer_.get()), SHUT_WR);
    held_since_ = kernel::Now(loop_.clock);
    AwaitClose();
  }

  void AwaitClose() {
    // Nothing can be left unread once the caller ended its input.
    Await(Awaits::kClose,
          input_ended_ ? std::chrono::milliseconds(0) : kLingeringClose);
  }

  // The kernel holds a part of the answer, and the caller took some of it
  // within the time for that.
  bool IsBeingTaken() {
    const auto server = server_.lock();
    const int held = HeldByKernel(bufferevent_getfd(buffer_.get()));
    if (server == nullptr || held == 0) return false;
    const kernel::Time now = kernel::Now(loop_.clock);
    if (std::exchange(held_, held) != held) held_since_ = now;
    return now - held_since_ < server->limits.write_timeout;
  }

  std::weak_ptr<HttpServer::State> server_;
  kernel::Loop& loop_;
  Bufferevent buffer_;
  std::unique_ptr<RequestReader> reader_;
  HttpCallPtr call_;
  Awaits awaits_ = Awaits::kNothing;
  kernel::Time due_{};
  int held_ = 0;  // By the kernel, when it was looked at last.
  kernel::Time held_since_{};
  bool began_ = false;      // The first byte of a request is there.
  bool continued_ = false;  // `100 Continue` was sent.
  bool lingering_ = false;
  bool input_ended_ = false;
  bool read_held_ = false;  // Too much waits behind the call.
  bool closed_ = false;
};

}  // namespace egretladder::net
