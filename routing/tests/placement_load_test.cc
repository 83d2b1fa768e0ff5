// Plays a load on engines and checks what callers get.
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
struct Run {
  bool tight = false;
  double prompt = 0;   // Tokens.
  double to_read = 0;  // Of these.
  double to_make = 0;  // Tokens of its answer.
  double made = 0;
  double event_at = 0;  // Last event, ms; 0: none so far.
  double longest_pause = 0;
  std::function<void(const Run&)> done;
};

// Steps of one token for each running stream; a step that carries a part of a
// prompt takes longer.
struct Engine {
  double speed = 1;  // Times as long.
  double time = 0;   // Ms.
  std::vector<Run> runs;

  void Step() {
    const std::size_t running = std::min(runs.size(), kSlots);
    double step = 3.4 + 0.1 * static_cast<double>(running);
    for (std::size_t i = 0; i < running; ++i) {
      if (runs[i].to_read <= 0) continue;
      const double part = std::min(runs[i].to_read, 1024.0);
      runs[i].to_read -= part;
      // Reading gets slower towards the end of a long prompt.
      step += part / 110 + part * runs[i].prompt * 0.2e-6;
      break;
    }
    time += step * speed;
    for (std::size_t i = 0; i < running; ++i) MakeToken(runs[i]);
    for (std::size_t i = running; i-- > 0;) {
      if (runs[i].made < runs[i].to_make) continue;
      const Run over = runs[i];
      runs.erase(runs.begin() + static_cast<std::ptrdiff_t>(i));
      over.done(over);
    }
  }

  void MakeToken(Run& run) const {
    if (run.to_read > 0) return;
    ++run.made;
    if (std::fmod(run.made, kTokensPerEvent) != 0) return;
    if (run.event_at > 0) {
      run.longest_pause = std::max(run.longest_pause, time - run.event_at);
    }
    run.event_at = time;
  }

  void PlayUntil(double until) {
    while (time < until) {
      if (runs.empty()) {
        time = until;
      } else {
        Step();
      }
    }
  }
};

// Nodes that place requests on shared engines, each by what it knows itself.
class Load {
 public:
  Load(std::size_t nodes, std::size_t engines) : engines_(engines) {
    for (std::size_t i = 0; i < nodes; ++i) {
      sets_.push_back(std::make_unique<er::EndpointSet>());
      sets_.back()->tight_fraction = 0.35;
      for (std::size_t e = 0; e < engines; ++e) Register(*sets_.back(), e);
    }
  }

  void SwitchOff(er::Mechanism mechanism) {
    for (const auto& set : sets_) {
      set->disabled_mechanisms.set(static_cast<std::size_t>(mechanism));
    }
  }
  void Slow(std::size_t engine, double speed) {
    engines_[engine].speed = speed;
  }

  // So many requests a second of both kinds, for some seconds.
  void Play(double tight, double rest, std::chrono::seconds time) {
    for (double ms = 0;
         ms < std::chrono::duration<double, std::milli>(time).count();
         ms += 5) {
      now_ = kStart + std::chrono::duration_cast<er::Time::duration>(
                          std::chrono::duration<double, std::milli>(ms));
      for (Engine& engine : engines_) engine.PlayUntil(ms);
      Arrive(tight / 200, true, ms);
      Arrive(rest / 200, false, ms);
    }
  }

  // Part of the tight streams without a pause over `most_ms`.
  double Unpaused(double most_ms) const {
    double in_time = 0;
    for (const double pause : pauses_) in_time += pause <= most_ms ? 1 : 0;
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

  void Arrive(double expected, bool tight, double ms) {
    while (expected > 0 && ek::RandomFraction(random_) < expected) {
      Send(tight, ms);
      expected -= 1;
    }
  }

  void Send(bool tight, double ms) {
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
    Run run;
    run.tight = tight;
    run.prompt = demand.prompt_tokens;
    run.to_read = placement.uncached_tokens;
    run.to_make = demand.events * kTokensPerEvent;
    run.done = [this, &set, &engine, demand, placement, ms,
                attempt = attempts_](const Run& over) {
      er::OnAttemptStarted(*placement.endpoint, demand, attempt, placement);
      er::OnAttemptEnded(*placement.endpoint);
      if (!over.tight) return;
      pauses_.push_back(over.longest_pause);
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

TEST_GROUP(PlacingLoad){};

// Thirty engines get long prompts and, among them, parents' questions whose
// answers must not pause for more than 150 ms. Without the division most
// answers stand still while the engine reads a prompt.
TEST(PlacingLoad, QuestionsDoNotPauseBesideLongPrompts) {
  Load divided(20, 30);
  divided.Play(39, 100, 12s);
  Load mixed(20, 30);
  for (Load* load : {&divided, &mixed}) {
    for (std::size_t engine = 0; engine < 30; engine += 3) {
      load->Slow(engine, 1.3);
    }
  }
  mixed.SwitchOff(er::Mechanism::kSides);
  mixed.Play(39, 100, 12s);
  CHECK(divided.Unpaused(150) >= 0.95);
  CHECK(mixed.Unpaused(150) < divided.Unpaused(150) - 0.1);
}

// Three of nine engines take twice as long for each token. A stream there is
// late, and twice as often cut when something fails meanwhile.
TEST(PlacingLoad, TightStreamsLearnToAvoidSlowEngines) {
  Load learned(7, 9);
  Load blind(7, 9);
  blind.SwitchOff(er::Mechanism::kPace);
  for (Load* load : {&learned, &blind}) {
    for (const std::size_t engine : {0U, 1U, 2U}) load->Slow(engine, 2);
    load->Play(21, 5, 30s);
  }
  CHECK(learned.MeanLengthMs() < 0.9 * blind.MeanLengthMs());
}
