#include <event2/buffer.h>

#include <algorithm>
#include <charconv>
#include <unordered_map>
#include <utility>
#include <vector>

#include "egretladder/kernel/hash.h"
#include "egretladder/net/address.h"
#include "egretladder/net/http_client.h"
#include "egretladder/net/http_reader.h"
#include "egretladder/net/limits.h"
#include "egretladder/net/socket.h"

namespace egretladder::net {
namespace {

constexpr int kFirstStatus = 100;
constexpr int kFirstFinalStatus = 200;
constexpr int kFirstStatusAfterSuccess = 300;

// A connection to an endpoint.
struct Connection {
  HttpClient::State* owner = nullptr;  // Set while the connection is idle.
  Bufferevent buffer;
  std::string address;
  std::uint64_t number = 0;  // See `ConnectionNumber`.
  bool connected = false;
  // From the last answer; 0: not stated.
  std::chrono::milliseconds keep_alive_timeout{};
  kernel::Time idle_since{};
  std::uint64_t mark = 0;              // See `HttpClient::MarkReusable`.
  std::vector<std::uint64_t> refused;  // Hashes of ids.
  // Has refused a request without an id, so that a copy names none.
  bool has_refused_unnamed = false;
};
using ConnectionPtr = std::unique_ptr<Connection>;

// Returns the timeout of a field such as `Keep-Alive: timeout=5, max=100`, or
// 0.
std::chrono::milliseconds ParseKeepAliveTimeout(const HttpFields& fields) {
  const std::string_view value = FirstFieldValue(fields, "Keep-Alive");
  constexpr std::string_view kName = "timeout=";
  const std::size_t at = value.find(kName);
  if (at == std::string_view::npos) return {};
  unsigned seconds = 0;
  const char* from = value.data() + at + kName.size();
  std::from_chars(from, value.data() + value.size(), seconds);
  return std::chrono::seconds(seconds);
}

bool IsReusable(const Connection& connection, ConnectionReuse reuse,
                kernel::Time now) {
  if (reuse == ConnectionReuse::kOpenOnly) return true;
  const auto lifetime = connection.keep_alive_timeout.count() > 0
                            ? connection.keep_alive_timeout
                            : kDefaultIdleLifetime;
  const auto allowed = std::chrono::duration<double, std::milli>(lifetime) *
                       (reuse == ConnectionReuse::kAny ? kIdleReuseRatio
                                                       : kRecentIdleReuseRatio);
  return now - connection.idle_since < allowed;
}

// Returns true if the request with that id, empty if it has none, may be sent
// on the connection.
bool MayCarry(const Connection& connection, const std::string& id) {
  if (id.empty()) return true;
  const auto& refused = connection.refused;
  return !connection.has_refused_unnamed &&
         std::find(refused.begin(), refused.end(), kernel::HashBytes(id)) ==
             refused.end();
}

// Records the answer that the connection has carried to the request with that
// id. Returns false if the connection can't be reused.
bool RecordAnswer(Connection& connection, const std::string& id, int status) {
  if (!IsRefusalStatus(status)) return true;
  if (id.empty()) {
    connection.has_refused_unnamed = true;
    return true;
  }
  connection.refused.push_back(kernel::HashBytes(id));
  return connection.refused.size() < kMaxRefusalsOfConnection;
}

}  // namespace

struct HttpClient::State : std::enable_shared_from_this<State> {
  kernel::Loop* loop = nullptr;
  std::unordered_map<std::string, std::vector<ConnectionPtr>> idle;
  std::uint64_t connections_opened = 0;

