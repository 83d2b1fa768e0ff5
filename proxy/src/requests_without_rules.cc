// Requests that arrive before this node knows the rules.
#include <utility>

#include "state_p.h"

namespace egretladder::proxy {
namespace {

constexpr int kUnavailable = 503;

// Removes the request from those that wait, so that it can be answered.
net::HttpCallPtr Remove(Proxy& proxy, std::uint64_t number) {
  const auto at = proxy.requests_without_rules.find(number);
  const net::HttpCallPtr caller = at->second.caller;
  proxy.requests_without_rules.erase(at);
  caller->OnDisconnect(nullptr);
  proxy.request_bytes -= net::MemoryOf(caller->request());
  return caller;
}

void RejectNotReady(Proxy& proxy, const net::HttpCallPtr& caller) {
  RejectRequest(
      proxy, caller, kUnavailable, "not_ready", "no rules are known yet",
      routing::RetryAfterNotReady(Elapsed(proxy.members.started, NowOf(proxy)),
                                  proxy.random));
}

// Returns how long the request may wait from now on.
milliseconds GetMaxWait(const Proxy& proxy, const net::HttpCallPtr& caller) {
  if (proxy.leaving) return {};
  const auto metadata = proxy.dialect->read_call(caller->request());
  if (!metadata) return {};
  return routing::MaxWaitForRules(metadata.value().deadline,
                                  proxy.requests_without_rules.size());
}

}  // namespace

void AwaitRules(Proxy& proxy, const net::HttpCallPtr& caller) {
  const milliseconds max_wait = GetMaxWait(proxy, caller);
  if (max_wait.count() == 0) {
    RejectNotReady(proxy, caller);
    return;
  }
  const std::uint64_t number = ++proxy.last_number;
  proxy.request_bytes += net::MemoryOf(caller->request());
  RequestWithoutRules& waiting = proxy.requests_without_rules[number];
  waiting.caller = caller;
  waiting.arrived_at = NowOf(proxy);
  waiting.timer = kernel::RunAfter(*proxy.loop, max_wait, [&proxy, number] {
    RejectNotReady(proxy, Remove(proxy, number));
  });
  caller->OnDisconnect([&proxy, number] { Remove(proxy, number); });
  kernel::LogEvent(kernel::LogPart::kRoute, kernel::LogLevel::kInfo,
                   "awaits-rules",
                   {{"req", proxy.dialect->request_id(caller->request())},
                    {"max_wait_ms", max_wait},
                    {"waiting", proxy.requests_without_rules.size()}});
}

void RouteRequestsWithoutRules(Proxy& proxy) {
  while (!proxy.requests_without_rules.empty()) {
    const auto& [number, waiting] = *proxy.requests_without_rules.begin();
    const Time arrived_at = waiting.arrived_at;
    RouteAndDispatch(proxy, Remove(proxy, number), arrived_at, nullptr);
  }
}

void RejectRequestsWithoutRules(Proxy& proxy) {
  while (!proxy.requests_without_rules.empty()) {
    const std::uint64_t number = proxy.requests_without_rules.begin()->first;
    RejectRequest(proxy, Remove(proxy, number), kUnavailable, "leaving",
                  "this node is leaving", kLeavingRetryDelay);
  }
}

}  // namespace egretladder::proxy
