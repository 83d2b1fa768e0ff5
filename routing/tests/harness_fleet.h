// A fleet of nodes that gossip on a paused clock, without a network.
#pragma once

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <string>
#include <unordered_map>
#include <vector>

#include "egretladder/routing/member_gossip.h"
#include "egretladder/routing/member_suspicion.h"
#include "egretladder/routing/members.h"

namespace egretladder::routing::test {

/// What one node did so far.
struct NodeTraffic {
  std::uint64_t exchanges_received = 0;
  std::uint64_t bytes_sent = 0;  ///< Of exchanges, in both directions.
};

/// What becomes of a connection to a node.
enum class NodeStatus : std::uint8_t {
  kRunning,
  kStopped,    ///< Its process has ended: the host refuses connections.
  kPowerless,  ///< It neither answers nor refuses connections.
};

/// Nodes that all start at the same moment, spread over availability zones.
class SimulatedFleet {
 public:
  struct Layout {
    std::size_t nodes = 7;
    std::size_t seeds = 2;
    std::size_t zones = 1;
    bool know_each_other = false;  ///< Otherwise they know seeds only.
  };
  explicit SimulatedFleet(const Layout& layout);

  /// Lets all nodes take their turns for `time`.
  void Run(std::chrono::milliseconds time);
  /// Advances the clock while no message passes.
  void AdvanceClock(std::chrono::milliseconds time) { now_ += time; }

  /// Ends the process of a node.
  void Stop(std::size_t node) { status_[node] = NodeStatus::kStopped; }
  void LosePower(std::size_t node) { status_[node] = NodeStatus::kPowerless; }
  /// Lets a process go on that stood still.
  void Resume(std::size_t node) { status_[node] = NodeStatus::kRunning; }
  /// Starts a process at the node that knows nothing.
  void Restart(std::size_t node, std::uint64_t incarnation);
  /// Nodes of different parts don't reach each other.
  void SetPart(std::size_t node, int part) { parts_[node] = part; }

  std::size_t size() const { return nodes_.size(); }
  bool IsRunning(std::size_t node) const {
    return status_[node] == NodeStatus::kRunning;
  }
  Members& node(std::size_t node) { return nodes_[node]; }
  Time now() const { return now_; }
  kernel::Random& random() { return random_; }

  /// Returns whether messages pass between two running nodes.
  bool AreInTouch(std::size_t from, std::size_t to) const {
    return IsRunning(from) && Reaches(from, to);
  }
  /// Returns whether `node` takes `other` for available.
  bool TakesForAvailable(std::size_t node, std::size_t other) const;
  /// Returns how many other nodes the node takes for available.
  std::size_t CountAvailable(std::size_t node) const;
  /// Returns the lowest of these numbers over all running nodes.
  std::size_t LowestAvailable() const;
  /// Returns how many pairs of a running node and one that isn't there are in
  /// which the first takes the second for available.
  std::size_t CountGoneTakenForAvailable() const;
  std::vector<std::string> Directory(std::size_t node);
  /// Returns the nodes that read the store for all.
  std::vector<std::size_t> Readers() const;

  void ResetTraffic();
  const NodeTraffic& traffic(std::size_t node) const { return traffic_[node]; }
  /// Returns the mean of the bytes that nodes sent since the reset.
  double MeanBytesSent() const;

 private:
  // An exchange that the other node doesn't answer.
  struct Unanswered {
    std::size_t to = 0;
    std::string address;
    Time began_at{};
    bool is_reported = false;
  };

  void MakeAllKnown();
  void TakeTurn(std::size_t node);
  std::size_t CountStalled(std::size_t node) const;
  void Connect(std::size_t from, const std::string& address);
  void Exchange(std::size_t from, std::size_t to);
  void ReportUnanswered(std::size_t node);
  void SendReaderHeartbeats();
  bool Reaches(std::size_t from, std::size_t to) const;

  std::vector<Members> nodes_;
  std::vector<std::string> seeds_;
  std::vector<NodeStatus> status_;
  std::vector<int> parts_;
  std::vector<NodeTraffic> traffic_;
  std::vector<std::vector<Unanswered>> unanswered_;  // By node.
  std::unordered_map<std::string, std::size_t> by_address_;
  std::size_t steps_ = 0;
  Time now_{std::chrono::hours(1)};
  kernel::Random random_{3};
};

/// Returns the record of a node in a zone.
Member MakeMember(const std::string& name, const std::string& zone = "a",
                  std::uint64_t incarnation = 10);

}  // namespace egretladder::routing::test
