// How a change spreads over hundreds of nodes, by the code that decides it, on
// a clock of its own: what is told is counted, and links take their time.
#include <CppUTest/TestHarness.h>

#include <algorithm>
#include <array>
#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <string>
#include <vector>

#include "egretladder/kernel/hash.h"
#include "egretladder/routing/catalog.h"
#include "egretladder/routing/feed_fetch.h"
#include "egretladder/routing/limits.h"
#include "egretladder/routing/members.h"

using namespace std::chrono_literals;
namespace ek = egretladder::kernel;
namespace er = egretladder::routing;
using std::chrono::microseconds;
using std::chrono::milliseconds;

namespace {

constexpr std::size_t kNodes = 300;
constexpr std::size_t kZones = 5;
constexpr auto kOneWay = 2ms;
constexpr auto kExchangeTime = 1000ms;
// 10 Mbit/s.
constexpr double kBytesPerUs = 1.25;
constexpr std::array kFeedCount = {er::Feed::kRules, er::Feed::kEndpoints};

struct Node {
  er::Catalog catalog;
  er::FeedFetches feed_fetches;
  er::Time link_free{};
  std::size_t received = 0;  // Contents.
  bool dead = false;
  std::deque<er::Time> unanswered;  // Exchanges with dead nodes, when begun.
};

class Fleet {
 public:
  Fleet() : nodes_(kNodes) {
    for (std::size_t i = 0; i < kNodes; ++i) {
      for (const er::Feed feed : kFeedCount) {
        er::Apply(nodes_[i].catalog, {feed, true, 1, {{"one", "", 1}}}, now_);
      }
      At(milliseconds(ek::RandomBelow(random_, 200)),
         [this, i] { Exchange(i); });
    }
  }

  Node& node(std::size_t i) { return nodes_[i]; }

  // Some nodes read the change at the store.
  void Publish(std::uint64_t revision, std::size_t bytes, std::size_t readers,
               er::Feed feed = er::Feed::kRules) {
    bytes_[feed] = bytes;
    for (std::size_t i = 0; i < readers; ++i) {
      Take(i, {feed, false, revision, {{"one", "", revision}}},
           er::kReaderFanout);
    }
  }

  // Time until all living nodes know the revision.
  milliseconds UntilAllKnow(std::uint64_t revision,
                            er::Feed feed = er::Feed::kRules) {
    const er::Time begin = now_;
    while (!AllKnow(revision, feed) && now_ - begin < 20s) Step();
    return std::chrono::duration_cast<milliseconds>(now_ - begin);
  }

 private:
  void At(std::chrono::nanoseconds delay, std::function<void()> action) {
    due_.emplace(now_ + delay, std::move(action));
  }

  void Step() {
    const auto first = due_.begin();
    now_ = first->first;
    const auto action = std::move(first->second);
    due_.erase(first);
    action();
  }

  bool AllKnow(std::uint64_t revision, er::Feed feed) const {
    for (const Node& node : nodes_) {
      if (node.dead) continue;
      if (er::GetFeedProgress(node.catalog, feed).known < revision)
        return false;
    }
    return true;
  }

  std::size_t Draw(std::size_t but) {
    const std::size_t drawn = ek::RandomBelow(random_, kNodes - 1);
    return drawn < but ? drawn : drawn + 1;
  }

  void Exchange(std::size_t i) {
    At(er::kLargeFleetExchangeInterval, [this, i] { Exchange(i); });
    if (nodes_[i].dead) return;
    const std::size_t peers = er::MaxPeersToTry(Hanging(i));
    for (std::size_t n = 0; n < peers; ++n) ExchangeWith(i, Draw(i));
    // As the periodic look does.
    for (const er::Feed feed : kFeedCount) Ask(i, feed);
  }

  std::size_t Hanging(std::size_t i) {
    auto& unanswered = nodes_[i].unanswered;
    while (!unanswered.empty() && now_ - unanswered.front() > kExchangeTime) {
      unanswered.pop_front();
    }
    return static_cast<std::size_t>(std::count_if(
        unanswered.begin(), unanswered.end(), [this](er::Time begun) {
          return now_ - begun >= er::kExchangeStallTime;
        }));
  }

  void ExchangeWith(std::size_t i, std::size_t peer) {
    if (nodes_[peer].dead) {
      nodes_[i].unanswered.push_back(now_);
      return;
    }
    Tell(i, peer);
    Tell(peer, i);
  }

  void Tell(std::size_t from, std::size_t to) {
    for (const er::Feed feed : kFeedCount) {
      const auto progress = er::GetFeedProgress(nodes_[from].catalog, feed);
      At(kOneWay, [this, from, to, feed, progress] {
        ApplyMemberGossip(from, to, feed, progress);
      });
    }
  }

  void ApplyMemberGossip(std::size_t from, std::size_t to, er::Feed feed,
                         const er::FeedProgress& progress) {
    Node& node = nodes_[to];
    if (node.dead) return;
    if (!er::ApplyPeerProgress(node.catalog, feed, progress)) return;
    er::OnOffer(er::GetFeedFetch(node.feed_fetches, feed), std::to_string(from),
                from % kZones == to % kZones, progress.known);
    Ask(to, feed);
  }

