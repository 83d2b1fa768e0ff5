// What a node lacks of the platform's store, asked of one peer at a time.
#include <numeric>

#include "peers_p.h"

namespace egretladder::proxy {
namespace {

using kernel::LogLevel;
using kernel::LogPart;
using routing::Feed;

// What waits to be sent to peers that asked.
std::size_t UnsentOf(const PeerNet& net) {
  return std::accumulate(net.in.begin(), net.in.end(), std::size_t{0},
                         [](std::size_t sum, const auto& peer) {
                           return sum + peer->stream.PendingOutputBytes();
                         });
}

kernel::Result<const PackedChanges*> ContentAfter(Proxy& proxy, Feed feed,
                                                  std::uint64_t after) {
  KeptContent& kept = proxy.peers->content[static_cast<std::size_t>(feed)];
  const std::uint64_t revision =
      routing::GetFeedState(proxy.catalog, feed).revision;
  const bool troubled = IsStoreTroubled(proxy);
  if (kept.after == after && kept.revision == revision &&
      kept.store_troubled == troubled) {
    return &kept.packed;
  }
  BOOST_OUTCOME_TRY(packed, PackChanges(proxy, feed, after));
  kept = {after, revision, troubled, std::move(packed)};
  return &kept.packed;
}

void CountFetch(Proxy& proxy, const char* outcome) {
  Count(proxy, "egretladder_peer_fetches_total",
        "Changes asked of peers, by outcome.",
        std::string("outcome=\"") + outcome + "\"");
}

// A small change is logged when it is taken.
void LogTransfer(const Proxy& proxy, Feed feed, const std::string& from,
                 const PackedChanges& packed, std::uint64_t revision,
                 Time asked) {
  if (packed.bytes.size() <= routing::kSmallChangesBytes) return;
  kernel::LogEvent(LogPart::kFleet, LogLevel::kInfo, "fetched",
                   {{"feed", routing::NameOf(feed)},
                    {"from", from},
                    {"bytes", packed.bytes.size()},
                    {"unpacked", packed.unpacked},
                    {"rev", revision},
                    {"ms", Between(asked, NowOf(proxy))}});
}

void OnContent(Proxy& proxy, Feed feed, const std::string& from,
               const PackedChanges& packed, Time asked) {
  auto received = UnpackChanges(packed, feed);
  routing::FeedFetch& pull =
      routing::GetFeedFetch(proxy.peers->feed_fetches, feed);
  if (!received) {
    kernel::LogEvent(LogPart::kFleet, LogLevel::kWarning, "fetch-refused",
                     {{"feed", routing::NameOf(feed)},
                      {"from", from},
                      {"why", kernel::Describe(received.error())}});
    CountFetch(proxy, "refused");
    routing::OnFetchFailed(pull, from, routing::kFetchTimeoutBackoff,
                           NowOf(proxy));
    return;
  }
  CountFetch(proxy, "taken");
  routing::OnFetchDone(pull, from);
  LogTransfer(proxy, feed, from, packed, received.value().changes.revision,
              asked);
  TakeChanges(proxy, received.value().changes, Source::kPeer,
              received.value().store_troubled);
}

void OnFetched(Proxy& proxy, Feed feed, const std::string& from, bool near,
               Time asked,
               capnp::Response<exchange::Peer::FetchResults>&& answer) {
  CountBytes(proxy, "in", MessageKind::kContent, near,
             answer.totalSize().wordCount);
  if (answer.getBusy()) {
    CountFetch(proxy, "busy");
    routing::OnFetchFailed(
        routing::GetFeedFetch(proxy.peers->feed_fetches, feed), from,
        routing::kFetchBusyBackoff, NowOf(proxy));
    return;
  }
  const auto bytes = answer.getPacked().getBytes();
  const PackedChanges packed{
      std::string(reinterpret_cast<const char*>(bytes.begin()), bytes.size()),
      answer.getPacked().getUnpacked()};
  OnContent(proxy, feed, from, packed, asked);
}

void Fetch(Proxy& proxy, Feed feed, const std::string& from) {
  PeerOut* peer = PeerAt(*proxy.peers, from);
  const Time now = NowOf(proxy);
  routing::FeedFetch& pull =
      routing::GetFeedFetch(proxy.peers->feed_fetches, feed);
  if (peer == nullptr) {
    routing::OnFetchFailed(pull, from, routing::kFetchTimeoutBackoff, now);
    return;
  }
  auto request = peer->peer.fetchRequest();
  request.setFeed(static_cast<std::uint8_t>(feed));
  request.setAfter(routing::GetFeedState(proxy.catalog, feed).revision);
  OnAsk(*peer, now);
  peer->tasks.add(
      request.send().then([&proxy, peer, feed, from, now](auto&& answer) {
        OnAnswer(*peer, NowOf(proxy));
        OnFetched(proxy, feed, from, peer->near, now,
                  std::forward<decltype(answer)>(answer));
        NewsSoon(proxy, 0);
      }));
}

// A node that has just started hears of everything from peers while the store
// is about to answer the same.
bool WaitsForStore(const Proxy& proxy, Feed feed) {
  return proxy.reads_store && !IsStoreTroubled(proxy) &&
         routing::GetFeedState(proxy.catalog, feed).revision == 0 &&
         NowOf(proxy) - proxy.store_from < kStoreFirst;
}

}  // namespace

void ServeContent(Proxy& proxy, bool near, std::uint8_t feed_number,
                  std::uint64_t after,
                  exchange::Peer::FetchResults::Builder results) {
  if (feed_number >= routing::kFeedCount) {  // Of a newer node.
    results.setBusy(true);
    return;
  }
  const auto feed = static_cast<Feed>(feed_number);
  auto content = ContentAfter(proxy, feed, after);
  if (!content) {
    kernel::LogEvent(LogPart::kFleet, LogLevel::kError, "fetch-unserved",
                     {{"feed", routing::NameOf(feed)},
                      {"why", kernel::Describe(content.error())}});
    results.setBusy(true);
    return;
  }
  const PackedChanges& packed = *content.value();
  if (!routing::CanSendChanges(packed.bytes.size(), UnsentOf(*proxy.peers))) {
    results.setBusy(true);
    return;
  }
  auto answer = results.initPacked();
  answer.setBytes(
      kj::arrayPtr(reinterpret_cast<const kj::byte*>(packed.bytes.data()),
                   packed.bytes.size()));
  answer.setUnpacked(packed.unpacked);
  CountBytes(proxy, "out", MessageKind::kContent, near,
             results.totalSize().wordCount);
}

void HearProgress(Proxy& proxy, const std::string& peer, bool near,
                  const Progress& progress) {
  if (peer.empty()) return;
  bool lacks = false;
  for (std::size_t i = 0; i < progress.size(); ++i) {
    const auto feed = static_cast<Feed>(i);
    const std::uint64_t own =
        routing::GetFeedState(proxy.catalog, feed).revision;
    if (own == 0 && progress[i].known == 0) OnPeerKnowsNothing(proxy);
    if (!routing::ApplyPeerProgress(proxy.catalog, feed, progress[i])) continue;
    routing::OnOffer(proxy.peers->feed_fetches.feeds[i], peer, near,
                     progress[i].known);
    lacks = true;
  }
  if (lacks) NewsSoon(proxy, 0);
}

void FetchNews(Proxy& proxy) {
  for (std::size_t i = 0; i < routing::kFeedCount; ++i) {
    const auto feed = static_cast<Feed>(i);
    if (WaitsForStore(proxy, feed)) continue;
    const std::string peer = routing::StartNextFetch(
        proxy.peers->feed_fetches.feeds[i],
        routing::GetFeedState(proxy.catalog, feed).revision, NowOf(proxy));
    if (!peer.empty()) Fetch(proxy, feed, peer);
  }
}

}  // namespace egretladder::proxy
