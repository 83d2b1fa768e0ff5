#include <event2/buffer.h>

#include <algorithm>
#include <charconv>
#include <unordered_map>
#include <utility>
#include <vector>

#include "egretladder/net/address.h"
#include "egretladder/net/http_client.h"
#include "egretladder/net/http_reader.h"
#include "egretladder/net/limits.h"
#include "egretladder/net/socket.h"

namespace egretladder::net {
namespace {

constexpr int kFirstFinalStatus = 200;

// One connection to an endpoint.
struct Link {
  HttpClient::State* pool = nullptr;  // While idle.
  Bufferevent buffer;
  std::string address;
  bool connected = false;
  std::chrono::milliseconds keeps{};  // By its last answer; 0: unknown.
  kernel::Time idle_since{};
};
using LinkPtr = std::unique_ptr<Link>;

// `Keep-Alive: timeout=5, max=100`
std::chrono::milliseconds KeepsFor(const HttpFields& fields) {
  const std::string_view value = FirstFieldValue(fields, "Keep-Alive");
  constexpr std::string_view kName = "timeout=";
  const std::size_t at = value.find(kName);
  if (at == std::string_view::npos) return {};
  unsigned seconds = 0;
  const char* from = value.data() + at + kName.size();
  std::from_chars(from, value.data() + value.size(), seconds);
  return std::chrono::seconds(seconds);
}

bool IsFresh(const Link& link, ConnectionReuse reuse, kernel::Time now) {
  const auto keeps = link.keeps.count() > 0 ? link.keeps : kIdleUnknown;
  const auto allowed =
      std::chrono::duration<double, std::milli>(keeps) *
      (reuse == ConnectionReuse::kAny ? kIdlePart : kIdlePartYoung);
  return now - link.idle_since < allowed;
}

}  // namespace

struct HttpClient::State : std::enable_shared_from_this<State> {
  kernel::Loop* loop = nullptr;
  std::unordered_map<std::string, std::vector<LinkPtr>> idle;
  std::uint64_t connections_opened = 0;

  LinkPtr TakeIdle(const std::string& address, ConnectionReuse reuse);
  void KeepIdle(LinkPtr link);
  static void Drop(Link* link);
};

LinkPtr HttpClient::State::TakeIdle(const std::string& address,
                                    ConnectionReuse reuse) {
  if (reuse == ConnectionReuse::kNone) return nullptr;
  const auto at = idle.find(address);
  if (at == idle.end()) return nullptr;
  const kernel::Time now = kernel::Now(loop->clock);
  while (!at->second.empty()) {
    if (!IsFresh(*at->second.back(), reuse, now)) {
      // The last used is the youngest; one that is too old for a request that
      // asks for young ones may still serve others.
      if (reuse == ConnectionReuse::kAny) at->second.clear();
      return nullptr;
    }
    LinkPtr link = std::move(at->second.back());
    at->second.pop_back();
    if (PendingInput(link->buffer.get()).empty()) return link;
  }
  return nullptr;
}

void HttpClient::State::Drop(Link* link) {
  auto& idle = link->pool->idle;
  const auto at = idle.find(link->address);
  if (at == idle.end()) return;
  std::erase_if(at->second,
                [link](const LinkPtr& one) { return one.get() == link; });
  if (at->second.empty()) idle.erase(at);
}

void HttpClient::State::KeepIdle(LinkPtr link) {
  link->idle_since = kernel::Now(loop->clock);
  link->pool = this;
  // An idle connection that speaks or ends is of no more use: what it says
  // belongs to no request.
  bufferevent_setcb(
      link->buffer.get(),
      [](bufferevent* /*b*/, void* arg) { Drop(static_cast<Link*>(arg)); },
      nullptr,
      // NOLINTNEXTLINE(google-runtime-int)
      [](bufferevent* /*b*/, short /*what*/, void* arg) {
        Drop(static_cast<Link*>(arg));
      },
      link.get());
  bufferevent_enable(link->buffer.get(), EV_READ);
  idle[link->address].push_back(std::move(link));
}

class HttpExchange : public std::enable_shared_from_this<HttpExchange> {
 public:
  HttpExchange(std::shared_ptr<HttpClient::State> client,
               ExchangeRequest request, ExchangeHandlers handlers)
      : client_(std::move(client)),
        request_(std::move(request)),
        handlers_(std::move(handlers)),
        reader_(MakeReader()) {}

