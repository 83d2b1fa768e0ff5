// Which peer to ask for what a feed has changed.
//
// Nodes announce the revision that they have; the changes themselves are asked
// for, from one peer at a time, so that each node receives them once however
// many peers have them. Another peer is asked when one is busy or silent
// (lazy push, as in Leitao and others, "Epidemic Broadcast Trees", 2007).
#pragma once

#include <array>
#include <cstdint>
#include <string>
#include <vector>

#include "egretladder/kernel/time.h"
#include "egretladder/routing/catalog.h"
#include "egretladder/routing/limits.h"

namespace egretladder::routing {

/// A peer that has news.
struct Offer {
  std::string peer;   ///< Its address.
  bool near = false;  ///< In the same availability zone.
  std::uint64_t revision = 0;
  Time not_before{};  ///< Not asked earlier: it was busy or failed.
};

/// What is offered and asked of one feed.
struct FeedFetch {
  std::vector<Offer> offers;  ///< The oldest first.
  std::string asked;          ///< The peer that is being asked; empty: none.
  Time asked_at{};
};

/// Of all feeds.
struct FeedFetches {
  std::array<FeedFetch, kFeedCount> feeds;
};

/// State of one feed.
FeedFetch& GetFeedFetch(FeedFetches& feed_fetches, Feed feed);

/// A peer announced `revision`.
void OnOffer(FeedFetch& pull, const std::string& peer, bool near,
             std::uint64_t revision);

/// The peer to ask now, of those that have more than `own`; it then counts as
/// asked. Empty: none has, one is being asked, or all were tried just now.
std::string StartNextFetch(FeedFetch& pull, std::uint64_t own, Time now);

/// The peer that was asked answered; what it sent is taken in, and what it
/// announced before counts no longer.
void OnFetchDone(FeedFetch& pull, const std::string& peer);

/// It was busy, or its connection broke: it is left alone for `pause`.
void OnFetchFailed(FeedFetch& pull, const std::string& peer, milliseconds pause,
                   Time now);

/// True when a peer may be sent `bytes` of changes while `unsent` bytes for
/// other peers wait here.
///
/// Load: a large change of the rules, for which many peers ask at once. Sent to
/// all of them together, it fills this node's link until none has it in time,
/// and callers' answers wait behind it.
bool CanSendChanges(std::size_t bytes, std::size_t unsent);

}  // namespace egretladder::routing
