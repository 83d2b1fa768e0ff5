// Scenarios: "this happens, this must hold", written in Lua and run on real
// nodes over fakes at the interfaces (docs/DRIVING.md). Same seed, same result.
#pragma once

#include <chrono>
#include <cstdint>
#include <limits>
#include <map>
#include <string>
#include <vector>

#include "egretladder/kernel/error.h"
#include "egretladder/lab/command.h"
#include "egretladder/lab/engine_model.h"

namespace egretladder::lab {

using std::chrono::milliseconds;

/// Stands for a moment that doesn't come.
inline constexpr milliseconds kNever = milliseconds::max();

/// Callers of one kind: a class of one client account at a steady rate.
struct LoadSpec {
  int line = 0;
  std::string cls;
  std::string account;
  std::string target;  ///< Model or service.
  double rate = 1;     ///< Calls a second.
  milliseconds from{0};
  milliseconds to = kNever;
  std::uint32_t prompt = 200;      ///< Tokens.
  std::uint32_t output = 60;       ///< Tokens, on average.
  double spread = 0.5;             ///< Output varies by this share.
  std::uint32_t prefixes = 20;     ///< Different prompt beginnings.
  std::uint32_t callers = 12;      ///< Each keeps its own `/where` answer.
  std::string zone;                ///< Of the callers; empty: all in turn.
  milliseconds patience{120'000};  ///< After it, a caller goes away.
  milliseconds timeout{0};         ///< Sent with the call; 0: none.
  std::uint32_t retries = 0;       ///< By the caller, after an error.
  bool poison = false;             ///< Each crashes the engine it runs on.
};

/// What happens to endpoints, nodes, wires or the platform.
enum class EventKind : std::uint8_t {
  kSlow,
  kCrash,
  kCold,
  kLag,
  kCut,
  kHeal,
  kLose,
  kPause,
  kKill,
  kRestart,
  kLeave,
  kReturn,
  kZoneOut,
  kZoneBack,
  kPlatform,
  kDeploy,
};

/// Something that happens at a moment.
struct EventSpec {
  int line = 0;
  EventKind kind = EventKind::kSlow;
  milliseconds at{0};
  std::vector<std::string> names;  ///< Endpoints, nodes, or one zone.
  std::string text;                ///< Platform fault, or a rules document.
  double factor = 1;               ///< How slow, or the share lost.
  milliseconds lasts = kNever;
};

/// What must hold in the end.
struct ExpectSpec {
  int line = 0;
  std::string measure;
  std::string cls;
  std::string zone;
  std::string endpoint;
  milliseconds from{0};
  milliseconds to = kNever;
  double at_least = -std::numeric_limits<double>::infinity();
  double at_most = std::numeric_limits<double>::infinity();
};

/// A scenario as its Lua text declares it.
struct Scenario {
  std::string file;
  std::string rules;  ///< The first document published.
  std::uint64_t seed = 1;
  milliseconds run{0};
  std::chrono::microseconds wire{500};     ///< Between VMs, one way.
  std::chrono::microseconds client{3000};  ///< Callers to nodes, one way.
  milliseconds starvation{120'000};  ///< A class that waits is served by then.
  std::map<std::string, EngineOptions> engines;  ///< By endpoint.
  std::vector<LoadSpec> loads;
  std::vector<EventSpec> events;
  std::vector<ExpectSpec> expects;
};

/// Runs the Lua text in `file`. Errors name file and line. A `seed` other than
/// 0 stands in place of the scenario's own, which Lua reads as `seed`.
kernel::Result<Scenario> ReadScenario(const std::string& file,
                                      std::uint64_t seed = 0);

/// One row of the table of measures.
struct ClassRow {
  std::string cls;
  std::uint64_t sent = 0;     ///< Wishes of callers; their retries not counted.
  std::uint64_t served = 0;   ///< Complete answers.
  std::uint64_t in_time = 0;  ///< First token within the target, and complete.
  std::uint64_t refused = 0;  ///< "Not run".
  std::uint64_t unknown = 0;  ///< "Unknown", or broken off.
  std::uint64_t left = 0;     ///< The caller went away, or still waits.
  double attainment = 0;      ///< Share of those sent that were in time.
  milliseconds p50{};         ///< First token.
  milliseconds p95{};
  milliseconds p99{};
  milliseconds worst{};  ///< Longest wait for a first token or final answer.
};

/// An invariant that did not hold, or an expectation that was not met.
struct Failure {
  int line = 0;  ///< Of the scenario; 0 for an invariant.
  std::string what;
};

/// One number of a run, under the name that expectations use.
struct Measure {
  std::string name;
  double value = 0;
};

/// An expectation and what was measured for it.
struct Expected {
  int line = 0;
  std::string what;  ///< `attainment buyer at least 0.95`.
  double value = 0;
  bool met = false;
};

/// One second of the run.
struct Second {
  std::map<std::string, double> attainment;   ///< By class; of calls sent then.
  std::map<std::string, std::uint64_t> sent;  ///< By class.
  std::map<std::string, std::uint64_t> zone;  ///< Calls started, by zone.
  std::uint64_t queue = 0;                    ///< Calls that wait at all nodes.
};

/// What a run of one scheduler gave.
struct ScenarioResult {
  std::string policy;
  std::vector<ClassRow> classes;
  std::vector<Measure> measures;
  std::vector<Second> seconds;
  std::vector<Expected> expected;
  std::vector<Failure> failures;
};

/// Runs a scenario with the scheduler named.
kernel::Result<ScenarioResult> RunScenario(const Scenario& scenario,
                                           const std::string& policy);

/// The table of measures and the verdict, for a terminal.
std::string TableOf(const Scenario& scenario, const ScenarioResult& result);
/// The same as JSON, for all schedulers that ran.
std::string JsonOf(const Scenario& scenario,
                   const std::vector<ScenarioResult>& results);
/// Writes `PATH` with `.dat` and `.gp` in place of its ending; gnuplot makes
/// `PATH` from them.
kernel::Result<void> WritePlot(const Scenario& scenario,
                               const ScenarioResult& result,
                               const std::string& path);

/// `egretladder scenario`.
int RunScenarioCommand(const CommandArgs& args, const CommandStreams& streams);

}  // namespace egretladder::lab
