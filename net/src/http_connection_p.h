// One connection of a caller to an HTTP server.
#pragma once

#include <event2/buffer.h>

#include <algorithm>
#include <cstddef>
#include <cstdint>
#include <memory>
#include <optional>
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
  bool resets_when_killed = true;  // Within an answer without framing.
  ServerGroupPtr group;
  /// Size of the output that callers haven't taken, of all connections.
  std::size_t unsent_bytes = 0;
  bool is_accepting = true;
  std::uint64_t closed_waiting = 0;
  kernel::EventWatcher sweep;

  void Accept(evutil_socket_t fd);
  void SetAccepting(bool accepts);
  // Closes up to `most` connections if there are too many, those that have
  // waited for their callers for longest. Returns true if there is room then.
  bool MakeRoom(std::size_t most);
  // Accepts the connections in the listen backlog, which the kernel would reset
  // when the listener is closed.
  void AcceptBacklog();
  // Handles timeouts and closes connections whose caller has left.
  void Sweep();

  std::unordered_set<std::shared_ptr<HttpConnection>> connections;
};

inline constexpr int kStatusContinue = 100;
inline constexpr int kStatusRequestTimeout = 408;
inline constexpr int kStatusUnavailable = 503;

/// Returns the status of the answer to an invalid request.
inline int StatusForError(ReadError error) {
  switch (error) {
    case ReadError::kHeadTooLarge:
      return 431;
    case ReadError::kBodyTooLarge:
      return 413;
    case ReadError::kNone:
    case ReadError::kSyntax:
      break;
  }
  return 400;
}

/// What a connection waits for. Each state has its own timeout.
enum class WaitState : std::uint8_t {
  kNothing,  // A call is in progress, or an answer is being delivered.
  kRequest,
  kHead,
  kBody,
  kClose,  // The close by the caller, after the last answer.
};

/// One connection of a caller. Owned by the server's set of connections and by
/// its call.
class HttpConnection : public std::enable_shared_from_this<HttpConnection> {
 public:
  HttpConnection(HttpServer::State& server, Bufferevent buffer)
      : server_(server.weak_from_this()),
        group_(server.group),
        loop_(*server.loop),
        buffer_(std::move(buffer)) {}

  void Open() {
    bufferevent_setcb(buffer_.get(), OnReadable, OnWritten, OnEvent, this);
    bufferevent_setwatermark(buffer_.get(), EV_READ, 0, kMaxReadAheadBytes);
    evbuffer_add_cb(bufferevent_get_output(buffer_.get()), OnOutput, this);
    last_taken_ = kernel::Now(loop_.clock);
    if (const auto server = server_.lock()) {
      const timeval write_timeout =
          kernel::ToTimeval(server->limits.write_timeout);
      bufferevent_set_timeouts(buffer_.get(), nullptr, &write_timeout);
    }
    bufferevent_enable(buffer_.get(), EV_READ | EV_WRITE);
    AwaitRequest();
  }

  bool IsTimedOut(kernel::Time now) const {
    return wait_state_ != WaitState::kNothing && now >= deadline_;
  }

  // Returns since when nothing came from the caller, though only it can go on;
  // unset: it waits for this process, or its request has just come.
  std::optional<kernel::Time> WaitsSince() const {
    if (closed_ || call_ != nullptr) return std::nullopt;
    if (UnsentBytes() > 0) return last_taken_;
    if (wait_state_ == WaitState::kNothing) return std::nullopt;
    return std::max(wait_began_, last_received_);
  }

  bool HasUnreadInput() const {
    return !closed_ && UnreadBytes(bufferevent_getfd(buffer_.get())) > 0;
  }

  // A request is with an endpoint, and none of its answer was sent.
  bool HasUnbegunCall() const { return call_ != nullptr && !call_->begun_; }

  // While reading is paused, libevent doesn't report that the caller has left,
  // and the endpoint would go on with work that nobody waits for.
  bool IsCallerGoneWhilePaused() const {
    return reading_paused_ && call_ != nullptr &&
           HasPeerClosed(bufferevent_getfd(buffer_.get()));
  }

  // Called when the deadline of the current wait has passed.
  void OnTimeout() {
    if (wait_state_ == WaitState::kHead) {
      Refuse(kStatusRequestTimeout, "the request took too long");
    } else if (wait_state_ == WaitState::kBody) {
      Refuse(kStatusRequestTimeout, "the body took too long");
    } else if (wait_state_ == WaitState::kClose && IsAnswerProgressing()) {
      AwaitClose();
    } else if (wait_state_ == WaitState::kRequest && UnsentBytes() > 0) {
      // The write timeout ends it if its caller takes nothing.
      StartWait(WaitState::kRequest, kHttpSweepInterval);
    } else {
      Close();
    }
  }

