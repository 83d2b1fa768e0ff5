// What a scenario makes happen.
#include <algorithm>

#include "egretladder/node/limits.h"
#include "scenario_build_p.h"
#include "scenario_world_p.h"

namespace egretladder::lab {
namespace {

/// A stopped process looks this often whether it may end.
constexpr milliseconds kLeaveStep{100};
/// Longest graceful stop; then requests are cut, which is a failure.
constexpr std::chrono::minutes kLeaveMost{10};

Time In(const World& world, milliseconds span) {
  return Now(*world.driver) + span;
}

std::uint64_t NextVersion(const World& world) {
  return world.published->version + 1;
}

/// Publishes the latest document with one word changed. The names were checked
/// when the events were placed.
void ChangeAndPublish(World& world, const std::string& section,
                      const std::string& name, const std::string& key,
                      const std::string& value) {
  auto changed = ChangeRule(world.published->text, section, name, key, value);
  if (!changed) return;
  PublishRules(world, WithVersion(changed.value(), NextVersion(world)));
}

void SlowDown(World& world, const EventSpec& event, double factor) {
  for (const std::string& name : event.names) {
    if (auto* endpoint = FindEndpoint(world, name)) {
      endpoint->engine.slow_factor = factor;
    }
  }
}

void Lag(World& world, const EventSpec& event, milliseconds lag) {
  for (const std::string& name : event.names) {
    if (auto* endpoint = FindEndpoint(world, name)) {
      endpoint->engine.options.report_lag = lag;
    }
  }
}

/// Cuts the named nodes off from all others, both ways.
void SetCut(World& world, const EventSpec& event, bool cut) {
  const auto is_named = [&](NodeIdx idx) {
    return std::find(event.names.begin(), event.names.end(),
                     world.node_names[idx]) != event.names.end();
  };
  const std::size_t count = world.node_names.size();
  for (NodeIdx a = 0; a < count; ++a) {
    for (NodeIdx b = 0; b < count; ++b) {
      if (is_named(a) == is_named(b)) continue;
      cut ? CutWire(*world.driver, a, b) : HealWire(*world.driver, a, b);
    }
  }
}

void StopWhenIdle(World& world, NodeIdx idx, Time since) {
  node::NodeState* node = NodeOf(*world.driver, idx);
  if (node == nullptr) return;
  const Time now = Now(*world.driver);
  // Killed and started anew meanwhile: another process.
  if (!node::ViewOf(*node, now).leaving) return;
  const bool idle = node::IsIdle(*node) && now - since >= node::kWhereAnswerTtl;
  const bool too_long = now - since > kLeaveMost;
  if (!idle && !too_long) {
    return At(*world.driver, In(world, kLeaveStep),
              [&world, idx, since] { StopWhenIdle(world, idx, since); });
  }
  if (!idle) {
    ++world.watchdog.cut_by_leave;
    Violate(world, "graceful stop",
            world.node_names[idx] + " cut requests when it stopped");
  }
  KillNode(*world.driver, idx);
  ForgetNode(world, idx);
  BreakCallsOf(world, idx);
}

void StopEndpointWhenIdle(World& world, std::uint32_t idx) {
  FakeEndpoint& endpoint = world.endpoints[idx];
  const bool idle =
      endpoint.engine.running.empty() && endpoint.engine.waiting.empty();
  if (idle) {
    endpoint.up = false;
    return;
  }
  At(*world.driver, In(world, kLeaveStep),
     [&world, idx] { StopEndpointWhenIdle(world, idx); });
}

void LeaveNode(World& world, NodeIdx idx) {
  Feed(*world.driver, idx,
       [](node::NodeState& state, Time now, node::Actions& out) {
         node::Leave(state, now, out);
       });
  StopWhenIdle(world, idx, Now(*world.driver));
}

/// Time for all nodes to hear that an endpoint leaves before it stops.
constexpr milliseconds kEndpointLinger{10'000};

void Leave(World& world, const std::string& name) {
  const NodeIdx node = FindNodeByName(world, name);
  if (node < world.node_names.size()) return LeaveNode(world, node);
  ChangeAndPublish(world, "endpoint", name, "leaving", "yes");
  const std::uint32_t idx = world.endpoint_idx.at(name);
  At(*world.driver, In(world, kEndpointLinger),
     [&world, idx] { StopEndpointWhenIdle(world, idx); });
}

void Kill(World& world, const std::string& name) {
  const NodeIdx idx = FindNodeByName(world, name);
  KillNode(*world.driver, idx);
  ForgetNode(world, idx);
  BreakCallsOf(world, idx);
}

void ComeBack(World& world, const std::string& name) {
  const NodeIdx node = FindNodeByName(world, name);
  if (node < world.node_names.size()) {
    Kill(world, name);  // If it still runs, its calls break.
    return RestartNode(*world.driver, node);
  }
  FakeEndpoint* endpoint = FindEndpoint(world, name);
  EngineState& engine = endpoint->engine;
  const EngineCounts counts = engine.counts;
  engine = StartEngine(engine.options, engine.boot + 1, Now(*world.driver));
  engine.counts = counts;
  endpoint->up = true;
  ChangeAndPublish(world, "endpoint", name, "leaving", "no");
}

PlatformFault FaultOf(const std::string& text) {
  if (text == "down") return PlatformFault::kDown;
  if (text == "slow") return PlatformFault::kSlow;
  if (text == "stale") return PlatformFault::kStale;
  if (text == "old") return PlatformFault::kOld;
  return PlatformFault::kNone;
}

void SetPlatform(World& world, PlatformFault fault) {
  world.platform.fault = fault;
  if (world.platform.published.empty()) return;
  world.platform.stale_at = world.platform.published.size() - 1;
}

void EachNode(World& world, const EventSpec& event,
              void (*apply)(World&, NodeIdx, const EventSpec&)) {
  for (const std::string& name : event.names) {
    apply(world, FindNodeByName(world, name), event);
  }
}

/// It loses its cache and what made it fast. What it has in progress stays, and
/// so does what it bears: no router could know in time, since nothing shows.
void TurnColdAgain(World& world, const std::string& name) {
  EngineState& engine = FindEndpoint(world, name)->engine;
  TurnCold(engine);
  engine.options.cold_max_in_flight = 0;
}

void CrashByName(World& world, const std::string& name) {
  CrashEndpoint(world, *FindEndpoint(world, name));
}

void Restart(World& world, const std::string& name) {
  Kill(world, name);
  RestartNode(*world.driver, FindNodeByName(world, name));
}

void EachName(World& world, const EventSpec& event,
              void (*apply)(World&, const std::string&)) {
  for (const std::string& name : event.names) apply(world, name);
}

void Deploy(World& world, const EventSpec& event) {
  const std::string& text =
      event.text.empty() ? world.published->text : event.text;
  PublishRules(world, WithVersion(text, NextVersion(world)));
}

void Begin(World& world, const EventSpec& event) {
  switch (event.kind) {
    case EventKind::kSlow:
      return SlowDown(world, event, event.factor);
    case EventKind::kCrash:
      return EachName(world, event, CrashByName);
    case EventKind::kCold:
      return EachName(world, event, TurnColdAgain);
    case EventKind::kLag:
      return Lag(world, event, milliseconds(10'000));
    case EventKind::kCut:
      return SetCut(world, event, true);
    case EventKind::kHeal:
      return SetCut(world, event, false);
    case EventKind::kLose:
      return LoseMessages(*world.driver, event.factor);
    case EventKind::kPause:
      return EachNode(world, event,
                      [](World& w, NodeIdx idx, const EventSpec& e) {
                        PauseNode(*w.driver, idx, In(w, e.lasts));
                      });
    case EventKind::kKill:
      return EachName(world, event, Kill);
    case EventKind::kRestart:
      return EachName(world, event, Restart);
    case EventKind::kLeave:
      return EachName(world, event, Leave);
    case EventKind::kReturn:
      return EachName(world, event, ComeBack);
    case EventKind::kZoneOut:
      return ChangeAndPublish(world, "zone", event.names[0], "out", "yes");
    case EventKind::kZoneBack:
      return ChangeAndPublish(world, "zone", event.names[0], "out", "no");
    case EventKind::kPlatform:
      return SetPlatform(world, FaultOf(event.text));
    case EventKind::kDeploy:
      return Deploy(world, event);
  }
}

/// Undoes an event that lasts a while.
void End(World& world, const EventSpec& event) {
  switch (event.kind) {
    case EventKind::kSlow:
      return SlowDown(world, event, 1);
    case EventKind::kLag:
      return Lag(world, event, EngineOptions{}.report_lag);
    case EventKind::kCut:
      return SetCut(world, event, false);
    case EventKind::kLose:
      return LoseMessages(*world.driver, 0);
    case EventKind::kPlatform:
      return SetPlatform(world, PlatformFault::kNone);
    case EventKind::kZoneOut:
      return ChangeAndPublish(world, "zone", event.names[0], "out", "no");
    case EventKind::kKill:
      for (const auto& name : event.names) {
        RestartNode(*world.driver, FindNodeByName(world, name));
      }
      return;
    default:
      return;
  }
}

/// What an event's names must be.
enum class NameKind : std::uint8_t {
  kNothing,
  kEndpoint,
  kNode,
  kNodeOrEndpoint,
  kZone,
};

NameKind NameKindOf(EventKind kind) {
  switch (kind) {
    case EventKind::kSlow:
    case EventKind::kCrash:
    case EventKind::kCold:
    case EventKind::kLag:
      return NameKind::kEndpoint;
    case EventKind::kCut:
    case EventKind::kHeal:
    case EventKind::kPause:
    case EventKind::kKill:
    case EventKind::kRestart:
      return NameKind::kNode;
    case EventKind::kLeave:
    case EventKind::kReturn:
      return NameKind::kNodeOrEndpoint;
    case EventKind::kZoneOut:
    case EventKind::kZoneBack:
      return NameKind::kZone;
    case EventKind::kLose:
    case EventKind::kPlatform:
    case EventKind::kDeploy:
      return NameKind::kNothing;
  }
  return NameKind::kNothing;
}

bool IsKnown(World& world, NameKind kind, const std::string& name) {
  const bool endpoint = FindEndpoint(world, name) != nullptr;
  const bool node = FindNodeByName(world, name) < world.node_names.size();
  switch (kind) {
    case NameKind::kNothing:
      return false;
    case NameKind::kEndpoint:
      return endpoint;
    case NameKind::kNode:
      return node;
    case NameKind::kNodeOrEndpoint:
      return node || endpoint;
    case NameKind::kZone:
      return rules::IsValid(rules::FindZone(*world.published, name));
  }
  return false;
}

kernel::Result<void> CheckEvent(World& world, const EventSpec& event) {
  const auto fault = [&](const std::string& what) {
    return kernel::MakeError(
        kernel::ErrorCode::kInvalidInput, "read scenario",
        world.scenario->file + ":" + std::to_string(event.line), what);
  };
  const NameKind kind = NameKindOf(event.kind);
  if (kind != NameKind::kNothing && event.names.empty()) {
    return fault("the event names nothing that it happens to");
  }
  for (const std::string& name : event.names) {
    if (!IsKnown(world, kind, name)) {
      return fault("'" + name +
                   "' is not known, or nothing that this event "
                   "can happen to");
    }
  }
  if (event.kind == EventKind::kPause && event.lasts == kNever) {
    return fault("pause needs lasts=\"5s\"");
  }
  return BOOST_OUTCOME_V2_NAMESPACE::success();
}

}  // namespace

kernel::Result<void> PlaceEvents(World& world) {
  for (const EventSpec& event : world.scenario->events) {
    BOOST_OUTCOME_TRY(CheckEvent(world, event));
    At(*world.driver, world.start + event.at,
       [&world, &event] { Begin(world, event); });
    if (event.lasts == kNever) continue;
    At(*world.driver, world.start + event.at + event.lasts,
       [&world, &event] { End(world, event); });
  }
  return BOOST_OUTCOME_V2_NAMESPACE::success();
}

}  // namespace egretladder::lab