  void Ask(std::size_t i, er::Feed feed) {
    Node& node = nodes_[i];
    const std::string peer =
        er::StartNextFetch(er::GetFeedFetch(node.feed_fetches, feed),
                           er::GetFeedProgress(node.catalog, feed).known, now_);
    if (peer.empty()) return;
    At(kOneWay, [this, i, feed, peer] { Serve(std::stoul(peer), i, feed); });
  }

  void Serve(std::size_t from, std::size_t to, er::Feed feed) {
    Node& server = nodes_[from];
    if (server.dead) return;
    const auto busy_us = std::chrono::duration_cast<microseconds>(
        std::max(server.link_free - now_, er::Time::duration{}));
    const auto unsent = static_cast<std::size_t>(
        static_cast<double>(busy_us.count()) * kBytesPerUs);
    const std::size_t bytes = bytes_[feed];
    if (!er::CanSendChanges(bytes, unsent)) {
      At(kOneWay, [this, from, to, feed] {
        er::OnFetchFailed(er::GetFeedFetch(nodes_[to].feed_fetches, feed),
                          std::to_string(from), er::kFetchBusyBackoff, now_);
        Ask(to, feed);
      });
      return;
    }
    const microseconds sending(
        static_cast<std::int64_t>(static_cast<double>(bytes) / kBytesPerUs));
    server.link_free = std::max(server.link_free, now_) + sending;
    const auto after = er::GetFeedProgress(nodes_[to].catalog, feed).known;
    const er::Changes changes = er::ChangesSince(server.catalog, feed, after);
    At(server.link_free - now_ + kOneWay, [this, from, to, feed, changes] {
      er::OnFetchDone(er::GetFeedFetch(nodes_[to].feed_fetches, feed),
                      std::to_string(from));
      ++nodes_[to].received;
      Take(to, changes, er::kRelayFanout);
      Ask(to, feed);
    });
  }

  void Take(std::size_t i, const er::Changes& changes, std::size_t told) {
    if (er::Apply(nodes_[i].catalog, changes, now_).empty()) return;
    for (std::size_t n = 0; n < told; ++n) Tell(i, Draw(i));
  }

  er::Time now_ = er::Time{} + std::chrono::hours(1);
  std::vector<Node> nodes_;
  std::multimap<er::Time, std::function<void()>> due_;
  ek::Random random_{7};
  std::map<er::Feed, std::size_t> bytes_;
};

}  // namespace

TEST_GROUP(Spread) { Fleet fleet; };

// Guards against a leaving endpoint that some nodes go on using.
TEST(Spread, ASmallChangeReachesAllWithinASecond) {
  fleet.Publish(2, 400, er::kReadersMost);
  CHECK(fleet.UntilAllKnow(2) < 1000ms);
}

// Guards against rules that come into force late where links are slow, and
// against content that is sent to the same node by several peers.
TEST(Spread, ALargeChangeReachesAllWithinTwoSecondsAndEachOnce) {
  fleet.Publish(2, 60'000, er::kReadersMost);
  CHECK(fleet.UntilAllKnow(2) < 2000ms);
  for (std::size_t i = er::kReadersMost; i < kNodes; ++i) {
    LONGS_EQUAL(1, fleet.node(i).received);
  }
}

// Guards against nodes that wait for peers that just lost their power.
TEST(Spread, ATenthOfTheNodesMayBeDead) {
  for (std::size_t i = 0; i < kNodes; i += 10) fleet.node(i).dead = true;
  fleet.Publish(2, 60'000, er::kReadersMost);
  CHECK(fleet.UntilAllKnow(2) < 3000ms);
}

// Guards against news of a leaving endpoint that wait behind rules on the
// links.
TEST(Spread, ALeavingEndpointIsKnownInTimeWhileLargeRulesSpread) {
  fleet.Publish(2, 200'000, er::kReadersMost);
  fleet.Publish(2, 400, er::kReadersMost, er::Feed::kEndpoints);
  CHECK(fleet.UntilAllKnow(2, er::Feed::kEndpoints) < 2000ms);
}

// Guards against survivors of a large loss that don't meet among the dead.
TEST(Spread, ASmallChangeReachesTheSurvivorsOfALargeLossInTime) {
  for (std::size_t i = 0; i < kNodes; ++i) {
    if (i % 5 > 1) fleet.node(i).dead = true;
  }
  fleet.Publish(2, 400, 1);
  CHECK(fleet.UntilAllKnow(2) < 1500ms);
}

// Guards against a second version that waits behind the first.
TEST(Spread, TwoVersionsAtOnceEndWithTheSecondEverywhere) {
  fleet.Publish(2, 60'000, er::kReadersMost);
  fleet.Publish(3, 60'000, 1);
  CHECK(fleet.UntilAllKnow(3) < 3000ms);
}

// Guards against a fleet that depends on several readers.
TEST(Spread, OneReaderIsEnough) {
  fleet.Publish(2, 60'000, 1);
  CHECK(fleet.UntilAllKnow(2) < 3000ms);
}
