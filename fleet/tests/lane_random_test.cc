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

/// One copy of a caller's request on its way to a node.
struct RequestCopy {
  std::string lane;
  std::string key;
  std::uint32_t node = 0;  ///< Index of the node that the caller sends to.
  ek::Time arrives_at{};
};
/// A call that the owner of its lane runs.
struct Attempt {
  ef::Lane lane;
  std::string key;
  ek::Time due{};  ///< When it is sent or, once sent, ends.
  bool sent = false;
};

/// Simulates three nodes with lanes, and callers that send each request several
/// times to random nodes: immediately, late, or after a day.
class LaneSimulation {
 public:
  explicit LaneSimulation(std::uint64_t seed) : random_(seed) {
    for (std::uint32_t i = 0; i < 3; ++i) Restart(i);
  }

  void Run(int steps) {
    for (int i = 0; i < steps; ++i) Step();
  }

  std::string violation;

 private:
  struct Node {
    ef::LanesPtr lanes;
    std::vector<Attempt> attempts;
    std::chrono::nanoseconds clock_offset{};
  };

  /// Returns a random number below `bound`.
  std::uint64_t Draw(std::uint64_t bound) {
    return ek::RandomBelow(random_, bound);
  }
  ek::Time LocalNow(const Node& node) const { return now_ + node.clock_offset; }

  void Restart(std::uint32_t i) {
    ++incarnation_count_;
    nodes_[i].lanes = ef::StartLanes(
        "n" + std::to_string(i), incarnation_count_,
        "s" + std::to_string(incarnation_count_), LocalNow(nodes_[i]));
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
        nodes_[i].clock_offset += std::chrono::seconds(Draw(3600));
        break;
      case 4:
        nodes_[i].clock_offset -= std::chrono::seconds(Draw(3600));
        break;
      default:
        break;
    }
    if (Draw(2) == 0) NewCall(i);
    DeliverDueCopies();
    for (Node& node : nodes_) {
      AdvanceAttempts(node);
      ef::SweepLanes(*node.lanes, LocalNow(node));
    }
  }

  void NewCall(std::uint32_t issuer) {
    Node& node = nodes_[issuer];
    const std::string lane =
        ef::Encode(ef::IssueLane(*node.lanes, LocalNow(node)));
    const std::string key = "k" + std::to_string(++key_count_);
    for (std::uint64_t i = 0; i <= Draw(4); ++i) {
      const auto delay = Draw(8) == 0 ? std::chrono::hours(24)
                                      : std::chrono::seconds(Draw(900));
      copies_.push_back(
          {lane, key, static_cast<std::uint32_t>(Draw(3)), now_ + delay});
    }
  }

  void DeliverDueCopies() {
    std::deque<RequestCopy> pending;
    for (const RequestCopy& copy : copies_) {
      if (copy.arrives_at > now_) {
        pending.push_back(copy);
      } else {
        Route(copy);
      }
    }
    copies_ = pending;
  }

  /// Forwards the request to the owner of its lane, unless the owner is
  /// unreachable.
  void Route(const RequestCopy& copy) {
    const ef::Lane lane = ef::DecodeLane(copy.lane).value();
    for (std::uint32_t i = 0; i < 3; ++i) {
      Node& node = nodes_[i];
      if (!ef::OwnsLane(*node.lanes, lane)) continue;
      if (i != copy.node && Draw(4) == 0) return;  // Outcome unknown.
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
      if (repeat->answer->body != "answer of " + key)
        violation = "wrong answer";
    } else if (const auto* refusal = std::get_if<ef::RefuseCall>(&decision)) {
      if (refusal->not_run) ReportNotRun(key);
    }
  }

  void ReportNotRun(const std::string& key) {
    reported_not_run_.insert(key);
    if (run_counts_[key] > 0)
      violation = key + " ran, but was reported as not run";
  }

  /// Sends the attempts that are due, possibly after a pause of the process,
  /// and ends sent attempts that are due.
  void AdvanceAttempts(Node& node) {
    std::erase_if(node.attempts, [&](Attempt& attempt) {
      if (attempt.due > now_) return false;
      return attempt.sent ? EndAttempt(node, attempt)
                          : SendAttempt(node, attempt);
    });
  }

  bool SendAttempt(Node& node, Attempt& attempt) {
    const auto now = LocalNow(node);
    if (!ef::MaySend(*node.lanes, attempt.lane, attempt.key, now) ||
        Draw(8) == 0) {
      // The lane has expired, or the endpoint refused the connection.
      ef::MarkNotRun(*node.lanes, attempt.lane, attempt.key, now);
      ReportNotRun(attempt.key);
      return true;
    }
    if (++run_counts_[attempt.key] > 1) violation = attempt.key + " ran twice";
    if (reported_not_run_.contains(attempt.key)) {
      violation = attempt.key + " ran after it was reported as not run";
    }
    attempt.sent = true;
    attempt.due = now_ + std::chrono::seconds(Draw(120));
    return false;
  }

  bool EndAttempt(Node& node, const Attempt& attempt) {
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
  std::deque<RequestCopy> copies_;
  std::map<std::string, int> run_counts_;
  std::set<std::string> reported_not_run_;
  std::uint64_t incarnation_count_ = 0;
  std::uint64_t key_count_ = 0;
};

}  // namespace

TEST_GROUP(LaneRandom){};

// Callers send each request up to five times to random nodes, immediately or up
// to a day later. Meanwhile nodes restart, pause between recording a call and
// sending it, and have their clocks changed. No request may run twice, and a
// request that was reported as "not run" must not run.
TEST(LaneRandom, NoKeyRunsTwiceOrAfterItWasReportedNotRun) {
  for (std::uint64_t seed = 1; seed <= 300; ++seed) {
    LaneSimulation simulation(seed);
    simulation.Run(200);
    const std::string message =
        "seed " + std::to_string(seed) + ": " + simulation.violation;
    CHECK_TRUE_TEXT(simulation.violation.empty(), message.c_str());
  }
}
