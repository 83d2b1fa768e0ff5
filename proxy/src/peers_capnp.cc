// Exchanges between nodes over Cap'n Proto RPC.
#include <kj/exception.h>

#include <map>
#include <utility>

#include "egretladder/net/address.h"
#include "egretladder/net/kj_loop.h"
#include "egretladder/net/rpc_connection.h"
#include "egretladder/net/socket.h"
#include "news_codec_p.h"

namespace egretladder::proxy {
namespace {

// A connection to one peer.
struct PeerOut : private kj::TaskSet::ErrorHandler {
  PeerOut(net::Bufferevent buffer, Time now)
      : rpc(std::move(buffer), kNewsWords),
        peer(rpc.Bootstrap().castAs<exchange::Peer>()),
        opened(now),
        asked(now),
        tasks(*this) {}

  void taskFailed(kj::Exception&& /*exception*/) override { broken = true; }

  net::RpcClientConnection rpc;
  exchange::Peer::Client peer;
  Time opened{};
  Time asked{};
  bool waits = false;     // An exchange is unanswered.
  bool answered = false;  // At least one was.
  bool broken = false;
  PeerLacks lacks;    // As it last said.
  kj::TaskSet tasks;  // Last, so that it goes first.
};

}  // namespace

struct PeerNet {
  Proxy* proxy = nullptr;
  std::shared_ptr<net::KjLoop> kj;
  net::Listener listener;
  std::map<std::string, std::unique_ptr<PeerOut>> out;
  std::vector<std::unique_ptr<net::RpcServerConnection>> in;
  kernel::Watch sweep;
};

namespace {

void CountBytes(Proxy& proxy, const char* direction, std::uint64_t words) {
  kernel::Increment(
      proxy.metrics,
      kernel::AddCounter(proxy.metrics, "egretladder_peer_bytes_total",
                         "Bytes of news exchanged with peers.",
                         std::string("direction=\"") + direction + "\""),
      words * sizeof(capnp::word));
}

class PeerServer final : public exchange::Peer::Server {
 public:
  explicit PeerServer(Proxy& proxy) : proxy_(proxy) {}

  kj::Promise<void> exchange(ExchangeContext context) override {
    CountBytes(proxy_, "in", context.getParams().totalSize().wordCount);
    const PeerLacks lacks = TakeNews(proxy_, context.getParams().getNews());
    routing::OnExchanged(proxy_.members, NowOf(proxy_));
    auto news = context.getResults().initNews();
    WriteNews(proxy_, lacks, news);
    CountBytes(proxy_, "out", news.totalSize().wordCount);
    return kj::READY_NOW;
  }

 private:
  Proxy& proxy_;
};

void AcceptPeer(evconnlistener* /*listener*/, evutil_socket_t fd,
                sockaddr* /*address*/, int /*size*/, void* arg) {
  auto& net = *static_cast<PeerNet*>(arg);
  if (net.in.size() >= kPeerConnections) {
    evutil_closesocket(fd);
    return;
  }
  net::PrepareSocket(fd);
  net::Bufferevent buffer(bufferevent_socket_new(net.proxy->loop->base.get(),
                                                 fd, BEV_OPT_CLOSE_ON_FREE));
  net.in.push_back(std::make_unique<net::RpcServerConnection>(
      std::move(buffer), kj::heap<PeerServer>(*net.proxy), kNewsWords));
}

bool IsOver(const PeerOut& peer, Time now) {
  return peer.broken || peer.rpc.stream.IsOver() ||
         (peer.waits && now - peer.asked > kExchangeTime);
}

void Sweep(PeerNet& net) {
  const Time now = NowOf(*net.proxy);
  for (auto at = net.out.begin(); at != net.out.end();) {
    const PeerOut& peer = *at->second;
    const bool over = IsOver(peer, now);
    if (over && !peer.answered && now - peer.opened < kRefusedWithin) {
      routing::OnUnreachable(net.proxy->members, at->first, now);
    }
    at = over || now - peer.asked > kPeerIdleTime ? net.out.erase(at)
                                                  : std::next(at);
  }
  std::erase_if(net.in, [](const auto& peer) {
    return peer->broken || peer->stream.IsOver();
  });
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
  net::PrepareSocket(bufferevent_getfd(buffer.get()));
  return net.out
      .emplace(address, std::make_unique<PeerOut>(std::move(buffer), now))
      .first->second.get();
}

void ExchangeWith(PeerNet& net, const std::string& address) {
  Proxy& proxy = *net.proxy;
  const Time now = NowOf(proxy);
  auto at = net.out.find(address);
  if (at != net.out.end() && IsOver(*at->second, now)) {
    net.out.erase(at);
    at = net.out.end();
  }
  PeerOut* peer =
      at != net.out.end() ? at->second.get() : Connect(net, address, now);
  // One at a time: what is told is state, and the next exchange tells it anew.
  if (peer == nullptr || peer->waits) return;
  auto request = peer->peer.exchangeRequest();
  WriteNews(proxy, peer->lacks, request.initNews());
  CountBytes(proxy, "out", request.totalSize().wordCount);
  peer->waits = true;
  peer->asked = now;
  peer->tasks.add(request.send().then([&proxy, peer](auto&& answer) {
    peer->waits = false;
    peer->answered = true;
    routing::OnExchanged(proxy.members, NowOf(proxy));
    CountBytes(proxy, "in", answer.totalSize().wordCount);
    peer->lacks = TakeNews(proxy, answer.getNews());
  }));
}

}  // namespace

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
      kernel::Every(*proxy.loop, kTick, [raw = net.get()] { Sweep(*raw); });
  return net;
}

void Exchange(Proxy& proxy) {
  const Time now = NowOf(proxy);
  routing::Pull(proxy.agreed, proxy.sides, now);
  proxy.endpoints.tight_part = routing::TightPartOf(proxy.agreed.mean);
  routing::Beat(proxy.members, now);
  const std::string address =
      routing::NextPeer(proxy.members, proxy.random, now);
  if (!address.empty()) ExchangeWith(*proxy.peers, address);
}

void TellMany(Proxy& proxy) {
  const Time now = NowOf(proxy);
  routing::Beat(proxy.members, now);
  std::vector<std::string> peers;
  for (const auto& [node, known] : proxy.members.others) {
    if (routing::IsThere(proxy.members, known, now)) {
      peers.push_back(known.member.peers);
    }
  }
  const std::size_t count = std::min(peers.size(), routing::kToldAtOnce);
  for (std::size_t i = 0; i < count; ++i) {
    std::swap(peers[i],
              peers[i + kernel::Below(proxy.random, peers.size() - i)]);
    ExchangeWith(*proxy.peers, peers[i]);
  }
}

}  // namespace egretladder::proxy
