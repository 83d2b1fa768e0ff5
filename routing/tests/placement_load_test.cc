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
constexpr double kExchangeIntervalMs = 200;
constexpr double kStepMs = 5;  // Of the simulation.

// The work and the engines of a simulated deployment.
struct LoadOptions {
  std::size_t nodes = 20;
  std::size_t engines = 30;
  std::uint32_t slots = 24;
  double tokens_per_event = 9;
  std::chrono::milliseconds gap_target = 150ms;  // Of tight streams.
};

// One stream at an engine.
struct StreamRun {
  bool tight = false;
  double prompt = 0;              // Tokens.
  double tokens_to_prefill = 0;   // Prompt tokens that are left.
  double tokens_to_generate = 0;  // Length of the answer.
  double generated_tokens = 0;
  double last_event_ms = 0;  // Time of the last event; 0: none so far.
  double longest_pause = 0;  // Between two events, in ms.
  std::function<void(double interval_ms)> on_interval;
  std::function<void(const StreamRun&)> on_done;
};

// An engine that generates one token per step for each running stream. A step
// that prefills a part of a prompt takes longer.
struct Engine {
  std::size_t slots = 0;
  double tokens_per_event = 0;
  double slowdown = 1;  // Factor on the duration of each step.
  double time = 0;      // In ms.
  std::vector<StreamRun> runs;

