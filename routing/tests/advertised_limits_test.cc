// An endpoint that names a limit, and all nodes that send to it, on a clock of
// the test's own.
#include "egretladder/routing/advertised_limits.h"

#include <CppUTest/TestHarness.h>

#include <algorithm>
#include <deque>
#include <limits>
#include <string>
#include <vector>

#include "egretladder/kernel/hash.h"
#include "egretladder/routing/limits.h"
#include "egretladder/routing/shared_rate.h"

using namespace std::chrono_literals;
namespace ek = egretladder::kernel;
namespace er = egretladder::routing;

namespace {

constexpr er::Time kStart{std::chrono::hours(1)};
constexpr auto kStep = 25ms;
constexpr auto kAnswerTime = 300ms;

// Nodes that send as often as they may to one endpoint, which names a limit.
class LimitedFleet {
 public:
  explicit LimitedFleet(std::size_t nodes) : sets_(nodes) {
    service_.name = "engines";
    for (std::size_t i = 0; i < nodes; ++i) {
      names_.push_back("n" + std::to_string(i));
      er::EndpointEntry entry;
      entry.id = "limited";
      entry.service = service_.name;
      entry.address = "10.0.0.1:80";
      entry.slots = 100'000;
      er::OnEntryPublished(sets_[i], entry, kStart);
    }
  }

  // Nodes tell each other from now on.
  void LetThemTalk() { talk_ = true; }

  std::size_t NodesThatTakeItForLimited() {
    std::size_t count = 0;
    for (std::size_t i = 0; i < sets_.size(); ++i) {
      if (At(i).limit.per_second > 0) ++count;
    }
    return count;
  }

  // Nothing: it names none.
  void Name(std::optional<double> limit) { limit_ = limit; }

  void Run(std::chrono::milliseconds time) {
    for (const er::Time end = now_ + time; now_ < end; now_ += kStep) Step();
  }

  std::size_t MostWithin(std::chrono::milliseconds window,
                         er::Time from) const {
    std::size_t most = 0;
    std::size_t first = 0;
    for (std::size_t i = 0; i < arrivals_.size(); ++i) {
      if (arrivals_[i] < from) first = i + 1;
      while (first < i && arrivals_[i] - arrivals_[first] >= window) ++first;
      if (first <= i) most = std::max(most, i - first + 1);
    }
    return most;
  }

  er::Time now() const { return now_; }
  er::EndpointSet& Set(std::size_t node) { return sets_[node]; }
  er::Endpoint& At(std::size_t node) { return *sets_[node].by_id["limited"]; }

 private:
  struct Answer {
    er::Time due{};
    std::size_t node = 0;
    std::optional<double> limit;
  };

  void Tell(std::size_t from, std::size_t to) {
    for (const auto& told : er::MakeLimitGossip(sets_[from], random_, now_)) {
      er::ApplyLimitGossip(sets_[to], told, now_);
    }
  }

  void Exchange() {
    for (std::size_t i = 0; i < sets_.size(); ++i) {
      const std::size_t peer = ek::RandomBelow(random_, sets_.size());
      Tell(i, peer);
      Tell(peer, i);
    }
  }

  void Step() {
    const auto passed = now_ - kStart;
    if (talk_ && passed % er::kLargeFleetExchangeInterval < kStep) Exchange();
    for (; !answers_.empty() && answers_.front().due <= now_;
         answers_.pop_front()) {
      er::OnAdvertisedLimit(sets_[answers_.front().node],
                            At(answers_.front().node), answers_.front().limit,
                            now_);
    }
    for (std::size_t i = 0; i < sets_.size(); ++i) {
      const er::FleetSnapshot part{names_.size(), names_[i], names_, "a"};
      er::Demand demand;
      demand.service = &service_;
      const auto placement =
          er::ChoosePlacement(sets_[i], demand, {}, part, random_, now_);
      if (placement.endpoint == nullptr) continue;
      er::OnAttemptSent(*placement.endpoint, demand, ++attempts_, placement,
                        now_);
      arrivals_.push_back(now_);
      answers_.push_back({now_ + kAnswerTime, i, limit_});
    }
  }

