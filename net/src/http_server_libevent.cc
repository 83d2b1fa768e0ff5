#include <event2/buffer.h>
#include <poll.h>
#include <sys/ioctl.h>
#include <sys/socket.h>

#include <algorithm>
#include <cerrno>
#include <unordered_set>
#include <utility>
#include <vector>

#include "egretladder/net/address.h"
#include "egretladder/net/http_server.h"
#include "egretladder/net/limits.h"
#include "egretladder/net/socket.h"

namespace egretladder::net {
namespace {

constexpr int kContinue = 100;
constexpr int kRequestTimeout = 408;
constexpr int kUnavailable = 503;

int StatusOf(ReadFault fault) {
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

// Bytes, and the end after them, that the other side hasn't acknowledged.
int HeldByKernel(evutil_socket_t fd) {
  int held = 0;
  return ioctl(fd, TIOCOUTQ, &held) == 0 ? held : 0;
}

// The other side reset the connection or ended its input; what it sent before
// may still be unread.
bool HasLeft(evutil_socket_t fd) {
  pollfd look{fd, POLLRDHUP, 0};
  return poll(&look, 1, 0) > 0;
}

// A regular end would make a half answer without chunks look whole.
void ResetOnClose(evutil_socket_t fd) {
  const linger now{1, 0};
  setsockopt(fd, SOL_SOCKET, SO_LINGER, &now, sizeof(now));
}

}  // namespace

struct HttpServer::State : std::enable_shared_from_this<State> {
  kernel::Loop* loop = nullptr;
  ServerHandlers handlers;
  ServerLimits limits;
  Listener listener;
  std::string address;
  bool close_after_answers = false;
  kernel::Watch sweep;

  void Accept(evutil_socket_t fd);
  // Takes what the kernel accepted already and would reset with the listener.
  void AcceptWaiting();
  void Sweep();

  std::unordered_set<std::shared_ptr<HttpConnection>> connections;
};

// What a connection waits for, and what follows when it takes too long.
enum class Awaits : std::uint8_t {
  kNothing,  // An answer is being made.
  kRequest,
  kHead,
  kBody,
  kClose,  // Lingers after an answer that ends it.
};

// One connection of a caller. Lives while it is in the server's set or a call
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
      const timeval drain = kernel::ToTimeval(server->limits.drain_time);
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

  std::size_t Unsent() const {
    return closed_ ? 0 : WaitingOutput(buffer_.get());
  }

  // A part of a request came, and not all of it.
  bool IsHalfRead() const {
    return awaits_ == Awaits::kHead || awaits_ == Awaits::kBody;
  }

  void RefuseHalfRead(const std::string& why) {
    if (IsHalfRead()) Refuse(kUnavailable, why);
  }