  // Closes the socket at once. Output that was not sent yet is lost.
  void Close() {
    if (closed_) return;
    closed_ = true;
    const auto self = shared_from_this();
    wait_state_ = WaitState::kNothing;
    const bool breaks_off =
        call_ != nullptr && call_->begun_ && !call_->chunked_;
    // What is unsent may belong to an answer that ends with its connection.
    if (breaks_off || is_aborted_ || PendingOutputBytes(buffer_.get()) > 0)
      SetResetOnClose(bufferevent_getfd(buffer_.get()));
    CountOutput(0, PendingOutputBytes(buffer_.get()));
    UpdateGroup(false);
    evbuffer_remove_cb(bufferevent_get_output(buffer_.get()), OnOutput, this);
    buffer_.reset();
    if (const auto call = std::exchange(call_, nullptr)) {
      call->connection_ = nullptr;
      if (auto action = std::exchange(call->on_disconnect_, nullptr)) action();
    }
    if (const auto server = server_.lock()) {
      CountIncomplete(0);
      server->connections.erase(self);
      if (server->listener && !server->is_accepting) server->SetAccepting(true);
    }
  }

  // Ends an answer without framing so that it doesn't look complete, once the
  // kernel has taken what was written.
  void ResetAfterOutput() {
    if (const auto call = std::exchange(call_, nullptr))
      call->connection_ = nullptr;
    is_aborted_ = true;
    if (UnsentBytes() == 0) {
      Close();
    } else {
      LingerThenClose();
    }
  }

  // From now on the end of the connection is that of an answer. Until all of it
  // is sent, the connection is reset if the process is killed.
  void OnUnframedAnswer() {
    const auto server = server_.lock();
    if (closed_ || server == nullptr || !server->resets_when_killed) return;
    SetResetOnClose(bufferevent_getfd(buffer_.get()));
  }

  void WriteOutput(std::string_view bytes) {
    if (!closed_) Write(buffer_.get(), bytes);
  }

  std::size_t UnsentBytes() const {
    return closed_ ? 0 : PendingOutputBytes(buffer_.get());
  }

  // Returns how long the caller has taken nothing of its output.
  std::chrono::milliseconds TimeWithoutProgress(kernel::Time now) const {
    return std::chrono::duration_cast<std::chrono::milliseconds>(now -
                                                                 last_taken_);
  }

  // Returns true if a part of a request was received, but not all of it.
  bool HasIncompleteRequest() const {
    return wait_state_ == WaitState::kHead || wait_state_ == WaitState::kBody;
  }

  void RefuseIncompleteRequest(const std::string& why) {
    if (HasIncompleteRequest()) Refuse(kStatusUnavailable, why);
  }

  // Returns true if the caller may not have received the whole answer yet.
  bool IsUndelivered() const {
    if (closed_) return false;
    return lingering_ || UnsentBytes() > 0 ||
           UnacknowledgedBytes(bufferevent_getfd(buffer_.get())) > 0;
  }

  bool CloseAfterAnswers() const {
    const auto server = server_.lock();
    return server == nullptr || server->close_after_answers;
  }

  // Called when the whole answer of the call was written to the output buffer.
  void OnCallEnded(bool close) {
    call_ = nullptr;
    if (closed_) return;
    if (close) {
      LingerThenClose();
      return;
    }
    ReadNextRequest();
  }

 private:
  static void OnReadable(bufferevent* /*buffer*/, void* arg) {
    static_cast<HttpConnection*>(arg)->shared_from_this()->Read();
  }
  static void OnOutput(evbuffer* buffer, const evbuffer_cb_info* info,
                       void* arg) {
    auto* self = static_cast<HttpConnection*>(arg);
    // Output of an idle caller wasn't there to be taken.
    const std::size_t length = evbuffer_get_length(buffer);
    const bool was_empty = length == info->n_added;
    if (info->n_deleted > 0 || was_empty)
      self->last_taken_ = kernel::Now(self->loop_.clock);
    self->UpdateGroup(length > 0);
    self->CountOutput(info->n_added, info->n_deleted);
  }
  static void OnWritten(bufferevent* /*buffer*/, void* arg) {
    static_cast<HttpConnection*>(arg)->shared_from_this()->OnOutputDrained();
  }
  // NOLINTNEXTLINE(google-runtime-int)
  static void OnEvent(bufferevent* /*buffer*/, short events, void* arg) {
    const auto self = static_cast<HttpConnection*>(arg)->shared_from_this();
    constexpr int kErrorEvents = BEV_EVENT_ERROR | BEV_EVENT_TIMEOUT;
    if ((events & BEV_EVENT_EOF) != 0 && (events & kErrorEvents) == 0) {
      self->OnInputEnded();
    } else {
      self->Close();
    }
  }