  // Returns the idle connection that the request `id` would reuse, or null.
  Connection* FindIdle(const std::string& address, ConnectionReuse reuse,
                       const std::string& id) const;
  ConnectionPtr TakeIdle(const std::string& address, ConnectionReuse reuse,
                         const std::string& id);
  void AddIdle(ConnectionPtr connection);
  static void RemoveIdle(Connection* connection);
};

Connection* HttpClient::State::FindIdle(const std::string& address,
                                        ConnectionReuse reuse,
                                        const std::string& id) const {
  if (reuse == ConnectionReuse::kNone) return nullptr;
  const auto at = idle.find(address);
  if (at == idle.end()) return nullptr;
  const kernel::Time now = kernel::Now(loop->clock);
  // The most recently used one is the last.
  const auto found =
      std::find_if(at->second.rbegin(), at->second.rend(),
                   [reuse, &id, now](const ConnectionPtr& connection) {
                     return IsReusable(*connection, reuse, now) &&
                            MayCarry(*connection, id) &&
                            PendingInput(connection->buffer.get()).empty();
                   });
  return found == at->second.rend() ? nullptr : found->get();
}

ConnectionPtr HttpClient::State::TakeIdle(const std::string& address,
                                          ConnectionReuse reuse,
                                          const std::string& id) {
  const auto at = idle.find(address);
  if (at == idle.end()) return nullptr;
  // Connections that are too old only for requests that need a recently used
  // one are kept for the others.
  if (reuse == ConnectionReuse::kAny) {
    std::erase_if(at->second, [reuse, now = kernel::Now(loop->clock)](
                                  const ConnectionPtr& connection) {
      return !IsReusable(*connection, reuse, now);
    });
  }
  const Connection* found = FindIdle(address, reuse, id);
  if (found == nullptr) return nullptr;
  const auto taken = std::find_if(at->second.begin(), at->second.end(),
                                  [found](const ConnectionPtr& connection) {
                                    return connection.get() == found;
                                  });
  ConnectionPtr connection = std::move(*taken);
  at->second.erase(taken);
  return connection;
}

void HttpClient::State::RemoveIdle(Connection* connection) {
  auto& idle = connection->owner->idle;
  const auto at = idle.find(connection->address);
  if (at == idle.end()) return;
  std::erase_if(at->second, [connection](const ConnectionPtr& idle_connection) {
    return idle_connection.get() == connection;
  });
  if (at->second.empty()) idle.erase(at);
}

void HttpClient::State::AddIdle(ConnectionPtr connection) {
  connection->idle_since = kernel::Now(loop->clock);
  connection->owner = this;
  // An idle connection is dropped if it ends or receives input, which can't
  // belong to any request.
  bufferevent_setcb(
      connection->buffer.get(),
      [](bufferevent* /*b*/, void* arg) {
        RemoveIdle(static_cast<Connection*>(arg));
      },
      nullptr,
      // NOLINTNEXTLINE(google-runtime-int)
      [](bufferevent* /*b*/, short /*what*/, void* arg) {
        RemoveIdle(static_cast<Connection*>(arg));
      },
      connection.get());
  bufferevent_enable(connection->buffer.get(), EV_READ);
  idle[connection->address].push_back(std::move(connection));
}

class HttpExchange : public std::enable_shared_from_this<HttpExchange> {
 public:
  HttpExchange(std::shared_ptr<HttpClient::State> client,
               ExchangeRequest request, ExchangeHandlers handlers)
      : client_(std::move(client)),
        request_(std::move(request)),
        handlers_(
            std::make_shared<const ExchangeHandlers>(std::move(handlers))),
        reader_(MakeReader()) {}

  void Start() {
    self_ = shared_from_this();
    connection_ = client_->TakeIdle(
        request_.address, request_.reuse,
        request_.id.empty() ? request_.successor_id : request_.id);
    if (connection_ != nullptr) {
      reused_ = true;
      connection_number_ = connection_->number;
      SetCallbacks();
      Defer([this] { SendRequest(); });
      return;
    }
    ConnectAnew();
  }

  void Cancel() {
    handlers_ = nullptr;
    Release();
  }

  void SetReading(bool reading) {
    if (connection_ == nullptr) return;
    if (reading) {
      bufferevent_enable(connection_->buffer.get(), EV_READ);
    } else {
      bufferevent_disable(connection_->buffer.get(), EV_READ);
    }
  }

