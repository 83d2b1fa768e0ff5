#include <kj/exception.h>

#include <map>
#include <string>
#include <utility>
#include <vector>

#include "egretladder/kernel/hash.h"
#include "egretladder/kernel/log.h"
#include "egretladder/net/address.h"
#include "egretladder/net/kj_loop.h"
#include "egretladder/net/pausing_listener.h"
#include "egretladder/net/rpc_connection.h"
#include "egretladder/policy/incomplete_messages.h"
#include "gateway_p.h"
#include "peer_codec_p.h"

namespace egretladder::gateway {
using net::AcquireKjLoop;
using net::Bufferevent;
using net::kCallerUnreadLimits;
using net::KjLoop;
using net::ParseAddress;
using net::SetNoDelay;
namespace {

using kernel::LogLevel;
using kernel::LogPart;
// A connection to a peer, for messages and their answers.
struct PeerOut : private kj::TaskSet::ErrorHandler {
  PeerOut(Bufferevent buffer, const fleet::Sender& self, kernel::Time now)
      : rpc(std::move(buffer), kPeerMessageWords),
        inbox(nullptr),
        last_sent(now),
        last_answer(now),
        tasks(*this) {
    auto peer = rpc.Bootstrap().castAs<wire::Peer>();
    auto request = peer.helloRequest();
    Write(self, request.initSender());
    auto answer = request.send();
    inbox = answer.getInbox();  // Calls on it are pipelined.
    tasks.add(answer.then(
        [this](auto&& hello) { them = ReadSender(hello.getSender()); }));
  }

  void taskFailed(kj::Exception&& /*exception*/) override { broken = true; }

  net::RpcClientConnection rpc;
  wire::Inbox::Client inbox;
  fleet::Sender them;  ///< Known before the first reply.
  std::uint32_t unanswered = 0;
  kernel::Time last_sent{};
  kernel::Time last_answer{};
  bool answered = false;
  bool broken = false;
  kj::TaskSet tasks;  // The last member, so that it is destroyed first.
};

// State that outlives a connection: when the next attempt is allowed.
struct PeerBackoff {
  std::chrono::milliseconds delay{};
  kernel::Time until{};
};

}  // namespace

struct PeerNet;
namespace {
void ScheduleRelief(PeerNet& net);
}  // namespace

struct PeerNet {
  Gateway* gateway = nullptr;
  std::shared_ptr<KjLoop> kj;
  std::unique_ptr<net::PausingListener> listener;
  std::map<std::string, std::unique_ptr<PeerOut>> out;
  std::map<std::string, PeerBackoff> backoffs;
  net::IncompleteInput incomplete{net::kMaxIncompleteRpcBytes,
                                  [this] { ScheduleRelief(*this); }};
  std::vector<std::unique_ptr<net::RpcServerConnection>> in;
  kernel::EventWatcher relief;
  bool relief_scheduled = false;
  kernel::Random random;
  kernel::CounterHandle dropped;
  kernel::EventWatcher sweep;
};

namespace {

void CountBytes(Gateway& gateway, const char* direction, const char* kind,
                std::uint64_t words) {
  const kernel::CounterHandle bytes = kernel::AddCounter(
      gateway.metrics, "egretladder_peer_bytes_total",
      "Bytes of messages between nodes, by kind.",
      std::string("kind=\"") + kind + "\",direction=\"" + direction + "\"");
  kernel::Increment(gateway.metrics, bytes, words * sizeof(capnp::word));
}

fleet::Sender SelfOf(const Gateway& gateway) {
  const fleet::FleetOptions& self = gateway.options.node.fleet;
  return {self.node, self.incarnation};
}

// Most messages between nodes are answers. As separate calls they would double
// the bytes of the control traffic.
std::vector<fleet::Message> TakeReplies(node::Actions& actions) {
  std::vector<fleet::Message> replies;
  std::erase_if(actions, [&replies](node::Action& action) {
    auto* send = std::get_if<fleet::SendMessage>(&action);
    if (send == nullptr || !send->reply) return false;
    replies.push_back(std::move(send->message));
    return true;
  });
  return replies;
}

void PutReplies(Gateway& gateway, const std::vector<fleet::Message>& replies,
                wire::Inbox::DeliverResults::Builder results) {
  if (replies.empty()) return;
  auto list = results.initReplies(static_cast<unsigned>(replies.size()));
  for (unsigned i = 0; i < list.size(); ++i) {
    Write(replies[i], list[i]);
    CountBytes(gateway, "out", KindOf(replies[i]),
               list[i].totalSize().wordCount);
  }
}

// Called while a promise of the connection runs. The effects of a reply may
// close that connection, so they are deferred.
void TakeAnswer(Gateway& gateway, const fleet::Sender& sender,
                wire::Inbox::DeliverResults::Reader answer) {
  node::Actions actions;
  for (const auto reply : answer.getReplies()) {
    auto message = ReadMessage(reply);
    if (!message) continue;
    CountBytes(gateway, "in", KindOf(message.value()),
               reply.totalSize().wordCount);
    node::OnMessage(*gateway.node, sender, message.value(), NowOf(gateway),
                    actions);
  }
  PumpLater(gateway, std::move(actions));
}

// Receives the messages of one peer.
class InboxServer final : public wire::Inbox::Server {
 public:
  InboxServer(Gateway& gateway, fleet::Sender sender)
      : gateway_(gateway), sender_(std::move(sender)) {}

