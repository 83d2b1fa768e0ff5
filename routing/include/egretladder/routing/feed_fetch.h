// Chooses the peer from which this node fetches the changes of a feed.
//
// Nodes announce only the revision that they have. The changes are fetched from
// one peer at a time, so that each node receives them once, however many peers
// have them. If that peer is busy or doesn't answer, another one is asked (lazy
// push, as in Leitao and others, "Epidemic Broadcast Trees", 2007).
#pragma once

#include <array>
#include <cstdint>
#include <string>
#include <vector>

#include "egretladder/kernel/time.h"
#include "egretladder/routing/catalog.h"
#include "egretladder/routing/limits.h"

namespace egretladder::routing {

/// A peer that announced changes.
struct Offer {
  std::string peer;         ///< The peer's address.
  bool near = false;        ///< It is in the same availability zone.
  FeedProgress progress{};  ///< As it announced last.
  Time not_before{};        ///< End of the backoff after it was busy or failed.
};

/// The state of fetching one feed's changes.
struct FeedFetch {
  std::vector<Offer> offers;  ///< Oldest first.
  std::string asked_peer;     ///< Peer of the fetch in progress; empty: none.
  Time asked_at{};            ///< When that fetch started.
};

/// The state of fetching all feeds.
struct FeedFetches {
  std::array<FeedFetch, kFeedCount> feeds;
};

/// Returns the state of one feed.
FeedFetch& GetFeedFetch(FeedFetches& feed_fetches, Feed feed);

/// Records that a peer announced its progress. If `kMaxOffers` peers are known,
/// the oldest offer is dropped.
void OnOffer(FeedFetch& fetch, const std::string& peer, bool near,
             const FeedProgress& progress);

/// Starts the next fetch if none is in progress. Returns the offer of the peer
/// to ask, which has changes that a node with the progress `own` lacks. The
/// result is null if no peer has any, a fetch is in progress, or all peers are
/// in backoff. A fetch in progress for `kFetchTimeout` counts as failed.
const Offer* StartNextFetch(FeedFetch& fetch, const FeedProgress& own,
                            Time now);

/// Records that the peer's changes arrived and were applied. Its earlier
/// announcement is dropped.
void OnFetchDone(FeedFetch& fetch, const std::string& peer);

/// Records that the peer was busy or its connection broke. It isn't asked again
/// for `backoff`.
void OnFetchFailed(FeedFetch& fetch, const std::string& peer,
                   milliseconds backoff, Time now);

/// Returns true if `bytes` of changes can be sent to a peer while
/// `unsent_bytes` for other peers are queued at this node.
///
/// Many peers ask for a large change of the rules at once. If it were sent to
/// all of them together, it would fill this node's link until none of them has
/// it in time, and answers to callers would wait behind it.
bool CanSendChanges(std::size_t bytes, std::size_t unsent_bytes);

}  // namespace egretladder::routing
