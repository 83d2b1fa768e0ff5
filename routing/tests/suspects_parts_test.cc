// Parts of prompts that crash endpoints, over a whole fleet: nodes that gossip,
// endpoints that start again, and requests of which no two are alike.
#include <CppUTest/TestHarness.h>

#include <algorithm>
#include <string>
#include <vector>

#include "egretladder/kernel/hash.h"
#include "egretladder/routing/member_gossip.h"
#include "egretladder/routing/suspects.h"

using namespace std::chrono_literals;
namespace er = egretladder::routing;
namespace ek = egretladder::kernel;

namespace {

constexpr er::Time kStart{std::chrono::hours(1)};
constexpr auto kStep = 10ms;
constexpr auto kTimeToRestart = 1500ms;
constexpr auto kMessageTime = 3ms;
constexpr int kAttempts = 2;
// Requests with the part that are sent so long after so many crashes are late.
constexpr std::size_t kCrashesToHold = 5;
constexpr auto kTimeToHold = 3s;
constexpr std::size_t kLateAllowed = 3;
constexpr std::uint64_t kFirstPart = 1;
constexpr std::uint64_t kBadPart = 1000;
constexpr std::uint64_t kSecondParts = 20;  // From 100 on.

struct Request {
  std::uint64_t body = 0;
  std::vector<std::uint64_t> parts;  // Without the last one.
  bool is_bad = false;
  int attempts_left = kAttempts;
};

struct Attempt {
  std::size_t node = 0;
  std::size_t endpoint = 0;
  Request request;
  er::Time sent{};
  er::Time begins{};  // Its first event, or the crash.
  er::Time ends{};
  bool is_proven = false;
};

struct Endpoint {
  std::uint64_t process = 0;
  er::Time up_from{};
};

struct Load {
  double sound_per_second = 20;
  double bad_per_second = 0;
  std::vector<std::uint64_t> bad_parts{kBadPart};
  bool is_bad_part_first = false;
};

// A fleet of nodes and the endpoints of one service.
class Fleet {
 public:
  Fleet(std::size_t nodes, std::size_t endpoints, std::uint64_t seed = 1)
      : random_(seed) {
    nodes_.resize(nodes);
    endpoints_.resize(endpoints);
    for (Endpoint& endpoint : endpoints_) endpoint.process = ++processes_;
    for (std::size_t i = 0; i < nodes; ++i)
      fleet_.names.push_back("n" + std::to_string(i));
  }
  Load load;

  void Run(std::chrono::milliseconds time) {
    const auto interval = nodes_.size() > 16 ? er::kLargeFleetExchangeInterval
                                             : er::kExchangeInterval;
    const double step = std::chrono::duration<double>(kStep).count();
    for (const er::Time end = now_ + time; now_ < end; now_ += kStep) {
      if ((now_ - kStart) % interval < kStep) Exchange();
      sound_due_ += load.sound_per_second * step;
      for (; sound_due_ >= 1; --sound_due_) SendSound();
      bad_due_ += load.bad_per_second * step;
      for (; bad_due_ >= 1; --bad_due_) SendBad();
      Advance();
    }
  }
  void SendBad() {
    Request request = MakeRequest();
    request.is_bad = true;
    const std::uint64_t bad =
        load.bad_parts[ek::RandomBelow(random_, load.bad_parts.size())];
    request.parts[load.is_bad_part_first ? 0 : 1] = bad;
    Send(RandomNode(), request);
  }
  void Restart(std::size_t node) {
    nodes_[node] = {};
    std::erase_if(attempts_,
                  [node](const Attempt& a) { return a.node == node; });
  }
  void LosePower(std::size_t endpoint) { Crash(endpoint); }

