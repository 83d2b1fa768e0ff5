#include "wire_fixture.h"

#include <CppUTest/TestHarness.h>

#include <algorithm>
#include <utility>

#include "egretladder/fleet/electorate.h"
#include "egretladder/policy/limits.h"

namespace egretladder::fleet::testing {
namespace {

using namespace std::chrono_literals;
using std::chrono::milliseconds;

constexpr milliseconds kStep{50};
constexpr milliseconds kWatchWait{10'000};
constexpr Time kBase{std::chrono::hours(1)};

std::string AddressOfNode(std::uint32_t i) {
  return "10.0.1." + std::to_string(i) + ":81";
}

milliseconds Between(kernel::Random& random, milliseconds most) {
  return milliseconds(kernel::RandomBelow(
      random, static_cast<std::uint64_t>(most.count()) + 1));
}

std::uint32_t RunningAt(const FakeNode& node, const std::string& endpoint) {
  return static_cast<std::uint32_t>(
      std::count_if(node.calls.begin(), node.calls.end(),
                    [&](const FakeCall& c) { return c.endpoint == endpoint; }));
}

std::string YesNo(bool yes) { return yes ? "yes" : "no"; }

}  // namespace

std::string ZoneOf(std::uint32_t i) { return "z" + std::to_string(i % 3); }

std::string Document(const FakeRules& rules) {
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
            ":80 peers=" + AddressOfNode(i) + " zone=" + ZoneOf(i) +
            " leaving=" + YesNo(rules.leaving.contains(name)) + " ; test\n";
  }
  return text;
}

World::World(std::uint64_t seed, const FakeRules& rules) : random(seed) {
  for (std::uint32_t i = 0; i < rules.nodes; ++i) {
    const std::string name = "n" + std::to_string(i);
    FakeNode& node = nodes[name];
    node.options.node = name;
    node.options.zone = ZoneOf(i);
    node.options.caller_address = "10.0.1." + std::to_string(i) + ":80";
    node.options.peer_address = AddressOfNode(i);
    by_address_[AddressOfNode(i)] = name;
  }
  for (std::uint32_t i = 0; i < rules.endpoints; ++i) {
    FakeEndpoint& endpoint = endpoints["e" + std::to_string(i)];
    endpoint.boot = 1000 + i;
    endpoint.cold_max_in_flight = rules.cold_max_in_flight;
    endpoint.is_service = i % 4 == 3;
  }
  Publish(rules);
}

void World::Publish(const FakeRules& rules) {
  documents_[rules.version] = Document(rules);
  WakeWatches();
}

const std::string* World::Served() const {
  if (stale_version == 0) return &documents_.rbegin()->second;
  const auto found = documents_.find(stale_version);
  return found == documents_.end() ? nullptr : &found->second;
}

Time World::LocalNow(const FakeNode& node) const {
  return kBase + std::chrono::duration_cast<std::chrono::nanoseconds>(
                     (now - kBase) * node.clock_rate);
}

void World::StartNode(const std::string& name, bool with_seeds) {
  FakeNode& node = nodes[name];
  node.options.incarnation = 1 + kernel::RandomBelow(random, 1U << 30U);
  node.options.started = 1'000'000 + ++incarnations_;
  node.options.random_seed = random();
  node.options.seeds.clear();
  if (with_seeds) {
    for (const auto& [address, other] : by_address_) {
      node.options.seeds.push_back(address);
    }
  }
  node.up = true;
  node.paused_until = {};
  node.inbox.clear();
  node.slots.clear();
  node.available.clear();
  node.versions.clear();
  node.calls.clear();
  Actions actions;
  node.fleet = StartFleet(node.options, LocalNow(node), actions);
  Apply(name, actions);
}

void World::StartAll() {
  for (auto& [name, node] : nodes) StartNode(name);
}

void World::Crash(const std::string& name) {
  FakeNode& node = nodes[name];
  node.up = false;
  node.fleet.reset();
  for (const FakeCall& call : node.calls) {
    FakeEndpoint& endpoint = endpoints[call.endpoint];
    if (endpoint.boot == call.boot) --endpoint.running;
  }
  node.calls.clear();
}

void World::Pause(const std::string& name, milliseconds span) {
  nodes[name].paused_until = now + span;
}

void World::CutOff(const std::set<std::string>& side) {
  for (const auto& [from, a] : nodes) {
    for (const auto& [to, b] : nodes) {
      if (side.contains(from) != side.contains(to)) cut_.insert({from, to});
    }
  }
}

void World::CutOneWay(const std::string& from, const std::string& to) {
  cut_.insert({from, to});
}

void World::Heal() { cut_.clear(); }

void World::StopEndpoint(const std::string& name) {
  FakeEndpoint& endpoint = endpoints[name];
  endpoint.up = false;
  ++endpoint.boot;
  endpoint.running = 0;
}

void World::StartEndpoint(const std::string& name) {
  FakeEndpoint& endpoint = endpoints[name];
  endpoint.up = true;
  endpoint.answers = 0;
}

void World::Poison(const std::string& node, const std::string& endpoint,
                   std::uint64_t body) {
  StopEndpoint(endpoint);
  FakeNode& seen_by = nodes[node];
  const auto handle = FindEndpoint(*RulesOf(*seen_by.fleet), endpoint);
  Actions actions;
  OnEndpointDied(*seen_by.fleet, handle, {body}, LocalNow(seen_by), actions);
  Apply(node, actions);
}

void World::LeaveNode(const std::string& name) {
  FakeNode& node = nodes[name];
  Actions actions;
  Leave(*node.fleet, LocalNow(node), actions);
  Apply(name, actions);
}

void World::Deliver(const std::string& name, milliseconds after,
                    std::function<void()> event) {
  const std::uint64_t incarnation = nodes[name].options.incarnation;
  events_.emplace(now + after,
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

void World::Send(const std::string& from, const SendMessage& send) {
  const auto to = by_address_.find(send.peer_address);
  if (to == by_address_.end() || cut_.contains({from, to->second})) return;
  ++messages;
  if (kernel::RandomFraction(random) < faults.drop) return;
  const int copies = kernel::RandomFraction(random) < faults.twice ? 2 : 1;
  const Sender sender{from, nodes[from].options.incarnation};
  for (int i = 0; i < copies; ++i) {
    Deliver(to->second, Between(random, faults.delay_most),
            [this, name = to->second, sender, message = send.message] {
              FakeNode& node = nodes[name];
              Actions actions;
              OnMessage(*node.fleet, sender, message, LocalNow(node), actions);
              Apply(name, actions);
            });
  }
}

void World::AnswerRules(const std::string& name,
                        const ReadRulesDocument& read) {
  ++platform_calls;
  FakeNode& node = nodes[name];
  const bool reached = !platform_down && !node.platform_cut;
  const std::string* text = reached ? Served() : nullptr;
  const auto served_version =
      stale_version == 0 ? documents_.rbegin()->first : stale_version;
  if (reached && read.watch && served_version <= read.known_version) {
    watches_.push_back(
        {name, node.options.incarnation, read.known_version, now + kWatchWait});
    return;
  }
  const std::string copy = text == nullptr ? "" : *text;
  Deliver(name, 2ms, [this, name, copy, read_well = text != nullptr] {
    FakeNode& reader = nodes[name];
    Actions actions;
    OnRulesDocument(*reader.fleet, read_well ? &copy : nullptr,
                    LocalNow(reader), actions);
    Apply(name, actions);
  });
}

void World::WakeWatches() {
  std::vector<Watch> kept;
  for (const Watch& watch : std::exchange(watches_, {})) {
    FakeNode& node = nodes[watch.node];
    if (!node.up || node.options.incarnation != watch.incarnation) continue;
    const bool newer = !platform_down && stale_version == 0 &&
                       documents_.rbegin()->first > watch.above;
    if (node.platform_cut || (!newer && now < watch.until && !platform_down)) {
      kept.push_back(watch);
      continue;
    }
    const std::string text = newer ? documents_.rbegin()->second : "";
    Deliver(watch.node, 2ms,
            [this, name = watch.node, text, down = platform_down] {
              FakeNode& reader = nodes[name];
              Actions actions;
              OnRulesDocument(*reader.fleet, down ? nullptr : &text,
                              LocalNow(reader), actions);
              Apply(name, actions);
            });
  }
  watches_.insert(watches_.end(), kept.begin(), kept.end());
}

void World::AnswerReport(const std::string& name, const ReadReport& read) {
  const auto rules = RulesOf(*nodes[name].fleet);
  const FakeEndpoint endpoint =
      endpoints[rules->endpoints[read.endpoint.idx].source.name];
  policy::EngineReport report;
  report.boot = endpoint.boot;
  report.running = endpoint.running;
  for (const std::string& model : endpoint.loaded) {
    report.loaded.push_back(FindTarget(*rules, model));
  }
  Deliver(name, 2ms, [this, name, read, report, up = endpoint.up] {
    FakeNode& node = nodes[name];
    Actions actions;
    OnReport(*node.fleet, read.endpoint, up ? &report : nullptr, LocalNow(node),
             actions);
    Apply(name, actions);
  });
}

void World::Apply(const std::string& name, Actions& actions) {
  FakeNode& node = nodes[name];
  for (const Action& action : actions) {
    if (const auto* send = std::get_if<SendMessage>(&action)) {
      Send(name, *send);
    } else if (const auto* read = std::get_if<ReadRulesDocument>(&action)) {
      AnswerRules(name, *read);
    } else if (const auto* report = std::get_if<ReadReport>(&action)) {
      AnswerReport(name, *report);
    } else if (const auto* change = std::get_if<SlotsChanged>(&action)) {
      const auto& row = RulesOf(*node.fleet)->endpoints[change->endpoint.idx];
      node.slots[row.source.name] = change->slots;
    } else if (const auto* moved = std::get_if<AvailabilityChanged>(&action)) {
      const auto& row = RulesOf(*node.fleet)->endpoints[moved->endpoint.idx];
      node.available[row.source.name] = moved->available;
    } else if (const auto* rules = std::get_if<RulesInForce>(&action)) {
      node.versions.push_back(rules->rules->version);
    } else if (std::holds_alternative<RulesRefused>(action)) {
      ++node.refused;
    } else if (const auto* body = std::get_if<QuarantineAdded>(&action)) {
      node.quarantined.insert(body->fingerprint);
    } else if (const auto* order = std::get_if<OrderEngine>(&action)) {
      const auto rules_now = RulesOf(*node.fleet);
      orders.push_back(
          {name, rules_now->endpoints[order->endpoint.idx].source.name,
           order->kind, rules_now->targets[order->target.idx].source.name});
    } else if (std::holds_alternative<ReadVmList>(action)) {
      ++platform_calls;
      const bool reached = !platform_down && !node.platform_cut;
      Deliver(name, 2ms, [this, name, reached, list = vms] {
        FakeNode& reader = nodes[name];
        Actions more;
        OnVmList(*reader.fleet, reached ? &list : nullptr, LocalNow(reader),
                 more);
        Apply(name, more);
      });
    }
  }
  actions.clear();
}

std::uint32_t World::Usable(const FakeNode& node,
                            const std::string& endpoint) const {
  if (!node.up || now < node.paused_until) return 0;
  if (!KnowledgeIsFresh(*node.fleet, LocalNow(node))) return 0;
  const auto available = node.available.find(endpoint);
  if (available == node.available.end() || !available->second) return 0;
  const auto slots = node.slots.find(endpoint);
  return slots == node.slots.end() ? 0 : slots->second;
}

std::uint32_t World::SlotsOf(const std::string& endpoint) const {
  std::uint32_t sum = 0;
  for (const auto& [name, node] : nodes) sum += Usable(node, endpoint);
  return sum;
}

std::uint32_t World::KeepersOf() const {
  std::uint32_t sum = 0;
  for (const auto& [name, node] : nodes) {
    if (node.up) sum += ViewOf(*node.fleet, LocalNow(node)).keeper_of;
  }
  return sum;
}

bool World::AllHave(std::uint64_t version) const {
  return std::all_of(nodes.begin(), nodes.end(), [&](const auto& entry) {
    const FakeNode& node = entry.second;
    return !node.up || (RulesOf(*node.fleet) != nullptr &&
                        RulesOf(*node.fleet)->version == version);
  });
}

void World::RunCalls(const std::string& name, FakeNode& node) {
  std::map<std::string, policy::SlotEvidence> evidence;
  std::map<std::string, bool> died;
  std::erase_if(node.calls, [&](const FakeCall& call) {
    FakeEndpoint& endpoint = endpoints[call.endpoint];
    if (endpoint.boot != call.boot) {
      died[call.endpoint] = true;
      return true;
    }
    if (now < call.ends) return false;
    --endpoint.running;
    ++endpoint.answers;
    ++evidence[call.endpoint].in_time;
    evidence[call.endpoint].boot = endpoint.is_service ? 0 : call.boot;
    return true;
  });
  const auto rules = RulesOf(*node.fleet);
  if (rules == nullptr) return;
  for (const auto& [endpoint, all_died] : died) {
    Actions actions;
    OnEndpointDied(*node.fleet, FindEndpoint(*rules, endpoint), {},
                   LocalNow(node), actions);
    Apply(name, actions);
  }
  for (const auto& [endpoint, row] : endpoints) {
    const std::uint32_t running = RunningAt(node, endpoint);
    OnEvidence(*node.fleet, FindEndpoint(*rules, endpoint), evidence[endpoint],
               {running, running + 3}, LocalNow(node));
  }
}

void World::FillSlots(const std::string& name, FakeNode& node) {
  for (auto& [endpoint_name, endpoint] : endpoints) {
    const std::uint32_t running = RunningAt(node, endpoint_name);
    for (std::uint32_t i = running; i < Usable(node, endpoint_name); ++i) {
      if (kernel::RandomFraction(random) >= demand) continue;
      if (!endpoint.up) {
        Actions actions;
        OnEndpointDied(*node.fleet,
                       FindEndpoint(*RulesOf(*node.fleet), endpoint_name), {},
                       LocalNow(node), actions);
        Apply(name, actions);
        break;
      }
      const auto rules = RulesOf(*node.fleet);
      const auto handle = FindEndpoint(*rules, endpoint_name);
      if (!TakesWork(*rules, rules->endpoints[handle.idx])) {
        broken.push_back(name + " starts work on " + endpoint_name +
                         ", which its rules take out");
      }
      ++endpoint.running;
      endpoint.last_start = now;
      node.calls.push_back({endpoint_name, endpoint.boot,
                            now + 100ms + Between(random, call_most)});
    }
  }
}

void World::Step() {
  now += kStep;
  while (!events_.empty() && events_.begin()->first <= now) {
    const auto event = std::move(events_.begin()->second);
    events_.erase(events_.begin());
    event();
  }
  WakeWatches();
  for (auto& [name, node] : nodes) {
    if (!node.up || now < node.paused_until) continue;
    // What arrived during a pause is read first: old knowledge, acted on late.
    for (const auto& event : std::exchange(node.inbox, {})) event();
    RunCalls(name, node);
    FillSlots(name, node);
    RunCalls(name, node);
    Actions actions;
    OnTick(*node.fleet, LocalNow(node), actions);
    Apply(name, actions);
    FillSlots(name, node);
  }
  Check();
}

void World::Check() {
  for (auto& [name, endpoint] : endpoints) {
    const std::uint32_t until_warm =
        policy::kAnswersPerSlotBeforeGrowth * endpoint.cold_max_in_flight;
    if (endpoint.answers >= until_warm) continue;
    endpoint.most_cold = std::max(endpoint.most_cold, endpoint.running);
    if (endpoint.running > endpoint.cold_max_in_flight) {
      broken.push_back(name + " cold runs " + std::to_string(endpoint.running));
    }
  }
  for (const auto& [name, node] : nodes) {
    if (!std::is_sorted(node.versions.begin(), node.versions.end())) {
      broken.push_back(name + " went back to an older version");
    }
  }
}

void World::Run(milliseconds span) {
  const Time until = now + span;
  while (now < until) Step();
}

}  // namespace egretladder::fleet::testing

TEST_GROUP(Wire){};

TEST(Wire, DeliversInTimeAndNothingOverACut) {
  using namespace std::chrono_literals;
  egretladder::fleet::testing::World world(1);
  world.StartAll();
  world.Run(1s);
  CHECK_TRUE(world.AllHave(1));
  CHECK(world.messages > 0);
  world.CutOff({"n0"});
  const auto before = world.messages;
  for (const auto* name : {"n1", "n2", "n3", "n4", "n5", "n6"}) {
    world.Crash(name);
  }
  world.Run(1s);
  CHECK_EQUAL(before, world.messages);
}
