// The two ends of a Cap'n Proto RPC connection over a bufferevent.
#pragma once

#include <capnp/rpc-twoparty.h>

#include <cstdint>
#include <memory>
#include <vector>

#include "egretladder/net/kj_loop.h"

namespace egretladder::net {

/// Limit for the nesting depth of structs and lists in a message.
inline constexpr int kMaxRpcNesting = 16;

/// Returns the limits for received messages. `max_words` is the largest
/// message, in words of eight bytes.
capnp::ReaderOptions RpcReaderOptions(std::uint64_t max_words);

/// A connection that a peer opened. `self` is the interface that the peer
/// calls; `incomplete` sums the input of all connections of its port, or is
/// null.
struct RpcServerConnection {
  RpcServerConnection(Bufferevent buffer, capnp::Capability::Client self,
                      std::uint64_t max_words,
                      UnreadLimits unread = kCallerUnreadLimits,
                      IncompleteInput* incomplete = nullptr);

  BuffereventStream stream;
  capnp::TwoPartyVatNetwork network;
  capnp::RpcSystem<capnp::rpc::twoparty::VatId> system;
  bool broken = false;
  kj::Promise<void> ended;
};

/// Closes the connection of which nothing was heard for longest, to make room
/// for another one. There must be one.
void CloseLeastRecentlyHeard(
    std::vector<std::unique_ptr<RpcServerConnection>>& connections);

/// A connection that this node opens to a peer. Calls made before it is
/// established wait for it.
struct RpcClientConnection {
  RpcClientConnection(Bufferevent buffer, std::uint64_t max_words);

  /// Returns the interface that the peer provides.
  capnp::Capability::Client Bootstrap();

  BuffereventStream stream;
  capnp::TwoPartyVatNetwork network;
  capnp::RpcSystem<capnp::rpc::twoparty::VatId> system;
};

}  // namespace egretladder::net