  std::size_t crashes() const { return crashes_.size(); }
  std::size_t late() const {
    if (crashes_.size() < kCrashesToHold) return 0;
    const er::Time bound = crashes_[kCrashesToHold - 1] + kTimeToHold;
    return static_cast<std::size_t>(
        std::count_if(bad_sent_.begin(), bad_sent_.end(),
                      [bound](er::Time sent) { return sent > bound; }));
  }
  // Begins to count sound requests.
  void CountSound() { sound_sent_ = sound_begun_ = sound_refused_ = 0; }
  double sound_share() const {
    return static_cast<double>(sound_begun_) /
           static_cast<double>(std::max<std::size_t>(sound_sent_, 1));
  }
  std::size_t sound_refused() const { return sound_refused_; }

 private:
  std::size_t RandomNode() { return ek::RandomBelow(random_, nodes_.size()); }
  Request MakeRequest() {
    Request request;
    request.body = er::KeyOfRequest(ek::HashBytes(std::to_string(++bodies_)));
    request.parts = {kFirstPart, 100 + ek::RandomBelow(random_, kSecondParts)};
    return request;
  }
  void SendSound() {
    ++sound_sent_;
    Send(RandomNode(), MakeRequest());
  }
  static std::vector<std::uint64_t> KeysOf(const Request& request) {
    std::vector<std::uint64_t> keys{request.body};
    for (const std::uint64_t part : request.parts)
      keys.push_back(er::KeyOfPart("models", part));
    return keys;
  }
  bool MaySend(std::size_t node, const Request& request) {
    er::Suspects& suspects = nodes_[node];
    fleet_.self = fleet_.names[node];
    const auto keys = KeysOf(request);
    if (er::TimeUntilSend(suspects, keys, fleet_, now_) > 0ms) return false;
    for (const std::uint64_t key : keys) er::OnSuspectSent(suspects, key, now_);
    return true;
  }
  void Send(std::size_t node, Request request) {
    std::vector<std::size_t> up;
    for (std::size_t i = 0; i < endpoints_.size(); ++i)
      if (endpoints_[i].up_from <= now_) up.push_back(i);
    if (up.empty()) return;
    if (!MaySend(node, request)) {
      sound_refused_ += request.is_bad ? 0 : 1;
      return;
    }
    if (request.is_bad) bad_sent_.push_back(now_);
    --request.attempts_left;
    Attempt attempt;
    attempt.node = node;
    attempt.endpoint = up[ek::RandomBelow(random_, up.size())];
    attempt.request = std::move(request);
    attempt.sent = now_;
    attempt.begins = now_ + 100ms + RandomTime(100);
    attempt.ends = attempt.begins + 200ms + RandomTime(1500);
    attempts_.push_back(std::move(attempt));
  }
  std::chrono::milliseconds RandomTime(std::uint64_t below) {
    return std::chrono::milliseconds(ek::RandomBelow(random_, below));
  }

  void Advance() {
    std::vector<std::size_t> crashing;
    for (Attempt& attempt : attempts_) {
      if (now_ < attempt.begins) continue;
      if (attempt.request.is_bad) {
        crashing.push_back(attempt.endpoint);
      } else if (attempt.begins + kStep > now_) {
        ++sound_begun_;
      } else if (!attempt.is_proven &&
                 now_ >= attempt.begins + er::kMinProvenAnswerTime) {
        attempt.is_proven = true;
        for (const std::uint64_t key : KeysOf(attempt.request)) {
          if (er::KindOf(key) == er::SuspectKind::kPart)
            er::OnRequestRan(nodes_[attempt.node], key, now_);
        }
      }
    }
    for (const std::size_t endpoint : crashing) {
      if (endpoints_[endpoint].up_from > now_) continue;
      crashes_.push_back(now_);
      Crash(endpoint);
    }
    EndAttempts();
  }
  void EndAttempts() {
    for (const Attempt& attempt : attempts_) {
      if (now_ < attempt.ends) continue;
      for (const std::uint64_t key : KeysOf(attempt.request))
        er::OnRequestRan(nodes_[attempt.node], key, now_);
    }
    std::erase_if(attempts_,
                  [this](const Attempt& a) { return now_ >= a.ends; });
  }
  void Crash(std::size_t endpoint) {
    std::vector<Attempt> broken;
    std::erase_if(attempts_, [&](const Attempt& attempt) {
      if (attempt.endpoint != endpoint) return false;
      broken.push_back(attempt);
      return true;
    });
    const std::uint64_t process = endpoints_[endpoint].process;
    endpoints_[endpoint] = {++processes_, now_ + kTimeToRestart};
    for (const Attempt& attempt : broken) {
      for (const std::uint64_t key : KeysOf(attempt.request)) {
        if (attempt.is_proven && er::KindOf(key) == er::SuspectKind::kPart)
          continue;
        er::OnConnectionBroke(
            nodes_[attempt.node], key,
            {process, attempt.sent, now_, true,
             static_cast<std::uint32_t>(attempt.request.body)});
      }
    }
    for (const Attempt& attempt : broken) {
      if (attempt.request.attempts_left > 0)
        Send(attempt.node, attempt.request);
    }
  }