  std::uint64_t connection_number() const { return connection_number_; }

 private:
  // A handler may cancel its exchange, and what it refers to must outlive that.
  // Whoever calls one holds a copy meanwhile.
  using Handlers = std::shared_ptr<const ExchangeHandlers>;

  AnswerReader MakeReader() const {
    return AnswerReader(
        {kMaxAnswerHeadBytes, kMaxAnswerBodyBytes, kMaxAnswerFields},
        request_.is_head_request);
  }

  void Defer(std::function<void()> action) {
    timer_ = kernel::RunAfter(*client_->loop, std::chrono::milliseconds(0),
                              std::move(action));
  }

  // Connects where no open connection can be used.
  void ConnectAnew() {
    if (request_.reuse == ConnectionReuse::kOpenOnly) {
      Defer([this] {
        Fail(ExchangeError::kNotOpened, "no connection was open");
      });
      return;
    }
    Connect();
  }

  void Connect() {
    auto target = ParseAddress(request_.address);
    reused_ = false;
    connect_began_at_ = kernel::Now(client_->loop->clock);
    connection_ = std::make_unique<Connection>();
    connection_->address = request_.address;
    connection_->buffer.reset(bufferevent_socket_new(
        client_->loop->base.get(), -1, BEV_OPT_CLOSE_ON_FREE));
    SetCallbacks();
    connection_number_ = ++client_->connections_opened;
    connection_->number = connection_number_;
    if (!target ||
        bufferevent_socket_connect(connection_->buffer.get(), target->get(),
                                   target->size) != 0) {
      Defer([this] { Fail(ExchangeError::kNotConnected, "no connection"); });
      return;
    }
    SetTcpOptions(bufferevent_getfd(connection_->buffer.get()));
    const auto timeout = request_.connect_timeout.count() > 0
                             ? request_.connect_timeout
                             : kHttpConnectTimeout;
    timer_ = kernel::RunAfter(*client_->loop, timeout, [this] {
      Fail(ExchangeError::kNotOpened, "connecting took too long");
    });
  }

  void SetCallbacks() {
    bufferevent_setcb(
        connection_->buffer.get(),
        [](bufferevent* /*b*/, void* arg) {
          static_cast<HttpExchange*>(arg)->shared_from_this()->Read();
        },
        nullptr,
        // NOLINTNEXTLINE(google-runtime-int)
        [](bufferevent* /*b*/, short events, void* arg) {
          static_cast<HttpExchange*>(arg)->shared_from_this()->OnEvent(events);
        },
        this);
  }

  // NOLINTNEXTLINE(google-runtime-int)
  void OnEvent(short events) {
    if ((events & BEV_EVENT_CONNECTED) != 0) {
      connection_->connected = true;
      timer_ = {};
      ReportConnected();
      if (connection_ != nullptr) SendRequest();
      return;
    }
    if (!connection_->connected) {
      Fail(ExchangeError::kNotConnected, "the connection was refused");
      return;
    }
    if (!sent_) {
      ConnectAnew();  // A reused connection ended before the request was sent.
      return;
    }
    if ((events & BEV_EVENT_EOF) != 0 && (events & BEV_EVENT_ERROR) == 0) {
      OnEndOfInput();
      return;
    }
    // The endpoint has probably restarted. Its other idle connections are
    // broken as well, and each of them would cost a request an attempt.
    if (reused_ && !head_delivered_) client_->idle.erase(request_.address);
    // A reset doesn't complete an answer without length.
    Fail(ExchangeError::kBroken, "the connection was reset");
  }

  void ReportConnected() {
    const Handlers handlers = handlers_;
    if (!handlers->on_connected) return;
    handlers->on_connected(
        std::chrono::duration_cast<std::chrono::milliseconds>(
            kernel::Now(client_->loop->clock) - connect_began_at_));
  }

