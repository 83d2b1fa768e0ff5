#include "fleet_simulation.h"

#include <CppUTest/TestHarness.h>

#include <algorithm>
#include <utility>

#include "egretladder/fleet/electorate.h"
#include "egretladder/policy/limits.h"

namespace egretladder::fleet::testing {
namespace {

using namespace std::chrono_literals;
using std::chrono::milliseconds;

constexpr milliseconds kStepDuration{50};
constexpr milliseconds kWatchTimeout{10'000};
constexpr Time kClockOrigin{std::chrono::hours(1)};

std::string PeerAddress(std::uint32_t i) {
  return "10.0.1." + std::to_string(i) + ":81";
}

milliseconds RandomDelay(kernel::Random& random, milliseconds max) {
  return milliseconds(
      kernel::RandomBelow(random, static_cast<std::uint64_t>(max.count()) + 1));
}

std::uint32_t RunningCalls(const FakeNode& node, const std::string& endpoint) {
  return static_cast<std::uint32_t>(
      std::count_if(node.calls.begin(), node.calls.end(),
                    [&](const FakeCall& c) { return c.endpoint == endpoint; }));
}

std::string YesNo(bool yes) { return yes ? "yes" : "no"; }

}  // namespace

std::string ZoneOf(std::uint32_t i) { return "z" + std::to_string(i % 3); }

std::string MakeRulesDocument(const FakeRules& rules) {
  std::string text = "[document]\nversion = " + std::to_string(rules.version) +
                     " ; test\n[zone]\n";
  for (std::uint32_t i = 0; i < 3; ++i) {
    const bool out = rules.zones_out.contains(ZoneOf(i));
    text += ZoneOf(i) + " = region=addis out=" + YesNo(out) + " ; test\n";
  }
  text += "[model]\nm = copies=" + std::to_string(rules.copies) +
          " ; test\nn = copies=" + std::to_string(rules.copies) +
          " ; test\n[service]\nseats = ; test\n[class]\nbuyer = tier=1 "
          "first_token=1s between_tokens=50ms max_wait=5s ; test\n"
          "[account]\nabay = classes=buyer ; test\n[endpoint]\n";
  for (std::uint32_t i = 0; i < rules.endpoints; ++i) {
    const std::string name = "e" + std::to_string(i);
    const bool service = i % 4 == 3;
    text += name + " = address=10.0.2." + std::to_string(i) +
            ":80 zone=" + ZoneOf(i) + " serves=" + (service ? "seats" : "m,n") +
            " bears=16 cold_bears=" + std::to_string(rules.cold_max_in_flight) +
            " holds=1 fencing=" + (i % 2 == 0 ? "honoured" : "ignored") +
            " leaving=" + YesNo(rules.leaving.contains(name)) + " ; test\n";
  }
  text += "[node]\n";
  for (std::uint32_t i = 0; i < rules.nodes; ++i) {
    const std::string name = "n" + std::to_string(i);
    text += name + " = callers=10.0.1." + std::to_string(i) +
            ":80 peers=" + PeerAddress(i) + " zone=" + ZoneOf(i) +
            " leaving=" + YesNo(rules.leaving.contains(name)) + " ; test\n";
  }
  return text;
}

FleetSimulation::FleetSimulation(std::uint64_t seed, const FakeRules& rules)
    : random(seed) {
  for (std::uint32_t i = 0; i < rules.nodes; ++i) {
    const std::string name = "n" + std::to_string(i);
    FakeNode& node = nodes[name];
    node.options.node = name;
    node.options.zone = ZoneOf(i);
    node.options.caller_address = "10.0.1." + std::to_string(i) + ":80";
    node.options.peer_address = PeerAddress(i);
    node_by_peer_address_[PeerAddress(i)] = name;
  }
  for (std::uint32_t i = 0; i < rules.endpoints; ++i) {
    FakeEndpoint& endpoint = endpoints["e" + std::to_string(i)];
    endpoint.boot = 1000 + i;
    endpoint.cold_max_in_flight = rules.cold_max_in_flight;
    endpoint.is_service = i % 4 == 3;
  }
  Publish(rules);
}

void FleetSimulation::Publish(const FakeRules& rules) {
  documents_[rules.version] = MakeRulesDocument(rules);
  CompleteWatches();
}

const std::string* FleetSimulation::ServedDocument() const {
  if (stale_version == 0) return &documents_.rbegin()->second;
  const auto found = documents_.find(stale_version);
  return found == documents_.end() ? nullptr : &found->second;
}

Time FleetSimulation::LocalNow(const FakeNode& node) const {
  return kClockOrigin + std::chrono::duration_cast<std::chrono::nanoseconds>(
                            (now - kClockOrigin) * node.clock_rate);
}

void FleetSimulation::StartNode(const std::string& name, bool with_seeds) {
  FakeNode& node = nodes[name];
  node.options.incarnation = 1 + kernel::RandomBelow(random, 1U << 30U);
  node.options.started = 1'000'000 + ++started_processes_;
  node.options.random_seed = random();
  node.options.seeds.clear();
  if (with_seeds) {
    for (const auto& [address, other] : node_by_peer_address_) {
      node.options.seeds.push_back(address);
    }
  }
  node.up = true;
  node.paused_until = {};
  node.inbox.clear();
  node.slots.clear();
  node.available.clear();
  node.versions_in_force.clear();
  node.calls.clear();
  Actions actions;
  node.fleet = StartFleet(node.options, LocalNow(node), actions);
  ApplyActions(name, actions);
}

void FleetSimulation::StartAll() {
  for (auto& [name, node] : nodes) StartNode(name);
}

void FleetSimulation::Crash(const std::string& name) {
  FakeNode& node = nodes[name];
  node.up = false;
  node.fleet.reset();
  for (const FakeCall& call : node.calls) {
    FakeEndpoint& endpoint = endpoints[call.endpoint];
    if (endpoint.boot == call.boot) --endpoint.running;
  }
  node.calls.clear();
}

void FleetSimulation::Pause(const std::string& name, milliseconds duration) {
  nodes[name].paused_until = now + duration;
}

void FleetSimulation::Partition(const std::set<std::string>& side) {
  for (const auto& [from, from_node] : nodes) {
    for (const auto& [to, to_node] : nodes) {
      if (side.contains(from) != side.contains(to))
        blocked_links_.insert({from, to});
    }
  }
}

void FleetSimulation::BlockOneWay(const std::string& from,
                                  const std::string& to) {
  blocked_links_.insert({from, to});
}

void FleetSimulation::HealNetwork() { blocked_links_.clear(); }

void FleetSimulation::StopEndpoint(const std::string& name) {
  FakeEndpoint& endpoint = endpoints[name];
  endpoint.up = false;
  ++endpoint.boot;
  endpoint.running = 0;
}

void FleetSimulation::StartEndpoint(const std::string& name) {
  FakeEndpoint& endpoint = endpoints[name];
  endpoint.up = true;
  endpoint.answers_since_start = 0;
}

void FleetSimulation::CrashByRequestBody(const std::string& node,
                                         const std::string& endpoint,
                                         std::uint64_t body) {
  StopEndpoint(endpoint);
  FakeNode& seen_by = nodes[node];
  const auto handle = FindEndpoint(*RulesOf(*seen_by.fleet), endpoint);
  Actions actions;
  OnEndpointDied(*seen_by.fleet, handle, {body}, LocalNow(seen_by), actions);
  ApplyActions(node, actions);
}

void FleetSimulation::MakeNodeLeave(const std::string& name) {
  FakeNode& node = nodes[name];
  Actions actions;
  Leave(*node.fleet, LocalNow(node), actions);
  ApplyActions(name, actions);
}

void FleetSimulation::ScheduleDelivery(const std::string& name,
                                       milliseconds delay,
                                       std::function<void()> event) {
  const std::uint64_t incarnation = nodes[name].options.incarnation;
  events_.emplace(now + delay,
                  [this, name, incarnation, run = std::move(event)] {
                    FakeNode& node = nodes[name];
                    if (!node.up || node.options.incarnation != incarnation)
                      return;
                    if (now < node.paused_until) {
                      node.inbox.push_back(run);
                    } else {
                      run();
                    }
                  });
}

void FleetSimulation::Send(const std::string& from, const SendMessage& send) {
  const auto to = node_by_peer_address_.find(send.peer_address);
  if (to == node_by_peer_address_.end() ||
      blocked_links_.contains({from, to->second}))
    return;
  ++messages_sent;
  if (kernel::RandomFraction(random) < faults.drop_probability) return;
  const int copies =
      kernel::RandomFraction(random) < faults.duplicate_probability ? 2 : 1;
  const Sender sender{from, nodes[from].options.incarnation};
  for (int i = 0; i < copies; ++i) {
    ScheduleDelivery(to->second, RandomDelay(random, faults.max_delay),
                     [this, name = to->second, sender, message = send.message] {
                       FakeNode& node = nodes[name];
                       Actions actions;
                       OnMessage(*node.fleet, sender, message, LocalNow(node),
                                 actions);
                       ApplyActions(name, actions);
                     });
  }
}

void FleetSimulation::ServeRulesDocument(const std::string& name,
                                         const ReadRulesDocument& read) {
  ++platform_calls;
  FakeNode& node = nodes[name];
  const bool reachable = !platform_down && !node.platform_unreachable;
  const std::string* text = reachable ? ServedDocument() : nullptr;
  const auto served_version =
      stale_version == 0 ? documents_.rbegin()->first : stale_version;
  if (reachable && read.watch && served_version <= read.known_version) {
    watches_.push_back({name, node.options.incarnation, read.known_version,
                        now + kWatchTimeout});
    return;
  }
  const std::string document = text == nullptr ? "" : *text;
  ScheduleDelivery(
      name, 2ms, [this, name, document, succeeded = text != nullptr] {
        FakeNode& reader = nodes[name];
        Actions actions;
        OnRulesDocument(*reader.fleet, succeeded ? &document : nullptr,
                        LocalNow(reader), actions);
        ApplyActions(name, actions);
      });
}

void FleetSimulation::CompleteWatches() {
  std::vector<Watch> pending;
  for (const Watch& watch : std::exchange(watches_, {})) {
    FakeNode& node = nodes[watch.node];
    if (!node.up || node.options.incarnation != watch.incarnation) continue;
    const bool newer = !platform_down && stale_version == 0 &&
                       documents_.rbegin()->first > watch.known_version;
    if (node.platform_unreachable ||
        (!newer && now < watch.expires_at && !platform_down)) {
      pending.push_back(watch);
      continue;
    }
    const std::string text = newer ? documents_.rbegin()->second : "";
    ScheduleDelivery(watch.node, 2ms,
                     [this, name = watch.node, text, down = platform_down] {
                       FakeNode& reader = nodes[name];
                       Actions actions;
                       OnRulesDocument(*reader.fleet, down ? nullptr : &text,
                                       LocalNow(reader), actions);
                       ApplyActions(name, actions);
                     });
  }
  watches_.insert(watches_.end(), pending.begin(), pending.end());
}

void FleetSimulation::ServeReport(const std::string& name,
                                  const ReadReport& read) {
  const auto rules = RulesOf(*nodes[name].fleet);
  const FakeEndpoint endpoint =
      endpoints[rules->endpoints[read.endpoint.idx].source.name];
  policy::EngineReport report;
  report.boot = endpoint.boot;
  report.running = endpoint.running;
  for (const std::string& model : endpoint.loaded) {
    report.loaded.push_back(FindTarget(*rules, model));
  }
  ScheduleDelivery(name, 2ms, [this, name, read, report, up = endpoint.up] {
    FakeNode& node = nodes[name];
    Actions actions;
    OnReport(*node.fleet, read.endpoint, up ? &report : nullptr, LocalNow(node),
             actions);
    ApplyActions(name, actions);
  });
}

void FleetSimulation::ApplyActions(const std::string& name, Actions& actions) {
  FakeNode& node = nodes[name];
  for (const Action& action : actions) {
    if (const auto* send = std::get_if<SendMessage>(&action)) {
      Send(name, *send);
    } else if (const auto* read = std::get_if<ReadRulesDocument>(&action)) {
      ServeRulesDocument(name, *read);
    } else if (const auto* report = std::get_if<ReadReport>(&action)) {
      ServeReport(name, *report);
    } else if (const auto* slot_change = std::get_if<SlotsChanged>(&action)) {
      const auto& row =
          RulesOf(*node.fleet)->endpoints[slot_change->endpoint.idx];
      node.slots[row.source.name] = slot_change->slots;
    } else if (const auto* availability =
                   std::get_if<AvailabilityChanged>(&action)) {
      const auto& row =
          RulesOf(*node.fleet)->endpoints[availability->endpoint.idx];
      node.available[row.source.name] = availability->available;
    } else if (const auto* rules = std::get_if<RulesInForce>(&action)) {
      node.versions_in_force.push_back(rules->rules->version);
    } else if (std::holds_alternative<RulesRefused>(action)) {
      ++node.refused_documents;
    } else if (const auto* body = std::get_if<QuarantineAdded>(&action)) {
      node.quarantined.insert(body->fingerprint);
    } else if (const auto* order = std::get_if<OrderEngine>(&action)) {
      const auto rules_now = RulesOf(*node.fleet);
      orders.push_back(
          {name, rules_now->endpoints[order->endpoint.idx].source.name,
           order->kind, rules_now->targets[order->target.idx].source.name});
    } else if (std::holds_alternative<ReadVmList>(action)) {
      ++platform_calls;
      const bool reachable = !platform_down && !node.platform_unreachable;
      ScheduleDelivery(name, 2ms, [this, name, reachable, list = vms] {
        FakeNode& reader = nodes[name];
        Actions next_actions;
        OnVmList(*reader.fleet, reachable ? &list : nullptr, LocalNow(reader),
                 next_actions);
        ApplyActions(name, next_actions);
      });
    }
  }
  actions.clear();
}

std::uint32_t FleetSimulation::UsableSlotsAt(
    const FakeNode& node, const std::string& endpoint) const {
  if (!node.up || now < node.paused_until) return 0;
  if (!KnowledgeIsFresh(*node.fleet, LocalNow(node))) return 0;
  const auto available = node.available.find(endpoint);
  if (available == node.available.end() || !available->second) return 0;
  const auto slots = node.slots.find(endpoint);
  return slots == node.slots.end() ? 0 : slots->second;
}

std::uint32_t FleetSimulation::TotalUsableSlots(
    const std::string& endpoint) const {
  std::uint32_t sum = 0;
  for (const auto& [name, node] : nodes) sum += UsableSlotsAt(node, endpoint);
  return sum;
}

std::uint32_t FleetSimulation::KeptEndpointCount() const {
  std::uint32_t sum = 0;
  for (const auto& [name, node] : nodes) {
    if (node.up) sum += ViewOf(*node.fleet, LocalNow(node)).keeper_of;
  }
  return sum;
}

bool FleetSimulation::IsInForceEverywhere(std::uint64_t version) const {
  return std::all_of(nodes.begin(), nodes.end(), [&](const auto& entry) {
    const FakeNode& node = entry.second;
    return !node.up || (RulesOf(*node.fleet) != nullptr &&
                        RulesOf(*node.fleet)->version == version);
  });
}

void FleetSimulation::UpdateCalls(const std::string& name, FakeNode& node) {
  std::map<std::string, policy::SlotEvidence> evidence;
  std::map<std::string, bool> died;
  std::erase_if(node.calls, [&](const FakeCall& call) {
    FakeEndpoint& endpoint = endpoints[call.endpoint];
    if (endpoint.boot != call.boot) {
      died[call.endpoint] = true;
      return true;
    }
    if (now < call.ends_at) return false;
    --endpoint.running;
    ++endpoint.answers_since_start;
    ++evidence[call.endpoint].in_time;
    evidence[call.endpoint].boot = endpoint.is_service ? 0 : call.boot;
    return true;
  });
  const auto rules = RulesOf(*node.fleet);
  if (rules == nullptr) return;
  for (const auto& [endpoint, has_died] : died) {
    Actions actions;
    OnEndpointDied(*node.fleet, FindEndpoint(*rules, endpoint), {},
                   LocalNow(node), actions);
    ApplyActions(name, actions);
  }
  for (const auto& [endpoint, row] : endpoints) {
    const std::uint32_t running = RunningCalls(node, endpoint);
    OnEvidence(*node.fleet, FindEndpoint(*rules, endpoint), evidence[endpoint],
               {running, running + 3}, LocalNow(node));
  }
}

void FleetSimulation::StartCalls(const std::string& name, FakeNode& node) {
  for (auto& [endpoint_name, endpoint] : endpoints) {
    const std::uint32_t running = RunningCalls(node, endpoint_name);
    for (std::uint32_t i = running; i < UsableSlotsAt(node, endpoint_name);
         ++i) {
      if (kernel::RandomFraction(random) >= start_probability) continue;
      if (!endpoint.up) {
        Actions actions;
        OnEndpointDied(*node.fleet,
                       FindEndpoint(*RulesOf(*node.fleet), endpoint_name), {},
                       LocalNow(node), actions);
        ApplyActions(name, actions);
        break;
      }
      const auto rules = RulesOf(*node.fleet);
      const auto handle = FindEndpoint(*rules, endpoint_name);
      if (!TakesWork(*rules, rules->endpoints[handle.idx])) {
        violations.push_back(name + " starts work on " + endpoint_name +
                             ", which its rules exclude from new work");
      }
      ++endpoint.running;
      endpoint.last_start = now;
      node.calls.push_back(
          {endpoint_name, endpoint.boot,
           now + 100ms + RandomDelay(random, max_call_duration)});
    }
  }
}

void FleetSimulation::Step() {
  now += kStepDuration;
  while (!events_.empty() && events_.begin()->first <= now) {
    const auto event = std::move(events_.begin()->second);
    events_.erase(events_.begin());
    event();
  }
  CompleteWatches();
  for (auto& [name, node] : nodes) {
    if (!node.up || now < node.paused_until) continue;
    // Messages that arrived during a pause are handled first, so that the node
    // acts on outdated messages.
    for (const auto& event : std::exchange(node.inbox, {})) event();
    UpdateCalls(name, node);
    StartCalls(name, node);
    UpdateCalls(name, node);
    Actions actions;
    OnTick(*node.fleet, LocalNow(node), actions);
    ApplyActions(name, actions);
    StartCalls(name, node);
  }
  CheckInvariants();
}

void FleetSimulation::CheckInvariants() {
  for (auto& [name, endpoint] : endpoints) {
    const std::uint32_t answers_until_warm =
        policy::kAnswersPerSlotBeforeGrowth * endpoint.cold_max_in_flight;
    if (endpoint.answers_since_start >= answers_until_warm) continue;
    endpoint.max_running_while_cold =
        std::max(endpoint.max_running_while_cold, endpoint.running);
    if (endpoint.running > endpoint.cold_max_in_flight) {
      violations.push_back(name + " is cold and runs more than its limit: " +
                           std::to_string(endpoint.running));
    }
  }
  for (const auto& [name, node] : nodes) {
    if (!std::is_sorted(node.versions_in_force.begin(),
                        node.versions_in_force.end())) {
      violations.push_back(name + " went back to an older version");
    }
  }
}

void FleetSimulation::RunFor(milliseconds duration) {
  const Time until = now + duration;
  while (now < until) Step();
}

}  // namespace egretladder::fleet::testing

TEST_GROUP(FleetSimulation){};

TEST(FleetSimulation, DeliversMessagesButNoneAcrossAPartition) {
  using namespace std::chrono_literals;
  egretladder::fleet::testing::FleetSimulation simulation(1);
  simulation.StartAll();
  simulation.RunFor(1s);
  CHECK_TRUE(simulation.IsInForceEverywhere(1));
  CHECK(simulation.messages_sent > 0);
  simulation.Partition({"n0"});
  const auto sent_before = simulation.messages_sent;
  for (const auto* name : {"n1", "n2", "n3", "n4", "n5", "n6"}) {
    simulation.Crash(name);
  }
  simulation.RunFor(1s);
  CHECK_EQUAL(sent_before, simulation.messages_sent);
}