  // A caller that has ended its output may still receive an answer that is
  // being delivered. While a call is in progress, it can't be distinguished
  // from a caller that has left, so that the connection is closed.
  void OnInputEnded() {
    if (closed_) return;
    input_ended_ = true;
    if (call_ != nullptr || UnsentBytes() == 0) {
      Close();
    } else if (!lingering_) {
      LingerThenClose();
    }
  }

  // Reads the next request, once the caller has taken its answers: otherwise
  // answers that nobody reads pile up here.
  void ReadNextRequest() {
    awaits_drain_ = UnsentBytes() > kMaxUnreadBytes;
    if (awaits_drain_) {
      wait_state_ = WaitState::kNothing;
      SetReading(false);
      return;
    }
    AwaitRequest();
    is_answer_unread_ = UnsentBytes() > 0;
    // What has come already is looked at before more is read.
    SetReading(PendingInput(buffer_.get()).empty());
    // Reads a pipelined request from the event loop, so that it is not handled
    // inside the call that answers the previous one.
    bufferevent_trigger(buffer_.get(), EV_READ, BEV_OPT_DEFER_CALLBACKS);
  }

  void UpdateGroup(bool has_output) {
    if (std::exchange(has_output_, has_output) == has_output) return;
    if (has_output) {
      group_->with_output_.insert(this);
    } else {
      group_->with_output_.erase(this);
    }
  }

  void AwaitRequest() {
    const auto server = server_.lock();
    if (server == nullptr) return;
    reader_ = std::make_unique<RequestReader>(server->limits.size);
    request_started_ = false;
    continue_sent_ = false;
    StartWait(WaitState::kRequest, server->limits.idle_timeout);
  }

  void SetReading(bool reading) {
    reading_paused_ = !reading;
    if (reading) {
      bufferevent_enable(buffer_.get(), EV_READ);
    } else {
      bufferevent_disable(buffer_.get(), EV_READ);
    }
  }

  void StartWait(WaitState state, std::chrono::milliseconds timeout) {
    wait_state_ = state;
    wait_began_ = kernel::Now(loop_.clock);
    deadline_ = wait_began_ + timeout;
  }

  void Read() {
    if (lingering_) {
      Consume(buffer_.get(), PendingInput(buffer_.get()).size());
      return;
    }
    if (closed_) return;
    const std::string_view input = PendingInput(buffer_.get());
    if (call_ != nullptr || awaits_drain_) {
      // Pipelined input is read after the answer.
      if (!input.empty()) SetReading(false);
      return;
    }
    if (input.empty()) return;
    const auto server = server_.lock();
    if (server == nullptr) return;
    last_received_ = kernel::Now(loop_.clock);
    if (!request_started_) {
      request_started_ = true;
      StartWait(WaitState::kHead, server->limits.head_timeout);
    }
    const ReadState before = reader_->state();
    Consume(buffer_.get(), reader_->Feed(input));
    const bool is_incomplete = reader_->state() == ReadState::kHead ||
                               reader_->state() == ReadState::kBody;
    if (is_incomplete) SetReading(true);
    const std::size_t held =
        reader_->held_bytes() + PendingInput(buffer_.get()).size();
    CountIncomplete(is_incomplete ? held : 0);
    if (is_incomplete && !HasRoom(*server)) {
      Refuse(kStatusUnavailable, "no room for the body");
    } else if (reader_->state() == ReadState::kFailed) {
      Refuse(StatusForError(reader_->error()), reader_->detail());
    } else if (reader_->state() == ReadState::kDone) {
      wait_state_ = WaitState::kNothing;
      StartCall(*server);
    } else if (reader_->state() == ReadState::kBody) {
      if (before == ReadState::kHead) {
        StartWait(WaitState::kBody, server->limits.body_timeout);
      }
      if (reader_->WantsContinue() && !std::exchange(continue_sent_, true)) {
        WriteOutput(FormatAnswerHead(kStatusContinue,
                                     ReasonPhrase(kStatusContinue), {},
                                     BodyFraming::kNone, 0, false));
      }
    }
  }

  bool HasRoom(const HttpServer::State& server) const {
    return !server.handlers.has_room ||
           server.handlers.has_room(incomplete_bytes_);
  }