  void Exchange() {
    for (std::size_t i = 0; i < nodes_.size(); ++i) {
      const std::size_t peer = RandomNode();
      if (peer == i) continue;
      Tell(i, peer);
      Tell(peer, i);
    }
    for (er::Suspects& suspects : nodes_) er::ForgetSuspects(suspects, now_);
  }
  void Tell(std::size_t from, std::size_t to) {
    for (const er::SuspectGossip& gossip :
         er::MakeSuspectGossip(nodes_[from], er::SuspectScope::kNews, now_)) {
      er::ApplySuspectGossip(nodes_[to], gossip, now_ + kMessageTime);
    }
  }

  std::vector<er::Suspects> nodes_;
  std::vector<Endpoint> endpoints_;
  std::vector<Attempt> attempts_;
  std::vector<er::Time> crashes_;
  std::vector<er::Time> bad_sent_;
  er::FleetSnapshot fleet_;
  std::uint64_t processes_ = 0;
  std::uint64_t bodies_ = 0;
  std::size_t sound_sent_ = 0;
  std::size_t sound_begun_ = 0;
  std::size_t sound_refused_ = 0;
  double sound_due_ = 0;
  double bad_due_ = 0;
  er::Time now_ = kStart;
  ek::Random random_;
};

void Check(const Fleet& fleet) {
  const std::string text = std::to_string(fleet.crashes()) + " crashes, " +
                           std::to_string(fleet.late()) + " late, sound " +
                           std::to_string(fleet.sound_share()) + ", refused " +
                           std::to_string(fleet.sound_refused());
  CHECK_TEXT(fleet.late() <= kLateAllowed, text.c_str());
  CHECK_TEXT(fleet.sound_share() >= 0.5, text.c_str());
}

// Plays a calm time, then one with bad requests, of which sound ones are judged
// later than `kTimeToHold` twice after it began.
void Play(Fleet& fleet, double bad_per_second, double sound_per_second = 20) {
  fleet.load.sound_per_second = sound_per_second;
  fleet.Run(3s);
  fleet.load.bad_per_second = bad_per_second;
  fleet.Run(8s);
  fleet.CountSound();
  fleet.Run(20s);
  Check(fleet);
}

}  // namespace

TEST_GROUP(SuspectsParts){};

// Guards against a part that is told apart in small fleets only, where each
// node sees most crashes itself.
TEST(SuspectsParts, OnePartInFleetsOfAnySize) {
  for (const std::uint64_t seed : {1U, 2U, 3U}) {
    Fleet few(3, 8, seed);
    Play(few, 7);
    Fleet some(7, 15, seed);
    Play(some, 7);
    Fleet many(85, 112, seed);
    Play(many, 20, 200);
  }
  Fleet planned(390, 200, 1);
  Play(planned, 20, 600);
}