  // What was written may still be on its way to the caller.
  bool IsUntaken() const {
    if (closed_) return false;
    return lingering_ || Unsent() > 0 ||
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
    if (call_ != nullptr || Unsent() == 0) {
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
    Await(Awaits::kRequest, server->limits.idle_time);
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
      Consume(buffer_.get(), InputOf(buffer_.get()).size());
      return;
    }
    if (closed_) return;
    const std::string_view input = InputOf(buffer_.get());
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
      Await(Awaits::kHead, server->limits.head_time);
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
        Await(Awaits::kBody, server->limits.body_time);
      }
      if (reader_->WantsContinue() && !std::exchange(continued_, true)) {
        Put(AnswerText(kContinue, ReasonOf(kContinue), {}, BodyFraming::kNone,
                       0, false));
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
    Put(AnswerText(status, ReasonOf(status), fields, BodyFraming::kLength,
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
    Consume(buffer_.get(), InputOf(buffer_.get()).size());
    SetReading(true);
    if (WaitingOutput(buffer_.get()) == 0) Written();
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
    return now - held_since_ < server->limits.drain_time;
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

HttpCall::HttpCall(std::shared_ptr<HttpConnection> connection,
                   HttpRequest request)
    : connection_(std::move(connection)), request_(std::move(request)) {}

bool HttpCall::MustClose() const {
  return !request_.keep_alive || connection_->CloseAfterAnswers();
}

void HttpCall::Finish(bool close) {
  gone_ = nullptr;
  drained_ = nullptr;
  const auto connection = std::exchange(connection_, nullptr);
  connection->CallOver(close);
}

void HttpCall::Answer(int status, std::string_view reason,
                      const HttpFields& fields, std::string_view body) {
  if (over()) return;
  const bool close = MustClose();
  constexpr int kNoContent = 204;
  constexpr int kNotModified = 304;
  const bool bare = status == kNoContent || status == kNotModified;
  connection_->Put(AnswerText(status, reason, fields,
                              bare ? BodyFraming::kNone : BodyFraming::kLength,
                              body.size(), close));
  if (!bare && request_.method != "HEAD") connection_->Put(body);
  Finish(close);
}

void HttpCall::Begin(int status, std::string_view reason,
                     const HttpFields& fields) {
  if (over()) return;
  begun_ = true;
  chunked_ = request_.chunks_understood;
  connection_->Put(
      AnswerText(status, reason, fields,
                 chunked_ ? BodyFraming::kChunked : BodyFraming::kNone, 0,
                 !chunked_ || MustClose()));
}

void HttpCall::Send(std::string_view piece) {
  if (over() || piece.empty()) return;
  connection_->Put(chunked_ ? ChunkText(piece) : std::string(piece));
}

void HttpCall::End() {
  if (over()) return;
  if (chunked_) connection_->Put("0\r\n\r\n");
  Finish(!chunked_ || MustClose());
}

void HttpCall::Break() {
  if (over()) return;
  if (begun_ && chunked_) {
    // What was passed on still reaches the caller; the missing last chunk says
    // that it isn't all.
    Finish(true);
    return;
  }
  gone_ = nullptr;
  const auto connection = connection_;
  connection->Close();
}

std::size_t HttpCall::Unsent() const {
  return connection_ == nullptr ? 0 : connection_->Unsent();
}

HttpServer::HttpServer(kernel::Loop& loop, ServerHandlers handlers)
    : state_(std::make_shared<State>()) {
  state_->loop = &loop;
  state_->handlers = std::move(handlers);
}

HttpServer::~HttpServer() {
  state_->listener.reset();
  const auto connections = state_->connections;
  for (const auto& connection : connections) connection->Close();
}

kernel::Result<void> HttpServer::Listen(const std::string& address) {
  const auto accept = [](evconnlistener* /*listener*/, evutil_socket_t fd,
                         sockaddr* /*peer*/, int /*size*/,
                         void* arg) { static_cast<State*>(arg)->Accept(fd); };
  // No descriptor is left for another connection. The socket stays readable, so
  // libevent would try again at once and for ever.
  const auto refuse = [](evconnlistener* listener, void* /*arg*/) {
    evconnlistener_disable(listener);  // Until the next sweep.
  };
  BOOST_OUTCOME_TRY(listener, ListenOn(state_->loop->base.get(), address,
                                       kHttpBacklog, accept, state_.get()));
  state_->listener = std::move(listener);
  evconnlistener_set_error_cb(state_->listener.get(), refuse);
  state_->address =
      WithBoundPort(address, evconnlistener_get_fd(state_->listener.get()));
  state_->sweep = kernel::Every(*state_->loop, kHttpSweep,
                                [state = state_.get()] { state->Sweep(); });
  return kernel::Result<void>(boost::outcome_v2::success());
}

void HttpServer::State::Accept(evutil_socket_t fd) {
  PrepareSocket(fd, limits.drain_time);
  Bufferevent buffer = handlers.make_buffer
                           ? handlers.make_buffer(loop->base.get(), fd)
                           : Bufferevent(bufferevent_socket_new(
                                 loop->base.get(), fd, BEV_OPT_CLOSE_ON_FREE));
  if (buffer == nullptr) {
    evutil_closesocket(fd);
    return;
  }
  auto connection = std::make_shared<HttpConnection>(weak_from_this(), *loop,
                                                     std::move(buffer));
  connections.insert(connection);
  if (listener && connections.size() >= limits.connections) {
    evconnlistener_disable(listener.get());
  }
  connection->Open();
}

void HttpServer::State::AcceptWaiting() {
  while (listener && connections.size() < limits.connections) {
    const int fd = accept4(evconnlistener_get_fd(listener.get()), nullptr,
                           nullptr, SOCK_NONBLOCK | SOCK_CLOEXEC);
    if (fd >= 0) {
      Accept(fd);
    } else if (errno != ECONNABORTED && errno != EINTR) {
      return;
    }
  }
}

void HttpServer::State::Sweep() {
  const kernel::Time now = kernel::Now(loop->clock);
  std::vector<std::shared_ptr<HttpConnection>> due;
  std::vector<std::shared_ptr<HttpConnection>> left;
  for (const auto& connection : connections) {
    if (connection->IsDue(now)) due.push_back(connection);
    if (connection->LeftUnread()) left.push_back(connection);
  }
  for (const auto& connection : due) connection->TimeOut();
  for (const auto& connection : left) connection->Close();
  if (listener && connections.size() < limits.connections) {
    evconnlistener_enable(listener.get());
  }
}

const std::string& HttpServer::address() const { return state_->address; }
void HttpServer::SetLimits(const ServerLimits& limits) {
  state_->limits = limits;
}
void HttpServer::CloseAfterAnswers() { state_->close_after_answers = true; }
void HttpServer::StopListening() {
  state_->AcceptWaiting();
  state_->listener.reset();
}
std::size_t HttpServer::half_read() const {
  return static_cast<std::size_t>(std::count_if(
      state_->connections.begin(), state_->connections.end(),
      [](const auto& connection) { return connection->IsHalfRead(); }));
}

void HttpServer::RefuseHalfRead(const std::string& why) {
  const auto connections = state_->connections;
  for (const auto& connection : connections) connection->RefuseHalfRead(why);
}

std::size_t HttpServer::untaken() const {
  return static_cast<std::size_t>(std::count_if(
      state_->connections.begin(), state_->connections.end(),
      [](const auto& connection) { return connection->IsUntaken(); }));
}

std::size_t HttpServer::connections() const {
  return state_->connections.size();
}

}  // namespace egretladder::net
