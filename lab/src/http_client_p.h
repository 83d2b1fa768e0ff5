// A small HTTP client over evhttp: pooled connections to loopback addresses,
// bounded in number.
#pragma once

#include <event2/http.h>

#include <chrono>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

#include "egretladder/kernel/loop.h"
#include "http_p.h"

namespace egretladder::lab {

struct HttpHeader {
  std::string name;
  std::string value;
};

struct HttpAnswer {
  bool complete = false;  ///< False: it broke off, or never came.
  int status = 0;         ///< 0: nothing came.
  std::string body;       ///< Empty when `on_chunk` took it.
};

struct HttpCall {
  evhttp_cmd_type method = EVHTTP_REQ_GET;
  std::string path;
  std::vector<HttpHeader> headers;
  std::string body;
  /// Gets the body of a 200 as it arrives; may be empty.
  std::function<void(std::string_view)> on_chunk;
  std::function<void(const HttpAnswer&)> on_done;  ///< Exactly once.
};

/// Calls that are unfinished when it goes get no `on_done`.
class HttpClient {
 public:
  HttpClient(kernel::Loop& loop, std::size_t max_connections,
             std::chrono::seconds timeout);
  ~HttpClient();
  HttpClient(const HttpClient&) = delete;
  HttpClient& operator=(const HttpClient&) = delete;

  /// Returns false, and calls nothing, when no connection is left.
  bool Send(const Address& address, HttpCall call);
  std::size_t in_progress() const { return exchanges_.size(); }

 private:
  struct Exchange;
  static void OnChunk(evhttp_request* request, void* arg);
  static void OnDone(evhttp_request* request, void* arg);
  Connection Take(const Address& address);

  kernel::Loop& loop_;
  std::size_t max_connections_;
  std::chrono::seconds timeout_;
  std::size_t connections_ = 0;
  std::map<std::string, std::vector<Connection>> idle_;
  std::map<std::uint64_t, std::unique_ptr<Exchange>> exchanges_;
  std::uint64_t next_exchange_ = 1;
};

}  // namespace egretladder::lab