  er::Service service_;
  std::vector<er::EndpointSet> sets_;
  std::vector<std::string> names_;
  std::vector<er::Time> arrivals_;
  std::deque<Answer> answers_;
  std::optional<double> limit_;
  bool talk_ = false;
  ek::Random random_{11};
  std::uint64_t attempts_ = 0;
  er::Time now_ = kStart;
};

std::size_t AllowedWithinFourSeconds(double limit) {
  return static_cast<std::size_t>(1.5 * limit * 4 + 5);
}

er::EndpointSet WithEndpoints(const std::vector<std::string>& ids) {
  er::EndpointSet set;
  for (const std::string& id : ids) {
    er::OnEntryPublished(
        set,
        {.id = id, .service = "engines", .address = "10.0.0.1:80", .slots = 16},
        kStart);
  }
  return set;
}

}  // namespace

TEST_GROUP(NamedLimits){};

// Guards against a sum over nodes that is many times the limit.
TEST(NamedLimits, HoldForAllNodesTogetherInFleetsOfAnySize) {
  for (const std::size_t nodes : {1, 7, 90, 300}) {
    for (const double limit : {0.0, 0.3, 2.0, 12.0}) {
      LimitedFleet fleet(nodes);
      if (nodes > 16) fleet.LetThemTalk();
      fleet.Name(limit);
      fleet.Run(1s);
      const er::Time told = fleet.now();
      fleet.Run(25s);
      CHECK(fleet.MostWithin(4s, told) <= AllowedWithinFourSeconds(limit));
    }
  }
}

// Guards against an endpoint that goes on getting little once it has recovered.
TEST(NamedLimits, EndOnceTheEndpointNamesNone) {
  LimitedFleet fleet(7);
  fleet.Name(2);
  fleet.Run(5s);
  const er::Time limited = fleet.now();
  fleet.Run(6s);
  CHECK(fleet.MostWithin(4s, limited) >= 4);
  fleet.Name(std::nullopt);
  fleet.Run(6s);
  for (std::size_t i = 0; i < 7; ++i) {
    DOUBLES_EQUAL(0, fleet.At(i).limit.per_second, 0);
  }
}

// Guards against an endpoint that took nothing and is left out long after that.
TEST(NamedLimits, AnEndpointThatTookNothingIsAskedAgainWithinSeconds) {
  LimitedFleet fleet(3);
  fleet.LetThemTalk();
  fleet.Name(0);
  fleet.Run(5s);
  LONGS_EQUAL(3, fleet.NodesThatTakeItForLimited());
  fleet.Name(std::nullopt);
  fleet.Run(8s);
  LONGS_EQUAL(0, fleet.NodesThatTakeItForLimited());
}

// Guards against nodes that leave an endpoint out for as long as they run.
TEST(NamedLimits, NodesThatDoNotSendHearThatALimitEnded) {
  LimitedFleet fleet(90);
  fleet.LetThemTalk();
  fleet.Name(2);
  fleet.Run(8s);
  LONGS_EQUAL(90, fleet.NodesThatTakeItForLimited());
  fleet.Name(std::nullopt);
  fleet.Run(8s);
  LONGS_EQUAL(0, fleet.NodesThatTakeItForLimited());
}

// Guards against an endpoint whose earlier process was in need.
TEST(NamedLimits, NewsOfAnEarlierProcessAreNotBelieved) {
  LimitedFleet fleet(1);
  const er::LimitGossip before{"limited", 2, 500ms};
  CHECK_FALSE(er::ApplyLimitGossip(fleet.Set(0), before, kStart + 400ms));
  CHECK(er::ApplyLimitGossip(fleet.Set(0), before, kStart + 600ms));
  DOUBLES_EQUAL(2, fleet.At(0).limit.per_second, 0);
}

// Guards against a peer whose news are old or nonsense.
TEST(NamedLimits, OddNewsChangeNothing) {
  LimitedFleet fleet(1);
  const double none = std::numeric_limits<double>::quiet_NaN();
  const er::Time now = kStart + 60s;
  CHECK_FALSE(er::ApplyLimitGossip(fleet.Set(0), {"limited", none, 0ms}, now));
  CHECK_FALSE(er::ApplyLimitGossip(fleet.Set(0), {"limited", -1, 0ms}, now));
  CHECK_FALSE(er::ApplyLimitGossip(fleet.Set(0), {"unknown", 2, 0ms}, now));
  CHECK_FALSE(er::ApplyLimitGossip(fleet.Set(0), {"limited", 2, 11s}, now));
  DOUBLES_EQUAL(0, fleet.At(0).limit.per_second, 0);
}

