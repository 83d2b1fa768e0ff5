// Connections, exchanges and announcements between nodes over Cap'n Proto RPC.
#include <algorithm>
#include <map>
#include <utility>

#include "egretladder/kernel/log_event.h"
#include "egretladder/net/address.h"
#include "egretladder/policy/incomplete_messages.h"
#include "peers_p.h"

namespace egretladder::proxy {
namespace {

// Part of the memory for incomplete messages of all peers.
constexpr std::size_t kIncompleteDivisor = 8;

const char* NameOf(MessageKind message) {
  switch (message) {
    case MessageKind::kExchange:
      return "exchange";
    case MessageKind::kAnnounce:
      return "announce";
    case MessageKind::kStreams:
      return "streams";
    case MessageKind::kContent:
      break;
  }
  return "content";
}

bool IsInOwnZone(const Proxy& proxy, std::string_view zone) {
  return proxy.members.self.zone == zone;
}

class PeerServer final : public exchange::Peer::Server {
 public:
  explicit PeerServer(Proxy& proxy) : proxy_(proxy) {}

  kj::Promise<void> exchange(ExchangeContext context) override {
    const auto params = context.getParams();
    const PeerState peer = ApplyGossip(proxy_, params.getNews());
    same_zone_ = IsInOwnZone(proxy_, peer.zone);
    CountBytes(proxy_, "in", MessageKind::kExchange, same_zone_,
               params.totalSize().wordCount);
    routing::OnExchangeAnswered(proxy_.members, NowOf(proxy_));
    routing::OnPeerMessage(proxy_.members, peer.peer_address, NowOf(proxy_));
    auto news = context.getResults().initNews();
    WriteGossip(proxy_, peer.request, news);
    CountBytes(proxy_, "out", MessageKind::kExchange, same_zone_,
               news.totalSize().wordCount);
    OnPeerProgress(proxy_, peer.peer_address, same_zone_, peer.progress);
    return kj::READY_NOW;
  }

  kj::Promise<void> fetch(FetchContext context) override {
    const auto params = context.getParams();
    AnswerFetch(proxy_, same_zone_, params.getFeed(), params.getAfter(),
                context.getResults());
    return kj::READY_NOW;
  }

  kj::Promise<void> announce(AnnounceContext context) override {
    const auto params = context.getParams();
    same_zone_ = IsInOwnZone(proxy_, std::string_view(params.getZone().cStr()));
    CountBytes(proxy_, "in", MessageKind::kAnnounce, same_zone_,
               params.totalSize().wordCount);
    const std::string peer = params.getPeers();
    routing::OnPeerMessage(proxy_.members, peer, NowOf(proxy_));
    OnPeerProgress(proxy_, peer, same_zone_,
                   ReadProgress(params.getProgress()));
    return kj::READY_NOW;
  }

  kj::Promise<void> keepStreams(KeepStreamsContext context) override {
    const auto params = context.getParams();
    CountBytes(proxy_, "in", MessageKind::kStreams, same_zone_,
               params.totalSize().wordCount);
    const Time now = NowOf(proxy_);
    for (const auto stream : params.getStreams()) {
      routing::RememberStream(proxy_.streams,
                              {stream.getKey(), stream.getVersion(),
                               ReadWeights(stream.getWeights())},
                              now);
    }
    for (const auto part : params.getParts()) {
      routing::RememberPart(proxy_.streams, part.getKey(), part.getVersion(),
                            now);
    }
    for (const auto doubt : params.getDoubts()) {
      routing::RememberDoubt(proxy_.streams, doubt.getKey(), ReadDoubt(doubt),
                             now);
    }
    return kj::READY_NOW;
  }

  kj::Promise<void> findStream(FindStreamContext context) override {
    const auto params = context.getParams();
    CountBytes(proxy_, "in", MessageKind::kStreams, same_zone_,
               params.totalSize().wordCount);
    const Time asked_at = NowOf(proxy_);
    if (!params.getConfirm() || !CanCatchUpSoon(proxy_)) {
      AnswerFindStream(context, asked_at);
      return kj::READY_NOW;
    }
    auto end = kj::newPromiseAndFulfiller<void>();
    CatchUpWithStore(
        proxy_,
        [fulfiller = std::make_shared<kj::Own<kj::PromiseFulfiller<void>>>(
             std::move(end.fulfiller))] { (*fulfiller)->fulfill(); });
    return end.promise.then([this, context, asked_at]() mutable {
      AnswerFindStream(context, asked_at);
    });
  }