  kj::Promise<void> deliver(DeliverContext context) override {
    const auto params = context.getParams();
    auto message = ReadMessage(params.getMessage());
    if (!message) {
      // A newer node may send kinds that this version doesn't know.
      kernel::Log(LogPart::kPeer, LogLevel::kDebug,
                  "Message of " + sender_.node +
                      " left out: " + message.error().detail + ".");
      return kj::READY_NOW;
    }
    CountBytes(gateway_, "in", KindOf(message.value()),
               params.totalSize().wordCount);
    context.releaseParams();
    node::Actions actions;
    node::OnMessage(*gateway_.node, sender_, message.value(), NowOf(gateway_),
                    actions);
    PutReplies(gateway_, TakeReplies(actions), context.getResults());
    Pump(gateway_, std::move(actions));
    return kj::READY_NOW;
  }

 private:
  Gateway& gateway_;
  fleet::Sender sender_;
};

// The capability that each peer gets from this node.
class PeerServer final : public wire::Peer::Server {
 public:
  explicit PeerServer(Gateway& gateway) : gateway_(gateway) {}

  kj::Promise<void> hello(HelloContext context) override {
    fleet::Sender sender = ReadSender(context.getParams().getSender());
    auto results = context.getResults();
    Write(SelfOf(gateway_), results.initSender());
    results.setInbox(kj::heap<InboxServer>(gateway_, std::move(sender)));
    return kj::READY_NOW;
  }

