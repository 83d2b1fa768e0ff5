// Simulates load on engines and checks the pauses and durations that callers
// see.
#include <CppUTest/TestHarness.h>

#include <algorithm>
#include <cmath>
#include <functional>
#include <memory>
#include <string>
#include <vector>

#include "egretladder/routing/engine_split.h"
#include "egretladder/routing/placement.h"

using namespace std::chrono_literals;
namespace er = egretladder::routing;
namespace ek = egretladder::kernel;

namespace {

constexpr er::Time kStart{std::chrono::hours(1)};
constexpr std::size_t kSlots = 24;
constexpr double kTokensPerEvent = 9;

// One stream at an engine.
struct StreamRun {
  bool tight = false;
  double prompt = 0;              // Tokens.
  double tokens_to_prefill = 0;   // Prompt tokens that are left.
  double tokens_to_generate = 0;  // Length of the answer.
  double generated_tokens = 0;
  double last_event_ms = 0;  // Time of the last event; 0: none so far.
  double longest_pause = 0;  // Between two events, in ms.
  std::function<void(const StreamRun&)> on_done;
};

// An engine that generates one token per step for each running stream. A step
// that prefills a part of a prompt takes longer.
struct Engine {
  double slowdown = 1;  // Factor on the duration of each step.
  double time = 0;      // In ms.
  std::vector<StreamRun> runs;

  void Step() {
    const std::size_t running = std::min(runs.size(), kSlots);
    double step_ms = 3.4 + 0.1 * static_cast<double>(running);
    for (std::size_t i = 0; i < running; ++i) {
      if (runs[i].tokens_to_prefill <= 0) continue;
      const double prefill_tokens = std::min(runs[i].tokens_to_prefill, 1024.0);
      runs[i].tokens_to_prefill -= prefill_tokens;
      // Prefill gets slower towards the end of a long prompt.
      step_ms +=
          prefill_tokens / 110 + prefill_tokens * runs[i].prompt * 0.2e-6;
      break;
    }
    time += step_ms * slowdown;
    for (std::size_t i = 0; i < running; ++i) GenerateToken(runs[i]);
    for (std::size_t i = running; i-- > 0;) {
      if (runs[i].generated_tokens < runs[i].tokens_to_generate) continue;
      const StreamRun finished = runs[i];
      runs.erase(runs.begin() + static_cast<std::ptrdiff_t>(i));
      finished.on_done(finished);
    }
  }

  void GenerateToken(StreamRun& run) const {
    if (run.tokens_to_prefill > 0) return;
    ++run.generated_tokens;
    if (std::fmod(run.generated_tokens, kTokensPerEvent) != 0) return;
    if (run.last_event_ms > 0) {
      run.longest_pause = std::max(run.longest_pause, time - run.last_event_ms);
    }
    run.last_event_ms = time;
  }

  void RunUntil(double until) {
    while (time < until) {
      if (runs.empty()) {
        time = until;
      } else {
        Step();
      }
    }
  }
};

// Nodes that place requests on shared engines, each with its own knowledge.
class LoadSimulation {
 public:
  LoadSimulation(std::size_t nodes, std::size_t engines) : engines_(engines) {
    for (std::size_t i = 0; i < nodes; ++i) {
      sets_.push_back(std::make_unique<er::EndpointSet>());
      sets_.back()->tight_fraction = 0.35;
      for (std::size_t e = 0; e < engines; ++e) Register(*sets_.back(), e);
    }
  }

  void Disable(er::Mechanism mechanism) {
    for (const auto& set : sets_) {
      set->disabled_mechanisms.set(static_cast<std::size_t>(mechanism));
    }
  }
  void SlowDown(std::size_t engine, double slowdown) {
    engines_[engine].slowdown = slowdown;
  }

  // Runs the given numbers of requests a second of both kinds for `time`.
  void Simulate(double tight, double long_prompts, std::chrono::seconds time) {
    for (double ms = 0;
         ms < std::chrono::duration<double, std::milli>(time).count();
         ms += 5) {
      now_ = kStart + std::chrono::duration_cast<er::Time::duration>(
                          std::chrono::duration<double, std::milli>(ms));
      for (Engine& engine : engines_) engine.RunUntil(ms);
      AddArrivals(tight / 200, true, ms);
      AddArrivals(long_prompts / 200, false, ms);
    }
  }

  // Returns the fraction of the tight streams without a pause over
  // `max_pause_ms`.
  double FractionWithoutPause(double max_pause_ms) const {
    double in_time = 0;
    for (const double pause : pauses_) in_time += pause <= max_pause_ms ? 1 : 0;
    return in_time / static_cast<double>(pauses_.size());
  }
  double MeanLengthMs() const {
    double sum = 0;
    for (const double length : lengths_) sum += length;
    return sum / static_cast<double>(lengths_.size());
  }

