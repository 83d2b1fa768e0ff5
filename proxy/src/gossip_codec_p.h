// Encodes and decodes gossip messages as Cap'n Proto; see
// schema/exchange.capnp.
#pragma once

#include <algorithm>
#include <array>
#include <string>
#include <vector>

#include "egretladder/kernel/error.h"
#include "exchange.capnp.h"
#include "state_p.h"

namespace egretladder::proxy {

/// Up to which revision a node knows each feed.
using Progress = std::array<routing::FeedProgress, routing::kFeedCount>;

/// The peer that gossip goes to, and what it asks for.
struct GossipRequest {
  routing::GossipTarget members;
  routing::SuspectScope scope = routing::SuspectScope::kNews;
};

/// What a peer states about itself in an exchange.
struct PeerState {
  std::string peer_address;  ///< Its address for other nodes; empty: not
                             ///< stated.
  std::string zone;
  Progress progress{};
  GossipRequest request;
};

/// Changes of one feed, serialized and compressed.
struct PackedChanges {
  std::string bytes;
  std::uint32_t unpacked_bytes = 0;  ///< Size before compression, in bytes.
};

/// Changes of one feed that were decoded from a message.
struct ReceivedChanges {
  routing::Changes changes;
  /// The sender recently failed to read the store.
  bool store_troubled = false;
};

/// Returns up to which revision this node knows each feed.
Progress OwnProgress(const Proxy& proxy);

/// Returns an age in the unit of messages.
inline std::uint32_t ToMillis(milliseconds age) {
  return static_cast<std::uint32_t>(std::max<std::int64_t>(0, age.count()));
}

/// Writes the gossip for a peer, with what it asked for.
void WriteGossip(Proxy& proxy, const GossipRequest& request,
                 exchange::News::Builder news);

/// Applies the gossip of a peer. Returns what the peer states about itself.
PeerState ApplyGossip(Proxy& proxy, exchange::News::Reader news);

// advertised_limits.cc
/// Writes the endpoint limits that this node passes on.
void WriteLimits(Proxy& proxy, exchange::News::Builder news);
/// Applies the endpoint limits of a peer.
void ApplyLimits(Proxy& proxy, exchange::News::Reader news);

// suspects.cc
/// Writes the requests that seem to crash endpoints.
void WriteSuspects(const Proxy& proxy, routing::SuspectScope scope,
                   exchange::News::Builder news);
/// Applies those of a peer.
void ApplySuspects(Proxy& proxy, exchange::News::Reader news);

// gossip_codec.cc
/// Writes progress into a list of `kFeedCount` elements.
void WriteProgress(const Progress& progress,
                   capnp::List<exchange::Progress>::Builder list);
/// Reads such a list. Feeds that it leaves out have revision 0: the peer knows
/// nothing of them.
Progress ReadProgress(capnp::List<exchange::Progress>::Reader list);

/// Serializes and compresses the changes of a feed after revision `after`.
kernel::Result<PackedChanges> PackChanges(const Proxy& proxy,
                                          routing::Feed feed,
                                          std::uint64_t after);

/// Decodes the result of `PackChanges`. Fails if the checksum doesn't match,
/// the message is invalid or too large, or it holds another feed than `feed`.
kernel::Result<ReceivedChanges> UnpackChanges(const PackedChanges& packed,
                                              routing::Feed feed);

}  // namespace egretladder::proxy
