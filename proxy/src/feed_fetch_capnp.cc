// Fetches the data of the platform's store that this node lacks, from one peer
// at a time, and serves it to peers.
#include <algorithm>
#include <numeric>

#include "peers_p.h"

namespace egretladder::proxy {
namespace {

using kernel::LogLevel;
using kernel::LogPart;
using routing::Feed;

// Returns the size of the output to peers that is not sent yet, in bytes.
std::size_t CountUnsentBytes(const PeerNetwork& network) {
  return std::accumulate(network.incoming.begin(), network.incoming.end(),
                         std::size_t{0}, [](std::size_t sum, const auto& peer) {
                           return sum + peer->stream.PendingOutputBytes();
                         });
}

kernel::Result<const PackedChanges*> GetPackedChanges(Proxy& proxy, Feed feed,
                                                      std::uint64_t after) {
  CachedChanges& cached =
      proxy.peers->cached_changes[static_cast<std::size_t>(feed)];
  const routing::FeedProgress progress =
      routing::GetFeedProgress(proxy.catalog, feed);
  const bool troubled = IsStoreTroubled(proxy);
  if (cached.after == after && cached.progress == progress &&
      cached.store_troubled == troubled) {
    return &cached.packed;
  }
  BOOST_OUTCOME_TRY(packed, PackChanges(proxy, feed, after));
  cached = {after, progress, troubled, std::move(packed)};
  return &cached.packed;
}

void CountFetch(Proxy& proxy, const char* outcome) {
  IncrementCounter(proxy, "egretladder_peer_fetches_total",
                   "Fetches of changes from peers, by outcome.",
                   std::string("outcome=\"") + outcome + "\"");
}

// Logs a large transfer. Small changes are logged when they are applied.
void LogFetched(const Proxy& proxy, Feed feed, const std::string& from,
                const PackedChanges& packed, std::uint64_t revision,
                Time requested_at) {
  if (packed.bytes.size() <= routing::kSmallChangesBytes) return;
  kernel::LogEvent(LogPart::kFleet, LogLevel::kInfo, "fetched",
                   {{"feed", routing::NameOf(feed)},
                    {"from", from},
                    {"bytes", packed.bytes.size()},
                    {"unpacked", packed.unpacked_bytes},
                    {"rev", revision},
                    {"ms", Elapsed(requested_at, NowOf(proxy))}});
}

// A fetch in progress.
struct FetchRequest {
  std::string from;           // The peer's address.
  std::uint64_t version = 0;  // Version of its rules, as it announced.
  Time sent_at{};
};

void OnChangesReceived(Proxy& proxy, Feed feed, const FetchRequest& request,
                       const PackedChanges& packed) {
  const std::string& from = request.from;
  auto received = UnpackChanges(packed, feed);
  routing::FeedFetch& fetch =
      routing::GetFeedFetch(proxy.peers->feed_fetches, feed);
  if (!received) {
    kernel::LogEvent(LogPart::kFleet, LogLevel::kWarning, "fetch-refused",
                     {{"feed", routing::NameOf(feed)},
                      {"from", from},
                      {"why", kernel::Describe(received.error())}});
    CountFetch(proxy, "refused");
    routing::OnFetchFailed(fetch, from, routing::kFetchTimeoutBackoff,
                           NowOf(proxy));
    return;
  }
  CountFetch(proxy, "taken");
  routing::OnFetchDone(fetch, from);
  LogFetched(proxy, feed, from, packed, received.value().changes.revision,
             request.sent_at);
  const bool are_rules_readable =
      ApplyChanges(proxy, std::move(received.value().changes),
                   ChangeSource::kPeer, received.value().store_troubled);
  if (!are_rules_readable) {
    routing::FeedState& state = routing::GetFeedState(proxy.catalog, feed);
    state.unreadable_version =
        std::max(state.unreadable_version, request.version);
  }
}

void OnFetchReply(Proxy& proxy, Feed feed, const FetchRequest& request,
                  bool same_zone,
                  capnp::Response<exchange::Peer::FetchResults>&& answer) {
  CountBytes(proxy, "in", MessageKind::kContent, same_zone,
             answer.totalSize().wordCount);
  if (answer.getBusy()) {
    CountFetch(proxy, "busy");
    routing::OnFetchFailed(
        routing::GetFeedFetch(proxy.peers->feed_fetches, feed), request.from,
        routing::kFetchBusyBackoff, NowOf(proxy));
    return;
  }
  const auto bytes = answer.getPacked().getBytes();
  const PackedChanges packed{
      std::string(reinterpret_cast<const char*>(bytes.begin()), bytes.size()),
      answer.getPacked().getUnpacked()};
  OnChangesReceived(proxy, feed, request, packed);
}

void FetchFeed(Proxy& proxy, Feed feed, const routing::Offer& offer) {
  const std::string from = offer.peer;
  const std::uint64_t after =
      routing::FetchAfter(proxy.catalog, feed, offer.progress);
  PeerConnection* peer = GetOrConnectPeer(*proxy.peers, from);
  const Time now = NowOf(proxy);
  routing::FeedFetch& fetch =
      routing::GetFeedFetch(proxy.peers->feed_fetches, feed);
  if (peer == nullptr) {
    routing::OnFetchFailed(fetch, from, routing::kFetchTimeoutBackoff, now);
    return;
  }
  auto request = peer->client.fetchRequest();
  request.setFeed(static_cast<std::uint8_t>(feed));
  request.setAfter(after);
  OnRequestSent(*peer, now);
  const FetchRequest sent{from, offer.progress.version, now};
  peer->tasks.add(
      request.send().then([&proxy, peer, feed, sent](auto&& answer) {
        OnReplyReceived(*peer, NowOf(proxy));
        OnFetchReply(proxy, feed, sent, peer->same_zone,
                     std::forward<decltype(answer)>(answer));
        ScheduleFetchAndAnnounce(proxy, 0);
      }));
}

// Returns true while a node that has just started waits for the store's answer.
// Peers announce the same data meanwhile, which need not be fetched twice.
bool ShouldWaitForStore(const Proxy& proxy, Feed feed) {
  return proxy.reads_store && !IsStoreTroubled(proxy) &&
         routing::GetFeedState(proxy.catalog, feed).revision == 0 &&
         NowOf(proxy) - proxy.initial_read_at < kInitialPeerFetchDelay;
}

}  // namespace

void AnswerFetch(Proxy& proxy, bool same_zone, std::uint8_t feed_number,
                 std::uint64_t after,
                 exchange::Peer::FetchResults::Builder results) {
  if (feed_number >= routing::kFeedCount) {  // Sent by a newer node.
    results.setBusy(true);
    return;
  }
  const auto feed = static_cast<Feed>(feed_number);
  auto packed_changes = GetPackedChanges(proxy, feed, after);
  if (!packed_changes) {
    kernel::LogEvent(LogPart::kFleet, LogLevel::kError, "fetch-unserved",
                     {{"feed", routing::NameOf(feed)},
                      {"why", kernel::Describe(packed_changes.error())}});
    results.setBusy(true);
    return;
  }
  const PackedChanges& packed = *packed_changes.value();
  if (!routing::CanSendChanges(packed.bytes.size(),
                               CountUnsentBytes(*proxy.peers))) {
    results.setBusy(true);
    return;
  }
  auto answer = results.initPacked();
  answer.setBytes(
      kj::arrayPtr(reinterpret_cast<const kj::byte*>(packed.bytes.data()),
                   packed.bytes.size()));
  answer.setUnpacked(packed.unpacked_bytes);
  CountBytes(proxy, "out", MessageKind::kContent, same_zone,
             results.totalSize().wordCount);
}

void OnPeerProgress(Proxy& proxy, const std::string& peer, bool same_zone,
                    const Progress& progress) {
  if (peer.empty()) return;
  bool has_missing_changes = false;
  for (std::size_t i = 0; i < progress.size(); ++i) {
    const auto feed = static_cast<Feed>(i);
    const std::uint64_t own_revision =
        routing::GetFeedState(proxy.catalog, feed).revision;
    if (own_revision == 0 && progress[i].known == 0) OnPeerWithoutData(proxy);
    if (progress[i].era == 0 &&
        routing::GetFeedState(proxy.catalog, feed).is_restored) {
      proxy.peer_without_era_at = NowOf(proxy);
    }
    const routing::FeedProgress peer_progress =
        routing::InterpretProgress(proxy.catalog, feed, progress[i]);
    if (!routing::ApplyPeerProgress(proxy.catalog, feed, peer_progress))
      continue;
    routing::OnOffer(proxy.peers->feed_fetches.feeds[i], peer, same_zone,
                     peer_progress);
    has_missing_changes = true;
  }
  if (has_missing_changes) ScheduleFetchAndAnnounce(proxy, 0);
}

void FetchMissingChanges(Proxy& proxy) {
  for (std::size_t i = 0; i < routing::kFeedCount; ++i) {
    const auto feed = static_cast<Feed>(i);
    if (ShouldWaitForStore(proxy, feed)) continue;
    const routing::Offer* offer = routing::StartNextFetch(
        proxy.peers->feed_fetches.feeds[i],
        routing::GetFeedProgress(proxy.catalog, feed), NowOf(proxy));
    if (offer != nullptr) FetchFeed(proxy, feed, *offer);
  }
}

}  // namespace egretladder::proxy