  void Start() {
    self_ = shared_from_this();
    link_ = client_->TakeIdle(request_.address, request_.reuse);
    if (link_ != nullptr) {
      reused_ = true;
      Attach();
      Later([this] { SendRequest(); });
      return;
    }
    Connect();
  }

  void Cancel() {
    handlers_ = {};
    Release();
  }

  void SetReading(bool reading) {
    if (link_ == nullptr) return;
    if (reading) {
      bufferevent_enable(link_->buffer.get(), EV_READ);
    } else {
      bufferevent_disable(link_->buffer.get(), EV_READ);
    }
  }

 private:
  AnswerReader MakeReader() const {
    return AnswerReader({kAnswerHead, kAnswerBody}, request_.is_head_request);
  }

  void Later(std::function<void()> action) {
    later_ = kernel::RunAfter(*client_->loop, std::chrono::milliseconds(0),
                              std::move(action));
  }

  void Connect() {
    auto target = ParseAddress(request_.address);
    reused_ = false;
    link_ = std::make_unique<Link>();
    link_->address = request_.address;
    link_->buffer.reset(bufferevent_socket_new(client_->loop->base.get(), -1,
                                               BEV_OPT_CLOSE_ON_FREE));
    Attach();
    ++client_->connections_opened;
    if (!target || bufferevent_socket_connect(
                       link_->buffer.get(), target->get(), target->size) != 0) {
      Later([this] { Fail(ExchangeError::kNotConnected, "no connection"); });
      return;
    }
    SetTcpOptions(bufferevent_getfd(link_->buffer.get()));
    const auto time = request_.connect_time.count() > 0 ? request_.connect_time
                                                        : kHttpConnectTime;
    later_ = kernel::RunAfter(*client_->loop, time, [this] {
      Fail(ExchangeError::kNotConnected, "connecting took too long");
    });
  }

  void Attach() {
    bufferevent_setcb(
        link_->buffer.get(),
        [](bufferevent* /*b*/, void* arg) {
          static_cast<HttpExchange*>(arg)->shared_from_this()->Read();
        },
        nullptr,
        // NOLINTNEXTLINE(google-runtime-int)
        [](bufferevent* /*b*/, short what, void* arg) {
          static_cast<HttpExchange*>(arg)->shared_from_this()->OnEvent(what);
        },
        this);
  }

  // NOLINTNEXTLINE(google-runtime-int)
  void OnEvent(short what) {
    if ((what & BEV_EVENT_CONNECTED) != 0) {
      link_->connected = true;
      later_ = {};
      SendRequest();
      return;
    }
    if (!link_->connected) {
      Fail(ExchangeError::kNotConnected, "the connection was refused");
      return;
    }
    if (!sent_) {
      Connect();  // A kept one that ended before the request left.
      return;
    }
    if ((what & BEV_EVENT_EOF) != 0 && (what & BEV_EVENT_ERROR) == 0) {
      OnEnded();
      return;
    }
    // Another process stands behind the address by now: its other connections
    // are of no use either, and each would cost a request an attempt.
    if (reused_ && !head_given_) client_->idle.erase(request_.address);
    // A reset is no end, also of an answer that has no length.
    Fail(ExchangeError::kBroken, "the connection was reset");
  }

