// The fakes of platform reads and of engines' reports and orders.
#include "scenario_world_p.h"

namespace egretladder::lab {
namespace {

constexpr milliseconds kReadTime{3};
constexpr milliseconds kSlowReadTime{4000};
/// How long a watch waits for a newer version.
constexpr milliseconds kWatchTime{30'000};
/// How often a waiting watch looks: the fake's delay until it answers.
constexpr milliseconds kWatchStep{50};

Time After(const World& world, milliseconds span) {
  return Now(*world.driver) + span;
}

void AnswerRules(World& world, NodeIdx node, std::optional<std::string> text) {
  Feed(*world.driver, node,
       [text = std::move(text)](node::NodeState& state, Time now,
                                node::Actions& out) {
         node::OnRulesDocument(state, text ? &*text : nullptr, now, out);
       });
}

void Watch(World& world, NodeIdx node, std::uint64_t known, Time until) {
  if (IsDown(world.platform, "")) return AnswerRules(world, node, std::nullopt);
  const Publication* served = Served(world.platform);
  if (served != nullptr && served->version > known) {
    return AnswerRules(world, node, served->text);
  }
  if (Now(*world.driver) >= until) return AnswerRules(world, node, "");
  At(*world.driver, After(world, kWatchStep),
     [&world, node, known, until] { Watch(world, node, known, until); });
}

void Read(World& world, NodeIdx node) {
  if (IsDown(world.platform, "")) return AnswerRules(world, node, std::nullopt);
  const Publication* served = Served(world.platform);
  AnswerRules(world, node,
              served == nullptr ? std::optional<std::string>() : served->text);
}

/// The VMs by the last document published.
std::vector<fleet::VmEntry> VmsNow(const World& world) {
  std::vector<fleet::VmEntry> vms;
  for (const rules::Node& node : world.published->nodes) {
    vms.push_back({node.source.name, node.leaving});
  }
  for (const rules::Endpoint& endpoint : world.published->endpoints) {
    vms.push_back({endpoint.source.name, endpoint.leaving});
  }
  return vms;
}

FakeEndpoint* FindEndpoint(World& world, NodeIdx node,
                           rules::EndpointHandle handle) {
  const rules::RulesPtr& rules = world.in_force[node];
  if (rules == nullptr || handle.idx >= rules->endpoints.size()) return nullptr;
  return FindEndpoint(world, rules->endpoints[handle.idx].source.name);
}

policy::EngineReport Translate(const EngineReport& report,
                               const rules::Rules& rules) {
  policy::EngineReport translated;
  translated.age = report.age;
  translated.boot = report.boot;
  translated.running = report.running;
  translated.waiting = report.waiting;
  translated.cache_used = report.cache_used;
  for (const std::string& model : report.loaded) {
    const auto target = rules::FindTarget(rules, model);
    if (rules::IsValid(target)) translated.loaded.push_back(target);
  }
  return translated;
}

}  // namespace

void ServeRules(World& world, NodeIdx node,
                const fleet::ReadRulesDocument& ask) {
  ++(ask.watch ? world.platform.counts.watches : world.platform.counts.rules);
  const bool slow = world.platform.fault == PlatformFault::kSlow;
  const Time when = After(world, slow ? kSlowReadTime : kReadTime);
  At(*world.driver, when, [&world, node, ask] {
    if (!ask.watch) return Read(world, node);
    Watch(world, node, ask.known_version, After(world, kWatchTime));
  });
}

void ServeVms(World& world, NodeIdx node) {
  ++world.platform.counts.vms;
  At(*world.driver, After(world, kReadTime), [&world, node] {
    const bool down = IsDown(world.platform, "");
    const auto vms = VmsNow(world);
    Feed(*world.driver, node,
         [down, vms](node::NodeState& state, Time now, node::Actions& out) {
           node::OnVmList(state, down ? nullptr : &vms, now, out);
         });
  });
}

void ServeReport(World& world, NodeIdx node, rules::EndpointHandle handle) {
  At(*world.driver, After(world, milliseconds(1)), [&world, node, handle] {
    FakeEndpoint* endpoint = FindEndpoint(world, node, handle);
    std::optional<policy::EngineReport> report;
    if (endpoint != nullptr && endpoint->up) {
      report = Translate(ReportOf(endpoint->engine, Now(*world.driver)),
                         *world.in_force[node]);
    }
    Feed(
        *world.driver, node,
        [report, handle](node::NodeState& state, Time now, node::Actions& out) {
          node::OnReport(state, handle, report ? &*report : nullptr, now, out);
        });
  });
}

void ServeOrder(World& world, NodeIdx node, const fleet::OrderEngine& order) {
  FakeEndpoint* endpoint = FindEndpoint(world, node, order.endpoint);
  if (endpoint == nullptr || !endpoint->up) return;
  const rules::Target& target = world.in_force[node]->targets[order.target.idx];
  const bool load = order.kind == fleet::OrderKind::kLoad;
  TakeOrder(endpoint->engine,
            {load ? "load" : "unload", target.source.name, order.fencing},
            Now(*world.driver));
}

}  // namespace egretladder::lab