  void SendRequest() {
    const auto self = shared_from_this();
    if (!PendingInput(connection_->buffer.get()).empty()) {
      ConnectAnew();  // Input before the request can't belong to it.
      return;
    }
    const Handlers handlers = handlers_;
    const bool may_send = !handlers->may_send || handlers->may_send();
    if (connection_ == nullptr) return;
    if (!may_send) {
      Cancel();
      return;
    }
    sent_ = true;
    bufferevent_setwatermark(connection_->buffer.get(), EV_READ, 0,
                             kMaxReadAheadBytes);
    Write(connection_->buffer.get(), request_.head);
    WriteShared(connection_->buffer.get(), std::move(request_.body));
    bufferevent_enable(connection_->buffer.get(), EV_READ | EV_WRITE);
  }

  void Read() {
    while (connection_ != nullptr && sent_) {
      const std::string_view input = PendingInput(connection_->buffer.get());
      if (input.empty()) return;
      const std::size_t used = reader_.Feed(input);
      Consume(connection_->buffer.get(), used);
      if (!DeliverInput()) return;
      if (used == 0 && reader_.state() != ReadState::kDone) {
        // The parser waits for the end of a line.
        if (input.size() >= kMaxAnswerHeadBytes)
          Fail(ExchangeError::kBadAnswer, "a line without end");
        return;
      }
    }
  }

  // Passes parsed input to the handlers. Returns false if no more input is to
  // be read.
  bool DeliverInput() {
    const Handlers handlers = handlers_;
    if (!head_delivered_ && reader_.state() != ReadState::kHead &&
        !(reader_.state() == ReadState::kFailed &&
          reader_.head().status == 0)) {
      head_delivered_ = true;
      const HttpAnswerHead& head = reader_.head();
      if (head.status < kFirstStatus) {
        Fail(ExchangeError::kBadAnswer, "a status that no answer has");
        return false;
      }
      connection_->keep_alive_timeout = ParseKeepAliveTimeout(head.fields);
      const bool is_final = head.status >= kFirstFinalStatus;
      const HeadVerdict verdict =
          is_final ? handlers->on_head(head) : HeadVerdict::kSkip;
      if (connection_ == nullptr) return false;
      skipping_ = verdict == HeadVerdict::kSkip;
      if (is_final && verdict != HeadVerdict::kAccept) is_tainted_ = true;
      reader_.DropFields();  // The handler has what it needs of them.
    }
    const std::string piece = reader_.TakeBody();
    if (skipping_) {
      discarded_bytes_ += piece.size();
    } else if (!piece.empty()) {
      handlers->on_body(piece);
    }
    if (connection_ == nullptr) return false;  // Cancelled by a handler.
    if (reader_.state() == ReadState::kFailed) {
      Fail(ExchangeError::kBadAnswer, reader_.detail());
      return false;
    }
    if (discarded_bytes_ > kMaxDiscardedBytes) {
      Fail(ExchangeError::kBadAnswer, "too many bytes of other answers");
      return false;
    }
    if (reader_.state() != ReadState::kDone) return true;
    if (skipping_) {
      if (++discarded_answers_ > kMaxDiscardedAnswers) {
        Fail(ExchangeError::kBadAnswer, "too many other answers");
        return false;
      }
      reader_ = MakeReader();
      head_delivered_ = false;
      skipping_ = false;
      return true;
    }
    Complete(AnswerEnd::kFraming);
    return false;
  }

  // An endpoint may refuse a request that it hasn't read. It has no more to say
  // than that, but a success would follow the request.
  bool IsSuccessDuringUpload() const {
    return reader_.head().status < kFirstStatusAfterSuccess &&
           PendingOutputBytes(connection_->buffer.get()) > 0;
  }