// Guards against requests that come so seldom that each crash seems an
// accident.
TEST(SuspectsParts, OneRequestEachOneAndAHalfSeconds) {
  for (const std::uint64_t seed : {1U, 2U, 3U}) {
    Fleet fleet(7, 15, seed);
    Play(fleet, 0.7);
  }
}

// Guards against all endpoints that crash side by side before any node knows.
TEST(SuspectsParts, TenRequestsAtOnce) {
  for (const std::uint64_t seed : {1U, 2U, 3U}) {
    Fleet fleet(7, 12, seed);
    fleet.Run(3s);
    for (int wave = 0; wave < 6; ++wave) {
      for (int i = 0; i < 10; ++i) fleet.SendBad();
      fleet.Run(3500ms);
      if (wave == 2) fleet.CountSound();
    }
    Check(fleet);
  }
}

// Guards against a second part that the first one explains away.
TEST(SuspectsParts, TwoPartsAtOnce) {
  for (const std::uint64_t seed : {1U, 2U, 3U}) {
    Fleet fleet(7, 15, seed);
    fleet.load.bad_parts = {kBadPart, kBadPart + 1};
    fleet.load.sound_per_second = 20;
    fleet.Run(3s);
    fleet.load.bad_per_second = 7;
    fleet.Run(8s);
    fleet.CountSound();
    fleet.Run(20s);
    // Each part has its own five crashes and late requests.
    CHECK(fleet.late() <= 2 * kLateAllowed);
    CHECK(fleet.sound_share() >= 0.5);
  }
}

// Guards against a part that stands where shared ones stand that are sound.
TEST(SuspectsParts, TheFirstPart) {
  for (const std::uint64_t seed : {1U, 2U, 3U}) {
    Fleet fleet(7, 15, seed);
    fleet.load.is_bad_part_first = true;
    Play(fleet, 7);
  }
}

// Guards against sound parts that nobody knows to have succeeded yet, so that
// they look like the one that crashes endpoints.
TEST(SuspectsParts, FromTheStartOfAllNodesOn) {
  for (const std::uint64_t seed : {1U, 2U, 3U}) {
    Fleet fleet(7, 15, seed);
    fleet.load.bad_per_second = 7;
    fleet.Run(8s);
    fleet.CountSound();
    fleet.Run(20s);
    Check(fleet);
  }
}

// Guards against nodes that start and forget what is held back.
TEST(SuspectsParts, NodesThatStartOneAfterTheOther) {
  for (const std::uint64_t seed : {1U, 2U, 3U}) {
    Fleet fleet(7, 15, seed);
    fleet.Run(3s);
    fleet.load.bad_per_second = 7;
    fleet.Run(3s);
    for (std::size_t node = 0; node < 7; ++node) {
      fleet.Restart(node);
      fleet.Run(2s);
      if (node == 2) fleet.CountSound();
    }
    Check(fleet);
  }
}

// Guards against sound parts that are held back since endpoints lose power one
// after the other.
TEST(SuspectsParts, NothingIsHeldWhenEndpointsLosePower) {
  for (std::uint64_t seed = 1; seed <= 20; ++seed) {
    Fleet fleet(7, 15, seed);
    fleet.load.sound_per_second = 60;
    fleet.Run(3s);
    fleet.CountSound();
    for (std::size_t i = 0; i < 30; ++i) {
      fleet.LosePower(i % 15);
      fleet.Run(500ms);
    }
    const std::string text = std::to_string(fleet.sound_refused());
    CHECK_TEXT(fleet.sound_refused() == 0, text.c_str());
  }
}

// Guards against onlookers, tried again in a service that falls, that are taken
// for the requests that crash it.
TEST(SuspectsParts, OnlookersAreServed) {
  Fleet fleet(7, 15);
  fleet.load.sound_per_second = 100;
  fleet.Run(3s);
  fleet.load.bad_per_second = 7;
  fleet.Run(3s);
  fleet.CountSound();
  fleet.Run(10s);
  CHECK(fleet.sound_share() >= 0.9);
}
