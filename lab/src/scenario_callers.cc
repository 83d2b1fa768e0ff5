// The fakes of callers: whom they ask, where they send, when they try again.
#include <algorithm>
#include <cmath>

#include "scenario_world_p.h"

namespace egretladder::lab {
namespace {

/// How long a caller waits before it tries another node.
constexpr milliseconds kNextNodeAfter{200};

bool MayRepeat(const World& world, const Wish& wish) {
  const rules::Class* cls = ClassRule(world, LoadOf(world, wish).cls);
  return cls == nullptr || cls->repeatable;
}

void SendWish(World& world, std::uint32_t idx);

void Close(World& world, Wish& wish, Outcome outcome) {
  if (wish.outcome != Outcome::kOpen) return;
  wish.outcome = outcome;
  wish.ended = Now(*world.driver);
  wish.call = 0;
}

/// Asks any published node. Callers know all of them from their own settings.
void AskWhere(World& world, Caller& caller) {
  const std::size_t count = world.node_names.size();
  const std::size_t first = kernel::RandomBelow(world.random, count);
  for (std::size_t i = 0; i < count; ++i) {
    const NodeIdx idx = (first + i) % count;
    node::NodeState* node = NodeOf(*world.driver, idx);
    if (node == nullptr || IsPaused(*world.driver, idx)) continue;
    const auto answer = node::Where(*node, caller.zone, Now(*world.driver));
    if (answer.addresses.empty()) continue;
    caller.addresses = answer.addresses;
    caller.lane = answer.lane;
    caller.lane_address = answer.lane_address;
    caller.keep_for = answer.keep_for;
    caller.asked = Now(*world.driver);
    return;
  }
}

Caller& FreshCaller(World& world, const Wish& wish) {
  Caller& caller = world.callers[wish.caller];
  const bool old =
      !caller.asked || Now(*world.driver) - *caller.asked >= caller.keep_for;
  if (old || caller.addresses.empty()) AskWhere(world, caller);
  return caller;
}

node::Call MakeCall(World& world, const Wish& wish, std::uint32_t idx) {
  const LoadSpec& load = LoadOf(world, wish);
  node::Call call;
  call.id = world.next_call++;
  call.account = load.account;
  call.cls = load.cls;
  call.target = load.target;
  call.body_hash = load.poison ? load.line + (1ULL << 40U) : idx + 1;
  call.prefix = wish.prefix;
  call.prompt_tokens = wish.prompt;
  call.timeout = load.timeout;
  if (!wish.lane.empty()) {
    call.lane = wish.lane;
    call.key = "wish-" + std::to_string(idx);
  }
  return call;
}

void TryLater(World& world, std::uint32_t idx, milliseconds delay) {
  At(*world.driver, Now(*world.driver) + delay, [&world, idx] {
    if (world.wishes[idx].outcome == Outcome::kOpen) SendWish(world, idx);
  });
}

/// Tries again, or takes the outcome as it is.
void RetryOr(World& world, std::uint32_t idx, milliseconds delay,
             Outcome outcome) {
  Wish& wish = world.wishes[idx];
  wish.call = 0;
  if (wish.tries > LoadOf(world, wish).retries) {
    return Close(world, wish, outcome);
  }
  // The answer that was kept may have led here.
  world.callers[wish.caller].asked.reset();
  TryLater(world, idx, std::max(delay, kNextNodeAfter));
}

void Deliver(World& world, std::uint32_t idx, NodeIdx node,
             const node::Call& call) {
  LiveCall& live = world.calls[call.id];
  live.wish = idx;
  live.node = node;
  live.delivered = Now(*world.driver);
  world.wishes[idx].call = call.id;
  const bool up =
      Feed(*world.driver, node,
           [call](node::NodeState& state, Time now, node::Actions& out) {
             node::OnCall(state, call, now, out);
           });
  if (up) return;
  ForgetLiveCall(world, call.id);
  RetryOr(world, idx, kNextNodeAfter, Outcome::kLeft);
}

/// The first try goes where it needs no passing on; later ones to the next
/// node of the list.
const std::string& AddressFor(const Wish& wish, const Caller& caller) {
  const bool first = wish.tries <= 1;
  if (first && !wish.lane.empty()) return wish.lane_address;
  const std::size_t choice =
      std::min<std::size_t>(wish.tries - 1, caller.addresses.size() - 1);
  return caller.addresses[choice];
}

void SendWish(World& world, std::uint32_t idx) {
  Wish& wish = world.wishes[idx];
  Caller& caller = FreshCaller(world, wish);
  ++wish.tries;
  if (caller.addresses.empty()) {
    return RetryOr(world, idx, kNextNodeAfter, Outcome::kLeft);
  }
  if (!MayRepeat(world, wish) && wish.lane.empty()) {
    wish.lane = caller.lane;
    wish.lane_address = caller.lane_address;
  }
  const NodeIdx node = FindNodeByAddress(world, AddressFor(wish, caller));
  const node::Call call = MakeCall(world, wish, idx);
  At(*world.driver, Now(*world.driver) + world.scenario->client,
     [&world, idx, node, call] {
       if (world.wishes[idx].outcome != Outcome::kOpen) return;
       Deliver(world, idx, node, call);
     });
}

/// A caller whose patience ends goes away.
void LosePatience(World& world, std::uint32_t idx) {
  Wish& wish = world.wishes[idx];
  if (wish.outcome != Outcome::kOpen) return;
  const node::CallId call = wish.call;
  Close(world, wish, Outcome::kLeft);
  const auto at = world.calls.find(call);
  if (at == world.calls.end()) return;
  at->second.caller_waits = false;
  Feed(*world.driver, at->second.node,
       [call](node::NodeState& state, Time now, node::Actions& out) {
         node::OnCallerGone(state, call, now, out);
       });
  const auto after = world.calls.find(call);
  if (after != world.calls.end() && after->second.engine_call == 0) {
    ForgetLiveCall(world, call);
  }
}

void MakeWish(World& world, std::uint32_t load_idx) {
  const LoadSpec& load = world.scenario->loads[load_idx];
  const auto idx = static_cast<std::uint32_t>(world.wishes.size());
  Wish wish;
  wish.load = load_idx;
  const auto& callers = world.callers_of[load_idx];
  wish.caller = callers[kernel::RandomBelow(world.random, callers.size())];
  wish.created = Now(*world.driver);
  wish.prompt = load.prompt;
  const double vary =
      load.spread * (2 * kernel::RandomFraction(world.random) - 1);
  wish.output = static_cast<std::uint32_t>(
      std::max(1.0, std::round(load.output * (1 + vary))));
  const std::uint64_t prefix =
      kernel::RandomBelow(world.random, std::max(1U, load.prefixes));
  wish.prefix = static_cast<std::uint32_t>(load_idx * 1000 + prefix + 1);
  world.wishes.push_back(wish);
  At(*world.driver, wish.created + load.patience,
     [&world, idx] { LosePatience(world, idx); });
  SendWish(world, idx);
}

/// Arrivals of a Poisson process.
void ArriveNext(World& world, std::uint32_t load_idx) {
  const LoadSpec& load = world.scenario->loads[load_idx];
  const double gap =
      -std::log(1 - kernel::RandomFraction(world.random)) / load.rate;
  const Time next =
      Now(*world.driver) +
      std::chrono::nanoseconds(static_cast<std::int64_t>(gap * 1e9));
  if (load.to != kNever && next >= world.start + load.to) return;
  At(*world.driver, next, [&world, load_idx] {
    MakeWish(world, load_idx);
    ArriveNext(world, load_idx);
  });
}

void AddCallers(World& world, const LoadSpec& load) {
  std::vector<std::string> zones;
  for (const rules::Zone& zone : world.published->zones) {
    zones.push_back(zone.source.name);
  }
  auto& own = world.callers_of.emplace_back();
  for (std::uint32_t i = 0; i < load.callers; ++i) {
    Caller caller;
    caller.zone = load.zone.empty() ? zones[i % zones.size()] : load.zone;
    own.push_back(static_cast<std::uint32_t>(world.callers.size()));
    world.callers.push_back(std::move(caller));
  }
}

}  // namespace

void StartLoads(World& world) {
  for (std::uint32_t i = 0; i < world.scenario->loads.size(); ++i) {
    const LoadSpec& load = world.scenario->loads[i];
    AddCallers(world, load);
    if (load.rate <= 0) continue;
    At(*world.driver, world.start + load.from,
       [&world, i] { ArriveNext(world, i); });
  }
}

void ForgetLiveCall(World& world, node::CallId call) {
  const auto at = world.calls.find(call);
  if (at == world.calls.end()) return;
  world.engine_calls.erase(at->second.engine_call);
  world.calls.erase(at);
}

void OnCallerToken(World& world, node::CallId call) {
  const auto at = world.calls.find(call);
  if (at == world.calls.end()) return;
  Wish& wish = world.wishes[at->second.wish];
  const bool open = wish.outcome == Outcome::kOpen && !wish.first_token;
  if (open) wish.first_token = Now(*world.driver) + world.scenario->client;
}

void OnCallAnswered(World& world, node::CallId call, bool stored) {
  const auto at = world.calls.find(call);
  if (at == world.calls.end()) return;
  Wish& wish = world.wishes[at->second.wish];
  if (stored) OnCallerToken(world, call);
  const std::string cls = LoadOf(world, wish).cls;
  ForgetLiveCall(world, call);
  Close(world, wish, Outcome::kServed);
  world.watchdog.last_served[cls] = Now(*world.driver);
}

void OnCallRefused(World& world, const node::AnswerError& error) {
  const auto at = world.calls.find(error.call);
  if (at == world.calls.end()) return;
  const std::uint32_t idx = at->second.wish;
  Wish& wish = world.wishes[idx];
  ++world.tally[std::string("error_") + NameOf(error.code)];
  // A call that goes on without its caller is forgotten at its end.
  at->second.caller_waits = false;
  if (at->second.engine_call == 0) ForgetLiveCall(world, error.call);
  if (wish.outcome != Outcome::kOpen) return;
  const bool not_run = error.ran == node::RunStatus::kDidNotRun;
  // After "not run" the caller may begin anew; after "unknown" it must ask with
  // the same lane and key.
  if (not_run) wish.lane.clear();
  if (!not_run && wish.first_token && MayRepeat(world, wish)) {
    return Close(world, wish, Outcome::kUnknown);
  }
  RetryOr(world, idx, error.retry_after,
          not_run ? Outcome::kRefused : Outcome::kUnknown);
}

void OnCallBroken(World& world, node::CallId call) {
  const auto at = world.calls.find(call);
  if (at == world.calls.end()) return;
  const std::uint32_t idx = at->second.wish;
  const bool waits = at->second.caller_waits;
  ForgetLiveCall(world, call);
  Wish& wish = world.wishes[idx];
  if (!waits || wish.outcome != Outcome::kOpen) return;
  if (wish.first_token && MayRepeat(world, wish)) {
    return Close(world, wish, Outcome::kUnknown);
  }
  RetryOr(world, idx, kNextNodeAfter, Outcome::kUnknown);
}

}  // namespace egretladder::lab
