// One end of a Cap'n Proto RPC connection over a bufferevent.
#pragma once

#include <capnp/rpc-twoparty.h>

#include <cstdint>

#include "egretladder/net/kj_loop.h"

namespace egretladder::net {

/// Nesting of structs in a message.
inline constexpr int kRpcNesting = 16;

/// What a message may hold at most, in words of eight bytes.
capnp::ReaderOptions RpcReaderOptions(std::uint64_t words);

/// A connection that a peer opened; `self` is what the peer may call.
struct RpcServerConnection {
  RpcServerConnection(Bufferevent buffer, capnp::Capability::Client self,
                      std::uint64_t words);

  BuffereventStream stream;
  capnp::TwoPartyVatNetwork network;
  capnp::RpcSystem<capnp::rpc::twoparty::VatId> system;
  bool broken = false;
  kj::Promise<void> ended;
};

/// A connection to a peer. Calls may be made at once; they wait for the
/// connection.
struct RpcClientConnection {
  RpcClientConnection(Bufferevent buffer, std::uint64_t words);

  /// What the peer offers.
  capnp::Capability::Client Bootstrap();

  BuffereventStream stream;
  capnp::TwoPartyVatNetwork network;
  capnp::RpcSystem<capnp::rpc::twoparty::VatId> system;
};

}  // namespace egretladder::net