// Guards against a flood by turns taken under a larger limit.
TEST(NamedLimits, ASmallerLimitHoldsAtOnce) {
  LimitedFleet fleet(78);
  fleet.Name(60);
  fleet.Run(4s);
  fleet.Name(2);
  fleet.Run(2s);
  const er::Time told = fleet.now();
  fleet.Run(12s);
  CHECK(fleet.MostWithin(4s, told) <= AllowedWithinFourSeconds(2));
}

TEST(NamedLimits, BesideAColdStartTheSmallerRateHolds) {
  er::EndpointSet set = WithEndpoints({"one"});
  er::Endpoint& endpoint = *set.by_id["one"];
  er::Service service{.name = "engines", .cold_per_second = 5};
  endpoint.cold_until = kStart + 10s;
  er::OnAdvertisedLimit(set, endpoint, 2, kStart);
  auto rate = er::SharedRateOf(endpoint, service, kStart);
  CHECK(rate->reason == er::RateReason::kLimited);
  LONGS_EQUAL(7, rate->senders);
  er::OnAdvertisedLimit(set, endpoint, 60, kStart);
  rate = er::SharedRateOf(endpoint, service, kStart);
  CHECK(rate->reason == er::RateReason::kCold);
  LONGS_EQUAL(er::kColdSenders, rate->senders);
}

TEST(NamedLimits, AreKeptWithinBounds) {
  LimitedFleet fleet(1);
  er::Endpoint& endpoint = fleet.At(0);
  CHECK(er::OnAdvertisedLimit(fleet.Set(0), endpoint, 0, kStart));
  DOUBLES_EQUAL(er::kLimitLeast, endpoint.limit.per_second, 0);
  CHECK(er::OnAdvertisedLimit(fleet.Set(0), endpoint, 1e300, kStart));
  DOUBLES_EQUAL(er::kLimitMost, endpoint.limit.per_second, 0);
  // What hardly changes isn't worth a line.
  CHECK_FALSE(er::OnAdvertisedLimit(fleet.Set(0), endpoint, 0.9e6, kStart));
  CHECK(er::OnAdvertisedLimit(fleet.Set(0), endpoint, std::nullopt, kStart));
}

// Guards against callers that wait while other endpoints are free.
TEST(NamedLimits, OtherEndpointsTakeWhatALimitedOneMayNot) {
  er::EndpointSet set = WithEndpoints({"limited", "free"});
  er::Service service{.name = "engines"};
  er::OnAdvertisedLimit(set, *set.by_id["limited"], 1, kStart);
  er::Demand demand;
  demand.service = &service;
  const er::FleetSnapshot alone{1, "n1", {"n1"}, "a"};
  ek::Random random{5};
  for (int i = 0; i < 20; ++i) {
    const auto placement =
        er::ChoosePlacement(set, demand, {}, alone, random, kStart + 1ms);
    CHECK(placement.endpoint == set.by_id["free"]);
  }
}

TEST(NamedLimits, WhereAllAreLimitedTheNextTurnIsKnown) {
  er::EndpointSet set = WithEndpoints({"one", "two"});
  er::Service service{.name = "engines"};
  er::Demand demand;
  demand.service = &service;
  const er::FleetSnapshot alone{1, "n1", {"n1"}, "a"};
  ek::Random random{5};
  er::OnAdvertisedLimit(set, *set.by_id["one"], 1, kStart);
  er::OnAdvertisedLimit(set, *set.by_id["two"], 4, kStart);
  auto none = er::ChoosePlacement(set, demand, {}, alone, random, kStart);
  CHECK(none.endpoint == nullptr);
  CHECK(none.reason == er::PlaceReason::kAllLimited);
  // The first turn comes within one pause of the larger limit.
  CHECK(none.room_in > 0ms && none.room_in <= 313ms);
  // One that is full for a moment may be free before that.
  er::OnAdvertisedLimit(set, *set.by_id["two"], std::nullopt, kStart);
  er::OnEndpointFull(*set.by_id["two"], 200ms, kStart);
  none = er::ChoosePlacement(set, demand, {}, alone, random, kStart);
  CHECK(none.endpoint == nullptr && !none.room_in);
}
