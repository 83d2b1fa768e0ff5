// A fleet of nodes that place requests at brittle endpoints of one service, on
// a paused clock and without a network.
#pragma once

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <deque>
#include <string>
#include <vector>

#include "egretladder/routing/placement.h"
#include "harness_fleet.h"

namespace egretladder::routing::test {

/// Size and load of a fleet. The service is in its brittle time from the
/// beginning.
struct BrittleLayout {
  std::size_t nodes = 7;
  std::size_t endpoints = 12;
  std::uint32_t slots = 16;
  std::uint32_t tolerance = 3;           ///< Refusals a second without a fall.
  double requests_per_second = 0;        ///< Of all callers.
  std::chrono::milliseconds work{1300};  ///< Mean duration of a request.
  std::uint64_t seed = 1;
  /// What a message between a node and an endpoint takes; 5 ms at least.
  std::chrono::milliseconds way{5};
};

/// What callers and endpoints saw.
struct BrittleTally {
  std::size_t falls = 0;
  std::size_t refusals = 0;  ///< Requests that endpoints turned away.
  std::size_t served = 0;
  std::size_t sent = 0;  ///< Requests of callers.
};

/// The fleet. A message between nodes takes no time.
class BrittleFleet {
 public:
  explicit BrittleFleet(const BrittleLayout& layout);

  void Run(std::chrono::milliseconds time);
  /// What each endpoint takes from now on, running or waiting.
  void SetRoom(std::uint32_t room) { room_ = room; }
  /// Starts so many of the nodes anew at once.
  void RestartNodes(std::size_t count);
  /// Lets so many of the nodes, from the first one on, stand still. What comes
  /// meanwhile waits for them.
  void FreezeNodes(std::size_t first, std::size_t count);
  void ThawNodes();
  /// Puts every other node into another part of the network.
  void Split();
  void Heal();
  /// Begins a new tally.
  BrittleTally TakeTally();
  /// Falls that are allowed in a brittle time.
  std::size_t allowed_falls() const { return 2 + endpoints_.size() / 10; }

 private:
  // A request of a caller that waits at a node.
  struct Waiting {
    Time arrived{};
    std::vector<EndpointPtr> tried;
    bool is_handed_over = false;
  };
  struct Node {
    EndpointSet set;
    std::vector<Waiting> waiting;
    std::size_t life = 0;  // Rises with each start.
    Time serves_from{};
    bool is_frozen = false;
  };
  // What an attempt's next message says.
  enum class MessageKind : std::uint8_t {
    kRequest,
    kRefusal,
    kFirstEvent,
    kEnd,
    kReset,
  };
  // A request on its way to an endpoint, or there.
  struct Attempt {
    std::size_t node = 0;
    std::size_t life = 0;
    std::size_t endpoint = 0;
    std::uint64_t number = 0;
    Waiting request;
    Placement placement;
    Time sent_at{};
    Time due{};  // When its work ends.
  };
  struct Message {
    MessageKind kind = MessageKind::kRequest;
    Attempt attempt;
    Time due{};
  };
  struct EndpointModel {
    std::vector<Attempt> runs;
    std::deque<Time> refusals;  // Of the last second.
    Time up_from{};
  };

  void Step();
  void ExchangeNews(std::size_t node);
  void Receive(std::size_t node, Waiting request);
  void DispatchWaiting(std::size_t node);
  bool TryDispatch(std::size_t node, const Waiting& request);
  bool TryHandOver(std::size_t node, const Waiting& request,
                   const Placement& placement);
  void Send(MessageKind kind, const Attempt& attempt);
  void DeliverMessages();
  void Deliver(const Message& message);
  void Arrive(Attempt attempt);
  void Refuse(Attempt attempt);
  void Fall(EndpointModel& endpoint);
  void EndRuns(EndpointModel& endpoint);
  void OnRefused(const Attempt& attempt);
  void OnFirstEvent(const Attempt& attempt);
  void OnAnswered(const Attempt& attempt);
  void OnBroken(const Attempt& attempt);
  bool IsCurrent(const Attempt& attempt) const;
  Endpoint& EndpointOf(const Attempt& attempt);
  const FleetSnapshot& SnapshotOf(std::size_t node);

  BrittleLayout layout_;
  Service service_;
  SimulatedFleet fleet_;
  std::vector<Node> nodes_;
  std::vector<EndpointModel> endpoints_;
  std::vector<Message> messages_;  // On their way.
  std::uint32_t room_ = 0;
  std::uint64_t last_attempt_ = 0;
  std::size_t lives_ = 0;
  double load_ = 0;
  std::size_t steps_ = 0;
  BrittleTally tally_;
  Time now_{};
  kernel::Random random_;
};

}  // namespace egretladder::routing::test
