// Spare connections: witnesses of the processes of endpoints.
//
// A stream without framing ends with its connection, and so does one whose
// process ends. An endpoint that states no start can't be asked which process
// it is. But a connection that was open before the request was sent, and still
// answers behind the end of the stream, leads to the process that served it.
#include <algorithm>
#include <set>
#include <utility>

#include "state_p.h"

namespace egretladder::proxy {
namespace {

using kernel::LogLevel;
using kernel::LogPart;

bool IsOpen(const Proxy& proxy, const Spare& spare) {
  return spare.number != 0 &&
         proxy.spare_client->HasReusable(
             spare.address, net::ConnectionReuse::kOpenOnly, "", spare.number);
}

void RunAll(const std::vector<Spare::Waiter>& waiters) {
  for (const Spare::Waiter& waiter : waiters) waiter();
}

void Ask(Proxy& proxy, const std::string& id);

// Whatever the endpoint answers, its process has answered it.
void OnAnswer(Proxy& proxy, const std::string& id, const Page& page) {
  const auto at = proxy.spares.find(id);
  if (at == proxy.spares.end()) return;
  Spare& spare = at->second;
  const auto read = std::exchange(spare.read, nullptr);
  const Time now = NowOf(proxy);
  const bool was_open = spare.number != 0;
  if (!was_open && page.status != 0) {
    spare.number = ++proxy.last_number;
    spare.opened_at = now;
    proxy.spare_client->MarkReusable(spare.address, spare.number);
  }
  if (page.status != 0) spare.heard_at = now;
  if (!IsOpen(proxy, spare)) {
    spare.number = 0;
    // One that didn't answer may be back at any moment.
    if (!was_open) {
      spare.unavailable_until =
          now + (page.status != 0 ? kSpareRetryTime : kSpareRefreshInterval);
    }
    kernel::LogEvent(LogPart::kEndpoint, LogLevel::kInfo, "spare-lost",
                     {{"endpoint", id},
                      {"status", page.status},
                      {"late", page.is_late ? "yes" : "no"}});
  }
  auto waiting = std::exchange(spare.waiting, std::move(spare.queued));
  spare.queued.clear();
  if (!spare.waiting.empty()) Ask(proxy, id);
  RunAll(waiting);
}

// Asks on the connection that is open, or on a new one.
void Ask(Proxy& proxy, const std::string& id) {
  Spare& spare = proxy.spares[id];
  const bool is_open = spare.number != 0;
  spare.read = StartPageRead(
      *proxy.loop, *proxy.spare_client,
      {.address = spare.address,
       .target = proxy.dialect->report_target(),
       .max_bytes = kMaxReportBytes,
       .timeout = is_open ? kSpareSilenceTime : kProcessCheckTimeout,
       .reuse = is_open ? net::ConnectionReuse::kOpenOnly
                        : net::ConnectionReuse::kNone,
       .dialect = proxy.dialect},
      [&proxy, id](const Page& page) { OnAnswer(proxy, id, page); });
}

std::set<std::string> FindUsed(const Proxy& proxy) {
  std::set<std::string> used;
  for (const auto& [number, call] : proxy.calls) {
    if (call->attempt != nullptr && call->attempt->spare != 0)
      used.insert(call->attempt->endpoint->entry.id);
  }
  return used;
}

// Another process at the address may have a spare connection of its own.
void Close(Proxy& proxy, Spare& spare) {
  if (spare.number != 0)
    proxy.spare_client->CloseIdle(spare.address, spare.number);
  spare.number = 0;
}

}  // namespace

bool NeedsSpare(const Proxy& proxy, const Call& call,
                const routing::Endpoint& endpoint) {
  if (call.route->kind != routing::RouteKind::kStream) return false;
  if (endpoint.entry.started_unix_ms != 0 ||
      endpoint.frames_streams.value_or(false)) {
    return false;
  }
  const auto at = proxy.spares.find(endpoint.entry.id);
  if (at == proxy.spares.end()) return true;
  return NumberOfSpare(proxy, endpoint) == 0 &&
         NowOf(proxy) >= at->second.unavailable_until;
}

void OpenSpare(Proxy& proxy, const routing::Endpoint& endpoint,
               Spare::Waiter on_end) {
  const std::string& id = endpoint.entry.id;
  Spare& spare = proxy.spares[id];
  spare.waiting.push_back(std::move(on_end));
  spare.used_at = NowOf(proxy);
  if (spare.read != nullptr) return;
  Close(proxy, spare);
  spare.address = endpoint.entry.address;
  Ask(proxy, id);
}

std::uint64_t NumberOfSpare(const Proxy& proxy,
                            const routing::Endpoint& endpoint) {
  const auto at = proxy.spares.find(endpoint.entry.id);
  if (at == proxy.spares.end()) return 0;
  const bool is_its_own = at->second.address == endpoint.entry.address;
  return is_its_own && (at->second.read != nullptr || IsOpen(proxy, at->second))
             ? at->second.number
             : 0;
}

Time AnswersSince(const Proxy& proxy, const routing::Endpoint& endpoint) {
  return proxy.spares.at(endpoint.entry.id).opened_at;
}

void AskSpare(Proxy& proxy, const routing::Endpoint& endpoint,
              Spare::Waiter on_end) {
  const std::string& id = endpoint.entry.id;
  Spare& spare = proxy.spares[id];
  spare.used_at = NowOf(proxy);
  // A question that is under way was asked before the end of the answer.
  if (spare.read != nullptr) {
    spare.queued.push_back(std::move(on_end));
    return;
  }
  spare.waiting.push_back(std::move(on_end));
  Ask(proxy, id);
}

void KeepSpares(Proxy& proxy) {
  if (proxy.spares.empty()) return;
  const Time now = NowOf(proxy);
  const std::set<std::string> used = FindUsed(proxy);
  for (auto& [id, spare] : proxy.spares) {
    if (used.contains(id)) spare.used_at = now;
    const bool is_due = now - spare.heard_at >= kSpareRefreshInterval;
    if (used.contains(id) && is_due && spare.read == nullptr &&
        IsOpen(proxy, spare)) {
      Ask(proxy, id);
    }
  }
  for (auto at = proxy.spares.begin(); at != proxy.spares.end();) {
    Spare& spare = at->second;
    const bool is_kept = spare.read != nullptr ||
                         now - spare.used_at < kSpareIdleTime ||
                         now < spare.unavailable_until;
    if (!is_kept) Close(proxy, spare);
    at = is_kept ? std::next(at) : proxy.spares.erase(at);
  }
}

}  // namespace egretladder::proxy
