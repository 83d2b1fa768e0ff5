// Messages between nodes as Cap'n Proto; see schema/exchange.capnp.
#pragma once

#include <array>
#include <string>
#include <vector>

#include "egretladder/kernel/error.h"
#include "exchange.capnp.h"
#include "state_p.h"

namespace egretladder::proxy {

/// How far a node knows each feed.
using Progress = std::array<routing::FeedProgress, routing::kFeedCount>;

/// What a peer said of itself in an exchange.
struct PeerState {
  std::string peer_address;  ///< Its address for nodes; empty: unsaid.
  std::string zone;
  Progress progress{};
  std::vector<std::uint32_t> unknown;  ///< Nodes that it doesn't know.
};

/// Changes of one feed as they travel.
struct PackedChanges {
  std::string bytes;
  std::uint32_t unpacked_bytes = 0;  ///< Size before compression, in bytes.
};

/// Changes of one feed as they were read from a message.
struct ReceivedChanges {
  routing::Changes changes;
  bool store_troubled = false;  ///< The sender failed to read the store lately.
};

/// How far this node knows each feed.
Progress OwnProgress(const Proxy& proxy);

/// What a peer that asked for `unknown` should hear.
void WriteGossip(Proxy& proxy, const std::vector<std::uint32_t>& unknown,
                 exchange::News::Builder news);

/// Takes in what a peer told.
PeerState ApplyGossip(Proxy& proxy, exchange::News::Reader news);

// advertised_limits.cc
/// Writes the limits of endpoints that a peer should hear of.
void WriteLimits(Proxy& proxy, exchange::News::Builder news);
/// Takes in those that a peer told.
void ApplyLimits(Proxy& proxy, exchange::News::Reader news);

// gossip_codec.cc
/// Writes progress into a list of `kFeedCount`.
void WriteProgress(const Progress& progress,
                   capnp::List<exchange::Progress>::Builder list);
/// Reads such a list; feeds that it leaves out are unknown to the peer.
Progress ReadProgress(capnp::List<exchange::Progress>::Reader list);

/// What this node has of a feed beyond `after`, compressed.
kernel::Result<PackedChanges> PackChanges(const Proxy& proxy,
                                          routing::Feed feed,
                                          std::uint64_t after);

/// Reads what `PackChanges` made. Refuses what doesn't match its checksum, is
/// larger than a message may be, or is of another feed than `feed`.
kernel::Result<ReceivedChanges> UnpackChanges(const PackedChanges& packed,
                                              routing::Feed feed);

}  // namespace egretladder::proxy
