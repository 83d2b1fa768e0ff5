// Messages between nodes as Cap'n Proto; see schema/exchange.capnp.
#pragma once

#include "exchange.capnp.h"
#include "state_p.h"

namespace egretladder::proxy {

/// What a node that knows the feeds up to `theirs` should hear.
void WriteNews(Proxy& proxy,
               const std::array<std::uint64_t, routing::kFeeds>& theirs,
               exchange::News::Builder news);

/// Takes in what a peer told. Returns its own place in each feed.
std::array<std::uint64_t, routing::kFeeds> TakeNews(
    Proxy& proxy, exchange::News::Reader news);

}  // namespace egretladder::proxy