 private:
  Gateway& gateway_;
};

void AcceptPeer(PeerNet& net, evutil_socket_t fd) {
  if (net.in.size() >= kPeersIn) net::CloseLeastRecentlyHeard(net.in);
  SetNoDelay(fd);
  Bufferevent buffer(bufferevent_socket_new(net.gateway->loop->base.get(), fd,
                                            BEV_OPT_CLOSE_ON_FREE));
  net.in.push_back(std::make_unique<net::RpcServerConnection>(
      std::move(buffer), kj::heap<PeerServer>(*net.gateway), kPeerMessageWords,
      kCallerUnreadLimits, &net.incomplete));
}

// Closes connections whose messages don't become complete.
void AbandonIncomplete(PeerNet& net) {
  net.relief_scheduled = false;
  std::vector<policy::IncompleteMessage> messages;
  for (const auto& peer : net.in) {
    const auto read = peer->stream.Incomplete();
    messages.push_back({read.bytes, read.order});
  }
  const std::vector<std::size_t> abandoned =
      policy::MessagesToAbandon(messages, net.incomplete.max_bytes());
  for (const std::size_t index : abandoned) net.in[index]->stream.Disconnect();
  kernel::Log(LogPart::kPeer, LogLevel::kWarning,
              std::to_string(abandoned.size()) +
                  " connections of peers closed, as their messages were not "
                  "complete.");
  std::erase_if(net.in,
                [](const auto& peer) { return peer->stream.IsDisconnected(); });
}

void ScheduleRelief(PeerNet& net) {
  if (std::exchange(net.relief_scheduled, true)) return;
  net.relief =
      kernel::RunAfter(*net.gateway->loop, std::chrono::milliseconds(0),
                       [&net] { AbandonIncomplete(net); });
}

void BackOff(PeerNet& net, const std::string& address, kernel::Time now) {
  PeerBackoff& backoff = net.backoffs[address];
  backoff.delay = backoff.delay.count() == 0
                      ? kBackoffFirst
                      : std::min(2 * backoff.delay, kBackoffMost);
  // With jitter, so that not all nodes reconnect to a restarted peer at once.
  const auto jitter = std::chrono::milliseconds(kernel::RandomBelow(
      net.random, static_cast<std::uint64_t>(backoff.delay.count() / 2 + 1)));
  backoff.until = now + backoff.delay / 2 + jitter;
}

bool IsDisconnected(const PeerOut& peer, kernel::Time now) {
  const bool silent = peer.unanswered > 0 &&
                      now - peer.last_answer > kPeerSilence &&
                      now - peer.last_sent < kPeerSilence + kPeerIdle;
  return peer.broken || peer.rpc.stream.IsDisconnected() || silent;
}

void SweepPeers(PeerNet& net) {
  const kernel::Time now = NowOf(*net.gateway);
  for (auto at = net.out.begin(); at != net.out.end();) {
    const bool over = IsDisconnected(*at->second, now);
    if (over) {
      kernel::Log(LogPart::kPeer, LogLevel::kDebug,
                  "Connection to " + at->first + " is given up.");
      BackOff(net, at->first, now);
    }
    const bool idle = now - at->second->last_sent > kPeerIdle;
    at = over || idle ? net.out.erase(at) : std::next(at);
  }
  std::erase_if(net.backoffs, [now](const auto& entry) {
    return now - entry.second.until > kPeerIdle;
  });
  // The answers for a peer that sends without reading would pile up here.
  std::erase_if(net.in, [](const auto& peer) {
    return peer->broken || peer->stream.IsDisconnected() ||
           peer->network.getCurrentQueueSize() > kPeerBytes;
  });
}

PeerOut* Connect(PeerNet& net, const std::string& address, kernel::Time now) {
  const auto backoff = net.backoffs.find(address);
  if (backoff != net.backoffs.end() && now < backoff->second.until) {
    return nullptr;
  }
  if (net.out.size() >= kPeersOut) return nullptr;
  auto target = ParseAddress(address);
  if (!target) return nullptr;
  Bufferevent buffer(bufferevent_socket_new(net.gateway->loop->base.get(), -1,
                                            BEV_OPT_CLOSE_ON_FREE));
  if (bufferevent_socket_connect(buffer.get(), target->get(), target->size) !=
      0) {
    BackOff(net, address, now);
    return nullptr;
  }
  SetNoDelay(bufferevent_getfd(buffer.get()));
  return net.out
      .emplace(address, std::make_unique<PeerOut>(std::move(buffer),
                                                  SelfOf(*net.gateway), now))
      .first->second.get();
}

void Deliver(PeerNet& net, const std::string& address, PeerOut& peer,
             const fleet::Message& message) {
  Gateway& gateway = *net.gateway;
  auto request = peer.inbox.deliverRequest();
  Write(message, request.initMessage());
  CountBytes(gateway, "out", KindOf(message), request.totalSize().wordCount);
  ++peer.unanswered;
  peer.last_sent = NowOf(gateway);
  if (peer.unanswered == 1) peer.last_answer = peer.last_sent;
  peer.tasks.add(request.send().then([&net, &peer, address](auto&& answer) {
    --peer.unanswered;
    peer.last_answer = NowOf(*net.gateway);
    net.backoffs.erase(address);
    TakeAnswer(*net.gateway, peer.them, answer);
  }));
}

}  // namespace

void PeerNetDelete::operator()(PeerNet* net) const { delete net; }

kernel::Result<PeerNetPtr> OpenPeers(Gateway& gateway, std::string* address) {
  PeerNetPtr net(new PeerNet);
  net->gateway = &gateway;
  BOOST_OUTCOME_TRY(kj, AcquireKjLoop(*gateway.loop));
  net->kj = std::move(kj);
  net->random.seed(kernel::SecureRandom64());
  net->dropped = kernel::AddCounter(
      gateway.metrics, "egretladder_peer_messages_dropped_total",
      "Messages that a peer had no room for, or could not be reached with.");
  net->listener = std::make_unique<net::PausingListener>(
      *gateway.loop,
      [raw = net.get()](evutil_socket_t fd) { AcceptPeer(*raw, fd); });
  BOOST_OUTCOME_TRY(net->listener->Listen(gateway.options.peer_listen, -1));
  *address = net->listener->address();
  net->sweep = kernel::RunEvery(*gateway.loop, kSweep,
                                [raw = net.get()] { SweepPeers(*raw); });
  return net;
}

void SendToPeer(PeerNet& net, const fleet::SendMessage& send) {
  const kernel::Time now = NowOf(*net.gateway);
  auto at = net.out.find(send.peer_address);
  if (at != net.out.end() && at->second->rpc.stream.IsDisconnected() &&
      at->second->answered) {
    // The peer was replaced. Its successor is tried at once.
    net.out.erase(at);
    at = net.out.end();
  }
  PeerOut* peer = at != net.out.end() ? at->second.get()
                                      : Connect(net, send.peer_address, now);
  // A peer may be paused or unreachable. Messages without room are dropped,
  // because their content is sent again periodically. Waiting would stop this
  // node for its other peers, and buffering would exhaust its memory.
  if (peer == nullptr || IsDisconnected(*peer, now) ||
      peer->unanswered >= kPeerMessages ||
      peer->rpc.network.getCurrentQueueSize() > kPeerBytes / 2 ||
      peer->rpc.stream.PendingOutputBytes() > kPeerBytes / 2) {
    kernel::Increment(net.gateway->metrics, net.dropped);
    return;
  }
  Deliver(net, send.peer_address, *peer, send.message);
}

std::size_t CountPeers(const PeerNet& net) { return net.out.size(); }

}  // namespace egretladder::gateway
