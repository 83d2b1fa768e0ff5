// What must always hold, watched through every step of every scenario.
#include <algorithm>

#include "scenario_world_p.h"

namespace egretladder::lab {
namespace {

/// "A few seconds" after operators take a zone or an endpoint out.
constexpr std::chrono::seconds kFewSeconds{5};
/// A published version must be in force everywhere by then.
constexpr std::chrono::seconds kEverywhere{9};
/// How much later than its class's longest wait a refusal may come.
constexpr std::chrono::seconds kPromptness{1};
/// A process that was paused is as old as its sockets for so long.
constexpr milliseconds kWaking{500};
/// Between two sweeps over all nodes and classes.
constexpr milliseconds kSweep{100};

std::string MomentOf(const World& world) {
  const auto elapsed = std::chrono::duration_cast<milliseconds>(Elapsed(world));
  return " (at " + std::to_string(elapsed.count()) + " ms)";
}

/// Names a call by what its repeats share: its key, or itself.
std::string Identity(const World& world, node::CallId id) {
  const LiveCall& call = world.calls.at(id);
  const Wish& wish = world.wishes[call.wish];
  if (wish.lane.empty()) return std::to_string(id);
  return wish.lane + "/" + std::to_string(call.wish);
}

std::uint8_t TierOf(const World& world, const std::string& cls) {
  const rules::Class* rule = ClassRule(world, cls);
  return rule == nullptr ? rules::kBottomTier : rule->tier;
}

/// True when a call of `cls` for `target` waits at the node.
template <typename Predicate>
bool AnyWaits(const World& world, NodeIdx node, Predicate predicate) {
  return std::any_of(
      world.calls.begin(), world.calls.end(), [&](const auto& entry) {
        const LiveCall& call = entry.second;
        return call.node == node && !call.at_endpoint && call.caller_waits &&
               predicate(LoadOf(world, world.wishes[call.wish]));
      });
}

/// Whether a node can hear of anything: from the platform, or from a peer.
bool IsReachable(const World& world, NodeIdx node) {
  if (NodeOf(*world.driver, node) == nullptr) return false;
  if (IsPaused(*world.driver, node)) return false;
  if (world.platform.fault == PlatformFault::kNone) return true;
  for (NodeIdx other = 0; other < world.node_names.size(); ++other) {
    if (other == node || NodeOf(*world.driver, other) == nullptr) continue;
    const bool both = !IsCut(*world.driver, node, other) &&
                      !IsCut(*world.driver, other, node);
    if (both && !IsPaused(*world.driver, other)) return true;
  }
  return false;
}

bool ReachableFor(const World& world, NodeIdx node, std::chrono::seconds span) {
  return IsReachable(world, node) &&
         Now(*world.driver) - world.watchdog.reachable_since[node] > span;
}

void SetOut(Watchdog& watchdog, const std::string& name, bool out, Time now) {
  if (out) {
    watchdog.out_since.emplace(name, now);
  } else {
    watchdog.out_since.erase(name);
  }
}

/// From its first acceptance on, a version counts.
void Accept(World& world, const rules::Rules& rules) {
  Watchdog& watchdog = world.watchdog;
  const Time now = Now(*world.driver);
  const bool newest = watchdog.accepted.empty() ||
                      watchdog.accepted.rbegin()->first < rules.version;
  if (!newest) return;
  watchdog.accepted[rules.version] = now;
  for (const rules::Zone& zone : rules.zones) {
    SetOut(watchdog, "zone " + zone.source.name, zone.out, now);
  }
  for (const rules::Endpoint& endpoint : rules.endpoints) {
    SetOut(watchdog, "endpoint " + endpoint.source.name,
           endpoint.leaving || !endpoint.source.present, now);
  }
}

void CheckOut(World& world, const std::string& what, NodeIdx node) {
  const auto out = world.watchdog.out_since.find(what);
  if (out == world.watchdog.out_since.end()) return;
  const bool late = Now(*world.driver) - out->second > kFewSeconds;
  // A node cut off from all peers and from the platform can't know.
  if (!late || !ReachableFor(world, node, kFewSeconds)) return;
  Violate(world, "no new work once out",
          world.node_names[node] + " sent new work to " + what);
}

void SweepVersions(World& world) {
  Watchdog& watchdog = world.watchdog;
  if (watchdog.accepted.empty()) return;
  const auto& [version, since] = *watchdog.accepted.rbegin();
  const Time now = Now(*world.driver);
  bool everywhere = true;
  for (NodeIdx i = 0; i < world.node_names.size(); ++i) {
    if (IsPaused(*world.driver, i)) watchdog.last_paused[i] = now;
    if (!IsReachable(world, i)) {
      watchdog.reachable_since[i] = now;
      continue;
    }
    const auto& rules = world.in_force[i];
    const std::uint64_t own = rules == nullptr ? 0 : rules->version;
    if (own >= version) continue;
    everywhere = false;
    const bool late = now - since > kEverywhere;
    if (late && ReachableFor(world, i, kEverywhere)) {
      Violate(world, "in force everywhere",
              world.node_names[i] + " still has version " +
                  std::to_string(own) + ", not " + std::to_string(version));
    }
  }
  if (!everywhere) {
    watchdog.slowest_spread =
        std::max(watchdog.slowest_spread,
                 std::chrono::duration_cast<milliseconds>(now - since));
  }
}

void SweepStarvation(World& world) {
  Watchdog& watchdog = world.watchdog;
  const Time now = Now(*world.driver);
  std::set<std::string> waiting;
  for (const auto& [id, call] : world.calls) {
    const bool waits = !call.at_endpoint && call.caller_waits;
    if (waits) waiting.insert(LoadOf(world, world.wishes[call.wish]).cls);
  }
  std::erase_if(watchdog.waiting_since, [&](const auto& entry) {
    return !waiting.contains(entry.first);
  });
  for (const std::string& cls : waiting) {
    const Time since = watchdog.waiting_since.emplace(cls, now).first->second;
    const Time served = std::max(since, watchdog.last_served[cls]);
    if (now - served <= world.scenario->starvation) continue;
    Violate(world, "every class is served",
            "class " + cls + " waits and nothing of it was served");
    watchdog.waiting_since[cls] = now;
  }
}

}  // namespace

void Violate(World& world, const std::string& invariant, std::string what) {
  if (++world.watchdog.counts[invariant] > 1) return;
  world.watchdog.first[invariant] = std::move(what) + MomentOf(world);
}

void CheckStart(World& world, const FakeEndpoint& endpoint, node::CallId id) {
  const LiveCall& call = world.calls.at(id);
  Wish& wish = world.wishes[call.wish];
  const rules::Class* cls = ClassRule(world, LoadOf(world, wish).cls);
  ++wish.runs;
  if (wish.runs > 1 && cls != nullptr && !cls->repeatable) {
    ++world.watchdog.doubled;
    Violate(world, "at most once",
            "a call of class " + cls->source.name + " ran twice");
  }
  const std::string identity = Identity(world, id);
  world.watchdog.ran.insert(identity);
  if (world.watchdog.said_not_run.contains(identity)) {
    ++world.watchdog.false_not_run;
    Violate(world, "not run is true", "a call ran after \"not run\"");
  }
  CheckOut(world, "zone " + endpoint.zone, call.node);
  CheckOut(world, "endpoint " + endpoint.name, call.node);
}

void CheckNotRun(World& world, node::CallId id) {
  const std::string identity = Identity(world, id);
  world.watchdog.said_not_run.insert(identity);
  if (!world.watchdog.ran.contains(identity)) return;
  ++world.watchdog.false_not_run;
  Violate(world, "not run is true", "\"not run\" was said of a call that ran");
}

/// A caller who is turned away unrun hears so within the longest wait of its
/// class.
void CheckPromptness(World& world, NodeIdx node,
                     const node::AnswerError& error) {
  const auto at = world.calls.find(error.call);
  if (at == world.calls.end() || error.ran != node::RunStatus::kDidNotRun)
    return;
  const std::string& cls = LoadOf(world, world.wishes[at->second.wish]).cls;
  const rules::Class* rule = ClassRule(world, cls);
  const Time now = Now(*world.driver);
  const auto waited = now - at->second.delivered;
  if (rule == nullptr || waited <= rule->max_wait + kPromptness) return;
  // A process that stands still can't answer.
  if (now - world.watchdog.last_paused[node] <= waited) return;
  Violate(
      world, "refused in time",
      "a call of class " + cls + " was refused long after its longest wait");
}

void CheckRefusal(World& world, NodeIdx node, const node::AnswerError& error) {
  CheckPromptness(world, node, error);
  const bool shed =
      error.detail == NameOf(policy::RefuseReason::kShedForHigherTier) ||
      error.detail == NameOf(policy::RefuseReason::kQueueFull);
  const auto at = world.calls.find(error.call);
  if (!shed || at == world.calls.end()) return;
  const LoadSpec& load = LoadOf(world, world.wishes[at->second.wish]);
  const std::uint8_t tier = TierOf(world, load.cls);
  // Judged once the node has ended its event: it may shed lower ones as well.
  At(*world.driver, Now(*world.driver), [&world, node, tier, &load] {
    const bool lower = AnyWaits(world, node, [&](const LoadSpec& other) {
      return other.target == load.target && TierOf(world, other.cls) > tier;
    });
    if (!lower) return;
    Violate(world, "higher tier first",
            "class " + load.cls + " was shed while a lower tier waits");
  });
}

void CheckPreempt(World& world, NodeIdx node, const node::Decision& decision) {
  const bool higher = AnyWaits(world, node, [&](const LoadSpec& other) {
    return TierOf(world, other.cls) < decision.tier;
  });
  if (higher) return;
  Violate(world, "higher tier first",
          "class " + decision.cls + " was preempted for no higher tier");
}

void CheckRulesInForce(World& world, NodeIdx node) {
  Watchdog& watchdog = world.watchdog;
  const rules::Rules& rules = *world.in_force[node];
  if (rules.version < watchdog.versions[node]) {
    Violate(world, "never reverts",
            world.node_names[node] + " went back to version " +
                std::to_string(rules.version));
  }
  watchdog.versions[node] = rules.version;
  if (!watchdog.accepted.empty()) {
    const auto& [version, since] = *watchdog.accepted.rbegin();
    const Time now = Now(*world.driver);
    const bool old = rules.version < version && now - since > kEverywhere;
    // A process that wakes up takes what waits for it one after another.
    const bool wakes = now - watchdog.last_paused[node] <= kWaking;
    if (old && !wakes && IsReachable(world, node)) {
      Violate(world, "never reverts",
              world.node_names[node] + " took version " +
                  std::to_string(rules.version) + " after " +
                  std::to_string(version) + " was in force");
    }
  }
  Accept(world, rules);
}

void ForgetNode(World& world, NodeIdx node) {
  world.in_force[node] = nullptr;
  world.watchdog.versions[node] = 0;
}

void CheckEveryTick(World& world) {
  const Time now = Now(*world.driver);
  if (now < world.watchdog.next_sweep) return;
  world.watchdog.next_sweep = now + kSweep;
  SweepVersions(world);
  SweepStarvation(world);
}

}  // namespace egretladder::lab
