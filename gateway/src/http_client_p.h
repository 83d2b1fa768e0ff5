// HTTP exchanges with endpoints, other nodes and the platform over evhttp
// client connections, with reuse of idle ones.
#pragma once

#include <event2/buffer.h>
#include <event2/http.h>

#include <chrono>
#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <utility>
#include <vector>

#include "egretladder/kernel/loop.h"
#include "egretladder/net/http_message.h"

namespace egretladder::gateway {

using HttpHeaders = net::HttpFields;

struct ExchangeSpec {
  std::string address;  ///< `IP:port`.
  evhttp_cmd_type method = EVHTTP_REQ_GET;
  std::string uri = "/";
  HttpHeaders headers;
  std::shared_ptr<const std::string> body;   ///< Null: none.
  std::chrono::milliseconds answer_time{};   ///< Until the first byte.
  std::chrono::milliseconds idle_timeout{};  ///< Between two bytes.
  bool fresh = false;  ///< On a new connection, never on an idle one.
};

/// The status line and headers of an answer. Valid during the callback only.
struct ExchangeHead {
  int status = 0;
  const evkeyvalq* headers = nullptr;
};

enum class ExchangeEndKind : std::uint8_t {
  kComplete,
  kRefused,       ///< The connection was refused.
  kNotConnected,  ///< No connection in time.
  kBroken,        ///< Broke off, or not HTTP.
  kTimeout,
};

struct ExchangeEnd {
  ExchangeEndKind kind = ExchangeEndKind::kBroken;
  bool sent = false;  ///< A byte of the request left this process.
  std::string detail;
};

/// What an exchange tells its owner. After `on_end`, or a refusal by
/// `may_send`, nothing more comes.
struct ExchangeEvents {
  /// Asked right before the request's first byte is handed to the socket.
  std::function<bool()> may_send;
  std::function<void(const ExchangeHead&)> on_head;
  /// Takes what it wants out of the buffer; the rest is dropped.
  std::function<void(evbuffer*)> on_data;
  std::function<void(const ExchangeEnd&)> on_end;
};

struct Exchange;
struct HttpClient;
struct HttpClientDelete {
  void operator()(HttpClient* client) const;
};
using HttpClientPtr = std::unique_ptr<HttpClient, HttpClientDelete>;

HttpClientPtr OpenHttpClient(kernel::Loop& loop);

/// Never calls back before it returns, but for `may_send`.
Exchange* StartExchange(HttpClient& client, ExchangeSpec spec,
                        ExchangeEvents events);
/// Closes the exchange's connection; nothing more comes from it.
void CancelExchange(Exchange* exchange);
/// Stops or goes on reading the answer.
void SetReading(Exchange* exchange, bool reading);

std::size_t CountExchanges(const HttpClient& client);
std::size_t CountPaused(const HttpClient& client);

/// Reads a small document whole; null when it could not be had or is larger
/// than `most`. `status` is 0 then.
struct Fetched {
  int status = 0;
  std::string etag;  ///< Empty: none was sent.
  std::string body;
};
void Fetch(HttpClient& client, ExchangeSpec spec, std::size_t most,
           std::function<void(const Fetched*)> done);

/// Finds out by a new connection whether anything listens at `address`.
/// `refused` is true only when the connection was refused outright. `done` must
/// not end exchanges.
void ProbeListener(HttpClient& client, const std::string& address,
                   std::function<void(bool refused)> done);

}  // namespace egretladder::gateway
