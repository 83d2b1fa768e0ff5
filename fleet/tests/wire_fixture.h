// Several fleets in one process on one paused clock, joined by a small fake
// wire that delays, drops, doubles, reorders and cuts, beside a fake platform
// and fake endpoints that run what the nodes' slots let them start.
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

struct WireFaults {
  double drop = 0;
  double twice = 0;
  std::chrono::milliseconds delay_most{3};
};

struct FakeCall {
  std::string endpoint;
  std::uint64_t boot = 0;
  Time ends{};
};

struct FakeNode {
  FleetPtr fleet;
  FleetOptions options;
  bool up = false;
  Time paused_until{};
  double clock_rate = 1;
  bool platform_cut = false;
  std::vector<FakeCall> calls;
  std::vector<std::function<void()>> inbox;  ///< Arrived while paused.
  std::map<std::string, std::uint32_t> slots;
  std::map<std::string, bool> available;
  std::vector<std::uint64_t> versions;  ///< In force, in this process.
  std::set<std::uint64_t> quarantined;
  std::uint32_t refused = 0;
};

struct FakeEndpoint {
  bool up = true;
  std::uint64_t boot = 1;
  std::uint32_t cold_max_in_flight = 2;
  std::uint32_t max_in_flight = 16;
  std::uint32_t answers = 0;  ///< Since its start.
  std::uint32_t running = 0;
  std::vector<std::string> loaded;
  bool is_service = false;
  std::uint32_t most_cold = 0;  ///< Most that ran at once while cold.
  Time last_start{};            ///< Of new work.
};

struct FakeOrder {
  std::string node;
  std::string endpoint;
  OrderKind kind = OrderKind::kLoad;
  std::string model;
};

/// What a test says about the fleet's rules; `Document` writes it out.
struct FakeRules {
  std::uint64_t version = 1;
  std::uint32_t nodes = 7;
  std::uint32_t endpoints = 4;
  std::uint32_t copies = 2;
  std::uint32_t cold_max_in_flight = 2;
  std::set<std::string> zones_out;
  std::set<std::string> leaving;  ///< Endpoints and nodes.
};
std::string Document(const FakeRules& rules);
/// Node and endpoint `i` are in zone `i % 3`.
std::string ZoneOf(std::uint32_t i);

class World {
 public:
  explicit World(std::uint64_t seed, const FakeRules& rules = {});

  /// Publishes: the platform serves it from now on.
  void Publish(const FakeRules& rules);
  void StartNode(const std::string& name, bool with_seeds = false);
  void StartAll();
  void Crash(const std::string& name);
  void Pause(const std::string& name, std::chrono::milliseconds span);
  void CutOff(const std::set<std::string>& side);  ///< From all others.
  void CutOneWay(const std::string& from, const std::string& to);
  void Heal();
  void StopEndpoint(const std::string& name);
  void StartEndpoint(const std::string& name);
  /// The body crashes an endpoint that runs it, seen by `node`.
  void Poison(const std::string& node, const std::string& endpoint,
              std::uint64_t body);
  void LeaveNode(const std::string& name);
  void Run(std::chrono::milliseconds span);

  /// True when all running nodes have `version` in force.
  bool AllHave(std::uint64_t version) const;
  /// Sum over nodes of the slots usable now.
  std::uint32_t SlotsOf(const std::string& endpoint) const;
  std::uint32_t Usable(const FakeNode& node, const std::string& endpoint) const;
  std::uint32_t KeepersOf() const;  ///< Endpoints kept, summed over nodes.
  Time LocalNow(const FakeNode& node) const;

  Time now{std::chrono::hours(1)};
  kernel::Random random;
  WireFaults faults;
  double demand = 1;  ///< Chance in each step to fill a free slot.
  std::chrono::milliseconds call_most{4000};
  std::map<std::string, FakeNode> nodes;
  std::map<std::string, FakeEndpoint> endpoints;
  std::vector<VmEntry> vms;
  bool platform_down = false;
  std::uint64_t stale_version = 0;  ///< Served in place of the newest.
  std::uint64_t platform_calls = 0;
  std::uint64_t messages = 0;
  std::vector<FakeOrder> orders;
  std::vector<std::string> broken;  ///< Invariants, in words.

 private:
  void Step();
  void Apply(const std::string& name, Actions& actions);
  void Deliver(const std::string& name, std::chrono::milliseconds after,
               std::function<void()> event);
  void Send(const std::string& from, const SendMessage& send);
  void AnswerRules(const std::string& name, const ReadRulesDocument& read);
  void AnswerReport(const std::string& name, const ReadReport& read);
  void WakeWatches();
  void RunCalls(const std::string& name, FakeNode& node);
  void FillSlots(const std::string& name, FakeNode& node);
  void Check();
  const std::string* Served() const;

  struct Watch {
    std::string node;
    std::uint64_t incarnation = 0;
    std::uint64_t above = 0;
    Time until{};
  };
  std::multimap<Time, std::function<void()>> events_;
  std::map<std::string, std::string> by_address_;
  std::set<std::pair<std::string, std::string>> cut_;
  std::map<std::uint64_t, std::string> documents_;
  std::vector<Watch> watches_;
  std::uint64_t incarnations_ = 0;
};

}  // namespace egretladder::fleet::testing
