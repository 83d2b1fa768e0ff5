// Small RAII helpers over evhttp for the stand-ins and the load tool.
#pragma once

#include <event2/http.h>

#include <functional>
#include <memory>
#include <string>
#include <string_view>

#include "egretladder/kernel/error.h"
#include "egretladder/kernel/loop.h"

namespace egretladder::lab {

struct EvhttpFree {
  void operator()(evhttp* server) const { evhttp_free(server); }
};
struct ConnectionFree {
  void operator()(evhttp_connection* connection) const {
    evhttp_connection_free(connection);
  }
};
using Connection = std::unique_ptr<evhttp_connection, ConnectionFree>;

using RequestHandler = std::function<void(evhttp_request*)>;

/// A listening server; `handler` sees every request.
struct HttpServer {
  std::unique_ptr<RequestHandler> handler;
  std::unique_ptr<evhttp, EvhttpFree> server;
};

struct Address {
  std::string host;
  std::uint16_t port = 0;
};

/// Parses any `IP:port` or `[IPv6]:port`. Fails with `kInvalidInput`.
kernel::Result<Address> ParseAddress(std::string_view text);

/// Parses `127.x.y.z:port` or `[::1]:port`. Fails with `kInvalidInput` on any
/// other address: the lab sends and takes traffic on loopback only.
kernel::Result<Address> ParseLoopback(std::string_view text);

kernel::Result<HttpServer> Listen(kernel::Loop& loop, const Address& address,
                                  RequestHandler handler);

std::string BodyOf(evhttp_request* request);
/// Empty when the header is missing.
std::string HeaderOf(evhttp_request* request, const char* name);
/// The path without the query.
std::string PathOf(evhttp_request* request);
/// Empty when the query has no such key.
std::string QueryOf(evhttp_request* request, const char* key);

void Reply(evhttp_request* request, int status, const char* content_type,
           std::string_view body);
void ReplyJson(evhttp_request* request, int status, std::string_view body);
/// Adds `text` as one chunk of a reply begun with evhttp_send_reply_start.
void ReplyChunk(evhttp_request* request, std::string_view text);

}  // namespace egretladder::lab
