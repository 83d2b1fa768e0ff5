// Exchanges between nodes over Cap'n Proto RPC.
#include <algorithm>
#include <map>
#include <utility>

#include "egretladder/net/address.h"
#include "peers_p.h"

namespace egretladder::proxy {
namespace {

const char* NameOf(MessageKind message) {
  switch (message) {
    case MessageKind::kExchange:
      return "exchange";
    case MessageKind::kAnnounce:
      return "announce";
    case MessageKind::kContent:
      break;
  }
  return "content";
}

bool IsNear(const Proxy& proxy, std::string_view zone) {
  return proxy.members.self.zone == zone;
}

class PeerServer final : public exchange::Peer::Server {
 public:
  explicit PeerServer(Proxy& proxy) : proxy_(proxy) {}

  kj::Promise<void> exchange(ExchangeContext context) override {
    const auto told = context.getParams();
    const PeerState peer = TakeNews(proxy_, told.getNews());
    near_ = IsNear(proxy_, peer.zone);
    CountBytes(proxy_, "in", MessageKind::kExchange, near_,
               told.totalSize().wordCount);
    routing::OnExchangeAnswered(proxy_.members, NowOf(proxy_));
    routing::OnPeerMessage(proxy_.members, peer.peers, NowOf(proxy_));
    auto news = context.getResults().initNews();
    WriteNews(proxy_, peer.unknown, news);
    CountBytes(proxy_, "out", MessageKind::kExchange, near_,
               news.totalSize().wordCount);
    HearProgress(proxy_, peer.peers, near_, peer.progress);
    return kj::READY_NOW;
  }

  kj::Promise<void> fetch(FetchContext context) override {
    const auto asked = context.getParams();
    ServeContent(proxy_, near_, asked.getFeed(), asked.getAfter(),
                 context.getResults());
    return kj::READY_NOW;
  }

  kj::Promise<void> announce(AnnounceContext context) override {
    const auto told = context.getParams();
    near_ = IsNear(proxy_, std::string_view(told.getZone().cStr()));
    CountBytes(proxy_, "in", MessageKind::kAnnounce, near_,
               told.totalSize().wordCount);
    const std::string peer = told.getPeers();
    routing::OnPeerMessage(proxy_.members, peer, NowOf(proxy_));
    HearProgress(proxy_, peer, near_, ReadProgress(told.getProgress()));
    return kj::READY_NOW;
  }

