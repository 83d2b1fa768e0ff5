#include "egretladder/routing/feed_fetch.h"

#include <algorithm>

namespace egretladder::routing {
namespace {

Offer* FindOffer(FeedFetch& fetch, const std::string& peer) {
  const auto offer_at =
      std::find_if(fetch.offers.begin(), fetch.offers.end(),
                   [&peer](const Offer& offer) { return offer.peer == peer; });
  return offer_at == fetch.offers.end() ? nullptr : &*offer_at;
}

// Prefers peers in the same zone, and among equals the one with the newest
// revision, whose link is the least likely to be busy with other peers.
bool IsBetter(const Offer& left, const Offer& right) {
  if (left.near != right.near) return left.near;
  if (left.progress.era != right.progress.era)
    return left.progress.era > right.progress.era;
  return left.progress.known > right.progress.known;
}

}  // namespace

FeedFetch& GetFeedFetch(FeedFetches& feed_fetches, Feed feed) {
  return feed_fetches.feeds[static_cast<std::size_t>(feed)];
}

void OnOffer(FeedFetch& fetch, const std::string& peer, bool near,
             const FeedProgress& progress) {
  if (Offer* offer = FindOffer(fetch, peer)) {
    offer->progress = progress;
    return;
  }
  if (fetch.offers.size() >= kMaxOffers)
    fetch.offers.erase(fetch.offers.begin());
  fetch.offers.push_back({peer, near, progress, {}});
}

const Offer* StartNextFetch(FeedFetch& fetch, const FeedProgress& own,
                            Time now) {
  std::erase_if(fetch.offers, [&own](const Offer& offer) {
    return !HasNews(offer.progress, own);
  });
  if (!fetch.asked_peer.empty()) {
    if (now - fetch.asked_at < kFetchTimeout) return nullptr;
    const std::string silent_peer = fetch.asked_peer;
    OnFetchFailed(fetch, silent_peer, kFetchTimeoutBackoff, now);
  }
  const Offer* best_offer = nullptr;
  for (const Offer& offer : fetch.offers) {
    if (offer.not_before > now) continue;
    if (best_offer == nullptr || IsBetter(offer, *best_offer))
      best_offer = &offer;
  }
  if (best_offer == nullptr) return nullptr;
  fetch.asked_peer = best_offer->peer;
  fetch.asked_at = now;
  return best_offer;
}

void OnFetchDone(FeedFetch& fetch, const std::string& peer) {
  if (fetch.asked_peer == peer) fetch.asked_peer.clear();
  std::erase_if(fetch.offers,
                [&peer](const Offer& offer) { return offer.peer == peer; });
}

void OnFetchFailed(FeedFetch& fetch, const std::string& peer,
                   milliseconds backoff, Time now) {
  if (fetch.asked_peer == peer) fetch.asked_peer.clear();
  if (Offer* offer = FindOffer(fetch, peer)) offer->not_before = now + backoff;
}

bool CanSendChanges(std::size_t bytes, std::size_t unsent_bytes) {
  return bytes <= kSmallChangesBytes || unsent_bytes < kMaxPeerBacklogBytes;
}

}  // namespace egretladder::routing
