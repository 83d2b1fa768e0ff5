// Attempts at the fakes of endpoints.
#include <algorithm>
#include <memory>

#include "scenario_world_p.h"

namespace egretladder::lab {
namespace {

/// Tokens are told to the node in parts, which keeps long runs short.
constexpr std::uint32_t kTokensPerNote = 16;

void FeedFailure(World& world, node::CallId call, std::uint8_t attempt,
                 policy::EndKind end, const char* detail) {
  const auto at = world.calls.find(call);
  if (at == world.calls.end()) return;
  at->second.engine_call = 0;
  Feed(*world.driver, at->second.node,
       [call, attempt, end, detail](node::NodeState& state, Time now,
                                    node::Actions& out) {
         node::OnFailure(state, call, attempt, end, detail, now, out);
       });
}

/// The same, after the way back.
void FailLater(World& world, node::CallId call, std::uint8_t attempt,
               policy::EndKind end, const char* detail) {
  At(*world.driver, Now(*world.driver) + world.scenario->wire,
     [&world, call, attempt, end, detail] {
       const auto at = world.calls.find(call);
       const bool current =
           at != world.calls.end() && at->second.attempt == attempt;
       if (current) FeedFailure(world, call, attempt, end, detail);
     });
}

/// Blocks of a prompt: its first half is shared by all with the same prefix.
std::vector<std::uint64_t> BlocksOf(const Wish& wish, std::uint32_t idx) {
  std::vector<std::uint64_t> blocks;
  const std::uint32_t count = wish.prompt / 16;
  for (std::uint32_t i = 0; i < count; ++i) {
    const bool shared = i < count / 2;
    const std::uint64_t seed = shared ? wish.prefix : (1ULL << 32U) + idx;
    blocks.push_back(seed * 1'000'003 + i);
  }
  return blocks;
}

/// Ends every call in progress at `lost`, as dead with its endpoint.
void LoseAll(World& world, const std::vector<EngineCallId>& lost) {
  for (const EngineCallId id : lost) {
    const auto at = world.engine_calls.find(id);
    if (at == world.engine_calls.end()) continue;
    const node::CallId call = at->second;
    world.engine_calls.erase(at);
    FailLater(world, call, world.calls[call].attempt, policy::EndKind::kDied,
              "endpoint died");
  }
}

std::vector<EngineCallId> InProgress(const FakeEndpoint& endpoint) {
  std::vector<EngineCallId> ids;
  for (const auto& work : endpoint.engine.running) ids.push_back(work.call.id);
  for (const auto& [order, work] : endpoint.engine.waiting) {
    ids.push_back(work.call.id);
  }
  std::sort(ids.begin(), ids.end());
  return ids;
}

void OnStep(World& world, std::uint32_t idx);

void AwaitStep(World& world, std::uint32_t idx) {
  FakeEndpoint& endpoint = world.endpoints[idx];
  const auto next = NextStepEnd(endpoint.engine);
  if (!next || endpoint.wake == next) return;
  endpoint.wake = next;
  At(*world.driver, *next, [&world, idx, when = *next] {
    FakeEndpoint& woken = world.endpoints[idx];
    if (woken.wake != when) return;
    woken.wake.reset();
    OnStep(world, idx);
  });
}

void FinishAttempt(World& world, node::CallId id, std::uint8_t attempt) {
  const auto at = world.calls.find(id);
  if (at == world.calls.end() || at->second.attempt != attempt) return;
  LiveCall& call = at->second;
  call.engine_call = 0;
  auto answer = std::make_shared<fleet::StoredAnswer>();
  answer->status = 200;
  answer->body = "answer to " + std::to_string(call.wish);
  const auto source = call.passed_from;
  const bool waits = call.caller_waits;
  Feed(*world.driver, call.node,
       [id, attempt, answer](node::NodeState& state, Time now,
                             node::Actions& out) {
         node::OnAnswer(state, id, attempt, answer, now, out);
       });
  if (!waits) return ForgetLiveCall(world, id);
  if (!source) return OnCallAnswered(world, id, false);
  ForgetLiveCall(world, id);
  const auto passing = world.calls.find(*source);
  if (passing == world.calls.end()) return;
  Feed(
      *world.driver, passing->second.node,
      [passed = *source](node::NodeState& state, Time now, node::Actions& out) {
        node::OnForwarded(state, passed, true, true, now, out);
      });
  OnCallAnswered(world, *source, false);
}

void TakeToken(World& world, const EngineToken& token) {
  const auto found = world.engine_calls.find(token.call);
  if (found == world.engine_calls.end()) return;
  const node::CallId id = found->second;
  LiveCall& call = world.calls[id];
  if (token.last) world.engine_calls.erase(found);
  if (token.index != call.tokens) {
    ++world.watchdog.mixed;
    Violate(world, "own answer", "tokens reached a caller out of order");
  }
  ++call.tokens;
  const std::uint8_t attempt = call.attempt;
  if (token.index == 0) {
    Feed(*world.driver, call.node,
         [id, attempt](node::NodeState& state, Time now, node::Actions&) {
           node::OnFirstToken(state, id, attempt, now);
         });
    OnCallerToken(world, call.passed_from.value_or(id));
  }
  const bool note = call.tokens % kTokensPerNote == 0 || token.last;
  if (note) {
    const std::uint32_t count = (call.tokens - 1) % kTokensPerNote + 1;
    Feed(
        *world.driver, call.node,
        [id, attempt, count](node::NodeState& state, Time now, node::Actions&) {
          node::OnTokens(state, id, attempt, count, now);
        });
  }
  if (!token.last) return;
  At(*world.driver, Now(*world.driver) + world.scenario->wire,
     [&world, id, attempt] { FinishAttempt(world, id, attempt); });
}

void OnStep(World& world, std::uint32_t idx) {
  std::vector<EngineToken> tokens;
  Advance(world.endpoints[idx].engine, Now(*world.driver), tokens);
  for (const EngineToken& token : tokens) TakeToken(world, token);
  AwaitStep(world, idx);
}

const char* NameOf(SubmitResult result) {
  switch (result) {
    case SubmitResult::kTaken:
      return "taken";
    case SubmitResult::kBooting:
      return "booting";
    case SubmitResult::kFull:
      return "full";
    case SubmitResult::kModelNotLoaded:
      return "model not loaded";
    case SubmitResult::kFellOver:
      return "fell over";
  }
  return "unknown";
}

/// A poison request crashes the engine once it runs.
void PlacePoison(World& world, std::uint32_t idx, EngineCallId engine_call) {
  At(*world.driver, Now(*world.driver) + milliseconds(50),
     [&world, idx, engine_call] {
       if (world.engine_calls.contains(engine_call)) {
         CrashEndpoint(world, world.endpoints[idx]);
       }
     });
}

void SubmitTo(World& world, std::uint32_t idx, node::CallId id,
              const node::SendCall& send) {
  const auto at = world.calls.find(id);
  if (at == world.calls.end() || at->second.attempt != send.attempt) return;
  LiveCall& call = at->second;
  FakeEndpoint& endpoint = world.endpoints[idx];
  if (!endpoint.up) {
    return FailLater(world, id, send.attempt, policy::EndKind::kNotRun,
                     "connection refused");
  }
  const Wish& wish = world.wishes[call.wish];
  const LoadSpec& load = LoadOf(world, wish);
  EngineCall work{world.next_engine_call++,  send.engine_priority, load.target,
                  BlocksOf(wish, call.wish), wish.prompt,          wish.output};
  const EngineCallId engine_call = work.id;
  std::vector<EngineCallId> lost;
  const SubmitResult result =
      Submit(endpoint.engine, std::move(work), Now(*world.driver), lost);
  world.starts.push_back({Now(*world.driver), idx});
  const bool taken =
      result == SubmitResult::kTaken || result == SubmitResult::kFellOver;
  if (!taken) {
    return FailLater(world, id, send.attempt, policy::EndKind::kNotRun,
                     NameOf(result));
  }
  call.engine_call = engine_call;
  call.sent = true;
  world.engine_calls[engine_call] = id;
  CheckStart(world, endpoint, id);
  if (result == SubmitResult::kFellOver) {
    ++endpoint.overloads;
    Violate(world, "no more than a fresh endpoint bears",
            endpoint.name + " got more than it bears");
    return LoseAll(world, lost);
  }
  if (load.poison) PlacePoison(world, idx, engine_call);
  AwaitStep(world, idx);
}

/// Right before the first byte: the node's last word.
void AskAndSubmit(World& world, std::uint32_t idx, const node::SendCall& send) {
  const auto at = world.calls.find(send.call);
  if (at == world.calls.end() || at->second.attempt != send.attempt) return;
  Feed(*world.driver, at->second.node,
       [&world, idx, send](node::NodeState& state, Time now,
                           node::Actions& out) {
         if (!node::MaySend(state, send.call, send.attempt, now, out)) return;
         At(*world.driver, now + world.scenario->wire,
            [&world, idx, send] { SubmitTo(world, idx, send.call, send); });
       });
}

}  // namespace

void ConnectAttempt(World& world, NodeIdx node, const node::SendCall& send) {
  const rules::RulesPtr& rules = world.in_force[node];
  const std::string& name = rules->endpoints[send.endpoint.idx].source.name;
  const auto found = world.endpoint_idx.find(name);
  if (found == world.endpoint_idx.end()) return;
  const std::uint32_t idx = found->second;
  world.calls[send.call].endpoint = name;
  At(*world.driver, Now(*world.driver) + 2 * world.scenario->wire,
     [&world, idx, send] {
       if (world.endpoints[idx].up) return AskAndSubmit(world, idx, send);
       const auto at = world.calls.find(send.call);
       const bool current =
           at != world.calls.end() && at->second.attempt == send.attempt;
       if (!current) return;
       FeedFailure(world, send.call, send.attempt, policy::EndKind::kNotRun,
                   "connection refused");
     });
}

void CancelAttempt(World& world, LiveCall& call) {
  if (call.engine_call == 0) return;
  world.engine_calls.erase(call.engine_call);
  const std::uint32_t idx = world.endpoint_idx.at(call.endpoint);
  Cancel(world.endpoints[idx].engine, call.engine_call, Now(*world.driver));
  call.engine_call = 0;
}

void CrashEndpoint(World& world, FakeEndpoint& endpoint) {
  if (!endpoint.up) return;
  ++endpoint.deaths;
  endpoint.up = false;
  endpoint.wake.reset();
  const auto lost = InProgress(endpoint);
  EngineState& engine = endpoint.engine;
  EngineOptions options = world.scenario->engines.at(endpoint.name);
  options.report_lag = engine.options.report_lag;
  EngineState fresh = StartEngine(options, engine.boot + 1, Now(*world.driver));
  fresh.counts = engine.counts;
  fresh.counts.lost += lost.size();
  fresh.highest_fencing = engine.highest_fencing;
  engine = std::move(fresh);
  LoseAll(world, lost);
  const std::uint32_t idx = world.endpoint_idx.at(endpoint.name);
  At(*world.driver, engine.ready_at,
     [&world, idx] { world.endpoints[idx].up = true; });
}

}  // namespace egretladder::lab
