#include "egretladder/lab/driver.h"

#include <algorithm>
#include <optional>
#include <queue>
#include <set>
#include <tuple>
#include <utility>
#include <vector>

#include "egretladder/kernel/hash.h"

namespace egretladder::lab {
namespace {

struct TimedEvent {
  Time when{};
  std::uint64_t number = 0;
  std::function<void()> what;
};

/// The earliest first; of one moment, the first entered.
struct Later {
  bool operator()(const TimedEvent& left, const TimedEvent& right) const {
    return std::tie(left.when, left.number) >
           std::tie(right.when, right.number);
  }
};

struct Process {
  node::NodeOptions options;
  node::NodePtr state;  ///< Null while it is down.
  std::optional<Time> paused_until;
  std::vector<NodeEvent> waiting;  ///< For the end of the pause.
};

}  // namespace

struct DriverState {
  DriverOptions options;
  ActionSink sink;
  kernel::ManualClock clock;
  kernel::Random random;
  std::priority_queue<TimedEvent, std::vector<TimedEvent>, Later> events;
  std::uint64_t entered = 0;
  Time next_tick{};
  std::vector<Process> nodes;
  std::set<std::pair<NodeIdx, NodeIdx>> cuts;
  double loss = 0;
  std::uint64_t carried = 0;
  std::vector<std::function<void()>> checks;
};

namespace {

NodeIdx FindByPeerAddress(const DriverState& state,
                          const std::string& address) {
  for (NodeIdx i = 0; i < state.nodes.size(); ++i) {
    if (state.nodes[i].options.fleet.peer_address == address) return i;
  }
  return state.nodes.size();
}

bool IsLost(DriverState& state) {
  return state.loss > 0 && kernel::RandomFraction(state.random) < state.loss;
}

/// Carries a message, unless the wire is cut when it leaves.
void Carry(DriverState& state, NodeIdx from, fleet::SendMessage& send) {
  const NodeIdx to = FindByPeerAddress(state, send.peer_address);
  if (to == state.nodes.size() || IsCut(state, from, to) || IsLost(state)) {
    return;
  }
  ++state.carried;
  const fleet::FleetOptions& sender = state.nodes[from].options.fleet;
  At(state, state.clock.now + state.options.wire_delay,
     [&state, to, id = fleet::Sender{sender.node, sender.incarnation},
      message = std::move(send.message)] {
       // By value: a paused node takes the message when this is long gone.
       Feed(state, to,
            [id, message](node::NodeState& node, Time now, node::Actions& out) {
              node::OnMessage(node, id, message, now, out);
            });
     });
}

void TakeActions(DriverState& state, NodeIdx node, node::Actions& actions) {
  for (node::Action& action : actions) {
    if (auto* send = std::get_if<fleet::SendMessage>(&action)) {
      Carry(state, node, *send);
    } else {
      state.sink(node, action);
    }
  }
}

kernel::Result<void> StartProcess(DriverState& state, NodeIdx idx) {
  node::Actions actions;
  auto started =
      node::StartNode(state.nodes[idx].options, state.clock.now, actions);
  if (!started) return started.error();
  state.nodes[idx].state = std::move(started).value();
  TakeActions(state, idx, actions);
  return BOOST_OUTCOME_V2_NAMESPACE::success();
}

/// What waited in the sockets comes first, then the timers: the worse order for
/// a process that wakes up with old decisions.
void Wake(DriverState& state, NodeIdx idx) {
  Process& process = state.nodes[idx];
  process.paused_until.reset();
  for (NodeEvent& event : std::exchange(process.waiting, {})) {
    Feed(state, idx, std::move(event));
  }
}

void Tick(DriverState& state) {
  for (NodeIdx i = 0; i < state.nodes.size(); ++i) {
    const auto& paused = state.nodes[i].paused_until;
    if (paused && *paused <= state.clock.now) Wake(state, i);
    if (state.nodes[i].paused_until) continue;
    Feed(state, i, [](node::NodeState& node, Time now, node::Actions& out) {
      node::OnTick(node, now, out);
    });
  }
  for (const auto& check : state.checks) check();
}

}  // namespace

void DriverDelete::operator()(DriverState* state) const { delete state; }

DriverPtr StartDriver(const DriverOptions& options, ActionSink sink) {
  DriverPtr state(new DriverState);
  state->options = options;
  state->sink = std::move(sink);
  state->random.seed(options.seed);
  state->next_tick = state->clock.now + node::kNodeTickInterval;
  return state;
}

kernel::Result<NodeIdx> AddNode(DriverState& state,
                                const node::NodeOptions& options) {
  const NodeIdx idx = state.nodes.size();
  state.nodes.push_back({options, nullptr, std::nullopt, {}});
  auto started = StartProcess(state, idx);
  if (!started) return started.error();
  return idx;
}

Time Now(const DriverState& state) { return state.clock.now; }

void At(DriverState& state, Time when, std::function<void()> what) {
  state.events.push(
      {std::max(when, state.clock.now), state.entered++, std::move(what)});
}

void RunUntil(DriverState& state, Time until) {
  while (true) {
    const bool event_first =
        !state.events.empty() && state.events.top().when <= state.next_tick;
    const Time next = event_first ? state.events.top().when : state.next_tick;
    if (next > until) break;
    state.clock.now = next;
    if (event_first) {
      const auto what = state.events.top().what;
      state.events.pop();
      what();
    } else {
      state.next_tick += node::kNodeTickInterval;
      Tick(state);
    }
  }
  state.clock.now = until;
}

void AfterEachTick(DriverState& state, std::function<void()> check) {
  state.checks.push_back(std::move(check));
}

bool Feed(DriverState& state, NodeIdx node, NodeEvent event) {
  Process& process = state.nodes[node];
  if (process.state == nullptr) return false;
  if (process.paused_until) {
    process.waiting.push_back(std::move(event));
    return true;
  }
  node::Actions actions;
  event(*process.state, state.clock.now, actions);
  TakeActions(state, node, actions);
  return true;
}

node::NodeState* NodeOf(DriverState& state, NodeIdx node) {
  return state.nodes[node].state.get();
}

void KillNode(DriverState& state, NodeIdx node) {
  Process& process = state.nodes[node];
  process.state.reset();
  process.waiting.clear();
  process.paused_until.reset();
}

void RestartNode(DriverState& state, NodeIdx node) {
  KillNode(state, node);
  fleet::FleetOptions& options = state.nodes[node].options.fleet;
  ++options.incarnation;
  ++options.started;
  // The options started a node before; they do so again.
  static_cast<void>(StartProcess(state, node));
}

void PauseNode(DriverState& state, NodeIdx node, Time until) {
  if (state.nodes[node].state != nullptr) {
    state.nodes[node].paused_until = until;
  }
}

bool IsPaused(const DriverState& state, NodeIdx node) {
  return state.nodes[node].paused_until.has_value();
}

void CutWire(DriverState& state, NodeIdx from, NodeIdx to) {
  state.cuts.insert({from, to});
}
void HealWire(DriverState& state, NodeIdx from, NodeIdx to) {
  state.cuts.erase({from, to});
}
bool IsCut(const DriverState& state, NodeIdx from, NodeIdx to) {
  return state.cuts.contains({from, to});
}
void LoseMessages(DriverState& state, double share) { state.loss = share; }

std::uint64_t MessagesCarried(const DriverState& state) {
  return state.carried;
}

}  // namespace egretladder::lab
