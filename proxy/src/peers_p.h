// Connections between nodes, as Cap'n Proto RPC uses them.
#pragma once

#include <kj/exception.h>

#include <map>
#include <memory>
#include <string>
#include <utility>
#include <vector>

#include "egretladder/net/kj_loop.h"
#include "egretladder/net/pausing_listener.h"
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
  Time last_request_at{};
  std::size_t unanswered_calls = 0;
  /// Since when an answer is awaited, while there are unanswered calls.
  Time waiting_since{};
  bool exchanging = false;    ///< An exchange is unanswered.
  bool has_answered = false;  ///< At least one call was answered.
  bool broken = false;
  bool same_zone = false;  ///< The peer is in the same availability zone.
  /// Nodes that the peer did not know in the last exchange; they are described
  /// in the next one.
  std::vector<std::uint32_t> unknown;
  kj::TaskSet tasks;  ///< The last member, so that it is destroyed first.
};

/// Packed changes of one feed, cached for the next peer that fetches the same.
struct CachedChanges {
  std::uint64_t after = 0;
  routing::FeedProgress progress{};
  bool store_troubled = false;
  PackedChanges packed;
};

struct PeerNetwork;
/// Closes connections whose messages don't become complete in the loop's next
/// turn.
void ScheduleRelief(PeerNetwork& network);

/// The connections between this node and its peers.
struct PeerNetwork {
  explicit PeerNetwork(Proxy& owner);

  Proxy* proxy = nullptr;
  std::size_t max_incoming = 0;  ///< Connections of peers.
  std::shared_ptr<net::KjLoop> kj;
  std::unique_ptr<net::PausingListener> listener;
  std::map<std::string, std::unique_ptr<PeerConnection>> outgoing;
  net::IncompleteInput incomplete;
  std::vector<std::unique_ptr<net::RpcServerConnection>> incoming;
  kernel::EventWatcher relief_timer;
  bool relief_scheduled = false;
  routing::FeedFetches feed_fetches;
  std::array<CachedChanges, routing::kFeedCount> cached_changes;
  kernel::EventWatcher sweep_timer;
  Time last_sweep_at{};
  kernel::EventWatcher update_timer;
  bool update_scheduled = false;
  /// Number of peers that get an announcement at the next scheduled update.
  std::size_t announce_count = 0;
};

/// The kind of a message between nodes; for metrics.
enum class MessageKind : std::uint8_t {
  kExchange,
  kAnnounce,
  kContent,
  kStreams
};

// peers_capnp.cc
/// Returns the connection to a peer, and opens it if there is none that works.
/// Null if no connection can be opened.
PeerConnection* GetOrConnectPeer(PeerNetwork& network,
                                 const std::string& address);
/// Records that a call to the peer begins.
void OnRequestSent(PeerConnection& peer, Time now);
/// Records that a call to the peer was answered.
void OnReplyReceived(PeerConnection& peer, Time now);
/// Counts the size of a message. `direction` is `in` or `out`; `words` have
/// eight bytes.
void CountBytes(Proxy& proxy, const char* direction, MessageKind message,
                bool same_zone, std::uint64_t words);

// feed_fetch_capnp.cc
/// Answers a fetch of the changes after revision `after`, or states that this
/// node is busy.
void AnswerFetch(Proxy& proxy, bool same_zone, std::uint8_t feed_number,
                 std::uint64_t after,
                 exchange::Peer::FetchResults::Builder results);
/// Records how far a peer knows the feeds, and schedules a fetch if this node
/// lacks changes.
void OnPeerProgress(Proxy& proxy, const std::string& peer, bool same_zone,
                    const Progress& progress);
/// Fetches the changes that peers announced and this node lacks, unless a fetch
/// is in progress.
void FetchMissingChanges(Proxy& proxy);

// stream_records_capnp.cc
/// Returns weights as messages state them: one more than their version; 0: none
/// are known.
std::uint64_t ToWire(routing::Weights weights);
/// Reads them.
routing::Weights ReadWeights(std::uint64_t value);
/// Writes the step in doubt at which the stream broke off to a message.
void FillDoubt(routing::StreamKey stream, const routing::StepInDoubt& doubt,
               exchange::StepInDoubt::Builder to);
/// Reads it from one.
routing::StepInDoubt ReadDoubt(exchange::StepInDoubt::Reader doubt);

}  // namespace egretladder::proxy