 private:
  static void Register(er::EndpointSet& set, std::size_t engine) {
    er::EndpointEntry entry;
    entry.id = "e" + std::to_string(engine);
    entry.service = "engines";
    entry.zone = "a";
    entry.slots = kSlots;
    er::OnEntryPublished(set, entry, kStart);
  }

  void AddArrivals(double expected, bool tight, double ms) {
    while (expected > 0 && ek::RandomFraction(random_) < expected) {
      SendRequest(tight, ms);
      expected -= 1;
    }
  }

  void SendRequest(bool tight, double ms) {
    er::EndpointSet& set = *sets_[ek::RandomBelow(random_, sets_.size())];
    er::Demand demand;
    demand.service = &service_;
    demand.tight = tight;
    demand.events = tight ? 32 : 42;
    demand.prompt_tokens = tight ? 800 : 11'600;
    const std::uint64_t session = 1 + ek::RandomBelow(random_, 300);
    demand.parts = {{session, tight ? 200U : 5000U}, {0, tight ? 600U : 6600U}};
    const er::FleetSnapshot fleet{sets_.size(), "n", {}, "a"};
    const er::Placement placement =
        er::ChoosePlacement(set, demand, {}, fleet, random_, now_);
    if (placement.endpoint == nullptr) return;
    er::OnAttemptSent(*placement.endpoint, demand, ++attempts_, placement,
                      now_);
    Engine& engine =
        engines_[std::stoul(placement.endpoint->entry.id.substr(1))];
    StreamRun run;
    run.tight = tight;
    run.prompt = demand.prompt_tokens;
    run.tokens_to_prefill = placement.uncached_tokens;
    run.tokens_to_generate = demand.events * kTokensPerEvent;
    run.on_done = [this, &set, &engine, demand, placement, ms,
                   attempt = attempts_](const StreamRun& finished) {
      er::OnAttemptStarted(*placement.endpoint, demand, attempt, placement);
      er::OnAttemptEnded(*placement.endpoint);
      if (!finished.tight) return;
      pauses_.push_back(finished.longest_pause);
      lengths_.push_back(engine.time - ms);
      er::OnEventInterval(placement.endpoint->pace,
                          set.service_paces["engines"],
                          placement.endpoint->in_flight,
                          std::chrono::duration<double, std::milli>(
                              (engine.time - ms) / demand.events));
    };
    engine.runs.push_back(std::move(run));
  }

  er::Service service_{.name = "engines"};
  std::vector<std::unique_ptr<er::EndpointSet>> sets_;
  std::vector<Engine> engines_;
  ek::Random random_{3};
  er::Time now_ = kStart;
  std::uint64_t attempts_ = 0;
  std::vector<double> pauses_;
  std::vector<double> lengths_;
};

}  // namespace

TEST_GROUP(PlacementLoad){};

// Guards against streams that stand still while their engine prefills a prompt.
// Thirty engines get long prompts and tight streams that must not pause for
// more than 150 ms; without the engine split most streams do.
TEST(PlacementLoad, TightStreamsDoNotPauseBesideLongPrompts) {
  LoadSimulation split(20, 30);
  split.Simulate(39, 100, 12s);
  LoadSimulation mixed(20, 30);
  for (LoadSimulation* load : {&split, &mixed}) {
    for (std::size_t engine = 0; engine < 30; engine += 3) {
      load->SlowDown(engine, 1.3);
    }
  }
  mixed.Disable(er::Mechanism::kEngineSplit);
  mixed.Simulate(39, 100, 12s);
  CHECK(split.FractionWithoutPause(150) >= 0.95);
  CHECK(mixed.FractionWithoutPause(150) <
        split.FractionWithoutPause(150) - 0.1);
}

// Guards against placing tight streams at engines that take twice as long for
// each token, here three of nine. A stream there is late, and twice as often
// cut when something fails meanwhile.
TEST(PlacementLoad, TightStreamsAvoidSlowEngines) {
  LoadSimulation with_pace(7, 9);
  LoadSimulation without_pace(7, 9);
  without_pace.Disable(er::Mechanism::kPace);
  for (LoadSimulation* load : {&with_pace, &without_pace}) {
    for (const std::size_t engine : {0U, 1U, 2U}) load->SlowDown(engine, 2);
    load->Simulate(21, 5, 30s);
  }
  CHECK(with_pace.MeanLengthMs() < 0.9 * without_pace.MeanLengthMs());
}
