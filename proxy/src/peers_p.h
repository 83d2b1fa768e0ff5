// Connections between nodes, as Cap'n Proto RPC uses them.
#pragma once

#include <kj/exception.h>

#include <map>
#include <memory>
#include <string>
#include <utility>
#include <vector>

#include "egretladder/net/kj_loop.h"
#include "egretladder/net/rpc_connection.h"
#include "egretladder/net/socket.h"
#include "egretladder/routing/feed_fetch.h"
#include "news_codec_p.h"

namespace egretladder::proxy {

/// A connection to one peer.
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
  Time asked{};                ///< Last.
  std::size_t unanswered = 0;  ///< Calls.
  Time waiting_since{};        ///< While one is unanswered.
  bool exchanging = false;     ///< An exchange is unanswered.
  bool answered = false;       ///< At least one call was.
  bool broken = false;
  bool near = false;                   ///< In the same availability zone.
  std::vector<std::uint32_t> unknown;  ///< Nodes that it asked for last.
  kj::TaskSet tasks;                   ///< Last, so that it goes first.
};

/// Packed changes of one feed, kept for the next peer that lacks the same.
struct KeptContent {
  std::uint64_t after = 0;
  std::uint64_t revision = 0;
  bool store_troubled = false;
  PackedChanges packed;
};

struct PeerNet {
  Proxy* proxy = nullptr;
  std::shared_ptr<net::KjLoop> kj;
  net::Listener listener;
  std::map<std::string, std::unique_ptr<PeerOut>> out;
  std::vector<std::unique_ptr<net::RpcServerConnection>> in;
  routing::FeedFetches feed_fetches;
  std::array<KeptContent, routing::kFeedCount> content;
  kernel::EventWatcher sweep;
  kernel::EventWatcher soon;
  bool soon_armed = false;
  std::size_t announce_to = 0;  ///< Peers, at the next turn.
};

/// What a message between nodes is about; for metrics.
enum class MessageKind : std::uint8_t { kExchange, kAnnounce, kContent };

// peers_capnp.cc
/// The connection to a peer, opened now if there is none; null: not possible.
PeerOut* PeerAt(PeerNet& net, const std::string& address);
/// A call to the peer begins.
void OnAsk(PeerOut& peer, Time now);
/// It was answered.
void OnAnswer(PeerOut& peer, Time now);
/// Counts what was told or heard.
void CountBytes(Proxy& proxy, const char* direction, MessageKind message,
                bool near, std::uint64_t words);

// content_capnp.cc
/// Answers a peer that lacks changes.
void ServeContent(Proxy& proxy, bool near, std::uint8_t feed_number,
                  std::uint64_t after,
                  exchange::Peer::FetchResults::Builder results);
/// A peer said how far it knows the feeds.
void HearProgress(Proxy& proxy, const std::string& peer, bool near,
                  const Progress& progress);
/// Asks for what was announced and isn't being asked for.
void FetchNews(Proxy& proxy);

}  // namespace egretladder::proxy