  void SendRequest() {
    const auto self = shared_from_this();
    if (!PendingInput(link_->buffer.get()).empty()) {
      Connect();  // What is there belongs to no request.
      return;
    }
    if (handlers_.may_send && !handlers_.may_send()) {
      if (link_ != nullptr) Cancel();
      return;
    }
    sent_ = true;
    bufferevent_setwatermark(link_->buffer.get(), EV_READ, 0, kHttpReadAhead);
    Write(link_->buffer.get(), request_.head);
    Write(link_->buffer.get(), request_.body);
    request_.body = std::string();
    bufferevent_enable(link_->buffer.get(), EV_READ | EV_WRITE);
  }

  void Read() {
    while (link_ != nullptr && sent_) {
      const std::string_view input = PendingInput(link_->buffer.get());
      if (input.empty()) return;
      const std::size_t used = reader_.Feed(input);
      Consume(link_->buffer.get(), used);
      if (!Advance()) return;
      if (used == 0 && reader_.state() != ReadState::kDone) return;
    }
  }

  // Hands on what was read. False when nothing more is to be read.
  bool Advance() {
    if (!head_given_ && reader_.state() != ReadState::kHead &&
        !(reader_.state() == ReadState::kFailed &&
          reader_.head().status == 0)) {
      head_given_ = true;
      const HttpAnswerHead& head = reader_.head();
      link_->keeps = KeepsFor(head.fields);
      skip_ = head.status < kFirstFinalStatus ||
              handlers_.on_head(head) == HeadVerdict::kSkip;
      if (link_ == nullptr) return false;
      if (skip_ && head.status >= kFirstFinalStatus) tainted_ = true;
    }
    const std::string piece = reader_.TakeBody();
    if (!piece.empty() && !skip_) handlers_.on_body(piece);
    if (link_ == nullptr) return false;  // Cancelled by a handler.
    if (reader_.state() == ReadState::kFailed) {
      Fail(ExchangeError::kBadAnswer, reader_.detail());
      return false;
    }
    if (reader_.state() != ReadState::kDone) return true;
    if (skip_) {
      reader_ = MakeReader();
      head_given_ = false;
      skip_ = false;
      return true;
    }
    Complete();
    return false;
  }

  void OnEnded() {
    if (!head_given_) {
      Fail(ExchangeError::kBroken, "the connection ended without an answer");
      return;
    }
    reader_.FeedEnd();
    tainted_ = true;
    if (reader_.state() == ReadState::kDone && !skip_) {
      Complete();
    } else {
      Fail(ExchangeError::kBroken, "the answer broke off");
    }
  }

  void Complete() {
    const bool reusable = !tainted_ && reader_.head().keep_alive &&
                          PendingInput(link_->buffer.get()).empty() &&
                          PendingOutputBytes(link_->buffer.get()) == 0;
    const auto done = std::move(handlers_.on_end);
    handlers_ = {};
    if (reusable) client_->KeepIdle(std::move(link_));
    Release();
    if (done) done();
  }

  void Fail(ExchangeError fault, const std::string& detail) {
    const auto fail = std::move(handlers_.on_error);
    handlers_ = {};
    const auto self = shared_from_this();
    Release();
    if (fail) fail(fault, detail);
  }

  void Release() {
    link_ = nullptr;
    later_ = {};
    self_ = nullptr;
  }

  std::shared_ptr<HttpClient::State> client_;
  ExchangeRequest request_;
  ExchangeHandlers handlers_;
  AnswerReader reader_;
  LinkPtr link_;
  kernel::EventWatcher later_;
  HttpExchangePtr self_;  // Until it is over.
  bool reused_ = false;   // The connection served another request before.
  bool sent_ = false;
  bool head_given_ = false;
  bool skip_ = false;
  bool tainted_ = false;  // The connection gave what belongs to no request.
};

void Cancel(const HttpExchangePtr& exchange) {
  if (exchange != nullptr) exchange->Cancel();
}

void SetReading(const HttpExchangePtr& exchange, bool reading) {
  if (exchange != nullptr) exchange->SetReading(reading);
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

std::uint64_t HttpClient::connections_opened() const {
  return state_->connections_opened;
}

}  // namespace egretladder::net
