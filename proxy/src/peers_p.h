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
#include "gossip_codec_p.h"

namespace egretladder::proxy {

/// A connection to one peer.
struct PeerConnection : private kj::TaskSet::ErrorHandler {
  PeerConnection(net::Bufferevent buffer, Time now)
      : rpc(std::move(buffer), kMaxMessageWords),
        client(rpc.Bootstrap().castAs<exchange::Peer>()),
        opened_at(now),
        last_request_at(now),
        tasks(*this) {}

  void taskFailed(kj::Exception&& /*exception*/) override { broken = true; }

  net::RpcClientConnection rpc;
  exchange::Peer::Client client;
  Time opened_at{};
  Time last_request_at{};            ///< Last.
  std::size_t unanswered_calls = 0;  ///< Calls.
  Time waiting_since{};              ///< While one is unanswered.
  bool exchanging = false;           ///< An exchange is unanswered.
  bool has_answered = false;         ///< At least one call was.
  bool broken = false;
  bool same_zone = false;              ///< In the same availability zone.
  std::vector<std::uint32_t> unknown;  ///< Nodes that it asked for last.
  kj::TaskSet tasks;                   ///< Last, so that it goes first.
};

/// Packed changes of one feed, kept for the next peer that lacks the same.
struct CachedChanges {
  std::uint64_t after = 0;
  std::uint64_t revision = 0;
  bool store_troubled = false;
  PackedChanges packed;
};

struct PeerNetwork {
  Proxy* proxy = nullptr;
  std::shared_ptr<net::KjLoop> kj;
  net::Listener listener;
  std::map<std::string, std::unique_ptr<PeerConnection>> outgoing;
  std::vector<std::unique_ptr<net::RpcServerConnection>> incoming;
  routing::FeedFetches feed_fetches;
  std::array<CachedChanges, routing::kFeedCount> cached_changes;
  kernel::EventWatcher sweep_timer;
  kernel::EventWatcher update_timer;
  bool update_scheduled = false;
  std::size_t announce_count = 0;  ///< Peers, at the next turn.
};

/// What a message between nodes is about; for metrics.
enum class MessageKind : std::uint8_t { kExchange, kAnnounce, kContent };

// peers_capnp.cc
/// The connection to a peer, opened now if there is none; null: not possible.
PeerConnection* GetOrConnectPeer(PeerNetwork& network, const std::string& address);
/// A call to the peer begins.
void OnRequestSent(PeerConnection& peer, Time now);
/// It was answered.
void OnReplyReceived(PeerConnection& peer, Time now);
/// Counts what was told or heard.
void CountBytes(Proxy& proxy, const char* direction, MessageKind message,
                bool same_zone, std::uint64_t words);

// feed_fetch_capnp.cc
/// Answers a peer that lacks changes.
void AnswerFetch(Proxy& proxy, bool same_zone, std::uint8_t feed_number,
                 std::uint64_t after,
                 exchange::Peer::FetchResults::Builder results);
/// A peer said how far it knows the feeds.
void OnPeerProgress(Proxy& proxy, const std::string& peer, bool same_zone,
                    const Progress& progress);
/// Asks for what was announced and isn't being asked for.
void FetchMissingChanges(Proxy& proxy);

}  // namespace egretladder::proxy
