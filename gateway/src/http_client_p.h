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
#include "egretladder/node/node.h"

namespace egretladder::gateway {

using HttpHeaders = net::HttpFields;

struct ExchangeSpec {
  std::string address;  ///< `IP:port`.
  evhttp_cmd_type method = EVHTTP_REQ_GET;
  std::string uri = "/";
  HttpHeaders headers;
  std::shared_ptr<const std::string> body;   ///< Null: none.
  std::chrono::milliseconds answer_time{};   ///< Timeout for the first byte.
  std::chrono::milliseconds idle_timeout{};  ///< Timeout between two bytes.
  bool fresh = false;                        ///< Opens a new connection.
};

/// The status line and headers of an answer. Valid during the callback only.
struct ExchangeHead {
  int status = 0;
  const evkeyvalq* headers = nullptr;
};

enum class ExchangeEndKind : std::uint8_t {
  kComplete,
  kRefused,       ///< The connection was refused.
  kNotConnected,  ///< The connection was not opened in time.
  kBroken,        ///< The connection broke, or the answer is not HTTP.
  kTimeout,
};

struct ExchangeEnd {
  ExchangeEndKind kind = ExchangeEndKind::kBroken;
  bool sent = false;  ///< A byte of the request left this process.
  std::string detail;
};

/// Callbacks of an exchange. After `on_end`, or after `may_send` returned
/// false, none is called.
struct ExchangeEvents {
  /// Called right before the first byte of the request is passed to the socket.
  std::function<bool()> may_send;
  std::function<void(const ExchangeHead&)> on_head;
  /// Removes the bytes that it uses from the buffer; the others are dropped.
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

/// Starts an exchange. No callback but `may_send` is called before it returns.
Exchange* StartExchange(HttpClient& client, ExchangeSpec spec,
                        ExchangeEvents events);
/// Closes the connection of the exchange. None of its callbacks is called
/// afterwards.
void CancelExchange(Exchange* exchange);
/// Stops or resumes reading the answer.
void SetReading(Exchange* exchange, bool reading);

std::size_t CountExchanges(const HttpClient& client);
std::size_t CountPaused(const HttpClient& client);

/// A small document; null if it can't be read or is larger than `most`.
/// `status` is 0 then.
struct Fetched {
  int status = 0;
  std::string etag;  ///< Empty: the answer has none.
  node::EndpointNotice notice;
  std::string body;
};
void Fetch(HttpClient& client, ExchangeSpec spec, std::size_t most,
           std::function<void(const Fetched*)> done);

/// Opens a new connection to find out whether a process listens at `address`.
/// `refused` is true only if the connection was refused. `done` must not end
/// exchanges.
void ProbeListener(HttpClient& client, const std::string& address,
                   std::function<void(bool refused)> done);

}  // namespace egretladder::gateway