 private:
  void AnswerFindStream(FindStreamContext context, Time asked_at) {
    const auto params = context.getParams();
    auto results = context.getResults();
    const routing::StreamSource source =
        routing::FindSource(proxy_.streams, params.getStream());
    results.setVersion(source.version);
    results.setWeights(ToWire(source.weights));
    if (const auto doubt =
            routing::FindDoubt(proxy_.streams, params.getStream()))
      FillDoubt(params.getStream(), *doubt, results.initDoubt());
    const Time now = NowOf(proxy_);
    const routing::VersionKnowledge knowledge = routing::KnowledgeOf(
        proxy_.streams, params.getService(), asked_at, now);
    results.setSeveral(knowledge.several);
    if (!knowledge.several) results.setOnly(knowledge.only);
    results.setKnownMs(static_cast<std::uint64_t>(
        Elapsed(proxy_.streams.known_since, now).count()));
    results.setConfirmed(knowledge.confirmed_since.has_value());
    results.setPartVersion(
        routing::FindPartVersion(proxy_.streams, params.getPart()));
    results.setPartAlone(
        IsPartOfOneVersion(proxy_, params.getService(), params.getPart()));
    WriteProgress(OwnProgress(proxy_),
                  results.initProgress(routing::kFeedCount));
  }

  Proxy& proxy_;
  bool same_zone_ = false;  // As the peer last stated.
};

void EraseDisconnected(PeerNetwork& network) {
  std::erase_if(network.incoming, [](const auto& peer) {
    return peer->broken || peer->stream.IsDisconnected();
  });
}

void AcceptPeer(PeerNetwork& network, evutil_socket_t fd) {
  if (network.incoming.size() >= network.max_incoming)
    net::CloseLeastRecentlyHeard(network.incoming);
  net::SetTcpOptions(fd);
  net::Bufferevent buffer(bufferevent_socket_new(
      network.proxy->loop->base.get(), fd, BEV_OPT_CLOSE_ON_FREE));
  network.incoming.push_back(std::make_unique<net::RpcServerConnection>(
      std::move(buffer), kj::heap<PeerServer>(*network.proxy), kMaxMessageWords,
      net::kCallerUnreadLimits, &network.incomplete));
}

void AbandonIncomplete(PeerNetwork& network) {
  network.relief_scheduled = false;
  std::vector<policy::IncompleteMessage> messages;
  for (const auto& peer : network.incoming) {
    const net::IncompleteRead read = peer->stream.Incomplete();
    messages.push_back({read.bytes, read.order});
  }
  const std::size_t held = network.incomplete.bytes();
  const std::vector<std::size_t> abandoned =
      policy::MessagesToAbandon(messages, network.incomplete.max_bytes());
  for (const std::size_t index : abandoned)
    network.incoming[index]->stream.Disconnect();
  if (abandoned.empty()) return;
  kernel::LogEvent(kernel::LogPart::kPeer, kernel::LogLevel::kWarning,
                   "peers-closed",
                   {{"held_bytes", held}, {"connections", abandoned.size()}});
  EraseDisconnected(network);
}

bool HasFailed(const PeerConnection& peer, Time now) {
  return peer.broken || peer.rpc.stream.IsDisconnected() ||
         (peer.unanswered_calls > 0 &&
          now - peer.waiting_since > kExchangeTimeout);
}

bool IsExchangeUnanswered(const PeerConnection& peer, Time now) {
  return peer.exchanging &&
         now - peer.waiting_since >= routing::kMaxExchangeAnswerTime;
}

// After a pause of this process, answers may have arrived that it hasn't read.
void ForgiveAfterPause(PeerNetwork& network, Time now) {
  const Time last_sweep_at = std::exchange(network.last_sweep_at, now);
  if (now - last_sweep_at < kMinProcessPause) return;
  for (auto& [address, peer] : network.outgoing) peer->waiting_since = now;
}

void SweepConnections(PeerNetwork& network) {
  const Time now = NowOf(*network.proxy);
  ForgiveAfterPause(network, now);
  for (auto it = network.outgoing.begin(); it != network.outgoing.end();) {
    const PeerConnection& peer = *it->second;
    const bool has_failed = HasFailed(peer, now);
    if (has_failed && !peer.has_answered &&
        now - peer.opened_at < kMaxRefusalTime) {
      routing::OnPeerUnreachable(network.proxy->members, it->first, now);
    } else if (IsExchangeUnanswered(peer, now)) {
      routing::OnPeerUnanswered(network.proxy->members, it->first, now);
    }
    if (has_failed) {
      for (routing::FeedFetch& fetch : network.feed_fetches.feeds) {
        routing::OnFetchFailed(fetch, it->first, routing::kFetchTimeoutBackoff,
                               now);
      }
    }
    it = has_failed || now - peer.last_request_at > kPeerIdleTimeout
             ? network.outgoing.erase(it)
             : std::next(it);
  }
  EraseDisconnected(network);
  FetchMissingChanges(*network.proxy);
}

PeerConnection* Connect(PeerNetwork& network, const std::string& address,
                        Time now) {
  auto target = net::ParseAddress(address);
  if (!target) return nullptr;
  net::Bufferevent buffer(bufferevent_socket_new(
      network.proxy->loop->base.get(), -1, BEV_OPT_CLOSE_ON_FREE));
  if (bufferevent_socket_connect(buffer.get(), target->get(), target->size) !=
      0) {
    return nullptr;
  }
  net::SetTcpOptions(bufferevent_getfd(buffer.get()));
  return network.outgoing
      .emplace(address,
               std::make_unique<PeerConnection>(std::move(buffer), now))
      .first->second.get();
}

void ExchangeWith(PeerNetwork& network, const std::string& address) {
  Proxy& proxy = *network.proxy;
  PeerConnection* peer = GetOrConnectPeer(network, address);
  // One exchange at a time: it transfers state, and the next one transfers the
  // current state again.
  if (peer == nullptr || peer->exchanging) return;
  auto request = peer->client.exchangeRequest();
  WriteGossip(proxy, {{address, false, peer->unknown, {}}, {}},
              request.initNews());
  CountBytes(proxy, "out", MessageKind::kExchange, peer->same_zone,
             request.totalSize().wordCount);
  peer->exchanging = true;
  OnRequestSent(*peer, NowOf(proxy));
  peer->tasks.add(request.send().then([&proxy, peer, address](auto&& answer) {
    peer->exchanging = false;
    OnReplyReceived(*peer, NowOf(proxy));
    routing::OnExchangeAnswered(proxy.members, NowOf(proxy));
    routing::OnPeerMessage(proxy.members, address, NowOf(proxy));
    PeerState state = ApplyGossip(proxy, answer.getNews());
    peer->same_zone = IsInOwnZone(proxy, state.zone);
    CountBytes(proxy, "in", MessageKind::kExchange, peer->same_zone,
               answer.totalSize().wordCount);
    peer->unknown = std::move(state.request.members.unknown);
    OnPeerProgress(proxy, address, peer->same_zone, state.progress);
  }));
}

// Returns the number of exchanges with members that aren't suspected and have
// left it unanswered for at least `kExchangeStallTime`.
std::size_t CountUnansweredExchanges(const PeerNetwork& network, Time now) {
  const auto unanswered = std::count_if(
      network.outgoing.begin(), network.outgoing.end(),
      [&network, now](const auto& entry) {
        const PeerConnection& peer = *entry.second;
        return peer.exchanging &&
               now - peer.waiting_since >= routing::kExchangeStallTime &&
               !routing::IsPeerSuspected(network.proxy->members, entry.first);
      });
  return static_cast<std::size_t>(unanswered);
}

void AnnounceTo(PeerNetwork& network, const std::string& address) {
  Proxy& proxy = *network.proxy;
  PeerConnection* peer = GetOrConnectPeer(network, address);
  if (peer == nullptr) return;
  auto request = peer->client.announceRequest();
  request.setPeers(proxy.members.self.peers);
  request.setZone(proxy.members.self.zone);
  WriteProgress(OwnProgress(proxy), request.initProgress(routing::kFeedCount));
  CountBytes(proxy, "out", MessageKind::kAnnounce, peer->same_zone,
             request.totalSize().wordCount);
  OnRequestSent(*peer, NowOf(proxy));
  peer->tasks.add(request.send().then([&proxy, peer](auto&& /*answer*/) {
    OnReplyReceived(*peer, NowOf(proxy));
  }));
}

}  // namespace

void ScheduleRelief(PeerNetwork& network) {
  if (std::exchange(network.relief_scheduled, true)) return;
  network.relief_timer =
      kernel::RunAfter(*network.proxy->loop, milliseconds(0),
                       [&network] { AbandonIncomplete(network); });
}

void CountBytes(Proxy& proxy, const char* direction, MessageKind message,
                bool same_zone, std::uint64_t words) {
  kernel::Increment(
      proxy.metrics,
      kernel::AddCounter(proxy.metrics, "egretladder_peer_bytes_total",
                         "Bytes exchanged with peers.",
                         std::string("direction=\"") + direction +
                             "\",message=\"" + NameOf(message) + "\",zone=\"" +
                             (same_zone ? "own" : "other") + "\""),
      words * sizeof(capnp::word));
}

PeerConnection* GetOrConnectPeer(PeerNetwork& network,
                                 const std::string& address) {
  const Time now = NowOf(*network.proxy);
  const auto it = network.outgoing.find(address);
  if (it == network.outgoing.end()) return Connect(network, address, now);
  if (!HasFailed(*it->second, now)) return it->second.get();
  network.outgoing.erase(it);
  return Connect(network, address, now);
}

void OnRequestSent(PeerConnection& peer, Time now) {
  if (peer.unanswered_calls++ == 0) peer.waiting_since = now;
  peer.last_request_at = now;
}

void OnReplyReceived(PeerConnection& peer, Time now) {
  --peer.unanswered_calls;
  peer.waiting_since = now;
  peer.has_answered = true;
}

PeerNetwork::PeerNetwork(Proxy& owner)
    : proxy(&owner),
      max_incoming(
          std::min(kMaxPeerConnections,
                   policy::ShareDescriptors(owner.options.descriptors).peers)),
      incomplete(std::min(net::kMaxIncompleteRpcBytes,
                          owner.options.memory_bytes / kIncompleteDivisor),
                 [this] { ScheduleRelief(*this); }) {}

void PeerNetworkDelete::operator()(PeerNetwork* network) const {
  delete network;
}

kernel::Result<PeerNetworkPtr> OpenPeers(Proxy& proxy, std::string* address) {
  PeerNetworkPtr network(new PeerNetwork(proxy));
  BOOST_OUTCOME_TRY(kj, net::AcquireKjLoop(*proxy.loop));
  network->kj = std::move(kj);
  network->listener = std::make_unique<net::PausingListener>(
      *proxy.loop,
      [raw = network.get()](evutil_socket_t fd) { AcceptPeer(*raw, fd); });
  BOOST_OUTCOME_TRY(network->listener->Listen(proxy.options.peers, -1));
  *address = network->listener->address();
  network->sweep_timer =
      kernel::RunEvery(*proxy.loop, kTickInterval,
                       [raw = network.get()] { SweepConnections(*raw); });
  return network;
}

void Exchange(Proxy& proxy) {
  const Time now = NowOf(proxy);
  if (now - proxy.members.last_exchange_at >= routing::kSuspectGossipTime)
    AskForSuspects(proxy);
  routing::FollowMeasuredDemand(proxy.fleet_demand, proxy.split_demand_meter,
                                now);
  routing::UpdateSplit(proxy.endpoints, proxy.fleet_demand, now);
  routing::IncrementHeartbeat(proxy.members);
  const std::size_t peers =
      routing::MaxPeersToTry(CountUnansweredExchanges(*proxy.peers, now));
  for (std::size_t i = 0; i < peers; ++i) {
    const std::string address =
        routing::PickExchangePeer(proxy.members, proxy.random);
    if (!address.empty()) ExchangeWith(*proxy.peers, address);
  }
  const std::string beside_suspect =
      routing::PickPeerBesideSuspect(proxy.members, proxy.random);
  if (!beside_suspect.empty()) ExchangeWith(*proxy.peers, beside_suspect);
}

void ExchangeWithManyPeers(Proxy& proxy) {
  routing::IncrementHeartbeat(proxy.members);
  for (const std::string& peer : routing::SamplePeers(
           proxy.members, routing::kReaderFanout, proxy.random)) {
    ExchangeWith(*proxy.peers, peer);
  }
}

void AnnounceToStandbys(Proxy& proxy) {
  if (routing::IsSmallFleet(proxy.members)) return;
  for (const std::string& peer : routing::StandbyAddresses(proxy.members)) {
    AnnounceTo(*proxy.peers, peer);
  }
}

void ScheduleFetchAndAnnounce(Proxy& proxy, std::size_t announce_count) {
  PeerNetwork& network = *proxy.peers;
  network.announce_count = std::max(network.announce_count, announce_count);
  if (std::exchange(network.update_scheduled, true)) return;
  network.update_timer =
      kernel::RunAfter(*proxy.loop, milliseconds(0), [&proxy, &network] {
        network.update_scheduled = false;
        FetchMissingChanges(proxy);
        const std::size_t max_count = std::exchange(network.announce_count, 0);
        for (const std::string& peer :
             routing::SamplePeers(proxy.members, max_count, proxy.random)) {
          AnnounceTo(network, peer);
        }
      });
}

}  // namespace egretladder::proxy
