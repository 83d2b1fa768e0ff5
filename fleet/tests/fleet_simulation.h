// A deterministic simulation of several fleet nodes in one process on a
// simulated clock. The simulated network delays, drops, duplicates, reorders
// and blocks messages. A fake platform serves the rules and the VM list, and
// fake endpoints run the calls that the nodes' slots allow.
#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "egretladder/fleet/fleet.h"
#include "egretladder/kernel/hash.h"
#include "egretladder/kernel/time.h"

namespace egretladder::fleet::testing {

struct NetworkFaults {
  double drop_probability = 0;
  double duplicate_probability = 0;
  std::chrono::milliseconds max_delay{3};
};

struct FakeCall {
  std::string endpoint;
  std::uint64_t boot = 0;
  Time ends_at{};
};

struct FakeNode {
  FleetPtr fleet;
  FleetOptions options;
  bool up = false;
  Time paused_until{};
  double clock_rate = 1;
  bool platform_unreachable = false;
  std::vector<FakeCall> calls;
  std::vector<std::function<void()>> inbox;  ///< Held during a pause.
  std::map<std::string, std::uint32_t> slots;
  std::map<std::string, bool> available;
  std::vector<std::uint64_t> versions_in_force;  ///< Of this process, in order.
  std::set<std::uint64_t> quarantined;
  std::uint32_t refused_documents = 0;
};

struct FakeEndpoint {
  bool up = true;
  std::uint64_t boot = 1;
  std::uint32_t cold_max_in_flight = 2;
  std::uint32_t max_in_flight = 16;
  std::uint32_t answers_since_start = 0;  ///< Resets on a restart.
  std::uint32_t running = 0;
  std::vector<std::string> loaded;
  bool is_service = false;
  std::uint32_t max_running_while_cold = 0;  ///< Peak while cold.
  Time last_start{};                         ///< When a call last started.
};

struct FakeOrder {
  std::string node;
  std::string endpoint;
  OrderKind kind = OrderKind::kLoad;
  std::string model;
};

/// The parts of the rules that tests vary.
struct FakeRules {
  std::uint64_t version = 1;
  std::uint32_t nodes = 7;
  std::uint32_t endpoints = 4;
  std::uint32_t copies = 2;
  std::uint32_t cold_max_in_flight = 2;
  std::set<std::string> zones_out;
  std::set<std::string> leaving;  ///< Endpoints and nodes.
};
/// Returns the rules document (INI text) for `rules`.
std::string MakeRulesDocument(const FakeRules& rules);
/// Returns the zone of node `i` and of endpoint `i`; there are three zones.
std::string ZoneOf(std::uint32_t i);

/// Runs the nodes, network, platform and endpoints of one simulated fleet. All
/// random choices follow from the seed.
class FleetSimulation {
 public:
  explicit FleetSimulation(std::uint64_t seed, const FakeRules& rules = {});

  /// Makes the platform serve `rules` from now on.
  void Publish(const FakeRules& rules);
  void StartNode(const std::string& name, bool with_seeds = false);
  void StartAll();
  void Crash(const std::string& name);
  void Pause(const std::string& name, std::chrono::milliseconds duration);
  /// Blocks messages between the nodes in `side` and all others, both ways.
  void Partition(const std::set<std::string>& side);
  void BlockOneWay(const std::string& from, const std::string& to);
  void HealNetwork();  ///< Unblocks all links.
  void StopEndpoint(const std::string& name);
  void StartEndpoint(const std::string& name);
  /// Crashes `endpoint` while it runs a request with the fingerprint `body` for
  /// `node`.
  void CrashByRequestBody(const std::string& node, const std::string& endpoint,
                          std::uint64_t body);
  void MakeNodeLeave(const std::string& name);
  void RunFor(std::chrono::milliseconds duration);

  /// True if all running nodes have `version` in force.
  bool IsInForceEverywhere(std::uint64_t version) const;
  /// Returns the slots of `endpoint` that are usable now, summed over all
  /// nodes.
  std::uint32_t TotalUsableSlots(const std::string& endpoint) const;
  std::uint32_t UsableSlotsAt(const FakeNode& node,
                              const std::string& endpoint) const;
  /// Returns how many endpoints each running node is the keeper of, summed over
  /// the nodes.
  std::uint32_t KeptEndpointCount() const;
  /// Returns the time by the node's own clock, which runs at `clock_rate`.
  Time LocalNow(const FakeNode& node) const;

  Time now{std::chrono::hours(1)};
  kernel::Random random;
  NetworkFaults faults;
  /// Probability in each step that a free slot gets a call.
  double start_probability = 1;
  std::chrono::milliseconds max_call_duration{4000};
  std::map<std::string, FakeNode> nodes;
  std::map<std::string, FakeEndpoint> endpoints;
  std::vector<VmEntry> vms;
  bool platform_down = false;
  std::uint64_t stale_version = 0;  ///< Served if not 0.
  std::uint64_t platform_calls = 0;
  std::uint64_t messages_sent = 0;
  std::vector<FakeOrder> orders;
  std::vector<std::string> violations;  ///< Messages of failed invariants.

 private:
  void Step();
  void ApplyActions(const std::string& name, Actions& actions);
  void ScheduleDelivery(const std::string& name,
                        std::chrono::milliseconds delay,
                        std::function<void()> event);
  void Send(const std::string& from, const SendMessage& send);
  void ServeRulesDocument(const std::string& name,
                          const ReadRulesDocument& read);
  void ServeReport(const std::string& name, const ReadReport& read);
  void CompleteWatches();
  void UpdateCalls(const std::string& name, FakeNode& node);
  void StartCalls(const std::string& name, FakeNode& node);
  void CheckInvariants();
  const std::string* ServedDocument() const;

  struct Watch {
    std::string node;
    std::uint64_t incarnation = 0;
    std::uint64_t known_version = 0;
    Time expires_at{};
  };
  std::multimap<Time, std::function<void()>> events_;
  std::map<std::string, std::string> node_by_peer_address_;
  std::set<std::pair<std::string, std::string>> blocked_links_;
  std::map<std::uint64_t, std::string> documents_;
  std::vector<Watch> watches_;
  std::uint64_t started_processes_ = 0;
};

}  // namespace egretladder::fleet::testing
