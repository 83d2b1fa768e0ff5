#include "egretladder/proxy/proxy.h"

#include <algorithm>

#include "egretladder/kernel/registry.h"
#include "state_p.h"

namespace egretladder::proxy {
namespace {

using kernel::LogLevel;
using kernel::LogPart;

void OnPaused(Proxy& proxy, milliseconds gap) {
  // The process stood still: watches may have gone silent, and what peers said
  // is old.
  kernel::LogEvent(LogPart::kKernel, LogLevel::kWarning, "stood-still",
                   {{"ms", gap}});
  RestartReading(proxy);
}

void OnTick(Proxy& proxy) {
  const Time now = NowOf(proxy);
  const auto gap = std::chrono::duration_cast<milliseconds>(now - proxy.ticked);
  proxy.ticked = now;
  if (gap > kPaused) OnPaused(proxy, gap);
  OnStopTick(proxy);
  for (const std::string& id : routing::DropLapsed(proxy.endpoints, now)) {
    kernel::LogEvent(
        LogPart::kPlatform, LogLevel::kInfo, "endpoint",
        {{"endpoint", id}, {"change", "gone"}, {"source", "lapsed"}});
  }
  routing::ForgetRemovals(proxy.catalog, now);
  routing::ForgetSuspects(proxy.suspects, now);
  for (const std::string& node : routing::ForgetMembers(proxy.members, now)) {
    kernel::LogEvent(LogPart::kFleet, LogLevel::kInfo, "node-forgotten",
                     {{"node", node}});
  }
  UpdateReading(proxy);
  kernel::FlushEventLog();
}

void ExchangeWhenDue(Proxy& proxy) {
  const Time now = NowOf(proxy);
  // The timer is not exact, and a turn that is a little early must not be lost.
  const auto due = routing::kExchangePeriodLarge - routing::kExchangePeriod / 2;
  if (!routing::IsSmallFleet(proxy.members) && now - proxy.exchanged < due) {
    return;
  }
  proxy.exchanged = now;
  Exchange(proxy);
}

kernel::Result<std::unique_ptr<net::HttpServer>> Serve(
    Proxy& proxy, const std::string& address,
    void (*answer)(Proxy&, const net::HttpCallPtr&)) {
  net::ServerHandlers handlers;
  handlers.on_request = [&proxy, answer](const net::HttpCallPtr& call) {
    answer(proxy, call);
  };
  handlers.on_refused = [&proxy](int status, const std::string& why) {
    Count(proxy, "egretladder_unreadable_total",
          "Requests refused since they could not be read.",
          "status=\"" + std::to_string(status) + "\"");
    kernel::LogEvent(LogPart::kCaller, LogLevel::kWarning, "unreadable",
                     {{"status", status}, {"why", why}});
  };
  handlers.refusal_body = [](int /*status*/, std::string_view why) {
    return ErrorBody("bad_request", why, "no");
  };
  auto server =
      std::make_unique<net::HttpServer>(*proxy.loop, std::move(handlers));
  BOOST_OUTCOME_TRY(server->Listen(address));
  return server;
}

kernel::Result<void> OpenServers(Proxy& proxy) {
  const ProxyOptions& options = proxy.options;
  BOOST_OUTCOME_TRY(callers, Serve(proxy, options.callers, OnRequest));
  proxy.callers = std::move(callers);
  BOOST_OUTCOME_TRY(ready, Serve(proxy, options.ready, AnswerReady));
  proxy.ready = std::move(ready);
  BOOST_OUTCOME_TRY(directory,
                    Serve(proxy, options.directory, AnswerDirectory));
  proxy.directory = std::move(directory);
  if (options.metrics.empty()) return boost::outcome_v2::success();
  BOOST_OUTCOME_TRY(metrics, Serve(proxy, options.metrics, AnswerMetrics));
  proxy.metrics_server = std::move(metrics);
  return boost::outcome_v2::success();
}

routing::Member SelfOf(const Proxy& proxy, const std::string& peers) {
  routing::Member self;
  self.node = proxy.options.node;
  self.callers = proxy.callers->address();
  self.peers = peers;
  self.zone = proxy.options.zone;
  self.region = proxy.options.region;
  // The time of day: higher with each start unless the clock goes back, and
  // then the members' rule for older lives raises it.
  self.incarnation = static_cast<std::uint64_t>(
      std::chrono::duration_cast<milliseconds>(
          std::chrono::system_clock::now().time_since_epoch())
          .count());
  return self;
}

}  // namespace

void ProxyDelete::operator()(Proxy* proxy) const {
  const auto calls = proxy->calls;
  for (const auto& [number, call] : calls) {
    DropAttempt(*proxy, call);
    call->caller->OnGone(nullptr);
    call->caller->Break();
  }
  for (StoreReader& reader : proxy->readers) net::Cancel(reader.exchange);
  delete proxy;
}

bool IsReady(const Proxy& proxy) {
  return !proxy.leaving && proxy.rules != nullptr &&
         routing::StateOf(proxy.catalog, routing::Feed::kEndpoints).revision >
             0;
}

kernel::Result<ProxyPtr> StartProxy(kernel::Loop& loop,
                                    const ProxyOptions& options) {
  ProxyPtr proxy(new Proxy);
  proxy->loop = &loop;
  proxy->options = options;
  proxy->endpoints.off = options.placing_without;
  proxy->dialect = kernel::FindPlugin<Dialect>(options.dialect);
  if (proxy->dialect == nullptr) {
    return kernel::MakeError(kernel::ErrorCode::kInvalidInput, "start",
                             options.dialect, "no such dialect");
  }
  proxy->random.seed(kernel::SecretBits());
  proxy->client = std::make_unique<net::HttpClient>(loop);
  BOOST_OUTCOME_TRY(OpenServers(*proxy));
  std::string peers;
  BOOST_OUTCOME_TRY(net, OpenPeers(*proxy, &peers));
  proxy->peers = std::move(net);
  const Time now = NowOf(*proxy);
  proxy->members =
      routing::StartMembers(SelfOf(*proxy, peers), options.seeds, now);
  proxy->ticked = now;
  proxy->tick =
      kernel::Every(loop, kTick, [raw = proxy.get()] { OnTick(*raw); });
  proxy->exchange_tick =
      kernel::Every(loop, routing::kExchangePeriod,
                    [raw = proxy.get()] { ExchangeWhenDue(*raw); });
  StartReading(*proxy);
  Exchange(*proxy);
  return proxy;
}

void SetSeeds(Proxy& proxy, const std::vector<std::string>& seeds) {
  proxy.members.seeds = seeds;
}

kernel::Metrics& MetricsOf(Proxy& proxy) { return proxy.metrics; }

ProxyView ViewOf(Proxy& proxy) {
  ProxyView view;
  view.callers = proxy.callers->address();
  view.ready = proxy.ready->address();
  view.directory = proxy.directory->address();
  view.peers = proxy.members.self.peers;
  if (proxy.metrics_server != nullptr) {
    view.metrics = proxy.metrics_server->address();
  }
  view.rules_version = proxy.rules ? proxy.rules->version : 0;
  view.endpoints = proxy.endpoints.by_id.size();
  view.nodes = routing::PartOf(proxy.members, NowOf(proxy)).names.size();
  view.calls = proxy.calls.size();
  view.waiting = proxy.waiting.size();
  view.cut = proxy.cut;
  view.undelivered = UntakenOf(proxy);
  view.ready_now = IsReady(proxy);
  return view;
}

}  // namespace egretladder::proxy
