#include "http_client_p.h"
#include "http_headers_p.h"

namespace egretladder::gateway {
void Fetch(HttpClient& client, ExchangeSpec spec, std::size_t most,
           std::function<void(const Fetched*)> done) {
  auto got = std::make_shared<Fetched>();
  auto too_long = std::make_shared<bool>(false);
  ExchangeEvents events;
  events.on_head = [got](const ExchangeHead& head) {
    got->status = head.status;
    got->etag = HeaderOf(head.headers, "ETag");
    got->notice = NoticeOf(head);
  };
  events.on_data = [got, too_long, most](evbuffer* data) {
    const std::size_t size = evbuffer_get_length(data);
    if (*too_long || got->body.size() + size > most) {
      *too_long = true;
      return;
    }
    const std::size_t old = got->body.size();
    got->body.resize(old + size);
    evbuffer_remove(data, got->body.data() + old, size);
  };
  events.on_end = [got, too_long, done](const ExchangeEnd& end) {
    const bool whole = end.kind == ExchangeEndKind::kComplete && !*too_long;
    done(whole ? got.get() : nullptr);
  };
  StartExchange(client, std::move(spec), std::move(events));
}

void ProbeListener(HttpClient& client, const std::string& address,
                   std::function<void(bool refused)> done) {
  ExchangeSpec spec;
  spec.address = address;
  // An endpoint that dies closes its connections one after another. An idle one
  // may still look open, so that the death would look like one bad connection,
  // and the request that caused it would be sent to the next endpoint.
  spec.fresh = true;
  ExchangeEvents events;
  // Only the connection matters; nothing is sent.
  events.may_send = [done] {
    done(false);
    return false;
  };
  events.on_end = [done](const ExchangeEnd& end) {
    done(end.kind == ExchangeEndKind::kRefused);
  };
  StartExchange(client, std::move(spec), std::move(events));
}

}  // namespace egretladder::gateway
