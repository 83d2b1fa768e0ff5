// `egretladder scenario`: runs scenarios and judges them.
#include <CLI/Config.hpp>
#include <CLI/Formatter.hpp>
#include <algorithm>
#include <cstdint>
#include <ostream>
#include <string>
#include <vector>

#include "egretladder/lab/scenario.h"
#include "egretladder/policy/scheduler.h"

namespace egretladder::lab {
namespace {

struct ScenarioArgs {
  std::vector<std::string> files;
  std::string policy{policy::kDefaultScheduler};
  std::string plot;
  std::uint64_t seed = 0;  ///< In place of the scenario's own; 0: none.
  bool compare = false;
  bool json = false;
};

int Fail(const kernel::Error& error, const CommandStreams& streams) {
  streams.err << kernel::Describe(error) << "\n";
  return kExitUsage;
}

/// Baselines show what the decisions are worth; only the standard scheduler is
/// held to the expectations.
std::vector<std::string> PoliciesOf(const ScenarioArgs& args) {
  if (!args.compare) return {args.policy};
  return {"fifo", "least", std::string(policy::kDefaultScheduler)};
}

int RunFile(const std::string& file, const ScenarioArgs& args,
            const CommandStreams& streams) {
  const auto scenario = ReadScenario(file, args.seed);
  if (!scenario) return Fail(scenario.error(), streams);
  std::vector<ScenarioResult> results;
  for (const std::string& policy : PoliciesOf(args)) {
    auto result = RunScenario(scenario.value(), policy);
    if (!result) return Fail(result.error(), streams);
    if (!args.json) {
      streams.out << TableOf(scenario.value(), result.value()) << "\n";
    }
    results.push_back(std::move(result).value());
  }
  if (args.json) streams.out << JsonOf(scenario.value(), results);
  if (!args.plot.empty()) {
    const auto wrote = WritePlot(scenario.value(), results.back(), args.plot);
    if (!wrote) return Fail(wrote.error(), streams);
  }
  return results.back().failures.empty() ? kExitDone : kExitFailed;
}

}  // namespace

int RunScenarioCommand(const CommandArgs& args, const CommandStreams& streams) {
  ScenarioArgs parsed;
  CLI::App app(
      "Runs scenarios on real nodes over fakes, on a paused clock. Ends with 0 "
      "when everything held, with 1 when something did not.",
      "egretladder scenario");
  app.add_option("FILE", parsed.files, "scenarios in Lua")->required();
  app.add_option("--policy", parsed.policy, "scheduler: ladder, least, fifo");
  app.add_option("--seed", parsed.seed, "in place of the scenario's own");
  app.add_flag("--compare", parsed.compare,
               "run the baselines as well; only ladder is judged");
  app.add_flag("--json", parsed.json, "print JSON in place of tables");
  app.add_option("--plot", parsed.plot,
                 "write FILE's .dat and .gp; `gnuplot OUT.gp` draws OUT.svg");
  app.footer(
      "Example:\n  egretladder scenario scenarios/burst.lua --compare\n"
      "The verbs are described in docs/DRIVING.md.");
  if (const auto code = ParseCommand(app, args, streams)) return *code;
  int worst = kExitDone;
  for (const std::string& file : parsed.files) {
    worst = std::max(worst, RunFile(file, parsed, streams));
  }
  return worst;
}

namespace {
constexpr CommandPlugin kTable{"scenario", "runs scenarios and judges them",
                               RunScenarioCommand};
const kernel::PluginRegistrar<CommandPlugin> kRegistrar(kTable.name, kTable);
}  // namespace

}  // namespace egretladder::lab
