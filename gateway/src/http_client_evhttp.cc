#include <event2/bufferevent.h>
#include <event2/keyvalq_struct.h>
#include <sys/socket.h>

#include <map>
#include <unordered_map>

#include "egretladder/gateway/limits.h"
#include "egretladder/net/address.h"
#include "http_client_p.h"
#include "http_headers_p.h"

namespace egretladder::gateway {
using net::SetNoDelay;
using net::SplitAddress;
namespace {

struct ConnectionFree {
  void operator()(evhttp_connection* connection) const {
    evhttp_connection_free(connection);
  }
};
using Connection = std::unique_ptr<evhttp_connection, ConnectionFree>;

struct IdleConnection {
  Connection connection;
  kernel::Time since{};
};

enum class Phase : std::uint8_t { kConnecting, kSending, kAnswering, kEnded };

}  // namespace

struct Exchange {
  HttpClient* client = nullptr;
  Connection connection;
  ExchangeSpec spec;
  ExchangeEvents events;
  Phase phase = Phase::kConnecting;
  kernel::Time progress{};  ///< Last progress.
  evbuffer_cb_entry* output_watch = nullptr;
  bool sent = false;
  bool refused_by_owner = false;
  bool reading = true;
  bool headers_seen = false;
  bool is_refusal = false;
};

struct HttpClient {
  kernel::Loop* loop = nullptr;
  std::unordered_map<Exchange*, std::unique_ptr<Exchange>> exchanges;
  std::map<std::string, std::vector<IdleConnection>> idle;
  // Freed in the next iteration of the loop, since evhttp may still be inside
  // one of their callbacks.
  std::vector<std::unique_ptr<Exchange>> ended;
  std::vector<Connection> closing;
  std::size_t paused = 0;
  kernel::Event clean_up;
  kernel::EventWatcher sweep;
};

namespace {

bufferevent* BufferOf(const Exchange& exchange) {
  return evhttp_connection_get_bufferevent(exchange.connection.get());
}

kernel::Time NowOf(const HttpClient& client) {
  return kernel::Now(client.loop->clock);
}

// Returns true if the connection is open and has no unread input. If an
// endpoint sent more bytes than the length of its answer, they would otherwise
// be taken for the answer to the next request, which belongs to another caller.
bool IsReusable(evhttp_connection* connection) {
  bufferevent* buffer = evhttp_connection_get_bufferevent(connection);
  const evutil_socket_t fd = bufferevent_getfd(buffer);
  if (fd < 0 || evbuffer_get_length(bufferevent_get_input(buffer)) > 0) {
    return false;
  }
  char byte = 0;
  return recv(fd, &byte, 1, MSG_PEEK | MSG_DONTWAIT) < 0 &&
         (errno == EAGAIN || errno == EWOULDBLOCK);
}

void StopWatchingOutput(Exchange& exchange) {
  if (exchange.output_watch == nullptr) return;
  evbuffer_remove_cb_entry(bufferevent_get_output(BufferOf(exchange)),
                           exchange.output_watch);
  exchange.output_watch = nullptr;
}

// Removes the exchange from those in progress. If `reuse` is true, its
// connection is kept for reuse; otherwise it is closed.
void Retire(Exchange& exchange, bool reuse) {
  HttpClient& client = *exchange.client;
  const auto at = client.exchanges.find(&exchange);
  if (at == client.exchanges.end()) return;
  exchange.phase = Phase::kEnded;
  if (!exchange.reading) --client.paused;
  StopWatchingOutput(exchange);
  if (reuse) {
    auto& idle = client.idle[exchange.spec.address];
    if (idle.size() < kIdleConnections) {
      idle.push_back({std::move(exchange.connection), NowOf(client)});
    }
  }
  exchange.events = {};
  client.ended.push_back(std::move(at->second));
  client.exchanges.erase(at);
  event_active(client.clean_up.get(), 0, 0);
}

void End(Exchange& exchange, ExchangeEndKind kind, std::string detail) {
  if (exchange.phase == Phase::kEnded) return;
  const bool complete = kind == ExchangeEndKind::kComplete;
  const ExchangeEnd end{kind, exchange.sent, std::move(detail)};
  const auto on_end = exchange.events.on_end;
  const bool tell = !exchange.refused_by_owner && on_end;
  // Answers name no request, so that the next one on the connection would take
  // a copy of a refusal, which may come at any later time, for its answer.
  Retire(exchange, complete && exchange.reading && !exchange.is_refusal);
  if (tell) on_end(end);
}

// Called at each change of the connection's output buffer. The first bytes that
// are added are the request; the first that are removed were sent.
void OnOutput(evbuffer* /*buffer*/, const evbuffer_cb_info* info, void* arg) {
  auto& exchange = *static_cast<Exchange*>(arg);
  if (exchange.phase == Phase::kEnded) return;
  bufferevent* buffer = BufferOf(exchange);
  const evutil_socket_t fd = bufferevent_getfd(buffer);
  if (info->n_added > 0 && exchange.phase == Phase::kConnecting) {
    exchange.phase = Phase::kSending;
    exchange.progress = NowOf(*exchange.client);
    SetNoDelay(fd);
    if (exchange.events.may_send && !exchange.events.may_send()) {
      // evhttp can't be stopped here. A socket that is shut down for writing
      // sends nothing, so a refused request is certainly not sent.
      exchange.refused_by_owner = true;
      shutdown(fd, SHUT_WR);
    }
  }
  // evhttp also empties the buffer when it abandons a connection. The socket is
  // closed by then.
  if (info->n_deleted > 0 && fd >= 0 && !exchange.refused_by_owner &&
      (bufferevent_get_enabled(buffer) & EV_WRITE) != 0) {
    exchange.sent = true;
  }
}

int OnHead(evhttp_request* request, void* arg) {
  auto& exchange = *static_cast<Exchange*>(arg);
  if (exchange.phase == Phase::kEnded) return 0;
  exchange.phase = Phase::kAnswering;
  exchange.progress = NowOf(*exchange.client);
  exchange.headers_seen = true;
  const ExchangeHead head{evhttp_request_get_response_code(request),
                          evhttp_request_get_input_headers(request)};
  exchange.is_refusal = IsRefusal(head);
  if (exchange.events.on_head) exchange.events.on_head(head);
  return 0;
}

void OnData(evhttp_request* request, void* arg) {
  auto& exchange = *static_cast<Exchange*>(arg);
  if (exchange.phase == Phase::kEnded) return;
  exchange.progress = NowOf(*exchange.client);
  if (exchange.events.on_data) {
    exchange.events.on_data(evhttp_request_get_input_buffer(request));
  }
}

void OnDone(evhttp_request* request, void* arg) {
  auto& exchange = *static_cast<Exchange*>(arg);
  if (exchange.phase == Phase::kEnded) return;
  if (request != nullptr && evhttp_request_get_response_code(request) != 0 &&
      exchange.headers_seen) {
    End(exchange, ExchangeEndKind::kComplete, "");
    return;
  }
  if (exchange.phase == Phase::kConnecting) {
    End(exchange, ExchangeEndKind::kRefused, "no connection");
    return;
  }
  End(exchange, ExchangeEndKind::kBroken,
      exchange.headers_seen ? "answer broke off" : "no answer");
}

void OnError(evhttp_request_error error, void* arg) {
  auto& exchange = *static_cast<Exchange*>(arg);
  if (exchange.phase == Phase::kEnded) return;
  if (exchange.phase == Phase::kConnecting) return;  // OnDone is called next.
  switch (error) {
    case EVREQ_HTTP_TIMEOUT:
      End(exchange, ExchangeEndKind::kTimeout, "timeout");
      return;
    case EVREQ_HTTP_INVALID_HEADER:
      End(exchange, ExchangeEndKind::kBroken, "answer is not HTTP");
      return;
    case EVREQ_HTTP_DATA_TOO_LONG:
      End(exchange, ExchangeEndKind::kBroken, "answer is too long");
      return;
    default:
      End(exchange, ExchangeEndKind::kBroken,
          exchange.headers_seen ? "answer broke off" : "no answer");
  }
}

Connection NewConnection(HttpClient& client, const std::string& address) {
  const auto [host, port] = SplitAddress(address);
  bufferevent* buffer = bufferevent_socket_new(client.loop->base.get(), -1,
                                               BEV_OPT_CLOSE_ON_FREE);
  bufferevent_setwatermark(buffer, EV_READ, 0, kEndpointBuffer);
  Connection connection(evhttp_connection_base_bufferevent_new(
      client.loop->base.get(), nullptr, buffer, host.c_str(), port));
  // Timeouts are handled by the sweep, which distinguishes their kinds.
  constexpr int kNeverSeconds = 1'000'000;
  evhttp_connection_set_timeout(connection.get(), kNeverSeconds);
  evhttp_connection_set_max_headers_size(connection.get(), kHeaderBytes);
  return connection;
}

Connection TakeConnection(HttpClient& client, const std::string& address) {
  const auto at = client.idle.find(address);
  while (at != client.idle.end() && !at->second.empty()) {
    Connection connection = std::move(at->second.back().connection);
    at->second.pop_back();
    if (IsReusable(connection.get())) return connection;
    client.closing.push_back(std::move(connection));
    event_active(client.clean_up.get(), 0, 0);
  }
  return NewConnection(client, address);
}

// The signature is libevent's.
// NOLINTNEXTLINE(google-runtime-int)
void CleanUp(evutil_socket_t /*fd*/, short /*what*/, void* arg) {
  auto& client = *static_cast<HttpClient*>(arg);
  const auto ended = std::move(client.ended);
  client.ended.clear();
  const auto closing = std::move(client.closing);
  client.closing.clear();
}

std::chrono::milliseconds TimeAllowed(const Exchange& exchange) {
  switch (exchange.phase) {
    case Phase::kConnecting:
      return kConnectTime;
    case Phase::kSending:
      return exchange.spec.answer_time;
    default:
      return exchange.spec.idle_timeout;
  }
}

void SweepIdle(HttpClient& client, kernel::Time now) {
  for (auto at = client.idle.begin(); at != client.idle.end();) {
    std::erase_if(at->second, [now](const IdleConnection& idle) {
      return now - idle.since > kKeepAlive;
    });
    at = at->second.empty() ? client.idle.erase(at) : std::next(at);
  }
}

void Sweep(HttpClient& client) {
  const kernel::Time now = NowOf(client);
  std::vector<Exchange*> late;
  for (const auto& [exchange, owned] : client.exchanges) {
    if (exchange->reading &&
        now - exchange->progress > TimeAllowed(*exchange)) {
      late.push_back(exchange);
    }
  }
  for (Exchange* exchange : late) {
    if (!client.exchanges.contains(exchange)) continue;
    const bool connecting = exchange->phase == Phase::kConnecting;
    End(*exchange,
        connecting ? ExchangeEndKind::kNotConnected : ExchangeEndKind::kTimeout,
        connecting ? "no connection in time" : "no answer in time");
  }
  SweepIdle(client, now);
}

void AddHeaders(evhttp_request* request, const ExchangeSpec& spec) {
  evkeyvalq* headers = evhttp_request_get_output_headers(request);
  evhttp_add_header(headers, "Host", spec.address.c_str());
  for (const auto& [name, value] : spec.headers) {
    evhttp_add_header(headers, name.c_str(), value.c_str());
  }
  if (!spec.body) return;
  // The body is shared with the call, which may send it again, to avoid a copy.
  auto* kept = new std::shared_ptr<const std::string>(spec.body);
  evbuffer_add_reference(
      evhttp_request_get_output_buffer(request), spec.body->data(),
      spec.body->size(),
      [](const void* /*data*/, std::size_t /*size*/, void* extra) {
        delete static_cast<std::shared_ptr<const std::string>*>(extra);
      },
      kept);
}

// Sends the request on a reused connection at once, so that the loop can't be
// delayed between `MaySend` and the first byte. evhttp continues when the
// socket is writable.
void SendNow(Exchange& exchange) {
  if (exchange.phase != Phase::kSending || exchange.refused_by_owner) return;
  bufferevent* buffer = BufferOf(exchange);
  evbuffer* output = bufferevent_get_output(buffer);
  evbuffer_unfreeze(output, 1);
  evbuffer_write(output, bufferevent_getfd(buffer));
  evbuffer_freeze(output, 1);
}

}  // namespace

void HttpClientDelete::operator()(HttpClient* client) const {
  for (const auto& [exchange, owned] : client->exchanges) {
    exchange->phase = Phase::kEnded;
    StopWatchingOutput(*exchange);
  }
  delete client;
}

HttpClientPtr OpenHttpClient(kernel::Loop& loop) {
  HttpClientPtr client(new HttpClient);
  client->loop = &loop;
  client->clean_up.reset(
      event_new(loop.base.get(), -1, 0, CleanUp, client.get()));
  client->sweep =
      kernel::RunEvery(loop, kSweep, [raw = client.get()] { Sweep(*raw); });
  return client;
}

Exchange* StartExchange(HttpClient& client, ExchangeSpec spec,
                        ExchangeEvents events) {
  auto owned = std::make_unique<Exchange>();
  Exchange* exchange = owned.get();
  exchange->client = &client;
  exchange->connection = spec.fresh ? NewConnection(client, spec.address)
                                    : TakeConnection(client, spec.address);
  exchange->spec = std::move(spec);
  exchange->events = std::move(events);
  exchange->progress = NowOf(client);
  client.exchanges.emplace(exchange, std::move(owned));
  exchange->output_watch = evbuffer_add_cb(
      bufferevent_get_output(BufferOf(*exchange)), OnOutput, exchange);

  evhttp_request* request = evhttp_request_new(OnDone, exchange);
  evhttp_request_set_header_cb(request, OnHead);
  evhttp_request_set_chunked_cb(request, OnData);
  evhttp_request_set_error_cb(request, OnError);
  AddHeaders(request, exchange->spec);
  if (evhttp_make_request(exchange->connection.get(), request,
                          exchange->spec.method,
                          exchange->spec.uri.c_str()) != 0) {
    // Reported by the sweep, so that no callback is called before the return.
    exchange->phase = Phase::kConnecting;
    exchange->progress = {};
  }
  SendNow(*exchange);
  return exchange;
}

void CancelExchange(Exchange* exchange) { Retire(*exchange, false); }

void SetReading(Exchange* exchange, bool reading) {
  if (exchange->reading == reading || exchange->phase == Phase::kEnded) return;
  exchange->reading = reading;
  exchange->client->paused += reading ? -1 : 1;
  exchange->progress = NowOf(*exchange->client);
  if (reading) {
    bufferevent_enable(BufferOf(*exchange), EV_READ);
  } else {
    bufferevent_disable(BufferOf(*exchange), EV_READ);
  }
}

std::size_t CountExchanges(const HttpClient& client) {
  return client.exchanges.size();
}
std::size_t CountPaused(const HttpClient& client) { return client.paused; }

}  // namespace egretladder::gateway
