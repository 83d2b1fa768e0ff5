#include "egretladder/lab/engine_model.h"

#include <algorithm>
#include <utility>

#include "egretladder/kernel/hash.h"
#include "egretladder/lab/config.h"

namespace egretladder::lab {
namespace {

std::size_t InProgress(const EngineState& state) {
  return state.running.size() + state.waiting.size();
}

bool IsCold(const EngineState& state) {
  return state.warmed < state.options.warm_tokens;
}

/// 0 when just cold, 1 when warm.
double Warmth(const EngineState& state) {
  if (!IsCold(state)) return 1;
  return static_cast<double>(state.warmed) / state.options.warm_tokens;
}

/// Returns the tokens at the start of the prompt that were in the cache, and
/// puts the whole prompt into it.
std::uint32_t UseCache(EngineState& state, const EngineCall& call) {
  PrefixCache& cache = state.cache;
  std::uint32_t hits = 0;
  bool leading = true;
  for (const std::uint64_t block : call.blocks) {
    const auto at = cache.index.find(block);
    if (at != cache.index.end()) {
      cache.recent.splice(cache.recent.begin(), cache.recent, at->second);
      if (leading) ++hits;
      continue;
    }
    leading = false;
    cache.recent.push_front(block);
    cache.index[block] = cache.recent.begin();
  }
  const std::size_t most = state.options.cache_tokens / kTokensPerBlock;
  while (cache.recent.size() > most) {
    cache.index.erase(cache.recent.back());
    cache.recent.pop_back();
  }
  return std::min(hits * kTokensPerBlock, call.prompt_tokens);
}

void FillBatch(EngineState& state) {
  while (!state.waiting.empty() &&
         state.running.size() < state.options.max_batch) {
    EngineWork work = std::move(state.waiting.begin()->second);
    state.waiting.erase(state.waiting.begin());
    const std::uint32_t cached = UseCache(state, work.call);
    work.prefill_left = work.call.prompt_tokens - cached;
    state.counts.prompt_tokens += work.call.prompt_tokens;
    state.counts.cached_tokens += cached;
    state.running.push_back(std::move(work));
  }
}

void Prefill(EngineState& state) {
  std::uint32_t left = state.options.prefill_tokens;
  for (EngineWork& work : state.running) {
    const std::uint32_t part = std::min(left, work.prefill_left);
    work.prefill_left -= part;
    left -= part;
  }
  state.step_prefill = state.options.prefill_tokens - left;
}

std::chrono::nanoseconds StepTime(const EngineState& state) {
  const EngineOptions& options = state.options;
  const auto plain = options.step_base +
                     options.step_per_call * state.running.size() +
                     options.prefill_per_token * state.step_prefill;
  const double cold = 1 + (options.cold_factor - 1) * (1 - Warmth(state));
  return std::chrono::nanoseconds(static_cast<std::int64_t>(
      std::chrono::nanoseconds(plain).count() * cold * state.slow_factor));
}

void StartStep(EngineState& state, Time now) {
  FillBatch(state);
  if (state.running.empty()) {
    state.step_ends.reset();
    return;
  }
  Prefill(state);
  state.step_ends = now + StepTime(state);
}

void EndStep(EngineState& state, std::vector<EngineToken>& tokens) {
  for (EngineWork& work : state.running) {
    if (work.prefill_left > 0) continue;
    const bool last = work.generated + 1 >= work.call.output_tokens;
    tokens.push_back({work.call.id, work.generated, last});
    ++work.generated;
    ++state.counts.tokens;
    ++state.warmed;
    if (last) ++state.counts.finished;
  }
  std::erase_if(state.running, [](const EngineWork& work) {
    return work.generated >= std::max(1U, work.call.output_tokens);
  });
}

std::vector<std::string> LoadedModels(const EngineState& state, Time now) {
  std::vector<std::string> models;
  for (const auto& [model, since] : state.loaded) {
    if (since <= now) models.push_back(model);
  }
  return models;
}

/// Keeps a report of the present, at most one each period.
void RecordReport(EngineState& state, Time now) {
  if (!state.reports.empty() &&
      now - state.reports.back().first < state.options.report_period) {
    return;
  }
  EngineReport report;
  report.boot = state.boot;
  report.running = static_cast<std::uint32_t>(state.running.size());
  report.waiting = static_cast<std::uint32_t>(state.waiting.size());
  report.cache_used =
      static_cast<double>(state.cache.recent.size() * kTokensPerBlock) /
      std::max(1U, state.options.cache_tokens);
  report.loaded = LoadedModels(state, now);
  state.reports.emplace_back(now, std::move(report));
  const Time oldest = now - state.options.report_lag;
  while (state.reports.size() > 1 && state.reports[1].first <= oldest) {
    state.reports.pop_front();
  }
}

void FallOver(EngineState& state, Time now, std::vector<EngineCallId>& lost) {
  for (const EngineWork& work : state.running) lost.push_back(work.call.id);
  for (const auto& [order, work] : state.waiting) lost.push_back(work.call.id);
  EngineState fresh = StartEngine(state.options, state.boot + 1, now);
  fresh.counts = state.counts;
  fresh.counts.lost += lost.size();
  ++fresh.counts.fell_over;
  fresh.last_taken = state.last_taken;
  fresh.slow_factor = state.slow_factor;
  fresh.highest_fencing = state.highest_fencing;
  state = std::move(fresh);
}

bool CanRun(const EngineState& state, const std::string& model, Time now) {
  if (state.options.models.empty()) return true;
  const auto at = state.loaded.find(model);
  return at != state.loaded.end() && at->second <= now;
}

void LoadModel(EngineState& state, const std::string& model, Time now) {
  if (state.loaded.contains(model)) return;
  const std::uint32_t max_loaded_models = state.options.max_loaded_models;
  while (max_loaded_models > 0 && state.loaded.size() >= max_loaded_models) {
    const auto oldest = std::min_element(
        state.loaded.begin(), state.loaded.end(),
        [](const auto& a, const auto& b) { return a.second < b.second; });
    state.loaded.erase(oldest);
  }
  state.loaded[model] = now + state.options.load;
}

}  // namespace

EngineState StartEngine(const EngineOptions& options, std::uint64_t boot,
                        Time now) {
  EngineState state;
  state.options = options;
  state.boot = boot;
  state.ready_at = now + options.boot;
  for (const std::string& model : options.models) state.loaded[model] = now;
  return state;
}

std::vector<std::uint64_t> PromptBlocks(std::string_view prompt) {
  constexpr std::size_t kBlockChars = kCharsPerToken * kTokensPerBlock;
  std::vector<std::uint64_t> blocks;
  std::uint64_t chain = 0;
  // The last, partial block is not cached: it would match nothing longer.
  while (prompt.size() >= kBlockChars) {
    chain = kernel::HashBytes(prompt.substr(0, kBlockChars), chain);
    blocks.push_back(chain);
    prompt.remove_prefix(kBlockChars);
  }
  return blocks;
}

SubmitResult Submit(EngineState& state, EngineCall call, Time now,
                    std::vector<EngineCallId>& lost) {
  RecordReport(state, now);
  const auto refuse = [&state](SubmitResult why) {
    ++state.counts.refused;
    return why;
  };
  if (now < state.ready_at) return refuse(SubmitResult::kBooting);
  if (!CanRun(state, call.model, now)) {
    return refuse(SubmitResult::kModelNotLoaded);
  }
  if (state.waiting.size() >= state.options.max_waiting) {
    return refuse(SubmitResult::kFull);
  }
  ++state.counts.taken;
  state.last_taken = now;
  const WaitingOrder order{call.priority, state.arrivals++};
  state.waiting.emplace(order, EngineWork{std::move(call), 0, 0});
  state.counts.most_in_progress =
      std::max(state.counts.most_in_progress,
               static_cast<std::uint32_t>(InProgress(state)));
  if (InProgress(state) > BearsNow(state)) {
    FallOver(state, now, lost);
    return SubmitResult::kFellOver;
  }
  if (!state.step_ends) StartStep(state, now);
  return SubmitResult::kTaken;
}

void Cancel(EngineState& state, EngineCallId call, Time now) {
  RecordReport(state, now);
  const auto is_call = [call](const EngineWork& work) {
    return work.call.id == call;
  };
  const auto running =
      std::find_if(state.running.begin(), state.running.end(), is_call);
  if (running != state.running.end()) {
    state.counts.cancelled_tokens += running->generated;
    ++state.counts.cancelled;
    state.running.erase(running);
    return;
  }
  state.counts.cancelled += std::erase_if(
      state.waiting, [&](const auto& entry) { return is_call(entry.second); });
}

void Advance(EngineState& state, Time now, std::vector<EngineToken>& tokens) {
  RecordReport(state, now);
  while (state.step_ends && *state.step_ends <= now) {
    const Time ended = *state.step_ends;
    EndStep(state, tokens);
    StartStep(state, ended);
  }
}

std::optional<Time> NextStepEnd(const EngineState& state) {
  return state.step_ends;
}

void TurnCold(EngineState& state) {
  state.warmed = 0;
  state.cache = {};
}

std::uint32_t BearsNow(const EngineState& state) {
  const EngineOptions& options = state.options;
  const std::uint32_t all = options.max_batch + options.max_waiting;
  if (options.cold_max_in_flight == 0 || options.cold_max_in_flight >= all)
    return all;
  return options.cold_max_in_flight +
         static_cast<std::uint32_t>((all - options.cold_max_in_flight) *
                                    Warmth(state));
}

EngineReport ReportOf(EngineState& state, Time now) {
  RecordReport(state, now);
  const Time wanted = now - state.options.report_lag;
  auto chosen = state.reports.front();
  for (const auto& report : state.reports) {
    if (report.first <= wanted) chosen = report;
  }
  chosen.second.age =
      std::chrono::duration_cast<std::chrono::milliseconds>(now - chosen.first);
  return chosen.second;
}

bool TakeOrder(EngineState& state, const EngineOrder& order, Time now) {
  ++state.counts.orders;
  const bool old = order.fencing < state.highest_fencing;
  if (old) ++state.counts.old_orders;
  if (old && state.options.honours_fencing) return false;
  state.highest_fencing = std::max(state.highest_fencing, order.fencing);
  if (order.kind == "load") LoadModel(state, order.model, now);
  if (order.kind == "unload") state.loaded.erase(order.model);
  return true;
}

}  // namespace egretladder::lab