  void Step() {
    const std::size_t running = std::min(runs.size(), slots);
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
    if (std::fmod(run.generated_tokens, tokens_per_event) != 0) return;
    if (run.last_event_ms > 0) {
      const double interval_ms = time - run.last_event_ms;
      run.longest_pause = std::max(run.longest_pause, interval_ms);
      run.on_interval(interval_ms);
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

// What one node knows.
struct Node {
  er::EndpointSet set;
  er::SplitDemandMeter meter;
  er::FleetDemand demand;
};

// Nodes that place requests on shared engines, each with its own knowledge.
class LoadSimulation {
 public:
  explicit LoadSimulation(const LoadOptions& options)
      : options_(options), nodes_(options.nodes), engines_(options.engines) {
    for (Engine& engine : engines_) {
      engine.slots = options.slots;
      engine.tokens_per_event = options.tokens_per_event;
    }
    for (Node& node : nodes_) {
      for (std::size_t e = 0; e < options.engines; ++e) Register(node.set, e);
    }
  }

  void Disable(er::Mechanism mechanism) {
    for (Node& node : nodes_) {
      node.set.disabled_mechanisms.set(static_cast<std::size_t>(mechanism));
    }
  }
  void SlowDown(std::size_t engine, double slowdown) {
    engines_[engine].slowdown = slowdown;
  }

  // Runs the given numbers of requests a second of both kinds for `time` more.
  void Simulate(double tight, double long_prompts, std::chrono::seconds time) {
    const double end_ms =
        elapsed_ms_ + std::chrono::duration<double, std::milli>(time).count();
    for (; elapsed_ms_ < end_ms; elapsed_ms_ += kStepMs) {
      now_ =
          kStart + std::chrono::duration_cast<er::Time::duration>(
                       std::chrono::duration<double, std::milli>(elapsed_ms_));
      for (Engine& engine : engines_) engine.RunUntil(elapsed_ms_);
      AddArrivals(tight * kStepMs / 1000, true, elapsed_ms_);
      AddArrivals(long_prompts * kStepMs / 1000, false, elapsed_ms_);
      if (std::fmod(elapsed_ms_, kExchangeIntervalMs) == 0) Exchange();
    }
  }

  // Returns the fraction of the nodes at which the engines are split.
  double FractionOfNodesWithSplit() const {
    double split = 0;
    for (const Node& node : nodes_) split += node.set.tight_fraction > 0;
    return split / static_cast<double>(nodes_.size());
  }
  void ForgetResults() {
    pauses_.clear();
    lengths_.clear();
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
  void Register(er::EndpointSet& set, std::size_t engine) const {
    er::EndpointEntry entry;
    entry.id = "e" + std::to_string(engine);
    entry.service = "engines";
    entry.zone = "a";
    entry.slots = options_.slots;
    er::OnEntryPublished(set, entry, kStart);
  }

  // Each node exchanges what it learned with a random peer.
  void Exchange() {
    for (Node& node : nodes_) {
      Node& peer = nodes_[ek::RandomBelow(random_, nodes_.size())];
      er::FollowMeasuredDemand(node.demand, node.meter, now_);
      const Node told = node;
      er::MergePeerDemand(node.demand, peer.demand.mean);
      er::MergePeerDemand(peer.demand, told.demand.mean);
      er::MergePeerPauses(node.set.pauses, peer.set.pauses.ms);
      er::MergePeerPauses(peer.set.pauses, told.set.pauses.ms);
      er::UpdateSplit(node.set, node.demand, now_);
    }
  }

  void AddArrivals(double expected, bool tight, double ms) {
    while (expected > 0 && ek::RandomFraction(random_) < expected) {
      SendRequest(tight, ms);
      expected -= 1;
    }
  }

  void SendRequest(bool tight, double ms) {
    Node& node = nodes_[ek::RandomBelow(random_, nodes_.size())];
    er::EndpointSet& set = node.set;
    er::Demand demand;
    demand.service = &service_;
    demand.tight = tight;
    demand.gap_target = tight ? options_.gap_target : 600ms;
    demand.expected_stream_ms = tight ? 1300 : 3000;
    demand.events = tight ? 32 : 42;
    demand.prompt_tokens = tight ? 800 : 11'600;
    const std::uint64_t session = 1 + ek::RandomBelow(random_, 300);
    demand.parts = {{session, tight ? 200U : 5000U}, {0, tight ? 600U : 6600U}};
    const er::FleetSnapshot fleet{nodes_.size(), "n", {}, "a"};
    const er::Placement placement =
        er::ChoosePlacement(set, demand, {}, fleet, random_, now_);
    if (placement.endpoint == nullptr) return;
    er::OnRequestPlaced(node.meter, demand, placement, set.pauses, now_);
    if (er::AvoidsLongPrompts(set, demand)) set.last_delayed_stream_at = now_;
    er::OnAttemptSent(*placement.endpoint, demand, ++attempts_, placement,
                      now_);
    Engine& engine =
        engines_[std::stoul(placement.endpoint->entry.id.substr(1))];
    StreamRun run;
    run.tight = tight;
    run.prompt = demand.prompt_tokens;
    run.tokens_to_prefill = placement.uncached_tokens;
    run.tokens_to_generate = demand.events * options_.tokens_per_event;
    run.on_interval = [&set, placement](double interval_ms) {
      if (!er::TakesLongPrompts(set, *placement.endpoint)) return;
      er::OnIntervalBesidePrompts(
          set.pauses, placement.endpoint->pace, set.service_paces["engines"],
          std::chrono::duration<double, std::milli>(interval_ms));
    };
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
  LoadOptions options_;
  std::vector<Node> nodes_;
  std::vector<Engine> engines_;
  ek::Random random_{3};
  er::Time now_ = kStart;
  double elapsed_ms_ = 0;
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
  LoadSimulation split({});
  split.Simulate(39, 100, 12s);
  LoadSimulation mixed({});
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
  LoadSimulation with_pace({.nodes = 7, .engines = 9});
  LoadSimulation without_pace({.nodes = 7, .engines = 9});
  without_pace.Disable(er::Mechanism::kPace);
  for (LoadSimulation* load : {&with_pace, &without_pace}) {
    for (const std::size_t engine : {0U, 1U, 2U}) load->SlowDown(engine, 2);
    load->Simulate(21, 5, 30s);
  }
  CHECK(with_pace.MeanLengthMs() < 0.9 * without_pace.MeanLengthMs());
}

// Guards against keeping long prompts off a part of the engines for streams
// that are in time beside them. Events of five tokens come fast enough, as
// engines with many slots have them; prompts then have all engines.
TEST(PlacementLoad, EnginesAreNotSplitWhileStreamsAreInTimeBesidePrompts) {
  for (const std::uint32_t slots : {24U, 48U, 128U}) {
    LoadSimulation load(
        {.slots = slots, .tokens_per_event = 5, .gap_target = 200ms});
    load.Simulate(39, 60, 12s);
    DOUBLES_EQUAL(0, load.FractionOfNodesWithSplit(), 0);
    CHECK(load.FractionWithoutPause(200) >= 0.95);
  }
}

// Guards against a split that was right for the work of an hour ago. Long
// prompts grow from a tenth of the requests to most of them and become few
// again.
TEST(PlacementLoad, TheSplitFollowsAChangeOfTheMix) {
  for (const std::size_t engines : {30U, 90U}) {
    const double scale = static_cast<double>(engines) / 30;
    LoadSimulation load({.engines = engines});
    LoadSimulation mixed({.engines = engines});
    mixed.Disable(er::Mechanism::kEngineSplit);
    for (LoadSimulation* each : {&load, &mixed}) {
      each->Simulate(90 * scale, 10 * scale, 10s);
      CHECK(each->FractionWithoutPause(150) >= 0.95);
      DOUBLES_EQUAL(0, each->FractionOfNodesWithSplit(), 0);
      each->Simulate(100 * scale, 140 * scale, 4s);
      each->ForgetResults();
      each->Simulate(100 * scale, 140 * scale, 10s);
    }
    CHECK(load.FractionOfNodesWithSplit() >= 0.9);
    CHECK(load.FractionWithoutPause(150) >
          mixed.FractionWithoutPause(150) + 0.1);
    load.Simulate(90 * scale, 10 * scale, 20s);
    DOUBLES_EQUAL(0, load.FractionOfNodesWithSplit(), 0.1);
  }
}
