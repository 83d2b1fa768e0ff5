// A model engine without a network: continuous batching, a prefix cache of
// limited size, cold starts, priorities, delayed reports, orders. Its functions
// depend on (state, event, now) only. Its answers are token numbers, not text.
//
// Models iteration-level batching as in vLLM and Orca: one step produces a
// token for each running call and takes longer with more calls.
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

/// The properties of an engine. The defaults describe a small engine that is
/// sped up, so that a demo of half a minute shows the effects of an hour.
struct EngineOptions {
  std::uint32_t max_batch = 16;    ///< Maximum number of running calls.
  std::uint32_t max_waiting = 64;  ///< Further calls are rejected as not run.
  std::chrono::microseconds step_base{8000};
  std::chrono::microseconds step_per_call{500};     ///< Added per running call.
  std::chrono::microseconds prefill_per_token{20};  ///< Per uncached token.
  std::uint32_t prefill_tokens = 2048;              ///< Maximum per step.
  std::uint32_t cache_tokens = 100'000;
  std::chrono::milliseconds boot{0};  ///< Loading; calls are rejected.
  double cold_factor = 4;             ///< Slowdown of steps right after boot.
  std::uint32_t warm_tokens = 0;  ///< Tokens until it is warm; 0: starts warm.
  /// Calls in progress that it can take right after boot; with more it crashes.
  /// The limit grows to its full capacity while it warms up. 0: it never
  /// crashes.
  std::uint32_t cold_max_in_flight = 0;
  std::chrono::milliseconds report_period{100};
  std::chrono::milliseconds report_lag{300};
  bool honours_fencing = true;
  std::vector<std::string> models;      ///< Loaded at start; empty: serves any.
  std::uint32_t max_loaded_models = 0;  ///< Maximum; 0: no limit.
  std::chrono::milliseconds load{2000};  ///< Time to load a model.
};

/// The number of a call at an engine.
using EngineCallId = std::uint64_t;

/// A call that is sent to an engine.
struct EngineCall {
  EngineCallId id = 0;
  std::uint32_t priority = 0;  ///< 0 is first.
  std::string model;
  std::vector<std::uint64_t> blocks;  ///< Chained hashes; see `PromptBlocks`.
  std::uint32_t prompt_tokens = 0;
  std::uint32_t output_tokens = 1;
};

/// How an engine responds to a new call.
enum class SubmitResult : std::uint8_t {
  kTaken,
  kBooting,         ///< Not run: the weights are being loaded.
  kFull,            ///< Not run: too many calls wait.
  kModelNotLoaded,  ///< Not run.
  kFellOver,        ///< A cold engine crashed; all its calls are lost.
};

/// A token of a call; `index` counts from 0.
struct EngineToken {
  EngineCallId call = 0;
  std::uint32_t index = 0;
  bool last = false;
};

/// The report of an engine.
struct EngineReport {
  std::uint64_t boot = 0;
  std::chrono::milliseconds age{};
  std::uint32_t running = 0;
  std::uint32_t waiting = 0;
  double cache_used = 0;  ///< 0 to 1.
  std::vector<std::string> loaded;
};

/// An order of a node to an engine.
struct EngineOrder {
  std::string kind;  ///< `load` or `unload`; others have no effect.
  std::string model;
  std::uint64_t fencing = 0;
};

/// Totals since the engine started.
struct EngineCounts {
  std::uint64_t taken = 0;
  std::uint64_t refused = 0;  ///< Rejected as not run.
  std::uint64_t finished = 0;
  std::uint64_t cancelled = 0;
  std::uint64_t lost = 0;  ///< In progress when it crashed.
  std::uint64_t tokens = 0;
  std::uint64_t cancelled_tokens = 0;  ///< Generated for cancelled calls.
  std::uint64_t prompt_tokens = 0;
  std::uint64_t cached_tokens = 0;
  std::uint64_t fell_over = 0;
  std::uint64_t orders = 0;
  std::uint64_t old_orders = 0;  ///< Rejected for an old fencing token.
  std::uint32_t most_in_progress = 0;
};

/// A call that runs or waits.
struct EngineWork {
  EngineCall call;
  std::uint32_t prefill_left = 0;
  std::uint32_t generated = 0;
};

/// Cached blocks of prompts; the least recently used are evicted first.
struct PrefixCache {
  std::list<std::uint64_t> recent;  ///< Most recently used first.
  std::unordered_map<std::uint64_t, std::list<std::uint64_t>::iterator> index;
};

/// Order of waiting calls: by priority, then by arrival.
struct WaitingOrder {
  std::uint32_t priority = 0;
  std::uint64_t arrival = 0;
  bool operator<(const WaitingOrder& other) const {
    return std::tie(priority, arrival) <
           std::tie(other.priority, other.arrival);
  }
};

/// The state of an engine. Only the functions below change it.
struct EngineState {
  EngineOptions options;
  EngineCounts counts;
  std::uint64_t boot = 1;
  Time ready_at{};
  std::uint64_t warmed = 0;  ///< Tokens generated since it became cold.
  double slow_factor = 1;    ///< Set by a fault.
  std::map<WaitingOrder, EngineWork> waiting;
  std::vector<EngineWork> running;
  std::uint64_t arrivals = 0;
  std::optional<Time> step_ends;
  std::uint32_t step_prefill = 0;  ///< Tokens prefilled in this step.
  PrefixCache cache;
  std::deque<std::pair<Time, EngineReport>> reports;
  std::map<std::string, Time> loaded;  ///< Models, and since when.
  std::uint64_t highest_fencing = 0;
  std::optional<Time> last_taken;  ///< When it last accepted a call.
};

/// Creates an engine that is ready after its boot time.
EngineState StartEngine(const EngineOptions& options, std::uint64_t boot,
                        Time now);

/// Splits a prompt into blocks. Each hash depends on all blocks before it, so
/// that equal leading hashes mean an equal prefix.
std::vector<std::uint64_t> PromptBlocks(std::string_view prompt);

/// Accepts or rejects a call. On `kFellOver`, the calls in `lost` have ended.
SubmitResult Submit(EngineState& state, EngineCall call, Time now,
                    std::vector<EngineCallId>& lost);

/// Cancels a call whose client has disconnected. Unknown ids are ignored.
void Cancel(EngineState& state, EngineCallId call, Time now);

/// Completes all steps that end by `now` and appends their tokens.
void Advance(EngineState& state, Time now, std::vector<EngineToken>& tokens);

/// Returns when the current step ends; nullopt while idle.
std::optional<Time> NextStepEnd(const EngineState& state);

/// Makes the engine cold and clears its cache. Running calls continue slowly.
void TurnCold(EngineState& state);

/// Returns the number of calls that it can take now without a crash.
std::uint32_t BearsNow(const EngineState& state);

/// Returns its report of `report_lag` ago.
EngineReport ReportOf(EngineState& state, Time now);

/// Executes an order. Returns false if its fencing token is too old.
bool TakeOrder(EngineState& state, const EngineOrder& order, Time now);

}  // namespace egretladder::lab
