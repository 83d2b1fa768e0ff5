// Messages between nodes as Cap'n Proto; see schema/exchange.capnp.
#pragma once

#include "exchange.capnp.h"
#include "state_p.h"

namespace egretladder::proxy {

/// What a peer said of what it lacks.
struct PeerLacks {
  std::array<std::uint64_t, routing::kFeeds> revisions{};  ///< It has these.
  std::vector<std::uint32_t> unknown;  ///< Nodes that it doesn't know.
};

/// What such a peer should hear.
void WriteNews(Proxy& proxy, const PeerLacks& peer,
               exchange::News::Builder news);

/// Takes in what a peer told.
PeerLacks TakeNews(Proxy& proxy, exchange::News::Reader news);

}  // namespace egretladder::proxy
