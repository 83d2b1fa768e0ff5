#include "egretladder/routing/feed_fetch.h"

#include <algorithm>

namespace egretladder::routing {
namespace {

Offer* FindOffer(FeedFetch& pull, const std::string& peer) {
  const auto at =
      std::find_if(pull.offers.begin(), pull.offers.end(),
                   [&peer](const Offer& offer) { return offer.peer == peer; });
  return at == pull.offers.end() ? nullptr : &*at;
}

// Near ones first; among these the newest, whose link is the least likely to be
// taken already.
bool IsBetter(const Offer& left, const Offer& right) {
  if (left.near != right.near) return left.near;
  return left.revision > right.revision;
}

}  // namespace

FeedFetch& GetFeedFetch(FeedFetches& feed_fetches, Feed feed) {
  return feed_fetches.feeds[static_cast<std::size_t>(feed)];
}

void OnOffer(FeedFetch& pull, const std::string& peer, bool near,
             std::uint64_t revision) {
  if (Offer* offer = FindOffer(pull, peer)) {
    offer->revision = std::max(offer->revision, revision);
    return;
  }
  if (pull.offers.size() >= kOffersMost) pull.offers.erase(pull.offers.begin());
  pull.offers.push_back({peer, near, revision, {}});
}

std::string StartNextFetch(FeedFetch& pull, std::uint64_t own, Time now) {
  std::erase_if(pull.offers,
                [own](const Offer& offer) { return offer.revision <= own; });
  if (!pull.asked.empty()) {
    if (now - pull.asked_at < kPullTime) return {};
    const std::string silent = pull.asked;
    OnFetchFailed(pull, silent, kFetchTimeoutBackoff, now);
  }
  const Offer* best = nullptr;
  for (const Offer& offer : pull.offers) {
    if (offer.not_before > now) continue;
    if (best == nullptr || IsBetter(offer, *best)) best = &offer;
  }
  if (best == nullptr) return {};
  pull.asked = best->peer;
  pull.asked_at = now;
  return pull.asked;
}

void OnFetchDone(FeedFetch& pull, const std::string& peer) {
  if (pull.asked == peer) pull.asked.clear();
  std::erase_if(pull.offers,
                [&peer](const Offer& offer) { return offer.peer == peer; });
}

void OnFetchFailed(FeedFetch& pull, const std::string& peer, milliseconds pause,
                   Time now) {
  if (pull.asked == peer) pull.asked.clear();
  if (Offer* offer = FindOffer(pull, peer)) offer->not_before = now + pause;
}

bool CanSendChanges(std::size_t bytes, std::size_t unsent) {
  return bytes <= kSmallChangesBytes || unsent < kPeerBacklog;
}

}  // namespace egretladder::routing
