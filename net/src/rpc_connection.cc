#include "egretladder/net/rpc_connection.h"

#include <kj/exception.h>

#include <algorithm>
#include <utility>

namespace egretladder::net {

using capnp::rpc::twoparty::Side;
using capnp::rpc::twoparty::VatId;

capnp::ReaderOptions RpcReaderOptions(std::uint64_t max_words) {
  capnp::ReaderOptions options;
  options.traversalLimitInWords = max_words;
  options.nestingLimit = kMaxRpcNesting;
  return options;
}

RpcServerConnection::RpcServerConnection(Bufferevent buffer,
                                         capnp::Capability::Client self,
                                         std::uint64_t max_words,
                                         UnreadLimits unread,
                                         IncompleteInput* incomplete)
    : stream(std::move(buffer), unread, incomplete),
      network(stream, Side::SERVER, RpcReaderOptions(max_words)),
      system(capnp::makeRpcServer(network, std::move(self))),
      ended(network.onDisconnect()
                .then([this] { broken = true; },
                      [this](kj::Exception&& /*e*/) { broken = true; })
                .eagerlyEvaluate(nullptr)) {}

RpcClientConnection::RpcClientConnection(Bufferevent buffer,
                                         std::uint64_t max_words)
    : stream(std::move(buffer)),
      network(stream, Side::CLIENT, RpcReaderOptions(max_words)),
      system(capnp::makeRpcClient(network)) {}

capnp::Capability::Client RpcClientConnection::Bootstrap() {
  capnp::word scratch[4] = {};
  capnp::MallocMessageBuilder message(scratch);
  auto vat = message.getRoot<VatId>();
  vat.setSide(Side::SERVER);
  return system.bootstrap(vat);
}

void CloseLeastRecentlyHeard(
    std::vector<std::unique_ptr<RpcServerConnection>>& connections) {
  connections.erase(std::min_element(connections.begin(), connections.end(),
                                     [](const auto& left, const auto& right) {
                                       return left->stream.heard_order() <
                                              right->stream.heard_order();
                                     }));
}

}  // namespace egretladder::net
