#include <utility>

#include "page_read_p.h"

namespace egretladder::proxy {
namespace {

// Keeps the read alive until its caller has been told.
void Finish(const PageReadPtr& read) {
  if (read == nullptr || read->on_end == nullptr) return;
  net::Cancel(std::exchange(read->exchange, nullptr));
  read->timer = {};
  const auto on_end = std::exchange(read->on_end, nullptr);
  on_end(read->page);
}

void Fail(const std::weak_ptr<PageRead>& weak_read, const Page& failure) {
  const PageReadPtr read = weak_read.lock();
  if (read == nullptr) return;
  read->page = failure;
  Finish(read);
}

net::ExchangeHandlers MakeHandlers(const std::weak_ptr<PageRead>& weak_read,
                                   const Dialect* dialect) {
  net::ExchangeHandlers handlers;
  handlers.on_head = [weak_read, dialect](const net::HttpAnswerHead& head) {
    if (dialect != nullptr && !dialect->read_answer(head).id.empty())
      return net::HeadVerdict::kSkip;
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
    if (read->page.body.size() > read->max_bytes) Fail(weak_read, {});
  };
  // A page that its connection cut short can't be parsed.
  handlers.on_end = [weak_read](net::AnswerEnd /*end*/) {
    Finish(weak_read.lock());
  };
  handlers.on_error = [weak_read](net::ExchangeError error,
                                  const std::string& /*detail*/) {
    Fail(weak_read, {.is_refused = error == net::ExchangeError::kNotConnected,
                     .is_late = error == net::ExchangeError::kNotOpened});
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
  exchange.connect_timeout = request.timeout;
  exchange.reuse = request.reuse;
  exchange.successor_id = request.successor_id;
  read->exchange = client.Start(std::move(exchange),
                                MakeHandlers(weak_read, request.dialect));
  read->timer = kernel::RunAfter(loop, request.timeout, [weak_read] {
    Fail(weak_read, {.is_late = true});
  });
  return read;
}

}  // namespace egretladder::proxy