  // Records output that was added, and output that is gone.
  void CountOutput(std::size_t added, std::size_t gone) {
    const auto server = server_.lock();
    if (server != nullptr) server->unsent_bytes += added - gone;
    group_->CountUnread(added, gone);
  }

  // Records how much of a request this connection keeps until it is complete.
  void CountIncomplete(std::size_t bytes) {
    group_->CountIncomplete(bytes, std::exchange(incomplete_bytes_, bytes));
  }

  void StartCall(HttpServer::State& server) {
    call_ = std::make_shared<HttpCall>(shared_from_this(),
                                       std::move(reader_->request()));
    // The handler may end the call and with it this connection.
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
    WriteOutput(FormatAnswerHead(status, ReasonPhrase(status), fields,
                                 BodyFraming::kLength, body.size(), true));
    WriteOutput(body);
    LingerThenClose();
    // It may hold much, and is fed no more. `why` may be its text.
    reader_ = nullptr;
    CountIncomplete(0);
  }

  // Closes the connection after the caller has received the answer. There is no
  // timeout for that while the caller makes progress, since a caller on a slow
  // link may need longer than the lingering close. If it makes none, the write
  // timeout of the bufferevent closes the connection.
  void LingerThenClose() {
    lingering_ = true;
    wait_state_ = WaitState::kNothing;
    Consume(buffer_.get(), PendingInput(buffer_.get()).size());
    SetReading(true);
    if (PendingOutputBytes(buffer_.get()) == 0) OnOutputDrained();
  }

  void OnOutputDrained() {
    if (closed_) return;
    if (call_ != nullptr && call_->on_drained_) {
      const auto drained = call_->on_drained_;
      drained();
    }
    if (closed_) return;
    if (awaits_drain_ && !lingering_) ReadNextRequest();
    OnAnswersTaken();
    if (!lingering_) return;
    if (is_aborted_) {
      Close();
      return;
    }
    SetResetOnClose(bufferevent_getfd(buffer_.get()), false);
    shutdown(bufferevent_getfd(buffer_.get()), SHUT_WR);
    last_progress_ = kernel::Now(loop_.clock);
    AwaitClose();
  }

  // The caller has its answers, and may wait with its next request from now on.
  void OnAnswersTaken() {
    const auto server = server_.lock();
    if (server == nullptr || !std::exchange(is_answer_unread_, false) ||
        wait_state_ != WaitState::kRequest || request_started_) {
      return;
    }
    StartWait(WaitState::kRequest, server->limits.idle_timeout);
  }

  void AwaitClose() {
    // After the end of the caller's output no unread input can cause a reset,
    // so there is no need to linger.
    StartWait(WaitState::kClose, input_ended_ ? std::chrono::milliseconds(0)
                                              : kLingeringCloseTimeout);
  }

  // Returns true if a part of the answer is not acknowledged yet and the caller
  // has acknowledged some of it within the write timeout.
  bool IsAnswerProgressing() {
    const auto server = server_.lock();
    const int unacknowledged =
        UnacknowledgedBytes(bufferevent_getfd(buffer_.get()));
    if (server == nullptr || unacknowledged == 0) return false;
    const kernel::Time now = kernel::Now(loop_.clock);
    if (std::exchange(unacknowledged_bytes_, unacknowledged) != unacknowledged)
      last_progress_ = now;
    return now - last_progress_ < server->limits.write_timeout;
  }

  std::weak_ptr<HttpServer::State> server_;
  ServerGroupPtr group_;
  kernel::Loop& loop_;
  Bufferevent buffer_;
  std::unique_ptr<RequestReader> reader_;
  HttpCallPtr call_;
  WaitState wait_state_ = WaitState::kNothing;
  kernel::Time wait_began_{};
  kernel::Time last_received_{};  // A part of a request.
  kernel::Time deadline_{};
  int unacknowledged_bytes_ = 0;  // At the last check.
  // The last time at which the unacknowledged bytes had changed.
  kernel::Time last_progress_{};
  // When the caller last took some of its output.
  kernel::Time last_taken_{};
  std::size_t incomplete_bytes_ = 0;
  bool request_started_ = false;  // Its first byte was received.
  bool continue_sent_ = false;    // `100 Continue` was sent.
  bool lingering_ = false;
  bool is_aborted_ = false;  // Its end must not look like that of an answer.
  bool input_ended_ = false;
  bool reading_paused_ = false;    // Pipelined input waits.
  bool is_answer_unread_ = false;  // When the wait for a request began.
  bool awaits_drain_ = false;      // The next request waits for unread answers.
  bool has_output_ = false;
  bool closed_ = false;
};

}  // namespace egretladder::net
