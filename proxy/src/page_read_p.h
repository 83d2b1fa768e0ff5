// Reads one page of the store or of an endpoint as a whole.
#pragma once

#include <chrono>
#include <cstddef>
#include <functional>
#include <memory>
#include <string>

#include "egretladder/kernel/loop.h"
#include "egretladder/net/http_client.h"
#include "egretladder/proxy/dialect.h"

namespace egretladder::proxy {

/// A page as it was answered.
struct Page {
  /// 0: no answer came in time, or it was broken or longer than allowed.
  int status = 0;
  bool is_refused = false;  ///< No process accepted the connection.
  bool is_late = false;     ///< It didn't end in time.
  net::HttpAnswerHead head;
  std::string body;
};

/// A read in progress. Destroying it cancels it.
struct PageRead {
  PageRead() = default;
  ~PageRead() { net::Cancel(exchange); }
  PageRead(const PageRead&) = delete;
  PageRead& operator=(const PageRead&) = delete;

  Page page;
  std::size_t max_bytes = 0;
  net::HttpExchangePtr exchange;
  kernel::EventWatcher timer;  ///< Ends the read.
  std::function<void(const Page&)> on_end;
};
using PageReadPtr = std::shared_ptr<PageRead>;

/// What is read, and within which bounds.
struct PageRequest {
  std::string address;  ///< `IP:port`.
  std::string target;
  std::size_t max_bytes = 0;
  std::chrono::milliseconds timeout{};
  net::ConnectionReuse reuse = net::ConnectionReuse::kAny;
  /// Of an endpoint's page: tells it from answers to requests, which come on
  /// the same connections and bear ids. Null: no other answers come there.
  const Dialect* dialect = nullptr;
  /// See `net::ExchangeRequest::successor_id`.
  std::string successor_id = {};
};

/// Starts to read. `on_end` is called once unless the read is destroyed before;
/// it may destroy it.
PageReadPtr StartPageRead(kernel::Loop& loop, net::HttpClient& client,
                          const PageRequest& request,
                          std::function<void(const Page&)> on_end);

}  // namespace egretladder::proxy
