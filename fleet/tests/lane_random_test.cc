#include <CppUTest/TestHarness.h>

#include <chrono>
#include <deque>
#include <map>
#include <set>
#include <string>
#include <variant>
#include <vector>

#include "egretladder/fleet/lane.h"
#include "egretladder/kernel/hash.h"

using namespace std::chrono_literals;
namespace ef = egretladder::fleet;
namespace ek = egretladder::kernel;

namespace {

/// One attempt of a call: a copy on its way, or what its node does with it.
struct Copy {
  std::string lane;
  std::string key;
  std::uint32_t node = 0;  ///< Where the caller sent it.
  ek::Time arrives{};
};
struct Attempt {
  ef::Lane lane;
  std::string key;
  ek::Time sends{};  ///< The process may stand still until then.
  bool sent = false;
};

/// Three nodes with lanes, and callers that send each call several times, to
/// any node, at once, late, or after a day.
class LaneWorld {
 public:
  explicit LaneWorld(std::uint64_t seed) : random_(seed) {
    for (std::uint32_t i = 0; i < 3; ++i) Restart(i);
  }

  void Run(int steps) {
    for (int i = 0; i < steps; ++i) Step();
  }

  std::string fault;

 private:
  struct Node {
    ef::LanesPtr lanes;
    std::vector<Attempt> attempts;
    std::chrono::nanoseconds clock_shift{};
  };

  std::uint64_t Draw(std::uint64_t bound) {
    return ek::RandomBelow(random_, bound);
  }
  ek::Time LocalNow(const Node& node) const { return now_ + node.clock_shift; }

  void Restart(std::uint32_t i) {
    ++incarnations_;
    nodes_[i].lanes = ef::StartLanes("n" + std::to_string(i), incarnations_,
                                     "s" + std::to_string(incarnations_),
                                     LocalNow(nodes_[i]));
    nodes_[i].attempts.clear();
  }

  void Step() {
    now_ += std::chrono::milliseconds(Draw(20'000));
    const auto i = static_cast<std::uint32_t>(Draw(3));
    switch (Draw(40)) {
      case 0:
        Restart(i);
        break;
      case 1:
        now_ += std::chrono::minutes(Draw(15));
        break;
      case 2:
        now_ += 24h;
        break;
      case 3:
        nodes_[i].clock_shift += std::chrono::seconds(Draw(3600));
        break;
      case 4:
        nodes_[i].clock_shift -= std::chrono::seconds(Draw(3600));
        break;
      default:
        break;
    }
    if (Draw(2) == 0) NewCall(i);
    Arrive();
    for (Node& node : nodes_) {
      SendDue(node);
      ef::SweepLanes(*node.lanes, LocalNow(node));
    }
  }

  void NewCall(std::uint32_t issuer) {
    Node& node = nodes_[issuer];
    const std::string lane =
        ef::Encode(ef::IssueLane(*node.lanes, LocalNow(node)));
    const std::string key = "k" + std::to_string(++keys_);
    for (std::uint64_t i = 0; i <= Draw(4); ++i) {
      const auto late = Draw(8) == 0 ? std::chrono::hours(24)
                                     : std::chrono::seconds(Draw(900));
      copies_.push_back(
          {lane, key, static_cast<std::uint32_t>(Draw(3)), now_ + late});
    }
  }

  void Arrive() {
    std::deque<Copy> later;
    for (const Copy& copy : copies_) {
      if (copy.arrives > now_) {
        later.push_back(copy);
      } else {
        Take(copy);
      }
    }
    copies_ = later;
  }

  /// Any node passes the call to its lane's owner, unless that can't be
  /// reached.
  void Take(const Copy& copy) {
    const ef::Lane lane = ef::DecodeLane(copy.lane).value();
    for (std::uint32_t i = 0; i < 3; ++i) {
      Node& node = nodes_[i];
      if (!ef::OwnsLane(*node.lanes, lane)) continue;
      if (i != copy.node && Draw(4) == 0) return;  // Cut: "unknown".
      Begin(node, lane, copy.key);
      return;
    }
  }

  void Begin(Node& node, const ef::Lane& lane, const std::string& key) {
    const auto decision =
        ef::BeginCall(*node.lanes, lane, key, 1, 1, LocalNow(node));
    if (std::holds_alternative<ef::RunCall>(decision)) {
      const auto pause = Draw(4) == 0 ? std::chrono::seconds(Draw(1200))
                                      : std::chrono::seconds(0);
      node.attempts.push_back({lane, key, now_ + pause, false});
    } else if (const auto* repeat = std::get_if<ef::RepeatAnswer>(&decision)) {
      if (repeat->answer->body != "answer of " + key) fault = "wrong answer";
    } else if (const auto* refusal = std::get_if<ef::RefuseCall>(&decision)) {
      if (refusal->not_run) SayNotRun(key);
    }
  }

  void SayNotRun(const std::string& key) {
    said_not_run_.insert(key);
    if (runs_[key] > 0) fault = key + " ran, and was said not to have";
  }

  /// Sends what is due, right after a pause or not, and ends some of it.
  void SendDue(Node& node) {
    std::erase_if(node.attempts, [&](Attempt& attempt) {
      if (attempt.sends > now_) return false;
      return attempt.sent ? End(node, attempt) : Send(node, attempt);
    });
  }

  bool Send(Node& node, Attempt& attempt) {
    const auto now = LocalNow(node);
    if (!ef::MaySend(*node.lanes, attempt.lane, attempt.key, now) ||
        Draw(8) == 0) {
      // Too late, or the endpoint refused the connection.
      ef::MarkNotRun(*node.lanes, attempt.lane, attempt.key, now);
      SayNotRun(attempt.key);
      return true;
    }
    if (++runs_[attempt.key] > 1) fault = attempt.key + " ran twice";
    if (said_not_run_.contains(attempt.key)) {
      fault = attempt.key + " ran after it was said not to";
    }
    attempt.sent = true;
    attempt.sends = now_ + std::chrono::seconds(Draw(120));
    return false;
  }

  bool End(Node& node, const Attempt& attempt) {
    const auto now = LocalNow(node);
    if (Draw(5) == 0) {
      ef::MarkOutcomeUnknown(*node.lanes, attempt.lane, attempt.key, now);
    } else {
      ef::FinishCall(*node.lanes, attempt.lane, attempt.key,
                     {200, "", "answer of " + attempt.key}, now);
    }
    return true;
  }

  ek::Random random_;
  ek::Time now_{1h};
  Node nodes_[3];
  std::deque<Copy> copies_;
  std::map<std::string, int> runs_;
  std::set<std::string> said_not_run_;
  std::uint64_t incarnations_ = 0;
  std::uint64_t keys_ = 0;
};

}  // namespace

TEST_GROUP(LaneRandom){};

// Callers send each payment up to five times, to any node, at once or a day
// later, while nodes restart, stand still between the check and the sending,
// and have their clocks moved. Nobody is charged twice, and whoever hears "not
// run" was not charged.
TEST(LaneRandom, NoKeyRunsTwiceAndNotRunIsTrue) {
  for (std::uint64_t seed = 1; seed <= 300; ++seed) {
    LaneWorld world(seed);
    world.Run(200);
    const std::string what =
        "seed " + std::to_string(seed) + ": " + world.fault;
    CHECK_TRUE_TEXT(world.fault.empty(), what.c_str());
  }
}
