// Puts a scenario's world together and runs it.
#include "scenario_world_p.h"

namespace egretladder::lab {
namespace {

constexpr std::uint64_t kFirstIncarnation = 1000;

node::NodeOptions OptionsOf(const World& world, const rules::Node& rule,
                            NodeIdx idx) {
  node::NodeOptions options;
  options.scheduler = world.policy;
  options.lane_secret = "secret of " + rule.source.name;
  options.fleet.node = rule.source.name;
  options.fleet.caller_address = rule.caller_address;
  options.fleet.peer_address = rule.peer_address;
  options.fleet.zone = world.published->zones[rule.zone.idx].source.name;
  options.fleet.incarnation = kFirstIncarnation * (idx + 1);
  options.fleet.started = idx + 1;
  options.fleet.random_seed = world.scenario->seed * 7919 + idx;
  for (const rules::Node& other : world.published->nodes) {
    const bool self = other.source.name == rule.source.name;
    if (!self) options.fleet.seeds.push_back(other.peer_address);
  }
  return options;
}

void AddEndpoints(World& world) {
  const Time now = Now(*world.driver);
  for (const rules::Endpoint& rule : world.published->endpoints) {
    FakeEndpoint endpoint;
    endpoint.name = rule.source.name;
    endpoint.zone = world.published->zones[rule.zone.idx].source.name;
    endpoint.engine =
        StartEngine(world.scenario->engines.at(rule.source.name), 1, now);
    endpoint.engine.ready_at = now;
    world.endpoint_idx[endpoint.name] =
        static_cast<std::uint32_t>(world.endpoints.size());
    world.endpoints.push_back(std::move(endpoint));
  }
}

kernel::Result<void> AddNodes(World& world) {
  const rules::RulesPtr rules = world.published;
  const std::size_t count = rules->nodes.size();
  world.in_force.resize(count);
  world.watchdog.versions.resize(count);
  world.watchdog.reachable_since.resize(count, world.start);
  world.watchdog.last_paused.resize(count);
  for (NodeIdx i = 0; i < count; ++i) {
    world.node_names.push_back(rules->nodes[i].source.name);
  }
  for (NodeIdx i = 0; i < count; ++i) {
    auto added = AddNode(*world.driver, OptionsOf(world, rules->nodes[i], i));
    if (!added) return added.error();
  }
  return BOOST_OUTCOME_V2_NAMESPACE::success();
}

void SampleQueue(World& world) {
  std::uint64_t waiting = 0;
  for (NodeIdx i = 0; i < world.node_names.size(); ++i) {
    const node::NodeState* node = NodeOf(*world.driver, i);
    if (node == nullptr) continue;
    const auto view = node::ViewOf(*node, Now(*world.driver));
    for (const auto& cls : view.scheduler.classes) waiting += cls.waiting;
  }
  world.queue.push_back(waiting);
  At(*world.driver, Now(*world.driver) + std::chrono::seconds(1),
     [&world] { SampleQueue(world); });
}

}  // namespace

const rules::Class* ClassRule(const World& world, const std::string& cls) {
  const auto handle = rules::FindClass(*world.published, cls);
  if (!rules::IsValid(handle)) return nullptr;
  return &world.published->classes[handle.idx];
}

void PublishRules(World& world, const std::string& text) {
  auto read = rules::ReadRules(text, world.scenario->file, nullptr);
  // A document with faults is published all the same: nodes must refuse it.
  if (read) world.published = std::move(read).value();
  static_cast<void>(Publish(world.platform, text));
}

FakeEndpoint* FindEndpoint(World& world, const std::string& name) {
  const auto at = world.endpoint_idx.find(name);
  return at == world.endpoint_idx.end() ? nullptr
                                        : &world.endpoints[at->second];
}

NodeIdx FindNodeByName(const World& world, const std::string& name) {
  for (NodeIdx i = 0; i < world.node_names.size(); ++i) {
    if (world.node_names[i] == name) return i;
  }
  return world.node_names.size();
}

NodeIdx FindNodeByAddress(const World& world, const std::string& address) {
  for (const rules::Node& node : world.published->nodes) {
    if (node.caller_address == address) {
      return FindNodeByName(world, node.source.name);
    }
  }
  return world.node_names.size();
}

kernel::Result<void> BuildWorld(World& world, const Scenario& scenario,
                                const std::string& policy) {
  world.scenario = &scenario;
  world.policy = policy;
  world.random.seed(scenario.seed);
  BOOST_OUTCOME_TRY(read,
                    rules::ReadRules(scenario.rules, scenario.file, nullptr));
  world.published = std::move(read);
  BOOST_OUTCOME_TRY(Publish(world.platform, scenario.rules));
  world.driver = StartDriver({scenario.wire, scenario.seed},
                             [&world](NodeIdx node, node::Action& action) {
                               TakeAction(world, node, action);
                             });
  world.start = Now(*world.driver);
  AddEndpoints(world);
  BOOST_OUTCOME_TRY(AddNodes(world));
  BOOST_OUTCOME_TRY(PlaceEvents(world));
  StartLoads(world);
  SampleQueue(world);
  AfterEachTick(*world.driver, [&world] { CheckEveryTick(world); });
  return BOOST_OUTCOME_V2_NAMESPACE::success();
}

kernel::Result<ScenarioResult> RunScenario(const Scenario& scenario,
                                           const std::string& policy) {
  World world;
  BOOST_OUTCOME_TRY(BuildWorld(world, scenario, policy));
  RunUntil(*world.driver, world.start + scenario.run);
  return MeasureWorld(world);
}

}  // namespace egretladder::lab