  void OnEndOfInput() {
    if (!head_delivered_) {
      Fail(ExchangeError::kBroken, "the connection ended without an answer");
      return;
    }
    reader_.FeedEof();
    is_tainted_ = true;
    const bool is_whole = reader_.state() == ReadState::kDone;
    if (is_whole && !skipping_ && !IsSuccessDuringUpload()) {
      Complete(AnswerEnd::kConnection);
    } else {
      Fail(ExchangeError::kBroken, "the answer broke off");
    }
  }

  void Complete(AnswerEnd end) {
    const bool reusable =
        !is_tainted_ && reader_.head().keep_alive &&
        RecordAnswer(*connection_, request_.id, reader_.head().status) &&
        PendingInput(connection_->buffer.get()).empty() &&
        PendingOutputBytes(connection_->buffer.get()) == 0;
    const Handlers handlers = std::exchange(handlers_, nullptr);
    if (reusable) client_->AddIdle(std::move(connection_));
    Release();
    if (handlers->on_end) handlers->on_end(end);
  }

  void Fail(ExchangeError error, const std::string& detail) {
    const Handlers handlers = std::exchange(handlers_, nullptr);
    const auto self = shared_from_this();
    Release();
    if (handlers->on_error) handlers->on_error(error, detail);
  }

  void Release() {
    connection_ = nullptr;
    timer_ = {};
    self_ = nullptr;
  }

  std::shared_ptr<HttpClient::State> client_;
  ExchangeRequest request_;
  Handlers handlers_;  // Null once the exchange has ended.
  AnswerReader reader_;
  ConnectionPtr connection_;
  kernel::EventWatcher timer_;  // A deferred action or the connect timeout.
  HttpExchangePtr self_;        // Keeps the exchange alive until it ends.
  std::uint64_t connection_number_ = 0;
  kernel::Time connect_began_at_{};
  bool reused_ = false;  // The connection served another request before.
  bool sent_ = false;
  bool head_delivered_ = false;
  bool skipping_ = false;
  std::size_t discarded_answers_ = 0;  // Interim ones, or of other requests.
  std::size_t discarded_bytes_ = 0;    // Of their bodies.
  bool is_tainted_ = false;            // Had input of no request, or has ended.
};

void Cancel(const HttpExchangePtr& exchange) {
  if (exchange != nullptr) exchange->Cancel();
}

void SetReading(const HttpExchangePtr& exchange, bool reading) {
  if (exchange != nullptr) exchange->SetReading(reading);
}

std::uint64_t ConnectionNumber(const HttpExchangePtr& exchange) {
  return exchange == nullptr ? 0 : exchange->connection_number();
}

HttpClient::HttpClient(kernel::Loop& loop) : state_(std::make_shared<State>()) {
  state_->loop = &loop;
}

HttpClient::~HttpClient() { state_->idle.clear(); }

HttpExchangePtr HttpClient::Start(ExchangeRequest request,
                                  ExchangeHandlers handlers) {
  auto exchange = std::make_shared<HttpExchange>(state_, std::move(request),
                                                 std::move(handlers));
  exchange->Start();
  return exchange;
}

void HttpClient::CloseIdle(const std::string& address, std::uint64_t mark) {
  const auto at = state_->idle.find(address);
  if (at == state_->idle.end()) return;
  std::erase_if(at->second, [mark](const ConnectionPtr& connection) {
    return connection->mark == mark;
  });
  if (at->second.empty()) state_->idle.erase(at);
}

void HttpClient::MarkReusable(const std::string& address, std::uint64_t mark) {
  const auto at = state_->idle.find(address);
  if (at != state_->idle.end() && !at->second.empty())
    at->second.back()->mark = mark;
}

bool HttpClient::HasReusable(const std::string& address, ConnectionReuse reuse,
                             const std::string& id, std::uint64_t mark) const {
  const Connection* found = state_->FindIdle(address, reuse, id);
  return found != nullptr && found->mark == mark;
}

std::uint64_t HttpClient::connections_opened() const {
  return state_->connections_opened;
}

}  // namespace egretladder::net
