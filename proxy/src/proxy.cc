#include "egretladder/proxy/proxy.h"

#include <algorithm>

#include "egretladder/kernel/registry.h"
#include "egretladder/routing/caller_backlog.h"
#include "state_p.h"

namespace egretladder::proxy {
namespace {

using kernel::LogLevel;
using kernel::LogPart;

void OnProcessPause(Proxy& proxy, milliseconds gap) {
  // Watches may have been lost during the pause, and data from peers is stale.
  kernel::LogEvent(LogPart::kKernel, LogLevel::kWarning, "stood-still",
                   {{"ms", gap}});
  RestartStoreReaders(proxy);
  AskForSuspects(proxy);
}

void OnTick(Proxy& proxy) {
  const Time now = NowOf(proxy);
  const auto gap =
      std::chrono::duration_cast<milliseconds>(now - proxy.last_tick_at);
  proxy.last_tick_at = now;
  if (gap > kMinProcessPause) OnProcessPause(proxy, gap);
  routing::KeepKnowledge(
      proxy.streams, KnowsVersions(proxy, gap),
      routing::GetFeedProgress(proxy.catalog, routing::Feed::kEndpoints), now);
  AskForKeptPartsIfNeeded(proxy);
  OnStopTick(proxy);
  for (const std::string& id :
       routing::RemoveLapsedEndpoints(proxy.endpoints, now)) {
    kernel::LogEvent(
        LogPart::kPlatform, LogLevel::kInfo, "endpoint",
        {{"endpoint", id}, {"change", "gone"}, {"source", "lapsed"}});
  }
  ApplyDueZones(proxy);
  routing::PruneTombstones(proxy.catalog, now);
  SettleProofs(proxy);
  routing::ForgetSuspects(proxy.suspects, now);
  CheckOverdueAttempts(proxy);
  ForgetUnwantedLosses(proxy);
  SettleBegins(proxy);
  KeepSpares(proxy);
  for (const std::string& node :
       routing::UpdateSilentMembers(proxy.members, now)) {
    kernel::LogEvent(LogPart::kFleet, LogLevel::kInfo, "node-silent",
                     {{"node", node}});
  }
  routing::UpdateMajority(proxy.members, now);
  for (const std::string& node : routing::ForgetMembers(proxy.members, now)) {
    kernel::LogEvent(LogPart::kFleet, LogLevel::kInfo, "node-forgotten",
                     {{"node", node}});
  }
  UpdateStoreReaders(proxy);
  UpdateVersions(proxy);
  kernel::FlushEventLog();
}

void ExchangeWhenDue(Proxy& proxy) {
  const Time now = NowOf(proxy);
  // Half an interval of tolerance, since the timer may fire a little early and
  // that exchange must not be skipped.
  const auto min_interval =
      routing::kLargeFleetExchangeInterval - routing::kExchangeInterval / 2;
  if (!routing::IsSmallFleet(proxy.members) &&
      now - proxy.last_exchange_at < min_interval) {
    return;
  }
  proxy.last_exchange_at = now;
  Exchange(proxy);
}

kernel::Result<std::unique_ptr<net::HttpServer>> StartServer(
    Proxy& proxy, const std::string& address, std::size_t connections,
    void (*answer)(Proxy&, const net::HttpCallPtr&)) {
  net::ServerHandlers handlers;
  handlers.on_request = [&proxy, answer](const net::HttpCallPtr& call) {
    answer(proxy, call);
  };
  handlers.on_refused = [&proxy](int status, const std::string& reason) {
    IncrementCounter(proxy, "egretladder_unreadable_total",
                     "Requests refused because they could not be parsed.",
                     "status=\"" + std::to_string(status) + "\"");
    kernel::LogEvent(LogPart::kCaller, LogLevel::kWarning, "unreadable",
                     {{"status", status}, {"why", reason}});
  };
  handlers.has_room = [&proxy](std::size_t bytes) {
    return BytesOfRequests(proxy) <= MaxBytesOfRequests(proxy, bytes);
  };
  handlers.refusal_body = [](int /*status*/, std::string_view reason) {
    return ErrorBody("bad_request", reason, "no");
  };
  auto server = std::make_unique<net::HttpServer>(
      *proxy.loop, std::move(handlers), proxy.server_group);
  net::ServerLimits limits;
  limits.connections = connections;
  server->SetLimits(limits);
  BOOST_OUTCOME_TRY(server->Listen(address));
  return server;
}

net::ServerGroupPtr MakeServerGroup(const Proxy& proxy) {
  return std::make_shared<net::ServerGroup>(
      *proxy.loop, [memory = proxy.options.memory_bytes](std::size_t bytes) {
        return routing::UnreadPatience({bytes, memory});
      });
}

kernel::Result<void> OpenServers(Proxy& proxy) {
  const ProxyOptions& options = proxy.options;
  const policy::DescriptorShares shares =
      policy::ShareDescriptors(options.descriptors);
  proxy.server_group = MakeServerGroup(proxy);
  BOOST_OUTCOME_TRY(
      callers, StartServer(proxy, options.callers, shares.callers, OnRequest));
  proxy.caller_server = std::move(callers);
  BOOST_OUTCOME_TRY(
      ready, StartServer(proxy, options.ready, shares.ready, AnswerReady));
  proxy.ready_server = std::move(ready);
  BOOST_OUTCOME_TRY(directory, StartServer(proxy, options.directory,
                                           shares.directory, AnswerDirectory));
  proxy.directory_server = std::move(directory);
  if (!options.handovers.empty()) {
    BOOST_OUTCOME_TRY(handovers, StartServer(proxy, options.handovers,
                                             shares.handovers, OnHandedOver));
    proxy.handover_server = std::move(handovers);
  }
  if (options.metrics.empty()) return boost::outcome_v2::success();
  BOOST_OUTCOME_TRY(metrics, StartServer(proxy, options.metrics, shares.metrics,
                                         AnswerMetrics));
  proxy.metrics_server = std::move(metrics);
  return boost::outcome_v2::success();
}

routing::Member MakeSelf(const Proxy& proxy, const std::string& peer_address) {
  routing::Member self;
  self.node = proxy.options.node;
  self.callers = proxy.caller_server->address();
  self.peers = peer_address;
  if (proxy.handover_server != nullptr)
    self.handovers = proxy.handover_server->address();
  self.zone = proxy.options.zone;
  self.region = proxy.options.region;
  // The wall clock time makes the incarnation rise with each start. If the
  // clock was set back, gossip shows the node its earlier incarnation, which it
  // then exceeds.
  self.incarnation = static_cast<std::uint64_t>(UnixNow(proxy).count());
  return self;
}

}  // namespace

void ProxyDelete::operator()(Proxy* proxy) const {
  const auto calls = proxy->calls;
  for (const auto& [number, call] : calls) {
    CancelAttempt(*proxy, call);
    call->caller->OnDisconnect(nullptr);
    call->caller->Abort();
  }
  for (const auto& [number, request] : proxy->requests_without_rules) {
    request.caller->OnDisconnect(nullptr);
    request.caller->Abort();
  }
  for (StoreReader& reader : proxy->readers) net::Cancel(reader.exchange);
  delete proxy;
}

bool IsReady(const Proxy& proxy) {
  return !proxy.leaving && proxy.rules != nullptr &&
         routing::GetFeedState(proxy.catalog, routing::Feed::kEndpoints)
                 .revision > 0;
}

kernel::Result<ProxyPtr> StartProxy(kernel::Loop& loop,
                                    const ProxyOptions& options) {
  ProxyPtr proxy(new Proxy);
  proxy->loop = &loop;
  proxy->options = options;
  proxy->endpoints.disabled_mechanisms = options.disabled_mechanisms;
  proxy->dialect = kernel::FindPlugin<Dialect>(options.dialect);
  if (proxy->dialect == nullptr) {
    return kernel::MakeError(kernel::ErrorCode::kInvalidInput, "start",
                             options.dialect, "no such dialect");
  }
  proxy->random.seed(kernel::SecureRandom64());
  proxy->client = std::make_unique<net::HttpClient>(loop);
  proxy->spare_client = std::make_unique<net::HttpClient>(loop);
  BOOST_OUTCOME_TRY(OpenServers(*proxy));
  std::string peer_address;
  BOOST_OUTCOME_TRY(network, OpenPeers(*proxy, &peer_address));
  proxy->peers = std::move(network);
  const Time now = NowOf(*proxy);
  proxy->members =
      routing::MakeMembers(MakeSelf(*proxy, peer_address), options.seeds, now);
  proxy->streams.known_since = now;
  proxy->last_tick_at = now;
  proxy->tick_timer = kernel::RunEvery(loop, kTickInterval,
                                       [raw = proxy.get()] { OnTick(*raw); });
  proxy->exchange_timer =
      kernel::RunEvery(loop, routing::kExchangeInterval,
                       [raw = proxy.get()] { ExchangeWhenDue(*raw); });
  StartStoreReaders(*proxy);
  Exchange(*proxy);
  return proxy;
}

void SetSeeds(Proxy& proxy, const std::vector<std::string>& seeds) {
  proxy.members.seeds = seeds;
}

kernel::Metrics& MetricsOf(Proxy& proxy) { return proxy.metrics; }

ProxyView ViewOf(Proxy& proxy) {
  ProxyView view;
  view.callers = proxy.caller_server->address();
  view.ready = proxy.ready_server->address();
  view.directory = proxy.directory_server->address();
  view.peers = proxy.members.self.peers;
  view.handovers = proxy.members.self.handovers;
  if (proxy.metrics_server != nullptr) {
    view.metrics = proxy.metrics_server->address();
  }
  view.rules_version = proxy.rules ? proxy.rules->version : 0;
  view.endpoints = proxy.endpoints.by_id.size();
  view.nodes =
      routing::GetFleetSnapshot(proxy.members, NowOf(proxy)).names.size();
  view.calls = proxy.calls.size();
  view.waiting = proxy.waiting_calls.size();
  view.cut = proxy.cut;
  view.undelivered = CountUndeliveredAnswers(proxy);
  view.ready_now = IsReady(proxy);
  return view;
}

}  // namespace egretladder::proxy
