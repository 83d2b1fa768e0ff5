#include <utility>

#include "page_read_p.h"

namespace egretladder::proxy {
namespace {

// Keeps the read alive until its caller has been told.
void Finish(const std::weak_ptr<PageRead>& weak_read, bool is_whole) {
  const PageReadPtr read = weak_read.lock();
  if (read == nullptr || read->on_end == nullptr) return;
  net::Cancel(std::exchange(read->exchange, nullptr));
  read->timer = {};
  if (!is_whole) read->page = {};
  read->page.is_refused = read->is_refused;
  const auto on_end = std::exchange(read->on_end, nullptr);
  on_end(read->page);
}

net::ExchangeHandlers MakeHandlers(const std::weak_ptr<PageRead>& weak_read) {
  net::ExchangeHandlers handlers;
  handlers.on_head = [weak_read](const net::HttpAnswerHead& head) {
    if (const auto read = weak_read.lock()) {
      read->page.status = head.status;
      read->page.head = head;
    }
    return net::HeadVerdict::kAccept;
  };
  handlers.on_body = [weak_read](std::string_view piece) {
    const auto read = weak_read.lock();
    if (read == nullptr) return;
    read->page.body.append(piece);
    if (read->page.body.size() > read->max_bytes) Finish(weak_read, false);
  };
  handlers.on_end = [weak_read] { Finish(weak_read, true); };
  handlers.on_error = [weak_read](net::ExchangeError error,
                                  const std::string& /*detail*/) {
    if (const auto read = weak_read.lock())
      read->is_refused = error == net::ExchangeError::kNotConnected;
    Finish(weak_read, false);
  };
  return handlers;
}

}  // namespace

PageReadPtr StartPageRead(kernel::Loop& loop, net::HttpClient& client,
                          const PageRequest& request,
                          std::function<void(const Page&)> on_end) {
  auto read = std::make_shared<PageRead>();
  read->max_bytes = request.max_bytes;
  read->on_end = std::move(on_end);
  const std::weak_ptr<PageRead> weak_read = read;
  net::ExchangeRequest exchange;
  exchange.address = request.address;
  exchange.head =
      net::FormatRequestHead("GET", request.target, {{"Host", request.address}},
                             net::BodyFraming::kNone, 0);
  read->exchange = client.Start(std::move(exchange), MakeHandlers(weak_read));
  read->timer = kernel::RunAfter(loop, request.timeout,
                                 [weak_read] { Finish(weak_read, false); });
  return read;
}

}  // namespace egretladder::proxy