 private:
  Proxy& proxy_;
  bool near_ = false;  // As the peer last said.
};

void AcceptPeer(evconnlistener* /*listener*/, evutil_socket_t fd,
                sockaddr* /*address*/, int /*size*/, void* arg) {
  auto& net = *static_cast<PeerNet*>(arg);
  if (net.in.size() >= kPeerConnections) {
    evutil_closesocket(fd);
    return;
  }
  net::SetTcpOptions(fd);
  net::Bufferevent buffer(bufferevent_socket_new(net.proxy->loop->base.get(),
                                                 fd, BEV_OPT_CLOSE_ON_FREE));
  net.in.push_back(std::make_unique<net::RpcServerConnection>(
      std::move(buffer), kj::heap<PeerServer>(*net.proxy), kNewsWords));
}

bool IsDisconnected(const PeerOut& peer, Time now) {
  return peer.broken || peer.rpc.stream.IsDisconnected() ||
         (peer.unanswered > 0 && now - peer.waiting_since > kExchangeTime);
}

void Sweep(PeerNet& net) {
  const Time now = NowOf(*net.proxy);
  for (auto at = net.out.begin(); at != net.out.end();) {
    const PeerOut& peer = *at->second;
    const bool over = IsDisconnected(peer, now);
    if (over && !peer.answered && now - peer.opened < kRefusedWithin) {
      routing::OnPeerUnreachable(net.proxy->members, at->first, now);
    }
    if (over) {
      for (routing::FeedFetch& pull : net.feed_fetches.feeds) {
        routing::OnFetchFailed(pull, at->first, routing::kFetchTimeoutBackoff,
                               now);
      }
    }
    at = over || now - peer.asked > kPeerIdleTime ? net.out.erase(at)
                                                  : std::next(at);
  }
  std::erase_if(net.in, [](const auto& peer) {
    return peer->broken || peer->stream.IsDisconnected();
  });
  FetchNews(*net.proxy);
}

PeerOut* Connect(PeerNet& net, const std::string& address, Time now) {
  auto target = net::ParseAddress(address);
  if (!target) return nullptr;
  net::Bufferevent buffer(bufferevent_socket_new(net.proxy->loop->base.get(),
                                                 -1, BEV_OPT_CLOSE_ON_FREE));
  if (bufferevent_socket_connect(buffer.get(), target->get(), target->size) !=
      0) {
    return nullptr;
  }
  net::SetTcpOptions(bufferevent_getfd(buffer.get()));
  return net.out
      .emplace(address, std::make_unique<PeerOut>(std::move(buffer), now))
      .first->second.get();
}

void ExchangeWith(PeerNet& net, const std::string& address) {
  Proxy& proxy = *net.proxy;
  PeerOut* peer = PeerAt(net, address);
  // One at a time: what is told is state, and the next exchange tells it anew.
  if (peer == nullptr || peer->exchanging) return;
  auto request = peer->peer.exchangeRequest();
  WriteNews(proxy, peer->unknown, request.initNews());
  CountBytes(proxy, "out", MessageKind::kExchange, peer->near,
             request.totalSize().wordCount);
  peer->exchanging = true;
  OnAsk(*peer, NowOf(proxy));
  peer->tasks.add(request.send().then([&proxy, peer, address](auto&& answer) {
    peer->exchanging = false;
    OnAnswer(*peer, NowOf(proxy));
    routing::OnExchangeAnswered(proxy.members, NowOf(proxy));
    routing::OnPeerMessage(proxy.members, address, NowOf(proxy));
    PeerState state = TakeNews(proxy, answer.getNews());
    peer->near = IsNear(proxy, state.zone);
    CountBytes(proxy, "in", MessageKind::kExchange, peer->near,
               answer.totalSize().wordCount);
    peer->unknown = std::move(state.unknown);
    HearProgress(proxy, address, peer->near, state.progress);
  }));
}

// Exchanges that were begun and not answered for a while.
std::size_t Hanging(const PeerNet& net, Time now) {
  const auto hanging =
      std::count_if(net.out.begin(), net.out.end(), [now](const auto& entry) {
        const PeerOut& peer = *entry.second;
        return peer.exchanging &&
               now - peer.waiting_since >= routing::kExchangeStallTime;
      });
  return static_cast<std::size_t>(hanging);
}

// Addresses of members that are there, drawn at random.
std::vector<std::string> DrawPeers(Proxy& proxy, std::size_t most) {
  const Time now = NowOf(proxy);
  std::vector<std::string> peers;
  for (const auto& [node, known] : proxy.members.others) {
    if (routing::IsMemberAvailable(proxy.members, known, now)) {
      peers.push_back(known.member.peers);
    }
  }
  const std::size_t count = std::min(peers.size(), most);
  for (std::size_t i = 0; i < count; ++i) {
    std::swap(peers[i],
              peers[i + kernel::RandomBelow(proxy.random, peers.size() - i)]);
  }
  peers.resize(count);
  return peers;
}

void AnnounceTo(PeerNet& net, const std::string& address) {
  Proxy& proxy = *net.proxy;
  PeerOut* peer = PeerAt(net, address);
  if (peer == nullptr) return;
  auto request = peer->peer.announceRequest();
  request.setPeers(proxy.members.self.peers);
  request.setZone(proxy.members.self.zone);
  WriteProgress(OwnProgress(proxy), request.initProgress(routing::kFeedCount));
  CountBytes(proxy, "out", MessageKind::kAnnounce, peer->near,
             request.totalSize().wordCount);
  OnAsk(*peer, NowOf(proxy));
  peer->tasks.add(request.send().then(
      [&proxy, peer](auto&& /*answer*/) { OnAnswer(*peer, NowOf(proxy)); }));
}

}  // namespace

void CountBytes(Proxy& proxy, const char* direction, MessageKind message,
                bool near, std::uint64_t words) {
  kernel::Increment(
      proxy.metrics,
      kernel::AddCounter(proxy.metrics, "egretladder_peer_bytes_total",
                         "Bytes exchanged with peers.",
                         std::string("direction=\"") + direction +
                             "\",message=\"" + NameOf(message) + "\",zone=\"" +
                             (near ? "own" : "other") + "\""),
      words * sizeof(capnp::word));
}

PeerOut* PeerAt(PeerNet& net, const std::string& address) {
  const Time now = NowOf(*net.proxy);
  const auto at = net.out.find(address);
  if (at == net.out.end()) return Connect(net, address, now);
  if (!IsDisconnected(*at->second, now)) return at->second.get();
  net.out.erase(at);
  return Connect(net, address, now);
}

void OnAsk(PeerOut& peer, Time now) {
  if (peer.unanswered++ == 0) peer.waiting_since = now;
  peer.asked = now;
}

void OnAnswer(PeerOut& peer, Time now) {
  --peer.unanswered;
  peer.waiting_since = now;
  peer.answered = true;
}

void PeerNetDelete::operator()(PeerNet* net) const { delete net; }

kernel::Result<PeerNetPtr> OpenPeers(Proxy& proxy, std::string* address) {
  PeerNetPtr net(new PeerNet);
  net->proxy = &proxy;
  BOOST_OUTCOME_TRY(kj, net::AcquireKjLoop(*proxy.loop));
  net->kj = std::move(kj);
  BOOST_OUTCOME_TRY(
      listener, net::ListenOn(proxy.loop->base.get(), proxy.options.peers, -1,
                              AcceptPeer, net.get()));
  net->listener = std::move(listener);
  *address = net::WithBoundPort(proxy.options.peers,
                                evconnlistener_get_fd(net->listener.get()));
  net->sweep =
      kernel::RunEvery(*proxy.loop, kTick, [raw = net.get()] { Sweep(*raw); });
  return net;
}

void Exchange(Proxy& proxy) {
  const Time now = NowOf(proxy);
  routing::FollowMeasuredDemand(proxy.agreed, proxy.sides, now);
  proxy.endpoints.tight_fraction = routing::TightFraction(proxy.agreed.mean);
  routing::IncrementHeartbeat(proxy.members, now);
  const std::size_t peers = routing::MaxPeersToTry(Hanging(*proxy.peers, now));
  for (std::size_t i = 0; i < peers; ++i) {
    const std::string address =
        routing::PickExchangePeer(proxy.members, proxy.random, now);
    if (!address.empty()) ExchangeWith(*proxy.peers, address);
  }
}

void TellMany(Proxy& proxy) {
  routing::IncrementHeartbeat(proxy.members, NowOf(proxy));
  for (const std::string& peer : DrawPeers(proxy, routing::kReaderFanout)) {
    ExchangeWith(*proxy.peers, peer);
  }
}

void TellStandbys(Proxy& proxy) {
  if (routing::IsSmallFleet(proxy.members)) return;
  for (const std::string& peer :
       routing::StandbyAddresses(proxy.members, NowOf(proxy))) {
    AnnounceTo(*proxy.peers, peer);
  }
}

void NewsSoon(Proxy& proxy, std::size_t announce_to) {
  PeerNet& net = *proxy.peers;
  net.announce_to = std::max(net.announce_to, announce_to);
  if (std::exchange(net.soon_armed, true)) return;
  net.soon = kernel::RunAfter(*proxy.loop, milliseconds(0), [&proxy, &net] {
    net.soon_armed = false;
    FetchNews(proxy);
    const std::size_t most = std::exchange(net.announce_to, 0);
    for (const std::string& peer : DrawPeers(proxy, most)) {
      AnnounceTo(net, peer);
    }
  });
}

}  // namespace egretladder::proxy
