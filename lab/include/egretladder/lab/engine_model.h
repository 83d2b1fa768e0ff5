// A model engine without its network: continuous batching, a prefix cache of
// limited size, cold starts, priorities, lagging reports, orders. Pure: (state,
// event, now). It answers with token numbers, not with language.
//
// Source of the shape: vLLM's and Orca's iteration-level batching, in which one
// step gives each running call one token and takes longer the more run.
#pragma once

#include <chrono>
#include <cstdint>
#include <deque>
#include <list>
#include <map>
#include <optional>
#include <string>
#include <tuple>
#include <unordered_map>
#include <vector>

#include "egretladder/kernel/time.h"

namespace egretladder::lab {

using kernel::Time;

/// What an engine is like. The standard values are invented: a small engine
/// sped up, so that a demo of half a minute shows what takes an hour.
struct EngineOptions {
  std::uint32_t max_batch = 16;    ///< Calls that run in one step.
  std::uint32_t max_waiting = 64;  ///< Beyond it, calls are refused unrun.
  std::chrono::microseconds step_base{8000};
  std::chrono::microseconds step_per_call{500};     ///< For each running call.
  std::chrono::microseconds prefill_per_token{20};  ///< Not in the cache.
  std::uint32_t prefill_tokens = 2048;  ///< Prefilled in one step, at most.
  std::uint32_t cache_tokens = 100'000;
  std::chrono::milliseconds boot{0};  ///< Weights load; calls are refused.
  double cold_factor = 4;             ///< Of a step's time just after boot.
  std::uint32_t warm_tokens = 0;      ///< Tokens until warm; 0: starts warm.
  /// Calls in progress that it bears just after boot; more make it fall over.
  /// Grows to all it takes as it warms. 0: it never falls over.
  std::uint32_t cold_max_in_flight = 0;
  std::chrono::milliseconds report_period{100};
  std::chrono::milliseconds report_lag{300};
  bool honours_fencing = true;
  std::vector<std::string> models;       ///< Loaded at start; empty: bears any.
  std::uint32_t max_loaded_models = 0;   ///< Models in memory; 0: no limit.
  std::chrono::milliseconds load{2000};  ///< Of one model on order.
};

/// Numbers one call within an engine's life.
using EngineCallId = std::uint64_t;

/// A call as an engine takes it.
struct EngineCall {
  EngineCallId id = 0;
  std::uint32_t priority = 0;  ///< 0 is first.
  std::string model;
  std::vector<std::uint64_t> blocks;  ///< Chained hashes, see `PromptBlocks`.
  std::uint32_t prompt_tokens = 0;
  std::uint32_t output_tokens = 1;
};

/// What became of a call that came to an engine.
enum class SubmitResult : std::uint8_t {
  kTaken,
  kBooting,         ///< Not run: the weights load.
  kFull,            ///< Not run: too many wait.
  kModelNotLoaded,  ///< Not run.
  kFellOver,        ///< Too much for a cold engine: all in progress is lost.
};

/// One token of one call; `index` counts from 0.
struct EngineToken {
  EngineCallId call = 0;
  std::uint32_t index = 0;
  bool last = false;
};

/// What an engine says of itself.
struct EngineReport {
  std::uint64_t boot = 0;
  std::chrono::milliseconds age{};
  std::uint32_t running = 0;
  std::uint32_t waiting = 0;
  double cache_used = 0;  ///< 0 to 1.
  std::vector<std::string> loaded;
};

/// What a node orders an engine to do.
struct EngineOrder {
  std::string kind;  ///< `load` or `unload`; others are taken and do nothing.
  std::string model;
  std::uint64_t fencing = 0;
};

/// Sums since the engine started.
struct EngineCounts {
  std::uint64_t taken = 0;
  std::uint64_t refused = 0;  ///< Unrun.
  std::uint64_t finished = 0;
  std::uint64_t cancelled = 0;
  std::uint64_t lost = 0;  ///< In progress when it fell over.
  std::uint64_t tokens = 0;
  std::uint64_t cancelled_tokens = 0;  ///< Generated for calls cancelled later.
  std::uint64_t prompt_tokens = 0;
  std::uint64_t cached_tokens = 0;
  std::uint64_t fell_over = 0;
  std::uint64_t orders = 0;
  std::uint64_t old_orders = 0;  ///< With an old fencing number.
  std::uint32_t most_in_progress = 0;
};

/// A call in the batch or waiting for it.
struct EngineWork {
  EngineCall call;
  std::uint32_t prefill_left = 0;
  std::uint32_t generated = 0;
};

/// Blocks of prompts, the least recently used dropped first.
struct PrefixCache {
  std::list<std::uint64_t> recent;  ///< Latest first.
  std::unordered_map<std::uint64_t, std::list<std::uint64_t>::iterator> index;
};

/// Orders the waiting calls: by priority, then by arrival.
struct WaitingOrder {
  std::uint32_t priority = 0;
  std::uint64_t arrival = 0;
  bool operator<(const WaitingOrder& other) const {
    return std::tie(priority, arrival) <
           std::tie(other.priority, other.arrival);
  }
};

/// One engine. It changes through the functions below only.
struct EngineState {
  EngineOptions options;
  EngineCounts counts;
  std::uint64_t boot = 1;
  Time ready_at{};
  std::uint64_t warmed = 0;  ///< Tokens generated since it was cold.
  double slow_factor = 1;    ///< Set by a fault.
  std::map<WaitingOrder, EngineWork> waiting;
  std::vector<EngineWork> running;
  std::uint64_t arrivals = 0;
  std::optional<Time> step_ends;
  std::uint32_t step_prefill = 0;  ///< Tokens prefilled in this step.
  PrefixCache cache;
  std::deque<std::pair<Time, EngineReport>> reports;
  std::map<std::string, Time> loaded;  ///< Model, and since when it can run.
  std::uint64_t highest_fencing = 0;
  std::optional<Time> last_taken;  ///< When it last took a call.
};

/// Starts an engine that is ready when its boot time has passed.
EngineState StartEngine(const EngineOptions& options, std::uint64_t boot,
                        Time now);

/// Splits a prompt into blocks whose hashes depend on all before them, so that
/// equal leading hashes mean an equal prefix.
std::vector<std::uint64_t> PromptBlocks(std::string_view prompt);

/// Takes a call or says why not. On `kFellOver` every id in `lost` ended.
SubmitResult Submit(EngineState& state, EngineCall call, Time now,
                    std::vector<EngineCallId>& lost);

/// The client went away. An unknown id is ignored.
void Cancel(EngineState& state, EngineCallId call, Time now);

/// Ends every step that is over by `now`; appends the tokens it gave.
void Advance(EngineState& state, Time now, std::vector<EngineToken>& tokens);

/// When `Advance` has something to do next; nothing while idle.
std::optional<Time> NextStepEnd(const EngineState& state);

/// Loses the cache and what made it fast; work in progress goes on slowly.
void TurnCold(EngineState& state);

/// Calls in progress that it bears now without falling over.
std::uint32_t BearsNow(const EngineState& state);

/// What it said of itself `report_lag` ago.
EngineReport ReportOf(EngineState& state, Time now);

/// Returns false when the order is refused for its old fencing number.
bool TakeOrder(EngineState& state, const EngineOrder& order, Time now);

}  // namespace egretladder::lab
